//! The key-value service.
//!
//! A watch reports the latest change of each path, not the changes in between; the service keeps no
//! more history than that. A path lies below a prefix if it is equal to it or goes on after it at a
//! slash.

use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use async_trait::async_trait;
use tokio::sync::watch;
use tokio::time::Instant;
use tokio::time::sleep;
use tokio::time::sleep_until;
use tokio::time::timeout_at;

use heatherhollow_ports::LeaseId;
use heatherhollow_ports::StoreChange;
use heatherhollow_ports::StoreEntry;
use heatherhollow_ports::StoreEra;
use heatherhollow_ports::StoreError;
use heatherhollow_ports::StorePort;
use heatherhollow_ports::StoreRevision;
use heatherhollow_ports::SwapReply;
use heatherhollow_types::DataCentre;

use crate::network::NetworkModel;
use crate::network::NetworkPoint;
use crate::store_contents::StoreContents;
use crate::sync::lock;
use crate::sync::run_detached;

/// Size of a message beside its values.
const MESSAGE_OVERHEAD_BYTES: usize = 64;

/// Settings of a [`KeyValueStore`].
#[derive(Debug, Clone)]
pub struct StoreSettings {
    /// Data centre of the service.
    pub data_centre: DataCentre,
    /// Time that the service takes for a call.
    pub call_time: Duration,
}

impl StoreSettings {
    /// A service that takes 2 ms for a call.
    pub fn new(data_centre: DataCentre) -> Self {
        Self {
            data_centre,
            call_time: Duration::from_millis(2),
        }
    }
}

/// How an outage of a service looks to its callers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ServiceOutage {
    /// Calls are refused.
    Refusing,
    /// Calls get no answer, and have no effect.
    Silent,
}

/// Calls that reached the service so far.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct StoreCounters {
    /// Reads: get, list and watch calls.
    pub reads: u64,
    /// Writes: compare-and-swap and lease calls.
    pub writes: u64,
    /// Watch calls.
    pub watches: u64,
    /// Watch calls that wait now.
    pub waiting_watches: u64,
}

#[derive(Debug, Default)]
struct StoreState {
    contents: StoreContents,
    counters: StoreCounters,
    outage: Option<ServiceOutage>,
    slowness: Duration,
    lost_replies: usize,
}

/// The key-value service with its faults.
///
/// ```
/// use heatherhollow_standin::{KeyValueStore, NetworkModel, NetworkSettings, StoreSettings};
/// use heatherhollow_types::DataCentre;
/// # tokio::runtime::Builder::new_current_thread().enable_time().start_paused(true).build().unwrap()
/// # .block_on(async {
/// let here: DataCentre = "nepalgunj".parse().unwrap();
/// let network = NetworkModel::new(NetworkSettings {
///     data_centres: vec![(here.clone(), "tarai".parse().unwrap())],
///     ..NetworkSettings::default()
/// });
/// let store = KeyValueStore::new(StoreSettings::new(here.clone()), network.into());
/// let port = store.port(&here);
/// port.compare_and_swap("/teams/a", None, b"{}".to_vec(), None).await.unwrap();
/// assert_eq!(port.get("/teams/a").await.unwrap().unwrap().value, b"{}");
/// # });
/// ```
#[derive(Debug, Clone)]
pub struct KeyValueStore {
    core: Arc<StoreCore>,
}

#[derive(Debug)]
struct StoreCore {
    settings: StoreSettings,
    network: Arc<NetworkModel>,
    point: NetworkPoint,
    state: Mutex<StoreState>,
    /// Changes with every revision and with every outage.
    changed: watch::Sender<u64>,
}

impl KeyValueStore {
    /// An empty store.
    pub fn new(settings: StoreSettings, network: Arc<NetworkModel>) -> Self {
        let point = NetworkPoint::of_data_centre(&settings.data_centre);
        let core = StoreCore {
            settings,
            network,
            point,
            state: Mutex::default(),
            changed: watch::Sender::new(0),
        };
        Self {
            core: Arc::new(core),
        }
    }

    /// The service as it is seen from a data centre.
    pub fn port(&self, from: &DataCentre) -> Arc<dyn StorePort> {
        self.port_from(NetworkPoint::of_data_centre(from))
    }

    /// The service as it is seen from one process, which cuts can name.
    pub fn port_from(&self, from: NetworkPoint) -> Arc<dyn StorePort> {
        let core = self.core.clone();
        Arc::new(StoreHandle { core, from })
    }

    /// Starts or ends an outage. Leases go on running out during it.
    pub fn set_outage(&self, outage: Option<ServiceOutage>) {
        lock(&self.core.state).outage = outage;
        self.core.notify();
    }

    /// Time that every call takes in addition.
    pub fn set_slowness(&self, slowness: Duration) {
        lock(&self.core.state).slowness = slowness;
    }

    /// Loses the replies of the next `count` writes that take effect.
    pub fn lose_replies(&self, count: usize) {
        lock(&self.core.state).lost_replies += count;
    }

    /// Takes a copy of the contents.
    pub fn copy(&self) -> StoreContents {
        lock(&self.core.state).contents.clone()
    }

    /// Comes back from a copy, in a new era.
    ///
    /// What was written since the copy is lost, and the numbers of its revisions and leases are given
    /// out again. Leases of the copy have their whole span.
    pub fn restore(&self, copy: StoreContents) {
        let leases = lock(&self.core.state).contents.restore(copy);
        for (lease, ends_at) in leases {
            tokio::spawn(self.core.clone().run_lease(lease, ends_at));
        }
        self.core.notify();
    }

    /// Calls so far.
    pub fn counters(&self) -> StoreCounters {
        lock(&self.core.state).counters
    }

    /// All values, sorted by path.
    pub fn entries(&self) -> Vec<StoreEntry> {
        lock(&self.core.state).contents.list("")
    }
}

impl StoreCore {
    fn notify(&self) {
        self.changed.send_modify(|count| *count += 1);
    }

    /// Fails or hangs during an outage.
    async fn check_outage(&self) -> Result<(), StoreError> {
        let outage = lock(&self.state).outage;
        match outage {
            None => Ok(()),
            Some(ServiceOutage::Refusing) => {
                Err(StoreError::Unavailable("connection refused".to_string()))
            }
            Some(ServiceOutage::Silent) => std::future::pending().await,
        }
    }

    /// Removes the values of a lease when it ends.
    async fn run_lease(self: Arc<Self>, lease: LeaseId, mut ends_at: Instant) {
        loop {
            sleep_until(ends_at).await;
            let mut state = lock(&self.state);
            match state.contents.end_lease_if_due(lease) {
                Some(later) => ends_at = later,
                None => {
                    drop(state);
                    self.notify();
                    return;
                }
            }
        }
    }
}

/// Kinds of call, for the counters and for lost replies.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum StoreCall {
    Read,
    Watch,
    Write,
}

#[derive(Debug, Clone)]
struct StoreHandle {
    core: Arc<StoreCore>,
    from: NetworkPoint,
}

impl StoreHandle {
    /// Carries a request to the service and counts it.
    async fn arrive(&self, call: StoreCall, bytes: usize) -> Result<(), StoreError> {
        let core = &self.core;
        let bytes = bytes + MESSAGE_OVERHEAD_BYTES;
        core.network.carry(&self.from, &core.point, bytes).await;
        core.check_outage().await?;
        let slowness = {
            let mut state = lock(&core.state);
            let counters = &mut state.counters;
            counters.reads += u64::from(call != StoreCall::Write);
            counters.watches += u64::from(call == StoreCall::Watch);
            counters.writes += u64::from(call == StoreCall::Write);
            state.slowness
        };
        sleep(core.settings.call_time + slowness).await;
        core.check_outage().await
    }

    /// Carries a reply back.
    async fn reply<T>(&self, reply: Result<T, StoreError>, bytes: usize) -> Result<T, StoreError> {
        let core = &self.core;
        let bytes = bytes + MESSAGE_OVERHEAD_BYTES;
        core.network.carry(&core.point, &self.from, bytes).await;
        reply
    }

    async fn read<T>(
        &self,
        request_bytes: usize,
        apply: impl FnOnce(&StoreContents) -> T,
        reply_bytes: impl FnOnce(&T) -> usize,
    ) -> Result<T, StoreError> {
        let arrived = self.arrive(StoreCall::Read, request_bytes).await;
        let value = arrived.map(|()| apply(&lock(&self.core.state).contents));
        let bytes = value.as_ref().map_or(0, reply_bytes);
        self.reply(value, bytes).await
    }

    /// Runs a write. One that has been sent takes effect also if the caller stops waiting for the
    /// reply.
    async fn write<T: Send + 'static>(
        &self,
        request_bytes: usize,
        apply: impl FnOnce(&mut StoreContents) -> Result<T, StoreError> + Send + 'static,
    ) -> Result<T, StoreError> {
        let handle = self.clone();
        run_detached(async move { handle.run_write(request_bytes, apply).await }).await
    }

    async fn run_write<T>(
        &self,
        request_bytes: usize,
        apply: impl FnOnce(&mut StoreContents) -> Result<T, StoreError>,
    ) -> Result<T, StoreError> {
        if let Err(error) = self.arrive(StoreCall::Write, request_bytes).await {
            return self.reply(Err(error), 0).await;
        }
        let (reply, is_lost) = {
            let mut state = lock(&self.core.state);
            let reply = apply(&mut state.contents);
            let is_lost = reply.is_ok() && state.lost_replies > 0;
            state.lost_replies -= usize::from(is_lost);
            (reply, is_lost)
        };
        self.core.notify();
        let reply = if is_lost {
            Err(StoreError::ReplyLost("connection lost".to_string()))
        } else {
            reply
        };
        self.reply(reply, 0).await
    }

    async fn next_changes(
        &self,
        prefix: &str,
        after: StoreRevision,
        deadline: Instant,
    ) -> Result<Vec<StoreChange>, StoreError> {
        let core = &self.core;
        let mut changed = core.changed.subscribe();
        let _waiting = WaitingWatch::start(core);
        loop {
            core.check_outage().await?;
            let changes = {
                let state = lock(&core.state);
                if after.era() < state.contents.era() {
                    return Err(StoreError::HistoryGone);
                }
                state.contents.changes_after(prefix, after)
            };
            if !changes.is_empty() {
                return Ok(changes);
            }
            if timeout_at(deadline, changed.changed()).await.is_err() {
                return Ok(Vec::new());
            }
        }
    }
}

/// Counts a watch as waiting until it is dropped.
struct WaitingWatch<'a> {
    core: &'a StoreCore,
}

impl<'a> WaitingWatch<'a> {
    fn start(core: &'a StoreCore) -> Self {
        lock(&core.state).counters.waiting_watches += 1;
        Self { core }
    }
}

impl Drop for WaitingWatch<'_> {
    fn drop(&mut self) {
        lock(&self.core.state).counters.waiting_watches -= 1;
    }
}

fn change_bytes(change: &StoreChange) -> usize {
    change.path.len() + change.value.as_ref().map_or(0, Vec::len)
}

fn entry_bytes(entry: &StoreEntry) -> usize {
    entry.path.len() + entry.value.len()
}

#[async_trait]
impl StorePort for StoreHandle {
    async fn get(&self, path: &str) -> Result<Option<StoreEntry>, StoreError> {
        let reply_bytes = |entry: &Option<StoreEntry>| entry.as_ref().map_or(0, entry_bytes);
        self.read(path.len(), |contents| contents.entry(path), reply_bytes)
            .await
    }

    async fn list(&self, prefix: &str) -> Result<(Vec<StoreEntry>, StoreRevision), StoreError> {
        self.read(
            prefix.len(),
            |contents| (contents.list(prefix), contents.revision()),
            |(entries, _)| entries.iter().map(entry_bytes).sum(),
        )
        .await
    }

    async fn compare_and_swap(
        &self,
        path: &str,
        expected: Option<StoreRevision>,
        value: Vec<u8>,
        lease: Option<LeaseId>,
    ) -> Result<SwapReply, StoreError> {
        let bytes = path.len() + value.len();
        let path = path.to_string();
        let swap = move |contents: &mut StoreContents| contents.swap(&path, expected, value, lease);
        self.write(bytes, swap).await
    }

    async fn watch(
        &self,
        prefix: &str,
        after: StoreRevision,
        wait: Duration,
    ) -> Result<Vec<StoreChange>, StoreError> {
        let arrived = self.arrive(StoreCall::Watch, prefix.len()).await;
        let deadline = Instant::now() + wait;
        let changes = match arrived {
            Ok(()) => self.next_changes(prefix, after, deadline).await,
            Err(error) => Err(error),
        };
        let bytes = changes
            .as_ref()
            .map_or(0, |changes| changes.iter().map(change_bytes).sum());
        self.reply(changes, bytes).await
    }

    fn era(&self) -> StoreEra {
        lock(&self.core.state).contents.era()
    }

    async fn wait_for_era_after(&self, era: StoreEra) {
        let mut changed = self.core.changed.subscribe();
        while self.era() <= era {
            // The sender lives as long as this handle.
            let _is_open = changed.changed().await.is_ok();
        }
    }

    async fn grant_lease(&self, span: Duration) -> Result<LeaseId, StoreError> {
        let core = self.core.clone();
        self.write(0, move |contents| {
            let (lease, ends_at) = contents.grant_lease(span);
            tokio::spawn(core.run_lease(lease, ends_at));
            Ok(lease)
        })
        .await
    }

    async fn renew_lease(&self, lease: LeaseId) -> Result<(), StoreError> {
        self.write(0, move |contents| contents.renew_lease(lease))
            .await
    }

    async fn end_lease(&self, lease: LeaseId) -> Result<(), StoreError> {
        self.write(0, move |contents| {
            contents.end_lease(lease);
            Ok(())
        })
        .await
    }
}
