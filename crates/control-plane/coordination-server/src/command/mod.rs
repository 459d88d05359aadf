//! Operator commands: `herondock council status|members|get|watch|backup|restore|form|remove|transfer`.
mod tables;

use crate::client::{ClientConfig, ClientHandle};
use crate::error::{CommandError, ServerError};
use crate::server;
use config::coordination::CoordinationConfig;
use coordination::client::{ClientRequest, RequestOutcome};
use coordination::protocol::{Answer, Request, Select, Status};
use coordination::state_machine::WatchEvent;
use std::io::Write;
use std::path::{Path, PathBuf};
use std::time::Duration;
use storage::AtomicFile;

/// Timeout of a command.
const COMMAND_TIMEOUT: Duration = Duration::from_secs(10);
/// Timeout of one voter's status.
const STATUS_TIMEOUT: Duration = Duration::from_secs(1);
/// Minimum response timeout of a command's connection.
const MIN_RESPONSE_TIMEOUT: Duration = Duration::from_millis(500);
/// Response timeout of a command's connection, in ticks of the voters.
const RESPONSE_TIMEOUT_TICKS: u32 = 20;
/// Kind of a backup file. It is the stored form and must not change.
const BACKUP_KIND: &str = "council-backup";
/// Version of the format of a backup file.
const BACKUP_VERSION: u32 = 1;
/// Maximum size of a backup, in bytes.
const MAX_BACKUP_BYTES: usize = 64 << 20;

/// An operator command.
#[derive(Clone, Debug)]
pub enum Command {
    /// Prints each voter's view of the cluster.
    Status {
        /// As JSON.
        json: bool,
    },
    /// Prints the members of the cluster.
    Members {
        /// As JSON.
        json: bool,
    },
    /// Prints keys.
    Get {
        /// The key, or the prefix of the keys.
        key: String,
        /// Whether `key` is a prefix.
        under: bool,
    },
    /// Prints events until it is interrupted.
    Watch {
        /// Prefix of the watched keys.
        under: String,
    },
    /// Writes the replicated state to a file.
    Backup {
        /// The file.
        to: PathBuf,
    },
    /// Creates a cluster with the content of a backup.
    Restore {
        /// The backup file.
        from: PathBuf,
    },
    /// Creates a cluster.
    Form,
    /// Removes a member.
    Remove {
        /// Name of the member.
        name: String,
    },
    /// Transfers leadership.
    Transfer {
        /// Name of the new leader.
        name: String,
    },
}

/// Executes a command with the configuration file of a voter.
///
/// # Errors
/// The configuration is invalid, or the command failed.
pub fn run(path: &Path, command: Command) -> Result<(), CommandError> {
    let config = config::coordination::read(path).map_err(ServerError::from)?;
    match command {
        Command::Form => return create_cluster(&config, None),
        Command::Restore { from } => {
            let backup = read_backup(&from)?;
            return create_cluster(&config, Some(&backup));
        }
        _ => {}
    }
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime.map_err(ServerError::Runtime)?;
    let session = CommandSession { config: &config };
    tokio::task::LocalSet::new().block_on(&runtime, session.execute(command))
}

fn create_cluster(config: &CoordinationConfig, backup: Option<&[u8]>) -> Result<(), CommandError> {
    let cluster = server::bootstrap(config, backup)?;
    print(&format!(
        "council {cluster:016x} is formed; {} is its first voter, and the others join once they run",
        config.name
    ))
}

fn backup_file(path: &Path) -> AtomicFile {
    AtomicFile::new(path, BACKUP_KIND, BACKUP_VERSION, MAX_BACKUP_BYTES)
}

fn read_backup(path: &Path) -> Result<Vec<u8>, CommandError> {
    let failed = |reason: String| CommandError::BackupFile { file: path.into(), reason };
    let loaded = backup_file(path).load().map_err(|error| failed(error.to_string()))?;
    Ok(loaded.ok_or_else(|| failed("the file does not exist".into()))?.content)
}

fn print(line: &str) -> Result<(), CommandError> {
    writeln!(std::io::stdout(), "{line}").map_err(CommandError::Output)
}

fn print_event(event: &WatchEvent) -> Result<(), CommandError> {
    let value = event.value.as_deref().unwrap_or("(gone)");
    print(&format!("{} {} {value}", event.revision, event.key))
}

fn answer_of(outcome: RequestOutcome) -> Result<Answer, CommandError> {
    match outcome {
        RequestOutcome::Answered(Answer::Failed(reason)) => Err(CommandError::Failed(reason)),
        RequestOutcome::Answered(answer) => Ok(answer),
        RequestOutcome::Indeterminate(reason) => Err(CommandError::Indeterminate(reason)),
        RequestOutcome::NotExecuted(reason) => Err(CommandError::NotExecuted(reason)),
    }
}

fn unexpected(answer: &Answer) -> CommandError {
    CommandError::UnexpectedAnswer(format!("{answer:?}"))
}

/// Executes a command against the voters.
struct CommandSession<'a> {
    config: &'a CoordinationConfig,
}

impl CommandSession<'_> {
    async fn execute(&self, command: Command) -> Result<(), CommandError> {
        match command {
            Command::Status { json } => self.status(json).await,
            Command::Members { json } => self.members(json).await,
            Command::Get { key, under: false } => self.get(key).await,
            Command::Get { key, under: true } => self.get_prefix(key).await,
            Command::Watch { under } => self.watch(&under).await,
            Command::Backup { to } => self.backup(&to).await,
            Command::Remove { name } => {
                self.call_expecting_done(Request::RemoveMember { name: name.clone() }).await?;
                print(&format!("{name} is a member no more"))
            }
            Command::Transfer { name } => {
                self.call_expecting_done(Request::TransferLeadership { name: name.clone() }).await?;
                print(&format!("{name} is asked to lead"))
            }
            // Executed by `run`, without a connection to the voters.
            Command::Form | Command::Restore { .. } => Ok(()),
        }
    }

    fn client(&self) -> ClientHandle {
        self.client_of(self.config.voters.iter().map(|(_, address)| address.to_string()).collect())
    }

    fn client_of(&self, voters: Vec<String>) -> ClientHandle {
        let response_timeout = (self.config.tick * RESPONSE_TIMEOUT_TICKS).max(MIN_RESPONSE_TIMEOUT);
        let name = format!("command-{}", std::process::id());
        ClientHandle::spawn(ClientConfig { voters, session: None, name, response_timeout })
    }

    async fn call(&self, request: Request) -> Result<Answer, CommandError> {
        answer_of(self.client().request(ClientRequest::Call(request), COMMAND_TIMEOUT).await)
    }

    async fn call_expecting_done(&self, request: Request) -> Result<(), CommandError> {
        match self.call(request).await? {
            Answer::Done => Ok(()),
            other => Err(unexpected(&other)),
        }
    }

    async fn read(&self, select: Select) -> Result<Answer, CommandError> {
        answer_of(self.client().read(select, COMMAND_TIMEOUT).await)
    }

    async fn get(&self, key: String) -> Result<(), CommandError> {
        match self.read(Select::Key(key.clone())).await? {
            Answer::Values { items, .. } if items.is_empty() => Err(CommandError::NoKey(key)),
            Answer::Values { items, .. } => items.iter().try_for_each(|(_, item)| print(&item.value)),
            other => Err(unexpected(&other)),
        }
    }

    async fn get_prefix(&self, prefix: String) -> Result<(), CommandError> {
        match self.read(Select::Prefix(prefix)).await? {
            Answer::Values { items, .. } => items
                .iter()
                .try_for_each(|(key, item)| print(&format!("{key} {} {}", item.version, item.value))),
            other => Err(unexpected(&other)),
        }
    }

    async fn watch(&self, prefix: &str) -> Result<(), CommandError> {
        let client = self.client();
        let mut answers = client.watch(prefix, None).await;
        while let Some(answer) = answers.recv().await {
            match answer {
                Answer::Events { events, .. } => events.iter().try_for_each(print_event)?,
                Answer::Watching { revision } => print(&format!("{revision} watching"))?,
                Answer::Compacted { oldest } => return Err(CommandError::Compacted { oldest }),
                _ => {}
            }
        }
        Err(CommandError::WatchEnded)
    }

    async fn backup(&self, path: &Path) -> Result<(), CommandError> {
        match self.call(Request::Backup).await? {
            Answer::Backup(text) => {
                let failed = |reason: String| CommandError::BackupFile { file: path.into(), reason };
                backup_file(path).save(text.as_bytes()).map_err(|error| failed(error.to_string()))?;
                print(&format!("{}: {} bytes", path.display(), text.len()))
            }
            other => Err(unexpected(&other)),
        }
    }

    async fn status_of(&self, address: &str) -> Result<Status, CommandError> {
        let client = self.client_of(vec![address.into()]);
        let outcome = client.request(ClientRequest::Call(Request::Status), STATUS_TIMEOUT).await;
        match answer_of(outcome)? {
            Answer::Status(status) => Ok(*status),
            other => Err(unexpected(&other)),
        }
    }

    async fn status(&self, json: bool) -> Result<(), CommandError> {
        let mut rows = Vec::new();
        for (name, address) in &self.config.voters {
            let status = self.status_of(&address.to_string()).await;
            rows.push(tables::StatusRow { name: name.clone(), address: *address, status });
        }
        match json {
            true => print(&tables::status_json(&rows))?,
            false => print(&tables::status_table(&rows))?,
        }
        match rows.iter().any(|row| row.status.is_ok()) {
            true => Ok(()),
            false => Err(CommandError::NoVoter),
        }
    }

    /// Prints the members as the leader knows them, or as another voter does if there is no leader.
    async fn members(&self, json: bool) -> Result<(), CommandError> {
        let mut best: Option<Status> = None;
        for (_, address) in &self.config.voters {
            match self.status_of(&address.to_string()).await {
                Ok(status) if status.role == "leader" => {
                    best = Some(status);
                    break;
                }
                Ok(status) if !status.members.is_empty() => best = Some(status),
                _ => {}
            }
        }
        let status = best.ok_or(CommandError::NoVoter)?;
        match json {
            true => print(&serde_json::json!(status.members).to_string()),
            false => print(&tables::members_table(&status.members)),
        }
    }
}
