//! Links, and connections between clients and voters.
use super::nodes::{Connection, Endpoint};
use super::{ScheduledEvent, World};
use coordination::client;
use coordination::protocol::{Call, Reply};
use coordination::voter::Event;
use fleet_simulation::agenda::{nanos_from_ms, Nanos};
use rand::Rng;

/// Timeout of establishing a connection.
const CONNECT_TIMEOUT: Nanos = 1_000_000_000;
/// Delay until a connection is refused, in milliseconds.
const REFUSAL_DELAY_MS: f64 = 0.5;
/// Interval at which a message on a cut link is sent again, in milliseconds.
const RETRANSMISSION_MS: f64 = 100.0;

impl World {
    pub(super) fn is_cut(&self, from: Endpoint, to: Endpoint) -> bool {
        self.cut_links.values().any(|links| links.contains(&(from, to)))
    }

    fn draw_latency(&mut self) -> Nanos {
        nanos_from_ms(self.random.gen_range(0.1..2.0))
    }

    /// Sends a reply to a client; `None` resets the connection.
    pub(super) fn send_reply(&mut self, connection: u64, reply: Option<Reply>) {
        let arrival = self.draw_latency() + self.event_queue.now();
        let Some(state) = self.connections.get_mut(&connection) else { return };
        state.last_reply_at = state.last_reply_at.max(arrival);
        self.event_queue.schedule_at(state.last_reply_at, ScheduledEvent::ReplyArrives { connection, reply });
    }

    /// Sends a call to a voter; `None` closes the connection.
    pub(super) fn send_call(&mut self, connection: u64, call: Option<Call>) {
        let arrival = self.draw_latency() + self.event_queue.now();
        let Some(state) = self.connections.get_mut(&connection) else { return };
        state.last_call_at = state.last_call_at.max(arrival);
        self.event_queue.schedule_at(state.last_call_at, ScheduledEvent::CallArrives { connection, call });
    }

    pub(super) fn connect(&mut self, client: usize, connection: u64, address: &str) {
        if self.clients[client].connection != Some(connection) {
            return;
        }
        let failed = ScheduledEvent::ConnectFailed { client, connection };
        let voter = self.voters.iter().rposition(|node| node.name == address);
        let Some(voter) = voter.filter(|&voter| self.voters[voter].voter.is_some()) else {
            return self.event_queue.schedule_after(nanos_from_ms(REFUSAL_DELAY_MS), failed);
        };
        let (from, to) = (Endpoint::Client(client), Endpoint::Voter(voter));
        // A suspended voter does not answer the handshake.
        if self.is_cut(from, to) || self.is_cut(to, from) || self.voters[voter].suspensions > 0 {
            return self.event_queue.schedule_after(CONNECT_TIMEOUT, failed);
        }
        let incarnation = self.voters[voter].incarnation;
        let now = self.event_queue.now();
        let state = Connection { client, voter, incarnation, last_call_at: now, last_reply_at: now };
        self.connections.insert(connection, state);
        self.handle_client_event(client, client::Event::Connected);
    }

    pub(super) fn connect_failed(&mut self, client: usize, connection: u64) {
        if self.clients[client].connection == Some(connection) {
            self.clients[client].connection = None;
            self.handle_client_event(client, client::Event::Disconnected);
        }
    }

    pub(super) fn deliver_call(&mut self, connection: u64, call: Option<Call>) {
        let Some(&Connection { client, voter, incarnation, .. }) = self.connections.get(&connection) else {
            return;
        };
        if self.voters[voter].incarnation != incarnation {
            self.connections.remove(&connection);
            return;
        }
        if self.is_cut(Endpoint::Client(client), Endpoint::Voter(voter)) {
            let event = ScheduledEvent::CallArrives { connection, call };
            return self.event_queue.schedule_after(nanos_from_ms(RETRANSMISSION_MS), event);
        }
        match call {
            Some(call) => self.handle_voter_event(voter, Event::Call { client: connection, call }),
            None => {
                self.connections.remove(&connection);
                self.handle_voter_event(voter, Event::ClientDisconnected(connection));
            }
        }
    }

    pub(super) fn deliver_reply(&mut self, connection: u64, reply: Option<Reply>) {
        let Some(&Connection { client, voter, .. }) = self.connections.get(&connection) else { return };
        if self.clients[client].connection != Some(connection) {
            return;
        }
        if self.is_cut(Endpoint::Voter(voter), Endpoint::Client(client)) {
            let event = ScheduledEvent::ReplyArrives { connection, reply };
            return self.event_queue.schedule_after(nanos_from_ms(RETRANSMISSION_MS), event);
        }
        match reply {
            Some(reply) => self.handle_client_event(client, client::Event::Reply(reply)),
            None => {
                self.connections.remove(&connection);
                self.clients[client].connection = None;
                self.handle_client_event(client, client::Event::Disconnected);
            }
        }
    }
}
