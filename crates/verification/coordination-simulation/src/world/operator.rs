//! Membership changes, which the operator requests.
use super::clients::OPERATOR;
use super::{ScheduledEvent, World};
use crate::disk::Disk;
use crate::plan::LAST_REQUEST;
use coordination::client::{ClientRequest, Event, RequestOutcome};
use coordination::protocol::{Answer, Request};
use coordination::voter::{encode_identity, Identity};
use fleet_simulation::agenda::nanos_from_ms;
use std::time::Duration;

/// Request ids from this on are of joins, for the voter at the remaining position; lower ones are of removals, for the fault
/// at that position.
const FIRST_JOIN_REQUEST: u64 = 1_000;
/// Timeout of the operator's requests.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(3);
/// Delay until a failed join is requested again, in milliseconds.
const JOIN_RETRY_DELAY_MS: f64 = 150.0;
/// Delay until the replacement of a removed voter joins, in milliseconds.
const REPLACEMENT_DELAY_MS: f64 = 20.0;

impl World {
    fn submit_operator_request(&mut self, request_id: u64, request: Request) {
        let request = ClientRequest::Call(request);
        let event = Event::Submit { request_id, request, timeout: REQUEST_TIMEOUT };
        self.handle_client_event(OPERATOR, event);
    }

    /// Has a voter with an empty disk join.
    pub(super) fn request_join(&mut self, index: usize) {
        let node = &self.voters[index];
        if node.voter.is_some() || node.removed {
            return;
        }
        let request = Request::Join { name: node.name.clone(), addr: node.name.clone(), voter: node.id };
        self.submit_operator_request(FIRST_JOIN_REQUEST + index as u64, request);
    }

    /// Has a voter removed that the fault at this position replaces.
    pub(super) fn request_removal(&mut self, fault: usize, voter: usize) {
        if self.event_queue.now() > LAST_REQUEST {
            return;
        }
        let name = self.voters[voter].name.clone();
        self.submit_operator_request(fault as u64, Request::RemoveMember { name });
    }

    pub(super) fn operator_request_completed(&mut self, request_id: u64, outcome: RequestOutcome) {
        match request_id.checked_sub(FIRST_JOIN_REQUEST) {
            Some(voter) => self.join_completed(voter as usize, outcome),
            None => self.removal_completed(request_id as usize, outcome),
        }
    }

    fn join_completed(&mut self, voter: usize, outcome: RequestOutcome) {
        let RequestOutcome::Answered(Answer::Joined { cluster }) = outcome else {
            let retry = ScheduledEvent::RequestJoin(voter);
            return self.event_queue.schedule_after(nanos_from_ms(JOIN_RETRY_DELAY_MS), retry);
        };
        let node = &mut self.voters[voter];
        let identity = Identity { cluster: Some(cluster), voter: node.id, name: node.name.clone() };
        node.disk = Disk::with(vec![encode_identity(&identity)]);
        self.start_voter(voter);
    }

    fn removal_completed(&mut self, fault: usize, outcome: RequestOutcome) {
        let Some(&former) = self.replacements.get(&fault) else { return };
        if outcome != RequestOutcome::Answered(Answer::Done) {
            return self.request_removal(fault, former);
        }
        self.voters[former].removed = true;
        let replacement = self.add_voter(former);
        self.event_queue
            .schedule_after(nanos_from_ms(REPLACEMENT_DELAY_MS), ScheduledEvent::RequestJoin(replacement));
    }
}
