//! The status of an instance as text.

use serde_json::Value;

use crate::CommandError;
use crate::Console;
use crate::client::ServerClient;
use crate::options::CommandLine;
use crate::requests::text_of;

/// Prints what an instance knows.
pub(crate) fn status(line: &CommandLine, console: &mut Console<'_>) -> Result<(), CommandError> {
    let body = ServerClient::new(line)
        .get("/operator/status")?
        .into_body()?;
    if line.is_json {
        console.print(&body);
        return Ok(());
    }
    let open = &body["open"];
    console.print(format!(
        "instance {}: {}; open answers: {}, open transactions: {}",
        text_of(&body["instance"]),
        text_of(&body["readiness"]),
        open["answers"],
        open["transactions"]
    ));
    show_instances(&body["instances"], console);
    for group in items(&body["groups"]) {
        show_group(group, console);
    }
    show_lanes(&body["lanes"], console);
    let settings = &body["settings"];
    console.print(format!("settings, digest {}", text_of(&settings["digest"])));
    for document in items(&settings["documents"]) {
        let path = text_of(&document["path"]);
        console.print(format!("    {path}  revision {}", document["revision"]));
    }
    Ok(())
}

fn show_instances(instances: &Value, console: &mut Console<'_>) {
    let mut rows = vec![["instance", "data centre", "state", "settings"].map(str::to_string)];
    for instance in items(instances) {
        let keys = ["name", "data_centre", "liveness", "settings_digest"];
        rows.push(keys.map(|key| cell(&instance[key])));
    }
    show_table(&rows, console);
}

fn show_group(group: &Value, console: &mut Console<'_>) {
    let name = text_of(&group["name"]);
    if group["is_observed_here"] != true {
        let observers = items(&group["observers"]).map(text_of).collect::<Vec<_>>();
        let observers = observers.join(", ");
        console.print(format!(
            "group {name}: no state known at this instance; observers: {observers}"
        ));
        return;
    }
    let suspected = match group["is_suspected"] == true {
        true => ", suspected",
        false => "",
    };
    console.print(format!(
        "group {name}: primary {}, term {}{suspected}",
        cell(&group["primary"]),
        cell(&group["term"])
    ));
    let head = [
        "target",
        "data centre",
        "role",
        "position",
        "lag ms",
        "age ms",
        "state",
    ];
    let mut rows = vec![head.map(str::to_string)];
    for target in items(&group["targets"]) {
        let state = match (target["is_reachable"] == true, target["is_leaving"] == true) {
            (false, _) => "unreachable",
            (true, true) => "leaving",
            (true, false) => "reachable",
        };
        rows.push([
            cell(&target["name"]),
            cell(&target["data_centre"]),
            cell(&target["role"]),
            cell(&target["position"]),
            cell(&target["lag_ms"]),
            cell(&target["age_ms"]),
            state.to_string(),
        ]);
    }
    show_table(&rows, console);
}

fn show_lanes(lanes: &Value, console: &mut Console<'_>) {
    let head = [
        "lane", "target", "permits", "opening", "idle", "in use", "waiting",
    ];
    let mut rows = vec![head.map(str::to_string)];
    for lane in items(lanes) {
        let service = format!("{}/{}", cell(&lane["team"]), cell(&lane["service"]));
        let keys = ["target", "permits", "opening", "idle", "in_use", "waiting"];
        let [target, permits, opening, idle, in_use, waiting] = keys.map(|key| cell(&lane[key]));
        rows.push([service, target, permits, opening, idle, in_use, waiting]);
    }
    show_table(&rows, console);
}

/// Prints rows with aligned columns; the first row is the head.
fn show_table<const N: usize>(rows: &[[String; N]], console: &mut Console<'_>) {
    let mut widths = [0; N];
    for row in rows {
        for (width, cell) in widths.iter_mut().zip(row) {
            *width = (*width).max(cell.chars().count());
        }
    }
    for row in rows {
        let cells = row.iter().zip(widths);
        let cells = cells.map(|(cell, width)| format!("{cell:width$}"));
        let text = cells.collect::<Vec<_>>().join("  ");
        console.print(format!("    {}", text.trim_end()));
    }
}

fn items(list: &Value) -> impl Iterator<Item = &Value> {
    list.as_array().into_iter().flatten()
}

fn cell(value: &Value) -> String {
    if value.is_null() {
        return "-".to_string();
    }
    text_of(value)
}
