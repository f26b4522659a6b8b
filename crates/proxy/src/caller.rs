//! Callers' requests and answers, free of HTTP.

use std::time::Duration;

use async_trait::async_trait;
use bytes::Bytes;

use heatherhollow_types::RequestId;
use heatherhollow_types::RequestOutcome;
use heatherhollow_types::ServiceName;
use heatherhollow_types::TargetName;
use heatherhollow_types::TeamName;
use heatherhollow_types::TransactionId;

use crate::call::CallAction;

/// A caller's request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CallerRequest {
    /// Its team.
    pub team: TeamName,
    /// The service.
    pub service: ServiceName,
    /// What to do.
    pub action: CallAction,
    /// The statement.
    pub statement: String,
    /// The session token, if the caller sent one.
    pub session: Option<String>,
    /// Idempotency key.
    pub request: Option<RequestId>,
    /// Time that the caller waits; the service's default if it named none.
    pub patience: Option<Duration>,
    /// Whether the request may be sent twice.
    pub is_repeatable: bool,
}

/// End of an answer to a caller.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CallerEnd {
    /// How the request ended.
    pub outcome: RequestOutcome,
    /// For people: more about a failure.
    pub detail: String,
    /// Number of rows in the whole answer.
    pub rows: u64,
    /// The session token to send with the next request.
    pub session: String,
    /// The transaction that the request opened.
    pub transaction: Option<TransactionId>,
    /// The target that answered.
    pub target: Option<TargetName>,
    /// Whether that target was a replica.
    pub is_replica: bool,
    /// Greatest possible age of the answer.
    pub age: Duration,
    /// Whether the outcome is that of an earlier request with the same id.
    pub is_recorded: bool,
}

/// Part of an answer to a caller.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CallerPart {
    /// A row, as a JSON text.
    Row(Bytes),
    /// The end; nothing follows it.
    End(CallerEnd),
}

/// An answer that is pulled part by part; dropping it cancels the request.
#[async_trait]
pub trait CallerStream: Send {
    /// The next part; `None` after the end.
    async fn next_part(&mut self) -> Option<CallerPart>;
}
