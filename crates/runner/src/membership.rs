//! The instance's own entry in the store, and the count of all instances.
//!
//! The count is the highest of the last seconds: entries vanish during outages of the store, and a
//! share of connections that is too small does less harm than one that is too large.

use std::sync::Arc;
use std::time::Duration;

use log::info;

use heatherhollow_limits::WindowMaximum;
use heatherhollow_ports::StoreError;
use heatherhollow_ports::StorePort;
use heatherhollow_ports::SwapReply;
use heatherhollow_types::MonoTime;

/// Prefix of the instances' entries.
pub const MEMBERS_PREFIX: &str = "heatherhollow/instances/";

/// Time over which the highest count is used; longer than an outage of the store usually lasts.
const COUNT_WINDOW: Duration = Duration::from_secs(15);

/// Renewals of the lease in its span.
const RENEWALS: u32 = 3;

/// Entries of live instances.
#[derive(Debug)]
pub struct MemberCount {
    /// Sorted paths of entries.
    paths: Vec<String>,
    maximum: WindowMaximum,
}

impl Default for MemberCount {
    fn default() -> Self {
        Self {
            paths: Vec::new(),
            maximum: WindowMaximum::new(COUNT_WINDOW),
        }
    }
}

impl MemberCount {
    /// Records that an entry exists or was removed.
    pub fn record(&mut self, path: &str, is_present: bool) {
        match self
            .paths
            .binary_search_by(|known| known.as_str().cmp(path))
        {
            Ok(i) if !is_present => {
                self.paths.remove(i);
            }
            Err(i) if is_present => self.paths.insert(i, path.to_string()),
            _ => {}
        }
    }

    /// Replaces all entries.
    pub fn replace(&mut self, mut paths: Vec<String>) {
        paths.sort();
        self.paths = paths;
    }

    /// The highest count of the window; at least this instance.
    pub fn count(&mut self, now: MonoTime) -> usize {
        self.maximum.record(self.paths.len().max(1), now);
        self.maximum.value(now)
    }
}

/// Keeps the instance's entry alive.
pub async fn keep_entry(store: Arc<dyn StorePort>, instance: String, span: Duration) {
    let path = format!("{MEMBERS_PREFIX}{instance}");
    loop {
        match enter(&*store, &path, span).await {
            Ok(()) => info!("member_entry_ended instance={instance}"),
            Err(error) => info!("member_entry_failed error={:?}", error.to_string()),
        }
        tokio::time::sleep(span / RENEWALS).await;
    }
}

/// Writes the entry and renews its lease until that ends.
async fn enter(store: &dyn StorePort, path: &str, span: Duration) -> Result<(), StoreError> {
    let lease = store.grant_lease(span).await?;
    let mut expected = None;
    // An entry of the instance's former run may still be there.
    while let SwapReply::Conflict(entry) = store
        .compare_and_swap(path, expected, Vec::new(), Some(lease))
        .await?
    {
        expected = entry.map(|entry| entry.revision);
    }
    loop {
        tokio::time::sleep(span / RENEWALS).await;
        match store.renew_lease(lease).await {
            Ok(()) => {}
            Err(StoreError::LeaseEnded) => return Ok(()),
            Err(error) => info!("member_lease_not_renewed error={:?}", error.to_string()),
        }
    }
}
