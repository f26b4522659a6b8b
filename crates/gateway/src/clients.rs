//! Handlers of client events.
//!
//! Starts and ends sessions, answers statements that only change the session, and starts requests
//! for statements that need a target.

use std::time::Duration;

use log::info;

use heatherhollow_types::FailureReason;
use heatherhollow_types::GroupPosition;
use heatherhollow_types::MonoTime;
use heatherhollow_types::RefusalReason;

use crate::action::GatewayAction;
use crate::catalog::SessionRoute;
use crate::core::SessionGateway;
use crate::forward::HomeMessage;
use crate::message::ClientAnswer;
use crate::message::ClientCode;
use crate::message::ClientError;
use crate::message::ClientId;
use crate::message::ClientQuery;
use crate::session::ClientRequest;
use crate::session::ClientSession;
use crate::session::OpenTransaction;
use crate::session::PlacementState;
use crate::session::RequestKind;
use crate::session::RequestStage;
use crate::session::SessionTransaction;
use crate::statement::Statement;
use crate::tenants::Unauthorized;
use crate::waiting::RETRY_ELSEWHERE;

impl SessionGateway {
    /// Adds a session for a client that connected.
    pub(crate) fn add_client(&mut self, id: ClientId, now: MonoTime) {
        if let Err(i) = self.clients.binary_search_by_key(&id, |session| session.id) {
            self.clients.insert(i, ClientSession::new(id, now));
        }
    }

    /// Starts the session of a client for a database, or defers the start until a catalog has been
    /// read.
    pub(crate) fn start_session(&mut self, id: ClientId, database: String, now: MonoTime) {
        let route = self
            .catalog
            .as_ref()
            .map(|catalog| catalog.route(&database).map(|route| route.is_public));
        let is_known = route.map(|route| route.is_some());
        let key = self.client(id).and_then(|session| session.key);
        let is_public = route.flatten().unwrap_or(true);
        let resolved = self.resolve_tenant(key.as_ref(), is_public);
        let version = self.catalog_version();
        let is_proved = self.is_catalog_proved(now);
        let Some(session) = self.client_mut(id) else {
            return;
        };
        if session.database.is_some() || session.pending_start.is_some() {
            self.reject_malformed(id, ClientCode::Malformed, now);
            return;
        }
        match is_known {
            None => {
                session.pending_start = Some((database, now));
                return;
            }
            Some(false) => {
                let error = unknown_database_error();
                self.reject_start(id, &database, error, now);
                return;
            }
            Some(true) => {}
        }
        match resolved {
            Ok(tenant) => session.record_tenant(tenant, version),
            // The key may have been added since the last proof of the catalog.
            Err(Unauthorized) if !is_proved => {
                let text = "this instance cannot check the key now";
                let error = ClientError {
                    retry_after: Some(RETRY_ELSEWHERE),
                    ..ClientError::new(ClientCode::Busy, text)
                };
                self.reject_start(id, &database, error, now);
                return;
            }
            Err(Unauthorized) => {
                self.reject_unauthorized(id, now);
                return;
            }
        }
        session.database = Some(database);
        self.send_answer(id, Ok(None), None, Vec::new());
    }

    fn reject_start(
        &mut self,
        client: ClientId,
        database: &str,
        error: ClientError,
        now: MonoTime,
    ) {
        if self.may_log(now) {
            let code = error.code;
            info!("session_refused client={client} database={database} code={code:?}");
        }
        self.actions
            .push(GatewayAction::RejectClient { client, error });
    }

    /// Refuses sessions whose start has waited too long for the first catalog.
    pub(crate) fn expire_pending_starts(&mut self, now: MonoTime) {
        let queue_time_limit = self.settings.max_start_wait;
        let expired = self
            .clients
            .iter_mut()
            .filter_map(|session| {
                let (_, since) = session.pending_start.as_ref()?;
                if now.since(*since) < queue_time_limit {
                    return None;
                }
                Some((session.id, session.pending_start.take()?.0))
            })
            .collect::<Vec<_>>();
        for (client, database) in expired {
            let text = "no configuration has been read yet";
            let error = ClientError {
                retry_after: Some(RETRY_ELSEWHERE),
                ..ClientError::new(ClientCode::Busy, text)
            };
            self.reject_start(client, &database, error, now);
        }
    }

    /// Refuses a message that is malformed or not allowed, and closes the connection of its client.
    pub(crate) fn reject_malformed(&mut self, client: ClientId, code: ClientCode, now: MonoTime) {
        if self.may_log(now) {
            info!("client_malformed client={client} code={code:?}");
        }
        self.actions.push(GatewayAction::RejectClient {
            client,
            error: ClientError::new(code, "the message cannot be read"),
        });
    }

    /// Queues a query of a client and processes it if no other is in progress.
    pub(crate) fn handle_query(&mut self, id: ClientId, query: ClientQuery, now: MonoTime) {
        let limit = self.settings.max_pipelined;
        let Some(session) = self.client_mut(id) else {
            return;
        };
        session.last_active_at = now;
        if session.database.is_none() || session.pending_queries.len() >= limit {
            self.reject_malformed(id, ClientCode::Malformed, now);
            return;
        }
        session.pending_queries.push_back(query);
        self.process_queries(id, now);
    }

    /// Processes the client's queued queries in order until one needs a target.
    ///
    /// A session whose key was revoked while a statement was in progress ends here.
    pub(crate) fn process_queries(&mut self, id: ClientId, now: MonoTime) {
        let is_ended = self.client(id).is_some_and(|session| {
            session.is_revoked && !session.is_forwarded && session.request.is_none()
        });
        if is_ended {
            self.reject_unauthorized(id, now);
            return;
        }
        while let Some(session) = self.client_mut(id)
            && session.is_idle()
            && let Some(query) = session.pending_queries.pop_front()
        {
            self.process_query(id, query, now, now);
        }
    }

    /// Processes a query that arrived, or was taken from the queue of its client, at `received_at`.
    pub(crate) fn process_query(
        &mut self,
        id: ClientId,
        query: ClientQuery,
        received_at: MonoTime,
        now: MonoTime,
    ) {
        let is_admitted = self.authorize_statement(id, &query.statement, now)
            && self.take_token(id, &query, received_at, now);
        if is_admitted {
            self.run_query(id, query, received_at, now);
        }
    }

    /// Processes a query whose session may run it.
    pub(crate) fn run_query(
        &mut self,
        id: ClientId,
        query: ClientQuery,
        received_at: MonoTime,
        now: MonoTime,
    ) {
        let Some(session) = self.client_mut(id) else {
            return;
        };
        if let SessionTransaction::Failed { is_reported } = session.transaction {
            self.process_after_rollback(id, &query.statement, is_reported);
            return;
        }
        let is_open = session.open_transaction().is_some();
        match query.statement.clone() {
            Statement::Begin { .. } if is_open => {
                self.refuse_locally(id, ClientCode::Malformed, "a transaction is open");
            }
            Statement::Begin { is_read_only } => self.begin(id, is_read_only, now),
            Statement::Rollback => {
                self.end_transaction(id, now);
                self.send_answer(id, Ok(None), None, Vec::new());
            }
            Statement::Commit if !is_open => {
                self.refuse_locally(id, ClientCode::Malformed, "no transaction is open");
            }
            Statement::Commit => {
                self.start_request(id, query, RequestKind::Commit, received_at, now)
            }
            Statement::Read => self.start_request(id, query, RequestKind::Read, received_at, now),
            Statement::Write => self.start_request(id, query, RequestKind::Write, received_at, now),
            Statement::Execute { name, .. } => match session.shape(&name) {
                Some(shape) if shape.is_write => {
                    self.start_request(id, query, RequestKind::Write, received_at, now);
                }
                Some(_) => self.start_request(id, query, RequestKind::Read, received_at, now),
                None => self.refuse_locally(id, ClientCode::NoStatement, "no such statement"),
            },
            Statement::Set { name, value } => {
                session.set_value(name, value);
                self.send_answer(id, Ok(None), None, Vec::new());
            }
            Statement::Prepare { name, shape } => {
                session.prepare(name, shape);
                self.send_answer(id, Ok(None), None, Vec::new());
            }
            Statement::Deallocate { name } => {
                session.deallocate(&name);
                self.send_answer(id, Ok(None), None, Vec::new());
            }
            Statement::Unknown => {
                self.refuse_locally(id, ClientCode::Malformed, "unknown statement");
            }
        }
    }

    /// Processes a query of a session whose transaction was rolled back and not yet ended by the
    /// client.
    fn process_after_rollback(&mut self, id: ClientId, statement: &Statement, is_reported: bool) {
        let Some(session) = self.client_mut(id) else {
            return;
        };
        match statement {
            Statement::Rollback => {
                session.transaction = SessionTransaction::None;
                self.send_answer(id, Ok(None), None, Vec::new());
            }
            Statement::Commit => {
                session.transaction = SessionTransaction::None;
                self.send_error(id, rolled_back_error());
            }
            _ if is_reported => {
                let text = "the transaction has failed; end it with a rollback";
                self.refuse_locally(id, ClientCode::Malformed, text);
            }
            _ => {
                session.transaction = SessionTransaction::Failed { is_reported: true };
                self.send_error(id, rolled_back_error());
            }
        }
    }

    fn begin(&mut self, id: ClientId, is_read_only: bool, now: MonoTime) {
        let Some(route) = self.find_route(id) else {
            self.refuse_unknown_database(id);
            return;
        };
        let group = self.group_index(&route.group, now);
        if let Some(session) = self.client_mut(id) {
            let open = OpenTransaction::new(is_read_only, route, group, now);
            session.transaction = SessionTransaction::Open(open);
        }
        self.send_answer(id, Ok(None), None, Vec::new());
    }

    pub(crate) fn find_route(&self, id: ClientId) -> Option<SessionRoute> {
        if let Some(route) = &self.client(id)?.forwarded_route {
            return Some(route.clone());
        }
        let database = self.client(id)?.database.as_deref()?;
        self.catalog.as_ref()?.route(database).cloned()
    }

    fn refuse_unknown_database(&mut self, id: ClientId) {
        self.statistics.refused(RefusalReason::UnknownService);
        self.send_error(id, unknown_database_error());
    }

    fn start_request(
        &mut self,
        id: ClientId,
        query: ClientQuery,
        kind: RequestKind,
        received_at: MonoTime,
        now: MonoTime,
    ) {
        let open = self
            .client(id)
            .and_then(ClientSession::open_transaction)
            .cloned();
        let (route, group, freshness_from, connection_or_home) = match open {
            Some(open) => {
                let connection_or_home = (open.connection, open.home);
                (open.route, open.group, open.begun_at, connection_or_home)
            }
            None => match self.find_route(id) {
                Some(route) => {
                    let group = self.group_index(&route.group, now);
                    (route, group, received_at, (None, None))
                }
                None => {
                    self.refuse_unknown_database(id);
                    return;
                }
            },
        };
        let term = self.groups[group.0].term;
        let Some(session) = self.client_mut(id) else {
            return;
        };
        session.request = Some(ClientRequest {
            query,
            kind,
            group,
            route,
            received_at,
            freshness_from,
            sent_at: now,
            attempts: 0,
            failures: 0,
            not_before: now,
            avoided: Vec::new(),
            sent_to: "none".to_string(),
            term,
            is_at_primary: false,
            was_sent: false,
            stage: RequestStage::Queued,
            placement_state: PlacementState::Unevaluated,
            is_overtaken: false,
        });
        match connection_or_home {
            (Some(connection), _) => self.send_in_transaction(id, connection, now),
            (None, Some(home)) => self.forward_statement(id, home, now),
            (None, None) => self.route_request(id, now),
        }
    }

    /// Rolls back the open transaction and releases its connection.
    pub(crate) fn end_transaction(&mut self, id: ClientId, now: MonoTime) {
        let Some(session) = self.client_mut(id) else {
            return;
        };
        let transaction = std::mem::take(&mut session.transaction);
        let SessionTransaction::Open(open) = transaction else {
            return;
        };
        if let Some(connection) = open.connection {
            self.roll_back(connection, now);
        }
        if let Some(home) = open.home {
            self.send_to_home(id, &home, HomeMessage::Rollback);
        }
    }

    /// Removes a client that disconnected, and rolls back or closes its connection so that no state
    /// of its session reaches another client.
    pub(crate) fn remove_client(&mut self, id: ClientId, now: MonoTime) {
        let Ok(i) = self.clients.binary_search_by_key(&id, |session| session.id) else {
            return;
        };
        let session = self.clients.remove(i);
        let stage = session.request.as_ref().map(|request| &request.stage);
        if matches!(stage, Some(RequestStage::Forwarded { .. })) {
            self.quota.spend(id);
        }
        self.quota.remove_client(id, now);
        for group in &mut self.groups {
            group.queue.retain(|client| *client != id);
            group.held_clients.retain(|client| *client != id);
        }
        let transaction_connection = session.open_transaction().and_then(|open| open.connection);
        let stage = session.request.map(|request| request.stage);
        if let Some(home) = &session.last_home {
            self.send_to_home(id, home, HomeMessage::End);
        }
        match (transaction_connection, stage) {
            (Some(connection), None | Some(RequestStage::Held { .. })) => {
                self.roll_back(connection, now);
            }
            (Some(connection), Some(_))
            | (None, Some(RequestStage::Sent(connection) | RequestStage::Preparing(connection))) => {
                self.close_connection(connection)
            }
            (None, _) => {}
        }
    }

    /// Answers a query with an error of the gateway itself.
    pub(crate) fn refuse_locally(&mut self, id: ClientId, code: ClientCode, text: &str) {
        self.send_error(id, ClientError::new(code, text));
    }

    /// Answers a query with an error and without rows or a position.
    pub(crate) fn send_error(&mut self, id: ClientId, error: ClientError) {
        self.send_answer(id, Err(error), None, Vec::new());
    }

    /// Sends the answer to a query with the present state of the session.
    pub(crate) fn send_answer(
        &mut self,
        client: ClientId,
        end: Result<Option<String>, ClientError>,
        position: Option<GroupPosition>,
        rows: Vec<String>,
    ) {
        let Some(session) = self.client(client) else {
            return;
        };
        let answer = ClientAnswer {
            rows,
            end,
            state: session.state(),
            position,
            is_isolated: false,
            is_unsent: false,
        };
        self.actions
            .push(GatewayAction::AnswerClient { client, answer });
    }

    /// Rolls back transactions that have been idle for longer than the limit of the catalog.
    pub(crate) fn expire_transactions(&mut self, now: MonoTime) {
        let limit = self
            .catalog
            .as_ref()
            .and_then(|catalog| catalog.idle_transaction);
        let Some(limit) = limit else { return };
        let expired = self
            .clients
            .iter()
            .filter(|session| session.request.is_none())
            .filter(|session| {
                session.open_transaction().is_some_and(|open| {
                    let is_placed = open.connection.is_some() || open.home.is_some();
                    is_placed && now.since(open.idle_since) > limit
                })
            })
            .map(|session| session.id)
            .collect::<Vec<_>>();
        for id in expired {
            if self.may_log(now) {
                info!(
                    "transaction_expired client={id} limit_ms={}",
                    limit.as_millis()
                );
            }
            self.statistics.failed(FailureReason::RolledBack);
            self.end_transaction(id, now);
            if let Some(session) = self.client_mut(id) {
                session.transaction = SessionTransaction::Failed { is_reported: false };
            }
        }
    }
}

fn unknown_database_error() -> ClientError {
    ClientError::new(ClientCode::UnknownDatabase, "no route has this database")
}

/// Returns the error for the next statement of a transaction that was rolled back while it was
/// idle. The transaction can be retried at once.
fn rolled_back_error() -> ClientError {
    ClientError {
        retry_after: Some(Duration::ZERO),
        ..ClientError::new(ClientCode::Aborted, "the transaction was rolled back")
    }
}
