//! Finds an instance that can run a call at a target, and runs calls on the connections of this one.

use std::sync::Arc;
use std::sync::atomic::Ordering;

use async_trait::async_trait;
use bytes::Bytes;
use prost::Message;

use heatherhollow_control::permit_holder;
use heatherhollow_ports::AnswerPart;
use heatherhollow_ports::AnswerStream;
use heatherhollow_ports::CallStep;
use heatherhollow_ports::PeerCall;
use heatherhollow_ports::PeerError;
use heatherhollow_types::FailureReason;
use heatherhollow_types::InstanceName;
use heatherhollow_types::MonoTime;
use heatherhollow_types::PermitNumber;
use heatherhollow_types::RefusalReason;
use heatherhollow_types::RequestOutcome;
use heatherhollow_types::RetryReason;
use heatherhollow_types::TargetIndex;
use heatherhollow_types::UnknownReason;

use crate::call::EndNote;
use crate::call::ExecuteCall;
use crate::call::ForwardedCall;
use crate::engine::ProxyEngine;
use crate::execute::EndedStream;
use crate::execute::REFUSED_RETRY;
use crate::execute::run_in_lane;
use crate::group::GroupRunner;
use crate::lane::TargetLane;
use crate::table::DeclaredService;
use crate::transactions::OpenTransaction;

impl ProxyEngine {
    /// Runs a call at a target: here if this instance holds connections to it, else at a holder.
    pub(crate) async fn execute(
        self: &Arc<Self>,
        service: &Arc<DeclaredService>,
        runner: &Arc<GroupRunner>,
        call: ExecuteCall,
    ) -> Box<dyn AnswerStream> {
        let is_read = call.call.is_read_only;
        let target = call.target;
        runner.load(target).call_started(is_read);
        let started = self.clock.now();
        let stream = self.execute_anywhere(service, call).await;
        Box::new(CountedStream {
            stream,
            runner: runner.clone(),
            target,
            is_read,
            started,
        })
    }

    async fn execute_anywhere(
        self: &Arc<Self>,
        service: &Arc<DeclaredService>,
        call: ExecuteCall,
    ) -> Box<dyn AnswerStream> {
        if self
            .find_lane(service, call.target)
            .is_some_and(|lane| lane.has_permits())
        {
            return self.execute_here(service, call).await;
        }
        let is_read = call.call.is_read_only;
        let deadline = call.deadline;
        let holders = self.holders(service, call.target);
        let body = ForwardedCall::Execute(call).encode();
        for holder in holders {
            match self.call_peer(&holder, body.clone(), deadline).await {
                Ok(stream) => return stream,
                Err(PeerError::NotSent) => self.metrics.record_retry(RetryReason::NotSent),
                Err(PeerError::LinkLost | PeerError::Timeout) if is_read => {
                    let outcome = RequestOutcome::Failed(FailureReason::Interrupted);
                    return EndedStream::boxed(outcome);
                }
                Err(PeerError::LinkLost | PeerError::Timeout) => {
                    let reason = UnknownReason::ConnectionLost;
                    return EndedStream::boxed(RequestOutcome::Unknown(reason));
                }
            }
        }
        EndedStream::refused(RefusalReason::Unreachable, REFUSED_RETRY)
    }

    /// Instances that hold permits for a target, by this instance's view.
    pub(crate) fn holders(
        &self,
        service: &DeclaredService,
        target: TargetIndex,
    ) -> Vec<InstanceName> {
        let Some(table) = self.table() else {
            return Vec::new();
        };
        let live = self.view().live();
        let mut holders = service
            .permits
            .count
            .work_range()
            .filter_map(|permit| {
                let permit = PermitNumber(permit);
                permit_holder(&service.permits, target, permit, &live, &table.topology).cloned()
            })
            .filter(|holder| *holder != self.own.instance)
            .collect::<Vec<_>>();
        holders.dedup();
        if !holders.is_empty() {
            // Spreads the calls over the holders.
            let shift = self.streams.load(Ordering::Relaxed) % holders.len();
            holders.rotate_left(shift);
        }
        holders
    }

    pub(crate) async fn call_peer(
        &self,
        peer: &InstanceName,
        body: Bytes,
        deadline: MonoTime,
    ) -> Result<Box<dyn AnswerStream>, PeerError> {
        let peers = self.peers.get().ok_or(PeerError::NotSent)?;
        let time_left = deadline - self.clock.now();
        peers.call(peer, PeerCall { body, time_left }).await
    }

    /// Runs a call on a connection of this instance.
    pub(crate) async fn execute_here(
        self: &Arc<Self>,
        service: &Arc<DeclaredService>,
        call: ExecuteCall,
    ) -> Box<dyn AnswerStream> {
        let Some(lane) = self.find_lane(service, call.target) else {
            return EndedStream::refused(RefusalReason::Unreachable, REFUSED_RETRY);
        };
        let is_begin = call.call.step == CallStep::Begin;
        if is_begin && !self.may_open_transaction(service, call.target, &lane) {
            return EndedStream::refused(RefusalReason::TooMany, REFUSED_RETRY);
        }
        let (target, term) = (call.target, call.call.term.unwrap_or_default());
        let team = call.team.clone();
        match run_in_lane(&lane, call, self.clock.clone()).await {
            Err(outcome) => EndedStream::boxed(outcome),
            Ok(stream) if !is_begin => Box::new(stream),
            Ok(mut stream) => {
                let mut end = loop {
                    match stream.next_part().await {
                        Some(AnswerPart::End(end)) => break end,
                        Some(_) => {}
                        None => {
                            let reason = FailureReason::RolledBack;
                            return EndedStream::boxed(RequestOutcome::Failed(reason));
                        }
                    }
                };
                if end.outcome == RequestOutcome::Done
                    && let Some(mut lent) = stream.take_connection()
                {
                    lent.mark_clean(false);
                    let transaction = OpenTransaction {
                        team,
                        service: service.settings.name.clone(),
                        target,
                        term,
                        lent,
                        idle_limit: service.settings.idle_transaction_limit(),
                    };
                    let id = self.transactions.insert(transaction, self.clock.now());
                    let note = EndNote {
                        transaction: id.to_string(),
                        ..EndNote::default()
                    };
                    end.extra = note.encode_to_vec();
                }
                EndedStream::of(end)
            }
        }
    }

    /// Leaves at least one connection of a lane to single writes and reads, if it has two or more.
    fn may_open_transaction(
        &self,
        service: &DeclaredService,
        target: TargetIndex,
        lane: &TargetLane,
    ) -> bool {
        let permits = lane.counts().0.permits;
        let limit = permits.saturating_sub(1).max(1);
        self.transactions
            .count_at(&service.team, &service.settings.name, target)
            < limit
    }
}

/// Counts a call as under way until its answer has ended.
struct CountedStream {
    stream: Box<dyn AnswerStream>,
    runner: Arc<GroupRunner>,
    target: TargetIndex,
    is_read: bool,
    started: MonoTime,
}

#[async_trait]
impl AnswerStream for CountedStream {
    async fn next_part(&mut self) -> Option<AnswerPart> {
        self.stream.next_part().await
    }
}

impl Drop for CountedStream {
    fn drop(&mut self) {
        let now = self.runner.clock().now();
        let took = now.since(self.started);
        self.runner
            .load(self.target)
            .call_ended(self.is_read, took, now);
    }
}
