//! State machine of one promotion.
//!
//! A run asks all targets to promise its term. Once a majority has promised, it promotes the target
//! with the longest log among those that promised. It never chooses a second target in its term,
//! because the first one may have become primary although its reply was lost. Calls are idempotent
//! and are repeated until they are answered. A finished run keeps sending follow calls to targets
//! that it has not reached.
//!
//! A planned promotion names its target. The run first waits, without fencing any target, until the
//! named target is close behind the primary. It then fences the primary, which ends writes, and
//! waits until the named target has the rest of the log, because a target that has promised the new
//! term accepts no more records of the old one. From the first fence call on, the run always tries
//! to end with a primary, if necessary the old one, so that the group keeps a primary.

use std::time::Duration;

use heatherhollow_types::CandidateId;
use heatherhollow_types::GroupPosition;
use heatherhollow_types::MonoTime;
use heatherhollow_types::TargetIndex;
use heatherhollow_types::TermNumber;

use crate::action::AbandonReason;
use crate::action::FenceAnswer;
use crate::action::PromoteAnswer;
use crate::action::PromotionAction;
use crate::action::RunSettings;
use crate::action::RunTarget;
use crate::report::TargetReport;
use crate::report::majority_of;

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum FenceState {
    Unanswered,
    /// The latest call failed; the run does not wait for the target during the grace period.
    Unreachable,
    Refused,
    Promised(GroupPosition),
}

#[derive(Debug, Clone)]
struct TargetProgress {
    index: TargetIndex,
    is_leaving: bool,
    fence: FenceState,
    last_sent_at: Option<MonoTime>,
    has_confirmed_follow: bool,
}

/// Targets of a planned promotion and the known positions of their logs.
#[derive(Debug, Clone)]
struct PlannedPromotion {
    named: TargetIndex,
    primary: TargetIndex,
    named_end: Option<GroupPosition>,
    /// Start of each status call to the primary with the position that it returned, oldest first.
    positions: Vec<(MonoTime, GroupPosition)>,
    last_inspected_at: Option<MonoTime>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum RunPhase {
    CatchUp {
        until: MonoTime,
    },
    FinalSync {
        until: MonoTime,
    },
    Fence {
        until: MonoTime,
        majority_at: Option<MonoTime>,
    },
    Promote {
        until: MonoTime,
        chosen: TargetIndex,
    },
    Finished {
        primary: TargetIndex,
    },
    Ended,
}

/// One attempt to give a group a new primary.
///
/// ```
/// use heatherhollow_failover::{FenceAnswer, PromotionAction, PromotionRun, RunSettings, RunTarget};
/// use heatherhollow_types::{CandidateId, GroupPosition, Incarnation, MonoTime, TargetIndex, TermNumber};
/// let candidate = CandidateId { instance: "i-1".parse().unwrap(), incarnation: Incarnation(1) };
/// let targets = [0, 1, 2].map(|i| RunTarget { index: TargetIndex(i), is_leaving: false });
/// let (now, term) = (MonoTime::ZERO, TermNumber(2));
/// let (mut run, actions) = PromotionRun::start(RunSettings::default(), now, term, candidate, &targets);
/// assert_eq!(actions.len(), 3);
/// for (target, position) in [(1, 40), (2, 42)] {
///     let end = GroupPosition::new(1, position);
///     let answer = FenceAnswer { is_accepted: true, promised: term, end, is_leaving: false };
///     run.handle_fence_reply(now, TargetIndex(target), answer);
/// }
/// let actions = run.tick(MonoTime::from_millis(30));
/// assert!(actions.contains(&PromotionAction::Promote { target: TargetIndex(2), term }));
/// ```
#[derive(Debug, Clone)]
pub struct PromotionRun {
    settings: RunSettings,
    term: TermNumber,
    candidate: CandidateId,
    /// Sorted by preference, the most preferred target first.
    targets: Vec<TargetProgress>,
    phase: RunPhase,
    planned: Option<PlannedPromotion>,
    highest_promised: TermNumber,
}

impl PromotionRun {
    /// Starts a run and returns its first actions.
    ///
    /// `targets` are all declared targets in the order of preference, those in the region of the
    /// old primary first. `term` must never have been used by this candidate before.
    pub fn start(
        settings: RunSettings,
        now: MonoTime,
        term: TermNumber,
        candidate: CandidateId,
        targets: &[RunTarget],
    ) -> (Self, Vec<PromotionAction>) {
        let mut run = Self::new(settings, now, term, candidate, targets);
        let actions = run.tick(now);
        (run, actions)
    }

    /// Starts a planned run from `primary` to the target `named`, which must be one of `targets`.
    pub fn start_planned(
        settings: RunSettings,
        now: MonoTime,
        term: TermNumber,
        candidate: CandidateId,
        targets: &[RunTarget],
        primary: TargetIndex,
        named: TargetIndex,
    ) -> (Self, Vec<PromotionAction>) {
        let mut run = Self::new(settings, now, term, candidate, targets);
        run.targets.sort_by_key(|progress| progress.index != named);
        run.planned = Some(PlannedPromotion {
            named,
            primary,
            named_end: None,
            positions: Vec::new(),
            last_inspected_at: None,
        });
        run.phase = RunPhase::CatchUp {
            until: now + run.settings.catch_up_timeout,
        };
        let actions = run.tick(now);
        (run, actions)
    }

    /// Returns the term of the run.
    pub fn term(&self) -> TermNumber {
        self.term
    }

    /// Returns the candidate that is named in the calls of the run.
    pub fn candidate(&self) -> &CandidateId {
        &self.candidate
    }

    /// Returns whether the run may still promote a target. Such runs are limited per instance.
    pub fn is_active(&self) -> bool {
        !matches!(self.phase, RunPhase::Finished { .. } | RunPhase::Ended)
    }

    /// Returns whether the run needs no more calls, including follow calls to targets.
    pub fn is_settled(&self) -> bool {
        match self.phase {
            RunPhase::Ended => true,
            RunPhase::Finished { primary } => self
                .targets
                .iter()
                .all(|progress| progress.has_confirmed_follow || progress.index == primary),
            _ => false,
        }
    }

    /// Handles the answer to a fence call of this run.
    pub fn handle_fence_reply(
        &mut self,
        now: MonoTime,
        target: TargetIndex,
        answer: FenceAnswer,
    ) -> Vec<PromotionAction> {
        if let Some(actions) = self.abandon_if_superseded(answer.promised) {
            return actions;
        }
        let term = self.term;
        let Some(progress) = self.progress_of(target) else {
            return Vec::new();
        };
        progress.is_leaving |= answer.is_leaving;
        if answer.promised != term {
            return self.tick(now);
        }
        if answer.is_accepted {
            // Only the first promise counts: a repeated reply that arrives after the promotion may
            // include records of the new term.
            if !matches!(progress.fence, FenceState::Promised(_)) {
                progress.fence = FenceState::Promised(answer.end);
            }
        } else {
            progress.fence = FenceState::Refused;
            if let RunPhase::Fence { until, .. } = &mut self.phase {
                *until = (*until).min(now + self.settings.contention_timeout);
            }
        }
        self.tick(now)
    }

    /// Handles the answer to a promote call of this run. A call that failed without an answer is
    /// passed to [`handle_call_failure`](Self::handle_call_failure) instead.
    pub fn handle_promote_reply(
        &mut self,
        now: MonoTime,
        target: TargetIndex,
        answer: PromoteAnswer,
    ) -> Vec<PromotionAction> {
        if let Some(actions) = self.abandon_if_superseded(answer.promised.unwrap_or_default()) {
            return actions;
        }
        let RunPhase::Promote { chosen, .. } = self.phase else {
            return Vec::new();
        };
        if chosen != target {
            return Vec::new();
        }
        if !answer.is_accepted {
            return self.abandon(AbandonReason::TargetRefused);
        }
        self.phase = RunPhase::Finished { primary: target };
        for progress in &mut self.targets {
            progress.last_sent_at = None;
        }
        let mut actions = vec![PromotionAction::Finished {
            primary: target,
            term: self.term,
        }];
        actions.extend(self.tick(now));
        actions
    }

    /// Handles the confirmation of a follow call of this run.
    pub fn handle_follow_reply(&mut self, target: TargetIndex) {
        if let Some(progress) = self.progress_of(target) {
            progress.has_confirmed_follow = true;
        }
    }

    /// Handles a call of this run that failed without an answer; it is repeated after the interval.
    pub fn handle_call_failure(
        &mut self,
        now: MonoTime,
        target: TargetIndex,
    ) -> Vec<PromotionAction> {
        if let Some(progress) = self.progress_of(target)
            && progress.fence == FenceState::Unanswered
        {
            progress.fence = FenceState::Unreachable;
        }
        self.tick(now)
    }

    /// Handles a target that has become reachable by repeating its call immediately.
    pub fn handle_target_reachable(
        &mut self,
        now: MonoTime,
        target: TargetIndex,
    ) -> Vec<PromotionAction> {
        if let Some(progress) = self.progress_of(target) {
            progress.last_sent_at = None;
            if progress.fence == FenceState::Unreachable {
                progress.fence = FenceState::Unanswered;
            }
        }
        self.tick(now)
    }

    /// Handles the answer to a status call started at `asked_at`. Only planned runs use it.
    pub fn handle_report(
        &mut self,
        now: MonoTime,
        target: TargetIndex,
        asked_at: MonoTime,
        report: &TargetReport,
    ) -> Vec<PromotionAction> {
        if let Some(planned) = &mut self.planned {
            if target == planned.named {
                planned.named_end = planned.named_end.max(Some(report.end));
            } else if target == planned.primary && report.is_primary {
                planned.positions.push((asked_at, report.end));
            }
        }
        self.tick(now)
    }

    /// Handles the notice that `term` has a primary. The run ends if that term is above its own.
    pub fn handle_established_term(&mut self, term: TermNumber) -> Vec<PromotionAction> {
        self.abandon_if_superseded(term).unwrap_or_default()
    }

    /// Repeats calls and ends phases whose time has passed. Must be called when the grace period
    /// may have passed, and at least once per retry interval.
    pub fn tick(&mut self, now: MonoTime) -> Vec<PromotionAction> {
        let mut actions = Vec::new();
        if matches!(
            self.phase,
            RunPhase::CatchUp { .. } | RunPhase::FinalSync { .. }
        ) {
            self.tick_planned(now, &mut actions);
        }
        match self.phase {
            RunPhase::Fence { until, majority_at } => {
                self.tick_fence(now, until, majority_at, &mut actions);
            }
            RunPhase::Promote { until, chosen } => {
                if now >= until {
                    return self.abandon(AbandonReason::TargetLost);
                }
                self.send_promote(now, chosen, &mut actions);
            }
            RunPhase::Finished { primary } => self.send_follow(now, primary, &mut actions),
            RunPhase::CatchUp { .. } | RunPhase::FinalSync { .. } | RunPhase::Ended => {}
        }
        actions
    }
}

impl PromotionRun {
    fn new(
        settings: RunSettings,
        now: MonoTime,
        term: TermNumber,
        candidate: CandidateId,
        targets: &[RunTarget],
    ) -> Self {
        let targets = targets.iter().map(|target| TargetProgress {
            index: target.index,
            is_leaving: target.is_leaving,
            fence: FenceState::Unanswered,
            last_sent_at: None,
            has_confirmed_follow: false,
        });
        Self {
            term,
            candidate,
            targets: targets.collect(),
            phase: RunPhase::Fence {
                until: now + settings.fence_timeout,
                majority_at: None,
            },
            planned: None,
            highest_promised: term,
            settings,
        }
    }

    fn progress_of(&mut self, target: TargetIndex) -> Option<&mut TargetProgress> {
        self.targets
            .iter_mut()
            .find(|progress| progress.index == target)
    }

    fn abandon_if_superseded(&mut self, promised: TermNumber) -> Option<Vec<PromotionAction>> {
        self.highest_promised = self.highest_promised.max(promised);
        if promised <= self.term {
            return None;
        }
        let actions = if self.is_active() {
            self.abandon(AbandonReason::HigherTerm)
        } else {
            Vec::new()
        };
        // A finished run stops sending follow calls for a primary that has been replaced.
        self.phase = RunPhase::Ended;
        Some(actions)
    }

    fn abandon(&mut self, reason: AbandonReason) -> Vec<PromotionAction> {
        self.phase = RunPhase::Ended;
        vec![PromotionAction::Abandoned {
            reason,
            highest_promised: self.highest_promised,
        }]
    }

    fn tick_planned(&mut self, now: MonoTime, actions: &mut Vec<PromotionAction>) {
        let Some(planned) = &mut self.planned else {
            return;
        };
        let (named, primary) = (planned.named, planned.primary);
        if let RunPhase::CatchUp { until } = self.phase {
            let oldest = self.settings.catch_up_lag;
            planned.positions.retain(|&(at, _)| now - at <= oldest);
            let is_close = planned
                .positions
                .iter()
                .any(|&(_, position)| planned.named_end >= Some(position));
            if is_close {
                self.phase = RunPhase::FinalSync {
                    until: now + self.settings.final_sync_timeout,
                };
            } else if now >= until {
                actions.extend(self.abandon(AbandonReason::NotCaughtUp));
                return;
            }
        }
        if let RunPhase::FinalSync { until } = self.phase {
            let named_end = self.planned.as_ref().and_then(|planned| planned.named_end);
            let is_complete = match self.fence_state(primary) {
                Some(FenceState::Promised(end)) => named_end >= Some(end),
                // Another candidate has fenced the primary; fencing all targets decides which wins.
                Some(FenceState::Refused) | None => true,
                Some(FenceState::Unanswered | FenceState::Unreachable) => false,
            };
            if is_complete || now >= until {
                self.phase = RunPhase::Fence {
                    until: now + self.settings.fence_timeout,
                    majority_at: None,
                };
                return;
            }
            self.send_fence(now, |progress| progress.index == primary, actions);
        }
        let interval = self.settings.inspect_interval;
        if let Some(planned) = &mut self.planned
            && planned
                .last_inspected_at
                .is_none_or(|at| now - at >= interval)
        {
            planned.last_inspected_at = Some(now);
            actions.push(PromotionAction::Inspect { target: named });
            if matches!(self.phase, RunPhase::CatchUp { .. }) {
                actions.push(PromotionAction::Inspect { target: primary });
            }
        }
    }

    fn fence_state(&self, target: TargetIndex) -> Option<FenceState> {
        self.targets
            .iter()
            .find(|progress| progress.index == target)
            .map(|progress| progress.fence)
    }

    fn tick_fence(
        &mut self,
        now: MonoTime,
        until: MonoTime,
        majority_at: Option<MonoTime>,
        actions: &mut Vec<PromotionAction>,
    ) {
        let majority = majority_of(self.targets.len());
        let count = |wanted: fn(FenceState) -> bool| {
            let states = self.targets.iter().map(|progress| progress.fence);
            states.filter(|&state| wanted(state)).count()
        };
        let promised = count(|state| matches!(state, FenceState::Promised(_)));
        let refused = count(|state| state == FenceState::Refused);
        let unanswered = count(|state| state == FenceState::Unanswered);
        if promised >= majority {
            let majority_at = majority_at.unwrap_or(now);
            let may_choose = unanswered == 0 || now >= majority_at + self.grace_period();
            if may_choose && let Some(chosen) = self.choose_target() {
                self.phase = RunPhase::Promote {
                    until: now + self.settings.promote_timeout,
                    chosen,
                };
                self.clear_sent_time(chosen);
                self.send_promote(now, chosen, actions);
                return;
            }
            self.phase = RunPhase::Fence {
                until,
                majority_at: Some(majority_at),
            };
        } else if self.targets.len() - refused < majority {
            actions.extend(self.abandon(AbandonReason::LostRace));
            return;
        } else if now >= until {
            let reason = if refused > 0 {
                AbandonReason::LostRace
            } else {
                AbandonReason::NoMajority
            };
            actions.extend(self.abandon(reason));
            return;
        }
        self.send_fence(now, |_| true, actions);
    }

    /// Returns the time to wait after the majority has promised. It is longer while the answer of
    /// the named target is outstanding.
    fn grace_period(&self) -> Duration {
        let named = self.planned.as_ref().map(|planned| planned.named);
        match named.and_then(|named| self.fence_state(named)) {
            Some(FenceState::Unanswered) => self.settings.final_sync_timeout,
            _ => self.settings.grace_period,
        }
    }

    /// Returns the target with the longest log among those that promised. Ties go to a target that
    /// is not leaving, then to the most preferred one.
    fn choose_target(&self) -> Option<TargetIndex> {
        let mut best: Option<(GroupPosition, bool, TargetIndex)> = None;
        for progress in &self.targets {
            if let FenceState::Promised(end) = progress.fence {
                let stays = !progress.is_leaving;
                if best
                    .is_none_or(|(best_end, best_stays, _)| (end, stays) > (best_end, best_stays))
                {
                    best = Some((end, stays, progress.index));
                }
            }
        }
        best.map(|(_, _, index)| index)
    }

    fn clear_sent_time(&mut self, target: TargetIndex) {
        if let Some(progress) = self.progress_of(target) {
            progress.last_sent_at = None;
        }
    }

    fn send_fence(
        &mut self,
        now: MonoTime,
        wanted: impl Fn(&TargetProgress) -> bool,
        actions: &mut Vec<PromotionAction>,
    ) {
        let (term, interval) = (self.term, self.settings.retry_interval);
        for progress in self.targets.iter_mut().filter(|progress| wanted(progress)) {
            let needs_call = matches!(
                progress.fence,
                FenceState::Unanswered | FenceState::Unreachable
            );
            if needs_call && progress.mark_sent_if_due(now, interval) {
                actions.push(PromotionAction::Fence {
                    target: progress.index,
                    term,
                });
            }
        }
    }

    fn send_promote(
        &mut self,
        now: MonoTime,
        chosen: TargetIndex,
        actions: &mut Vec<PromotionAction>,
    ) {
        let (term, interval) = (self.term, self.settings.retry_interval);
        if let Some(progress) = self.progress_of(chosen)
            && progress.mark_sent_if_due(now, interval)
        {
            actions.push(PromotionAction::Promote {
                target: chosen,
                term,
            });
        }
    }

    fn send_follow(
        &mut self,
        now: MonoTime,
        primary: TargetIndex,
        actions: &mut Vec<PromotionAction>,
    ) {
        let (term, interval) = (self.term, self.settings.follow_interval);
        for progress in &mut self.targets {
            let needs_call = !progress.has_confirmed_follow && progress.index != primary;
            if needs_call && progress.mark_sent_if_due(now, interval) {
                actions.push(PromotionAction::Follow {
                    target: progress.index,
                    term,
                    primary,
                });
            }
        }
    }
}

impl TargetProgress {
    /// Returns whether a call is due, and if so records `now` as its send time.
    fn mark_sent_if_due(&mut self, now: MonoTime, interval: Duration) -> bool {
        let is_due = self.last_sent_at.is_none_or(|at| now - at >= interval);
        if is_due {
            self.last_sent_at = Some(now);
        }
        is_due
    }
}
