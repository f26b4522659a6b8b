//! The platform's key-value service.

use std::fmt;
use std::time::Duration;

use async_trait::async_trait;
use displaydoc::Display;

/// Revision of the whole store; every change takes the next one.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct StoreRevision(pub u64);

impl fmt::Display for StoreRevision {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// Id of a lease.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct LeaseId(pub u64);

/// A value with the revision of its last change.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StoreEntry {
    /// Path of the value.
    pub path: String,
    /// The value; at most 1 MB.
    pub value: Vec<u8>,
    /// Revision of its last change.
    pub revision: StoreRevision,
}

/// A change that a watch reports.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StoreChange {
    /// Path of the value.
    pub path: String,
    /// The new value, or none if it was removed.
    pub value: Option<Vec<u8>>,
    /// Revision of the change.
    pub revision: StoreRevision,
}

/// Answer to a compare-and-swap.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum SwapReply {
    /// The value was stored.
    Swapped(StoreRevision),
    /// The value had another revision; it is returned, or none if there is no value.
    Conflict(Option<StoreEntry>),
}

/// Why a call to the store failed.
#[derive(Debug, Clone, PartialEq, Eq, Display)]
pub enum StoreError {
    /// the store is unavailable, nothing was sent: {0}
    Unavailable(String),
    /// no answer arrived, the call may have taken effect: {0}
    ReplyLost(String),
    /// the store rejected the call: {0}
    Rejected(String),
    /// the lease has ended
    LeaseEnded,
    /// the store no longer has the history after this revision
    HistoryGone,
}

impl std::error::Error for StoreError {}

/// The key-value service with compare-and-swap, leases and watches.
#[async_trait]
pub trait StorePort: Send + Sync {
    /// Reads a value.
    async fn get(&self, path: &str) -> Result<Option<StoreEntry>, StoreError>;

    /// Reads all values below a path, and the store's revision at that time.
    async fn list(&self, prefix: &str) -> Result<(Vec<StoreEntry>, StoreRevision), StoreError>;

    /// Like [`StorePort::list`], but the values may be those of some seconds ago if that makes the call
    /// cheaper.
    async fn list_recent(
        &self,
        prefix: &str,
    ) -> Result<(Vec<StoreEntry>, StoreRevision), StoreError> {
        self.list(prefix).await
    }

    /// Stores `value` if the present revision is `expected` (none: there is no value).
    async fn compare_and_swap(
        &self,
        path: &str,
        expected: Option<StoreRevision>,
        value: Vec<u8>,
        lease: Option<LeaseId>,
    ) -> Result<SwapReply, StoreError>;

    /// Waits for changes below a path that come after a revision; empty after about `wait`.
    async fn watch(
        &self,
        prefix: &str,
        after: StoreRevision,
        wait: Duration,
    ) -> Result<Vec<StoreChange>, StoreError>;

    /// Starts a lease; values that are bound to it vanish when it ends.
    async fn grant_lease(&self, span: Duration) -> Result<LeaseId, StoreError>;

    /// Prolongs a lease by its span.
    async fn renew_lease(&self, lease: LeaseId) -> Result<(), StoreError>;

    /// Ends a lease at once, and removes the values that are bound to it.
    async fn end_lease(&self, lease: LeaseId) -> Result<(), StoreError>;
}
