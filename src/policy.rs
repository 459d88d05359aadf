//! Every decision of the balancer. The types it speaks in are in `src/interface.rs`.
//!
//! Ordinary path of a request: count it as its tenant's demand; admit it when its tenant is within its limit
//! or the cycle's capacity is not used up, refuse it otherwise; send it to the less busy of two random ready
//! upstreams by our own calls in flight. Everything else is an exception, and says what it guards against.
use crate::interface::*;
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::cmp::Ordering;
use std::collections::{BTreeMap, BTreeSet};

// --- Constants ------------------------------------------------------------------------------------

/// Length of a cycle. The published 10 s is too slow for capacity that is learned instead of benchmarked.
const CYCLE: Millis = 1000.0;
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
const LATENESS_MOST: f64 = 2.0;
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
const SUCCESS_WANTED: f64 = 0.7;
const FLOOR_LEAST: f64 = 0.3;
/// Answers that are needed to judge by.
const LEARN_LEAST: f64 = 4.0;
/// Calls in flight that are always allowed, since a copy that carries little cannot send parts of a call.
const INFLIGHT_SPARE: f64 = 1.0;
/// Answer time, as a multiple of the unloaded one, at which calls in flight are what capacity takes, and
/// at which tenants within limits are refused too. More is a queue, and crowded servers slow for long.
const INFLIGHT_FULL: f64 = 1.6;
const INFLIGHT_MOST: f64 = 2.2;
/// Growth per cycle of what counts as the unloaded answer time, which is the least mean seen of late.
const UNLOADED_UP: f64 = 0.02;
/// Part of answers in time from which it may grow.
const UNLOADED_AT: f64 = 0.92;
/// Capacity stays within this multiple of the peak of what was lately admitted, of which this much is kept
/// each cycle: more is untested. A mean in place of the peak would refuse the chance bursts of tiny counts.
const CAPACITY_ROOM: f64 = 2.0;
const PEAK_KEPT: f64 = 0.95;
/// Smoothing of an upstream's failures, per outcome.
const FAIL_GAIN: f64 = 0.25;
/// An upstream is ejected when its failures exceed this and this multiple of the whole list's.
const EJECT_AT: f64 = 0.4;
const EJECT_RATIO: f64 = 2.0;
/// One in this many is ejected at once: chance failures of all alike would jam the few that are left.
const EJECT_PART: usize = 3;
/// First ejection lasts this long, each further one as much longer, up to the most.
const EJECT_BASE: Millis = 2000.0;
const EJECT_MOST: Millis = 16_000.0;
/// An upstream with calls out that has not answered for this many mean answer times counts as hung.
const SILENT_FACTOR: f64 = 6.0;
const SILENT_LEAST: Millis = 300.0;
/// An attempt that may be repeated is given up after the mean answer time and this many mean deviations.
const TIMEOUT_DEVIATIONS: f64 = 4.0;
/// It is given up only where failures exceed this, or a quarter of it on connections that rested as long.
const SUSPECT_AT: f64 = 0.2;
/// Where a late answer earns nothing, the request ends at this part of its objective: just in time to say so.
const AIM_PART: f64 = 0.98;
/// Connections that rested are judged by how long, in steps that double from this; smoothing of the part of
/// calls on them that got no answer; where it counts as lost; and the part of calls that still tries them.
const REST_STEP: Millis = 125.0;
const REST_STEPS: usize = 10;
const REST_GAIN: f64 = 0.1;
const REST_LOST: f64 = 0.2;
const REST_TRIALS: f64 = 0.02;
/// Random draws before the pick walks the list or settles for one.
const DRAWS: usize = 6;
/// Smoothing of an upstream's own answer time; the ratio that decides between two that hold as many calls;
/// and how long it is remembered when nothing is sent there.
const ANSWER_GAIN: f64 = 0.2;
const ANSWER_RATIO: f64 = 1.25;
const ANSWER_KEPT: Millis = 5000.0;
/// Calls an upstream of the subset should get per idle period, so that its connections stay warm.
const CALLS_PER_IDLE: f64 = 4.0;
/// Upstreams in the subset for each call in flight: two choices then find one that holds none. More would be
/// connections that each upstream keeps open, at its cost, for calls that other connections carry as well.
const SUBSET_SPREAD: f64 = 2.0;
/// Never fewer upstreams in the subset than this, so that a few that fail leave enough to choose from.
const SUBSET_LEAST: usize = 8;
/// A crossing priced below this part of a request's worth costs less than unevenness: zones are ignored.
const CROSSING_CHEAP: f64 = 0.008;
/// Further attempts allowed per request on average: a failing tier is not sent a multiple.
const RETRY_RATIO: f64 = 0.2;
const RETRY_SAVED: f64 = 10.0;
/// Pause before asking for the list again after a failure, doubling up to a third of `ask_within`.
const ASK_AGAIN: Millis = 400.0;
/// Part of the cold budget that is used; the rest absorbs chance and calls heavier than average.
const COLD_MARGIN: f64 = 0.5;

const TIMER_CYCLE: u32 = 0;
const TIMER_ASK: u32 = 1;

// --- Limits: the published rule -------------------------------------------------------------------

/// A new limit for each tenant from last cycle's demand, lending what others leave unused.
///
/// `weights` are the tenants' parts of the capacity (all alike as published). Limits are never negative
/// and sum to `capacity` at most, up to rounding.
pub fn limits(capacity: f64, demands: &[f64], weights: &[f64], reservation: f64) -> Vec<f64> {
    let total: f64 = weights.iter().sum();
    let part = |w: f64| if total > 0.0 { w / total } else { 1.0 / weights.len() as f64 };
    let share = |of: f64, total: f64| if total > 0.0 { of / total } else { 0.0 };
    let defaults: Vec<f64> = weights.iter().map(|&w| capacity * part(w)).collect();
    let reserved = |(&d, &q): (&f64, &f64)| d.max(q * reservation);
    let wanted: Vec<f64> = demands.iter().zip(&defaults).map(reserved).collect();
    let gaps: Vec<f64> = defaults.iter().zip(&wanted).map(|(q, w)| q - w).collect();
    let deficit: f64 = gaps.iter().filter(|&&g| g < 0.0).map(|g| -g).sum();
    let surplus: f64 = gaps.iter().filter(|&&g| g > 0.0).sum();
    let limit = |i: usize| match gaps[i] {
        g if g <= 0.0 => defaults[i] + (-g).min(share(-g, deficit) * surplus),
        g => wanted[i] + share(g, surplus) * (surplus - deficit).max(0.0),
    };
    (0..demands.len()).map(limit).collect()
}

struct TenantState {
    weight: f64,
    seen: bool,
    /// Attempts this cycle, refused ones too; and their smoothed number per cycle.
    count: f64,
    demand: f64,
    /// Admitted this cycle, less what was saved up in earlier ones.
    admitted: f64,
    limit: f64,
}

/// One copy's view of the next tier's capacity and the tenants' limits within it.
#[derive(Default)]
struct Admission {
    tenants: Vec<TenantState>,
    /// Calls per cycle. Learned: see [`Admission::learn`].
    capacity: f64,
    /// The stated quotas per cycle; the part of answers in time; ready upstreams as a part of the most seen.
    quota: f64,
    success: f64,
    ready: f64,
    in_time: f64,
    admitted: f64,
    cycle_start: Millis,
    cycle_admitted: f64,
    /// Admitted per cycle: its mean of late, and its peak.
    recent: f64,
    peak: f64,
    /// Answers since the last judgement, and their summed lateness.
    answers: f64,
    lateness: f64,
    /// Calls in flight; those of them lost with their connection; and the mean time of an unqueued answer.
    inflight: f64,
    lost: f64,
    unloaded: Millis,
    timely: Millis,
    /// Whether calls within their limits were refused this cycle.
    crowded: bool,
}

impl Admission {
    fn new(s: &Settings, now: Millis) -> Self {
        let none = [Tenant { share: 1.0, quota_per_s: 0.0 }];
        let listed: &[Tenant] = if s.tenants.is_empty() { &none } else { &s.tenants };
        let fresh =
            |weight| TenantState { weight, seen: false, count: 0.0, demand: 0.0, admitted: 0.0, limit: 0.0 };
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
            ..Admission::default()
        }
    }

    /// Counts the request as demand and decides whether it passes.
    fn admit(&mut self, tenant: usize, now: Millis) -> bool {
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
        let most = room((self.unloaded * INFLIGHT_MOST).max(self.timely));
        let t = &mut self.tenants[tenant];
        t.count += 1.0;
        let inflight = self.inflight - self.lost;
        let full = self.admitted >= self.capacity || inflight >= full;
        let within = t.admitted < t.limit;
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
    fn note_latency(&mut self, latency: Millis) {
        let up = if self.success < UNLOADED_AT { 1.0 } else { 1.0 + UNLOADED_UP };
        self.unloaded = (self.unloaded * up).min(latency);
    }

    fn end_cycle(&mut self, now: Millis) {
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
            self.peak = (self.cycle_admitted / part).max(self.peak * PEAK_KEPT);
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
        self.quota * self.ready * (self.success / SUCCESS_WANTED).clamp(FLOOR_LEAST, 1.0)
    }

    /// Takes note of how late an answer was.
    fn learn(&mut self, lateness: f64) {
        self.in_time += f64::from(u8::from(lateness < 1.0));
        self.lateness += lateness;
        self.answers += 1.0;
    }

    /// Moves the learned capacity: up on timely answers, the more the sooner they came; down on others.
    /// A mean decides, with room for the tail that slow servers and heavy calls keep however little is sent.
    fn adapt(&mut self, admitted: f64) {
        if self.answers < LEARN_LEAST {
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

// --- Membership and health ------------------------------------------------------------------------

#[derive(Default)]
struct Upstream {
    member: Member,
    inflight: u32,
    last_used: Millis,
    /// Connections that should be open, and since when one of them may have rested.
    connections: u32,
    rested_from: Millis,
    /// Since when it owes an answer and has given none.
    silent_since: Millis,
    /// Own answer time, as a multiple of the whole list's.
    slowness: f64,
    fails: f64,
    outcomes: u32,
    ejected_until: Millis,
    ejections: u32,
    /// Cold budget: calls that may be sent now, and when that was reckoned.
    tokens: f64,
    tokens_at: Millis,
}

/// Where classes of one placement may go. Drawing among these, instead of rejecting draws from all, finds the
/// few that are allowed, also as a last resort; nothing else is ever a candidate.
#[derive(Default)]
struct Pool {
    runs_in: Option<Vec<u16>>,
    kinds_only: Option<Vec<u8>>,
    /// Own zone first, then the others.
    near: Vec<usize>,
    far: Vec<usize>,
}

impl Pool {
    fn admits(&self, m: &Member) -> bool {
        self.runs_in.as_ref().is_none_or(|zones| zones.contains(&m.zone))
            && self.kinds_only.as_ref().is_none_or(|kinds| kinds.contains(&m.kind))
    }
}

#[derive(Default)]
struct Fleet {
    slots: Vec<Upstream>,
    by_id: BTreeMap<UpstreamId, usize>,
    free: Vec<usize>,
    /// The ready upstreams of the subset, for each placement that a class is bound to.
    pools: Vec<Pool>,
    /// The pool of each class.
    pool_of: Vec<usize>,
    /// Ready upstreams, and the most there were.
    ready: (usize, usize),
    subset: usize,
    fails: f64,
    /// Mean answer time, and the mean deviation from it.
    latency: Millis,
    deviation: Millis,
    /// The part of calls that got no answer, by how long the connection may have rested (first: not at all).
    rest_lost: [f64; REST_STEPS],
}

/// A stable spread of ids over a ring, the same at every balancer.
fn ring_place(id: UpstreamId) -> u64 {
    let x = (id.0 ^ (id.0 >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}

impl Fleet {
    fn new(s: &Settings) -> Self {
        let (mut pools, mut pool_of): (Vec<Pool>, Vec<usize>) = Default::default();
        for c in &s.classes {
            let same = |p: &Pool| p.runs_in == c.runs_in && p.kinds_only == c.kinds_only;
            pool_of.push(pools.iter().position(same).unwrap_or(pools.len()));
            if pool_of.last() == Some(&pools.len()) {
                let (runs_in, kinds_only) = (c.runs_in.clone(), c.kinds_only.clone());
                pools.push(Pool { runs_in, kinds_only, ..Pool::default() });
            }
        }
        let latency = mean_objective(s) / 4.0;
        Fleet { pools, pool_of, latency, deviation: latency / 2.0, ..Fleet::default() }
    }

    fn apply(&mut self, news: Membership, s: &Settings, now: Millis, rng: &mut Pcg64Mcg) {
        let (members, whole) = match news {
            Membership::Full(m) | Membership::Cached(m) => (m, true),
            Membership::Delta(m) => (m, false),
            Membership::Failed => return,
        };
        if whole {
            let named: BTreeSet<UpstreamId> = members.iter().map(|m| m.id).collect();
            for u in self.slots.iter_mut().filter(|u| !named.contains(&u.member.id)) {
                u.member.availability = Availability::Gone;
            }
        }
        for member in members {
            let fresh = |member| {
                let times =
                    Upstream { rested_from: now, silent_since: now, tokens_at: now, ..Default::default() };
                Upstream { member, slowness: 1.0, ..times }
            };
            if let Some(&i) = self.by_id.get(&member.id) {
                if self.slots[i].member.since != member.since {
                    // Restarted under its old id: cold again, and its old sins are forgotten.
                    let inflight = self.slots[i].inflight;
                    self.slots[i] = Upstream { inflight, tokens: unit(rng), ..fresh(member) };
                } else {
                    self.slots[i].member = member;
                }
            } else if member.availability != Availability::Gone {
                // Hundreds of copies must not each send their first call at once: start in random phase.
                let upstream = Upstream { tokens: unit(rng), ..fresh(member) };
                let i = self.free.pop().unwrap_or(self.slots.len());
                if i == self.slots.len() {
                    self.slots.push(upstream);
                } else {
                    self.slots[i] = upstream;
                }
                self.by_id.insert(self.slots[i].member.id, i);
            }
        }
        for i in 0..self.slots.len() {
            self.forget_if_gone(i);
        }
        self.choose_subset(s);
    }

    /// Frees the place of an upstream that is gone once nothing is out to it.
    fn forget_if_gone(&mut self, i: usize) {
        let u = &self.slots[i];
        let gone = u.member.availability == Availability::Gone && u.inflight == 0;
        if gone && self.by_id.get(&u.member.id) == Some(&i) {
            self.by_id.remove(&u.member.id);
            self.free.push(i);
        }
    }

    /// Connections grow as copies times servers: each copy keeps to a run of the ring, evenly placed by its
    /// own number, so that every upstream serves about as many copies as the next.
    fn choose_subset(&mut self, s: &Settings) {
        let ready = |&&i: &&usize| self.slots[i].member.availability == Availability::Ready;
        let mut ring: Vec<usize> = self.by_id.values().filter(ready).copied().collect();
        // Groups stand together on it, so that a guarded request finds others of its group in the subset.
        ring.sort_by_key(|&i| {
            let m = &self.slots[i].member;
            (ring_place(UpstreamId(m.group.into())), ring_place(m.id), m.id)
        });
        self.ready = (ring.len(), self.ready.1.max(ring.len()));
        let zoned = s.cross_zone_price >= CROSSING_CHEAP;
        let aperture = |ring: Vec<usize>| {
            let n = ring.len();
            let start = n * (s.index % s.balancers) as usize / s.balancers as usize;
            (0..n.min(self.subset)).map(|k| ring[(start + k) % n]).collect::<Vec<_>>()
        };
        for pool in &mut self.pools {
            let allowed = ring.iter().copied().filter(|&i| pool.admits(&self.slots[i].member));
            let (near, far): (Vec<_>, Vec<_>) =
                allowed.partition(|&i| !zoned || self.slots[i].member.zone == s.zone);
            (pool.near, pool.far) = (aperture(near), aperture(far));
        }
    }

    /// The subset follows the traffic that keeps it busy and warm; small changes are not worth connections.
    fn resize_subset(&mut self, s: &Settings, calls_per_cycle: f64) {
        let per_rate = (self.latency * SUBSET_SPREAD).min(s.idle_close / CALLS_PER_IDLE);
        let want = ((calls_per_cycle / CYCLE * per_rate).min(1e6) as usize).max(SUBSET_LEAST);
        if want * 4 < self.subset * 3 || want * 3 > self.subset * 4 {
            self.subset = want;
            self.choose_subset(s);
        }
    }

    /// What part of its full capacity an upstream has now, for sure.
    fn warmth(&self, i: usize, s: &Settings, now: Millis) -> f64 {
        let age = now - self.slots[i].member.since;
        if self.slots[i].member.since <= 0.0 || age >= s.ramp_time {
            return 1.0;
        }
        (s.cold_from + (1.0 - s.cold_from) * age.max(0.0) / s.ramp_time).min(1.0)
    }

    /// Connections that rest may be dropped on the way, unseen: what is sent on one gets no answer. Tells how
    /// long the one for the next call may have rested, and whether to close it first, for a handshake.
    fn rest(&self, i: usize, s: &Settings, now: Millis, rng: &mut Pcg64Mcg) -> (usize, bool) {
        let u = &self.slots[i];
        let rested = now - u.rested_from;
        if u.connections <= u.inflight || rested >= s.idle_close {
            return (0, false);
        }
        let step = (((rested / REST_STEP).max(0.5).log2() + 2.0) as usize).min(REST_STEPS - 1);
        (step, (1..=step).any(|k| self.dropped(k)) && unit(rng) > REST_TRIALS)
    }

    /// Whether connections that rested this long get dropped: calls on them are lost more than on fresh ones.
    fn dropped(&self, rest: usize) -> bool {
        self.rest_lost[rest] > REST_LOST && self.rest_lost[rest] > 2.0 * self.rest_lost[0]
    }

    /// Hears of a call whether it was lost.
    fn heard(&mut self, rest: usize, lost: bool) {
        self.rest_lost[rest] += REST_GAIN * (f64::from(u8::from(lost)) - self.rest_lost[rest]);
    }

    fn sent(&mut self, i: usize, rest: usize, now: Millis) {
        let u = &mut self.slots[i];
        u.connections = if rest == 0 { u.inflight } else { u.connections };
        u.silent_since = if u.inflight == 0 { now } else { u.silent_since };
        u.inflight += 1;
        if u.connections <= u.inflight {
            (u.connections, u.rested_from) = (u.inflight, now);
        }
        u.last_used = now;
        u.tokens -= 1.0;
    }

    /// Whether an upstream owes answers and has given none for far longer than answers take elsewhere.
    fn silent(&self, i: usize, now: Millis) -> bool {
        let u = &self.slots[i];
        u.inflight > 0 && now - u.silent_since > (SILENT_FACTOR * self.latency).max(SILENT_LEAST)
    }

    /// Books how an attempt ended. Tells whether the failure is this upstream's own.
    fn ended(
        &mut self,
        (i, rest): (usize, usize),
        ending: Ending,
        duration: Millis,
        now: Millis,
        rng: &mut Pcg64Mcg,
    ) -> bool {
        let hung = ending == Ending::Timeout && self.silent(i, now);
        // What broke off as late as answers come was carried: its connection had not been dropped on the way.
        let lost = ending == Ending::Timeout || (ending == Ending::Reset && duration < self.latency / 2.0);
        let cut = matches!(ending, Ending::Cancelled | Ending::ConnectFailed);
        if !cut && ending != Ending::Moot {
            self.heard(rest, lost);
        }
        let out = self.by_id.values().filter(|&&k| now < self.slots[k].ejected_until).count();
        let most = (self.ready.0 / EJECT_PART).max(1);
        let u = &mut self.slots[i];
        u.rested_from = if u.inflight >= u.connections { now } else { u.rested_from };
        // A connection whose call got no answer does not come back for another.
        u.connections -= u.connections.min(u32::from(lost || cut || ending == Ending::Reset));
        u.inflight = u.inflight.saturating_sub(1);
        u.last_used = now;
        if matches!(ending, Ending::Cancelled | Ending::Moot) {
            return false;
        }
        let failed = ending != Ending::Ok;
        u.silent_since = if ending == Ending::Timeout { u.silent_since } else { now };
        let took = if failed { duration.max(2.0 * self.latency) } else { duration };
        u.slowness += ANSWER_GAIN * (took / self.latency.max(1.0) - u.slowness);
        if ending == Ending::Ok {
            self.deviation += 0.05 * ((duration - self.latency).abs() - self.deviation);
            self.latency += 0.05 * (duration - self.latency);
        }
        let bad = f64::from(u8::from(failed));
        u.fails += FAIL_GAIN * (bad - u.fails);
        u.outcomes += 1;
        // It takes work and answers nothing, while others answer: no need to wait for more time-outs.
        u.fails = if hung { 1.0 } else { u.fails };
        // The fleet's figure counts all: where most fail, it is no fault of each one's own.
        self.fails += 0.02 * (bad - self.fails);
        let own = u.fails > EJECT_AT && u.fails > EJECT_RATIO * self.fails;
        if !failed && now >= u.ejected_until && u.fails < EJECT_AT / 2.0 {
            u.ejections = 0;
        }
        if failed && own && (hung || u.outcomes >= 3) && now >= u.ejected_until && out < most {
            // A server that fails fast holds few calls and would win every comparison: take it out.
            let length = (EJECT_BASE * f64::from(u.ejections + 1)).min(EJECT_MOST);
            u.ejected_until = now + length * (0.75 + 0.5 * unit(rng));
            u.ejections += 1;
            // One more failure after its return ejects it again.
            u.fails = EJECT_AT;
        }
        own
    }

    // --- Pick -------------------------------------------------------------------------------------

    /// Whether a listed upstream may be sent a call now: not ejected, not silent, within its cold budget.
    fn usable(&mut self, i: usize, ask: &PickRequest) -> bool {
        let PickRequest { settings: s, now, cold_rate, desperate, .. } = *ask;
        let (warmth, silent) = (self.warmth(i, s, now), self.silent(i, now));
        let u = &mut self.slots[i];
        if !desperate && (now < u.ejected_until || silent) {
            return false;
        }
        if warmth >= 1.0 {
            return true;
        }
        // All copies together stay under the tipping point: each takes its own part, at most one call ahead.
        u.tokens = (u.tokens + cold_rate * warmth * (now - u.tokens_at)).min(1.0);
        u.tokens_at = now;
        u.tokens >= 1.0
    }

    /// By own calls in flight. A copy that carries little mostly compares zeros: then the one whose answers
    /// took clearly less of late, so that slow kinds and crowded ones take less here too; else the one used
    /// longest ago, to spread the calls. Favouring open connections would send them all to the same few.
    fn less_busy(&self, a: usize, b: usize, now: Millis) -> bool {
        let (a, b) = (&self.slots[a], &self.slots[b]);
        // What was learned fades, so that one that was slow is tried again.
        let slow = |u: &Upstream| 1.0 + (u.slowness - 1.0) * (-(now - u.last_used) / ANSWER_KEPT).exp();
        match a.inflight.cmp(&b.inflight) {
            Ordering::Equal if slow(a) > ANSWER_RATIO * slow(b) => false,
            Ordering::Equal if slow(b) > ANSWER_RATIO * slow(a) => true,
            Ordering::Equal => a.last_used < b.last_used,
            order => order == Ordering::Less,
        }
    }

    /// The less busy of two random usable upstreams.
    fn pick(&mut self, far: bool, ask: &PickRequest, rng: &mut Pcg64Mcg) -> Option<usize> {
        let pool = &self.pools[ask.pool];
        let n = if far { pool.far.len() } else { pool.near.len() };
        if n == 0 {
            return None;
        }
        let mut best: Option<usize> = None;
        let start = below(rng, n);
        for draw in 0..DRAWS + n {
            // Should the draws miss the few that will do, walk once round the list: rare, and never far.
            if draw >= DRAWS && best.is_some() {
                break;
            }
            let k = if draw < DRAWS { below(rng, n) } else { (start + draw) % n };
            let i = if far { self.pools[ask.pool].far[k] } else { self.pools[ask.pool].near[k] };
            let out = (best == Some(i) && n > 1) || ask.avoid == Some(i);
            if out || !ask.allows(&self.slots[i].member) || !self.usable(i, ask) {
                continue;
            }
            match best {
                Some(b) => return Some(if self.less_busy(i, b, ask.now) { i } else { b }),
                None => best = Some(i),
            }
        }
        best
    }
}

struct PickRequest<'a> {
    settings: &'a Settings,
    now: Millis,
    pool: usize,
    /// Calls per millisecond that a warm upstream's worth of cold ones may be sent by this copy.
    cold_rate: f64,
    avoid: Option<usize>,
    /// Nothing better is left: ejected and silent upstreams will do.
    desperate: bool,
    /// A repeat of a guarded request: only these may discard it.
    scope: Option<(DedupScope, u16, u16)>,
}

impl PickRequest<'_> {
    fn allows(&self, m: &Member) -> bool {
        match self.scope {
            None | Some((DedupScope::All, ..)) => true,
            Some((DedupScope::Zone, zone, _)) => m.zone == zone,
            Some((DedupScope::Cell, _, group)) => m.group == group,
        }
    }
}

/// How late an answer is that took `part` of its class's objective.
fn lateness(part: f64) -> f64 {
    ((part - TIMELY) / (1.0 - TIMELY)).clamp(0.0, LATENESS_MOST)
}

fn mean_objective(s: &Settings) -> Millis {
    s.classes.iter().map(|c| c.objective).sum::<f64>() / s.classes.len() as f64
}

fn unit(rng: &mut Pcg64Mcg) -> f64 {
    (rng.next_u64() >> 11) as f64 / (1u64 << 53) as f64
}

fn below(rng: &mut Pcg64Mcg, n: usize) -> usize {
    ((u128::from(rng.next_u64()) * n as u128) >> 64) as usize
}

// --- Attempts -------------------------------------------------------------------------------------

struct Pending {
    class: usize,
    /// When an answer stops being worth anything: no attempt runs longer.
    ends: Millis,
    sends: u32,
    /// Attempts out: their number, upstream, when they were sent and how rested their connection was.
    out: Vec<(u32, usize, Millis, usize)>,
    /// The first attempt that may have run: its number, when it was sent, its zone and group.
    ran: Option<(u32, Millis, u16, u16)>,
    last: Option<usize>,
    over: bool,
}

/// One instance of the decision logic.
pub struct Balancer {
    settings: Settings,
    rng: Pcg64Mcg,
    admission: Admission,
    fleet: Fleet,
    pending: BTreeMap<RequestId, Pending>,
    retries: f64,
    started: bool,
    ask_failures: u32,
    late: bool,
}

impl Balancer {
    /// A fresh instance that knows nothing yet. `seed` feeds its random choices.
    pub fn new(settings: Settings, seed: u64, now: Millis) -> Result<Self, SettingsError> {
        settings.validate()?;
        let admission = Admission::new(&settings, now);
        let mut fleet = Fleet::new(&settings);
        fleet.resize_subset(&settings, admission.recent);
        Ok(Balancer {
            rng: Pcg64Mcg::seed_from_u64(seed),
            admission,
            fleet,
            pending: BTreeMap::new(),
            retries: RETRY_SAVED,
            started: false,
            ask_failures: 0,
            late: false,
            settings,
        })
    }

    /// Sends an attempt if a place can be found and every rule allows it.
    fn send(&mut self, now: Millis, id: RequestId, actions: &mut Vec<Action>) -> bool {
        let s = &self.settings;
        let Some(p) = self.pending.get(&id) else { return false };
        if p.sends >= s.attempts_cap || now >= p.ends {
            return false;
        }
        let scope = match (p.ran, s.classes[p.class].effect) {
            (None, _) | (_, Effect::Free) => None,
            (Some(_), Effect::SingleShot) => return false,
            (Some((_, sent, ..)), Effect::Guarded { window, .. }) if now >= sent + window => return false,
            (Some((.., zone, group)), Effect::Guarded { scope, .. }) => Some((scope, zone, group)),
        };
        let pool = self.fleet.pool_of[p.class];
        let ready = self.fleet.pools.iter().map(|p| p.near.len() + p.far.len()).fold(1, usize::max) as f64;
        let cold_rate = self.admission.recent / CYCLE / ready * COLD_MARGIN * s.tip_multiple;
        let ask = PickRequest { settings: s, now, pool, cold_rate, avoid: p.last, desperate: false, scope };
        let last_resort = PickRequest { avoid: None, desperate: true, ..ask };
        let picked = [(false, &ask), (true, &ask), (false, &last_resort), (true, &last_resort)]
            .into_iter()
            .find_map(|(far, ask)| self.fleet.pick(far, ask, &mut self.rng));
        let Some(i) = picked else { return false };
        let (mut rest, close) = self.fleet.rest(i, s, now, &mut self.rng);
        if close {
            actions.push(Action::CloseIdle(self.fleet.slots[i].member.id));
            rest = 0;
        }
        self.fleet.sent(i, rest, now);
        self.admission.inflight += 1.0;
        let member = &self.fleet.slots[i].member;
        let timeout = self.timeout(p, i, rest, now);
        actions.push(Action::Send { request: id, upstream: member.id, timeout });
        let (zone, group) = (member.zone, member.group);
        if let Some(p) = self.pending.get_mut(&id) {
            p.ran.get_or_insert((p.sends, now, zone, group));
            p.out.push((p.sends, i, now, rest));
            p.sends += 1;
            p.last = Some(i);
        }
        true
    }

    /// Silence is waited out, as heavy work is silent too and its repeat as heavy, but where answers got lost
    /// of late, from this upstream or on connections that rested as long, and a repeat is legal and in time.
    fn timeout(&self, p: &Pending, i: usize, rest: usize, now: Millis) -> Millis {
        let (f, u) = (&self.fleet, &self.fleet.slots[i]);
        let suspect = u.fails > SUSPECT_AT || f.rest_lost[rest] > SUSPECT_AT / 4.0;
        let again = p.sends + 1 < self.settings.attempts_cap && self.retries >= 1.0;
        let repeats = again && self.settings.classes[p.class].effect != Effect::SingleShot;
        let usual = f.latency * u.slowness.clamp(1.0, 3.0);
        let patience = usual + (TIMEOUT_DEVIATIONS * f.deviation).max(f.latency);
        let timely = now + patience + f.latency < p.ends;
        if suspect && repeats && timely {
            patience
        } else {
            p.ends - now
        }
    }

    /// Gives the one final answer: a refusal where another try is known to do no harm, else a failure.
    fn give_up(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        let Some(p) = self.pending.get_mut(&id) else { return };
        let harmless = match self.settings.classes[p.class].effect {
            Effect::Free | Effect::Guarded { scope: DedupScope::All, .. } => true,
            _ => p.ran.is_none(),
        };
        p.over = true;
        if p.out.is_empty() {
            self.pending.remove(&id);
        }
        actions.push(if harmless { self.refusal(id) } else { Action::Fail { request: id } });
    }

    fn refusal(&mut self, request: RequestId) -> Action {
        // Until the next cycle has begun, with jitter, so that those who heed it do not return together.
        let retry_after = (CYCLE * (0.5 + unit(&mut self.rng))).min(self.settings.max_retry_after);
        Action::Refuse { request, retry_after }
    }

    fn request(&mut self, now: Millis, r: Request, actions: &mut Vec<Action>) {
        if self.pending.contains_key(&r.id) {
            return;
        }
        self.retries = (self.retries + RETRY_RATIO).min(RETRY_SAVED);
        if r.class >= self.settings.classes.len() || !self.admission.admit(r.tenant, now) {
            let refusal = self.refusal(r.id);
            return actions.push(refusal);
        }
        let class = r.class;
        let c = &self.settings.classes[class];
        // A late answer that earns nothing only holds a slot in every tier above.
        let useful = if c.late_worth > 0.0 { f64::INFINITY } else { now + c.objective * AIM_PART };
        let ends = r.deadline.min(useful);
        let fresh = Pending { class, ends, sends: 0, out: Vec::new(), ran: None, last: None, over: false };
        self.pending.insert(r.id, fresh);
        if !self.send(now, r.id, actions) {
            self.give_up(r.id, actions);
        }
    }

    /// Calls that are late already count before their answers come: judged by the answers alone, which
    /// are the fast ones at first, a tier that slows down would look well.
    fn judge_unanswered(&mut self, now: Millis) {
        self.admission.lost = 0.0;
        let patience = self.fleet.latency + TIMEOUT_DEVIATIONS * self.fleet.deviation;
        for p in self.pending.values().filter(|p| !p.over) {
            let Some(&(_, i, sent, rest)) = p.out.last() else { continue };
            // The time-out tells of dropped connections too late: lost calls fill what may be in flight.
            let overdue = now - sent - patience;
            if (0.0..CYCLE).contains(&overdue) {
                self.fleet.heard(rest, true);
            }
            let lost = overdue >= 0.0 && self.fleet.dropped(rest);
            self.admission.lost += f64::from(u8::from(lost));
            if lost || self.fleet.silent(i, now) {
                continue;
            }
            let late = lateness((now - sent) / self.settings.classes[p.class].objective);
            if late > 0.0 {
                self.admission.learn(late);
            }
        }
    }

    fn outcome(
        &mut self,
        now: Millis,
        id: RequestId,
        number: u32,
        (ending, duration, closed): (Ending, Millis, bool),
        actions: &mut Vec<Action>,
    ) {
        let Some(p) = self.pending.get_mut(&id) else { return };
        let Some(at) = p.out.iter().position(|&(n, ..)| n == number) else { return };
        let (_, i, _, rest) = p.out.swap_remove(at);
        // Where upstreams also shed work that they had begun, 'full' proves nothing.
        let proof = ending.never_ran() && !(ending == Ending::Full && self.settings.late_shedding);
        if proof && p.out.is_empty() && p.ran.is_some_and(|(n, ..)| n == number) {
            p.ran = None;
        }
        let class = p.class;
        p.over |= closed;
        let (over, waiting) = (p.over, !p.out.is_empty());
        self.admission.inflight -= 1.0;
        let own = self.fleet.ended((i, rest), ending, duration, now, &mut self.rng);
        self.fleet.forget_if_gone(i);
        let lateness = match ending {
            Ending::Ok => Some(lateness(duration / self.settings.classes[class].objective)),
            Ending::Cancelled | Ending::Moot => None,
            // Blame the server or the connection, not the fleet, for failures that are its own.
            _ if own || self.fleet.dropped(rest) => None,
            _ => Some(LATENESS_MOST),
        };
        if let Some(lateness) = lateness {
            self.admission.learn(lateness);
        }
        if over && !waiting {
            self.pending.remove(&id);
        } else if !over && !waiting {
            let again = ending != Ending::Ok && self.retries >= 1.0;
            if again && self.send(now, id, actions) {
                self.retries -= 1.0;
            } else {
                self.give_up(id, actions);
            }
        }
    }

    // --- The event handler ------------------------------------------------------------------------

    /// Takes one event and appends what is to be done. `now` must not go back.
    pub fn handle(&mut self, now: Millis, event: Event, actions: &mut Vec<Action>) {
        let now = if now.is_finite() { now } else { 0.0 };
        if !self.started {
            self.started = true;
            // Copies started together must not recompute in step.
            let after = CYCLE * (0.5 + 0.5 * unit(&mut self.rng));
            actions.push(Action::SetTimer { after, token: TIMER_CYCLE });
            if self.settings.ask_for_list {
                actions.push(Action::Subscribe);
            }
        }
        match event {
            Event::Membership(Membership::Failed) if self.settings.ask_for_list => {
                // The registry is one queue for all: back off with jitter, yet stay well within the time
                // after which we count as told.
                let most = self.settings.ask_within / 3.0;
                let pause = (ASK_AGAIN * f64::from(1u32 << self.ask_failures.min(10))).min(most);
                self.ask_failures += 1;
                let after = pause * (0.5 + 0.5 * unit(&mut self.rng));
                actions.push(Action::SetTimer { after, token: TIMER_ASK });
            }
            Event::Membership(news) => {
                if !matches!(news, Membership::Cached(_)) {
                    self.ask_failures = 0;
                }
                self.fleet.apply(news, &self.settings, now, &mut self.rng);
            }
            Event::Request(r) => self.request(now, r, actions),
            Event::Outcome { request, attempt, ending, duration, closed } => {
                self.outcome(now, request, attempt, (ending, duration, closed), actions);
            }
            Event::ClientGone(id) => {
                if let Some(p) = self.pending.get_mut(&id) {
                    p.over = true;
                    for &(attempt, ..) in p.out.iter().filter(|_| self.settings.cancel) {
                        actions.push(Action::Cancel { request: id, attempt });
                    }
                    if p.out.is_empty() {
                        self.pending.remove(&id);
                    }
                }
            }
            Event::Timer(TIMER_CYCLE) => {
                self.judge_unanswered(now);
                self.admission.note_latency(self.fleet.latency);
                let (ready, most) = self.fleet.ready;
                self.admission.ready = ready as f64 / most.max(1) as f64;
                self.admission.end_cycle(now);
                let late = self.admission.success < SUCCESS_WANTED;
                if std::mem::replace(&mut self.late, late) != late {
                    let state = if late { "late or failed: capacity is cut" } else { "in time again" };
                    actions.push(Action::Log(format!("answers of tier {} {state}", self.settings.stage)));
                }
                self.fleet.resize_subset(&self.settings, self.admission.recent);
                actions.push(Action::SetTimer { after: CYCLE, token: TIMER_CYCLE });
            }
            Event::Timer(TIMER_ASK) => actions.push(Action::Subscribe),
            Event::Streaming { .. } | Event::Timer(_) => {}
        }
    }
}
