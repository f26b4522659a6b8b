//! Answers that are held until there is evidence for them: reads of the primary until the primary
//! is proved to have led, and commits until a listed replica that stays has a copy.
//!
//! This protects against primaries that are cut off, and against targets that come and go while a
//! target is being replaced.

use std::time::Duration;

use log::info;

use heatherhollow_types::MonoTime;
use heatherhollow_types::RetryReason;
use heatherhollow_types::UnknownReason;

use crate::core::ConnectionLocation;
use crate::core::SessionGateway;
use crate::group::GroupIndex;
use crate::message::ClientId;
use crate::message::TargetAnswer;
use crate::message::TargetCall;
use crate::pool::ControlPurpose;
use crate::session::AnswerProof;
use crate::session::RequestKind;
use crate::session::RequestStage;
use crate::statistics::LatencyKind;

/// Interval between calls that ask replicas for a commit; about the usual replication delay.
const REPLICATION_QUERY_INTERVAL: Duration = Duration::from_millis(20);

impl SessionGateway {
    /// Returns what the answer to a client's current request needs, or `None` if it can be
    /// delivered at once.
    pub(crate) fn required_proof(
        &self,
        group: GroupIndex,
        client: ClientId,
        now: MonoTime,
    ) -> Option<AnswerProof> {
        let session = self.client(client)?;
        let request = session.request.as_ref()?;
        let is_synchronous = self.groups[group.0].is_synchronous();
        if session.is_committing() && is_synchronous {
            // A copy is required even if the target is no longer known to lead, since its
            // transaction may outlast its time as the primary.
            return Some(AnswerProof::Replicated);
        }
        let open = session.open_transaction();
        let is_verified = open.is_some_and(|open| open.is_verified);
        let is_read = request.kind == RequestKind::Read;
        if is_verified || !request.is_at_primary || (is_synchronous && !is_read) {
            return None;
        }
        // If commits need no copy on a replica, a write has to be proved at a time after its
        // commit.
        let read_started_at = session.evidence_needed_since().filter(|_| is_read);
        Some(AnswerProof::LedSince(read_started_at.unwrap_or(now)))
    }

    /// Returns whether there is the evidence that an answer needs.
    pub(crate) fn has_proof(
        &self,
        group: GroupIndex,
        client: ClientId,
        answer: &TargetAnswer,
        proof: AnswerProof,
        now: MonoTime,
    ) -> bool {
        match proof {
            AnswerProof::LedSince(needed_at) => self.is_leadership_proved(client, needed_at),
            AnswerProof::Replicated => {
                let copied = |position| self.groups[group.0].is_replicated(position, now);
                answer.position.is_some_and(copied)
            }
        }
    }

    /// Holds an answer until there is evidence for it, and requests the evidence.
    pub(crate) fn hold_answer(
        &mut self,
        location: ConnectionLocation,
        client: ClientId,
        answer: TargetAnswer,
        proof: AnswerProof,
        now: MonoTime,
    ) {
        let Some(session) = self.client_mut(client) else {
            return;
        };
        let is_pinned = session.open_transaction().is_some();
        if let Some(request) = &mut session.request {
            request.stage = RequestStage::Held { answer, proof };
        }
        if !is_pinned {
            self.release_connection(location.connection, now);
        }
        let state = &mut self.groups[location.group.0];
        state.held_clients.push(client);
        match proof {
            AnswerProof::LedSince(needed_at) => state.request_evidence(needed_at),
            AnswerProof::Replicated => self.query_replication(location.group, now),
        }
    }

    /// Records a commit that a listed replica has as evidence that the primary led when the commit
    /// was sent: the replica took its record after that, so no promotion had paused all replicas
    /// before.
    pub(crate) fn record_replicated_commit(&mut self, client: ClientId, sent_at: MonoTime) {
        let Some(session) = self.client(client) else {
            return;
        };
        let Some(request) = session.request.as_ref().filter(|r| r.is_at_primary) else {
            return;
        };
        let is_committing = session.is_committing();
        let (group, term) = (request.group, request.term);
        let state = &mut self.groups[group.0];
        if is_committing && state.is_synchronous() && state.term == term {
            state.record_leadership(sent_at);
        }
    }

    /// Returns whether the primary that the client's request was sent to is proved to have led at
    /// `needed_at` or later.
    pub(crate) fn is_leadership_proved(&self, client: ClientId, needed_at: MonoTime) -> bool {
        let Some(request) = self.client(client).and_then(|s| s.request.as_ref()) else {
            return false;
        };
        let state = &self.groups[request.group.0];
        state.term == request.term
            && state
                .leadership_proved_at
                .is_some_and(|proved_at| proved_at >= needed_at)
    }

    /// Describes the terms and the evidence behind a client's current answer for its log line: the
    /// group's term now, the term that the statement was sent in, the term that its transaction was
    /// begun in, and how long ago the primary has to have led and is proved to have led.
    pub(crate) fn describe_evidence(&self, client: ClientId, now: MonoTime) -> String {
        let Some(session) = self.client(client) else {
            return String::new();
        };
        let Some(request) = &session.request else {
            return String::new();
        };
        let state = &self.groups[request.group.0];
        let open = session.open_transaction();
        let begun_in_term = open.and_then(|open| open.begun_in_term);
        let age = |time: Option<MonoTime>| {
            time.map_or("none".to_string(), |time| {
                now.since(time).as_millis().to_string()
            })
        };
        format!(
            "group={} term={} sent_in={} begun_in={} at_primary={} proved_before={} needed_ms={} \
             led_ms={}",
            state.name,
            state.term,
            request.term,
            begun_in_term.map_or("none".to_string(), |term| term.to_string()),
            request.is_at_primary,
            open.is_some_and(|open| open.is_verified),
            age(session.evidence_needed_since()),
            age(state.leadership_proved_at)
        )
    }

    /// Asks a replica of a group whether it has the commits whose answers are held.
    ///
    /// The replica that was asked last is asked first, and the next one if that replica did not
    /// have a waiting commit. Replicas usually have nearly all commits at the same time, and each
    /// call takes a slot, so one replica is asked at a time.
    pub(crate) fn query_replication(&mut self, group: GroupIndex, now: MonoTime) {
        let state = &self.groups[group.0];
        let commits = state.held_clients.iter().filter_map(|client| {
            let request = self.client(*client)?.request.as_ref()?;
            let is_commit = matches!(
                request.stage,
                RequestStage::Held {
                    proof: AnswerProof::Replicated,
                    ..
                }
            );
            is_commit.then_some(request.sent_at)
        });
        let Some(oldest) = commits.min() else {
            return;
        };
        let last_query = state.last_replication_query;
        if last_query.is_some_and(|(_, at)| now.since(at) < REPLICATION_QUERY_INTERVAL) {
            return;
        }
        let mut replicas = state.durable_replicas(now).collect::<Vec<_>>();
        replicas.sort_by_key(|(_, pool)| {
            let is_remote = self.identity.is_remote(&pool.entry.data_centre);
            (pool.is_unreachable(), is_remote)
        });
        let last_index =
            last_query.and_then(|(target, _)| replicas.iter().position(|(i, _)| *i == target));
        let has_missed_commit = last_query.is_some_and(|(_, at)| at >= oldest);
        let next = match last_index {
            Some(i) if has_missed_commit => (i + 1) % replicas.len(),
            last_index => last_index.unwrap_or(0),
        };
        let Some((target, _)) = replicas.get(next) else {
            return;
        };
        let target = *target;
        let state = &mut self.groups[group.0];
        state.last_replication_query = Some((target, now));
        state.queue_control(target, ControlPurpose::Observe, TargetCall::Status, now);
    }

    /// Delivers held answers for which there is evidence now. Answers from an earlier term are
    /// ended as unproved.
    pub(crate) fn release_held_answers(&mut self, group: GroupIndex, now: MonoTime) {
        let held = std::mem::take(&mut self.groups[group.0].held_clients);
        let mut waiting = Vec::new();
        for client in held {
            let Some(request) = self.client(client).and_then(|s| s.request.as_ref()) else {
                continue;
            };
            let RequestStage::Held { answer, proof } = &request.stage else {
                continue;
            };
            let is_proved = self.has_proof(group, client, answer, *proof, now);
            if request.term != self.groups[group.0].term {
                self.end_unproved_request(client, now);
            } else if is_proved {
                let answer = answer.clone();
                let sent_at = request.sent_at;
                if *proof == AnswerProof::Replicated {
                    self.record_replicated_commit(client, sent_at);
                }
                self.statistics
                    .latency(LatencyKind::Evidence, now.since(sent_at));
                self.deliver_answer(client, answer, now);
            } else {
                waiting.push(client);
            }
        }
        waiting.append(&mut self.groups[group.0].held_clients);
        self.groups[group.0].held_clients = waiting;
    }

    /// Ends a request whose answer cannot be proved fresh. A single read is routed again, a
    /// transaction is aborted, and a single write or a commit is reported as in doubt.
    pub(crate) fn end_unproved_request(&mut self, client: ClientId, now: MonoTime) {
        let Some(session) = self.client(client) else {
            return;
        };
        let Some(request) = &session.request else {
            return;
        };
        let group = request.group;
        let kind = request.kind;
        let is_open = session.open_transaction().is_some();
        if self.may_log_request("answer_unproved", "no_evidence", client, now) {
            let evidence = self.describe_evidence(client, now);
            let Some(request) = self.client(client).and_then(|s| s.request.as_ref()) else {
                return;
            };
            info!(
                "answer_unproved id={} client={client} sent_to={} waited_ms={} {evidence}",
                request.query.id,
                request.sent_to,
                now.since(request.sent_at).as_millis()
            );
        }
        self.groups[group.0]
            .held_clients
            .retain(|held| *held != client);
        match kind {
            RequestKind::Read if !is_open => {
                self.statistics.retried(RetryReason::NotPrimary);
                self.requeue(client, now);
            }
            RequestKind::Read => self.abort_transaction(client, now),
            RequestKind::Write if is_open => self.abort_transaction(client, now),
            RequestKind::Write | RequestKind::Commit => {
                self.mark_in_doubt(client, UnknownReason::PrimaryReplaced, now);
            }
        }
    }
}
