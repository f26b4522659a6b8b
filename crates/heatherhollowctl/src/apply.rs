//! The commands `check`, `diff` and `apply`, which read a folder of declarations.

use std::path::Path;
use std::thread;
use std::time::Duration;

use serde_json::Value;
use serde_json::json;

use heatherhollow_control::TeamSettings;
use heatherhollow_control::diff_settings;
use heatherhollow_control::team_path;

use crate::CommandError;
use crate::Console;
use crate::client::ClientError;
use crate::client::ServerClient;
use crate::client::ServerResponse;
use crate::declarations::DeclaredTeams;
use crate::declarations::read_declarations;
use crate::force::wait_until_in_force;
use crate::options::CommandLine;
use crate::requests::new_change_id;

/// Greatest number of times that a change without a response is sent again, with the same id.
const MAX_RETRIES: usize = 3;

/// Delay before a change is sent again.
const RETRY_DELAY: Duration = Duration::from_millis(500);

/// The stored settings of a team, with the revision and the change that made them.
struct StoredVersion {
    revision: u64,
    change_id: String,
    settings: TeamSettings,
}

/// Checks declarations without contacting an instance.
pub(crate) fn check(
    folder: &Path,
    line: &CommandLine,
    console: &mut Console<'_>,
) -> Result<(), CommandError> {
    let declared = load_declarations(folder, line, console)?;
    if line.is_json {
        console.print(json!({ "faults": [] }));
        return Ok(());
    }
    for team in &declared.teams {
        console.print(format!(
            "{}: valid; groups: {}, services: {}",
            team_path(&team.team),
            team.groups.len(),
            team.services.len()
        ));
    }
    Ok(())
}

/// Prints the differences between declarations and the stored settings.
pub(crate) fn diff(
    folder: &Path,
    line: &CommandLine,
    console: &mut Console<'_>,
) -> Result<(), CommandError> {
    let declared = load_declarations(folder, line, console)?;
    let client = ServerClient::new(line);
    for team in &declared.teams {
        let stored = fetch_stored(&client, team)?;
        print_differences(stored.as_ref(), team, line, console);
    }
    Ok(())
}

/// Stores the declarations of each team in turn, and waits until they are in force.
///
/// With `--dry-run`, it prints the differences and stores nothing.
pub(crate) fn apply(
    folder: &Path,
    line: &CommandLine,
    console: &mut Console<'_>,
) -> Result<(), CommandError> {
    let declared = load_declarations(folder, line, console)?;
    if line.expected_revision.is_some() && declared.teams.len() != 1 {
        let text = "--expect needs --team unless the folder declares exactly one team";
        return Err(CommandError::Failed(text.to_string()));
    }
    let client = ServerClient::new(line);
    for team in &declared.teams {
        apply_team(&client, team, line, console)?;
    }
    Ok(())
}

/// Reads the declarations; prints every fault in them if they are not valid.
fn load_declarations(
    folder: &Path,
    line: &CommandLine,
    console: &mut Console<'_>,
) -> Result<DeclaredTeams, CommandError> {
    read_declarations(folder, line.team.as_ref()).map_err(|faults| {
        if line.is_json {
            let faults = faults.iter().map(|fault| {
                json!({
                    "file": fault.file,
                    "line": fault.line,
                    "path": fault.path,
                    "value": fault.value,
                    "rule": fault.rule,
                })
            });
            console.print(json!({ "faults": faults.collect::<Vec<_>>() }));
        } else {
            for fault in &faults {
                console.print(fault);
            }
        }
        let count = faults.len();
        let noun = if count == 1 { "fault" } else { "faults" };
        CommandError::Failed(format!("{count} {noun} in {}", folder.display()))
    })
}

/// Returns the stored settings of a team, or `None` if nothing is stored for it.
fn fetch_stored(
    client: &ServerClient,
    team: &TeamSettings,
) -> Result<Option<StoredVersion>, CommandError> {
    let response = client.get(&format!("/operator/settings/{}", team.team))?;
    if response.status == 404 {
        return Ok(None);
    }
    let body = response.into_body()?;
    let invalid_field =
        |field: &str| CommandError::Failed(format!("the response has no valid {field}"));
    let settings = serde_json::from_value::<TeamSettings>(body["settings"].clone());
    let mut settings = settings.map_err(|_| invalid_field("settings"))?;
    settings.sort();
    Ok(Some(StoredVersion {
        revision: body["revision"]
            .as_u64()
            .ok_or_else(|| invalid_field("revision"))?,
        change_id: body["change_id"].as_str().unwrap_or_default().to_string(),
        settings,
    }))
}

/// Stores the declaration of one team unless it is stored already.
fn apply_team(
    client: &ServerClient,
    team: &TeamSettings,
    line: &CommandLine,
    console: &mut Console<'_>,
) -> Result<(), CommandError> {
    let path = team_path(&team.team);
    let stored = fetch_stored(client, team)?;
    if line.is_dry_run {
        print_differences(stored.as_ref(), team, line, console);
        return Ok(());
    }
    let revision = stored.as_ref().map(|stored| stored.revision);
    // If --expect names an older revision, the change is sent all the same: the instance refuses it
    // and reports who changed what.
    let expected = line.expected_revision.or(revision);
    let is_unchanged = stored.as_ref().is_some_and(|s| s.settings == *team);
    if is_unchanged && expected == revision {
        let revision = revision.unwrap_or_default();
        console.report(format!(
            "{path}: revision {revision} already has these settings"
        ));
        return wait_until_in_force(client, &team.team, revision, line, console);
    }
    let base = stored.filter(|stored| Some(stored.revision) == expected);
    let body = json!({
        "settings": team,
        "change_id": new_change_id(),
        "author": line.author,
        "expected": expected,
        "base": base.map(|base| json!({ "change_id": base.change_id, "settings": base.settings })),
    });
    let response = send_change(
        client,
        &format!("/operator/settings/{}", team.team),
        body,
        console,
    )?;
    if line.is_json && response.status != 200 {
        console.print(&response.body);
    }
    let body = response.into_body()?;
    let revision = body["revision"].as_u64().unwrap_or_default();
    console.report(format!("{path}: stored as revision {revision}"));
    wait_until_in_force(client, &team.team, revision, line, console)
}

/// Sends a change, and sends it again while the response is lost.
///
/// The change id stays the same, so that the instance does not apply the change twice.
fn send_change(
    client: &ServerClient,
    path: &str,
    mut body: Value,
    console: &mut Console<'_>,
) -> Result<ServerResponse, CommandError> {
    let mut retries = 0;
    loop {
        match client.put(path, &body) {
            Ok(response) => return Ok(response),
            // After a lost response, a failed connection does not show that nothing was changed.
            Err(ClientError::NotSent(text)) if retries == 0 => {
                return Err(CommandError::NotReachable(text));
            }
            Err(error) if retries == MAX_RETRIES => {
                let id = &body["change_id"];
                console.report(format!(
                    "look for change {id} with heatherhollowctl history"
                ));
                return Err(error.into());
            }
            Err(_) => {
                console.report("no response; the change is sent again with the same id");
                body["is_repeat"] = json!(true);
                retries += 1;
                thread::sleep(RETRY_DELAY);
            }
        }
    }
}

/// Prints each path whose value differs between the stored and the declared settings.
fn print_differences(
    stored: Option<&StoredVersion>,
    team: &TeamSettings,
    line: &CommandLine,
    console: &mut Console<'_>,
) {
    let path = team_path(&team.team);
    let old = stored.map(|stored| &stored.settings);
    let changes = diff_settings(old, team);
    let old = old.map_or(Value::Null, |old| json!(old));
    let new = json!(team);
    let changes = changes.iter().map(|changed_path| {
        let relative_path = changed_path.strip_prefix(&path).unwrap_or(changed_path);
        (
            changed_path,
            value_at(&old, relative_path),
            value_at(&new, relative_path),
        )
    });
    let revision = stored.map(|stored| stored.revision);
    if line.is_json {
        let changes =
            changes.map(|(path, old, new)| json!({ "path": path, "stored": old, "declared": new }));
        let changes = changes.collect::<Vec<_>>();
        console.print(json!({ "team": team.team, "revision": revision, "changes": changes }));
        return;
    }
    let version =
        revision.map_or_else(|| "not stored yet".to_string(), |r| format!("revision {r}"));
    let mut count = 0;
    for (path, old, new) in changes {
        console.print(format!("{path}: {old} -> {new}"));
        count += 1;
    }
    console.print(format!("{path}: {version}, differences: {count}"));
}

/// Returns the value at a path, or null if there is none.
///
/// A list entry is addressed by its `name` field, or by its index if no entry has that name.
fn value_at<'v>(value: &'v Value, path: &str) -> &'v Value {
    let mut found = value;
    for key in path.split('/').filter(|key| !key.is_empty()) {
        let next = match found {
            Value::Array(items) => items
                .iter()
                .find(|item| item["name"] == key)
                .or_else(|| key.parse::<usize>().ok().and_then(|i| items.get(i))),
            other => other.get(key),
        };
        found = next.unwrap_or(&Value::Null);
    }
    found
}
