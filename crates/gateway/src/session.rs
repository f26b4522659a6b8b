//! State of one client's session.

use std::cmp::Reverse;
use std::collections::VecDeque;
use std::time::Duration;

use heatherhollow_types::GroupPosition;
use heatherhollow_types::MonoTime;
use heatherhollow_types::TargetIndex;
use heatherhollow_types::TermNumber;

use crate::catalog::RouteFreshness;
use crate::catalog::SessionRoute;
use crate::group::GroupIndex;
use crate::message::ClientId;
use crate::message::ClientQuery;
use crate::message::SessionState;
use crate::message::TargetAnswer;
use crate::pool::ConnectionId;
use crate::settings::GatewaySettings;
use crate::statement::PreparedShape;
use crate::statement::Statement;

/// Part of its objective after which a statement that waits is unlikely to meet it: the rest is for the
/// statement itself and, in a transaction, for those that follow.
const LATEST_START_FRACTION: f64 = 0.5;

/// A statement that is to be in time is expected to take so many times what is usual; times vary by
/// about half of their mean.
const TYPICAL_TIME_FACTOR: u32 = 2;

/// What a statement that needs a target does there.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum RequestKind {
    /// A read.
    Read,
    /// A write.
    Write,
    /// The commit of a transaction.
    Commit,
}

/// What an answer of a primary needs before it is passed on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum AnswerProof {
    /// The target led at this time or later.
    LedSince(MonoTime),
    /// A listed replica that stays has the commit.
    Copy,
}

/// How far a request has come.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum RequestStage {
    /// It waits for a connection.
    Queued,
    /// A connection is being prepared for it; nothing of it has been sent.
    Preparing(ConnectionId),
    /// It was sent.
    Sent(ConnectionId),
    /// It was sent to the home of its group.
    Forwarded {
        /// Name of the instance.
        home: String,
        /// Number of the forwarding; an answer to an earlier one may still come.
        serial: u64,
    },
    /// Its answer waits for evidence.
    Held {
        /// The answer.
        answer: TargetAnswer,
        /// What it waits for.
        proof: AnswerProof,
    },
}

/// What the last pass over the queue found for a statement.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum PlacementState {
    /// It has not been considered yet.
    Unevaluated,
    /// It waits for room at this target.
    Target(TargetIndex),
    /// No target can serve it now.
    NoTarget,
}

/// A statement that needs a target.
#[derive(Debug, Clone)]
pub(crate) struct ClientRequest {
    pub query: ClientQuery,
    pub kind: RequestKind,
    pub group: GroupIndex,
    pub route: SessionRoute,
    /// When it arrived.
    pub received_at: MonoTime,
    /// When the first byte of its transaction, or of itself, arrived.
    pub fresh_from: MonoTime,
    pub sent_at: MonoTime,
    /// Connections that it was lent.
    pub attempts: u32,
    /// Attempts that failed for another reason than a busy or lagging target.
    pub failures: u32,
    /// Not offered to a target before this time.
    pub not_before: MonoTime,
    /// Targets that lacked its position or failed it, each with the time until which they are not tried
    /// again.
    pub avoided: Vec<(TargetIndex, MonoTime)>,
    /// Target or home that it was last sent to, for log lines.
    pub sent_to: String,
    /// Term of the primary that it was sent to.
    pub term: TermNumber,
    /// Whether it was sent to the primary of that term.
    pub is_at_primary: bool,
    pub stage: RequestStage,
    /// What it waits for while it is queued.
    pub placement_state: PlacementState,
}

impl ClientRequest {
    /// Whether a target is not to be tried again yet.
    pub fn is_avoided(&self, target: TargetIndex, now: MonoTime) -> bool {
        self.avoided
            .iter()
            .any(|(avoided, until)| *avoided == target && now < *until)
    }

    /// When its time limit passes.
    pub fn deadline(&self) -> MonoTime {
        self.received_at + self.route.timeout
    }

    /// How long it may wait for a connection.
    pub fn queue_time_limit(&self, settings: &GatewaySettings) -> Duration {
        let timeout = self.route.timeout;
        let in_time = timeout.mul_f64(settings.objective_fraction);
        let least = timeout.mul_f64(settings.queue_fraction);
        self.route.objective.min(in_time).max(least)
    }

    /// Order in the queue, while a statement takes `usual` at the target.
    pub fn urgency(&self, usual: Duration, now: MonoTime) -> RequestUrgency {
        let objective = self.route.objective;
        let spare = objective.saturating_sub(usual * TYPICAL_TIME_FACTOR);
        let latest_start = self.received_at + spare.min(objective.mul_f64(LATEST_START_FRACTION));
        if now <= latest_start {
            RequestUrgency::InTime(self.received_at + objective, self.route.priority)
        } else {
            RequestUrgency::Late(Reverse(self.received_at))
        }
    }
}

/// Order of waiting statements, the most urgent first.
///
/// In a queue that does not drain, the order of arrival would serve each statement when it is late
/// already. So those that can meet their objective go first, the earliest expected completion ahead,
/// and late ones take what is left, the newest ahead.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum RequestUrgency {
    /// Expected completion and priority of a statement that can meet its objective.
    InTime(MonoTime, u32),
    /// Arrival of one that cannot.
    Late(Reverse<MonoTime>),
}

/// An open transaction of a session.
#[derive(Debug, Clone)]
pub(crate) struct OpenTransaction {
    pub is_read_only: bool,
    pub begun_at: MonoTime,
    pub route: SessionRoute,
    pub group: GroupIndex,
    /// Connection that it runs on; none before its first statement.
    pub connection: Option<ConnectionId>,
    /// Instance that it runs at, if its statements are forwarded.
    pub home: Option<String>,
    /// Whether a statement has been answered on the connection.
    pub has_run: bool,
    pub has_written: bool,
    /// Term of the primary that it was begun at without a position; none if the target checked one.
    pub begun_in_term: Option<TermNumber>,
    /// Whether the target is known to have led at the transaction's begin.
    pub is_verified: bool,
    /// When the last answer was given.
    pub idle_since: MonoTime,
}

impl OpenTransaction {
    /// A transaction without statements.
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
            idle_since: now,
        }
    }

    /// Whether it was begun at a primary that has been replaced since, and a statement cannot go on there.
    ///
    /// No position was checked then, and no evidence of its term will come. Reads of a log that was shown
    /// to be fresh stay so; a write there would be lost.
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
    /// None is open.
    #[default]
    None,
    /// One is open.
    Open(OpenTransaction),
    /// It was rolled back.
    Failed {
        /// Whether the client has been told.
        is_reported: bool,
    },
}

/// A client's session.
#[derive(Debug, Clone)]
pub(crate) struct ClientSession {
    pub id: ClientId,
    /// Database that it asked for; none before that.
    pub database: Option<String>,
    /// Database that it asked for before there was a configuration, and when.
    pub pending_start: Option<(String, MonoTime)>,
    /// Values, sorted by name.
    pub values: Vec<(String, String)>,
    /// Prepared statements, sorted by name.
    pub prepared: Vec<(String, PreparedShape)>,
    /// Position of its last commit in each group, sorted by group. A route may move to another group, whose
    /// terms and positions have nothing to do with those of the first.
    positions: Vec<(GroupIndex, GroupPosition)>,
    /// Whether a commit of it may have taken effect unseen; its reads go to the primary.
    pub has_doubt: bool,
    pub transaction: SessionTransaction,
    pub request: Option<ClientRequest>,
    pub pending_queries: VecDeque<ClientQuery>,
    /// The home that its statements were last forwarded to, which keeps a session for it.
    pub last_home: Option<String>,
    /// Whether another instance has the client and forwards its statements.
    pub is_forwarded: bool,
    /// Route of the last forwarded statement, as the other instance found it.
    pub forwarded_route: Option<SessionRoute>,
    pub last_active_at: MonoTime,
}

impl ClientSession {
    pub fn new(id: ClientId, now: MonoTime) -> Self {
        Self {
            id,
            database: None,
            pending_start: None,
            values: Vec::new(),
            prepared: Vec::new(),
            positions: Vec::new(),
            has_doubt: false,
            transaction: SessionTransaction::None,
            request: None,
            pending_queries: VecDeque::new(),
            last_home: None,
            is_forwarded: false,
            forwarded_route: None,
            last_active_at: now,
        }
    }

    /// State as the client sees it.
    pub fn state(&self) -> SessionState {
        match &self.transaction {
            SessionTransaction::None => SessionState::Idle,
            SessionTransaction::Open(_) => SessionState::Transaction,
            SessionTransaction::Failed { .. } => SessionState::Failed,
        }
    }

    /// Position of its last commit in a group.
    pub fn position_in(&self, group: GroupIndex) -> Option<GroupPosition> {
        let found = self.positions.binary_search_by_key(&group, |(g, _)| *g);
        found.ok().map(|i| self.positions[i].1)
    }

    /// Takes the position of a commit in a group; an earlier one than the known changes nothing.
    pub fn record_position(&mut self, group: GroupIndex, position: Option<GroupPosition>) {
        let Some(position) = position else { return };
        match self.positions.binary_search_by_key(&group, |(g, _)| *g) {
            Ok(i) => self.positions[i].1 = self.positions[i].1.max(position),
            Err(i) => self.positions.insert(i, (group, position)),
        }
    }

    /// Sets a value.
    pub fn set_value(&mut self, name: String, value: String) {
        match self.values.binary_search_by(|(n, _)| n.cmp(&name)) {
            Ok(i) => self.values[i].1 = value,
            Err(i) => self.values.insert(i, (name, value)),
        }
    }

    /// Prepares a statement.
    pub fn prepare(&mut self, name: String, shape: PreparedShape) {
        match self.prepared.binary_search_by(|(n, _)| n.cmp(&name)) {
            Ok(i) => self.prepared[i].1 = shape,
            Err(i) => self.prepared.insert(i, (name, shape)),
        }
    }

    /// Forgets a prepared statement.
    pub fn deallocate(&mut self, name: &str) {
        if let Ok(i) = self
            .prepared
            .binary_search_by(|(n, _)| n.as_str().cmp(name))
        {
            self.prepared.remove(i);
        }
    }

    /// The shape behind a prepared name.
    pub fn shape(&self, name: &str) -> Option<&PreparedShape> {
        let found = self
            .prepared
            .binary_search_by(|(n, _)| n.as_str().cmp(name));
        found.ok().map(|i| &self.prepared[i].1)
    }

    /// The shape that the present request executes, if it executes one.
    pub fn requested_shape(&self) -> Option<&PreparedShape> {
        match &self.request.as_ref()?.query.statement {
            Statement::Execute { name, .. } => self.shape(name),
            _ => None,
        }
    }

    /// The open transaction.
    pub fn open_transaction(&self) -> Option<&OpenTransaction> {
        match &self.transaction {
            SessionTransaction::Open(open) => Some(open),
            _ => None,
        }
    }

    /// The open transaction.
    pub fn open_transaction_mut(&mut self) -> Option<&mut OpenTransaction> {
        match &mut self.transaction {
            SessionTransaction::Open(open) => Some(open),
            _ => None,
        }
    }

    /// Whether the present request writes, or may be followed by a write of its transaction.
    pub fn is_writing(&self) -> bool {
        let is_plain_transaction = self
            .open_transaction()
            .is_some_and(|open| !open.is_read_only);
        let is_write = |request: &ClientRequest| request.kind == RequestKind::Write;
        is_plain_transaction || self.request.as_ref().is_some_and(is_write)
    }

    /// Whether a success of the present request makes writes permanent.
    pub fn is_committing(&self) -> bool {
        let kind = self.request.as_ref().map(|request| request.kind);
        match (kind, self.open_transaction()) {
            (Some(RequestKind::Write), None) => true,
            (Some(RequestKind::Commit), Some(open)) => open.has_written,
            _ => false,
        }
    }

    /// Whether the present request belongs at the primary as long as there is one.
    pub fn needs_primary(&self) -> bool {
        let needs_present_state = self
            .request
            .as_ref()
            .is_some_and(|request| request.route.freshness == RouteFreshness::Primary);
        self.is_writing() || self.has_doubt || needs_present_state
    }

    /// Time at which a primary has to have led for its answer to the present request to be fresh.
    pub fn evidence_from(&self) -> Option<MonoTime> {
        let request = self.request.as_ref()?;
        let max_age = match request.route.freshness {
            _ if self.has_doubt => return Some(request.fresh_from),
            freshness => freshness.max_age(),
        };
        let micros = request.fresh_from.as_micros();
        let age = u64::try_from(max_age.as_micros()).unwrap_or(u64::MAX);
        Some(MonoTime::from_micros(micros.saturating_sub(age)))
    }
}
