//! Coordination of writes and of the steps of transactions.
//!
//! A write is acknowledged only after it is confirmed by the targets (see `docs/design.md`, cases 4
//! and 5). A write that was refused before it ran goes to the primary of the time; one that may have
//! run is not sent again, unless its caller allows that.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use prost::Message;

use heatherhollow_failover::Confirmation;
use heatherhollow_failover::PendingWrite;
use heatherhollow_ports::AnswerEnd;
use heatherhollow_ports::AnswerPart;
use heatherhollow_ports::AnswerStream;
use heatherhollow_ports::CallStep;
use heatherhollow_ports::TargetCall;
use heatherhollow_types::CallKind;
use heatherhollow_types::FailureReason;
use heatherhollow_types::RefusalReason;
use heatherhollow_types::RequestOutcome;
use heatherhollow_types::RetryReason;
use heatherhollow_types::UnknownReason;

use crate::call::EndNote;
use crate::call::ExecuteCall;
use crate::call::ServiceCall;
use crate::call::TransactionStep;
use crate::engine::ProxyEngine;
use crate::execute::EndedStream;
use crate::execute::REFUSED_RETRY;
use crate::execute::run_on;
use crate::group::GroupRunner;
use crate::group_state::KnownPrimary;
use crate::reads::is_not_ready;
use crate::table::DeclaredService;

/// Most bytes of rows of an answer that is held back until its write is confirmed. A longer answer is
/// never cut and passed on as whole: its outcome is unknown, or its transaction is rolled back.
const MAX_HELD_BYTES: usize = 4 * 1024 * 1024;

/// Times that a write which did not run is sent to a primary.
const MAX_ATTEMPTS: usize = 8;

/// Pause before a write that did not run is sent again.
const RESEND_PAUSE: Duration = Duration::from_millis(20);

/// A whole answer in memory.
pub(crate) struct CollectedAnswer {
    rows: std::vec::IntoIter<Bytes>,
    end: Option<AnswerEnd>,
}

#[async_trait::async_trait]
impl AnswerStream for CollectedAnswer {
    async fn next_part(&mut self) -> Option<AnswerPart> {
        if let Some(row) = self.rows.next() {
            return Some(AnswerPart::Row(row));
        }
        self.end.take().map(AnswerPart::End)
    }
}

/// Reads a whole answer, or none of it if it is too long to be held.
async fn collect(stream: &mut dyn AnswerStream) -> (Vec<Bytes>, AnswerEnd) {
    let mut rows = Vec::new();
    let mut held_bytes = 0;
    loop {
        match stream.next_part().await {
            Some(AnswerPart::Head(_)) => {}
            Some(AnswerPart::Row(row)) => {
                held_bytes += row.len();
                if held_bytes > MAX_HELD_BYTES {
                    let text = format!("the answer has more than {MAX_HELD_BYTES} bytes of rows");
                    return (Vec::new(), broken_off(text));
                }
                rows.push(row);
            }
            Some(AnswerPart::End(end)) => return (rows, end),
            None => return (Vec::new(), broken_off(String::new())),
        }
    }
}

/// End of an answer that was not read to its end.
fn broken_off(detail: String) -> AnswerEnd {
    let outcome = RequestOutcome::Unknown(UnknownReason::ConnectionLost);
    AnswerEnd {
        detail,
        ..AnswerEnd::of(outcome)
    }
}

impl ProxyEngine {
    /// Coordinates a write in its own transaction.
    pub(crate) async fn coordinate_write(
        self: &Arc<Self>,
        service: Arc<DeclaredService>,
        runner: Arc<GroupRunner>,
        call: ServiceCall,
    ) -> Box<dyn AnswerStream> {
        for attempt in 0..MAX_ATTEMPTS {
            let primary = match self.primary_for_write(&runner, &call).await {
                Ok(primary) => primary,
                Err(outcome) => return EndedStream::boxed(outcome),
            };
            let execute = write_call(&call, primary, CallStep::Single);
            let mut stream = self.execute(&service, &runner, execute).await;
            let asked_at = runner.clock().now();
            let (rows, mut end) = collect(&mut *stream).await;
            drop(stream);
            if let Some(position) = end.position {
                runner.observe_answer(primary.target, asked_at, position, Some(primary.term));
            }
            end.outcome = self
                .confirm_end(&service, &runner, &call, primary, &end)
                .await;
            let is_last = attempt + 1 == MAX_ATTEMPTS;
            match self.resend_reason(&call, end.outcome) {
                Some(reason) if !is_last && self.may_resend(end.outcome, reason) => {
                    let wake = runner.clock().now() + RESEND_PAUSE;
                    runner.clock().sleep_until(wake.min(call.deadline)).await;
                }
                _ => {
                    add_note(&runner, primary, &mut end);
                    return Box::new(CollectedAnswer {
                        rows: rows.into_iter(),
                        end: Some(end),
                    });
                }
            }
        }
        EndedStream::refused(RefusalReason::NoPrimary, REFUSED_RETRY)
    }

    /// The primary that a write goes to, or why it is refused.
    async fn primary_for_write(
        &self,
        runner: &GroupRunner,
        call: &ServiceCall,
    ) -> Result<KnownPrimary, RequestOutcome> {
        let now = runner.clock().now();
        let until = call.deadline.min(now + self.primary_wait());
        let Some(primary) = runner.wait_writable(until).await else {
            return Err(RequestOutcome::not_run(
                RefusalReason::NoPrimary,
                REFUSED_RETRY,
            ));
        };
        let now = runner.clock().now();
        if now >= call.deadline {
            let reason = RefusalReason::DeadlinePassed;
            return Err(RequestOutcome::not_run(reason, Duration::ZERO));
        }
        if runner.lock().confirmer.is_lagging(now) {
            let reason = RefusalReason::ReplicasLagging;
            return Err(RequestOutcome::not_run(reason, Duration::from_millis(500)));
        }
        Ok(primary)
    }

    /// Outcome of a write after its confirmation.
    async fn confirm_end(
        &self,
        service: &DeclaredService,
        runner: &GroupRunner,
        call: &ServiceCall,
        primary: KnownPrimary,
        end: &AnswerEnd,
    ) -> RequestOutcome {
        let (RequestOutcome::Done, Some(position)) = (end.outcome, end.position) else {
            return end.outcome;
        };
        let write = PendingWrite {
            position,
            term: primary.term,
            primary: primary.target,
            answered_at: runner.clock().now(),
            mode: service.settings.acknowledge,
        };
        match runner.confirm(&write, call.deadline).await {
            Confirmation::Confirmed => RequestOutcome::Done,
            Confirmation::Refuted => RequestOutcome::Unknown(UnknownReason::PrimaryReplaced),
            Confirmation::Waiting => RequestOutcome::Unknown(UnknownReason::Unconfirmed),
        }
    }

    /// Why a write may be sent again, if it may.
    fn resend_reason(&self, call: &ServiceCall, outcome: RequestOutcome) -> Option<RetryReason> {
        match outcome {
            RequestOutcome::NotRun { reason, .. } => match reason {
                RefusalReason::NoPrimary => Some(RetryReason::NotPrimary),
                RefusalReason::Unreachable | RefusalReason::TargetRefused => {
                    Some(RetryReason::NotSent)
                }
                reason if is_not_ready(reason) => Some(RetryReason::HolderRefused),
                _ => None,
            },
            // With a request id the record in the group answers a write that has run already.
            RequestOutcome::Unknown(reason)
                if call.is_repeatable && reason != UnknownReason::DeadlinePassed =>
            {
                Some(RetryReason::ConnectionLost)
            }
            _ => None,
        }
    }

    /// Whether the retry is allowed. One that did not run adds no load at a target, so it does not
    /// count against the budget; otherwise a failover would use it up.
    fn may_resend(&self, outcome: RequestOutcome, reason: RetryReason) -> bool {
        if let RequestOutcome::NotRun { .. } = outcome {
            self.metrics().record_retry(reason);
            return true;
        }
        self.allow_retry(reason)
    }

    /// Coordinates the begin of a transaction.
    pub(crate) async fn coordinate_begin(
        self: &Arc<Self>,
        service: Arc<DeclaredService>,
        runner: Arc<GroupRunner>,
        call: ServiceCall,
    ) -> Box<dyn AnswerStream> {
        for _ in 0..MAX_ATTEMPTS {
            let primary = match self.primary_for_write(&runner, &call).await {
                Ok(primary) => primary,
                Err(outcome) => return EndedStream::boxed(outcome),
            };
            let execute = write_call(&call, primary, CallStep::Begin);
            let mut stream = self.execute(&service, &runner, execute).await;
            let (rows, mut end) = collect(&mut *stream).await;
            // A transaction that was opened without this instance's hearing of it is rolled back
            // when it has been idle for too long; nothing in it can have taken effect.
            if let RequestOutcome::Unknown(_) = end.outcome {
                end.outcome = RequestOutcome::Failed(FailureReason::RolledBack);
            }
            if self.resend_reason(&call, end.outcome).is_none() {
                return Box::new(CollectedAnswer {
                    rows: rows.into_iter(),
                    end: Some(end),
                });
            }
            self.metrics().record_retry(RetryReason::NotPrimary);
            let wake = runner.clock().now() + RESEND_PAUSE;
            runner.clock().sleep_until(wake.min(call.deadline)).await;
        }
        EndedStream::refused(RefusalReason::NoPrimary, REFUSED_RETRY)
    }

    /// Runs a step of a transaction whose connection this instance owns.
    pub(crate) async fn run_step(
        self: &Arc<Self>,
        service: Arc<DeclaredService>,
        runner: Arc<GroupRunner>,
        call: ServiceCall,
        id: &heatherhollow_types::TransactionId,
        step: TransactionStep,
    ) -> Box<dyn AnswerStream> {
        let taken = self.transactions().take(id, &call.team, &call.service);
        let (transaction, guard) = match taken {
            Ok(taken) => taken,
            Err(reason) => return EndedStream::refused(reason, Duration::ZERO),
        };
        let primary = KnownPrimary {
            target: transaction.target,
            term: transaction.term,
        };
        let (call_step, statement, request) = match step {
            TransactionStep::Within => (CallStep::Within, call.statement.clone(), None),
            TransactionStep::Commit => (CallStep::Commit, String::new(), call.request.clone()),
            TransactionStep::Rollback => (CallStep::Rollback, String::new(), None),
        };
        let target_call = TargetCall {
            statement,
            step: call_step,
            is_read_only: false,
            request,
            term: Some(primary.term),
        };
        let clock = self.clock().clone();
        let asked_at = clock.now();
        let mut transaction = *transaction;
        let started = run_on(
            transaction.lent,
            target_call,
            clock.clone(),
            call.deadline,
            None,
        )
        .await;
        let mut stream = match started {
            Ok(stream) => stream,
            Err(outcome) => return EndedStream::boxed(step_outcome(step, outcome)),
        };
        let (rows, mut end) = collect(&mut stream).await;
        if step == TransactionStep::Commit {
            if let Some(position) = end.position {
                runner.observe_answer(primary.target, asked_at, position, Some(primary.term));
            }
            end.outcome = self
                .confirm_end(&service, &runner, &call, primary, &end)
                .await;
            add_note(&runner, primary, &mut end);
        } else {
            end.outcome = step_outcome(step, end.outcome);
        }
        if step == TransactionStep::Within
            && let Some(mut lent) = stream.take_connection()
        {
            lent.mark_clean(false);
            transaction.lent = lent;
            guard.put_back(Box::new(transaction), clock.now());
        }
        Box::new(CollectedAnswer {
            rows: rows.into_iter(),
            end: Some(end),
        })
    }
}

/// Only a commit can have an unknown effect: without it the target rolls the transaction back.
fn step_outcome(step: TransactionStep, outcome: RequestOutcome) -> RequestOutcome {
    match outcome {
        RequestOutcome::Unknown(_) if step != TransactionStep::Commit => {
            RequestOutcome::Failed(FailureReason::RolledBack)
        }
        other => other,
    }
}

fn write_call(call: &ServiceCall, primary: KnownPrimary, step: CallStep) -> ExecuteCall {
    let is_begin = step == CallStep::Begin;
    ExecuteCall {
        team: call.team.clone(),
        service: call.service.clone(),
        target: primary.target,
        kind: CallKind::Write,
        is_strict: !call.is_repeatable,
        doubt_after: None,
        call: TargetCall {
            statement: if is_begin {
                String::new()
            } else {
                call.statement.clone()
            },
            step,
            is_read_only: false,
            request: call.request.clone().filter(|_| !is_begin),
            term: Some(primary.term),
        },
        arrived: call.arrived,
        deadline: call.deadline,
    }
}

fn add_note(runner: &GroupRunner, primary: KnownPrimary, end: &mut AnswerEnd) {
    let is_unknown = matches!(end.outcome, RequestOutcome::Unknown(_));
    if is_unknown {
        // An unconfirmed position may be lost; the session must not wait for it.
        end.position = None;
    }
    let note = EndNote {
        target: runner.settings().targets[primary.target.as_usize()]
            .name
            .to_string(),
        uncertain_term: if is_unknown { primary.term.0 } else { 0 },
        ..EndNote::default()
    };
    end.extra = note.encode_to_vec();
}
