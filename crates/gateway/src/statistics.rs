//! Interface through which a gateway reports counts and latencies.

use std::time::Duration;

use heatherhollow_types::FailureReason;
use heatherhollow_types::RefusalReason;
use heatherhollow_types::RetryReason;
use heatherhollow_types::UnknownReason;

/// Interval that a latency measures.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LatencyKind {
    /// Time from the receipt of a statement to its answer.
    Statement,
    /// Time that a statement waits for a connection.
    Queue,
    /// Time that an answer is held for evidence that the primary still leads.
    Evidence,
}

/// Reason why an operation of a tenant with a quota was refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum QuotaRefusal {
    /// The tenant is over its limit.
    OverLimit,
    /// The holder of the tenant did not answer, and the emergency share is used up.
    HolderSilent,
    /// This instance is cut off from most holders, and the emergency share is used up.
    CutOff,
}

impl QuotaRefusal {
    /// Returns the stable text of the reason.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::OverLimit => "over_limit",
            Self::HolderSilent => "holder_silent",
            Self::CutOff => "cut_off",
        }
    }
}

/// Receives the counts and latencies of a gateway.
pub trait GatewayStatistics {
    /// Counts a statement that a primary or a replica answered with success.
    fn served(&mut self, is_primary: bool);
    /// Counts a statement that was refused and did not run.
    fn refused(&mut self, reason: RefusalReason);
    /// Counts a statement or transaction that failed.
    fn failed(&mut self, reason: FailureReason);
    /// Counts a statement whose outcome is unknown.
    fn unknown(&mut self, reason: UnknownReason);
    /// Counts a retry of a statement.
    fn retried(&mut self, reason: RetryReason);
    /// Counts an attempt to place a waiting statement at a target.
    fn placed(&mut self);
    /// Counts a promotion that took effect (`is_done`) or was abandoned.
    fn promotion_ended(&mut self, is_done: bool);
    /// Counts a connection to a target that is being opened.
    fn connection_opened(&mut self);
    /// Counts sessions whose keys were revoked.
    fn sessions_revoked(&mut self, count: usize);
    /// Counts an operation that was refused for lack of a token.
    fn operation_refused(&mut self, reason: QuotaRefusal);
    /// Counts a request for tokens that was sent to another instance.
    fn quota_requested(&mut self);
    /// Counts an operation that found no token and waits for one.
    fn quota_awaited(&mut self);
    /// Counts a message that returns tokens to another instance.
    fn quota_returned(&mut self);
    /// Counts a request of another instance that was granted tokens.
    fn quota_granted(&mut self);
    /// Counts a waiting statement that one of another tenant passed.
    fn queue_overtaken(&mut self);
    /// Reports the share of the tenants' rates that this instance grants as a holder.
    fn quota_share_changed(&mut self, share: f64);
    /// Records a latency.
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
    fn sessions_revoked(&mut self, _count: usize) {}
    fn operation_refused(&mut self, _reason: QuotaRefusal) {}
    fn quota_requested(&mut self) {}
    fn quota_awaited(&mut self) {}
    fn quota_returned(&mut self) {}
    fn quota_granted(&mut self) {}
    fn queue_overtaken(&mut self) {}
    fn quota_share_changed(&mut self, _share: f64) {}
    fn latency(&mut self, _kind: LatencyKind, _value: Duration) {}
}
