//! Statements of clients, decoded as far as the proxy has to understand them.

/// What a prepared statement does; two names with equal shapes can share one preparation.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct PreparedShape {
    /// Whether it writes.
    pub is_write: bool,
    /// Its text.
    pub text: String,
}

/// A statement of a client.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Statement {
    /// Opens a transaction.
    Begin {
        /// Whether it only reads.
        is_read_only: bool,
    },
    /// Commits the open transaction.
    Commit,
    /// Rolls the open transaction back.
    Rollback,
    /// Reads; the text of the query is passed on as it is.
    Read,
    /// Writes; the text of the query is passed on as it is.
    Write,
    /// Sets a value of the session.
    Set {
        /// Name of the value.
        name: String,
        /// The value.
        value: String,
    },
    /// Prepares a statement under a name of the session.
    Prepare {
        /// Name in the session.
        name: String,
        /// What it does.
        shape: PreparedShape,
    },
    /// Runs a prepared statement.
    Execute {
        /// Name in the session.
        name: String,
        /// All that follows the name, unchanged.
        arguments: String,
    },
    /// Forgets a prepared statement.
    Deallocate {
        /// Name in the session.
        name: String,
    },
    /// A text that is none of these.
    Unknown,
}
