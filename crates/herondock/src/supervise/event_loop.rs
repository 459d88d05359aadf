//! The supervisor's loop: tells the state machine what happens, and carries out what it wants.
use super::process::{Notify, Running};
use super::rollouts::{ReplaceDecision, Rollouts};
use super::Paths;
use crate::node_config;
use config::supervisor::FleetConfig as File;
use daemon::control::{ControlRequest, ControlSocket};
use daemon::pid_file::{self, PidFile};
use daemon::signals::{ProcessSignal, Signals};
use disruption::{BalancerEntry, DisruptionKind};
use disruption_agent::agent::{GrantedLease, LeaseAgentHandle};
use rollout::executor::{ExecutorAction as Move, LocalInstance};
use rollout_agent::agent::LeaseConfirmation;
use std::collections::{BTreeMap, HashMap};
use std::os::unix::fs::DirBuilderExt;
use std::time::Duration;
use supervisor::{Action, Command, Event, ProcessId, RollingAction, SupervisorPolicy};
use tokio::sync::mpsc;
use tokio::time::Instant;
use tracing::info;

/// Ends of processes that may wait for the loop.
const WAITING: usize = 64;

/// Runs a supervisor until it is told to end, which leaves the instances running, or all were stopped.
///
/// # Errors
/// Another supervisor has the folder, or something that it needs can't be had.
pub fn run(file: &File) -> Result<(), String> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime.map_err(|e| e.to_string())?;
    tokio::task::LocalSet::new().block_on(&runtime, supervise(file))
}

struct Supervisor<'a> {
    file: &'a File,
    fleet: supervisor::Supervisor,
    began: Instant,
    processes: HashMap<ProcessId, Running>,
    /// What each process last said of itself.
    says: HashMap<ProcessId, String>,
    ends: mpsc::Sender<ProcessId>,
    /// Who waits for the end of a roll, or of the stop.
    waiting: Vec<mpsc::Sender<String>>,
    /// Asks for leave, where there is a council.
    agent: Option<LeaseAgentHandle>,
    /// What its instances are called in the council.
    units: Vec<String>,
    /// What the agent was told of them last.
    declared: BTreeMap<String, BalancerEntry>,
    /// An operator's reason to go over what budgets allow, in the roll that goes on.
    overrides: Option<String>,
    /// What it does for releases, where there is a council.
    releases: Option<Rollouts>,
}

async fn supervise(file: &File) -> Result<(), String> {
    let mut signals = Signals::caught()?;
    let paths = Paths(file);
    let folder = |e: std::io::Error| format!("{}: {e}", file.folder.display());
    if !file.folder.is_dir() {
        std::fs::DirBuilder::new().recursive(true).mode(0o700).create(&file.folder).map_err(folder)?;
    }
    let lock = PidFile::take(&paths.lock())?;
    if let Some(why) = lock.unwritten() {
        info!("fleet: {why}");
    }
    let notify = Notify::bind(&paths.notify()).map_err(folder)?;
    let mut control = ControlSocket::bind(&paths.control()).map_err(folder)?;
    let (ends, mut ended) = mpsc::channel(WAITING);
    let figures = SupervisorPolicy {
        spread: file.spread,
        ready_within: file.ready_within,
        stop_within: file.stop_within,
        pause: file.pause,
        pause_most: file.pause_most,
        crashes: file.crashes,
        window: file.window,
        at_once: file.at_once,
        leaving_within: file.leaving_within,
        asks: file.council.is_some(),
    };
    let fleet = supervisor::Supervisor::new(file.instances.len(), figures);
    let council = file.council.as_ref().zip(file.machine.as_deref());
    let client = council.map(|(c, machine)| {
        (coordination_server::client::spawn_with_presence(c, "supervisor", machine), machine)
    });
    let agent = client.as_ref().map(|(client, machine)| LeaseAgentHandle::spawn(client.clone(), machine));
    let releases = match client.zip(agent.as_ref()) {
        Some(((client, machine), agent)) => {
            let of_releases = rollout_agent::agent::RolloutAgent::spawn(client, agent.subscribe());
            Some(Rollouts::new(file, machine, of_releases).map_err(|e| e.to_string())?)
        }
        None => None,
    };
    // In the council an instance has the name that its own configuration gives it.
    let named = |i: &config::supervisor::InstanceConfig| {
        node_config::read(&i.config).map_or_else(|_| i.name.clone(), |config| config.name)
    };
    let units = match agent {
        Some(_) => file.instances.iter().map(named).collect(),
        None => Vec::new(),
    };
    let (processes, says) = (HashMap::new(), HashMap::new());
    let began = Instant::now();
    let (waiting, declared, overrides) = (Vec::new(), BTreeMap::new(), None);
    let mut s = Supervisor {
        file,
        fleet,
        began,
        processes,
        says,
        ends,
        waiting,
        agent,
        units,
        declared,
        overrides,
        releases,
    };
    s.find();
    info!("fleet: supervisor of {} instances, {} found running", file.instances.len(), s.processes.len());
    let mut event = Event::Timeout;
    loop {
        if s.take(event) {
            // Whoever asked for it reads the answer first.
            control.close().await;
            return Ok(());
        }
        s.declare();
        s.release();
        let wake = s.fleet.wake().map(|at| s.began + at);
        let look = s.releases.as_ref().and_then(Rollouts::poll_interval).map(|every| Instant::now() + every);
        let wake = wake.into_iter().chain(look).min();
        event = tokio::select! {
            told = signals.next() => match told {
                ProcessSignal::Stop => break,
                // One command for all: a reload of the instances goes through 'fleet reload'.
                ProcessSignal::Reload => Event::Timeout,
            },
            Some(process) = ended.recv() => {
                let how = s.processes.remove(&process).map(|mut p| p.ending());
                let (clean, how) = how.unwrap_or((false, "it ended".into()));
                s.says.remove(&process);
                Event::Exited { process, clean, how }
            }
            news = notify.next() => match news {
                Ok(news) => s.heard(news),
                Err(e) => {
                    info!("fleet: {}: {e}", paths.notify().display());
                    Event::Timeout
                }
            },
            given = next_given(&mut s.agent) => s.given(&given),
            news = news(&mut s.releases) => match news {
                Some(confirmation) => s.confirmed(&confirmation),
                None => Event::Timeout,
            },
            ControlRequest { line, answer } = control.next() => s.asked(&line, answer),
            () = async { tokio::time::sleep_until(wake.unwrap_or(s.began)).await }, if wake.is_some() => Event::Timeout,
        };
    }
    info!("fleet: the supervisor ends, {} processes run on", s.processes.len());
    Ok(())
}

impl Supervisor<'_> {
    /// Finds the instances that run already, by the pid files that they hold.
    fn find(&mut self) {
        for (k, instance) in self.file.instances.iter().enumerate() {
            let Some(pid) = pid_file::holder(&Paths(self.file).pid(instance)) else { continue };
            match Running::found(pid) {
                Ok(running) => {
                    // Where its address is known it can be asked; elsewhere what serves counts as ready.
                    let listen =
                        node_config::read(&instance.config).ok().map(|c| c.listen).filter(|l| l.port() != 0);
                    let ready = listen.is_none_or(ready);
                    let process = self.fleet.adopt(self.began.elapsed(), k, ready);
                    self.watch(process, running);
                }
                Err(e) => info!("fleet: {}: process {pid}: {e}", instance.name),
            }
        }
    }

    fn watch(&mut self, process: ProcessId, running: Running) {
        let ends = self.ends.clone();
        let tell = move || {
            // The loop that takes it may have ended; then nobody needs to know.
            let _ = ends.blocking_send(process);
        };
        if let Err(e) = running.watch(tell) {
            info!("fleet: process {}: its end will not be noticed: {e}", running.pid);
        }
        self.processes.insert(process, running);
    }

    /// Says which balancers this machine has, where that has changed.
    fn declare(&mut self) {
        let Some(agent) = &self.agent else { return };
        let down =
            |i: &supervisor::Instance| i.process.is_none() && i.successor.is_none() && i.leaving.is_empty();
        let unit = |i: &supervisor::Instance| BalancerEntry {
            machine: self.file.machine.clone().unwrap_or_default(),
            zone: self.file.zone.clone(),
            tier: self.file.tier.clone(),
            down: down(i),
        };
        let units: BTreeMap<String, BalancerEntry> =
            self.units.iter().cloned().zip(self.fleet.instances().iter().map(unit)).collect();
        if units != self.declared {
            agent.set_balancers(units.clone());
            self.declared = units;
        }
    }

    /// Does what a release wants of this machine's instances now.
    fn release(&mut self) {
        let Some(session) = self.agent.as_ref().and_then(LeaseAgentHandle::session) else { return };
        let (Some(agent), Some(releases)) = (&self.agent, &mut self.releases) else { return };
        if releases.poll_interval().is_none() {
            return;
        }
        let now = self.began.elapsed();
        let one =
            |((file, unit), i): ((&config::supervisor::InstanceConfig, &String), &supervisor::Instance)| {
                LocalInstance {
                    name: unit.clone(),
                    build: releases.build(&file.name).clone(),
                    ready: i.state == supervisor::InstanceState::Ready && i.successor.is_none(),
                    start_failure: match &i.state {
                        supervisor::InstanceState::CrashLoop(why) => Some(why.clone()),
                        _ => None,
                    },
                    start_timed_out: i.slow(),
                    crashes: i.crashes(now, self.file.window),
                }
            };
        let all = self.file.instances.iter().zip(&self.units).zip(self.fleet.instances());
        let all: Vec<LocalInstance> = all.map(one).collect();
        let at_once = if self.fleet.rolling().is_some() { 0 } else { self.file.at_once };
        let acts = releases.next_actions(&all, &agent.subscribe().borrow(), at_once, session);
        for act in acts {
            let event = self.moved(act);
            self.take(event);
        }
    }

    /// Carries out what a release wants.
    fn moved(&mut self, act: Move) -> Event {
        let (Some(agent), Some(releases)) = (&self.agent, &mut self.releases) else { return Event::Timeout };
        match act {
            Move::RequestLease { instance: unit, reason: why } => {
                agent.request(&unit, DisruptionKind::Restart, &why, None)
            }
            Move::ReleaseLease { instance: unit, replaced: acted } => agent.release(&unit, acted),
            Move::Replace { instance: unit, build } => {
                let instance = self.units.iter().position(|u| *u == unit);
                let Some((k, file)) = instance.and_then(|k| Some((k, self.file.instances.get(k)?))) else {
                    return Event::Timeout;
                };
                match releases.replace(&file.name, &unit, &build) {
                    ReplaceDecision::Replace => {
                        info!(unit, "release: goes over to build {}", rollout_agent::build_id::short(&build));
                        return Event::Command(Command::Replace(k));
                    }
                    ReplaceDecision::Refuse {
                        follow_up: Some(Move::ReleaseLease { instance: unit, replaced: acted }),
                    } => agent.release(&unit, acted),
                    ReplaceDecision::Refuse { .. } => {}
                }
            }
        }
        Event::Timeout
    }

    /// Leave for a release is to be used, where the record could be read after it was given.
    fn confirmed(&mut self, confirmation: &LeaseConfirmation) -> Event {
        let given = &confirmation.lease;
        let (Some(agent), Some(releases)) = (&self.agent, &mut self.releases) else { return Event::Timeout };
        if !confirmation.is_usable || !agent.is_active(given) {
            agent.mark_unused(&given.balancer);
            return Event::Timeout;
        }
        match releases.on_lease_confirmed(&given.balancer, &agent.subscribe().borrow()) {
            Some(act) => self.moved(act),
            None => Event::Timeout,
        }
    }

    /// Leave was given. It may have come late: what it allowed may be another's by now.
    fn given(&mut self, given: &GrantedLease) -> Event {
        let instance = self.units.iter().position(|unit| *unit == given.balancer);
        let (Some(agent), Some(instance)) = (&self.agent, instance) else { return Event::Timeout };
        let (unit, number) = (&given.balancer, given.fencing_token);
        if !agent.is_active(given) {
            info!(unit, number, "outage: the leave came too late, and nothing is done by it");
            agent.mark_unused(unit);
            return Event::Timeout;
        }
        info!(unit, number, "outage: has leave to {}", given.kind.as_str());
        match &self.releases {
            Some(releases) if releases.on_lease_granted(given) => Event::Timeout,
            _ => Event::LeaseGranted(instance),
        }
    }

    fn name(&self, instance: usize) -> &str {
        self.file.instances.get(instance).map_or("?", |i| &i.name)
    }

    /// Tells the machine and does what it wants; `true`: all is stopped.
    fn take(&mut self, event: Event) -> bool {
        let mut actions = Vec::new();
        self.fleet.handle(self.began.elapsed(), event, &mut actions);
        let mut failed = Vec::new();
        for action in actions {
            match action {
                Action::Start { instance, process } => {
                    let file = &self.file.instances[instance];
                    let of = self.releases.as_ref().map(|r| (r.build(&file.name), r.path(&file.name)));
                    match Running::start(self.file, file, of) {
                        Ok(running) => self.watch(process, running),
                        Err(e) => failed.push((process, e.to_string())),
                    }
                }
                Action::Signal(process, signal) => {
                    if let Some(running) = self.processes.get(&process) {
                        running.signal(signal);
                    }
                }
                Action::RequestLease { instance, roll } => {
                    if let (Some(agent), Some(unit)) = (&self.agent, self.units.get(instance)) {
                        agent.request(unit, act(roll), word(roll), self.overrides.as_deref());
                    }
                }
                Action::ReleaseLease { instance, acted } => {
                    if let (Some(agent), Some(unit)) = (&self.agent, self.units.get(instance)) {
                        agent.release(unit, acted);
                    }
                }
                Action::Rejected(why) => {
                    if let Some(answer) = self.waiting.pop() {
                        let _ = answer.try_send(format!("failed {why}"));
                    }
                }
                Action::RollFinished(roll) => {
                    info!("fleet: {} done", word(roll));
                    self.tell_all("ok");
                }
                Action::RollAborted { instance, why } => {
                    let line = format!("halted at {}: {why}", self.name(instance));
                    info!("fleet: {line}");
                    self.tell_all(&format!("failed {line}"));
                }
                Action::CrashLoop { instance, why } => {
                    info!("fleet: {} is given up: {why}", self.name(instance))
                }
                Action::Stopped => {
                    info!("fleet: all are stopped");
                    self.tell_all("ok");
                    return true;
                }
            }
        }
        for (process, how) in failed {
            if self.take(Event::Exited { process, clean: false, how }) {
                return true;
            }
        }
        false
    }

    /// The last word to all who wait.
    fn tell_all(&mut self, line: &str) {
        for answer in self.waiting.drain(..) {
            let _ = answer.try_send(line.into());
        }
    }

    fn heard(&mut self, news: super::process::News) -> Event {
        let Some(process) = self.processes.iter().find(|(_, r)| r.pid == news.pid).map(|(&p, _)| p) else {
            return Event::Timeout;
        };
        let refused = news.status.as_deref().and_then(|s| s.strip_prefix("not reloaded: ")).map(String::from);
        if let Some(status) = news.status {
            self.says.insert(process, status);
        }
        match (news.ready, refused) {
            (true, Some(why)) => Event::ReloadFailed(process, why),
            (true, None) => {
                let of =
                    |i: &supervisor::Instance| i.process == Some(process) || i.successor == Some(process);
                let instance = self.fleet.instances().iter().position(of);
                for answer in &self.waiting {
                    let _ = answer.try_send(format!("{} is ready", instance.map_or("?", |k| self.name(k))));
                }
                Event::Ready(process)
            }
            _ => Event::Timeout,
        }
    }

    fn asked(&mut self, line: &str, answer: mpsc::Sender<String>) -> Event {
        let (line, overrides) = match line.split_once(" override ") {
            Some((line, why)) => (line, Some(why.to_string())),
            None => (line, None),
        };
        if self.fleet.rolling().is_none() {
            self.overrides = overrides;
        }
        let command = match line {
            "restart" | "take-over" | "reload" if self.bars().is_some() => {
                let _ = answer.try_send(format!("failed {}", self.bars().unwrap_or_default()));
                return Event::Timeout;
            }
            "status" => {
                let _ = answer.try_send(self.state().to_string());
                let _ = answer.try_send("ok".into());
                return Event::Timeout;
            }
            "restart" => Command::Roll(RollingAction::Restart),
            "take-over" => Command::Roll(RollingAction::Handoff),
            "reload" => Command::Roll(RollingAction::Reload),
            "start" => {
                let _ = answer.try_send("ok".into());
                return Event::Command(Command::Start);
            }
            "stop" => Command::Stop,
            _ => {
                let _ = answer.try_send("failed that is no command".into());
                return Event::Timeout;
            }
        };
        info!("fleet: {line}");
        if command == Command::Stop {
            self.tell_all("failed the fleet is being stopped");
        }
        self.waiting.push(answer);
        Event::Command(command)
    }

    /// Why no roll may begin.
    fn bars(&self) -> Option<String> {
        self.releases.as_ref()?.blocking_reason()
    }

    /// What the leaves that it asks for wait for, in words.
    fn waits(&self) -> String {
        let Some(agent) = &self.agent else { return String::new() };
        let board = agent.snapshot();
        let own = |id: &str| {
            board.requests.get(id).is_some_and(|a| Some(&a.value.owner) == self.file.machine.as_ref())
        };
        let mut waits: Vec<String> = match agent.is_connected() {
            true => Vec::new(),
            false => vec!["the council does not answer".into()],
        };
        let asks = board.decisions().into_iter().filter(|d| own(&d.request_id));
        waits.extend(asks.filter_map(|d| {
            Some(format!("{} {}", board.requests.get(&d.request_id)?.value.resource.name, d.decision))
        }));
        waits.iter().fold(String::new(), |text, wait| text + "; " + wait)
    }

    fn state(&self) -> serde_json::Value {
        let one = |(file, i): (&config::supervisor::InstanceConfig, &supervisor::Instance)| {
            let running = i.process.and_then(|p| self.processes.get(&p));
            let (memory, descriptors) = running.map_or((None, None), |r| {
                let (memory, descriptors) = r.holds();
                (Some(memory), Some(descriptors))
            });
            let says = match &i.state {
                supervisor::InstanceState::CrashLoop(why) => Some(why),
                _ => i.process.and_then(|p| self.says.get(&p)),
            };
            serde_json::json!({"name": file.name, "state": i.state.to_string(), "pid": running.map(|r| r.pid),
                "restarts": i.restarts, "leaving": i.leaving.len(), "memory": memory, "descriptors": descriptors,
                "ready_ms": i.took.map(|took| u64::try_from(took.as_millis()).unwrap_or(u64::MAX)), "says": says})
        };
        let instances: Vec<_> = self.file.instances.iter().zip(self.fleet.instances()).map(one).collect();
        let waits = self.waits();
        let roll = self.fleet.rolling().map(|(roll, left)| format!("{}, {left} to go{waits}", word(roll)));
        serde_json::json!({"supervisor": std::process::id(), "roll": roll, "instances": instances})
    }
}

/// News of releases; never, without a council.
async fn news(releases: &mut Option<Rollouts>) -> Option<LeaseConfirmation> {
    match releases {
        Some(releases) => releases.next_event().await,
        None => std::future::pending().await,
    }
}

/// The next leave; never, without a council.
async fn next_given(agent: &mut Option<LeaseAgentHandle>) -> GrantedLease {
    match agent {
        Some(agent) => agent.next().await,
        None => std::future::pending().await,
    }
}

fn act(roll: RollingAction) -> DisruptionKind {
    match roll {
        RollingAction::Restart => DisruptionKind::Restart,
        RollingAction::Handoff => DisruptionKind::Handoff,
        RollingAction::Reload => DisruptionKind::Reload,
    }
}

fn word(roll: RollingAction) -> &'static str {
    match roll {
        RollingAction::Restart => "restart",
        RollingAction::Handoff => "take-over",
        RollingAction::Reload => "reload",
    }
}

/// Whether an instance says that it is ready; asked once, at the start of a supervisor.
fn ready(addr: std::net::SocketAddr) -> bool {
    use std::io::{Read, Write};
    let wait = Duration::from_millis(500);
    let ask = || {
        let mut stream = std::net::TcpStream::connect_timeout(&addr, wait)?;
        stream.set_read_timeout(Some(wait))?;
        stream.write_all(b"GET /-/ready HTTP/1.1\r\nHost: fleet\r\nConnection: close\r\n\r\n")?;
        let mut start = [0; 12];
        stream.read_exact(&mut start)?;
        Ok::<_, std::io::Error>(&start == b"HTTP/1.1 200")
    };
    ask().unwrap_or(false)
}
