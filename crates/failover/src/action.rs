//! Settings, inputs and actions of a promotion run.

use std::time::Duration;

use displaydoc::Display;

use heatherhollow_types::GroupPosition;
use heatherhollow_types::TargetIndex;
use heatherhollow_types::TermNumber;

/// Settings of a [`PromotionRun`](crate::PromotionRun).
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RunSettings {
    /// How long to wait for the promises of further targets after a majority has promised.
    pub grace_period: Duration,
    /// Time after which an unanswered call is repeated.
    pub retry_interval: Duration,
    /// Longest wait for promises from a majority.
    pub fence_timeout: Duration,
    /// Longest wait for a majority after a target has refused because it promised the term to
    /// another candidate. With one of three targets down, two candidates can get one promise each,
    /// and waiting for the third target would only delay the next term.
    pub contention_timeout: Duration,
    /// Longest wait for the chosen target to become primary.
    pub promote_timeout: Duration,
    /// Time after which an unanswered follow call is repeated.
    pub follow_interval: Duration,
    /// Planned run: longest wait until the named target is within `catch_up_lag` of the primary.
    pub catch_up_timeout: Duration,
    /// Planned run: maximum lag of the named target at which the primary is fenced.
    pub catch_up_lag: Duration,
    /// Planned run: longest wait until the named target has the rest of the log. The group accepts
    /// no writes during this time.
    pub final_sync_timeout: Duration,
    /// Planned run: interval of the status calls to the named target and the primary.
    pub inspect_interval: Duration,
}

impl Default for RunSettings {
    fn default() -> Self {
        Self {
            grace_period: Duration::from_millis(30),
            retry_interval: Duration::from_millis(100),
            fence_timeout: Duration::from_millis(1_000),
            contention_timeout: Duration::from_millis(200),
            promote_timeout: Duration::from_millis(1_000),
            follow_interval: Duration::from_millis(1_000),
            catch_up_timeout: Duration::from_millis(5_000),
            catch_up_lag: Duration::from_millis(250),
            final_sync_timeout: Duration::from_millis(500),
            inspect_interval: Duration::from_millis(20),
        }
    }
}

/// A target that takes part in a run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RunTarget {
    /// Index of the target in the group.
    pub index: TargetIndex,
    /// Whether it is known to be shutting down.
    pub is_leaving: bool,
}

/// Answer of a target to a fence call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FenceAnswer {
    /// Whether the target promised the term to this candidate.
    pub is_accepted: bool,
    /// The highest term that the target has promised after the call.
    pub promised: TermNumber,
    /// Position of the last record of its log after the call.
    pub end: GroupPosition,
    /// Whether the target is about to shut down.
    pub is_leaving: bool,
}

/// Answer of a target to a promote call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PromoteAnswer {
    /// Whether the target is now the primary of the term.
    pub is_accepted: bool,
    /// The highest term that the target has promised; `None` if it did not report one.
    pub promised: Option<TermNumber>,
}

/// Reason for which a run ended without a primary.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum AbandonReason {
    /// a higher term was promised or has a primary
    HigherTerm,
    /// another candidate has the promises of too many targets in this term
    LostRace,
    /// no majority of the targets promised the term in time
    NoMajority,
    /// the chosen target did not become primary in time
    TargetLost,
    /// the chosen target refused to become primary
    TargetRefused,
    /// the named target did not catch up in time; nothing was changed
    NotCaughtUp,
}

/// Call that the caller must make, or event of a run that the caller must handle.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PromotionAction {
    /// Asks a target to promise the term.
    Fence {
        /// Target of the call.
        target: TargetIndex,
        /// Term of the run.
        term: TermNumber,
    },
    /// Asks a target for its status, which the caller passes to
    /// [`PromotionRun::handle_report`](crate::PromotionRun::handle_report).
    Inspect {
        /// Target of the call.
        target: TargetIndex,
    },
    /// Makes a target the primary.
    Promote {
        /// Target of the call.
        target: TargetIndex,
        /// Term of the run.
        term: TermNumber,
    },
    /// Makes a target follow the primary of the term.
    Follow {
        /// Target of the call.
        target: TargetIndex,
        /// Term of the run.
        term: TermNumber,
        /// Primary of the term.
        primary: TargetIndex,
    },
    /// The run has made a target the primary.
    Finished {
        /// Primary of the term.
        primary: TargetIndex,
        /// Term of the run.
        term: TermNumber,
    },
    /// The run has ended, and it knows of no primary in its term.
    Abandoned {
        /// Reason for the end of the run.
        reason: AbandonReason,
        /// Highest promised term that was seen; the next run must use a higher one.
        highest_promised: TermNumber,
    },
}
