//! Starting and ending the faults of the plan.
use super::nodes::Endpoint;
use super::{ScheduledEvent, World};
use crate::plan::Fault;
use fleet_simulation::agenda::nanos_from_ms;
use rand::Rng;

/// How many times each voter is killed after voting, in [`Fault::Duels`].
const DUEL_KILLS: u32 = 4;
/// Delay of the restart in [`Fault::Duels`], in milliseconds.
const DUEL_RESTART_DELAY_MS: f64 = 20.0;

fn both_directions(a: Endpoint, b: Endpoint) -> [(Endpoint, Endpoint); 2] {
    [(a, b), (b, a)]
}

/// Position of a client of the plan; the operator comes first.
fn client_index(client: usize) -> usize {
    client + 1
}

impl World {
    pub(super) fn start_fault(&mut self, index: usize) {
        let fault = self.plan.faults[index].fault;
        if let Some(links) = self.links_cut_by(fault) {
            self.cut_links.insert(index, links);
        }
        match fault {
            Fault::Crash(voter, share) => self.crash(voter, share),
            Fault::BlinkOnVote(voter) => self.voters[voter].kills_after_vote = 1,
            Fault::Duels => self.start_duels(),
            Fault::PowerLoss(share) => (0..self.voters.len()).for_each(|voter| self.crash(voter, share)),
            Fault::Pause(voter) => self.voters[voter].suspensions += 1,
            Fault::PauseLeader => {
                if let Some(leader) = self.leader() {
                    self.affected_leaders.insert(index, leader);
                    self.voters[leader].suspensions += 1;
                }
            }
            Fault::StaleLeader(_) => {
                if let Some(leader) = self.leader() {
                    self.voters[leader].suspensions += 1;
                    let delay = nanos_from_ms(self.random.gen_range(700.0..2200.0));
                    self.event_queue.schedule_after(delay, ScheduledEvent::ResumeVoter(leader));
                }
            }
            Fault::Flaky => self.flaky_links += 1,
            Fault::Full(voter) => self.voters[voter].disk.full = true,
            Fault::FullLeader => {
                if let Some(leader) = self.leader() {
                    self.affected_leaders.insert(index, leader);
                    self.voters[leader].disk.full = true;
                }
            }
            Fault::SlowDisk(voter) => self.voters[voter].disk.slow = true,
            Fault::Replace(voter) => self.start_replacement(index, voter),
            Fault::PauseClient(client) => self.clients[client_index(client)].suspensions += 1,
            // These only cut links.
            Fault::CutLeader
            | Fault::Isolate(_)
            | Fault::Mute(_)
            | Fault::Deaf(_)
            | Fault::OneWay(..)
            | Fault::Split(..)
            | Fault::IsolateClient(_) => {}
        }
    }

    /// The links that a fault cuts, by direction; `None` if it cuts none.
    fn links_cut_by(&self, fault: Fault) -> Option<Vec<(Endpoint, Endpoint)>> {
        let voters = || (0..self.voters.len()).map(Endpoint::Voter);
        let everyone = voters().chain((0..self.clients.len()).map(Endpoint::Client));
        let links = match fault {
            Fault::CutLeader => {
                let leader = Endpoint::Voter(self.leader()?);
                let others = voters().filter(|&other| other != leader);
                others.flat_map(|other| both_directions(leader, other)).collect()
            }
            Fault::StaleLeader(client) => {
                let leader = Endpoint::Voter(self.leader()?);
                let client = Endpoint::Client(client_index(client));
                let others = voters().filter(|&other| other != leader);
                let pairs = others.flat_map(|other| [(leader, other), (client, other)]);
                pairs.flat_map(|(a, b)| both_directions(a, b)).collect()
            }
            Fault::Isolate(voter) => {
                let voter = Endpoint::Voter(voter);
                let others = everyone.filter(|&other| other != voter);
                others.flat_map(|other| both_directions(voter, other)).collect()
            }
            Fault::Mute(voter) => {
                let voter = Endpoint::Voter(voter);
                everyone.filter(|&other| other != voter).map(|other| (voter, other)).collect()
            }
            Fault::Deaf(voter) => {
                let voter = Endpoint::Voter(voter);
                everyone.filter(|&other| other != voter).map(|other| (other, voter)).collect()
            }
            Fault::OneWay(from, to) => vec![(Endpoint::Voter(from), Endpoint::Voter(to))],
            Fault::Split(mask, bridge) => self.links_between_sides(mask, bridge),
            Fault::IsolateClient(client) => {
                let client = Endpoint::Client(client_index(client));
                voters().flat_map(|voter| both_directions(client, voter)).collect()
            }
            _ => return None,
        };
        Some(links)
    }

    /// The links between voters on different sides of a partition, except those of the bridge.
    fn links_between_sides(&self, mask: u32, bridge: Option<usize>) -> Vec<(Endpoint, Endpoint)> {
        let side = |voter: usize| mask >> voter & 1;
        let count = self.voters.len();
        let pairs = (0..count).flat_map(|a| (0..count).map(move |b| (a, b)));
        let cut = pairs.filter(|&(a, b)| side(a) != side(b) && Some(a) != bridge && Some(b) != bridge);
        cut.map(|(a, b)| (Endpoint::Voter(a), Endpoint::Voter(b))).collect()
    }

    fn start_duels(&mut self) {
        for voter in 0..self.voters.len() {
            self.crash(voter, 0.0);
            self.voters[voter].kills_after_vote = DUEL_KILLS;
            self.event_queue
                .schedule_after(nanos_from_ms(DUEL_RESTART_DELAY_MS), ScheduledEvent::StartVoter(voter));
        }
    }

    /// Replaces a voter whose disk is lost, unless a quorum could be lost with it.
    fn start_replacement(&mut self, index: usize, voter: usize) {
        let leader = self.leader().and_then(|leader| self.voters[leader].voter.as_ref());
        let voting = leader.map(|leader| leader.status().members.iter().filter(|m| m.is_voter).count());
        if voting.is_none_or(|count| count < self.plan.voters) {
            return;
        }
        self.crash(voter, 0.0);
        self.voters[voter].removed = true;
        self.replacements.insert(index, voter);
        self.request_removal(index, voter);
    }

    pub(super) fn end_fault(&mut self, index: usize) {
        self.cut_links.remove(&index);
        match self.plan.faults[index].fault {
            Fault::Crash(voter, _) => self.start_voter(voter),
            Fault::PowerLoss(_) => {
                for voter in 0..self.voters.len() {
                    let delay = nanos_from_ms(self.random.gen_range(0.0..600.0));
                    self.event_queue.schedule_after(delay, ScheduledEvent::StartVoter(voter));
                }
            }
            Fault::BlinkOnVote(voter) => self.voters[voter].kills_after_vote = 0,
            Fault::Duels => self.voters.iter_mut().for_each(|node| node.kills_after_vote = 0),
            Fault::Pause(voter) => self.resume_voter(voter),
            Fault::PauseLeader => {
                if let Some(voter) = self.affected_leaders.remove(&index) {
                    self.resume_voter(voter);
                }
            }
            Fault::Flaky => self.flaky_links -= 1,
            Fault::Full(voter) => self.voters[voter].disk.full = false,
            Fault::FullLeader => {
                if let Some(voter) = self.affected_leaders.remove(&index) {
                    self.voters[voter].disk.full = false;
                }
            }
            Fault::SlowDisk(voter) => self.voters[voter].disk.slow = false,
            Fault::PauseClient(client) => self.resume_client(client_index(client)),
            _ => {}
        }
    }
}
