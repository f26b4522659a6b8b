//! Runs promotions: executes the actions of a [`PromotionRun`] at the targets.

use std::sync::Arc;
use std::time::Duration;

use tokio::sync::mpsc;
use tokio::time::timeout;

use heatherhollow_failover::FenceAnswer;
use heatherhollow_failover::PeerSuspicion;
use heatherhollow_failover::PolicyDecision;
use heatherhollow_failover::PolicyInput;
use heatherhollow_failover::PromoteAnswer;
use heatherhollow_failover::PromotionAction;
use heatherhollow_failover::PromotionRun;
use heatherhollow_failover::PromotionTrigger;
use heatherhollow_failover::RunTarget;
use heatherhollow_failover::SilenceReport;
use heatherhollow_failover::majority_of;
use heatherhollow_ports::FenceReply;
use heatherhollow_ports::TargetError;
use heatherhollow_ports::TargetStatus;
use heatherhollow_types::MonoTime;
use heatherhollow_types::TargetIndex;

use crate::group::GroupNews;
use crate::group::GroupRunner;
use crate::group_state::GroupState;
use crate::group_state::KnownPrimary;
use crate::group_state::report_of;

/// Longest single call of a run; the run repeats calls that failed.
const CALL_TIMEOUT: Duration = Duration::from_millis(300);

/// Interval at which a run looks at its time limits.
const RUN_TICK: Duration = Duration::from_millis(10);

/// How long a finished run goes on telling targets that were not reached whom to follow.
///
/// Afterwards a target that returns learns it from the status loop of whoever observes the group.
const FOLLOW_SPAN: Duration = Duration::from_secs(60);

/// Age up to which a target's last answer shows that it can be reached. Observers ask each target
/// every 500 ms or more often.
const REACHABLE_SPAN: Duration = Duration::from_millis(900);

/// Result of a call that a run has asked for.
enum RunEvent {
    Fenced(TargetIndex, MonoTime, Result<FenceReply, TargetError>),
    Promoted(TargetIndex, MonoTime, Result<TargetStatus, TargetError>),
    Followed(TargetIndex, bool),
    Inspected(TargetIndex, MonoTime, Option<TargetStatus>),
}

impl GroupRunner {
    /// Starts a promotion if the promotion policy allows it now.
    pub(crate) fn consider_promotion(self: &Arc<Self>, now: MonoTime) {
        let centres = self.settings().data_centres();
        let rank = self.host().observer_rank(self.name(), &centres);
        let active_runs = self.host().active_runs();
        let run = {
            let mut state = self.lock();
            let trigger = state.promotion_trigger(now);
            if !state.can_reach_majority(now) {
                return;
            }
            let replicas = state.silence_reports();
            let peers = state.peer_suspicions(now);
            let input = PolicyInput {
                trigger,
                threshold: state.monitor.threshold(),
                replicas: &replicas,
                peers: &peers,
                data_centre: self.own_centre(),
                rank,
                active_runs,
            };
            if state.promotion_policy.decide(&input, now) != PolicyDecision::Start {
                return;
            }
            state.promotion_policy.run_started();
            let term = state.highest.allocate_term();
            let targets = state.run_targets(self.near_old_primary(&state), trigger);
            let settings = self.timing().run.clone();
            let planned = state.planned.zip(state.primary);
            match planned {
                Some(((named, _), primary)) => PromotionRun::start_planned(
                    settings,
                    now,
                    term,
                    self.own().clone(),
                    &targets,
                    primary.target,
                    named,
                ),
                None => PromotionRun::start(settings, now, term, self.own().clone(), &targets),
            }
        };
        self.host().run_started();
        self.metrics().record_promotion("started");
        log::warn!(
            "promotion_started group={} term={}",
            self.name(),
            run.0.term()
        );
        let runner = self.clone();
        tokio::spawn(async move { runner.drive_run(run).await });
    }

    /// Targets in the data centre order that a promotion prefers: those near the old primary first.
    fn near_old_primary(&self, state: &GroupState) -> Vec<bool> {
        let old = state
            .primary
            .map(|primary| self.is_target_near(primary.target));
        let targets = 0..self.settings().targets.len();
        targets
            .map(|i| old.is_none_or(|old| self.is_target_near(TargetIndex(i as u16)) == old))
            .collect()
    }

    async fn drive_run(self: Arc<Self>, started: (PromotionRun, Vec<PromotionAction>)) {
        let (mut run, mut actions) = started;
        let (sender, mut events) = mpsc::unbounded_channel();
        let mut is_counted = true;
        let follow_until = self.clock().now() + FOLLOW_SPAN;
        loop {
            for action in actions.drain(..) {
                self.perform(&run, action, &sender);
            }
            if is_counted && !run.is_active() {
                is_counted = false;
                self.host().run_ended();
            }
            let now = self.clock().now();
            let is_over = run.is_settled() || (!run.is_active() && now > follow_until);
            if is_over {
                return;
            }
            let event = timeout(RUN_TICK, events.recv()).await;
            let now = self.clock().now();
            actions = match event {
                Ok(Some(event)) => self.take_event(&mut run, event, now),
                Ok(None) | Err(_) => run.tick(now),
            };
        }
    }

    fn perform(
        self: &Arc<Self>,
        run: &PromotionRun,
        action: PromotionAction,
        sender: &mpsc::UnboundedSender<RunEvent>,
    ) {
        let runner = self.clone();
        let sender = sender.clone();
        match action {
            PromotionAction::Fence { target, term } => {
                let candidate = run.candidate().clone();
                tokio::spawn(async move {
                    let asked_at = runner.clock().now();
                    let call = runner.target_port(target).fence(term, &candidate);
                    let reply = timeout(CALL_TIMEOUT, call).await;
                    let reply = reply.unwrap_or(Err(TargetError::ConnectTimeout));
                    let _ = sender.send(RunEvent::Fenced(target, asked_at, reply));
                });
            }
            PromotionAction::Promote { target, term } => {
                let candidate = run.candidate().clone();
                self.metrics().record_promotion("promote");
                tokio::spawn(async move {
                    let asked_at = runner.clock().now();
                    let call = runner.target_port(target).promote(term, &candidate);
                    let reply = timeout(CALL_TIMEOUT, call).await;
                    let reply = reply.unwrap_or(Err(TargetError::ConnectTimeout));
                    let _ = sender.send(RunEvent::Promoted(target, asked_at, reply));
                });
            }
            PromotionAction::Follow {
                target,
                term,
                primary,
            } => {
                let name = self.settings().targets[primary.as_usize()].name.clone();
                tokio::spawn(async move {
                    let call = runner.target_port(target).follow(term, &name);
                    let reply = timeout(CALL_TIMEOUT, call).await;
                    let is_done = matches!(reply, Ok(Ok(())));
                    let _ = sender.send(RunEvent::Followed(target, is_done));
                });
            }
            PromotionAction::Inspect { target } => {
                tokio::spawn(async move {
                    let asked_at = runner.clock().now();
                    let reply = timeout(CALL_TIMEOUT, runner.target_port(target).status()).await;
                    let status = reply.ok().and_then(Result::ok);
                    let _ = sender.send(RunEvent::Inspected(target, asked_at, status));
                });
            }
            PromotionAction::Finished { primary, term } => self.finish_run(primary, term),
            PromotionAction::Abandoned {
                reason,
                highest_promised,
            } => {
                let now = self.clock().now();
                log::warn!(
                    "promotion_abandoned group={} term={} reason=\"{reason}\"",
                    self.name(),
                    run.term()
                );
                self.metrics().record_promotion("abandoned");
                let random = self.host().random();
                let mut state = self.lock();
                state.planned = None;
                state.highest.observe_promised(highest_promised);
                state.promotion_policy.run_failed(now, random);
            }
        }
    }

    fn finish_run(&self, primary: TargetIndex, term: heatherhollow_types::TermNumber) {
        let name = self.settings().targets[primary.as_usize()].name.clone();
        log::warn!(
            "promotion_finished group={} term={term} target={name}",
            self.name()
        );
        self.metrics().record_promotion("finished");
        {
            let mut state = self.lock();
            state.planned = None;
            state.promotion_policy.run_finished();
        }
        self.set_primary(KnownPrimary {
            target: primary,
            term,
        });
        let centres = self.settings().data_centres();
        self.host()
            .tell_observers(self.name(), &centres, GroupNews::Promoted(term, name));
    }

    fn take_event(
        &self,
        run: &mut PromotionRun,
        event: RunEvent,
        now: MonoTime,
    ) -> Vec<PromotionAction> {
        match event {
            RunEvent::Fenced(target, asked_at, Ok(reply)) => {
                let answer = FenceAnswer {
                    is_accepted: reply.is_accepted,
                    promised: reply.status.promised,
                    end: reply.status.end,
                    is_leaving: reply.status.is_leaving,
                };
                self.take_status(target, asked_at, reply.status);
                run.handle_fence_reply(now, target, answer)
            }
            RunEvent::Promoted(target, asked_at, Ok(status)) => {
                let answer = PromoteAnswer {
                    is_accepted: true,
                    promised: Some(status.promised),
                };
                self.take_status(target, asked_at, status);
                run.handle_promote_reply(now, target, answer)
            }
            RunEvent::Promoted(target, _, Err(error)) if is_refusal(&error) => {
                let promised = match error {
                    TargetError::WrongTerm(promised) => Some(promised),
                    _ => None,
                };
                run.handle_promote_reply(
                    now,
                    target,
                    PromoteAnswer {
                        is_accepted: false,
                        promised,
                    },
                )
            }
            RunEvent::Fenced(target, _, Err(_)) | RunEvent::Promoted(target, _, Err(_)) => {
                run.handle_call_failure(now, target)
            }
            RunEvent::Followed(target, true) => {
                run.handle_follow_reply(target);
                run.tick(now)
            }
            RunEvent::Followed(_, false) | RunEvent::Inspected(_, _, None) => run.tick(now),
            RunEvent::Inspected(target, asked_at, Some(status)) => {
                let report = report_of(status);
                run.handle_report(now, target, asked_at, &report)
            }
        }
    }
}

/// Whether the target answered that it will not become primary.
fn is_refusal(error: &TargetError) -> bool {
    matches!(
        error,
        TargetError::WrongTerm(_) | TargetError::Rejected(_) | TargetError::NotPrimary
    )
}

impl GroupState {
    fn promotion_trigger(&mut self, now: MonoTime) -> PromotionTrigger {
        let established = self.highest.established();
        let promised = self
            .reports
            .iter()
            .flatten()
            .map(|seen| seen.report.promised)
            .max();
        let unfinished = self.promotion_policy.unfinished_since(
            established,
            promised.unwrap_or(established),
            now,
        );
        if self.planned.is_none() {
            self.planned = self.successor_of_leaving(now).map(|target| (target, now));
        }
        if let Some((_, since)) = self.planned {
            return PromotionTrigger::Planned { since };
        }
        if let Some(since) = unfinished {
            return PromotionTrigger::Unfinished { since };
        }
        if self.primary.is_none() && self.needs_first_primary() {
            return PromotionTrigger::Planned { since: now };
        }
        PromotionTrigger::Suspicion(self.suspicion)
    }

    /// The target that takes over from a primary that is about to stop: of those that answer, the one
    /// that has applied most.
    fn successor_of_leaving(&self, now: MonoTime) -> Option<TargetIndex> {
        let primary = self
            .primary
            .filter(|primary| self.is_leaving(primary.target))?;
        let replicas = self.reports.iter().enumerate().filter_map(|(i, seen)| {
            let target = TargetIndex(i as u16);
            let seen = seen.as_ref()?;
            let is_fit = target != primary.target
                && !self.is_leaving(target)
                && now.since(seen.answered_at) <= REACHABLE_SPAN;
            is_fit.then_some((seen.report.applied, target))
        });
        replicas
            .max_by_key(|(applied, _)| *applied)
            .map(|(_, target)| target)
    }

    /// Whether so many targets have answered lately that a run can succeed. A run on the smaller side
    /// of a partition would only raise the promised terms there, and cost a promotion after the heal.
    fn can_reach_majority(&self, now: MonoTime) -> bool {
        let reports = self.reports.iter().flatten();
        let answered = reports.filter(|seen| now.since(seen.answered_at) <= REACHABLE_SPAN);
        answered.count() >= majority_of(self.reports.len())
    }

    /// Whether every target has answered lately and none is primary, as after a run that ended
    /// between its promises and its promotion while this instance was starting.
    fn needs_first_primary(&self) -> bool {
        let seen = self.reports.iter().flatten();
        seen.clone().count() == self.reports.len() && seen.clone().all(|s| !s.report.is_primary)
    }

    fn silence_reports(&self) -> Vec<SilenceReport> {
        let reports = self
            .reports
            .iter()
            .flatten()
            .filter(|seen| !seen.report.is_primary);
        reports
            .map(|seen| SilenceReport {
                asked_at: seen.asked_at,
                silent_for: seen.report.primary_silent_for,
            })
            .collect()
    }

    fn peer_suspicions(&self, now: MonoTime) -> Vec<PeerSuspicion> {
        let term = self.primary.map(|primary| primary.term);
        let told = self.told.iter().filter(|told| Some(told.term) == term);
        told.map(|told| PeerSuspicion {
            data_centre: told.data_centre.clone(),
            age: now.since(told.at),
        })
        .collect()
    }

    /// Targets of a run, in the order of preference.
    ///
    /// A suspected primary takes no part: it may have the longest log and be out of reach of the
    /// others, and would be chosen again. Of an odd number of targets a majority of the rest is also one
    /// of all, so that a confirmed write is in one of their logs.
    fn run_targets(&self, is_preferred: Vec<bool>, trigger: PromotionTrigger) -> Vec<RunTarget> {
        let is_odd = !is_preferred.len().is_multiple_of(2);
        let is_suspicion = matches!(trigger, PromotionTrigger::Suspicion(_));
        let excluded = self.primary.filter(|_| is_odd && is_suspicion);
        let mut order = (0..is_preferred.len())
            .filter(|&i| excluded.is_none_or(|primary| primary.target.as_usize() != i))
            .collect::<Vec<_>>();
        order.sort_by_key(|&i| !is_preferred[i]);
        let targets = order.into_iter().map(|i| RunTarget {
            index: TargetIndex(i as u16),
            is_leaving: self.is_leaving(TargetIndex(i as u16)),
        });
        targets.collect()
    }
}
