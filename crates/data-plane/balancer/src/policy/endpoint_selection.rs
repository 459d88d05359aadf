//! Endpoint selection: of two random usable upstreams, the one with fewer attempts of this instance in flight.
use super::endpoints::{Endpoints, Upstream};
use super::random::uniform_below;
use crate::interface::{DedupScope, Member, Millis, Settings};
use rand_pcg::Pcg64Mcg;
use std::cmp::Ordering;

/// Number of random draws before the selection falls back to a scan of the pool, or to the one candidate found.
const RANDOM_DRAWS: usize = 6;
/// Minimum ratio of answer times that decides between two upstreams with equally many attempts in flight.
const MIN_LATENCY_RATIO: f64 = 1.25;
/// Time constant in milliseconds with which an upstream's answer time is forgotten while it gets no attempts.
const LATENCY_DECAY: Millis = 5000.0;

impl Endpoints {
    /// Whether a listed upstream may get an attempt now: not ejected, not silent, and within its cold start budget.
    fn is_usable(&mut self, slot: usize, request: &SelectionRequest) -> bool {
        let SelectionRequest { settings, now, cold_rate, allow_unhealthy, .. } = *request;
        let (warmth, silent) = (self.warmth(slot, settings, now), self.is_silent(slot, now));
        let upstream = &mut self.slots[slot];
        if !allow_unhealthy && (now < upstream.ejected_until || silent) {
            return false;
        }
        if warmth >= 1.0 {
            return true;
        }
        // All instances together must stay below the load at which a cold upstream falls over: each one spends only its
        // own share of the budget and saves up at most one attempt.
        upstream.cold_tokens =
            (upstream.cold_tokens + cold_rate * warmth * (now - upstream.cold_tokens_updated)).min(1.0);
        upstream.cold_tokens_updated = now;
        upstream.cold_tokens >= 1.0
    }

    /// Whether upstream `a` is to be preferred to `b`. The number of own attempts in flight decides. An instance with
    /// little traffic mostly compares zeros: then the upstream with a clearly shorter recent answer time wins, so that
    /// slow machine kinds and overloaded upstreams get less here too, and else the least recently used one, which
    /// spreads the attempts. Preferring open connections would send all attempts to the same few upstreams.
    fn less_busy(&self, a: usize, b: usize, now: Millis) -> bool {
        let (a, b) = (&self.slots[a], &self.slots[b]);
        // The measured answer time is forgotten gradually, so that a formerly slow upstream is tried again.
        let decayed_latency =
            |u: &Upstream| 1.0 + (u.relative_latency - 1.0) * (-(now - u.last_used) / LATENCY_DECAY).exp();
        match a.inflight.cmp(&b.inflight) {
            Ordering::Equal if decayed_latency(a) > MIN_LATENCY_RATIO * decayed_latency(b) => false,
            Ordering::Equal if decayed_latency(b) > MIN_LATENCY_RATIO * decayed_latency(a) => true,
            Ordering::Equal => a.last_used < b.last_used,
            order => order == Ordering::Less,
        }
    }

    /// Selects the less busy of two random usable upstreams, or the only usable one. `None` if there is none.
    pub(super) fn select(
        &mut self,
        in_other_zone: bool,
        request: &SelectionRequest,
        rng: &mut Pcg64Mcg,
    ) -> Option<usize> {
        let pool = &self.pools[request.pool];
        let count = if in_other_zone { pool.other_zone.len() } else { pool.same_zone.len() };
        if count == 0 {
            return None;
        }
        let mut candidate: Option<usize> = None;
        let start = uniform_below(rng, count);
        for draw in 0..RANDOM_DRAWS + count {
            // When the random draws find no candidate, scan the pool once. This is rare, and bounded by the
            // size of the pool.
            if draw >= RANDOM_DRAWS && candidate.is_some() {
                break;
            }
            let position =
                if draw < RANDOM_DRAWS { uniform_below(rng, count) } else { (start + draw) % count };
            let slot = if in_other_zone {
                self.pools[request.pool].other_zone[position]
            } else {
                self.pools[request.pool].same_zone[position]
            };
            let excluded = (candidate == Some(slot) && count > 1) || request.avoid == Some(slot);
            if excluded || !request.allows(&self.slots[slot].member) || !self.is_usable(slot, request) {
                continue;
            }
            match candidate {
                Some(best) => return Some(if self.less_busy(slot, best, request.now) { slot } else { best }),
                None => candidate = Some(slot),
            }
        }
        candidate
    }
}

/// Constraints for the selection of one upstream.
pub(super) struct SelectionRequest<'a> {
    pub(super) settings: &'a Settings,
    pub(super) now: Millis,
    pub(super) pool: usize,
    /// Attempts per millisecond that this instance may send to a cold upstream, scaled by its warmth.
    pub(super) cold_rate: f64,
    /// Upstream to skip: the one that the previous attempt used.
    pub(super) avoid: Option<usize>,
    /// Whether ejected and silent upstreams are acceptable, since no better one is left.
    pub(super) allow_unhealthy: bool,
    /// For a retry of a guarded request: scope, zone and group of the upstreams that discard duplicates of it.
    pub(super) scope: Option<(DedupScope, u16, u16)>,
}

impl SelectionRequest<'_> {
    fn allows(&self, member: &Member) -> bool {
        match self.scope {
            None | Some((DedupScope::All, ..)) => true,
            Some((DedupScope::Zone, zone, _)) => member.zone == zone,
            Some((DedupScope::Cell, _, group)) => member.group == group,
        }
    }
}
