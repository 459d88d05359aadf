//! A voter's process.
use crate::client::{self, ClientHandle};
use crate::client_connections::{ClientConnections, ConnectionEvent};
use crate::crash_points::CrashPoint;
use crate::journal_writer::{self, Done, Job, OnDisk};
use crate::peer_connections::PeerConnections;
use crate::transport::Listener;
use crate::{bounds, random_id};
use config::coordination::CoordinationConfig as File;
use coordination::client::{ClientRequest, RequestOutcome as Answered};
use coordination::protocol::{Answer, Handshake, Member, Reply, Request, Status, PROTOCOL_VERSION};
use coordination::voter::{
    self, Action, Event, Identity, InjectedDefects, PersistedState, Voter, VoterConfig, VoterEvent,
};
use daemon::pid_file::PidFile;
use daemon::service_manager::ServiceManager;
use daemon::signals::{ProcessSignal, Signals};
use std::collections::BTreeMap;
use std::path::{Path, PathBuf};
use std::sync::mpsc::SyncSender;
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::time::{interval, sleep, Instant, MissedTickBehavior};
use tracing::info;

/// How often a full disk is looked at again.
const DISK_TRY: Duration = Duration::from_secs(1);
/// How often a process with an empty disk asks to join.
const JOIN_PAUSE: Duration = Duration::from_millis(300);
/// How long the end waits for another voter to lead.
const HAND_OVER: Duration = Duration::from_millis(700);
/// How long a voter knows no leader before it asks whether it is still a member: who is removed is told of nothing more.
const LEADERLESS: Duration = Duration::from_secs(2);
/// Unreachable voters that may wait to be told of.
const UNREACHABLE: usize = 64;

/// What the command line says.
#[derive(Default)]
pub struct ServerOptions {
    /// For tests: the step of its disk at which it is killed.
    pub halt: Option<CrashPoint>,
}

/// The lock of a voter's folder.
///
/// # Errors
/// Another process has it.
pub fn lock(folder: &Path) -> Result<PidFile, String> {
    let named = |e: std::io::Error| format!("{}: {e}", folder.display());
    storage::files::Folder::new(folder).map_err(named)?;
    PidFile::acquire(&folder.join("lock")).map_err(|e| e.to_string())
}

/// Runs a voter until it is told to end.
///
/// # Errors
/// One line: the folder is another's, its disk is damaged, the address can't be listened on.
pub fn run(path: PathBuf, options: ServerOptions) -> Result<(), String> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime.map_err(|e| e.to_string())?;
    tokio::task::LocalSet::new().block_on(&runtime, serve(path, options))
}

/// Makes a council whose only voter is this one; the others join it.
///
/// # Errors
/// The folder holds a voter already.
pub fn bootstrap(file: &File, backup: Option<&[u8]>) -> Result<u64, String> {
    let _lock = lock(&file.folder)?;
    let (mut journal, frames) = journal_writer::open(&file.folder, None)?;
    if !frames.is_empty() {
        return Err(format!("{}: holds a voter already", file.folder.display()));
    }
    let cluster = random_id();
    let first = Member {
        id: random_id(),
        name: file.name.clone(),
        addr: file.addr().to_string(),
        ..Member::default()
    };
    // More changes than anybody makes between a backup and the loss behind it: no number is given twice.
    const GAP: u64 = 1 << 40;
    let frames = match backup {
        None => voter::bootstrap(cluster, &first, bounds()),
        Some(backup) => voter::restore(cluster, &first, backup, GAP).map_err(|e| e.to_string())?,
    };
    journal.replace(&frames).map_err(|e| format!("{}: {e}", file.folder.display()))?;
    Ok(cluster)
}

fn hello(file: &File, own: &Identity) -> Handshake {
    Handshake {
        version: PROTOCOL_VERSION,
        cluster: own.cluster,
        name: file.name.clone(),
        voter: Some(own.voter),
        addr: Some(file.addr().to_string()),
        to: None,
    }
}

async fn serve(path: PathBuf, options: ServerOptions) -> Result<(), String> {
    let mut signals = Signals::install().map_err(|e| e.to_string())?;
    let file = config::coordination::read(&path)?;
    let manager = ServiceManager::from_env();
    let lock = lock(&file.folder)?;
    if let Some(why) = lock.write_error() {
        info!("council: {why}");
    }
    let (mut journal, mut frames) = journal_writer::open(&file.folder, options.halt)?;
    let door = Listener::open(file.listen()).await.map_err(|e| format!("listen: {}: {e}", file.listen()))?;
    let mut kept = PersistedState::read(&frames).map_err(|e| format!("{}: {e}", file.folder.display()))?;
    let own = match kept.identity.clone() {
        Some(own) if own.name != file.name => {
            return Err(format!(
                "{}: is the folder of {}, and this is {}",
                file.folder.display(),
                own.name,
                file.name
            ));
        }
        Some(own) => own,
        None => {
            let own = Identity { cluster: None, voter: random_id(), name: file.name.clone() };
            write_identity(&mut journal, &own, &file)?;
            own
        }
    };
    let (callers, mut coming) = ClientConnections::new(hello(&file, &own), file.clients);
    tokio::task::spawn_local(callers.clone().run(door));
    info!("council: {} listens on {}", file.name, file.listen());
    let mut met = BTreeMap::new();
    let own = match own.cluster {
        Some(_) => own,
        None => {
            info!("council: {} has an empty folder, and asks to join", file.name);
            let joining = join(&file, own.voter);
            tokio::pin!(joining);
            let cluster = loop {
                tokio::select! {
                    cluster = &mut joining => break cluster,
                    told = signals.next() => if told == ProcessSignal::Stop { return Ok(()) },
                    Some(came) = coming.recv() => match came {
                        // The leader comes as soon as it is agreed, which may be before this one hears of it.
                        ConnectionEvent::Voter(id, addr) => meets(&mut met, id, addr),
                        came => unjoined(&callers, &file, &own, came),
                    },
                }
            };
            let own = Identity { cluster: Some(cluster), ..own };
            write_identity(&mut journal, &own, &file)?;
            info!("council: {} has joined council {cluster:016x}", file.name);
            frames = vec![voter::encode_identity(&own)];
            kept = PersistedState::read(&frames).map_err(|e| e.to_string())?;
            callers.says(hello(&file, &own));
            own
        }
    };
    let settings = VoterConfig {
        expected_members: file.voters.iter().map(|(name, _)| name.clone()).collect(),
        tick: file.tick,
        seed: random_id(),
        log_entries: voter::LOG_ENTRIES,
        defects: InjectedDefects::default(),
    };
    let start = Instant::now();
    let voter =
        Voter::new(Duration::ZERO, settings, kept).map_err(|e| format!("{}: {e}", file.folder.display()))?;
    let (done, saved) = mpsc::unbounded_channel();
    let jobs = journal_writer::begin(journal, done).map_err(|e| e.to_string())?;
    let (unreachable, lost) = mpsc::channel(UNREACHABLE);
    let peers = PeerConnections::new(hello(&file, &own), unreachable);
    let node = Node {
        path,
        file,
        manager,
        start,
        voter,
        jobs,
        peers,
        callers,
        met,
        removed: false,
        leaderless: None,
    };
    node.live(signals, coming, saved, lost).await
}

fn write_identity(journal: &mut OnDisk, own: &Identity, file: &File) -> Result<(), String> {
    let fault = |e: std::io::Error| format!("{}: {e}", file.folder.display());
    journal.replace(&[voter::encode_identity(own)]).map_err(fault)
}

/// Asks the other voters until one says that this process may join.
async fn join(file: &File, voter: u64) -> u64 {
    let others: Vec<String> =
        file.voters.iter().filter(|(name, _)| *name != file.name).map(|(_, addr)| addr.to_string()).collect();
    let council = ClientHandle::spawn(client::ClientConfig {
        voters: others,
        session: None,
        name: file.name.clone(),
        response_timeout: file.tick * 20,
    });
    let mut said = None;
    loop {
        let request = Request::Join { name: file.name.clone(), addr: file.addr().to_string(), voter };
        let why = match council.request(ClientRequest::Call(request), Duration::from_secs(5)).await {
            Answered::Answered(Answer::Joined { cluster }) => return cluster,
            Answered::Answered(Answer::Failed(why)) => why,
            Answered::Answered(other) => format!("{other:?}"),
            Answered::Indeterminate(why) | Answered::NotExecuted(why) => why,
        };
        if said.as_ref() != Some(&why) {
            info!("council: {} has not joined: {why}", file.name);
            said = Some(why);
        }
        sleep(JOIN_PAUSE).await;
    }
}

/// Addresses that are remembered of voters that came here.
const MET_MOST: usize = 64;

fn meets(met: &mut BTreeMap<u64, String>, id: u64, addr: Option<String>) {
    if let (Some(addr), true) = (addr, met.len() < MET_MOST || met.contains_key(&id)) {
        met.insert(id, addr);
    }
}

/// What a process that has not joined answers.
fn unjoined(callers: &ClientConnections, file: &File, own: &Identity, came: ConnectionEvent) {
    let ConnectionEvent::Call(client, call) = came else { return };
    let answer = match call.request {
        Request::Status => {
            let (name, role) = (file.name.clone(), "unjoined".to_string());
            Answer::Status(Box::new(Status { name, role, voter: own.voter, ..Status::default() }))
        }
        _ => Answer::NotLeader { leader: None },
    };
    callers.reply(client, Reply { id: call.id, answer });
}

struct Node {
    path: PathBuf,
    file: File,
    manager: ServiceManager,
    start: Instant,
    voter: Voter,
    jobs: SyncSender<Job>,
    peers: PeerConnections,
    callers: ClientConnections,
    /// Addresses of voters that came here, for those that the record does not name yet.
    met: BTreeMap<u64, String>,
    removed: bool,
    /// Since when it knows no leader.
    leaderless: Option<Instant>,
}

impl Node {
    async fn live(
        mut self,
        mut signals: Signals,
        mut coming: mpsc::Receiver<ConnectionEvent>,
        mut saved: mpsc::UnboundedReceiver<Done>,
        mut lost: mpsc::Receiver<u64>,
    ) -> Result<(), String> {
        let mut ticks = interval(self.file.tick);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut tries = interval(DISK_TRY);
        tries.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let watchdog = self.manager.watchdog_interval();
        let mut alive = interval(watchdog.unwrap_or(DISK_TRY));
        self.manager.notify_ready(format!("listening on {}", self.file.listen()));
        let (gone, mut is_gone) = mpsc::channel(1);
        let mut ends: Option<Instant> = None;
        loop {
            if self.removed {
                info!("council: {} is a voter no more, and ends", self.file.name);
                return Ok(());
            }
            if ends.is_some_and(|at| !self.voter.is_serving_leader() || Instant::now() >= at) {
                self.manager.notify_stopping();
                info!("council: {} ends", self.file.name);
                return Ok(());
            }
            let event = tokio::select! {
                // What is saved first: messages wait for it.
                biased;
                told = signals.next() => match told {
                    ProcessSignal::Stop if ends.is_some() => continue,
                    ProcessSignal::Stop => {
                        info!("council: {} is told to end", self.file.name);
                        ends = Some(Instant::now() + HAND_OVER);
                        Event::TransferLeadership
                    }
                    ProcessSignal::Reload => {
                        self.reload();
                        continue;
                    }
                },
                Some(done) = saved.recv() => match self.disk_done(done) {
                    Some(event) => event,
                    None => continue,
                },
                _ = ticks.tick() => Event::Tick,
                Some(came) = coming.recv() => match came {
                    ConnectionEvent::Voter(id, addr) => {
                        meets(&mut self.met, id, addr);
                        continue;
                    }
                    ConnectionEvent::Message(message) => Event::Message(message),
                    ConnectionEvent::Call(client, call) => Event::Call { client, call },
                    ConnectionEvent::Gone(client) => Event::ClientDisconnected(client),
                },
                Some(id) = lost.recv() => Event::Unreachable(id),
                Some(()) = is_gone.recv() => {
                    self.removed = true;
                    continue;
                }
                _ = tries.tick() => {
                    if self.leaderless.is_some_and(|since| since.elapsed() > LEADERLESS) {
                        self.leaderless = Some(Instant::now());
                        self.asks_whether_gone(gone.clone());
                    }
                    if self.voter.awaits_storage_recovery() {
                        let _ = self.jobs.try_send(Job::Try);
                    }
                    continue;
                }
                _ = alive.tick(), if watchdog.is_some() => {
                    self.manager.notify_watchdog();
                    continue;
                }
            };
            self.handle(event)?;
        }
    }

    /// Asks the others whether this one is still a member.
    fn asks_whether_gone(&self, gone: mpsc::Sender<()>) {
        let others = self.file.voters.iter().filter(|(name, _)| *name != self.file.name);
        let voters: Vec<String> = others.map(|(_, addr)| addr.to_string()).collect();
        let (name, voter, patience) = (self.file.name.clone(), self.voter.id(), self.file.tick * 20);
        if voters.is_empty() {
            return;
        }
        tokio::task::spawn_local(async move {
            let council = ClientHandle::spawn(client::ClientConfig {
                voters,
                session: None,
                name,
                response_timeout: patience,
            });
            let asked = council.request(ClientRequest::Call(Request::IsMember { voter }), LEADERLESS).await;
            if asked == Answered::Answered(Answer::NotMember) {
                let _ = gone.send(()).await;
            }
        });
    }

    fn disk_done(&mut self, done: Done) -> Option<Event> {
        match done {
            Done::Saved(number) => Some(Event::Persisted(number)),
            Done::NotSaved { number, why, intact } => Some(Event::PersistFailed { number, why, intact }),
            Done::Recovered(frames) => match PersistedState::read(&frames) {
                Ok(kept) => Some(Event::Recovered(kept)),
                Err(e) => {
                    info!("council: {}: {e}", self.file.folder.display());
                    None
                }
            },
            // Said once, when it began.
            Done::Still => None,
            Done::Slow(took) => {
                info!(
                    "council: {}: the disk took {} ms for a save",
                    self.file.folder.display(),
                    took.as_millis()
                );
                None
            }
        }
    }

    fn handle(&mut self, event: Event) -> Result<(), String> {
        let mut out = Vec::new();
        self.voter.handle(self.start.elapsed(), event, &mut out);
        for action in out {
            match action {
                Action::Send { to, message } => {
                    let addr = self
                        .voter
                        .member_address(to)
                        .map(String::from)
                        .or_else(|| self.met.get(&to).cloned());
                    if let Some(addr) = addr {
                        self.peers.send(to, &addr, message);
                    }
                }
                Action::Persist(save) => {
                    // Bounded by what the voter has under way; the thread ends with this process only.
                    self.jobs.send(Job::Save(save)).map_err(|_| "the disk's thread has ended".to_string())?;
                }
                Action::Reply { client, reply } => self.callers.reply(client, reply),
                Action::Report(note) => self.note(note),
            }
        }
        Ok(())
    }

    fn note(&mut self, note: VoterEvent) {
        let name = &self.file.name;
        match note {
            VoterEvent::BecameLeader(_) | VoterEvent::FollowsLeader(_) => self.leaderless = None,
            VoterEvent::Leaderless => self.leaderless = Some(Instant::now()),
            _ => {}
        }
        match note {
            VoterEvent::BecameLeader(term) => {
                info!(term, "council: {name} leads");
                self.manager.notify_ready("leads".into());
            }
            VoterEvent::FollowsLeader(leader) => {
                info!("council: {name} follows {leader}");
                self.manager.notify_ready(format!("follows {leader}"));
            }
            VoterEvent::Leaderless => info!("council: {name} knows no leader"),
            VoterEvent::StorageFailed(why) => {
                let why = format!("{}: {why}", self.file.folder.display());
                info!("council: {name} stands aside and does not vote: {why}");
                self.manager.notify_ready(format!("stands aside: {why}"));
            }
            VoterEvent::StorageRecovered => info!("council: {name} is back"),
            VoterEvent::Removed => self.removed = true,
            VoterEvent::SnapshotFailed(why) => {
                info!("council: {}: the log was not folded: {why}", self.file.folder.display())
            }
            VoterEvent::MembershipChanged(what) => {
                info!("council: {what}");
                let ids: Vec<u64> = self.voter.status().members.iter().map(|m| m.id).collect();
                self.peers.retain(&ids);
            }
            VoterEvent::SessionExpired(whose) => {
                info!("council: the session of {whose} has ended, it was not renewed")
            }
        }
    }

    /// Names of voters may be added; all else stays as it is while the process runs.
    fn reload(&mut self) {
        self.manager.notify_reloading();
        let next = config::coordination::read(&self.path);
        let told = match next {
            Err(why) => Err(why),
            Ok(next) if next.folder != self.file.folder => {
                Err("council.folder: can't change while it runs".into())
            }
            Ok(next)
                if (next.listen(), next.addr(), &next.name)
                    != (self.file.listen(), self.file.addr(), &self.file.name) =>
            {
                Err("council.name and its address: can't change while it runs".into())
            }
            Ok(next) if next.tick != self.file.tick || next.clients != self.file.clients => {
                Err("council.tick, council.clients: can't change while it runs".into())
            }
            Ok(next) => {
                self.voter.set_expected_members(next.voters.iter().map(|(name, _)| name.clone()).collect());
                self.file = next;
                Ok(())
            }
        };
        match told {
            Ok(()) => {
                info!("council: reloaded");
                self.manager.notify_ready(format!("listening on {}", self.file.listen()));
            }
            Err(why) => {
                info!("council: not reloaded: {why}");
                self.manager.notify_ready(format!("not reloaded: {why}"));
            }
        }
    }
}
