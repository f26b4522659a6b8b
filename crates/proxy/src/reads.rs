//! Coordination of reads: choice of the target, wait for a replica, check of the answer.

use std::sync::Arc;
use std::time::Duration;

use async_trait::async_trait;
use prost::Message;
use tokio::sync::mpsc;
use tokio::time::timeout;

use heatherhollow_ports::AnswerEnd;
use heatherhollow_ports::AnswerPart;
use heatherhollow_ports::AnswerStream;
use heatherhollow_ports::CallStep;
use heatherhollow_ports::TargetCall;
use heatherhollow_routing::AnswerCheck;
use heatherhollow_routing::AnswerHead;
use heatherhollow_routing::RouteChoice;
use heatherhollow_routing::RouteQuery;
use heatherhollow_routing::TargetView;
use heatherhollow_routing::check_answer;
use heatherhollow_routing::choose_after_wait;
use heatherhollow_routing::choose_route;
use heatherhollow_session::ReadRequirement;
use heatherhollow_types::CallKind;
use heatherhollow_types::FailureReason;
use heatherhollow_types::GroupPosition;
use heatherhollow_types::MonoTime;
use heatherhollow_types::ReadKind;
use heatherhollow_types::RefusalReason;
use heatherhollow_types::RequestOutcome;
use heatherhollow_types::RetryReason;
use heatherhollow_types::TargetIndex;

use crate::call::EndNote;
use crate::call::ExecuteCall;
use crate::call::ServiceCall;
use crate::engine::ProxyEngine;
use crate::group::GroupRunner;
use crate::group_state::GroupState;
use crate::group_state::KnownPrimary;
use crate::table::DeclaredService;

/// Parts of an answer that wait between a target and its caller.
const BUFFERED_PARTS: usize = 4;

/// Targets that are tried for one read.
const MAX_ATTEMPTS: usize = 4;

/// Age from which a target's last status no longer shows that it can be reached.
const SUSPECT_AFTER: Duration = Duration::from_millis(1_200);

/// Longest wait for a majority to hold the position that a session's read showed.
const SETTLE_LIMIT: Duration = Duration::from_millis(150);

/// Shortest time without an answer after which the connection of a read is given up.
const MIN_READ_DOUBT: Duration = Duration::from_millis(300);

/// Longest wait for the check that the primary has not been replaced.
const LEADER_CHECK_LIMIT: Duration = Duration::from_secs(1);

/// An answer that a task produces.
pub struct ChannelStream(mpsc::Receiver<AnswerPart>);

#[async_trait]
impl AnswerStream for ChannelStream {
    async fn next_part(&mut self) -> Option<AnswerPart> {
        self.0.recv().await
    }
}

/// One read on its way.
struct ReadTask {
    engine: Arc<ProxyEngine>,
    service: Arc<DeclaredService>,
    runner: Arc<GroupRunner>,
    call: ServiceCall,
    query: RouteQuery,
    kind: ReadKind,
    /// Targets that have failed this read.
    failed: Vec<TargetIndex>,
    /// Targets whose connection broke or fell silent under this read.
    interrupted: Vec<TargetIndex>,
}

/// What is known of an answer when its head has been checked.
struct GoodAnswer {
    stream: Box<dyn AnswerStream>,
    head: GroupPosition,
    note: EndNote,
}

/// Why an attempt gave no answer.
enum AttemptError {
    Retry(RetryReason, RequestOutcome),
    Final(RequestOutcome),
}

impl ProxyEngine {
    /// Coordinates a read; its answer is produced by a task as the caller takes it.
    pub(crate) fn coordinate_read(
        self: &Arc<Self>,
        service: Arc<DeclaredService>,
        runner: Arc<GroupRunner>,
        call: ServiceCall,
        kind: ReadKind,
    ) -> Box<dyn AnswerStream> {
        let query = RouteQuery {
            requirement: call.requirement,
            max_age: kind.max_age,
            max_wait: kind.max_wait,
            deadline: call.deadline,
        };
        let engine = self.clone();
        let (failed, interrupted) = (Vec::new(), Vec::new());
        let task = ReadTask {
            engine,
            service,
            runner,
            call,
            query,
            kind,
            failed,
            interrupted,
        };
        let (sender, receiver) = mpsc::channel(BUFFERED_PARTS);
        tokio::spawn(async move {
            let mut task = task;
            tokio::select! {
                biased;
                () = task.run(&sender) => {}
                // The caller has left: dropping the attempt closes its connection.
                () = sender.closed() => {}
            }
        });
        Box::new(ChannelStream(receiver))
    }
}

impl ReadTask {
    async fn run(&mut self, sender: &mpsc::Sender<AnswerPart>) {
        let mut last = RequestOutcome::not_run(RefusalReason::Unreachable, Duration::from_secs(1));
        for attempt in 0..MAX_ATTEMPTS {
            let result = match self.choose().await {
                Ok(target) => self.try_target(target).await,
                Err(outcome) => Err(AttemptError::Final(outcome)),
            };
            match result {
                Ok(answer) => return self.pass_on(answer, sender).await,
                Err(AttemptError::Final(outcome)) => return self.refuse(sender, outcome).await,
                Err(AttemptError::Retry(reason, outcome)) => {
                    last = outcome;
                    if attempt + 1 < MAX_ATTEMPTS && !self.may_retry(reason, outcome) {
                        break;
                    }
                }
            }
        }
        self.refuse(sender, last).await;
    }

    /// Ends the read without an answer; says how old the youngest one would be if age is the reason.
    async fn refuse(&self, sender: &mpsc::Sender<AnswerPart>, outcome: RequestOutcome) {
        let mut end = AnswerEnd::of(outcome);
        if let RequestOutcome::NotRun {
            reason: RefusalReason::TooOld,
            ..
        } = outcome
        {
            let now = self.runner.clock().now();
            let lowest_age_bound = self.runner.lock().tracker.lowest_age_bound(now);
            if let Some(age) = lowest_age_bound {
                end.detail = format!("the youngest answer on offer is {} ms old", age.as_millis());
            }
        }
        let _ = sender.send(AnswerPart::End(end)).await;
    }

    /// Time without an answer after which a connection is given up. A read that was interrupted once
    /// waits to its deadline, since its statement may simply be slow.
    fn doubt_after(&self, target: TargetIndex) -> Option<Duration> {
        let now = self.runner.clock().now();
        let usual = self.runner.load(target).statement_time(now);
        self.interrupted
            .is_empty()
            .then(|| MIN_READ_DOUBT.max(usual * 8))
    }

    /// Whether another target may be tried. A read that did not run has cost no target anything, so it
    /// does not count against the budget.
    fn may_retry(&self, reason: RetryReason, outcome: RequestOutcome) -> bool {
        if let RequestOutcome::NotRun {
            reason: refusal, ..
        } = outcome
            && (refusal == RefusalReason::Unreachable || is_not_ready(refusal))
        {
            self.engine.metrics().record_retry(reason);
            return true;
        }
        self.engine.allow_retry(reason)
    }

    async fn choose(&self) -> Result<TargetIndex, RequestOutcome> {
        let mut has_waited = false;
        loop {
            let now = self.runner.clock().now();
            let choice = self.choose_now(has_waited, now);
            match choice {
                RouteChoice::SendTo(target) => return Ok(target),
                RouteChoice::WaitFor { target, until, .. } if !has_waited => {
                    has_waited = true;
                    if self.wait_replica(target, until).await {
                        return Ok(target);
                    }
                }
                RouteChoice::WaitFor { target, .. } => return Ok(target),
                RouteChoice::Refuse {
                    reason: RefusalReason::NoPrimary,
                    ..
                } if !has_waited => {
                    has_waited = true;
                    let until = self.call.deadline.min(now + self.engine.primary_wait());
                    self.runner.wait_primary(until).await;
                }
                RouteChoice::Refuse {
                    reason,
                    retry_after,
                } => {
                    return Err(RequestOutcome::not_run(reason, retry_after));
                }
            }
        }
    }

    fn choose_now(&self, has_waited: bool, now: MonoTime) -> RouteChoice {
        let state = self.runner.lock();
        let views = self.target_views(&state, now);
        let policy = self.engine.policy();
        let choose = if has_waited {
            choose_after_wait
        } else {
            choose_route
        };
        choose(&self.query, &views, &state.tracker, policy, now)
    }

    fn target_views(&self, state: &GroupState, now: MonoTime) -> Vec<TargetView> {
        let slots = self
            .service
            .settings
            .slots_per_target
            .min(self.service.permits.count.work);
        let targets = &self.runner.settings().targets;
        let views = (0..targets.len()).map(|i| {
            let index = TargetIndex(i as u16);
            let load = self.runner.load(index);
            let is_primary = state.is_primary(index);
            let seen = state.reports[i].as_ref();
            let is_silent = seen.is_none_or(|s| now.since(s.answered_at) > SUSPECT_AFTER);
            let is_lost = is_primary && state.usable_primary().is_none();
            TargetView {
                target: index,
                is_primary,
                is_leaving: state.is_leaving(index),
                is_suspected: is_silent || is_lost || self.failed.contains(&index),
                is_remote: !self.runner.is_target_near(index),
                round_trip: state.round_trips[i].unwrap_or(Duration::from_millis(20)),
                in_flight: load.in_flight(),
                reads_in_flight: load.reads_in_flight(),
                slots: slots.into(),
                statement_time: load.statement_time(now),
            }
        });
        views.collect()
    }

    async fn wait_replica(&self, target: TargetIndex, until: MonoTime) -> bool {
        let ReadRequirement::AtLeast(need) = self.query.requirement else {
            return true;
        };
        let found = self.runner.wait_for(until, |state, now| {
            let seen = state.reports[target.as_usize()].as_ref()?;
            let has_position = state.tracker.holds(seen.report.applied, need);
            let is_near = state.tracker.expected_wait(target, need, now) == Some(Duration::ZERO);
            (has_position || is_near).then_some(())
        });
        found.await.is_some()
    }

    async fn try_target(&mut self, target: TargetIndex) -> Result<GoodAnswer, AttemptError> {
        let asked_at = self.runner.clock().now();
        let primary = self
            .runner
            .lock()
            .primary
            .filter(|primary| primary.target == target);
        let call = ExecuteCall {
            team: self.call.team.clone(),
            service: self.call.service.clone(),
            target,
            kind: CallKind::Read,
            is_strict: false,
            doubt_after: self.doubt_after(target),
            call: TargetCall {
                statement: self.call.statement.clone(),
                step: CallStep::Single,
                is_read_only: true,
                request: None,
                term: primary.map(|primary| primary.term),
            },
            arrived: self.call.arrived,
            deadline: self.call.deadline,
        };
        let mut stream = self.engine.execute(&self.service, &self.runner, call).await;
        match stream.next_part().await {
            Some(AnswerPart::Head(head)) => {
                let is_primary = primary.is_some();
                self.runner
                    .observe_answer(target, asked_at, head, primary.map(|p| p.term));
                let checked = self.check_head(target, head, asked_at, primary).await;
                let Ok(age_bound) = checked else {
                    let error = checked.expect_err("not good");
                    drain(stream).await;
                    return Err(error);
                };
                let note = EndNote {
                    target: self.runner.settings().targets[target.as_usize()]
                        .name
                        .to_string(),
                    is_replica: !is_primary,
                    age_micros: age_bound.as_micros() as u64,
                    is_head_settled: self.settle_head(primary, head).await,
                    ..EndNote::default()
                };
                Ok(GoodAnswer { stream, head, note })
            }
            Some(AnswerPart::End(end)) => Err(self.attempt_failed(target, end.outcome)),
            Some(AnswerPart::Row(_)) | None => {
                let outcome = RequestOutcome::Failed(FailureReason::Interrupted);
                Err(self.attempt_failed(target, outcome))
            }
        }
    }

    /// For a session with an uncertain write: whether a majority of the targets holds the position that
    /// the primary showed. If so, the session's next reads may go to a replica with that position: it
    /// shows the write if this answer did. A short wait is cheaper than further reads at the primary.
    async fn settle_head(&self, primary: Option<KnownPrimary>, head: GroupPosition) -> bool {
        let Some(primary) = primary else { return false };
        if self.query.requirement != ReadRequirement::Primary {
            return false;
        }
        let until = self.runner.clock().now() + SETTLE_LIMIT;
        self.runner
            .confirm_position(primary, head, until.min(self.call.deadline))
            .await
    }

    fn attempt_failed(&mut self, target: TargetIndex, outcome: RequestOutcome) -> AttemptError {
        let reason = match outcome {
            RequestOutcome::Failed(FailureReason::Interrupted)
                if !self.interrupted.contains(&target) =>
            {
                // The connection may be to blame and not the target, so that it is tried once more.
                self.interrupted.push(target);
                return AttemptError::Retry(RetryReason::ConnectionLost, outcome);
            }
            RequestOutcome::Failed(FailureReason::Interrupted) => RetryReason::ConnectionLost,
            RequestOutcome::NotRun { reason, .. } => match reason {
                RefusalReason::NoPrimary => RetryReason::NotPrimary,
                RefusalReason::Unreachable | RefusalReason::TargetRefused => RetryReason::NotSent,
                reason if is_not_ready(reason) => RetryReason::HolderRefused,
                _ => return AttemptError::Final(outcome),
            },
            RequestOutcome::Unknown(_) => RetryReason::ConnectionLost,
            RequestOutcome::Done | RequestOutcome::Failed(_) => {
                return AttemptError::Final(outcome);
            }
        };
        self.failed.push(target);
        AttemptError::Retry(reason, outcome)
    }

    /// Age of the answer with this head, once it is known to be good.
    async fn check_head(
        &mut self,
        target: TargetIndex,
        head: GroupPosition,
        asked_at: MonoTime,
        primary: Option<KnownPrimary>,
    ) -> Result<Duration, AttemptError> {
        let answer = AnswerHead {
            position: head,
            asked_at,
            primary_term: primary.map(|primary| primary.term),
        };
        let (requirement, max_age) = (self.query.requirement, self.query.max_age);
        let check = |state: &GroupState, now: MonoTime| {
            check_answer(&answer, requirement, max_age, &state.tracker, now)
        };
        let first = check(&self.runner.lock(), self.runner.clock().now());
        let checked = match first {
            // The primary's own answer lacks a check of its leadership that began late enough.
            AnswerCheck::TooOld if primary.is_some() => {
                let limit = self.runner.clock().now() + LEADER_CHECK_LIMIT;
                let until = self.call.deadline.min(limit);
                let found = self.runner.wait_for(until, |state, now| {
                    let checked = check(state, now);
                    (checked != AnswerCheck::TooOld).then_some(checked)
                });
                found.await.unwrap_or(AnswerCheck::TooOld)
            }
            other => other,
        };
        match checked {
            AnswerCheck::Acceptable { age_bound } => Ok(age_bound),
            AnswerCheck::Lost => {
                let outcome = RequestOutcome::Failed(FailureReason::PositionLost);
                Err(AttemptError::Final(outcome))
            }
            AnswerCheck::TooOld | AnswerCheck::Behind => {
                self.failed.push(target);
                let retry_after = Duration::from_millis(200);
                let outcome = RequestOutcome::not_run(RefusalReason::TooOld, retry_after);
                Err(AttemptError::Retry(RetryReason::TooOld, outcome))
            }
        }
    }

    async fn pass_on(&self, mut answer: GoodAnswer, sender: &mpsc::Sender<AnswerPart>) {
        let is_replica = answer.note.is_replica;
        self.engine
            .metrics()
            .record_read(self.kind.name.as_str(), is_replica);
        let mut next = Some(AnswerPart::Head(answer.head));
        while let Some(part) = next {
            let is_end = part.is_end();
            let part = match part {
                AnswerPart::End(mut end) => {
                    // A read has no effect, so a lost connection leaves nothing unknown.
                    if let RequestOutcome::Unknown(_) = end.outcome {
                        end.outcome = RequestOutcome::Failed(FailureReason::Interrupted);
                    }
                    end.extra = answer.note.encode_to_vec();
                    AnswerPart::End(end)
                }
                part => part,
            };
            let sent = timeout(self.engine.stall_limit(), sender.send(part)).await;
            match sent {
                Ok(Ok(())) if !is_end => {}
                Ok(_) => return,
                Err(_) => {
                    let outcome = RequestOutcome::Failed(FailureReason::CallerStalled);
                    self.engine.metrics().record_outcome(outcome);
                    return;
                }
            }
            next = answer.stream.next_part().await;
        }
        let outcome = RequestOutcome::Failed(FailureReason::Interrupted);
        end_with(sender, outcome).await;
    }
}

/// Whether an instance refused a call because it has just started or is about to stop.
pub(crate) fn is_not_ready(reason: RefusalReason) -> bool {
    matches!(
        reason,
        RefusalReason::SettingsUnavailable
            | RefusalReason::UnknownService
            | RefusalReason::Draining
    )
}

async fn end_with(sender: &mpsc::Sender<AnswerPart>, outcome: RequestOutcome) {
    let _ = sender.send(AnswerPart::End(AnswerEnd::of(outcome))).await;
}

/// Reads the rest of a short answer, so that its connection can be used again.
async fn drain(mut stream: Box<dyn AnswerStream>) {
    const MAX_DRAINED_PARTS: usize = 32;
    for _ in 0..MAX_DRAINED_PARTS {
        match timeout(Duration::from_millis(5), stream.next_part()).await {
            Ok(Some(part)) if !part.is_end() => {}
            _ => return,
        }
    }
}
