//! Client for the commands of a supervisor.
use super::error::CommandError;
use super::FleetPaths;
use config::supervisor::{FleetConfig, InstanceConfig};
use daemon::control::{self, ControlError};
use daemon::pid_file;
use daemon::table::format_rows;
use serde_json::Value;
use std::fmt::Write as _;
use std::time::Duration;

#[cfg(test)]
mod tests;

/// Maximum time between two reply lines of the supervisor. A rolling operation sends a line for each instance.
const REPLY_TIMEOUT: Duration = Duration::from_secs(600);
/// Header of the status table.
const STATUS_COLUMNS: [&str; 8] =
    ["instance", "state", "pid", "restarts", "ready after", "memory", "descriptors", "says"];

/// Sends a command to the supervisor and passes each progress line to `on_line`.
///
/// # Errors
/// No supervisor runs, or it reports a failure.
pub fn send_command(
    fleet: &FleetConfig,
    command: &str,
    on_line: impl FnMut(&str),
) -> Result<(), CommandError> {
    let socket = FleetPaths(fleet).control();
    control::send_command(&socket, command, REPLY_TIMEOUT, on_line).map_err(|error| match error {
        ControlError::NotRunning => CommandError::NotRunning(socket),
        ControlError::Failed(reason) => CommandError::Failed(reason),
        source => CommandError::Connection { socket, source },
    })
}

/// Status of the fleet, as a table or as JSON. If no supervisor runs, it only shows which instances run.
///
/// # Errors
/// The supervisor does not answer, or its answer is invalid.
pub fn status(fleet: &FleetConfig, json: bool) -> Result<String, CommandError> {
    let mut answer = String::new();
    let state = match send_command(fleet, "status", |line| answer.push_str(line)) {
        Ok(()) => serde_json::from_str(&answer)?,
        Err(CommandError::NotRunning(_)) => status_by_pid_files(fleet),
        Err(error) => return Err(error),
    };
    if json {
        return Ok(format!("{state}\n"));
    }
    Ok(status_table(&state))
}

fn status_by_pid_files(fleet: &FleetConfig) -> Value {
    let instance_status = |instance: &InstanceConfig| {
        let pid = pid_file::holder(&FleetPaths(fleet).pid_file(instance));
        let state = if pid.is_some() { "running" } else { "down" };
        serde_json::json!({"name": instance.name, "state": state, "pid": pid})
    };
    let instances: Vec<Value> = fleet.instances.iter().map(instance_status).collect();
    serde_json::json!({"supervisor": null, "instances": instances})
}

fn status_table(state: &Value) -> String {
    let mut text = String::new();
    // Writing to a string cannot fail.
    let _ = match (state["supervisor"].as_u64(), state["roll"].as_str()) {
        (None, _) => writeln!(text, "no supervisor runs"),
        (Some(pid), None) => writeln!(text, "supervisor {pid}"),
        (Some(pid), Some(roll)) => writeln!(text, "supervisor {pid}, {roll}"),
    };
    let mut rows = vec![STATUS_COLUMNS.map(String::from).to_vec()];
    rows.extend(state["instances"].as_array().into_iter().flatten().map(status_row));
    text.push_str(&format_rows(&rows));
    text
}

fn status_row(instance: &Value) -> Vec<String> {
    let cell = |key: &str| match &instance[key] {
        Value::Null => "-".to_string(),
        Value::String(text) => text.clone(),
        other => other.to_string(),
    };
    let ready_after = instance["ready_ms"].as_u64().map_or("-".into(), |ms| format!("{ms} ms"));
    let memory =
        instance["memory"].as_u64().map_or("-".into(), |bytes| format!("{:.1} MB", bytes as f64 / 1e6));
    vec![
        cell("name"),
        cell("state"),
        cell("pid"),
        cell("restarts"),
        ready_after,
        memory,
        cell("descriptors"),
        cell("says"),
    ]
}
