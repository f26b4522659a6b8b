//! Targets of the played day: slots, a short queue, replication and connections.

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

use super::Day;
use super::Due;
use super::LINK_DELAY;
use super::MAX_CONNECTIONS;
use super::faults::FrozenInput;

/// Group of the targets.
pub(super) const GROUP: &str = "ledger";

/// Calls that a target works on at the same time, as on the site sheets.
pub(super) const SLOTS: usize = 3;

/// Calls that wait at a target for a slot before it answers `BUSY`: one round of its slots, so that a
/// queue of its own hides little of an overload from the gateway.
pub(super) const QUEUE_LENGTH: usize = 3;

/// Work of a new connection, as on the site sheets.
const START_WORK: Duration = Duration::from_millis(12);

/// Work of a status call, as that of a health check in the site files.
const STATUS_WORK: Duration = Duration::from_micros(500);

/// Delay with which replicas apply what they received, as on the site sheet of `willow-ledger`.
const USUAL_LAG: Duration = Duration::from_millis(20);

/// Term of the only primary.
const TERM: u64 = 1;

/// Status rows are role, received position and number of connections.
pub(super) struct ReportFormat;

impl StatusFormat for ReportFormat {
    fn decode(&self, row: &str) -> Option<StatusReport> {
        let fields = row.split(' ').collect::<Vec<_>>();
        let [role, received, connections] = fields[..] else {
            return None;
        };
        Some(StatusReport {
            role: match role {
                "primary" => TargetRole::Primary,
                "replica" => TargetRole::Replica,
                _ => return None,
            },
            term: TermNumber(TERM),
            received: GroupPosition::new(TERM, received.parse().ok()?),
            paused_for: None,
            lag: Duration::ZERO,
            busy_slots: 0,
            connections: connections.parse().ok()?,
        })
    }
}

/// The entry of a target; its port is its number.
pub(super) fn entry(target: usize) -> TargetEntry {
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

/// A connection as its target sees it.
#[derive(Debug, Default)]
struct TargetLink {
    calls: VecDeque<TargetCall>,
    /// The call that waits for a slot or is worked on.
    present: Option<TargetCall>,
    state: SessionState,
    is_read_only: bool,
    has_written: bool,
}

/// A target.
#[derive(Debug, Default)]
pub(super) struct StoredTarget {
    links: BTreeMap<ConnectionId, TargetLink>,
    running: usize,
    waiting: VecDeque<ConnectionId>,
    received: u64,
    applied: u64,
    /// Commits that wait for a replica, by position.
    unconfirmed: Vec<(u64, ConnectionId)>,
}

impl Day {
    /// The gateway opens a connection; the attempt times out if nothing gets there.
    pub(super) fn connect(&mut self, connection: ConnectionId, target: usize, timeout: Duration) {
        if self.fault.is_silent(target) {
            let event = GatewayEvent::TargetClosed {
                connection,
                error: ConnectError::TimedOut,
            };
            self.after(timeout, Due::Tell(event));
            return;
        }
        self.after(LINK_DELAY, Due::Open(connection, target));
        // The system of a target that stands still accepts connections.
        let event = GatewayEvent::TargetOpened(connection);
        self.after(LINK_DELAY * 2, Due::Tell(event));
    }

    pub(super) fn take_open(&mut self, connection: ConnectionId, target: usize) {
        if self.fault.is_hanging(target) {
            let input = FrozenInput::Open(connection);
            self.fault.frozen.push((target, input));
            return;
        }
        let link = TargetLink::default();
        self.targets[target].links.insert(connection, link);
    }

    pub(super) fn take_close(&mut self, connection: ConnectionId, target: usize) {
        if self.fault.is_hanging(target) {
            let input = FrozenInput::Close(connection);
            self.fault.frozen.push((target, input));
            return;
        }
        // What runs goes on to its end.
        let state = &mut self.targets[target];
        state.links.remove(&connection);
        state.waiting.retain(|waiting| *waiting != connection);
        state.unconfirmed.retain(|(_, link)| *link != connection);
    }

    pub(super) fn take_call(&mut self, connection: ConnectionId, target: usize, call: TargetCall) {
        if self.fault.is_silent(target) {
            return;
        }
        if self.fault.is_hanging(target) {
            let input = FrozenInput::Call(connection, call);
            self.fault.frozen.push((target, input));
            return;
        }
        if let Some(link) = self.targets[target].links.get_mut(&connection) {
            link.calls.push_back(call);
            self.next_call(connection, target);
        }
    }

    /// Takes the next call of a connection unless one is in progress.
    fn next_call(&mut self, connection: ConnectionId, target: usize) {
        let state = &mut self.targets[target];
        let count = state.links.len();
        let Some(link) = state.links.get_mut(&connection) else {
            return;
        };
        if link.present.is_some() {
            return;
        }
        let Some(call) = link.calls.pop_front() else {
            return;
        };
        if let Some(code) = self.refusal(connection, target, &call) {
            self.count_refusal(&call, &code);
            self.answer_error(connection, target, code);
            return;
        }
        let state = &mut self.targets[target];
        let link = state.links.get_mut(&connection).expect("a known link");
        let (slots, length) = self.fault.room();
        let is_full = state.running >= slots && state.waiting.len() >= length;
        match &call {
            TargetCall::Begin { is_read_only, .. } => {
                link.state = SessionState::Transaction;
                link.is_read_only = *is_read_only;
                link.has_written = false;
                self.answer_success(connection, target, "");
            }
            TargetCall::Rollback => {
                link.state = SessionState::Idle;
                self.answer_success(connection, target, "");
            }
            TargetCall::Discard | TargetCall::Set { .. } | TargetCall::Prepare { .. } => {
                self.answer_success(connection, target, "");
            }
            TargetCall::Start { .. } if count > MAX_CONNECTIONS as usize => {
                self.answer_error(connection, target, TargetCode::ConnectionLimit);
            }
            TargetCall::Start { .. } => self.want_slot(connection, target, call),
            _ if is_full => {
                self.count_refusal(&call, &TargetCode::Busy);
                self.answer_error(connection, target, TargetCode::Busy);
            }
            _ => self.want_slot(connection, target, call),
        }
    }

    /// Why a target does not run a call, other than for lack of room.
    fn refusal(
        &self,
        connection: ConnectionId,
        target: usize,
        call: &TargetCall,
    ) -> Option<TargetCode> {
        let state = &self.targets[target];
        let link = state.links.get(&connection)?;
        let after = match call {
            TargetCall::Forward { after, .. } | TargetCall::Begin { after, .. } => *after,
            _ => None,
        };
        if after.is_some_and(|after| after.position.0 > state.applied) {
            return Some(TargetCode::Lagging);
        }
        let is_plain = link.state == SessionState::Transaction && !link.is_read_only;
        let needs_lead = match call {
            TargetCall::Begin { is_read_only, .. } => !is_read_only,
            TargetCall::Forward { text, .. } => text.starts_with("WRITE") || is_plain,
            _ => false,
        };
        (needs_lead && target != 0).then_some(TargetCode::ReadOnly)
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

    fn want_slot(&mut self, connection: ConnectionId, target: usize, call: TargetCall) {
        let state = &mut self.targets[target];
        if let Some(link) = state.links.get_mut(&connection) {
            link.present = Some(call);
        }
        state.waiting.push_back(connection);
        self.fill_slots(target);
    }

    pub(super) fn fill_slots(&mut self, target: usize) {
        while self.targets[target].running < self.fault.room().0 {
            let state = &mut self.targets[target];
            let Some(connection) = state.waiting.pop_front() else {
                return;
            };
            state.running += 1;
            let link = state.links.get(&connection);
            let work = match link.and_then(|link| link.present.as_ref()) {
                Some(TargetCall::Start { .. }) => START_WORK,
                Some(TargetCall::Forward { id, .. }) => {
                    let id = id.clone();
                    self.draw_work(&id)
                }
                _ => STATUS_WORK,
            };
            let work = self.fault.work_time(target, work);
            self.after(work, Due::Done(connection, target));
        }
    }

    /// A call has had its slot for as long as it needs.
    pub(super) fn end_work(&mut self, connection: ConnectionId, target: usize) {
        if self.fault.is_hanging(target) {
            let input = FrozenInput::Done(connection);
            self.fault.frozen.push((target, input));
            return;
        }
        let state = &mut self.targets[target];
        state.running -= 1;
        let count = state.links.len();
        let received = state.received;
        let link = state.links.get_mut(&connection);
        let call = link.and_then(|link| link.present.take());
        match call {
            Some(TargetCall::Start { .. }) => self.answer_success(connection, target, ""),
            Some(TargetCall::Forward { text, .. }) => {
                self.count_run(target);
                self.end_statement(connection, target, &text);
            }
            Some(_) => {
                let role = if target == 0 { "primary" } else { "replica" };
                let row = format!("{role} {received} {count}");
                self.answer_success(connection, target, &row);
            }
            // The connection was closed meanwhile.
            None => {}
        }
        self.fill_slots(target);
    }

    fn end_statement(&mut self, connection: ConnectionId, target: usize, text: &str) {
        let has_failed = self.draw_failure(target);
        let Some(link) = self.targets[target].links.get_mut(&connection) else {
            return;
        };
        let is_open = link.state != SessionState::Idle;
        let is_commit = text == "COMMIT";
        if has_failed {
            link.state = if is_open && !is_commit {
                SessionState::Failed
            } else {
                SessionState::Idle
            };
            self.answer_error(connection, target, TargetCode::Failed);
            return;
        }
        let is_write = text.starts_with("WRITE");
        link.has_written |= is_write && is_open;
        let is_kept = (is_write && !is_open) || (is_commit && link.has_written);
        if is_commit {
            link.state = SessionState::Idle;
            link.has_written = false;
        }
        if is_kept {
            self.commit(connection);
        } else {
            self.finish(connection, target);
        }
    }

    /// Adds a commit to the primary's log; it is answered when a replica has it.
    fn commit(&mut self, connection: ConnectionId) {
        let primary = &mut self.targets[0];
        primary.received += 1;
        primary.applied = primary.received;
        let position = primary.received;
        primary.unconfirmed.push((position, connection));
        // No further call is taken before the answer.
        if let Some(link) = primary.links.get_mut(&connection) {
            link.present = Some(TargetCall::Status);
        }
        for replica in 1..self.targets.len() {
            self.after(LINK_DELAY, Due::Receive(replica, position));
        }
    }

    pub(super) fn receive(&mut self, target: usize, position: u64) {
        if self.fault.is_silent(target) || self.fault.is_hanging(target) {
            let waiting = &mut self.fault.unreceived[target];
            *waiting = position.max(*waiting);
            return;
        }
        let state = &mut self.targets[target];
        state.received = position.max(state.received);
        self.after(USUAL_LAG, Due::Apply(target, position));
        self.confirm();
    }

    /// Answers the commits that a replica has received.
    pub(super) fn confirm(&mut self) {
        if self.fault.is_hanging(0) {
            return;
        }
        let received = self.targets[1..].iter().map(|replica| replica.received);
        let received = received.max().unwrap_or(0);
        let primary = &mut self.targets[0];
        let unconfirmed = std::mem::take(&mut primary.unconfirmed);
        let (done, left) = unconfirmed
            .into_iter()
            .partition(|(needed, _)| *needed <= received);
        primary.unconfirmed = left;
        let done: Vec<(u64, ConnectionId)> = done;
        for (_, connection) in done {
            if let Some(link) = self.targets[0].links.get_mut(&connection) {
                link.present = None;
            }
            self.finish(connection, 0);
        }
    }

    pub(super) fn apply(&mut self, target: usize, position: u64) {
        if self.fault.is_lagging(target) || self.fault.is_hanging(target) {
            let waiting = &mut self.fault.unapplied[target];
            *waiting = position.max(*waiting);
            return;
        }
        let state = &mut self.targets[target];
        state.applied = position.max(state.applied).min(state.received);
    }

    /// Answers a statement that ran, or loses the answer: half of these connections stay silent and
    /// the others are reset.
    fn finish(&mut self, connection: ConnectionId, target: usize) {
        if !self.draw_loss() {
            self.answer_success(connection, target, "row");
        } else if self.random.random_bool(0.5) {
            self.targets[target].links.remove(&connection);
            let error = ConnectError::Closed;
            let event = GatewayEvent::TargetClosed { connection, error };
            self.after(LINK_DELAY, Due::Tell(event));
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
        let Some(link) = state.links.get(&connection) else {
            return;
        };
        let answer = TargetAnswer {
            rows,
            end,
            state: link.state,
            position: Some(GroupPosition::new(TERM, state.applied)),
        };
        if !self.fault.is_silent(target) {
            let event = GatewayEvent::TargetAnswered { connection, answer };
            self.after(LINK_DELAY, Due::Tell(event));
        }
        self.next_call(connection, target);
    }
}
