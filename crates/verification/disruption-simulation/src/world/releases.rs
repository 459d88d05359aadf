//! Releases in a run: what supervisors do by `rollout::mover` and `rollout::board`, what balancers say of their work, and what
//! operators say.
use super::{ms, name, DisruptionKind, Holder, Proc, ProcessId, ProcessPhase, What, World};
use crate::plan::{Quality, Variant};
use coordination::state_machine::{Command, Compare, Op, Outcome, SessionId, Transaction};
use disruption::lease_agent::GrantedLease;
use disruption::ConditionalWrite as Writes;
use disruption::Projection;
use fleet_simulation::agenda::Nanos;
use rollout::executor::{
    ExecutorAction as Move, LocalInstance, RolloutContext, RolloutExecutor, SupervisorState,
};
use rollout::keys::{metrics_key, report_key, KEY_PREFIX, STATE_KEY};
use rollout::{
    BuildId, BuildPaths, CanaryAnalysis, InstanceReport, MetricsSample, MetricsWindow, OperatorCommand,
    RolloutPlan, RolloutSnapshot, RolloutSpec, RolloutState, Stage,
};
use std::collections::BTreeMap;
use std::time::Duration;
use supervisor::{Event, InstanceState as Stands};

/// How often a supervisor looks after releases, and how long it leaves to others what they could write as well.
const LOOK: f64 = 300.0;
/// Of a release: how long a wave is watched, how often the gate looks, and how long at the most.
const BAKE: u64 = 9_000;
const GATE: u64 = 3_000;
const CAP: u64 = 27_000;
/// How often balancers say what they did.
const SAYS: f64 = 1_200.0;
/// News of the record has come everywhere that is reached after this, and what was begun by what was known before is over.
const NEWS: f64 = 1_000.0;
/// Crashes count together within this.
const WINDOW: Duration = Duration::from_secs(60);
/// Requests a second at a balancer.
const RATE: f64 = 14.0;

/// A supervisor's part.
#[derive(Default)]
pub struct Part {
    mover: RolloutExecutor,
    board: RolloutSnapshot,
    /// What it has written of its instances, under which session.
    said: (SessionId, BTreeMap<String, InstanceReport>),
    busy: bool,
}

/// What a write is for.
pub enum Said {
    /// What is written of instances then.
    Places(SessionId, BTreeMap<String, InstanceReport>),
    /// The next state.
    State,
}

/// The release of a run.
#[derive(Default)]
pub struct Course {
    began: Option<Nanos>,
    /// How long instances were out by leave, all together.
    pub out: Nanos,
    /// Whether an operator said anything that counted.
    ordered: bool,
    /// When the state last changed.
    changed: Option<Nanos>,
}

fn now_ms(now: Nanos) -> u64 {
    now / 1_000_000
}

impl World {
    /// Many machines look and say less often, as a large fleet would have it, and so that a run of them ends.
    fn slower(&self) -> u64 {
        (self.plan.machines as u64 / 5).max(1)
    }

    /// What a build is like, if it is the new one.
    pub(super) fn of_new(&self, build: &BuildId) -> Option<Quality> {
        self.plan.release.as_ref().map(|r| r.quality).filter(|_| build.0 == "new")
    }

    pub(super) fn prepare(&mut self) {
        let Some(release) = self.plan.release.clone() else { return };
        self.agenda.at(release.at, What::Begins);
        for (k, (at, _)) in release.orders.iter().enumerate() {
            self.agenda.at(*at, What::Order(k));
        }
        for m in 0..self.plan.machines {
            let at = self.draws.between((0.0, SAYS * self.slower() as f64));
            self.agenda.at(ms(at), What::Samples(m));
        }
        // In the end somebody sees to what is halted.
        let last = self.plan.troubles.iter().map(|t| t.at + t.span).max().unwrap_or(0);
        let last = last.max(release.at).max(release.orders.iter().map(|o| o.0).max().unwrap_or(0));
        self.agenda.at(last + ms(20_000.0), What::Order(usize::MAX));
    }

    fn record_of_releases(&self) -> RolloutSnapshot {
        let items: Vec<_> =
            self.record.with_prefix(KEY_PREFIX).map(|(key, item)| (key.to_string(), item.clone())).collect();
        RolloutSnapshot::from_items(self.record.revision(), &items)
    }

    /// What is not as it should be at the end.
    pub(super) fn release_unfinished(&self) -> Vec<String> {
        if self.plan.release.is_none() {
            return Vec::new();
        }
        let board = self.record_of_releases();
        let Some((_, state)) = board.current() else { return vec!["the release has not begun".into()] };
        let wanted = match &state.value {
            RolloutState::Complete => "new",
            RolloutState::RolledBack { .. } => "old",
            other => return vec![format!("the release: {}", other.summary())],
        };
        let mut all = Vec::new();
        for (m, machine) in self.machines.iter().enumerate() {
            for (k, b) in machine.balancers.iter().enumerate() {
                let is = |p: &Proc| p.stage != ProcessPhase::Ready || p.build.0 == wanted;
                if !b.procs.values().all(is) || machine.kept[k].0 != wanted {
                    let place = board.reports.get(&name(m, k)).map(|p| &p.value);
                    let says = state.value.summary();
                    all.push(format!("{} is not of the {wanted} build: {says}, {place:?}", name(m, k)));
                }
            }
        }
        all
    }

    fn operator(&mut self, plan: Writes) -> bool {
        let number = self
            .record
            .session(self.operator)
            .and_then(|s| s.last_transaction.as_ref())
            .map_or(1, |(n, _)| n + 1);
        let write =
            Transaction { session: self.operator, sequence: number, compares: plan.compares, ops: plan.ops };
        let written = matches!(self.record.apply(&Command::Transaction(write)), Outcome::Committed(_));
        if written {
            self.changed();
        }
        written
    }

    pub(super) fn begins(&mut self) {
        let Some(release) = self.plan.release.clone() else { return };
        if self.council_away > 0 {
            return self.agenda.after(ms(1_000.0), What::Begins);
        }
        let waves = vec![Stage::Count(1), Stage::Share(0.1), Stage::Share(0.5)];
        let looks = u32::try_from((waves.len() as u64 + 1) * (CAP / GATE + 1)).unwrap_or(u32::MAX);
        let release = RolloutSpec {
            number: 1,
            old: BuildId("old".into()),
            new: BuildId("new".into()),
            stages: waves,
            bake_ms: BAKE * self.slower(),
            check_interval_ms: GATE * self.slower(),
            max_bake_ms: CAP * self.slower(),
            analysis: CanaryAnalysis { min_requests: 10, max_checks: looks, ..CanaryAnalysis::default() },
            auto_rollback: release.returns,
            approved_by: "operator".into(),
            reason: String::new(),
        };
        let plan =
            RolloutPlan { spec: release, paths: BuildPaths::default(), machine_paths: BTreeMap::new() };
        match self.record_of_releases().start_rollout(&plan) {
            Ok(writes) => {
                self.note(|| "the release begins".into());
                self.release.began = Some(self.agenda.now());
                self.release.out = 0;
                self.release.changed = Some(self.agenda.now());
                self.operator(writes);
            }
            Err(error) => self.report.wrong.push(error.to_string()),
        }
    }

    pub(super) fn order(&mut self, k: usize) {
        if self.council_away > 0 {
            return self.agenda.after(ms(1_000.0), What::Order(k));
        }
        let Some(release) = self.plan.release.clone() else { return };
        let board = self.record_of_releases();
        let Some((plan, state)) = board.current() else { return };
        let order = match release.orders.get(k) {
            Some((_, order)) => order.clone(),
            None => {
                // Until it is over.
                self.agenda.after(ms(10_000.0), What::Order(k));
                match &state.value {
                    RolloutState::Paused { stage: Some(_), .. } if release.quality == Quality::Good => {
                        OperatorCommand::Resume
                    }
                    RolloutState::Paused { stage: None, .. } => OperatorCommand::Resume,
                    RolloutState::Paused { .. } => OperatorCommand::RollBack("it is bad".into()),
                    _ => return,
                }
            }
        };
        if let Ok(next) = plan.spec.apply_command(&state.value, &order) {
            self.note(|| format!("the operator: {}", next.summary()));
            if let Some(writes) = board.write_state(&next) {
                self.release.ordered = true;
                self.release.changed = Some(self.agenda.now());
                self.operator(writes);
            }
        }
    }

    /// What a machine's balancers did since the state last changed.
    pub(super) fn samples(&mut self, m: usize) {
        self.agenda.after(ms(SAYS * self.slower() as f64), What::Samples(m));
        let state =
            self.record.with_prefix(STATE_KEY).next().map(|(_, item)| (item.version, item.value.clone()));
        let Some((since, text)) = state else { return };
        if !matches!(serde_json::from_str(&text), Ok(RolloutState::InStage { .. })) {
            return;
        }
        // Counted from when the state last changed.
        let span = self.agenda.now() - self.release.changed.unwrap_or(0);
        for k in 0..self.plan.each {
            let procs = &self.machines[m].balancers[k].procs;
            let ready = procs.iter().find(|(_, p)| p.stage == ProcessPhase::Ready);
            let Some((&own, session, build)) =
                ready.and_then(|(own, p)| Some((own, p.session?, p.build.clone())))
            else {
                continue;
            };
            if !self.reaches(Holder::Balancer(m, k, ProcessId(own))) {
                continue;
            }
            // Some fail more than others for a while.
            let fails = if self.draws.chance(0.05) { 0.05 } else { 0.01 };
            let seen = self.variant != Variant::NoGate;
            let fails = fails + if seen && self.of_new(&build) == Some(Quality::Worse) { 0.3 } else { 0.0 };
            let asked = (RATE * span as f64 / 1e9) as u64 + self.draws.below(4) as u64;
            let served = (0..asked).filter(|_| !self.draws.chance(fails)).count() as u64;
            let (late, memory) = (self.draws.below(2) as u64, 5.0 + self.draws.between((0.0, 0.5)));
            let sample = MetricsSample { requests: asked, served, late: late.min(served), memory_mb: memory };
            let value = serde_json::to_string(&MetricsWindow { state_version: since, metrics: sample })
                .unwrap_or_default();
            let put = Op::Put { key: metrics_key(&name(m, k)), value, ephemeral: true };
            let number = self
                .record
                .session(session)
                .and_then(|s| s.last_transaction.as_ref())
                .map_or(1, |(n, _)| n + 1);
            let when = vec![Compare::SessionAlive(session)];
            self.record.apply(&Command::Transaction(Transaction {
                session,
                sequence: number,
                compares: when,
                ops: vec![put],
            }));
        }
    }

    fn locals(&self, m: usize) -> Vec<LocalInstance> {
        let machine = &self.machines[m];
        let Some(sup) = &machine.sup else { return Vec::new() };
        let now = super::span(self.agenda.now());
        let one = |(k, i): (usize, &supervisor::Instance)| LocalInstance {
            name: name(m, k),
            build: machine.kept[k].clone(),
            ready: i.state == Stands::Ready && i.successor.is_none(),
            start_failure: matches!(i.state, Stands::CrashLoop(_)).then(|| "given up".to_string()),
            start_timed_out: i.missed_ready_timeout(),
            crashes: i.recent_crashes(now, WINDOW),
        };
        sup.fleet.instances().iter().enumerate().map(one).collect()
    }

    /// A supervisor looks after releases.
    pub(super) fn releases(&mut self, m: usize, inc: u64) {
        if self.sup(m, inc).is_none() {
            return;
        }
        let look = LOOK * self.slower() as f64;
        let again = self.draws.between((look, 2.0 * look));
        self.agenda.after(ms(again), What::Release(m, inc));
        if !self.reaches(Holder::Supervisor(m, inc)) {
            return;
        }
        // What has been heard of since; the moment of hearing is drawn with the look.
        let Some(sup) = self.sup(m, inc) else { return };
        let mut board = std::mem::take(&mut sup.releases.board);
        match self.record.events_since(board.revision).filter(|_| board.revision > 0) {
            Some(changes) => {
                for c in changes.filter(|c| c.key.starts_with(KEY_PREFIX)) {
                    board.apply(&c.key, c.value.as_deref(), c.revision);
                }
                board.revision = board.revision.max(self.record.revision());
            }
            None => board = self.record_of_releases(),
        }
        let (now, all) = (self.agenda.now(), self.locals(m));
        let at_once = self.plan.at_once;
        let Some(sup) = self.sup(m, inc) else { return };
        sup.releases.board = board;
        let Some((session, _)) = sup.session.filter(|&(_, until)| now < until) else { return };
        let part = &mut sup.releases;
        let (machine, none) = (format!("m{m}"), BTreeMap::new());
        let places = RolloutExecutor::reports(&all, &part.board, &none);
        if part.said.0 != session {
            part.said = (session, BTreeMap::new());
        }
        let writes = if places != part.said.1 && !places.is_empty() && !part.busy {
            let put = |(unit, place): (&String, &InstanceReport)| {
                let value = serde_json::to_string(place).unwrap_or_default();
                Op::Put { key: report_key(unit), value, ephemeral: true }
            };
            let then = places.iter().map(put).collect();
            Some((
                Writes { compares: vec![Compare::SessionAlive(session)], ops: then },
                Said::Places(session, places),
            ))
        } else if !part.busy {
            part.board.next_transition(&sup.board, now_ms(now)).map(|next| (next.write, Said::State))
        } else {
            None
        };
        let part = &mut sup.releases;
        part.busy |= writes.is_some();
        let context = RolloutContext {
            machine: &machine,
            fleet: &sup.board,
            rollout: &part.board,
            now_ms: now_ms(now),
        };
        let local =
            SupervisorState { instances: &all, max_concurrent: at_once, build_faults: &none, session };
        let acts = part.mover.next_actions(context, local);
        if let Some((writes, said)) = writes {
            let delay = self.delay();
            self.agenda.after(delay, What::Says(m, inc, writes, said));
        }
        let acted = !acts.is_empty();
        for act in acts {
            let act = match act {
                Move::RequestLease { instance: unit, .. } if self.variant == Variant::MovedWithoutLeave => {
                    Move::Replace { instance: unit, build: BuildId("new".into()) }
                }
                act => act,
            };
            self.moves(m, act);
        }
        if acted {
            self.agent(m);
        }
    }

    fn moves(&mut self, m: usize, act: Move) {
        self.note(|| format!("m{m} {act:?}"));
        let Some(sup) = &mut self.machines[m].sup else { return };
        match act {
            Move::RequestLease { instance: unit, reason: why } => {
                sup.agent.request(&unit, DisruptionKind::Restart, &why, None)
            }
            Move::ReleaseLease { instance: unit, replaced: acted } => sup.agent.release(&unit, acted),
            Move::Replace { instance: unit, build } => {
                self.halted(&build);
                let Some(sup) = &mut self.machines[m].sup else { return };
                sup.releases.mover.mark_replaced(&unit, &build);
                let Some(k) = (0..self.plan.each).find(|&k| name(m, k) == unit) else { return };
                self.machines[m].kept[k] = build;
                self.feed(m, Event::Command(supervisor::Command::Replace(k)));
            }
        }
    }

    /// Something is begun by a release: not where it was halted, or turned back, longer ago than news takes to come.
    fn halted(&mut self, build: &BuildId) {
        let board = self.record_of_releases();
        let Some((plan, state)) = board.current() else { return };
        let wanted = match &state.value {
            RolloutState::InStage { .. } => Some(&plan.spec.new),
            RolloutState::RollingBack { .. } => Some(&plan.spec.old),
            _ => None,
        };
        let long = self.release.changed.is_some_and(|at| self.agenda.now() > at + ms(NEWS));
        if long && wanted != Some(build) {
            self.report.wrong.push(format!("goes over to {} while it is {}", build.0, state.value.summary()));
        }
    }

    /// Leave has come; whether it is for a release, which first has the record read.
    pub(super) fn release_given(&mut self, m: usize, given: &GrantedLease) -> bool {
        let Some(sup) = &self.machines[m].sup else { return false };
        let inc = sup.inc;
        if !sup.releases.mover.is_waiting_for_lease(&given.balancer) {
            return false;
        }
        let (there, back) = (self.delay(), self.delay());
        if self.reaches(Holder::Supervisor(m, inc)) {
            let board = Box::new(self.record_of_releases());
            self.agenda.after(there + back, What::Confirmed(m, inc, given.clone(), Some(board)));
        } else {
            self.agenda.after(ms(2_000.0), What::Confirmed(m, inc, given.clone(), None));
        }
        true
    }

    /// It may be used now, if it still is its turn.
    pub(super) fn confirmed(
        &mut self,
        m: usize,
        inc: u64,
        given: &GrantedLease,
        board: Option<Box<RolloutSnapshot>>,
    ) {
        let now = self.agenda.now();
        let variant = self.variant;
        let Some(sup) = self.sup(m, inc) else { return };
        let held = sup.session.filter(|&(id, until)| now < until && id == given.session).is_some();
        let Some(board) = board.filter(|_| held) else {
            sup.agent.mark_unused(&given.balancer);
            return self.agent(m);
        };
        let (now, unit) = (now_ms(now), given.balancer.as_str());
        let part = &mut sup.releases;
        if board.revision > part.board.revision {
            part.board = *board;
        }
        // The faulty one goes by what was to be done when it asked.
        let before = part.board.clone();
        let blind = variant == Variant::StateNotLookedAt;
        if let (true, Some(state)) = (blind, &mut part.board.state) {
            state.value =
                RolloutState::InStage { stage: 9, ready_since_ms: None, checks: 0, suspected: false };
        }
        let machine = format!("m{m}");
        let context =
            RolloutContext { machine: &machine, fleet: &sup.board, rollout: &part.board, now_ms: now };
        let act = part.mover.on_lease_granted(unit, context);
        part.board = before;
        if let Some(act) = act {
            self.moves(m, act);
        }
        self.agent(m);
    }

    pub(super) fn release_writes(&mut self, m: usize, inc: u64, plan: Writes, said: Said) {
        let reaches = self.reaches(Holder::Supervisor(m, inc));
        let Some(sup) = self.sup(m, inc) else { return };
        sup.releases.busy = false;
        let Some((session, _)) = sup.session.filter(|_| reaches) else { return };
        let number =
            self.record.session(session).and_then(|s| s.last_transaction.as_ref()).map_or(1, |(n, _)| n + 1);
        let write = Transaction { session, sequence: number, compares: plan.compares, ops: plan.ops };
        if !matches!(self.record.apply(&Command::Transaction(write)), Outcome::Committed(_)) {
            return;
        }
        match said {
            Said::Places(of, places) => {
                if let Some(sup) = self.sup(m, inc).filter(|s| s.releases.said.0 == of) {
                    sup.releases.said.1 = places;
                }
            }
            Said::State => {
                self.release.changed = Some(self.agenda.now());
                self.went_on();
            }
        }
        self.changed();
    }

    /// The state is another: takes note of an end.
    fn went_on(&mut self) {
        let board = self.record_of_releases();
        let Some((_, state)) = board.current() else { return };
        let words = state.value.summary();
        self.note(|| words);
        let good = self.plan.release.as_ref().is_some_and(|r| r.quality == Quality::Good);
        let faults = self.plan.troubles.is_empty();
        match &state.value {
            RolloutState::Complete => {
                self.report.whole += 1;
                let limits = self.plan.budgets.budgets.iter().map(|b| match b.group_by {
                    disruption::GroupBy::Fleet => b.limit((self.plan.machines * self.plan.each) as u32),
                    disruption::GroupBy::Machine => {
                        b.limit(self.plan.each as u32) * self.plan.machines as u32
                    }
                    _ => u32::MAX,
                });
                let limit = u64::from(limits.min().unwrap_or(1).clamp(1, 1 << 20));
                self.report.release_took += self.agenda.now() - self.release.began.unwrap_or(0);
                self.report.release_least += self.release.out / limit + 4 * BAKE * self.slower() * 1_000_000;
            }
            RolloutState::RolledBack { .. } => {
                self.report.back += 1;
                self.report.false_halts += u64::from(good && faults && !self.release.ordered);
            }
            _ => {}
        }
    }

    /// How many have a bad build now.
    pub(super) fn touched(&mut self) {
        let bad = |p: &Proc| self.of_new(&p.build).is_some_and(|q| q != Quality::Good);
        let all = self.machines.iter().flat_map(|m| &m.balancers);
        let now = all.filter(|b| b.procs.values().any(bad)).count();
        self.report.touched = self.report.touched.max(now);
        // The gate looks at the first wave; the second is a tenth.
        let all = self.plan.machines * self.plan.each;
        // With fewer old ones the gate can't tell in the time that it has, and the cap decides.
        if all >= 16 && now > all.div_ceil(10) + 1 && !self.release.ordered {
            self.report.wrong.push(format!("a bad build is at {now} of {all} balancers"));
        }
    }
}
