//! The platform's key-value service, as a port.

use std::fmt;
use std::time::Duration;

use async_trait::async_trait;
use displaydoc::Display;

use crate::era::StoreEra;

/// Number of bits of the store's own number in a [`StoreRevision`].
const NUMBER_BITS: u32 = 48;

/// Revision of the whole store; every change increments it.
///
/// A store that comes back from a copy gives the numbers of revisions out again. The era is therefore
/// the upper part of a revision and the store's number the lower one, so that revisions of different
/// eras can be compared, also as plain numbers in frames and tokens.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct StoreRevision(pub u64);

impl StoreRevision {
    /// Creates a revision; parts that are too large for their bits are cut to the largest ones.
    pub fn new(era: StoreEra, number: u64) -> Self {
        let largest_number = (1 << NUMBER_BITS) - 1;
        let largest_era = u64::MAX >> NUMBER_BITS;
        Self(era.0.min(largest_era) << NUMBER_BITS | number.min(largest_number))
    }

    /// Returns the era in which the store gave the revision out.
    pub fn era(self) -> StoreEra {
        StoreEra(self.0 >> NUMBER_BITS)
    }

    /// Returns the number that the store gave out in that era.
    pub fn number(self) -> u64 {
        self.0 & ((1 << NUMBER_BITS) - 1)
    }
}

impl fmt::Display for StoreRevision {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.era(), self.number())
    }
}

/// Id of a lease, which ends with the era in which the store granted it.
///
/// A later era may lack what was written under the lease, or give its number to another lease.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct LeaseId {
    /// Era in which the lease was granted.
    pub era: StoreEra,
    /// Number that the store gave it.
    pub number: u64,
}

/// A value with the revision of its last change.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StoreEntry {
    /// Path of the value.
    pub path: String,
    /// The value, at most 1 MB.
    pub value: Vec<u8>,
    /// Revision of its last change.
    pub revision: StoreRevision,
}

/// A change that a watch reports.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StoreChange {
    /// Path of the value.
    pub path: String,
    /// The new value, or `None` if the value was deleted.
    pub value: Option<Vec<u8>>,
    /// Revision of the change.
    pub revision: StoreRevision,
}

/// Result of a compare-and-swap.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum SwapReply {
    /// The value was stored at this revision.
    Swapped(StoreRevision),
    /// The current entry had another revision; `None` if there is no value.
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
    /// Returns the entry at a path, or `None` if there is no value.
    async fn get(&self, path: &str) -> Result<Option<StoreEntry>, StoreError>;

    /// Returns all entries below a path, and the store's revision at the time of the read.
    async fn list(&self, prefix: &str) -> Result<(Vec<StoreEntry>, StoreRevision), StoreError>;

    /// Does the same as [`StorePort::list`], but may return a state that is some seconds old if
    /// that makes the call cheaper.
    async fn list_recent(
        &self,
        prefix: &str,
    ) -> Result<(Vec<StoreEntry>, StoreRevision), StoreError> {
        self.list(prefix).await
    }

    /// Stores `value` if the current revision is `expected`; `None` expects that there is no value.
    ///
    /// With a lease, the value is deleted when the lease ends. A revision of an earlier era is never
    /// the current one.
    async fn compare_and_swap(
        &self,
        path: &str,
        expected: Option<StoreRevision>,
        value: Vec<u8>,
        lease: Option<LeaseId>,
    ) -> Result<SwapReply, StoreError>;

    /// Waits for changes below a path after a revision; returns an empty list after about `wait`.
    ///
    /// Fails with [`StoreError::HistoryGone`] if the store has come back from a copy since the
    /// revision, as soon as an answer to any call shows that.
    async fn watch(
        &self,
        prefix: &str,
        after: StoreRevision,
        wait: Duration,
    ) -> Result<Vec<StoreChange>, StoreError>;

    /// Returns the latest era that an answer of the store has shown.
    fn era(&self) -> StoreEra {
        StoreEra::default()
    }

    /// Waits until an answer of the store shows a later era than `era`.
    async fn wait_for_era_after(&self, _era: StoreEra) {
        std::future::pending().await
    }

    /// Starts a lease; values that are bound to the lease are deleted when it ends.
    async fn grant_lease(&self, span: Duration) -> Result<LeaseId, StoreError>;

    /// Restarts the span of a lease.
    ///
    /// Fails with [`StoreError::LeaseEnded`] also if the store has come back from a copy since the
    /// lease was granted.
    async fn renew_lease(&self, lease: LeaseId) -> Result<(), StoreError>;

    /// Ends a lease immediately, and deletes the values that are bound to it.
    ///
    /// Does nothing if the lease has ended.
    async fn end_lease(&self, lease: LeaseId) -> Result<(), StoreError>;
}
