//! Real voters of the coordination service, each on its own machine. Links that can fail connect them with
//! one another and with their clients.
use crate::faults::link::Network;
use crate::faults::machine::Machine;
use crate::node::Program;
use crate::process::reserve_address;
use crate::TEST_TIMEOUT;
use coordination::client::{ClientRequest, RequestOutcome, SessionConfig};
use coordination::protocol::{Answer, Request, Select, Status};
use coordination::state_machine::{Op, Outcome};
use coordination_server::client::{ClientConfig, ClientHandle};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Command, Output, Stdio};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread;
use std::time::{Duration, Instant};

/// Tick of 25 ms, with which an election takes a third of a second.
pub const TICK: Duration = Duration::from_millis(25);
/// Time to live of sessions: long enough for a busy machine, and short enough to expire within a test.
pub const TTL: Duration = Duration::from_millis(1500);
/// Timeout of a request in a test.
pub const REQUEST_TIMEOUT: Duration = Duration::from_secs(15);

/// Parses the name of the connecting side from its handshake, and the length of that frame in bytes.
pub fn parse_handshake(bytes: &[u8]) -> Option<(String, usize)> {
    let (length, rest) = bytes.split_first_chunk::<4>()?;
    let length = u32::from_le_bytes(*length) as usize;
    let text = std::str::from_utf8(rest.get(..length)?).ok()?;
    let (_, name) = text.split_once("\"name\":\"")?;
    Some((name.split('"').next()?.into(), 4 + length))
}

/// Runs a future, with the local tasks that it spawns, on this thread.
pub fn run<T>(future: impl std::future::Future<Output = T>) -> T {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    tokio::task::LocalSet::new().block_on(&runtime, future)
}

/// A group of voters.
pub struct Voters {
    program: Program,
    tick: Duration,
    /// The links between voters, and between clients and voters.
    pub network: Network,
    /// Folder of their configuration files and disks.
    pub folder: PathBuf,
    /// Names of the voters.
    pub names: Vec<String>,
    /// Addresses at which other voters and clients reach them, through the links.
    pub addrs: Vec<SocketAddr>,
    /// Addresses on which they listen.
    pub listen_addrs: Vec<SocketAddr>,
    /// Machines, one for each voter.
    pub machines: Vec<Machine>,
}

impl Voters {
    /// Starts this many voters with [`TICK`] and links, and waits until all of them vote.
    pub fn start(program: &Program, size: usize) -> Voters {
        let mut voters = Voters::prepare(program, size, TICK);
        voters.begin();
        voters
    }

    /// Writes the configuration of `size` voters, connected by links, without starting them.
    pub fn prepare(program: &Program, size: usize, tick: Duration) -> Voters {
        Voters::with(program, size, tick, true)
    }

    /// Like [`Voters::prepare`], without links, for measurements.
    pub fn direct(program: &Program, size: usize, tick: Duration) -> Voters {
        Voters::with(program, size, tick, false)
    }

    fn with(program: &Program, size: usize, tick: Duration, use_links: bool) -> Voters {
        static COUNT: AtomicUsize = AtomicUsize::new(0);
        let count = COUNT.fetch_add(1, Ordering::SeqCst);
        let folder = program.folder.join(format!("council-{}-{count}", std::process::id()));
        let _ = std::fs::remove_dir_all(&folder);
        std::fs::create_dir_all(&folder).expect("a folder");
        let network = Network::new(parse_handshake);
        let names: Vec<String> = (1..=size).map(|index| format!("c{index}")).collect();
        let listen_addrs: Vec<SocketAddr> = names.iter().map(|_| reserve_address()).collect();
        let client_addr =
            |(name, &to): (&String, &SocketAddr)| if use_links { network.relay(name, to) } else { to };
        let addrs: Vec<SocketAddr> = names.iter().zip(&listen_addrs).map(client_addr).collect();
        let program = program.clone();
        let mut voters =
            Voters { program, tick, network, folder, names, addrs, listen_addrs, machines: Vec::new() };
        for index in 0..size {
            let file = voters.write_config(index, "");
            let program = voters.program.clone();
            let command = move || herondock(&program, &["run"], &file);
            voters.machines.push(Machine::new(voters.folder.join(&voters.names[index])).with(command));
        }
        voters
    }

    /// Creates the cluster, starts all voters and waits until all of them vote.
    pub fn begin(&mut self) {
        self.form_cluster();
        self.machines.iter_mut().for_each(Machine::start);
        let size = self.names.len();
        self.until("all vote", |all| {
            all.iter().any(|s| s.members.iter().filter(|m| m.is_voter).count() == size)
        });
    }

    /// Configuration file of a voter.
    pub fn file(&self, index: usize) -> PathBuf {
        self.folder.join(format!("{}.toml", self.names[index]))
    }

    /// Writes the configuration file of a voter, with `extra_lines` in its `[council]` table.
    pub fn write_config(&self, index: usize, extra_lines: &str) -> PathBuf {
        let (name, tick) = (&self.names[index], self.tick.as_millis());
        let mut text = format!(
            "[council]\nname = \"{name}\"\nfolder = \"{name}\"\nlisten = \"{}\"\ntick = \"{tick}ms\"\n{extra_lines}\n",
            self.listen_addrs[index]
        );
        for (name, addr) in self.names.iter().zip(&self.addrs) {
            text += &format!("[[voter]]\nname = \"{name}\"\naddr = \"{addr}\"\n");
        }
        let file = self.file(index);
        std::fs::write(&file, text).expect("writes");
        file
    }

    /// Creates the cluster with the first voter as its only member.
    pub fn form_cluster(&self) {
        let output = herondock(&self.program, &["form"], &self.file(0)).output().expect("runs");
        assert!(output.status.success(), "{output:?}");
    }

    /// Runs `herondock council` with the configuration of the first voter.
    pub fn command(&self, args: &[&str]) -> Output {
        let mut command = herondock(&self.program, args, &self.file(0));
        command.stdout(Stdio::piped()).output().expect("runs")
    }

    /// The command that runs `herondock council` with the configuration of a voter.
    pub fn process(&self, index: usize, args: &[&str]) -> Command {
        herondock(&self.program, args, &self.file(index))
    }

    /// Addresses at which clients reach the voters.
    pub fn client_addrs(&self) -> Vec<String> {
        self.addrs.iter().map(ToString::to_string).collect()
    }

    /// Status of each voter that answers, requested without links.
    pub fn statuses(&self) -> Vec<Status> {
        let mut statuses = Vec::new();
        for addr in &self.listen_addrs {
            let outcome = run(async {
                let response_timeout = Duration::from_millis(300);
                let (voters, name) = (vec![addr.to_string()], "judge".into());
                let config = ClientConfig { voters, session: None, name, response_timeout };
                ClientHandle::spawn(config)
                    .request(ClientRequest::Call(Request::Status), Duration::from_millis(400))
                    .await
            });
            if let RequestOutcome::Answered(Answer::Status(status)) = outcome {
                statuses.push(*status);
            }
        }
        statuses
    }

    /// Waits until the statuses satisfy a condition.
    pub fn until(&self, expected: &str, condition: impl Fn(&[Status]) -> bool) {
        let started = Instant::now();
        loop {
            let statuses = self.statuses();
            if condition(&statuses) {
                return;
            }
            assert!(started.elapsed() < 2 * TEST_TIMEOUT, "not {expected}: {statuses:#?} {:#?}", self.logs());
            thread::yield_now();
        }
    }

    /// Log lines of each voter.
    pub fn logs(&self) -> Vec<Vec<String>> {
        self.machines.iter().map(|m| m.process(0).log()).collect()
    }

    /// Waits for a leader and returns its index.
    pub fn leader(&self) -> usize {
        let found = std::cell::Cell::new(None);
        self.until("led", |all| {
            let leaders = all.iter().filter(|s| s.role == "leader" && s.leader.as_deref() == Some(&s.name));
            let newest = leaders.max_by_key(|s| s.term);
            found.set(newest.and_then(|s| self.names.iter().position(|n| *n == s.name)));
            found.get().is_some()
        });
        found.get().expect("led")
    }

    /// Waits until there is a leader and all voters have applied the same entries.
    pub fn wait_until_converged(&self) {
        self.until("whole", |all| {
            let has_leader = all.iter().any(|s| s.role == "leader");
            let max_index = all.iter().map(|s| s.applied_index).max();
            has_leader
                && all.len() == self.names.len()
                && all.iter().all(|s| s.storage_error.is_none() && Some(s.applied_index) == max_index)
        });
    }

    /// Configuration of a client with this name, and with a session if `with_session` is set.
    pub fn client(&self, name: &str, with_session: bool) -> ClientConfig {
        client(&self.client_addrs(), name, with_session)
    }

    /// Writes a key with a client of its own.
    pub fn put(&self, key: &str, value: &str) -> RequestOutcome {
        let config = self.client("hand", true);
        let operations = vec![Op::Put { key: key.into(), value: value.into(), ephemeral: false }];
        run(async move { ClientHandle::spawn(config).transact(vec![], operations, REQUEST_TIMEOUT).await })
    }

    /// Reads a key with a client of its own.
    pub fn get(&self, key: &str) -> Option<String> {
        self.read(Select::Key(key.into())).pop().map(|(_, value)| value)
    }

    /// Reads all keys with a prefix, and their values.
    pub fn list(&self, prefix: &str) -> Vec<(String, String)> {
        self.read(Select::Prefix(prefix.into()))
    }

    fn read(&self, select: Select) -> Vec<(String, String)> {
        let config = self.client("eye", false);
        let outcome = run(async move { ClientHandle::spawn(config).read(select, REQUEST_TIMEOUT).await });
        match outcome {
            RequestOutcome::Answered(Answer::Values { items, .. }) => {
                items.into_iter().map(|(key, item)| (key, item.value)).collect()
            }
            other => panic!("{other:?} {:#?}", self.logs()),
        }
    }

    /// Highest number of voting members that a voter reports.
    pub fn voter_count(&self) -> usize {
        self.statuses().iter().map(|s| s.members.iter().filter(|m| m.is_voter).count()).max().unwrap_or(0)
    }
}

fn herondock(program: &Program, args: &[&str], file: &std::path::Path) -> Command {
    let mut command = Command::new(&program.path);
    command.arg("council").args(args).arg(file).stdin(Stdio::null()).stdout(Stdio::null());
    command
}

/// Configuration of a client of the voters at these addresses, with a session if `with_session` is set.
pub fn client(voters: &[String], name: &str, with_session: bool) -> ClientConfig {
    let session = with_session.then(|| SessionConfig { name: name.into(), ttl: TTL, take_over: true });
    ClientConfig {
        voters: voters.to_vec(),
        session,
        name: name.into(),
        response_timeout: Duration::from_millis(700),
    }
}

/// Whether a transaction was committed.
pub fn is_committed(outcome: &RequestOutcome) -> bool {
    matches!(outcome, RequestOutcome::Answered(Answer::Outcome(Outcome::Committed(_))))
}
