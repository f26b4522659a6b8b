//! Decides which instances read the store.
//!
//! Each data centre, or with strict revocation each region, has some places, which are entries of
//! the store with a lease ([`PlaceScope`](crate::known_readers::PlaceScope)). Holders of a place
//! read the store. An instance that starts claims a free place, or follows one of the holders. An
//! instance that restarts reclaims the place that it held before.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;

use log::info;
use rand::seq::SliceRandom;
use tokio::sync::Notify;
use tokio::sync::watch;
use tokio::task::JoinHandle;
use tokio::time::sleep;

use heatherhollow_ports::LeaseId;
use heatherhollow_ports::StoreError;
use heatherhollow_ports::StorePort;
use heatherhollow_ports::StoreRevision;
use heatherhollow_ports::SwapReply;

use crate::known_readers::KnownReaders;
use crate::known_readers::ReaderValue;
use crate::known_readers::decode_reader;
use crate::known_readers::encode_reader;
use crate::membership::wait_until_leaving;
use crate::mirror::CONFIRM_INTERVAL;
use crate::mirror::StoreMirror;

/// Source from which an instance gets the store's entries.
pub enum ReaderChoice {
    /// The instance holds this place and reads the store; the addresses hold earlier places.
    Read(ReaderPlace, Vec<SocketAddr>),
    /// The instance follows one of these readers, tried in this order.
    Follow(Vec<SocketAddr>),
}

/// Result of an attempt to claim a place.
enum ClaimResult {
    /// The place is held under this lease.
    Claimed(LeaseId),
    /// Another instance holds the place; `None` if its entry cannot be decoded.
    Lost(Option<ReaderValue>),
}

/// Reader place of this instance; its lease is renewed until the value is dropped.
pub struct ReaderPlace {
    is_held: Arc<AtomicBool>,
    regained: Arc<Notify>,
    renewal: JoinHandle<()>,
}

impl ReaderPlace {
    /// Returns whether the place is still held.
    pub fn is_held(&self) -> bool {
        self.is_held.load(Ordering::Relaxed)
    }

    /// Waits until the store answers a renewal of the lease after it left one without an answer.
    ///
    /// Calls that were sent in between may be lost, although their connections are open.
    pub async fn wait_until_regained(&self) {
        self.regained.notified().await;
    }
}

impl Drop for ReaderPlace {
    fn drop(&mut self) {
        self.renewal.abort();
    }
}

/// Longest random pause before a free place is claimed.
///
/// Of instances that start together, the first ones claim the places and the others see that,
/// instead of all of them writing at once.
const CLAIM_JITTER: Duration = Duration::from_millis(150);

/// Pause before a renewal is repeated that the store did not answer.
///
/// It adds to the time after which an outage of the store is known to be over.
const RENEWAL_RETRY_PAUSE: Duration = Duration::from_millis(250);

/// Path of a place and the revision of its entry, if there is one.
type ListedPlace = (String, Option<StoreRevision>);

/// Places of the data centre as listed in the store.
#[derive(Default)]
struct PlaceList {
    /// Place that this instance held before it restarted.
    own: Option<ListedPlace>,
    /// Places without a holder.
    free: Vec<ListedPlace>,
    /// Places of other instances, with the holders.
    others: Vec<(String, ReaderValue)>,
}

/// Access to the reader places.
#[derive(Clone)]
pub struct ReaderPlaces {
    /// The store.
    pub store: Arc<dyn StorePort>,
    /// The places and their known holders.
    pub known: Arc<KnownReaders>,
    /// Lease duration of a place.
    pub lease: Duration,
    /// Becomes true once the instance is leaving.
    pub is_leaving: watch::Receiver<bool>,
    /// Copy of the entries for followers; renewals of the lease confirm it.
    pub mirror: Arc<StoreMirror>,
    /// Time after which the removal of a key must be in force; `None` if revocation is not strict.
    pub revocation_limit: Option<Duration>,
}

impl ReaderPlaces {
    /// Claims a free place, or returns the readers to follow.
    ///
    /// A list that is some seconds old suffices at the start of an instance (`is_start`): it
    /// contains the holders that restart at the same time, and a place that seems free is checked
    /// again.
    pub async fn choose(&self, is_start: bool) -> Result<ReaderChoice, StoreError> {
        let mut places = self.list_places(is_start).await?;
        if places.own.is_none() && !places.free.is_empty() {
            sleep(CLAIM_JITTER.mul_f64(rand::random_range(0.0..1.0))).await;
            places = self.list_places(false).await?;
        }
        let PlaceList {
            own,
            mut free,
            mut others,
        } = places;
        free.shuffle(&mut rand::rng());
        if let Some((path, expected)) = own {
            let earlier = earlier_holders(&others, &path);
            return Ok(ReaderChoice::Read(self.reclaim(path, expected), earlier));
        }
        if let Some((path, expected)) = free.pop() {
            match self.claim(&path, expected).await? {
                ClaimResult::Claimed(lease) => {
                    let place = self.hold_place(std::future::ready(Some(lease)));
                    return Ok(ReaderChoice::Read(place, earlier_holders(&others, &path)));
                }
                ClaimResult::Lost(holder) => others.extend(holder.map(|holder| (path, holder))),
            }
        }
        let others = others.into_iter().map(|(_, holder)| holder);
        Ok(ReaderChoice::Follow(self.known.order_readers(others)))
    }

    async fn list_places(&self, may_be_old: bool) -> Result<PlaceList, StoreError> {
        let scope = self.known.scope();
        let (entries, _) = match may_be_old {
            true => self.store.list_recent(scope.prefix()).await?,
            false => self.store.list(scope.prefix()).await?,
        };
        if self.revocation_limit.is_some() {
            for entry in &entries {
                self.known.record(&entry.path, entry.revision, &entry.value);
            }
        }
        let mut places = PlaceList::default();
        for path in scope.paths() {
            match entries.iter().find(|entry| entry.path == path) {
                Some(entry) => match decode_reader(&entry.path, &entry.value) {
                    Some(value) if value.instance == self.known.own().instance => {
                        places.own = Some((path, Some(entry.revision)));
                    }
                    Some(value) => places.others.push((path, value)),
                    // An entry that cannot be decoded names no holder.
                    None => places.free.push((path, Some(entry.revision))),
                },
                None => places.free.push((path, None)),
            }
        }
        Ok(places)
    }

    /// Writes this instance's entry to a place if the place's revision is still `expected`.
    async fn claim(
        &self,
        path: &str,
        expected: Option<StoreRevision>,
    ) -> Result<ClaimResult, StoreError> {
        let value = encode_reader(self.known.own())
            .ok_or_else(|| StoreError::Rejected("the entry cannot be encoded".to_string()))?;
        let lease = self.store.grant_lease(self.lease).await?;
        let swapped = self
            .store
            .compare_and_swap(path, expected, value.clone(), Some(lease))
            .await?;
        match swapped {
            SwapReply::Swapped(revision) => {
                info!("reader_place_taken path={path}");
                self.known.record(path, revision, &value);
                Ok(ClaimResult::Claimed(lease))
            }
            SwapReply::Conflict(holder) => {
                let holder = holder.and_then(|entry| decode_reader(&entry.path, &entry.value));
                Ok(ClaimResult::Lost(holder))
            }
        }
    }

    /// Claims the place that this instance held before it restarted, without waiting for the store.
    ///
    /// The place counts as held at once, because each call takes long where the store is slow.
    fn reclaim(&self, path: String, expected: Option<StoreRevision>) -> ReaderPlace {
        let places = self.clone();
        self.hold_place(async move {
            match places.claim(&path, expected).await {
                Ok(ClaimResult::Claimed(lease)) => Some(lease),
                Ok(ClaimResult::Lost(_)) => None,
                Err(error) => {
                    info!("reader_place_not_taken error={:?}", error.to_string());
                    None
                }
            }
        })
    }

    /// Holds a place and renews the lease that `claim` returns.
    ///
    /// The place is lost if `claim` returns `None`.
    fn hold_place(
        &self,
        claim: impl Future<Output = Option<LeaseId>> + Send + 'static,
    ) -> ReaderPlace {
        let is_held = Arc::new(AtomicBool::new(true));
        let held = is_held.clone();
        let regained = Arc::new(Notify::new());
        let answered = regained.clone();
        let store = self.store.clone();
        let mirror = self.mirror.clone();
        let is_leaving = self.is_leaving.clone();
        let renewal = tokio::spawn(async move {
            let has_left = match claim.await {
                Some(lease) => renew_place(&*store, lease, &mirror, &answered, is_leaving).await,
                None => false,
            };
            // An instance that leaves goes on reading the store until it stops.
            held.store(has_left, Ordering::Relaxed);
            answered.notify_one();
        });
        ReaderPlace {
            is_held,
            regained,
            renewal,
        }
    }
}

/// Returns the addresses of holders whose places sort before `path`.
fn earlier_holders(others: &[(String, ReaderValue)], path: &str) -> Vec<SocketAddr> {
    let earlier = others.iter().filter(|(known, _)| known.as_str() < path);
    earlier.map(|(_, holder)| holder.address).collect()
}

/// Renews the lease of a place until the lease ends, or ends it when the instance leaves.
///
/// Renewals also confirm to followers that the store answers, as they cost a tenth of other calls.
/// The first answer after a failure is announced on `regained`. Returns whether the instance left.
async fn renew_place(
    store: &dyn StorePort,
    lease: LeaseId,
    mirror: &StoreMirror,
    regained: &Notify,
    mut is_leaving: watch::Receiver<bool>,
) -> bool {
    let mut has_failed = false;
    loop {
        let pause = match has_failed {
            true => RENEWAL_RETRY_PAUSE,
            false => CONFIRM_INTERVAL,
        };
        tokio::select! {
            has_left = wait_until_leaving(&mut is_leaving) => {
                if has_left && let Err(error) = store.end_lease(lease).await {
                    // The lease expires by itself.
                    info!("reader_lease_not_ended error={:?}", error.to_string());
                }
                return has_left;
            }
            () = store.wait_for_era_after(lease.era) => {
                info!("reader_place_ended");
                return false;
            }
            () = sleep(pause) => {}
        }
        match store.renew_lease(lease).await {
            Ok(()) => {
                mirror.handle_renewal();
                if std::mem::take(&mut has_failed) {
                    regained.notify_one();
                }
            }
            Err(StoreError::LeaseEnded) => {
                info!("reader_place_ended");
                return false;
            }
            Err(error) => {
                info!("reader_lease_not_renewed error={:?}", error.to_string());
                mirror.handle_renewal_failure();
                has_failed = true;
            }
        }
    }
}
