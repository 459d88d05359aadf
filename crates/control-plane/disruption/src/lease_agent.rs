//! What a supervisor's agent does with the record: it asks before it takes a balancer out, gives leaves back, and helps the
//! rule along. A machine without I/O: it is shown the board and the time, and says what is to be written.
//!
//! A write is made only if the record is still as it was when it was decided on. What another agent could do as well is done
//! a little later, so that usually one does it.
use crate::scheduler::{json, put, MAX_GRANTS_PER_WRITE};
use crate::snapshot::{
    lease_key, owner_key, request_key, BalancerEntry, DisruptionKind, DisruptionLease, FleetSnapshot,
    LeaseRequest,
};
use crate::{ConditionalWrite, ResourceId, ResourceKind};
use coordination::state_machine::{Compare, Op, SessionId};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::BTreeMap;
use std::time::Duration;

/// What another agent could do as well is left to it for so long, and up to as long again.
pub const ASSIST_DELAY: Duration = Duration::from_millis(300);
/// A drain is said to be over once nothing was waited for for so long.
pub const DRAIN_SETTLE_TIME: Duration = Duration::from_secs(1);
/// After a write that failed.
pub const RETRY_DELAY: Duration = Duration::from_millis(200);
/// A leave of an earlier process of the same supervisor, by which nothing was seen to be done for so long, is given back:
/// what that process did shows in the record within a moment.
pub const ADOPTED_LEASE_TIMEOUT: Duration = Duration::from_secs(10);

/// Leave that was given.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct GrantedLease {
    /// For this balancer.
    pub balancer: String,
    /// To do this.
    pub kind: DisruptionKind,
    /// The leave's number: of two for one unit the later has the greater.
    pub fencing_token: u64,
    /// The session that has to be held at the moment at which something is done by it.
    pub session: SessionId,
}

/// What is to be done now.
#[derive(Clone, Debug, PartialEq)]
pub enum Step {
    /// This write; then the board is to be read anew, and [`LeaseAgent::next`] called.
    Write(ConditionalWrite, Option<String>),
    /// The board is to be read anew from a majority, and [`LeaseAgent::decided`] called with it.
    ReadConsistent,
    /// Nothing, until something changes, or until then.
    Wait(Option<Duration>),
}

/// What is wanted for one balancer.
#[derive(Clone, Debug)]
enum LeaseIntent {
    Acquire { act: DisruptionKind, why: String, overrides: Option<String>, told: Option<(u64, SessionId)> },
    Release { acted: bool },
}

/// The machine.
pub struct LeaseAgent {
    owner: String,
    random: Pcg64Mcg,
    intents: BTreeMap<String, LeaseIntent>,
    set_balancers: Option<BTreeMap<String, BalancerEntry>>,
    /// Leaves of an earlier process, and since when they are this one's.
    adopted: BTreeMap<String, Duration>,
    /// When something that another could do as well is done here.
    assist_at: Option<Duration>,
    /// Drains that end by themselves, and when they were first seen.
    drains: BTreeMap<(ResourceId, u64), Duration>,
    /// Drains for which nothing is waited for any more, and since when.
    idle_drains: BTreeMap<(ResourceId, u64), Duration>,
    /// After a write that failed.
    not_before: Duration,
}

impl LeaseAgent {
    /// One for a supervisor that is known by this name.
    pub fn new(owner: &str, seed: u64) -> LeaseAgent {
        LeaseAgent {
            owner: owner.into(),
            random: Pcg64Mcg::seed_from_u64(seed),
            intents: BTreeMap::new(),
            set_balancers: None,
            adopted: BTreeMap::new(),
            assist_at: None,
            drains: BTreeMap::new(),
            idle_drains: BTreeMap::new(),
            not_before: Duration::ZERO,
        }
    }

    /// Leave is wanted. `overrides`: an operator's reason to go over what budgets allow.
    pub fn request(&mut self, unit: &str, act: DisruptionKind, why: &str, overrides: Option<String>) {
        self.intents
            .insert(unit.into(), LeaseIntent::Acquire { act, why: why.into(), overrides, told: None });
    }

    /// Nothing was done by a leave that was told of, since its session was not held when the news came. It is still wanted, and
    /// is told of again with the next that is held.
    pub fn mark_unused(&mut self, unit: &str) {
        if let Some(LeaseIntent::Acquire { told, .. }) = self.intents.get_mut(unit) {
            *told = None;
        }
    }

    /// Leave is not wanted any more. `acted`: another process is to come, and the leave ends once that was seen.
    pub fn release(&mut self, unit: &str, acted: bool) {
        self.intents.insert(unit.into(), LeaseIntent::Release { acted });
    }

    /// The balancers that its machine has, all of them.
    pub fn set_balancers(&mut self, units: BTreeMap<String, BalancerEntry>) {
        self.set_balancers = Some(units);
    }

    /// A write or a read failed.
    pub fn on_failure(&mut self, now: Duration) {
        self.not_before = now + RETRY_DELAY;
    }

    /// The number of the ask for a unit.
    fn request_id(&self, unit: &str) -> String {
        format!("{}/{unit}", self.owner)
    }

    /// What is to be done, with the session that is held and the board as it was last heard of; leaves that are given are
    /// added to `given`, each once.
    pub fn next(
        &mut self,
        now: Duration,
        session: Option<SessionId>,
        board: &FleetSnapshot,
        given: &mut Vec<GrantedLease>,
    ) -> Step {
        let Some(session) = session.filter(|_| board.revision > 0) else { return Step::Wait(None) };
        if now < self.not_before {
            return Step::Wait(Some(self.not_before));
        }
        if let Some(plan) = self.own_write(now, session, board) {
            return Step::Write(plan, None);
        }
        self.notify_grants(session, board, given);
        self.shared_step(now, board)
    }

    /// The same, with a board that was read from a majority just now, where [`Step::ReadConsistent`] asked for it.
    pub fn on_consistent_read(&mut self, now: Duration, board: &FleetSnapshot) -> Step {
        match board.grants() {
            Some((plan, ids)) => Step::Write(plan, Some(format!("leave is given: {}", ids.join(", ")))),
            // Others were faster, or it does not hold any more.
            None => Step::Wait(Some(now + RETRY_DELAY)),
        }
    }

    /// The next write that is this supervisor's own affair.
    fn own_write(
        &mut self,
        now: Duration,
        session: SessionId,
        board: &FleetSnapshot,
    ) -> Option<ConditionalWrite> {
        if board.owners.get(&self.owner).is_none_or(|h| h.value != session) {
            let put = Op::Put { key: owner_key(&self.owner), value: session.to_string(), ephemeral: true };
            return Some(ConditionalWrite { compares: vec![Compare::SessionAlive(session)], ops: vec![put] });
        }
        if let Some(plan) =
            self.set_balancers.as_ref().and_then(|units| board.declare_balancers(&self.owner, units))
        {
            return Some(plan);
        }
        let mine: Vec<_> = board
            .leases
            .iter()
            .filter(|(id, leave)| id.kind == ResourceKind::Balancer && leave.value.owner == self.owner)
            .collect();
        if let Some((id, _)) = mine.iter().find(|(_, leave)| leave.value.session != session) {
            self.adopted.insert(id.name.clone(), now);
            return board.adopt_lease(id, &self.owner, session);
        }
        for (id, leave) in &mine {
            let undone = match self.intents.get(&id.name) {
                Some(LeaseIntent::Acquire { .. }) => continue,
                Some(LeaseIntent::Release { acted }) => !acted,
                // Of an earlier process, of which it is not known whether it acted.
                None => {
                    let since = *self.adopted.entry(id.name.clone()).or_insert(now);
                    let same = !leave.value.kind.replaces_process()
                        || board.session_of(id) == leave.value.previous_session;
                    now >= since + ADOPTED_LEASE_TIMEOUT && same
                }
            };
            if let Some(plan) = board.release_lease(id, undone) {
                return Some(plan);
            }
        }
        let asked = |unit: &str| board.requests.contains_key(&self.request_id(unit));
        let has = |unit: &str| mine.iter().any(|(id, _)| id.name == unit);
        let mut plan = ConditionalWrite::default();
        for (id, ask) in &board.requests {
            let own = ask.value.owner == self.owner && ask.value.session == session;
            if own && !matches!(self.intents.get(&ask.value.resource.name), Some(LeaseIntent::Acquire { .. }))
            {
                plan.compares.push(Compare::Version(request_key(id), ask.version));
                plan.ops.push(Op::Delete(request_key(id)));
            }
        }
        for (unit, want) in
            self.intents.iter().filter(|(unit, _)| !asked(unit) && !has(unit)).take(MAX_GRANTS_PER_WRITE)
        {
            let LeaseIntent::Acquire { act, why, overrides, .. } = want else { continue };
            let ask = LeaseRequest {
                resource: ResourceId::balancer(unit),
                owner: self.owner.clone(),
                session,
                kind: *act,
                // What an operator insists on goes first.
                priority: u8::from(overrides.is_some()),
                reason: why.clone(),
                override_reason: overrides.clone(),
                duration_ms: None,
            };
            plan.ops.push(Op::Put {
                key: request_key(&self.request_id(unit)),
                value: json(&ask),
                ephemeral: true,
            });
        }
        // What is back, or was never given, is not wanted any more.
        let over = |unit: &String, want: &LeaseIntent| {
            matches!(want, LeaseIntent::Release { .. }) && !asked(unit) && !has(unit)
        };
        let gone: Vec<String> =
            self.intents.iter().filter(|(u, w)| over(u, w)).map(|(u, _)| u.clone()).collect();
        for unit in gone {
            self.intents.remove(&unit);
            self.adopted.remove(&unit);
        }
        (!plan.ops.is_empty()).then_some(plan)
    }

    /// Leaves that its supervisor was not told of.
    fn notify_grants(&mut self, session: SessionId, board: &FleetSnapshot, given: &mut Vec<GrantedLease>) {
        for (unit, want) in &mut self.intents {
            let LeaseIntent::Acquire { told, .. } = want else { continue };
            let Some(leave) = board.leases.get(&ResourceId::balancer(unit)).map(|l| &l.value) else {
                continue;
            };
            let this = (leave.fencing_token, session);
            if leave.owner == self.owner && leave.session == session && *told != Some(this) {
                *told = Some(this);
                given.push(GrantedLease {
                    balancer: unit.clone(),
                    kind: leave.kind,
                    fencing_token: leave.fencing_token,
                    session,
                });
            }
        }
    }

    /// What anybody may do: at once, if it gives this supervisor leave, and else if nobody does it for a while.
    fn shared_step(&mut self, now: Duration, board: &FleetSnapshot) -> Step {
        let given = board.grants();
        let own = |id: &String| board.requests.get(id).is_some_and(|a| a.value.owner == self.owner);
        if given.as_ref().is_some_and(|(_, ids)| ids.iter().any(own)) {
            // Decided on what a majority has now, and not on what was heard of last.
            return Step::ReadConsistent;
        }
        let due = match given {
            Some(_) => Some(Step::ReadConsistent),
            None => self.due(now, board).map(|(what, plan)| Step::Write(plan, Some(what))),
        };
        let Some(step) = due else {
            self.assist_at = None;
            return Step::Wait(self.next_end(now, board));
        };
        let random = &mut self.random;
        let at = *self
            .assist_at
            .get_or_insert_with(|| now + ASSIST_DELAY + ASSIST_DELAY.mul_f64(random.gen::<f64>()));
        if now < at {
            return Step::Wait(Some(at));
        }
        self.assist_at = None;
        step
    }

    /// When the next drain ends by itself, or is over, or an earlier process's leave is given back.
    fn next_end(&self, now: Duration, board: &FleetSnapshot) -> Option<Duration> {
        let ends = self.drains.iter().filter_map(|((id, number), seen)| {
            let leave = board.leases.get(id).filter(|l| l.value.fencing_token == *number)?;
            Some(*seen + Duration::from_millis(leave.value.duration_ms?))
        });
        let settled = self.adopted.values().map(|&since| since + ADOPTED_LEASE_TIMEOUT);
        // What is due already waits for something else that will be heard of.
        ends.chain(self.idle_drains.values().map(|&since| since + DRAIN_SETTLE_TIME))
            .chain(settled)
            .filter(|&at| at > now)
            .min()
    }

    fn due(&mut self, now: Duration, board: &FleetSnapshot) -> Option<(String, ConditionalWrite)> {
        let is = |(id, number): &(ResourceId, u64)| {
            board.leases.get(id).is_some_and(|l| l.value.fencing_token == *number)
        };
        self.drains.retain(|key, _| is(key));
        self.idle_drains.retain(|key, _| is(key));
        self.adopted.retain(|unit, _| board.leases.contains_key(&ResourceId::balancer(unit)));
        for (id, leave) in board.leases.iter().filter(|(_, l)| l.value.duration_ms.is_some()) {
            self.drains.entry((id.clone(), leave.value.fencing_token)).or_insert(now);
        }
        if let Some((id, plan)) = board.orphaned_leases().into_iter().next() {
            return Some((format!("the leave for {id} is nobody's any more"), plan));
        }
        if let Some((plan, named)) = board.recall_drains() {
            let names: Vec<String> = named.iter().map(|(id, why)| format!("{id}, for {why}")).collect();
            return Some((format!("asked to return: {}", names.join("; ")), plan));
        }
        if let Some(plan) = board.remove_unused_lists() {
            return Some(("lists that nobody has are removed".into(), plan));
        }
        for (id, leave) in board.leases.iter().filter(|(id, _)| id.kind == ResourceKind::Upstream) {
            let key = (id.clone(), leave.value.fencing_token);
            let when = vec![Compare::Version(lease_key(id), leave.version)];
            let over = |seen: &Duration| {
                leave.value.duration_ms.is_some_and(|ms| now >= *seen + Duration::from_millis(ms))
            };
            if self.drains.get(&key).is_some_and(over) {
                let then = vec![Op::Delete(lease_key(id))];
                return Some((
                    format!("the drain of {id} has ended by itself"),
                    ConditionalWrite { compares: when, ops: then },
                ));
            }
            if leave.value.drained || !board.pending_confirmations(id).is_empty() {
                self.idle_drains.remove(&key);
                continue;
            }
            // A process that has just passed its sockets on is heard of a moment later.
            let since = *self.idle_drains.entry(key.clone()).or_insert(now);
            if now >= since + DRAIN_SETTLE_TIME {
                let then =
                    vec![put(lease_key(id), json(&DisruptionLease { drained: true, ..leave.value.clone() }))];
                return Some((format!("{id} is drained"), ConditionalWrite { compares: when, ops: then }));
            }
        }
        None
    }
}
