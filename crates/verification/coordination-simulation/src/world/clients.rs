//! Clients and their workloads.
use super::nodes::{ClientNode, Endpoint};
use super::{ScheduledEvent, World};
use crate::plan::LAST_REQUEST;
use crate::workload::Worker;
use coordination::client::{
    Action, Client, ClientConfig, Event, RequestOutcome, SessionConfig, SessionEvent,
};
use fleet_simulation::agenda::{nanos_from_ms, Nanos};
use rand::Rng;
use std::collections::VecDeque;
use std::time::Duration;

/// Position of the operator among the clients.
pub(super) const OPERATOR: usize = 0;
/// When clients start, in milliseconds.
const CLIENT_START_MS: f64 = 1.0;
/// When workloads start, in milliseconds.
const WORKLOAD_START_MS: f64 = 1200.0;
/// Delay until a workload without a possible request tries again, in milliseconds.
const IDLE_DELAY_MS: f64 = 50.0;
/// Latency of a connection attempt, in milliseconds.
const CONNECT_LATENCY_MS: f64 = 0.5;
/// Added to a timeout, so that it does not fire early because of rounding.
const TIMEOUT_MARGIN: Nanos = 1_000;

impl World {
    /// Adds a client with this number and its workload, or the operator.
    pub(super) fn add_client(&mut self, number: Option<usize>) {
        let ttl = Duration::from_millis(self.random.gen_range(1200..3000));
        let session = number.map(|n| SessionConfig { name: format!("c{n}"), ttl, take_over: true });
        let config = ClientConfig {
            voters: self.voter_names(),
            session,
            response_timeout: Duration::from_millis(self.random.gen_range(500..3000)),
            seed: self.random.gen(),
        };
        let client = self.clients.len();
        self.clients.push(ClientNode {
            client: Client::new(config),
            worker: number.map(|n| Worker::new(n as u64)),
            connection: None,
            suspensions: 0,
            deferred: VecDeque::new(),
            last_request_id: 0,
            pending_request: None,
            session_expiry: None,
        });
        let start = ScheduledEvent::ClientTimeout { client, at: Duration::ZERO };
        self.event_queue.schedule_at(nanos_from_ms(CLIENT_START_MS), start);
        if number.is_some() {
            self.event_queue
                .schedule_at(nanos_from_ms(WORKLOAD_START_MS), ScheduledEvent::NextRequest(client));
        }
    }

    /// Passes an event to a client and performs its actions.
    pub(super) fn handle_client_event(&mut self, index: usize, event: Event) {
        let endpoint = Endpoint::Client(index);
        let now = self.local_now(endpoint);
        let mut actions = Vec::new();
        self.clients[index].client.handle(now, event, &mut actions);
        for action in actions {
            self.perform_client_action(index, action);
        }
        let client = &self.clients[index].client;
        let expiry = client.held_session(now).and_then(|_| client.lease_expiry());
        let next_timeout = client.next_timeout();
        if let Some(expiry) = expiry {
            self.clients[index].session_expiry = Some(self.true_time(endpoint, expiry));
        }
        if let Some(at) = next_timeout {
            let true_time = self.true_time(endpoint, at) + TIMEOUT_MARGIN;
            self.event_queue.schedule_at(true_time, ScheduledEvent::ClientTimeout { client: index, at });
        }
    }

    fn perform_client_action(&mut self, index: usize, action: Action) {
        match action {
            Action::Connect(address) => {
                self.disconnect(index);
                self.last_connection += 1;
                let connection = self.last_connection;
                self.clients[index].connection = Some(connection);
                let event = ScheduledEvent::Connect { client: index, connection, address };
                self.event_queue.schedule_after(nanos_from_ms(CONNECT_LATENCY_MS), event);
            }
            Action::Disconnect => self.disconnect(index),
            Action::Send(call) => {
                if let Some(connection) = self.clients[index].connection {
                    self.send_call(connection, Some(call));
                }
            }
            Action::Complete { request_id, outcome } => self.request_completed(index, request_id, outcome),
            Action::SessionChanged(event) => self.session_changed(index, &event),
        }
    }

    fn disconnect(&mut self, index: usize) {
        if let Some(connection) = self.clients[index].connection.take() {
            self.send_call(connection, None);
        }
    }

    /// A client no longer holds its session, unless it was just established.
    fn session_changed(&mut self, index: usize, event: &SessionEvent) {
        let now = self.event_queue.now();
        let node = &mut self.clients[index];
        let held_until = node.session_expiry.take().unwrap_or(now).min(now);
        if matches!(event, SessionEvent::Established(_)) {
            return;
        }
        if let Some(worker) = &mut node.worker {
            worker.release_lock(held_until, &mut self.histories);
        }
    }

    fn request_completed(&mut self, index: usize, request_id: u64, outcome: RequestOutcome) {
        let now = self.event_queue.now();
        if index == OPERATOR {
            return self.operator_request_completed(request_id, outcome);
        }
        if self.clients[index].pending_request != Some(request_id) {
            return;
        }
        let session = self.clients[index].client.held_session(self.local_now(Endpoint::Client(index)));
        let node = &mut self.clients[index];
        node.pending_request = None;
        if let Some(worker) = &mut node.worker {
            worker.complete(now, outcome, session, &mut self.histories);
        }
        let delay = nanos_from_ms(self.random.gen_range(5.0..120.0));
        self.event_queue.schedule_after(delay, ScheduledEvent::NextRequest(index));
    }

    /// Starts the next request of a client's workload.
    pub(super) fn start_request(&mut self, index: usize) {
        let now = self.event_queue.now();
        if now > LAST_REQUEST || self.clients[index].pending_request.is_some() {
            return;
        }
        let session = self.clients[index].client.held_session(self.local_now(Endpoint::Client(index)));
        let node = &mut self.clients[index];
        let Some(worker) = &mut node.worker else { return };
        let next = worker.next_request(now, session, &mut self.random);
        if worker.is_releasing_lock() {
            worker.release_lock(now, &mut self.histories);
        }
        let Some((request, timeout)) = next else {
            return self
                .event_queue
                .schedule_after(nanos_from_ms(IDLE_DELAY_MS), ScheduledEvent::NextRequest(index));
        };
        node.last_request_id += 1;
        let request_id = node.last_request_id;
        node.pending_request = Some(request_id);
        self.handle_client_event(index, Event::Submit { request_id, request, timeout });
    }

    pub(super) fn client_timeout(&mut self, index: usize, at: Duration) {
        // A timeout that was rescheduled to later is ignored.
        let next_timeout = self.clients[index].client.next_timeout();
        if next_timeout.is_some_and(|next| next <= at) || at.is_zero() {
            self.handle_client_event(index, Event::Timeout);
        }
    }

    /// A suspended client continues, once no fault suspends it.
    pub(super) fn resume_client(&mut self, index: usize) {
        let node = &mut self.clients[index];
        node.suspensions -= 1;
        if node.suspensions == 0 {
            for event in std::mem::take(&mut node.deferred) {
                self.event_queue.schedule_after(0, event);
            }
        }
    }
}
