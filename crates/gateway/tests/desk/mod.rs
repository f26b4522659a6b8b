//! What tests with one gateway and targets that answer by hand have in common.

#![allow(dead_code)]

use std::time::Duration;

use heatherhollow_gateway::AnswerEnd;
use heatherhollow_gateway::SessionState;
use heatherhollow_gateway::StatusFormat;
use heatherhollow_gateway::StatusReport;
use heatherhollow_gateway::TargetAnswer;
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
