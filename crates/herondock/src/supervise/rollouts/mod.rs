//! Rollouts at a supervisor: which build each of its instances is started from, and what the supervisor does for the rollout in
//! progress. The decisions are made by [`rollout::executor`].
mod assigned_builds;
mod build_check;

use assigned_builds::{AssignedBuild, AssignedBuilds, SaveError};
use build_check::{BuildCheck, BuildProblem, CheckKey};
use config::supervisor::FleetConfig;
use coordination::state_machine::SessionId;
use disruption::FleetSnapshot;
use disruption_agent::agent::GrantedLease;
use rollout::executor::{ExecutorAction, LocalInstance, RolloutContext, RolloutExecutor, SupervisorState};
use rollout::{BuildId, RolloutPlan, RolloutState};
use rollout_agent::agent::{AgentEvent, LeaseConfirmation, RolloutAgent};
use rollout_agent::build_id::{self, BuildError};
use rollout_agent::unix_ms;
use std::collections::BTreeMap;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::mpsc;
use tracing::info;

/// Executable of this process, even if its file has been moved or replaced.
const OWN_EXECUTABLE: &str = "/proc/self/exe";
/// Interval at which a rollout in progress is advanced, since the agent of the fleet's state signals changes separately.
const POLL_INTERVAL: Duration = Duration::from_millis(100);
/// Interval at which a rollout is advanced after it has ended.
const IDLE_POLL_INTERVAL: Duration = Duration::from_secs(2);

/// Whether an instance may be replaced.
#[derive(Debug)]
pub enum ReplaceDecision {
    /// Its next process is to be started from the build.
    Replace,
    /// It must not be replaced.
    Refuse {
        /// Action to carry out instead, if any.
        follow_up: Option<ExecutorAction>,
    },
}

/// Rollouts at this supervisor.
pub struct Rollouts {
    agent: RolloutAgent,
    executor: RolloutExecutor,
    machine: String,
    /// Build of the supervisor itself, for instances that no rollout has replaced.
    own_build: BuildId,
    assigned: AssignedBuilds,
    /// Error of the last attempt to store the assignments, if it failed.
    save_error: Option<SaveError>,
    check: Option<BuildCheck>,
    /// State whose check is in progress.
    running_check: Option<CheckKey>,
    check_sender: mpsc::Sender<BuildCheck>,
    checks: mpsc::Receiver<BuildCheck>,
}

impl Rollouts {
    /// Loads the assignments of an earlier supervisor.
    ///
    /// # Errors
    /// The executable of this process cannot be read.
    pub fn new(config: &FleetConfig, machine: &str, agent: RolloutAgent) -> Result<Rollouts, BuildError> {
        let (check_sender, checks) = mpsc::channel(1);
        Ok(Rollouts {
            agent,
            executor: RolloutExecutor::default(),
            machine: machine.into(),
            own_build: build_id::of_file(Path::new(OWN_EXECUTABLE))?,
            assigned: AssignedBuilds::load(&config.folder),
            save_error: None,
            check: None,
            running_check: None,
            check_sender,
            checks,
        })
    }

    /// Build that the next process of an instance is started from.
    pub fn build(&self, instance: &str) -> &BuildId {
        self.assigned.get(instance).map_or(&self.own_build, |assigned| &assigned.build)
    }

    /// Executable of the build that the next process of an instance is started from; `None` for the supervisor's own.
    pub fn path(&self, instance: &str) -> Option<&Path> {
        self.assigned.get(instance).map(|assigned| assigned.path.as_path())
    }

    /// Reason, for operators, why no rolling operation may start now; `None` if one may.
    pub fn blocking_reason(&self) -> Option<String> {
        let snapshot = self.agent.snapshot();
        match snapshot.unfinished() {
            Some((plan, state)) if !matches!(state.value, RolloutState::Paused { .. }) => {
                Some(format!("release {} goes on; halt it first", plan.spec.number))
            }
            _ if self.executor.is_busy() => Some("a release is moving instances here".into()),
            _ => None,
        }
    }

    /// Interval at which the rollout is to be advanced; `None` if there was none yet.
    pub fn poll_interval(&self) -> Option<Duration> {
        let snapshot = self.agent.snapshot();
        snapshot.current()?;
        let is_active = self.executor.is_busy() || snapshot.unfinished().is_some();
        Some(if is_active { POLL_INTERVAL } else { IDLE_POLL_INTERVAL })
    }

    /// Waits for a change; returns `None` unless it is the confirmation of a lease. Cancel safe.
    pub async fn next_event(&mut self) -> Option<LeaseConfirmation> {
        tokio::select! {
            event = self.agent.next_event() => match event {
                AgentEvent::SnapshotChanged => {}
                AgentEvent::LeaseConfirmed(confirmation) => return Some(confirmation),
            },
            check = self.checks.recv() => if let Some(check) = check {
                for (build, problem) in check.problems() {
                    info!("release: build {} can't be started here: {problem}", build_id::short(build));
                }
                self.running_check = None;
                self.check = Some(check);
            }
        }
        None
    }

    /// Starts to verify the builds of a rollout, unless that has been done for this state.
    fn start_check(&mut self, plan: &RolloutPlan, key: CheckKey) {
        if self.running_check.is_some() || self.check.as_ref().is_some_and(|check| check.is_current(key)) {
            return;
        }
        self.running_check = Some(key);
        let paths = RolloutExecutor::build_files(plan, &self.machine);
        let sender = self.check_sender.clone();
        tokio::task::spawn_blocking(move || {
            // Sending fails if the supervisor has ended.
            let _ = sender.blocking_send(BuildCheck::run(key, paths));
        });
    }

    /// Builds that cannot be started on this machine, with the reasons.
    fn build_faults(&self) -> BTreeMap<BuildId, String> {
        let problems = self.check.iter().flat_map(BuildCheck::problems);
        let mut faults: BTreeMap<BuildId, String> =
            problems.map(|(build, problem)| (build.clone(), problem.to_string())).collect();
        if let (Some(error), Some((plan, _))) = (&self.save_error, self.agent.snapshot().current()) {
            faults.insert(plan.spec.new.clone(), error.to_string());
        }
        faults
    }

    /// Reports on the instances, and returns the next actions under the active session.
    pub fn next_actions(
        &mut self,
        instances: &[LocalInstance],
        fleet: &FleetSnapshot,
        max_concurrent: usize,
        session: SessionId,
    ) -> Vec<ExecutorAction> {
        let rollout = self.agent.snapshot().clone();
        let mut build_faults = BTreeMap::new();
        let mut is_checked = false;
        if let Some((plan, state)) = rollout.unfinished() {
            let key = CheckKey { rollout_number: plan.spec.number, state_version: state.version };
            let is_same_rollout = |check: &BuildCheck| check.key.rollout_number == key.rollout_number;
            is_checked = self.check.as_ref().is_some_and(is_same_rollout);
            if !is_checked {
                self.save_error = None;
            }
            self.start_check(plan, key);
            build_faults = self.build_faults();
        }
        self.agent.set_reports(RolloutExecutor::reports(instances, &rollout, &build_faults));
        let context = RolloutContext { machine: &self.machine, fleet, rollout: &rollout, now_ms: unix_ms() };
        let local = SupervisorState {
            instances,
            max_concurrent: if is_checked { max_concurrent } else { 0 },
            build_faults: &build_faults,
            session,
        };
        self.executor.next_actions(context, local)
    }

    /// Whether a granted lease belongs to a rollout. Such a lease is first confirmed by a read of the rollout from a majority.
    pub fn on_lease_granted(&self, lease: &GrantedLease) -> bool {
        self.executor.is_waiting_for_lease(&lease.balancer) && self.agent.confirm_lease(lease)
    }

    /// Returns the action to carry out under a confirmed lease.
    pub fn on_lease_confirmed(&mut self, balancer: &str, fleet: &FleetSnapshot) -> Option<ExecutorAction> {
        let rollout = self.agent.snapshot();
        let context = RolloutContext { machine: &self.machine, fleet, rollout: &rollout, now_ms: unix_ms() };
        self.executor.on_lease_granted(balancer, context)
    }

    fn verified_path(&self, build: &BuildId) -> Result<PathBuf, Arc<BuildProblem>> {
        let check = self.check.as_ref().ok_or(BuildProblem::NotVerified)?;
        check.path(build)
    }

    /// Decides whether an instance may be replaced, and stores its build before that happens. It may not if the file is not the
    /// build, or if the assignment cannot be stored. A rollback goes on without that: processes report their builds themselves,
    /// and the disk may be the reason for the rollback.
    pub fn replace(&mut self, instance: &str, balancer: &str, build: &BuildId) -> ReplaceDecision {
        let path = match self.verified_path(build) {
            Ok(path) => path,
            Err(problem) => {
                info!("release: balancer {balancer} is not replaced: {problem}");
                if let Some(check) = &mut self.check {
                    check.set_problem(build, problem);
                }
                return ReplaceDecision::Refuse { follow_up: self.executor.cancel(balancer) };
            }
        };
        let former = self.assigned.assign(instance, AssignedBuild { build: build.clone(), path });
        self.save_error = self.assigned.save().err();
        if let Some(error) = &self.save_error {
            info!("release: balancer {balancer}: {error}");
        }
        let is_rollback = self.agent.snapshot().current().is_some_and(|(plan, _)| plan.spec.old == *build);
        if self.save_error.is_none() || is_rollback {
            self.executor.mark_replaced(balancer, build);
            return ReplaceDecision::Replace;
        }
        self.assigned.restore(instance, former);
        ReplaceDecision::Refuse { follow_up: self.executor.cancel(balancer) }
    }
}
