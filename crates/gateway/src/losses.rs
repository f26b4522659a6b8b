//! Release, rollback, closing and loss of connections to targets, and their effects on clients.
//!
//! A request whose connection is lost is retried if it has certainly had no effect, fails if its
//! transaction is certainly rolled back, and is otherwise answered as in doubt.

use log::info;

use heatherhollow_failover::FailureKind;
use heatherhollow_types::FailureReason;
use heatherhollow_types::MonoTime;
use heatherhollow_types::RefusalReason;
use heatherhollow_types::RetryReason;
use heatherhollow_types::TargetIndex;
use heatherhollow_types::UnknownReason;

use crate::action::ConnectError;
use crate::action::GatewayAction;
use crate::core::SessionGateway;
use crate::group::GroupIndex;
use crate::message::ClientCode;
use crate::message::ClientId;
use crate::message::SessionState;
use crate::message::TargetCall;
use crate::pool::CallPurpose;
use crate::pool::ConnectionId;
use crate::pool::ConnectionPhase;
use crate::session::RequestKind;
use crate::session::RequestStage;
use crate::session::SessionTransaction;

impl SessionGateway {
    /// Returns a connection to its pool as idle.
    pub(crate) fn release_connection(&mut self, id: ConnectionId, now: MonoTime) {
        if let Some(connection) = self.connection_mut(id) {
            connection.holder = None;
            connection.in_transaction = false;
            connection.idle_since = now;
        }
    }

    /// Releases a connection if no transaction is open on it, and closes it otherwise.
    pub(crate) fn release_or_close(
        &mut self,
        id: ConnectionId,
        state: SessionState,
        now: MonoTime,
    ) {
        if state == SessionState::Idle {
            self.release_connection(id, now);
        } else {
            self.close_connection(id);
        }
    }

    /// Rolls back the transaction on a connection and releases the connection, or closes it if a
    /// call is in progress.
    pub(crate) fn roll_back(&mut self, id: ConnectionId, now: MonoTime) {
        let Some(connection) = self.connection_mut(id) else {
            return;
        };
        if !connection.calls.is_empty() {
            self.close_connection(id);
        } else if connection.in_transaction {
            connection.holder = None;
            self.send_call(id, CallPurpose::Rollback, TargetCall::Rollback, now);
        } else {
            self.release_connection(id, now);
        }
    }

    /// Closes a connection without any effect on the request of its client, which the caller ends.
    pub(crate) fn close_connection(&mut self, id: ConnectionId) {
        if self.remove_connection(id).is_some() {
            self.actions.push(GatewayAction::CloseTarget(id));
        }
    }

    /// Closes a connection and ends the calls and the request that use it, as if it were lost.
    pub(crate) fn drop_connection(&mut self, id: ConnectionId, now: MonoTime) {
        self.actions.push(GatewayAction::CloseTarget(id));
        self.handle_connection_loss(id, ConnectError::Closed, now);
    }

    /// Closes all connections to a target and ends the calls and requests that use them.
    pub(crate) fn close_pool(&mut self, group: GroupIndex, target: TargetIndex, now: MonoTime) {
        let ids = self.groups[group.0]
            .pool(target)
            .map(|pool| pool.connections.iter().map(|c| c.id).collect::<Vec<_>>())
            .unwrap_or_default();
        for id in ids {
            self.drop_connection(id, now);
        }
    }

    /// Handles a connection that could not be opened, or that was closed or lost.
    pub(crate) fn handle_connection_loss(
        &mut self,
        id: ConnectionId,
        error: ConnectError,
        now: MonoTime,
    ) {
        let Some(location) = self.location(id) else {
            return;
        };
        let Some(connection) = self.remove_connection(id) else {
            return;
        };
        let kind = match error {
            ConnectError::Refused => FailureKind::Refused,
            ConnectError::TimedOut => FailureKind::TimedOut,
            ConnectError::Closed => FailureKind::ConnectionLost,
        };
        let state = &mut self.groups[location.group.0];
        if state.primary == Some(location.target) {
            state.monitor.probe_failed(now, kind);
            if connection.phase != ConnectionPhase::Ready {
                state
                    .monitor
                    .fresh_connection_failed(connection.created_at, kind);
            }
        }
        if let Some(pool) = state.pool_mut(location.target) {
            if connection.phase == ConnectionPhase::Ready {
                pool.must_confirm_role = true;
            } else {
                pool.open_failures += 1;
                pool.open_backoff_until = now + open_backoff(pool.open_failures);
            }
            if pool.open_failures <= 1 {
                info!(
                    "connection_lost group={} target={} error={error:?} phase={:?}",
                    pool.entry.group, pool.entry.target, connection.phase
                );
            }
        }
        for call in &connection.calls {
            if let CallPurpose::Control(purpose) = call.purpose {
                self.handle_control_failure(location.group, location.target, purpose, now);
            }
        }
        if let Some(client) = connection.holder {
            self.end_unanswered_request(client, false, now);
        }
    }

    /// Ends or requeues the request of a client whose target or home will not answer.
    ///
    /// If `has_timed_out` is set, the time limit of the statement has passed; otherwise the
    /// connection was lost.
    pub(crate) fn end_unanswered_request(
        &mut self,
        client: ClientId,
        has_timed_out: bool,
        now: MonoTime,
    ) {
        let Some(session) = self.client_mut(client) else {
            return;
        };
        let open = session.open_transaction().cloned();
        let Some(request) = &session.request else {
            if open.is_some() {
                session.transaction = SessionTransaction::Failed { is_reported: false };
            }
            return;
        };
        let (kind, stage) = (request.kind, request.stage.clone());
        let has_run = open.as_ref().is_some_and(|open| open.has_run);
        let has_written = open.as_ref().is_some_and(|open| open.has_written);
        let is_sent = matches!(
            stage,
            RequestStage::Sent(_) | RequestStage::Forwarded { .. } | RequestStage::Held { .. }
        );
        if is_sent {
            self.quota.spend(client);
        }
        match (stage, open.is_some()) {
            // The request does not use a connection, or has released it.
            (RequestStage::Queued, _) | (RequestStage::Held { .. }, false) => {}
            (_, false) if kind == RequestKind::Write && is_sent => {
                let reason = in_doubt_reason(has_timed_out);
                self.mark_in_doubt(client, reason, now);
            }
            (_, true) if kind == RequestKind::Commit && is_sent && has_written => {
                let reason = in_doubt_reason(has_timed_out);
                self.mark_in_doubt(client, reason, now);
            }
            (RequestStage::Held { .. }, true) => self.abort_transaction(client, now),
            (_, _) if has_run || (kind == RequestKind::Commit && is_sent) => {
                self.abort_transaction(client, now);
            }
            (_, is_open) if has_timed_out => {
                let code = if is_sent && !is_open {
                    ClientCode::Timeout
                } else {
                    ClientCode::Busy
                };
                let text = "the target did not answer in time";
                let reason = RefusalReason::DeadlinePassed;
                self.refuse_request(client, code, reason, text, now);
            }
            _ => {
                self.statistics.retried(RetryReason::ConnectionLost);
                if let Some(request) = self.client_mut(client).and_then(|s| s.request.as_mut()) {
                    request.failures += 1;
                }
                self.requeue(client, now);
            }
        }
    }

    /// Answers a request with the error that its transaction was rolled back. The connection is
    /// rolled back or closed.
    pub(crate) fn abort_transaction(&mut self, client: ClientId, now: MonoTime) {
        self.statistics.failed(FailureReason::RolledBack);
        let reason = RefusalReason::TransactionLost;
        let text = "the transaction was rolled back";
        self.refuse_request(client, ClientCode::Aborted, reason, text, now);
    }

    /// Answers a request with the error that the outcome of its write or commit is unknown.
    pub(crate) fn mark_in_doubt(&mut self, client: ClientId, reason: UnknownReason, now: MonoTime) {
        self.statistics.unknown(reason);
        let may_log = self.may_log_request("statement_in_doubt", reason.as_str(), client, now);
        let Some(session) = self.client_mut(client) else {
            return;
        };
        session.has_doubt = true;
        let transaction = std::mem::take(&mut session.transaction);
        let Some(request) = session.request.take() else {
            return;
        };
        // Only a commit whose answer is held still has its connection; in the other cases it is
        // closed.
        let held_connection = match (transaction, request.stage) {
            (SessionTransaction::Open(open), RequestStage::Held { answer, .. }) => {
                open.connection.map(|connection| (connection, answer.state))
            }
            _ => None,
        };
        if may_log {
            info!(
                "statement_in_doubt id={} client={client} reason={reason} took_ms={} sent_to={} \
                 term={}",
                request.query.id,
                now.since(request.received_at).as_millis(),
                request.sent_to,
                request.term
            );
        }
        if let Some((connection, state)) = held_connection {
            self.release_or_close(connection, state, now);
        }
        let text = "the outcome is not known";
        self.refuse_locally(client, ClientCode::InDoubt, text);
        self.process_queries(client, now);
    }
}

fn in_doubt_reason(has_timed_out: bool) -> UnknownReason {
    if has_timed_out {
        UnknownReason::DeadlinePassed
    } else {
        UnknownReason::ConnectionLost
    }
}

/// Returns the delay before the next attempt to open a connection, after `failures` consecutive
/// failures.
fn open_backoff(failures: u32) -> std::time::Duration {
    let factor = 1_u32 << failures.min(4);
    std::time::Duration::from_millis(25) * factor
}
