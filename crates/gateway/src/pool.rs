//! Connections of this instance to one target.

use std::collections::VecDeque;
use std::fmt;
use std::time::Duration;

use heatherhollow_limits::AdaptiveLimit;
use heatherhollow_limits::AdaptiveSettings;
use heatherhollow_limits::FailureRate;
use heatherhollow_limits::SmoothedTime;
use heatherhollow_limits::WindowMaximum;
use heatherhollow_types::GroupPosition;
use heatherhollow_types::MonoTime;
use heatherhollow_types::TermNumber;

use crate::catalog::TargetEntry;
use crate::catalog::TargetState;
use crate::message::ClientId;
use crate::message::StatusReport;
use crate::message::TargetCall;
use crate::session::ClientSession;
use crate::statement::PreparedShape;

/// A connection to a target, unique in the life of the process.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ConnectionId(pub u64);

impl fmt::Display for ConnectionId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// Why a control call is made.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum ControlPurpose {
    /// Observation of the group.
    Observe,
    /// Step of a promotion.
    Promotion,
}

/// What a call on a connection is for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum CallPurpose {
    Start,
    /// Brings values or prepared statements in line with a session.
    Setup,
    Begin,
    Statement,
    Rollback,
    Control(ControlPurpose),
}

/// A call without an answer yet.
#[derive(Debug, Clone)]
pub(crate) struct PendingCall {
    pub purpose: CallPurpose,
    pub sent_at: MonoTime,
    /// The control call, so that it can be made again if the target was busy.
    pub control: Option<TargetCall>,
}

/// A control call that waits for a connection.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct ControlRequest {
    pub purpose: ControlPurpose,
    pub call: TargetCall,
    pub queued_at: MonoTime,
}

/// How far a connection has come.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum ConnectionPhase {
    Opening,
    Starting,
    Ready,
}

/// A connection.
#[derive(Debug, Clone)]
pub(crate) struct TargetConnection {
    pub id: ConnectionId,
    pub phase: ConnectionPhase,
    pub created_at: MonoTime,
    /// Whether it was opened to find out if the target accepts connections at all.
    pub is_connect_probe: bool,
    /// Values set on it, sorted by name.
    pub values: Vec<(String, String)>,
    /// Prepared statements with their names on it, sorted by shape.
    pub prepared: Vec<(PreparedShape, String)>,
    pub next_name: u32,
    /// Session that it is lent to.
    pub holder: Option<ClientId>,
    pub in_transaction: bool,
    pub calls: VecDeque<PendingCall>,
    pub idle_since: MonoTime,
}

impl TargetConnection {
    pub fn new(id: ConnectionId, now: MonoTime) -> Self {
        Self {
            id,
            phase: ConnectionPhase::Opening,
            created_at: now,
            is_connect_probe: false,
            values: Vec::new(),
            prepared: Vec::new(),
            next_name: 0,
            holder: None,
            in_transaction: false,
            calls: VecDeque::new(),
            idle_since: now,
        }
    }

    /// Whether it can be lent.
    pub fn is_idle(&self) -> bool {
        self.phase == ConnectionPhase::Ready && self.holder.is_none() && self.calls.is_empty()
    }

    /// Name under which a shape is prepared on it.
    pub fn prepared_name(&self, shape: &PreparedShape) -> Option<&str> {
        let found = self.prepared.binary_search_by(|(s, _)| s.cmp(shape));
        found.ok().map(|i| self.prepared[i].1.as_str())
    }

    /// Calls that bring it in line with a session; they are recorded as done, so the connection has to
    /// be closed if one of them fails.
    pub fn setup_calls(&mut self, session: &ClientSession, max_prepared: usize) -> Vec<TargetCall> {
        let mut calls = Vec::new();
        let shape = session.requested_shape();
        let is_missing = shape.is_some_and(|shape| self.prepared_name(shape).is_none());
        let is_full = is_missing && self.prepared.len() >= max_prepared;
        let has_foreign = self.values.iter().any(|(name, _)| {
            let found = session.values.binary_search_by(|(n, _)| n.cmp(name));
            found.is_err()
        });
        if !self.in_transaction && (has_foreign || is_full) {
            calls.push(TargetCall::Discard);
            self.values.clear();
            self.prepared.clear();
        }
        if self.values != session.values {
            for (name, value) in &session.values {
                let is_set = self.values.iter().any(|(n, v)| n == name && v == value);
                if !is_set {
                    calls.push(TargetCall::Set {
                        name: name.clone(),
                        value: value.clone(),
                    });
                }
            }
            self.values.clone_from(&session.values);
        }
        if let Some(shape) = shape
            && let Err(i) = self.prepared.binary_search_by(|(s, _)| s.cmp(shape))
        {
            let name = format!("p{}", self.next_name);
            self.next_name += 1;
            self.prepared.insert(i, (shape.clone(), name.clone()));
            calls.push(TargetCall::Prepare {
                name,
                shape: shape.clone(),
            });
        }
        calls
    }

    /// Number of setup calls that lending it to a session would take.
    fn setup_cost(&self, session: &ClientSession) -> usize {
        let has_foreign = self
            .values
            .iter()
            .any(|value| session.values.binary_search(value).is_err());
        let missing = session
            .values
            .iter()
            .filter(|value| self.values.binary_search(value).is_err())
            .count();
        let is_unprepared = session
            .requested_shape()
            .is_some_and(|shape| self.prepared_name(shape).is_none());
        usize::from(has_foreign) + missing + usize::from(is_unprepared)
    }
}

/// Least number of statements that an instance has in progress at a target of which it knows nothing:
/// one runs while the next one travels.
const MIN_INITIAL_LIMIT: u32 = 2;

/// Time over which the best rate of a target is remembered; longer than a failover, shorter than a
/// change of the load usually takes.
const RATE_WINDOW: Duration = Duration::from_secs(10);

/// Part of the usual time of a statement that one new sample replaces, as a divisor.
const SMOOTHING_DIVISOR: u32 = 8;

/// Rate at which a target serves an instance's statements.
#[derive(Debug, Clone)]
pub(crate) struct ServiceRate {
    smoothed_time: Option<Duration>,
    /// Statements a second.
    best: WindowMaximum,
}

impl Default for ServiceRate {
    fn default() -> Self {
        Self {
            smoothed_time: None,
            best: WindowMaximum::new(RATE_WINDOW),
        }
    }
}

impl ServiceRate {
    /// Takes the time of a statement while so many connections were ready.
    fn record(&mut self, took: Duration, connections: usize, now: MonoTime) {
        let old = self.smoothed_time.unwrap_or(took);
        let usual = (old * (SMOOTHING_DIVISOR - 1) + took) / SMOOTHING_DIVISOR;
        self.smoothed_time = Some(usual);
        let rate = connections as f64 / usual.as_secs_f64().max(f64::MIN_POSITIVE);
        self.best.record(rate as usize, now);
    }

    /// The best rate of late, in statements a second; none if it is not known. A stall of a moment does
    /// not lower it.
    pub fn best(&self, now: MonoTime) -> Option<usize> {
        Some(self.best.value(now)).filter(|rate| *rate > 0)
    }
}

/// A target with this instance's connections to it.
#[derive(Debug, Clone)]
pub(crate) struct TargetPool {
    pub entry: TargetEntry,
    /// When it was first listed; the beginning of time if it was in the first list, or is back after its
    /// entry lapsed.
    pub listed_at: MonoTime,
    /// Since when it has not been listed.
    pub missing_since: Option<MonoTime>,
    /// Since when it has been leaving.
    pub leaving_since: Option<MonoTime>,
    pub connections: Vec<TargetConnection>,
    pub control: VecDeque<ControlRequest>,
    pub statement_time: SmoothedTime,
    /// Statements in progress that it takes from this instance.
    pub statement_limit: AdaptiveLimit,
    /// Rate at which all its connections together serve statements.
    pub service_rate: ServiceRate,
    /// Share of statements that failed.
    pub failure_rate: FailureRate,
    /// No new connection before this time.
    pub open_after: MonoTime,
    /// No connection beyond the share before this time.
    pub surplus_after: MonoTime,
    /// Attempts that failed in a row.
    pub open_failures: u32,
    /// No statements before this time, since it was busy or lagging.
    pub backoff_until: MonoTime,
    /// Whether its role has to be confirmed before primary work is sent to it.
    pub must_confirm_role: bool,
    /// Highest position that its answers to statements have shown.
    pub max_seen: Option<GroupPosition>,
    /// Last report and when it was asked for.
    pub report: Option<(MonoTime, StatusReport)>,
    /// Since when its reports have shown a pause.
    pub paused_since: Option<MonoTime>,
    /// When it was last asked to step down from an old term.
    pub step_down_sent: Option<(MonoTime, TermNumber)>,
    /// When it last answered a call.
    pub answered_at: Option<MonoTime>,
}

impl TargetPool {
    pub fn new(entry: TargetEntry) -> Self {
        let statement_limit = AdaptiveLimit::new(AdaptiveSettings {
            initial: f64::from(entry.slots.max(MIN_INITIAL_LIMIT)),
            ..AdaptiveSettings::default()
        });
        Self {
            entry,
            statement_limit,
            listed_at: MonoTime::ZERO,
            missing_since: None,
            leaving_since: None,
            connections: Vec::new(),
            control: VecDeque::new(),
            statement_time: SmoothedTime::default(),
            service_rate: ServiceRate::default(),
            failure_rate: FailureRate::default(),
            open_after: MonoTime::ZERO,
            surplus_after: MonoTime::ZERO,
            open_failures: 0,
            backoff_until: MonoTime::ZERO,
            must_confirm_role: true,
            max_seen: None,
            report: None,
            paused_since: None,
            step_down_sent: None,
            answered_at: None,
        }
    }

    /// Records the time of a statement that ended at `now`.
    pub fn record_statement(&mut self, took: Duration, now: MonoTime) {
        self.statement_time.record(took, now);
        let ready = self.connections.len() - self.opening_count();
        let ready = ready.min(self.statement_limit.value());
        self.service_rate.record(took, ready, now);
    }

    /// Whether it takes no new work.
    pub fn is_leaving(&self) -> bool {
        self.entry.state == TargetState::Draining
    }

    /// Whether it seems not to answer.
    pub fn is_unreachable(&self) -> bool {
        self.open_failures > 0 && !self.has_ready_connection()
    }

    fn has_ready_connection(&self) -> bool {
        self.connections
            .iter()
            .any(|connection| connection.phase == ConnectionPhase::Ready)
    }

    /// Connections that are being opened.
    pub fn opening_count(&self) -> usize {
        self.connections
            .iter()
            .filter(|connection| connection.phase != ConnectionPhase::Ready)
            .count()
    }

    /// Connections that are lent or busy.
    pub fn in_use_count(&self) -> usize {
        self.connections
            .iter()
            .filter(|c| c.phase == ConnectionPhase::Ready && !c.is_idle())
            .count()
    }

    pub fn connection_mut(&mut self, id: ConnectionId) -> Option<&mut TargetConnection> {
        self.connections.iter_mut().find(|c| c.id == id)
    }

    /// Whether it takes one more statement, as far as is known.
    pub fn accepts_statement(&self) -> bool {
        self.statement_limit.allows(self.statements_in_progress())
    }

    /// Whether a statement can be sent to it now.
    pub fn has_free_connection(&self) -> bool {
        self.accepts_statement() && self.any_idle_connection().is_some()
    }

    /// Connections with a call in progress; those that rest in a transaction occupy nothing.
    pub fn statements_in_progress(&self) -> usize {
        self.connections
            .iter()
            .filter(|c| c.phase == ConnectionPhase::Ready && !c.calls.is_empty())
            .count()
    }

    /// The idle connection that takes the least setup for a session.
    pub fn idle_connection_for(&self, session: &ClientSession) -> Option<ConnectionId> {
        self.connections
            .iter()
            .filter(|connection| connection.is_idle())
            .min_by_key(|connection| connection.setup_cost(session))
            .map(|connection| connection.id)
    }

    /// Any idle connection.
    pub fn any_idle_connection(&self) -> Option<ConnectionId> {
        let idle = self.connections.iter().find(|c| c.is_idle());
        idle.map(|connection| connection.id)
    }

    /// How long a connection may stay unused: those within the share stay open.
    pub fn idle_surplus(
        &self,
        share: usize,
        idle: Duration,
        now: MonoTime,
    ) -> Option<ConnectionId> {
        if self.connections.len() <= share {
            return None;
        }
        let longest = self
            .connections
            .iter()
            .filter(|connection| connection.is_idle())
            .min_by_key(|connection| connection.idle_since)?;
        (now.since(longest.idle_since) >= idle).then_some(longest.id)
    }
}
