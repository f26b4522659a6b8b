//! Reads a folder of declarations and collects every fault in its files.

use std::fs;
use std::path::Path;

use heatherhollow_control::SettingsError;
use heatherhollow_control::TeamSettings;
use heatherhollow_control::TopologySettings;
use heatherhollow_control::read_team;
use heatherhollow_control::read_topology;
use heatherhollow_types::TeamName;

/// The valid declarations of a folder.
#[derive(Debug)]
pub(crate) struct DeclaredTeams {
    /// Teams, sorted by name.
    pub(crate) teams: Vec<TeamSettings>,
}

/// Reads `topology.toml` and each `teams/TEAM/services.toml` of a folder.
///
/// With `only_team`, the other teams of the folder are not read.
///
/// # Errors
///
/// Returns the faults of all files together, so that one run shows them all.
pub(crate) fn read_declarations(
    folder: &Path,
    only_team: Option<&TeamName>,
) -> Result<DeclaredTeams, Vec<SettingsError>> {
    let mut errors = Vec::new();
    let topology = read_topology_file(folder, &mut errors);
    let names = find_teams(folder, only_team, &mut errors);
    let mut teams = Vec::new();
    for name in &names {
        let path = folder
            .join("teams")
            .join(name.as_str())
            .join("services.toml");
        let Some(text) = read_text(&path, &mut errors) else {
            continue;
        };
        let file = path.to_string_lossy();
        let empty_topology = TopologySettings::default();
        let result = read_team(
            &file,
            &text,
            Some(name),
            topology.as_ref().unwrap_or(&empty_topology),
        );
        match result {
            Ok(team) => teams.push(team),
            // Without a topology, every data centre would be reported as unknown. The fault of the
            // topology is enough.
            Err(faults) if topology.is_none() => errors.extend(
                faults
                    .into_iter()
                    .filter(|fault| !fault.path.ends_with("/data_centre")),
            ),
            Err(faults) => errors.extend(faults),
        }
    }
    if errors.is_empty() {
        Ok(DeclaredTeams { teams })
    } else {
        Err(errors)
    }
}

fn read_topology_file(folder: &Path, errors: &mut Vec<SettingsError>) -> Option<TopologySettings> {
    let path = folder.join("topology.toml");
    let text = read_text(&path, errors)?;
    match read_topology(&path.to_string_lossy(), &text) {
        Ok(topology) => Some(topology),
        Err(faults) => {
            errors.extend(faults);
            None
        }
    }
}

/// Returns the sorted names of the declared teams, or `only_team` alone.
fn find_teams(
    folder: &Path,
    only_team: Option<&TeamName>,
    errors: &mut Vec<SettingsError>,
) -> Vec<TeamName> {
    if let Some(only_team) = only_team {
        return vec![only_team.clone()];
    }
    let root = folder.join("teams");
    let entries = match fs::read_dir(&root) {
        Ok(entries) => entries,
        Err(error) => {
            errors.push(file_error(&root, format!("cannot be read: {error}")));
            return Vec::new();
        }
    };
    let mut names = Vec::new();
    for entry in entries.flatten().filter(|entry| entry.path().is_dir()) {
        let text = entry.file_name().to_string_lossy().into_owned();
        match text.parse() {
            Ok(name) => names.push(name),
            Err(error) => {
                let rule = format!("the name of the folder is not a valid team name: {error}");
                errors.push(file_error(&entry.path(), rule));
            }
        }
    }
    if names.is_empty() && errors.is_empty() {
        errors.push(file_error(&root, "no team is declared".to_string()));
    }
    names.sort();
    names
}

fn read_text(path: &Path, errors: &mut Vec<SettingsError>) -> Option<String> {
    match fs::read_to_string(path) {
        Ok(text) => Some(text),
        Err(error) => {
            errors.push(file_error(path, format!("cannot be read: {error}")));
            None
        }
    }
}

/// Returns an error about a whole file or folder.
fn file_error(path: &Path, rule: String) -> SettingsError {
    SettingsError {
        file: path.to_string_lossy().into_owned(),
        line: None,
        path: "/".to_string(),
        value: String::new(),
        rule,
    }
}
