//! The HTTP listeners of callers and operators.
//!
//! Rocket 0.5 limits neither the number of its connections nor the time of a request header. This
//! listener accepts the connections, reads their requests with these limits and hands them to the
//! routes of Rocket. It speaks HTTP/1.

use std::convert::Infallible;
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::pin::pin;
use std::sync::Arc;
use std::task::Context;
use std::task::Poll;
use std::time::Duration;

use displaydoc::Display;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use rocket::Build;
use rocket::Rocket;
use rocket::local::asynchronous::Client;
use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::io::ReadBuf;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::time::MissedTickBehavior;
use tokio::time::interval;
use tokio::time::timeout;
use tokio_util::sync::CancellationToken;

use heatherhollow_limits::SlotLimits;

use crate::http_dispatch::RouteDispatch;
use crate::http_guard::CloseReason;
use crate::http_guard::ListenerGuard;
use crate::http_guard::OpenConnection;
use crate::metrics::ProxyMetrics;

/// Pause after a failed accept; it fails at once again while the process has no free descriptor.
const ACCEPT_PAUSE: Duration = Duration::from_millis(100);

/// Interval at which the time limits of connections are checked.
const EXPIRY_INTERVAL: Duration = Duration::from_millis(250);

/// Time that requests in progress have after a stop.
const STOP_GRACE: Duration = Duration::from_secs(4);

/// Least header size that can be set, in bytes; the HTTP library takes no smaller buffer.
pub const MIN_HEADER_BYTES: usize = 8 << 10;

/// Why a listener cannot start.
#[derive(Debug, Display)]
pub enum ListenerError {
    /// the routes cannot be used: {0}
    Routes(String),
    /// the address cannot be listened on: {0}
    Bind(io::Error),
}

impl std::error::Error for ListenerError {}

/// Limits of a listener.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ListenerLimits {
    /// Limits on connections and their times.
    pub slots: SlotLimits,
    /// Largest request header in bytes, at least [`MIN_HEADER_BYTES`].
    pub max_header_bytes: usize,
}

impl Default for ListenerLimits {
    fn default() -> Self {
        Self {
            slots: SlotLimits::default(),
            max_header_bytes: 64 << 10,
        }
    }
}

/// What a listener serves.
pub struct ListenerRoutes {
    /// Name of the listener in metrics and logs.
    pub name: &'static str,
    /// The routes, with their state.
    pub rocket: Rocket<Build>,
    /// Largest body that a route reads, in bytes.
    pub max_body_bytes: usize,
}

/// A bound HTTP listener.
pub struct HttpListener {
    listener: TcpListener,
    address: SocketAddr,
    limits: ListenerLimits,
    guard: Arc<ListenerGuard>,
    routes: Arc<RouteDispatch>,
}

impl HttpListener {
    /// Binds a listener; connections are accepted once it is served.
    pub async fn bind(
        address: SocketAddr,
        routes: ListenerRoutes,
        limits: ListenerLimits,
        metrics: Arc<ProxyMetrics>,
    ) -> Result<Self, ListenerError> {
        let client = Client::untracked(routes.rocket).await;
        let client = client.map_err(|error| ListenerError::Routes(error.to_string()))?;
        let bound = TcpListener::bind(address).await;
        let listener = bound.map_err(ListenerError::Bind)?;
        let address = listener.local_addr().map_err(ListenerError::Bind)?;
        Ok(Self {
            listener,
            address,
            limits,
            guard: Arc::new(ListenerGuard::new(routes.name, limits.slots, metrics)),
            routes: Arc::new(RouteDispatch::new(client, routes.max_body_bytes)),
        })
    }

    /// Returns the address on which it listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Serves connections until `stop` is cancelled and the requests in progress have been answered,
    /// or their time is over.
    pub async fn serve(self, stop: CancellationToken) {
        tokio::select! {
            () = stop.cancelled() => {}
            () = self.accept_connections(&stop) => {}
            () = close_expired(&self.guard) => {}
        }
        let Self {
            listener, guard, ..
        } = self;
        // New connections are refused from here on.
        drop(listener);
        if timeout(STOP_GRACE, guard.wait_until_open(0)).await.is_err() {
            guard.close_all();
        }
    }

    async fn accept_connections(&self, stop: &CancellationToken) {
        loop {
            let (stream, address) = match self.listener.accept().await {
                Ok(accepted) => accepted,
                Err(error) => {
                    log::warn!("http_accept_failed error={:?}", error.to_string());
                    tokio::time::sleep(ACCEPT_PAUSE).await;
                    continue;
                }
            };
            let Some(connection) = self.guard.admit().await else {
                continue;
            };
            let served = ServedConnection {
                address,
                max_header_bytes: self.limits.max_header_bytes,
                guard: self.guard.clone(),
                routes: self.routes.clone(),
                stop: stop.clone(),
            };
            tokio::spawn(served.serve(stream, connection));
        }
    }
}

async fn close_expired(guard: &ListenerGuard) {
    let mut ticks = interval(EXPIRY_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        guard.close_expired();
    }
}

/// What the task of a connection needs.
struct ServedConnection {
    address: SocketAddr,
    max_header_bytes: usize,
    guard: Arc<ListenerGuard>,
    routes: Arc<RouteDispatch>,
    stop: CancellationToken,
}

impl ServedConnection {
    async fn serve(self, stream: TcpStream, connection: OpenConnection) {
        if let Err(error) = stream.set_nodelay(true) {
            log::debug!("socket_options_not_set error={:?}", error.to_string());
        }
        // Dropped after `serving`, so that the place is given back after the descriptor is closed.
        let connection = Arc::new(connection);
        let stream = CountedStream {
            stream,
            connection: connection.clone(),
        };
        let service = service_fn(|request| {
            let open = connection.begin_request();
            let answer = self.routes.clone().answer(request, self.address, open);
            async move { Ok::<_, Infallible>(answer.await) }
        });
        // The guard limits the time of a header, as the library's limit also counts idle time.
        let serving = http1::Builder::new()
            .header_read_timeout(None)
            .max_buf_size(self.max_header_bytes)
            .serve_connection(TokioIo::new(stream), service);
        let mut serving = pin!(serving);
        let mut is_stopping = false;
        let served = loop {
            tokio::select! {
                biased;
                () = connection.closing.cancelled() => return,
                () = self.stop.cancelled(), if !is_stopping => {
                    if connection.is_between_requests() {
                        return;
                    }
                    is_stopping = true;
                    serving.as_mut().graceful_shutdown();
                }
                served = &mut serving => break served,
            }
        };
        match served {
            Ok(()) => {}
            Err(error) if error.is_parse_too_large() => self.guard.record(CloseReason::HeaderSize),
            Err(error) => {
                log::debug!("http_connection_failed error={:?}", error.to_string());
            }
        }
    }
}

/// A stream that reports when bytes pass. The descriptor is closed before the connection is given
/// back.
struct CountedStream {
    stream: TcpStream,
    connection: Arc<OpenConnection>,
}

impl CountedStream {
    fn counted(&self, written: Poll<io::Result<usize>>) -> Poll<io::Result<usize>> {
        if matches!(written, Poll::Ready(Ok(count)) if count > 0) {
            self.connection.record_output();
        }
        written
    }
}

impl AsyncRead for CountedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let filled = buffer.filled().len();
        let read = Pin::new(&mut self.stream).poll_read(context, buffer);
        if buffer.filled().len() > filled {
            self.connection.record_input();
        }
        read
    }
}

impl AsyncWrite for CountedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write(context, bytes);
        self.counted(written)
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write_vectored(context, slices);
        self.counted(written)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }
}
