//! Decision to move the lead of a group whose replicas all apply their logs late.
//!
//! The load that this answers: a replica applies records in order, so one late record holds back
//! all later ones. While every replica is held back, all reads of the group run at its primary, and
//! what exceeds the primary's slots is refused. A replica that has received the whole log has
//! applied it once it leads, and the old primary follows it as a fresh replica. One planned change
//! then ends the shortage, at the price of a short time without a primary.
//!
//! The change is worth its price if the replicas say that they need several times longer than it
//! takes, and statements wait that the primary cannot run at once. Only a settled primary is
//! replaced, and only while the platform accepts promotions. If the primary before it is held back
//! as well, the fault affects whichever targets follow, and another change would not help.

use std::time::Duration;

use heatherhollow_types::MonoTime;
use heatherhollow_types::TargetIndex;

use crate::catalog::TargetRole;
use crate::core::SessionGateway;
use crate::group::GroupIndex;
use crate::group::GroupState;
use crate::message::StatusReport;

/// Age up to which a status report describes the present lag of a replica. Replicas are asked each
/// 300 ms while reads wait (`probe_interval`).
const MAX_REPORT_AGE: Duration = Duration::from_millis(1_000);

/// Time for which a primary must have led; the replicas of a new primary catch up within it.
const MIN_LEADING_TIME: Duration = Duration::from_secs(5);

/// Time for which a primary must have led if the one before it is held back now: whichever target
/// leads, the others fall behind, so another change would help only for a moment.
const MIN_REPEAT_TIME: Duration = Duration::from_secs(20);

/// Time without a change after the store did not grant the duty of ordering promotions.
const DUTY_RETRY_TIME: Duration = Duration::from_secs(5);

/// Duration that is assumed for a change while none has been observed.
const ASSUMED_DURATION: Duration = Duration::from_secs(1);

/// Least remaining lag of the replicas as a multiple of the duration of a change. During the change
/// the group serves nothing; without it, a third of its targets serves.
const MIN_LAG_FACTOR: u32 = 3;

impl SessionGateway {
    /// Records since when all replicas of a group have been held back while more statements wait
    /// than the primary runs at a time.
    pub(crate) fn observe_shortage(&mut self, group: GroupIndex, now: MonoTime) {
        let state = &self.groups[group.0];
        let is_short = has_waiting_statements(state)
            && state.targets().count() > 1
            && state.targets().all(|(i, pool)| {
                let is_recent = |at: MonoTime| now.since(at) <= MAX_REPORT_AGE;
                state.primary == Some(i)
                    || pool
                        .report
                        .is_some_and(|(at, report)| is_recent(at) && is_held_back(state, &report))
            });
        let state = &mut self.groups[group.0];
        state.shortage_since = match state.shortage_since {
            Some(since) if is_short => Some(since),
            _ => is_short.then_some(now),
        };
    }

    /// Returns whether the lead of a group should move since its replicas have been held back for
    /// `delay`.
    pub(crate) fn is_handover_due(
        &self,
        group: GroupIndex,
        delay: Duration,
        now: MonoTime,
    ) -> bool {
        let state = &self.groups[group.0];
        let previous = state.previous_primary.and_then(|i| state.pool(i));
        let is_previous_held_back = previous
            .and_then(|pool| pool.report)
            .is_some_and(|(_, report)| is_held_back(state, &report));
        let min_leading_time = match is_previous_held_back {
            true => MIN_REPEAT_TIME,
            false => MIN_LEADING_TIME,
        };
        let is_settled = now.since(state.primary_since) >= min_leading_time;
        let is_duty_granted = self
            .duty_unavailable_at
            .is_none_or(|at| now.since(at) >= DUTY_RETRY_TIME);
        let is_long_short = state
            .shortage_since
            .is_some_and(|since| now.since(since) >= self.settings.shortage_limit + delay);
        state.primary.is_some() && is_settled && is_duty_granted && is_long_short
    }

    /// Returns whether the survey of a run confirms that all replicas are held back: every target
    /// has answered, so that the steps after the old primary's stepping down can succeed.
    pub(crate) fn is_handover_confirmed(&self, group: GroupIndex, primary: TargetIndex) -> bool {
        let state = &self.groups[group.0];
        let Some(run) = &state.promotion else {
            return false;
        };
        let has_all_reports = run.reports().count() == run.replies.len();
        let mut replicas = run.reports().filter(|(target, _)| *target != primary);
        has_all_reports && replicas.all(|(_, report)| is_held_back(state, &report))
    }
}

/// Returns whether a replica reports that it needs several times longer to apply its log than a
/// change of the primary takes.
fn is_held_back(state: &GroupState, report: &StatusReport) -> bool {
    let duration = state.last_failover_duration.unwrap_or(ASSUMED_DURATION);
    report.role == TargetRole::Replica
        && report.term == state.term
        && report.paused_for.is_none()
        && report.lag >= duration * MIN_LAG_FACTOR
}

/// Returns whether more statements wait for a group than its primary runs at a time.
fn has_waiting_statements(state: &GroupState) -> bool {
    let primary = state.primary.and_then(|primary| state.pool(primary));
    primary.is_some_and(|pool| state.queue.len() > pool.entry.slots as usize)
}
