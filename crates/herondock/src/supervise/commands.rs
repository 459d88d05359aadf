//! Handling of operator commands in the supervisor.
use super::coordination_clients::Coordination;
use super::driver::{action_name, Driver};
use config::supervisor::InstanceConfig;
use disruption::RequestDecision;
use serde_json::{json, Value};
use supervisor::{Command, Event, Instance, InstanceState, RollingAction};
use tokio::sync::mpsc;
use tracing::info;

/// Separates a command from the operator's reason to exceed disruption budgets.
const OVERRIDE_SEPARATOR: &str = " override ";

/// A parsed command.
enum Request {
    /// Report the state of the fleet.
    Status,
    /// Start stopped instances.
    Start,
    /// Stop all instances.
    Stop,
    /// Run a rolling operation.
    Roll(RollingAction),
}

impl Request {
    fn parse(command: &str) -> Option<Request> {
        match command {
            "status" => Some(Request::Status),
            "start" => Some(Request::Start),
            "stop" => Some(Request::Stop),
            "restart" => Some(Request::Roll(RollingAction::Restart)),
            "take-over" => Some(Request::Roll(RollingAction::Handoff)),
            "reload" => Some(Request::Roll(RollingAction::Reload)),
            _ => None,
        }
    }
}

impl Driver<'_> {
    /// Handles a command line of an operator; `reply` receives the reply lines. Returns the event for the state machine.
    pub fn command(&mut self, line: &str, reply: mpsc::Sender<String>) -> Event {
        let (command, override_reason) = match line.split_once(OVERRIDE_SEPARATOR) {
            Some((command, reason)) => (command, Some(reason.to_string())),
            None => (line, None),
        };
        if self.supervisor.rolling().is_none() {
            self.override_reason = override_reason;
        }
        let Some(request) = Request::parse(command) else {
            let _ = reply.try_send("failed that is no command".into());
            return Event::Timeout;
        };
        match request {
            Request::Status => {
                let _ = reply.try_send(self.status().to_string());
                let _ = reply.try_send("ok".into());
                return Event::Timeout;
            }
            Request::Start => {
                let _ = reply.try_send("ok".into());
                return Event::Command(Command::Start);
            }
            Request::Roll(_) => {
                if let Some(reason) = self.roll_blocked_by_rollout() {
                    let _ = reply.try_send(format!("failed {reason}"));
                    return Event::Timeout;
                }
            }
            Request::Stop => {}
        }
        info!("fleet: received the operator command {command:?}");
        let command = match request {
            Request::Roll(action) => Command::Roll(action),
            _ => {
                self.reply_to_all("failed the fleet is being stopped");
                Command::Stop
            }
        };
        self.waiting_clients.push(reply);
        Event::Command(command)
    }

    /// Reason why a rollout prevents a rolling operation from starting; `None` if it does not.
    fn roll_blocked_by_rollout(&self) -> Option<String> {
        self.coordination.as_ref()?.rollouts.blocking_reason()
    }

    fn status(&self) -> Value {
        let pairs = self.config.instances.iter().zip(self.supervisor.instances());
        let instances: Vec<Value> =
            pairs.map(|(config, instance)| self.instance_status(config, instance)).collect();
        let roll = self.supervisor.rolling().map(|roll| {
            let pending: String =
                self.pending_leases().iter().map(|pending| format!("; {pending}")).collect();
            format!("{}, {} to go{pending}", action_name(roll.action), roll.remaining)
        });
        json!({"supervisor": std::process::id(), "roll": roll, "instances": instances})
    }

    fn instance_status(&self, config: &InstanceConfig, instance: &Instance) -> Value {
        let process = instance.process.and_then(|id| self.processes.get(&id));
        let usage = process.map(|process| process.resource_usage());
        let status_text = match &instance.state {
            InstanceState::CrashLoop(reason) => Some(reason),
            _ => instance.process.and_then(|id| self.status_texts.get(&id)),
        };
        let ready_ms = instance.time_to_ready.map(|time| u64::try_from(time.as_millis()).unwrap_or(u64::MAX));
        json!({
            "name": config.name,
            "state": instance.state.to_string(),
            "pid": process.map(|process| process.pid),
            "restarts": instance.restarts,
            "leaving": instance.draining_predecessors.len(),
            "memory": usage.map(|usage| usage.memory_bytes),
            "descriptors": usage.map(|usage| usage.descriptors),
            "ready_ms": ready_ms,
            "says": status_text,
        })
    }

    /// Descriptions of what the lease requests of this supervisor wait for.
    fn pending_leases(&self) -> Vec<String> {
        let Some(Coordination { lease_agent, .. }) = &self.coordination else { return Vec::new() };
        let snapshot = lease_agent.snapshot();
        let mut pending = Vec::new();
        if !lease_agent.is_connected() {
            pending.push("the council does not answer".to_string());
        }
        for RequestDecision { request_id, decision } in snapshot.decisions() {
            let Some(request) = snapshot.requests.get(&request_id) else { continue };
            if Some(&request.value.owner) == self.config.machine.as_ref() {
                pending.push(format!("{} {decision}", request.value.resource.name));
            }
        }
        pending
    }
}
