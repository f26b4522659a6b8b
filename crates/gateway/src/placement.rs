//! Choice of a target for a waiting statement.
//!
//! Load that this answers: targets that lag, rest, hang, fail or are gone, a group without a primary,
//! and an instance that is cut off from the group.

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
use crate::group::DatabaseGroup;
use crate::group::GroupIndex;
use crate::pool::TargetPool;
use crate::session::ClientSession;

/// Time assumed for a statement at a target that has not answered any yet.
const DEFAULT_STATEMENT_TIME: Duration = Duration::from_millis(10);

/// Longest wait for a replica that is about to have the session's position.
const MAX_REPLICA_WAIT: Duration = Duration::from_millis(150);

/// Age up to which a replica is considered for a read of the present state. The position that such a
/// read asks for decides; this only keeps the router from leaving out all replicas.
const MIN_ROUTE_AGE: Duration = Duration::from_secs(1);

/// Where a waiting statement goes.
pub(crate) enum Placement {
    Target(TargetIndex),
    Wait,
    Refuse(RefusalReason),
}

impl SessionGateway {
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
            return if self.is_hopeless(state, now) {
                Placement::Refuse(RefusalReason::NoPrimary)
            } else {
                Placement::Wait
            };
        }
        // Without a primary, a read of the present state can run at a replica that has every commit
        // that any target held after the read began.
        let own = session.position_in(group);
        let complete = session.evidence_needed_since().unwrap_or(now);
        let required = state.required_position(complete, own);
        let faulty = self.faulty_targets(state, now);
        let views = state
            .targets()
            .map(|(i, pool)| {
                let is_primary = state.primary == Some(i);
                // Without a proved position only the primary can serve.
                let is_unproved = !is_primary && required.is_none();
                let is_out = is_unproved || request.is_avoided(i, now) || faulty.contains(&i);
                self.view(state, i, pool, demand, is_out, now)
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
        // While a replica lags, one statement at a time finds out whether it still does.
        let pause = self.settings.lag_backoff;
        let has_lacked = |target| {
            required.is_some_and(|need| state.tracker.has_lacked(target, need, pause, now))
        };
        let idle = || idle_replica(state, &views, &has_lacked);
        if !matches!(choice, RouteChoice::Go(_))
            && waited >= self.settings.try_lagging_after
            && let Some(target) = idle()
        {
            return Placement::Target(target);
        }
        match choice {
            // The cheapest target may have no connection free while another one has.
            RouteChoice::Go(target) => {
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

    /// Whether a group without a primary gets none soon, as the store does not grant the duty.
    pub(crate) fn is_hopeless(&self, state: &DatabaseGroup, now: MonoTime) -> bool {
        let limit = self.settings.leaderless_limit;
        let is_long = state
            .leaderless_since
            .or(state.suspicion.suspected_since())
            .is_some_and(|since| now.since(since) >= limit);
        let is_refused = self
            .duty_unavailable_at
            .is_some_and(|at| now.since(at) < limit + self.settings.promotion_backoff);
        is_long && is_refused
    }

    /// Targets that fail too many statements; none if all do, so that a group is never emptied.
    pub(crate) fn faulty_targets(&self, state: &DatabaseGroup, now: MonoTime) -> Vec<TargetIndex> {
        let limit = self.settings.faulty_rate;
        let is_faulty = |pool: &TargetPool| pool.failure_rate.value(now) >= limit;
        let faulty = state.targets().filter(|(_, pool)| is_faulty(pool));
        let faulty = faulty.map(|(i, _)| i).collect::<Vec<_>>();
        if faulty.len() == state.targets().count() {
            return Vec::new();
        }
        faulty
    }

    pub(crate) fn view(
        &self,
        state: &DatabaseGroup,
        target: TargetIndex,
        pool: &TargetPool,
        demand: &[usize],
        is_unfit: bool,
        now: MonoTime,
    ) -> TargetView {
        let is_primary = state.primary == Some(target);
        let in_flight = pool.in_use_count() + demand[target.as_usize()];
        let is_out = pool.is_unreachable() || now < pool.backoff_until || is_unfit;
        let is_unusable_primary =
            is_primary && usable_primary(state, now, self.settings.leaving_limit).is_none();
        let share = state.share(self.holders(state)).max(pool.connections.len());
        let share = share.min(pool.statement_limit.value());
        let measured = pool.statement_time.value(now);
        TargetView {
            target,
            is_primary,
            is_leaving: pool.is_leaving(),
            is_suspected: is_out || is_unusable_primary,
            is_remote: self.identity.is_remote(&pool.entry.data_centre),
            // The measured time of a statement includes the way.
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

/// A replica with an idle connection among those that can be used and are not known to be behind.
fn idle_replica(
    state: &DatabaseGroup,
    views: &[TargetView],
    has_lacked: &impl Fn(TargetIndex) -> bool,
) -> Option<TargetIndex> {
    views
        .iter()
        .filter(|view| !view.is_primary && !view.is_leaving && !view.is_suspected)
        .filter(|view| !has_lacked(view.target))
        .filter(|view| {
            let pool = state.pool(view.target);
            pool.is_some_and(TargetPool::has_free_connection)
        })
        .min_by_key(|view| (view.in_flight, view.is_remote))
        .map(|view| view.target)
}

/// The known primary, if statements can be sent to it.
fn usable_primary(
    state: &DatabaseGroup,
    now: MonoTime,
    leaving_limit: Duration,
) -> Option<TargetIndex> {
    let target = state.primary?;
    let pool = state.pool(target)?;
    let is_late = pool
        .leaving_since
        .is_some_and(|since| now.since(since) > leaving_limit);
    let is_out = pool.must_confirm_role || now < pool.backoff_until || is_late;
    (!is_out && state.suspicion.suspected_since().is_none()).then_some(target)
}
