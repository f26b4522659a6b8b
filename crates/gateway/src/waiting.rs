//! Expected waiting times: whether a statement can start in time, and when a refused statement may
//! be retried.
//!
//! A statement that cannot start before its limit is refused at once, and the client is told when
//! another attempt is expected to be served. This is needed when there are more statements than the
//! targets' connections can serve, and when a group has no primary.

use std::time::Duration;

use heatherhollow_types::MonoTime;
use heatherhollow_types::RefusalReason;
use heatherhollow_types::TargetIndex;

use crate::core::SessionGateway;
use crate::group::GroupIndex;
use crate::group::GroupState;
use crate::session::ClientRequest;

/// Retry delay if another instance may serve the statement. Clients reach another instance with
/// each attempt, so the delay only spreads the attempts of many clients.
pub(crate) const RETRY_ELSEWHERE: Duration = Duration::from_millis(50);

/// Longest retry delay. A failover or a restart of targets is over by then, and longer estimates
/// are uncertain.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(5);

impl SessionGateway {
    /// Returns whether a statement for which no connection is free cannot start before its limit,
    /// with `queued_ahead` other statements waiting for the same target.
    ///
    /// The estimate uses the best recent rate and leaves out pauses inside transactions, so it errs
    /// towards waiting: after a stall of the target, queued statements are served at the usual
    /// rate.
    pub(crate) fn starts_too_late(
        &self,
        group: GroupIndex,
        target: TargetIndex,
        request: &ClientRequest,
        queued_ahead: usize,
        now: MonoTime,
    ) -> bool {
        let pool = self.groups[group.0].pool(target);
        let Some(rate) = pool.and_then(|pool| pool.service_rate.peak(now)) else {
            return false;
        };
        now + start_time_span(queued_ahead, rate)
            >= request.received_at + request.queue_time_limit(&self.settings)
    }

    /// Returns the time after which a statement that is refused now may be retried.
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
        let delay = match reason {
            RefusalReason::Unreachable => RETRY_ELSEWHERE,
            RefusalReason::NoPrimary => self.time_until_primary(state, now),
            _ if is_leaderless && needs_primary => self.time_until_primary(state, now),
            // An estimate below the time that the statement has already waited was wrong for it.
            _ => time_until_drained(state, now).max(waited / 2),
        };
        delay.clamp(self.settings.busy_backoff, MAX_RETRY_AFTER)
    }

    /// Returns the time until a group without a primary is expected to have one: the duration of
    /// the last failover, less the time since the primary was lost or suspected.
    fn time_until_primary(&self, state: &GroupState, now: MonoTime) -> Duration {
        let longest_expected =
            self.settings.promotion_step_timeout + self.settings.promotion_effect_timeout;
        let expected_duration = state.last_failover_duration.unwrap_or(longest_expected);
        if self.is_promotion_blocked(state, now) {
            return self.settings.promotion_backoff + expected_duration;
        }
        let elapsed = state
            .leaderless_since
            .or(state.suspicion.suspected_since())
            .map_or(Duration::ZERO, |since| now.since(since));
        expected_duration
            .saturating_sub(elapsed)
            .max(self.settings.promotion_backoff)
    }
}

/// Returns the time until all statements that are queued for a group now have started, at the best
/// recent rate of all its targets together.
fn time_until_drained(state: &GroupState, now: MonoTime) -> Duration {
    let rate = state
        .targets()
        .filter(|(_, pool)| !pool.is_unreachable())
        .filter_map(|(_, pool)| pool.service_rate.peak(now))
        .fold(0, usize::saturating_add);
    if rate > 0 {
        start_time_span(state.queue.len() + 1, rate)
    } else {
        RETRY_ELSEWHERE
    }
}

/// Returns the time in which `count` statements start, at a rate in statements a second.
fn start_time_span(count: usize, rate: usize) -> Duration {
    Duration::from_secs_f64(count as f64 / rate as f64)
}
