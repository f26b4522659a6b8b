//! Settings, inputs and outputs of a promotion run.

use std::time::Duration;

use displaydoc::Display;

use heatherhollow_types::GroupPosition;
use heatherhollow_types::TargetIndex;
use heatherhollow_types::TermNumber;

/// Settings of a [`PromotionRun`](crate::PromotionRun).
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RunSettings {
    /// How long to hear further targets after a majority has promised.
    pub grace_period: Duration,
    /// Time after which a call without an answer is repeated.
    pub retry_interval: Duration,
    /// Longest wait for a majority of promises.
    pub fence_timeout: Duration,
    /// Longest wait for a majority after a target has refused because it promised the term to another
    /// candidate. With one of three targets dead, two candidates can split the other two, and waiting
    /// for the dead one would only delay the next term.
    pub contention_timeout: Duration,
    /// Longest wait for the chosen target to become primary.
    pub promote_timeout: Duration,
    /// Time after which a target that has not confirmed its primary is told again.
    pub follow_interval: Duration,
    /// Planned: longest wait for the named target to be close behind the primary.
    pub catch_up_timeout: Duration,
    /// Planned: how far behind the named target may be when the primary is fenced.
    pub catch_up_lag: Duration,
    /// Planned: longest wait for the rest of the log, during which the group takes no writes.
    pub final_sync_timeout: Duration,
    /// Planned: interval at which the named target and the primary are asked for their status.
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

/// A target as a run is told of it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RunTarget {
    /// The target.
    pub index: TargetIndex,
    /// Whether it is known to be leaving.
    pub is_leaving: bool,
}

/// Answer of a target to a fence call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FenceAnswer {
    /// Whether it promised the term to this candidate.
    pub is_accepted: bool,
    /// Its promised term after the call.
    pub promised: TermNumber,
    /// End of its log after the call.
    pub end: GroupPosition,
    /// Whether it is about to stop.
    pub is_leaving: bool,
}

/// Answer of a target to a promote call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PromoteAnswer {
    /// Whether it is now the primary of the term.
    pub is_accepted: bool,
    /// Its promised term, if it is known.
    pub promised: Option<TermNumber>,
}

/// Why a run ended without a primary.
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

/// What a run wants done.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PromotionAction {
    /// Ask a target to promise the term.
    Fence {
        /// The target.
        target: TargetIndex,
        /// Term of the run.
        term: TermNumber,
    },
    /// Ask a target for its status and pass it to [`PromotionRun::handle_report`](crate::PromotionRun::on_report).
    Inspect {
        /// The target.
        target: TargetIndex,
    },
    /// Make a target the primary.
    Promote {
        /// The target.
        target: TargetIndex,
        /// Term of the run.
        term: TermNumber,
    },
    /// Tell a target which primary to follow.
    Follow {
        /// The target.
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
    /// The run has ended without knowing of a primary in its term.
    Abandoned {
        /// Why.
        reason: AbandonReason,
        /// Highest promised term that was seen; the next run has to use a higher one.
        highest_promised: TermNumber,
    },
}
