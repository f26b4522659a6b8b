//! Commands that work with a folder of declarations.

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
use crate::client::ServerAnswer;
use crate::client::ServerClient;
use crate::declarations::DeclaredFolder;
use crate::declarations::read_folder;
use crate::force::wait_for_force;
use crate::options::CommandLine;
use crate::requests::new_change_id;

/// Times that a change is sent again, with the same id, after its answer was lost.
const MAX_REPEATS: usize = 3;

/// Pause before a change is sent again.
const REPEAT_PAUSE: Duration = Duration::from_millis(500);

/// The stored version of a team's document.
struct StoredVersion {
    revision: u64,
    change_id: String,
    settings: TeamSettings,
}

/// Checks declarations offline.
pub(crate) fn check(
    folder: &Path,
    line: &CommandLine,
    console: &mut Console<'_>,
) -> Result<(), CommandError> {
    let declared = read_declared(folder, line, console)?;
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

/// Shows how declarations differ from what is stored.
pub(crate) fn diff(
    folder: &Path,
    line: &CommandLine,
    console: &mut Console<'_>,
) -> Result<(), CommandError> {
    let declared = read_declared(folder, line, console)?;
    let client = ServerClient::new(line);
    for team in &declared.teams {
        let stored = read_stored(&client, team)?;
        show_difference(stored.as_ref(), team, line, console);
    }
    Ok(())
}

/// Stores declarations, one team after the other.
pub(crate) fn apply(
    folder: &Path,
    line: &CommandLine,
    console: &mut Console<'_>,
) -> Result<(), CommandError> {
    let declared = read_declared(folder, line, console)?;
    if line.expected_revision.is_some() && declared.teams.len() != 1 {
        let text = "--expect needs --team, as the folder declares several teams";
        return Err(CommandError::Failed(text.to_string()));
    }
    let client = ServerClient::new(line);
    for team in &declared.teams {
        apply_team(&client, team, line, console)?;
    }
    Ok(())
}

fn read_declared(
    folder: &Path,
    line: &CommandLine,
    console: &mut Console<'_>,
) -> Result<DeclaredFolder, CommandError> {
    read_folder(folder, line.team.as_ref()).map_err(|faults| {
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

fn read_stored(
    client: &ServerClient,
    team: &TeamSettings,
) -> Result<Option<StoredVersion>, CommandError> {
    let answer = client.get(&format!("/operator/settings/{}", team.team))?;
    if answer.status == 404 {
        return Ok(None);
    }
    let body = answer.into_body()?;
    let malformed = |what: &str| CommandError::Failed(format!("the answer has no valid {what}"));
    let settings = serde_json::from_value::<TeamSettings>(body["settings"].clone());
    let mut settings = settings.map_err(|_| malformed("settings"))?;
    settings.sort();
    Ok(Some(StoredVersion {
        revision: body["revision"]
            .as_u64()
            .ok_or_else(|| malformed("revision"))?,
        change_id: body["change_id"].as_str().unwrap_or_default().to_string(),
        settings,
    }))
}

fn apply_team(
    client: &ServerClient,
    team: &TeamSettings,
    line: &CommandLine,
    console: &mut Console<'_>,
) -> Result<(), CommandError> {
    let path = team_path(&team.team);
    let stored = read_stored(client, team)?;
    if line.is_dry_run {
        show_difference(stored.as_ref(), team, line, console);
        return Ok(());
    }
    let revision = stored.as_ref().map(|stored| stored.revision);
    // With --expect and a document that has moved on, the instance says who changed what.
    let expected = line.expected_revision.or(revision);
    let is_same = stored.as_ref().is_some_and(|s| s.settings == *team);
    if is_same && expected == revision {
        let revision = revision.unwrap_or_default();
        console.report(format!(
            "{path}: revision {revision} has these settings already"
        ));
        return wait_for_force(client, &team.team, revision, line, console);
    }
    let base = stored.filter(|stored| Some(stored.revision) == expected);
    let body = json!({
        "settings": team,
        "change_id": new_change_id(),
        "author": line.author,
        "expected": expected,
        "base": base.map(|base| json!({ "change_id": base.change_id, "settings": base.settings })),
    });
    let answer = send_change(
        client,
        &format!("/operator/settings/{}", team.team),
        body,
        console,
    )?;
    if line.is_json && answer.status != 200 {
        console.print(&answer.body);
    }
    let body = answer.into_body()?;
    let revision = body["revision"].as_u64().unwrap_or_default();
    console.report(format!("{path}: stored as revision {revision}"));
    wait_for_force(client, &team.team, revision, line, console)
}

/// Sends a change until it is answered; the id shows the instance that it is the same one.
fn send_change(
    client: &ServerClient,
    path: &str,
    mut body: Value,
    console: &mut Console<'_>,
) -> Result<ServerAnswer, CommandError> {
    let mut repeats = 0;
    loop {
        match client.put(path, &body) {
            Ok(answer) => return Ok(answer),
            Err(ClientError::NotSent(text)) if repeats == 0 => {
                return Err(CommandError::NotReachable(text));
            }
            Err(error) if repeats == MAX_REPEATS => {
                let id = &body["change_id"];
                console.report(format!(
                    "look for change {id} with heatherhollowctl history"
                ));
                return Err(error.into());
            }
            Err(_) => {
                console.report("the answer was lost; the change is sent again with the same id");
                body["is_repeat"] = json!(true);
                repeats += 1;
                thread::sleep(REPEAT_PAUSE);
            }
        }
    }
}

fn show_difference(
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
    let changes = changes.iter().map(|changed| {
        let inner = changed.strip_prefix(&path).unwrap_or(changed);
        (changed, value_at(&old, inner), value_at(&new, inner))
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

/// The value at a path whose list entries are named by `name` or by their index.
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
