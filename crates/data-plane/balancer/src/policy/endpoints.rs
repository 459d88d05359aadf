//! Members and their health: who is listed, who is warm, silent or ejected, and the subset that is used.
use super::random::unit;
use super::{mean_objective, CYCLE};
use crate::interface::*;
use rand_pcg::Pcg64Mcg;
use std::collections::{BTreeMap, BTreeSet};

/// Smoothing of an upstream's failures, per outcome.
const FAIL_GAIN: f64 = 0.25;
/// An upstream is ejected when its failures exceed this and this multiple of the whole list's.
const EJECT_AT: f64 = 0.4;
const EJECT_RATIO: f64 = 2.0;
/// One in this many is ejected at once: chance failures of all alike would jam the few that are left.
const EJECT_PART: usize = 3;
/// First ejection lasts this long, each further one as much longer, up to the most.
const BASE_EJECTION: Millis = 2000.0;
const MAX_EJECTION: Millis = 16_000.0;
/// An upstream with calls out that has not answered for this many mean answer times counts as hung.
const SILENT_FACTOR: f64 = 6.0;
const MIN_SILENCE: Millis = 300.0;
/// Connections that rested are judged by how long, in steps that double from this; smoothing of the part of
/// calls on them that got no answer; where it counts as lost; and the part of calls that still tries them.
const REST_STEP: Millis = 125.0;
const REST_STEPS: usize = 10;
const REST_GAIN: f64 = 0.1;
const REST_LOST: f64 = 0.2;
const REST_TRIALS: f64 = 0.02;
/// Smoothing of an upstream's own answer time.
const ANSWER_GAIN: f64 = 0.2;
/// Calls an upstream of the subset should get per idle period, so that its connections stay warm.
const CALLS_PER_IDLE: f64 = 4.0;
/// Upstreams in the subset for each call in flight: two choices then find one that holds none. More would be
/// connections that each upstream keeps open, at its cost, for calls that other connections carry as well.
const SUBSET_SPREAD: f64 = 2.0;
/// Never fewer upstreams in the subset than this, so that a few that fail leave enough to choose from.
const MIN_SUBSET: usize = 8;
/// A crossing priced below this part of a request's worth costs less than unevenness: zones are ignored.
const CROSSING_CHEAP: f64 = 0.008;

#[derive(Default)]
pub(super) struct Upstream {
    pub(super) member: Member,
    pub(super) inflight: u32,
    pub(super) last_used: Millis,
    /// Connections that should be open, and since when one of them may have rested.
    connections: u32,
    rested_from: Millis,
    /// Since when it owes an answer and has given none.
    silent_since: Millis,
    /// Own answer time, as a multiple of the whole list's.
    pub(super) slowness: f64,
    pub(super) fails: f64,
    outcomes: u32,
    pub(super) ejected_until: Millis,
    ejections: u32,
    /// Cold budget: calls that may be sent now, and when that was reckoned.
    pub(super) tokens: f64,
    pub(super) tokens_at: Millis,
}

/// Where classes of one placement may go. Drawing among these, instead of rejecting draws from all, finds the
/// few that are allowed, also as a last resort; nothing else is ever a candidate.
#[derive(Default)]
pub(super) struct Pool {
    runs_in: Option<Vec<u16>>,
    kinds_only: Option<Vec<u8>>,
    /// Own zone first, then the others.
    pub(super) near: Vec<usize>,
    pub(super) far: Vec<usize>,
}

impl Pool {
    fn admits(&self, m: &Member) -> bool {
        self.runs_in.as_ref().is_none_or(|zones| zones.contains(&m.zone))
            && self.kinds_only.as_ref().is_none_or(|kinds| kinds.contains(&m.kind))
    }
}

#[derive(Default)]
pub(super) struct Endpoints {
    pub(super) slots: Vec<Upstream>,
    by_id: BTreeMap<UpstreamId, usize>,
    free: Vec<usize>,
    /// The ready upstreams of the subset, for each placement that a class is bound to.
    pub(super) pools: Vec<Pool>,
    /// The pool of each class.
    pub(super) pool_of: Vec<usize>,
    /// Ready upstreams, and the most there were.
    pub(super) ready: (usize, usize),
    subset: usize,
    fails: f64,
    /// Mean answer time, and the mean deviation from it.
    pub(super) latency: Millis,
    pub(super) deviation: Millis,
    /// The part of calls that got no answer, by how long the connection may have rested (first: not at all).
    pub(super) rest_lost: [f64; REST_STEPS],
}

/// A stable spread of ids over a ring, the same at every balancer.
fn ring_place(id: UpstreamId) -> u64 {
    let x = (id.0 ^ (id.0 >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}

impl Endpoints {
    pub(super) fn ejected(&self, now: Millis) -> impl Iterator<Item = UpstreamId> + '_ {
        self.by_id.iter().filter(move |(_, &k)| now < self.slots[k].ejected_until).map(|(&id, _)| id)
    }

    pub(super) fn new(s: &Settings) -> Self {
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
        Endpoints { pools, pool_of, latency, deviation: latency / 2.0, ..Endpoints::default() }
    }

    pub(super) fn apply(&mut self, news: Membership, s: &Settings, now: Millis, rng: &mut Pcg64Mcg) {
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
    pub(super) fn forget_if_gone(&mut self, i: usize) {
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
    pub(super) fn resize_subset(&mut self, s: &Settings, calls_per_cycle: f64) {
        let per_rate = (self.latency * SUBSET_SPREAD).min(s.idle_close / CALLS_PER_IDLE);
        let want = ((calls_per_cycle / CYCLE * per_rate).min(1e6) as usize).max(MIN_SUBSET);
        if want * 4 < self.subset * 3 || want * 3 > self.subset * 4 {
            self.subset = want;
            self.choose_subset(s);
        }
    }

    /// What part of its full capacity an upstream has now, for sure.
    pub(super) fn warmth(&self, i: usize, s: &Settings, now: Millis) -> f64 {
        let age = now - self.slots[i].member.since;
        if self.slots[i].member.since <= 0.0 || age >= s.ramp_time {
            return 1.0;
        }
        (s.cold_from + (1.0 - s.cold_from) * age.max(0.0) / s.ramp_time).min(1.0)
    }

    /// Connections that rest may be dropped on the way, unseen: what is sent on one gets no answer. Tells how
    /// long the one for the next call may have rested, and whether to close it first, for a handshake.
    pub(super) fn rest(&self, i: usize, s: &Settings, now: Millis, rng: &mut Pcg64Mcg) -> (usize, bool) {
        let u = &self.slots[i];
        let rested = now - u.rested_from;
        if u.connections <= u.inflight || rested >= s.idle_close {
            return (0, false);
        }
        let step = (((rested / REST_STEP).max(0.5).log2() + 2.0) as usize).min(REST_STEPS - 1);
        (step, (1..=step).any(|k| self.dropped(k)) && unit(rng) > REST_TRIALS)
    }

    /// Whether connections that rested this long get dropped: calls on them are lost more than on fresh ones.
    pub(super) fn dropped(&self, rest: usize) -> bool {
        self.rest_lost[rest] > REST_LOST && self.rest_lost[rest] > 2.0 * self.rest_lost[0]
    }

    /// Hears of a call whether it was lost.
    pub(super) fn heard(&mut self, rest: usize, lost: bool) {
        self.rest_lost[rest] += REST_GAIN * (f64::from(u8::from(lost)) - self.rest_lost[rest]);
    }

    pub(super) fn sent(&mut self, i: usize, rest: usize, now: Millis) {
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
    pub(super) fn silent(&self, i: usize, now: Millis) -> bool {
        let u = &self.slots[i];
        u.inflight > 0 && now - u.silent_since > (SILENT_FACTOR * self.latency).max(MIN_SILENCE)
    }

    /// Books how an attempt ended. Tells whether the failure is this upstream's own.
    pub(super) fn ended(
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
        if failed && own && (hung || u.outcomes >= 3) && now >= u.ejected_until {
            self.eject(i, now, rng);
        }
        own
    }

    /// A server that fails fast holds few calls and would win every comparison: takes it out.
    fn eject(&mut self, i: usize, now: Millis, rng: &mut Pcg64Mcg) {
        // Counted here and not for every outcome, which would cost more than all else with many upstreams.
        let out = self.by_id.values().filter(|&&k| now < self.slots[k].ejected_until).count();
        if out >= (self.ready.0 / EJECT_PART).max(1) {
            return;
        }
        let u = &mut self.slots[i];
        let length = (BASE_EJECTION * f64::from(u.ejections + 1)).min(MAX_EJECTION);
        u.ejected_until = now + length * (0.75 + 0.5 * unit(rng));
        u.ejections += 1;
        // One more failure after its return ejects it again.
        u.fails = EJECT_AT;
    }
}
