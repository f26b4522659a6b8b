//! The list of instances, which shows changes only after a lag.

use std::collections::VecDeque;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use async_trait::async_trait;
use tokio::time::Instant;

use heatherhollow_ports::InstanceEntry;
use heatherhollow_ports::InstanceListError;
use heatherhollow_ports::InstanceListPort;
use heatherhollow_types::DataCentre;
use heatherhollow_types::InstanceName;

use crate::network::NetworkModel;
use crate::network::NetworkPoint;
use crate::store::ServiceOutage;
use crate::sync::lock;

const REQUEST_BYTES: usize = 64;
const ENTRY_BYTES: usize = 64;

/// Settings of an [`InstanceList`].
#[derive(Debug, Clone)]
pub struct ListSettings {
    /// Data centre of the service.
    pub data_centre: DataCentre,
    /// Time until a change shows in the list.
    pub lag: Duration,
}

impl ListSettings {
    /// A list with a lag of 1 s.
    pub fn new(data_centre: DataCentre) -> Self {
        Self {
            data_centre,
            lag: Duration::from_secs(1),
        }
    }
}

#[derive(Debug)]
enum ListChange {
    Set(InstanceEntry),
    Remove(InstanceName),
}

#[derive(Debug)]
struct ListState {
    /// What the list shows, sorted by instance.
    shown: Vec<InstanceEntry>,
    /// Changes that do not show yet, oldest first.
    waiting: VecDeque<(Instant, ListChange)>,
    lag: Duration,
    outage: Option<ServiceOutage>,
}

/// The instance list with its faults.
///
/// Lag and outage model the platform; the list does not know by itself which instances run.
#[derive(Debug, Clone)]
pub struct InstanceList {
    core: Arc<ListCore>,
}

#[derive(Debug)]
struct ListCore {
    network: Arc<NetworkModel>,
    point: NetworkPoint,
    state: Mutex<ListState>,
}

impl InstanceList {
    /// An empty list.
    pub fn new(settings: ListSettings, network: Arc<NetworkModel>) -> Self {
        let state = ListState {
            shown: Vec::new(),
            waiting: VecDeque::new(),
            lag: settings.lag,
            outage: None,
        };
        let core = ListCore {
            network,
            point: NetworkPoint::of_data_centre(&settings.data_centre),
            state: Mutex::new(state),
        };
        Self {
            core: Arc::new(core),
        }
    }

    /// The list as it is seen from a data centre.
    pub fn port(&self, from: &DataCentre) -> Arc<dyn InstanceListPort> {
        self.port_from(NetworkPoint::of_data_centre(from))
    }

    /// The list as it is seen from one process, which cuts can name.
    pub fn port_from(&self, from: NetworkPoint) -> Arc<dyn InstanceListPort> {
        let core = self.core.clone();
        Arc::new(ListHandle { core, from })
    }

    /// Adds or changes an entry.
    pub fn set(&self, entry: InstanceEntry) {
        self.change(ListChange::Set(entry));
    }

    /// Removes an entry.
    pub fn remove(&self, instance: &InstanceName) {
        self.change(ListChange::Remove(instance.clone()));
    }

    /// Changes the lag, also for changes that do not show yet.
    pub fn set_lag(&self, lag: Duration) {
        lock(&self.core.state).lag = lag;
    }

    /// Starts or ends an outage.
    pub fn set_outage(&self, outage: Option<ServiceOutage>) {
        lock(&self.core.state).outage = outage;
    }

    fn change(&self, change: ListChange) {
        let now = Instant::now();
        lock(&self.core.state).waiting.push_back((now, change));
    }
}

impl ListState {
    fn show_until(&mut self, now: Instant) {
        while let Some((made_at, _)) = self.waiting.front()
            && *made_at + self.lag <= now
        {
            let Some((_, change)) = self.waiting.pop_front() else {
                return;
            };
            let instance = match &change {
                ListChange::Set(entry) => &entry.instance,
                ListChange::Remove(instance) => instance,
            };
            let place = self
                .shown
                .binary_search_by(|shown| shown.instance.cmp(instance));
            match (place, change) {
                (Ok(i), ListChange::Set(entry)) => self.shown[i] = entry,
                (Err(i), ListChange::Set(entry)) => self.shown.insert(i, entry),
                (Ok(i), ListChange::Remove(_)) => drop(self.shown.remove(i)),
                (Err(_), ListChange::Remove(_)) => {}
            }
        }
    }
}

#[derive(Debug)]
struct ListHandle {
    core: Arc<ListCore>,
    from: NetworkPoint,
}

#[async_trait]
impl InstanceListPort for ListHandle {
    async fn list(&self) -> Result<Vec<InstanceEntry>, InstanceListError> {
        let Self { core, from } = self;
        core.network.carry(from, &core.point, REQUEST_BYTES).await;
        let outage = lock(&core.state).outage;
        let reply = match outage {
            None => {
                let mut state = lock(&core.state);
                state.show_until(Instant::now());
                Ok(state.shown.clone())
            }
            Some(ServiceOutage::Refusing) => Err(InstanceListError::Unavailable(
                "connection refused".to_string(),
            )),
            Some(ServiceOutage::Silent) => std::future::pending().await,
        };
        let entries = reply.as_ref().map_or(0, Vec::len);
        let bytes = REQUEST_BYTES + entries * ENTRY_BYTES;
        core.network.carry(&core.point, from, bytes).await;
        reply
    }
}
