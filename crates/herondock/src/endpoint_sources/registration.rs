//! Registration of this instance at its Consul agents: sends the requests of `discovery::consul::registration`.
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

/// Timeout of a request.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(2);
/// Time that the exit of the process waits for the deregistration.
const DEREGISTER_TIMEOUT: Duration = Duration::from_millis(500);

/// All registrations of this instance.
pub struct Registrations {
    set_desired_state: watch::Sender<DesiredState>,
    tasks: Vec<JoinHandle<()>>,
}

impl Registrations {
    /// Starts the registrations of these services, for an instance of this name at this address.
    pub fn spawn(
        services: &[ConsulConfig],
        name: &str,
        addr: SocketAddr,
        limits: &LiveConfig<Limits>,
        random: &Pcg64Mcg,
    ) -> Registrations {
        let (desired_state, desired_states) = watch::channel(DesiredState::Absent);
        let spawn = |s: &ConsulConfig| {
            let r = s.registration.as_ref()?;
            let registration = Registration {
                service: r.service.clone(),
                id: r.id.clone().unwrap_or_else(|| format!("{}-{name}", r.service)),
                addr,
                tags: r.tags.clone(),
                meta: r.meta.clone(),
                ttl: r.ttl,
                deregister_after: r.deregister_after,
            };
            let task = RegistrationTask {
                client: Client::new(limits.clone()),
                agent: *s.agents.first()?,
                token: AclToken::new(s.token_file.clone()),
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

    /// Deregisters all services, and waits for that up to [`DEREGISTER_TIMEOUT`].
    pub async fn deregister(&mut self) {
        self.set_desired_state(DesiredState::Deregistered);
        let all = async {
            for task in &mut self.tasks {
                let _ = task.await;
            }
        };
        let _ = timeout(DEREGISTER_TIMEOUT, all).await;
    }
}

impl Drop for Registrations {
    fn drop(&mut self) {
        self.tasks.iter().for_each(JoinHandle::abort);
    }
}

struct RegistrationTask {
    client: Client,
    /// Registrations are local to an agent, so that only the first one is used.
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
                    let done = self.send(&call.path, call.body).await;
                    let (now, draw) = (start.elapsed(), self.random.gen());
                    let why = match done {
                        Ok(status) => registrar.on_response(now, status, draw),
                        Err(error) => {
                            registrar.on_failure(now, draw);
                            Some(error.to_string())
                        }
                    };
                    if why.is_some() && why != last_error {
                        info!("consul registrar: {}", why.as_deref().unwrap_or(""));
                    }
                    last_error = why;
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
