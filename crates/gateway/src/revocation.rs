//! Revocation of keys: which sessions end with a key, and which statements may still be sent.
//!
//! With strict revocation, a statement that needs a tenant is sent to a target or home only if there
//! is a recent proof that the catalog is the newest. An instance that is cut off from the store, or
//! was paused, thus refuses what it can no longer check. Without strict revocation, every check for
//! a proof succeeds.

use std::time::Duration;

use log::info;
use log::warn;

use heatherhollow_tenants::KeyDigest;
use heatherhollow_tenants::TenantDirectory;
use heatherhollow_tenants::TenantName;
use heatherhollow_types::FailureReason;
use heatherhollow_types::MonoTime;
use heatherhollow_types::RefusalReason;

use crate::action::GatewayAction;
use crate::core::SessionGateway;
use crate::message::ClientCode;
use crate::message::ClientError;
use crate::message::ClientId;
use crate::session::ClientSession;
use crate::session::RequestStage;
use crate::session::SessionTransaction;
use crate::statement::Statement;
use crate::waiting::RETRY_ELSEWHERE;

/// Time by which a proof of the catalog must be younger than the revocation limit.
///
/// A watch may receive nothing for one second while the store drops its history. The rest is for the
/// path from the check to the target; statements that were sent by their clients before the limit
/// may run after it.
pub const REVOCATION_MARGIN: Duration = Duration::from_millis(1_100);

const UNPROVED_TEXT: &str = "this instance cannot check the key now";

impl SessionGateway {
    /// Returns whether revocation is strict.
    pub(crate) fn is_strict(&self) -> bool {
        self.settings.revocation_limit.is_some()
    }

    /// Returns whether there is a proof of the catalog that is recent enough for statements that
    /// need a tenant.
    pub(crate) fn is_catalog_proved(&self, now: MonoTime) -> bool {
        let Some(limit) = self.settings.revocation_limit else {
            return true;
        };
        let max_age = limit.saturating_sub(REVOCATION_MARGIN);
        self.catalog_proved_at
            .is_some_and(|at| now.since(at) <= max_age)
    }

    /// Returns the age of the newest proof of the catalog; `None` if there is none, or revocation is
    /// not strict.
    pub fn catalog_proof_age(&self, now: MonoTime) -> Option<Duration> {
        let proved_at = self.catalog_proved_at.filter(|_| self.is_strict());
        proved_at.map(|at| now.since(at))
    }

    /// Records that the catalog was the newest at a time.
    pub(crate) fn record_catalog_proof(&mut self, at: MonoTime, now: MonoTime) {
        self.catalog_proved_at = self.catalog_proved_at.max(Some(at.min(now)));
    }

    /// Logs when the proof of the catalog becomes too old, and when there is a recent one again.
    pub(crate) fn log_catalog_proof(&mut self, now: MonoTime) {
        let is_missing = self.catalog.is_some() && !self.is_catalog_proved(now);
        if is_missing == self.is_proof_missing {
            return;
        }
        self.is_proof_missing = is_missing;
        let age = self.catalog_proof_age(now);
        let age_ms = age.map_or("none".to_string(), |age| age.as_millis().to_string());
        if is_missing {
            warn!("catalog_proof_missing age_ms={age_ms}");
        } else {
            info!("catalog_proof_regained age_ms={age_ms}");
        }
    }

    /// Returns whether a statement that arrived may run as far as the proof of the catalog is
    /// concerned. If not, the client has been answered.
    ///
    /// Statements that only end a transaction without effect need no proof.
    pub(crate) fn check_arrival(
        &mut self,
        id: ClientId,
        statement: &Statement,
        now: MonoTime,
    ) -> bool {
        let Some(session) = self.client(id) else {
            return false;
        };
        let needs_proof = session.tenant.is_some()
            && !matches!(session.transaction, SessionTransaction::Failed { .. })
            && *statement != Statement::Rollback;
        if !needs_proof || self.is_catalog_proved(now) {
            return true;
        }
        if session.open_transaction().is_some_and(|open| open.has_run) {
            self.abort_at_arrival(id, statement, RETRY_ELSEWHERE, now);
        } else {
            self.statistics.refused(RefusalReason::Unreachable);
            let error = ClientError {
                retry_after: Some(RETRY_ELSEWHERE),
                ..ClientError::new(ClientCode::Busy, UNPROVED_TEXT)
            };
            self.refuse_at_arrival(id, statement, error, now);
            if let Some(GatewayAction::AnswerClient { answer, .. }) = self.actions.last_mut() {
                answer.is_isolated = true;
            }
        }
        false
    }

    /// Answers a statement for which no request exists yet with the error that its transaction was
    /// rolled back.
    pub(crate) fn abort_at_arrival(
        &mut self,
        id: ClientId,
        statement: &Statement,
        retry_after: Duration,
        now: MonoTime,
    ) {
        self.statistics.failed(FailureReason::RolledBack);
        self.statistics.refused(RefusalReason::TransactionLost);
        let error = ClientError {
            retry_after: Some(retry_after),
            ..ClientError::new(ClientCode::Aborted, "the transaction was rolled back")
        };
        self.refuse_at_arrival(id, statement, error, now);
    }

    /// Answers a statement for which no request exists yet with an error, and ends its transaction.
    fn refuse_at_arrival(
        &mut self,
        id: ClientId,
        statement: &Statement,
        error: ClientError,
        now: MonoTime,
    ) {
        let is_open = self
            .client(id)
            .and_then(ClientSession::open_transaction)
            .is_some();
        self.end_transaction(id, now);
        if is_open
            && *statement != Statement::Commit
            && let Some(session) = self.client_mut(id)
        {
            session.transaction = SessionTransaction::Failed { is_reported: true };
        }
        self.send_error(id, error);
    }

    /// Returns whether the current statement of a client may be sent to a target or home now. If
    /// not, the client has been answered and holds no connection.
    pub(crate) fn check_sending(&mut self, id: ClientId, now: MonoTime) -> bool {
        let Some(session) = self.client(id) else {
            return true;
        };
        let Some(request) = session
            .request
            .as_ref()
            .filter(|_| session.tenant.is_some())
        else {
            return true;
        };
        if session.is_revoked {
            self.reject_unauthorized(id, now);
            return false;
        }
        if self.is_catalog_proved(now) {
            return true;
        }
        let open = session.open_transaction();
        if open.is_some_and(|open| open.has_run) {
            self.abort_transaction(id, now);
            return false;
        }
        if let (RequestStage::Preparing(connection), None) = (&request.stage, open) {
            self.roll_back(*connection, now);
        }
        let reason = RefusalReason::Unreachable;
        self.refuse_request(id, ClientCode::Busy, reason, UNPROVED_TEXT, now);
        false
    }

    /// Ends the sessions whose keys the catalog no longer contains, and moves those whose keys
    /// belong to another tenant now.
    ///
    /// Statements that were sent to a target or home are finished first. An instance that received a
    /// statement from another one ends only its own part of the session.
    pub(crate) fn end_revoked_sessions(&mut self, now: MonoTime) {
        if !self.requires_keys() {
            return;
        }
        let directory = self.directory().cloned();
        let version = self.catalog_version();
        let mut revoked = Vec::new();
        let mut moved = Vec::new();
        let mut newly_revoked = 0;
        for session in &mut self.clients {
            // The catalog of the instance that forwards a session may be newer than this one.
            let Some(tenant) = session
                .tenant
                .as_ref()
                .filter(|_| session.resolved_in <= version)
            else {
                continue;
            };
            let holder = find_holder(directory.as_deref(), session.key.as_ref());
            if let Some(holder) = holder.filter(|holder| *holder != tenant) {
                moved.push((session.id, holder.clone()));
            }
            let was_revoked = std::mem::replace(&mut session.is_revoked, holder.is_none());
            if holder.is_none() {
                newly_revoked += usize::from(!was_revoked && !session.is_forwarded);
                revoked.push(session.id);
            }
        }
        if !revoked.is_empty() || !moved.is_empty() {
            info!(
                "keys_revoked sessions={} moved={}",
                revoked.len(),
                moved.len()
            );
        }
        self.statistics.sessions_revoked(newly_revoked);
        for id in revoked {
            self.end_revoked_session(id, now);
        }
        for (id, tenant) in moved {
            self.move_session(id, tenant, now);
        }
    }

    fn end_revoked_session(&mut self, id: ClientId, now: MonoTime) {
        let Some(session) = self.client(id) else {
            return;
        };
        let is_open = session.open_transaction().is_some();
        let is_forwarded = session.is_forwarded;
        match session.request.as_ref().map(|request| &request.stage) {
            Some(RequestStage::Queued | RequestStage::Preparing(_)) => {
                self.reject_unauthorized(id, now);
            }
            // The session ends after the answer; see `process_queries`.
            Some(_) => {}
            None if is_open && is_forwarded => {
                self.end_transaction(id, now);
                if let Some(session) = self.client_mut(id) {
                    session.transaction = SessionTransaction::Failed { is_reported: false };
                }
            }
            None if is_open || session.waiting_query.is_some() => {
                self.reject_unauthorized(id, now);
            }
            None if !is_forwarded => self.actions.push(GatewayAction::CloseClient(id)),
            None => {}
        }
    }

    /// Lets a statement that has not been sent run for the new tenant of its key. A transaction is
    /// aborted, at the latest with its next statement.
    fn move_session(&mut self, id: ClientId, tenant: TenantName, now: MonoTime) {
        let Some(session) = self.client_mut(id) else {
            return;
        };
        let stage = session.request.as_ref().map(|request| &request.stage);
        if session.open_transaction().is_some() {
            if let Some(RequestStage::Queued | RequestStage::Preparing(_)) = stage {
                self.abort_transaction(id, now);
            }
            return;
        }
        let preparing = match stage {
            Some(RequestStage::Preparing(connection)) => Some(*connection),
            _ => None,
        };
        session.tenant = Some(tenant);
        if let Some(connection) = preparing {
            self.reclaim_connection(connection, id, now);
        }
    }
}

/// Returns the tenant that holds a session's key.
fn find_holder<'a>(
    directory: Option<&'a TenantDirectory>,
    key: Option<&KeyDigest>,
) -> Option<&'a TenantName> {
    directory?.tenant_of(key?)
}
