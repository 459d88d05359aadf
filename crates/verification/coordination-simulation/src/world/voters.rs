//! Voters with their disks.
use super::nodes::{Endpoint, VoterNode};
use super::{ScheduledEvent, World};
use crate::plan::{Variant, HEALED};
use coordination::voter::{
    Action, Event, InjectedDefects, PersistRequest, PersistedState, Voter, VoterConfig, VoterEvent,
};
use fleet_simulation::agenda::{nanos_from_ms, Nanos};
use protobuf::Message as _;
use raft::eraftpb::{Message, MessageType};
use rand::Rng;
use std::time::Duration;

/// Time between two ticks of a voter.
const TICK: Nanos = 50_000_000;
/// Log entries that are kept before the log is compacted: few, so that snapshots are exercised.
const LOG_ENTRIES: u64 = 40;
/// Interval at which a failed disk is checked, in milliseconds.
const DISK_CHECK_INTERVAL_MS: f64 = 500.0;
/// Delay of a restart right after a kill, in milliseconds.
const RESTART_DELAY_MS: f64 = 0.05;
/// Delay until clients notice a crash, in milliseconds.
const RESET_DELAY_MS: f64 = 0.3;
/// Probability that a flaky link loses a message.
const FLAKY_LOSS: f64 = 0.2;

impl World {
    /// Adds a voter with an empty disk; returns its position.
    pub(super) fn add_voter(&mut self, index: usize) -> usize {
        let id = self.random.gen_range(1..u64::MAX);
        self.voters.push(VoterNode::new(id, format!("v{index}")));
        self.voters.len() - 1
    }

    pub(super) fn voter_with_id(&self, id: u64) -> Option<usize> {
        self.voters.iter().position(|node| node.id == id)
    }

    fn defects(&self) -> InjectedDefects {
        InjectedDefects {
            stale_reads: self.variant == Variant::StaleRead,
            stale_renewals: self.variant == Variant::StaleRenewal,
            forgetful_snapshots: self.variant == Variant::ForgetfulSnapshot,
            unfenced: self.variant == Variant::Unfenced,
            short_sessions: self.variant == Variant::ShortSessions,
        }
    }

    /// Starts a voter from its disk, unless it runs, was removed or has not joined.
    pub(super) fn start_voter(&mut self, index: usize) {
        let config = VoterConfig {
            expected_members: self.voter_names(),
            tick: Duration::from_nanos(TICK),
            seed: self.random.gen(),
            log_entries: LOG_ENTRIES,
            defects: self.defects(),
        };
        let now = self.local_now(Endpoint::Voter(index));
        let node = &mut self.voters[index];
        if node.removed || node.voter.is_some() || node.disk.records().is_empty() {
            return;
        }
        let started =
            PersistedState::read(node.disk.records()).and_then(|state| Voter::new(now, config, state));
        node.incarnation += 1;
        let incarnation = node.incarnation;
        match started {
            Ok(voter) => node.voter = Some(voter),
            Err(error) => {
                return self.report.violations.push(format!("voter {index} does not start: {error}"));
            }
        }
        self.event_queue.schedule_after(TICK, ScheduledEvent::Tick { voter: index, incarnation });
        let check = ScheduledEvent::CheckDisk { voter: index, incarnation };
        self.event_queue.schedule_after(nanos_from_ms(DISK_CHECK_INTERVAL_MS), check);
    }

    /// Crashes a voter's machine; this share of its pending writes survives.
    pub(super) fn crash(&mut self, index: usize, share: f64) {
        let node = &mut self.voters[index];
        if node.voter.take().is_none() {
            return;
        }
        node.disk.crash(share);
        node.incarnation += 1;
        node.kills_after_vote = 0;
        node.deferred.clear();
        if self.variant == Variant::VoteForgotten {
            node.disk.forget_votes();
        }
        let reset: Vec<u64> =
            self.connections.iter().filter(|(_, c)| c.voter == index).map(|(&id, _)| id).collect();
        for connection in reset {
            let event = ScheduledEvent::ReplyArrives { connection, reply: None };
            self.event_queue.schedule_after(nanos_from_ms(RESET_DELAY_MS), event);
        }
    }

    /// A suspended voter continues, once no fault suspends it.
    pub(super) fn resume_voter(&mut self, index: usize) {
        let node = &mut self.voters[index];
        node.suspensions -= 1;
        if node.suspensions == 0 {
            // In order of arrival: requests come before the news of a new leader.
            for event in std::mem::take(&mut node.deferred) {
                self.event_queue.schedule_after(0, event);
            }
        }
    }

    pub(super) fn tick(&mut self, index: usize, incarnation: u64) {
        let node = &self.voters[index];
        if node.incarnation != incarnation || node.voter.is_none() {
            return;
        }
        let delay = (TICK as f64 / self.clock_rate(Endpoint::Voter(index))) as Nanos;
        self.event_queue.schedule_after(delay, ScheduledEvent::Tick { voter: index, incarnation });
        self.handle_voter_event(index, Event::Tick);
    }

    /// Passes an event to a voter and performs its actions.
    pub(super) fn handle_voter_event(&mut self, index: usize, event: Event) {
        let now = self.local_now(Endpoint::Voter(index));
        let mut actions = Vec::new();
        let Some(voter) = self.voters[index].voter.as_mut() else { return };
        voter.handle(now, event, &mut actions);
        for action in actions {
            self.perform_voter_action(index, action);
        }
        self.track_leadership();
    }

    fn perform_voter_action(&mut self, index: usize, action: Action) {
        match action {
            Action::Send { to, message } => self.send_peer_message(index, to, message),
            Action::Persist(request) => self.persist(index, request),
            Action::Reply { client, reply } => self.send_reply(client, Some(reply)),
            Action::Report(event) => {
                if event == VoterEvent::Removed {
                    self.voters[index].removed = true;
                }
                self.digest.write_u64(index as u64);
            }
        }
    }

    fn send_peer_message(&mut self, from: usize, to_id: u64, message: Vec<u8>) {
        let is_killed = self.voters[from].kills_after_vote > 0 && grants_vote(&message);
        let max_delay = if self.flaky_links > 0 { 250.0 } else { 2.0 };
        let delay = self.random.gen_range(0.1..max_delay);
        if self.flaky_links > 0 && self.random.gen_bool(FLAKY_LOSS) {
            return;
        }
        self.event_queue
            .schedule_after(nanos_from_ms(delay), ScheduledEvent::PeerMessage { from, to_id, message });
        if is_killed {
            let remaining = self.voters[from].kills_after_vote - 1;
            self.crash(from, 0.0);
            self.voters[from].kills_after_vote = remaining;
            self.event_queue
                .schedule_after(nanos_from_ms(RESTART_DELAY_MS), ScheduledEvent::StartVoter(from));
        }
    }

    pub(super) fn deliver_peer_message(&mut self, from: usize, to_id: u64, message: Vec<u8>) {
        let Some(to) = self.voter_with_id(to_id) else { return };
        if self.is_cut(Endpoint::Voter(from), Endpoint::Voter(to)) {
            return;
        }
        if self.voters[to].voter.is_none() {
            return self.handle_voter_event(from, Event::Unreachable(to_id));
        }
        self.handle_voter_event(to, Event::Message(message));
    }

    fn persist(&mut self, index: usize, request: PersistRequest) {
        let now = self.event_queue.now();
        let node = &mut self.voters[index];
        if request.replace {
            self.report.snapshots += 1;
        }
        let (min_ms, max_ms) = if node.disk.slow { (50.0, 400.0) } else { (0.1, 4.0) };
        let duration = nanos_from_ms(self.random.gen_range(min_ms..max_ms));
        let ends_at = node.write_schedule.add(now, duration);
        let (number, incarnation) = (request.number, node.incarnation);
        let fails = node.disk.full;
        if !fails {
            node.disk.start(request);
        }
        let ended = |abnormal| ScheduledEvent::Persisted { voter: index, incarnation, number, abnormal };
        self.event_queue.schedule_at(ends_at, ended(fails));
        if self.variant == Variant::AcknowledgedBeforeSync && !fails {
            self.event_queue.schedule_after(0, ended(true));
        }
    }

    pub(super) fn persisted(&mut self, index: usize, incarnation: u64, number: u64, abnormal: bool) {
        let node = &mut self.voters[index];
        if node.incarnation != incarnation || node.voter.is_none() {
            return;
        }
        if abnormal && self.variant == Variant::AcknowledgedBeforeSync && !node.disk.full {
            // Acknowledged now, and on disk only later.
            return self.handle_voter_event(index, Event::Persisted(number));
        }
        if abnormal {
            node.disk.discard_pending();
            let why = "no space left".into();
            return self.handle_voter_event(index, Event::PersistFailed { number, why, intact: false });
        }
        node.disk.complete(number);
        self.handle_voter_event(index, Event::Persisted(number));
    }

    /// Recovers a voter whose disk failed and has space again.
    pub(super) fn check_disk(&mut self, index: usize, incarnation: u64) {
        if self.voters[index].incarnation != incarnation {
            return;
        }
        let check = ScheduledEvent::CheckDisk { voter: index, incarnation };
        self.event_queue.schedule_after(nanos_from_ms(DISK_CHECK_INTERVAL_MS), check);
        let node = &self.voters[index];
        if node.voter.as_ref().is_some_and(Voter::awaits_storage_recovery) && !node.disk.full {
            if let Ok(state) = PersistedState::read(node.disk.records()) {
                self.handle_voter_event(index, Event::Recovered(state));
            }
        }
    }

    /// The leader of the highest term.
    pub(super) fn leader(&self) -> Option<usize> {
        let term = |node: &VoterNode| {
            let leader = node.voter.as_ref().filter(|voter| voter.is_serving_leader());
            leader.map(|voter| voter.status().term)
        };
        let leaders = self.voters.iter().enumerate().filter_map(|(index, node)| Some((term(node)?, index)));
        leaders.max().map(|(_, index)| index)
    }

    /// Records the periods without a leader.
    fn track_leadership(&mut self) {
        let now = self.event_queue.now();
        let leads = |node: &VoterNode| {
            node.suspensions == 0 && node.voter.as_ref().is_some_and(Voter::is_serving_leader)
        };
        let has_leader = self.voters.iter().any(leads);
        match (has_leader, self.leaderless_since) {
            (true, Some(since)) => {
                self.leaderless_since = None;
                if since > 0 && now - since > TICK {
                    self.report.leaderless_periods.push(now - since);
                }
            }
            (false, None) => self.leaderless_since = Some(now),
            _ => {}
        }
        if has_leader && now > HEALED && self.led_after_faults.is_none() {
            self.led_after_faults = Some(now);
        }
    }
}

fn grants_vote(message: &[u8]) -> bool {
    let parsed = Message::parse_from_bytes(message);
    parsed.is_ok_and(|m| m.get_msg_type() == MessageType::MsgRequestVoteResponse && !m.reject)
}
