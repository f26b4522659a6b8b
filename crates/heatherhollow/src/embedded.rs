//! The simulated database groups, key-value store and network of an embedded instance.
//!
//! The groups and the settings in the store come from a folder of declarations, or from the
//! built-in demo if no folder is given.

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

/// Database groups and key-value store that run in the process of an embedded instance.
pub struct EmbeddedPlatform {
    groups: Vec<DatabaseGroup>,
    store: KeyValueStore,
    data_centre: DataCentre,
}

impl EmbeddedPlatform {
    /// Starts the declared groups and a store that holds the declarations.
    ///
    /// Returns an error if the declarations cannot be read, are invalid or cannot be stored.
    pub async fn start(settings: &ProgramSettings) -> Result<Self, String> {
        let (topology, teams) = read_declarations(settings.declarations_folder.as_deref())?;
        let mut regions_of_centres = topology
            .data_centres()
            .map(|(region, centre)| (centre.clone(), region.clone()))
            .collect::<Vec<_>>();
        let data_centre = settings.data_centre.clone();
        if !regions_of_centres
            .iter()
            .any(|(centre, _)| *centre == data_centre)
        {
            regions_of_centres.push((data_centre.clone(), settings.region.clone()));
        }
        let network = Arc::new(NetworkModel::new(NetworkSettings {
            data_centres: regions_of_centres,
            delay_inside: Duration::from_micros(topology.inside_data_centre_us),
            delay_between_data_centres: Duration::from_micros(topology.inside_region_us),
            delay_between_regions: Duration::from_micros(topology.between_regions_us),
            ..NetworkSettings::default()
        }));
        let groups = teams.iter().flat_map(|team| {
            let network = &network;
            team.groups.iter().map(move |group| {
                let group = simulated_group_settings(team, group, settings.embedded_lag);
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
        platform.store_declarations(topology, teams).await?;
        Ok(platform)
    }

    /// Returns a port to the store from the data centre of this instance.
    pub fn store(&self) -> Arc<dyn StorePort> {
        self.store.port(&self.data_centre)
    }

    /// Writes the topology and the settings of all teams to the empty store.
    async fn store_declarations(
        &self,
        topology: TopologySettings,
        teams: Vec<TeamSettings>,
    ) -> Result<(), String> {
        let store = self.store();
        let change_id = || "embedded".parse().expect("a valid id");
        let topology = TopologyDocument::first(topology, change_id(), "embedded");
        let write = store.compare_and_swap(TOPOLOGY_PATH, None, topology.encode(), None);
        write.await.map_err(|error| error.to_string())?;
        for team in teams {
            let path = team_path(&team.team);
            let document = SettingsDocument::first(team, change_id(), "embedded");
            let write = store.compare_and_swap(&path, None, document.encode(), None);
            write.await.map_err(|error| error.to_string())?;
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
        let database_group = self
            .groups
            .iter()
            .find(|other| *other.name() == group.name)?;
        Some(database_group.target(&target.name, &self.data_centre))
    }
}

/// Target directory of an instance that holds no connections to targets.
pub struct NoTargets;

impl TargetDirectory for NoTargets {
    fn target(&self, _: &DeclaredGroup, _: &DeclaredTarget) -> Option<Arc<dyn TargetPort>> {
        None
    }
}

/// Returns the settings of a simulated group.
///
/// Each target has the slots of all services of the group, and its connection limit is an equal
/// share of the connections of these services.
fn simulated_group_settings(
    team: &TeamSettings,
    group: &DeclaredGroup,
    lag: Duration,
) -> GroupSettings {
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

/// Reads `topology.toml` and each `teams/TEAM/services.toml` in `folder`, or the built-in demo if
/// it is `None`.
fn read_declarations(
    folder: Option<&Path>,
) -> Result<(TopologySettings, Vec<TeamSettings>), String> {
    let Some(folder) = folder else {
        let topology = read_topology("topology.toml", DEMO_TOPOLOGY).map_err(join_errors)?;
        let team = read_team("services.toml", DEMO_TEAM, None, &topology).map_err(join_errors)?;
        return Ok((topology, vec![team]));
    };
    let read = |path: &Path| {
        let text = fs::read_to_string(path);
        text.map_err(|error| format!("{} cannot be read: {error}", path.display()))
    };
    let path = folder.join("topology.toml");
    let topology = read_topology(&path.to_string_lossy(), &read(&path)?).map_err(join_errors)?;
    let mut teams = Vec::new();
    let teams_folder = folder.join("teams");
    let entries = fs::read_dir(&teams_folder)
        .map_err(|error| format!("{} cannot be read: {error}", teams_folder.display()))?;
    for entry in entries.flatten() {
        let path = entry.path().join("services.toml");
        let text = read(&path)?;
        let team =
            read_team(&path.to_string_lossy(), &text, None, &topology).map_err(join_errors)?;
        teams.push(team);
    }
    Ok((topology, teams))
}

/// Joins errors into one text, one error a line.
fn join_errors<E: ToString>(errors: Vec<E>) -> String {
    errors
        .iter()
        .map(ToString::to_string)
        .collect::<Vec<_>>()
        .join("\n")
}
