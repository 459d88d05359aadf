//! The command line: what each command is called and takes, and what it ends with (0, 1 for a failure, 2 for wrong
//! usage).
use crate::endpoint_sources::inspect;
use crate::routing::show as routes;
use crate::{check, demo, node_config, run, supervise};
use clap::{Args, Parser, Subcommand};
use config::supervisor as settings;
use coordination_server::CrashPoint;
use std::io::Write;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::time::Duration;
use tracing::info;

/// A load balancer for services that call services.
#[derive(Parser)]
#[command(version, about)]
struct Line {
    /// What the log tells: info, or debug as well: each call to discovery, each choice of an upstream and each first
    /// byte, one line each
    #[arg(long, global = true, value_name = "LEVEL", default_value = "info", value_parser = level)]
    log: tracing::Level,
    #[command(subcommand)]
    command: Option<Command>,
}

fn level(text: &str) -> Result<tracing::Level, String> {
    match text {
        "info" => Ok(tracing::Level::INFO),
        "debug" => Ok(tracing::Level::DEBUG),
        _ => Err("is none of info, debug".into()),
    }
}

#[derive(Subcommand)]
enum Command {
    /// Run one balancer, with the platform's configuration in the file that NODE_CONFIG names (the default)
    Run {
        /// The operator's file (TOML); see deploy/herondock.example.toml
        #[arg(long, value_name = "FILE")]
        operator: Option<PathBuf>,
        /// The pid file, in place of daemon.pid_file
        #[arg(long, value_name = "FILE")]
        pid_file: Option<PathBuf>,
        /// The Unix socket for passing the listener on, in place of daemon.takeover
        #[arg(long, value_name = "PATH")]
        takeover: Option<PathBuf>,
        /// End when standard input does: for programs that start instances and must not leave one behind
        #[arg(long, hide = true)]
        lifeline: bool,
    },
    /// Show the balancer at work: three instances between stand-ins, with trouble; needs no configuration
    Demo {
        /// How long the traffic lasts
        #[arg(long, value_name = "N", default_value_t = 20, value_parser = clap::value_parser!(u64).range(3..=600))]
        seconds: u64,
        /// Print the report as JSON, and nothing else
        #[arg(long)]
        json: bool,
    },
    /// Supervise many instances on one machine, or talk to their supervisor
    Fleet(Fleet),
    /// Run a voter of the council, or talk to the council; see deploy/council.example.toml
    #[command(subcommand)]
    Council(Council),
    /// What of the fleet may be out at one time: budgets, who is out and why; see deploy/outages.example.toml
    #[command(subcommand)]
    Outage(Outage),
    /// A new build over the whole fleet: waves, gates, a halt and a way back; see deploy/release.example.toml
    #[command(subcommand)]
    Release(Release),
    /// Drain an upstream at all balancers, where budgets allow it
    Drain(Drain),
    /// End the drain of an upstream; it begins cold
    Undrain {
        /// The file of outages
        file: PathBuf,
        /// POOL/UPSTREAM, or the upstream alone
        unit: String,
    },
    /// Show the drains, and who has not confirmed them
    Drains {
        /// The file of outages
        file: PathBuf,
        /// As JSON
        #[arg(long)]
        json: bool,
    },
    /// Show the members of a running instance, or what its sources say
    Members {
        /// The operator's file, which names the instance's Unix socket (daemon.takeover) and its sources
        #[arg(long, value_name = "FILE")]
        operator: Option<PathBuf>,
        /// The instance's Unix socket, in place of daemon.takeover
        #[arg(long, value_name = "PATH")]
        takeover: Option<PathBuf>,
        /// Ask the sources themselves, with the platform's configuration in the file that NODE_CONFIG names
        #[arg(long)]
        once: bool,
        /// As JSON
        #[arg(long)]
        json: bool,
    },
    /// Show what a routing table does, with the names of the platform's configuration that NODE_CONFIG names
    #[command(subcommand)]
    Routes(Routes),
    /// Check operator's files (TOML) and platform configurations (.json); opens no socket
    Check {
        /// Files to check
        #[arg(required = true, value_name = "FILE")]
        files: Vec<PathBuf>,
    },
}

#[derive(Subcommand)]
enum Routes {
    /// Show the way that a request takes, and why
    Explain {
        /// The operator's file, which names the table
        #[arg(long, value_name = "FILE")]
        operator: PathBuf,
        /// Its club; the first one if it is not given
        #[arg(long)]
        club: Option<String>,
        /// Its class; the first one if it is not given
        #[arg(long)]
        class: Option<String>,
        /// Its path, with a query or without
        #[arg(long, default_value = "/api")]
        path: String,
        /// Its host
        #[arg(long, default_value = "")]
        host: String,
        /// Its method
        #[arg(long, default_value = "GET")]
        method: String,
        /// The front that it comes in by
        #[arg(long, default_value = "http")]
        front: String,
        /// Its key
        #[arg(long)]
        key: Option<String>,
        /// A header of it, as often as there are some
        #[arg(long, value_name = "NAME=VALUE", value_parser = header)]
        header: Vec<(String, String)>,
    },
    /// Show who moves between the tables of two operator's files, and which expectations change their answer
    Diff {
        /// The operator's file with the table in use
        old: PathBuf,
        /// The one with the table to come
        new: PathBuf,
    },
}

fn header(text: &str) -> Result<(String, String), String> {
    let (name, value) = text.split_once('=').ok_or("is no NAME=VALUE")?;
    Ok((name.to_ascii_lowercase(), value.into()))
}

impl Routes {
    fn run(self) -> Result<(), String> {
        let text = match self {
            Routes::Explain { operator, club, class, path, host, method, front, key, header } => {
                let described =
                    routes::Described { club, class, path, host, method, front, key, headers: header };
                routes::explain(&operator, &described)?
            }
            Routes::Diff { old, new } => routes::difference(&old, &new)?,
        };
        std::io::stdout().write_all(text.as_bytes()).map_err(|e| format!("standard output: {e}"))
    }
}

#[derive(Subcommand)]
enum Council {
    /// Run a voter
    Run {
        /// The voter's file
        file: PathBuf,
        /// For tests: the step of its disk at which it is killed
        #[arg(long, hide = true, value_name = "KIND:COUNT")]
        halt_at: Option<CrashPoint>,
    },
    /// Form a new council, whose first voter is the one of this file; the others join once they run
    Form {
        /// The voter's file
        file: PathBuf,
    },
    /// Show how each voter sees the council
    Status {
        /// The voter's file
        file: PathBuf,
        /// As JSON
        #[arg(long)]
        json: bool,
    },
    /// Show the members, as the leader knows them
    Members {
        /// The voter's file
        file: PathBuf,
        /// As JSON
        #[arg(long)]
        json: bool,
    },
    /// Read a key of the record, or all keys that begin so, with their versions
    Get {
        /// Which
        #[arg(long)]
        key: String,
        /// All that begin so
        #[arg(long)]
        under: bool,
        /// The voter's file
        file: PathBuf,
    },
    /// Show changes of the record as they happen
    Watch {
        /// Of keys that begin so
        #[arg(long, default_value = "")]
        under: String,
        /// The voter's file
        file: PathBuf,
    },
    /// Save the record into a file
    Backup {
        /// Which
        #[arg(long, value_name = "PATH")]
        to: PathBuf,
        /// The voter's file
        file: PathBuf,
    },
    /// Form a new council with the record of a backup, when the majority of the old one is lost for good
    Restore {
        /// The backup
        #[arg(long, value_name = "PATH")]
        from: PathBuf,
        /// The voter's file
        file: PathBuf,
    },
    /// Remove a voter, for instance one whose disk is lost; with an empty folder it joins anew
    Remove {
        /// Its name
        #[arg(long)]
        name: String,
        /// The voter's file
        file: PathBuf,
    },
    /// Have another voter lead
    Transfer {
        /// Its name
        #[arg(long)]
        name: String,
        /// The voter's file
        file: PathBuf,
    },
}

impl Council {
    fn run(self) -> Result<(), String> {
        use coordination_server::command::{run, Command};
        let (file, command) = match self {
            Council::Run { file, halt_at } => {
                return coordination_server::run(file, coordination_server::ServerOptions { halt: halt_at });
            }
            Council::Form { file } => (file, Command::Form),
            Council::Status { file, json } => (file, Command::Status { json }),
            Council::Members { file, json } => (file, Command::Members { json }),
            Council::Get { key, under, file } => (file, Command::Get { key, under }),
            Council::Watch { under, file } => (file, Command::Watch { under }),
            Council::Backup { to, file } => (file, Command::Backup { to }),
            Council::Restore { from, file } => (file, Command::Restore { from }),
            Council::Remove { name, file } => (file, Command::Remove { name }),
            Council::Transfer { name, file } => (file, Command::Transfer { name }),
        };
        run(&file, command)
    }
}

#[derive(Subcommand)]
enum Outage {
    /// Make the file's budgets those of the fleet
    Apply {
        /// The file of outages
        file: PathBuf,
    },
    /// Show budgets, who is out and why, and what waits for what
    Status {
        /// The file of outages
        file: PathBuf,
        /// As JSON
        #[arg(long)]
        json: bool,
    },
    /// Forget a balancer that the fleet has no more, when its supervisor is gone for good
    Forget {
        /// The file of outages
        file: PathBuf,
        /// The balancer's name
        unit: String,
    },
}

#[derive(Subcommand)]
enum Release {
    /// Begin a release
    Start {
        /// The release's file
        file: PathBuf,
    },
    /// Show how far it is, what it waits for, and how each balancer does
    Status {
        /// The release's file
        file: PathBuf,
        /// As JSON
        #[arg(long)]
        json: bool,
    },
    /// Move nothing any more; what runs stays as it is
    Halt {
        /// The release's file
        file: PathBuf,
        /// Why
        #[arg(long, default_value = "halted by an operator")]
        why: String,
    },
    /// Go on from where it was halted
    Resume {
        /// The release's file
        file: PathBuf,
    },
    /// Return all to the old build
    Back {
        /// The release's file
        file: PathBuf,
        /// Why
        #[arg(long, default_value = "taken back by an operator")]
        why: String,
    },
}

impl Release {
    fn run(self) -> Result<(), String> {
        use rollout::OperatorCommand;
        use rollout_agent::command::{run, Command};
        let (file, command) = match self {
            Release::Start { file } => (file, Command::Start),
            Release::Status { file, json } => (file, Command::Status { json }),
            Release::Halt { file, why } => (file, Command::Operator(OperatorCommand::Pause(why))),
            Release::Resume { file } => (file, Command::Operator(OperatorCommand::Resume)),
            Release::Back { file, why } => (file, Command::Operator(OperatorCommand::RollBack(why))),
        };
        run(&config::rollout::read(&file)?, command).map_err(|e| e.to_string())
    }
}

#[derive(Args)]
struct Drain {
    /// The file of outages
    file: PathBuf,
    /// POOL/UPSTREAM, or the upstream alone
    unit: String,
    /// It ends by itself after this, such as 10m
    #[arg(long = "for", value_name = "TIME", value_parser = span)]
    ends: Option<Duration>,
    /// Why
    #[arg(long, default_value = "")]
    why: String,
    /// Wait for so long where budgets do not allow it now, in place of being refused
    #[arg(long, value_name = "TIME", value_parser = span)]
    wait: Option<Duration>,
    /// Wait for so long until every balancer has confirmed that nothing is in flight there
    #[arg(long, value_name = "TIME", value_parser = span)]
    until_drained: Option<Duration>,
    /// A reason to go over what budgets allow; floors hold all the same
    #[arg(long = "override", value_name = "REASON")]
    overrides: Option<String>,
}

fn span(text: &str) -> Result<Duration, String> {
    config::duration(text)
}

fn outage(file: &Path, command: disruption_agent::command::Command) -> Result<(), String> {
    disruption_agent::command::run(&config::disruption::read(file)?, command).map_err(|e| e.to_string())
}

impl Outage {
    fn run(self) -> Result<(), String> {
        use disruption_agent::command::Command;
        match self {
            Outage::Apply { file } => outage(&file, Command::Apply),
            Outage::Status { file, json } => outage(&file, Command::Status { json }),
            Outage::Forget { file, unit } => outage(&file, Command::Forget { balancer: unit }),
        }
    }
}

impl Drain {
    fn run(self) -> Result<(), String> {
        let Drain { file, unit, ends, why, wait, until_drained, overrides } = self;
        let for_ms = ends.map(|e| u64::try_from(e.as_millis()).unwrap_or(u64::MAX));
        outage(
            &file,
            disruption_agent::command::Command::Drain(disruption_agent::command::DrainOptions {
                endpoint: unit,
                duration_ms: for_ms,
                reason: why,
                wait,
                until_drained,
                override_reason: overrides,
            }),
        )
    }
}

#[derive(Args)]
#[command(args_conflicts_with_subcommands = true, arg_required_else_help = true)]
struct Fleet {
    /// Run a supervisor of this fleet; see deploy/fleet.example.toml
    file: Option<PathBuf>,
    #[command(subcommand)]
    command: Option<FleetCommand>,
}

#[derive(Subcommand)]
enum FleetCommand {
    /// Show the instances
    Status {
        /// The fleet's file
        file: PathBuf,
        /// As JSON
        #[arg(long)]
        json: bool,
    },
    /// End and start each instance in turn
    Restart {
        /// The fleet's file
        file: PathBuf,
        /// A reason to go over what budgets of outages allow; floors hold all the same
        #[arg(long = "override", value_name = "REASON")]
        overrides: Option<String>,
    },
    /// Let a new process of each instance in turn take over from the old one
    TakeOver {
        /// The fleet's file
        file: PathBuf,
        /// A reason to go over what budgets of outages allow; floors hold all the same
        #[arg(long = "override", value_name = "REASON")]
        overrides: Option<String>,
    },
    /// Have each instance in turn read its files again
    Reload {
        /// The fleet's file
        file: PathBuf,
        /// A reason to go over what budgets of outages allow; floors hold all the same
        #[arg(long = "override", value_name = "REASON")]
        overrides: Option<String>,
    },
    /// Start again what was given up
    Start {
        /// The fleet's file
        file: PathBuf,
    },
    /// End all instances, and the supervisor
    Stop {
        /// The fleet's file
        file: PathBuf,
    },
}

impl Fleet {
    fn run(self) -> Result<(), String> {
        let roll = |file: PathBuf, command: &str| {
            let print = |line: &str| drop(writeln!(std::io::stdout(), "{line}"));
            supervise::ask(&settings::read(&file)?, command, print)
        };
        let over = |command: &str, why: Option<String>| match why {
            Some(why) => format!("{command} override {}", why.replace(['\n', '\r'], " ")),
            None => command.into(),
        };
        match (self.file, self.command) {
            (_, Some(FleetCommand::Status { file, json })) => {
                let text = supervise::status(&settings::read(&file)?, json)?;
                std::io::stdout().write_all(text.as_bytes()).map_err(|e| format!("standard output: {e}"))
            }
            (_, Some(FleetCommand::Restart { file, overrides })) => roll(file, &over("restart", overrides)),
            (_, Some(FleetCommand::TakeOver { file, overrides })) => {
                roll(file, &over("take-over", overrides))
            }
            (_, Some(FleetCommand::Reload { file, overrides })) => roll(file, &over("reload", overrides)),
            (_, Some(FleetCommand::Start { file })) => roll(file, "start"),
            (_, Some(FleetCommand::Stop { file })) => roll(file, "stop"),
            (Some(file), None) => supervise::run(&settings::read(&file)?),
            // The command line asks for one of the two.
            (None, None) => Ok(()),
        }
    }
}

fn members(
    operator: Option<PathBuf>,
    takeover: Option<PathBuf>,
    once: bool,
    json: bool,
) -> Result<(), String> {
    let operator = run::read_operator(operator.as_deref())?;
    let view =
        match takeover.or_else(|| operator.daemon.takeover.clone()) {
            _ if once => inspect::of_sources(node_config::load()?, &operator)?,
            Some(path) => inspect::of_instance(&path)?,
            None => return Err(
                "members: name the instance's socket with --takeover or in --operator, or ask with --once"
                    .into(),
            ),
        };
    let text = if json { format!("{view}\n") } else { inspect::table(&view) };
    std::io::stdout().write_all(text.as_bytes()).map_err(|e| format!("standard output: {e}"))
}

/// Carries out what the command line asks for.
pub fn main() -> ExitCode {
    // Wrong usage ends in here with 2, help and version with 0.
    let line = Line::parse();
    daemon::log::begin(line.log);
    let done = match line.command.unwrap_or(Command::Run {
        operator: None,
        pid_file: None,
        takeover: None,
        lifeline: false,
    }) {
        Command::Run { operator, pid_file, takeover, lifeline } => {
            if lifeline {
                run::end_with_input();
            }
            run::run(run::Options { operator, pid_file, takeover })
        }
        Command::Fleet(fleet) => fleet.run(),
        Command::Council(council) => council.run(),
        Command::Outage(outage) => outage.run(),
        Command::Release(release) => release.run(),
        Command::Drain(drain) => drain.run(),
        Command::Undrain { file, unit } => {
            outage(&file, disruption_agent::command::Command::Undrain { endpoint: unit })
        }
        Command::Drains { file, json } => outage(&file, disruption_agent::command::Command::Drains { json }),
        Command::Members { operator, takeover, once, json } => members(operator, takeover, once, json),
        Command::Demo { seconds, json } => demo::demo(&demo::Options { seconds, json }),
        Command::Routes(routes) => routes.run(),
        Command::Check { files } => check::check(&files),
    };
    match done {
        Ok(()) => ExitCode::SUCCESS,
        Err(message) => {
            info!("herondock: {message}");
            ExitCode::FAILURE
        }
    }
}
