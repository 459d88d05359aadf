//! Endpoint membership and health: which upstreams are listed, warm, silent or ejected, and the subset in use.
use super::random::uniform;
use super::{mean_objective, CYCLE};
use crate::interface::{AttemptOutcome, Availability, Member, Membership, Millis, Settings, UpstreamId};
use rand_pcg::Pcg64Mcg;
use std::collections::{BTreeMap, BTreeSet};

/// Smoothing factor of an upstream's failure rate, per attempt.
const FAILURE_RATE_GAIN: f64 = 0.25;
/// Failure rate above which an upstream may be ejected.
const MIN_EJECTION_FAILURE_RATE: f64 = 0.4;
/// Minimum ratio of an upstream's failure rate to the mean failure rate for an ejection.
const MIN_EJECTION_RATIO: f64 = 2.0;
/// At most one in this many ready upstreams is ejected at a time, and always at least one may be. Random failures of
/// equally healthy upstreams would otherwise overload the few that are left.
const MAX_EJECTED_DIVISOR: usize = 3;
/// Duration of the first ejection, in milliseconds. Each further ejection lasts longer by this much.
const BASE_EJECTION: Millis = 2000.0;
/// Maximum duration of an ejection, in milliseconds, before jitter.
const MAX_EJECTION: Millis = 16_000.0;
/// An upstream with attempts in flight is considered hung if it has not answered for this multiple of the mean answer
/// time.
const SILENT_FACTOR: f64 = 6.0;
/// Minimum time without an answer after which an upstream is considered hung, in milliseconds.
const MIN_SILENCE: Millis = 300.0;
/// Upper bound of the first idle time bucket of connections, in milliseconds. Each further bucket doubles it.
const IDLE_BUCKET_BASE: Millis = 125.0;
/// Number of idle time buckets, including the first one for connections that were not idle.
const IDLE_BUCKETS: usize = 10;
/// Smoothing factor of a bucket's loss rate, per attempt.
const LOSS_RATE_GAIN: f64 = 0.1;
/// Loss rate above which connections of a bucket are considered dropped.
const DROPPED_LOSS_RATE: f64 = 0.2;
/// Fraction of attempts that still use a connection whose bucket is considered dropped, to detect a recovery.
const DROPPED_PROBE_RATIO: f64 = 0.02;
/// Smoothing factor of an upstream's relative answer time, per attempt.
const RELATIVE_LATENCY_GAIN: f64 = 0.2;
/// Attempts that each upstream of the subset should get per idle timeout, so that its connections stay warm.
const ATTEMPTS_PER_IDLE_TIMEOUT: f64 = 4.0;
/// Upstreams in the subset per attempt in flight: one of two random choices is then usually free. A larger subset only
/// adds connections, which each upstream keeps open at its own cost, for attempts that other connections can carry.
const SUBSET_PER_INFLIGHT: f64 = 2.0;
/// Minimum size of the subset, so that enough upstreams are left to choose from when a few of them fail.
const MIN_SUBSET: usize = 8;
/// Minimum price of a zone crossing, as a fraction of a request's worth, at which the own zone is preferred. Below it,
/// crossings cost less than an uneven distribution.
const MIN_CROSS_ZONE_PRICE: f64 = 0.008;

/// A listed upstream and the state that this instance keeps about it.
#[derive(Default)]
pub(super) struct Upstream {
    pub(super) member: Member,
    pub(super) inflight: u32,
    pub(super) last_used: Millis,
    /// Number of connections that should be open, and the time since when one of them may be idle.
    connections: u32,
    idle_since: Millis,
    /// Time since when the upstream has attempts in flight and has not answered.
    silent_since: Millis,
    /// Smoothed answer time, as a multiple of the mean over all upstreams.
    pub(super) relative_latency: f64,
    pub(super) failure_rate: f64,
    outcome_count: u32,
    pub(super) ejected_until: Millis,
    ejections: u32,
    /// Cold start budget: number of attempts that may be sent now, and the time at which it was computed.
    pub(super) cold_tokens: f64,
    pub(super) cold_tokens_updated: Millis,
}

/// The upstreams that classes with one placement may use. Candidates are drawn from these only, also as a last resort.
/// Drawing from all upstreams and rejecting would miss the allowed ones when they are few.
#[derive(Default)]
pub(super) struct PlacementPool {
    runs_in: Option<Vec<u16>>,
    kinds_only: Option<Vec<u8>>,
    /// Upstreams of the own zone, which are preferred, and of the other zones.
    pub(super) same_zone: Vec<usize>,
    pub(super) other_zone: Vec<usize>,
}

impl PlacementPool {
    fn allows(&self, member: &Member) -> bool {
        self.runs_in.as_ref().is_none_or(|zones| zones.contains(&member.zone))
            && self.kinds_only.as_ref().is_none_or(|kinds| kinds.contains(&member.kind))
    }
}

/// All listed upstreams and the subset in use.
#[derive(Default)]
pub(super) struct Endpoints {
    pub(super) slots: Vec<Upstream>,
    by_id: BTreeMap<UpstreamId, usize>,
    free_slots: Vec<usize>,
    /// Ready upstreams of the subset, one pool for each placement that the classes use.
    pub(super) pools: Vec<PlacementPool>,
    /// Index into `pools` for each class.
    pub(super) pool_by_class: Vec<usize>,
    /// Number of ready upstreams now, and the maximum so far.
    pub(super) ready_counts: (usize, usize),
    /// Target number of upstreams in each zone part of a pool.
    subset_size: usize,
    /// Smoothed failure rate over all upstreams.
    failure_rate: f64,
    /// Mean answer time, and the mean absolute deviation from it, in milliseconds.
    pub(super) mean_latency: Millis,
    pub(super) latency_deviation: Millis,
    /// Loss rate of attempts by the idle time bucket of their connection. The first bucket is for connections that were
    /// not idle.
    pub(super) idle_loss_rates: [f64; IDLE_BUCKETS],
}

/// Hashes an id to its position on the ring, which is the same at every instance.
fn ring_position(id: UpstreamId) -> u64 {
    let hash = (id.0 ^ (id.0 >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let hash = (hash ^ (hash >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    hash ^ (hash >> 31)
}

impl Endpoints {
    /// Returns the upstreams that are ejected at time `now`.
    pub(super) fn ejected(&self, now: Millis) -> impl Iterator<Item = UpstreamId> + '_ {
        self.by_id.iter().filter(move |(_, &slot)| now < self.slots[slot].ejected_until).map(|(&id, _)| id)
    }

    pub(super) fn new(settings: &Settings) -> Self {
        let (mut pools, mut pool_by_class): (Vec<PlacementPool>, Vec<usize>) = Default::default();
        for class in &settings.classes {
            let same_placement =
                |pool: &PlacementPool| pool.runs_in == class.runs_in && pool.kinds_only == class.kinds_only;
            pool_by_class.push(pools.iter().position(same_placement).unwrap_or(pools.len()));
            if pool_by_class.last() == Some(&pools.len()) {
                let (runs_in, kinds_only) = (class.runs_in.clone(), class.kinds_only.clone());
                pools.push(PlacementPool { runs_in, kinds_only, ..PlacementPool::default() });
            }
        }
        let mean_latency = mean_objective(settings) / 4.0;
        Endpoints {
            pools,
            pool_by_class,
            mean_latency,
            latency_deviation: mean_latency / 2.0,
            ..Endpoints::default()
        }
    }

    /// Applies an update of the list and selects the subset anew.
    pub(super) fn apply(&mut self, update: Membership, settings: &Settings, now: Millis, rng: &mut Pcg64Mcg) {
        let (members, is_full) = match update {
            Membership::Full(members) | Membership::Cached(members) => (members, true),
            Membership::Delta(members) => (members, false),
            Membership::Failed => return,
        };
        if is_full {
            let listed_ids: BTreeSet<UpstreamId> = members.iter().map(|member| member.id).collect();
            for upstream in self.slots.iter_mut().filter(|upstream| !listed_ids.contains(&upstream.member.id))
            {
                upstream.member.availability = Availability::Gone;
            }
        }
        for member in members {
            let new_upstream = |member| {
                let defaults = Upstream {
                    idle_since: now,
                    silent_since: now,
                    cold_tokens_updated: now,
                    ..Default::default()
                };
                Upstream { member, relative_latency: 1.0, ..defaults }
            };
            if let Some(&slot) = self.by_id.get(&member.id) {
                if self.slots[slot].member.started_at != member.started_at {
                    // The upstream restarted under its old id: it is cold, and its former failures no longer count.
                    let inflight = self.slots[slot].inflight;
                    self.slots[slot] =
                        Upstream { inflight, cold_tokens: uniform(rng), ..new_upstream(member) };
                } else {
                    self.slots[slot].member = member;
                }
            } else if member.availability != Availability::Gone {
                // Hundreds of instances must not all send their first attempt at once, so the budgets start at random.
                let upstream = Upstream { cold_tokens: uniform(rng), ..new_upstream(member) };
                let slot = self.free_slots.pop().unwrap_or(self.slots.len());
                if slot == self.slots.len() {
                    self.slots.push(upstream);
                } else {
                    self.slots[slot] = upstream;
                }
                self.by_id.insert(self.slots[slot].member.id, slot);
            }
        }
        for slot in 0..self.slots.len() {
            self.free_if_gone(slot);
        }
        self.select_subset(settings);
    }

    /// Frees the slot of an upstream that is gone once it has no attempts in flight.
    pub(super) fn free_if_gone(&mut self, slot: usize) {
        let upstream = &self.slots[slot];
        let gone = upstream.member.availability == Availability::Gone && upstream.inflight == 0;
        if gone && self.by_id.get(&upstream.member.id) == Some(&slot) {
            self.by_id.remove(&upstream.member.id);
            self.free_slots.push(slot);
        }
    }

    /// Selects the subset: a contiguous range of the ring that starts at an offset given by this instance's index. The
    /// number of connections would otherwise grow as instances times upstreams. The offsets are evenly spaced, so that
    /// all upstreams serve about the same number of instances.
    fn select_subset(&mut self, settings: &Settings) {
        let ready = |&&slot: &&usize| self.slots[slot].member.availability == Availability::Ready;
        let mut ring: Vec<usize> = self.by_id.values().filter(ready).copied().collect();
        // Upstreams of one group are adjacent, so that a guarded retry finds others of its group in the subset.
        ring.sort_by_key(|&slot| {
            let member = &self.slots[slot].member;
            (ring_position(UpstreamId(member.group.into())), ring_position(member.id), member.id)
        });
        self.ready_counts = (ring.len(), self.ready_counts.1.max(ring.len()));
        let prefer_own_zone = settings.cross_zone_price >= MIN_CROSS_ZONE_PRICE;
        let aperture = |ring: Vec<usize>| {
            let ring_len = ring.len();
            let start =
                ring_len * (settings.index % settings.balancers) as usize / settings.balancers as usize;
            (0..ring_len.min(self.subset_size))
                .map(|offset| ring[(start + offset) % ring_len])
                .collect::<Vec<_>>()
        };
        for pool in &mut self.pools {
            let allowed = ring.iter().copied().filter(|&slot| pool.allows(&self.slots[slot].member));
            let (same_zone, other_zone): (Vec<_>, Vec<_>) =
                allowed.partition(|&slot| !prefer_own_zone || self.slots[slot].member.zone == settings.zone);
            (pool.same_zone, pool.other_zone) = (aperture(same_zone), aperture(other_zone));
        }
    }

    /// Adapts the subset size to the traffic, so that its upstreams stay busy and their connections warm. The size
    /// changes only if the target is below three quarters or above four thirds of it: smaller changes are not worth new
    /// connections.
    pub(super) fn resize_subset(&mut self, settings: &Settings, requests_per_cycle: f64) {
        let upstreams_per_rate =
            (self.mean_latency * SUBSET_PER_INFLIGHT).min(settings.idle_close / ATTEMPTS_PER_IDLE_TIMEOUT);
        let target = ((requests_per_cycle / CYCLE * upstreams_per_rate).min(1e6) as usize).max(MIN_SUBSET);
        if target * 4 < self.subset_size * 3 || target * 3 > self.subset_size * 4 {
            self.subset_size = target;
            self.select_subset(settings);
        }
    }

    /// Returns the fraction of its full capacity that an upstream is certain to have now.
    pub(super) fn warmth(&self, slot: usize, settings: &Settings, now: Millis) -> f64 {
        let age = now - self.slots[slot].member.started_at;
        if self.slots[slot].member.started_at <= 0.0 || age >= settings.ramp_time {
            return 1.0;
        }
        (settings.cold_from + (1.0 - settings.cold_from) * age.max(0.0) / settings.ramp_time).min(1.0)
    }

    /// Returns the idle time bucket of the connection that the next attempt to an upstream would use, and whether to
    /// close that connection first and open a new one. Idle connections may be dropped on the way without notice, and
    /// what is sent on one gets no answer.
    pub(super) fn next_connection(
        &self,
        slot: usize,
        settings: &Settings,
        now: Millis,
        rng: &mut Pcg64Mcg,
    ) -> (usize, bool) {
        let upstream = &self.slots[slot];
        let idle_time = now - upstream.idle_since;
        if upstream.connections <= upstream.inflight || idle_time >= settings.idle_close {
            return (0, false);
        }
        let bucket = (((idle_time / IDLE_BUCKET_BASE).max(0.5).log2() + 2.0) as usize).min(IDLE_BUCKETS - 1);
        (bucket, (1..=bucket).any(|b| self.is_dropped(b)) && uniform(rng) > DROPPED_PROBE_RATIO)
    }

    /// Whether connections of an idle time bucket get dropped: attempts on them are lost more often than on fresh ones.
    pub(super) fn is_dropped(&self, idle_bucket: usize) -> bool {
        self.idle_loss_rates[idle_bucket] > DROPPED_LOSS_RATE
            && self.idle_loss_rates[idle_bucket] > 2.0 * self.idle_loss_rates[0]
    }

    /// Records whether an attempt on a connection of this idle time bucket was lost.
    pub(super) fn record_loss(&mut self, idle_bucket: usize, lost: bool) {
        self.idle_loss_rates[idle_bucket] +=
            LOSS_RATE_GAIN * (f64::from(u8::from(lost)) - self.idle_loss_rates[idle_bucket]);
    }

    /// Records an attempt that is sent to the upstream in `slot`, on a connection of this idle time bucket.
    pub(super) fn record_send(&mut self, slot: usize, idle_bucket: usize, now: Millis) {
        let upstream = &mut self.slots[slot];
        upstream.connections = if idle_bucket == 0 { upstream.inflight } else { upstream.connections };
        upstream.silent_since = if upstream.inflight == 0 { now } else { upstream.silent_since };
        upstream.inflight += 1;
        if upstream.connections <= upstream.inflight {
            (upstream.connections, upstream.idle_since) = (upstream.inflight, now);
        }
        upstream.last_used = now;
        upstream.cold_tokens -= 1.0;
    }

    /// Whether an upstream has attempts in flight and has not answered for much longer than answers usually take.
    pub(super) fn is_silent(&self, slot: usize, now: Millis) -> bool {
        let upstream = &self.slots[slot];
        upstream.inflight > 0
            && now - upstream.silent_since > (SILENT_FACTOR * self.mean_latency).max(MIN_SILENCE)
    }

    /// Records the end of an attempt. Returns whether a failure is the upstream's own.
    pub(super) fn record_end(
        &mut self,
        (slot, idle_bucket): (usize, usize),
        ending: AttemptOutcome,
        duration: Millis,
        now: Millis,
        rng: &mut Pcg64Mcg,
    ) -> bool {
        let is_hung = ending == AttemptOutcome::Timeout && self.is_silent(slot, now);
        // An attempt that was reset as late as answers usually come had been received: its connection had not been
        // dropped while idle.
        let lost = ending == AttemptOutcome::Timeout
            || (ending == AttemptOutcome::Reset && duration < self.mean_latency / 2.0);
        let aborted = matches!(ending, AttemptOutcome::Cancelled | AttemptOutcome::ConnectFailed);
        if !aborted && ending != AttemptOutcome::NotSent {
            self.record_loss(idle_bucket, lost);
        }
        let upstream = &mut self.slots[slot];
        upstream.idle_since =
            if upstream.inflight >= upstream.connections { now } else { upstream.idle_since };
        // A connection whose attempt got no answer is not reused.
        upstream.connections -=
            upstream.connections.min(u32::from(lost || aborted || ending == AttemptOutcome::Reset));
        upstream.inflight = upstream.inflight.saturating_sub(1);
        upstream.last_used = now;
        if matches!(ending, AttemptOutcome::Cancelled | AttemptOutcome::NotSent) {
            return false;
        }
        let failed = ending != AttemptOutcome::Ok;
        upstream.silent_since = if ending == AttemptOutcome::Timeout { upstream.silent_since } else { now };
        let effective_duration = if failed { duration.max(2.0 * self.mean_latency) } else { duration };
        upstream.relative_latency += RELATIVE_LATENCY_GAIN
            * (effective_duration / self.mean_latency.max(1.0) - upstream.relative_latency);
        if ending == AttemptOutcome::Ok {
            self.latency_deviation += 0.05 * ((duration - self.mean_latency).abs() - self.latency_deviation);
            self.mean_latency += 0.05 * (duration - self.mean_latency);
        }
        let failure = f64::from(u8::from(failed));
        upstream.failure_rate += FAILURE_RATE_GAIN * (failure - upstream.failure_rate);
        upstream.outcome_count += 1;
        // A hung upstream takes work and answers nothing while others answer: no need to wait for more timeouts.
        upstream.failure_rate = if is_hung { 1.0 } else { upstream.failure_rate };
        // The mean failure rate counts all upstreams: if most of them fail, no single one is at fault.
        self.failure_rate += 0.02 * (failure - self.failure_rate);
        let own_failure = upstream.failure_rate > MIN_EJECTION_FAILURE_RATE
            && upstream.failure_rate > MIN_EJECTION_RATIO * self.failure_rate;
        if !failed && now >= upstream.ejected_until && upstream.failure_rate < MIN_EJECTION_FAILURE_RATE / 2.0
        {
            upstream.ejections = 0;
        }
        if failed && own_failure && (is_hung || upstream.outcome_count >= 3) && now >= upstream.ejected_until
        {
            self.eject(slot, now, rng);
        }
        own_failure
    }

    /// Ejects an upstream. One that fails fast has few attempts in flight and would win every comparison.
    fn eject(&mut self, slot: usize, now: Millis, rng: &mut Pcg64Mcg) {
        // Counted here only: counting on every outcome would cost more than all else when there are many upstreams.
        let ejected_count = self.by_id.values().filter(|&&slot| now < self.slots[slot].ejected_until).count();
        if ejected_count >= (self.ready_counts.0 / MAX_EJECTED_DIVISOR).max(1) {
            return;
        }
        let upstream = &mut self.slots[slot];
        let duration = (BASE_EJECTION * f64::from(upstream.ejections + 1)).min(MAX_EJECTION);
        upstream.ejected_until = now + duration * (0.75 + 0.5 * uniform(rng));
        upstream.ejections += 1;
        // One more failure after the upstream's return ejects it again.
        upstream.failure_rate = MIN_EJECTION_FAILURE_RATE;
    }
}
