//! Placement of waiting statements on connections.
//!
//! Load that this answers: more statements than slots, targets that lag, rest or are gone, and a group
//! without a primary. Statements wait here, not at the targets, as long as a refusal can still be true;
//! the order is by expected completion (arrival plus objective), so short operations go ahead and no
//! route starves.

use std::time::Duration;

use log::info;
use log::trace;

use heatherhollow_routing::RouteChoice;
use heatherhollow_routing::RouteQuery;
use heatherhollow_routing::TargetView;
use heatherhollow_routing::choose_route;
use heatherhollow_session::ReadRequirement;
use heatherhollow_types::MonoTime;
use heatherhollow_types::RefusalReason;
use heatherhollow_types::TargetIndex;

use crate::action::GatewayAction;
use crate::core::SessionGateway;
use crate::forward::HomeMessage;
use crate::group::DatabaseGroup;
use crate::group::GroupIndex;
use crate::group::index_of;
use crate::lane::CallPurpose;
use crate::lane::ConnectionId;
use crate::lane::ControlPurpose;
use crate::lane::PendingCall;
use crate::lane::TargetLane;
use crate::message::ClientCode;
use crate::message::ClientId;
use crate::message::TargetCall;
use crate::session::ClientSession;
use crate::session::RequestKind;
use crate::session::RequestStage;
use crate::session::SessionTransaction;
use crate::statement::Statement;
use crate::statistics::LatencyKind;

/// Time assumed for a statement at a target that has not answered any yet.
const DEFAULT_STATEMENT_TIME: Duration = Duration::from_millis(10);

/// Longest wait for a replica that is about to have the session's position.
const MAX_REPLICA_WAIT: Duration = Duration::from_millis(150);

/// Part of the time limit after which a statement is refused while its group has no primary; the rest
/// is for the answer to reach the client.
const LEADERLESS_FRACTION: f64 = 0.95;

/// Age up to which a replica is considered for a read of the present state. The position that such a
/// read asks for decides; this only keeps the router from leaving out all replicas.
const MIN_ROUTE_AGE: Duration = Duration::from_secs(1);

/// Part of the time limit after which the answer of a home counts as lost.
const FORWARD_FRACTION: f64 = 1.25;

/// Where a waiting statement goes.
enum Placement {
    Target(TargetIndex),
    Wait,
    Refuse(RefusalReason),
}

impl SessionGateway {
    /// Lends idle connections to waiting statements and opens connections that are missing.
    pub(crate) fn dispatch(&mut self, group: GroupIndex, now: MonoTime) {
        self.send_control(group, now);
        self.want_evidence(group, now);
        if self.groups[group.0].queue.is_empty() {
            return;
        }
        let mut order = std::mem::take(&mut self.groups[group.0].queue);
        order.sort_by_key(|client| {
            let request = self.client(*client).and_then(|s| s.request.as_ref());
            request.map(|request| request.urgency())
        });
        let mut demand = vec![0_usize; self.groups[group.0].lanes.len()];
        let mut waiting = Vec::new();
        for client in order {
            let Some(session) = self.client(client) else {
                continue;
            };
            match self.place_request(group, session, &demand, now) {
                Placement::Target(target) => {
                    let lane = self.groups[group.0].lane(target);
                    match lane.and_then(|lane| lane.idle_for(session)) {
                        Some(connection) => self.lend(group, connection, client, now),
                        None => {
                            demand[target.as_usize()] += 1;
                            waiting.push(client);
                        }
                    }
                }
                Placement::Wait => waiting.push(client),
                Placement::Refuse(reason) => {
                    let text = "the statement cannot be run here in time; retry after 50 ms";
                    self.refuse_request(client, ClientCode::Busy, reason, text, now);
                }
            }
        }
        // Refusals above may have let later queries of a client into the queue.
        waiting.append(&mut self.groups[group.0].queue);
        self.groups[group.0].queue = waiting;
        self.probe_for_reads(group, now);
        for (i, wanted) in demand.into_iter().enumerate() {
            self.open_wanted(group, index_of(i), wanted, now);
        }
    }

    /// Asks replicas that have not answered for a while for their position, if reads wait: they may be
    /// fresh enough although others lag.
    fn probe_for_reads(&mut self, group: GroupIndex, now: MonoTime) {
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
            .filter(|(i, lane)| {
                let is_quiet = lane
                    .answered_at
                    .is_none_or(|answered_at| now.since(answered_at) >= interval);
                state.primary != Some(*i) && is_quiet && lane.in_use() == 0
            })
            .map(|(i, _)| i)
            .collect::<Vec<_>>();
        for target in quiet {
            state.control(target, ControlPurpose::Observe, TargetCall::Status, now);
        }
        self.send_control(group, now);
    }

    fn open_wanted(
        &mut self,
        group: GroupIndex,
        target: TargetIndex,
        wanted: usize,
        now: MonoTime,
    ) {
        let share = self.groups[group.0].share(self.holders(&self.groups[group.0]));
        loop {
            let state = &self.groups[group.0];
            let Some(lane) = state.lane(target) else {
                return;
            };
            let opening = lane.opening();
            let is_enough = opening >= wanted.min(self.settings.max_opening);
            let has_room = lane.connections.len() < share
                || state.has_surplus(target, self.holders(state), now);
            if is_enough || !has_room || now < lane.open_after {
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
            for lane in self.groups[group.0].lanes.iter_mut().flatten() {
                lane.control.retain(|job| {
                    job.purpose != ControlPurpose::Promotion || job.call == TargetCall::Status
                });
            }
        }
        for i in 0..self.groups[group.0].lanes.len() {
            let target = index_of(i);
            while let Some(lane) = self.groups[group.0].lane_mut(target)
                && !lane.control.is_empty()
            {
                if let Some(connection) = lane.any_idle() {
                    let job = lane.control.pop_front().expect("a job waits");
                    self.call(connection, CallPurpose::Control(job.purpose), job.call, now);
                    continue;
                }
                // One connection beyond the share is for control, as all others may rest in
                // transactions.
                let room = share + usize::from(now >= lane.surplus_after);
                let may_open =
                    lane.opening() == 0 && now >= lane.open_after && lane.connections.len() < room;
                if may_open {
                    self.open_connection(group, target, false, now);
                }
                break;
            }
        }
    }

    fn place_request(
        &self,
        group: GroupIndex,
        session: &ClientSession,
        demand: &[usize],
        now: MonoTime,
    ) -> Placement {
        let state = &self.groups[group.0];
        let Some(request) = &session.request else {
            return Placement::Wait;
        };
        if now < request.not_before {
            return Placement::Wait;
        }
        let is_isolated = state.is_isolated(self.settings.isolation_limit, now);
        if is_isolated && session.needs_primary() {
            return Placement::Refuse(RefusalReason::Unreachable);
        }
        let primary = usable_primary(state, now, self.settings.leaving_limit);
        if let Some(target) = primary.filter(|_| session.needs_primary()) {
            return Placement::Target(target);
        }
        if session.is_writing() {
            return if self.is_hopeless(state, now) {
                Placement::Refuse(RefusalReason::NoPrimary)
            } else {
                Placement::Wait
            };
        }
        // Without a primary, a read of the present state can run at a replica that has every commit
        // that any target held after the read began.
        let own = session.position;
        let complete = session.evidence_from().unwrap_or(now);
        let required = state.required_position(complete, own);
        let faulty = self.faulty_targets(state, now);
        let views = state
            .targets()
            .map(|(i, lane)| {
                let is_primary = state.primary == Some(i);
                // Without a proved position only the primary can serve.
                let is_unproved = !is_primary && required.is_none();
                let is_out = is_unproved || request.is_avoided(i, now) || faulty.contains(&i);
                self.view(state, i, lane, demand, is_out, now)
            })
            .collect::<Vec<_>>();
        let query = RouteQuery {
            requirement: required.map_or(ReadRequirement::None, ReadRequirement::AtLeast),
            max_age: request.route.freshness.max_age().max(MIN_ROUTE_AGE),
            max_wait: MAX_REPLICA_WAIT,
            deadline: request.deadline(),
        };
        let choice = choose_route(&query, &views, &state.tracker, &self.settings.policy, now);
        let waited = now.since(request.received_at);
        if !matches!(choice, RouteChoice::Go(_))
            && waited >= self.settings.try_lagging_after
            && let Some(target) = idle_replica(state, &views)
        {
            return Placement::Target(target);
        }
        match choice {
            // The cheapest target may have no connection free while another one has.
            RouteChoice::Go(target) => {
                let has_idle = |lane: &TargetLane| lane.any_idle().is_some();
                let is_free = state.lane(target).is_some_and(has_idle);
                let other = idle_replica(state, &views).filter(|_| !is_free);
                Placement::Target(other.unwrap_or(target))
            }
            RouteChoice::WaitFor { .. } => Placement::Wait,
            RouteChoice::Refuse {
                reason: RefusalReason::DeadlinePassed,
                ..
            } => Placement::Refuse(RefusalReason::DeadlinePassed),
            RouteChoice::Refuse { .. } if is_isolated && required.is_none() => {
                Placement::Refuse(RefusalReason::Unreachable)
            }
            RouteChoice::Refuse { .. } => Placement::Wait,
        }
    }

    /// Targets that fail too many statements; none if all do, so that a group is never emptied.
    fn faulty_targets(&self, state: &DatabaseGroup, now: MonoTime) -> Vec<TargetIndex> {
        let limit = self.settings.faulty_rate;
        let is_faulty = |lane: &TargetLane| lane.failure_rate.value(now) >= limit;
        let faulty = state.targets().filter(|(_, lane)| is_faulty(lane));
        let faulty = faulty.map(|(i, _)| i).collect::<Vec<_>>();
        if faulty.len() == state.targets().count() {
            return Vec::new();
        }
        faulty
    }

    /// Whether a group without a primary gets none soon, as the store does not grant the duty.
    fn is_hopeless(&self, state: &DatabaseGroup, now: MonoTime) -> bool {
        let limit = self.settings.leaderless_limit;
        let is_long = state
            .leaderless_since
            .or(state.suspicion.suspected_since())
            .is_some_and(|since| now.since(since) >= limit);
        let is_refused = self
            .duty_unavailable_at
            .is_some_and(|at| now.since(at) < limit + self.settings.promotion_backoff);
        is_long && is_refused
    }

    fn view(
        &self,
        state: &DatabaseGroup,
        target: TargetIndex,
        lane: &TargetLane,
        demand: &[usize],
        is_unfit: bool,
        now: MonoTime,
    ) -> TargetView {
        let is_primary = state.primary == Some(target);
        let in_flight = lane.in_use() + demand[target.as_usize()];
        let is_out = lane.is_unreachable() || now < lane.rest_until || is_unfit;
        let is_unusable_primary =
            is_primary && usable_primary(state, now, self.settings.leaving_limit).is_none();
        let share = state.share(self.holders(state)).max(lane.connections.len());
        let measured = lane.statement_time.value(now);
        TargetView {
            target,
            is_primary,
            is_leaving: lane.is_leaving(),
            is_suspected: is_out || is_unusable_primary,
            is_remote: self.identity.is_remote(&lane.entry.data_centre),
            // The measured time of a statement includes the way.
            round_trip: Duration::ZERO,
            in_flight: u32::try_from(in_flight).unwrap_or(u32::MAX),
            reads_in_flight: u32::try_from(in_flight).unwrap_or(u32::MAX),
            slots: u32::try_from(share).unwrap_or(u32::MAX),
            statement_time: if measured.is_zero() {
                DEFAULT_STATEMENT_TIME
            } else {
                measured
            },
        }
    }

    fn lend(
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
        let Some(place) = self.place(id) else { return };
        let max_prepared = self.settings.max_prepared;
        let state = &mut self.groups[place.group.0];
        let is_primary = state.primary == Some(place.target);
        let term = state.term;
        let Some(lane) = state.lane_mut(place.target) else {
            return;
        };
        let target = lane.entry.target.clone();
        let Some(connection) = lane.connection_mut(id) else {
            return;
        };
        let Some(client) = connection.holder.filter(|_| connection.calls.is_empty()) else {
            return;
        };
        let Ok(i) = self.clients.binary_search_by_key(&client, |s| s.id) else {
            return;
        };
        let session = &mut self.clients[i];
        let setup = connection.setup_calls(session, max_prepared);
        let in_transaction = connection.in_transaction;
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
        let evidence_from = session.evidence_from();
        let after = match (needs_position, evidence_from) {
            (true, Some(complete)) => {
                let found = state.required_position(complete, session.position);
                if session.is_writing() || found.is_none() {
                    // The leadership changed since the connection was lent.
                    self.take_back(id, client, now);
                    return;
                }
                found
            }
            _ => None,
        };
        if is_primary && let Some(complete) = evidence_from {
            state.want_check(complete);
        }
        if needs_begin {
            let is_read_only = session
                .open_transaction()
                .is_some_and(|open| open.is_read_only);
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
                    connection.name_of(&shape).map(ToString::to_string)
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
        let Some(place) = self.place(id) else { return };
        trace!("target_called connection={id} purpose={purpose:?}");
        let state = &mut self.groups[place.group.0];
        if state.primary == Some(place.target) {
            state.monitor.probe_sent(now);
        }
        if let Some(lane) = state.lane_mut(place.target)
            && let Some(connection) = lane.connection_mut(id)
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
        let may_log = self.may_log(now);
        let inputs = may_log.then(|| self.describe_inputs(client, now));
        let Some(session) = self.client_mut(client) else {
            return;
        };
        let Some(request) = session.request.take() else {
            return;
        };
        if let Some(inputs) = inputs {
            info!(
                "statement_refused id={} client={client} reason={reason} waited_ms={} \
                 attempts={} sent_to={} database={} {inputs}",
                request.query.id,
                now.since(request.received_at).as_millis(),
                request.attempts,
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
                SessionTransaction::Failed { is_told: true }
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
        self.refuse_locally(client, code, text);
        if reason == RefusalReason::Unreachable
            && let Some(GatewayAction::AnswerClient { answer, .. }) = self.actions.last_mut()
        {
            answer.is_isolated = true;
        }
        self.advance_client(client, now);
    }

    /// What decided about a request, for its log line: version of the declarations, term, position asked
    /// for, and for each target its role, connections in use, lag and the age of its last report.
    fn describe_inputs(&self, client: ClientId, now: MonoTime) -> String {
        let Some(session) = self.client(client) else {
            return String::new();
        };
        let Some(request) = &session.request else {
            return String::new();
        };
        let state = &self.groups[request.group.0];
        let version = self.catalog.as_ref().map_or(0, |catalog| catalog.version);
        let complete = session.evidence_from().unwrap_or(now);
        let required = state.required_position(complete, session.position);
        let mut text = format!(
            "catalog={version} group={} term={} suspicion={:?} needs_primary={} required={}",
            state.name,
            state.term,
            state.suspicion,
            session.needs_primary(),
            required.map_or("unproved".to_string(), |position| position.to_string())
        );
        for (i, lane) in state.targets() {
            let role = if state.primary == Some(i) {
                "primary"
            } else {
                "replica"
            };
            let report = lane.report.map_or("none".to_string(), |(at, report)| {
                format!("{}@{}ms", report.received, now.since(at).as_millis())
            });
            let lag = state.tracker.lag(i, now);
            text.push_str(&format!(
                " target={}:{role}:in_use={}/{}:opening={}:lag_ms={}:report={report}",
                lane.entry.target,
                lane.in_use(),
                lane.connections.len(),
                lane.opening(),
                lag.map_or("unknown".to_string(), |lag| lag
                    .bound()
                    .as_millis()
                    .to_string())
            ));
        }
        text
    }

    /// Refuses queued requests whose time is up, and ends those that targets do not answer.
    pub(crate) fn expire_requests(&mut self, now: MonoTime) {
        self.expire_transactions(now);
        let due = self
            .clients
            .iter()
            .filter(|session| self.is_due(session, now))
            .map(|session| session.id)
            .collect::<Vec<_>>();
        for client in due {
            self.expire_request(client, now);
        }
        self.expire_answers(now);
    }

    /// Gives up answers that were probably lost: the target is slow beyond what is usual for it, and
    /// the statement can run again since it only reads or its transaction is rolled back.
    fn expire_answers(&mut self, now: MonoTime) {
        let late = self
            .clients
            .iter()
            .filter_map(|session| Some((session.id, self.late_connection(session, now)?)))
            .collect::<Vec<_>>();
        for (client, connection) in late {
            if self.may_log(now) {
                info!("answer_given_up client={client} connection={connection}");
            }
            let Some(place) = self.place(connection) else {
                continue;
            };
            let rest = self.settings.status_timeout;
            let sent_at = self
                .client(client)
                .and_then(|s| Some(s.request.as_ref()?.sent_at));
            if let Some(lane) = self.groups[place.group.0].lane_mut(place.target) {
                lane.failure_rate.record(true, now);
                if let Some(sent_at) = sent_at {
                    lane.statement_time.record(now.since(sent_at), now);
                }
                if lane.answered_at < sent_at {
                    // Nothing at all has come from the target since: others are tried first.
                    lane.rest_until = now + rest;
                }
            }
            let avoided_until = now + self.settings.failed_backoff;
            if let Some(request) = self.client_mut(client).and_then(|s| s.request.as_mut()) {
                request.avoided.push((place.target, avoided_until));
            }
            self.close_connection(connection);
            self.end_unanswered(client, false, now);
        }
    }

    /// The connection on which the answer to a repeatable statement is overdue.
    fn late_connection(&self, session: &ClientSession, now: MonoTime) -> Option<ConnectionId> {
        let request = session.request.as_ref()?;
        let RequestStage::Sent(connection) = request.stage else {
            return None;
        };
        let is_repeatable = match request.kind {
            RequestKind::Read => true,
            RequestKind::Write => session.open_transaction().is_some(),
            RequestKind::Commit => false,
        };
        let place = self.place(connection).filter(|_| is_repeatable)?;
        let lane = self.groups[place.group.0].lane(place.target)?;
        let usual = lane.statement_time.value(now) * self.settings.answer_wait_factor;
        let limit = usual.max(self.settings.min_answer_wait);
        (now.since(request.sent_at) >= limit).then_some(connection)
    }

    fn is_due(&self, session: &ClientSession, now: MonoTime) -> bool {
        let Some(request) = &session.request else {
            return false;
        };
        let fraction = match request.stage {
            RequestStage::Queued if self.groups[request.group.0].primary.is_none() => {
                LEADERLESS_FRACTION
            }
            RequestStage::Queued => self.settings.queue_fraction,
            // The home ends it in time; this is for an answer that does not come.
            RequestStage::Forwarded { .. } => FORWARD_FRACTION,
            _ => 1.0,
        };
        now >= request.received_at + request.route.timeout.mul_f64(fraction)
    }

    fn expire_request(&mut self, client: ClientId, now: MonoTime) {
        let Some(request) = self.client(client).and_then(|s| s.request.as_ref()) else {
            return;
        };
        let has_primary = self.groups[request.group.0].primary.is_some();
        match request.stage.clone() {
            RequestStage::Queued => {
                let reason = if has_primary {
                    RefusalReason::QueueTimeout
                } else {
                    RefusalReason::NoPrimary
                };
                let text = "no connection became free in time";
                self.refuse_request(client, ClientCode::Busy, reason, text, now);
            }
            RequestStage::Preparing(connection) | RequestStage::Sent(connection) => {
                self.close_connection(connection);
                self.end_unanswered(client, true, now);
            }
            RequestStage::Forwarded { home, .. } => {
                self.tell_home(client, &home, HomeMessage::End);
                self.end_unanswered(client, true, now);
            }
            RequestStage::Held { .. } => {
                self.end_unproved(client, now);
            }
        }
    }
}

/// A replica with an idle connection among those that can be used.
fn idle_replica(state: &DatabaseGroup, views: &[TargetView]) -> Option<TargetIndex> {
    views
        .iter()
        .filter(|view| !view.is_primary && !view.is_leaving && !view.is_suspected)
        .filter(|view| {
            let lane = state.lane(view.target);
            lane.is_some_and(|lane| lane.any_idle().is_some())
        })
        .min_by_key(|view| (view.in_flight, view.is_remote))
        .map(|view| view.target)
}

/// The known primary, if statements can be sent to it.
fn usable_primary(
    state: &DatabaseGroup,
    now: MonoTime,
    leaving_limit: Duration,
) -> Option<TargetIndex> {
    let target = state.primary?;
    let lane = state.lane(target)?;
    let is_late = lane
        .leaving_since
        .is_some_and(|since| now.since(since) > leaving_limit);
    let is_out = lane.must_confirm || now < lane.rest_until || is_late;
    (!is_out && state.suspicion.suspected_since().is_none()).then_some(target)
}
