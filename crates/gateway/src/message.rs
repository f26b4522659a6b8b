//! Messages to and from clients and targets, independent of their form on the wire.

use std::fmt;
use std::time::Duration;

use heatherhollow_types::GroupPosition;
use heatherhollow_types::TermNumber;

use crate::catalog::TargetRole;
use crate::statement::PreparedShape;
use crate::statement::Statement;

/// A client's connection, unique in the life of the process.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ClientId(pub u64);

impl fmt::Display for ClientId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// A query of a client.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ClientQuery {
    /// Its id, chosen by the client.
    pub id: String,
    /// Its text, byte for byte.
    pub text: String,
    /// What the text means.
    pub statement: Statement,
}

/// State of a session or of a connection to a target.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum SessionState {
    /// No transaction is open.
    #[default]
    Idle,
    /// A transaction is open.
    Transaction,
    /// The open transaction has failed and can only be rolled back.
    Failed,
}

/// Error codes for clients.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ClientCode {
    /// Nothing ran: no capacity or no usable target.
    Busy,
    /// The transaction was rolled back; nothing of it is kept.
    Aborted,
    /// Nothing ran: no target is fresh enough.
    Lagging,
    /// Nothing ran: the target does not take writes.
    ReadOnly,
    /// The statement ran and failed.
    Failed,
    /// The prepared name does not exist.
    NoStatement,
    /// The time limit passed; nothing is promised.
    Timeout,
    /// No route has this database.
    UnknownDatabase,
    /// A message is too large.
    TooLarge,
    /// A message is malformed or not allowed in this state.
    Malformed,
    /// A write or commit may have taken effect.
    InDoubt,
}

/// An error for a client.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ClientError {
    /// What kind of error it is.
    pub code: ClientCode,
    /// Text for people.
    pub text: String,
    /// Time after which another attempt may succeed; none if the same attempt is not expected to, or
    /// if it may not be repeated.
    pub retry_after: Option<Duration>,
}

impl ClientError {
    /// An error without advice on another attempt.
    pub fn new(code: ClientCode, text: &str) -> Self {
        Self {
            code,
            text: text.to_string(),
            retry_after: None,
        }
    }
}

/// Answer to a client.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ClientAnswer {
    /// Rows, in order.
    pub rows: Vec<String>,
    /// The target's signature, none for a local success, or an error.
    pub end: Result<Option<String>, ClientError>,
    /// State of the session after it.
    pub state: SessionState,
    /// Log position of the target that answered.
    pub position: Option<GroupPosition>,
    /// Whether nothing ran and another instance may see more of the group; for homes.
    pub is_isolated: bool,
}

/// A call to a target.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum TargetCall {
    /// Opens the session of a new connection.
    Start {
        /// Name of the database group.
        group: String,
        /// Id that the target is expected to have.
        target: String,
    },
    /// A client's query, passed on unchanged.
    Forward {
        /// Its id.
        id: String,
        /// Its text.
        text: String,
        /// Position that the target's log has to contain.
        after: Option<GroupPosition>,
    },
    /// A client's execution of a prepared statement, under the connection's own name for it.
    Execute {
        /// Its id.
        id: String,
        /// Name on the connection.
        name: String,
        /// Arguments, unchanged.
        arguments: String,
        /// Position that the target's log has to contain.
        after: Option<GroupPosition>,
    },
    /// Opens a transaction.
    Begin {
        /// Whether it only reads.
        is_read_only: bool,
        /// Position that the target's log has to contain.
        after: Option<GroupPosition>,
    },
    /// Rolls the transaction back.
    Rollback,
    /// Clears the values and prepared statements of the connection.
    Discard,
    /// Sets a value.
    Set {
        /// Name of the value.
        name: String,
        /// The value.
        value: String,
    },
    /// Prepares a statement.
    Prepare {
        /// Name on the connection.
        name: String,
        /// What it does.
        shape: PreparedShape,
    },
    /// Asks for the target's status.
    Status,
    /// Stops a replica from taking records of terms below this one.
    Pause(TermNumber),
    /// Ends a pause.
    Resume,
    /// Makes a primary of a lower term a replica.
    StepDown(TermNumber),
}

/// Error codes of targets.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum TargetCode {
    /// Nothing ran: the queue is full.
    Busy,
    /// Nothing ran: the log lacks the position asked for.
    Lagging,
    /// Nothing ran: this target does not lead.
    ReadOnly,
    /// Nothing ran: the prepared name does not exist.
    NoStatement,
    /// The target is not the expected one.
    WrongTarget,
    /// The target has too many connections.
    ConnectionLimit,
    /// The statement ran and failed.
    Failed,
    /// The statement ran into the target's time limit.
    Timeout,
    /// Any other code, as text.
    Other(String),
}

impl fmt::Display for TargetCode {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Busy => f.write_str("busy"),
            Self::Lagging => f.write_str("lagging"),
            Self::ReadOnly => f.write_str("read_only"),
            Self::NoStatement => f.write_str("no_statement"),
            Self::WrongTarget => f.write_str("wrong_target"),
            Self::ConnectionLimit => f.write_str("connection_limit"),
            Self::Failed => f.write_str("failed"),
            Self::Timeout => f.write_str("timeout"),
            Self::Other(code) => f.write_str(code),
        }
    }
}

/// How an answer of a target ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum AnswerEnd {
    /// Success with the target's signature, `-` for statements that have none.
    Complete {
        /// The signature.
        signature: String,
    },
    /// An error.
    Error {
        /// Its code.
        code: TargetCode,
        /// Its text.
        text: String,
    },
}

/// Whole answer of a target.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TargetAnswer {
    /// Rows, in order.
    pub rows: Vec<String>,
    /// How it ended.
    pub end: AnswerEnd,
    /// State of the connection after it.
    pub state: SessionState,
    /// Log position of the target at the end of the answer.
    pub position: Option<GroupPosition>,
}

impl TargetAnswer {
    /// The error code, if the answer is an error.
    pub fn error(&self) -> Option<&TargetCode> {
        match &self.end {
            AnswerEnd::Complete { .. } => None,
            AnswerEnd::Error { code, .. } => Some(code),
        }
    }

    /// Whether it ended with success.
    pub fn is_success(&self) -> bool {
        self.error().is_none()
    }
}

/// A target's report on itself.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StatusReport {
    /// Its role as it sees it.
    pub role: TargetRole,
    /// The newest term that it knows.
    pub term: TermNumber,
    /// End of the log that it has received.
    pub received: GroupPosition,
    /// Term for which it is paused; none if it takes records.
    pub paused_for: Option<TermNumber>,
    /// How far it is behind its primary.
    pub lag: Duration,
    /// Slots in use.
    pub busy_slots: u32,
    /// Open connections of all callers.
    pub connections: u32,
}

/// Decoder of the row that answers [`TargetCall::Status`] and the fencing calls.
pub trait StatusFormat {
    /// Decodes a row; `None` if it is malformed.
    fn decode(&self, row: &str) -> Option<StatusReport>;
}
