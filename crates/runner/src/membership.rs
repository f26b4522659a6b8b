//! The instance's own entry in the store, and the list and count of live instances.
//!
//! The count is the maximum over [`COUNT_WINDOW`]: entries vanish during outages of the store, and
//! a share of a target's connections that is too small does less harm than one that is too large.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use log::info;
use log::warn;
use serde::Deserialize;
use serde::Serialize;
use tokio::sync::watch;
use tokio::time::sleep;

use heatherhollow_gateway::PeerEntry;

use heatherhollow_limits::WindowMaximum;
use heatherhollow_ports::StoreError;
use heatherhollow_ports::StorePort;
use heatherhollow_ports::SwapReply;
use heatherhollow_types::DataCentre;
use heatherhollow_types::MonoTime;

/// Prefix of the paths of the instances' entries.
pub const MEMBERS_PREFIX: &str = "heatherhollow/instances/";

/// Time over which the maximum count is used; longer than most outages of the store.
const COUNT_WINDOW: Duration = Duration::from_secs(15);

/// Number of renewals within the duration of a lease.
const RENEWALS_PER_LEASE: u32 = 3;

/// Longest random pause before an entry is written, at the start and after its lease ended.
///
/// It spreads the writes of instances that start, or lose their entries, at the same time. The
/// store handles a few hundred writes a second.
const WRITE_JITTER: Duration = Duration::from_millis(1_000);

/// Longest random pause after a failed call; calls to a store that is down cost as much as others.
const FAILURE_JITTER: Duration = Duration::from_secs(5);

/// Value of an instance's entry.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct MemberValue {
    /// Address on which it accepts links of other instances.
    pub address: SocketAddr,
    /// Data centre of the instance.
    pub data_centre: DataCentre,
    /// Processor share, in thousandths of a core.
    pub capacity: u32,
}

/// List of live instances and their recent maximum count.
#[derive(Debug)]
pub struct MemberList {
    /// Sorted by instance.
    members: Vec<PeerEntry>,
    max_count: WindowMaximum,
}

impl Default for MemberList {
    fn default() -> Self {
        Self {
            members: Vec::new(),
            max_count: WindowMaximum::new(COUNT_WINDOW),
        }
    }
}

impl MemberList {
    /// Records an entry that was written, or removed if `value` is `None` or cannot be decoded.
    pub fn record(&mut self, path: &str, value: Option<&[u8]>) {
        let instance = path.strip_prefix(MEMBERS_PREFIX).unwrap_or(path);
        let entry = value.and_then(|value| decode_value(instance, value));
        let found = self
            .members
            .binary_search_by(|known| known.instance.as_str().cmp(instance));
        match (found, entry) {
            (Ok(i), Some(entry)) => self.members[i] = entry,
            (Ok(i), None) => {
                self.members.remove(i);
            }
            (Err(i), Some(entry)) => self.members.insert(i, entry),
            (Err(_), None) => {}
        }
    }

    /// Removes all entries.
    pub fn clear(&mut self) {
        self.members.clear();
    }

    /// Returns the live instances, sorted by name.
    pub fn members(&self) -> &[PeerEntry] {
        &self.members
    }

    /// Returns the maximum count over [`COUNT_WINDOW`], at least 1 for this instance.
    pub fn count(&mut self, now: MonoTime) -> usize {
        self.max_count.record(self.members.len().max(1), now);
        self.max_count.value(now)
    }
}

fn decode_value(instance: &str, value: &[u8]) -> Option<PeerEntry> {
    match serde_json::from_slice::<MemberValue>(value) {
        Ok(value) => Some(PeerEntry {
            instance: instance.to_string(),
            address: value.address,
            data_centre: value.data_centre,
            capacity: value.capacity,
        }),
        Err(error) => {
            warn!(
                "member_entry_unusable instance={instance:?} error={:?}",
                error.to_string()
            );
            None
        }
    }
}

/// Writes the instance's entry, and again whenever its lease ends.
///
/// Removes the entry and returns once `is_leaving` is true.
pub async fn maintain_entry(
    store: Arc<dyn StorePort>,
    instance: String,
    value: MemberValue,
    lease_span: Duration,
    mut is_leaving: watch::Receiver<bool>,
) {
    let path = format!("{MEMBERS_PREFIX}{instance}");
    let value = match serde_json::to_vec(&value) {
        Ok(value) => value,
        Err(error) => {
            warn!("member_entry_not_encoded error={:?}", error.to_string());
            return;
        }
    };
    sleep(random_up_to(WRITE_JITTER)).await;
    loop {
        let held = hold_entry(&*store, &path, &value, lease_span, &mut is_leaving).await;
        let has_left = *is_leaving.borrow();
        let pause = match held {
            Ok(()) if has_left => return,
            Ok(()) => {
                info!("member_entry_ended instance={instance}");
                WRITE_JITTER
            }
            Err(error) => {
                info!("member_entry_failed error={:?}", error.to_string());
                FAILURE_JITTER
            }
        };
        sleep(random_up_to(pause)).await;
    }
}

/// Returns a random duration between zero and `span`.
fn random_up_to(span: Duration) -> Duration {
    span.mul_f64(rand::random_range(0.0..1.0))
}

/// Writes the entry and renews its lease until the lease ends or the instance leaves.
async fn hold_entry(
    store: &dyn StorePort,
    path: &str,
    value: &[u8],
    lease_span: Duration,
    is_leaving: &mut watch::Receiver<bool>,
) -> Result<(), StoreError> {
    let lease = store.grant_lease(lease_span).await?;
    let mut expected = None;
    // An entry from before a restart of the instance may still exist.
    while let SwapReply::Conflict(entry) = store
        .compare_and_swap(path, expected, value.to_vec(), Some(lease))
        .await?
    {
        expected = entry.map(|entry| entry.revision);
    }
    loop {
        tokio::select! {
            has_left = wait_until_leaving(is_leaving) => {
                if has_left {
                    return store.end_lease(lease).await;
                }
            }
            // The store may lack the entry, although it may still have the lease.
            () = store.wait_for_era_after(lease.era) => return Ok(()),
            () = sleep(lease_span / RENEWALS_PER_LEASE) => {}
        }
        match store.renew_lease(lease).await {
            Ok(()) => {}
            Err(StoreError::LeaseEnded) => return Ok(()),
            Err(error) => info!("member_lease_not_renewed error={:?}", error.to_string()),
        }
    }
}

/// Waits until the instance leaves; returns false if the channel has closed before.
pub(crate) async fn wait_until_leaving(is_leaving: &mut watch::Receiver<bool>) -> bool {
    is_leaving.wait_for(|is_leaving| *is_leaving).await.is_ok()
}
