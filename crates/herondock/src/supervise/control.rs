//! Commands to a supervisor.
use super::Paths;
use config::supervisor::FleetConfig;
use daemon::control::{self, Failure};
use daemon::pid_file;
use daemon::table::lines;
use std::fmt::Write as _;
use std::time::Duration;

/// How long a supervisor may be silent; a roll tells of each instance.
const SILENCE: Duration = Duration::from_secs(600);

/// Sends a command and passes its answer on, line by line.
///
/// # Errors
/// No supervisor runs, or it says why the command came to nothing.
pub fn ask(fleet: &FleetConfig, command: &str, tell: impl FnMut(&str)) -> Result<(), String> {
    control::ask(&Paths(fleet).control(), command, SILENCE, tell).map_err(|why| worded(fleet, why))
}

fn worded(fleet: &FleetConfig, why: Failure) -> String {
    let path = Paths(fleet).control();
    match why {
        Failure::Nobody => format!("{}: no supervisor runs", path.display()),
        Failure::Refused(why) => why,
        Failure::Broken(why) => format!("{}: {why}", path.display()),
    }
}

/// The fleet's state, as a table or as JSON. Without a supervisor it tells which instances run.
///
/// # Errors
/// The supervisor does not answer.
pub fn status(fleet: &FleetConfig, json: bool) -> Result<String, String> {
    let mut answer = String::new();
    let asked = control::ask(&Paths(fleet).control(), "status", SILENCE, |line| answer.push_str(line));
    let state: serde_json::Value = match asked {
        Ok(()) => serde_json::from_str(&answer).map_err(|e| format!("the supervisor's answer: {e}"))?,
        Err(Failure::Nobody) => {
            let one = |i| {
                let pid = pid_file::holder(&Paths(fleet).pid(i));
                let state = if pid.is_some() { "running" } else { "down" };
                serde_json::json!({"name": i.name, "state": state, "pid": pid})
            };
            let all: Vec<_> = fleet.instances.iter().map(one).collect();
            serde_json::json!({"supervisor": null, "instances": all})
        }
        Err(why) => return Err(worded(fleet, why)),
    };
    if json {
        return Ok(format!("{state}\n"));
    }
    Ok(table(&state))
}

fn table(state: &serde_json::Value) -> String {
    let mut text = String::new();
    // Writing to a string can't fail.
    let _ = match (state["supervisor"].as_u64(), state["roll"].as_str()) {
        (None, _) => writeln!(text, "no supervisor runs"),
        (Some(pid), None) => writeln!(text, "supervisor {pid}"),
        (Some(pid), Some(roll)) => writeln!(text, "supervisor {pid}, {roll}"),
    };
    let heads = ["instance", "state", "pid", "restarts", "ready after", "memory", "descriptors", "says"];
    let row = |i: &serde_json::Value| {
        let cell = |key: &str| match &i[key] {
            serde_json::Value::Null => "-".to_string(),
            serde_json::Value::String(text) => text.clone(),
            other => other.to_string(),
        };
        let memory = i["memory"].as_u64().map_or("-".into(), |b| format!("{:.1} MB", b as f64 / 1e6));
        vec![
            cell("name"),
            cell("state"),
            cell("pid"),
            cell("restarts"),
            i["ready_ms"].as_u64().map_or("-".into(), |ms| format!("{ms} ms")),
            memory,
            cell("descriptors"),
            cell("says"),
        ]
    };
    let mut rows = vec![heads.map(String::from).to_vec()];
    rows.extend(state["instances"].as_array().into_iter().flatten().map(row));
    text.push_str(&lines(&rows));
    text
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn the_table_has_a_row_for_each_instance() {
        let state = serde_json::json!({"supervisor": 7, "roll": "restart, 2 to go", "instances": [
            {"name": "n1", "state": "ready", "pid": 12, "restarts": 3, "ready_ms": 41, "memory": 5_000_000, "descriptors": 40,
             "says": "serving on 127.0.0.1:9"},
            {"name": "n2", "state": "down", "pid": null}]});
        let table = table(&state);
        let lines: Vec<&str> = table.lines().collect();
        assert_eq!(lines[0], "supervisor 7, restart, 2 to go");
        assert_eq!(
            lines[2],
            "n1        ready  12   3         41 ms        5.0 MB  40           serving on 127.0.0.1:9"
        );
        assert_eq!(lines[3], "n2        down   -    -         -            -       -            -");
    }
}
