//! Reading of TOML declarations.
//!
//! The declaration is walked section by section and every value is deserialised on its own, so that all
//! faults are reported at once, each with its line. Rules that look at several values are in `check`.

use serde::de::DeserializeOwned;
use toml::Spanned;
use toml::de::DeTable;
use toml::de::DeValue;
use toml::de::ValueDeserializer;

use heatherhollow_types::AckMode;
use heatherhollow_types::DataCentre;
use heatherhollow_types::GroupName;
use heatherhollow_types::KindName;
use heatherhollow_types::RegionName;
use heatherhollow_types::ServiceName;
use heatherhollow_types::TargetName;
use heatherhollow_types::TeamName;

use crate::check::SettingsError;
use crate::check::SettingsSource;
use crate::check::check_owner;
use crate::check::check_team;
use crate::check::check_topology;
use crate::settings::AckForm;
use crate::settings::DelaySettings;
use crate::settings::GroupSettings;
use crate::settings::ReadSettings;
use crate::settings::RegionSettings;
use crate::settings::ServiceSettings;
use crate::settings::TOPOLOGY_PATH;
use crate::settings::TargetSettings;
use crate::settings::TeamSettings;
use crate::settings::TopologySettings;
use crate::settings::default_confirm_lag_ms;
use crate::settings::default_deadline_limit_ms;
use crate::settings::default_deadline_ms;
use crate::settings::default_idle_transaction_ms;
use crate::settings::default_primary_read_share;
use crate::settings::default_weight;
use crate::settings::team_path;

/// Longest declaration or document in bytes; the store takes values up to 1 MB.
pub const MAX_SETTINGS_BYTES: usize = 1_000_000;

/// Reads the declaration of a team and checks it against the topology.
///
/// With an `owner`, a declaration of any other team is a fault. Returns the settings, or every fault
/// that was found.
pub fn read_team(
    file: &str,
    text: &str,
    owner: Option<&TeamName>,
    topology: &TopologySettings,
) -> Result<TeamSettings, Vec<SettingsError>> {
    let mut source = SettingsSource::new(file);
    let Some(mut root) = parse_document(text, &mut source) else {
        return Err(source.into_errors());
    };
    let name = root.peek_str("team").map(str::to_string);
    // A team name that cannot be read still needs a place in the paths of the other faults.
    let path_name = name.and_then(|text| text.parse().ok());
    let path = path_name
        .as_ref()
        .map_or_else(|| "/teams/?".to_string(), team_path);
    root.path.clone_from(&path);
    let team: Option<TeamName> = root.required(&mut source, "team");
    let groups = root.list(&mut source, "groups", read_group);
    let services = root.list(&mut source, "services", read_service);
    root.finish(&mut source);
    let Some(team) = team else {
        return Err(source.into_errors());
    };
    let mut settings = TeamSettings {
        team,
        groups,
        services,
    };
    settings.sort();
    if let Some(owner) = owner {
        check_owner(&settings, owner, &mut source);
    }
    check_team(&settings, topology, &mut source);
    source.into_result(settings)
}

/// Reads the declaration of the topology and checks it.
pub fn read_topology(file: &str, text: &str) -> Result<TopologySettings, Vec<SettingsError>> {
    let mut source = SettingsSource::new(file);
    let Some(mut root) = parse_document(text, &mut source) else {
        return Err(source.into_errors());
    };
    root.path = TOPOLOGY_PATH.to_string();
    let mut topology = TopologySettings {
        regions: root.list(&mut source, "regions", read_region),
        inside_data_centre_us: root.optional(&mut source, "inside_data_centre_us", 0),
        inside_region_us: root.optional(&mut source, "inside_region_us", 0),
        between_regions_us: root.optional(&mut source, "between_regions_us", 0),
        to_callers_us: root.optional(&mut source, "to_callers_us", 0),
        delays: root.list(&mut source, "delays", read_delay),
    };
    root.finish(&mut source);
    topology.sort();
    check_topology(&topology, &mut source);
    source.into_result(topology)
}

fn parse_document<'t>(text: &'t str, source: &mut SettingsSource) -> Option<SectionReader<'t>> {
    if text.len() > MAX_SETTINGS_BYTES {
        let rule = format!("a declaration has at most {MAX_SETTINGS_BYTES} bytes");
        source.fault("/", text.len().to_string(), rule);
        return None;
    }
    source.set_text(text);
    let (table, errors) = DeTable::parse_recoverable(text);
    if errors.is_empty() {
        return Some(SectionReader::new(String::new(), table.into_inner()));
    }
    for error in &errors {
        let line = error.span().map(|span| source.line_at(span.start));
        source.fault_at("/", line, "", error.message());
    }
    None
}

fn read_group(source: &mut SettingsSource, table: &mut SectionReader<'_>) -> Option<GroupSettings> {
    let name: Option<GroupName> = table.required(source, "name");
    let targets = table.list(source, "targets", read_target);
    Some(GroupSettings {
        name: name?,
        targets,
    })
}

fn read_target(
    source: &mut SettingsSource,
    table: &mut SectionReader<'_>,
) -> Option<TargetSettings> {
    let name: Option<TargetName> = table.required(source, "name");
    let data_centre: Option<DataCentre> = table.required(source, "data_centre");
    let address = table.value(source, "address");
    let leaving = table.optional(source, "leaving", false);
    Some(TargetSettings {
        name: name?,
        data_centre: data_centre?,
        address,
        leaving,
    })
}

fn read_service(
    source: &mut SettingsSource,
    table: &mut SectionReader<'_>,
) -> Option<ServiceSettings> {
    let name: Option<ServiceName> = table.required(source, "name");
    let group: Option<GroupName> = table.required(source, "group");
    let acknowledge: Option<AckValue> = table.value(source, "acknowledge");
    let slots_per_target: Option<u16> = table.required(source, "slots_per_target");
    let connections: Option<u16> = table.required(source, "connections");
    let weight = table.optional(source, "weight", default_weight());
    let deadline_default_ms = table.optional(source, "deadline_default_ms", default_deadline_ms());
    let deadline_limit_ms =
        table.optional(source, "deadline_limit_ms", default_deadline_limit_ms());
    let idle_transaction_limit_ms = table.optional(
        source,
        "idle_transaction_limit_ms",
        default_idle_transaction_ms(),
    );
    let confirm_lag_limit_ms =
        table.optional(source, "confirm_lag_limit_ms", default_confirm_lag_ms());
    let primary_read_share_percent = table.optional(
        source,
        "primary_read_share_percent",
        default_primary_read_share(),
    );
    let kinds = table.list(source, "kinds", read_kind);
    Some(ServiceSettings {
        name: name?,
        group: group?,
        acknowledge: acknowledge.map_or_else(AckMode::default, |value| value.0),
        slots_per_target: slots_per_target?,
        connections: connections?,
        weight,
        deadline_default_ms,
        deadline_limit_ms,
        idle_transaction_limit_ms,
        confirm_lag_limit_ms,
        primary_read_share_percent,
        kinds,
    })
}

#[derive(serde::Deserialize)]
struct AckValue(#[serde(with = "AckForm")] AckMode);

fn read_kind(source: &mut SettingsSource, table: &mut SectionReader<'_>) -> Option<ReadSettings> {
    let name: Option<KindName> = table.required(source, "name");
    let max_age_ms: Option<u64> = table.required(source, "max_age_ms");
    let max_wait_ms = table.optional(source, "max_wait_ms", 0);
    Some(ReadSettings {
        name: name?,
        max_age_ms: max_age_ms?,
        max_wait_ms,
    })
}

fn read_region(
    source: &mut SettingsSource,
    table: &mut SectionReader<'_>,
) -> Option<RegionSettings> {
    let name: Option<RegionName> = table.required(source, "name");
    let data_centres: Option<Vec<DataCentre>> = table.required(source, "data_centres");
    Some(RegionSettings {
        name: name?,
        data_centres: data_centres?,
    })
}

fn read_delay(source: &mut SettingsSource, table: &mut SectionReader<'_>) -> Option<DelaySettings> {
    let from: Option<DataCentre> = table.required(source, "from");
    let to: Option<DataCentre> = table.required(source, "to");
    let one_way_us: Option<u64> = table.required(source, "one_way_us");
    Some(DelaySettings {
        from: from?,
        to: to?,
        one_way_us: one_way_us?,
    })
}

/// One table of a declaration; keys are taken out as they are read, the rest is unknown.
struct SectionReader<'t> {
    path: String,
    table: DeTable<'t>,
}

impl<'t> SectionReader<'t> {
    fn new(path: String, table: DeTable<'t>) -> Self {
        Self { path, table }
    }

    fn peek_str(&self, key: &str) -> Option<&str> {
        self.table
            .get(key)
            .and_then(|value| value.get_ref().as_str())
    }

    fn value<T: DeserializeOwned>(&mut self, source: &mut SettingsSource, key: &str) -> Option<T> {
        let (_, value) = self.table.remove_entry(key)?;
        let path = format!("{}/{key}", self.path);
        let line = source.line_at(value.span().start);
        source.record_line(&path, line);
        let text = source.text_at(value.span());
        match T::deserialize(ValueDeserializer::from(value)) {
            Ok(value) => Some(value),
            Err(error) => {
                source.fault_at(&path, Some(line), text, error.message());
                None
            }
        }
    }

    fn required<T: DeserializeOwned>(
        &mut self,
        source: &mut SettingsSource,
        key: &str,
    ) -> Option<T> {
        if !self.table.contains_key(key) {
            let path = format!("{}/{key}", self.path);
            source.fault(&path, "", "the key is required");
            return None;
        }
        self.value(source, key)
    }

    fn optional<T: DeserializeOwned>(
        &mut self,
        source: &mut SettingsSource,
        key: &str,
        default: T,
    ) -> T {
        self.value(source, key).unwrap_or(default)
    }

    fn list<T>(
        &mut self,
        source: &mut SettingsSource,
        key: &str,
        read: impl Fn(&mut SettingsSource, &mut SectionReader<'t>) -> Option<T>,
    ) -> Vec<T> {
        let Some((_, value)) = self.table.remove_entry(key) else {
            return Vec::new();
        };
        let path = format!("{}/{key}", self.path);
        let line = source.line_at(value.span().start);
        source.record_line(&path, line);
        let DeValue::Array(array) = value.into_inner() else {
            source.fault_at(&path, Some(line), "", "the key is a list of tables");
            return Vec::new();
        };
        let mut items = Vec::new();
        for (i, item) in array.into_iter().enumerate() {
            items.extend(read_item(source, &path, i, item, &read));
        }
        items
    }

    fn finish(self, source: &mut SettingsSource) {
        for (key, _) in &self.table {
            let path = format!("{}/{}", self.path, key.get_ref());
            let line = source.line_at(key.span().start);
            source.fault_at(&path, Some(line), "", "the key is not known");
        }
    }
}

fn read_item<'t, T>(
    source: &mut SettingsSource,
    list_path: &str,
    index: usize,
    item: Spanned<DeValue<'t>>,
    read: impl Fn(&mut SettingsSource, &mut SectionReader<'t>) -> Option<T>,
) -> Option<T> {
    let line = source.line_at(item.span().start);
    let DeValue::Table(table) = item.into_inner() else {
        let path = format!("{list_path}/{index}");
        source.fault_at(&path, Some(line), "", "the entry is a table");
        return None;
    };
    let mut reader = SectionReader::new(String::new(), table);
    reader.path = match reader.peek_str("name") {
        Some(name) => format!("{list_path}/{name}"),
        None => format!("{list_path}/{index}"),
    };
    source.record_line(&reader.path, line);
    let value = read(source, &mut reader);
    reader.finish(source);
    value
}
