//! Targets of database groups.
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
    /// It takes writes.
    Primary,
    /// It follows a primary.
    Replica,
}

/// What a target says of itself.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TargetStatus {
    /// Its role.
    pub role: TargetRole,
    /// Highest term that it has promised to follow; writes and records of lower terms are refused.
    pub promised: TermNumber,
    /// End of its log: term and position of the last record.
    pub end: GroupPosition,
    /// Position up to which reads see the log; not above `end`.
    pub applied: GroupPosition,
    /// Terms of its log.
    pub history: TermHistory,
    /// For a replica: time since it last heard from its primary.
    pub primary_silent_for: Option<Duration>,
    /// Whether it is about to stop.
    pub is_leaving: bool,
}

/// Answer to a fence call.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct FenceReply {
    /// Whether the target promised the term to the candidate.
    pub is_accepted: bool,
    /// Its state after the call.
    pub status: TargetStatus,
}

/// The right to one connection to a target.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ConnectionPermit {
    /// Service under which the connection counts.
    pub service: ServiceName,
    /// Number of the permit; a newer connection with the same number closes the older one.
    pub number: PermitNumber,
    /// Instance that holds it.
    pub holder: InstanceName,
}

/// Step of a transaction that a call stands for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallStep {
    /// A statement in its own transaction.
    Single,
    /// Opens a transaction on the connection.
    Begin,
    /// A statement in the open transaction.
    Within,
    /// Commits the open transaction.
    Commit,
    /// Rolls the open transaction back.
    Rollback,
}

/// One call to a target.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TargetCall {
    /// The statement; empty for begin, commit and rollback.
    pub statement: String,
    /// Step of the transaction.
    pub step: CallStep,
    /// Whether the target refuses to change anything.
    pub is_read_only: bool,
    /// Id under which a write is recorded together with its effect.
    pub request: Option<RequestId>,
    /// Term the target has to be in; a primary of another term refuses a write.
    pub term: Option<TermNumber>,
}

/// End of an answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AnswerEnd {
    /// How the call ended.
    pub outcome: RequestOutcome,
    /// For people: what the target said of a failure.
    pub detail: String,
    /// Number of rows in the whole answer.
    pub rows: u64,
    /// For a write or commit: the position of its last record.
    pub position: Option<GroupPosition>,
    /// Whether the outcome was read from the record of an earlier call with the same request id.
    pub is_recorded: bool,
    /// Opaque addition of the instance that ran the call (session token, transaction id).
    pub extra: Vec<u8>,
}

impl AnswerEnd {
    /// An end without rows or position.
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

/// Part of an answer: first the head, then rows, then the end.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum AnswerPart {
    /// Position of the state that the answer shows.
    Head(GroupPosition),
    /// One row, as a JSON text.
    Row(Bytes),
    /// The end; nothing follows it.
    End(AnswerEnd),
}

/// Why a call to a target failed.
///
/// The variants say whether the call may have been sent, which decides between *not run* and
/// *unknown*.
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
    /// Whether the call may have been run.
    pub fn may_have_run(&self) -> bool {
        matches!(self, Self::ConnectionLost)
    }
}

/// An answer that is pulled part by part; dropping it cancels the call.
#[async_trait]
pub trait AnswerStream: Send {
    /// The next part; `None` after the end.
    async fn next_part(&mut self) -> Option<AnswerPart>;
}

/// A connection to a target. It carries one call at a time.
#[async_trait]
pub trait TargetConnection: Send {
    /// Starts a call; its parts follow through `next_part`.
    async fn begin_call(&mut self, call: TargetCall) -> Result<(), TargetError>;

    /// The next part of the answer to the call that was started last.
    async fn next_part(&mut self) -> Result<AnswerPart, TargetError>;

    /// A round trip that shows that the connection works.
    async fn check(&mut self) -> Result<(), TargetError>;

    /// Whether the other end is known to have closed the connection.
    fn is_closed(&self) -> bool;
}

/// One target of a database group. Calls have no timeout of their own; the caller sets one.
#[async_trait]
pub trait TargetPort: Send + Sync {
    /// Opens a connection.
    async fn connect(
        &self,
        permit: ConnectionPermit,
    ) -> Result<Box<dyn TargetConnection>, TargetError>;

    /// Asks for the target's state.
    async fn status(&self) -> Result<TargetStatus, TargetError>;

    /// Asks the target to promise a term to a candidate.
    async fn fence(
        &self,
        term: TermNumber,
        candidate: &CandidateId,
    ) -> Result<FenceReply, TargetError>;

    /// Makes the target the primary of the term that it promised to the candidate.
    async fn promote(
        &self,
        term: TermNumber,
        candidate: &CandidateId,
    ) -> Result<TargetStatus, TargetError>;

    /// Tells a target which target is the primary of a term.
    async fn follow(&self, term: TermNumber, primary: &TargetName) -> Result<(), TargetError>;
}
