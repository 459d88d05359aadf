//! Attempts and retries: sending attempts, retrying or giving up, and learning from their outcomes.
use super::admission::{lateness, MAX_LATENESS, MAX_SAVED_RETRIES};
use super::endpoint_selection::SelectionRequest;
use super::random::uniform;
use super::{Balancer, CYCLE};
use crate::interface::{Action, AttemptOutcome, DedupScope, Effect, Millis, Request, RequestId};

/// Number of mean deviations that are added to the usual answer time for the timeout of an attempt that may be retried.
const TIMEOUT_DEVIATIONS: f64 = 4.0;
/// Failure rate of an upstream above which its attempts get that timeout. For the loss rate of an idle time bucket, a
/// quarter of it suffices.
const SUSPECT_FAILURE_RATE: f64 = 0.2;
/// Fraction of its objective at which a request whose late answer is worth nothing ends, in time to tell the client.
const OBJECTIVE_FRACTION: f64 = 0.98;
/// Number of retries allowed per request on average. This keeps retries from multiplying the load on a failing tier.
const RETRY_RATIO: f64 = 0.2;
/// Fraction of the cold start budget that is used. The remainder absorbs randomness and requests heavier than average.
const COLD_MARGIN: f64 = 0.5;

/// State of a request that is unanswered or has an attempt in flight.
pub(super) struct PendingRequest {
    class: usize,
    tenant: usize,
    /// Maximum number of attempts that the client allows, in addition to the bound in the settings.
    pub(super) max_attempts: u32,
    /// Time at which an answer stops being worth anything. No attempt runs longer.
    ends_at: Millis,
    /// Number of attempts sent so far.
    pub(super) sent_attempts: u32,
    /// Attempts in flight: number, upstream, time of sending, and idle time bucket of the connection.
    pub(super) in_flight: Vec<(u32, usize, Millis, usize)>,
    /// First attempt that may have run: number, time of sending, zone and group.
    may_have_run: Option<(u32, Millis, u16, u16)>,
    /// Upstream of the last attempt.
    last_slot: Option<usize>,
    /// Whether the request has its final answer, or needs none since the client left.
    pub(super) finished: bool,
}

impl Balancer {
    /// Sends an attempt if an upstream is available and every rule allows it. Returns whether it was sent.
    fn send_attempt(&mut self, now: Millis, id: RequestId, actions: &mut Vec<Action>) -> bool {
        let settings = &self.settings;
        let Some(pending) = self.pending.get(&id) else { return false };
        if pending.sent_attempts >= settings.attempts_cap.min(pending.max_attempts)
            || now >= pending.ends_at
            || self.cannot_finish(pending.class, pending.ends_at - now)
        {
            return false;
        }
        let scope = match (pending.may_have_run, settings.classes[pending.class].effect) {
            (None, _) | (_, Effect::Free) => None,
            (Some(_), Effect::SingleShot) => return false,
            (Some((_, sent, ..)), Effect::Guarded { window, .. }) if now >= sent + window => return false,
            (Some((.., zone, group)), Effect::Guarded { scope, .. }) => Some((scope, zone, group)),
        };
        let pool = self.endpoints.pool_by_class[pending.class];
        let ready_upstreams = self
            .endpoints
            .pools
            .iter()
            .map(|pool| pool.same_zone.len() + pool.other_zone.len())
            .fold(1, usize::max) as f64;
        let cold_rate =
            self.admission.mean_admitted / CYCLE / ready_upstreams * COLD_MARGIN * settings.tip_multiple;
        let selection = SelectionRequest {
            settings,
            now,
            pool,
            cold_rate,
            avoid: pending.last_slot,
            allow_unhealthy: false,
            scope,
        };
        let last_resort = SelectionRequest { avoid: None, allow_unhealthy: true, ..selection };
        let selected = [(false, &selection), (true, &selection), (false, &last_resort), (true, &last_resort)]
            .into_iter()
            .find_map(|(other_zone, selection)| self.endpoints.select(other_zone, selection, &mut self.rng));
        let Some(slot) = selected else { return false };
        let (mut idle_bucket, close) = self.endpoints.next_connection(slot, settings, now, &mut self.rng);
        if close {
            actions.push(Action::CloseIdle(self.endpoints.slots[slot].member.id));
            idle_bucket = 0;
        }
        self.endpoints.record_send(slot, idle_bucket, now);
        self.admission.inflight += 1.0;
        let member = &self.endpoints.slots[slot].member;
        let timeout = self.attempt_timeout(pending, slot, idle_bucket, now);
        actions.push(Action::Send { request: id, upstream: member.id, timeout });
        let (zone, group) = (member.zone, member.group);
        if let Some(pending) = self.pending.get_mut(&id) {
            pending.may_have_run.get_or_insert((pending.sent_attempts, now, zone, group));
            pending.in_flight.push((pending.sent_attempts, slot, now, idle_bucket));
            pending.sent_attempts += 1;
            pending.last_slot = Some(slot);
        }
        true
    }

    /// Whether a request of this class can no longer be answered in the time left; always false if the check is
    /// disabled.
    fn cannot_finish(&self, class: usize, time_left: Millis) -> bool {
        self.settings.refuse_hopeless && self.fastest_answers.cannot_finish(class, time_left)
    }

    /// Returns the timeout of an attempt. An attempt normally runs until its request ends: heavy requests take long to
    /// answer, and a retry of one is as heavy. It ends sooner only if attempts were recently lost at this upstream or
    /// on connections that were idle as long, and a retry is allowed and leaves time for an answer.
    fn attempt_timeout(
        &self,
        pending: &PendingRequest,
        slot: usize,
        idle_bucket: usize,
        now: Millis,
    ) -> Millis {
        let (endpoints, upstream) = (&self.endpoints, &self.endpoints.slots[slot]);
        let suspect = upstream.failure_rate > SUSPECT_FAILURE_RATE
            || endpoints.idle_loss_rates[idle_bucket] > SUSPECT_FAILURE_RATE / 4.0;
        let attempts_left = pending.sent_attempts + 1 < self.settings.attempts_cap.min(pending.max_attempts)
            && self.retry_budget >= 1.0;
        let retry_allowed =
            attempts_left && self.settings.classes[pending.class].effect != Effect::SingleShot;
        let usual_latency = endpoints.mean_latency * upstream.relative_latency.clamp(1.0, 3.0);
        let timeout =
            usual_latency + (TIMEOUT_DEVIATIONS * endpoints.latency_deviation).max(endpoints.mean_latency);
        let in_time = now + timeout + endpoints.mean_latency < pending.ends_at;
        if suspect && retry_allowed && in_time {
            timeout
        } else {
            pending.ends_at - now
        }
    }

    /// Sends the one final answer: a refusal if a retry by the client is known to be harmless, else a failure.
    fn finish_unserved(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        let Some(pending) = self.pending.get_mut(&id) else { return };
        let harmless = match self.settings.classes[pending.class].effect {
            Effect::Free | Effect::Guarded { scope: DedupScope::All, .. } => true,
            _ => pending.may_have_run.is_none(),
        };
        pending.finished = true;
        if pending.in_flight.is_empty() {
            self.pending.remove(&id);
        }
        actions.push(if harmless { self.refusal(id) } else { Action::Fail { request: id } });
    }

    fn refusal(&mut self, request: RequestId) -> Action {
        // The advised delay lasts about until the next cycle has begun. Jitter keeps clients that follow it from
        // returning together.
        let retry_after = (CYCLE * (0.5 + uniform(&mut self.rng))).min(self.settings.max_retry_after);
        Action::Refuse { request, retry_after }
    }

    /// Handles a new request: sends its first attempt or gives its final answer.
    pub(super) fn handle_request(&mut self, now: Millis, request: Request, actions: &mut Vec<Action>) {
        if self.pending.contains_key(&request.id) {
            return;
        }
        self.retry_budget = (self.retry_budget + RETRY_RATIO).min(MAX_SAVED_RETRIES);
        let Some(class_settings) = self.settings.classes.get(request.class) else {
            let refusal = self.refusal(request.id);
            return actions.push(refusal);
        };
        // A late answer that is worth nothing only occupies a slot in every tier above.
        let useful_until = if class_settings.late_worth > 0.0 {
            f64::INFINITY
        } else {
            now + class_settings.objective * OBJECTIVE_FRACTION
        };
        let (class, ends_at) = (request.class, request.deadline.min(useful_until));
        let too_late = self.cannot_finish(class, ends_at - now);
        if too_late {
            self.fastest_answers.decay(class);
        }
        if too_late || !self.admission.admit(request.tenant, request.worth, now) {
            let refusal = self.refusal(request.id);
            return actions.push(refusal);
        }
        let (tenant, max_attempts, in_flight) =
            (request.tenant, request.retries.saturating_add(1), Vec::new());
        let new_pending = PendingRequest {
            class,
            tenant,
            max_attempts,
            ends_at,
            sent_attempts: 0,
            in_flight,
            may_have_run: None,
            last_slot: None,
            finished: false,
        };
        self.pending.insert(request.id, new_pending);
        if !self.send_attempt(now, request.id, actions) {
            self.finish_unserved(request.id, actions);
        }
    }

    /// Records the lateness of attempts that are late already, before their answers arrive. The first answers to arrive
    /// are the fast ones, so that judging by answers alone would make a tier that slows down look healthy.
    pub(super) fn record_overdue_attempts(&mut self, now: Millis) {
        self.admission.lost_inflight = 0.0;
        let max_wait = self.endpoints.mean_latency + TIMEOUT_DEVIATIONS * self.endpoints.latency_deviation;
        for pending in self.pending.values().filter(|pending| !pending.finished) {
            let Some(&(_, slot, sent, idle_bucket)) = pending.in_flight.last() else { continue };
            // Timeouts reveal dropped connections too late: until then, lost attempts count against the limit on
            // attempts in flight.
            let overdue = now - sent - max_wait;
            if (0.0..CYCLE).contains(&overdue) {
                self.endpoints.record_loss(idle_bucket, true);
            }
            let lost = overdue >= 0.0 && self.endpoints.is_dropped(idle_bucket);
            self.admission.lost_inflight += f64::from(u8::from(lost));
            if lost || self.endpoints.is_silent(slot, now) {
                continue;
            }
            let current_lateness = lateness((now - sent) / self.settings.classes[pending.class].objective);
            if current_lateness > 0.0 {
                self.admission.record_lateness(current_lateness);
            }
        }
    }

    /// Handles the end of an attempt: updates the statistics, then retries the request or gives its final answer.
    pub(super) fn handle_outcome(
        &mut self,
        now: Millis,
        id: RequestId,
        attempt: u32,
        (ending, duration, request_finished): (AttemptOutcome, Millis, bool),
        actions: &mut Vec<Action>,
    ) {
        let Some(pending) = self.pending.get_mut(&id) else { return };
        let Some(position) = pending.in_flight.iter().position(|&(n, ..)| n == attempt) else { return };
        let (_, slot, _, idle_bucket) = pending.in_flight.swap_remove(position);
        // Where upstreams also shed work that they had begun, `Declined` does not prove that the attempt never ran.
        let never_ran =
            ending.never_ran() && !(ending == AttemptOutcome::Declined && self.settings.late_shedding);
        if never_ran
            && pending.in_flight.is_empty()
            && pending.may_have_run.is_some_and(|(n, ..)| n == attempt)
        {
            pending.may_have_run = None;
        }
        let (class, tenant) = (pending.class, pending.tenant);
        pending.finished |= request_finished;
        let (finished, has_in_flight) = (pending.finished, !pending.in_flight.is_empty());
        self.admission.inflight -= 1.0;
        let own_failure =
            self.endpoints.record_end((slot, idle_bucket), ending, duration, now, &mut self.rng);
        self.endpoints.free_if_gone(slot);
        if ending == AttemptOutcome::Ok {
            self.fastest_answers.record_answer(class, duration);
        }
        let lateness = match ending {
            AttemptOutcome::Ok => Some(lateness(duration / self.settings.classes[class].objective)),
            AttemptOutcome::Cancelled | AttemptOutcome::NotSent => None,
            // Failures that are the upstream's or the connection's own do not count against capacity.
            _ if own_failure || self.endpoints.is_dropped(idle_bucket) => None,
            _ => Some(MAX_LATENESS),
        };
        if let Some(lateness) = lateness {
            self.admission.record_lateness(lateness);
        }
        if finished && !has_in_flight {
            self.pending.remove(&id);
        } else if !finished && !has_in_flight {
            let has_budget = self.retry_budget >= 1.0 && self.admission.may_retry(tenant);
            if ending != AttemptOutcome::Ok && has_budget && self.send_attempt(now, id, actions) {
                self.retry_budget -= 1.0;
                self.admission.take_retry(tenant);
            } else {
                self.finish_unserved(id, actions);
            }
        }
    }
}
