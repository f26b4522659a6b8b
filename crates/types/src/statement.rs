//! What a caller asks for, as far as decisions need to know it.

use std::time::Duration;

use crate::ids::KindName;

/// When a write is acknowledged.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum AckMode {
    /// When a majority of the group's targets hold it.
    #[default]
    Replicated,
    /// When the primary has answered and is known not to have been replaced before.
    Primary,
}

/// Class of a call, in the order in which admission prefers them.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum CallKind {
    /// Statement, commit or rollback of an open transaction.
    Transaction,
    /// Single write, or the start of a transaction.
    Write,
    /// Single read.
    Read,
}

/// A kind of read of a service, as its operators declare it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ReadKind {
    /// Its name.
    pub name: KindName,
    /// Greatest age of an answer; zero asks for the present state.
    pub max_age: Duration,
    /// Longest wait for a replica to catch up.
    pub max_wait: Duration,
}
