//! Output of `status` and `members`.
use crate::error::CommandError;
use coordination::protocol::{Member, Status};
use std::net::SocketAddr;

const STATUS_HEADER: [&str; 11] = [
    "voter",
    "role",
    "term",
    "leader",
    "committed",
    "applied",
    "log",
    "revision",
    "keys",
    "sessions",
    "says",
];
const MEMBERS_HEADER: [&str; 6] = ["member", "number", "address", "votes", "heard", "has"];
/// Shown in place of an unknown value.
const UNKNOWN: &str = "-";

/// A voter and its status, or the error of the request for it.
pub(super) struct StatusRow {
    pub name: String,
    pub address: SocketAddr,
    pub status: Result<Status, CommandError>,
}

fn header(names: &[&str]) -> Vec<String> {
    names.iter().map(ToString::to_string).collect()
}

fn status_cells(row: &StatusRow) -> Vec<String> {
    match &row.status {
        Ok(status) => vec![
            row.name.clone(),
            status.role.clone(),
            status.term.to_string(),
            status.leader.clone().unwrap_or(UNKNOWN.into()),
            status.commit_index.to_string(),
            status.applied_index.to_string(),
            status.log.0.to_string(),
            status.revision.to_string(),
            status.size.0.to_string(),
            status.sessions.len().to_string(),
            status.storage_error.clone().unwrap_or_default(),
        ],
        Err(reason) => {
            let mut cells = vec![row.name.clone(), "silent".into()];
            cells.resize(STATUS_HEADER.len() - 1, UNKNOWN.into());
            cells.push(reason.to_string());
            cells
        }
    }
}

/// The table of `status`.
pub(super) fn status_table(rows: &[StatusRow]) -> String {
    let mut table = vec![header(&STATUS_HEADER)];
    table.extend(rows.iter().map(status_cells));
    daemon::table::format_rows(&table).trim_end().into()
}

/// The output of `status --json`.
pub(super) fn status_json(rows: &[StatusRow]) -> String {
    let object = |row: &StatusRow| match &row.status {
        Ok(status) => serde_json::json!({"voter": row.name, "addr": row.address, "status": status}),
        Err(reason) => {
            serde_json::json!({"voter": row.name, "addr": row.address, "silent": reason.to_string()})
        }
    };
    serde_json::Value::from(rows.iter().map(object).collect::<Vec<_>>()).to_string()
}

/// The table of `members`.
pub(super) fn members_table(members: &[Member]) -> String {
    let or_unknown = |value: Option<String>| value.unwrap_or(UNKNOWN.into());
    let cells = |member: &Member| {
        vec![
            member.name.clone(),
            format!("{:016x}", member.id),
            member.addr.clone(),
            if member.is_voter { "yes" } else { "learns" }.into(),
            or_unknown(member.active.map(|active| if active { "yes" } else { "no" }.into())),
            or_unknown(member.match_index.map(|index| index.to_string())),
        ]
    };
    let mut table = vec![header(&MEMBERS_HEADER)];
    table.extend(members.iter().map(cells));
    daemon::table::format_rows(&table).trim_end().into()
}
