//! Attempts and retries: what is sent, sent again, given up, and what an ending tells.
use super::admission::{lateness, MAX_LATENESS, RETRY_SAVED};
use super::endpoint_selection::SelectionRequest;
use super::random::unit;
use super::{Balancer, CYCLE};
use crate::interface::{Action, DedupScope, Effect, Ending, Millis, Request, RequestId};

/// An attempt that may be repeated is given up after the mean answer time and this many mean deviations.
const TIMEOUT_DEVIATIONS: f64 = 4.0;
/// It is given up only where failures exceed this, or a quarter of it on connections that rested as long.
const SUSPECT_AT: f64 = 0.2;
/// Where a late answer earns nothing, the request ends at this part of its objective: just in time to say so.
const AIM_PART: f64 = 0.98;
/// Further attempts allowed per request on average: a failing tier is not sent a multiple.
const RETRY_RATIO: f64 = 0.2;
/// Part of the cold budget that is used; the rest absorbs chance and calls heavier than average.
const COLD_MARGIN: f64 = 0.5;

pub(super) struct Pending {
    class: usize,
    tenant: usize,
    /// Most attempts, of those that the settings allow.
    pub(super) cap: u32,
    /// When an answer stops being worth anything: no attempt runs longer.
    ends: Millis,
    pub(super) sends: u32,
    /// Attempts out: their number, upstream, when they were sent and how rested their connection was.
    pub(super) out: Vec<(u32, usize, Millis, usize)>,
    /// The first attempt that may have run: its number, when it was sent, its zone and group.
    ran: Option<(u32, Millis, u16, u16)>,
    last: Option<usize>,
    pub(super) over: bool,
}

impl Balancer {
    /// Sends an attempt if a place can be found and every rule allows it.
    fn send(&mut self, now: Millis, id: RequestId, actions: &mut Vec<Action>) -> bool {
        let s = &self.settings;
        let Some(p) = self.pending.get(&id) else { return false };
        if p.sends >= s.attempts_cap.min(p.cap) || now >= p.ends || self.cannot_finish(p.class, p.ends - now)
        {
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
        let ask =
            SelectionRequest { settings: s, now, pool, cold_rate, avoid: p.last, desperate: false, scope };
        let last_resort = SelectionRequest { avoid: None, desperate: true, ..ask };
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

    fn cannot_finish(&self, class: usize, left: Millis) -> bool {
        self.settings.refuse_hopeless && self.fastest.cannot_finish(class, left)
    }

    /// Silence is waited out, as heavy work is silent too and its repeat as heavy, but where answers got lost
    /// of late, from this upstream or on connections that rested as long, and a repeat is legal and in time.
    fn timeout(&self, p: &Pending, i: usize, rest: usize, now: Millis) -> Millis {
        let (f, u) = (&self.fleet, &self.fleet.slots[i]);
        let suspect = u.fails > SUSPECT_AT || f.rest_lost[rest] > SUSPECT_AT / 4.0;
        let again = p.sends + 1 < self.settings.attempts_cap.min(p.cap) && self.retries >= 1.0;
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

    pub(super) fn request(&mut self, now: Millis, r: Request, actions: &mut Vec<Action>) {
        if self.pending.contains_key(&r.id) {
            return;
        }
        self.retries = (self.retries + RETRY_RATIO).min(RETRY_SAVED);
        let Some(c) = self.settings.classes.get(r.class) else {
            let refusal = self.refusal(r.id);
            return actions.push(refusal);
        };
        // A late answer that earns nothing only holds a slot in every tier above.
        let useful = if c.late_worth > 0.0 { f64::INFINITY } else { now + c.objective * AIM_PART };
        let (class, ends) = (r.class, r.deadline.min(useful));
        let hopeless = self.cannot_finish(class, ends - now);
        if hopeless {
            self.fastest.decay(class);
        }
        if hopeless || !self.admission.admit(r.tenant, r.worth, now) {
            let refusal = self.refusal(r.id);
            return actions.push(refusal);
        }
        let (tenant, cap, out) = (r.tenant, r.retries.saturating_add(1), Vec::new());
        let fresh = Pending { class, tenant, cap, ends, sends: 0, out, ran: None, last: None, over: false };
        self.pending.insert(r.id, fresh);
        if !self.send(now, r.id, actions) {
            self.give_up(r.id, actions);
        }
    }

    /// Calls that are late already count before their answers come: judged by the answers alone, which
    /// are the fast ones at first, a tier that slows down would look well.
    pub(super) fn judge_unanswered(&mut self, now: Millis) {
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

    pub(super) fn outcome(
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
        let (class, tenant) = (p.class, p.tenant);
        p.over |= closed;
        let (over, waiting) = (p.over, !p.out.is_empty());
        self.admission.inflight -= 1.0;
        let own = self.fleet.ended((i, rest), ending, duration, now, &mut self.rng);
        self.fleet.forget_if_gone(i);
        if ending == Ending::Ok {
            self.fastest.answered(class, duration);
        }
        let lateness = match ending {
            Ending::Ok => Some(lateness(duration / self.settings.classes[class].objective)),
            Ending::Cancelled | Ending::Moot => None,
            // Blame the server or the connection, not the fleet, for failures that are its own.
            _ if own || self.fleet.dropped(rest) => None,
            _ => Some(MAX_LATENESS),
        };
        if let Some(lateness) = lateness {
            self.admission.learn(lateness);
        }
        if over && !waiting {
            self.pending.remove(&id);
        } else if !over && !waiting {
            let tokens = self.retries >= 1.0 && self.admission.may_repeat(tenant);
            if ending != Ending::Ok && tokens && self.send(now, id, actions) {
                self.retries -= 1.0;
                self.admission.repeated(tenant);
            } else {
                self.give_up(id, actions);
            }
        }
    }
}
