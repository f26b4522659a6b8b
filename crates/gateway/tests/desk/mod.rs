//! What tests with one gateway and targets that answer by hand have in common.

#![allow(dead_code)]

use std::net::SocketAddr;
use std::time::Duration;

use heatherhollow_gateway::AnswerEnd;
use heatherhollow_gateway::ConnectionId;
use heatherhollow_gateway::GatewayAction;
use heatherhollow_gateway::GatewayEvent;
use heatherhollow_gateway::SessionState;
use heatherhollow_gateway::StatusFormat;
use heatherhollow_gateway::StatusReport;
use heatherhollow_gateway::TargetAnswer;
use heatherhollow_gateway::TargetCall;
use heatherhollow_gateway::TargetEntry;
use heatherhollow_gateway::TargetRole;
use heatherhollow_gateway::TargetState;
use heatherhollow_types::GroupPosition;
use heatherhollow_types::TermNumber;

/// Group of the targets.
pub const GROUP: &str = "ledger";

/// Status rows are `primary` and `replica`; both report position 10 of term 1.
pub struct RoleFormat;

impl StatusFormat for RoleFormat {
    fn decode(&self, row: &str) -> Option<StatusReport> {
        Some(StatusReport {
            role: match row {
                "primary" => TargetRole::Primary,
                "replica" => TargetRole::Replica,
                _ => return None,
            },
            term: TermNumber(1),
            received: GroupPosition::new(1, 10),
            paused_for: None,
            lag: Duration::ZERO,
            busy_slots: 0,
            connections: 3,
        })
    }
}

/// Targets of connections. A target's number is the port of its address; target 0 leads.
#[derive(Default)]
pub struct TargetTable(Vec<(ConnectionId, usize)>);

impl TargetTable {
    fn open(&mut self, connection: ConnectionId, address: SocketAddr) {
        self.0.push((connection, usize::from(address.port())));
    }

    /// The target of a connection.
    pub fn target(&self, connection: ConnectionId) -> usize {
        let found = self.0.binary_search_by_key(&connection, |(id, _)| *id);
        self.0[found.expect("connections are numbered in order")].1
    }

    /// What healthy targets do with an action that is not for a client, if it is for them.
    pub fn respond(&mut self, action: &GatewayAction) -> Option<GatewayEvent> {
        match action {
            GatewayAction::OpenTarget {
                connection,
                address,
                ..
            } => {
                self.open(*connection, *address);
                Some(GatewayEvent::TargetOpened(*connection))
            }
            GatewayAction::CallTarget { connection, call } => Some(GatewayEvent::TargetAnswered {
                connection: *connection,
                answer: self.answer(*connection, call),
            }),
            _ => None,
        }
    }

    /// A healthy target's answer to a call that is no statement of a client.
    fn answer(&self, connection: ConnectionId, call: &TargetCall) -> TargetAnswer {
        let row = match (call, self.target(connection)) {
            (TargetCall::Status, 0) => "primary",
            (TargetCall::Status, _) => "replica",
            _ => "",
        };
        let state = match call {
            TargetCall::Begin { .. } => SessionState::Transaction,
            _ => SessionState::Idle,
        };
        success(row, "-", state)
    }
}

/// A target whose port is its number.
pub fn entry(target: usize) -> TargetEntry {
    TargetEntry {
        target: format!("t{target}"),
        group: GROUP.to_string(),
        address: format!("127.0.0.1:{target}").parse().unwrap(),
        data_centre: "dc".parse().unwrap(),
        slots: 3,
        state: TargetState::Ready,
        role: None,
        born: 1,
    }
}

/// A successful answer with at most one row.
pub fn success(row: &str, signature: &str, state: SessionState) -> TargetAnswer {
    TargetAnswer {
        rows: if row.is_empty() {
            Vec::new()
        } else {
            vec![row.to_string()]
        },
        end: AnswerEnd::Complete {
            signature: signature.to_string(),
        },
        state,
        position: Some(GroupPosition::new(1, 10)),
    }
}
