//! Limits on what other instances, targets and probes can make this instance hold, and the state
//! that enforces them.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::OnceLock;
use std::time::Duration;

use log::warn;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use tokio::sync::Notify;
use tokio::sync::Semaphore;
use tokio_util::sync::CancellationToken;

use heatherhollow_types::MonoTime;

use crate::byte_budget::ByteBudget;
use crate::byte_budget::HolderId;
use crate::clock;
use crate::connection_slots::ConnectionSlots;
use crate::connection_slots::SlotDecision;
use crate::metrics::ReasonLabel;

/// Limits for links between instances, connections to targets and the status address.
#[derive(Debug, Clone)]
pub struct PeerLimits {
    /// Most links that other instances have open. 89 instances open at most two each.
    pub max_links: usize,
    /// Most accepted links without a first frame. After a loss of power, all links may be opened at
    /// once.
    pub max_pending_links: usize,
    /// Time for the first frame of an accepted link.
    pub first_frame_timeout: Duration,
    /// Time without a byte of a frame that has begun.
    pub frame_stall_timeout: Duration,
    /// Time from the first to the last byte of a frame.
    pub frame_timeout: Duration,
    /// Most bytes of complete frames that wait for the main loop, on all links; a link is not read
    /// while there is no room for another one.
    pub waiting_bytes: usize,
    /// Time for a frame to be written.
    pub write_timeout: Duration,
    /// Most bytes of large incomplete frames, on all links.
    pub frame_bytes: usize,
    /// Most bytes of frames that wait to be written to one link.
    pub link_queue_bytes: usize,
    /// Most bytes that these frames hold on all links. Values of the store count only for the link,
    /// as the links share them.
    pub queue_bytes: usize,
    /// Most sessions that one link forwards.
    pub link_sessions: usize,
    /// Most sessions that all links forward.
    pub sessions: usize,
    /// Most unanswered statements of one forwarded session. An instance sends one at a time; more are
    /// unanswered only if it has given some up.
    pub session_statements: usize,
    /// Most bytes of unanswered statements of one link.
    pub link_statement_bytes: usize,
    /// Most bytes of unanswered statements of all links.
    pub statement_bytes: usize,
    /// Most bytes of incomplete answers of all targets.
    pub answer_bytes: usize,
    /// Most connections to the status address.
    pub max_status_connections: usize,
    /// Time for the header of a request to the status address, and for which a connection to it may
    /// be idle.
    pub status_timeout: Duration,
}

impl Default for PeerLimits {
    fn default() -> Self {
        Self {
            max_links: 512,
            max_pending_links: 192,
            first_frame_timeout: Duration::from_secs(10),
            frame_stall_timeout: Duration::from_secs(5),
            frame_timeout: Duration::from_secs(30),
            waiting_bytes: 4 << 20,
            write_timeout: Duration::from_secs(10),
            frame_bytes: 12 << 20,
            link_queue_bytes: 16 << 20,
            queue_bytes: 16 << 20,
            link_sessions: 4_096,
            sessions: 16_384,
            session_statements: 32,
            link_statement_bytes: 8 << 20,
            statement_bytes: 16 << 20,
            answer_bytes: 12 << 20,
            max_status_connections: 64,
            status_timeout: Duration::from_secs(30),
        }
    }
}

/// Size from which an incomplete frame or answer counts towards its budget, in bytes. Smaller ones
/// are bounded by the number of connections.
pub(crate) const LARGE_BYTES: usize = 16 << 10;

/// Interval in which at most one line is logged for each reason.
const LOG_INTERVAL: Duration = Duration::from_secs(1);

/// Why a connection was closed or refused, or a statement refused, for a limit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LimitReason {
    /// There are too many links.
    LinkCount,
    /// The first frame of a link did not arrive in time.
    FirstFrame,
    /// A frame did not arrive in time.
    FrameTimeout,
    /// The incomplete frames of all links were too large.
    FrameBytes,
    /// The frames that waited for one link were too large.
    LinkQueue,
    /// The frames that waited for all links were too large.
    QueueBytes,
    /// A frame was not read in time.
    WriteTimeout,
    /// A link broke the rules of the protocol.
    LinkProtocol,
    /// Links forwarded too many sessions.
    SessionCount,
    /// A forwarded session had too many unanswered statements.
    StatementCount,
    /// The unanswered statements of links were too large.
    StatementBytes,
    /// The answer of a target was too large.
    AnswerSize,
    /// The incomplete answers of all targets were too large.
    AnswerBytes,
    /// There were too many connections to the status address.
    StatusCount,
}

impl LimitReason {
    /// Returns the reason as the label of a metric.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::LinkCount => "link_count",
            Self::FirstFrame => "first_frame",
            Self::FrameTimeout => "frame_timeout",
            Self::FrameBytes => "frame_bytes",
            Self::LinkQueue => "link_queue",
            Self::QueueBytes => "queue_bytes",
            Self::WriteTimeout => "write_timeout",
            Self::LinkProtocol => "link_protocol",
            Self::SessionCount => "session_count",
            Self::StatementCount => "statement_count",
            Self::StatementBytes => "statement_bytes",
            Self::AnswerSize => "answer_size",
            Self::AnswerBytes => "answer_bytes",
            Self::StatusCount => "status_count",
        }
    }
}

/// When a reason was last logged, and what was left out since.
struct LoggedReason {
    reason: LimitReason,
    logged_at: MonoTime,
    omitted: u64,
}

/// Limits and the state that enforces them.
pub struct PeerGuard {
    /// The limits.
    pub limits: PeerLimits,
    pub(crate) frames: Arc<SharedBudget>,
    pub(crate) queues: Arc<SharedBudget>,
    pub(crate) answers: Arc<SharedBudget>,
    /// Units of [`LARGE_BYTES`] of complete frames that may wait for the main loop.
    pub(crate) waiting: Arc<Semaphore>,
    pub(crate) links: Arc<SharedSlots>,
    pub(crate) status: Arc<SharedSlots>,
    /// Connections closed and statements refused, by reason.
    pub(crate) exceeded: Family<ReasonLabel, Counter>,
    logged: Mutex<Vec<LoggedReason>>,
}

impl Default for PeerGuard {
    fn default() -> Self {
        Self::new(PeerLimits::default())
    }
}

static PROCESS_GUARD: OnceLock<Arc<PeerGuard>> = OnceLock::new();

/// Sets the limits of this process; returns false if they are in use already.
pub fn set_peer_limits(limits: PeerLimits) -> bool {
    PROCESS_GUARD.set(Arc::new(PeerGuard::new(limits))).is_ok()
}

impl PeerGuard {
    /// Creates a guard with nothing in use.
    pub fn new(limits: PeerLimits) -> Self {
        let links = ConnectionSlots::new(limits.max_links, limits.max_pending_links, false);
        let max_status = limits.max_status_connections;
        let status = ConnectionSlots::new(max_status, max_status, true);
        Self {
            frames: SharedBudget::new(limits.frame_bytes),
            queues: SharedBudget::new(limits.queue_bytes),
            answers: SharedBudget::new(limits.answer_bytes),
            waiting: Arc::new(Semaphore::new((limits.waiting_bytes / LARGE_BYTES).max(1))),
            links: SharedSlots::new(links),
            status: SharedSlots::new(status),
            exceeded: Family::default(),
            logged: Mutex::default(),
            limits,
        }
    }

    /// Returns the guard of this process, with default limits if none were set.
    pub(crate) fn of_process() -> Arc<Self> {
        PROCESS_GUARD.get_or_init(Arc::default).clone()
    }

    /// Counts a reason, and logs it at most once in [`LOG_INTERVAL`].
    pub(crate) fn record(&self, reason: LimitReason) {
        let text = reason.as_str();
        let label = ReasonLabel { reason: text };
        self.exceeded.get_or_create(&label).inc();
        let now = clock::now();
        let mut logged = lock(&self.logged);
        let i = match logged.iter().position(|known| known.reason == reason) {
            Some(i) if now.since(logged[i].logged_at) < LOG_INTERVAL => {
                logged[i].omitted += 1;
                return;
            }
            Some(i) => i,
            None => {
                logged.push(LoggedReason {
                    reason,
                    logged_at: now,
                    omitted: 0,
                });
                logged.len() - 1
            }
        };
        logged[i].logged_at = now;
        let omitted = std::mem::take(&mut logged[i].omitted);
        warn!("peer_limit_exceeded reason={text} omitted={omitted}");
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().expect("no holder of the lock panics")
}

/// A budget whose holders are told when they have to close.
pub(crate) struct SharedBudget {
    state: Mutex<BudgetState>,
    /// Notified when a holder has given bytes back.
    returned: Notify,
}

struct BudgetState {
    budget: ByteBudget,
    /// Sorted by holder.
    closings: Vec<(HolderId, CancellationToken)>,
}

impl SharedBudget {
    fn new(limit: usize) -> Arc<Self> {
        let state = BudgetState {
            budget: ByteBudget::new(limit),
            closings: Vec::new(),
        };
        Arc::new(Self {
            state: Mutex::new(state),
            returned: Notify::new(),
        })
    }

    /// Returns the bytes in use.
    pub(crate) fn used(&self) -> usize {
        lock(&self.state).budget.used()
    }

    /// Adds a holder without bytes.
    pub(crate) fn share(self: &Arc<Self>) -> BudgetShare {
        let closing = CancellationToken::new();
        let mut state = lock(&self.state);
        let holder = state.budget.add_holder(clock::now());
        state.closings.push((holder, closing.clone()));
        drop(state);
        BudgetShare {
            budget: self.clone(),
            holder,
            closing,
        }
    }
}

/// A holder of a budget; dropping it returns its bytes.
pub(crate) struct BudgetShare {
    budget: Arc<SharedBudget>,
    holder: HolderId,
    /// Cancelled when the holder has to close.
    pub(crate) closing: CancellationToken,
}

impl BudgetShare {
    /// Sets the bytes; tells the holders that have to close for them.
    pub(crate) fn set_bytes(&self, bytes: usize, is_progress: bool) {
        let now = clock::now();
        let mut state = lock(&self.budget.state);
        let closed = state.budget.set_bytes(self.holder, bytes, is_progress, now);
        for holder in closed {
            if let Ok(i) = state.closings.binary_search_by_key(&holder, |(id, _)| *id) {
                state.closings[i].1.cancel();
            }
        }
        if state.budget.has_room() {
            self.budget.returned.notify_waiters();
        }
    }

    /// Waits until the bytes of all holders, also of those that are closing, are within the limit.
    pub(crate) async fn wait_for_room(&self) {
        loop {
            let returned = self.budget.returned.notified();
            if lock(&self.budget.state).budget.has_room() {
                return;
            }
            returned.await;
        }
    }
}

impl Drop for BudgetShare {
    fn drop(&mut self) {
        let mut state = lock(&self.budget.state);
        state.budget.remove_holder(self.holder);
        let found = state
            .closings
            .binary_search_by_key(&self.holder, |(id, _)| *id);
        if let Ok(i) = found {
            state.closings.remove(i);
        }
        if state.budget.has_room() {
            self.budget.returned.notify_waiters();
        }
    }
}

/// Slots whose connections are told when they have to close.
pub(crate) struct SharedSlots {
    state: Mutex<SlotState>,
    /// Notified when a connection has ended.
    ended: Notify,
}

struct SlotState {
    slots: ConnectionSlots,
    /// Connections that have not ended, also those that are closing; sorted by number.
    closings: Vec<(u64, CancellationToken)>,
    next: u64,
}

impl SharedSlots {
    fn new(slots: ConnectionSlots) -> Arc<Self> {
        let state = SlotState {
            slots,
            closings: Vec::new(),
            next: 0,
        };
        Arc::new(Self {
            state: Mutex::new(state),
            ended: Notify::new(),
        })
    }

    /// Takes a slot for a new connection; `None` if it has to be closed at once.
    ///
    /// The connection that is closed for it is told, and its end is waited for. Otherwise an accept
    /// loop that finds many connections at once takes more descriptors than there are slots before
    /// the tasks of the closed ones run.
    pub(crate) async fn admit(self: &Arc<Self>) -> Option<SlotShare> {
        let (share, replaced) = self.try_admit()?;
        if let Some(replaced) = replaced {
            self.wait_for_end(replaced).await;
        }
        Some(share)
    }

    /// Takes a slot and tells the connection that is closed for it, whose number is returned.
    fn try_admit(self: &Arc<Self>) -> Option<(SlotShare, Option<u64>)> {
        let mut state = lock(&self.state);
        let number = state.next;
        state.next += 1;
        let replaced = match state.slots.admit(number) {
            SlotDecision::Admitted => None,
            SlotDecision::Replaces(replaced) => Some(replaced),
            SlotDecision::Refused => return None,
        };
        if let Some(replaced) = replaced
            && let Ok(i) = state.closings.binary_search_by_key(&replaced, |(n, _)| *n)
        {
            state.closings[i].1.cancel();
        }
        let closing = CancellationToken::new();
        state.closings.push((number, closing.clone()));
        drop(state);
        let share = SlotShare {
            slots: self.clone(),
            number,
            closing,
        };
        Some((share, replaced))
    }

    /// Returns whether a connection has not ended.
    fn is_open(&self, number: u64) -> bool {
        let closings = &lock(&self.state).closings;
        closings.binary_search_by_key(&number, |(n, _)| *n).is_ok()
    }

    async fn wait_for_end(&self, number: u64) {
        loop {
            let ended = self.ended.notified();
            if !self.is_open(number) {
                return;
            }
            ended.await;
        }
    }
}

/// The slot of a connection; dropping it frees the slot. It is dropped after the descriptor of the
/// connection has been closed.
pub(crate) struct SlotShare {
    slots: Arc<SharedSlots>,
    number: u64,
    /// Cancelled when the connection has to close.
    pub(crate) closing: CancellationToken,
}

impl SlotShare {
    /// Records that the connection has sent something complete.
    pub(crate) fn record_use(&self) {
        lock(&self.slots.state).slots.record_use(self.number);
    }
}

impl Drop for SlotShare {
    fn drop(&mut self) {
        let mut state = lock(&self.slots.state);
        state.slots.remove(self.number);
        let number = self.number;
        if let Ok(i) = state.closings.binary_search_by_key(&number, |(n, _)| *n) {
            state.closings.remove(i);
        }
        drop(state);
        self.slots.ended.notify_waiters();
    }
}
