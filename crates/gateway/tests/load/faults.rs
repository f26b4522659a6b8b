//! Faults of the played day.

use std::time::Duration;

use rand::RngExt;

use heatherhollow_gateway::ConnectionId;
use heatherhollow_gateway::TargetCall;

use super::LoadSimulation;
use super::SimEvent;
use super::TARGETS;
use super::targets::QUEUE_LENGTH;
use super::targets::SLOTS;

/// What goes wrong; target 0 leads.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FaultKind {
    /// Both replicas apply nothing, and a part of the answers to statements that ran is lost.
    LagAndLoss,
    /// A target fails a part of its statements.
    Failing(usize),
    /// A target stands still; what reaches it waits.
    Hanging(usize),
    /// A target takes several times as long.
    Slow(usize),
    /// Nothing gets to the replicas or comes from them.
    SilentReplicas,
    /// Other instances use all targets up but for a third of their slots.
    Crowded,
}

/// Share of answers that are lost, as issue 15 names it.
const LOST_SHARE: f64 = 0.2;

/// Share of statements that a failing target fails.
const FAILED_SHARE: f64 = 0.6;

/// How many times as long a slow target takes.
const SLOW_FACTOR: u32 = 5;

/// Something that reached a target while it stood still.
#[derive(Debug)]
pub(super) enum FrozenInput {
    Open(ConnectionId),
    Call(ConnectionId, TargetCall),
    Close(ConnectionId),
    WorkDone(ConnectionId),
}

/// The faults of the day and what waits for their end.
#[derive(Debug, Default)]
pub(super) struct FaultState {
    pub active: Vec<FaultKind>,
    /// Inputs of the target that stands still.
    pub frozen: Vec<(usize, FrozenInput)>,
    /// Greatest position that replicas would have received or applied meanwhile.
    pub unreceived: [u64; TARGETS],
    pub unapplied: [u64; TARGETS],
}

impl FaultState {
    /// Slots of a target that are left, and calls that may wait there.
    pub fn capacity(&self) -> (usize, usize) {
        if self.active.contains(&FaultKind::Crowded) {
            (SLOTS / 3, 0)
        } else {
            (SLOTS, QUEUE_LENGTH)
        }
    }

    pub fn is_lagging(&self, target: usize) -> bool {
        self.active.contains(&FaultKind::LagAndLoss) && target != 0
    }

    pub fn is_hanging(&self, target: usize) -> bool {
        self.active.contains(&FaultKind::Hanging(target))
    }

    pub fn is_silent(&self, target: usize) -> bool {
        self.active.contains(&FaultKind::SilentReplicas) && target != 0
    }

    /// Time that a call takes at a target that needs `work` for it.
    pub fn work_duration(&self, target: usize, work: Duration) -> Duration {
        if self.active.contains(&FaultKind::Slow(target)) {
            work * SLOW_FACTOR
        } else {
            work
        }
    }
}

impl LoadSimulation {
    /// Whether a statement that ran at a target fails.
    pub(super) fn draw_failure(&mut self, target: usize) -> bool {
        self.fault.active.contains(&FaultKind::Failing(target))
            && self.random.random_bool(FAILED_SHARE)
    }

    /// Whether the answer to a statement that ran is lost.
    pub(super) fn draw_loss(&mut self) -> bool {
        self.fault.active.contains(&FaultKind::LagAndLoss) && self.random.random_bool(LOST_SHARE)
    }

    /// Ends the faults; what waited for that happens now.
    pub(super) fn end_fault(&mut self) {
        let ended = std::mem::take(&mut self.fault);
        for target in 0..TARGETS {
            self.fill_slots(target);
        }
        for target in 1..TARGETS {
            let (received, applied) = (ended.unreceived[target], ended.unapplied[target]);
            self.schedule_after(Duration::ZERO, SimEvent::Receive(target, received));
            self.schedule_after(Duration::ZERO, SimEvent::Apply(target, applied));
        }
        self.confirm_commits();
        for (target, input) in ended.frozen {
            match input {
                FrozenInput::Open(connection) => self.handle_open(connection, target),
                FrozenInput::Call(connection, call) => self.handle_call(connection, target, call),
                FrozenInput::Close(connection) => self.handle_close(connection, target),
                FrozenInput::WorkDone(connection) => self.finish_work(connection, target),
            }
        }
    }
}
