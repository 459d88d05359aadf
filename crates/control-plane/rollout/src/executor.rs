//! Actions of one supervisor for a rollout: for which instances it requests disruption leases, from which builds they are
//! started, and what it reports on them. It performs no I/O: the caller requests leases, signals processes and writes reports.
//!
//! Replacements are computed from the latest snapshot each time ([`RolloutSpec::step`]), and again when a lease is used, on a snapshot that was read from a majority after the grant, so that nothing is started after a pause. A supervisor that
//! is cut off from the coordination service has no active session and starts nothing either.
use crate::{BuildId, InstanceReport, Replacement, RolloutPlan, RolloutSnapshot, RolloutSpec, RolloutState};
use coordination::state_machine::SessionId;
use disruption::{FleetSnapshot, ResourceId};
use std::collections::BTreeMap;

/// Number of crashes since its replacement after which an instance counts as failed.
pub const CRASH_LIMIT: usize = 2;

/// State of an instance at its supervisor.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LocalInstance {
    /// Name in the coordination store.
    pub name: String,
    /// Build that its next process is started from.
    pub build: BuildId,
    /// Whether it serves and no change of its process is in progress.
    pub ready: bool,
    /// Reason why it is no longer started.
    pub start_failure: Option<String>,
    /// Whether its last process was not ready in time.
    pub start_timed_out: bool,
    /// Crashes within the supervisor's window, since its last replacement.
    pub crashes: usize,
}

/// Action for the supervisor to execute.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ExecutorAction {
    /// Request a lease to restart an instance.
    RequestLease {
        /// Name of the instance.
        instance: String,
        /// Reason, for operators.
        reason: String,
    },
    /// Release the lease for an instance.
    ReleaseLease {
        /// Name of the instance.
        instance: String,
        /// Whether its process was replaced under the lease.
        replaced: bool,
    },
    /// Start the instance's next process from this build, and end the current one.
    Replace {
        /// Name of the instance.
        instance: String,
        /// Build.
        build: BuildId,
    },
}

/// The fleet and the rollout as a supervisor sees them.
#[derive(Clone, Copy, Debug)]
pub struct RolloutContext<'a> {
    /// Name of the supervisor's machine.
    pub machine: &'a str,
    /// Fleet.
    pub fleet: &'a FleetSnapshot,
    /// Rollout.
    pub rollout: &'a RolloutSnapshot,
    /// Unix time in milliseconds.
    pub now_ms: u64,
}

impl RolloutContext<'_> {
    /// Replacements of this machine's instances, in their order.
    fn replacements(&self) -> Vec<Replacement> {
        let Some((plan, state)) = self.rollout.unfinished() else { return Vec::new() };
        let step = plan.spec.step(&state.value, &self.rollout.observations(self.fleet), self.now_ms);
        let is_local = |replacement: &Replacement| {
            let entry = self.fleet.balancers.get(&replacement.instance);
            entry.is_some_and(|entry| entry.value.machine == self.machine)
        };
        step.replacements.into_iter().filter(is_local).collect()
    }

    /// Whether this supervisor holds the lease for an instance under `session`.
    fn holds_lease(&self, instance: &str, session: SessionId) -> bool {
        let lease = self.fleet.leases.get(&ResourceId::balancer(instance));
        lease.is_some_and(|l| l.value.owner == self.machine && l.value.session == session)
    }
}

/// The supervisor's own state.
#[derive(Clone, Copy, Debug)]
pub struct SupervisorState<'a> {
    /// Instances of the machine.
    pub instances: &'a [LocalInstance],
    /// Maximum number of concurrent replacements; 0 to start none.
    pub max_concurrent: usize,
    /// Builds that cannot be started here, with the reason. No instance is replaced by them.
    pub build_faults: &'a BTreeMap<BuildId, String>,
    /// Active session.
    pub session: SessionId,
}

/// A replacement in progress.
#[derive(Clone, Debug)]
struct ReplacementProgress {
    rollout_number: u64,
    build: BuildId,
    /// Whether the process was replaced; until then the lease is awaited.
    replaced: bool,
}

/// Executor of a rollout at one supervisor; see the [module documentation](self).
#[derive(Default)]
pub struct RolloutExecutor {
    /// Replacements in progress, by instance name.
    in_progress: BTreeMap<String, ReplacementProgress>,
}

impl RolloutExecutor {
    /// Whether a lease to replace this instance was requested and is not granted yet.
    pub fn is_waiting_for_lease(&self, instance: &str) -> bool {
        self.in_progress.get(instance).is_some_and(|progress| !progress.replaced)
    }

    /// Whether any replacement is in progress.
    pub fn is_busy(&self) -> bool {
        !self.in_progress.is_empty()
    }

    /// Returns the next actions.
    pub fn next_actions(
        &mut self,
        context: RolloutContext<'_>,
        local: SupervisorState<'_>,
    ) -> Vec<ExecutorAction> {
        let mut replacements = context.replacements();
        replacements.retain(|replacement| !local.build_faults.contains_key(&replacement.build));
        let rollout_number = context.rollout.rollout_number();
        let mut actions = self.finish(rollout_number, &replacements, local.instances);
        actions.extend(self.redirect(&replacements, context, local.session));
        actions.extend(self.start(rollout_number, &replacements, local));
        actions
    }

    /// Releases the leases of replacements that are done or no longer wanted.
    fn finish(
        &mut self,
        rollout_number: u64,
        replacements: &[Replacement],
        instances: &[LocalInstance],
    ) -> Vec<ExecutorAction> {
        let mut actions = Vec::new();
        self.in_progress.retain(|name, progress| {
            let is_finished = match instances.iter().find(|instance| instance.name == *name) {
                _ if progress.rollout_number != rollout_number => true,
                Some(instance) if progress.replaced => {
                    instance.build == progress.build && (instance.ready || instance.start_failure.is_some())
                }
                Some(_) => !is_wanted(replacements, name, &progress.build),
                None => true,
            };
            if is_finished {
                let replaced = progress.replaced;
                actions.push(ExecutorAction::ReleaseLease { instance: name.clone(), replaced });
            }
            !is_finished
        });
        actions
    }

    /// Replaces instances that were being replaced by one build and are now to run the other. They are already unavailable
    /// under this supervisor's lease.
    fn redirect(
        &self,
        replacements: &[Replacement],
        context: RolloutContext<'_>,
        session: SessionId,
    ) -> Vec<ExecutorAction> {
        let needs_redirect = |replacement: &&Replacement| {
            let progress = self.in_progress.get(&replacement.instance);
            progress.is_some_and(|p| p.replaced && p.build != replacement.build)
                && context.holds_lease(&replacement.instance, session)
        };
        replacements.iter().filter(needs_redirect).map(replace).collect()
    }

    /// Requests leases for further replacements, up to `max_concurrent`.
    fn start(
        &mut self,
        rollout_number: u64,
        replacements: &[Replacement],
        local: SupervisorState<'_>,
    ) -> Vec<ExecutorAction> {
        let capacity = local.max_concurrent.saturating_sub(self.in_progress.len());
        let needs_start = |replacement: &&Replacement| {
            let is_pending = |i: &LocalInstance| {
                i.name == replacement.instance && (i.build != replacement.build || !i.ready)
            };
            !self.in_progress.contains_key(&replacement.instance) && local.instances.iter().any(is_pending)
        };
        let started: Vec<&Replacement> = replacements.iter().filter(needs_start).take(capacity).collect();
        let mut actions = Vec::new();
        for Replacement { instance, build } in started {
            let progress = ReplacementProgress { rollout_number, build: build.clone(), replaced: false };
            self.in_progress.insert(instance.clone(), progress);
            let reason = format!("release {rollout_number}");
            actions.push(ExecutorAction::RequestLease { instance: instance.clone(), reason });
        }
        actions
    }

    /// Returns the action to take under a lease that was granted and may be used now: the replacement if it is still wanted, or
    /// else the release of the lease. The rollout in `context` must have been read after the grant, so that a pause that was
    /// written before the grant is always respected.
    pub fn on_lease_granted(
        &mut self,
        instance: &str,
        context: RolloutContext<'_>,
    ) -> Option<ExecutorAction> {
        let progress = self.in_progress.get(instance).filter(|progress| !progress.replaced)?;
        let build = progress.build.clone();
        if !is_wanted(&context.replacements(), instance, &build) {
            return self.cancel(instance);
        }
        Some(ExecutorAction::Replace { instance: instance.into(), build })
    }

    /// Reports that an instance was replaced.
    pub fn mark_replaced(&mut self, instance: &str, build: &BuildId) {
        if let Some(progress) = self.in_progress.get_mut(instance) {
            progress.replaced = true;
            progress.build = build.clone();
        }
    }

    /// Reports that an instance could not be replaced. An awaited lease is released; an instance that is unavailable because of
    /// an earlier replacement stays in progress.
    pub fn cancel(&mut self, instance: &str) -> Option<ExecutorAction> {
        self.in_progress.get(instance).filter(|progress| !progress.replaced)?;
        self.in_progress.remove(instance);
        Some(ExecutorAction::ReleaseLease { instance: instance.into(), replaced: false })
    }

    /// Reports on this supervisor's instances for the latest rollout. `build_faults` are builds that cannot be started here,
    /// with the reason.
    pub fn reports(
        instances: &[LocalInstance],
        rollout: &RolloutSnapshot,
        build_faults: &BTreeMap<BuildId, String>,
    ) -> BTreeMap<String, InstanceReport> {
        let Some((plan, state)) = rollout.current() else { return BTreeMap::new() };
        let is_rolling_back = matches!(state.value, RolloutState::RollingBack { .. });
        let build_fault = build_fault(&plan.spec, is_rolling_back, build_faults);
        let report = |instance: &LocalInstance| {
            let own_failure = instance_failure(instance).filter(|_| instance.build == plan.spec.new);
            let report = InstanceReport {
                rollout_number: plan.spec.number,
                build: instance.build.clone(),
                failure: own_failure.or_else(|| build_fault.clone()),
            };
            (instance.name.clone(), report)
        };
        instances.iter().map(report).collect()
    }

    /// Paths of the rollout's builds on a machine.
    pub fn build_files(plan: &RolloutPlan, machine: &str) -> BTreeMap<BuildId, String> {
        let path = |build: &BuildId| Some((build.clone(), plan.path(machine, build)?.to_string()));
        [&plan.spec.old, &plan.spec.new].into_iter().filter_map(path).collect()
    }
}

fn is_wanted(replacements: &[Replacement], instance: &str, build: &BuildId) -> bool {
    replacements.iter().any(|r| r.instance == instance && r.build == *build)
}

fn replace(replacement: &Replacement) -> ExecutorAction {
    ExecutorAction::Replace { instance: replacement.instance.clone(), build: replacement.build.clone() }
}

/// Failure of an instance's own process.
fn instance_failure(instance: &LocalInstance) -> Option<String> {
    let timed_out = || instance.start_timed_out.then(|| "is not ready in time".to_string());
    let crashed = || (instance.crashes >= CRASH_LIMIT).then(|| format!("crashed {} times", instance.crashes));
    instance.start_failure.clone().or_else(timed_out).or_else(crashed)
}

/// Fault of the build that instances are to run.
fn build_fault(
    spec: &RolloutSpec,
    is_rolling_back: bool,
    build_faults: &BTreeMap<BuildId, String>,
) -> Option<String> {
    let (build, name) = if is_rolling_back { (&spec.old, "old") } else { (&spec.new, "new") };
    Some(format!("the {name} build: {}", build_faults.get(build)?))
}
