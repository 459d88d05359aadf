//! Rolling operations: restart, reload or hand off all instances, a few at a time.
use crate::{Action, InstanceState, RollingAction, Signal, Supervisor};
use std::collections::{BTreeSet, VecDeque};
use std::time::Duration;

/// Number of draining predecessors of an instance from which on a handoff of it waits.
const MAX_DRAINING_PREDECESSORS: usize = 4;

/// Progress of a rolling operation, as shown to the operator.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RollProgress {
    /// Action on each instance.
    pub action: RollingAction,
    /// Number of instances that have not completed.
    pub remaining: usize,
}

/// A rolling operation in progress.
pub(crate) struct RollingOperation {
    action: RollingAction,
    /// Instances on which the operation has not begun, in order.
    queue: VecDeque<usize>,
    /// Instances on which the operation has begun and has not completed.
    in_progress: BTreeSet<usize>,
    /// Instances for which a lease is requested.
    lease_requested: BTreeSet<usize>,
    /// Instance for which the event that is being handled granted a lease.
    lease_granted: Option<usize>,
    /// Deadline for draining predecessors to exit, while a handoff waits for them.
    pub(crate) drain_deadline: Option<Duration>,
}

impl RollingOperation {
    /// Returns an operation over the instances 0 to `instances` - 1.
    pub(crate) fn new(action: RollingAction, instances: usize) -> RollingOperation {
        RollingOperation {
            action,
            queue: (0..instances).collect(),
            in_progress: BTreeSet::new(),
            lease_requested: BTreeSet::new(),
            lease_granted: None,
            drain_deadline: None,
        }
    }

    fn progress(&self) -> RollProgress {
        RollProgress { action: self.action, remaining: self.queue.len() + self.in_progress.len() }
    }

    /// Records a granted lease. Returns `false` if none was requested for this instance.
    fn accept_lease(&mut self, instance: usize) -> bool {
        let requested = self.lease_requested.remove(&instance);
        if requested {
            self.lease_granted = self.lease_granted.or(Some(instance));
        }
        requested
    }

    fn is_complete(&self) -> bool {
        self.in_progress.is_empty() && self.queue.is_empty()
    }
}

/// Decision about the next instance of a rolling operation.
enum NextStep {
    /// Begin the operation on this instance.
    Begin(usize),
    /// The operation cannot begin on any instance now.
    Wait,
    /// Abort the operation.
    Abort { instance: usize, reason: String },
}

fn release_unused(instance: usize) -> Action {
    Action::ReleaseLease { instance, acted: false }
}

impl Supervisor {
    /// The rolling operation in progress, if there is one.
    pub fn rolling(&self) -> Option<RollProgress> {
        self.rolling.as_ref().map(RollingOperation::progress)
    }

    /// Records a granted lease, or releases it if it is no longer needed.
    pub(crate) fn lease_granted(&mut self, instance: usize, actions: &mut Vec<Action>) {
        let accepted = self.rolling.as_mut().is_some_and(|rolling| rolling.accept_lease(instance));
        if !accepted {
            actions.push(release_unused(instance));
        }
    }

    /// Aborts the rolling operation if this instance is in progress.
    pub(crate) fn abort_roll_at(&mut self, instance: usize, reason: String, actions: &mut Vec<Action>) {
        if self.rolling.as_ref().is_some_and(|rolling| rolling.in_progress.contains(&instance)) {
            self.cancel_roll(actions);
            actions.push(Action::RollAborted { instance, reason });
        }
    }

    /// Drops the rolling operation and releases its leases and lease requests.
    pub(crate) fn cancel_roll(&mut self, actions: &mut Vec<Action>) {
        let Some(rolling) = self.rolling.take() else { return };
        if !self.policy.requires_lease {
            return;
        }
        let unused = rolling.lease_requested.iter().copied().chain(rolling.lease_granted);
        actions.extend(unused.map(release_unused));
        for instance in rolling.in_progress {
            let acted = rolling.action != RollingAction::Reload
                && self.instances[instance].state != InstanceState::Ready;
            actions.push(Action::ReleaseLease { instance, acted });
        }
    }

    /// Begins the operation on the next instances, up to `max_parallel` at a time, while all instances that are not in
    /// progress are ready.
    pub(crate) fn advance_roll(&mut self, now: Duration, actions: &mut Vec<Action>) {
        let Some(mut rolling) = self.rolling.take() else { return };
        self.retire_completed(&mut rolling, actions);
        while rolling.in_progress.len() < self.max_parallel() {
            match self.next_step(now, &mut rolling) {
                NextStep::Begin(instance) => {
                    rolling.queue.retain(|&queued| queued != instance);
                    rolling.in_progress.insert(instance);
                    self.begin_step(now, instance, rolling.action, actions);
                }
                NextStep::Wait => break,
                NextStep::Abort { instance, reason } => {
                    self.rolling = Some(rolling);
                    self.cancel_roll(actions);
                    actions.push(Action::RollAborted { instance, reason });
                    return;
                }
            }
        }
        if self.policy.requires_lease {
            // A lease that cannot be used now is released, so that it does not block others.
            actions.extend(rolling.lease_granted.take().map(release_unused));
            self.update_lease_requests(&mut rolling, actions);
        }
        if rolling.is_complete() {
            actions.push(Action::RollFinished(rolling.action));
        } else {
            self.rolling = Some(rolling);
        }
    }

    fn max_parallel(&self) -> usize {
        self.policy.max_parallel.max(1)
    }

    /// Removes the instances that have completed, and releases their leases.
    fn retire_completed(&self, rolling: &mut RollingOperation, actions: &mut Vec<Action>) {
        let completed = |instance: &usize| self.instances[*instance].is_settled();
        if self.policy.requires_lease {
            let acted = rolling.action != RollingAction::Reload;
            let released = rolling.in_progress.iter().copied().filter(completed);
            actions.extend(released.map(|instance| Action::ReleaseLease { instance, acted }));
        }
        rolling.in_progress.retain(|instance| !completed(instance));
    }

    fn next_step(&self, now: Duration, rolling: &mut RollingOperation) -> NextStep {
        let others = || {
            let all = self.instances.iter().enumerate();
            all.filter(|(index, _)| !rolling.in_progress.contains(index))
        };
        if let Some((instance, other)) = others().find(|(_, other)| other.state.is_out_of_service()) {
            return NextStep::Abort { instance, reason: format!("is {}", other.state) };
        }
        if others().any(|(_, other)| other.state != InstanceState::Ready) {
            return NextStep::Wait;
        }
        let next = rolling.lease_granted.or(rolling.queue.front().copied());
        let Some(instance) = next else { return NextStep::Wait };
        // Bounds the number of processes when handoffs follow one another faster than idle connections close.
        if self.has_too_many_predecessors(instance, rolling.action) {
            return self.wait_for_predecessors(now, instance, rolling);
        }
        rolling.drain_deadline = None;
        if self.policy.requires_lease && rolling.lease_granted.take().is_none() {
            return NextStep::Wait;
        }
        NextStep::Begin(instance)
    }

    fn wait_for_predecessors(
        &self,
        now: Duration,
        instance: usize,
        rolling: &mut RollingOperation,
    ) -> NextStep {
        let timeout = self.policy.predecessor_drain_timeout;
        let deadline = *rolling.drain_deadline.get_or_insert(now + timeout);
        if now < deadline {
            return NextStep::Wait;
        }
        let reason = format!("{MAX_DRAINING_PREDECESSORS} old processes have not ended after {timeout:?}");
        NextStep::Abort { instance, reason }
    }

    /// Whether too many draining predecessors run for another handoff of this instance.
    fn has_too_many_predecessors(&self, instance: usize, action: RollingAction) -> bool {
        action == RollingAction::Handoff
            && self.instances[instance].draining_predecessors.len() >= MAX_DRAINING_PREDECESSORS
    }

    /// Requests leases for the next instances while all others are ready, and withdraws the other requests.
    fn update_lease_requests(&self, rolling: &mut RollingOperation, actions: &mut Vec<Action>) {
        let free = self.max_parallel().saturating_sub(rolling.in_progress.len());
        let mut all = self.instances.iter().enumerate();
        let others_ready = all.all(|(index, instance)| {
            rolling.in_progress.contains(&index) || instance.state == InstanceState::Ready
        });
        let mut wanted = BTreeSet::new();
        if others_ready {
            let next = rolling.queue.iter().copied().take(free);
            wanted.extend(next.filter(|&instance| !self.has_too_many_predecessors(instance, rolling.action)));
        }
        let withdrawn = rolling.lease_requested.difference(&wanted);
        actions.extend(withdrawn.map(|&instance| release_unused(instance)));
        let requested = wanted.difference(&rolling.lease_requested);
        let action = rolling.action;
        actions.extend(requested.map(|&instance| Action::RequestLease { instance, action }));
        rolling.lease_requested = wanted;
    }

    fn begin_step(&mut self, now: Duration, index: usize, action: RollingAction, actions: &mut Vec<Action>) {
        let ready_deadline = now + self.policy.ready_timeout;
        let stop_deadline = now + self.policy.stop_timeout;
        let successor = (action == RollingAction::Handoff).then(|| self.next_process_id());
        let instance = &mut self.instances[index];
        let Some(process) = instance.process else { return };
        instance.unready_since = Some(now);
        match action {
            RollingAction::Restart => {
                instance.enter(InstanceState::Restarting, stop_deadline);
                actions.push(Action::Signal(process, Signal::Terminate));
            }
            RollingAction::Reload => {
                instance.enter(InstanceState::Reloading, ready_deadline);
                actions.push(Action::Signal(process, Signal::Reload));
            }
            RollingAction::Handoff => {
                instance.successor = successor;
                instance.deadline = ready_deadline;
                actions.extend(successor.map(|process| Action::Start { instance: index, process }));
            }
        }
    }
}
