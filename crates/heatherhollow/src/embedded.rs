//! The group, the key-value store and the network of an embedded instance.

use std::fs;
use std::path::Path;
use std::sync::Arc;
use std::time::Duration;

use heatherhollow_control::GroupSettings as DeclaredGroup;
use heatherhollow_control::SettingsDocument;
use heatherhollow_control::TOPOLOGY_PATH;
use heatherhollow_control::TargetSettings as DeclaredTarget;
use heatherhollow_control::TeamSettings;
use heatherhollow_control::TopologyDocument;
use heatherhollow_control::TopologySettings;
use heatherhollow_control::read_team;
use heatherhollow_control::read_topology;
use heatherhollow_control::team_path;
use heatherhollow_ports::StorePort;
use heatherhollow_ports::TargetPort;
use heatherhollow_proxy::TargetDirectory;
use heatherhollow_standin::DatabaseGroup;
use heatherhollow_standin::GroupSettings;
use heatherhollow_standin::KeyValueStore;
use heatherhollow_standin::NetworkModel;
use heatherhollow_standin::NetworkSettings;
use heatherhollow_standin::StoreSettings;
use heatherhollow_standin::TargetSettings;
use heatherhollow_types::DataCentre;

use crate::options::ProgramSettings;

const DEMO_TOPOLOGY: &str = include_str!("../../../examples/embedded/topology.toml");
const DEMO_TEAM: &str = include_str!("../../../examples/embedded/teams/demo/services.toml");

/// What an embedded instance runs beside its engine.
pub struct EmbeddedPlatform {
    groups: Vec<DatabaseGroup>,
    store: KeyValueStore,
    data_centre: DataCentre,
}

impl EmbeddedPlatform {
    /// Starts the groups that are declared, and the store with the declarations in it.
    pub async fn start(settings: &ProgramSettings) -> Result<Self, String> {
        let (topology, teams) = read_declarations(settings.declarations.as_deref())?;
        let mut centres = topology
            .data_centres()
            .map(|(region, centre)| (centre.clone(), region.clone()))
            .collect::<Vec<_>>();
        let data_centre = settings.data_centre.clone();
        if !centres.iter().any(|(centre, _)| *centre == data_centre) {
            centres.push((data_centre.clone(), settings.region.clone()));
        }
        let network = Arc::new(NetworkModel::new(NetworkSettings {
            data_centres: centres,
            delay_inside: Duration::from_micros(topology.inside_data_centre_us),
            delay_between_data_centres: Duration::from_micros(topology.inside_region_us),
            delay_between_regions: Duration::from_micros(topology.between_regions_us),
            ..NetworkSettings::default()
        }));
        let groups = teams.iter().flat_map(|team| {
            let network = &network;
            team.groups.iter().map(move |group| {
                let group = group_settings(team, group, settings.embedded_lag);
                DatabaseGroup::new(group, network.clone())
            })
        });
        let groups = groups.collect();
        let store = KeyValueStore::new(StoreSettings::new(data_centre.clone()), network);
        let platform = Self {
            groups,
            store,
            data_centre,
        };
        platform.declare(topology, teams).await?;
        Ok(platform)
    }

    /// Access to the store.
    pub fn store(&self) -> Arc<dyn StorePort> {
        self.store.port(&self.data_centre)
    }

    async fn declare(
        &self,
        topology: TopologySettings,
        teams: Vec<TeamSettings>,
    ) -> Result<(), String> {
        let store = self.store();
        let change = || "embedded".parse().expect("a valid id");
        let topology = TopologyDocument::first(topology, change(), "embedded");
        let put = store.compare_and_swap(TOPOLOGY_PATH, None, topology.encode(), None);
        put.await.map_err(|error| error.to_string())?;
        for team in teams {
            let path = team_path(&team.team);
            let document = SettingsDocument::first(team, change(), "embedded");
            let put = store.compare_and_swap(&path, None, document.encode(), None);
            put.await.map_err(|error| error.to_string())?;
        }
        Ok(())
    }
}

impl TargetDirectory for EmbeddedPlatform {
    fn target(
        &self,
        group: &DeclaredGroup,
        target: &DeclaredTarget,
    ) -> Option<Arc<dyn TargetPort>> {
        let found = self
            .groups
            .iter()
            .find(|other| *other.name() == group.name)?;
        Some(found.target(&target.name, &self.data_centre))
    }
}

/// Targets of an instance that has access to none.
pub struct NoTargets;

impl TargetDirectory for NoTargets {
    fn target(&self, _: &DeclaredGroup, _: &DeclaredTarget) -> Option<Arc<dyn TargetPort>> {
        None
    }
}

fn group_settings(team: &TeamSettings, group: &DeclaredGroup, lag: Duration) -> GroupSettings {
    let services = team
        .services
        .iter()
        .filter(|service| service.group == group.name);
    let slots = services
        .clone()
        .map(|service| usize::from(service.slots_per_target))
        .sum();
    let connections = services
        .map(|service| usize::from(service.connections))
        .sum::<usize>();
    let targets = group.targets.iter().map(|target| TargetSettings {
        slots,
        connection_limit: connections / group.targets.len().max(1),
        lag,
        ..TargetSettings::new(target.name.clone(), target.data_centre.clone())
    });
    GroupSettings {
        name: group.name.clone(),
        targets: targets.collect(),
        ..GroupSettings::default()
    }
}

fn read_declarations(
    folder: Option<&Path>,
) -> Result<(TopologySettings, Vec<TeamSettings>), String> {
    let Some(folder) = folder else {
        let topology = read_topology("topology.toml", DEMO_TOPOLOGY).map_err(join)?;
        let team = read_team("services.toml", DEMO_TEAM, None, &topology).map_err(join)?;
        return Ok((topology, vec![team]));
    };
    let read = |path: &Path| {
        let text = fs::read_to_string(path);
        text.map_err(|error| format!("{} cannot be read: {error}", path.display()))
    };
    let path = folder.join("topology.toml");
    let topology = read_topology(&path.to_string_lossy(), &read(&path)?).map_err(join)?;
    let mut teams = Vec::new();
    let root = folder.join("teams");
    let entries = fs::read_dir(&root)
        .map_err(|error| format!("{} cannot be read: {error}", root.display()))?;
    for entry in entries.flatten() {
        let path = entry.path().join("services.toml");
        let text = read(&path)?;
        let team = read_team(&path.to_string_lossy(), &text, None, &topology).map_err(join)?;
        teams.push(team);
    }
    Ok((topology, teams))
}

fn join<E: ToString>(errors: Vec<E>) -> String {
    errors
        .iter()
        .map(ToString::to_string)
        .collect::<Vec<_>>()
        .join("\n")
}
