//! HTTP server for the readiness probe and the metrics.

use std::convert::Infallible;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;

use bytes::Bytes;
use http_body_util::Full;
use hyper::Request;
use hyper::Response;
use hyper::StatusCode;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use hyper_util::rt::TokioTimer;
use log::debug;
use log::warn;
use tokio::net::TcpListener;
use tokio::net::TcpStream;

use crate::metrics::RunnerMetrics;
use crate::peer_guard::LimitReason;
use crate::peer_guard::PeerGuard;
use crate::peer_guard::SlotShare;
use crate::socket::set_socket_options;

/// The state and paths that the status server answers from.
pub struct StatusPage {
    /// Whether the instance accepts new sessions.
    pub is_ready: AtomicBool,
    /// Metrics of the instance.
    pub metrics: Arc<RunnerMetrics>,
    /// Path of the readiness probe.
    pub ready_path: String,
    /// Path of the metrics.
    pub metrics_path: String,
}

impl StatusPage {
    fn respond(&self, path: &str) -> Response<Full<Bytes>> {
        let (status, body) = if path == self.ready_path {
            match self.is_ready.load(Ordering::Relaxed) {
                true => (StatusCode::OK, "ready\n".to_string()),
                false => (StatusCode::SERVICE_UNAVAILABLE, "not ready\n".to_string()),
            }
        } else if path == self.metrics_path {
            match self.metrics.text() {
                Ok(text) => (StatusCode::OK, text),
                Err(error) => (StatusCode::INTERNAL_SERVER_ERROR, format!("{error}\n")),
            }
        } else {
            (StatusCode::NOT_FOUND, "no such page\n".to_string())
        };
        let mut response = Response::new(Full::new(Bytes::from(body)));
        *response.status_mut() = status;
        response
    }
}

/// Serves the status page until the process ends; retries after a failed accept.
///
/// When there are too many connections, one without a request is closed for a new one, or else the
/// one that has been idle the longest, so that probes are still answered.
pub async fn serve_status(listener: TcpListener, page: Arc<StatusPage>) {
    let guard = PeerGuard::of_process();
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(error) => {
                warn!("status_accept_failed error={error}");
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
                continue;
            }
        };
        let Some(slot) = guard.status.admit().await else {
            guard.record(LimitReason::StatusCount);
            continue;
        };
        set_socket_options(&stream);
        tokio::spawn(serve_connection(stream, slot, page.clone(), guard.clone()));
    }
}

async fn serve_connection(
    stream: TcpStream,
    slot: SlotShare,
    page: Arc<StatusPage>,
    guard: Arc<PeerGuard>,
) {
    let service = service_fn(|request: Request<Incoming>| {
        slot.record_use();
        let response = page.respond(request.uri().path());
        async move { Ok::<_, Infallible>(response) }
    });
    let serving = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(guard.limits.status_timeout)
        .max_buf_size(MAX_BUFFER_BYTES)
        .serve_connection(TokioIo::new(stream), service);
    tokio::select! {
        served = serving => {
            if let Err(error) = served {
                debug!("status_connection_ended error={error}");
            }
        }
        () = slot.closing.cancelled() => guard.record(LimitReason::StatusCount),
    }
}

/// Largest header of a request, in bytes, and size of the answers that wait to be sent at which no
/// further request of the connection is read.
const MAX_BUFFER_BYTES: usize = 16 << 10;

/// Pause after a failed accept.
const ACCEPT_RETRY_DELAY: std::time::Duration = std::time::Duration::from_millis(50);
