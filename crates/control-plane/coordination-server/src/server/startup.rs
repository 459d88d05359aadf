//! Startup of a voter from its configuration; a voter with an empty folder joins a cluster first.
use super::event_loop::{Inputs, Outputs, VoterProcess};
use super::voter_addresses::VoterAddresses;
use super::{client_of_others, handshake_of, lock_folder, ServerOptions};
use crate::client_connections::{ClientConnections, ConnectionEvent};
use crate::error::ServerError;
use crate::journal_writer::{self, OpenedJournal, VoterJournal};
use crate::peer_connections::PeerConnections;
use crate::random_id;
use crate::transport::Listener;
use config::coordination::CoordinationConfig;
use coordination::client::{ClientRequest, RequestOutcome};
use coordination::protocol::{Answer, Reply, Request, Status};
use coordination::voter::{self, Identity, InjectedDefects, PersistedState, Voter, VoterConfig};
use daemon::service_manager::ServiceManager;
use daemon::signals::{ProcessSignal, Signals};
use std::path::PathBuf;
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::time::sleep;
use tracing::info;

/// Delay between two attempts to join.
const JOIN_RETRY_DELAY: Duration = Duration::from_millis(300);
/// Timeout of an attempt to join.
const JOIN_TIMEOUT: Duration = Duration::from_secs(5);
/// Reports of unreachable voters that may be queued for the voter.
const MAX_QUEUED_UNREACHABLE: usize = 64;

/// Runs a voter until it receives a signal to stop or is removed.
pub(super) async fn serve(path: PathBuf, options: ServerOptions) -> Result<(), ServerError> {
    let mut signals = Signals::install().map_err(|error| ServerError::Signals(error.to_string()))?;
    let config = config::coordination::read(&path)?;
    let manager = ServiceManager::from_env();
    let lock = lock_folder(&config.folder)?;
    if let Some(error) = lock.write_error() {
        info!("council: {error}");
    }
    let OpenedJournal { mut journal, records } = journal_writer::open(&config.folder, options.halt)?;
    let listener = bind(&config).await?;
    let mut persisted =
        PersistedState::read(&records).map_err(|error| ServerError::voter(&config.folder, error))?;
    let mut identity = load_identity(&config, &persisted, &mut journal)?;
    let (clients, mut connections) = ClientConnections::new(handshake_of(&config, &identity), config.clients);
    tokio::task::spawn_local(clients.clone().run(listener));
    info!("council: {} listens on {}", config.name, config.listen());
    let mut voter_addresses = VoterAddresses::default();
    if identity.cluster.is_none() {
        let joining = Joining {
            config: &config,
            identity: &identity,
            clients: &clients,
            voter_addresses: &mut voter_addresses,
        };
        let Some(cluster) = joining.run(&mut signals, &mut connections).await else { return Ok(()) };
        identity.cluster = Some(cluster);
        write_identity(&config, &mut journal, &identity)?;
        info!("council: {} has joined council {cluster:016x}", config.name);
        persisted = PersistedState::default();
        persisted.identity = Some(identity.clone());
        clients.set_handshake(handshake_of(&config, &identity));
    }
    let voter = Voter::new(Duration::ZERO, voter_config(&config), persisted)
        .map_err(|error| ServerError::voter(&config.folder, error))?;
    let (journal_events, journal_receiver) = mpsc::unbounded_channel();
    let journal = journal_writer::spawn(journal, journal_events).map_err(ServerError::JournalThread)?;
    let (unreachable, unreachable_receiver) = mpsc::channel(MAX_QUEUED_UNREACHABLE);
    let peers = PeerConnections::new(handshake_of(&config, &identity), unreachable);
    let inputs =
        Inputs { signals, connections, journal: journal_receiver, unreachable: unreachable_receiver };
    VoterProcess::new(path, config, manager, voter, Outputs { journal, peers, clients }, voter_addresses)
        .run(inputs)
        .await
}

async fn bind(config: &CoordinationConfig) -> Result<Listener, ServerError> {
    let address = config.listen();
    Listener::bind(address).await.map_err(|source| ServerError::Listen { address, source })
}

fn voter_config(config: &CoordinationConfig) -> VoterConfig {
    VoterConfig {
        expected_members: config.voters.iter().map(|(name, _)| name.clone()).collect(),
        tick: config.tick,
        seed: random_id(),
        log_entries: voter::DEFAULT_MAX_LOG_ENTRIES,
        defects: InjectedDefects::default(),
    }
}

/// The identity in the journal, or a new one for an empty journal.
fn load_identity(
    config: &CoordinationConfig,
    persisted: &PersistedState,
    journal: &mut VoterJournal,
) -> Result<Identity, ServerError> {
    match &persisted.identity {
        Some(identity) if identity.name != config.name => Err(ServerError::ForeignFolder {
            folder: config.folder.clone(),
            owner: identity.name.clone(),
            name: config.name.clone(),
        }),
        Some(identity) => Ok(identity.clone()),
        None => {
            let identity = Identity { cluster: None, voter: random_id(), name: config.name.clone() };
            write_identity(config, journal, &identity)?;
            Ok(identity)
        }
    }
}

fn write_identity(
    config: &CoordinationConfig,
    journal: &mut VoterJournal,
    identity: &Identity,
) -> Result<(), ServerError> {
    let records = [voter::encode_identity(identity)];
    journal.replace(&records).map_err(|source| ServerError::folder(&config.folder, source))
}

/// A process with an empty folder that joins a cluster.
struct Joining<'a> {
    config: &'a CoordinationConfig,
    identity: &'a Identity,
    clients: &'a ClientConnections,
    voter_addresses: &'a mut VoterAddresses,
}

impl Joining<'_> {
    /// Returns the id of the cluster once the process is a member; `None` if it receives a signal to stop before that.
    async fn run(
        mut self,
        signals: &mut Signals,
        connections: &mut mpsc::Receiver<ConnectionEvent>,
    ) -> Option<u64> {
        info!("council: {} has an empty folder and requests to join the council", self.config.name);
        let join = request_join(self.config, self.identity.voter);
        tokio::pin!(join);
        loop {
            tokio::select! {
                cluster = &mut join => return Some(cluster),
                signal = signals.next() => if signal == ProcessSignal::Stop { return None },
                Some(event) = connections.recv() => self.handle(event),
            }
        }
    }

    fn handle(&mut self, event: ConnectionEvent) {
        let (client, call) = match event {
            // The leader may connect before this process learns that it is a member.
            ConnectionEvent::VoterConnected { id, address } => {
                return self.voter_addresses.insert(id, address);
            }
            ConnectionEvent::Call { client, call } => (client, call),
            ConnectionEvent::Message(_) | ConnectionEvent::ClientDisconnected(_) => return,
        };
        let answer = match call.request {
            Request::Status => Answer::Status(Box::new(Status {
                name: self.config.name.clone(),
                role: "unjoined".into(),
                voter: self.identity.voter,
                ..Status::default()
            })),
            _ => Answer::NotLeader { leader: None },
        };
        self.clients.reply(client, Reply { id: call.id, answer });
    }
}

/// Requests to join until the request is granted; returns the id of the cluster.
async fn request_join(config: &CoordinationConfig, voter: u64) -> u64 {
    let client = client_of_others(config);
    // The last logged reason; consecutive equal reasons are logged once.
    let mut last_reason = None;
    loop {
        let request = Request::Join { name: config.name.clone(), addr: config.addr().to_string(), voter };
        let reason = match client.request(ClientRequest::Call(request), JOIN_TIMEOUT).await {
            RequestOutcome::Answered(Answer::Joined { cluster }) => return cluster,
            RequestOutcome::Answered(Answer::Failed(reason)) => reason,
            RequestOutcome::Answered(other) => format!("{other:?}"),
            RequestOutcome::Indeterminate(reason) | RequestOutcome::NotExecuted(reason) => reason,
        };
        if last_reason.as_ref() != Some(&reason) {
            info!("council: {} has not joined yet: {reason}", config.name);
            last_reason = Some(reason);
        }
        sleep(JOIN_RETRY_DELAY).await;
    }
}
