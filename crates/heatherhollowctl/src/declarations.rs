//! Reading of a folder with declarations.

use std::fs;
use std::path::Path;

use heatherhollow_control::SettingsError;
use heatherhollow_control::TeamSettings;
use heatherhollow_control::TopologySettings;
use heatherhollow_control::read_team;
use heatherhollow_control::read_topology;
use heatherhollow_types::TeamName;

/// What a folder declares.
#[derive(Debug)]
pub(crate) struct DeclaredFolder {
    /// Teams, sorted by name.
    pub(crate) teams: Vec<TeamSettings>,
}

/// Reads `topology.toml` and `teams/TEAM/services.toml`, with every fault of all files.
///
/// With `only`, the other teams of the folder are not read.
pub(crate) fn read_folder(
    folder: &Path,
    only: Option<&TeamName>,
) -> Result<DeclaredFolder, Vec<SettingsError>> {
    let mut errors = Vec::new();
    let topology = read_topology_file(folder, &mut errors);
    let names = team_names(folder, only, &mut errors);
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
        let unknown = TopologySettings::default();
        let result = read_team(
            &file,
            &text,
            Some(name),
            topology.as_ref().unwrap_or(&unknown),
        );
        match result {
            Ok(team) => teams.push(team),
            // Without a topology, every data centre would count as unknown.
            Err(faults) if topology.is_none() => errors.extend(
                faults
                    .into_iter()
                    .filter(|fault| !fault.path.ends_with("/data_centre")),
            ),
            Err(faults) => errors.extend(faults),
        }
    }
    if errors.is_empty() {
        Ok(DeclaredFolder { teams })
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

fn team_names(
    folder: &Path,
    only: Option<&TeamName>,
    errors: &mut Vec<SettingsError>,
) -> Vec<TeamName> {
    if let Some(only) = only {
        return vec![only.clone()];
    }
    let root = folder.join("teams");
    let entries = match fs::read_dir(&root) {
        Ok(entries) => entries,
        Err(error) => {
            errors.push(file_fault(&root, format!("cannot be read: {error}")));
            return Vec::new();
        }
    };
    let mut names = Vec::new();
    for entry in entries.flatten().filter(|entry| entry.path().is_dir()) {
        let text = entry.file_name().to_string_lossy().into_owned();
        match text.parse() {
            Ok(name) => names.push(name),
            Err(error) => {
                let rule = format!("the folder's name is not that of a team: {error}");
                errors.push(file_fault(&entry.path(), rule));
            }
        }
    }
    if names.is_empty() && errors.is_empty() {
        errors.push(file_fault(&root, "no team is declared".to_string()));
    }
    names.sort();
    names
}

fn read_text(path: &Path, errors: &mut Vec<SettingsError>) -> Option<String> {
    match fs::read_to_string(path) {
        Ok(text) => Some(text),
        Err(error) => {
            errors.push(file_fault(path, format!("cannot be read: {error}")));
            None
        }
    }
}

fn file_fault(path: &Path, rule: String) -> SettingsError {
    SettingsError {
        file: path.to_string_lossy().into_owned(),
        line: None,
        path: "/".to_string(),
        value: String::new(),
        rule,
    }
}
