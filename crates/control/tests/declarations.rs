//! Declarations: what is accepted, and that all faults are reported at once with their places.

use quickcheck::quickcheck;

use heatherhollow_control::PermitCount;
use heatherhollow_control::ServicePermits;
use heatherhollow_control::SettingsDocument;
use heatherhollow_control::SettingsError;
use heatherhollow_control::TeamSettings;
use heatherhollow_control::TopologySettings;
use heatherhollow_control::diff_settings;
use heatherhollow_control::read_team;
use heatherhollow_control::read_topology;
use heatherhollow_types::AckMode;
use heatherhollow_types::TeamName;

const TOPOLOGY: &str = r#"
inside_region_us = 1500
between_regions_us = 8000
to_callers_us = 3000

[[regions]]
name = "south"
data_centres = ["aqaba-b", "aqaba-a"]

[[regions]]
name = "north"
data_centres = ["amman-a"]
"#;

const TEAM: &str = r#"
team = "lidos"

[[groups]]
name = "bookings-db"
targets = [
    { name = "db-2", data_centre = "aqaba-b", address = "10.0.0.2:5432" },
    { name = "db-1", data_centre = "aqaba-a" },
    { name = "db-3", data_centre = "amman-a", leaving = true },
]

[[services]]
name = "lanes"
group = "bookings-db"
acknowledge = "primary"
slots_per_target = 3
connections = 40
weight = 2

[[services.kinds]]
name = "list"
max_age_ms = 1000
max_wait_ms = 50
"#;

fn topology() -> TopologySettings {
    read_topology("topology.toml", TOPOLOGY).expect("the topology is valid")
}

fn team() -> TeamSettings {
    read_team("lidos.toml", TEAM, None, &topology()).expect("the team is valid")
}

fn faults(text: &str) -> Vec<SettingsError> {
    read_team("lidos.toml", text, None, &topology()).expect_err("the declaration has faults")
}

#[track_caller]
fn assert_fault(errors: &[SettingsError], path: &str, line: Option<usize>, rule: &str) {
    let found = errors
        .iter()
        .any(|e| e.path == path && e.line == line && e.rule.contains(rule));
    assert!(
        found,
        "no fault of {path} at {line:?} with {rule:?} in {errors:#?}"
    );
}

/// Guards against keys that are read into the wrong field, and against unsorted lists.
#[test]
fn declaration_is_read() {
    let team = team();
    let group = &team.groups[0];
    let names: Vec<_> = group.targets.iter().map(|t| t.name.as_str()).collect();
    assert_eq!(names, ["db-1", "db-2", "db-3"]);
    assert_eq!(
        group.targets[1].address,
        Some("10.0.0.2:5432".parse().unwrap())
    );
    assert!(group.targets[2].leaving);
    let service = team.service(&"lanes".parse().unwrap()).unwrap();
    assert_eq!(service.acknowledge, AckMode::Primary);
    assert_eq!((service.weight, service.connections), (2, 40));
    assert_eq!(service.idle_transaction_limit_ms, 10_000);
    assert_eq!(service.kinds[0].max_age_ms, 1_000);
    let (a, b) = ("aqaba-a".parse().unwrap(), "amman-a".parse().unwrap());
    assert_eq!(topology().delay(&a, &b).as_micros(), 8_000);
}

/// Guards against the TOML reader and the derived serde form drifting apart.
#[test]
fn forms_agree() {
    let team = team();
    let text = toml::to_string(&team).unwrap();
    assert_eq!(
        read_team("again.toml", &text, None, &topology()),
        Ok(team.clone())
    );
    let change = "c-1".parse().unwrap();
    let document = SettingsDocument::first(team, change, "rana");
    assert_eq!(SettingsDocument::decode(&document.encode()), Ok(document));
}

/// Guards against a check that stops at the first fault.
#[test]
fn all_faults_are_reported() {
    let text = TEAM
        .replace("connections = 40", "connections = 11")
        .replace("weight = 2", "weight = \"two\"\ncolour = 1")
        .replace("data_centre = \"aqaba-b\"", "data_centre = \"petra\"")
        .replace("name = \"db-3\"", "name = \"db-1\"")
        .replace("max_wait_ms = 50", "max_wait_ms = 60000")
        .replace("max_age_ms = 1000", "max_age_ms = 99999999");
    let errors = faults(&text);
    let service = "/teams/lidos/services/lanes";
    let targets = "/teams/lidos/groups/bookings-db/targets";
    assert_fault(
        &errors,
        &format!("{service}/connections"),
        Some(17),
        "at least 12",
    );
    assert_fault(
        &errors,
        &format!("{service}/weight"),
        Some(18),
        "invalid type",
    );
    assert_fault(&errors, &format!("{service}/colour"), Some(19), "not known");
    assert_fault(
        &errors,
        &format!("{service}/kinds/list/max_age_ms"),
        Some(23),
        "from 0 to",
    );
    assert_fault(
        &errors,
        &format!("{service}/kinds/list/max_wait_ms"),
        Some(24),
        "from 0 to",
    );
    assert_fault(
        &errors,
        &format!("{targets}/db-2/data_centre"),
        Some(7),
        "topology",
    );
    assert_fault(&errors, &format!("{targets}/db-1"), Some(9), "twice");
    let first = errors
        .iter()
        .find(|e| e.path.ends_with("/connections"))
        .unwrap();
    let shown = first.to_string();
    assert!(
        shown.starts_with("lidos.toml:17: /teams/lidos/services/lanes/connections = 11: "),
        "{shown}"
    );
}

/// Guards against missing and malformed parts that leave the reader without a place or a value.
#[test]
fn broken_shapes_are_reported() {
    assert_fault(
        &faults("team = \"Lidos Authority\""),
        "/teams/?/team",
        Some(1),
        "not allowed",
    );
    assert_fault(
        &faults("groups = 5"),
        "/teams/?/groups",
        Some(1),
        "list of tables",
    );
    assert_fault(
        &faults("team = \"a\"\nteam = \"b\""),
        "/",
        Some(2),
        "duplicate",
    );
    assert_fault(
        &faults("team = \"a\"\nservices = [1]"),
        "/teams/a/services/0",
        Some(2),
        "table",
    );
    let text = "team = \"a\"\n[[groups]]\nname = \"g\"\n[[services]]\nname = \"s\"\ngroup = \"h\"\n\
                slots_per_target = 0\nconnections = 1";
    let errors = faults(text);
    assert_fault(
        &errors,
        "/teams/a/groups/g/targets",
        Some(2),
        "at least one target",
    );
    assert_fault(
        &errors,
        "/teams/a/services/s/group",
        Some(6),
        "no such group",
    );
    assert_fault(
        &errors,
        "/teams/a/services/s/slots_per_target",
        Some(7),
        "from 1 to",
    );
}

/// Guards against two targets counting as a group that survives a failure.
#[test]
fn replicated_needs_three_targets() {
    let text = TEAM
        .replace("acknowledge = \"primary\"", "acknowledge = \"replicated\"")
        .replace(
            "    { name = \"db-3\", data_centre = \"amman-a\", leaving = true },\n",
            "",
        );
    let errors = faults(&text);
    let path = "/teams/lidos/services/lanes/acknowledge";
    assert_fault(&errors, path, Some(14), "at least 3 targets");
    assert_eq!(errors.len(), 1);
}

/// Guards against an operator of one team declaring another team's settings.
#[test]
fn other_team_is_rejected() {
    let owner: TeamName = "willow".parse().unwrap();
    let errors = read_team("lidos.toml", TEAM, Some(&owner), &topology()).unwrap_err();
    assert_fault(&errors, "/teams/lidos/team", Some(2), "another team's path");
}

/// Guards against a topology that places a data centre twice or delays one that does not exist.
#[test]
fn topology_is_checked() {
    let text = TOPOLOGY.replace("\"amman-a\"", "\"amman-a\", \"aqaba-a\"")
        + "[[delays]]\nfrom = \"petra\"\nto = \"amman-a\"\none_way_us = 10000001\n";
    let errors = read_topology("topology.toml", &text).unwrap_err();
    assert!(
        errors.iter().any(|e| e.rule.contains("twice")),
        "{errors:?}"
    );
    assert!(
        errors
            .iter()
            .any(|e| e.path == "/topology/delays/0/one_way_us"),
        "{errors:?}"
    );
    assert!(
        errors.iter().any(|e| e.path == "/topology/delays/0/from"),
        "{errors:?}"
    );
}

/// Guards against a difference that is reported for the whole document or not at all.
#[test]
fn differences_name_their_paths() {
    let old = team();
    let mut new = old.clone();
    new.services[0].weight = 7;
    new.groups[0].targets[2].leaving = false;
    new.services[0].kinds.clear();
    let paths = diff_settings(Some(&old), &new);
    assert_eq!(
        paths,
        [
            "/teams/lidos/groups/bookings-db/targets/db-3/leaving",
            "/teams/lidos/services/lanes/kinds/list",
            "/teams/lidos/services/lanes/weight",
        ]
    );
    assert!(diff_settings(Some(&old), &old).is_empty());
}

/// Guards against shares that differ from case 13: 20 connections give 6 a target, 3 of them status.
#[test]
fn shares_follow_the_design() {
    let count = PermitCount::of(20, 3, 3);
    assert_eq!(
        (count.total(), count.status, count.work, count.blocks()),
        (6, 3, 3, 1)
    );
    let team = team();
    let permits = ServicePermits::new(&team, &team.services[0]).unwrap();
    assert_eq!((permits.count.total(), permits.count.work), (13, 10));
    assert_eq!(permits.all().count(), 39);
    assert_eq!(permits.count.block_range(2), 11..13);
}

/// Whether a split keeps within the limit, with blocks that hold every work permit once.
fn is_sound_split(connections: u16, targets: u8, count: PermitCount) -> bool {
    let blocks: Vec<u16> = (0..count.blocks())
        .flat_map(|b| count.block_range(b))
        .collect();
    let work: Vec<u16> = count.work_range().collect();
    u32::from(count.total()) * u32::from(targets) <= u32::from(connections) && blocks == work
}

quickcheck! {
    /// Guards against a split that hands out more connections than the service has, and against
    /// blocks that overlap or leave out a permit.
    fn shares_are_within_the_limit(connections: u16, targets: u8, observers: u8) -> bool {
        let count = PermitCount::of(connections, usize::from(targets), usize::from(observers));
        is_sound_split(connections, targets, count)
    }
}

/// The property catches a split that rounds up.
#[test]
fn rounding_up_is_caught() {
    let share = 20_u16.div_ceil(3);
    let count = PermitCount {
        status: 3,
        work: share - 3,
    };
    assert!(!is_sound_split(20, 3, count));
}
