//! Outcomes of a request and their reasons.
//!
//! Every reason has a stable text, which is used in answers, log lines and metric labels.

use std::fmt;
use std::str::FromStr;
use std::time::Duration;

use crate::ids::IdError;

macro_rules! reason_type {
    ($(#[$doc:meta])* $name:ident { $($(#[$item_doc:meta])* $item:ident = $text:literal,)+ }) => {
        $(#[$doc])*
        #[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub enum $name {
            $($(#[$item_doc])* $item,)+
        }

        impl $name {
            /// All reasons, in the order of declaration.
            pub const ALL: &'static [Self] = &[$(Self::$item,)+];

            /// Returns the stable text of the reason.
            pub const fn as_str(self) -> &'static str {
                match self {
                    $(Self::$item => $text,)+
                }
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(self.as_str())
            }
        }

        impl FromStr for $name {
            type Err = IdError;

            fn from_str(text: &str) -> Result<Self, IdError> {
                match text {
                    $($text => Ok(Self::$item),)+
                    _ => Err(IdError::BadForm(text.to_string(), stringify!($name))),
                }
            }
        }
    };
}

reason_type! {
    /// Why a request was refused before any part of it ran.
    RefusalReason {
        /// The request is malformed.
        BadRequest = "bad_request",
        /// The session token is malformed or forged.
        InvalidToken = "invalid_token",
        /// The team or service is not declared.
        UnknownService = "unknown_service",
        /// The service has no such kind of read.
        UnknownKind = "unknown_kind",
        /// The instance has no settings yet.
        SettingsUnavailable = "settings_unavailable",
        /// The instance is stopping.
        Draining = "draining",
        /// The expected wait exceeds the deadline.
        Overloaded = "overloaded",
        /// The queue is full.
        QueueFull = "queue_full",
        /// The request waited longer than the queue allows.
        QueueTimeout = "queue_timeout",
        /// The deadline passed before the request was started.
        DeadlinePassed = "deadline_passed",
        /// No target can be expected to answer within the maximum age of the kind of read.
        TooOld = "too_old",
        /// All replicas are too far behind.
        ReplicasLagging = "replicas_lagging",
        /// The group currently has no primary.
        NoPrimary = "no_primary",
        /// No target, or no instance with a connection to one, could be reached.
        Unreachable = "unreachable",
        /// The target refused the call before running it.
        TargetRefused = "target_refused",
        /// The transaction is no longer open.
        TransactionLost = "transaction_lost",
        /// The transaction is busy with another statement.
        TransactionBusy = "transaction_busy",
        /// The caller has too many open transactions or streams.
        TooMany = "too_many",
    }
}

reason_type! {
    /// Why a request that was started ended without effect.
    FailureReason {
        /// The target rejected the statement.
        Statement = "statement",
        /// The session's position was lost in a promotion.
        PositionLost = "position_lost",
        /// The answer ended early, after a part of it was forwarded to the caller.
        Interrupted = "interrupted",
        /// The caller stopped reading rows.
        CallerStalled = "caller_stalled",
        /// The transaction was rolled back.
        RolledBack = "rolled_back",
        /// The deadline passed while the answer was being forwarded.
        DeadlinePassed = "deadline_passed",
    }
}

reason_type! {
    /// Why it is unknown whether a request took effect.
    UnknownReason {
        /// The connection was lost after part of the request may have been sent.
        ConnectionLost = "connection_lost",
        /// The deadline passed while the target ran the request.
        DeadlinePassed = "deadline_passed",
        /// The write was not confirmed by a majority of the targets in time.
        Unconfirmed = "unconfirmed",
        /// The primary was replaced while it ran the request.
        PrimaryReplaced = "primary_replaced",
        /// A request with the same id is still running.
        StillRunning = "still_running",
    }
}

reason_type! {
    /// Why a request was retried.
    RetryReason {
        /// The call had not been sent when its connection failed.
        NotSent = "not_sent",
        /// The connection of a repeatable request was lost.
        ConnectionLost = "connection_lost",
        /// The target was no longer the primary.
        NotPrimary = "not_primary",
        /// The answer was older than the read allows.
        TooOld = "too_old",
        /// The instance that holds the connection refused the request.
        HolderRefused = "holder_refused",
    }
}

/// How a request ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RequestOutcome {
    /// The request ran, and its whole answer was forwarded.
    Done,
    /// The request was started and has no effect.
    Failed(FailureReason),
    /// The request did not run.
    NotRun {
        /// Reason of the refusal.
        reason: RefusalReason,
        /// Suggested delay before the caller retries.
        retry_after: Duration,
    },
    /// The request may have taken effect.
    Unknown(UnknownReason),
}

impl RequestOutcome {
    /// Returns the outcome of a refused request.
    pub const fn not_run(reason: RefusalReason, retry_after: Duration) -> Self {
        Self::NotRun {
            reason,
            retry_after,
        }
    }

    /// Returns the stable name of the outcome, without its reason.
    pub const fn name(self) -> &'static str {
        match self {
            Self::Done => "done",
            Self::Failed(_) => "failed",
            Self::NotRun { .. } => "not_run",
            Self::Unknown(_) => "unknown",
        }
    }

    /// Returns the stable text of the reason, or `None` for [`Self::Done`].
    pub const fn reason(self) -> Option<&'static str> {
        match self {
            Self::Done => None,
            Self::Failed(reason) => Some(reason.as_str()),
            Self::NotRun { reason, .. } => Some(reason.as_str()),
            Self::Unknown(reason) => Some(reason.as_str()),
        }
    }
}
