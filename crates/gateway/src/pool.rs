//! The connections of this instance to one target, and what this instance knows about the target.
//!
//! Each connection runs its calls in order. A connection is lent to one session at a time; it keeps
//! the session values and prepared statements that were set on it and is brought in line with the
//! next session before it is used.

use std::collections::VecDeque;
use std::fmt;
use std::time::Duration;

use heatherhollow_limits::AdaptiveLimit;
use heatherhollow_limits::AdaptiveSettings;
use heatherhollow_limits::FailureRate;
use heatherhollow_limits::SmoothedTime;
use heatherhollow_limits::WindowMaximum;
use heatherhollow_tenants::TenantName;
use heatherhollow_types::GroupPosition;
use heatherhollow_types::MonoTime;
use heatherhollow_types::TermNumber;

use crate::catalog::TargetEntry;
use crate::catalog::TargetState;
use crate::message::ClientId;
use crate::message::StatusReport;
use crate::message::TargetCall;
use crate::restarts::RunSpan;
use crate::session::ClientSession;
use crate::statement::PreparedShape;

/// Identifies a connection to a target; never reused within a process.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ConnectionId(pub u64);

impl fmt::Display for ConnectionId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// Reason for a control call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum ControlPurpose {
    /// Observes the state of the group.
    Observe,
    /// Runs a step of a promotion.
    Promotion,
}

/// Purpose of a call on a connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum CallPurpose {
    /// Opens the session on a new connection.
    Start,
    /// Sets the values and prepared statements that a session needs.
    Setup,
    Begin,
    Statement,
    Rollback,
    Control(ControlPurpose),
}

/// A call that was sent and has no answer yet.
#[derive(Debug, Clone)]
pub(crate) struct PendingCall {
    pub purpose: CallPurpose,
    pub sent_at: MonoTime,
    /// The control call, kept so that it can be sent again if the target was busy.
    pub control_call: Option<TargetCall>,
}

/// A control call that waits for an idle connection.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct ControlRequest {
    pub purpose: ControlPurpose,
    pub call: TargetCall,
    pub queued_at: MonoTime,
}

/// How far the opening of a connection has progressed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum ConnectionPhase {
    /// The connection has not been established.
    Opening,
    /// The target has not answered [`CallPurpose::Start`].
    Starting,
    /// The target accepts calls on the connection.
    Ready,
}

/// A connection to a target and the session state that was set on it.
#[derive(Debug, Clone)]
pub(crate) struct TargetConnection {
    pub id: ConnectionId,
    /// Tenant whose statements may run on the connection; `None` if it belongs to no tenant.
    pub tenant: Option<TenantName>,
    pub phase: ConnectionPhase,
    pub created_at: MonoTime,
    /// When the target accepted the connection, or later.
    pub opened_at: MonoTime,
    /// Whether the connection was opened only to test whether the target accepts connections.
    pub is_connect_probe: bool,
    /// Session values that were set on the connection, sorted by name.
    pub values: Vec<(String, String)>,
    /// Prepared statements and their names on the connection, sorted by shape.
    pub prepared: Vec<(PreparedShape, String)>,
    pub next_prepared_number: u32,
    /// Session that the connection is lent to.
    pub holder: Option<ClientId>,
    pub in_transaction: bool,
    pub calls: VecDeque<PendingCall>,
    pub idle_since: MonoTime,
}

impl TargetConnection {
    pub fn new(id: ConnectionId, tenant: Option<TenantName>, now: MonoTime) -> Self {
        Self {
            id,
            tenant,
            phase: ConnectionPhase::Opening,
            created_at: now,
            opened_at: now,
            is_connect_probe: false,
            values: Vec::new(),
            prepared: Vec::new(),
            next_prepared_number: 0,
            holder: None,
            in_transaction: false,
            calls: VecDeque::new(),
            idle_since: now,
        }
    }

    /// Returns whether the connection can be lent to a session.
    pub fn is_idle(&self) -> bool {
        self.phase == ConnectionPhase::Ready && self.holder.is_none() && self.calls.is_empty()
    }

    /// Returns the name under which a shape is prepared on the connection; `None` if it is not
    /// prepared.
    pub fn prepared_name(&self, shape: &PreparedShape) -> Option<&str> {
        let found = self.prepared.binary_search_by(|(s, _)| s.cmp(shape));
        found.ok().map(|i| self.prepared[i].1.as_str())
    }

    /// Returns the calls that give the connection the values and the prepared statement of a
    /// session.
    ///
    /// The calls are recorded as done, so the connection must be closed if one of them fails.
    pub fn setup_calls(&mut self, session: &ClientSession, max_prepared: usize) -> Vec<TargetCall> {
        let mut calls = Vec::new();
        let shape = session.requested_shape();
        let is_missing = shape.is_some_and(|shape| self.prepared_name(shape).is_none());
        let is_full = is_missing && self.prepared.len() >= max_prepared;
        let has_extra_value = self.values.iter().any(|(name, _)| {
            let found = session.values.binary_search_by(|(n, _)| n.cmp(name));
            found.is_err()
        });
        if !self.in_transaction && (has_extra_value || is_full) {
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
            let name = format!("p{}", self.next_prepared_number);
            self.next_prepared_number += 1;
            self.prepared.insert(i, (shape.clone(), name.clone()));
            calls.push(TargetCall::Prepare {
                name,
                shape: shape.clone(),
            });
        }
        calls
    }

    /// Returns the approximate number of setup calls that a session would need on the connection.
    fn setup_cost(&self, session: &ClientSession) -> usize {
        let has_extra_value = self
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
        usize::from(has_extra_value) + missing + usize::from(is_unprepared)
    }
}

/// Lowest initial limit of the statements in progress at a target: one runs at the target while the
/// next one is in transit.
const MIN_INITIAL_LIMIT: u32 = 2;

/// Time over which the highest service rate of a target is kept. It is longer than a failover and
/// shorter than the load usually takes to change.
const RATE_WINDOW: Duration = Duration::from_secs(10);

/// Divisor of the exponential smoothing of statement times: a sample has the weight
/// `1 / SMOOTHING_DIVISOR`.
const SMOOTHING_DIVISOR: u32 = 8;

/// Rate at which a target serves the statements of this instance.
#[derive(Debug, Clone)]
pub(crate) struct ServiceRate {
    smoothed_time: Option<Duration>,
    /// Highest rate in the window, in statements a second.
    peak: WindowMaximum,
}

impl Default for ServiceRate {
    fn default() -> Self {
        Self {
            smoothed_time: None,
            peak: WindowMaximum::new(RATE_WINDOW),
        }
    }
}

impl ServiceRate {
    /// Records the time of a statement that ran while `connections` connections could be used.
    fn record(&mut self, took: Duration, connections: usize, now: MonoTime) {
        let old = self.smoothed_time.unwrap_or(took);
        let mean_time = (old * (SMOOTHING_DIVISOR - 1) + took) / SMOOTHING_DIVISOR;
        self.smoothed_time = Some(mean_time);
        let rate = connections as f64 / mean_time.as_secs_f64().max(f64::MIN_POSITIVE);
        self.peak.record(rate as usize, now);
    }

    /// Returns the highest recent rate in statements a second, which a short stall does not lower;
    /// `None` if no rate is known.
    pub fn peak(&self, now: MonoTime) -> Option<usize> {
        Some(self.peak.value(now)).filter(|rate| *rate > 0)
    }
}

/// A target, the connections of this instance to it and the calls that wait for them.
#[derive(Debug, Clone)]
pub(crate) struct TargetPool {
    pub entry: TargetEntry,
    /// When the target was first listed or last restarted. Zero if it was in the first list, or is
    /// listed again after its entry lapsed.
    pub listed_at: MonoTime,
    /// Since when the target has been missing from the list; `None` while it is listed.
    pub missing_since: Option<MonoTime>,
    /// Since when the target has been draining; `None` if it takes new work.
    pub leaving_since: Option<MonoTime>,
    pub connections: Vec<TargetConnection>,
    pub control_requests: VecDeque<ControlRequest>,
    pub statement_time: SmoothedTime,
    /// Limit of the statements that this instance has in progress at the target.
    pub statement_limit: AdaptiveLimit,
    /// Statements of open transactions that wait until the target takes them.
    pub delayed_count: usize,
    /// Rate at which all connections of the pool together serve statements.
    pub service_rate: ServiceRate,
    /// Fraction of statements that failed at the target.
    pub failure_rate: FailureRate,
    /// Time before which no connection is opened.
    pub open_backoff_until: MonoTime,
    /// Time before which no connection is opened beyond this instance's share.
    pub surplus_allowed_at: MonoTime,
    /// Number of consecutive failures to open a connection.
    pub open_failures: u32,
    /// Time before which the target is not preferred, as it was busy or did not answer.
    pub backoff_until: MonoTime,
    /// Whether the target has to confirm its role before it is sent work for a primary.
    pub must_confirm_role: bool,
    /// Highest log position in the answers of the target while it was not known as the primary, and
    /// when the target was last asked to a call whose answer showed it.
    pub max_seen: Option<(MonoTime, GroupPosition)>,
    /// Last status report of the target and when it was requested.
    pub report: Option<(MonoTime, StatusReport)>,
    /// Position in the first status report of the target's present run.
    pub first_position: Option<GroupPosition>,
    /// Since when status reports have shown that the target is paused.
    pub paused_since: Option<MonoTime>,
    /// When the target was last asked to step down, and for which term.
    pub step_down_sent: Option<(MonoTime, TermNumber)>,
    /// When the target last answered a call.
    pub answered_at: Option<MonoTime>,
    /// Span in which the target has not restarted; `None` before its first answer.
    pub run: Option<RunSpan>,
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
            control_requests: VecDeque::new(),
            statement_time: SmoothedTime::default(),
            delayed_count: 0,
            service_rate: ServiceRate::default(),
            failure_rate: FailureRate::default(),
            open_backoff_until: MonoTime::ZERO,
            surplus_allowed_at: MonoTime::ZERO,
            open_failures: 0,
            backoff_until: MonoTime::ZERO,
            must_confirm_role: true,
            max_seen: None,
            report: None,
            first_position: None,
            paused_since: None,
            step_down_sent: None,
            answered_at: None,
            run: None,
        }
    }

    /// Records that the target answered a call of `sent_at`. Returns whether it may have restarted
    /// since its last answer: no connection was open all the time.
    pub fn record_answer(&mut self, id: ConnectionId, sent_at: MonoTime, now: MonoTime) -> bool {
        self.answered_at = Some(now);
        let connection = self.connections.iter().find(|c| c.id == id);
        let Some(opened_at) = connection.map(|connection| connection.opened_at) else {
            return false;
        };
        let is_gap = self.run.is_some_and(|run| {
            let mut ready = self
                .connections
                .iter()
                .filter(|c| c.phase == ConnectionPhase::Ready);
            opened_at > run.alive_at && !ready.any(|c| c.opened_at <= run.alive_at)
        });
        self.run = Some(RunSpan::extended(self.run, opened_at, sent_at));
        is_gap
    }

    /// Records a log position in the answer to a call of `sent_at`.
    pub fn record_position(&mut self, sent_at: MonoTime, position: GroupPosition) {
        if self
            .max_seen
            .is_none_or(|(_, max_seen)| position >= max_seen)
        {
            self.max_seen = Some((sent_at, position));
        }
    }

    /// Returns the highest position that the target was seen to have in its present run.
    pub fn seen_position(&self) -> Option<GroupPosition> {
        let reported = self.report.map(|(_, report)| report.received);
        let seen = self.max_seen.map(|(_, position)| position);
        reported.max(seen)
    }

    /// Records the time that a statement took which ended at `now`.
    pub fn record_statement(&mut self, took: Duration, now: MonoTime) {
        self.statement_time.record(took, now);
        let ready = self.connections.len() - self.opening_count();
        let ready = ready.min(self.statement_limit.value());
        self.service_rate.record(took, ready, now);
    }

    /// Returns whether the target is draining and takes no new work.
    pub fn is_leaving(&self) -> bool {
        self.entry.state == TargetState::Draining
    }

    /// Returns whether the last attempt to connect failed and no connection is ready.
    pub fn is_unreachable(&self) -> bool {
        self.open_failures > 0 && !self.has_ready_connection()
    }

    /// Returns whether a connection to the target accepts calls.
    pub fn has_ready_connection(&self) -> bool {
        self.connections
            .iter()
            .any(|connection| connection.phase == ConnectionPhase::Ready)
    }

    /// Returns the number of connections that are being opened or started.
    pub fn opening_count(&self) -> usize {
        self.connections
            .iter()
            .filter(|connection| connection.phase != ConnectionPhase::Ready)
            .count()
    }

    /// Returns the number of ready connections that are lent or have a call in progress.
    pub fn in_use_count(&self) -> usize {
        self.connections
            .iter()
            .filter(|c| c.phase == ConnectionPhase::Ready && !c.is_idle())
            .count()
    }

    pub fn connection_mut(&mut self, id: ConnectionId) -> Option<&mut TargetConnection> {
        self.connections.iter_mut().find(|c| c.id == id)
    }

    /// Returns whether the limit of statements in progress allows one more.
    pub fn accepts_statement(&self) -> bool {
        let delayed = self.delayed_count;
        self.statement_limit
            .allows(self.statements_in_progress() + delayed)
    }

    /// Returns whether a statement can be sent to the target now, over an idle connection.
    pub fn has_free_connection(&self) -> bool {
        self.accepts_statement() && self.any_idle_connection().is_some()
    }

    /// Returns the number of connections with a call in progress. A connection that is idle in a
    /// transaction occupies no slot at the target and is not counted.
    pub fn statements_in_progress(&self) -> usize {
        self.connections
            .iter()
            .filter(|c| c.phase == ConnectionPhase::Ready && !c.calls.is_empty())
            .count()
    }

    /// Returns the number of statements of a tenant's sessions that are in progress; those without a
    /// tenant count as of one.
    pub fn statements_of(&self, tenant: Option<&TenantName>) -> usize {
        self.connections
            .iter()
            .filter(|c| c.holder.is_some() && !c.calls.is_empty() && c.tenant.as_ref() == tenant)
            .count()
    }

    /// Returns the idle connection of the session's tenant that needs the fewest setup calls for
    /// the session.
    pub fn idle_connection_for(&self, session: &ClientSession) -> Option<ConnectionId> {
        self.connections
            .iter()
            .filter(|connection| connection.is_idle() && connection.tenant == session.tenant)
            .min_by_key(|connection| connection.setup_cost(session))
            .map(|connection| connection.id)
    }

    /// Returns the number of connections of a tenant that are being opened or started.
    pub fn opening_count_for(&self, tenant: Option<&TenantName>) -> usize {
        self.connections
            .iter()
            .filter(|c| c.phase != ConnectionPhase::Ready && c.tenant.as_ref() == tenant)
            .count()
    }

    /// Returns the connection that belongs to another tenant and has been idle the longest.
    pub fn replaceable_connection(&self, tenant: Option<&TenantName>) -> Option<ConnectionId> {
        self.connections
            .iter()
            .filter(|connection| connection.is_idle() && connection.tenant.as_ref() != tenant)
            .min_by_key(|connection| connection.idle_since)
            .map(|connection| connection.id)
    }

    /// Returns some idle connection.
    pub fn any_idle_connection(&self) -> Option<ConnectionId> {
        let idle = self.connections.iter().find(|c| c.is_idle());
        idle.map(|connection| connection.id)
    }

    /// Returns the connection that has been idle the longest, if the pool exceeds `share` and the
    /// connection has been idle for at least `idle`.
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
