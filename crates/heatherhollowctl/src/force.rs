//! Waits until a change is in force.

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

/// Interval at which the instances are asked what they have in force.
const FORCE_INTERVAL: Duration = Duration::from_millis(200);

/// Interval of lines about progress.
const PROGRESS_INTERVAL: Duration = Duration::from_secs(2);

/// Waits until each instance that can be reached has a revision in force, and says on how many it is.
pub(crate) fn wait_for_force(
    client: &ServerClient,
    team: &TeamName,
    revision: u64,
    line: &CommandLine,
    console: &mut Console<'_>,
) -> Result<(), CommandError> {
    let path = team_path(team);
    let started = Instant::now();
    let mut last_progress = started;
    loop {
        let answer = client.get(&format!("/operator/force/{team}/{revision}"))?;
        let body = answer.into_body()?;
        let missing = names(&body["missing"]);
        let unreachable = names(&body["unreachable"]);
        let counts = format!("{} of {} instances", body["in_force"], body["known"]);
        let is_over = started.elapsed() >= Duration::from_secs(line.wait_seconds);
        if missing.is_empty() || is_over {
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
        if last_progress.elapsed() >= PROGRESS_INTERVAL {
            last_progress = Instant::now();
            let seconds = started.elapsed().as_secs();
            console.report(format!(
                "in force on {counts} after {seconds} s, waiting for {missing}"
            ));
        }
        thread::sleep(FORCE_INTERVAL);
    }
}

fn names(list: &Value) -> String {
    let names = list.as_array().into_iter().flatten();
    let names = names.filter_map(Value::as_str).collect::<Vec<_>>();
    names.join(", ")
}
