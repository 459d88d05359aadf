//! A council of real voters, each a machine of its own, that its clients and the voters themselves reach over links.
use crate::faults::link::Net;
use crate::faults::machine::Machine;
use crate::node::Program;
use crate::process::reserve;
use crate::PATIENCE;
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

/// A short tick, so that elections take a third of a second.
pub const TICK: Duration = Duration::from_millis(25);
/// Long enough for a busy machine, and short enough to be met.
pub const TTL: Duration = Duration::from_millis(1500);
/// How long a client's ask may take in a test.
pub const REQUEST_TIMEOUT: Duration = Duration::from_secs(15);

/// Who connects, by the first frame of a connection to a voter, and how many bytes that is.
pub fn who(first: &[u8]) -> Option<(String, usize)> {
    let (length, rest) = first.split_first_chunk::<4>()?;
    let length = u32::from_le_bytes(*length) as usize;
    let text = std::str::from_utf8(rest.get(..length)?).ok()?;
    let (_, name) = text.split_once("\"name\":\"")?;
    Some((name.split('"').next()?.into(), 4 + length))
}

/// Runs what waits, with the tasks that it begins, on this thread.
pub fn run<T>(future: impl std::future::Future<Output = T>) -> T {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    tokio::task::LocalSet::new().block_on(&runtime, future)
}

/// Voters.
pub struct Voters {
    program: Program,
    tick: Duration,
    /// The links between them, and from their clients to them.
    pub net: Net,
    /// Where their files and disks are.
    pub folder: PathBuf,
    /// What they are called.
    pub names: Vec<String>,
    /// Where the others and the clients reach them.
    pub addrs: Vec<SocketAddr>,
    /// Where they listen.
    pub listens: Vec<SocketAddr>,
    /// What they run on, one voter each.
    pub machines: Vec<Machine>,
}

impl Voters {
    /// So many, formed and joined, with a short tick and links between them.
    pub fn start(program: &Program, size: usize) -> Voters {
        let mut voters = Voters::prepare(program, size, TICK);
        voters.begin();
        voters
    }

    /// The files of so many, reached over links.
    pub fn prepare(program: &Program, size: usize, tick: Duration) -> Voters {
        Voters::with(program, size, tick, true)
    }

    /// The same without links: for measurements.
    pub fn direct(program: &Program, size: usize, tick: Duration) -> Voters {
        Voters::with(program, size, tick, false)
    }

    fn with(program: &Program, size: usize, tick: Duration, linked: bool) -> Voters {
        static COUNT: AtomicUsize = AtomicUsize::new(0);
        let count = COUNT.fetch_add(1, Ordering::SeqCst);
        let folder = program.folder.join(format!("council-{}-{count}", std::process::id()));
        let _ = std::fs::remove_dir_all(&folder);
        std::fs::create_dir_all(&folder).expect("a folder");
        let net = Net::new(who);
        let names: Vec<String> = (1..=size).map(|k| format!("c{k}")).collect();
        let listens: Vec<SocketAddr> = names.iter().map(|_| reserve()).collect();
        let reached = |(name, &to): (&String, &SocketAddr)| if linked { net.relay(name, to) } else { to };
        let addrs: Vec<SocketAddr> = names.iter().zip(&listens).map(reached).collect();
        let program = program.clone();
        let mut voters = Voters { program, tick, net, folder, names, addrs, listens, machines: Vec::new() };
        for k in 0..size {
            let file = voters.write_file(k, "");
            let program = voters.program.clone();
            let command = move || herondock(&program, &["run"], &file);
            voters.machines.push(Machine::new(voters.folder.join(&voters.names[k])).with(command));
        }
        voters
    }

    /// Forms the council and waits until all vote.
    pub fn begin(&mut self) {
        self.form();
        self.machines.iter_mut().for_each(Machine::start);
        let size = self.names.len();
        self.until("all vote", |all| {
            all.iter().any(|s| s.members.iter().filter(|m| m.is_voter).count() == size)
        });
    }

    /// The file of a voter.
    pub fn file(&self, k: usize) -> PathBuf {
        self.folder.join(format!("{}.toml", self.names[k]))
    }

    /// Writes the file of a voter, with these lines in its `[council]`.
    pub fn write_file(&self, k: usize, more: &str) -> PathBuf {
        let (name, tick) = (&self.names[k], self.tick.as_millis());
        let mut text = format!(
            "[council]\nname = \"{name}\"\nfolder = \"{name}\"\nlisten = \"{}\"\ntick = \"{tick}ms\"\n{more}\n",
            self.listens[k]
        );
        for (name, addr) in self.names.iter().zip(&self.addrs) {
            text += &format!("[[voter]]\nname = \"{name}\"\naddr = \"{addr}\"\n");
        }
        let file = self.file(k);
        std::fs::write(&file, text).expect("writes");
        file
    }

    /// Makes the first the council's first voter.
    pub fn form(&self) {
        let output = herondock(&self.program, &["form"], &self.file(0)).output().expect("runs");
        assert!(output.status.success(), "{output:?}");
    }

    /// A command of `herondock council` with the first's file.
    pub fn command(&self, args: &[&str]) -> Output {
        let mut command = herondock(&self.program, args, &self.file(0));
        command.stdout(Stdio::piped()).output().expect("runs")
    }

    /// The process of a voter with further arguments, not started.
    pub fn process(&self, k: usize, args: &[&str]) -> Command {
        herondock(&self.program, args, &self.file(k))
    }

    /// Where clients reach them.
    pub fn reached(&self) -> Vec<String> {
        self.addrs.iter().map(ToString::to_string).collect()
    }

    /// How those that answer see the council, asked without links.
    pub fn statuses(&self) -> Vec<Status> {
        let mut all = Vec::new();
        for addr in &self.listens {
            let asked = run(async {
                let patience = Duration::from_millis(300);
                let (voters, name) = (vec![addr.to_string()], "judge".into());
                let settings = ClientConfig { voters, session: None, name, response_timeout: patience };
                ClientHandle::spawn(settings)
                    .request(ClientRequest::Call(Request::Status), Duration::from_millis(400))
                    .await
            });
            if let RequestOutcome::Answered(Answer::Status(status)) = asked {
                all.push(*status);
            }
        }
        all
    }

    /// Waits until those that answer see the council so.
    pub fn until(&self, what: &str, wanted: impl Fn(&[Status]) -> bool) {
        let started = Instant::now();
        loop {
            let all = self.statuses();
            if wanted(&all) {
                return;
            }
            assert!(started.elapsed() < 2 * PATIENCE, "not {what}: {all:#?} {:#?}", self.logs());
            thread::yield_now();
        }
    }

    /// What each has logged.
    pub fn logs(&self) -> Vec<Vec<String>> {
        self.machines.iter().map(|m| m.process(0).log()).collect()
    }

    /// The place of the one that leads.
    pub fn leader(&self) -> usize {
        let found = std::cell::Cell::new(None);
        self.until("led", |all| {
            let leaders = all.iter().filter(|s| s.role == "leader" && s.leader.as_deref() == Some(&s.name));
            let last = leaders.max_by_key(|s| s.term);
            found.set(last.and_then(|s| self.names.iter().position(|n| *n == s.name)));
            found.get().is_some()
        });
        found.get().expect("led")
    }

    /// Waits until all of these have carried out the same, with a leader.
    pub fn whole(&self) {
        self.until("whole", |all| {
            let led = all.iter().any(|s| s.role == "leader");
            let last = all.iter().map(|s| s.applied_index).max();
            led && all.len() == self.names.len()
                && all.iter().all(|s| s.storage_error.is_none() && Some(s.applied_index) == last)
        });
    }

    /// A client with this name; with a session, if `held`.
    pub fn client(&self, name: &str, held: bool) -> ClientConfig {
        client(&self.reached(), name, held)
    }

    /// One write by a client of its own.
    pub fn put(&self, key: &str, value: &str) -> RequestOutcome {
        let settings = self.client("hand", true);
        let then = vec![Op::Put { key: key.into(), value: value.into(), ephemeral: false }];
        run(async move { ClientHandle::spawn(settings).transact(vec![], then, REQUEST_TIMEOUT).await })
    }

    /// One read by a client of its own.
    pub fn get(&self, key: &str) -> Option<String> {
        self.read(Select::Key(key.into())).pop().map(|(_, value)| value)
    }

    /// All keys that begin so, with their values.
    pub fn under(&self, prefix: &str) -> Vec<(String, String)> {
        self.read(Select::Prefix(prefix.into()))
    }

    fn read(&self, select: Select) -> Vec<(String, String)> {
        let settings = self.client("eye", false);
        let told = run(async move { ClientHandle::spawn(settings).read(select, REQUEST_TIMEOUT).await });
        match told {
            RequestOutcome::Answered(Answer::Values { items, .. }) => {
                items.into_iter().map(|(key, item)| (key, item.value)).collect()
            }
            other => panic!("{other:?} {:#?}", self.logs()),
        }
    }

    /// How many vote, by those that answer.
    pub fn members(&self) -> usize {
        self.statuses().iter().map(|s| s.members.iter().filter(|m| m.is_voter).count()).max().unwrap_or(0)
    }
}

fn herondock(program: &Program, args: &[&str], file: &std::path::Path) -> Command {
    let mut command = Command::new(&program.path);
    command.arg("council").args(args).arg(file).stdin(Stdio::null()).stdout(Stdio::null());
    command
}

/// A client of the voters that are reached at these addresses; with a session, if `held`.
pub fn client(voters: &[String], name: &str, held: bool) -> ClientConfig {
    let session = held.then(|| SessionConfig { name: name.into(), ttl: TTL, take_over: true });
    ClientConfig {
        voters: voters.to_vec(),
        session,
        name: name.into(),
        response_timeout: Duration::from_millis(700),
    }
}

/// Whether this says that a write was made.
pub fn written(told: &RequestOutcome) -> bool {
    matches!(told, RequestOutcome::Answered(Answer::Outcome(Outcome::Committed(_))))
}
