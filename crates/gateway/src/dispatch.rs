//! Assignment of connections to statements, and calls to targets.
//!
//! Covers overload, targets that lag, are busy or are gone, and groups without a primary: a request
//! that has not run is routed again, and a request that cannot be served in time is refused.

use log::info;
use log::trace;

use heatherhollow_tenants::TenantName;
use heatherhollow_types::MonoTime;
use heatherhollow_types::RefusalReason;
use heatherhollow_types::TargetIndex;

use crate::action::GatewayAction;
use crate::core::SessionGateway;
use crate::forward::HomeMessage;
use crate::group::GroupIndex;
use crate::group::to_target_index;
use crate::message::ClientCode;
use crate::message::ClientError;
use crate::message::ClientId;
use crate::message::TargetCall;
use crate::pool::CallPurpose;
use crate::pool::ConnectionId;
use crate::pool::ControlPurpose;
use crate::pool::PendingCall;
use crate::session::ClientSession;
use crate::session::RequestKind;
use crate::session::RequestStage;
use crate::session::SessionTransaction;
use crate::statement::Statement;
use crate::statistics::LatencyKind;

impl SessionGateway {
    /// Asks replicas that have not answered for a while for their status, if reads are queued:
    /// these replicas may be fresh enough although others lag.
    pub(crate) fn poll_replicas_for_reads(&mut self, group: GroupIndex, now: MonoTime) {
        let has_waiting_read = self.groups[group.0].queue.iter().any(|client| {
            self.client(*client)
                .is_some_and(|session| !session.is_writing())
        });
        if !has_waiting_read {
            return;
        }
        let interval = self.settings.probe_interval;
        let state = &mut self.groups[group.0];
        let quiet_targets = state
            .targets()
            .filter(|(i, pool)| {
                let is_quiet = pool
                    .answered_at
                    .is_none_or(|answered_at| now.since(answered_at) >= interval);
                state.primary != Some(*i) && is_quiet && pool.in_use_count() == 0
            })
            .map(|(i, _)| i)
            .collect::<Vec<_>>();
        for target in quiet_targets {
            state.queue_control(target, ControlPurpose::Observe, TargetCall::Status, now);
        }
        self.send_control_calls(group, now);
    }

    /// Opens connections to a target for statements that wait for one, as far as the share, the
    /// surplus and the setting `max_opening` allow. `wanted` has the tenant of each statement.
    ///
    /// Where no more connections may be opened, the one of another tenant that has been idle the
    /// longest is closed for a new one.
    pub(crate) fn open_needed_connections(
        &mut self,
        group: GroupIndex,
        target: TargetIndex,
        wanted: &[Option<TenantName>],
        now: MonoTime,
    ) {
        let share =
            self.groups[group.0].connection_share(self.connection_holders(&self.groups[group.0]));
        for (i, tenant) in wanted.iter().enumerate() {
            let state = &self.groups[group.0];
            let Some(pool) = state.pool(target) else {
                return;
            };
            if pool.opening_count() >= self.settings.max_opening || now < pool.open_backoff_until {
                return;
            }
            let wanted_count = wanted[..=i].iter().filter(|other| *other == tenant).count();
            if pool.opening_count_for(tenant.as_ref()) >= wanted_count {
                continue;
            }
            let has_room = pool.connections.len() < share
                || state.may_exceed_share(target, self.connection_holders(state), now);
            if !has_room {
                let Some(replaced) = pool.replaceable_connection(tenant.as_ref()) else {
                    continue;
                };
                self.close_connection(replaced);
            }
            self.open_connection(group, target, tenant.clone(), false, now);
        }
    }

    /// Sends queued control calls over idle connections, and opens a connection where none is idle.
    pub(crate) fn send_control_calls(&mut self, group: GroupIndex, now: MonoTime) {
        let share =
            self.groups[group.0].connection_share(self.connection_holders(&self.groups[group.0]));
        if self.valid_token(now).is_none() {
            // Calls of a promotion that change a target must not be sent once another instance may
            // hold the duty.
            for pool in self.groups[group.0].pools.iter_mut().flatten() {
                pool.control_requests.retain(|request| {
                    request.purpose != ControlPurpose::Promotion
                        || request.call == TargetCall::Status
                });
            }
        }
        for i in 0..self.groups[group.0].pools.len() {
            let target = to_target_index(i);
            while let Some(pool) = self.groups[group.0].pool_mut(target)
                && !pool.control_requests.is_empty()
            {
                if let Some(connection) = pool.any_idle_connection() {
                    let request = pool
                        .control_requests
                        .pop_front()
                        .expect("a control call is queued");
                    self.send_call(
                        connection,
                        CallPurpose::Control(request.purpose),
                        request.call,
                        now,
                    );
                    continue;
                }
                // One connection above the share may be opened for control calls, as all others may
                // be held by open transactions.
                let room = share + usize::from(now >= pool.surplus_allowed_at);
                let may_open = pool.opening_count() == 0
                    && now >= pool.open_backoff_until
                    && pool.connections.len() < room;
                if may_open {
                    self.open_connection(group, target, None, false, now);
                }
                break;
            }
        }
        let mut pools = self.groups[group.0].pools.iter().flatten();
        self.groups[group.0].has_queued_control =
            pools.any(|pool| !pool.control_requests.is_empty());
    }

    /// Assigns a connection to a client's request and sends its first call.
    pub(crate) fn assign_connection(
        &mut self,
        group: GroupIndex,
        connection: ConnectionId,
        client: ClientId,
        now: MonoTime,
    ) {
        let Some(session) = self.client_mut(client) else {
            return;
        };
        let Some(request) = &mut session.request else {
            return;
        };
        request.stage = RequestStage::Preparing(connection);
        request.attempts += 1;
        let waited = now.since(request.received_at);
        if let Some(open) = session.open_transaction_mut() {
            open.connection = Some(connection);
        }
        if let Some(connection) = self.connection_mut(connection) {
            connection.holder = Some(client);
        }
        self.statistics.latency(LatencyKind::Queue, waited);
        debug_assert!(!self.groups[group.0].queue.contains(&client));
        self.send_next_call(connection, now);
    }

    /// Sends the next call for the session that holds a connection: setup, begin or the statement.
    pub(crate) fn send_next_call(&mut self, id: ConnectionId, now: MonoTime) {
        let Some(location) = self.location(id) else {
            return;
        };
        let connection = match self.requires_keys() {
            true => self.connection_mut(id),
            false => None,
        };
        let holder = connection
            .and_then(|connection| connection.holder.filter(|_| connection.calls.is_empty()));
        if holder.is_some_and(|client| !self.check_sending(client, now)) {
            return;
        }
        let max_prepared = self.settings.max_prepared;
        let has_tenants = self.has_tenants();
        let state = &mut self.groups[location.group.0];
        let is_primary = state.primary == Some(location.target);
        let term = state.term;
        let Some(pool) = state.pool_mut(location.target) else {
            return;
        };
        let target = pool.entry.target.clone();
        let Some(connection) = pool.connection_mut(id) else {
            return;
        };
        let Some(client) = connection.holder.filter(|_| connection.calls.is_empty()) else {
            return;
        };
        let Ok(i) = self.clients.binary_search_by_key(&client, |s| s.id) else {
            return;
        };
        let session = &mut self.clients[i];
        let in_transaction = connection.in_transaction;
        let led_term = is_primary.then_some(term);
        let open = session.open_transaction().filter(|_| in_transaction);
        let kind = session.request.as_ref().map(|request| request.kind);
        if let (Some(open), Some(kind)) = (open, kind)
            && open.is_primary_replaced(led_term, kind)
        {
            if self.may_log_request("transaction_outlasted", "term_changed", client, now) {
                let evidence = self.describe_evidence(client, now);
                info!("transaction_outlasted client={client} target={target} {evidence}");
            }
            self.reclaim_connection(id, client, now);
            return;
        }
        let setup = connection.setup_calls(session, max_prepared);
        if !setup.is_empty() {
            if let Some(request) = &mut session.request {
                request.stage = RequestStage::Preparing(id);
            }
            for call in setup {
                self.send_call(id, CallPurpose::Setup, call, now);
            }
            return;
        }
        let needs_begin = session.open_transaction().is_some() && !in_transaction;
        let needs_position = !is_primary && !in_transaction;
        let evidence_needed_since = session.evidence_needed_since();
        let after = match (needs_position, evidence_needed_since) {
            (true, Some(complete_until)) => {
                let own_position = session.position_in(location.group);
                let required_position = state.required_position(complete_until, own_position);
                if session.is_writing() || required_position.is_none() {
                    // The primary changed after the connection was assigned.
                    self.reclaim_connection(id, client, now);
                    return;
                }
                state.log_position(&target, required_position, complete_until, now);
                required_position
            }
            _ => None,
        };
        // A commit that needs a copy is proved by the copy. An evidence call for it would only take a
        // slot of a replica.
        let is_proved_by_copy = has_tenants && session.is_committing() && state.is_synchronous();
        if is_primary
            && !is_proved_by_copy
            && let Some(complete_until) = evidence_needed_since
        {
            state.request_evidence(complete_until);
        }
        if needs_begin {
            let begun_in_term = after.is_none().then_some(term);
            let is_read_only = session.open_transaction_mut().is_some_and(|open| {
                open.begun_in_term = begun_in_term;
                open.is_read_only
            });
            let call = TargetCall::Begin {
                is_read_only,
                after,
            };
            if let Some(request) = &mut session.request {
                request.was_sent = true;
            }
            self.quota.spend(client);
            self.send_call(id, CallPurpose::Begin, call, now);
            return;
        }
        let Some(request) = &mut session.request else {
            return;
        };
        request.stage = RequestStage::Sent(id);
        request.was_sent = true;
        request.sent_at = now;
        request.sent_to = target;
        request.term = term;
        request.is_at_primary = is_primary;
        let tenant = session.tenant.as_ref();
        if has_tenants {
            self.groups[location.group.0]
                .recent_starts
                .record(tenant, now);
        }
        let query = request.query.clone();
        let after = after.filter(|_| request.kind == RequestKind::Read);
        let call = match query.statement {
            Statement::Execute { name, arguments } => {
                let shape = session.shape(&name).cloned();
                let own_name = shape.and_then(|shape| {
                    let connection = self.connection_mut(id)?;
                    connection.prepared_name(&shape).map(ToString::to_string)
                });
                TargetCall::Execute {
                    id: query.id,
                    name: own_name.unwrap_or(name),
                    arguments,
                    after,
                }
            }
            _ => TargetCall::Forward {
                id: query.id,
                text: query.text,
                after,
            },
        };
        self.quota.spend(client);
        self.send_call(id, CallPurpose::Statement, call, now);
    }

    /// Sends a call on a connection and records it as unanswered.
    pub(crate) fn send_call(
        &mut self,
        id: ConnectionId,
        purpose: CallPurpose,
        call: TargetCall,
        now: MonoTime,
    ) {
        let Some(location) = self.location(id) else {
            return;
        };
        trace!("target_called connection={id} purpose={purpose:?}");
        let state = &mut self.groups[location.group.0];
        if state.primary == Some(location.target) {
            state.monitor.probe_sent(now);
        }
        if let Some(pool) = state.pool_mut(location.target)
            && let Some(connection) = pool.connection_mut(id)
        {
            let is_control = matches!(purpose, CallPurpose::Control(_));
            connection.calls.push_back(PendingCall {
                purpose,
                sent_at: now,
                control_call: is_control.then(|| call.clone()),
            });
        }
        self.actions.push(GatewayAction::CallTarget {
            connection: id,
            call,
        });
    }

    /// Takes a connection from a client before the client's statement was sent on it. A transaction
    /// that has run statements is aborted; otherwise the request is routed again.
    pub(crate) fn reclaim_connection(&mut self, id: ConnectionId, client: ClientId, now: MonoTime) {
        let has_run = self
            .client(client)
            .and_then(ClientSession::open_transaction)
            .is_some_and(|open| open.has_run);
        if has_run {
            self.abort_transaction(client, now);
            return;
        }
        self.roll_back(id, now);
        self.requeue(client, now);
    }

    /// Routes a request again that has not run, or refuses it if it has failed too often or its
    /// deadline has passed.
    pub(crate) fn requeue(&mut self, client: ClientId, now: MonoTime) {
        let max_attempts = self.settings.max_attempts;
        let Some(session) = self.client_mut(client) else {
            return;
        };
        if let Some(open) = session.open_transaction_mut() {
            open.connection = None;
            open.home = None;
        }
        let Some(request) = &mut session.request else {
            return;
        };
        request.stage = RequestStage::Queued;
        if request.failures >= max_attempts || now >= request.deadline() {
            let text = "no target accepted the statement";
            self.refuse_request(
                client,
                ClientCode::Busy,
                RefusalReason::TargetRefused,
                text,
                now,
            );
            return;
        }
        self.route_request(client, now);
    }

    /// Refuses a queued request that cannot be served in time.
    pub(crate) fn refuse_queued(&mut self, client: ClientId, reason: RefusalReason, now: MonoTime) {
        let text = "this instance cannot run the statement in time";
        self.refuse_request(client, ClientCode::Busy, reason, text, now);
    }

    /// Refuses a request that had no effect, and ends its transaction.
    pub(crate) fn refuse_request(
        &mut self,
        client: ClientId,
        code: ClientCode,
        reason: RefusalReason,
        text: &str,
        now: MonoTime,
    ) {
        self.statistics.refused(reason);
        let may_log = self.may_log_request("statement_refused", reason.as_str(), client, now);
        let inputs = may_log.then(|| self.describe_inputs(client, now));
        let retry_after = self.client(client).and_then(|session| {
            let request = session.request.as_ref()?;
            let waited = now.since(request.received_at);
            let needs_primary = session.needs_primary();
            Some(self.retry_after(request.group, reason, needs_primary, waited, now))
        });
        let Some(session) = self.client_mut(client) else {
            return;
        };
        let Some(request) = session.request.take() else {
            return;
        };
        if let Some(inputs) = inputs {
            info!(
                "statement_refused id={} client={client} reason={reason} waited_ms={} \
                 attempts={} retry_after_ms={} sent_to={} database={} {inputs}",
                request.query.id,
                now.since(request.received_at).as_millis(),
                request.attempts,
                retry_after.map_or(0, |span| span.as_millis()),
                request.sent_to,
                request.route.database
            );
        }
        let group = request.group;
        let is_commit = request.kind == RequestKind::Commit;
        let has_run = session.open_transaction().is_some_and(|open| open.has_run);
        let is_unsent = session.is_forwarded && !request.was_sent && !has_run;
        let pinned = session.open_transaction().and_then(|open| open.connection);
        let home = session
            .open_transaction()
            .and_then(|open| open.home.clone());
        if session.open_transaction().is_some() {
            session.transaction = if is_commit {
                SessionTransaction::None
            } else {
                SessionTransaction::Failed { is_reported: true }
            };
        }
        let state = &mut self.groups[group.0];
        state.queue.retain(|queued| *queued != client);
        state.held_clients.retain(|held| *held != client);
        if let Some(connection) = pinned {
            self.roll_back(connection, now);
        }
        if let Some(home) = home {
            self.send_to_home(client, &home, HomeMessage::End);
        }
        let error = ClientError {
            retry_after,
            ..ClientError::new(code, text)
        };
        self.send_error(client, error);
        if let Some(GatewayAction::AnswerClient { answer, .. }) = self.actions.last_mut() {
            answer.is_isolated = reason == RefusalReason::Unreachable;
            answer.is_unsent = is_unsent;
        }
        self.process_queries(client, now);
    }

    /// Describes what decided about a request for its log line: version of the declarations, term,
    /// required position, and for each target its role, connections in use, lag and the age of its
    /// last report.
    pub(crate) fn describe_inputs(&self, client: ClientId, now: MonoTime) -> String {
        let Some(session) = self.client(client) else {
            return String::new();
        };
        let Some(request) = &session.request else {
            return String::new();
        };
        let state = &self.groups[request.group.0];
        let version = self.catalog.as_ref().map_or(0, |catalog| catalog.version);
        let complete_until = session.evidence_needed_since().unwrap_or(now);
        let own_position = session.position_in(request.group);
        let required = state.required_position(complete_until, own_position);
        let mut text = format!(
            "catalog={version} group={} term={} suspicion={:?} needs_primary={} required={}",
            state.name,
            state.term,
            state.suspicion,
            session.needs_primary(),
            required.map_or("unproved".to_string(), |position| position.to_string())
        );
        for (i, pool) in state.targets() {
            let role = if state.primary == Some(i) {
                "primary"
            } else {
                "replica"
            };
            let report = pool.report.map_or("none".to_string(), |(at, report)| {
                format!("{}@{}ms", report.received, now.since(at).as_millis())
            });
            let lag = state.tracker.lag(i, now);
            let applied = state.tracker.applied(i);
            let applied = applied.map_or("unknown".to_string(), |(position, reached_at)| {
                format!("{position}@{}ms", now.since(reached_at).as_millis())
            });
            let reported_lag = pool.report.map_or(0, |(_, report)| report.lag.as_millis());
            text.push_str(&format!(
                " target={}:{role}:in_use={}/{}:opening={}:lag_ms={}:applied={applied}:\
                 report={report}:reported_lag_ms={reported_lag}",
                pool.entry.target,
                pool.in_use_count(),
                pool.connections.len(),
                pool.opening_count(),
                lag.map_or("unknown".to_string(), |lag| lag
                    .bound()
                    .as_millis()
                    .to_string())
            ));
        }
        text
    }
}
