//! The operator of a rollout, the metrics of balancers, and the judgement of the rollout's course.
use super::event::{SessionHolder, SimEvent};
use super::state::{BalancerProcess, ProcessPhase};
use super::{name, World};
use crate::plan::{Quality, Variant};
use coordination::state_machine::Revision;
use disruption::conditional_write::put_ephemeral;
use disruption::{ConditionalWrite, GroupBy};
use fleet_simulation::agenda::{nanos_from_ms, Nanos};
use rollout::keys::{metrics_key, STATE_KEY};
use rollout::{
    BuildId, BuildPaths, CanaryAnalysis, MetricsSample, MetricsWindow, OperatorCommand, RolloutPlan,
    RolloutSpec, RolloutState, Stage,
};
use std::collections::BTreeMap;
use supervisor::ProcessId;

/// Minimum time that a stage is observed, in milliseconds.
const BAKE_MS: u64 = 9_000;
/// Interval between two checks, in milliseconds.
const CHECK_INTERVAL_MS: u64 = 3_000;
/// Time after which a stage passes although the analysis is inconclusive, in milliseconds.
const MAX_BAKE_MS: u64 = 27_000;
/// Number of stages, including the rest of the fleet.
const STAGE_COUNT: u64 = 4;
/// Interval at which balancers report their metrics, in milliseconds.
const REPORT_INTERVAL_MS: f64 = 1_200.0;
/// Requests of a balancer per second.
const REQUEST_RATE: f64 = 14.0;
/// Delay before the operator tries again without voters, in milliseconds.
const RETRY_MS: f64 = 1_000.0;
/// Interval at which the operator looks after the rollout in the end, in milliseconds.
const OPERATOR_INTERVAL_MS: f64 = 10_000.0;
/// Delay after the last planned event before the operator looks after the rollout, in milliseconds.
const OPERATOR_DELAY_MS: f64 = 20_000.0;
/// Smallest fleet in which the analysis stops a bad build in time.
const MIN_FLEET_FOR_ANALYSIS: usize = 16;

impl World {
    /// Quality of a build; `None` for the old one.
    pub(super) fn quality_of(&self, build: &BuildId) -> Option<Quality> {
        self.plan.rollout.as_ref().map(|rollout| rollout.quality).filter(|_| build.0 == "new")
    }

    fn fleet_size(&self) -> usize {
        self.plan.machines * self.plan.balancers_per_machine
    }

    /// Schedules the events of the planned rollout.
    pub(super) fn schedule_rollout(&mut self) {
        let Some(rollout) = self.plan.rollout.clone() else { return };
        self.event_queue.schedule_at(rollout.at, SimEvent::StartRollout);
        for (k, (at, _)) in rollout.commands.iter().enumerate() {
            self.event_queue.schedule_at(*at, SimEvent::OperatorCommand(k));
        }
        for m in 0..self.plan.machines {
            let at = self.draws.uniform((0.0, REPORT_INTERVAL_MS * self.slowdown() as f64));
            self.event_queue.schedule_at(nanos_from_ms(at), SimEvent::ReportMetrics(m));
        }
        let last_fault = self.plan.faults.iter().map(|fault| fault.at + fault.duration).max().unwrap_or(0);
        let last_command = rollout.commands.iter().map(|command| command.0).max().unwrap_or(0);
        let last = last_fault.max(rollout.at).max(last_command);
        self.event_queue
            .schedule_at(last + nanos_from_ms(OPERATOR_DELAY_MS), SimEvent::OperatorCommand(usize::MAX));
    }

    /// What is missing to the end of the rollout.
    pub(super) fn unfinished_rollout(&self) -> Vec<String> {
        if self.plan.rollout.is_none() {
            return Vec::new();
        }
        let snapshot = self.rollout_snapshot();
        let Some((_, state)) = snapshot.current() else { return vec!["the release has not begun".into()] };
        let summary = state.value.summary();
        let expected = match &state.value {
            RolloutState::Complete => "new",
            RolloutState::RolledBack { .. } => "old",
            _ => return vec![format!("the release: {summary}")],
        };
        let mut unfinished = Vec::new();
        for (m, machine) in self.machines.iter().enumerate() {
            for (k, balancer) in machine.balancers.iter().enumerate() {
                let runs_expected =
                    |p: &BalancerProcess| p.phase != ProcessPhase::Ready || p.build.0 == expected;
                let is_assigned = machine.assigned_builds[k].0 == expected;
                if !balancer.processes.values().all(runs_expected) || !is_assigned {
                    let name = name(m, k);
                    let report = snapshot.reports.get(&name).map(|report| &report.value);
                    unfinished.push(format!("{name} is not of the {expected} build: {summary}, {report:?}"));
                }
            }
        }
        unfinished
    }

    fn write_as_operator(&mut self, write: ConditionalWrite) {
        if self.transact(self.operator_session, write) {
            self.notify_watchers();
        }
    }

    /// Specification of the rollout.
    fn rollout_spec(&self, auto_rollback: bool) -> RolloutSpec {
        let max_checks = u32::try_from(STAGE_COUNT * (MAX_BAKE_MS / CHECK_INTERVAL_MS + 1));
        RolloutSpec {
            number: 1,
            old: BuildId("old".into()),
            new: BuildId("new".into()),
            stages: vec![Stage::Count(1), Stage::Share(0.1), Stage::Share(0.5)],
            bake_ms: BAKE_MS * self.slowdown(),
            check_interval_ms: CHECK_INTERVAL_MS * self.slowdown(),
            max_bake_ms: MAX_BAKE_MS * self.slowdown(),
            analysis: CanaryAnalysis {
                min_requests: 10,
                max_checks: max_checks.unwrap_or(u32::MAX),
                ..CanaryAnalysis::default()
            },
            auto_rollback,
            approved_by: "operator".into(),
            reason: String::new(),
        }
    }

    /// The operator starts the rollout.
    pub(super) fn start_rollout(&mut self) {
        let Some(rollout) = self.plan.rollout.clone() else { return };
        if self.coordination_outages > 0 {
            return self.event_queue.schedule_after(nanos_from_ms(RETRY_MS), SimEvent::StartRollout);
        }
        let spec = self.rollout_spec(rollout.auto_rollback);
        let plan = RolloutPlan { spec, paths: BuildPaths::default(), machine_paths: BTreeMap::new() };
        match self.rollout_snapshot().start_rollout(&plan) {
            Ok(write) => {
                self.trace(|| "the release begins".into());
                self.rollout.started_at = Some(self.event_queue.now());
                self.rollout.leased_time = 0;
                self.rollout.changed_at = Some(self.event_queue.now());
                self.write_as_operator(write);
            }
            Err(error) => self.report.violations.push(error.to_string()),
        }
    }

    /// The operator gives a command: the one at this position of the plan, or what a paused rollout needs.
    pub(super) fn operator_command(&mut self, k: usize) {
        if self.coordination_outages > 0 {
            return self.event_queue.schedule_after(nanos_from_ms(RETRY_MS), SimEvent::OperatorCommand(k));
        }
        let Some(rollout) = self.plan.rollout.clone() else { return };
        let snapshot = self.rollout_snapshot();
        let Some((plan, state)) = snapshot.current() else { return };
        let command = match rollout.commands.get(k) {
            Some((_, command)) => Some(command.clone()),
            None => {
                // Repeated until the rollout has ended.
                self.event_queue
                    .schedule_after(nanos_from_ms(OPERATOR_INTERVAL_MS), SimEvent::OperatorCommand(k));
                repair(&state.value, rollout.quality)
            }
        };
        let Some(command) = command else { return };
        let Ok(next) = plan.spec.apply_command(&state.value, &command) else { return };
        self.trace(|| format!("the operator: {}", next.summary()));
        if let Some(write) = snapshot.write_state(&next) {
            self.rollout.is_commanded = true;
            self.rollout.changed_at = Some(self.event_queue.now());
            self.write_as_operator(write);
        }
    }

    /// The balancers of a machine report their metrics since the state last changed.
    pub(super) fn report_metrics(&mut self, m: usize) {
        self.event_queue.schedule_after(
            nanos_from_ms(REPORT_INTERVAL_MS * self.slowdown() as f64),
            SimEvent::ReportMetrics(m),
        );
        let Some((_, item)) = self.store.with_prefix(STATE_KEY).next() else { return };
        let state_version = item.version;
        if !matches!(serde_json::from_str(&item.value), Ok(RolloutState::InStage { .. })) {
            return;
        }
        for k in 0..self.plan.balancers_per_machine {
            self.report_balancer_metrics(m, k, state_version);
        }
    }

    fn report_balancer_metrics(&mut self, m: usize, k: usize, state_version: Revision) {
        let processes = &self.machines[m].balancers[k].processes;
        let Some((&id, process)) = processes.iter().find(|(_, p)| p.phase == ProcessPhase::Ready) else {
            return;
        };
        let Some(session) = process.session else { return };
        let build = process.build.clone();
        if !self.is_reachable(SessionHolder::Balancer(m, k, ProcessId(id))) {
            return;
        }
        let metrics = self.draw_metrics(&build);
        let window = MetricsWindow { state_version, metrics };
        let op = put_ephemeral(metrics_key(&name(m, k)), &window);
        self.transact(session, ConditionalWrite::while_session_alive(session, vec![op]));
    }

    /// Draws the metrics of a balancer since the state last changed. Some fail more than others for a while.
    fn draw_metrics(&mut self, build: &BuildId) -> MetricsSample {
        let window: Nanos = self.event_queue.now() - self.rollout.changed_at.unwrap_or(0);
        let base_rate = if self.draws.chance(0.05) { 0.05 } else { 0.01 };
        let is_measured = self.variant != Variant::NoGate;
        let is_worse = is_measured && self.quality_of(build) == Some(Quality::Worse);
        let failure_rate = base_rate + if is_worse { 0.3 } else { 0.0 };
        let requests = (REQUEST_RATE * window as f64 / 1e9) as u64 + self.draws.uniform_below(4) as u64;
        let served = (0..requests).filter(|_| !self.draws.chance(failure_rate)).count() as u64;
        let late = (self.draws.uniform_below(2) as u64).min(served);
        let memory_mb = 5.0 + self.draws.uniform((0.0, 0.5));
        MetricsSample { requests, served, late, memory_mb }
    }

    /// Counts the end of the rollout.
    pub(super) fn count_end(&mut self) {
        let snapshot = self.rollout_snapshot();
        let Some((_, state)) = snapshot.current() else { return };
        self.trace(|| state.value.summary());
        match &state.value {
            RolloutState::Complete => {
                let max_unavailable = self.max_unavailable();
                let bake_ms = STAGE_COUNT * BAKE_MS * self.slowdown();
                self.report.rollouts_completed += 1;
                self.report.rollout_time += self.event_queue.now() - self.rollout.started_at.unwrap_or(0);
                self.report.min_rollout_time +=
                    self.rollout.leased_time / max_unavailable + bake_ms * 1_000_000;
            }
            RolloutState::RolledBack { .. } => {
                let is_good = self.plan.rollout.as_ref().is_some_and(|r| r.quality == Quality::Good);
                let is_undisturbed = self.plan.faults.is_empty() && !self.rollout.is_commanded;
                self.report.rollouts_rolled_back += 1;
                self.report.false_positives += u64::from(is_good && is_undisturbed);
            }
            _ => {}
        }
    }

    /// Number of balancers that may be unavailable at the same time, by the budgets of the fleet and of machines.
    fn max_unavailable(&self) -> u64 {
        let machine_size = self.plan.balancers_per_machine as u32;
        let limits = self.plan.budgets.budgets.iter().map(|budget| match budget.group_by {
            GroupBy::Fleet => budget.limit(self.fleet_size() as u32),
            GroupBy::Machine => budget.limit(machine_size) * self.plan.machines as u32,
            _ => u32::MAX,
        });
        u64::from(limits.min().unwrap_or(1).clamp(1, 1 << 20))
    }

    /// Checks that a bad build does not get beyond the second stage.
    pub(super) fn check_bad_instances(&mut self) {
        let is_bad = |p: &BalancerProcess| self.quality_of(&p.build).is_some_and(|q| q != Quality::Good);
        let balancers = self.machines.iter().flat_map(|machine| &machine.balancers);
        let bad = balancers.filter(|balancer| balancer.processes.values().any(is_bad)).count();
        self.report.max_bad_instances = self.report.max_bad_instances.max(bad);
        let fleet_size = self.fleet_size();
        // With fewer old instances the analysis is inconclusive, and the stage passes.
        let is_analysed = fleet_size >= MIN_FLEET_FOR_ANALYSIS && !self.rollout.is_commanded;
        // The second stage is a tenth of the fleet.
        if is_analysed && bad > fleet_size.div_ceil(10) + 1 {
            self.report.violations.push(format!("a bad build is at {bad} of {fleet_size} balancers"));
        }
    }
}

/// What the operator does about a paused rollout.
fn repair(state: &RolloutState, quality: Quality) -> Option<OperatorCommand> {
    match state {
        RolloutState::Paused { stage: Some(_), .. } if quality != Quality::Good => {
            Some(OperatorCommand::RollBack("it is bad".into()))
        }
        RolloutState::Paused { .. } => Some(OperatorCommand::Resume),
        _ => None,
    }
}
