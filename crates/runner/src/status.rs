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
use log::debug;
use log::warn;
use tokio::net::TcpListener;

use crate::metrics::RunnerMetrics;

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
pub async fn serve_status(listener: TcpListener, page: Arc<StatusPage>) {
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(error) => {
                warn!("status_accept_failed error={error}");
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
                continue;
            }
        };
        let page = page.clone();
        tokio::spawn(async move {
            let service = service_fn(move |request: Request<Incoming>| {
                let response = page.respond(request.uri().path());
                async move { Ok::<_, Infallible>(response) }
            });
            let served = http1::Builder::new()
                .serve_connection(TokioIo::new(stream), service)
                .await;
            if let Err(error) = served {
                debug!("status_connection_ended error={error}");
            }
        });
    }
}

/// Pause after a failed accept.
const ACCEPT_RETRY_DELAY: std::time::Duration = std::time::Duration::from_millis(50);
