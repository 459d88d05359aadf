//! The running voter: feeds signals, connections, disk events and time to the state machine and performs its actions.
use super::voter_addresses::VoterAddresses;
use super::{client_of_others, other_voters};
use crate::client_connections::{ClientConnections, ConnectionEvent};
use crate::error::ServerError;
use crate::journal_writer::{JournalEvent, JournalRequest};
use crate::peer_connections::PeerConnections;
use config::coordination::CoordinationConfig;
use config::file::ConfigFileError;
use coordination::client::{ClientRequest, RequestOutcome};
use coordination::protocol::{Answer, Request};
use coordination::voter::{Action, Event, PersistedState, Voter, VoterEvent};
use daemon::service_manager::ServiceManager;
use daemon::signals::{ProcessSignal, Signals};
use std::path::PathBuf;
use std::sync::mpsc::SyncSender;
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::time::{interval, Instant, Interval, MissedTickBehavior};
use tracing::info;

/// Interval of the checks whether a failed disk works again and whether a leaderless voter was removed.
const MAINTENANCE_INTERVAL: Duration = Duration::from_secs(1);
/// Maximum time for which a stopping leader waits until another voter has taken over.
const HANDOVER_TIMEOUT: Duration = Duration::from_millis(700);
/// Time without a leader after which a voter queries the others whether it is still a member: a removed voter gets no more
/// messages.
const LEADERLESS_TIMEOUT: Duration = Duration::from_secs(2);

/// Event sources of a voter's process.
pub(super) struct Inputs {
    pub signals: Signals,
    pub connections: mpsc::Receiver<ConnectionEvent>,
    pub journal: mpsc::UnboundedReceiver<JournalEvent>,
    pub unreachable: mpsc::Receiver<u64>,
}

/// Destinations of a voter's actions.
pub(super) struct Outputs {
    pub journal: SyncSender<JournalRequest>,
    pub peers: PeerConnections,
    pub clients: ClientConnections,
}

pub(super) struct VoterProcess {
    /// Path of the configuration file.
    path: PathBuf,
    config: CoordinationConfig,
    manager: ServiceManager,
    started_at: Instant,
    voter: Voter,
    outputs: Outputs,
    voter_addresses: VoterAddresses,
    /// The voter is no longer a member.
    removed: bool,
    leaderless_since: Option<Instant>,
    /// Time at which the process exits at the latest; set when it received a signal to stop.
    stop_deadline: Option<Instant>,
}

/// A changed setting that can't be changed while the voter runs.
#[derive(Debug, thiserror::Error)]
enum ReloadError {
    #[error(transparent)]
    Config(#[from] ConfigFileError),
    #[error("council.folder: can't change while it runs")]
    Folder,
    #[error("council.name and its address: can't change while it runs")]
    NameOrAddress,
    #[error("council.tick, council.clients: can't change while it runs")]
    TickOrClients,
}

/// An interval that does not catch up on missed ticks: after a delay, the next tick follows one period later.
fn delayed_interval(period: Duration) -> Interval {
    let mut interval = interval(period);
    interval.set_missed_tick_behavior(MissedTickBehavior::Delay);
    interval
}

impl VoterProcess {
    pub fn new(
        path: PathBuf,
        config: CoordinationConfig,
        manager: ServiceManager,
        voter: Voter,
        outputs: Outputs,
        voter_addresses: VoterAddresses,
    ) -> VoterProcess {
        VoterProcess {
            path,
            config,
            manager,
            started_at: Instant::now(),
            voter,
            outputs,
            voter_addresses,
            removed: false,
            leaderless_since: None,
            stop_deadline: None,
        }
    }

    /// Runs until the process receives a signal to stop or the voter is removed.
    pub async fn run(mut self, mut inputs: Inputs) -> Result<(), ServerError> {
        let mut ticks = delayed_interval(self.config.tick);
        let mut maintenance = delayed_interval(MAINTENANCE_INTERVAL);
        let watchdog = self.manager.watchdog_interval();
        let mut watchdog_ticks = interval(watchdog.unwrap_or(MAINTENANCE_INTERVAL));
        self.manager.notify_ready(format!("listening on {}", self.config.listen()));
        let (removed, mut is_removed) = mpsc::channel(1);
        while !self.is_finished() {
            let event = tokio::select! {
                // Disk events are handled before messages, which wait for them.
                biased;
                signal = inputs.signals.next() => self.handle_signal(signal),
                Some(event) = inputs.journal.recv() => self.handle_journal_event(event),
                _ = ticks.tick() => Some(Event::Tick),
                Some(event) = inputs.connections.recv() => self.handle_connection_event(event),
                Some(id) = inputs.unreachable.recv() => Some(Event::Unreachable(id)),
                Some(()) = is_removed.recv() => {
                    self.removed = true;
                    None
                }
                _ = maintenance.tick() => {
                    self.maintain(&removed);
                    None
                }
                _ = watchdog_ticks.tick(), if watchdog.is_some() => {
                    self.manager.notify_watchdog();
                    None
                }
            };
            if let Some(event) = event {
                self.handle(event)?;
            }
        }
        Ok(())
    }

    /// Whether the process ends now; logs the reason.
    fn is_finished(&self) -> bool {
        if self.removed {
            info!("council: {} was removed from the council and exits", self.config.name);
            return true;
        }
        let has_stopped = self
            .stop_deadline
            .is_some_and(|deadline| !self.voter.is_serving_leader() || Instant::now() >= deadline);
        if has_stopped {
            self.manager.notify_stopping();
            info!("council: {} exits", self.config.name);
        }
        has_stopped
    }

    fn handle_signal(&mut self, signal: ProcessSignal) -> Option<Event> {
        match signal {
            ProcessSignal::Stop if self.stop_deadline.is_some() => None,
            ProcessSignal::Stop => {
                info!("council: {} received a signal to stop", self.config.name);
                self.stop_deadline = Some(Instant::now() + HANDOVER_TIMEOUT);
                Some(Event::TransferLeadership)
            }
            ProcessSignal::Reload => {
                self.reload();
                None
            }
        }
    }

    fn handle_journal_event(&mut self, event: JournalEvent) -> Option<Event> {
        let folder = self.config.folder.display();
        match event {
            JournalEvent::Persisted(number) => Some(Event::Persisted(number)),
            JournalEvent::PersistFailed { number, why, intact } => {
                Some(Event::PersistFailed { number, why, intact })
            }
            JournalEvent::Recovered(records) => match PersistedState::read(&records) {
                Ok(persisted) => Some(Event::Recovered(persisted)),
                Err(error) => {
                    info!("council: {folder}: the journal can't be read after a failure: {error}");
                    None
                }
            },
            // The failure was logged when it began.
            JournalEvent::RecoveryFailed => None,
            JournalEvent::Slow(elapsed) => {
                info!("council: {folder}: writing to the journal took {} ms", elapsed.as_millis());
                None
            }
        }
    }

    fn handle_connection_event(&mut self, event: ConnectionEvent) -> Option<Event> {
        match event {
            ConnectionEvent::VoterConnected { id, address } => {
                self.voter_addresses.insert(id, address);
                None
            }
            ConnectionEvent::Message(message) => Some(Event::Message(message)),
            ConnectionEvent::Call { client, call } => Some(Event::Call { client, call }),
            ConnectionEvent::ClientDisconnected(client) => Some(Event::ClientDisconnected(client)),
        }
    }

    fn maintain(&mut self, removed: &mpsc::Sender<()>) {
        if self.leaderless_since.is_some_and(|since| since.elapsed() > LEADERLESS_TIMEOUT) {
            self.leaderless_since = Some(Instant::now());
            self.check_membership(removed.clone());
        }
        if self.voter.awaits_storage_recovery() {
            let _ = self.outputs.journal.try_send(JournalRequest::Recover);
        }
    }

    /// Queries the other voters whether this one is still a member.
    fn check_membership(&self, removed: mpsc::Sender<()>) {
        if other_voters(&self.config).is_empty() {
            return;
        }
        let client = client_of_others(&self.config);
        let request = ClientRequest::Call(Request::IsMember { voter: self.voter.id() });
        tokio::task::spawn_local(async move {
            let outcome = client.request(request, LEADERLESS_TIMEOUT).await;
            if outcome == RequestOutcome::Answered(Answer::NotMember) {
                let _ = removed.send(()).await;
            }
        });
    }

    fn handle(&mut self, event: Event) -> Result<(), ServerError> {
        let mut actions = Vec::new();
        self.voter.handle(self.started_at.elapsed(), event, &mut actions);
        for action in actions {
            match action {
                Action::Send { to, message } => self.send(to, message),
                Action::Persist(request) => {
                    let request = JournalRequest::Persist(request);
                    self.outputs.journal.send(request).map_err(|_| ServerError::JournalThreadEnded)?;
                }
                Action::Reply { client, reply } => self.outputs.clients.reply(client, reply),
                Action::Report(event) => self.report(event),
            }
        }
        Ok(())
    }

    fn send(&mut self, voter_id: u64, message: Vec<u8>) {
        let address = self.voter.member_address(voter_id).or_else(|| self.voter_addresses.get(voter_id));
        if let Some(address) = address {
            self.outputs.peers.send(voter_id, address, message);
        }
    }

    fn report(&mut self, event: VoterEvent) {
        let name = &self.config.name;
        let folder = self.config.folder.display();
        match event {
            VoterEvent::BecameLeader(term) => {
                self.leaderless_since = None;
                info!(term, "council: {name} is the leader");
                self.manager.notify_ready("leads".into());
            }
            VoterEvent::FollowsLeader(leader) => {
                self.leaderless_since = None;
                info!("council: {name} follows the leader {leader}");
                self.manager.notify_ready(format!("follows {leader}"));
            }
            VoterEvent::Leaderless => {
                self.leaderless_since = Some(Instant::now());
                info!("council: {name} knows no leader");
            }
            VoterEvent::StorageFailed(reason) => {
                info!(
                    "council: {name} neither votes nor acknowledges entries: storage failed: {folder}: {reason}"
                );
                self.manager.notify_ready(format!("stands aside: {folder}: {reason}"));
            }
            VoterEvent::StorageRecovered => info!("council: {name} votes again: its storage has recovered"),
            VoterEvent::Removed => self.removed = true,
            VoterEvent::SnapshotFailed(why) => info!("council: {folder}: the log was not compacted: {why}"),
            VoterEvent::MembershipChanged(change) => {
                info!("council: {change}");
                let ids: Vec<u64> = self.voter.status().members.iter().map(|member| member.id).collect();
                self.outputs.peers.retain(&ids);
            }
            VoterEvent::SessionExpired(session) => {
                info!("council: the session of {session} has expired: it was not renewed in time")
            }
        }
    }

    /// Reads the configuration again. Only the list of voters may change while the process runs.
    fn reload(&mut self) {
        self.manager.notify_reloading();
        match self.read_reloadable() {
            Ok(new) => {
                let names = new.voters.iter().map(|(name, _)| name.clone()).collect();
                self.voter.set_expected_members(names);
                self.config = new;
                info!("council: configuration reloaded");
                self.manager.notify_ready(format!("listening on {}", self.config.listen()));
            }
            Err(error) => {
                info!("council: configuration not reloaded: {error}");
                self.manager.notify_ready(format!("not reloaded: {error}"));
            }
        }
    }

    /// Reads the configuration and checks that nothing but the list of voters has changed.
    fn read_reloadable(&self) -> Result<CoordinationConfig, ReloadError> {
        let new = config::coordination::read(&self.path)?;
        let current = &self.config;
        let own_address = |config: &CoordinationConfig| (config.listen(), config.addr());
        if new.folder != current.folder {
            return Err(ReloadError::Folder);
        }
        if own_address(&new) != own_address(current) || new.name != current.name {
            return Err(ReloadError::NameOrAddress);
        }
        if new.tick != current.tick || new.clients != current.clients {
            return Err(ReloadError::TickOrClients);
        }
        Ok(new)
    }
}
