//! A cluster of engines on the stand-ins, in one process.

use std::sync::Arc;
use std::time::Duration;

use heatherhollow_control::GroupSettings as DeclaredGroup;
use heatherhollow_control::SettingsDocument;
use heatherhollow_control::TOPOLOGY_PATH;
use heatherhollow_control::TargetSettings as DeclaredTarget;
use heatherhollow_control::TopologyDocument;
use heatherhollow_control::team_path;
use heatherhollow_ports::ClockPort;
use heatherhollow_ports::TargetPort;
use heatherhollow_ports::TokioClock;
use heatherhollow_proxy::EngineParts;
use heatherhollow_proxy::EngineSettings;
use heatherhollow_proxy::ProxyEngine;
use heatherhollow_proxy::ProxyMetrics;
use heatherhollow_proxy::TargetDirectory;
use heatherhollow_session::TokenCodec;
use heatherhollow_session::TokenKey;
use heatherhollow_standin::DatabaseGroup;
use heatherhollow_standin::GroupSettings;
use heatherhollow_standin::InMemoryPeers;
use heatherhollow_standin::KeyValueStore;
use heatherhollow_standin::NetworkModel;
use heatherhollow_standin::NetworkPoint;
use heatherhollow_standin::NetworkSettings;
use heatherhollow_standin::StoreSettings;
use heatherhollow_standin::TargetSettings;
use heatherhollow_types::DataCentre;
use heatherhollow_types::Incarnation;
use heatherhollow_types::InstanceName;

use crate::deployment::Deployment;

/// Settings of a [`Cluster`].
#[derive(Debug, Clone)]
pub struct ClusterSettings {
    /// Replication delay of each replica, on top of the network's.
    pub lag: Duration,
    /// Greatest random addition to it.
    pub lag_jitter: Duration,
    /// Time that a statement holds its slot.
    pub statement_time: Duration,
    /// Template of the engines' settings.
    pub engine: EngineSettings,
    /// Seed of the replication jitter.
    pub seed: u64,
}

impl Default for ClusterSettings {
    fn default() -> Self {
        Self {
            lag: Duration::from_millis(20),
            lag_jitter: Duration::from_millis(20),
            statement_time: Duration::from_millis(2),
            engine: EngineSettings::default(),
            seed: 1,
        }
    }
}

/// One instance of a cluster.
#[derive(Clone)]
pub struct Node {
    /// Its name.
    pub instance: InstanceName,
    /// Its data centre.
    pub data_centre: DataCentre,
    /// Its engine.
    pub engine: Arc<ProxyEngine>,
    /// Whether it runs.
    pub is_alive: bool,
    pub(crate) incarnation: u64,
    housekeeping: tokio::task::AbortHandle,
}

/// Engines, one group, the key-value service and the network between them.
pub struct Cluster {
    /// What is deployed.
    pub deployment: Deployment,
    /// The network.
    pub network: Arc<NetworkModel>,
    /// The group.
    pub group: DatabaseGroup,
    /// The key-value service.
    pub store: KeyValueStore,
    /// Links between the instances.
    pub hub: InMemoryPeers,
    /// The instances.
    pub nodes: Vec<Node>,
    /// Clock of all engines.
    pub clock: Arc<dyn ClockPort>,
    settings: ClusterSettings,
}

struct GroupDirectory {
    group: DatabaseGroup,
    point: NetworkPoint,
}

impl TargetDirectory for GroupDirectory {
    fn target(
        &self,
        _group: &DeclaredGroup,
        target: &DeclaredTarget,
    ) -> Option<Arc<dyn TargetPort>> {
        Some(self.group.target_from(&target.name, self.point.clone()))
    }
}

impl Cluster {
    /// Starts a cluster and waits until each instance can serve.
    pub async fn start(deployment: Deployment, settings: ClusterSettings) -> Self {
        let network = Arc::new(NetworkModel::new(network_settings(&deployment)));
        let group = DatabaseGroup::new(group_settings(&deployment, &settings), network.clone());
        let store_settings = StoreSettings::new(deployment.store_centre.clone());
        let store = KeyValueStore::new(store_settings, network.clone());
        declare(&deployment, &store).await;
        let hub = InMemoryPeers::new(network.clone());
        let clock: Arc<dyn ClockPort> = Arc::new(TokioClock::default());
        let mut cluster = Self {
            deployment,
            network,
            group,
            store,
            hub,
            nodes: Vec::new(),
            clock,
            settings,
        };
        let centres = cluster.deployment.topology.data_centres();
        let centres = centres
            .map(|(_, centre)| centre.clone())
            .collect::<Vec<_>>();
        for centre in centres {
            for i in 1..=cluster.deployment.instances_per_centre {
                let name = format!("{centre}-{i}").parse().expect("a valid name");
                let node = cluster.make_node(name, &centre, 1);
                cluster.nodes.push(node);
            }
        }
        cluster.wait_ready().await;
        cluster
    }

    /// Waits until each living instance has settings and a primary is known.
    pub async fn wait_ready(&self) {
        for _ in 0..2_000 {
            let mut alive = self.nodes.iter().filter(|node| node.is_alive);
            if alive.all(|node| node.engine.readiness().is_ok()) {
                break;
            }
            self.clock.sleep(Duration::from_millis(10)).await;
        }
        // Links, permits and first observations settle.
        self.clock.sleep(Duration::from_secs(7)).await;
    }

    fn make_node(&self, instance: InstanceName, centre: &DataCentre, incarnation: u64) -> Node {
        let region = self
            .deployment
            .topology
            .region_of(centre)
            .expect("a declared data centre");
        let point = InMemoryPeers::point(&instance, centre);
        let settings = EngineSettings {
            instance: instance.clone(),
            incarnation: Incarnation(incarnation),
            data_centre: centre.clone(),
            region: region.name.clone(),
            jitter_seed: Some(self.settings.seed.wrapping_mul(31) ^ point_seed(&instance)),
            ..self.settings.engine.clone()
        };
        let key = TokenKey::new(1, &[7; 32]).expect("a key of 32 bytes");
        let engine = ProxyEngine::new(EngineParts {
            settings,
            clock: self.clock.clone(),
            targets: Arc::new(GroupDirectory {
                group: self.group.clone(),
                point: point.clone(),
            }),
            codec: TokenCodec::new(vec![key]),
            metrics: Arc::new(ProxyMetrics::default()),
            store: Some(self.store.port_from(point)),
        });
        let peers = self.hub.join(instance.clone(), centre, engine.clone());
        engine.connect_peers(peers);
        let housekeeping = engine.start();
        Node {
            instance,
            data_centre: centre.clone(),
            engine,
            is_alive: true,
            incarnation,
            housekeeping,
        }
    }

    /// Kills an instance: its connections close and nothing of it goes on.
    pub fn kill_node(&mut self, i: usize) {
        let node = &mut self.nodes[i];
        node.is_alive = false;
        node.housekeeping.abort();
        self.hub.kill(&node.instance);
        node.engine.halt();
    }

    /// Starts a killed instance again.
    pub fn restart_node(&mut self, i: usize) {
        let old = self.nodes[i].clone();
        self.nodes[i] = self.make_node(old.instance, &old.data_centre, old.incarnation + 1);
    }
}

/// Number that differs between instances and is the same in every run.
fn point_seed(instance: &InstanceName) -> u64 {
    heatherhollow_types::stable_hash(&[instance.as_str()])
}

fn network_settings(deployment: &Deployment) -> NetworkSettings {
    let topology = &deployment.topology;
    let centres = topology.data_centres();
    NetworkSettings {
        data_centres: centres
            .map(|(region, c)| (c.clone(), region.clone()))
            .collect(),
        delay_inside: Duration::from_micros(topology.inside_data_centre_us),
        delay_between_data_centres: Duration::from_micros(topology.inside_region_us),
        delay_between_regions: Duration::from_micros(topology.between_regions_us),
        ..NetworkSettings::default()
    }
}

fn group_settings(deployment: &Deployment, settings: &ClusterSettings) -> GroupSettings {
    let declared = &deployment.team.groups[0];
    let services = &deployment.team.services;
    let slots = services
        .iter()
        .map(|service| usize::from(service.slots_per_target))
        .sum();
    let connections = services
        .iter()
        .map(|s| usize::from(s.connections))
        .sum::<usize>();
    let targets = declared.targets.iter().map(|target| TargetSettings {
        slots,
        connection_limit: connections / declared.targets.len(),
        lag: settings.lag,
        lag_jitter: settings.lag_jitter,
        ..TargetSettings::new(target.name.clone(), target.data_centre.clone())
    });
    GroupSettings {
        name: declared.name.clone(),
        targets: targets.collect(),
        statement_time: settings.statement_time,
        seed: settings.seed,
        ..GroupSettings::default()
    }
}

async fn declare(deployment: &Deployment, store: &KeyValueStore) {
    let port = store.port(&deployment.store_centre);
    let change = "initial".parse().expect("a valid id");
    let topology = TopologyDocument::first(deployment.topology.clone(), change, "experiment");
    let put = port.compare_and_swap(TOPOLOGY_PATH, None, topology.encode(), None);
    put.await.expect("the store works");
    let change = "initial".parse().expect("a valid id");
    let team = SettingsDocument::first(deployment.team.clone(), change, "experiment");
    let path = team_path(&deployment.team.team);
    let put = port.compare_and_swap(&path, None, team.encode(), None);
    put.await.expect("the store works");
}
