//! Properties of a call that scheduling and routing depend on.

use std::time::Duration;

use crate::ids::KindName;

/// When a write is acknowledged.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum AckMode {
    /// After a majority of the group's targets have the write.
    #[default]
    Replicated,
    /// After the primary has answered, if it is certain that it had not been replaced before.
    Primary,
}

/// Class of a call, in descending order of priority at admission.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum CallKind {
    /// Statement, commit or rollback of an open transaction.
    Transaction,
    /// Write outside a transaction, or the start of a transaction.
    Write,
    /// Read outside a transaction.
    Read,
}

/// Kind of read that a service declares.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ReadKind {
    /// Name of the kind.
    pub name: KindName,
    /// Maximum age of an answer; zero requires the current state.
    pub max_age: Duration,
    /// Maximum time to wait for a replica to catch up.
    pub max_wait: Duration,
}
