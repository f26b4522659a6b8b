//! Expected waiting times: whether a statement can start in time, and when a refused one may come back.
//!
//! Load that this answers: more statements than the targets' connections serve, and groups without a
//! primary. A statement that cannot start before its limit is refused at once, and the client is told
//! when another attempt is expected to be served.

use std::time::Duration;

use heatherhollow_types::MonoTime;
use heatherhollow_types::RefusalReason;
use heatherhollow_types::TargetIndex;

use crate::core::SessionGateway;
use crate::group::DatabaseGroup;
use crate::group::GroupIndex;
use crate::session::ClientRequest;

/// Advice where another instance may serve the statement: clients reach another one with each attempt,
/// so it only spreads the attempts of many clients.
pub(crate) const RETRY_ELSEWHERE: Duration = Duration::from_millis(50);

/// Longest advice; a failover or a restart of targets is over by then, and estimates beyond it are
/// uncertain.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(5);

impl SessionGateway {
    /// Whether a statement for which no connection is free cannot start before its limit, with
    /// `ahead` others waiting for the same target.
    ///
    /// The estimate takes the best rate of late and leaves out pauses inside transactions, so it errs
    /// towards waiting: after a stall of the target, what waits is served at its usual rate.
    pub(crate) fn is_too_late(
        &self,
        group: GroupIndex,
        target: TargetIndex,
        request: &ClientRequest,
        ahead: usize,
        now: MonoTime,
    ) -> bool {
        let pool = self.groups[group.0].pool(target);
        let Some(rate) = pool.and_then(|pool| pool.service_rate.peak(now)) else {
            return false;
        };
        now + time_for(ahead, rate)
            >= request.received_at + request.queue_time_limit(&self.settings)
    }

    /// When a statement that is refused now may come back.
    pub(crate) fn retry_after(
        &self,
        group: GroupIndex,
        reason: RefusalReason,
        needs_primary: bool,
        waited: Duration,
        now: MonoTime,
    ) -> Duration {
        let state = &self.groups[group.0];
        let is_leaderless = state.primary.is_none() || state.suspicion.suspected_since().is_some();
        let span = match reason {
            RefusalReason::Unreachable => RETRY_ELSEWHERE,
            RefusalReason::NoPrimary => self.expected_primary(state, now),
            _ if is_leaderless && needs_primary => self.expected_primary(state, now),
            // An estimate below what the statement has waited already was wrong for it.
            _ => expected_drain(state, now).max(waited / 2),
        };
        span.clamp(self.settings.busy_backoff, MAX_RETRY_AFTER)
    }

    /// Time until a group without a primary is expected to have one: what the last failover took, less
    /// what has passed of this one.
    fn expected_primary(&self, state: &DatabaseGroup, now: MonoTime) -> Duration {
        let most = self.settings.promotion_step_timeout + self.settings.promotion_effect_timeout;
        let usual = state.failover_time.unwrap_or(most);
        if self.is_hopeless(state, now) {
            return self.settings.promotion_backoff + usual;
        }
        let elapsed = state
            .leaderless_since
            .or(state.suspicion.suspected_since())
            .map_or(Duration::ZERO, |since| now.since(since));
        usual
            .saturating_sub(elapsed)
            .max(self.settings.promotion_backoff)
    }
}

/// Time until what waits for a group now has started, at the best rate of late of all its targets together.
fn expected_drain(state: &DatabaseGroup, now: MonoTime) -> Duration {
    let rate = state
        .targets()
        .filter(|(_, pool)| !pool.is_unreachable())
        .filter_map(|(_, pool)| pool.service_rate.peak(now))
        .fold(0, usize::saturating_add);
    if rate > 0 {
        time_for(state.queue.len() + 1, rate)
    } else {
        RETRY_ELSEWHERE
    }
}

/// Time in which so many statements start, at a rate in statements a second.
fn time_for(count: usize, rate: usize) -> Duration {
    Duration::from_secs_f64(count as f64 / rate as f64)
}
