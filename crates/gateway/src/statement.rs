//! Statements of clients, decoded as far as the gateway has to distinguish them.

/// Definition of a prepared statement. Names with equal shapes share one preparation on a
/// connection.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct PreparedShape {
    /// Whether the statement writes.
    pub is_write: bool,
    /// Statement text.
    pub text: String,
}

/// A statement of a client.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Statement {
    /// Opens a transaction.
    Begin {
        /// Whether the transaction only reads.
        is_read_only: bool,
    },
    /// Commits the open transaction.
    Commit,
    /// Rolls back the open transaction.
    Rollback,
    /// Reads. The text of the query is sent to the target unchanged.
    Read,
    /// Writes. The text of the query is sent to the target unchanged.
    Write,
    /// Sets a session value.
    Set {
        /// Name of the value.
        name: String,
        /// The value.
        value: String,
    },
    /// Prepares a statement under a name in the session.
    Prepare {
        /// Name in the session.
        name: String,
        /// Definition of the statement.
        shape: PreparedShape,
    },
    /// Executes a prepared statement.
    Execute {
        /// Name in the session.
        name: String,
        /// Text that follows the name, unchanged.
        arguments: String,
    },
    /// Removes a prepared statement.
    Deallocate {
        /// Name in the session.
        name: String,
    },
    /// Any other text.
    Unknown,
}
