//! Values and leases of the key-value service, without its calls and faults.

use std::collections::BTreeMap;
use std::time::Duration;

use tokio::time::Instant;

use heatherhollow_ports::LeaseId;
use heatherhollow_ports::StoreChange;
use heatherhollow_ports::StoreEntry;
use heatherhollow_ports::StoreEra;
use heatherhollow_ports::StoreError;
use heatherhollow_ports::StoreRevision;
use heatherhollow_ports::SwapReply;

/// Longest value in bytes.
const MAX_VALUE_BYTES: usize = 1_000_000;

/// Latest change of a path; without a value it was removed.
#[derive(Debug, Clone)]
struct StoredValue {
    value: Option<Vec<u8>>,
    revision: StoreRevision,
    lease: Option<LeaseId>,
}

#[derive(Debug, Clone)]
struct StoredLease {
    id: LeaseId,
    span: Duration,
    ends_at: Instant,
}

/// Contents of a [`KeyValueStore`](crate::KeyValueStore), also as a copy from which it may come back.
#[derive(Debug, Clone, Default)]
pub struct StoreContents {
    // A map, because paths of removed values stay in it.
    values: BTreeMap<String, StoredValue>,
    revision: StoreRevision,
    /// Sorted by id.
    leases: Vec<StoredLease>,
    last_lease: u64,
}

impl StoreContents {
    pub(crate) fn entry(&self, path: &str) -> Option<StoreEntry> {
        let stored = self.values.get(path)?;
        Some(StoreEntry {
            path: path.to_string(),
            value: stored.value.clone()?,
            revision: stored.revision,
        })
    }

    pub(crate) fn list(&self, prefix: &str) -> Vec<StoreEntry> {
        let paths = self.values.keys().filter(|path| is_below(path, prefix));
        paths.filter_map(|path| self.entry(path)).collect()
    }

    pub(crate) fn changes_after(&self, prefix: &str, after: StoreRevision) -> Vec<StoreChange> {
        if after >= self.revision {
            return Vec::new();
        }
        let newer = self
            .values
            .iter()
            .filter(|(path, stored)| stored.revision > after && is_below(path, prefix));
        let mut changes: Vec<_> = newer
            .map(|(path, stored)| StoreChange {
                path: path.clone(),
                value: stored.value.clone(),
                revision: stored.revision,
            })
            .collect();
        changes.sort_by_key(|change| change.revision);
        changes
    }

    fn store(&mut self, path: &str, value: Option<Vec<u8>>, lease: Option<LeaseId>) {
        self.revision = StoreRevision(self.revision.0 + 1);
        let stored = StoredValue {
            value,
            revision: self.revision,
            lease,
        };
        self.values.insert(path.to_string(), stored);
    }

    pub(crate) fn swap(
        &mut self,
        path: &str,
        expected: Option<StoreRevision>,
        value: Vec<u8>,
        lease: Option<LeaseId>,
    ) -> Result<SwapReply, StoreError> {
        if value.len() > MAX_VALUE_BYTES {
            let detail = format!(
                "the value has {} bytes, more than the limit of {MAX_VALUE_BYTES}",
                value.len()
            );
            return Err(StoreError::Rejected(detail));
        }
        if lease.is_some_and(|lease| self.find_lease(lease).is_err()) {
            return Err(StoreError::LeaseEnded);
        }
        let present = self.entry(path);
        if present.as_ref().map(|entry| entry.revision) != expected {
            return Ok(SwapReply::Conflict(present));
        }
        self.store(path, Some(value), lease);
        Ok(SwapReply::Swapped(self.revision))
    }

    /// Takes over a copy, in a new era, and returns its leases with their ends.
    pub(crate) fn restore(&mut self, copy: Self) -> Vec<(LeaseId, Instant)> {
        let era = StoreEra(self.era().0 + 1);
        let in_era = |revision: StoreRevision| StoreRevision::new(era, revision.number());
        let lease_in_era = |lease: LeaseId| LeaseId { era, ..lease };
        let now = Instant::now();
        *self = copy;
        self.revision = in_era(self.revision);
        for stored in self.values.values_mut() {
            stored.revision = in_era(stored.revision);
            stored.lease = stored.lease.map(lease_in_era);
        }
        for stored in &mut self.leases {
            stored.id = lease_in_era(stored.id);
            stored.ends_at = now + stored.span;
        }
        let leases = self.leases.iter();
        leases.map(|stored| (stored.id, stored.ends_at)).collect()
    }

    pub(crate) fn era(&self) -> StoreEra {
        self.revision.era()
    }

    pub(crate) fn revision(&self) -> StoreRevision {
        self.revision
    }

    /// Starts a lease and returns it with its end.
    pub(crate) fn grant_lease(&mut self, span: Duration) -> (LeaseId, Instant) {
        self.last_lease += 1;
        let id = LeaseId {
            era: self.era(),
            number: self.last_lease,
        };
        let ends_at = Instant::now() + span;
        self.leases.push(StoredLease { id, span, ends_at });
        (id, ends_at)
    }

    pub(crate) fn renew_lease(&mut self, lease: LeaseId) -> Result<(), StoreError> {
        let i = self.find_lease(lease).map_err(|_| StoreError::LeaseEnded)?;
        let stored = &mut self.leases[i];
        stored.ends_at = Instant::now() + stored.span;
        Ok(())
    }

    /// Ends a lease, unless it has ended, and removes its values.
    pub(crate) fn end_lease(&mut self, lease: LeaseId) {
        if let Ok(i) = self.find_lease(lease) {
            self.remove_lease(i);
        }
    }

    /// Ends a lease whose end has come; returns its end if it is later, as it was renewed.
    pub(crate) fn end_lease_if_due(&mut self, lease: LeaseId) -> Option<Instant> {
        let i = self.find_lease(lease).ok()?;
        let ends_at = self.leases[i].ends_at;
        if ends_at > Instant::now() {
            return Some(ends_at);
        }
        self.remove_lease(i);
        None
    }

    fn find_lease(&self, lease: LeaseId) -> Result<usize, usize> {
        self.leases.binary_search_by_key(&lease, |stored| stored.id)
    }

    fn remove_lease(&mut self, index: usize) {
        let lease = self.leases.remove(index).id;
        let bound = self.values.iter();
        let bound: Vec<_> = bound
            .filter(|(_, stored)| stored.lease == Some(lease))
            .map(|(path, _)| path.clone())
            .collect();
        for path in bound {
            self.store(&path, None, None);
        }
    }
}

fn is_below(path: &str, prefix: &str) -> bool {
    match path.strip_prefix(prefix) {
        Some(rest) => {
            rest.is_empty() || rest.starts_with('/') || prefix.is_empty() || prefix.ends_with('/')
        }
        None => false,
    }
}
