//! The supervisor's state machine: handles events of processes, commands and the passage of time.
use crate::crash_history::CrashResponse;
use crate::instance::NO_DEADLINE;
use crate::rolling::RollingOperation;
use crate::{Action, Command, Event, Instance, InstanceState, ProcessId, Signal, SupervisorPolicy};
use std::time::Duration;

/// State machine that supervises the processes of several instances; see the [crate documentation](crate).
pub struct Supervisor {
    pub(crate) policy: SupervisorPolicy,
    pub(crate) instances: Vec<Instance>,
    pub(crate) rolling: Option<RollingOperation>,
    last_process_id: u64,
    stopping: bool,
}

impl Supervisor {
    /// Returns a supervisor of this number of instances. They are started one after another, `start_interval` apart.
    pub fn new(instances: usize, policy: SupervisorPolicy) -> Supervisor {
        let start_at =
            |index: usize| policy.start_interval.saturating_mul(u32::try_from(index).unwrap_or(u32::MAX));
        let instances = (0..instances).map(|index| Instance::new(start_at(index))).collect();
        Supervisor { policy, instances, rolling: None, last_process_id: 0, stopping: false }
    }

    /// Adopts a process that is already running, and returns its identifier. Must be called before any event is handled.
    pub fn adopt(&mut self, now: Duration, instance: usize, ready: bool) -> ProcessId {
        let process = self.next_process_id();
        let ready_deadline = now + self.policy.ready_timeout;
        if let Some(instance) = self.instances.get_mut(instance) {
            instance.process = Some(process);
            instance.has_started = true;
            if ready {
                instance.enter(InstanceState::Ready, NO_DEADLINE);
            } else {
                instance.enter(InstanceState::Starting, ready_deadline);
            }
        }
        process
    }

    /// All instances, by index.
    pub fn instances(&self) -> &[Instance] {
        &self.instances
    }

    /// Time at which [`Event::Timeout`] has to be passed to [`Supervisor::handle`]; `None` if only events matter.
    pub fn next_timeout(&self) -> Option<Duration> {
        let drain_deadline = self.rolling.as_ref().and_then(|rolling| rolling.drain_deadline);
        let timeouts = self.instances.iter().map(Instance::next_timeout);
        timeouts.chain(drain_deadline).min().filter(|&at| at < NO_DEADLINE)
    }

    /// Handles an event and appends the resulting actions. `now` is the time since the supervisor's start and must not
    /// decrease.
    pub fn handle(&mut self, now: Duration, event: Event, actions: &mut Vec<Action>) {
        match event {
            Event::Ready(process) => self.process_ready(now, process),
            Event::ReloadFailed(process, reason) => self.reload_failed(process, &reason, actions),
            Event::Exited { process, clean, status } => {
                self.process_exited(now, process, clean, &status, actions);
            }
            Event::LeaseGranted(instance) => self.lease_granted(instance, actions),
            Event::Command(command) => self.command(now, command, actions),
            Event::Timeout => {}
        }
        self.enforce_deadlines(now, actions);
        self.start_due(now, actions);
        self.advance_roll(now, actions);
        self.report_stopped(actions);
    }

    pub(crate) fn next_process_id(&mut self) -> ProcessId {
        self.last_process_id += 1;
        ProcessId(self.last_process_id)
    }

    /// Returns the index of the instance of a process; `None` if the process is known to have exited.
    fn instance_of(&self, process: ProcessId) -> Option<usize> {
        self.instances.iter().position(|instance| instance.owns(process))
    }

    fn process_ready(&mut self, now: Duration, process: ProcessId) {
        if let Some(index) = self.instance_of(process) {
            self.instances[index].process_ready(now, process);
        }
    }

    fn reload_failed(&mut self, process: ProcessId, reason: &str, actions: &mut Vec<Action>) {
        let Some(index) = self.instance_of(process) else { return };
        if self.instances[index].state != InstanceState::Reloading {
            return;
        }
        // The process keeps serving with its former configuration.
        self.instances[index].enter(InstanceState::Ready, NO_DEADLINE);
        self.abort_roll_at(index, format!("did not take its files: {reason}"), actions);
    }

    fn process_exited(
        &mut self,
        now: Duration,
        process: ProcessId,
        clean: bool,
        status: &str,
        actions: &mut Vec<Action>,
    ) {
        let Some(index) = self.instance_of(process) else { return };
        let instance = &mut self.instances[index];
        if instance.draining_predecessors.remove(&process) {
            return;
        }
        if instance.successor == Some(process) {
            instance.successor = None;
            instance.unready_since = None;
            instance.deadline = NO_DEADLINE;
            let reason = format!("the process that was to take over ended before it was ready: {status}");
            self.abort_roll_at(index, reason, actions);
        } else if let Some(successor) = instance.successor {
            let crashed = !matches!(instance.state, InstanceState::Stopping | InstanceState::Restarting);
            instance.promote_successor(successor, now + self.policy.ready_timeout);
            if crashed {
                self.abort_roll_at(index, format!("crashed: {status}"), actions);
            }
        } else {
            let status = if clean { "it ended by itself" } else { status };
            self.last_process_exited(now, index, status, actions);
        }
    }

    fn last_process_exited(&mut self, now: Duration, index: usize, status: &str, actions: &mut Vec<Action>) {
        let instance = &mut self.instances[index];
        instance.clear_process();
        match instance.state {
            InstanceState::Stopping => instance.state = InstanceState::Stopped,
            InstanceState::Restarting => instance.state = InstanceState::BackingOff(now),
            _ => self.process_crashed(now, index, status, actions),
        }
    }

    fn process_crashed(&mut self, now: Duration, index: usize, status: &str, actions: &mut Vec<Action>) {
        let instance = &mut self.instances[index];
        match instance.crash_history.record(now, &self.policy) {
            CrashResponse::RestartAfter(delay) => instance.state = InstanceState::BackingOff(now + delay),
            CrashResponse::GiveUp(crashes) => {
                let window = self.policy.crash_window;
                let reason = format!("{crashes} crashes within {window:?}, the last: {status}");
                instance.state = InstanceState::CrashLoop(reason.clone());
                actions.push(Action::CrashLoop { instance: index, reason });
            }
        }
        self.abort_roll_at(index, format!("crashed: {status}"), actions);
    }

    fn command(&mut self, now: Duration, command: Command, actions: &mut Vec<Action>) {
        match command {
            Command::Roll(_) if self.stopping => actions.push(Action::Rejected("the fleet is being stopped")),
            Command::Roll(_) if self.rolling.is_some() => {
                actions.push(Action::Rejected("a roll is going on"));
            }
            Command::Roll(action) => {
                self.rolling = Some(RollingOperation::new(action, self.instances.len()));
            }
            Command::Replace(index) => self.replace(now, index, actions),
            Command::Start => self.start_stopped(now),
            Command::Stop => self.stop(now, actions),
        }
    }

    /// Starts the instances that are stopped or in a crash loop.
    fn start_stopped(&mut self, now: Duration) {
        for instance in &mut self.instances {
            if matches!(instance.state, InstanceState::CrashLoop(_) | InstanceState::Stopped) {
                instance.state = InstanceState::BackingOff(now);
                instance.crash_history.clear();
            }
        }
    }

    fn stop(&mut self, now: Duration, actions: &mut Vec<Action>) {
        self.cancel_roll(actions);
        self.stopping = true;
        let stop_deadline = now + self.policy.stop_timeout;
        let terminate = |process| Action::Signal(process, Signal::Terminate);
        for instance in &mut self.instances {
            match instance.process {
                Some(process) => {
                    instance.enter(InstanceState::Stopping, stop_deadline);
                    actions.push(terminate(process));
                }
                None => instance.state = InstanceState::Stopped,
            }
            // On SIGTERM, draining predecessors shorten their drain.
            let others = instance.draining_predecessors.iter().copied().chain(instance.successor);
            actions.extend(others.map(terminate));
        }
    }

    fn replace(&mut self, now: Duration, index: usize, actions: &mut Vec<Action>) {
        if self.stopping {
            return;
        }
        let stop_deadline = now + self.policy.stop_timeout;
        let Some(instance) = self.instances.get_mut(index) else { return };
        // Crashes of the former build do not count for the next one.
        instance.crash_history.clear();
        instance.missed_ready_timeout = false;
        if let Some(successor) = instance.successor.take() {
            // Treated as a draining predecessor, whose exit does not change the state of the instance.
            instance.draining_predecessors.insert(successor);
            actions.push(Action::Signal(successor, Signal::Kill));
        }
        match (&instance.state, instance.process) {
            (InstanceState::Stopped | InstanceState::Stopping, _) => {}
            (_, Some(process)) => {
                instance.unready_since = Some(now);
                instance.enter(InstanceState::Restarting, stop_deadline);
                actions.push(Action::Signal(process, Signal::Terminate));
            }
            (_, None) => instance.state = InstanceState::BackingOff(now),
        }
    }

    /// Handles the instances whose deadline has passed.
    fn enforce_deadlines(&mut self, now: Duration, actions: &mut Vec<Action>) {
        for index in 0..self.instances.len() {
            let instance = &mut self.instances[index];
            if now < instance.deadline {
                continue;
            }
            instance.deadline = NO_DEADLINE;
            match (instance.successor, &instance.state) {
                (Some(successor), InstanceState::Ready) => self.successor_overdue(index, successor, actions),
                _ => self.state_overdue(now, index, actions),
            }
        }
    }

    fn successor_overdue(&mut self, index: usize, successor: ProcessId, actions: &mut Vec<Action>) {
        let timeout = self.policy.ready_timeout;
        actions.push(Action::Signal(successor, Signal::Kill));
        let reason = format!("the process that was to take over is not ready after {timeout:?}");
        self.abort_roll_at(index, reason, actions);
    }

    fn state_overdue(&mut self, now: Duration, index: usize, actions: &mut Vec<Action>) {
        let ready_timeout = self.policy.ready_timeout;
        let instance = &mut self.instances[index];
        let Some(process) = instance.process else { return };
        match instance.state {
            InstanceState::Starting => {
                instance.missed_ready_timeout = true;
                // The exit counts as a crash, so that the restart backs off: the instance may need more time.
                actions.push(Action::Signal(process, Signal::Kill));
                self.abort_roll_at(index, format!("not ready after {ready_timeout:?}"), actions);
            }
            InstanceState::Reloading => {
                instance.state = InstanceState::Ready;
                let reason = format!("not ready after a reload and {ready_timeout:?}");
                self.abort_roll_at(index, reason, actions);
            }
            InstanceState::Stopping | InstanceState::Restarting if !instance.kill_sent => {
                instance.kill_sent = true;
                instance.deadline = now + self.policy.stop_timeout;
                actions.push(Action::Signal(process, Signal::Kill));
            }
            _ => {}
        }
    }

    /// Starts the processes whose start time has come or whose backoff has elapsed.
    fn start_due(&mut self, now: Duration, actions: &mut Vec<Action>) {
        let ready_deadline = now + self.policy.ready_timeout;
        for index in 0..self.instances.len() {
            if matches!(self.instances[index].state, InstanceState::BackingOff(at) if now >= at) {
                let process = self.next_process_id();
                self.instances[index].process_started(now, process, ready_deadline);
                actions.push(Action::Start { instance: index, process });
            }
        }
    }

    /// Reports that [`Command::Stop`] is complete once no process runs.
    fn report_stopped(&mut self, actions: &mut Vec<Action>) {
        if self.stopping && self.instances.iter().all(Instance::is_down) {
            self.stopping = false;
            actions.push(Action::Stopped);
        }
    }
}
