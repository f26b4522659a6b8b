//! Choice of a target for a queued statement.
//!
//! The choice leaves out targets that lag, are busy, do not answer, fail too many statements or are
//! gone. It also covers a group without a primary, and an instance that is cut off from the group.

use std::time::Duration;

use heatherhollow_routing::RouteChoice;
use heatherhollow_routing::RouteQuery;
use heatherhollow_routing::TargetView;
use heatherhollow_routing::choose_route;
use heatherhollow_session::ReadRequirement;
use heatherhollow_types::MonoTime;
use heatherhollow_types::RefusalReason;
use heatherhollow_types::TargetIndex;

use crate::core::SessionGateway;
use crate::group::GroupIndex;
use crate::group::GroupState;
use crate::pool::TargetPool;
use crate::session::ClientSession;

/// Statement time assumed for a target that has not answered any statement yet.
const DEFAULT_STATEMENT_TIME: Duration = Duration::from_millis(10);

/// Longest wait for a replica that is about to have the session's position.
const MAX_REPLICA_WAIT: Duration = Duration::from_millis(150);

/// Least age limit for replicas in the routing query. The position that a read requires decides
/// whether a replica may serve the read; this limit only keeps the router from leaving out all
/// replicas.
const MIN_ROUTE_AGE: Duration = Duration::from_secs(1);

/// Decision about a queued statement.
pub(crate) enum Placement {
    /// The statement goes to this target.
    Target(TargetIndex),
    /// No target can serve the statement now.
    Wait,
    /// No target is expected to serve the statement in time.
    Refuse(RefusalReason),
}

impl SessionGateway {
    /// Chooses a target for a client's queued request; `demand` is the number of queued statements
    /// for each target, by target index.
    pub(crate) fn place_request(
        &self,
        group: GroupIndex,
        session: &ClientSession,
        demand: &[usize],
        now: MonoTime,
    ) -> Placement {
        let state = &self.groups[group.0];
        let Some(request) = &session.request else {
            return Placement::Wait;
        };
        if now < request.not_before {
            return Placement::Wait;
        }
        let is_isolated = state.is_isolated(self.settings.isolation_limit, now);
        if is_isolated && session.needs_primary() {
            return Placement::Refuse(RefusalReason::Unreachable);
        }
        let primary = usable_primary(state, now, self.settings.leaving_limit);
        if let Some(target) = primary.filter(|_| session.needs_primary()) {
            return Placement::Target(target);
        }
        if session.is_writing() {
            return if self.is_promotion_blocked(state, now) {
                Placement::Refuse(RefusalReason::NoPrimary)
            } else {
                Placement::Wait
            };
        }
        // Without a primary, a read of the current state can run at a replica that has every commit
        // that any target held after the read began.
        let own_position = session.position_in(group);
        let complete_until = session.evidence_needed_since().unwrap_or(now);
        let required = state.required_position(complete_until, own_position);
        let faulty_targets = self.faulty_targets(state, now);
        let views = state
            .targets()
            .map(|(i, pool)| {
                let is_primary = state.primary == Some(i);
                // Without a proved position, only the primary can serve the read.
                let is_unproved = !is_primary && required.is_none();
                let is_excluded =
                    is_unproved || request.is_avoided(i, now) || faulty_targets.contains(&i);
                self.target_view(state, i, pool, demand, is_excluded, now)
            })
            .collect::<Vec<_>>();
        let query = RouteQuery {
            requirement: required.map_or(ReadRequirement::None, ReadRequirement::AtLeast),
            max_age: request.route.freshness.max_age().max(MIN_ROUTE_AGE),
            max_wait: MAX_REPLICA_WAIT,
            deadline: request.deadline(),
        };
        let choice = choose_route(&query, &views, &state.tracker, &self.settings.policy, now);
        let waited = now.since(request.received_at);
        // While a replica lags, one statement at a time tests whether it still does.
        let pause = self.settings.lag_backoff;
        let was_behind = |target| {
            required.is_some_and(|required| state.tracker.was_behind(target, required, pause, now))
        };
        let idle = || idle_replica(state, &views, &was_behind);
        if !matches!(choice, RouteChoice::SendTo(_))
            && waited >= self.settings.try_lagging_after
            && let Some(target) = idle()
        {
            return Placement::Target(target);
        }
        match choice {
            // The best target may have no free connection while another one has.
            RouteChoice::SendTo(target) => {
                let has_free_connection = state
                    .pool(target)
                    .is_some_and(TargetPool::has_free_connection);
                let other = if has_free_connection { None } else { idle() };
                Placement::Target(other.unwrap_or(target))
            }
            RouteChoice::WaitFor { .. } => Placement::Wait,
            RouteChoice::Refuse {
                reason: RefusalReason::DeadlinePassed,
                ..
            } => Placement::Refuse(RefusalReason::DeadlinePassed),
            RouteChoice::Refuse { .. } if is_isolated && required.is_none() => {
                Placement::Refuse(RefusalReason::Unreachable)
            }
            RouteChoice::Refuse { .. } => Placement::Wait,
        }
    }

    /// Returns whether a group without a primary will not get one soon, since the store does not
    /// grant the duty of ordering promotions.
    pub(crate) fn is_promotion_blocked(&self, state: &GroupState, now: MonoTime) -> bool {
        let limit = self.settings.leaderless_limit;
        let is_long_leaderless = state
            .leaderless_since
            .or(state.suspicion.suspected_since())
            .is_some_and(|since| now.since(since) >= limit);
        let is_duty_unavailable = self
            .duty_unavailable_at
            .is_some_and(|at| now.since(at) < limit + self.settings.promotion_backoff);
        is_long_leaderless && is_duty_unavailable
    }

    /// Returns the targets that fail too many statements. Returns none if all targets do, so that
    /// some target always remains.
    pub(crate) fn faulty_targets(&self, state: &GroupState, now: MonoTime) -> Vec<TargetIndex> {
        let limit = self.settings.faulty_rate;
        let is_faulty = |pool: &TargetPool| pool.failure_rate.value(now) >= limit;
        let faulty_targets = state.targets().filter(|(_, pool)| is_faulty(pool));
        let faulty_targets = faulty_targets.map(|(i, _)| i).collect::<Vec<_>>();
        if faulty_targets.len() == state.targets().count() {
            return Vec::new();
        }
        faulty_targets
    }

    /// Describes a target for the router. An excluded target counts as suspected.
    pub(crate) fn target_view(
        &self,
        state: &GroupState,
        target: TargetIndex,
        pool: &TargetPool,
        demand: &[usize],
        is_excluded: bool,
        now: MonoTime,
    ) -> TargetView {
        let is_primary = state.primary == Some(target);
        let in_flight = pool.in_use_count() + demand[target.as_usize()];
        let is_unavailable = pool.is_unreachable() || now < pool.backoff_until || is_excluded;
        let is_unusable_primary =
            is_primary && usable_primary(state, now, self.settings.leaving_limit).is_none();
        let share = state
            .connection_share(self.connection_holders(state))
            .max(pool.connections.len());
        let share = share.min(pool.statement_limit.value());
        let measured = pool.statement_time.value(now);
        TargetView {
            target,
            is_primary,
            is_leaving: pool.is_leaving(),
            is_suspected: is_unavailable || is_unusable_primary,
            is_remote: self.identity.is_remote(&pool.entry.data_centre),
            // The measured statement time includes the network round trip.
            round_trip: Duration::ZERO,
            in_flight: u32::try_from(in_flight).unwrap_or(u32::MAX),
            reads_in_flight: u32::try_from(in_flight).unwrap_or(u32::MAX),
            slots: u32::try_from(share).unwrap_or(u32::MAX),
            statement_time: if measured.is_zero() {
                DEFAULT_STATEMENT_TIME
            } else {
                measured
            },
        }
    }
}

/// Returns a usable replica with a free connection that is not known to lack the required position;
/// the one with the fewest statements in flight.
fn idle_replica(
    state: &GroupState,
    views: &[TargetView],
    was_behind: &impl Fn(TargetIndex) -> bool,
) -> Option<TargetIndex> {
    views
        .iter()
        .filter(|view| !view.is_primary && !view.is_leaving && !view.is_suspected)
        .filter(|view| !was_behind(view.target))
        .filter(|view| {
            let pool = state.pool(view.target);
            pool.is_some_and(TargetPool::has_free_connection)
        })
        .min_by_key(|view| (view.in_flight, view.is_remote))
        .map(|view| view.target)
}

/// Returns the known primary if statements can be sent to it.
fn usable_primary(
    state: &GroupState,
    now: MonoTime,
    leaving_limit: Duration,
) -> Option<TargetIndex> {
    let target = state.primary?;
    let pool = state.pool(target)?;
    let is_late = pool
        .leaving_since
        .is_some_and(|since| now.since(since) > leaving_limit);
    let is_unavailable = pool.must_confirm_role || now < pool.backoff_until || is_late;
    (!is_unavailable && state.suspicion.suspected_since().is_none()).then_some(target)
}
