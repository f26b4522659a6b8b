//! Steps of a promotion after its survey: stepping down, pausing the targets, the order, its
//! confirmation and the end of the run.

use std::time::Duration;

use log::info;

use heatherhollow_types::MonoTime;
use heatherhollow_types::TargetIndex;
use heatherhollow_types::TermNumber;

use crate::action::DutyToken;
use crate::action::GatewayAction;
use crate::action::OrderReply;
use crate::catalog::TargetEntry;
use crate::catalog::TargetRole;
use crate::core::DutyState;
use crate::core::SessionGateway;
use crate::group::GroupIndex;
use crate::group::GroupState;
use crate::message::StatusReport;
use crate::message::TargetCall;
use crate::pool::CallPurpose;
use crate::pool::ControlPurpose;
use crate::pool::TargetPool;
use crate::promotion::POLL_INTERVAL;
use crate::promotion::PromotionRun;
use crate::promotion::PromotionStep;

/// Longest wait for a replica to receive the log of a primary that stepped down.
const CATCH_UP_LIMIT: Duration = Duration::from_millis(300);

/// Greatest age of the list of targets when the targets are paused and when the successor is chosen.
/// A target that is listed later may take records, and counts as a copy 1.5 s after it is listed.
pub(crate) const MAX_LIST_AGE: Duration = Duration::from_millis(1_000);

/// Greatest age of the list of targets when the order is sent, unless the primary stepped down.
const MAX_ORDER_AGE: Duration = Duration::from_millis(1_500);

impl SessionGateway {
    /// Requests the present list of targets for a run that holds the duty.
    pub(crate) fn list_targets(&mut self, group: GroupIndex, now: MonoTime) {
        if let Some(run) = &mut self.groups[group.0].promotion {
            run.set_step(PromotionStep::List, Vec::new(), now);
        }
        if !self.is_listing {
            self.is_listing = true;
            self.actions.push(GatewayAction::ListTargets);
        }
    }

    /// Adds targets that this instance did not know, and goes on with the runs that wait for the
    /// list. A run asks all targets again if its survey did not ask some of them.
    ///
    /// Entries of known targets are left to the watch of the store, which delivers them in order.
    pub(crate) fn handle_target_list(
        &mut self,
        asked_at: MonoTime,
        entries: Option<Vec<TargetEntry>>,
        now: MonoTime,
    ) {
        self.is_listing = false;
        let is_read = entries.is_some();
        for entry in entries.into_iter().flatten() {
            let group = self.group_index(&entry.group, now);
            if self.groups[group.0].target_index(&entry.target).is_none() {
                self.apply_target_entry(entry, now);
            }
        }
        for i in 0..self.groups.len() {
            let group = GroupIndex(i);
            let targets = self.all_targets(group);
            let Some(run) = &mut self.groups[i].promotion else {
                continue;
            };
            if run.step != PromotionStep::List {
                continue;
            }
            if !is_read {
                self.end_promotion(group, "list_not_read", now);
                continue;
            }
            run.list_read_at = Some(asked_at);
            let is_surveyed = targets.iter().all(|target| run.surveyed.contains(target));
            if is_surveyed {
                self.execute_plan(group, now);
            } else {
                info!("survey_repeated group={}", self.groups[i].name);
                let step = PromotionStep::Survey;
                self.start_step(group, step, targets, TargetCall::Status, now);
            }
        }
    }

    /// Evaluates the old primary's reply to the call to step down, and starts the catch-up.
    pub(crate) fn handle_step_down(&mut self, group: GroupIndex, now: MonoTime) {
        let Some(run) = &mut self.groups[group.0].promotion else {
            return;
        };
        let stepped_down = run.reports().next();
        if let Some((target, report)) = stepped_down {
            if report.role == TargetRole::Primary {
                self.abandon_promotion(group, "not_stepped_down", now);
                return;
            }
            run.stepped_down = Some((target, report.received));
        }
        let targets = self.all_targets(group);
        self.start_step(
            group,
            PromotionStep::CatchUp,
            targets,
            TargetCall::Status,
            now,
        );
    }

    /// Waits for a replica to receive the log of the old primary.
    pub(crate) fn advance_catch_up(&mut self, group: GroupIndex, now: MonoTime) {
        let state = &mut self.groups[group.0];
        let Some(run) = &mut state.promotion else {
            return;
        };
        let Some((old_primary, required_end)) = run.stepped_down else {
            self.pause_targets(group, now);
            return;
        };
        let is_caught_up = run
            .reports()
            .any(|(target, report)| target != old_primary && report.received >= required_end);
        if is_caught_up || now.since(run.step_started_at) >= CATCH_UP_LIMIT {
            self.pause_targets(group, now);
            return;
        }
        if run.has_all_replies() && now.since(run.polled_at) >= POLL_INTERVAL {
            run.polled_at = now;
            let targets = run.replies.iter().map(|(i, _)| *i).collect::<Vec<_>>();
            for target in targets {
                state.queue_control(target, ControlPurpose::Promotion, TargetCall::Status, now);
            }
        }
    }

    /// Asks all targets to pause, except a primary that stepped down.
    pub(crate) fn pause_targets(&mut self, group: GroupIndex, now: MonoTime) {
        let targets = self.all_targets(group);
        let state = &mut self.groups[group.0];
        let Some(run) = &mut state.promotion else {
            return;
        };
        let old_primary = run.stepped_down.map(|(target, _)| target);
        let fenced = targets
            .into_iter()
            .filter(|target| Some(*target) != old_primary)
            .collect::<Vec<_>>();
        run.paused.clone_from(&fenced);
        let call = TargetCall::Pause(run.fencing_term);
        self.start_step(group, PromotionStep::Pause, fenced, call, now);
    }

    /// Chooses the paused target with the longest log and orders its promotion.
    pub(crate) fn choose_successor(&mut self, group: GroupIndex, now: MonoTime) {
        let state = &self.groups[group.0];
        let Some(run) = &state.promotion else { return };
        let fenced = run
            .reports()
            .filter(|(_, report)| report.paused_for.is_some())
            .filter(|(target, _)| state.pool(*target).is_some_and(is_still_paused))
            .collect::<Vec<_>>();
        let newest_term = run.reports().map(|(_, report)| report.term).max();
        let newest_term = newest_term.max(Some(state.term));
        if newest_term.is_some_and(|term| term > run.old_term && run.stepped_down.is_none()) {
            self.abandon_promotion(group, "promoted_meanwhile", now);
            return;
        }
        let has_stepped_down = run.stepped_down.is_some();
        let list_read_at = run.list_read_at.unwrap_or(MonoTime::ZERO);
        if !has_stepped_down && now.since(list_read_at) > MAX_LIST_AGE {
            self.abandon_promotion(group, "list_outdated", now);
            return;
        }
        let known_logs = fenced.len() + usize::from(run.stepped_down.is_some());
        let quorum = state.promotion_quorum(now);
        let lacks_quorum = known_logs < quorum;
        let missing = run.replies.len() - fenced.len();
        if lacks_quorum || missing > max_missing(state, run) {
            info!(
                "targets_missing group={} fenced={} needed={quorum} missing={missing}",
                state.name,
                fenced.len()
            );
            self.abandon_promotion(group, "targets_missing", now);
            return;
        }
        // With all replicas paused, records that only the old primary has were never acknowledged.
        // Targets that are not listed now count too, since they may have confirmed such records.
        let are_all_paused = state.is_synchronous() && fenced.len() + 1 >= state.member_count(now);
        let required_end = run
            .stepped_down
            .map(|(_, end)| end)
            .filter(|_| !are_all_paused);
        let log_end = fenced.iter().map(|(_, report)| report.received).max();
        let Some(log_end) = log_end.filter(|log| required_end.is_none_or(|end| *log >= end)) else {
            self.abandon_promotion(group, "successor_behind", now);
            return;
        };
        let is_leaving = |target: TargetIndex| state.pool(target).is_none_or(|l| l.is_leaving());
        let successor = fenced
            .iter()
            .filter(|(_, report)| report.received == log_end)
            .min_by_key(|(target, report)| (is_leaving(*target), report.lag, *target))
            .map(|(target, _)| *target);
        let pool = successor.and_then(|target| state.pool(target));
        let (Some(successor), Some(pool), Some(token)) = (successor, pool, self.valid_token(now))
        else {
            self.abandon_promotion(group, "duty_lapsed", now);
            return;
        };
        info!(
            "promotion_ordered group={} target={} position={log_end} fenced={} missing={missing} \
             token={} after_ms={}",
            state.name,
            pool.entry.target,
            fenced.len(),
            token.number,
            now.since(run.started_at).as_millis()
        );
        let valid_until = match has_stepped_down {
            true => token.valid_until,
            false => token.valid_until.min(list_read_at + MAX_ORDER_AGE),
        };
        self.actions.push(GatewayAction::OrderPromotion {
            group: state.name.clone(),
            target: pool.entry.target.clone(),
            token: DutyToken {
                valid_until,
                ..token
            },
        });
        if let Some(run) = &mut self.groups[group.0].promotion {
            run.successor = Some(successor);
            run.set_step(PromotionStep::Order, Vec::new(), now);
        }
    }

    /// Handles the platform's reply to an order.
    pub(crate) fn handle_order_reply(&mut self, group: &str, reply: OrderReply, now: MonoTime) {
        let Some(i) = self.groups.iter().position(|state| state.name == group) else {
            return;
        };
        info!("promotion_reply group={group} reply={reply:?}");
        let Some(run) = &mut self.groups[i].promotion else {
            return;
        };
        if run.step != PromotionStep::Order {
            return;
        }
        match reply {
            OrderReply::Accepted | OrderReply::Unknown => {
                let targets = run.successor.into_iter().collect();
                run.set_step(PromotionStep::Confirm, targets, now);
                run.call = TargetCall::Status;
            }
            OrderReply::Rejected | OrderReply::NotSent => {
                self.abandon_promotion(GroupIndex(i), "order_refused", now);
            }
        }
    }

    /// Waits for the chosen target to lead, and resumes the other targets then. Targets that restart
    /// meanwhile are paused again.
    pub(crate) fn advance_confirm(
        &mut self,
        group: GroupIndex,
        effect_timeout: Duration,
        now: MonoTime,
    ) {
        let state = &mut self.groups[group.0];
        let Some(run) = &mut state.promotion else {
            return;
        };
        let new_term = run
            .reports()
            .filter(|(_, report)| report.role == TargetRole::Primary)
            .map(|(_, report)| report.term)
            .find(|term| *term > run.old_term);
        if let Some(term) = new_term {
            self.resume_followers(group, term, effect_timeout, now);
            return;
        }
        if now.since(run.step_started_at) >= effect_timeout {
            self.end_promotion(group, "no_effect", now);
            return;
        }
        if now.since(run.polled_at) >= POLL_INTERVAL {
            run.polled_at = now;
            if let Some(successor) = run.successor {
                state.queue_control(
                    successor,
                    ControlPurpose::Promotion,
                    TargetCall::Status,
                    now,
                );
            }
            self.pause_restarted_targets(group, now);
        }
    }

    /// Pauses targets again whose reports show that a restart has ended their pause.
    ///
    /// The order may have had its effect although nobody whom this instance reaches knows of it. A
    /// restarted target that took records of the old primary would confirm commits that the new one
    /// lacks.
    fn pause_restarted_targets(&mut self, group: GroupIndex, now: MonoTime) {
        if self.valid_token(now).is_none() {
            return;
        }
        let state = &mut self.groups[group.0];
        let Some(run) = &state.promotion else { return };
        let is_restarted = |target: &TargetIndex| {
            let report = state.pool(*target).and_then(|pool| pool.report);
            let is_unpaused = |(_, report): (MonoTime, StatusReport)| {
                report.role == TargetRole::Replica
                    && report.term <= run.old_term
                    && report.paused_for.is_none()
            };
            Some(*target) != run.successor && report.is_some_and(is_unpaused)
        };
        let call = TargetCall::Pause(run.fencing_term);
        let restarted = run.paused.iter().copied().filter(is_restarted);
        for target in restarted.collect::<Vec<_>>() {
            state.queue_control(target, ControlPurpose::Promotion, call.clone(), now);
        }
    }

    /// Resumes the paused targets once they know the new term; a target that is resumed earlier
    /// could take records of the old primary.
    pub(crate) fn resume_followers(
        &mut self,
        group: GroupIndex,
        term: TermNumber,
        effect_timeout: Duration,
        now: MonoTime,
    ) {
        let state = &mut self.groups[group.0];
        let Some(run) = &mut state.promotion else {
            return;
        };
        let followers = run
            .paused
            .iter()
            .copied()
            .filter(|target| Some(*target) != run.successor)
            .collect::<Vec<_>>();
        let is_poll_due = now.since(run.polled_at) >= POLL_INTERVAL;
        let is_timed_out = now.since(run.step_started_at) >= effect_timeout;
        if is_poll_due {
            run.polled_at = now;
        }
        let mut is_waiting = false;
        for target in followers {
            let Some(pool) = state.pool(target) else {
                continue;
            };
            let call = match pool.report {
                Some((_, report)) if report.paused_for.is_none() && report.term >= term => continue,
                Some((_, report)) if report.term >= term => TargetCall::Resume,
                _ => TargetCall::Status,
            };
            is_waiting = true;
            if is_poll_due {
                state.queue_control(target, ControlPurpose::Promotion, call, now);
            }
        }
        if !is_waiting || is_timed_out {
            self.end_promotion(group, "done", now);
        }
    }

    /// Resumes the targets that report a pause, and ends the run with `outcome` after that.
    pub(crate) fn resume_paused(
        &mut self,
        group: GroupIndex,
        outcome: &'static str,
        now: MonoTime,
    ) {
        let paused = self.groups[group.0]
            .targets()
            .filter(|(_, pool)| {
                pool.report
                    .is_some_and(|(_, report)| report.paused_for.is_some())
            })
            .map(|(i, _)| i)
            .collect::<Vec<_>>();
        if let Some(run) = &mut self.groups[group.0].promotion {
            run.outcome = outcome;
        }
        if paused.is_empty() || self.valid_token(now).is_none() {
            self.end_promotion(group, outcome, now);
            return;
        }
        self.start_step(
            group,
            PromotionStep::Resume,
            paused,
            TargetCall::Resume,
            now,
        );
    }

    /// Ends a run before its order, after the targets that it paused are resumed.
    pub(crate) fn abandon_promotion(
        &mut self,
        group: GroupIndex,
        outcome: &'static str,
        now: MonoTime,
    ) {
        self.resume_paused(group, outcome, now);
    }

    /// Drops the calls of a run that have not been sent or answered, so that none of them outlives
    /// the duty. A connection with an unanswered call that changes a target is closed.
    ///
    /// After an order without a known effect the targets stay paused, since a resumed target could
    /// take records of the old primary. A later run resumes them as forgotten pauses.
    pub(crate) fn cancel_promotion_calls(&mut self, group: GroupIndex, now: MonoTime) {
        let mut unanswered = Vec::new();
        for pool in self.groups[group.0].pools.iter_mut().flatten() {
            pool.control_requests
                .retain(|request| request.purpose != ControlPurpose::Promotion);
            let purpose = CallPurpose::Control(ControlPurpose::Promotion);
            unanswered.extend(
                pool.connections
                    .iter()
                    .filter(|connection| {
                        let mut fencing = connection.calls.iter().filter(|call| {
                            call.purpose == purpose && call.control_call != Some(TargetCall::Status)
                        });
                        fencing.next().is_some()
                    })
                    .map(|connection| connection.id),
            );
        }
        for connection in unanswered {
            self.drop_connection(connection, now);
        }
    }

    /// Ends the run: drops its calls and releases the duty if no other run needs it.
    pub(crate) fn end_promotion(&mut self, group: GroupIndex, outcome: &str, now: MonoTime) {
        let backoff = self.settings.promotion_backoff;
        let state = &mut self.groups[group.0];
        let Some(run) = state.promotion.take() else {
            return;
        };
        let is_done = outcome == "done";
        info!(
            "promotion_ended group={} outcome={outcome} cause={:?} step={:?} took_ms={}",
            state.name,
            run.cause,
            run.step,
            now.since(run.started_at).as_millis()
        );
        state.next_promotion_at = now + backoff;
        self.cancel_promotion_calls(group, now);
        self.statistics.promotion_ended(is_done);
        self.release_unused_duty();
    }

    /// Releases the duty if no run needs it.
    pub(crate) fn release_unused_duty(&mut self) {
        let is_needed = self.groups.iter().any(|group| group.promotion.is_some());
        if !is_needed && matches!(self.duty, DutyState::Held(_)) {
            self.duty = DutyState::None;
            self.actions.push(GatewayAction::ReleaseDuty);
        }
    }
}

/// Returns whether a target that reported its pause has given no sign of a restart since, which
/// would have ended the pause.
fn is_still_paused(pool: &TargetPool) -> bool {
    let is_paused = |(_, report): (MonoTime, StatusReport)| report.paused_for.is_some();
    pool.has_ready_connection() && pool.report.is_some_and(is_paused)
}

/// Returns how many of the targets to be paused may fail to answer. Unless a primary stepped down,
/// one of the missing targets is assumed to be the primary.
fn max_missing(state: &GroupState, run: &PromotionRun) -> usize {
    if run.stepped_down.is_some() {
        0
    } else {
        state.tolerated_missing()
    }
}
