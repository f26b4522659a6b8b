//! The open connections of an HTTP listener: closes those beyond the limits, and counts and logs them.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use tokio::sync::Notify;
use tokio_util::sync::CancellationToken;

use heatherhollow_limits::ConnectionNumber;
use heatherhollow_limits::ListenerSlots;
use heatherhollow_limits::SlotAdmission;
use heatherhollow_limits::SlotExpiry;
use heatherhollow_limits::SlotLimits;
use heatherhollow_ports::ClockPort;
use heatherhollow_ports::TokioClock;
use heatherhollow_types::MonoTime;

use crate::metrics::ListenerLabel;
use crate::metrics::ProxyMetrics;

/// Interval in which at most one line is logged for each reason.
const LOG_INTERVAL: Duration = Duration::from_secs(1);

/// Why a connection was closed or refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum CloseReason {
    /// All connections had a request in progress.
    Refused,
    /// It was closed for a new one.
    Replaced,
    /// A request header did not end in time.
    HeaderTimeout,
    /// A request header was too large.
    HeaderSize,
    /// No request began in time.
    Idle,
}

impl CloseReason {
    const ALL: [Self; 5] = [
        Self::Refused,
        Self::Replaced,
        Self::HeaderTimeout,
        Self::HeaderSize,
        Self::Idle,
    ];

    /// Returns the reason as the label of a metric.
    fn as_str(self) -> &'static str {
        match self {
            Self::Refused => "refused",
            Self::Replaced => "replaced",
            Self::HeaderTimeout => "header_timeout",
            Self::HeaderSize => "header_size",
            Self::Idle => "idle",
        }
    }
}

impl From<SlotExpiry> for CloseReason {
    fn from(expiry: SlotExpiry) -> Self {
        match expiry {
            SlotExpiry::Header => Self::HeaderTimeout,
            SlotExpiry::Idle => Self::Idle,
        }
    }
}

/// When a reason was last logged, and how often it was left out since.
#[derive(Default)]
struct LoggedReason {
    logged_at: Option<MonoTime>,
    omitted: u64,
}

struct GuardState {
    slots: ListenerSlots,
    /// Connections whose descriptors are open, also those that are closing; sorted by number.
    open: Vec<(ConnectionNumber, CancellationToken)>,
    next: u64,
    /// One for each reason, in the order of [`CloseReason::ALL`].
    logged: [LoggedReason; CloseReason::ALL.len()],
}

impl GuardState {
    fn close(&self, number: ConnectionNumber) {
        if let Ok(i) = self.open.binary_search_by_key(&number, |(open, _)| *open) {
            self.open[i].1.cancel();
        }
    }
}

/// The open connections of a listener and their limits.
pub(crate) struct ListenerGuard {
    name: &'static str,
    max_open: usize,
    metrics: Arc<ProxyMetrics>,
    clock: TokioClock,
    state: Mutex<GuardState>,
    /// Notified when the descriptor of a connection has been closed.
    closed: Notify,
}

impl ListenerGuard {
    /// Creates a guard without connections. `name` is the label of the listener.
    pub(crate) fn new(name: &'static str, limits: SlotLimits, metrics: Arc<ProxyMetrics>) -> Self {
        for reason in CloseReason::ALL {
            let _ = metrics
                .http_connections_closed
                .get_or_create(&ListenerLabel {
                    listener: name,
                    reason: reason.as_str(),
                });
        }
        Self {
            name,
            max_open: limits.max_open,
            metrics,
            clock: TokioClock::default(),
            state: Mutex::new(GuardState {
                slots: ListenerSlots::new(limits),
                open: Vec::new(),
                next: 0,
                logged: Default::default(),
            }),
            closed: Notify::new(),
        }
    }

    fn state(&self) -> MutexGuard<'_, GuardState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Decides on an accepted connection; `None` if it has to be closed at once.
    ///
    /// Waits until connections that are closed for it have given back their descriptors. Otherwise
    /// many connections at once could take more descriptors than the limit before they are closed.
    pub(crate) async fn admit(self: &Arc<Self>) -> Option<OpenConnection> {
        let connection = self.try_admit()?;
        self.wait_until_open(self.max_open).await;
        Some(connection)
    }

    fn try_admit(self: &Arc<Self>) -> Option<OpenConnection> {
        let now = self.clock.now();
        let mut state = self.state();
        let number = ConnectionNumber(state.next);
        state.next += 1;
        match state.slots.admit(number, now) {
            SlotAdmission::Admitted => {}
            SlotAdmission::Replaces(replaced) => {
                state.close(replaced);
                self.count(&mut state, CloseReason::Replaced, now);
            }
            SlotAdmission::Refused => {
                self.count(&mut state, CloseReason::Refused, now);
                return None;
            }
        }
        let closing = CancellationToken::new();
        state.open.push((number, closing.clone()));
        drop(state);
        Some(OpenConnection {
            guard: self.clone(),
            number,
            closing,
        })
    }

    /// Waits until at most `count` descriptors are open.
    pub(crate) async fn wait_until_open(&self, count: usize) {
        loop {
            let closed = self.closed.notified();
            if self.state().open.len() <= count {
                return;
            }
            closed.await;
        }
    }

    /// Closes the connections whose time is over.
    pub(crate) fn close_expired(&self) {
        let now = self.clock.now();
        let mut state = self.state();
        for (number, expiry) in state.slots.expire(now) {
            state.close(number);
            self.count(&mut state, expiry.into(), now);
        }
    }

    /// Closes all connections.
    pub(crate) fn close_all(&self) {
        for (_, closing) in &self.state().open {
            closing.cancel();
        }
    }

    /// Counts a connection that was closed or refused, and logs it.
    pub(crate) fn record(&self, reason: CloseReason) {
        self.count(&mut self.state(), reason, self.clock.now());
    }

    fn count(&self, state: &mut GuardState, reason: CloseReason, now: MonoTime) {
        let (listener, text) = (self.name, reason.as_str());
        let label = ListenerLabel {
            listener,
            reason: text,
        };
        let closed = &self.metrics.http_connections_closed;
        closed.get_or_create(&label).inc();
        let logged = &mut state.logged[reason as usize];
        let last = logged.logged_at;
        if last.is_some_and(|last| now.since(last) < LOG_INTERVAL) {
            logged.omitted += 1;
            return;
        }
        logged.logged_at = Some(now);
        let omitted = std::mem::take(&mut logged.omitted);
        log::warn!("http_connection_closed listener={listener} reason={text} omitted={omitted}");
    }
}

/// A connection of a listener. It is dropped after its descriptor has been closed.
pub(crate) struct OpenConnection {
    guard: Arc<ListenerGuard>,
    number: ConnectionNumber,
    /// Cancelled when the connection has to close.
    pub(crate) closing: CancellationToken,
}

impl OpenConnection {
    /// Records that bytes arrived.
    pub(crate) fn record_input(&self) {
        let now = self.guard.clock.now();
        self.guard.state().slots.record_input(self.number, now);
    }

    /// Records that bytes were written.
    pub(crate) fn record_output(&self) {
        let now = self.guard.clock.now();
        self.guard.state().slots.record_output(self.number, now);
    }

    /// Records that a request header is complete. The request is in progress until the returned
    /// value is dropped.
    pub(crate) fn begin_request(self: &Arc<Self>) -> OpenRequest {
        self.guard.state().slots.record_header(self.number);
        OpenRequest(self.clone())
    }

    /// Returns whether nothing of a request has arrived since the last answer.
    pub(crate) fn is_between_requests(&self) -> bool {
        self.guard.state().slots.is_between_requests(self.number)
    }
}

impl Drop for OpenConnection {
    fn drop(&mut self) {
        let mut state = self.guard.state();
        state.slots.remove(self.number);
        let number = self.number;
        if let Ok(i) = state.open.binary_search_by_key(&number, |(open, _)| *open) {
            state.open.remove(i);
        }
        drop(state);
        self.guard.closed.notify_waiters();
    }
}

/// A request in progress; dropped once it has been answered.
pub(crate) struct OpenRequest(Arc<OpenConnection>);

impl Drop for OpenRequest {
    fn drop(&mut self) {
        let connection = &self.0;
        let now = connection.guard.clock.now();
        let mut state = connection.guard.state();
        state.slots.record_answer(connection.number, now);
    }
}
