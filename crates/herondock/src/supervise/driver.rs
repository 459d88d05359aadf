//! Driver of the supervisor's state machine: passes events to it and carries out its actions.
use super::coordination_clients::Coordination;
use super::loop_event::LoopEvent;
use super::process::{Build, ExitReport, InstanceProcess, Notification};
use super::FleetPaths;
use crate::node_config;
use config::supervisor::{FleetConfig, InstanceConfig};
use daemon::pid_file;
use std::collections::HashMap;
use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;
use supervisor::{Action, Event, ProcessId, RollingAction, Supervisor};
use tokio::sync::mpsc;
use tokio::time::Instant;
use tracing::info;

/// Timeout of connecting to an adopted instance, and of each read of its answer to the readiness request.
const READINESS_TIMEOUT: Duration = Duration::from_millis(500);
/// Readiness request to an adopted instance.
const READINESS_REQUEST: &[u8] = b"GET /-/ready HTTP/1.1\r\nHost: fleet\r\nConnection: close\r\n\r\n";
/// First bytes of the answer of an instance that is ready.
const READY_RESPONSE: &[u8; 12] = b"HTTP/1.1 200";

/// Whether the supervisor continues to run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Progress {
    /// The supervisor continues to run.
    Running,
    /// All instances were stopped by command.
    Stopped,
}

/// The supervisor's state machine and the resources that it controls.
pub struct Driver<'a> {
    pub(super) config: &'a FleetConfig,
    pub(super) supervisor: Supervisor,
    pub(super) started: Instant,
    pub(super) processes: HashMap<ProcessId, InstanceProcess>,
    /// Last status text of each process.
    pub(super) status_texts: HashMap<ProcessId, String>,
    /// Sends the ids of processes that have exited to the event loop.
    exits: mpsc::Sender<ProcessId>,
    /// Clients that wait for the end of a rolling operation, or of the stop.
    pub(super) waiting_clients: Vec<mpsc::Sender<String>>,
    /// The coordination service, if the fleet uses one.
    pub(super) coordination: Option<Coordination>,
    /// The operator's reason to exceed disruption budgets in the current rolling operation.
    pub(super) override_reason: Option<String>,
}

impl<'a> Driver<'a> {
    /// Creates a driver without known processes. The ids of processes that exit are sent to `exits`.
    pub fn new(
        config: &'a FleetConfig,
        coordination: Option<Coordination>,
        exits: mpsc::Sender<ProcessId>,
    ) -> Driver<'a> {
        Driver {
            config,
            supervisor: Supervisor::new(config.instances.len(), config.policy.clone()),
            started: Instant::now(),
            processes: HashMap::new(),
            status_texts: HashMap::new(),
            exits,
            waiting_clients: Vec::new(),
            coordination,
            override_reason: None,
        }
    }

    /// Number of processes that are known to run.
    pub fn process_count(&self) -> usize {
        self.processes.len()
    }

    /// Adopts the instances that already run; they are found by the pid files that they lock.
    pub fn adopt_running(&mut self) {
        for (index, instance) in self.config.instances.iter().enumerate() {
            let Some(pid) = pid_file::holder(&FleetPaths(self.config).pid_file(instance)) else { continue };
            match InstanceProcess::adopt(pid) {
                Ok(process) => {
                    let now = self.started.elapsed();
                    let id = self.supervisor.adopt(now, index, is_adopted_ready(instance));
                    self.track(id, process);
                }
                Err(e) => info!("fleet: {}: process {pid} is not adopted: {e}", instance.name),
            }
        }
    }

    /// Time at which the driver has to be called without an event.
    pub fn next_timeout(&self) -> Option<Instant> {
        let timeout = self.supervisor.next_timeout().map(|at| self.started + at);
        let poll_interval = self.coordination.as_ref().and_then(Coordination::rollout_poll_interval);
        let next_poll = poll_interval.map(|interval| Instant::now() + interval);
        timeout.into_iter().chain(next_poll).min()
    }

    /// Waits for the next event of the coordination service; forever, if the fleet does not use one.
    pub async fn next_coordination_event(&mut self) -> LoopEvent {
        match &mut self.coordination {
            Some(coordination) => coordination.next_event().await,
            None => std::future::pending().await,
        }
    }

    /// Passes an event to the state machine and carries out the resulting actions.
    pub fn handle(&mut self, event: Event) -> Progress {
        let mut actions = Vec::new();
        self.supervisor.handle(self.started.elapsed(), event, &mut actions);
        let mut failed_starts = Vec::new();
        for action in actions {
            match action {
                Action::Start { instance, process } => {
                    if let Err(e) = self.start_process(instance, process) {
                        failed_starts.push((process, e.to_string()));
                    }
                }
                Action::Stopped => {
                    info!("fleet: all instances are stopped");
                    self.reply_to_all("ok");
                    return Progress::Stopped;
                }
                action => self.execute(action),
            }
        }
        for (process, status) in failed_starts {
            if self.handle(Event::Exited { process, clean: false, status }) == Progress::Stopped {
                return Progress::Stopped;
            }
        }
        Progress::Running
    }

    fn execute(&mut self, action: Action) {
        match action {
            Action::Signal(process, signal) => {
                if let Some(process) = self.processes.get(&process) {
                    process.signal(signal);
                }
            }
            Action::RequestLease { instance, action } => self.request_lease(instance, action),
            Action::ReleaseLease { instance, acted } => self.release_lease(instance, acted),
            Action::Rejected(reason) => {
                if let Some(client) = self.waiting_clients.pop() {
                    let _ = client.try_send(format!("failed {reason}"));
                }
            }
            Action::RollFinished(action) => {
                info!("fleet: rolling {} finished", action_name(action));
                self.reply_to_all("ok");
            }
            Action::RollAborted { instance, reason } => {
                let line = format!("halted at {}: {reason}", self.instance_name(instance));
                info!("fleet: rolling operation {line}");
                self.reply_to_all(&format!("failed {line}"));
            }
            Action::CrashLoop { instance, reason } => {
                info!(
                    "fleet: {} is in a crash loop and is not restarted: {reason}",
                    self.instance_name(instance)
                );
            }
            // Carried out by `handle`.
            Action::Start { .. } | Action::Stopped => {}
        }
    }

    fn start_process(&mut self, index: usize, id: ProcessId) -> io::Result<()> {
        let instance = &self.config.instances[index];
        let rollouts = self.coordination.as_ref().map(|coordination| &coordination.rollouts);
        let build = rollouts.map(|rollouts| Build {
            id: rollouts.build(&instance.name),
            program: rollouts.path(&instance.name),
        });
        let process = InstanceProcess::spawn(self.config, instance, build)?;
        self.track(id, process);
        Ok(())
    }

    /// Adds a process and watches for its exit.
    fn track(&mut self, id: ProcessId, process: InstanceProcess) {
        let exits = self.exits.clone();
        let notify = move || {
            // Fails if the event loop has ended, when the exit is of no interest.
            let _ = exits.blocking_send(id);
        };
        if let Err(e) = process.on_exit(notify) {
            info!("fleet: process {}: its exit is not watched: {e}", process.pid);
        }
        self.processes.insert(id, process);
    }

    /// Handles the exit of a process.
    pub fn process_exited(&mut self, process: ProcessId) -> Event {
        let exited = self.processes.remove(&process);
        self.status_texts.remove(&process);
        let report = exited.map_or_else(ExitReport::unknown, |mut exited| exited.exit_report());
        Event::Exited { process, clean: report.clean, status: report.status }
    }

    /// Handles a notification of an instance.
    pub fn notified(&mut self, notification: Notification) -> Event {
        let Notification { pid, ready, status } = notification;
        let sender = self.processes.iter().find(|(_, process)| process.pid == pid);
        let Some(process) = sender.map(|(&id, _)| id) else { return Event::Timeout };
        let reload_error = status.as_deref().and_then(|s| s.strip_prefix("not reloaded: ")).map(String::from);
        if let Some(status) = status {
            self.status_texts.insert(process, status);
        }
        match (ready, reload_error) {
            (false, _) => Event::Timeout,
            (true, Some(reason)) => Event::ReloadFailed(process, reason),
            (true, None) => {
                self.report_ready(process);
                Event::Ready(process)
            }
        }
    }

    /// Reports to waiting clients that an instance is ready.
    fn report_ready(&self, process: ProcessId) {
        let mut instances = self.supervisor.instances().iter();
        let index = instances
            .position(|instance| instance.process == Some(process) || instance.successor == Some(process));
        let name = index.map_or("?", |index| self.instance_name(index));
        for client in &self.waiting_clients {
            let _ = client.try_send(format!("{name} is ready"));
        }
    }

    /// Sends the last reply line to all waiting clients.
    pub(super) fn reply_to_all(&mut self, line: &str) {
        for client in self.waiting_clients.drain(..) {
            let _ = client.try_send(line.into());
        }
    }

    pub(super) fn instance_name(&self, index: usize) -> &str {
        self.config.instances.get(index).map_or("?", |instance| &instance.name)
    }
}

/// Name of a rolling action, as operators write it.
pub(super) fn action_name(action: RollingAction) -> &'static str {
    match action {
        RollingAction::Restart => "restart",
        RollingAction::Handoff => "take-over",
        RollingAction::Reload => "reload",
    }
}

/// Whether an adopted instance is ready. It counts as ready if its address is not known.
fn is_adopted_ready(instance: &InstanceConfig) -> bool {
    let listen = node_config::read(&instance.config).ok().map(|config| config.listen);
    listen.filter(|listen| listen.port() != 0).is_none_or(|listen| is_ready(listen).unwrap_or(false))
}

fn is_ready(addr: SocketAddr) -> io::Result<bool> {
    let mut stream = TcpStream::connect_timeout(&addr, READINESS_TIMEOUT)?;
    stream.set_read_timeout(Some(READINESS_TIMEOUT))?;
    stream.write_all(READINESS_REQUEST)?;
    let mut response = [0; READY_RESPONSE.len()];
    stream.read_exact(&mut response)?;
    Ok(&response == READY_RESPONSE)
}
