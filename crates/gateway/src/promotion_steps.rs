//! Steps of a promotion after its survey: fencing, the order, its effect, and the end.

use std::time::Duration;

use log::info;

use heatherhollow_types::MonoTime;
use heatherhollow_types::TargetIndex;
use heatherhollow_types::TermNumber;

use crate::action::GatewayAction;
use crate::action::OrderReply;
use crate::catalog::TargetRole;
use crate::core::DutyState;
use crate::core::SessionGateway;
use crate::group::DatabaseGroup;
use crate::group::GroupIndex;
use crate::message::TargetCall;
use crate::pool::CallPurpose;
use crate::pool::ControlPurpose;
use crate::promotion::POLL_INTERVAL;
use crate::promotion::PromotionRun;
use crate::promotion::PromotionStep;

/// Longest wait for a replica to have the log of a primary that stepped down.
const CATCH_UP_LIMIT: Duration = Duration::from_millis(300);

impl SessionGateway {
    pub(crate) fn after_step_down(&mut self, group: GroupIndex, now: MonoTime) {
        let Some(run) = &mut self.groups[group.0].promotion else {
            return;
        };
        let stepped_down = run.reports().next();
        if let Some((target, report)) = stepped_down {
            if report.role == TargetRole::Primary {
                self.give_up(group, "not_stepped_down", now);
                return;
            }
            run.stepped_down = Some((target, report.received));
        }
        let targets = self.all_targets(group);
        self.enter_step(
            group,
            PromotionStep::CatchUp,
            targets,
            TargetCall::Status,
            now,
        );
    }

    /// Waits for a staying replica to have the log of the old primary.
    pub(crate) fn drive_catch_up(&mut self, group: GroupIndex, now: MonoTime) {
        let state = &mut self.groups[group.0];
        let Some(run) = &mut state.promotion else {
            return;
        };
        let Some((old, end)) = run.stepped_down else {
            self.pause_all(group, now);
            return;
        };
        let caught_up = run
            .reports()
            .any(|(target, report)| target != old && report.received >= end);
        if caught_up || now.since(run.step_at) >= CATCH_UP_LIMIT {
            self.pause_all(group, now);
            return;
        }
        if run.is_answered() && now.since(run.polled_at) >= POLL_INTERVAL {
            run.polled_at = now;
            let targets = run.replies.iter().map(|(i, _)| *i).collect::<Vec<_>>();
            for target in targets {
                state.control(target, ControlPurpose::Promotion, TargetCall::Status, now);
            }
        }
    }

    pub(crate) fn pause_all(&mut self, group: GroupIndex, now: MonoTime) {
        let targets = self.all_targets(group);
        let state = &mut self.groups[group.0];
        let Some(run) = &mut state.promotion else {
            return;
        };
        let old = run.stepped_down.map(|(target, _)| target);
        let fenced = targets
            .into_iter()
            .filter(|target| Some(*target) != old)
            .collect::<Vec<_>>();
        run.paused.clone_from(&fenced);
        let call = TargetCall::Pause(run.fence);
        self.enter_step(group, PromotionStep::Pause, fenced, call, now);
    }

    /// Chooses the paused target with the longest log and orders its promotion.
    pub(crate) fn choose_successor(&mut self, group: GroupIndex, now: MonoTime) {
        let state = &self.groups[group.0];
        let Some(run) = &state.promotion else { return };
        let fenced = run
            .reports()
            .filter(|(_, report)| report.paused_for.is_some())
            .collect::<Vec<_>>();
        let newest = run.reports().map(|(_, report)| report.term).max();
        let newest = newest.max(Some(state.term));
        if newest.is_some_and(|newest| newest > run.old_term && run.stepped_down.is_none()) {
            self.give_up(group, "promoted_meanwhile", now);
            return;
        }
        let known = fenced.len() + usize::from(run.stepped_down.is_some());
        let needed = state.copies_quorum(now);
        let is_short = known < needed;
        let missing = run.replies.len() - fenced.len();
        if is_short || missing > missing_limit(state, run) {
            info!(
                "targets_missing group={} fenced={} needed={needed} missing={missing}",
                state.name,
                fenced.len()
            );
            self.give_up(group, "targets_missing", now);
            return;
        }
        // With all replicas paused, what only the old primary has was never acknowledged. Targets that
        // are not listed now count too: they may have confirmed it.
        let is_complete = state.is_synchronous() && fenced.len() + 1 >= state.size(now);
        let end = run
            .stepped_down
            .map(|(_, end)| end)
            .filter(|_| !is_complete);
        let longest = fenced.iter().map(|(_, report)| report.received).max();
        let Some(longest) = longest.filter(|longest| end.is_none_or(|end| *longest >= end)) else {
            self.give_up(group, "successor_behind", now);
            return;
        };
        let is_leaving = |target: TargetIndex| state.pool(target).is_none_or(|l| l.is_leaving());
        let chosen = fenced
            .iter()
            .filter(|(_, report)| report.received == longest)
            .min_by_key(|(target, report)| (is_leaving(*target), report.lag, *target))
            .map(|(target, _)| *target);
        let pool = chosen.and_then(|target| state.pool(target));
        let (Some(chosen), Some(pool), Some(token)) = (chosen, pool, self.valid_token(now)) else {
            self.give_up(group, "duty_lapsed", now);
            return;
        };
        info!(
            "promotion_ordered group={} target={} position={longest} fenced={} missing={missing} \
             token={} after_ms={}",
            state.name,
            pool.entry.target,
            fenced.len(),
            token.number,
            now.since(run.began_at).as_millis()
        );
        self.actions.push(GatewayAction::OrderPromotion {
            group: state.name.clone(),
            target: pool.entry.target.clone(),
            token,
        });
        if let Some(run) = &mut self.groups[group.0].promotion {
            run.chosen = Some(chosen);
            run.enter(PromotionStep::Order, Vec::new(), now);
        }
    }

    /// The platform answered an order.
    pub(crate) fn take_order_reply(&mut self, group: &str, reply: OrderReply, now: MonoTime) {
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
                let chosen = run.chosen.into_iter().collect();
                run.enter(PromotionStep::Confirm, chosen, now);
                run.call = TargetCall::Status;
            }
            OrderReply::Rejected | OrderReply::NotSent => {
                self.give_up(GroupIndex(i), "order_refused", now);
            }
        }
    }

    /// Waits for the chosen target to lead.
    pub(crate) fn drive_confirm(&mut self, group: GroupIndex, effect: Duration, now: MonoTime) {
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
            self.resume_followers(group, term, effect, now);
            return;
        }
        if now.since(run.step_at) >= effect {
            self.end_promotion(group, "no_effect", now);
            return;
        }
        if now.since(run.polled_at) >= POLL_INTERVAL {
            run.polled_at = now;
            if let Some(chosen) = run.chosen {
                state.control(chosen, ControlPurpose::Promotion, TargetCall::Status, now);
            }
        }
    }

    /// Resumes the paused targets once they know the new term; before that they could take records of
    /// the old primary.
    pub(crate) fn resume_followers(
        &mut self,
        group: GroupIndex,
        term: TermNumber,
        effect: Duration,
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
            .filter(|target| Some(*target) != run.chosen)
            .collect::<Vec<_>>();
        let is_polled = now.since(run.polled_at) >= POLL_INTERVAL;
        let is_late = now.since(run.step_at) >= effect;
        if is_polled {
            run.polled_at = now;
        }
        let mut waits = false;
        for target in followers {
            let Some(pool) = state.pool(target) else {
                continue;
            };
            let call = match pool.report {
                Some((_, report)) if report.paused_for.is_none() && report.term >= term => continue,
                Some((_, report)) if report.term >= term => TargetCall::Resume,
                _ => TargetCall::Status,
            };
            waits = true;
            if is_polled {
                state.control(target, ControlPurpose::Promotion, call, now);
            }
        }
        if !waits || is_late {
            self.end_promotion(group, "done", now);
        }
    }

    /// Resumes targets that report a pause and then ends the run.
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
        self.enter_step(
            group,
            PromotionStep::Resume,
            paused,
            TargetCall::Resume,
            now,
        );
    }

    /// Ends a run before its order: what it paused is resumed first.
    pub(crate) fn give_up(&mut self, group: GroupIndex, outcome: &'static str, now: MonoTime) {
        self.resume_paused(group, outcome, now);
    }

    /// Drops the calls of a run that have not been sent or answered, so that none outlives the duty.
    ///
    /// The pauses of a run whose order is open stay, since a resumed target could take records of the
    /// old primary; they are cleared as forgotten ones.
    pub(crate) fn cancel_control(&mut self, group: GroupIndex, now: MonoTime) {
        let mut unanswered = Vec::new();
        for pool in self.groups[group.0].pools.iter_mut().flatten() {
            pool.control
                .retain(|job| job.purpose != ControlPurpose::Promotion);
            let purpose = CallPurpose::Control(ControlPurpose::Promotion);
            unanswered.extend(
                pool.connections
                    .iter()
                    .filter(|connection| {
                        let mut fencing = connection.calls.iter().filter(|call| {
                            call.purpose == purpose && call.control != Some(TargetCall::Status)
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
            now.since(run.began_at).as_millis()
        );
        state.promotion_after = now + backoff;
        self.cancel_control(group, now);
        self.statistics.promotion_ended(is_done);
        self.give_back_duty();
    }

    /// Gives the duty back once no run needs it.
    pub(crate) fn give_back_duty(&mut self) {
        let is_needed = self.groups.iter().any(|group| group.promotion.is_some());
        if !is_needed && matches!(self.duty, DutyState::Held(_)) {
            self.duty = DutyState::None;
            self.actions.push(GatewayAction::ReleaseDuty);
        }
    }
}

/// How many of the targets to be paused may miss. Without a primary that stepped down, the one that is
/// missing is taken for the primary.
fn missing_limit(state: &DatabaseGroup, run: &PromotionRun) -> usize {
    if run.stepped_down.is_some() {
        0
    } else {
        state.tolerated_missing()
    }
}
