//! Handling of the answers of targets, and the answers to clients that follow from them.
//!
//! A client is told that a statement had no effect only if that is certain: it was not sent, the
//! target answered that it did not run, it only reads, or its transaction is rolled back because
//! the commit was never sent and the connection is closed. A write or commit that may have run is
//! answered as in doubt.

use log::Level;
use log::info;
use log::log;
use log::log_enabled;

use heatherhollow_failover::FailureKind;
use heatherhollow_types::FailureReason;
use heatherhollow_types::MonoTime;
use heatherhollow_types::RefusalReason;
use heatherhollow_types::RetryReason;
use heatherhollow_types::TargetIndex;

use crate::action::GatewayAction;
use crate::core::ConnectionLocation;
use crate::core::SessionGateway;
use crate::message::AnswerEnd;
use crate::message::ClientCode;
use crate::message::ClientError;
use crate::message::ClientId;
use crate::message::SessionState;
use crate::message::TargetAnswer;
use crate::message::TargetCall;
use crate::message::TargetCode;
use crate::pool::CallPurpose;
use crate::pool::ConnectionId;
use crate::pool::ConnectionPhase;
use crate::pool::ControlPurpose;
use crate::session::AnswerProof;
use crate::session::ClientRequest;
use crate::session::RequestKind;
use crate::session::RequestStage;
use crate::session::SessionTransaction;
use crate::statistics::LatencyKind;

impl SessionGateway {
    /// Starts the session of a connection that was opened.
    pub(crate) fn start_connection(&mut self, id: ConnectionId, now: MonoTime) {
        let Some(location) = self.location(id) else {
            // The connection was abandoned while it was being opened.
            self.actions.push(GatewayAction::CloseTarget(id));
            return;
        };
        let Some(pool) = self.groups[location.group.0].pool_mut(location.target) else {
            return;
        };
        let mut call = TargetCall::Start {
            group: pool.entry.group.clone(),
            tenant: None,
            target: pool.entry.target.clone(),
        };
        if let Some(connection) = pool.connection_mut(id) {
            connection.phase = ConnectionPhase::Starting;
            connection.opened_at = now;
            if let TargetCall::Start { tenant, .. } = &mut call {
                tenant.clone_from(&connection.tenant);
            }
        }
        self.send_call(id, CallPurpose::Start, call, now);
    }

    /// Handles the answer of a target to the oldest unanswered call on a connection.
    pub(crate) fn handle_answer(&mut self, id: ConnectionId, answer: TargetAnswer, now: MonoTime) {
        let Some(location) = self.location(id) else {
            return;
        };
        let Some(call) = self
            .connection_mut(id)
            .and_then(|connection| connection.calls.pop_front())
        else {
            info!("answer_unexpected connection={id}");
            self.drop_connection(id, now);
            return;
        };
        self.observe_answer(location, call.sent_at, &answer, now);
        match call.purpose {
            CallPurpose::Start => self.finish_start(location, &answer, now),
            CallPurpose::Setup => self.finish_setup(id, &answer, now),
            CallPurpose::Begin => self.finish_begin(location, &answer, now),
            CallPurpose::Statement => self.finish_statement(location, call.sent_at, answer, now),
            CallPurpose::Rollback => self.finish_rollback(id, &answer, now),
            CallPurpose::Control(purpose) => {
                if let Some(connection) = self.connection_mut(id) {
                    connection.idle_since = now;
                }
                self.handle_control_answer(location, purpose, call, &answer, now);
            }
        }
    }

    /// Handles the answer to [`CallPurpose::Start`].
    pub(crate) fn finish_start(
        &mut self,
        location: ConnectionLocation,
        answer: &TargetAnswer,
        now: MonoTime,
    ) {
        let id = location.connection;
        let backoff = self.settings.limit_backoff;
        let surplus_pause = self.settings.limit_surplus_pause;
        let Some(pool) = self.groups[location.group.0].pool_mut(location.target) else {
            return;
        };
        if let Some(code) = answer.error() {
            info!(
                "connection_refused group={} target={} code={code}",
                pool.entry.group, pool.entry.target
            );
            pool.open_backoff_until = now + backoff;
            pool.surplus_allowed_at = pool.surplus_allowed_at.max(now + surplus_pause);
            if *code == TargetCode::WrongTarget {
                pool.open_failures += 1;
                let opened_at = pool
                    .connection_mut(id)
                    .map(|connection| connection.created_at);
                let state = &mut self.groups[location.group.0];
                if state.primary == Some(location.target) {
                    let kind = FailureKind::Refused;
                    state.monitor.probe_failed(now, kind);
                    state
                        .monitor
                        .fresh_connection_failed(opened_at.unwrap_or(now), kind);
                }
            }
            self.close_connection(id);
            return;
        }
        pool.open_failures = 0;
        let Some(connection) = pool.connection_mut(id) else {
            return;
        };
        connection.phase = ConnectionPhase::Ready;
        connection.idle_since = now;
        if connection.is_connect_probe {
            let purpose = CallPurpose::Control(ControlPurpose::Observe);
            self.send_call(id, purpose, TargetCall::Status, now);
        } else if pool.must_confirm_role {
            self.groups[location.group.0].queue_control(
                location.target,
                ControlPurpose::Observe,
                TargetCall::Status,
                now,
            );
        }
    }

    /// Handles the answer to [`CallPurpose::Setup`].
    pub(crate) fn finish_setup(&mut self, id: ConnectionId, answer: &TargetAnswer, now: MonoTime) {
        if let Some(code) = answer.error() {
            info!("setup_failed connection={id} code={code}");
            self.drop_connection(id, now);
            return;
        }
        self.send_next_call(id, now);
    }

    /// Handles the answer to [`CallPurpose::Begin`].
    pub(crate) fn finish_begin(
        &mut self,
        location: ConnectionLocation,
        answer: &TargetAnswer,
        now: MonoTime,
    ) {
        let id = location.connection;
        let Some(connection) = self.connection_mut(id) else {
            return;
        };
        let Some(client) = connection.holder else {
            self.close_connection(id);
            return;
        };
        if answer.is_success() && answer.state == SessionState::Transaction {
            connection.in_transaction = true;
            self.send_next_call(id, now);
            return;
        }
        self.record_target_error(location, answer, now);
        self.statistics.retried(RetryReason::HolderRefused);
        self.release_or_close(id, answer.state, now);
        self.record_refusal(client, location.target, answer.error(), now);
        self.requeue(client, now);
    }

    /// Handles the answer to [`CallPurpose::Rollback`].
    pub(crate) fn finish_rollback(
        &mut self,
        id: ConnectionId,
        answer: &TargetAnswer,
        now: MonoTime,
    ) {
        if answer.is_success() && answer.state == SessionState::Idle {
            self.release_connection(id, now);
        } else {
            self.close_connection(id);
        }
    }

    /// Handles the answer to a client's statement: passes it on, holds it for evidence, or handles
    /// its error.
    pub(crate) fn finish_statement(
        &mut self,
        location: ConnectionLocation,
        sent_at: MonoTime,
        answer: TargetAnswer,
        now: MonoTime,
    ) {
        let id = location.connection;
        let holder = self.connection_mut(id).and_then(|c| c.holder);
        let Some(client) = holder.filter(|client| self.client(*client).is_some()) else {
            self.close_connection(id);
            return;
        };
        if let Some(pool) = self.groups[location.group.0].pool_mut(location.target) {
            pool.record_statement(now.since(sent_at), now);
            let has_failed = answer.error() == Some(&TargetCode::Failed);
            pool.failure_rate.record(has_failed, now);
            if answer.is_success() {
                let others = pool.statements_in_progress();
                pool.statement_limit.record_accepted(others + 1);
            }
        }
        if !answer.is_success() {
            self.handle_statement_error(location, client, answer, now);
            return;
        }
        match self.required_proof(location.group, client, now) {
            Some(proof) if !self.has_proof(location.group, client, &answer, proof, now) => {
                self.hold_answer(location, client, answer, proof, now);
            }
            proof => {
                if proof == Some(AnswerProof::Replicated) {
                    self.record_replicated_commit(client, sent_at);
                }
                self.deliver_answer(client, answer, now);
            }
        }
    }

    /// Sends a successful answer to the client and updates its session.
    pub(crate) fn deliver_answer(&mut self, client: ClientId, answer: TargetAnswer, now: MonoTime) {
        self.log_served(client, now);
        let Some(session) = self.client_mut(client) else {
            return;
        };
        let Some(request) = session.request.take() else {
            return;
        };
        let mut has_committed = request.kind == RequestKind::Write;
        let mut released_connection = None;
        match &mut session.transaction {
            SessionTransaction::Open(open) => {
                open.idle_since = now;
                open.has_run = true;
                open.is_verified |= request.is_at_primary && request.kind == RequestKind::Read;
                open.has_written |= request.kind == RequestKind::Write;
                if request.kind == RequestKind::Commit {
                    has_committed = open.has_written;
                    released_connection = open.connection;
                    session.transaction = SessionTransaction::None;
                } else {
                    has_committed = false;
                }
            }
            _ => released_connection = sent_connection(&request),
        }
        if has_committed {
            session.record_position(request.group, answer.position);
            session.has_doubt = false;
        }
        self.statistics.served(request.is_at_primary);
        self.statistics
            .latency(LatencyKind::Statement, now.since(request.received_at));
        if let Some(connection) = released_connection {
            self.release_or_close(connection, answer.state, now);
        }
        let signature = match answer.end {
            AnswerEnd::Complete { signature } => Some(signature),
            AnswerEnd::Error { .. } => None,
        };
        self.send_answer(client, Ok(signature), answer.position, answer.rows);
        self.process_queries(client, now);
    }

    /// Logs a success. The level is `info` if the term of the group has changed since the statement
    /// was sent or its transaction was begun: such answers are few, and their evidence matters the
    /// most.
    fn log_served(&mut self, client: ClientId, now: MonoTime) {
        let Some(session) = self.client(client) else {
            return;
        };
        let Some(request) = &session.request else {
            return;
        };
        let term = self.groups[request.group.0].term;
        let begun_in_term = session
            .open_transaction()
            .and_then(|open| open.begun_in_term);
        let is_across_terms = request.term != term
            || begun_in_term.is_some_and(|begun_in_term| begun_in_term != term);
        let level = if is_across_terms && self.may_log(now) {
            Level::Info
        } else {
            Level::Debug
        };
        if !log_enabled!(level) {
            return;
        }
        let evidence = self.describe_evidence(client, now);
        let Some(request) = self.client(client).and_then(|s| s.request.as_ref()) else {
            return;
        };
        log!(
            level,
            "statement_served id={} client={client} database={} sent_to={} took_ms={} attempts={} \
             {evidence}",
            request.query.id,
            request.route.database,
            request.sent_to,
            now.since(request.received_at).as_millis(),
            request.attempts
        );
    }

    /// Retries a statement that a target answered with an error, or sends the error to the client.
    pub(crate) fn handle_statement_error(
        &mut self,
        location: ConnectionLocation,
        client: ClientId,
        answer: TargetAnswer,
        now: MonoTime,
    ) {
        let id = location.connection;
        self.record_target_error(location, &answer, now);
        let AnswerEnd::Error { code, text } = &answer.end else {
            return;
        };
        let Some(session) = self.client(client) else {
            return;
        };
        let Some(request) = &session.request else {
            return;
        };
        let is_open = session.open_transaction().is_some();
        let has_run = session.open_transaction().is_some_and(|open| open.has_run);
        let has_not_run = matches!(
            code,
            TargetCode::Busy | TargetCode::Lagging | TargetCode::ReadOnly | TargetCode::NoStatement
        );
        // A read that failed at a target may succeed at another.
        let is_repeatable = request.kind == RequestKind::Read
            && request.failures + 1 < self.settings.max_failed_targets;
        let may_retry = has_not_run || (is_repeatable && *code == TargetCode::Failed);
        if may_retry && !has_run {
            self.statistics.retried(retry_reason(code));
            if is_open {
                self.roll_back(id, now);
            } else {
                self.release_or_close(id, answer.state, now);
            }
            self.record_refusal(client, location.target, Some(code), now);
            self.requeue(client, now);
            return;
        }
        if has_not_run && is_open && answer.state == SessionState::Transaction {
            // The transaction stays open, and `resend_delayed` resends the statement in it.
            self.record_refusal(client, location.target, Some(code), now);
            self.delay_statement(location, client);
            return;
        }
        self.send_target_error(location, client, code.clone(), text.clone(), now);
    }

    /// Sends a target's error to the client and ends the transaction of the statement.
    pub(crate) fn send_target_error(
        &mut self,
        location: ConnectionLocation,
        client: ClientId,
        code: TargetCode,
        text: String,
        now: MonoTime,
    ) {
        let id = location.connection;
        let may_log = self.may_log_request("statement_failed", &code.to_string(), client, now);
        let Some(session) = self.client_mut(client) else {
            return;
        };
        let needs_primary = session.needs_primary();
        let Some(request) = session.request.take() else {
            return;
        };
        if may_log {
            info!(
                "statement_failed id={} client={client} code={code} took_ms={} attempts={} \
                 sent_to={} connection={id}",
                request.query.id,
                now.since(request.received_at).as_millis(),
                request.attempts,
                request.sent_to
            );
        }
        let is_commit = request.kind == RequestKind::Commit;
        let is_open = session.open_transaction().is_some();
        let has_written = session
            .open_transaction()
            .is_some_and(|open| open.has_written);
        let client_code = client_code(&code);
        if is_open {
            session.transaction = if is_commit {
                SessionTransaction::None
            } else {
                SessionTransaction::Failed { is_reported: true }
            };
        }
        let is_outcome_unknown = matches!(client_code, ClientCode::Failed | ClientCode::Timeout);
        let may_have_committed = match request.kind {
            RequestKind::Read => false,
            RequestKind::Write => !is_open,
            RequestKind::Commit => has_written,
        };
        if is_outcome_unknown && may_have_committed && client_code == ClientCode::Timeout {
            session.has_doubt = true;
        }
        self.statistics.failed(FailureReason::Statement);
        if is_open {
            self.roll_back(id, now);
        } else {
            self.release_or_close(id, SessionState::Idle, now);
        }
        let has_not_run = matches!(
            client_code,
            ClientCode::Busy | ClientCode::Lagging | ClientCode::ReadOnly
        );
        let reason = RefusalReason::TargetRefused;
        let error = ClientError {
            retry_after: has_not_run.then(|| {
                let waited = now.since(request.received_at);
                self.retry_after(location.group, reason, needs_primary, waited, now)
            }),
            ..ClientError::new(client_code, &text)
        };
        self.send_error(client, error);
        self.process_queries(client, now);
    }

    /// Updates what is known about a target from its error.
    pub(crate) fn record_target_error(
        &mut self,
        location: ConnectionLocation,
        answer: &TargetAnswer,
        now: MonoTime,
    ) {
        let backoff = self.settings.busy_backoff;
        let state = &mut self.groups[location.group.0];
        let is_primary = state.primary == Some(location.target);
        let Some(pool) = state.pool_mut(location.target) else {
            return;
        };
        match answer.error() {
            Some(TargetCode::Busy) => {
                pool.backoff_until = now + backoff;
                pool.statement_limit.record_refused(now);
            }
            Some(TargetCode::ReadOnly) if is_primary => {
                info!(
                    "primary_read_only group={} target={}",
                    pool.entry.group, pool.entry.target
                );
                pool.must_confirm_role = true;
                state.queue_control(
                    location.target,
                    ControlPurpose::Observe,
                    TargetCall::Status,
                    now,
                );
            }
            Some(TargetCode::NoStatement) => {
                if let Some(connection) = pool.connection_mut(location.connection) {
                    connection.prepared.clear();
                }
            }
            _ => {}
        }
    }

    /// Records why a target did not run a request, so that the request is placed at another target
    /// or later.
    pub(crate) fn record_refusal(
        &mut self,
        client: ClientId,
        target: TargetIndex,
        code: Option<&TargetCode>,
        now: MonoTime,
    ) {
        let backoff = self.settings.busy_backoff;
        let lag_backoff = self.settings.lag_backoff;
        let failed_backoff = self.settings.failed_backoff;
        let Some(request) = self.client_mut(client).and_then(|s| s.request.as_mut()) else {
            return;
        };
        match code {
            Some(TargetCode::Lagging) => {
                request.avoided.retain(|(avoided, _)| *avoided != target);
                request.avoided.push((target, now + lag_backoff));
            }
            Some(TargetCode::Failed) => {
                request.avoided.push((target, now + failed_backoff));
                request.failures += 1;
            }
            Some(TargetCode::Busy | TargetCode::ReadOnly) => request.not_before = now + backoff,
            _ => {
                request.not_before = now + backoff;
                request.failures += 1;
            }
        }
    }

    fn log_restart(&self, location: ConnectionLocation) {
        if let Some(pool) = self.groups[location.group.0].pool(location.target) {
            info!(
                "restart_possible group={} target={} connection={}",
                pool.entry.group, pool.entry.target, location.connection
            );
        }
    }

    /// Updates what is known about a target and its group from an answer.
    pub(crate) fn observe_answer(
        &mut self,
        location: ConnectionLocation,
        sent_at: MonoTime,
        answer: &TargetAnswer,
        now: MonoTime,
    ) {
        // Another target has come to the address, so this is no sign of life of the expected one.
        if answer.error() == Some(&TargetCode::WrongTarget) {
            return;
        }
        let state = &mut self.groups[location.group.0];
        let may_have_restarted = state
            .pool_mut(location.target)
            .is_some_and(|pool| pool.record_answer(location.connection, sent_at, now));
        if may_have_restarted && self.may_log(now) {
            self.log_restart(location);
        }
        let state = &mut self.groups[location.group.0];
        let is_primary = state.primary == Some(location.target);
        if is_primary {
            state.monitor.probe_answered(now);
        }
        let Some(position) = answer.position else {
            return;
        };
        let is_primary =
            !state.observe_term(position.term, Some(location.target), now) && is_primary;
        // A call that was sent before `primary_since` may have run while the target was a replica.
        if is_primary && sent_at >= state.primary_since {
            let term = state.term;
            state.tracker.observe_primary(sent_at, term, position);
            state.term_start.get_or_insert(position);
            state.primary_polled_at = state.primary_polled_at.max(sent_at);
        } else if !is_primary {
            state
                .tracker
                .observe_replica(location.target, now, position);
            if let Some(pool) = state.pool_mut(location.target) {
                pool.record_position(sent_at, position);
            }
            if !state.held_clients.is_empty() {
                self.release_held_answers(location.group, now);
            }
        }
    }
}

fn sent_connection(request: &ClientRequest) -> Option<ConnectionId> {
    match request.stage {
        RequestStage::Sent(connection) => Some(connection),
        _ => None,
    }
}

fn retry_reason(code: &TargetCode) -> RetryReason {
    match code {
        TargetCode::ReadOnly => RetryReason::NotPrimary,
        TargetCode::Lagging => RetryReason::TooOld,
        _ => RetryReason::HolderRefused,
    }
}

fn client_code(code: &TargetCode) -> ClientCode {
    match code {
        TargetCode::Busy | TargetCode::WrongTarget | TargetCode::ConnectionLimit => {
            ClientCode::Busy
        }
        TargetCode::Lagging => ClientCode::Lagging,
        TargetCode::ReadOnly => ClientCode::ReadOnly,
        TargetCode::NoStatement => ClientCode::NoStatement,
        TargetCode::Failed | TargetCode::Other(_) => ClientCode::Failed,
        TargetCode::Timeout => ClientCode::Timeout,
    }
}
