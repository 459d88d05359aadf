//! Admission: the learned capacity of the next tier, and the tenants' limits within it.
use super::limits::limits;
use super::{mean_objective, CYCLE};
use crate::interface::*;

/// Part of a tenant's default that is never lent (as published).
const RESERVATION: f64 = 0.1;
/// Weight of the newest cycle in a tenant's demand: one copy sees only a few calls of a tenant per cycle.
const DEMAND_GAIN: f64 = 0.3;
/// Cycles' worth of limit that a tenant may save up; evens out the chance arrivals of tiny counts.
const BURST_CYCLES: f64 = 6.0;
/// An answer is timely within this part of its class's objective; the rest is room for queues to grow while
/// the news of them travels.
const TIMELY: f64 = 0.4;
/// Lateness counts from 0 there to 1 at the objective, and to this much for failures and time-outs.
pub(super) const MAX_LATENESS: f64 = 2.0;
/// Mean lateness at which capacity rests: the tail that heavy work and slow servers have anyway.
const LATENESS_REST: f64 = 0.08;
/// Capacity before anything was learned: in the first tier the stated quotas, below it this multiple of them.
const START_BELOW: f64 = 4.0;
/// Growth of capacity per cycle when no answer is late; its fall for each unit of lateness, and at most.
const CAPACITY_UP: f64 = 0.2;
const CAPACITY_DOWN: f64 = 0.6;
const CAPACITY_FALL: f64 = 0.35;
/// Part of answers in time below which the floor at the stated quotas gives way; and its least part: with too
/// few calls connections rest longer and get lost, and nothing would come back.
pub(super) const SUCCESS_WANTED: f64 = 0.7;
const MIN_FLOOR: f64 = 0.3;
/// Answers that are needed to judge by.
const MIN_ANSWERS_TO_LEARN: f64 = 4.0;
/// Calls in flight that are always allowed, since a copy that carries little cannot send parts of a call.
const INFLIGHT_SPARE: f64 = 1.0;
/// Answer time, as a multiple of the unloaded one, at which calls in flight are what capacity takes, and
/// at which tenants within limits are refused too. More is a queue, and crowded servers slow for long.
const INFLIGHT_FULL: f64 = 1.6;
const INFLIGHT_LIMIT: f64 = 2.2;
/// Growth per cycle of what counts as the unloaded answer time, which is the least mean seen of late.
const UNLOADED_UP: f64 = 0.02;
/// Part of answers in time from which it may grow.
const UNLOADED_AT: f64 = 0.92;
/// Capacity stays within this multiple of the peak of what was lately admitted, of which this much is kept
/// each cycle: more is untested. A mean in place of the peak would refuse the chance bursts of tiny counts.
const CAPACITY_ROOM: f64 = 2.0;
const PEAK_DECAY: f64 = 0.95;
/// Repeats that can be saved up.
pub(super) const RETRY_SAVED: f64 = 10.0;
/// Part of the room that a request of no worth may find used; more for more worth.
const WORTHLESS_ROOM: f64 = 0.5;

struct TenantState {
    weight: f64,
    seen: bool,
    /// Attempts this cycle, refused ones too; and their smoothed number per cycle.
    count: f64,
    demand: f64,
    /// Admitted this cycle, less what was saved up in earlier ones.
    admitted: f64,
    limit: f64,
    /// Repeats that it may still have.
    retries: f64,
}

/// One copy's view of the next tier's capacity and the tenants' limits within it.
#[derive(Default)]
pub(super) struct Admission {
    tenants: Vec<TenantState>,
    /// Calls per cycle. Learned: see [`Admission::learn`].
    capacity: f64,
    /// The stated quotas per cycle; the part of answers in time; ready upstreams as a part of the most seen.
    quota: f64,
    pub(super) success: f64,
    pub(super) ready: f64,
    in_time: f64,
    admitted: f64,
    cycle_start: Millis,
    cycle_admitted: f64,
    /// Admitted per cycle: its mean of late, and its peak.
    pub(super) recent: f64,
    peak: f64,
    /// Answers since the last judgement, and their summed lateness.
    answers: f64,
    lateness: f64,
    /// Calls in flight; those of them lost with their connection; and the mean time of an unqueued answer.
    pub(super) inflight: f64,
    pub(super) lost: f64,
    unloaded: Millis,
    timely: Millis,
    /// Whether calls within their limits were refused this cycle.
    crowded: bool,
    /// Repeats for each first attempt of a tenant; zero: not bounded.
    tenant_retries: f64,
}

impl Admission {
    pub(super) fn new(s: &Settings, now: Millis) -> Self {
        let none = [Tenant { share: 1.0, quota_per_s: 0.0 }];
        let listed: &[Tenant] = if s.tenants.is_empty() { &none } else { &s.tenants };
        let fresh = |weight| TenantState {
            weight,
            seen: false,
            count: 0.0,
            demand: 0.0,
            admitted: 0.0,
            limit: 0.0,
            retries: RETRY_SAVED,
        };
        let mut tenants: Vec<TenantState> = listed.iter().map(|t| fresh(t.share)).collect();
        // One further place for tenants that the settings do not list, however many they are.
        tenants.push(fresh(listed.iter().map(|t| t.share).fold(f64::INFINITY, f64::min)));
        let quota: f64 = listed.iter().map(|t| t.quota_per_s).sum::<f64>() / f64::from(s.balancers);
        // Starting above its quotas, the first tier crowded the servers at once. Tiers below start with more
        // room: the first tier sheds first, since a refusal below wastes the work done above.
        let start = if s.stage == 0 { 1.0 } else { START_BELOW };
        let stated = start * quota * CYCLE / 1000.0;
        // Without stated quotas nothing is known: the first cycle refuses no one and shows what is carried.
        let capacity = if stated > 0.0 { stated } else { 1000.0 };
        let objective = mean_objective(s);
        Admission {
            tenants,
            capacity,
            quota: (quota * CYCLE / 1000.0).max(0.1),
            success: 1.0,
            ready: 1.0,
            cycle_start: now,
            recent: stated,
            peak: stated,
            unloaded: objective / 4.0,
            timely: TIMELY * objective,
            tenant_retries: s.tenant_retries,
            ..Admission::default()
        }
    }

    pub(super) fn learned(&self) -> Learned {
        let demands = self.tenants.iter().map(|t| t.demand).collect();
        Learned { capacity: self.capacity, peak: self.peak, unloaded: self.unloaded, demands }
    }

    /// Begins with what another learned. Figures that none can have learned are not believed.
    pub(super) fn recall(&mut self, learned: &Learned, now: Millis) {
        let Learned { capacity, peak, unloaded, demands } = learned;
        let sound = |v: &f64| (0.0..=1e9).contains(v);
        let all = [capacity, peak, unloaded].into_iter().chain(demands);
        if !all.into_iter().all(sound) || demands.len() != self.tenants.len() || *unloaded <= 0.0 {
            return;
        }
        (self.peak, self.recent, self.unloaded) = (*peak, demands.iter().sum(), *unloaded);
        self.capacity = capacity.min(peak * CAPACITY_ROOM + 1.0).max(self.floor());
        for (tenant, &demand) in self.tenants.iter_mut().zip(demands) {
            (tenant.demand, tenant.seen) = (demand, demand > 0.0);
        }
        self.end_cycle(now);
    }

    /// Whether a tenant may have another repeat: a slow dependency gets no multiple for one of them either.
    pub(super) fn may_repeat(&self, tenant: usize) -> bool {
        self.tenant_retries <= 0.0 || self.tenants[tenant.min(self.tenants.len() - 1)].retries >= 1.0
    }

    pub(super) fn repeated(&mut self, tenant: usize) {
        let tenant = tenant.min(self.tenants.len() - 1);
        self.tenants[tenant].retries -= 1.0;
    }

    /// Counts the request as demand and decides whether it passes. What is worth less finds less room, none
    /// within its tenant's limit once the total is full: a late repeat goes before a first try.
    pub(super) fn admit(&mut self, tenant: usize, worth: f64, now: Millis) -> bool {
        let tenant = tenant.min(self.tenants.len() - 1);
        if !self.tenants[tenant].seen {
            // A new tenant ends the cycle early, so that it has a limit at once (as published).
            self.tenants[tenant].seen = true;
            self.end_cycle(now);
        }
        // Answers tell of an overload only when they come, late. Calls in flight tell at once: more than
        // the capacity takes in the unloaded answer time are waiting somewhere.
        let room = |time: Millis| self.capacity / CYCLE * time + INFLIGHT_SPARE;
        let full = room(self.unloaded * INFLIGHT_FULL);
        let most = room((self.unloaded * INFLIGHT_LIMIT).max(self.timely));
        let t = &mut self.tenants[tenant];
        t.count += 1.0;
        t.retries = (t.retries + self.tenant_retries).min(RETRY_SAVED);
        let inflight = self.inflight - self.lost;
        let part = if worth < 1.0 { WORTHLESS_ROOM + (1.0 - WORTHLESS_ROOM) * worth.max(0.0) } else { 1.0 };
        let full = self.admitted >= self.capacity * part || inflight >= full * part;
        let within = worth >= 1.0 && t.admitted < t.limit;
        if inflight >= most || (full && !within) {
            self.crowded |= within;
            return false;
        }
        t.admitted += 1.0;
        self.admitted += 1.0;
        self.cycle_admitted += 1.0;
        true
    }

    /// The unloaded answer time is the least mean of late, let up only while nearly all are in time. In
    /// a jam it would let more calls in, and crowded servers never get the rest that they recover by.
    pub(super) fn note_latency(&mut self, latency: Millis) {
        let up = if self.success < UNLOADED_AT { 1.0 } else { 1.0 + UNLOADED_UP };
        self.unloaded = (self.unloaded * up).min(latency);
    }

    pub(super) fn end_cycle(&mut self, now: Millis) {
        // A cycle that a new tenant cut short counts for the part that it lasted.
        let part = ((now - self.cycle_start) / CYCLE).clamp(0.0, 1.0);
        self.cycle_start = now;
        let gain = part * DEMAND_GAIN;
        for t in self.tenants.iter_mut().filter(|t| t.seen) {
            t.demand += if part > 0.0 { gain * (t.count / part - t.demand) } else { 0.0 };
            t.count = 0.0;
        }
        self.recent += if part > 0.0 { gain * (self.cycle_admitted / part - self.recent) } else { 0.0 };
        if part >= 0.5 {
            self.peak = (self.cycle_admitted / part).max(self.peak * PEAK_DECAY);
            self.adapt(self.cycle_admitted / part);
            if std::mem::take(&mut self.crowded) {
                // More is lent than can be carried: back to that, so that limits decide who is refused.
                self.capacity = self.capacity.min(self.cycle_admitted / part);
            }
            self.capacity = self.capacity.min(self.peak * CAPACITY_ROOM + 1.0).max(self.floor());
        }
        self.cycle_admitted = 0.0;
        // Tiny counts: a limit at the mean refuses half the cycles of a steady tenant, so one deviation more.
        let seen: Vec<usize> = (0..self.tenants.len()).filter(|&i| self.tenants[i].seen).collect();
        let demands: Vec<f64> = seen.iter().map(|&i| self.tenants[i].demand).map(|d| d + d.sqrt()).collect();
        let weights: Vec<f64> = seen.iter().map(|&i| self.tenants[i].weight).collect();
        let fresh = limits(self.capacity, &demands, &weights, RESERVATION);
        for (&i, limit) in seen.iter().zip(fresh) {
            let t = &mut self.tenants[i];
            t.admitted = (t.admitted - t.limit * part).clamp(-BURST_CYCLES * limit, limit);
            t.limit = limit;
        }
        self.admitted = (self.admitted - self.capacity * part).clamp(0.0, self.capacity);
    }

    /// Least capacity: the stated quotas, since lateness that is not of the load's making (heavy work, silent
    /// servers) would cut it to nothing. Less where most answers are too late to count, for crowded servers
    /// lose all that is admitted, and where upstreams went away.
    fn floor(&self) -> f64 {
        self.quota * self.ready * (self.success / SUCCESS_WANTED).clamp(MIN_FLOOR, 1.0)
    }

    /// Takes note of how late an answer was.
    pub(super) fn learn(&mut self, lateness: f64) {
        self.in_time += f64::from(u8::from(lateness < 1.0));
        self.lateness += lateness;
        self.answers += 1.0;
    }

    /// Moves the learned capacity: up on timely answers, the more the sooner they came; down on others.
    /// A mean decides, with room for the tail that slow servers and heavy calls keep however little is sent.
    fn adapt(&mut self, admitted: f64) {
        if self.answers < MIN_ANSWERS_TO_LEARN {
            return;
        }
        let mean = self.lateness / self.answers;
        self.success += DEMAND_GAIN * (self.in_time / self.answers - self.success);
        if mean > LATENESS_REST {
            let fall = (CAPACITY_DOWN * (mean - LATENESS_REST)).min(CAPACITY_FALL);
            self.capacity = (self.capacity * (1.0 - fall)).max(self.floor());
        } else {
            // What was admitted and answered in time was within capacity, whatever was learned before.
            self.capacity = self.capacity.max(admitted) * (1.0 + CAPACITY_UP * (1.0 - mean / LATENESS_REST));
        }
        (self.lateness, self.in_time, self.answers) = (0.0, 0.0, 0.0);
    }
}

/// How late an answer is that took `part` of its class's objective.
pub(super) fn lateness(part: f64) -> f64 {
    ((part - TIMELY) / (1.0 - TIMELY)).clamp(0.0, MAX_LATENESS)
}
