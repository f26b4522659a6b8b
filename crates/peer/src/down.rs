//! Reasons for which a link goes down.

use std::fmt;

use displaydoc::Display;

use crate::convert::ConvertError;

/// Why a link went down.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum DownReason {
    /// The peer closed the connection.
    Closed,
    /// Reading or writing failed.
    Broken(String),
    /// No frame arrived for too long.
    Silent,
    /// The peer took no bytes for too long.
    WriteStalled,
    /// The peer broke the protocol.
    Violation(Violation),
    /// A newer connection took its place.
    Replaced,
    /// This instance is stopping.
    Stopping,
    /// The task of the link was broken off.
    TaskEnded,
}

impl fmt::Display for DownReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Closed => f.write_str("closed"),
            Self::Broken(error) => write!(f, "broken error={error:?}"),
            Self::Silent => f.write_str("silent"),
            Self::WriteStalled => f.write_str("write_stalled"),
            Self::Violation(violation) => write!(f, "violation error={:?}", violation.to_string()),
            Self::Replaced => f.write_str("replaced"),
            Self::Stopping => f.write_str("stopping"),
            Self::TaskEnded => f.write_str("task_ended"),
        }
    }
}

/// How a peer broke the protocol.
#[derive(Debug, Clone, PartialEq, Eq, Display)]
pub(crate) enum Violation {
    /// {0}
    Content(ConvertError),
    /// a hello after the first frame
    LateHello,
    /// stream {0} was opened out of order
    StreamOrder(u64),
    /// stream {0} was answered before it was opened
    Unopened(u64),
    /// stream {0} exceeded its credits
    Credit(u64),
    /// too many calls above the announced limit
    TooManyCalls,
}

impl From<ConvertError> for Violation {
    fn from(error: ConvertError) -> Self {
        Self::Content(error)
    }
}
