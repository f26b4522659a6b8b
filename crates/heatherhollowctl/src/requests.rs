//! Commands that send one request to an instance, and the ids of changes.

use std::time::SystemTime;

use serde_json::Value;
use serde_json::json;

use heatherhollow_types::TeamName;

use crate::CommandError;
use crate::Console;
use crate::client::ServerClient;
use crate::force::wait_until_in_force;
use crate::options::CommandLine;

/// Returns a unique id for a change, made of the time, the process and the thread.
pub(crate) fn new_change_id() -> String {
    let elapsed = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
    let micros = elapsed.unwrap_or_default().as_micros();
    let thread = format!("{:?}", std::thread::current().id());
    let thread = thread.chars().filter(char::is_ascii_digit);
    let thread = thread.collect::<String>();
    format!("ctl-{micros}-{}-{thread}", std::process::id())
}

/// Fetches the stored document of a team: settings, revision, author and recent changes.
fn fetch_document(team: &TeamName, line: &CommandLine) -> Result<Value, CommandError> {
    let client = ServerClient::new(line);
    client
        .get(&format!("/operator/settings/{team}"))?
        .into_body()
}

/// Prints the stored settings of a team.
pub(crate) fn get(
    team: &TeamName,
    line: &CommandLine,
    console: &mut Console<'_>,
) -> Result<(), CommandError> {
    let body = fetch_document(team, line)?;
    if line.is_json {
        console.print(&body);
        return Ok(());
    }
    console.report(format!(
        "revision {} by {}, change {}",
        body["revision"],
        unquoted(&body["author"]),
        unquoted(&body["change_id"])
    ));
    console.print(format!("{:#}", body["settings"]));
    Ok(())
}

/// Prints the recent changes of a team, newest first.
pub(crate) fn history(
    team: &TeamName,
    line: &CommandLine,
    console: &mut Console<'_>,
) -> Result<(), CommandError> {
    let body = fetch_document(team, line)?;
    let changes = body["recent_changes"].as_array();
    let changes = changes.into_iter().flatten().rev();
    if line.is_json {
        let changes = changes.collect::<Vec<_>>();
        console.print(json!({
            "team": team,
            "revision": body["revision"],
            "author": body["author"],
            "changes": changes,
        }));
        return Ok(());
    }
    for (i, change) in changes.enumerate() {
        let change = unquoted(change);
        match i {
            0 => console.print(format!(
                "{change}  revision {} by {}",
                body["revision"],
                unquoted(&body["author"])
            )),
            _ => console.print(change),
        }
    }
    Ok(())
}

/// Takes the instance that receives the request out of service.
///
/// The instance refuses if its name is not `name`.
pub(crate) fn drain_instance(
    name: &str,
    line: &CommandLine,
    console: &mut Console<'_>,
) -> Result<(), CommandError> {
    let path = format!("/operator/drain/instance/{name}");
    let body = post_change(&path, line)?;
    if line.is_json {
        console.print(&body);
        return Ok(());
    }
    let open = &body["open"];
    console.print(format!(
        "{name} is leaving; open answers: {}, open transactions: {}; stop its process when \
         heatherhollowctl status shows none",
        open["answers"], open["transactions"]
    ));
    Ok(())
}

/// Marks a target as leaving, or reverts that with `--undo`, and waits until this is in force.
///
/// A leaving target gets no new work.
pub(crate) fn drain_target(
    group: &str,
    target: &str,
    line: &CommandLine,
    console: &mut Console<'_>,
) -> Result<(), CommandError> {
    let undo = if line.is_undo { "/undo" } else { "" };
    let path = format!("/operator/drain/target/{group}/{target}{undo}");
    let body = post_change(&path, line)?;
    let state = match line.is_undo {
        true => "is not leaving",
        false => "is leaving",
    };
    let outcome = match body["outcome"].as_str() {
        Some("unchanged") => "it was so before; the settings have",
        _ => "stored as",
    };
    let revision = body["revision"].as_u64().unwrap_or_default();
    console.report(format!(
        "{group}/{target} {state}: {outcome} revision {revision}"
    ));
    let team = group
        .split_once('.')
        .and_then(|(team, _)| team.parse().ok());
    let team = team.ok_or_else(|| CommandError::Failed(format!("{group} is not TEAM.GROUP")))?;
    wait_until_in_force(&ServerClient::new(line), &team, revision, line, console)
}

/// Makes a target the primary of its group, and waits for the end of the promotion.
pub(crate) fn promote(
    group: &str,
    target: &str,
    line: &CommandLine,
    console: &mut Console<'_>,
) -> Result<(), CommandError> {
    console.report(format!(
        "waiting until {target} has caught up and is primary"
    ));
    let body = post_change(&format!("/operator/promote/{group}/{target}"), line)?;
    match line.is_json {
        true => console.print(&body),
        false => console.print(format!("{group}: primary {target}, term {}", body["term"])),
    }
    Ok(())
}

/// Sends a change without settings, with a new change id.
fn post_change(path: &str, line: &CommandLine) -> Result<Value, CommandError> {
    let body = json!({ "change_id": new_change_id(), "author": line.author });
    ServerClient::new(line).post(path, &body)?.into_body()
}

/// Returns a JSON string without its quotes, and any other value as JSON.
pub(crate) fn unquoted(value: &Value) -> String {
    let text = value.as_str();
    text.map_or_else(|| value.to_string(), str::to_string)
}
