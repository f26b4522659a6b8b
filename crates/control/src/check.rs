//! Rules of settings that look at more than one value, and the report of faults.

use std::fmt;
use std::ops::Range;
use std::ops::RangeInclusive;

use heatherhollow_types::AckMode;
use heatherhollow_types::TeamName;

use crate::permits::PermitCount;
use crate::settings::GroupSettings;
use crate::settings::ServiceSettings;
use crate::settings::TOPOLOGY_PATH;
use crate::settings::TeamSettings;
use crate::settings::TopologySettings;
use crate::settings::team_path;

/// Most groups of a team, and most services; a document has to stay below the store's 1 MB.
pub const MAX_TEAM_ITEMS: usize = 512;

/// Most targets of a group.
pub const MAX_GROUP_TARGETS: usize = 32;

/// Most kinds of read of a service.
pub const MAX_SERVICE_KINDS: usize = 64;

/// Most data centres of the topology; a message lists at most 200.
pub const MAX_DATA_CENTRES: usize = 128;

/// Fewest targets of a group that has a service with `acknowledge = "replicated"`; with two, a
/// majority is both, and any failure stops writes.
pub const MIN_REPLICATED_TARGETS: usize = 3;

/// Range of `max_age_ms`: an hour is more than any lag at which an answer is still useful.
pub const MAX_AGE_RANGE_MS: RangeInclusive<u64> = 0..=3_600_000;

/// Range of `max_wait_ms`.
pub const MAX_WAIT_RANGE_MS: RangeInclusive<u64> = 0..=30_000;

/// Range of deadlines.
pub const DEADLINE_RANGE_MS: RangeInclusive<u64> = 10..=600_000;

/// Range of `idle_transaction_limit_ms`.
pub const IDLE_RANGE_MS: RangeInclusive<u64> = 100..=600_000;

/// Range of `confirm_lag_limit_ms`.
pub const CONFIRM_LAG_RANGE_MS: RangeInclusive<u64> = 10..=60_000;

/// Range of `weight`.
pub const WEIGHT_RANGE: RangeInclusive<u32> = 1..=1_000;

/// Range of `slots_per_target`.
pub const SLOTS_RANGE: RangeInclusive<u16> = 1..=1_024;

/// Range of one-way delays.
pub const DELAY_RANGE_US: RangeInclusive<u64> = 0..=10_000_000;

/// Longest part of a value that a fault repeats, in bytes.
const MAX_VALUE_BYTES: usize = 120;

/// A fault of a declaration.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SettingsError {
    /// The file, or the path of the stored document.
    pub file: String,
    /// Line of the value, counted from 1, where it is known.
    pub line: Option<usize>,
    /// Path of the value, for example `/teams/lidos/services/lanes/connections`.
    pub path: String,
    /// The value as it was written; empty if there is none.
    pub value: String,
    /// The rule that it breaks.
    pub rule: String,
}

impl fmt::Display for SettingsError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.file)?;
        if let Some(line) = self.line {
            write!(f, ":{line}")?;
        }
        write!(f, ": {}", self.path)?;
        if !self.value.is_empty() {
            write!(f, " = {}", self.value)?;
        }
        write!(f, ": {}", self.rule)
    }
}

impl std::error::Error for SettingsError {}

/// Where settings come from, with the lines of their values and the faults found so far.
#[derive(Debug, Default)]
pub struct SettingsSource {
    file: String,
    text: String,
    line_starts: Vec<usize>,
    lines: Vec<(String, usize)>,
    errors: Vec<SettingsError>,
}

impl SettingsSource {
    /// A source without faults.
    pub fn new(file: &str) -> Self {
        Self {
            file: file.to_string(),
            ..Self::default()
        }
    }

    /// The faults, ordered by line.
    pub fn into_errors(mut self) -> Vec<SettingsError> {
        self.errors
            .sort_by(|a, b| (a.line, &a.path).cmp(&(b.line, &b.path)));
        self.errors
    }

    /// The settings, if there are no faults.
    pub fn into_result<T>(self, settings: T) -> Result<T, Vec<SettingsError>> {
        if self.errors.is_empty() {
            Ok(settings)
        } else {
            Err(self.into_errors())
        }
    }

    pub(crate) fn set_text(&mut self, text: &str) {
        let breaks = text.match_indices('\n').map(|(at, _)| at + 1);
        self.line_starts = std::iter::once(0).chain(breaks).collect();
        self.text = text.to_string();
    }

    pub(crate) fn line_at(&self, offset: usize) -> usize {
        self.line_starts.partition_point(|&start| start <= offset)
    }

    pub(crate) fn text_at(&self, span: Range<usize>) -> String {
        let text = self.text.get(span).unwrap_or_default();
        match text.char_indices().find(|(at, _)| *at >= MAX_VALUE_BYTES) {
            Some((at, _)) => format!("{}…", &text[..at]),
            None => text.to_string(),
        }
    }

    pub(crate) fn record_line(&mut self, path: &str, line: usize) {
        self.lines.push((path.to_string(), line));
    }

    /// Line of a path, or of the section around it.
    fn line_of(&self, path: &str) -> Option<usize> {
        let mut rest = path;
        while !rest.is_empty() {
            // The last entry of a name that is used twice is the one that breaks the rule.
            if let Some((_, line)) = self.lines.iter().rev().find(|(known, _)| known == rest) {
                return Some(*line);
            }
            rest = rest.rsplit_once('/').map_or("", |(head, _)| head);
        }
        None
    }

    /// Adds a fault; its line is looked up.
    pub fn fault(&mut self, path: &str, value: impl Into<String>, rule: impl Into<String>) {
        let line = self.line_of(path);
        self.fault_at(path, line, value, rule);
    }

    pub(crate) fn fault_at(
        &mut self,
        path: &str,
        line: Option<usize>,
        value: impl Into<String>,
        rule: impl Into<String>,
    ) {
        self.errors.push(SettingsError {
            file: self.file.clone(),
            line,
            path: path.to_string(),
            value: value.into(),
            rule: rule.into(),
        });
    }

    fn range<T: PartialOrd + fmt::Display>(
        &mut self,
        path: &str,
        key: &str,
        value: T,
        range: &RangeInclusive<T>,
    ) {
        if !range.contains(&value) {
            let rule = format!("the value is from {} to {}", range.start(), range.end());
            self.fault(&format!("{path}/{key}"), value.to_string(), rule);
        }
    }

    fn count(&mut self, path: &str, count: usize, limit: usize) {
        if count > limit {
            let rule = format!("the list has at most {limit} entries");
            self.fault(path, count.to_string(), rule);
        }
    }

    fn unique<'n>(&mut self, list_path: &str, names: impl Iterator<Item = &'n str>) {
        let mut previous: Option<&str> = None;
        for name in names {
            if previous == Some(name) {
                let path = format!("{list_path}/{name}");
                self.fault(&path, name, "the name is used twice");
            }
            previous = Some(name);
        }
    }
}

/// Checks that a change for `team` declares that team and no other.
pub fn check_owner(settings: &TeamSettings, team: &TeamName, source: &mut SettingsSource) {
    if &settings.team != team {
        let path = team_path(&settings.team);
        let rule = format!(
            "the change belongs to {}, another team's path",
            team_path(team)
        );
        source.fault(&format!("{path}/team"), settings.team.as_str(), rule);
    }
}

/// Checks sorted settings of a team against the topology.
pub fn check_team(
    settings: &TeamSettings,
    topology: &TopologySettings,
    source: &mut SettingsSource,
) {
    let path = team_path(&settings.team);
    let groups_path = format!("{path}/groups");
    let services_path = format!("{path}/services");
    source.count(&groups_path, settings.groups.len(), MAX_TEAM_ITEMS);
    source.count(&services_path, settings.services.len(), MAX_TEAM_ITEMS);
    source.unique(
        &groups_path,
        settings.groups.iter().map(|g| g.name.as_str()),
    );
    source.unique(
        &services_path,
        settings.services.iter().map(|s| s.name.as_str()),
    );
    for group in &settings.groups {
        let group_path = format!("{groups_path}/{}", group.name);
        check_group(group, topology, &group_path, source);
    }
    for service in &settings.services {
        let service_path = format!("{services_path}/{}", service.name);
        check_service(service, settings, &service_path, source);
    }
}

fn check_group(
    group: &GroupSettings,
    topology: &TopologySettings,
    path: &str,
    source: &mut SettingsSource,
) {
    let targets_path = format!("{path}/targets");
    source.count(&targets_path, group.targets.len(), MAX_GROUP_TARGETS);
    source.unique(&targets_path, group.targets.iter().map(|t| t.name.as_str()));
    if group.targets.is_empty() {
        source.fault(&targets_path, "0", "a group has at least one target");
    }
    for (i, target) in group.targets.iter().enumerate() {
        let target_path = format!("{targets_path}/{}", target.name);
        if topology.region_of(&target.data_centre).is_none() {
            let rule = "the topology does not declare this data centre";
            let value = target.data_centre.as_str();
            source.fault(&format!("{target_path}/data_centre"), value, rule);
        }
        let Some(address) = target.address else {
            continue;
        };
        let earlier = &group.targets[..i];
        if let Some(other) = earlier.iter().find(|t| t.address == Some(address)) {
            let rule = format!("target {} has the same address", other.name);
            source.fault(&format!("{target_path}/address"), address.to_string(), rule);
        }
    }
}

fn check_service(
    service: &ServiceSettings,
    settings: &TeamSettings,
    path: &str,
    source: &mut SettingsSource,
) {
    match settings.group(&service.group) {
        Some(group) => check_shares(service, group, path, source),
        None => {
            let rule = "the team declares no such group";
            source.fault(&format!("{path}/group"), service.group.as_str(), rule);
        }
    }
    source.range(
        path,
        "slots_per_target",
        service.slots_per_target,
        &SLOTS_RANGE,
    );
    source.range(path, "weight", service.weight, &WEIGHT_RANGE);
    let deadlines = &DEADLINE_RANGE_MS;
    source.range(
        path,
        "deadline_default_ms",
        service.deadline_default_ms,
        deadlines,
    );
    source.range(
        path,
        "deadline_limit_ms",
        service.deadline_limit_ms,
        deadlines,
    );
    let idle = service.idle_transaction_limit_ms;
    source.range(path, "idle_transaction_limit_ms", idle, &IDLE_RANGE_MS);
    let lag = service.confirm_lag_limit_ms;
    source.range(path, "confirm_lag_limit_ms", lag, &CONFIRM_LAG_RANGE_MS);
    let share = service.primary_read_share_percent;
    source.range(path, "primary_read_share_percent", share, &(0..=100));
    if service.deadline_default_ms > service.deadline_limit_ms {
        let rule = format!(
            "the default is at most the limit of {}",
            service.deadline_limit_ms
        );
        let value = service.deadline_default_ms.to_string();
        source.fault(&format!("{path}/deadline_default_ms"), value, rule);
    }
    check_kinds(service, path, source);
}

fn check_kinds(service: &ServiceSettings, path: &str, source: &mut SettingsSource) {
    let kinds_path = format!("{path}/kinds");
    source.count(&kinds_path, service.kinds.len(), MAX_SERVICE_KINDS);
    source.unique(&kinds_path, service.kinds.iter().map(|k| k.name.as_str()));
    for kind in &service.kinds {
        let kind_path = format!("{kinds_path}/{}", kind.name);
        source.range(&kind_path, "max_age_ms", kind.max_age_ms, &MAX_AGE_RANGE_MS);
        source.range(
            &kind_path,
            "max_wait_ms",
            kind.max_wait_ms,
            &MAX_WAIT_RANGE_MS,
        );
        if kind.max_wait_ms > service.deadline_limit_ms {
            let limit = service.deadline_limit_ms;
            let rule = format!("the wait is at most deadline_limit_ms, {limit}");
            let value = kind.max_wait_ms.to_string();
            source.fault(&format!("{kind_path}/max_wait_ms"), value, rule);
        }
    }
}

fn check_shares(
    service: &ServiceSettings,
    group: &GroupSettings,
    path: &str,
    source: &mut SettingsSource,
) {
    let targets = group.targets.len();
    let needs_majority = service.acknowledge == AckMode::Replicated;
    if needs_majority && targets < MIN_REPLICATED_TARGETS {
        let rule = format!(
            "needs at least {MIN_REPLICATED_TARGETS} targets, and group {} has {targets}",
            group.name
        );
        source.fault(&format!("{path}/acknowledge"), "replicated", rule);
    }
    let observers = group.data_centres().len();
    let count = PermitCount::of(service.connections, targets, observers);
    if targets > 0 && count.work == 0 {
        let least = targets * (observers + 1);
        let rule = format!(
            "{targets} targets with {observers} observers and one more connection each need \
             at least {least}"
        );
        let value = service.connections.to_string();
        source.fault(&format!("{path}/connections"), value, rule);
    }
}

/// Checks a sorted topology.
pub fn check_topology(topology: &TopologySettings, source: &mut SettingsSource) {
    let regions_path = format!("{TOPOLOGY_PATH}/regions");
    source.unique(
        &regions_path,
        topology.regions.iter().map(|r| r.name.as_str()),
    );
    let mut centres: Vec<_> = topology.data_centres().collect();
    source.count(&regions_path, centres.len(), MAX_DATA_CENTRES);
    centres.sort_by_key(|(_, centre)| *centre);
    for pair in centres.windows(2) {
        if pair[0].1 == pair[1].1 {
            let path = format!("{regions_path}/{}/data_centres", pair[1].0);
            source.fault(
                &path,
                pair[1].1.as_str(),
                "the data centre is declared twice",
            );
        }
    }
    for (i, delay) in topology.delays.iter().enumerate() {
        let path = format!("{TOPOLOGY_PATH}/delays/{i}");
        source.range(&path, "one_way_us", delay.one_way_us, &DELAY_RANGE_US);
        for (key, centre) in [("from", &delay.from), ("to", &delay.to)] {
            if topology.region_of(centre).is_none() {
                let rule = "no region declares this data centre";
                source.fault(&format!("{path}/{key}"), centre.as_str(), rule);
            }
        }
    }
    let spans = [
        ("inside_data_centre_us", topology.inside_data_centre_us),
        ("inside_region_us", topology.inside_region_us),
        ("between_regions_us", topology.between_regions_us),
        ("to_callers_us", topology.to_callers_us),
    ];
    for (key, span) in spans {
        source.range(TOPOLOGY_PATH, key, span, &DELAY_RANGE_US);
    }
}
