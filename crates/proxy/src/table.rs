//! The declared services, as the engine uses them.

use std::sync::Arc;

use heatherhollow_control::GroupSettings;
use heatherhollow_control::ServicePermits;
use heatherhollow_control::ServiceSettings;
use heatherhollow_control::TeamSettings;
use heatherhollow_control::TopologySettings;
use heatherhollow_types::GroupName;
use heatherhollow_types::ServiceName;
use heatherhollow_types::TeamName;

/// A group with the team that declares it.
#[derive(Debug, Clone)]
pub struct DeclaredGroup {
    /// The team.
    pub team: TeamName,
    /// `TEAM.GROUP`, the name in tokens and messages.
    pub full_name: GroupName,
    /// The declaration.
    pub settings: Arc<GroupSettings>,
}

/// A service with its group.
#[derive(Debug, Clone)]
pub struct DeclaredService {
    /// The team.
    pub team: TeamName,
    /// The declaration.
    pub settings: Arc<ServiceSettings>,
    /// Its group.
    pub group: Arc<DeclaredGroup>,
    /// Its connection permits.
    pub permits: ServicePermits,
}

/// All declared services, and the topology.
#[derive(Debug, Clone, Default)]
pub struct ServiceTable {
    /// Regions and data centres.
    pub topology: TopologySettings,
    /// Sorted by full name.
    groups: Vec<Arc<DeclaredGroup>>,
    /// Sorted by team and service.
    services: Vec<Arc<DeclaredService>>,
}

impl ServiceTable {
    /// The table of these settings. A service whose group is missing, or whose names are too long
    /// together, is left out and logged; the check of declarations rejects both.
    pub fn new(topology: TopologySettings, teams: &[TeamSettings]) -> Self {
        let mut table = Self {
            topology,
            ..Self::default()
        };
        for team in teams {
            for group in &team.groups {
                let Ok(full_name) = format!("{}.{}", team.team, group.name).parse() else {
                    log::error!("group_ignored team={} group={}", team.team, group.name);
                    continue;
                };
                let settings = Arc::new(group.clone());
                let team = team.team.clone();
                table.groups.push(Arc::new(DeclaredGroup {
                    team,
                    full_name,
                    settings,
                }));
            }
        }
        table.groups.sort_by(|a, b| a.full_name.cmp(&b.full_name));
        for team in teams {
            for service in &team.services {
                let found = table
                    .groups
                    .iter()
                    .find(|group| group.team == team.team && group.settings.name == service.group);
                let Some(group) = found.cloned() else {
                    log::error!(
                        "service_ignored team={} service={}",
                        team.team,
                        service.name
                    );
                    continue;
                };
                let Some(permits) = ServicePermits::new(team, service) else {
                    continue;
                };
                let settings = Arc::new(service.clone());
                let team = team.team.clone();
                let declared = DeclaredService {
                    team,
                    settings,
                    group,
                    permits,
                };
                table.services.push(Arc::new(declared));
            }
        }
        table
            .services
            .sort_by(|a, b| service_key(a).cmp(&service_key(b)));
        table
    }

    /// A service.
    pub fn service(&self, team: &TeamName, service: &ServiceName) -> Option<&Arc<DeclaredService>> {
        let key = (team, service);
        let found = self
            .services
            .binary_search_by(|other| service_key(other).cmp(&key));
        found.ok().map(|i| &self.services[i])
    }

    /// All services, sorted by team and name.
    pub fn services(&self) -> &[Arc<DeclaredService>] {
        &self.services
    }

    /// All groups, sorted by full name.
    pub fn groups(&self) -> &[Arc<DeclaredGroup>] {
        &self.groups
    }

    /// A group by its full name.
    pub fn group(&self, full_name: &GroupName) -> Option<&Arc<DeclaredGroup>> {
        let found = self
            .groups
            .binary_search_by(|group| group.full_name.cmp(full_name));
        found.ok().map(|i| &self.groups[i])
    }
}

fn service_key(service: &DeclaredService) -> (&TeamName, &ServiceName) {
    (&service.team, &service.settings.name)
}
