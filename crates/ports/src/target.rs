//! Targets of database groups (database servers), as a port.
//!
//! `docs/design.md`, "Requirements on a target", says what a target has to provide and what is
//! promised without each part.

use std::time::Duration;

use async_trait::async_trait;
use bytes::Bytes;
use displaydoc::Display;

use heatherhollow_types::CandidateId;
use heatherhollow_types::GroupPosition;
use heatherhollow_types::InstanceName;
use heatherhollow_types::PermitNumber;
use heatherhollow_types::RequestId;
use heatherhollow_types::RequestOutcome;
use heatherhollow_types::ServiceName;
use heatherhollow_types::TargetName;
use heatherhollow_types::TermHistory;
use heatherhollow_types::TermNumber;

/// Role of a target in its group.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TargetRole {
    /// The target accepts writes.
    Primary,
    /// The target replicates from a primary.
    Replica,
}

/// State that a target reports about itself.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TargetStatus {
    /// Role of the target in its group.
    pub role: TargetRole,
    /// Highest term that the target has promised; it refuses writes and records of lower terms.
    pub promised: TermNumber,
    /// Term and position of the last record in its log.
    pub end: GroupPosition,
    /// Position up to which the log is visible to reads; not above `end`.
    pub applied: GroupPosition,
    /// Terms of its log, with the position at which each starts.
    pub history: TermHistory,
    /// For a replica: time since the last message from its primary.
    pub primary_silent_for: Option<Duration>,
    /// Whether the target is about to stop.
    pub is_leaving: bool,
}

/// Answer to [`TargetPort::fence`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct FenceReply {
    /// Whether the target promised the term to the candidate.
    pub is_accepted: bool,
    /// State of the target after the call.
    pub status: TargetStatus,
}

/// Right to hold one connection to a target.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ConnectionPermit {
    /// Service whose connection limit the connection counts against.
    pub service: ServiceName,
    /// Number of the permit; a newer connection with the same number closes the older one.
    pub number: PermitNumber,
    /// Instance that holds the permit.
    pub holder: InstanceName,
}

/// Transaction step that a call executes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallStep {
    /// Runs a statement in its own transaction.
    Single,
    /// Opens a transaction on the connection.
    Begin,
    /// Runs a statement in the open transaction.
    Within,
    /// Commits the open transaction.
    Commit,
    /// Rolls back the open transaction.
    Rollback,
}

/// One call to a target.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TargetCall {
    /// The statement; empty for begin, commit and rollback.
    pub statement: String,
    /// Step of the transaction.
    pub step: CallStep,
    /// Whether the target has to reject any change of data.
    pub is_read_only: bool,
    /// Idempotency key, which the target stores in the same transaction as the write.
    pub request: Option<RequestId>,
    /// Term that the call requires; a primary of another term refuses a write.
    pub term: Option<TermNumber>,
}

/// Last part of an answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AnswerEnd {
    /// How the call ended.
    pub outcome: RequestOutcome,
    /// Human-readable error text of the target; empty without a failure.
    pub detail: String,
    /// Number of rows in the whole answer.
    pub rows: u64,
    /// For a write or commit: the position of its last record.
    pub position: Option<GroupPosition>,
    /// Whether the outcome is the stored one of an earlier call with the same request id.
    pub is_recorded: bool,
    /// Opaque data added by the instance that ran the call (session token, transaction id).
    pub extra: Vec<u8>,
}

impl AnswerEnd {
    /// Returns an end with the given outcome, without rows and position.
    pub fn of(outcome: RequestOutcome) -> Self {
        Self {
            outcome,
            detail: String::new(),
            rows: 0,
            position: None,
            is_recorded: false,
            extra: Vec::new(),
        }
    }
}

/// Part of an answer, in this order: one head, any number of rows, one end.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum AnswerPart {
    /// Log position of the database state that the answer was read from.
    Head(GroupPosition),
    /// One row, encoded as JSON.
    Row(Bytes),
    /// The end; nothing follows it.
    End(AnswerEnd),
}

/// Why a call to a target failed.
///
/// The variants distinguish whether the call may have been sent, which decides whether its outcome
/// is *not run* or *unknown*.
#[derive(Debug, Clone, PartialEq, Eq, Display)]
pub enum TargetError {
    /// the target refused the connection
    ConnectionRefused,
    /// the target did not answer the connection attempt in time
    ConnectTimeout,
    /// the target refused the connection permit
    PermitRefused,
    /// the connection was closed before the call was sent
    NotSent,
    /// the connection was lost after the call may have been sent
    ConnectionLost,
    /// the target refused the call because its term is {0}
    WrongTerm(TermNumber),
    /// the target is not the primary
    NotPrimary,
    /// the target rejected the call: {0}
    Rejected(String),
}

impl std::error::Error for TargetError {}

impl TargetError {
    /// Returns whether the target may have run the call.
    pub fn may_have_run(&self) -> bool {
        matches!(self, Self::ConnectionLost)
    }
}

/// Stream of the parts of an answer; dropping it cancels the call.
#[async_trait]
pub trait AnswerStream: Send {
    /// Returns the next part, or `None` after the end.
    async fn next_part(&mut self) -> Option<AnswerPart>;
}

/// Connection to a target, with at most one call in progress.
#[async_trait]
pub trait TargetConnection: Send {
    /// Sends a call; [`Self::next_part`] returns the parts of its answer.
    async fn begin_call(&mut self, call: TargetCall) -> Result<(), TargetError>;

    /// Returns the next part of the answer to the latest call.
    async fn next_part(&mut self) -> Result<AnswerPart, TargetError>;

    /// Makes a round trip to verify that the connection works.
    async fn check(&mut self) -> Result<(), TargetError>;

    /// Returns whether the target is known to have closed the connection.
    fn is_closed(&self) -> bool;
}

/// One target of a database group.
///
/// The methods have no timeouts; callers set them.
#[async_trait]
pub trait TargetPort: Send + Sync {
    /// Opens a connection under a permit.
    async fn connect(
        &self,
        permit: ConnectionPermit,
    ) -> Result<Box<dyn TargetConnection>, TargetError>;

    /// Returns the target's state.
    async fn status(&self) -> Result<TargetStatus, TargetError>;

    /// Asks the target to promise a term to a candidate and to refuse lower terms from then on.
    async fn fence(
        &self,
        term: TermNumber,
        candidate: &CandidateId,
    ) -> Result<FenceReply, TargetError>;

    /// Promotes the target to primary of the term that it promised to the candidate.
    async fn promote(
        &self,
        term: TermNumber,
        candidate: &CandidateId,
    ) -> Result<TargetStatus, TargetError>;

    /// Makes the target replicate from `primary`, the primary of `term`.
    async fn follow(&self, term: TermNumber, primary: &TargetName) -> Result<(), TargetError>;
}
