//! Counters of a gateway.

use std::time::Duration;

use heatherhollow_types::FailureReason;
use heatherhollow_types::RefusalReason;
use heatherhollow_types::RetryReason;
use heatherhollow_types::UnknownReason;

/// What a measured latency is of.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LatencyKind {
    /// Statement from its receipt to its answer.
    Statement,
    /// Wait for a connection.
    Queue,
    /// Wait of an answer for evidence that the primary still leads.
    Evidence,
}

/// Receiver of counts and latencies.
pub trait GatewayStatistics {
    /// A statement was answered with success by a primary or replica.
    fn served(&mut self, is_primary: bool);
    /// A statement was refused before it ran.
    fn refused(&mut self, reason: RefusalReason);
    /// A statement or transaction ended without effect.
    fn failed(&mut self, reason: FailureReason);
    /// The effect of a statement is not known.
    fn unknown(&mut self, reason: UnknownReason);
    /// A statement is offered to a target again.
    fn retried(&mut self, reason: RetryReason);
    /// A waiting statement was considered for a target.
    fn placed(&mut self);
    /// A promotion was ordered and took effect, or was given up.
    fn promotion_ended(&mut self, is_done: bool);
    /// A connection to a target was opened.
    fn connection_opened(&mut self);
    /// A latency was measured.
    fn latency(&mut self, kind: LatencyKind, value: Duration);
}

impl GatewayStatistics for () {
    fn served(&mut self, _is_primary: bool) {}
    fn refused(&mut self, _reason: RefusalReason) {}
    fn failed(&mut self, _reason: FailureReason) {}
    fn unknown(&mut self, _reason: UnknownReason) {}
    fn retried(&mut self, _reason: RetryReason) {}
    fn placed(&mut self) {}
    fn promotion_ended(&mut self, _is_done: bool) {}
    fn connection_opened(&mut self) {}
    fn latency(&mut self, _kind: LatencyKind, _value: Duration) {}
}
