//! Waits until a change is in force, that is, until the instances use the stored revision.

use std::thread;
use std::time::Duration;
use std::time::Instant;

use serde_json::Value;

use heatherhollow_control::team_path;
use heatherhollow_types::TeamName;

use crate::CommandError;
use crate::Console;
use crate::client::ServerClient;
use crate::options::CommandLine;

/// Interval at which the instance is asked on which instances the revision is in force.
const POLL_INTERVAL: Duration = Duration::from_millis(200);

/// Shortest interval between two progress lines.
const PROGRESS_INTERVAL: Duration = Duration::from_secs(2);

/// Waits until every reachable instance has a revision in force, and prints on how many it is.
///
/// # Errors
///
/// Returns [`CommandError::Failed`] if a reachable instance lacks the revision after `--wait`.
pub(crate) fn wait_until_in_force(
    client: &ServerClient,
    team: &TeamName,
    revision: u64,
    line: &CommandLine,
    console: &mut Console<'_>,
) -> Result<(), CommandError> {
    let path = team_path(team);
    let started_at = Instant::now();
    let mut last_progress_at = started_at;
    loop {
        let response = client.get(&format!("/operator/force/{team}/{revision}"))?;
        let body = response.into_body()?;
        let missing = join_names(&body["missing"]);
        let unreachable = join_names(&body["unreachable"]);
        let counts = format!("{} of {} instances", body["in_force"], body["known"]);
        let is_timed_out = started_at.elapsed() >= Duration::from_secs(line.wait_seconds);
        if missing.is_empty() || is_timed_out {
            match line.is_json {
                true => console.print(&body),
                false => console.print(format!("{path}: revision {revision} in force on {counts}")),
            }
            if !unreachable.is_empty() {
                console.report(format!("not reachable: {unreachable}"));
            }
            if missing.is_empty() {
                return Ok(());
            }
            return Err(CommandError::Failed(format!(
                "{path}: revision {revision} is stored, but not yet in force on {missing}"
            )));
        }
        if last_progress_at.elapsed() >= PROGRESS_INTERVAL {
            last_progress_at = Instant::now();
            let seconds = started_at.elapsed().as_secs();
            console.report(format!(
                "in force on {counts} after {seconds} s, waiting for {missing}"
            ));
        }
        thread::sleep(POLL_INTERVAL);
    }
}

/// Returns the strings of a JSON array, separated by commas.
fn join_names(list: &Value) -> String {
    let names = list.as_array().into_iter().flatten();
    let names = names.filter_map(Value::as_str).collect::<Vec<_>>();
    names.join(", ")
}
