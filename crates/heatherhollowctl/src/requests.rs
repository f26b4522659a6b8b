//! Commands that are one request each.

use std::time::SystemTime;

use serde_json::Value;
use serde_json::json;

use heatherhollow_types::TeamName;

use crate::CommandError;
use crate::Console;
use crate::client::ServerClient;
use crate::force::wait_for_force;
use crate::options::CommandLine;

/// Id of a change: time and process, so that no two changes share one.
pub(crate) fn new_change_id() -> String {
    let since = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
    let micros = since.unwrap_or_default().as_micros();
    let thread = format!("{:?}", std::thread::current().id());
    let thread = thread.chars().filter(char::is_ascii_digit);
    let thread = thread.collect::<String>();
    format!("ctl-{micros}-{}-{thread}", std::process::id())
}

/// The stored document of a team, with its revision.
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
        text_of(&body["author"]),
        text_of(&body["change_id"])
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
        let change = text_of(change);
        match i {
            0 => console.print(format!(
                "{change}  revision {} by {}",
                body["revision"],
                text_of(&body["author"])
            )),
            _ => console.print(change),
        }
    }
    Ok(())
}

/// Takes the instance that is asked out of service.
pub(crate) fn drain_instance(
    name: &str,
    line: &CommandLine,
    console: &mut Console<'_>,
) -> Result<(), CommandError> {
    let path = format!("/operator/drain/instance/{name}");
    let body = post(&path, line)?;
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

/// Marks a target as leaving, or reverts it.
pub(crate) fn drain_target(
    group: &str,
    target: &str,
    line: &CommandLine,
    console: &mut Console<'_>,
) -> Result<(), CommandError> {
    let undo = if line.is_undo { "/undo" } else { "" };
    let path = format!("/operator/drain/target/{group}/{target}{undo}");
    let body = post(&path, line)?;
    let state = match line.is_undo {
        true => "is not leaving",
        false => "is leaving",
    };
    let since = match body["outcome"].as_str() {
        Some("unchanged") => "it was so before; the settings have",
        _ => "stored as",
    };
    let revision = body["revision"].as_u64().unwrap_or_default();
    console.report(format!(
        "{group}/{target} {state}: {since} revision {revision}"
    ));
    let team = group
        .split_once('.')
        .and_then(|(team, _)| team.parse().ok());
    let team = team.ok_or_else(|| CommandError::Failed(format!("{group} names no team")))?;
    wait_for_force(&ServerClient::new(line), &team, revision, line, console)
}

/// Makes a target the primary of its group.
pub(crate) fn promote(
    group: &str,
    target: &str,
    line: &CommandLine,
    console: &mut Console<'_>,
) -> Result<(), CommandError> {
    console.report(format!(
        "waiting until {target} has caught up and is primary"
    ));
    let body = post(&format!("/operator/promote/{group}/{target}"), line)?;
    match line.is_json {
        true => console.print(&body),
        false => console.print(format!("{group}: primary {target}, term {}", body["term"])),
    }
    Ok(())
}

fn post(path: &str, line: &CommandLine) -> Result<Value, CommandError> {
    let body = json!({ "change_id": new_change_id(), "author": line.author });
    ServerClient::new(line).post(path, &body)?.into_body()
}

/// A text without its quotes.
pub(crate) fn text_of(value: &Value) -> String {
    let text = value.as_str();
    text.map_or_else(|| value.to_string(), str::to_string)
}
