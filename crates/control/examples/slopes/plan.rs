//! The deployment of the plan (docs/design.md, section 1), scaled to a number of nodes.

use heatherhollow_control::GroupSettings;
use heatherhollow_control::LiveMember;
use heatherhollow_control::LiveView;
use heatherhollow_control::ReadSettings;
use heatherhollow_control::RegionSettings;
use heatherhollow_control::ServiceSettings;
use heatherhollow_control::SettingsDocument;
use heatherhollow_control::TargetSettings;
use heatherhollow_control::TeamSettings;
use heatherhollow_control::TopologySettings;
use heatherhollow_control::team_path;
use heatherhollow_types::DataCentre;
use heatherhollow_types::Incarnation;
use heatherhollow_types::InstanceName;

/// Restarts of instances a day.
pub const RESTARTS_A_DAY: usize = 410;

/// Failures of instances a day.
pub const FAILURES_A_DAY: usize = 6;

/// Changes of settings a day.
pub const CHANGES_A_DAY: usize = 1_400;

/// Instances and groups of the plan.
const PLAN_NODES: usize = 2_000;
const PLAN_GROUPS: usize = 3_300;

/// Data centres of each region of the plan, 19 in all.
const PLAN_REGIONS: [usize; 5] = [4, 4, 4, 4, 3];

/// Groups of a team; the plan does not say, so this is an assumption.
const GROUPS_A_TEAM: usize = 10;

/// Connections of a service, as in the smaller of the two deployments: one block of permits a target.
pub const ONE_BLOCK: u16 = 20;

/// Connections of a service, as in the larger of the two deployments: three blocks a target.
pub const THREE_BLOCKS: u16 = 40;

/// Instances with their data centres, and the settings of all teams.
pub struct Deployment {
    pub nodes: Vec<(InstanceName, DataCentre)>,
    pub topology: TopologySettings,
    pub teams: Vec<TeamSettings>,
}

impl Deployment {
    /// `nodes` instances over the data centres of the plan; fewer data centres, one region after the
    /// other, where there would be less than three instances in each.
    pub fn new(nodes: usize) -> Self {
        Self::with_connections(nodes, ONE_BLOCK)
    }

    /// The same with this many connections for each service.
    pub fn with_connections(nodes: usize, connections: u16) -> Self {
        let mut left = (nodes / 3).clamp(3, 19);
        let mut regions = Vec::new();
        for (r, &count) in PLAN_REGIONS.iter().enumerate() {
            let count = count.min(left);
            left -= count;
            if count > 0 {
                let centres =
                    (0..count).map(|c| name(&format!("region{r}-{}", b"abcd"[c] as char)));
                regions.push(RegionSettings {
                    name: name(&format!("region{r}")),
                    data_centres: centres.collect(),
                });
            }
        }
        let topology = TopologySettings {
            regions,
            inside_data_centre_us: 100,
            inside_region_us: 1_500,
            between_regions_us: 8_000,
            to_callers_us: 1_000,
            ..TopologySettings::default()
        };
        let centres: Vec<DataCentre> = topology.data_centres().map(|(_, c)| c.clone()).collect();
        let place = |i: usize| centres[i % centres.len()].clone();
        Self {
            nodes: (0..nodes)
                .map(|i| (name(&format!("instance-{i:04}")), place(i)))
                .collect(),
            teams: make_teams(&topology, nodes * PLAN_GROUPS / PLAN_NODES, connections),
            topology,
        }
    }

    /// All documents as they are stored, with their paths.
    pub fn documents(&self) -> Vec<(String, Vec<u8>)> {
        let form = |team: &TeamSettings| {
            let change = "change-0".parse().expect("a valid id");
            let document = SettingsDocument::first(team.clone(), change, "operator");
            (team_path(&team.team), document.encode())
        };
        self.teams.iter().map(form).collect()
    }

    /// The view in which every instance is live.
    pub fn view(&self) -> LiveView {
        let member = |(name, centre): &(InstanceName, DataCentre)| {
            (
                centre.clone(),
                LiveMember::new(name.clone(), Incarnation(1)),
            )
        };
        LiveView::new(self.nodes.iter().map(member))
    }

    /// The view of one data centre, with the start of each instance as its run.
    pub fn centre_view(&self, centre: &DataCentre, started: &[u64]) -> LiveView {
        let near = self
            .nodes
            .iter()
            .zip(started)
            .filter(|((_, c), _)| c == centre);
        LiveView::new(near.map(|((name, centre), &start)| {
            (
                centre.clone(),
                LiveMember::new(name.clone(), Incarnation(start)),
            )
        }))
    }

    /// All groups with their teams.
    pub fn groups(&self) -> impl Iterator<Item = (&TeamSettings, &GroupSettings)> {
        let pairs = |team| move |group| (team, group);
        self.teams
            .iter()
            .flat_map(move |team| team.groups.iter().map(pairs(team)))
    }
}

/// Index of a node by its name.
pub fn index_of(name: &str) -> usize {
    name.trim_start_matches("instance-").parse().unwrap_or(0)
}

fn name<T: std::str::FromStr>(text: &str) -> T
where
    T::Err: std::fmt::Debug,
{
    text.parse().expect("a valid name")
}

/// Teams whose groups have three targets in three data centres of a region.
fn make_teams(topology: &TopologySettings, groups: usize, connections: u16) -> Vec<TeamSettings> {
    let mut teams: Vec<TeamSettings> = Vec::new();
    for g in 0..groups {
        if g % GROUPS_A_TEAM == 0 {
            teams.push(TeamSettings::empty(name(&format!(
                "team-{:03}",
                g / GROUPS_A_TEAM
            ))));
        }
        let regions: Vec<_> = topology
            .regions
            .iter()
            .filter(|r| r.data_centres.len() >= 3)
            .collect();
        let centres = &regions[g % regions.len()].data_centres;
        let first = g / regions.len();
        let target = |t: usize| TargetSettings {
            name: name(&format!("database-{g:04}-{t}")),
            data_centre: centres[(first + t) % centres.len()].clone(),
            address: Some(([10, (g / 250) as u8, (g % 250) as u8, t as u8], 5_432).into()),
            leaving: false,
        };
        let team = teams.last_mut().expect("a team was pushed");
        let group = GroupSettings {
            name: name(&format!("database-{g:04}")),
            targets: (0..3).map(target).collect(),
        };
        let service_name = name(&format!("service-{g:04}"));
        let mut service = ServiceSettings::new(service_name, group.name.clone(), 3, connections);
        service.kinds = [("current", 0), ("list", 1_000), ("report", 10_000)]
            .map(|(kind, max_age_ms)| ReadSettings {
                name: name(kind),
                max_age_ms,
                max_wait_ms: 100,
            })
            .to_vec();
        team.groups.push(group);
        team.services.push(service);
    }
    for team in &mut teams {
        team.sort();
    }
    teams
}
