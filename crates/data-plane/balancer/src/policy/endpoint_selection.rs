//! The pick: the less busy of two random usable upstreams, by own calls in flight.
use super::endpoints::{Endpoints, Upstream};
use super::random::below;
use crate::interface::*;
use rand_pcg::Pcg64Mcg;
use std::cmp::Ordering;

/// Random draws before the pick walks the list or settles for one.
const DRAWS: usize = 6;
/// The ratio of answer times that decides between two that hold as many calls; and how long an answer time is
/// remembered when nothing is sent there.
const ANSWER_RATIO: f64 = 1.25;
const ANSWER_DECAY: Millis = 5000.0;

impl Endpoints {
    /// Whether a listed upstream may be sent a call now: not ejected, not silent, within its cold budget.
    fn usable(&mut self, i: usize, ask: &SelectionRequest) -> bool {
        let SelectionRequest { settings: s, now, cold_rate, desperate, .. } = *ask;
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
        let slow = |u: &Upstream| 1.0 + (u.slowness - 1.0) * (-(now - u.last_used) / ANSWER_DECAY).exp();
        match a.inflight.cmp(&b.inflight) {
            Ordering::Equal if slow(a) > ANSWER_RATIO * slow(b) => false,
            Ordering::Equal if slow(b) > ANSWER_RATIO * slow(a) => true,
            Ordering::Equal => a.last_used < b.last_used,
            order => order == Ordering::Less,
        }
    }

    /// The less busy of two random usable upstreams.
    pub(super) fn pick(&mut self, far: bool, ask: &SelectionRequest, rng: &mut Pcg64Mcg) -> Option<usize> {
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

pub(super) struct SelectionRequest<'a> {
    pub(super) settings: &'a Settings,
    pub(super) now: Millis,
    pub(super) pool: usize,
    /// Calls per millisecond that a warm upstream's worth of cold ones may be sent by this copy.
    pub(super) cold_rate: f64,
    pub(super) avoid: Option<usize>,
    /// Nothing better is left: ejected and silent upstreams will do.
    pub(super) desperate: bool,
    /// A repeat of a guarded request: only these may discard it.
    pub(super) scope: Option<(DedupScope, u16, u16)>,
}

impl SelectionRequest<'_> {
    fn allows(&self, m: &Member) -> bool {
        match self.scope {
            None | Some((DedupScope::All, ..)) => true,
            Some((DedupScope::Zone, zone, _)) => m.zone == zone,
            Some((DedupScope::Cell, _, group)) => m.group == group,
        }
    }
}
