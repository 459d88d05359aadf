//! Registers this instance at its Consul agents: sends the requests of `discovery::consul::registration`.
use super::client::{ApiRequest, Client};
use super::consul::{AclToken, QueryError, TOKEN_HEADER};
use crate::live_config::LiveConfig;
use bytes::Bytes;
use config::discovery::ConsulConfig;
use config::operator::Limits;
use discovery::consul::registration::{DesiredState, NextStep, Registrar, Registration};
use hyper::Method;
use rand::Rng;
use rand_pcg::Pcg64Mcg;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::sync::watch;
use tokio::task::JoinHandle;
use tokio::time::{sleep_until, timeout, Instant};
use tracing::info;

/// Timeout of a request to an agent.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(2);
/// Maximum time that the exit of the process waits for the deregistration.
const DEREGISTER_TIMEOUT: Duration = Duration::from_millis(500);

/// All registrations of this instance.
pub struct Registrations {
    set_desired_state: watch::Sender<DesiredState>,
    tasks: Vec<JoinHandle<()>>,
}

impl Registrations {
    /// Starts a task for each service with registration settings. `name` and `addr` are those of this instance.
    pub fn spawn(
        services: &[ConsulConfig],
        name: &str,
        addr: SocketAddr,
        limits: &LiveConfig<Limits>,
        random: &Pcg64Mcg,
    ) -> Registrations {
        let (desired_state, desired_states) = watch::channel(DesiredState::Absent);
        let spawn = |service: &ConsulConfig| {
            let settings = service.registration.as_ref()?;
            let registration = Registration {
                service: settings.service.clone(),
                id: settings.id.clone().unwrap_or_else(|| format!("{}-{name}", settings.service)),
                addr,
                tags: settings.tags.clone(),
                meta: settings.meta.clone(),
                ttl: settings.ttl,
                deregister_after: settings.deregister_after,
            };
            let task = RegistrationTask {
                client: Client::new(limits.clone()),
                agent: *service.agents.first()?,
                token: AclToken::new(service.token_file.clone()),
                random: random.clone(),
            };
            Some(tokio::task::spawn_local(task.run(Registrar::new(registration), desired_states.clone())))
        };
        Registrations { set_desired_state: desired_state, tasks: services.iter().filter_map(spawn).collect() }
    }

    /// Sets the desired state of all registrations.
    pub fn set_desired_state(&self, desired_state: DesiredState) {
        self.set_desired_state.send_replace(desired_state);
    }

    /// Deregisters all services; waits for at most [`DEREGISTER_TIMEOUT`].
    pub async fn deregister(&mut self) {
        self.set_desired_state(DesiredState::Deregistered);
        let all_tasks = async {
            for task in &mut self.tasks {
                let _ = task.await;
            }
        };
        let _ = timeout(DEREGISTER_TIMEOUT, all_tasks).await;
    }
}

impl Drop for Registrations {
    fn drop(&mut self) {
        self.tasks.iter().for_each(JoinHandle::abort);
    }
}

struct RegistrationTask {
    client: Client,
    /// The first agent of the settings. Registrations are local to an agent, so the others are not used.
    agent: SocketAddr,
    token: AclToken,
    random: Pcg64Mcg,
}

impl RegistrationTask {
    async fn run(mut self, mut registrar: Registrar, mut desired_states: watch::Receiver<DesiredState>) {
        let (start, mut last_error) = (Instant::now(), None);
        loop {
            registrar.set_desired_state(start.elapsed(), *desired_states.borrow_and_update());
            match registrar.next_step(start.elapsed()) {
                NextStep::Done => return,
                NextStep::Wait(until) => {
                    let until = (until < Duration::MAX).then(|| start + until);
                    tokio::select! {
                        changed = desired_states.changed() => if changed.is_err() { return },
                        () = async { sleep_until(until.unwrap_or(start)).await }, if until.is_some() => {}
                    }
                }
                NextStep::Call(call) => {
                    let result = self.send(&call.path, call.body).await;
                    let (now, draw) = (start.elapsed(), self.random.gen());
                    let problem = match result {
                        Ok(status) => registrar.on_response(now, status, draw),
                        Err(error) => {
                            registrar.on_failure(now, draw);
                            Some(error.to_string())
                        }
                    };
                    if problem.is_some() && problem != last_error {
                        info!("consul: a registration request failed: {}", problem.as_deref().unwrap_or(""));
                    }
                    last_error = problem;
                }
            }
        }
    }

    async fn send(&mut self, path: &str, body: String) -> Result<u16, QueryError> {
        let token = self.token.read().await?;
        let headers: Vec<_> = token.iter().map(|t| (TOKEN_HEADER, t.as_str())).collect();
        let call = ApiRequest { method: Method::PUT, path, headers: &headers, body: Bytes::from(body) };
        let addr = self.agent;
        Ok(self.client.send(addr, &call, RESPONSE_TIMEOUT).await?.status.as_u16())
    }
}
