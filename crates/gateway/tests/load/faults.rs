//! Faults of the load simulation.

use std::time::Duration;

use rand::RngExt;

use heatherhollow_gateway::ConnectionId;
use heatherhollow_gateway::TargetCall;
use heatherhollow_types::MonoTime;

use super::LoadSimulation;
use super::SimEvent;
use super::TARGETS;
use super::targets::QUEUE_LENGTH;
use super::targets::SLOTS;

/// Kind of a fault; target 0 leads when it begins.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FaultKind {
    /// Both replicas stop applying the log, and a share of the answers to executed statements is
    /// lost.
    LagAndLoss,
    /// Both replicas receive the log but apply nothing until the fault ends, as after one record
    /// that comes very late. They report how long that still takes.
    HeldBack,
    /// Like `HeldBack`, but target 0 also applies nothing as a replica.
    AllHeldBack,
    /// A target fails a share of its statements.
    Failing(usize),
    /// A target stops; its inputs wait until the fault ends.
    Hanging(usize),
    /// A target takes several times as long.
    Slow(usize),
    /// No message reaches the replicas or comes from them.
    SilentReplicas,
    /// Other instances occupy all targets except for a third of the slots.
    Crowded,
}

/// Share of lost answers, from issue 15.
const LOST_SHARE: f64 = 0.2;

/// Share of statements that a failing target fails.
const FAILED_SHARE: f64 = 0.6;

/// Factor by which a slow target is slower.
const SLOW_FACTOR: u32 = 5;

/// An input that reached a target while it hung.
#[derive(Debug)]
pub(super) enum FrozenInput {
    Open(ConnectionId),
    Call(ConnectionId, TargetCall),
    Close(ConnectionId),
    WorkDone(ConnectionId),
}

/// Active faults and inputs that wait for their end.
#[derive(Debug, Default)]
pub(super) struct FaultState {
    pub active: Vec<FaultKind>,
    /// End of the active faults.
    pub ends_at: MonoTime,
    /// Inputs of the hanging targets.
    pub frozen: Vec<(usize, FrozenInput)>,
    /// Highest position that each replica would have received without the fault.
    pub unreceived: [u64; TARGETS],
    pub unapplied: [u64; TARGETS],
}

impl FaultState {
    /// Returns the available slots of a target and the length of its queue.
    pub fn capacity(&self) -> (usize, usize) {
        if self.active.contains(&FaultKind::Crowded) {
            (SLOTS / 3, 0)
        } else {
            (SLOTS, QUEUE_LENGTH)
        }
    }

    /// Returns whether a target applies nothing. Target 0 was not affected when the fault began and
    /// is not affected as a replica either.
    pub fn is_lagging(&self, target: usize) -> bool {
        self.active.iter().any(|kind| match kind {
            FaultKind::LagAndLoss | FaultKind::HeldBack => target != 0,
            FaultKind::AllHeldBack => true,
            _ => false,
        })
    }

    /// Returns the time that a target needs to apply what it has received, as it reports it.
    pub fn reported_lag(&self, target: usize, now: MonoTime) -> Duration {
        let reports_lag = !self.active.contains(&FaultKind::LagAndLoss);
        if reports_lag && self.is_lagging(target) {
            self.ends_at.since(now)
        } else {
            Duration::ZERO
        }
    }

    pub fn is_hanging(&self, target: usize) -> bool {
        self.active.contains(&FaultKind::Hanging(target))
    }

    pub fn is_silent(&self, target: usize) -> bool {
        self.active.contains(&FaultKind::SilentReplicas) && target != 0
    }

    /// Returns the time in a slot for a call that needs `work`.
    pub fn work_duration(&self, target: usize, work: Duration) -> Duration {
        if self.active.contains(&FaultKind::Slow(target)) {
            work * SLOW_FACTOR
        } else {
            work
        }
    }
}

impl LoadSimulation {
    /// Draws whether a statement that ran at a target fails.
    pub(super) fn draw_failure(&mut self, target: usize) -> bool {
        self.fault.active.contains(&FaultKind::Failing(target))
            && self.random.random_bool(FAILED_SHARE)
    }

    /// Draws whether the answer to an executed statement is lost.
    pub(super) fn draw_loss(&mut self) -> bool {
        self.fault.active.contains(&FaultKind::LagAndLoss) && self.random.random_bool(LOST_SHARE)
    }

    /// Ends the faults and handles the inputs that waited for that.
    pub(super) fn end_fault(&mut self) {
        let ended = std::mem::take(&mut self.fault);
        for target in 0..TARGETS {
            self.fill_slots(target);
        }
        for target in 0..TARGETS {
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
