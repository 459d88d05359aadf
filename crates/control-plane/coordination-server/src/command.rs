//! What an operator's commands do: `herondock council status|members|get|put|watch|backup|restore|form|remove|transfer`.
use crate::client::{ClientConfig, ClientHandle};
use crate::server;
use config::coordination::{read, CoordinationConfig as File};
use coordination::client::{ClientRequest, RequestOutcome};
use coordination::protocol::{Answer, Request, Select, Status};
use coordination::state_machine::Outcome;
use std::io::Write;
use std::path::{Path, PathBuf};
use std::time::Duration;
use storage::AtomicFile;

/// How long a command may take.
const WITHIN: Duration = Duration::from_secs(10);
/// How long one voter may take to say how it sees things.
const STATUS_WITHIN: Duration = Duration::from_secs(1);
/// Largest backup, in bytes.
const BACKUP_MOST: usize = 64 << 20;

/// What is asked for.
#[derive(Clone, Debug)]
pub enum Command {
    /// How each voter sees the council.
    Status {
        /// As JSON.
        json: bool,
    },
    /// Who its members are.
    Members {
        /// As JSON.
        json: bool,
    },
    /// A key, or all that begin so.
    Get {
        /// Which.
        key: String,
        /// Whether all that begin so are meant.
        under: bool,
    },
    /// Changes as they happen, for ever.
    Watch {
        /// Keys that begin so.
        under: String,
    },
    /// The record into a file.
    Backup {
        /// Which.
        to: PathBuf,
    },
    /// A new council, with the record of a backup.
    Restore {
        /// Which.
        from: PathBuf,
    },
    /// A new council.
    Form,
    /// A voter is one no more.
    Remove {
        /// Its name.
        name: String,
    },
    /// Another voter leads.
    Transfer {
        /// Its name.
        name: String,
    },
}

/// Carries a command out.
///
/// # Errors
/// One line.
pub fn run(path: &Path, command: Command) -> Result<(), String> {
    let file = read(path)?;
    match command {
        Command::Form => return form(&file, None),
        Command::Restore { from } => {
            let kept = backup(&from).load().map_err(|e| format!("{}: {e}", from.display()))?;
            let kept = kept.ok_or_else(|| format!("{}: there is none", from.display()))?;
            return form(&file, Some(&kept.content));
        }
        _ => {}
    }
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime.map_err(|e| e.to_string())?;
    tokio::task::LocalSet::new().block_on(&runtime, ask(&file, command))
}

fn form(file: &File, backup: Option<&[u8]>) -> Result<(), String> {
    let cluster = server::bootstrap(file, backup)?;
    print(&format!(
        "council {cluster:016x} is formed; {} is its first voter, and the others join once they run",
        file.name
    ))
}

fn backup(path: &Path) -> AtomicFile {
    AtomicFile::new(path, "council-backup", 1, BACKUP_MOST)
}

fn print(line: &str) -> Result<(), String> {
    writeln!(std::io::stdout(), "{line}").map_err(|e| format!("standard output: {e}"))
}

fn client(file: &File, voters: Vec<String>) -> ClientHandle {
    let name = format!("command-{}", std::process::id());
    let patience = (file.tick * 20).max(Duration::from_millis(500));
    let _ = file;
    ClientHandle::spawn(ClientConfig { voters, session: None, name, response_timeout: patience })
}

fn answer(told: RequestOutcome) -> Result<Answer, String> {
    match told {
        RequestOutcome::Answered(Answer::Failed(why)) => Err(why),
        RequestOutcome::Answered(answer) => Ok(answer),
        RequestOutcome::Indeterminate(why) => Err(format!("{why}; it may have been done")),
        RequestOutcome::NotExecuted(why) => Err(format!("{why}; is there a majority of voters?")),
    }
}

fn unexpected(answer: &Answer) -> String {
    format!("an answer that is none: {answer:?}")
}

async fn ask(file: &File, command: Command) -> Result<(), String> {
    let all: Vec<String> = file.voters.iter().map(|(_, addr)| addr.to_string()).collect();
    let call = |request| {
        let council = client(file, all.clone());
        async move { answer(council.request(ClientRequest::Call(request), WITHIN).await) }
    };
    match command {
        Command::Status { json } => status(file, json).await,
        Command::Members { json } => {
            // As the leader knows them.
            let mut last = None;
            for (_, addr) in &file.voters {
                match one_status(file, &addr.to_string()).await {
                    Ok(status) if status.role == "leader" => return members(&status, json),
                    Ok(status) if !status.members.is_empty() => last = Some(status),
                    _ => {}
                }
            }
            members(&last.ok_or("no voter answers")?, json)
        }
        Command::Get { key, under } => {
            let select = if under { Select::Prefix(key.clone()) } else { Select::Key(key.clone()) };
            match answer(client(file, all.clone()).read(select, WITHIN).await)? {
                Answer::Values { items, .. } if items.is_empty() && !under => {
                    Err(format!("{key}: there is none"))
                }
                Answer::Values { items, .. } => {
                    for (key, item) in items {
                        match under {
                            true => print(&format!("{key} {} {}", item.version, item.value))?,
                            false => print(&item.value)?,
                        }
                    }
                    Ok(())
                }
                other => Err(unexpected(&other)),
            }
        }
        Command::Watch { under } => {
            let council = client(file, all.clone());
            let mut changes = council.watch(&under, None).await;
            while let Some(answer) = changes.recv().await {
                match answer {
                    Answer::Events { events: changes, .. } => {
                        for c in changes {
                            print(&format!(
                                "{} {} {}",
                                c.revision,
                                c.key,
                                c.value.as_deref().unwrap_or("(gone)")
                            ))?;
                        }
                    }
                    Answer::Watching { revision } => print(&format!("{revision} watching"))?,
                    Answer::Compacted { oldest } => {
                        return Err(format!("changes before {oldest} are not known any more"))
                    }
                    _ => {}
                }
            }
            Err("the watch has ended".into())
        }
        Command::Backup { to } => match call(Request::Backup).await? {
            Answer::Backup(text) => {
                backup(&to).save(text.as_bytes()).map_err(|e| format!("{}: {e}", to.display()))?;
                print(&format!("{}: {} bytes", to.display(), text.len()))
            }
            other => Err(unexpected(&other)),
        },
        Command::Remove { name } => match call(Request::RemoveMember { name: name.clone() }).await? {
            Answer::Done => print(&format!("{name} is a member no more")),
            other => Err(unexpected(&other)),
        },
        Command::Transfer { name } => match call(Request::TransferLeadership { name: name.clone() }).await? {
            Answer::Done => print(&format!("{name} is asked to lead")),
            other => Err(unexpected(&other)),
        },
        Command::Form | Command::Restore { .. } => Ok(()),
    }
}

async fn one_status(file: &File, addr: &str) -> Result<Status, String> {
    let council = client(file, vec![addr.into()]);
    match answer(council.request(ClientRequest::Call(Request::Status), STATUS_WITHIN).await)? {
        Answer::Status(status) => Ok(*status),
        Answer::Outcome(Outcome::Rejected(why)) => Err(why.to_string()),
        other => Err(unexpected(&other)),
    }
}

async fn status(file: &File, json: bool) -> Result<(), String> {
    let mut rows = vec![[
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
    ]
    .map(String::from)
    .to_vec()];
    let mut all = Vec::new();
    let mut heard = 0;
    for (name, addr) in &file.voters {
        match one_status(file, &addr.to_string()).await {
            Ok(s) => {
                heard += 1;
                rows.push(vec![
                    name.clone(),
                    s.role.clone(),
                    s.term.to_string(),
                    s.leader.clone().unwrap_or("-".into()),
                    s.commit_index.to_string(),
                    s.applied_index.to_string(),
                    s.log.0.to_string(),
                    s.revision.to_string(),
                    s.size.0.to_string(),
                    s.sessions.len().to_string(),
                    s.storage_error.clone().unwrap_or_default(),
                ]);
                all.push(serde_json::json!({"voter": name, "addr": addr, "status": s}));
            }
            Err(why) => {
                let mut row = vec![name.clone(), "silent".into()];
                row.resize(10, "-".into());
                row.push(why.clone());
                rows.push(row);
                all.push(serde_json::json!({"voter": name, "addr": addr, "silent": why}));
            }
        }
    }
    match json {
        true => print(&serde_json::Value::from(all).to_string())?,
        false => print(daemon::table::format_rows(&rows).trim_end())?,
    }
    match heard {
        0 => Err("no voter answers".into()),
        _ => Ok(()),
    }
}

fn members(status: &Status, json: bool) -> Result<(), String> {
    if json {
        return print(&serde_json::json!(status.members).to_string());
    }
    let mut rows = vec![["member", "number", "address", "votes", "heard", "has"].map(String::from).to_vec()];
    for m in &status.members {
        let known = |what: Option<String>| what.unwrap_or("-".into());
        rows.push(vec![
            m.name.clone(),
            format!("{:016x}", m.id),
            m.addr.clone(),
            if m.is_voter { "yes" } else { "learns" }.into(),
            known(m.active.map(|a| if a { "yes" } else { "no" }.into())),
            known(m.match_index.map(|n| n.to_string())),
        ]);
    }
    print(daemon::table::format_rows(&rows).trim_end())
}
