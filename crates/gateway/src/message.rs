//! Messages to and from clients and targets, independent of their encoding on the wire.

use std::fmt;
use std::time::Duration;

use heatherhollow_tenants::TenantName;
use heatherhollow_types::GroupPosition;
use heatherhollow_types::TermNumber;

use crate::catalog::TargetRole;
use crate::statement::PreparedShape;
use crate::statement::Statement;

/// Identifies a client's connection; never reused within a process.
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
    /// Query id, chosen by the client.
    pub id: String,
    /// Query text as received, byte for byte.
    pub text: String,
    /// Decoded statement.
    pub statement: Statement,
}

/// Transaction state of a session or of a connection to a target.
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

/// Error codes that clients are sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ClientCode {
    /// The statement did not run: there is no capacity or no usable target.
    Busy,
    /// The transaction was rolled back without effect.
    Aborted,
    /// The statement did not run: no target is fresh enough.
    Lagging,
    /// The statement did not run: the target does not take writes.
    ReadOnly,
    /// The statement ran and failed.
    Failed,
    /// No statement is prepared under the name.
    NoStatement,
    /// The time limit passed; the statement may or may not have run.
    Timeout,
    /// No route exists for the database name.
    UnknownDatabase,
    /// The session has no key, or one that no tenant holds.
    Unauthorized,
    /// A message is too large.
    TooLarge,
    /// A message is malformed or not allowed in this state.
    Malformed,
    /// The outcome of a write or commit is unknown.
    InDoubt,
}

/// An error that a client is sent.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ClientError {
    /// Error code.
    pub code: ClientCode,
    /// Message for people.
    pub text: String,
    /// Time after which a retry may succeed; `None` if a retry is not expected to succeed or is not
    /// safe.
    pub retry_after: Option<Duration>,
}

impl ClientError {
    /// Creates an error without a retry time.
    pub fn new(code: ClientCode, text: &str) -> Self {
        Self {
            code,
            text: text.to_string(),
            retry_after: None,
        }
    }
}

/// Answer to a query of a client.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ClientAnswer {
    /// Rows, in order.
    pub rows: Vec<String>,
    /// Signature of the target on success, `None` if the gateway answered the query itself, or an
    /// error.
    pub end: Result<Option<String>, ClientError>,
    /// State of the session after the query.
    pub state: SessionState,
    /// Log position of the target that answered.
    pub position: Option<GroupPosition>,
    /// Whether the statement did not run here and another instance may reach more targets of the
    /// group. Only the home of a group sets this.
    pub is_isolated: bool,
    /// Whether the statement was refused and nothing of its operation was sent to a target. Only
    /// the home of a group sets this.
    pub is_unsent: bool,
}

/// A call to a target.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum TargetCall {
    /// Opens the session of a new connection.
    Start {
        /// Name of the database group.
        group: String,
        /// Tenant whose statements the connection runs; `None` if it belongs to no tenant.
        tenant: Option<TenantName>,
        /// Expected id of the target.
        target: String,
    },
    /// Runs a client's query, forwarded unchanged.
    Forward {
        /// Query id.
        id: String,
        /// Query text.
        text: String,
        /// Position that the target's log must contain.
        after: Option<GroupPosition>,
    },
    /// Executes a prepared statement for a client, under the name that the statement has on the
    /// connection.
    Execute {
        /// Query id.
        id: String,
        /// Name on the connection.
        name: String,
        /// Arguments, unchanged.
        arguments: String,
        /// Position that the target's log must contain.
        after: Option<GroupPosition>,
    },
    /// Opens a transaction.
    Begin {
        /// Whether the transaction only reads.
        is_read_only: bool,
        /// Position that the target's log must contain.
        after: Option<GroupPosition>,
    },
    /// Rolls back the open transaction.
    Rollback,
    /// Clears the values and prepared statements of the connection.
    Discard,
    /// Sets a session value on the connection.
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
        /// Text and kind of the statement.
        shape: PreparedShape,
    },
    /// Requests the target's status report.
    Status,
    /// Stops a replica from accepting log records of terms below this one.
    Pause(TermNumber),
    /// Lets a paused replica accept log records again.
    Resume,
    /// Demotes a primary of a lower term to a replica.
    StepDown(TermNumber),
}

/// Error codes that targets send.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum TargetCode {
    /// The statement did not run: the target's queue is full.
    Busy,
    /// The statement did not run: the target's log does not contain the required position.
    Lagging,
    /// The statement did not run: the target is not the primary.
    ReadOnly,
    /// The statement did not run: none is prepared under the name.
    NoStatement,
    /// The target has another id than the expected one.
    WrongTarget,
    /// The target has too many connections.
    ConnectionLimit,
    /// The statement ran and failed.
    Failed,
    /// The statement exceeded the target's time limit.
    Timeout,
    /// Another code, as sent.
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

/// Last part of a target's answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum AnswerEnd {
    /// The call succeeded.
    Complete {
        /// Signature of the target; `-` for statements that have none.
        signature: String,
    },
    /// The call failed.
    Error {
        /// Error code.
        code: TargetCode,
        /// Error message.
        text: String,
    },
}

/// Complete answer of a target to a call.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TargetAnswer {
    /// Rows, in order.
    pub rows: Vec<String>,
    /// Whether the call succeeded, with its signature or error.
    pub end: AnswerEnd,
    /// State of the connection after the call.
    pub state: SessionState,
    /// Log position of the target at the end of the answer.
    pub position: Option<GroupPosition>,
}

impl TargetAnswer {
    /// Returns the error code; `None` if the call succeeded.
    pub fn error(&self) -> Option<&TargetCode> {
        match &self.end {
            AnswerEnd::Complete { .. } => None,
            AnswerEnd::Error { code, .. } => Some(code),
        }
    }

    /// Returns whether the call succeeded.
    pub fn is_success(&self) -> bool {
        self.error().is_none()
    }
}

/// Status report of a target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StatusReport {
    /// Role that the target has by its own account.
    pub role: TargetRole,
    /// Highest term that the target knows.
    pub term: TermNumber,
    /// End of the log that the target has received.
    pub received: GroupPosition,
    /// Term for which the target is paused; `None` if it accepts log records.
    pub paused_for: Option<TermNumber>,
    /// Time until the target has applied the log that it has received, by its own account.
    pub lag: Duration,
    /// Number of slots in use.
    pub busy_slots: u32,
    /// Number of open connections of all instances and other callers.
    pub connections: u32,
}

/// Decodes the row that answers [`TargetCall::Status`] and the fencing calls [`TargetCall::Pause`],
/// [`TargetCall::Resume`] and [`TargetCall::StepDown`].
pub trait StatusFormat {
    /// Decodes a row; `None` if it is malformed.
    fn decode(&self, row: &str) -> Option<StatusReport>;
}
