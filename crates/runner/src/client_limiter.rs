//! Applies the budget of clients to their connections: tells connections to close, wakes those
//! that wait for room, and counts and logs what was refused and closed.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use log::warn;
use tokio::sync::Notify;
use tokio::sync::futures::Notified;
use tokio::sync::oneshot;

use heatherhollow_gateway::ClientId;
use heatherhollow_types::MonoTime;

use crate::client_budget::Admission;
use crate::client_budget::ClientBudget;
use crate::client_budget::ClientLimits;
use crate::client_budget::Reservation;
use crate::clock;
use crate::metrics::RunnerMetrics;

/// Shortest time between two log lines of refused and closed connections.
const LOG_INTERVAL: Duration = Duration::from_secs(1);

/// Reason why a connection is closed that its client did not end.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CloseReason {
    /// It reserved the most memory for the longest time when another connection needed memory.
    Memory,
    /// It had not started a session when another connection needed its descriptor.
    Descriptors,
    /// It did not start a session in time.
    StartTimeout,
    /// It did not complete a line in time.
    LineTimeout,
    /// It read nothing of a waiting answer in time.
    ReadTimeout,
}

impl CloseReason {
    /// Returns the name in metrics and log lines.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Memory => "memory",
            Self::Descriptors => "descriptors",
            Self::StartTimeout => "start_timeout",
            Self::LineTimeout => "line_timeout",
            Self::ReadTimeout => "read_timeout",
        }
    }
}

/// The budget and what is needed to close connections.
struct LimiterState {
    budget: ClientBudget,
    /// Sorted by client.
    closers: Vec<(ClientId, oneshot::Sender<CloseReason>)>,
    /// When the last line was logged.
    logged_at: Option<MonoTime>,
    /// Number of refused and closed connections that were not logged since.
    unlogged: u64,
}

/// Limits what the connections of clients take together.
///
/// The lock is held only for a decision; no other lock is taken meanwhile.
pub struct ClientLimiter {
    state: Mutex<LimiterState>,
    room: Notify,
    metrics: Arc<RunnerMetrics>,
}

impl ClientLimiter {
    /// Creates a limiter without connections.
    pub fn new(limits: ClientLimits, metrics: Arc<RunnerMetrics>) -> Self {
        Self {
            state: Mutex::new(LimiterState {
                budget: ClientBudget::new(limits),
                closers: Vec::new(),
                logged_at: None,
                unlogged: 0,
            }),
            room: Notify::new(),
            metrics,
        }
    }

    fn state(&self) -> MutexGuard<'_, LimiterState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Waits until a connection ends. Connections that end after this call count, even if the
    /// future has not been polled yet.
    pub fn wait_for_room(&self) -> Notified<'_> {
        self.room.notified()
    }

    /// Waits until the connection may be served and returns the channel over which it is told to
    /// close; `None` if it is refused.
    pub async fn admit(&self, client: ClientId) -> Option<oneshot::Receiver<CloseReason>> {
        loop {
            let room = self.wait_for_room();
            {
                let mut state = self.state();
                match state.budget.admit(client, clock::now()) {
                    Admission::Admitted => {
                        let (closer, closing) = oneshot::channel();
                        state.closers.push((client, closer));
                        return Some(closing);
                    }
                    Admission::Close(victim) => {
                        self.signal_close(&mut state, victim, CloseReason::Descriptors);
                    }
                    Admission::Wait => {}
                    Admission::Refused => {
                        self.metrics.count_refused_client("descriptors");
                        log_limited(&mut state, || {
                            format!("client_refused client={client} reason=descriptors")
                        });
                        return None;
                    }
                }
            }
            room.await;
        }
    }

    /// Records that the session of a client has started.
    pub fn mark_started(&self, client: ClientId) {
        self.state().budget.mark_started(client);
    }

    /// Records that a client sent or read something.
    pub fn mark_progress(&self, client: ClientId) {
        self.state().budget.mark_progress(client, clock::now());
    }

    /// Reserves an input buffer; returns whether it is granted.
    pub fn reserve_input(&self, client: ClientId, input: usize) -> bool {
        let mut state = self.state();
        let reservation = state.budget.reserve_input(client, input, clock::now());
        self.apply_reservation(&mut state, reservation)
    }

    /// Reserves a statement whose line leaves `input` bytes of the input buffer; returns whether it
    /// is granted.
    pub fn reserve_statement(&self, client: ClientId, input: usize, cost: usize) -> bool {
        let mut state = self.state();
        let now = clock::now();
        let reservation = state.budget.reserve_statement(client, input, cost, now);
        self.apply_reservation(&mut state, reservation)
    }

    fn apply_reservation(&self, state: &mut LimiterState, reservation: Reservation) -> bool {
        match reservation {
            Reservation::Granted => true,
            Reservation::Wait => false,
            Reservation::Close(victim) => {
                self.signal_close(state, victim, CloseReason::Memory);
                false
            }
        }
    }

    /// Reserves an answer of a session that takes `session` bytes; returns whether the answer may
    /// be sent.
    pub fn reserve_answer(&self, client: ClientId, answer: usize, session: usize) -> bool {
        let mut state = self.state();
        let now = clock::now();
        let (reservation, victims) = state.budget.reserve_answer(client, answer, session, now);
        for victim in victims {
            self.signal_close(&mut state, victim, CloseReason::Memory);
        }
        reservation == Reservation::Granted
    }

    /// Releases answered statements and written answers.
    pub fn release(&self, client: ClientId, statements: usize, answers: usize) {
        let mut state = self.state();
        let now = clock::now();
        state.budget.release(client, statements, answers, now);
    }

    /// Tells a client's connection to close.
    pub fn close(&self, client: ClientId, reason: CloseReason) {
        let mut state = self.state();
        if state.budget.close(client) {
            self.signal_close(&mut state, client, reason);
        }
    }

    /// Counts a connection that its task closes for its own timeout.
    pub fn record_timeout(&self, client: ClientId, reason: CloseReason) {
        let mut state = self.state();
        if state.budget.close(client) {
            take_closer(&mut state, client);
            self.count_closed(&mut state, client, reason);
        }
    }

    /// Releases all that a connection took after it has ended.
    pub fn remove(&self, client: ClientId) {
        let mut state = self.state();
        state.budget.remove(client);
        take_closer(&mut state, client);
        drop(state);
        self.room.notify_waiters();
    }

    /// Updates the metrics of the bytes that clients take.
    pub fn update_metrics(&self) {
        let bytes = self.state().budget.bytes();
        let parts = [
            ("input", bytes.input),
            ("statements", bytes.statements),
            ("answers", bytes.answers),
            ("sessions", bytes.sessions),
        ];
        for (part, bytes) in parts {
            self.metrics.set_client_bytes(part, bytes);
        }
    }

    fn signal_close(&self, state: &mut LimiterState, client: ClientId, reason: CloseReason) {
        let Some(closer) = take_closer(state, client) else {
            return;
        };
        // Sending fails if the connection has just ended.
        let _is_received = closer.send(reason).is_ok();
        self.count_closed(state, client, reason);
    }

    fn count_closed(&self, state: &mut LimiterState, client: ClientId, reason: CloseReason) {
        let reason = reason.as_str();
        self.metrics.count_closed_client(reason);
        let reserved = state.budget.reserved_bytes();
        log_limited(state, || {
            format!("client_closed client={client} reason={reason} reserved_bytes={reserved}")
        });
    }
}

/// Removes and returns the channel over which a connection is told to close.
fn take_closer(state: &mut LimiterState, client: ClientId) -> Option<oneshot::Sender<CloseReason>> {
    let closers = &mut state.closers;
    let found = closers.binary_search_by_key(&client, |(known, _)| *known);
    found.ok().map(|i| closers.remove(i).1)
}

/// Logs a line, or counts it if the last one was logged less than [`LOG_INTERVAL`] ago.
fn log_limited(state: &mut LimiterState, line: impl FnOnce() -> String) {
    let now = clock::now();
    let is_due = state
        .logged_at
        .is_none_or(|logged_at| now.since(logged_at) >= LOG_INTERVAL);
    if !is_due {
        state.unlogged += 1;
        return;
    }
    state.logged_at = Some(now);
    let omitted = std::mem::take(&mut state.unlogged);
    warn!("{} omitted={omitted}", line());
}
