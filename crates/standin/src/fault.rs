//! Faults of a database group, and full reads for checkers.

use std::sync::Arc;
use std::time::Duration;

use tokio::time::Instant;

use heatherhollow_ports::TargetStatus;
use heatherhollow_types::DataCentre;
use heatherhollow_types::GroupPosition;
use heatherhollow_types::TargetName;

use crate::group::GroupCore;
use crate::network::LinkEnd;
use crate::storage::RecordedRequest;
use crate::storage::RowChange;
use crate::target::target_end;

/// Calls whose replies can be lost.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LostCall {
    /// Fence calls.
    Fence,
    /// Promote calls.
    Promote,
    /// Writes and commits that took effect.
    Write,
}

/// How a lost reply looks to the caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReplyLoss {
    /// No answer ever arrives; for a write, the connection goes silent.
    Hang,
    /// The connection is lost.
    Reset,
}

/// Handle for the faults of a [`crate::DatabaseGroup`]. Methods panic if the group has no target of
/// the given name.
#[derive(Debug, Clone)]
pub struct GroupFaults {
    core: Arc<GroupCore>,
}

impl GroupFaults {
    pub(crate) fn new(core: Arc<GroupCore>) -> Self {
        Self { core }
    }

    /// The end by which cuts of the network name the target.
    pub fn link_end(&self, target: &TargetName) -> LinkEnd {
        let cell = self.core.target(target);
        target_end(&self.core.settings.name, &cell.settings.name)
    }

    /// Kills a target: it loses its connections and what it is running, and refuses new
    /// connections. Its log, terms and records survive.
    pub fn kill(&self, target: &TargetName) {
        self.core.target(target).kill();
    }

    /// Starts a killed target again, in the role that its terms give it and not leaving.
    pub fn restart(&self, target: &TargetName) {
        let index = self.core.index(target);
        let (primary_term, epoch) = {
            let mut state = self.core.targets[index].lock();
            if state.is_alive {
                return;
            }
            state.restart(Instant::now());
            (state.primary_term(), state.epoch)
        };
        if let Some(term) = primary_term {
            self.core.start_replication(index, term, epoch);
        }
    }

    /// Stops all work and answers of a target for a span; then they go on.
    pub fn stall(&self, target: &TargetName, span: Duration) {
        self.core.target(target).stall(span);
    }

    /// Makes open connections of a target swallow everything for ever: all of them, or those from
    /// one data centre. New ones work.
    pub fn silence(&self, target: &TargetName, from: Option<&DataCentre>) {
        let lines = self.core.target(target).lock().connections.clone();
        for line in lines {
            if from.is_none_or(|from| line.caller.data_centre() == from) {
                line.silence();
            }
        }
    }

    /// Changes the lag of a replica, also for records that are waiting.
    pub fn set_lag(&self, target: &TargetName, lag: Duration) {
        self.core.target(target).lag.send_replace(lag);
    }

    /// Changes whether a target says that it is about to stop.
    pub fn set_leaving(&self, target: &TargetName, is_leaving: bool) {
        self.core.target(target).lock().is_leaving = is_leaving;
    }

    /// Loses the replies of the next `count` calls of a kind; the calls take effect.
    pub fn lose_replies(&self, target: &TargetName, call: LostCall, loss: ReplyLoss, count: usize) {
        let mut state = self.core.target(target).lock();
        state
            .losses
            .extend(std::iter::repeat_n((call, loss), count));
    }

    /// Whether the target has not been killed.
    pub fn is_alive(&self, target: &TargetName) -> bool {
        self.core.target(target).alive_epoch().is_some()
    }

    /// States of all targets, also of killed ones, in the order of the settings.
    pub fn statuses(&self) -> Vec<(TargetName, TargetStatus)> {
        let now = Instant::now();
        let targets = self.core.targets.iter();
        targets
            .map(|cell| (cell.settings.name.clone(), cell.lock().status(now)))
            .collect()
    }

    /// All rows of a target up to the end of its log, sorted by key.
    pub fn rows(&self, target: &TargetName) -> Vec<(String, String)> {
        let state = self.core.target(target).lock();
        let view = state.storage.view(state.storage.end().position, &[]);
        let rows = view.scan("").into_iter();
        rows.map(|(key, value)| (key.to_string(), value.to_string()))
            .collect()
    }

    /// All request records of a target, sorted by request id.
    pub fn records(&self, target: &TargetName) -> Vec<RecordedRequest> {
        self.core.target(target).lock().storage.all_recorded()
    }

    /// The log of a target: each record's position and changes. Marks at the start of a term have
    /// no changes.
    pub fn log(&self, target: &TargetName) -> Vec<(GroupPosition, Vec<RowChange>)> {
        self.core.target(target).lock().storage.changes()
    }

    /// Connections that are open at a target.
    pub fn connections(&self, target: &TargetName) -> usize {
        self.core.target(target).lock().connections.len()
    }

    /// Most connections that have been open at a target at once.
    pub fn most_connections(&self, target: &TargetName) -> usize {
        self.core.target(target).lock().most_connections
    }
}
