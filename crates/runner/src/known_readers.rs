//! The readers of the store that an instance knows.
//!
//! Readers become known from the store's entries. With strict revocation, instances also tell each
//! other: an instance that took a place sends its entry to the readers that it knows, and one that
//! cannot reach the store and finds no reader asks the instances that it has links with. Otherwise
//! an instance that loses the store right after its start would know no other reader, and could get
//! no proofs.

use std::net::SocketAddr;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::time::Duration;

use bytes::Bytes;
use futures::SinkExt;
use log::debug;
use log::warn;
use rand::seq::SliceRandom;
use serde::Deserialize;
use serde::Serialize;
use tokio::sync::Notify;
use tokio::time::timeout;

use heatherhollow_ports::StoreRevision;
use heatherhollow_types::DataCentre;
use heatherhollow_types::RegionName;

use crate::frames::EntryFrame;
use crate::frames::EntryList;
use crate::frames::FrameBody;
use crate::links::encode_frame;
use crate::links::framed;
use crate::links::open_link;

/// Prefix of the paths of reader places.
const READERS_PREFIX: &str = "heatherhollow/readers/";

/// Prefix of the name of a region in the paths of its places.
const REGION_PREFIX: &str = "region-";

/// Number of reader places in a data centre.
///
/// Followers still find a reader at once while one holder is frozen, one is cut off from the store
/// and one is stopping.
const DATA_CENTRE_PLACES: usize = 4;

/// Number of reader places in a region.
///
/// As in a data centre, one holder may be frozen, one cut off and one stopping; the other two places
/// allow for the loss of a data centre that has as many readers as it would have by itself.
const REGION_PLACES: usize = 6;

/// Value of a reader place's entry.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ReaderValue {
    /// Instance that holds the place.
    pub instance: String,
    /// Address on which it serves followers.
    pub address: SocketAddr,
    /// Its data centre, where the instances of a region share places.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub data_centre: Option<DataCentre>,
}

/// Decodes the entry of a reader place; `None` if it is malformed.
pub fn decode_reader(path: &str, value: &[u8]) -> Option<ReaderValue> {
    match serde_json::from_slice(value) {
        Ok(value) => Some(value),
        Err(error) => {
            let error = error.to_string();
            warn!("reader_entry_unusable path={path:?} error={error:?}");
            None
        }
    }
}

/// The reader places that a group of instances shares.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PlaceScope {
    prefix: String,
    places: usize,
}

impl PlaceScope {
    /// Creates the scope of the instances of a data centre.
    pub fn of_data_centre(data_centre: &DataCentre) -> Self {
        Self {
            prefix: format!("{READERS_PREFIX}{data_centre}"),
            places: DATA_CENTRE_PLACES,
        }
    }

    /// Creates the scope of the instances of a region. Its paths differ from those of data centres,
    /// so that instances with and without strict revocation don't take each other's places.
    pub fn of_region(region: &RegionName) -> Self {
        Self {
            prefix: format!("{READERS_PREFIX}{REGION_PREFIX}{region}"),
            places: REGION_PLACES,
        }
    }

    /// Returns whether a path is a place of another region, if the places are those of a region.
    fn is_remote(&self, path: &str) -> bool {
        let Some(own) = region_of(&self.prefix) else {
            return false;
        };
        let place = region_of(path).and_then(|place| place.rsplit_once('/'));
        place.is_some_and(|(region, _)| region != own)
    }

    /// Returns the prefix of the paths of the places.
    pub fn prefix(&self) -> &str {
        &self.prefix
    }

    /// Returns the paths of the places, sorted.
    pub fn paths(&self) -> impl Iterator<Item = String> + '_ {
        (0..self.places).map(|place| format!("{}/{place}", self.prefix))
    }
}

/// Returns the part of a path of a region that begins with the name of the region.
fn region_of(path: &str) -> Option<&str> {
    path.strip_prefix(READERS_PREFIX)?
        .strip_prefix(REGION_PREFIX)
}

/// A reader place and its last known holder.
#[derive(Debug, Clone, PartialEq)]
struct KnownReader {
    path: String,
    revision: StoreRevision,
    value: ReaderValue,
}

/// The last known holders of the reader places.
///
/// A holder stays known when its entry is removed: it may be alive although its lease ended.
pub struct KnownReaders {
    scope: PlaceScope,
    own: ReaderValue,
    /// Sorted by path; at most one for each place.
    readers: Mutex<Vec<KnownReader>>,
    /// Holders of the places of other regions, sorted by path. They are followed only if no reader of
    /// the own region can be: a fault that reaches all readers of a region reaches most others less.
    remote: Mutex<Vec<KnownReader>>,
    learned: Notify,
}

impl KnownReaders {
    /// Creates a list without readers, for the instance `own`.
    pub fn new(scope: PlaceScope, own: ReaderValue) -> Self {
        Self {
            scope,
            own,
            readers: Mutex::default(),
            remote: Mutex::default(),
            learned: Notify::new(),
        }
    }

    /// Returns the reader places.
    pub fn scope(&self) -> &PlaceScope {
        &self.scope
    }

    /// Records an entry of the store; returns false if its path is no reader place, or if it cannot be
    /// decoded.
    pub fn record(&self, path: &str, revision: StoreRevision, value: &[u8]) -> bool {
        if self.scope.is_remote(path) {
            return insert(&mut lock(&self.remote), path, revision, value, |_| true);
        }
        self.insert(path, revision, value, |_| true)
    }

    /// Records the readers that another instance knows.
    ///
    /// Of two entries of a place the later one counts, as the other instance may have been cut off
    /// for long.
    pub fn record_list(&self, list: &EntryList) {
        let mut is_changed = false;
        for entry in &list.entries {
            let Some(value) = &entry.value else {
                continue;
            };
            let revision = StoreRevision(entry.revision);
            is_changed |= self.insert(&entry.path, revision, value, |known| known < revision);
        }
        if is_changed {
            self.learned.notify_one();
        }
    }

    /// Inserts an entry, if there is none of its place or `replaces` accepts the revision of that.
    fn insert(
        &self,
        path: &str,
        revision: StoreRevision,
        value: &[u8],
        replaces: impl Fn(StoreRevision) -> bool,
    ) -> bool {
        if !path.starts_with(READERS_PREFIX) || !self.scope.paths().any(|known| known == path) {
            return false;
        }
        insert(&mut lock(&self.readers), path, revision, value, replaces)
    }

    /// Waits until another instance has told of a reader that was not known.
    pub async fn wait_until_learned(&self) {
        self.learned.notified().await;
    }

    /// Returns the known readers, for another instance; `None` if there are none.
    pub fn list_frame(&self) -> Option<FrameBody> {
        let entries = lock(&self.readers)
            .iter()
            .map(entry_frame)
            .collect::<Vec<_>>();
        (!entries.is_empty()).then(|| FrameBody::Readers(EntryList { entries }))
    }

    /// Returns this instance's value of a reader place.
    pub fn own(&self) -> &ReaderValue {
        &self.own
    }

    /// Returns the addresses of the other known readers, in the order of
    /// [`KnownReaders::order_readers`].
    pub fn other_addresses(&self) -> Vec<SocketAddr> {
        let readers = lock(&self.readers).clone().into_iter();
        let readers = readers.map(|reader| reader.value);
        self.order_readers(readers.filter(|reader| reader.address != self.own.address))
    }

    /// Returns the addresses of readers in the order in which they are to be tried: those of the
    /// own data centre first, to save traffic between data centres, and otherwise a random one, so
    /// that followers are distributed evenly.
    pub fn order_readers(&self, readers: impl Iterator<Item = ReaderValue>) -> Vec<SocketAddr> {
        let mut readers = readers.collect::<Vec<_>>();
        readers.shuffle(&mut rand::rng());
        readers.sort_by_key(|reader| reader.data_centre != self.own.data_centre);
        readers.iter().map(|reader| reader.address).collect()
    }

    /// Returns the addresses of the readers of other regions, in a random order.
    pub fn remote_addresses(&self) -> Vec<SocketAddr> {
        let readers = lock(&self.remote).clone().into_iter();
        self.order_readers(readers.map(|reader| reader.value))
    }
}

fn lock(readers: &Mutex<Vec<KnownReader>>) -> MutexGuard<'_, Vec<KnownReader>> {
    readers.lock().expect("no holder of the lock panics")
}

/// Inserts an entry, if there is none of its place or `replaces` accepts the revision of that.
fn insert(
    readers: &mut Vec<KnownReader>,
    path: &str,
    revision: StoreRevision,
    value: &[u8],
    replaces: impl Fn(StoreRevision) -> bool,
) -> bool {
    let Some(value) = decode_reader(path, value) else {
        return false;
    };
    let reader = KnownReader {
        path: path.to_string(),
        revision,
        value,
    };
    match readers.binary_search_by(|known| known.path.as_str().cmp(path)) {
        Ok(i) if !replaces(readers[i].revision) => return false,
        Ok(i) => readers[i] = reader,
        Err(i) => readers.insert(i, reader),
    }
    true
}

fn entry_frame(reader: &KnownReader) -> EntryFrame {
    EntryFrame {
        path: reader.path.clone(),
        value: encode_reader(&reader.value).map(Bytes::from),
        revision: reader.revision.0,
    }
}

/// Encodes the entry of a reader place.
pub fn encode_reader(value: &ReaderValue) -> Option<Vec<u8>> {
    serde_json::to_vec(value)
        .inspect_err(|error| warn!("reader_entry_unusable error={:?}", error.to_string()))
        .ok()
}

/// Time for sending the known readers to another instance; longer than opening a link takes.
const ANNOUNCE_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Sends the known readers to some of these, which may not have read the newest entries yet.
pub async fn announce_readers(readers: Vec<SocketAddr>, list: FrameBody) {
    let list = encode_frame(list);
    let sends = readers.into_iter().map(|reader| {
        let list = list.clone();
        async move {
            let send = async {
                let stream = open_link(reader).await?;
                framed(stream).send(list).await
            };
            match timeout(ANNOUNCE_TIMEOUT, send).await {
                Ok(Ok(())) => {}
                Ok(Err(error)) => debug!("readers_not_announced reader={reader} error={error}"),
                Err(_) => debug!("readers_not_announced reader={reader} error=late"),
            }
        }
    });
    futures::future::join_all(sends).await;
}
