//! Lending of connections to statements, and calls on them.
//!
//! Load that this answers: more statements than slots, targets that lag, rest or are gone, and a group
//! without a primary.

use log::info;
use log::trace;

use heatherhollow_types::MonoTime;
use heatherhollow_types::RefusalReason;
use heatherhollow_types::TargetIndex;

use crate::action::GatewayAction;
use crate::core::SessionGateway;
use crate::forward::HomeMessage;
use crate::group::GroupIndex;
use crate::group::index_of;
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
    /// Asks replicas that have not answered for a while for their position, if reads wait: they may be
    /// fresh enough although others lag.
    pub(crate) fn probe_for_reads(&mut self, group: GroupIndex, now: MonoTime) {
        let has_waiting_read = self.groups[group.0].queue.iter().any(|client| {
            self.client(*client)
                .is_some_and(|session| !session.is_writing())
        });
        if !has_waiting_read {
            return;
        }
        let interval = self.settings.probe_interval;
        let state = &mut self.groups[group.0];
        let quiet = state
            .targets()
            .filter(|(i, pool)| {
                let is_quiet = pool
                    .answered_at
                    .is_none_or(|answered_at| now.since(answered_at) >= interval);
                state.primary != Some(*i) && is_quiet && pool.in_use_count() == 0
            })
            .map(|(i, _)| i)
            .collect::<Vec<_>>();
        for target in quiet {
            state.control(target, ControlPurpose::Observe, TargetCall::Status, now);
        }
        self.send_control(group, now);
    }

    pub(crate) fn open_wanted(
        &mut self,
        group: GroupIndex,
        target: TargetIndex,
        wanted: usize,
        now: MonoTime,
    ) {
        let share = self.groups[group.0].share(self.holders(&self.groups[group.0]));
        loop {
            let state = &self.groups[group.0];
            let Some(pool) = state.pool(target) else {
                return;
            };
            let opening_count = pool.opening_count();
            let is_enough = opening_count >= wanted.min(self.settings.max_opening);
            let has_room = pool.connections.len() < share
                || state.has_surplus(target, self.holders(state), now);
            if is_enough || !has_room || now < pool.open_backoff_until {
                return;
            }
            self.open_connection(group, target, false, now);
        }
    }

    /// Sends waiting control calls over idle connections.
    pub(crate) fn send_control(&mut self, group: GroupIndex, now: MonoTime) {
        let share = self.groups[group.0].share(self.holders(&self.groups[group.0]));
        if self.valid_token(now).is_none() {
            // Fencing calls must not go out once another instance may hold the duty.
            for pool in self.groups[group.0].pools.iter_mut().flatten() {
                pool.control.retain(|job| {
                    job.purpose != ControlPurpose::Promotion || job.call == TargetCall::Status
                });
            }
        }
        for i in 0..self.groups[group.0].pools.len() {
            let target = index_of(i);
            while let Some(pool) = self.groups[group.0].pool_mut(target)
                && !pool.control.is_empty()
            {
                if let Some(connection) = pool.any_idle_connection() {
                    let job = pool.control.pop_front().expect("a job waits");
                    self.call(connection, CallPurpose::Control(job.purpose), job.call, now);
                    continue;
                }
                // One connection beyond the share is for control, as all others may rest in
                // transactions.
                let room = share + usize::from(now >= pool.surplus_allowed_at);
                let may_open = pool.opening_count() == 0
                    && now >= pool.open_backoff_until
                    && pool.connections.len() < room;
                if may_open {
                    self.open_connection(group, target, false, now);
                }
                break;
            }
        }
        let mut pools = self.groups[group.0].pools.iter().flatten();
        self.groups[group.0].has_control = pools.any(|pool| !pool.control.is_empty());
    }

    pub(crate) fn lend(
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
        self.advance_lent(connection, now);
    }

    /// Sends the next call for the session that holds a connection: setup, begin or the statement.
    pub(crate) fn advance_lent(&mut self, id: ConnectionId, now: MonoTime) {
        let Some(location) = self.location(id) else {
            return;
        };
        let max_prepared = self.settings.max_prepared;
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
        let leads = is_primary.then_some(term);
        let open = session.open_transaction().filter(|_| in_transaction);
        let kind = session.request.as_ref().map(|request| request.kind);
        if let (Some(open), Some(kind)) = (open, kind)
            && open.is_primary_replaced(leads, kind)
        {
            if self.may_log_request("transaction_outlasted", "term_changed", client, now) {
                let evidence = self.describe_evidence(client, now);
                info!("transaction_outlasted client={client} target={target} {evidence}");
            }
            self.take_back(id, client, now);
            return;
        }
        let setup = connection.setup_calls(session, max_prepared);
        if !setup.is_empty() {
            if let Some(request) = &mut session.request {
                request.stage = RequestStage::Preparing(id);
            }
            for call in setup {
                self.call(id, CallPurpose::Setup, call, now);
            }
            return;
        }
        let needs_begin = session.open_transaction().is_some() && !in_transaction;
        let needs_position = !is_primary && !in_transaction;
        let evidence_needed_since = session.evidence_needed_since();
        let after = match (needs_position, evidence_needed_since) {
            (true, Some(complete)) => {
                let own = session.position_in(location.group);
                let found = state.required_position(complete, own);
                if session.is_writing() || found.is_none() {
                    // The leadership changed since the connection was lent.
                    self.take_back(id, client, now);
                    return;
                }
                found
            }
            _ => None,
        };
        if is_primary && let Some(complete) = evidence_needed_since {
            state.want_check(complete);
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
            self.call(id, CallPurpose::Begin, call, now);
            return;
        }
        let Some(request) = &mut session.request else {
            return;
        };
        request.stage = RequestStage::Sent(id);
        request.sent_at = now;
        request.sent_to = target;
        request.term = term;
        request.is_at_primary = is_primary;
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
        self.call(id, CallPurpose::Statement, call, now);
    }

    /// Sends a call on a connection.
    pub(crate) fn call(
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
                control: is_control.then(|| call.clone()),
            });
        }
        self.actions.push(GatewayAction::CallTarget {
            connection: id,
            call,
        });
    }

    /// Takes a connection back before anything of the client's statement was sent on it.
    pub(crate) fn take_back(&mut self, id: ConnectionId, client: ClientId, now: MonoTime) {
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

    /// Puts a request that has not run back into the queue.
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
            let text = "no target took the statement";
            self.refuse_request(
                client,
                ClientCode::Busy,
                RefusalReason::TargetRefused,
                text,
                now,
            );
            return;
        }
        self.place_anew(client, now);
    }

    /// Refuses a waiting request that is known not to be served in time.
    pub(crate) fn refuse_late(&mut self, client: ClientId, reason: RefusalReason, now: MonoTime) {
        let text = "the statement cannot be run here in time";
        self.refuse_request(client, ClientCode::Busy, reason, text, now);
    }

    /// Refuses a request of which nothing is kept, and ends its transaction.
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
        state.held.retain(|held| *held != client);
        if let Some(connection) = pinned {
            self.roll_back(connection, now);
        }
        if let Some(home) = home {
            self.tell_home(client, &home, HomeMessage::End);
        }
        let error = ClientError {
            retry_after,
            ..ClientError::new(code, text)
        };
        self.send_error(client, error);
        if reason == RefusalReason::Unreachable
            && let Some(GatewayAction::AnswerClient { answer, .. }) = self.actions.last_mut()
        {
            answer.is_isolated = true;
        }
        self.process_queries(client, now);
    }

    /// What decided about a request, for its log line: version of the declarations, term, position asked
    /// for, and for each target its role, connections in use, lag and the age of its last report.
    pub(crate) fn describe_inputs(&self, client: ClientId, now: MonoTime) -> String {
        let Some(session) = self.client(client) else {
            return String::new();
        };
        let Some(request) = &session.request else {
            return String::new();
        };
        let state = &self.groups[request.group.0];
        let version = self.catalog.as_ref().map_or(0, |catalog| catalog.version);
        let complete = session.evidence_needed_since().unwrap_or(now);
        let own = session.position_in(request.group);
        let required = state.required_position(complete, own);
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
            text.push_str(&format!(
                " target={}:{role}:in_use={}/{}:opening={}:lag_ms={}:report={report}",
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
