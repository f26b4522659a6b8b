//! The command `status`, which prints the status of an instance as tables or JSON.

use serde_json::Value;

use crate::CommandError;
use crate::Console;
use crate::client::ServerClient;
use crate::options::CommandLine;
use crate::requests::unquoted;

/// Prints the state of an instance and what it knows: instances, groups, connections, settings.
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
        unquoted(&body["instance"]),
        unquoted(&body["readiness"]),
        open["answers"],
        open["transactions"]
    ));
    print_instances(&body["instances"], console);
    for group in items(&body["groups"]) {
        print_group(group, console);
    }
    print_pools(&body["lanes"], console);
    let settings = &body["settings"];
    console.print(format!(
        "settings, digest {}",
        unquoted(&settings["digest"])
    ));
    for document in items(&settings["documents"]) {
        let path = unquoted(&document["path"]);
        console.print(format!("    {path}  revision {}", document["revision"]));
    }
    Ok(())
}

/// Prints the instances that this one knows, with the settings that each has in force.
fn print_instances(instances: &Value, console: &mut Console<'_>) {
    let mut rows = vec![["instance", "data centre", "state", "settings"].map(str::to_string)];
    for instance in items(instances) {
        let keys = ["name", "data_centre", "liveness", "settings_digest"];
        rows.push(keys.map(|key| cell_text(&instance[key])));
    }
    print_table(&rows, console);
}

/// Prints a group and its targets; only the observers if this instance does not observe the group.
fn print_group(group: &Value, console: &mut Console<'_>) {
    let name = unquoted(&group["name"]);
    if group["is_observed_here"] != true {
        let observers = items(&group["observers"]).map(unquoted).collect::<Vec<_>>();
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
        cell_text(&group["primary"]),
        cell_text(&group["term"])
    ));
    let header = [
        "target",
        "data centre",
        "role",
        "position",
        "lag ms",
        "age ms",
        "state",
    ];
    let mut rows = vec![header.map(str::to_string)];
    for target in items(&group["targets"]) {
        let state = match (target["is_reachable"] == true, target["is_leaving"] == true) {
            (false, _) => "unreachable",
            (true, true) => "leaving",
            (true, false) => "reachable",
        };
        rows.push([
            cell_text(&target["name"]),
            cell_text(&target["data_centre"]),
            cell_text(&target["role"]),
            cell_text(&target["position"]),
            cell_text(&target["lag_ms"]),
            cell_text(&target["age_ms"]),
            state.to_string(),
        ]);
    }
    print_table(&rows, console);
}

/// Prints the connection pools of the instance; the JSON field and the column are named `lane`.
fn print_pools(pools: &Value, console: &mut Console<'_>) {
    let header = [
        "lane", "target", "permits", "opening", "idle", "in use", "waiting",
    ];
    let mut rows = vec![header.map(str::to_string)];
    for pool in items(pools) {
        let service = format!(
            "{}/{}",
            cell_text(&pool["team"]),
            cell_text(&pool["service"])
        );
        let keys = ["target", "permits", "opening", "idle", "in_use", "waiting"];
        let [target, permits, opening, idle, in_use, waiting] =
            keys.map(|key| cell_text(&pool[key]));
        rows.push([service, target, permits, opening, idle, in_use, waiting]);
    }
    print_table(&rows, console);
}

/// Prints rows with aligned columns; the first row is the header.
fn print_table<const N: usize>(rows: &[[String; N]], console: &mut Console<'_>) {
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

/// Returns the items of a JSON array; none if the value is not an array.
fn items(list: &Value) -> impl Iterator<Item = &Value> {
    list.as_array().into_iter().flatten()
}

/// Returns a value as the text of a table cell; null is shown as `-`.
fn cell_text(value: &Value) -> String {
    if value.is_null() {
        return "-".to_string();
    }
    unquoted(value)
}
