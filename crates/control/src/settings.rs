//! Settings that operators declare: of one team, and the topology that all teams share.
//!
//! Both have a TOML form (the declaration) and a JSON form (the stored document) with the same keys.
//! Lists are kept sorted by name, so that equal settings have equal encodings.

use std::net::SocketAddr;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use heatherhollow_types::AckMode;
use heatherhollow_types::DataCentre;
use heatherhollow_types::GroupName;
use heatherhollow_types::KindName;
use heatherhollow_types::ReadKind;
use heatherhollow_types::RegionName;
use heatherhollow_types::ServiceName;
use heatherhollow_types::TargetIndex;
use heatherhollow_types::TargetName;
use heatherhollow_types::TeamName;

/// Path of the topology in the key-value service.
pub const TOPOLOGY_PATH: &str = "/topology";

/// Path below which each team has its document.
pub const TEAMS_PATH: &str = "/teams/";

/// Path of a team's document in the key-value service.
///
/// ```
/// use heatherhollow_control::team_path;
/// assert_eq!(team_path(&"lidos".parse().unwrap()), "/teams/lidos");
/// ```
pub fn team_path(team: &TeamName) -> String {
    format!("{TEAMS_PATH}{team}")
}

/// Settings of one team.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TeamSettings {
    /// The team.
    pub team: TeamName,
    /// Its database groups, sorted by name.
    #[serde(default)]
    pub groups: Vec<GroupSettings>,
    /// Its services, sorted by name.
    #[serde(default)]
    pub services: Vec<ServiceSettings>,
}

impl TeamSettings {
    /// Settings of a team that declares nothing yet.
    pub fn empty(team: TeamName) -> Self {
        Self {
            team,
            groups: Vec::new(),
            services: Vec::new(),
        }
    }

    /// A group by its name.
    pub fn group(&self, name: &GroupName) -> Option<&GroupSettings> {
        let found = self.groups.binary_search_by(|group| group.name.cmp(name));
        found.ok().map(|i| &self.groups[i])
    }

    /// A service by its name.
    pub fn service(&self, name: &ServiceName) -> Option<&ServiceSettings> {
        let found = self.services.binary_search_by(|s| s.name.cmp(name));
        found.ok().map(|i| &self.services[i])
    }

    /// Sorts every list by name. Reading a declaration or a document does this.
    pub fn sort(&mut self) {
        self.groups.sort_by(|a, b| a.name.cmp(&b.name));
        for group in &mut self.groups {
            group.targets.sort_by(|a, b| a.name.cmp(&b.name));
        }
        self.services.sort_by(|a, b| a.name.cmp(&b.name));
        for service in &mut self.services {
            service.kinds.sort_by(|a, b| a.name.cmp(&b.name));
        }
    }
}

/// A database group with its targets.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct GroupSettings {
    /// Its name.
    pub name: GroupName,
    /// Its targets, sorted by name; a [`TargetIndex`] counts in this order.
    #[serde(default)]
    pub targets: Vec<TargetSettings>,
}

impl GroupSettings {
    /// A target by its index.
    pub fn target(&self, index: TargetIndex) -> Option<&TargetSettings> {
        self.targets.get(index.as_usize())
    }

    /// Index of a target.
    pub fn target_index(&self, name: &TargetName) -> Option<TargetIndex> {
        let found = self.targets.binary_search_by(|t| t.name.cmp(name));
        found
            .ok()
            .and_then(|i| u16::try_from(i).ok())
            .map(TargetIndex)
    }

    /// Data centres that have a target of the group, sorted. Each has one observer of the group.
    pub fn data_centres(&self) -> Vec<DataCentre> {
        let mut centres: Vec<_> = self.targets.iter().map(|t| t.data_centre.clone()).collect();
        centres.sort();
        centres.dedup();
        centres
    }
}

/// A target of a group.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TargetSettings {
    /// Its name.
    pub name: TargetName,
    /// Its data centre.
    pub data_centre: DataCentre,
    /// Its address; none where the program has its targets built in.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub address: Option<SocketAddr>,
    /// Whether operators are taking it out of service.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub leaving: bool,
}

/// A service in front of a group.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceSettings {
    /// Its name.
    pub name: ServiceName,
    /// The group that it serves.
    pub group: GroupName,
    /// When a write is acknowledged.
    #[serde(default, with = "AckForm")]
    pub acknowledge: AckMode,
    /// Statements that one target runs at a time for this service.
    pub slots_per_target: u16,
    /// Connections to all targets together, of all instances.
    pub connections: u16,
    /// Weight of the team in fair queueing at the targets.
    #[serde(default = "default_weight")]
    pub weight: u32,
    /// Deadline of a request that names none.
    #[serde(default = "default_deadline_ms")]
    pub deadline_default_ms: u64,
    /// Longest deadline that a request may name.
    #[serde(default = "default_deadline_limit_ms")]
    pub deadline_limit_ms: u64,
    /// An open transaction without statements for this long is rolled back.
    #[serde(default = "default_idle_transaction_ms")]
    pub idle_transaction_limit_ms: u64,
    /// With every replica further behind than this, writes are refused.
    #[serde(default = "default_confirm_lag_ms")]
    pub confirm_lag_limit_ms: u64,
    /// Share of the primary's slots that reads may take while all replicas lag.
    #[serde(default = "default_primary_read_share")]
    pub primary_read_share_percent: u8,
    /// Kinds of read, sorted by name.
    #[serde(default)]
    pub kinds: Vec<ReadSettings>,
}

impl ServiceSettings {
    /// A service with the default values of everything that has one.
    pub fn new(name: ServiceName, group: GroupName, slots: u16, connections: u16) -> Self {
        Self {
            name,
            group,
            acknowledge: AckMode::default(),
            slots_per_target: slots,
            connections,
            weight: default_weight(),
            deadline_default_ms: default_deadline_ms(),
            deadline_limit_ms: default_deadline_limit_ms(),
            idle_transaction_limit_ms: default_idle_transaction_ms(),
            confirm_lag_limit_ms: default_confirm_lag_ms(),
            primary_read_share_percent: default_primary_read_share(),
            kinds: Vec::new(),
        }
    }

    /// A kind of read by its name.
    pub fn kind(&self, name: &KindName) -> Option<&ReadSettings> {
        let found = self.kinds.binary_search_by(|kind| kind.name.cmp(name));
        found.ok().map(|i| &self.kinds[i])
    }

    /// Slots of the primary that reads may take while all replicas lag; at least one.
    pub fn primary_read_slots(&self) -> u16 {
        let share = u32::from(self.slots_per_target) * u32::from(self.primary_read_share_percent);
        u16::try_from(share / 100).unwrap_or(u16::MAX).max(1)
    }

    /// Deadline of a request that names none.
    pub fn deadline_default(&self) -> Duration {
        Duration::from_millis(self.deadline_default_ms)
    }

    /// Longest deadline that a request may name.
    pub fn deadline_limit(&self) -> Duration {
        Duration::from_millis(self.deadline_limit_ms)
    }

    /// Longest pause between two statements of a transaction.
    pub fn idle_transaction_limit(&self) -> Duration {
        Duration::from_millis(self.idle_transaction_limit_ms)
    }

    /// Lag of the least lagging replica beyond which writes are refused.
    pub fn confirm_lag_limit(&self) -> Duration {
        Duration::from_millis(self.confirm_lag_limit_ms)
    }
}

/// A kind of read as it is declared.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ReadSettings {
    /// Its name.
    pub name: KindName,
    /// Greatest age of an answer; zero asks for the present state.
    pub max_age_ms: u64,
    /// Longest wait for a replica to catch up.
    #[serde(default)]
    pub max_wait_ms: u64,
}

impl ReadSettings {
    /// The kind of read with its limits as durations.
    pub fn read_kind(&self) -> ReadKind {
        ReadKind {
            name: self.name.clone(),
            max_age: Duration::from_millis(self.max_age_ms),
            max_wait: Duration::from_millis(self.max_wait_ms),
        }
    }
}

/// Serde form of [`AckMode`], which has none of its own.
#[derive(Serialize, Deserialize)]
#[serde(remote = "AckMode", rename_all = "snake_case")]
pub(crate) enum AckForm {
    Replicated,
    Primary,
}

/// Default of `weight`.
pub const fn default_weight() -> u32 {
    1
}

/// Default of `deadline_default_ms`.
pub const fn default_deadline_ms() -> u64 {
    2_000
}

/// Default of `deadline_limit_ms`.
pub const fn default_deadline_limit_ms() -> u64 {
    30_000
}

/// Default of `idle_transaction_limit_ms`.
pub const fn default_idle_transaction_ms() -> u64 {
    10_000
}

/// Default of `confirm_lag_limit_ms`.
pub const fn default_confirm_lag_ms() -> u64 {
    2_000
}

/// Default of `primary_read_share_percent`.
pub const fn default_primary_read_share() -> u8 {
    25
}

/// Regions, data centres and network delays, shared by all teams.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TopologySettings {
    /// Regions, sorted by name.
    #[serde(default)]
    pub regions: Vec<RegionSettings>,
    /// One-way delay between two instances of a data centre.
    #[serde(default)]
    pub inside_data_centre_us: u64,
    /// One-way delay between two data centres of a region.
    #[serde(default)]
    pub inside_region_us: u64,
    /// One-way delay between data centres of two regions.
    #[serde(default)]
    pub between_regions_us: u64,
    /// One-way delay to callers.
    #[serde(default)]
    pub to_callers_us: u64,
    /// Delays of pairs that differ from the general ones, sorted.
    #[serde(default)]
    pub delays: Vec<DelaySettings>,
}

/// A region with its data centres.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RegionSettings {
    /// Its name.
    pub name: RegionName,
    /// Its data centres, sorted.
    #[serde(default)]
    pub data_centres: Vec<DataCentre>,
}

/// Delay between two data centres, in both directions.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DelaySettings {
    /// One data centre.
    pub from: DataCentre,
    /// The other.
    pub to: DataCentre,
    /// One-way delay.
    pub one_way_us: u64,
}

impl TopologySettings {
    /// Sorts every list. Reading a declaration or a document does this.
    pub fn sort(&mut self) {
        self.regions.sort_by(|a, b| a.name.cmp(&b.name));
        for region in &mut self.regions {
            region.data_centres.sort();
        }
        self.delays.sort();
    }

    /// The region of a data centre.
    pub fn region_of(&self, centre: &DataCentre) -> Option<&RegionSettings> {
        self.regions
            .iter()
            .find(|region| region.data_centres.binary_search(centre).is_ok())
    }

    /// Whether two data centres belong to the same region.
    pub fn same_region(&self, a: &DataCentre, b: &DataCentre) -> bool {
        match (self.region_of(a), self.region_of(b)) {
            (Some(left), Some(right)) => left.name == right.name,
            _ => false,
        }
    }

    /// All data centres with their region, ordered by region and name.
    pub fn data_centres(&self) -> impl Iterator<Item = (&RegionName, &DataCentre)> {
        self.regions
            .iter()
            .flat_map(|region| region.data_centres.iter().map(|c| (&region.name, c)))
    }

    /// One-way delay between two data centres.
    pub fn delay(&self, a: &DataCentre, b: &DataCentre) -> Duration {
        let special = self
            .delays
            .iter()
            .find(|d| (&d.from == a && &d.to == b) || (&d.from == b && &d.to == a));
        let micros = match special {
            Some(delay) => delay.one_way_us,
            None if a == b => self.inside_data_centre_us,
            None if self.same_region(a, b) => self.inside_region_us,
            None => self.between_regions_us,
        };
        Duration::from_micros(micros)
    }

    /// One-way delay to callers.
    pub fn caller_delay(&self) -> Duration {
        Duration::from_micros(self.to_callers_us)
    }

    /// The data centre whose instances hold the permits of `centre`'s targets: itself while
    /// `is_populated` says that it has a live instance, otherwise the next one of its region that has.
    pub fn serving_centre<'a>(
        &'a self,
        centre: &'a DataCentre,
        is_populated: impl Fn(&DataCentre) -> bool,
    ) -> Option<&'a DataCentre> {
        if is_populated(centre) {
            return Some(centre);
        }
        let centres = &self.region_of(centre)?.data_centres;
        let own = centres.binary_search(centre).ok()?;
        let (before, after) = (&centres[..own], &centres[own + 1..]);
        after.iter().chain(before).find(|c| is_populated(c))
    }
}
