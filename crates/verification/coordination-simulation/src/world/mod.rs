//! A run: voters, clients and the links between them, on one virtual clock.
//!
//! | module | contents |
//! | --- | --- |
//! | `mod` | the scheduled events and their dispatch |
//! | `nodes` | voters, clients and connections as the run holds them |
//! | `voters` | voters with their disks |
//! | `links` | links and connections |
//! | `clients` | clients and their workloads |
//! | `operator` | membership changes |
//! | `faults` | starting and ending faults |
//! | `report` | the result of a run |
mod clients;
mod faults;
mod links;
mod nodes;
mod operator;
mod report;
mod voters;

pub use report::Report;

use crate::disk::Disk;
use crate::plan::{Plan, ScheduledFault, Variant, END};
use crate::workload::Histories;
use coordination::limits::Limits;
use coordination::protocol::{Call, Member, Reply};
use coordination::voter;
use fleet_simulation::agenda::{nanos_from_ms, EventQueue, Nanos};
use hashing::Digest;
use nodes::{ClientNode, Connection, Endpoint, VoterNode};
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use std::collections::BTreeMap;
use std::time::Duration;

/// Id of the simulated cluster.
const CLUSTER_ID: u64 = 7;
/// Delay after which the other voters request to join, in milliseconds.
const JOIN_DELAY_MS: f64 = 150.0;

/// A scheduled event. `incarnation` is the one of the voter that it is meant for.
#[derive(Debug)]
enum ScheduledEvent {
    Tick {
        voter: usize,
        incarnation: u64,
    },
    /// A persist request ends. `abnormal`: it fails, or is acknowledged before it is on disk.
    Persisted {
        voter: usize,
        incarnation: u64,
        number: u64,
        abnormal: bool,
    },
    CheckDisk {
        voter: usize,
        incarnation: u64,
    },
    PeerMessage {
        from: usize,
        to_id: u64,
        message: Vec<u8>,
    },
    StartVoter(usize),
    /// A suspended voter continues.
    ResumeVoter(usize),
    /// The fault at this position of the plan starts.
    StartFault(usize),
    /// The fault at this position of the plan ends.
    EndFault(usize),
    Connect {
        client: usize,
        connection: u64,
        address: String,
    },
    ConnectFailed {
        client: usize,
        connection: u64,
    },
    /// A call arrives at a voter; `None` if the client has disconnected.
    CallArrives {
        connection: u64,
        call: Option<Call>,
    },
    /// A reply arrives at a client; `None` if the connection was reset.
    ReplyArrives {
        connection: u64,
        reply: Option<Reply>,
    },
    /// A client's timeout; `at` is in the client's time.
    ClientTimeout {
        client: usize,
        at: Duration,
    },
    /// A client starts its next request.
    NextRequest(usize),
    /// The operator has a voter join.
    RequestJoin(usize),
}

/// Plays a plan.
pub fn play(plan: &Plan, variant: Variant) -> Report {
    let mut world = World::new(plan.clone(), variant);
    while let Some(event) = world.event_queue.pop_next() {
        if world.event_queue.now() >= END {
            break;
        }
        world.dispatch(event);
    }
    world.finish()
}

struct World {
    plan: Plan,
    variant: Variant,
    random: Pcg64Mcg,
    event_queue: EventQueue<ScheduledEvent>,
    voters: Vec<VoterNode>,
    /// The operator at position 0, then the clients of the plan.
    clients: Vec<ClientNode>,
    connections: BTreeMap<u64, Connection>,
    last_connection: u64,
    /// Cut links, by the position of the fault that cuts them.
    cut_links: BTreeMap<usize, Vec<(Endpoint, Endpoint)>>,
    /// Leaders that were affected by faults on the current leader, by the position of the fault.
    affected_leaders: BTreeMap<usize, usize>,
    /// Number of active faults that make links flaky.
    flaky_links: u32,
    /// Voters that are being replaced, by the position of the fault.
    replacements: BTreeMap<usize, usize>,
    histories: Histories,
    report: Report,
    digest: Digest,
    leaderless_since: Option<Nanos>,
    /// When there was a leader for the first time after all faults.
    led_after_faults: Option<Nanos>,
}

impl World {
    fn new(plan: Plan, variant: Variant) -> World {
        let mut world = World {
            variant,
            random: Pcg64Mcg::seed_from_u64(plan.seed),
            event_queue: EventQueue::default(),
            voters: Vec::new(),
            clients: Vec::new(),
            connections: BTreeMap::new(),
            last_connection: 0,
            cut_links: BTreeMap::new(),
            affected_leaders: BTreeMap::new(),
            flaky_links: 0,
            replacements: BTreeMap::new(),
            histories: Histories::default(),
            report: Report::default(),
            digest: Digest::default(),
            leaderless_since: Some(0),
            led_after_faults: None,
            plan,
        };
        for index in 0..world.plan.voters {
            world.add_voter(index);
        }
        world.bootstrap_first_voter();
        // The operator has no session.
        world.add_client(None);
        for number in 0..world.plan.clients {
            world.add_client(Some(number));
        }
        for voter in 1..world.plan.voters {
            world.event_queue.schedule_at(nanos_from_ms(JOIN_DELAY_MS), ScheduledEvent::RequestJoin(voter));
        }
        for index in 0..world.plan.faults.len() {
            let ScheduledFault { from, until, .. } = world.plan.faults[index];
            world.event_queue.schedule_at(from, ScheduledEvent::StartFault(index));
            world.event_queue.schedule_at(until, ScheduledEvent::EndFault(index));
        }
        world
    }

    fn bootstrap_first_voter(&mut self) {
        let first = &self.voters[0];
        let (id, name) = (first.id, first.name.clone());
        let member = Member { id, addr: name.clone(), name, ..Member::default() };
        self.voters[0].disk = Disk::with(voter::bootstrap(CLUSTER_ID, &member, Limits::default()));
        self.start_voter(0);
    }

    /// Names of the voters, which are their addresses too.
    fn voter_names(&self) -> Vec<String> {
        (0..self.plan.voters).map(|index| format!("v{index}")).collect()
    }

    fn clock_rate(&self, endpoint: Endpoint) -> f64 {
        let index = match endpoint {
            Endpoint::Voter(voter) => voter,
            Endpoint::Client(client) => self.plan.voters + client,
        };
        let rates = &self.plan.clock_rates;
        rates.get(index % rates.len().max(1)).copied().unwrap_or(1.0)
    }

    /// The current time by the clock of an endpoint.
    fn local_now(&self, endpoint: Endpoint) -> Duration {
        Duration::from_nanos((self.event_queue.now() as f64 * self.clock_rate(endpoint)) as u64)
    }

    /// The true time of a time by the clock of an endpoint.
    fn true_time(&self, endpoint: Endpoint, local: Duration) -> Nanos {
        (local.as_nanos() as f64 / self.clock_rate(endpoint)) as Nanos
    }

    /// The endpoint that an event is meant for, if it is suspended.
    fn suspended_receiver(&self, event: &ScheduledEvent) -> Option<Endpoint> {
        let endpoint = match event {
            ScheduledEvent::Tick { voter, .. }
            | ScheduledEvent::Persisted { voter, .. }
            | ScheduledEvent::CheckDisk { voter, .. } => Endpoint::Voter(*voter),
            ScheduledEvent::PeerMessage { to_id, .. } => Endpoint::Voter(self.voter_with_id(*to_id)?),
            ScheduledEvent::CallArrives { connection, .. } => {
                Endpoint::Voter(self.connections.get(connection)?.voter)
            }
            ScheduledEvent::ReplyArrives { connection, .. } => {
                Endpoint::Client(self.connections.get(connection)?.client)
            }
            ScheduledEvent::ClientTimeout { client, .. }
            | ScheduledEvent::NextRequest(client)
            | ScheduledEvent::ConnectFailed { client, .. } => Endpoint::Client(*client),
            _ => return None,
        };
        let suspensions = match endpoint {
            Endpoint::Voter(voter) => self.voters[voter].suspensions,
            Endpoint::Client(client) => self.clients[client].suspensions,
        };
        (suspensions > 0).then_some(endpoint)
    }

    fn dispatch(&mut self, event: ScheduledEvent) {
        self.digest.write_u64(self.event_queue.now());
        match self.suspended_receiver(&event) {
            Some(Endpoint::Voter(voter)) => return self.voters[voter].deferred.push_back(event),
            Some(Endpoint::Client(client)) => return self.clients[client].deferred.push_back(event),
            None => {}
        }
        match event {
            ScheduledEvent::Tick { voter, incarnation } => self.tick(voter, incarnation),
            ScheduledEvent::Persisted { voter, incarnation, number, abnormal } => {
                self.persisted(voter, incarnation, number, abnormal)
            }
            ScheduledEvent::CheckDisk { voter, incarnation } => self.check_disk(voter, incarnation),
            ScheduledEvent::PeerMessage { from, to_id, message } => {
                self.deliver_peer_message(from, to_id, message)
            }
            ScheduledEvent::StartVoter(voter) => self.start_voter(voter),
            ScheduledEvent::ResumeVoter(voter) => self.resume_voter(voter),
            ScheduledEvent::StartFault(index) => self.start_fault(index),
            ScheduledEvent::EndFault(index) => self.end_fault(index),
            ScheduledEvent::Connect { client, connection, address } => {
                self.connect(client, connection, &address)
            }
            ScheduledEvent::ConnectFailed { client, connection } => self.connect_failed(client, connection),
            ScheduledEvent::CallArrives { connection, call } => self.deliver_call(connection, call),
            ScheduledEvent::ReplyArrives { connection, reply } => self.deliver_reply(connection, reply),
            ScheduledEvent::ClientTimeout { client, at } => self.client_timeout(client, at),
            ScheduledEvent::NextRequest(client) => self.start_request(client),
            ScheduledEvent::RequestJoin(voter) => self.request_join(voter),
        }
    }
}
