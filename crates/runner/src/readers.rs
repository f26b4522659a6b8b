//! Which instances of a data centre read the store: a few that hold a place each, with a lease.
//!
//! An instance that starts looks at the places of its data centre, takes a free one, or follows one of
//! the holders. Places of a run that has just ended are found again by their instance.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;

use log::info;
use log::warn;
use rand::seq::SliceRandom;
use serde::Deserialize;
use serde::Serialize;
use tokio::sync::watch;
use tokio::task::JoinHandle;
use tokio::time::sleep;

use heatherhollow_ports::LeaseId;
use heatherhollow_ports::StoreError;
use heatherhollow_ports::StorePort;
use heatherhollow_ports::StoreRevision;
use heatherhollow_ports::SwapReply;
use heatherhollow_types::DataCentre;

use crate::membership::has_left;
use crate::mirror::CONFIRM_INTERVAL;
use crate::mirror::StoreMirror;

/// Prefix of the places.
const READERS_PREFIX: &str = "heatherhollow/readers/";

/// Places in a data centre. One holder may be frozen, one cut off from the store and one stopping, and
/// followers still find another at once.
pub const READER_PLACES: usize = 4;

/// What a holder writes.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ReaderValue {
    /// The instance.
    pub instance: String,
    /// Its address for followers.
    pub address: SocketAddr,
}

/// How an instance learns what is in the store.
pub enum ReaderChoice {
    /// It reads the store and holds a place. These hold places before its own.
    Reads(ReaderPlace, Vec<SocketAddr>),
    /// It follows one of these, in this order.
    Follows(Vec<SocketAddr>),
}

/// What became of an attempt to take a place.
enum TakeReply {
    /// It is held under this lease.
    Taken(LeaseId),
    /// Another instance was faster; none if its entry cannot be read.
    Lost(Option<SocketAddr>),
}

/// A place that this instance holds until it is dropped.
pub struct ReaderPlace {
    is_held: Arc<AtomicBool>,
    renewal: JoinHandle<()>,
}

impl ReaderPlace {
    /// Whether the place is still held.
    pub fn is_held(&self) -> bool {
        self.is_held.load(Ordering::Relaxed)
    }
}

impl Drop for ReaderPlace {
    fn drop(&mut self) {
        self.renewal.abort();
    }
}

/// Longest pause before a free place is taken; of instances that start together, the first take the places
/// and the others see that, instead of all of them writing at once.
const TAKE_SPREAD: Duration = Duration::from_millis(150);

/// A place with the revision of its entry, if there is one.
type FoundPlace = (String, Option<StoreRevision>);

/// Places as they are found in the store.
#[derive(Default)]
struct PlaceView {
    /// The place of this instance's former run.
    own: Option<FoundPlace>,
    free: Vec<FoundPlace>,
    /// The others, with their holders.
    others: Vec<(String, SocketAddr)>,
}

/// The places of a data centre.
#[derive(Clone)]
pub struct ReaderPlaces {
    /// The store.
    pub store: Arc<dyn StorePort>,
    /// Data centre.
    pub data_centre: DataCentre,
    /// What this instance writes.
    pub own: ReaderValue,
    /// Lease of a place.
    pub lease: Duration,
    /// Becomes true when the instance leaves.
    pub is_leaving: watch::Receiver<bool>,
    /// Copy for followers, which renewals of the place confirm.
    pub mirror: Arc<StoreMirror>,
}

impl ReaderPlaces {
    /// Takes a free place, or tells whom to follow.
    ///
    /// At the start of an instance the places of some seconds ago do: those of holders that restart with
    /// it are in them, and a place that seems free is looked at again.
    pub async fn choose(&self, is_start: bool) -> Result<ReaderChoice, StoreError> {
        let mut view = self.view(is_start).await?;
        if view.own.is_none() && !view.free.is_empty() {
            sleep(TAKE_SPREAD.mul_f64(rand::random_range(0.0..1.0))).await;
            view = self.view(false).await?;
        }
        let PlaceView {
            own,
            mut free,
            mut others,
        } = view;
        free.shuffle(&mut rand::rng());
        others.shuffle(&mut rand::rng());
        if let Some((path, expected)) = own {
            let earlier = holders_before(&others, &path);
            return Ok(ReaderChoice::Reads(self.retake(path, expected), earlier));
        }
        if let Some((path, expected)) = free.pop() {
            match self.take(&path, expected).await? {
                TakeReply::Taken(lease) => {
                    let place = self.hold(std::future::ready(Some(lease)));
                    return Ok(ReaderChoice::Reads(place, holders_before(&others, &path)));
                }
                TakeReply::Lost(holder) => others.extend(holder.map(|holder| (path, holder))),
            }
        }
        let others = others.into_iter().map(|(_, address)| address);
        Ok(ReaderChoice::Follows(others.collect()))
    }

    async fn view(&self, may_be_old: bool) -> Result<PlaceView, StoreError> {
        let prefix = format!("{READERS_PREFIX}{}", self.data_centre);
        let (entries, _) = match may_be_old {
            true => self.store.list_recent(&prefix).await?,
            false => self.store.list(&prefix).await?,
        };
        let mut view = PlaceView::default();
        for place in 0..READER_PLACES {
            let path = format!("{prefix}/{place}");
            match entries.iter().find(|entry| entry.path == path) {
                Some(entry) => match decode(&entry.path, &entry.value) {
                    Some(value) if value.instance == self.own.instance => {
                        view.own = Some((path, Some(entry.revision)));
                    }
                    Some(value) => view.others.push((path, value.address)),
                    // An entry that cannot be read names nobody.
                    None => view.free.push((path, Some(entry.revision))),
                },
                None => view.free.push((path, None)),
            }
        }
        Ok(view)
    }

    /// The place and the address of its holder, if an entry is one of the data centre's places.
    pub fn decode_reader(&self, path: &str, value: Option<&[u8]>) -> Option<(String, SocketAddr)> {
        let rest = path.strip_prefix(READERS_PREFIX)?;
        let data_centre = rest.rsplit_once('/')?.0;
        if data_centre != self.data_centre.to_string() {
            return None;
        }
        let value = decode(path, value?)?;
        Some((path.to_string(), value.address))
    }

    async fn take(
        &self,
        path: &str,
        expected: Option<StoreRevision>,
    ) -> Result<TakeReply, StoreError> {
        let value = serde_json::to_vec(&self.own)
            .map_err(|error| StoreError::Rejected(error.to_string()))?;
        let lease = self.store.grant_lease(self.lease).await?;
        let swapped = self
            .store
            .compare_and_swap(path, expected, value, Some(lease))
            .await?;
        if let SwapReply::Conflict(holder) = swapped {
            let holder = holder.and_then(|entry| decode(&entry.path, &entry.value));
            return Ok(TakeReply::Lost(holder.map(|holder| holder.address)));
        }
        info!("reader_place_taken path={path}");
        Ok(TakeReply::Taken(lease))
    }

    /// Takes the place of this instance's former run while it is already used: each call takes long where
    /// the store is slow.
    fn retake(&self, path: String, expected: Option<StoreRevision>) -> ReaderPlace {
        let places = self.clone();
        self.hold(async move {
            match places.take(&path, expected).await {
                Ok(TakeReply::Taken(lease)) => Some(lease),
                Ok(TakeReply::Lost(_)) => None,
                Err(error) => {
                    info!("reader_place_not_taken error={:?}", error.to_string());
                    None
                }
            }
        })
    }

    /// Holds a place under the lease that `taking` ends with; without one it is not held any more.
    fn hold(&self, taking: impl Future<Output = Option<LeaseId>> + Send + 'static) -> ReaderPlace {
        let is_held = Arc::new(AtomicBool::new(true));
        let held = is_held.clone();
        let store = self.store.clone();
        let mirror = self.mirror.clone();
        let is_leaving = self.is_leaving.clone();
        let renewal = tokio::spawn(async move {
            let has_left = match taking.await {
                Some(lease) => renew_place(&*store, lease, &mirror, is_leaving).await,
                None => false,
            };
            // An instance that leaves goes on with what it does until it ends.
            held.store(has_left, Ordering::Relaxed);
        });
        ReaderPlace { is_held, renewal }
    }
}

/// Addresses of those that hold places before one.
fn holders_before(others: &[(String, SocketAddr)], path: &str) -> Vec<SocketAddr> {
    let earlier = others.iter().filter(|(known, _)| known.as_str() < path);
    earlier.map(|(_, address)| *address).collect()
}

fn decode(path: &str, value: &[u8]) -> Option<ReaderValue> {
    match serde_json::from_slice(value) {
        Ok(value) => Some(value),
        Err(error) => {
            let error = error.to_string();
            warn!("reader_entry_unusable path={path:?} error={error:?}");
            None
        }
    }
}

/// Renews the lease of a place until it ends, or gives it up when the instance leaves.
///
/// A renewal costs a tenth of other calls, so it also shows followers that the store answers. Tells
/// whether the instance left.
async fn renew_place(
    store: &dyn StorePort,
    lease: LeaseId,
    mirror: &StoreMirror,
    mut is_leaving: watch::Receiver<bool>,
) -> bool {
    loop {
        tokio::select! {
            has_left = has_left(&mut is_leaving) => {
                if has_left && let Err(error) = store.end_lease(lease).await {
                    // It ends by itself after its span.
                    info!("reader_lease_not_ended error={:?}", error.to_string());
                }
                return has_left;
            }
            () = sleep(CONFIRM_INTERVAL) => {}
        }
        match store.renew_lease(lease).await {
            Ok(()) => mirror.confirm(),
            Err(StoreError::LeaseEnded) => {
                info!("reader_place_ended");
                return false;
            }
            Err(error) => {
                info!("reader_lease_not_renewed error={:?}", error.to_string());
                mirror.lose_confirmation();
            }
        }
    }
}
