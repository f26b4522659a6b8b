//! Tenants of sessions: who may run statements.
//!
//! A session keeps the digest of its key. The key is resolved for each statement outside of a
//! transaction and each begin, so that a change of the declarations takes effect on open sessions.
//! Nothing here has an effect where no tenants are declared and revocation is not strict.

use std::sync::Arc;
use std::time::Duration;

use log::info;

use heatherhollow_tenants::KeyDigest;
use heatherhollow_tenants::TenantDirectory;
use heatherhollow_tenants::TenantName;
use heatherhollow_types::MonoTime;

use crate::action::GatewayAction;
use crate::core::SessionGateway;
use crate::forward::ForwardedTenant;
use crate::message::ClientCode;
use crate::message::ClientError;
use crate::message::ClientId;
use crate::session::RequestStage;
use crate::statement::Statement;

/// The session has no key, or one that no tenant holds.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Unauthorized;

impl SessionGateway {
    pub(crate) fn directory(&self) -> Option<&Arc<TenantDirectory>> {
        self.catalog.as_ref()?.tenants.as_ref()
    }

    /// Returns whether tenants are declared.
    pub(crate) fn has_tenants(&self) -> bool {
        self.directory().is_some()
    }

    /// Returns the version of the catalog; 0 before the first one.
    pub(crate) fn catalog_version(&self) -> u64 {
        self.catalog.as_ref().map_or(0, |catalog| catalog.version)
    }

    /// Returns the tenant that holds a key; `None` if the route is public or sessions need no keys.
    pub(crate) fn resolve_tenant(
        &self,
        key: Option<&KeyDigest>,
        is_public: bool,
    ) -> Result<Option<TenantName>, Unauthorized> {
        if is_public || !self.requires_keys() {
            return Ok(None);
        }
        let tenant = key.and_then(|key| self.directory()?.tenant_of(key));
        tenant.cloned().map(Some).ok_or(Unauthorized)
    }

    /// Returns the tenant of a forwarded session.
    ///
    /// The other instance's catalog decides if it is newer than this instance's.
    pub(crate) fn resolve_forwarded(
        &self,
        sent: &ForwardedTenant,
    ) -> Result<Option<TenantName>, Unauthorized> {
        if self.catalog_version() < sent.catalog_version {
            return Ok(Some(sent.name.clone()));
        }
        match self.resolve_tenant(Some(&sent.key), false)? {
            Some(tenant) => Ok(Some(tenant)),
            None => Ok(Some(sent.name.clone())),
        }
    }

    /// Returns whether sessions need keys: tenants are declared, or revocation is strict.
    ///
    /// With strict revocation and no declared tenants, no key is valid.
    pub(crate) fn requires_keys(&self) -> bool {
        self.directory().is_some() || self.is_strict()
    }

    /// Resolves the key of a client's session before a statement is processed.
    ///
    /// Returns false if the statement must not run; the client has then been answered.
    pub(crate) fn authorize_statement(
        &mut self,
        id: ClientId,
        statement: &Statement,
        now: MonoTime,
    ) -> bool {
        let is_forwarded = self.client(id).is_some_and(|session| session.is_forwarded);
        // The keys of forwarded sessions are resolved when their statements arrive.
        let needs_key = !is_forwarded && self.requires_keys();
        if needs_key && !self.resolve_session(id, statement, now) {
            return false;
        }
        self.check_arrival(id, statement, now)
    }

    /// Resolves the key of a session of this instance; returns false if the client was refused.
    fn resolve_session(&mut self, id: ClientId, statement: &Statement, now: MonoTime) -> bool {
        let Some(session) = self.client(id) else {
            return false;
        };
        let open = session.open_transaction();
        let is_public = match open {
            Some(open) => open.route.is_public,
            None => {
                let route = session.database.as_deref().and_then(|database| {
                    self.catalog
                        .as_ref()
                        .and_then(|catalog| catalog.route(database))
                });
                // A database without a route is refused when the statement is routed.
                route.is_none_or(|route| route.is_public)
            }
        };
        let is_open = open.is_some();
        let resolved = self.resolve_tenant(session.key.as_ref(), is_public);
        let Ok(tenant) = resolved else {
            self.reject_unauthorized(id, now);
            return false;
        };
        let version = self.catalog_version();
        let Some(session) = self.client_mut(id) else {
            return false;
        };
        let is_moved = is_open && session.tenant != tenant;
        session.record_tenant(tenant, version);
        if is_moved && *statement != Statement::Rollback {
            // Statements of the key's new tenant must not run on the transaction's connection.
            self.abort_at_arrival(id, statement, Duration::ZERO, now);
            return false;
        }
        true
    }

    /// Refuses a session without a valid key and closes its connection.
    ///
    /// An open transaction is rolled back. A forwarded statement is answered with the error, as its
    /// client is connected to another instance.
    pub(crate) fn reject_unauthorized(&mut self, id: ClientId, now: MonoTime) {
        if self.may_log(now) {
            info!("session_unauthorized client={id}");
        }
        if let Some(session) = self.client(id)
            && let Some(request) = &session.request
            && let (RequestStage::Preparing(connection), None) =
                (&request.stage, session.open_transaction())
        {
            self.roll_back(*connection, now);
        }
        self.end_transaction(id, now);
        let Some(session) = self.client_mut(id) else {
            return;
        };
        session.pending_queries.clear();
        let is_waiting = session.waiting_query.is_some();
        let request = session.request.take();
        let is_forwarded = session.is_forwarded;
        if let Some(request) = request {
            let state = &mut self.groups[request.group.0];
            state.queue.retain(|queued| *queued != id);
            state.held_clients.retain(|held| *held != id);
        }
        if is_waiting {
            self.end_token_wait(id);
        }
        let text = "the key is not valid";
        if is_forwarded {
            self.refuse_locally(id, ClientCode::Unauthorized, text);
        } else {
            self.actions.push(GatewayAction::RejectClient {
                client: id,
                error: ClientError::new(ClientCode::Unauthorized, text),
            });
        }
    }
}
