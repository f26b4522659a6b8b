//! Targets of the played world: connections, statements, replication and crashes.

use rand::RngExt;

use heatherhollow_gateway::ConnectError;
use heatherhollow_gateway::ConnectionId;
use heatherhollow_gateway::GatewayEvent;
use heatherhollow_gateway::SessionState;
use heatherhollow_gateway::Statement;
use heatherhollow_gateway::TargetCall;
use heatherhollow_gateway::TargetCode;
use heatherhollow_types::GroupPosition;
use heatherhollow_types::MonoTime;

use super::Happening;
use super::MAX_AGE;
use super::OWN_ROUTE;
use super::PRIMARY_ROUTE;
use super::World;
use super::WriteOutcome;
use super::target::LogRecord;
use super::target::SimConnection;
use super::target::WaitingCommit;

impl World {
    pub(super) fn accept(&mut self, instance: usize, id: ConnectionId, target: usize) {
        let is_cut = self.is_cut(instance, self.target_node(target));
        if !self.targets[target].is_alive || is_cut {
            let error = if is_cut {
                ConnectError::TimedOut
            } else {
                ConnectError::Refused
            };
            let event = GatewayEvent::TargetClosed {
                connection: id,
                error,
            };
            self.tell(instance, event, if is_cut { 600 } else { 1 });
            return;
        }
        self.targets[target].connections.push(SimConnection {
            instance,
            id,
            is_started: false,
            in_transaction: false,
            is_failed: false,
            is_read_only: false,
            values: Vec::new(),
            prepared: Vec::new(),
            written: Vec::new(),
        });
        self.tell(instance, GatewayEvent::TargetOpened(id), 1);
    }

    pub(super) fn answer(
        &mut self,
        instance: usize,
        id: ConnectionId,
        target: usize,
        answer: heatherhollow_gateway::TargetAnswer,
    ) {
        if self.is_cut(instance, self.target_node(target)) {
            return;
        }
        let delay = self.latency() + self.random.random_range(1..8);
        let delay = self.ordered_delay(instance, id, true, delay);
        let event = GatewayEvent::TargetAnswered {
            connection: id,
            answer,
        };
        self.tell(instance, event, delay);
    }

    pub(super) fn serve(
        &mut self,
        instance: usize,
        id: ConnectionId,
        target: usize,
        call: TargetCall,
    ) {
        if self.is_cut(instance, self.target_node(target)) || !self.targets[target].is_alive {
            return;
        }
        let now = self.now;
        self.targets[target].apply(now);
        if self.targets[target].find(instance, id).is_none() {
            return;
        }
        let answer = match call {
            TargetCall::Start { .. } => {
                let connection = self.targets[target].find(instance, id).unwrap();
                connection.is_started = true;
                Some(self.targets[target].success(Vec::new(), SessionState::Idle, ""))
            }
            TargetCall::Status
            | TargetCall::Pause(_)
            | TargetCall::Resume
            | TargetCall::StepDown(_) => {
                self.control(target, &call);
                let state = &self.targets[target];
                Some(state.success(vec![state.status_row()], SessionState::Idle, "-"))
            }
            other => self.statement(instance, id, target, other),
        };
        if let Some(answer) = answer {
            self.answer(instance, id, target, answer);
        }
    }

    pub(super) fn control(&mut self, target: usize, call: &TargetCall) {
        let state = &mut self.targets[target];
        match call {
            TargetCall::Pause(term) if !state.is_primary && term.0 > state.term => {
                state.paused_for = Some(term.0);
            }
            TargetCall::Resume => state.paused_for = None,
            TargetCall::StepDown(term) if state.is_primary && term.0 > state.term => {
                state.is_primary = false;
            }
            _ => {}
        }
    }

    /// Runs a statement; `None` if its answer comes later.
    pub(super) fn statement(
        &mut self,
        instance: usize,
        id: ConnectionId,
        target: usize,
        call: TargetCall,
    ) -> Option<heatherhollow_gateway::TargetAnswer> {
        let is_primary = self.targets[target].is_primary;
        let connection = self.targets[target].find(instance, id)?;
        match call {
            TargetCall::Rollback => {
                connection.in_transaction = false;
                connection.is_failed = false;
                connection.written.clear();
            }
            TargetCall::Discard => {
                connection.values.clear();
                connection.prepared.clear();
            }
            TargetCall::Set { name, value } => {
                connection.values.retain(|(known, _)| *known != name);
                connection.values.push((name, value));
                connection.values.sort();
            }
            TargetCall::Prepare { name, shape } => {
                connection.prepared.retain(|(known, _, _)| *known != name);
                connection.prepared.push((name, shape.is_write, shape.text));
            }
            TargetCall::Begin {
                is_read_only,
                after,
            } => {
                if !is_read_only && !is_primary {
                    return Some(
                        self.targets[target].failure(TargetCode::ReadOnly, SessionState::Idle),
                    );
                }
                if after.is_some_and(|after| !self.targets[target].has_applied(after)) {
                    return Some(
                        self.targets[target].failure(TargetCode::Lagging, SessionState::Idle),
                    );
                }
                let connection = self.targets[target].find(instance, id)?;
                connection.in_transaction = true;
                connection.is_read_only = is_read_only;
                connection.written.clear();
                return Some(self.targets[target].success(
                    Vec::new(),
                    SessionState::Transaction,
                    "-",
                ));
            }
            TargetCall::Forward {
                id: query,
                text,
                after,
            } => {
                return self.run_query(instance, id, target, &query, &text, after);
            }
            TargetCall::Execute {
                id: query,
                name,
                arguments,
                after,
            } => {
                let prepared = connection
                    .prepared
                    .iter()
                    .find(|(known, _, _)| *known == name);
                let Some((_, is_write, shape)) = prepared.cloned() else {
                    let state = self.state_of(instance, id, target);
                    return Some(self.targets[target].failure(TargetCode::NoStatement, state));
                };
                self.check_shape(&query, is_write, &shape);
                let word = if is_write { "WRITE" } else { "READ" };
                let text = format!("{word} {arguments}");
                return self.run_query(instance, id, target, &query, &text, after);
            }
            _ => {}
        }
        let state = self.state_of(instance, id, target);
        Some(self.targets[target].success(Vec::new(), state, "-"))
    }

    pub(super) fn state_of(
        &mut self,
        instance: usize,
        id: ConnectionId,
        target: usize,
    ) -> SessionState {
        match self.targets[target].find(instance, id) {
            Some(connection) if connection.is_failed => SessionState::Failed,
            Some(connection) if connection.in_transaction => SessionState::Transaction,
            _ => SessionState::Idle,
        }
    }

    pub(super) fn check_shape(&mut self, query: &str, is_write: bool, shape: &str) {
        let Some((client, name)) = self.clients.iter().find_map(|client| {
            let (id, statement) = client.outstanding.as_ref()?;
            match statement {
                Statement::Execute { name, .. } if id == query => Some((client, name)),
                _ => None,
            }
        }) else {
            return;
        };
        let known = &client.prepared[name];
        if known.is_write != is_write || known.text != shape {
            self.violations
                .push(format!("statement {query} ran another shape"));
        }
    }

    pub(super) fn run_query(
        &mut self,
        instance: usize,
        id: ConnectionId,
        target: usize,
        query: &str,
        text: &str,
        after: Option<GroupPosition>,
    ) -> Option<heatherhollow_gateway::TargetAnswer> {
        self.check_session(instance, id, target, query);
        let state = self.state_of(instance, id, target);
        let is_primary = self.targets[target].is_primary;
        if after.is_some_and(|after| !self.targets[target].has_applied(after)) {
            return Some(self.targets[target].failure(TargetCode::Lagging, state));
        }
        let is_plain = self.targets[target]
            .find(instance, id)
            .is_some_and(|c| c.in_transaction && !c.is_read_only);
        if !is_primary && (is_plain || text.starts_with("WRITE")) {
            let connection = self.targets[target].find(instance, id)?;
            let state = if connection.in_transaction {
                connection.is_failed = true;
                SessionState::Failed
            } else {
                SessionState::Idle
            };
            return Some(self.targets[target].failure(TargetCode::ReadOnly, state));
        }
        if text.starts_with("READ") {
            self.check_read(target, query);
            return Some(self.targets[target].success(vec!["row".to_string()], state, "sig"));
        }
        let connection = self.targets[target].find(instance, id)?;
        let ids = if text == "COMMIT" {
            connection.in_transaction = false;
            std::mem::take(&mut connection.written)
        } else if connection.in_transaction {
            connection.written.push(query.to_string());
            return Some(self.targets[target].success(vec!["row".to_string()], state, "sig"));
        } else {
            vec![query.to_string()]
        };
        if ids.is_empty() {
            return Some(self.targets[target].success(Vec::new(), SessionState::Idle, "sig"));
        }
        let term = self.targets[target].term;
        let state = &mut self.targets[target];
        state.log.push(LogRecord { term, ids });
        state.applied = state.log.len();
        let length = state.log.len();
        state.waiting.push(WaitingCommit {
            length,
            instance,
            connection: id,
            client_id: query.to_string(),
        });
        self.replicate(target);
        None
    }

    /// A statement runs with the values that were acknowledged to its client.
    pub(super) fn check_session(
        &mut self,
        instance: usize,
        id: ConnectionId,
        target: usize,
        query: &str,
    ) {
        let found = self.clients.iter().find(|client| {
            let outstanding = client.outstanding.as_ref();
            outstanding.is_some_and(|(id, _)| id == query)
        });
        let Some(client) = found else {
            // A home may run a statement that its client's instance has given up meanwhile; what the
            // client was told of it is checked at the end.
            if !self.options.has_homes {
                self.violations
                    .push(format!("statement {query} has no client that waits"));
            }
            return;
        };
        let mut values = client.values.clone();
        values.sort();
        let in_transaction = client.in_transaction;
        let Some(connection) = self.targets[target].find(instance, id) else {
            return;
        };
        if connection.values != values {
            self.violations.push(format!(
                "statement {query} ran with values of another session"
            ));
        }
        if connection.in_transaction != in_transaction {
            self.violations
                .push(format!("statement {query} ran outside its transaction"));
        }
    }

    /// The log that a read runs on holds every commit that its route asks for.
    pub(super) fn check_read(&mut self, target: usize, query: &str) {
        let Some((client, began_at, route)) = self.readers.get(query).copied() else {
            return;
        };
        let until = match route {
            PRIMARY_ROUTE => began_at,
            _ => MonoTime::from_micros(
                began_at
                    .as_micros()
                    .saturating_sub(MAX_AGE.as_micros() as u64),
            ),
        };
        let state = &self.targets[target];
        let seen = &state.log[..state.applied];
        let has = |id: &String| seen.iter().any(|record| record.ids.contains(id));
        let mut missing = self
            .acknowledged
            .iter()
            .filter(|(at, id)| *at < until && !has(id))
            .map(|(_, id)| id.clone())
            .collect::<Vec<_>>();
        if route == OWN_ROUTE {
            let own = &self.clients[client].own_commits;
            missing.extend(own.iter().filter(|id| !has(id)).cloned());
        }
        // What a read at an old primary misses is seen only if the read is answered.
        if let Some(id) = missing.first() {
            let text = format!("read {query} at {} misses {id}", state.name);
            self.readers
                .insert(format!("stale {query}"), (client, began_at, route));
            self.writes.entry(text).or_insert(WriteOutcome::Pending);
        } else {
            self.readers.remove(&format!("stale {query}"));
        }
    }

    pub(super) fn complete_commits(&mut self, target: usize, length: usize) {
        let waiting = std::mem::take(&mut self.targets[target].waiting);
        let (done, left) = waiting
            .into_iter()
            .partition::<Vec<_>, _>(|commit| commit.length <= length);
        self.targets[target].waiting = left;
        for commit in done {
            let state = SessionState::Idle;
            let answer = self.targets[target].success(Vec::new(), state, "sig");
            self.answer(commit.instance, commit.connection, target, answer);
        }
    }

    pub(super) fn replicate(&mut self, from: usize) {
        let (term, log) = (self.targets[from].term, self.targets[from].log.clone());
        for to in (0..3).filter(|to| *to != from) {
            let delay = self.latency();
            self.schedule(delay, Happening::Replicate(from, to, term, log.clone()));
        }
    }

    pub(super) fn heartbeat(&mut self) {
        for from in 0..3 {
            if self.targets[from].is_alive && self.targets[from].is_primary {
                self.replicate(from);
            }
        }
        let now = self.now;
        for target in &mut self.targets {
            target.apply(now);
        }
        self.schedule(20, Happening::Heartbeat);
    }

    pub(super) fn crash(&mut self, target: usize, is_down: bool) {
        let state = &mut self.targets[target];
        state.is_alive = !is_down;
        if is_down {
            let closed = std::mem::take(&mut state.connections);
            state.waiting.clear();
            state.paused_for = None;
            for connection in closed {
                let event = GatewayEvent::TargetClosed {
                    connection: connection.id,
                    error: ConnectError::Closed,
                };
                self.tell(connection.instance, event, 2);
            }
        } else if self.group_term > state.term {
            state.is_primary = false;
        }
    }

    pub(super) fn take_effect(&mut self, target: usize) {
        if !self.targets[target].is_alive || self.targets[target].is_primary {
            return;
        }
        self.promotions += 1;
        self.group_term += 1;
        let term = self.group_term;
        let promoted = &mut self.targets[target];
        promoted.term = term;
        promoted.is_primary = true;
        promoted.paused_for = None;
        promoted.applied = promoted.log.len();
        let log = self.targets[target].log.clone();
        for (_, id) in &self.acknowledged {
            if !log.iter().any(|record| record.ids.contains(id)) {
                self.violations.push(format!(
                    "acknowledged write {id} is not in the log of term {term}"
                ));
            }
        }
        self.list_targets();
    }
}
