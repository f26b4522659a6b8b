//! Outcomes of a request, with a closed list of reasons each.
//!
//! Every reason has a stable text, which stands in answers, log lines and metric labels.

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
            /// All reasons, in the order of their declaration.
            pub const ALL: &'static [Self] = &[$(Self::$item,)+];

            /// The stable text of the reason.
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
    /// Why a request was refused before any of it ran.
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
        /// The queue has reached its greatest length.
        QueueFull = "queue_full",
        /// The request waited longer than the queue allows.
        QueueTimeout = "queue_timeout",
        /// The deadline passed before the request was started.
        DeadlinePassed = "deadline_passed",
        /// No target may give an answer as young as the kind of read asks.
        TooOld = "too_old",
        /// All replicas are too far behind.
        ReplicasLagging = "replicas_lagging",
        /// The group has no primary at present.
        NoPrimary = "no_primary",
        /// No target or holder could be reached.
        Unreachable = "unreachable",
        /// The target refused the call before running it.
        TargetRefused = "target_refused",
        /// The transaction is not open any more.
        TransactionLost = "transaction_lost",
        /// The transaction is busy with another statement.
        TransactionBusy = "transaction_busy",
        /// The caller has too many open transactions or streams.
        TooMany = "too_many",
    }
}

reason_type! {
    /// Why a request ended without effect after it was started.
    FailureReason {
        /// The target rejected the statement.
        Statement = "statement",
        /// The session's position was lost in a promotion.
        PositionLost = "position_lost",
        /// The answer broke off after part of it was passed on.
        Interrupted = "interrupted",
        /// The caller stopped taking rows.
        CallerStalled = "caller_stalled",
        /// The transaction was rolled back.
        RolledBack = "rolled_back",
        /// The deadline passed while the answer was on its way.
        DeadlinePassed = "deadline_passed",
    }
}

reason_type! {
    /// Why the effect of a request is not known.
    UnknownReason {
        /// The connection was lost after part of the request may have been sent.
        ConnectionLost = "connection_lost",
        /// The deadline passed while the target worked.
        DeadlinePassed = "deadline_passed",
        /// The write was not confirmed by a majority of the targets in time.
        Unconfirmed = "unconfirmed",
        /// The primary was replaced while it worked.
        PrimaryReplaced = "primary_replaced",
        /// A request with the same id is still running.
        StillRunning = "still_running",
    }
}

reason_type! {
    /// Why a request was tried again.
    RetryReason {
        /// The call had not been sent when its connection failed.
        NotSent = "not_sent",
        /// The connection of a repeatable request was lost.
        ConnectionLost = "connection_lost",
        /// The target was not the primary any more.
        NotPrimary = "not_primary",
        /// The answer was older than allowed.
        TooOld = "too_old",
        /// The holder refused.
        HolderRefused = "holder_refused",
    }
}

/// How a request ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RequestOutcome {
    /// It ran, and its whole answer was passed on.
    Done,
    /// It ran or was stopped, and has no effect.
    Failed(FailureReason),
    /// It did not run.
    NotRun {
        /// Why.
        reason: RefusalReason,
        /// When the caller may come back.
        retry_after: Duration,
    },
    /// It may have run.
    Unknown(UnknownReason),
}

impl RequestOutcome {
    /// A refusal.
    pub const fn not_run(reason: RefusalReason, retry_after: Duration) -> Self {
        Self::NotRun {
            reason,
            retry_after,
        }
    }

    /// The stable name of the outcome without its reason.
    pub const fn name(self) -> &'static str {
        match self {
            Self::Done => "done",
            Self::Failed(_) => "failed",
            Self::NotRun { .. } => "not_run",
            Self::Unknown(_) => "unknown",
        }
    }

    /// The stable text of the reason, if the outcome has one.
    pub const fn reason(self) -> Option<&'static str> {
        match self {
            Self::Done => None,
            Self::Failed(reason) => Some(reason.as_str()),
            Self::NotRun { reason, .. } => Some(reason.as_str()),
            Self::Unknown(reason) => Some(reason.as_str()),
        }
    }
}
