//! Runs calls at targets over the connections of this instance.
//!
//! Every way in which a call can end becomes the end of its answer, with an outcome that says whether
//! it ran. The connection goes back to its lane only after the end of an answer was read; it is closed
//! in any other case, so that no late answer reaches another request.

use std::sync::Arc;
use std::time::Duration;

use async_trait::async_trait;
use tokio::time::timeout;

use heatherhollow_ports::AnswerEnd;
use heatherhollow_ports::AnswerPart;
use heatherhollow_ports::AnswerStream;
use heatherhollow_ports::ClockPort;
use heatherhollow_ports::TargetCall;
use heatherhollow_ports::TargetError;
use heatherhollow_types::FailureReason;
use heatherhollow_types::MonoTime;
use heatherhollow_types::RefusalReason;
use heatherhollow_types::RequestOutcome;
use heatherhollow_types::UnknownReason;

use crate::call::ExecuteCall;
use crate::lane::LaneRequest;
use crate::lane::TargetLane;
use crate::lent::LentConnection;

/// Interval at which a call that waits for its answer looks at whether connections have gone silent.
const SILENCE_INTERVAL: Duration = Duration::from_millis(100);

/// Time without an answer after which the connection of a write or of a step of a transaction is
/// doubted. It goes on waiting, unless a check shows that connections have gone silent.
const WRITE_DOUBT: Duration = Duration::from_millis(400);

/// Time to come back that is named when a target has refused a call.
pub(crate) const REFUSED_RETRY: Duration = Duration::from_millis(250);

/// An answer that has ended.
pub struct EndedStream(Option<AnswerEnd>);

impl EndedStream {
    /// An answer that consists of its end.
    pub fn boxed(outcome: RequestOutcome) -> Box<dyn AnswerStream> {
        Box::new(Self(Some(AnswerEnd::of(outcome))))
    }

    /// A refusal.
    pub fn refused(reason: RefusalReason, retry_after: Duration) -> Box<dyn AnswerStream> {
        Self::boxed(RequestOutcome::not_run(reason, retry_after))
    }

    /// An answer that consists of this end.
    pub fn of(end: AnswerEnd) -> Box<dyn AnswerStream> {
        Box::new(Self(Some(end)))
    }
}

#[async_trait]
impl AnswerStream for EndedStream {
    async fn next_part(&mut self) -> Option<AnswerPart> {
        self.0.take().map(AnswerPart::End)
    }
}

/// The answer to a call that runs on a lent connection.
pub struct TargetStream {
    lent: Option<LentConnection>,
    clock: Arc<dyn ClockPort>,
    started_at: MonoTime,
    deadline: MonoTime,
    /// Time without any part of the answer after which the connection is doubted.
    doubt_after: Option<Duration>,
    is_read_only: bool,
    is_ended: bool,
}

impl TargetStream {
    /// Takes the connection out after the end of the answer, to go on with its transaction.
    pub fn take_connection(&mut self) -> Option<LentConnection> {
        self.lent.take().filter(|_| self.is_ended)
    }

    fn end(&mut self, outcome: RequestOutcome) -> AnswerPart {
        self.is_ended = true;
        self.lent = None;
        AnswerPart::End(AnswerEnd::of(outcome))
    }

    /// Waits for the next part, up to the deadline or until the connection is taken for silent.
    async fn wait_part(&mut self) -> Result<AnswerPart, RequestOutcome> {
        let is_read_only = self.is_read_only;
        let Some(lent) = self.lent.as_mut() else {
            return Err(outcome_of(&TargetError::ConnectionLost, is_read_only));
        };
        let lane = lent.lane().clone();
        let mut part = lent.connection().next_part();
        if let Some(span) = self.doubt_after.take() {
            let limit = span.min(self.deadline - self.clock.now());
            if let Ok(part) = timeout(limit, &mut part).await {
                return part.map_err(|error| outcome_of(&error, is_read_only));
            }
            lane.require_checks();
            if is_read_only && self.clock.now() < self.deadline {
                // A read is repeated on another connection, which is checked before.
                return Err(RequestOutcome::Failed(FailureReason::Interrupted));
            }
        }
        loop {
            let left = self.deadline - self.clock.now();
            if left.is_zero() {
                return Err(if is_read_only {
                    RequestOutcome::Failed(FailureReason::DeadlinePassed)
                } else {
                    RequestOutcome::Unknown(UnknownReason::DeadlinePassed)
                });
            }
            if let Ok(part) = timeout(left.min(SILENCE_INTERVAL), &mut part).await {
                return part.map_err(|error| outcome_of(&error, is_read_only));
            }
            // Others of the lane have gone silent since the call was sent: this one has, too.
            if lane.was_silent_after(self.started_at) {
                return Err(outcome_of(&TargetError::ConnectionLost, is_read_only));
            }
        }
    }
}

#[async_trait]
impl AnswerStream for TargetStream {
    async fn next_part(&mut self) -> Option<AnswerPart> {
        if self.is_ended {
            return None;
        }
        let part = match self.wait_part().await {
            Ok(part) => part,
            Err(outcome) => return Some(self.end(outcome)),
        };
        if part.is_end() {
            self.is_ended = true;
            if let Some(lent) = &mut self.lent {
                lent.mark_clean(true);
            }
        }
        Some(part)
    }
}

/// How a request ends when its call at the target fails.
pub(crate) fn outcome_of(error: &TargetError, is_read_only: bool) -> RequestOutcome {
    match error {
        TargetError::ConnectionLost if is_read_only => {
            RequestOutcome::Failed(FailureReason::Interrupted)
        }
        TargetError::ConnectionLost => RequestOutcome::Unknown(UnknownReason::ConnectionLost),
        TargetError::WrongTerm(_) | TargetError::NotPrimary => {
            RequestOutcome::not_run(RefusalReason::NoPrimary, REFUSED_RETRY)
        }
        TargetError::Rejected(_) => {
            RequestOutcome::not_run(RefusalReason::TargetRefused, REFUSED_RETRY)
        }
        TargetError::ConnectionRefused
        | TargetError::ConnectTimeout
        | TargetError::PermitRefused
        | TargetError::NotSent => {
            RequestOutcome::not_run(RefusalReason::Unreachable, REFUSED_RETRY)
        }
    }
}

/// Starts a call on a connection that the caller holds.
///
/// A read whose answer has not begun after `doubt_after` is given up; its connection is closed.
pub async fn run_on(
    mut lent: LentConnection,
    call: TargetCall,
    clock: Arc<dyn ClockPort>,
    deadline: MonoTime,
    doubt_after: Option<Duration>,
) -> Result<TargetStream, RequestOutcome> {
    let is_read_only = call.is_read_only;
    lent.mark_clean(false);
    let started_at = clock.now();
    let started = timeout(deadline - started_at, lent.connection().begin_call(call)).await;
    match started {
        Ok(Ok(())) => Ok(TargetStream {
            lent: Some(lent),
            clock,
            started_at,
            deadline,
            doubt_after: if is_read_only {
                doubt_after
            } else {
                Some(WRITE_DOUBT)
            },
            is_read_only,
            is_ended: false,
        }),
        Ok(Err(error)) => Err(outcome_of(&error, is_read_only)),
        Err(_) if is_read_only => Err(RequestOutcome::Failed(FailureReason::DeadlinePassed)),
        Err(_) => Err(RequestOutcome::Unknown(UnknownReason::DeadlinePassed)),
    }
}

/// Waits for a connection in the lane and starts the call on it.
pub async fn run_in_lane(
    lane: &Arc<TargetLane>,
    call: ExecuteCall,
    clock: Arc<dyn ClockPort>,
) -> Result<TargetStream, RequestOutcome> {
    let request = LaneRequest {
        team: call.team,
        kind: call.kind,
        arrived: call.arrived,
        deadline: call.deadline,
        is_strict: call.is_strict,
    };
    let lent = lane.acquire(&request).await;
    let lent =
        lent.map_err(|refusal| RequestOutcome::not_run(refusal.reason, refusal.retry_after))?;
    if clock.now() >= call.deadline {
        return Err(RequestOutcome::not_run(
            RefusalReason::DeadlinePassed,
            Duration::ZERO,
        ));
    }
    run_on(lent, call.call, clock, call.deadline, call.doubt_after).await
}
