//! Targets of the load simulation: slots, a short queue, replication and connections.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::time::Duration;

use rand::RngExt;

use heatherhollow_gateway::AnswerEnd;
use heatherhollow_gateway::ConnectError;
use heatherhollow_gateway::ConnectionId;
use heatherhollow_gateway::GatewayEvent;
use heatherhollow_gateway::SessionState;
use heatherhollow_gateway::StatusFormat;
use heatherhollow_gateway::StatusReport;
use heatherhollow_gateway::TargetAnswer;
use heatherhollow_gateway::TargetCall;
use heatherhollow_gateway::TargetCode;
use heatherhollow_gateway::TargetEntry;
use heatherhollow_gateway::TargetRole;
use heatherhollow_gateway::TargetState;
use heatherhollow_types::GroupPosition;
use heatherhollow_types::TermNumber;

use super::LINK_DELAY;
use super::LoadSimulation;
use super::MAX_CONNECTIONS;
use super::SimEvent;
use super::TARGETS;
use super::faults::FrozenInput;
use super::second_of;

/// Group of the targets.
pub(super) const GROUP: &str = "ledger";

/// Calls that a target runs in parallel, from the site sheets.
pub(super) const SLOTS: usize = 3;

/// Calls that wait for a slot before a target answers `BUSY`. One round of slots is short enough
/// that the target's own queue hides little overload from the gateway.
pub(super) const QUEUE_LENGTH: usize = 3;

/// Work of a connection start, from the site sheets.
const START_WORK: Duration = Duration::from_millis(12);

/// Work of a status call, that of a health check in the site files.
const STATUS_WORK: Duration = Duration::from_micros(500);

/// Delay before replicas apply received records, from the site sheet of `willow-ledger`.
const USUAL_LAG: Duration = Duration::from_millis(20);

/// Status format whose rows contain the role, the term, the received position, the term of a pause
/// or 0, the lag in milliseconds and the number of connections.
pub(super) struct ReportFormat;

impl StatusFormat for ReportFormat {
    fn decode(&self, row: &str) -> Option<StatusReport> {
        let fields = row.split(' ').collect::<Vec<_>>();
        let [role, term, received, paused_for, lag, connections] = fields[..] else {
            return None;
        };
        let term = term.parse().ok()?;
        let paused_for = paused_for.parse().ok()?;
        Some(StatusReport {
            role: match role {
                "primary" => TargetRole::Primary,
                "replica" => TargetRole::Replica,
                _ => return None,
            },
            term: TermNumber(term),
            received: GroupPosition::new(term, received.parse().ok()?),
            paused_for: (paused_for > 0).then_some(TermNumber(paused_for)),
            lag: Duration::from_millis(lag.parse().ok()?),
            busy_slots: 0,
            connections: connections.parse().ok()?,
        })
    }
}

/// Returns the list entry of a target, whose port is its number.
pub(super) fn target_entry(target: usize) -> TargetEntry {
    TargetEntry {
        target: format!("t{target}"),
        group: GROUP.to_string(),
        address: format!("127.0.0.1:{target}")
            .parse()
            .expect("a constant address is valid"),
        data_centre: "dc".parse().expect("a constant name is valid"),
        slots: SLOTS as u32,
        state: TargetState::Ready,
        role: None,
        incarnation: 1,
    }
}

/// State of a connection at its target.
#[derive(Debug, Default)]
struct ServerSession {
    calls: VecDeque<TargetCall>,
    /// The call that waits for a slot or runs in one.
    current: Option<TargetCall>,
    state: SessionState,
    is_read_only: bool,
    has_written: bool,
}

/// A simulated target. All logs share one history, so a number orders positions of all terms.
#[derive(Debug)]
pub(super) struct LoadTarget {
    /// Highest term that the target knows.
    term: u64,
    /// Whether it leads its term by its own account.
    leads: bool,
    /// Term for which a promotion paused the target.
    paused_for: Option<u64>,
    /// Number of times that it was asked to step down and did.
    pub step_downs: usize,
    sessions: BTreeMap<ConnectionId, ServerSession>,
    running: usize,
    waiting: VecDeque<ConnectionId>,
    received: u64,
    applied: u64,
    /// Commits that no replica has received yet, by position.
    unconfirmed: Vec<(u64, ConnectionId)>,
}

impl LoadTarget {
    /// Creates a target of the first term.
    pub fn new(leads: bool) -> Self {
        Self {
            term: 1,
            leads,
            paused_for: None,
            step_downs: 0,
            sessions: BTreeMap::new(),
            running: 0,
            waiting: VecDeque::new(),
            received: 0,
            applied: 0,
            unconfirmed: Vec::new(),
        }
    }

    /// Applies a call that pauses, resumes or demotes the target.
    fn apply_control(&mut self, call: &TargetCall) {
        match call {
            TargetCall::Pause(term) if !self.leads => self.paused_for = Some(term.0),
            TargetCall::Resume => self.paused_for = None,
            TargetCall::StepDown(term) if term.0 > self.term => {
                self.leads = false;
                self.step_downs += 1;
            }
            _ => {}
        }
    }
}

impl LoadSimulation {
    /// Opens a connection; the attempt times out if the target is unreachable.
    pub(super) fn open_connection(
        &mut self,
        connection: ConnectionId,
        target: usize,
        timeout: Duration,
    ) {
        if self.fault.is_silent(target) {
            let event = GatewayEvent::TargetClosed {
                connection,
                error: ConnectError::TimedOut,
            };
            self.schedule_after(timeout, SimEvent::Deliver(event));
            return;
        }
        self.schedule_after(LINK_DELAY, SimEvent::Open(connection, target));
        // The operating system of a hanging target still accepts connections.
        let event = GatewayEvent::TargetOpened(connection);
        self.schedule_after(LINK_DELAY * 2, SimEvent::Deliver(event));
    }

    pub(super) fn handle_open(&mut self, connection: ConnectionId, target: usize) {
        if self.fault.is_hanging(target) {
            let input = FrozenInput::Open(connection);
            self.fault.frozen.push((target, input));
            return;
        }
        let session = ServerSession::default();
        self.targets[target].sessions.insert(connection, session);
    }

    pub(super) fn handle_close(&mut self, connection: ConnectionId, target: usize) {
        if self.fault.is_hanging(target) {
            let input = FrozenInput::Close(connection);
            self.fault.frozen.push((target, input));
            return;
        }
        // A running call keeps its slot until it has finished.
        let state = &mut self.targets[target];
        state.sessions.remove(&connection);
        state.waiting.retain(|waiting| *waiting != connection);
        state
            .unconfirmed
            .retain(|(_, session)| *session != connection);
    }

    pub(super) fn handle_call(
        &mut self,
        connection: ConnectionId,
        target: usize,
        call: TargetCall,
    ) {
        if self.fault.is_silent(target) {
            return;
        }
        if self.fault.is_hanging(target) {
            let input = FrozenInput::Call(connection, call);
            self.fault.frozen.push((target, input));
            return;
        }
        if let Some(session) = self.targets[target].sessions.get_mut(&connection) {
            session.calls.push_back(call);
            self.start_next_call(connection, target);
        }
    }

    /// Starts the next call of a connection unless one is in progress.
    fn start_next_call(&mut self, connection: ConnectionId, target: usize) {
        let state = &mut self.targets[target];
        let count = state.sessions.len();
        let Some(session) = state.sessions.get_mut(&connection) else {
            return;
        };
        if session.current.is_some() {
            return;
        }
        let Some(call) = session.calls.pop_front() else {
            return;
        };
        if let Some(code) = self.refusal(connection, target, &call) {
            self.count_refusal(&call, &code);
            self.answer_error(connection, target, code);
            return;
        }
        let state = &mut self.targets[target];
        let session = state.sessions.get_mut(&connection).expect("a known link");
        let (slots, length) = self.fault.capacity();
        let is_full = state.running >= slots && state.waiting.len() >= length;
        match &call {
            TargetCall::Begin { is_read_only, .. } => {
                session.state = SessionState::Transaction;
                session.is_read_only = *is_read_only;
                session.has_written = false;
                self.answer_success(connection, target, "");
            }
            TargetCall::Rollback => {
                session.state = SessionState::Idle;
                self.answer_success(connection, target, "");
            }
            TargetCall::Discard | TargetCall::Set { .. } | TargetCall::Prepare { .. } => {
                self.answer_success(connection, target, "");
            }
            TargetCall::Start { .. } if count > MAX_CONNECTIONS as usize => {
                self.answer_error(connection, target, TargetCode::ConnectionLimit);
            }
            TargetCall::Start { .. } => self.enqueue_call(connection, target, call),
            _ if is_full => {
                self.count_refusal(&call, &TargetCode::Busy);
                self.answer_error(connection, target, TargetCode::Busy);
            }
            _ => self.enqueue_call(connection, target, call),
        }
    }

    /// Returns why a target refuses a call, apart from a full queue; `None` if it accepts the call.
    fn refusal(
        &self,
        connection: ConnectionId,
        target: usize,
        call: &TargetCall,
    ) -> Option<TargetCode> {
        let state = &self.targets[target];
        let session = state.sessions.get(&connection)?;
        let after = match call {
            TargetCall::Forward { after, .. } | TargetCall::Begin { after, .. } => *after,
            _ => None,
        };
        if after.is_some_and(|after| after.position.0 > state.applied) {
            return Some(TargetCode::Lagging);
        }
        let is_read_write = session.state == SessionState::Transaction && !session.is_read_only;
        let needs_primary = match call {
            TargetCall::Begin { is_read_only, .. } => !is_read_only,
            TargetCall::Forward { text, .. } => text.starts_with("WRITE") || is_read_write,
            _ => false,
        };
        (needs_primary && !state.leads).then_some(TargetCode::ReadOnly)
    }

    fn count_refusal(&mut self, call: &TargetCall, code: &TargetCode) {
        if !matches!(call, TargetCall::Forward { .. } | TargetCall::Begin { .. }) {
            return;
        }
        match code {
            TargetCode::Busy => self.arrivals.busy += 1,
            TargetCode::Lagging => self.arrivals.lagging += 1,
            _ => self.arrivals.other += 1,
        }
    }

    fn enqueue_call(&mut self, connection: ConnectionId, target: usize, call: TargetCall) {
        let state = &mut self.targets[target];
        if let Some(session) = state.sessions.get_mut(&connection) {
            session.current = Some(call);
        }
        state.waiting.push_back(connection);
        self.fill_slots(target);
    }

    pub(super) fn fill_slots(&mut self, target: usize) {
        while self.targets[target].running < self.fault.capacity().0 {
            let state = &mut self.targets[target];
            let Some(connection) = state.waiting.pop_front() else {
                return;
            };
            state.running += 1;
            let session = state.sessions.get(&connection);
            let work = match session.and_then(|session| session.current.as_ref()) {
                Some(TargetCall::Start { .. }) => START_WORK,
                Some(TargetCall::Forward { id, .. }) => {
                    let id = id.clone();
                    self.draw_work(&id)
                }
                _ => STATUS_WORK,
            };
            let work = self.fault.work_duration(target, work);
            self.schedule_after(work, SimEvent::WorkDone(connection, target));
        }
    }

    /// Finishes a call at the end of its time in a slot.
    pub(super) fn finish_work(&mut self, connection: ConnectionId, target: usize) {
        if self.fault.is_hanging(target) {
            let input = FrozenInput::WorkDone(connection);
            self.fault.frozen.push((target, input));
            return;
        }
        let state = &mut self.targets[target];
        state.running -= 1;
        let count = state.sessions.len();
        let received = state.received;
        let session = state.sessions.get_mut(&connection);
        let call = session.and_then(|session| session.current.take());
        match call {
            Some(TargetCall::Start { .. }) => self.answer_success(connection, target, ""),
            Some(TargetCall::Forward { text, .. }) => {
                self.count_run(target);
                self.finish_statement(connection, target, &text);
            }
            Some(call) => {
                let state = &mut self.targets[target];
                state.apply_control(&call);
                let role = if state.leads { "primary" } else { "replica" };
                let (term, paused_for) = (state.term, state.paused_for.unwrap_or(0));
                let lag = self.fault.reported_lag(target, self.now).as_millis();
                let lag = if self.targets[target].leads { 0 } else { lag };
                let row = format!("{role} {term} {received} {paused_for} {lag} {count}");
                self.answer_success(connection, target, &row);
            }
            // The connection was closed in the meantime.
            None => {}
        }
        self.fill_slots(target);
    }

    fn finish_statement(&mut self, connection: ConnectionId, target: usize, text: &str) {
        let has_failed = self.draw_failure(target);
        let Some(session) = self.targets[target].sessions.get_mut(&connection) else {
            return;
        };
        let is_open = session.state != SessionState::Idle;
        let is_commit = text == "COMMIT";
        if has_failed {
            session.state = if is_open && !is_commit {
                SessionState::Failed
            } else {
                SessionState::Idle
            };
            self.answer_error(connection, target, TargetCode::Failed);
            return;
        }
        let is_write = text.starts_with("WRITE");
        session.has_written |= is_write && is_open;
        let is_write_commit = (is_write && !is_open) || (is_commit && session.has_written);
        if is_commit {
            session.state = SessionState::Idle;
            session.has_written = false;
        }
        if is_write_commit && !self.targets[target].leads {
            // The target stepped down while the statement ran.
            self.answer_error(connection, target, TargetCode::ReadOnly);
        } else if is_write_commit {
            self.append_commit(connection, target);
        } else {
            self.send_outcome(connection, target);
        }
    }

    /// Appends a commit to the primary's log; it is answered once a replica has it.
    fn append_commit(&mut self, connection: ConnectionId, target: usize) {
        let primary = &mut self.targets[target];
        primary.received += 1;
        primary.applied = primary.received;
        let position = primary.received;
        primary.unconfirmed.push((position, connection));
        // The placeholder keeps the connection from starting another call before the answer.
        if let Some(session) = primary.sessions.get_mut(&connection) {
            session.current = Some(TargetCall::Status);
        }
        for replica in (0..TARGETS).filter(|replica| *replica != target) {
            self.schedule_after(LINK_DELAY, SimEvent::Receive(replica, position));
        }
    }

    pub(super) fn receive_log(&mut self, target: usize, position: u64) {
        if self.fault.is_silent(target) || self.fault.is_hanging(target) {
            let waiting = &mut self.fault.unreceived[target];
            *waiting = position.max(*waiting);
            return;
        }
        let state = &mut self.targets[target];
        if state.leads || state.paused_for.is_some() {
            return;
        }
        state.received = position.max(state.received);
        self.schedule_after(USUAL_LAG, SimEvent::Apply(target, position));
        self.confirm_commits();
    }

    /// Answers the commits that a replica has received.
    pub(super) fn confirm_commits(&mut self) {
        let leader = self.leader;
        if self.fault.is_hanging(leader) {
            return;
        }
        let replicas = (0..TARGETS).filter(|target| *target != leader);
        let received = replicas.map(|replica| self.targets[replica].received);
        let received = received.max().unwrap_or(0);
        let primary = &mut self.targets[leader];
        let unconfirmed = std::mem::take(&mut primary.unconfirmed);
        let (done, left) = unconfirmed
            .into_iter()
            .partition(|(needed, _)| *needed <= received);
        primary.unconfirmed = left;
        let done: Vec<(u64, ConnectionId)> = done;
        for (_, connection) in done {
            if let Some(session) = self.targets[leader].sessions.get_mut(&connection) {
                session.current = None;
            }
            self.send_outcome(connection, leader);
        }
    }

    /// Makes a target the primary of the next term. It has applied its log then, and the others
    /// follow it.
    pub(super) fn promote(&mut self, target: usize) {
        self.promotions.push(second_of(self.now));
        self.leader = target;
        let term = self.targets[target].term + 1;
        let received = self.targets[target].received;
        for (i, state) in self.targets.iter_mut().enumerate() {
            state.term = term;
            state.leads = i == target;
            // The gateway may not know records that no replica has received.
            state.received = state.received.min(received);
            state.applied = state.applied.min(received);
        }
        let promoted = &mut self.targets[target];
        promoted.paused_for = None;
        promoted.applied = received;
        for replica in (0..TARGETS).filter(|replica| *replica != target) {
            self.schedule_after(LINK_DELAY, SimEvent::Receive(replica, received));
        }
    }

    pub(super) fn apply_log(&mut self, target: usize, position: u64) {
        let is_held_back = self.fault.is_lagging(target) && !self.targets[target].leads;
        if is_held_back || self.fault.is_hanging(target) {
            let waiting = &mut self.fault.unapplied[target];
            *waiting = position.max(*waiting);
            return;
        }
        let state = &mut self.targets[target];
        state.applied = position.max(state.applied).min(state.received);
    }

    /// Answers an executed statement, or loses the answer: half of the affected connections stay
    /// silent, and the others are reset.
    fn send_outcome(&mut self, connection: ConnectionId, target: usize) {
        if !self.draw_loss() {
            self.answer_success(connection, target, "row");
        } else if self.random.random_bool(0.5) {
            self.targets[target].sessions.remove(&connection);
            let error = ConnectError::Closed;
            let event = GatewayEvent::TargetClosed { connection, error };
            self.schedule_after(LINK_DELAY, SimEvent::Deliver(event));
        }
    }

    fn answer_success(&mut self, connection: ConnectionId, target: usize, row: &str) {
        let end = AnswerEnd::Complete {
            signature: "sig".to_string(),
        };
        let rows = match row {
            "" => Vec::new(),
            row => vec![row.to_string()],
        };
        self.answer(connection, target, rows, end);
    }

    fn answer_error(&mut self, connection: ConnectionId, target: usize, code: TargetCode) {
        let text = format!("t{target}");
        let end = AnswerEnd::Error { code, text };
        self.answer(connection, target, Vec::new(), end);
    }

    fn answer(
        &mut self,
        connection: ConnectionId,
        target: usize,
        rows: Vec<String>,
        end: AnswerEnd,
    ) {
        let state = &self.targets[target];
        let Some(session) = state.sessions.get(&connection) else {
            return;
        };
        let answer = TargetAnswer {
            rows,
            end,
            state: session.state,
            position: Some(GroupPosition::new(state.term, state.applied)),
        };
        if !self.fault.is_silent(target) {
            let event = GatewayEvent::TargetAnswered { connection, answer };
            self.schedule_after(LINK_DELAY, SimEvent::Deliver(event));
        }
        self.start_next_call(connection, target);
    }
}
