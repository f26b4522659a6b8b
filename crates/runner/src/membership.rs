//! The instance's own entry in the store, and the count of all instances.
//!
//! The count is the highest of the last seconds: entries vanish during outages of the store, and a
//! share of connections that is too small does less harm than one that is too large.

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

/// Prefix of the instances' entries.
pub const MEMBERS_PREFIX: &str = "heatherhollow/instances/";

/// Time over which the highest count is used; longer than an outage of the store usually lasts.
const COUNT_WINDOW: Duration = Duration::from_secs(15);

/// Renewals of the lease in its span.
const RENEWALS: u32 = 3;

/// Longest pause before an entry is written, at the start and after it ended; it spreads the calls of
/// instances that start, or whose entries end, together. The store takes some hundred writes a second.
const ENTRY_SPREAD: Duration = Duration::from_millis(1_000);

/// Longest pause after a failed call; calls to a store that is down cost as much as others.
const FAILURE_PAUSE: Duration = Duration::from_secs(5);

/// What an instance writes about itself.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct MemberValue {
    /// Address for other instances.
    pub address: SocketAddr,
    /// Its data centre.
    pub data_centre: DataCentre,
    /// Processor share, in thousandths of a core.
    pub capacity: u32,
}

/// Entries of live instances.
#[derive(Debug)]
pub struct MemberList {
    /// Sorted by instance.
    members: Vec<PeerEntry>,
    maximum: WindowMaximum,
}

impl Default for MemberList {
    fn default() -> Self {
        Self {
            members: Vec::new(),
            maximum: WindowMaximum::new(COUNT_WINDOW),
        }
    }
}

impl MemberList {
    /// Records that an entry was written or removed.
    pub fn record(&mut self, path: &str, value: Option<&[u8]>) {
        let instance = path.strip_prefix(MEMBERS_PREFIX).unwrap_or(path);
        let entry = value.and_then(|value| decode(instance, value));
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

    /// The live instances.
    pub fn members(&self) -> &[PeerEntry] {
        &self.members
    }

    /// The highest count of the window; at least this instance.
    pub fn count(&mut self, now: MonoTime) -> usize {
        self.maximum.record(self.members.len().max(1), now);
        self.maximum.value(now)
    }
}

fn decode(instance: &str, value: &[u8]) -> Option<PeerEntry> {
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

/// Keeps the instance's entry alive.
///
/// It ends once `is_leaving` holds a value, and then removes the entry.
pub async fn keep_entry(
    store: Arc<dyn StorePort>,
    instance: String,
    value: MemberValue,
    span: Duration,
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
    sleep(random_part(ENTRY_SPREAD)).await;
    loop {
        let entered = enter(&*store, &path, &value, span, &mut is_leaving).await;
        let has_left = *is_leaving.borrow();
        let pause = match entered {
            Ok(()) if has_left => return,
            Ok(()) => {
                info!("member_entry_ended instance={instance}");
                ENTRY_SPREAD
            }
            Err(error) => {
                info!("member_entry_failed error={:?}", error.to_string());
                FAILURE_PAUSE
            }
        };
        sleep(random_part(pause)).await;
    }
}

fn random_part(span: Duration) -> Duration {
    span.mul_f64(rand::random_range(0.0..1.0))
}

/// Writes the entry and renews its lease until that ends.
async fn enter(
    store: &dyn StorePort,
    path: &str,
    value: &[u8],
    span: Duration,
    is_leaving: &mut watch::Receiver<bool>,
) -> Result<(), StoreError> {
    let lease = store.grant_lease(span).await?;
    let mut expected = None;
    // An entry of the instance's former run may still be there.
    while let SwapReply::Conflict(entry) = store
        .compare_and_swap(path, expected, value.to_vec(), Some(lease))
        .await?
    {
        expected = entry.map(|entry| entry.revision);
    }
    loop {
        tokio::select! {
            has_left = has_left(is_leaving) => {
                if has_left {
                    return store.end_lease(lease).await;
                }
            }
            () = sleep(span / RENEWALS) => {}
        }
        match store.renew_lease(lease).await {
            Ok(()) => {}
            Err(StoreError::LeaseEnded) => return Ok(()),
            Err(error) => info!("member_lease_not_renewed error={:?}", error.to_string()),
        }
    }
}

/// Waits until the instance leaves; false if that can no longer be known.
pub(crate) async fn has_left(is_leaving: &mut watch::Receiver<bool>) -> bool {
    is_leaving.wait_for(|is_leaving| *is_leaving).await.is_ok()
}
