//! Operations of the simulated clients and the pauses between their statements.

use rand::RngExt;

use heatherhollow_gateway::PreparedShape;
use heatherhollow_gateway::Statement;

use super::ClusterSimulation;

/// Maximum number of statements of a transaction without its begin and end.
const MAX_STATEMENTS: usize = 12;

/// Statements with their ids, in order.
type OperationPlan = Vec<(String, Statement)>;

impl ClusterSimulation {
    /// Draws the statements of the client's operation `n`.
    pub(super) fn plan_operation(&mut self, i: usize, n: usize) -> OperationPlan {
        let id = |k: usize| format!("c{i}-{n}-{k}");
        let kind = self.random.random_range(0..10);
        match kind {
            0 => {
                let name = format!("v{}", n % 2);
                let value = format!("x{i}-{n}");
                vec![(id(0), Statement::Set { name, value })]
            }
            1 => {
                let shape = PreparedShape {
                    is_write: n.is_multiple_of(2),
                    text: format!("q{}", n % 3),
                };
                let name = "s1".to_string();
                vec![(id(0), Statement::Prepare { name, shape })]
            }
            2 if self.clients[i].prepared.contains_key("s1") => vec![(id(0), execute())],
            3..7 if self.options.has_long_transactions => self.plan_transaction(i, n),
            3..5 => {
                let is_read_only = kind == 4;
                let mut plan = vec![
                    (id(0), Statement::Begin { is_read_only }),
                    (id(1), Statement::Read),
                ];
                if !is_read_only {
                    plan.push((id(2), Statement::Write));
                }
                plan.push((id(3), transaction_end(n)));
                plan
            }
            5..7 => vec![(id(0), Statement::Write)],
            7 if self.options.has_long_transactions => vec![(id(0), Statement::Write)],
            _ => vec![(id(0), Statement::Read)],
        }
    }

    /// Draws a transaction of reads and, unless it is read-only, writes in any order.
    fn plan_transaction(&mut self, i: usize, n: usize) -> OperationPlan {
        let id = |k: usize| format!("c{i}-{n}-{k}");
        let is_read_only = self.random.random_bool(0.3);
        let length = self.random.random_range(1..=MAX_STATEMENTS);
        let prepared = self.clients[i].prepared.get("s1").cloned();
        let mut plan = vec![(id(0), Statement::Begin { is_read_only })];
        for k in 1..=length {
            let is_write = !is_read_only && self.random.random_bool(0.4);
            let is_prepared = self.random.random_bool(0.2);
            let fits = prepared
                .as_ref()
                .is_some_and(|shape| shape.is_write == is_write);
            let statement = match is_write {
                _ if is_prepared && fits => execute(),
                true => Statement::Write,
                false => Statement::Read,
            };
            plan.push((id(k), statement));
        }
        plan.push((id(length + 1), transaction_end(n)));
        plan
    }

    /// Draws the pause of a client after an answer, in milliseconds.
    pub(super) fn draw_pause(&mut self, i: usize) -> u64 {
        let may_pause_long = self.options.has_long_transactions && self.clients[i].in_transaction;
        if may_pause_long && self.random.random_bool(0.1) {
            return self.random.random_range(200..900);
        }
        self.random.random_range(5..60)
    }
}

fn execute() -> Statement {
    Statement::Execute {
        name: "s1".to_string(),
        arguments: "item data".to_string(),
    }
}

fn transaction_end(n: usize) -> Statement {
    if n.is_multiple_of(7) {
        Statement::Rollback
    } else {
        Statement::Commit
    }
}
