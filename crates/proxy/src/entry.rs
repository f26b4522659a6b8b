//! The entry of callers' requests: checks, session token, choice of the coordinator.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use async_trait::async_trait;

use heatherhollow_ports::AnswerEnd;
use heatherhollow_ports::AnswerPart;
use heatherhollow_ports::AnswerStream;
use heatherhollow_ports::PeerError;
use heatherhollow_session::ReadRequirement;
use heatherhollow_session::SessionToken;
use heatherhollow_types::FailureReason;
use heatherhollow_types::GroupName;
use heatherhollow_types::GroupPosition;
use heatherhollow_types::LogPosition;
use heatherhollow_types::MonoTime;
use heatherhollow_types::RefusalReason;
use heatherhollow_types::RequestOutcome;
use heatherhollow_types::RetryReason;
use heatherhollow_types::TermNumber;
use heatherhollow_types::UnknownReason;

use crate::call::CallAction;
use crate::call::EndNote;
use crate::call::ForwardedCall;
use crate::call::ServiceCall;
use crate::call::TransactionStep;
use crate::caller::CallerEnd;
use crate::caller::CallerPart;
use crate::caller::CallerRequest;
use crate::caller::CallerStream;
use crate::engine::ProxyEngine;
use crate::execute::EndedStream;
use crate::execute::REFUSED_RETRY;
use crate::reads::is_not_ready;
use crate::table::DeclaredService;
use crate::table::ServiceTable;

/// Time to come back that is named while the instance has no settings or stops.
const NOT_READY_RETRY: Duration = Duration::from_secs(1);

/// What the answer to a request does to the session.
struct SessionUpdate {
    group: GroupName,
    token: SessionToken,
    requirement: ReadRequirement,
    is_read: bool,
    /// Highest term of the group that this instance has seen; for an uncertain write whose
    /// coordinator was lost.
    seen_term: TermNumber,
}

/// The answer to a caller's request.
struct EntryStream {
    engine: Arc<ProxyEngine>,
    stream: Box<dyn AnswerStream>,
    session: Option<SessionUpdate>,
    arrived: MonoTime,
    head: Option<GroupPosition>,
    rows: u64,
    is_ended: bool,
}

impl ProxyEngine {
    /// Answers a caller's request.
    pub async fn handle(self: &Arc<Self>, request: CallerRequest) -> Box<dyn CallerStream> {
        let arrived = self.clock().now();
        self.record_request();
        let open = self.streams.fetch_add(1, Ordering::Relaxed);
        let prepared = if open >= self.max_streams() {
            Err(refusal(RefusalReason::TooMany, NOT_READY_RETRY))
        } else {
            self.prepare(request, arrived)
        };
        let (stream, session) = match prepared {
            Err(outcome) => (EndedStream::boxed(outcome), None),
            Ok((service, call, session)) => (self.dispatch(&service, call).await, Some(session)),
        };
        let engine = self.clone();
        Box::new(EntryStream {
            engine,
            stream,
            session,
            arrived,
            head: None,
            rows: 0,
            is_ended: false,
        })
    }

    /// Checks a request and makes the call for its coordinator.
    fn prepare(
        &self,
        request: CallerRequest,
        arrived: MonoTime,
    ) -> Result<(Arc<DeclaredService>, ServiceCall, SessionUpdate), RequestOutcome> {
        let is_step = matches!(request.action, CallAction::Step(..));
        if self.is_draining() && request.session.is_none() && !is_step {
            return Err(refusal(RefusalReason::Draining, Duration::ZERO));
        }
        let table = self
            .table()
            .ok_or(refusal(RefusalReason::SettingsUnavailable, NOT_READY_RETRY))?;
        let service = table
            .service(&request.team, &request.service)
            .cloned()
            .ok_or(refusal(RefusalReason::UnknownService, Duration::ZERO))?;
        if let CallAction::Read(kind) = &request.action
            && service.settings.kind(kind).is_none()
        {
            return Err(refusal(RefusalReason::UnknownKind, Duration::ZERO));
        }
        let token = self.read_token(request.session.as_deref(), &table)?;
        let group = service.group.full_name.clone();
        let requirement = token.requirement(&group);
        let is_read = matches!(request.action, CallAction::Read(_));
        let limit = service.settings.deadline_limit();
        let patience = request
            .patience
            .unwrap_or(service.settings.deadline_default());
        let call = ServiceCall {
            team: request.team,
            service: request.service,
            action: request.action,
            statement: request.statement,
            request: request.request,
            is_repeatable: request.is_repeatable || is_read,
            requirement,
            arrived,
            deadline: arrived + patience.min(limit),
        };
        let seen_term = TermNumber::default();
        let session = SessionUpdate {
            group,
            token,
            requirement,
            is_read,
            seen_term,
        };
        Ok((service, call, session))
    }

    fn read_token(
        &self,
        text: Option<&str>,
        table: &ServiceTable,
    ) -> Result<SessionToken, RequestOutcome> {
        let Some(text) = text.filter(|text| !text.is_empty()) else {
            return Ok(SessionToken::default());
        };
        let mut token = self.codec.decode(text).map_err(|error| {
            log::info!("session_token_refused error=\"{error}\"");
            refusal(RefusalReason::InvalidToken, Duration::ZERO)
        })?;
        token.retain_groups(|group| table.group(group).is_some());
        Ok(token)
    }

    /// Takes a term that an answer showed; returns the highest one of the group seen so far.
    fn note_term(&self, group: &GroupName, term: Option<TermNumber>) -> TermNumber {
        let mut terms = self
            .terms
            .lock()
            .expect("no holder of the term list panics");
        let term = term.unwrap_or_default();
        match terms.binary_search_by(|(name, _)| name.cmp(group)) {
            Ok(i) => {
                terms[i].1 = terms[i].1.max(term);
                terms[i].1
            }
            Err(i) => {
                terms.insert(i, (group.clone(), term));
                term
            }
        }
    }

    /// Hands a call to its coordinator.
    async fn dispatch(
        self: &Arc<Self>,
        service: &Arc<DeclaredService>,
        call: ServiceCall,
    ) -> Box<dyn AnswerStream> {
        let view = self.view();
        let own = &view.own().instance;
        if let CallAction::Step(id, step) = &call.action {
            if id.owner.instance == *own {
                return self.coordinate(call).await;
            }
            let (owner, step) = (id.owner.instance.clone(), *step);
            return self.forward_step(&owner, step, call).await;
        }
        let centres = service.group.settings.data_centres();
        let group = &service.group;
        let candidates = view.coordinators(&group.team, &group.settings.name, &centres);
        for candidate in &candidates {
            if candidate == own {
                return self.coordinate(call).await;
            }
            if let Some(stream) = self.forward(candidate, &call).await {
                return stream;
            }
        }
        if view.own().can_hold {
            return self.coordinate(call).await;
        }
        EndedStream::refused(RefusalReason::Unreachable, REFUSED_RETRY)
    }

    /// Forwards a call; `None` if it did not run there and may go elsewhere.
    async fn forward(
        &self,
        peer: &heatherhollow_types::InstanceName,
        call: &ServiceCall,
    ) -> Option<Box<dyn AnswerStream>> {
        let is_read = matches!(call.action, CallAction::Read(_));
        let body = ForwardedCall::Service(call.clone()).encode();
        match self.call_peer(peer, body, call.deadline).await {
            Ok(mut stream) => {
                let first = stream.next_part().await;
                let outcome = match &first {
                    Some(AnswerPart::End(end)) => Some(end.outcome),
                    _ => None,
                };
                if let Some(RequestOutcome::NotRun { reason, .. }) = outcome
                    && is_not_ready(reason)
                {
                    self.metrics().record_retry(RetryReason::HolderRefused);
                    return None;
                }
                // A read whose link breaks before its answer has begun goes elsewhere.
                let is_lost =
                    first.is_none() || matches!(outcome, Some(RequestOutcome::Unknown(_)));
                if is_read && is_lost && self.allow_retry(RetryReason::ConnectionLost) {
                    return None;
                }
                Some(Box::new(ResumedStream { first, stream }))
            }
            Err(PeerError::NotSent) => {
                self.metrics().record_retry(RetryReason::NotSent);
                None
            }
            Err(PeerError::LinkLost | PeerError::Timeout) if is_read => {
                if self.allow_retry(RetryReason::ConnectionLost) {
                    return None;
                }
                let outcome = RequestOutcome::Failed(FailureReason::Interrupted);
                Some(EndedStream::boxed(outcome))
            }
            Err(PeerError::LinkLost | PeerError::Timeout) => {
                let outcome = RequestOutcome::Unknown(UnknownReason::ConnectionLost);
                Some(EndedStream::boxed(outcome))
            }
        }
    }

    async fn forward_step(
        &self,
        owner: &heatherhollow_types::InstanceName,
        step: TransactionStep,
        call: ServiceCall,
    ) -> Box<dyn AnswerStream> {
        let deadline = call.deadline;
        let body = ForwardedCall::Service(call).encode();
        match self.call_peer(owner, body, deadline).await {
            Ok(stream) => stream,
            Err(PeerError::NotSent) => {
                EndedStream::refused(RefusalReason::TransactionLost, Duration::ZERO)
            }
            Err(PeerError::LinkLost | PeerError::Timeout) => {
                let outcome = match step {
                    TransactionStep::Commit => {
                        RequestOutcome::Unknown(UnknownReason::ConnectionLost)
                    }
                    _ => RequestOutcome::Failed(FailureReason::RolledBack),
                };
                EndedStream::boxed(outcome)
            }
        }
    }
}

fn refusal(reason: RefusalReason, retry_after: Duration) -> RequestOutcome {
    RequestOutcome::not_run(reason, retry_after)
}

/// A stream of which the first part was looked at.
struct ResumedStream {
    first: Option<AnswerPart>,
    stream: Box<dyn AnswerStream>,
}

#[async_trait]
impl AnswerStream for ResumedStream {
    async fn next_part(&mut self) -> Option<AnswerPart> {
        match self.first.take() {
            Some(part) => Some(part),
            None => self.stream.next_part().await,
        }
    }
}

#[async_trait]
impl CallerStream for EntryStream {
    async fn next_part(&mut self) -> Option<CallerPart> {
        if self.is_ended {
            return None;
        }
        loop {
            match self.stream.next_part().await {
                Some(AnswerPart::Head(head)) => self.head = Some(head),
                Some(AnswerPart::Row(row)) => {
                    self.rows += 1;
                    return Some(CallerPart::Row(row));
                }
                Some(AnswerPart::End(end)) => return Some(self.end(end)),
                None => {
                    let is_read = self.session.as_ref().is_none_or(|session| session.is_read);
                    let outcome = if is_read {
                        RequestOutcome::Failed(FailureReason::Interrupted)
                    } else {
                        RequestOutcome::Unknown(UnknownReason::ConnectionLost)
                    };
                    return Some(self.end(AnswerEnd::of(outcome)));
                }
            }
        }
    }
}

impl EntryStream {
    fn end(&mut self, end: AnswerEnd) -> CallerPart {
        self.is_ended = true;
        let note = EndNote::read(&end.extra);
        let mut outcome = end.outcome;
        let session = self.session.take().map(|mut session| {
            if let (true, RequestOutcome::Unknown(_)) = (session.is_read, outcome) {
                outcome = RequestOutcome::Failed(FailureReason::Interrupted);
            }
            let positions = [self.head, end.position, note.uncertain_position()];
            let terms = positions
                .into_iter()
                .flatten()
                .map(|position| position.term);
            session.seen_term = self.engine.note_term(&session.group, terms.max());
            session.apply(outcome, &end, &note, self.head);
            self.engine.codec.encode(&session.token)
        });
        let metrics = self.engine.metrics();
        metrics.record_outcome(outcome);
        let took = self.engine.clock().now().since(self.arrived);
        metrics.duration.observe(took.as_secs_f64());
        CallerPart::End(CallerEnd {
            outcome,
            detail: end.detail,
            rows: self.rows,
            session: session.unwrap_or_default(),
            transaction: note.transaction.parse().ok(),
            target: note.target.parse().ok(),
            is_replica: note.is_replica,
            age: Duration::from_micros(note.age_micros),
            is_recorded: end.is_recorded,
        })
    }
}

impl Drop for EntryStream {
    fn drop(&mut self) {
        self.engine.streams.fetch_sub(1, Ordering::Relaxed);
        if !self.is_ended {
            let outcome = RequestOutcome::Failed(FailureReason::Interrupted);
            self.engine.metrics().record_outcome(outcome);
        }
    }
}

impl SessionUpdate {
    fn apply(
        &mut self,
        outcome: RequestOutcome,
        end: &AnswerEnd,
        note: &EndNote,
        head: Option<GroupPosition>,
    ) {
        match outcome {
            RequestOutcome::Done => {
                if let Some(position) = end.position.filter(|p| p.position > LogPosition(0)) {
                    self.token.record_write(&self.group, position);
                }
                if let (true, Some(head)) = (note.is_head_settled, head) {
                    self.token.clear_unknown(&self.group, head);
                }
            }
            RequestOutcome::Unknown(_) => {
                let known = note.uncertain_position().map(|position| position.term);
                let term = known.unwrap_or(self.seen_term);
                self.token.record_unknown(&self.group, term);
            }
            RequestOutcome::Failed(FailureReason::PositionLost) => {
                if let ReadRequirement::AtLeast(lost) = self.requirement {
                    self.token.record_lost_position(&self.group, lost);
                }
            }
            RequestOutcome::Failed(_) | RequestOutcome::NotRun { .. } => {}
        }
    }
}
