//! State of a client's session: its values, its transaction and the statement in progress.

use std::cmp::Reverse;
use std::collections::VecDeque;
use std::time::Duration;

use heatherhollow_tenants::KeyDigest;
use heatherhollow_tenants::TenantName;
use heatherhollow_types::GroupPosition;
use heatherhollow_types::MonoTime;
use heatherhollow_types::TargetIndex;
use heatherhollow_types::TermNumber;

use crate::catalog::RouteFreshness;
use crate::catalog::SessionRoute;
use crate::fair_order::QueuedStatement;
use crate::group::GroupIndex;
use crate::message::ClientId;
use crate::message::ClientQuery;
use crate::message::SessionState;
use crate::message::TargetAnswer;
use crate::pool::ConnectionId;
use crate::settings::GatewaySettings;
use crate::statement::PreparedShape;
use crate::statement::Statement;

/// Fraction of its latency objective after which a waiting statement counts as late. The rest of
/// the objective is for running the statement and, in a transaction, the statements that follow.
const LATEST_START_FRACTION: f64 = 0.5;

/// Ratio of the time that is reserved for running a statement to the mean time of statements at the
/// target. Times deviate from their mean by about half of it.
const MEAN_TIME_FACTOR: u32 = 2;

/// Bytes that a session value or prepared statement takes beside its texts.
const STATE_ENTRY_OVERHEAD: usize = 128;

/// Kind of a statement that runs at a target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum RequestKind {
    /// A read.
    Read,
    /// A write.
    Write,
    /// The commit of a transaction.
    Commit,
}

/// Evidence that the answer of a primary requires before it is sent to the client.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum AnswerProof {
    /// The target was the primary at this time or later.
    LedSince(MonoTime),
    /// A listed replica that is not draining holds the commit.
    Replicated,
}

/// Progress of a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum RequestStage {
    /// The request waits for a connection.
    Queued,
    /// A connection is lent to the request and is being set up; the statement has not been sent.
    Preparing(ConnectionId),
    /// The statement was sent on the connection.
    Sent(ConnectionId),
    /// The statement was forwarded to the home of its group.
    Forwarded {
        /// Name of the home instance.
        home: String,
        /// Serial number of the forwarded statement, which distinguishes its answer from a late
        /// answer to an earlier statement.
        serial: u64,
    },
    /// The target answered, and the answer is held until there is evidence for it.
    Held {
        /// Answer of the target.
        answer: TargetAnswer,
        /// Evidence that the answer requires.
        proof: AnswerProof,
    },
}

/// Result of the last pass over the queue for a waiting statement.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum PlacementState {
    /// No pass has considered the statement yet.
    Unevaluated,
    /// The statement waits for capacity at this target.
    Target(TargetIndex),
    /// No target can serve the statement now.
    NoTarget,
}

/// A statement in progress that needs a target.
#[derive(Debug, Clone)]
pub(crate) struct ClientRequest {
    pub query: ClientQuery,
    pub kind: RequestKind,
    pub group: GroupIndex,
    pub route: SessionRoute,
    /// When the statement arrived.
    pub received_at: MonoTime,
    /// Time from which the freshness of reads is counted: the begin of the transaction, or the
    /// arrival of the statement outside of one.
    pub freshness_from: MonoTime,
    pub sent_at: MonoTime,
    /// Number of connections that have been lent to the request.
    pub attempts: u32,
    /// Number of attempts that failed for another reason than a busy or lagging target.
    pub failures: u32,
    /// Time before which the statement is not sent to a target.
    pub not_before: MonoTime,
    /// Targets that lacked the required position or failed the statement, each with the time until
    /// which it is not tried again.
    pub avoided: Vec<(TargetIndex, MonoTime)>,
    /// Target or home that the statement was last sent to, for log lines.
    pub sent_to: String,
    /// Term of the group when the statement was last sent.
    pub term: TermNumber,
    /// Whether the statement was sent to the primary of that term.
    pub is_at_primary: bool,
    /// Whether the statement, or the begin of its transaction, was ever sent to a target.
    pub was_sent: bool,
    pub stage: RequestStage,
    /// What the request waits for while it is queued.
    pub placement_state: PlacementState,
    /// Whether a request of another tenant has passed this one in the queue.
    pub is_overtaken: bool,
}

impl ClientRequest {
    /// Returns whether a target must not be tried again yet.
    pub fn is_avoided(&self, target: TargetIndex, now: MonoTime) -> bool {
        self.avoided
            .iter()
            .any(|(avoided, until)| *avoided == target && now < *until)
    }

    /// Returns the time at which the time limit of the statement passes.
    pub fn deadline(&self) -> MonoTime {
        self.received_at + self.route.timeout
    }

    /// Returns how long the request may wait for a connection.
    pub fn queue_time_limit(&self, settings: &GatewaySettings) -> Duration {
        let timeout = self.route.timeout;
        let objective_limit = timeout.mul_f64(settings.objective_fraction);
        let minimum = timeout.mul_f64(settings.queue_fraction);
        self.route.objective.min(objective_limit).max(minimum)
    }

    /// Returns the place of the request in the queue order, given the mean time of a statement.
    pub fn urgency(&self, mean_time: Duration, now: MonoTime) -> RequestUrgency {
        if now <= self.latest_start(mean_time) {
            RequestUrgency::InTime(self.received_at + self.route.objective, self.route.priority)
        } else {
            RequestUrgency::Late(Reverse(self.received_at))
        }
    }

    /// Returns the time after which the request counts as late, given the mean time of a statement.
    fn latest_start(&self, mean_time: Duration) -> MonoTime {
        let objective = self.route.objective;
        let latest_delay = objective.saturating_sub(mean_time * MEAN_TIME_FACTOR);
        self.received_at + latest_delay.min(objective.mul_f64(LATEST_START_FRACTION))
    }

    /// Returns the request as the order of a queue with several tenants sees it, given the mean time
    /// of a statement.
    pub fn queued_for<'a>(
        &self,
        tenant: Option<&'a TenantName>,
        mean_time: Duration,
        now: MonoTime,
    ) -> QueuedStatement<'a> {
        let left = self.latest_start(mean_time).since(now);
        QueuedStatement {
            tenant,
            urgency: self.urgency(mean_time, now),
            has_waited_half: now.since(self.received_at) >= self.route.objective / 2,
            is_pressed: left < mean_time * MEAN_TIME_FACTOR,
        }
    }
}

/// Sort key of waiting statements; the most urgent sorts first.
///
/// In a queue that does not drain, serving in the order of arrival would serve every statement
/// late. So statements that can still meet their objective go first, by earliest deadline, and late
/// statements get the remaining capacity, the newest first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum RequestUrgency {
    /// A statement that can still meet its objective: the time at which the objective passes, and
    /// its priority.
    InTime(MonoTime, u32),
    /// A statement that is unlikely to meet its objective: its arrival.
    Late(Reverse<MonoTime>),
}

/// An open transaction of a session.
#[derive(Debug, Clone)]
pub(crate) struct OpenTransaction {
    pub is_read_only: bool,
    pub begun_at: MonoTime,
    pub route: SessionRoute,
    pub group: GroupIndex,
    /// Connection that the transaction runs on; `None` before its first statement and if it is
    /// forwarded.
    pub connection: Option<ConnectionId>,
    /// Home instance that the statements are forwarded to; `None` if they run from this instance.
    pub home: Option<String>,
    /// Whether a statement of the transaction has been answered.
    pub has_run: bool,
    pub has_written: bool,
    /// Term of the primary at which the transaction was begun without a required position; `None`
    /// if the target checked one.
    pub begun_in_term: Option<TermNumber>,
    /// Whether there is evidence that the target was the primary when the transaction began.
    pub is_verified: bool,
    /// Whether the transaction has taken its token, or needs none.
    pub is_admitted: bool,
    /// When the last statement was answered, or the transaction was begun.
    pub idle_since: MonoTime,
}

impl OpenTransaction {
    /// Creates a transaction without statements.
    pub fn new(is_read_only: bool, route: SessionRoute, group: GroupIndex, now: MonoTime) -> Self {
        Self {
            is_read_only,
            begun_at: now,
            route,
            group,
            connection: None,
            home: None,
            has_run: false,
            has_written: false,
            begun_in_term: None,
            is_verified: false,
            is_admitted: false,
            idle_since: now,
        }
    }

    /// Returns whether the transaction was begun at a primary that has been replaced, so that a
    /// statement of this kind must not run there.
    ///
    /// No position was checked at the begin, and no more evidence for the old term can arrive.
    /// Reads remain valid if the target was verified as the primary at the begin; a write there
    /// would be lost.
    pub fn is_primary_replaced(&self, leads: Option<TermNumber>, kind: RequestKind) -> bool {
        let is_replaced = self.begun_in_term.is_some() && self.begun_in_term != leads;
        let is_reading = match kind {
            RequestKind::Read => true,
            RequestKind::Write => false,
            RequestKind::Commit => !self.has_written,
        };
        is_replaced && !(self.is_verified && is_reading)
    }
}

/// Transaction state of a session.
#[derive(Debug, Clone, Default)]
pub(crate) enum SessionTransaction {
    /// No transaction is open.
    #[default]
    None,
    /// A transaction is open.
    Open(OpenTransaction),
    /// The transaction was rolled back, and the client has not ended it yet.
    Failed {
        /// Whether the rollback has been reported to the client.
        is_reported: bool,
    },
}

/// A statement that waits for a token of its tenant.
#[derive(Debug, Clone)]
pub(crate) struct WaitingQuery {
    pub query: ClientQuery,
    /// When the statement arrived.
    pub received_at: MonoTime,
}

/// State of a client's session.
#[derive(Debug, Clone)]
pub(crate) struct ClientSession {
    pub id: ClientId,
    /// Database of the session; `None` until the session is started.
    pub database: Option<String>,
    /// Database that was requested before the first catalog was read, and the time of the request.
    pub pending_start: Option<(String, MonoTime)>,
    /// Digest of the key that the client sent.
    pub key: Option<KeyDigest>,
    /// Tenant that the present statement or transaction runs for; `None` if its route needs no key.
    pub tenant: Option<TenantName>,
    /// Version of the catalog in which the key was resolved to the tenant, at this instance or the
    /// one that forwards the session.
    pub resolved_in: u64,
    /// Whether the key has been revoked since it was resolved. The session ends as soon as no
    /// statement of it is in progress at a target or home.
    pub is_revoked: bool,
    /// Session values, sorted by name.
    pub values: Vec<(String, String)>,
    /// Prepared statements, sorted by name.
    pub prepared: Vec<(String, PreparedShape)>,
    /// Bytes of the values and prepared statements that the client has set at this instance.
    pub state_bytes: usize,
    /// Position of the session's last commit in each group, sorted by group. Each group has its
    /// own, as a route may move to another group, whose terms and positions are unrelated.
    positions: Vec<(GroupIndex, GroupPosition)>,
    /// Whether the session has a commit whose outcome is unknown. Its reads go to the primary until
    /// a later commit succeeds.
    pub has_doubt: bool,
    pub transaction: SessionTransaction,
    pub request: Option<ClientRequest>,
    /// Statement that waits for a token; there is no request then.
    pub waiting_query: Option<WaitingQuery>,
    pub pending_queries: VecDeque<ClientQuery>,
    /// Home that statements were last forwarded to, which keeps the state of this session.
    pub last_home: Option<String>,
    /// Whether the client is connected to another instance, which forwards its statements.
    pub is_forwarded: bool,
    /// Route of the last forwarded statement, as sent by the other instance.
    pub forwarded_route: Option<SessionRoute>,
    pub last_active_at: MonoTime,
}

impl ClientSession {
    pub fn new(id: ClientId, now: MonoTime) -> Self {
        Self {
            id,
            database: None,
            pending_start: None,
            key: None,
            tenant: None,
            resolved_in: 0,
            is_revoked: false,
            values: Vec::new(),
            prepared: Vec::new(),
            state_bytes: 0,
            positions: Vec::new(),
            has_doubt: false,
            transaction: SessionTransaction::None,
            request: None,
            waiting_query: None,
            pending_queries: VecDeque::new(),
            last_home: None,
            is_forwarded: false,
            forwarded_route: None,
            last_active_at: now,
        }
    }

    /// Records the tenant that the key was resolved to in a version of the catalog.
    pub fn record_tenant(&mut self, tenant: Option<TenantName>, version: u64) {
        self.tenant = tenant;
        self.resolved_in = version;
        self.is_revoked = false;
    }

    /// Returns the transaction state that is reported to the client.
    pub fn state(&self) -> SessionState {
        match &self.transaction {
            SessionTransaction::None => SessionState::Idle,
            SessionTransaction::Open(_) => SessionState::Transaction,
            SessionTransaction::Failed { .. } => SessionState::Failed,
        }
    }

    /// Returns the position of the session's last commit in a group.
    pub fn position_in(&self, group: GroupIndex) -> Option<GroupPosition> {
        let found = self.positions.binary_search_by_key(&group, |(g, _)| *g);
        found.ok().map(|i| self.positions[i].1)
    }

    /// Records the position of a commit in a group, if it is higher than the recorded one.
    pub fn record_position(&mut self, group: GroupIndex, position: Option<GroupPosition>) {
        let Some(position) = position else { return };
        match self.positions.binary_search_by_key(&group, |(g, _)| *g) {
            Ok(i) => self.positions[i].1 = self.positions[i].1.max(position),
            Err(i) => self.positions.insert(i, (group, position)),
        }
    }

    /// Sets a session value.
    pub fn set_value(&mut self, name: String, value: String) {
        self.state_bytes += value.len();
        match self.values.binary_search_by(|(n, _)| n.cmp(&name)) {
            Ok(i) => {
                self.remove_state_bytes(self.values[i].1.len());
                self.values[i].1 = value;
            }
            Err(i) => {
                self.state_bytes += name.len() + STATE_ENTRY_OVERHEAD;
                self.values.insert(i, (name, value));
            }
        }
    }

    /// The values of forwarded sessions are replaced as a whole and not counted, so this may not
    /// go below zero.
    fn remove_state_bytes(&mut self, bytes: usize) {
        self.state_bytes = self.state_bytes.saturating_sub(bytes);
    }

    /// Stores a prepared statement, which replaces one of the same name.
    pub fn prepare(&mut self, name: String, shape: PreparedShape) {
        self.state_bytes += shape.text.len();
        match self.prepared.binary_search_by(|(n, _)| n.cmp(&name)) {
            Ok(i) => {
                self.remove_state_bytes(self.prepared[i].1.text.len());
                self.prepared[i].1 = shape;
            }
            Err(i) => {
                self.state_bytes += name.len() + STATE_ENTRY_OVERHEAD;
                self.prepared.insert(i, (name, shape));
            }
        }
    }

    /// Removes a prepared statement.
    pub fn deallocate(&mut self, name: &str) {
        if let Ok(i) = self
            .prepared
            .binary_search_by(|(n, _)| n.as_str().cmp(name))
        {
            let (name, shape) = self.prepared.remove(i);
            self.remove_state_bytes(name.len() + shape.text.len() + STATE_ENTRY_OVERHEAD);
        }
    }

    /// Returns the shape that is prepared under a name.
    pub fn shape(&self, name: &str) -> Option<&PreparedShape> {
        let found = self
            .prepared
            .binary_search_by(|(n, _)| n.as_str().cmp(name));
        found.ok().map(|i| &self.prepared[i].1)
    }

    /// Returns the prepared shape that the present request executes; `None` if it executes none.
    pub fn requested_shape(&self) -> Option<&PreparedShape> {
        match &self.request.as_ref()?.query.statement {
            Statement::Execute { name, .. } => self.shape(name),
            _ => None,
        }
    }

    /// Returns whether no statement is in progress or waits for a token.
    pub fn is_idle(&self) -> bool {
        self.request.is_none() && self.waiting_query.is_none()
    }

    /// Returns the open transaction.
    pub fn open_transaction(&self) -> Option<&OpenTransaction> {
        match &self.transaction {
            SessionTransaction::Open(open) => Some(open),
            _ => None,
        }
    }

    /// Returns the open transaction for changes.
    pub fn open_transaction_mut(&mut self) -> Option<&mut OpenTransaction> {
        match &mut self.transaction {
            SessionTransaction::Open(open) => Some(open),
            _ => None,
        }
    }

    /// Returns whether the present request is a write, or a write may follow in its transaction.
    pub fn is_writing(&self) -> bool {
        let is_plain_transaction = self
            .open_transaction()
            .is_some_and(|open| !open.is_read_only);
        let is_write = |request: &ClientRequest| request.kind == RequestKind::Write;
        is_plain_transaction || self.request.as_ref().is_some_and(is_write)
    }

    /// Returns whether the success of the present request commits writes.
    pub fn is_committing(&self) -> bool {
        let kind = self.request.as_ref().map(|request| request.kind);
        match (kind, self.open_transaction()) {
            (Some(RequestKind::Write), None) => true,
            (Some(RequestKind::Commit), Some(open)) => open.has_written,
            _ => false,
        }
    }

    /// Returns whether the present request has to run at the primary.
    pub fn needs_primary(&self) -> bool {
        let needs_present_state = self
            .request
            .as_ref()
            .is_some_and(|request| request.route.freshness == RouteFreshness::Primary);
        self.is_writing() || self.has_doubt || needs_present_state
    }

    /// Returns the time at or after which a target must have been the primary for its answer to the
    /// present request to be fresh enough.
    pub fn evidence_needed_since(&self) -> Option<MonoTime> {
        let request = self.request.as_ref()?;
        let max_age = match request.route.freshness {
            _ if self.has_doubt => return Some(request.freshness_from),
            freshness => freshness.max_age(),
        };
        let micros = request.freshness_from.as_micros();
        let age = u64::try_from(max_age.as_micros()).unwrap_or(u64::MAX);
        Some(MonoTime::from_micros(micros.saturating_sub(age)))
    }
}
