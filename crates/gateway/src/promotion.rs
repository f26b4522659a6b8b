//! Promotion of a replica to primary when the primary crashed, stopped answering, is cut off from
//! its replicas or is leaving, or when all replicas are held back (`handover`).
//!
//! A run first asks every target for its status and then decides: it ends if a primary answers,
//! plans a handover if the primary is to step down, and otherwise plans a replacement. Only
//! then does the run acquire the duty of ordering promotions, so that false alarms cost the store
//! nothing. The holder of the duty reads the present list of targets, as an instance may know an old
//! one although it has the store again; if targets have come, it asks all of them once more.
//! Before the order it asks every target to pause, except a primary that stepped down.
//! Paused replicas accept no records of lower terms, so that a primary that is only cut off gets no
//! more commits acknowledged. At most as many targets may fail to answer as there are replicas with
//! a copy of each commit. Every acknowledged commit is then in the log of a paused target, and the
//! target with the longest log is promoted. A run that ends before its order resumes the targets
//! that it paused.
//!
//! Most of the time without a primary is the platform's own time for a promotion; the steps before
//! the order take two round trips.

use std::time::Duration;

use log::info;

use heatherhollow_types::GroupPosition;
use heatherhollow_types::MonoTime;
use heatherhollow_types::TargetIndex;
use heatherhollow_types::TermNumber;
use heatherhollow_types::stable_hash;

use crate::action::DutyRefusal;
use crate::action::DutyToken;
use crate::action::GatewayAction;
use crate::catalog::TargetRole;
use crate::core::DutyState;
use crate::core::SessionGateway;
use crate::group::GroupIndex;
use crate::message::StatusReport;
use crate::message::TargetCall;
use crate::pool::ControlPurpose;
use crate::promotion_steps::MAX_LIST_AGE;

/// Why a promotion was considered.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum PromotionCause {
    /// The primary does not answer.
    Suspected,
    /// The primary is cut off from its replicas.
    CutOff,
    /// All replicas apply their logs late, and the primary cannot serve all reads.
    ReplicasHeldBack,
    /// The primary is leaving.
    Leaving,
    /// No target leads.
    Leaderless,
    /// A replica has been paused for longer than the setting `forgotten_pause` allows.
    ForgottenPause,
}

/// What a run does once it holds the duty.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum PromotionPlan {
    /// Replaces a primary that does not answer.
    Replace,
    /// Has a primary that still answers step down, and replaces it.
    Handover(TargetIndex),
    /// Resumes targets that an earlier run left paused.
    Resume,
}

/// Step of a run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum PromotionStep {
    /// Asks every target for its status.
    Survey,
    /// Waits for the duty.
    Duty,
    /// Waits for the present list of targets.
    List,
    /// Asks the old primary to step down.
    StepDown,
    /// Waits for a replica to receive the whole log of the old primary.
    CatchUp,
    /// Pauses all targets except a primary that stepped down.
    Pause,
    /// Waits for the platform's reply to the order.
    Order,
    /// Waits for the ordered target to report that it leads, and resumes the others.
    Confirm,
    /// Resumes paused targets. The run keeps the duty meanwhile, since a later resume could undo
    /// the pause of another run.
    Resume,
}

/// Reply of a target in the current step.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum TargetReply {
    Pending,
    Report(StatusReport),
    Failed,
}

/// State of one promotion run.
#[derive(Debug)]
pub(crate) struct PromotionRun {
    pub cause: PromotionCause,
    pub plan: PromotionPlan,
    pub step: PromotionStep,
    pub step_started_at: MonoTime,
    pub started_at: MonoTime,
    /// Highest term that was known when the run was planned.
    pub old_term: TermNumber,
    /// Term for which targets are paused: they accept no records of lower terms.
    pub fencing_term: TermNumber,
    /// Replies of the current step, by target index.
    pub replies: Vec<(TargetIndex, TargetReply)>,
    /// Call that the current step makes. Answers to calls of earlier steps may still arrive.
    pub call: TargetCall,
    /// Old primary that stepped down, and the end of its log.
    pub stepped_down: Option<(TargetIndex, GroupPosition)>,
    /// Targets that the survey asked.
    pub surveyed: Vec<TargetIndex>,
    /// Time for which the run knows the list of targets, once it holds the duty.
    pub list_read_at: Option<MonoTime>,
    /// Targets that the run asked to pause.
    pub paused: Vec<TargetIndex>,
    pub successor: Option<TargetIndex>,
    /// Outcome that the run ends with after the step that resumes targets.
    pub outcome: &'static str,
    /// Time at which the current step started or last sent status calls.
    pub polled_at: MonoTime,
}

impl PromotionRun {
    /// Creates a run that is about to ask all targets for their status.
    pub fn new(cause: PromotionCause, term: TermNumber, now: MonoTime) -> Self {
        Self {
            cause,
            plan: PromotionPlan::Replace,
            step: PromotionStep::Survey,
            step_started_at: now,
            started_at: now,
            old_term: term,
            fencing_term: term.next(),
            replies: Vec::new(),
            call: TargetCall::Status,
            stepped_down: None,
            surveyed: Vec::new(),
            list_read_at: None,
            paused: Vec::new(),
            successor: None,
            outcome: "resumed",
            polled_at: now,
        }
    }

    /// Enters a step that waits for replies of `targets`.
    pub fn set_step(&mut self, step: PromotionStep, targets: Vec<TargetIndex>, now: MonoTime) {
        self.step = step;
        self.step_started_at = now;
        self.polled_at = now;
        self.replies = targets
            .into_iter()
            .map(|target| (target, TargetReply::Pending))
            .collect();
    }

    /// Records the reply of a target, if the current step waits for one from it.
    pub fn record_reply(&mut self, target: TargetIndex, reply: TargetReply) {
        if let Some(entry) = self.replies.iter_mut().find(|(i, _)| *i == target) {
            entry.1 = reply;
        }
    }

    /// Returns whether each target of the current step has replied or failed.
    pub fn has_all_replies(&self) -> bool {
        !self
            .replies
            .iter()
            .any(|(_, reply)| *reply == TargetReply::Pending)
    }

    /// Returns how old the list of targets is that the run knows; `None` before it holds the duty.
    pub fn list_age(&self, now: MonoTime) -> Option<Duration> {
        self.list_read_at.map(|read_at| now.since(read_at))
    }

    /// Iterates over the status reports of the current step.
    pub fn reports(&self) -> impl Iterator<Item = (TargetIndex, StatusReport)> {
        self.replies.iter().filter_map(|(i, reply)| match reply {
            TargetReply::Report(report) => Some((*i, *report)),
            _ => None,
        })
    }
}

/// Poll interval while a step waits for a target to change its state; about a round trip between
/// regions.
pub(crate) const POLL_INTERVAL: Duration = Duration::from_millis(30);

/// Greatest delay before an instance starts a promotion; less urgent causes triple it. The delay
/// differs between instances, so that usually one of them holds the duty before the others ask.
const MAX_START_DELAY: Duration = Duration::from_millis(120);

impl SessionGateway {
    /// Starts a run if there is a cause, or advances the current run.
    pub(crate) fn tick_promotion(&mut self, group: GroupIndex, now: MonoTime) {
        if self.groups[group.0].promotion.is_none() {
            if let Some(cause) = self.promotion_cause(group, now) {
                self.start_promotion(group, cause, now);
            }
            return;
        }
        self.advance_promotion(group, now);
    }

    /// Returns why a promotion should be started now, or `None` if it should not.
    pub(crate) fn promotion_cause(
        &self,
        group: GroupIndex,
        now: MonoTime,
    ) -> Option<PromotionCause> {
        let state = &self.groups[group.0];
        let is_waiting = now < state.next_promotion_at || self.is_stopping;
        if is_waiting || state.rule.is_none() || !self.is_list_settled(now) {
            return None;
        }
        let name = self.identity.name.as_str();
        let rank = stable_hash(&[name, &state.name, &state.term.to_string()]);
        let delay = MAX_START_DELAY.mul_f64((rank % 1_000) as f64 / 1_000.0);
        if let Some(since) = state.suspicion.suspected_since()
            && state.primary.is_some()
        {
            return (now.since(since) >= delay).then_some(PromotionCause::Suspected);
        }
        if let Some(pool) = state.primary.and_then(|primary| state.pool(primary))
            && let Some(since) = pool.leaving_since
        {
            return (now.since(since) >= delay * 3).then_some(PromotionCause::Leaving);
        }
        if let Some((_, since)) = state.primary_ahead_since
            && now.since(since) >= self.settings.ahead_limit + delay
        {
            return Some(PromotionCause::CutOff);
        }
        if self.is_handover_due(group, delay, now) {
            return Some(PromotionCause::ReplicasHeldBack);
        }
        let limit = self.settings.leaderless_limit + delay;
        let has_reachable = state.targets().any(|(_, pool)| pool.report.is_some());
        if let Some(since) = state.leaderless_since
            && has_reachable
            && now.since(since) >= limit
        {
            return Some(PromotionCause::Leaderless);
        }
        let limit = self.settings.forgotten_pause + delay * 3;
        let is_forgotten = state
            .targets()
            .any(|(_, pool)| pool.paused_since.is_some_and(|at| now.since(at) >= limit));
        is_forgotten.then_some(PromotionCause::ForgottenPause)
    }

    /// Returns whether the list of targets has been known for [`LIST_SETTLE_TIME`].
    pub(crate) fn is_list_settled(&self, now: MonoTime) -> bool {
        self.list_complete_since
            .is_some_and(|since| now.since(since) >= LIST_SETTLE_TIME)
    }

    /// Starts a run by asking every target for its status.
    pub(crate) fn start_promotion(
        &mut self,
        group: GroupIndex,
        cause: PromotionCause,
        now: MonoTime,
    ) {
        let state = &mut self.groups[group.0];
        info!(
            "promotion_considered group={} cause={cause:?} term={} primary={}",
            state.name,
            state.term,
            state
                .primary
                .and_then(|i| state.pool(i))
                .map_or("none", |pool| pool.entry.target.as_str())
        );
        state.promotion = Some(PromotionRun::new(cause, state.term, now));
        let targets = self.all_targets(group);
        self.start_step(
            group,
            PromotionStep::Survey,
            targets,
            TargetCall::Status,
            now,
        );
    }

    /// Acquires the duty and then executes the plan.
    pub(crate) fn acquire_duty(&mut self, group: GroupIndex, plan: PromotionPlan, now: MonoTime) {
        if let Some(run) = &mut self.groups[group.0].promotion {
            run.plan = plan;
            run.set_step(PromotionStep::Duty, Vec::new(), now);
        }
        match self.duty {
            DutyState::Held(token) if token.valid_until > now => self.execute_plan(group, now),
            DutyState::Requested => {}
            _ => {
                self.duty = DutyState::Requested;
                self.actions.push(GatewayAction::AcquireDuty);
            }
        }
    }

    /// Starts the first step of the plan, as the duty is held.
    pub(crate) fn execute_plan(&mut self, group: GroupIndex, now: MonoTime) {
        let state = &self.groups[group.0];
        let Some(run) = &state.promotion else {
            return;
        };
        let fencing_term = run.fencing_term;
        if run.plan != PromotionPlan::Resume && state.term > run.old_term {
            // Another instance held the duty before, and the target that it promoted leads.
            self.end_promotion(group, "promoted_meanwhile", now);
            return;
        }
        let has_list = run.list_age(now).is_some_and(|age| age <= MAX_LIST_AGE);
        if run.plan != PromotionPlan::Resume && !has_list {
            self.list_targets(group, now);
            return;
        }
        match run.plan {
            PromotionPlan::Replace => self.pause_targets(group, now),
            PromotionPlan::Handover(primary) => {
                let step = PromotionStep::StepDown;
                let call = TargetCall::StepDown(fencing_term);
                self.start_step(group, step, vec![primary], call, now);
            }
            PromotionPlan::Resume => self.resume_paused(group, "resumed", now),
        }
    }

    /// Handles the answer to a request for the duty.
    pub(crate) fn handle_duty_answer(
        &mut self,
        answer: Result<DutyToken, DutyRefusal>,
        now: MonoTime,
    ) {
        info!("duty_answered answer={answer:?}");
        self.duty = match answer {
            Ok(token) => DutyState::Held(token),
            Err(_) => DutyState::None,
        };
        self.duty_unavailable_at = match answer {
            Err(DutyRefusal::Unavailable) => Some(now),
            _ => None,
        };
        for i in 0..self.groups.len() {
            let is_waiting = self.groups[i]
                .promotion
                .as_ref()
                .is_some_and(|run| run.step == PromotionStep::Duty);
            if is_waiting && answer.is_ok() {
                self.execute_plan(GroupIndex(i), now);
            } else if is_waiting {
                self.end_promotion(GroupIndex(i), "duty_not_granted", now);
            }
        }
        self.release_unused_duty();
    }

    /// Returns the token of the duty if it stays valid for at least [`ORDER_MARGIN`], which leaves
    /// time for an order.
    pub(crate) fn valid_token(&self, now: MonoTime) -> Option<DutyToken> {
        match self.duty {
            DutyState::Held(token) if token.valid_until > now + ORDER_MARGIN => Some(token),
            _ => None,
        }
    }

    /// Returns the indices of all targets of a group.
    pub(crate) fn all_targets(&self, group: GroupIndex) -> Vec<TargetIndex> {
        self.groups[group.0].targets().map(|(i, _)| i).collect()
    }

    /// Enters a step and queues its call for each of some targets.
    pub(crate) fn start_step(
        &mut self,
        group: GroupIndex,
        step: PromotionStep,
        targets: Vec<TargetIndex>,
        call: TargetCall,
        now: MonoTime,
    ) {
        let state = &mut self.groups[group.0];
        for target in &targets {
            state.queue_control(*target, ControlPurpose::Promotion, call.clone(), now);
        }
        if let Some(run) = &mut state.promotion {
            run.set_step(step, targets, now);
            run.call = call;
        }
    }

    /// Handles a status report that answers a call of a run.
    pub(crate) fn handle_promotion_report(
        &mut self,
        group: GroupIndex,
        target: TargetIndex,
        call: Option<&TargetCall>,
        report: StatusReport,
        now: MonoTime,
    ) {
        if let Some(run) = &mut self.groups[group.0].promotion
            && call == Some(&run.call)
        {
            run.record_reply(target, TargetReply::Report(report));
            self.advance_promotion(group, now);
        }
    }

    /// Handles a call of a run that a target did not answer.
    pub(crate) fn handle_promotion_failure(
        &mut self,
        group: GroupIndex,
        target: TargetIndex,
        now: MonoTime,
    ) {
        if let Some(run) = &mut self.groups[group.0].promotion {
            run.record_reply(target, TargetReply::Failed);
            self.advance_promotion(group, now);
        }
    }

    /// Ends the current step if it has its replies or its time is over, and goes on to the next.
    pub(crate) fn advance_promotion(&mut self, group: GroupIndex, now: MonoTime) {
        let limit = self.settings.promotion_step_timeout;
        let effect_timeout = self.settings.promotion_effect_timeout;
        let Some(run) = &self.groups[group.0].promotion else {
            return;
        };
        let elapsed = now.since(run.step_started_at);
        let state = &self.groups[group.0];
        let are_only_silent_missing = run.replies.iter().all(|(target, reply)| {
            let answered_at = state.pool(*target).and_then(|pool| pool.answered_at);
            *reply != TargetReply::Pending
                || answered_at.is_none_or(|at| now.since(at) >= SILENCE_LIMIT)
        });
        let has_quorum = run.reports().count() >= state.promotion_quorum(now);
        let is_step_over = run.has_all_replies()
            || elapsed >= limit
            || (are_only_silent_missing && has_quorum && elapsed >= SILENT_TARGET_WAIT);
        match run.step {
            PromotionStep::Duty if elapsed >= limit * 4 => {
                self.duty = DutyState::None;
                self.end_promotion(group, "duty_not_answered", now);
            }
            PromotionStep::List if elapsed >= limit * 4 => {
                self.is_listing = false;
                self.end_promotion(group, "list_not_answered", now);
            }
            PromotionStep::Duty | PromotionStep::List => {}
            PromotionStep::Survey if is_step_over => self.evaluate_survey(group, now),
            PromotionStep::StepDown if is_step_over => self.handle_step_down(group, now),
            PromotionStep::CatchUp => self.advance_catch_up(group, now),
            PromotionStep::Pause if is_step_over => self.choose_successor(group, now),
            PromotionStep::Confirm => self.advance_confirm(group, effect_timeout, now),
            PromotionStep::Resume if is_step_over => {
                let outcome = run.outcome;
                self.end_promotion(group, outcome, now);
            }
            PromotionStep::Order if elapsed >= effect_timeout => {
                self.end_promotion(group, "order_not_answered", now);
            }
            _ => {}
        }
    }

    /// Chooses the plan from the status reports of the survey, or ends the run.
    pub(crate) fn evaluate_survey(&mut self, group: GroupIndex, now: MonoTime) {
        let state = &self.groups[group.0];
        let Some(run) = &state.promotion else { return };
        let newest_term = run.reports().map(|(_, report)| report.term).max();
        let Some(newest_term) = newest_term else {
            self.end_promotion(group, "no_target_answers", now);
            return;
        };
        // The targets that answer may not know the term of a primary that is gone.
        let newest_term = newest_term.max(state.term);
        let leading_target = run
            .reports()
            .find(|(_, report)| report.role == TargetRole::Primary && report.term == newest_term);
        let highest_pause = run.reports().filter_map(|(_, report)| report.paused_for);
        let fencing_term = highest_pause
            .max()
            .unwrap_or(newest_term)
            .max(newest_term)
            .next();
        let is_paused = run.reports().any(|(_, report)| report.paused_for.is_some());
        let is_forgotten = run.cause == PromotionCause::ForgottenPause && is_paused;
        // If a new primary has led since, the replicas' missing records do not show that it is cut
        // off.
        let is_same_term = newest_term == run.old_term;
        let is_cut_off = is_same_term && run.cause == PromotionCause::CutOff;
        if let Some(run) = &mut self.groups[group.0].promotion {
            run.fencing_term = fencing_term;
            run.old_term = newest_term;
            run.surveyed = run.replies.iter().map(|(target, _)| *target).collect();
        }
        let Some((leading_target, _)) = leading_target else {
            if self.has_live_silent_target(group, now) {
                self.end_promotion(group, "a_silent_target_is_alive", now);
            } else {
                self.acquire_duty(group, PromotionPlan::Replace, now);
            }
            return;
        };
        let state = &self.groups[group.0];
        let is_cut_off = is_cut_off && state.primary_ahead_since.is_some();
        let is_held_back = is_same_term
            && state.promotion.as_ref().map(|run| run.cause)
                == Some(PromotionCause::ReplicasHeldBack)
            && self.is_handover_confirmed(group, leading_target);
        let is_leaving = state
            .pool(leading_target)
            .is_some_and(|pool| pool.is_leaving());
        if is_cut_off || is_held_back || (is_leaving && self.has_successor(group, leading_target)) {
            self.acquire_duty(group, PromotionPlan::Handover(leading_target), now);
        } else if is_leaving {
            self.end_promotion(group, "no_successor", now);
        } else if is_forgotten {
            self.acquire_duty(group, PromotionPlan::Resume, now);
        } else {
            self.end_promotion(group, "primary_answers", now);
        }
    }

    /// Returns whether a target that does not answer the survey has answered anything recently,
    /// such as a refusal because of its connection limit. It is alive then and may lead.
    pub(crate) fn has_live_silent_target(&self, group: GroupIndex, now: MonoTime) -> bool {
        let state = &self.groups[group.0];
        let Some(run) = &state.promotion else {
            return false;
        };
        run.replies.iter().any(|(target, reply)| {
            let is_silent = !matches!(reply, TargetReply::Report(_));
            let answered_at = state.pool(*target).and_then(|pool| pool.answered_at);
            is_silent && answered_at.is_some_and(|at| now.since(at) < SILENCE_LIMIT)
        })
    }

    /// Returns whether a target other than the leaving primary answers, stays and is nearly caught
    /// up.
    pub(crate) fn has_successor(&self, group: GroupIndex, primary: TargetIndex) -> bool {
        let state = &self.groups[group.0];
        let Some(run) = &state.promotion else {
            return false;
        };
        run.reports().any(|(target, report)| {
            let is_staying = state.pool(target).is_some_and(|pool| !pool.is_leaving());
            target != primary && is_staying && report.lag <= MAX_SUCCESSOR_LAG
        })
    }
}

/// Time without any answer after which a target that does not answer a survey counts as dead.
const SILENCE_LIMIT: Duration = Duration::from_millis(600);

/// Time for which a step waits for targets that have been silent for [`SILENCE_LIMIT`], if all
/// other targets have answered and are enough for a promotion.
const SILENT_TARGET_WAIT: Duration = Duration::from_millis(60);

/// Greatest lag of a replica that may succeed a leaving primary.
const MAX_SUCCESSOR_LAG: Duration = Duration::from_millis(1_500);

/// Time for which the list of targets must have been known before a promotion may start. Entries
/// that lapsed while the store was unavailable are back within two seconds.
const LIST_SETTLE_TIME: Duration = Duration::from_millis(2_500);

/// Remaining validity that a token needs when an order is given.
const ORDER_MARGIN: Duration = Duration::from_millis(300);
