//! This instance as a service at its Consul agent: makes the calls that `discovery::consul::register` wants.
use super::client::{ApiRequest, Client};
use super::consul::AclToken;
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

/// How long one call may take.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(2);
/// How long the end of the process waits for the agent to hear of it.
const DEREGISTER_TIMEOUT: Duration = Duration::from_millis(500);

/// All registrations of an instance.
pub struct Registrations {
    set_desired_state: watch::Sender<DesiredState>,
    tasks: Vec<JoinHandle<()>>,
}

impl Registrations {
    /// Begins those that these services ask for, for an instance of this name at this address.
    pub fn spawn(
        services: &[ConsulConfig],
        name: &str,
        addr: SocketAddr,
        limits: &LiveConfig<Limits>,
        random: &Pcg64Mcg,
    ) -> Registrations {
        let (wish, wishes) = watch::channel(DesiredState::Absent);
        let begin = |s: &ConsulConfig| {
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
            let one = RegistrationTask {
                client: Client::new(limits.clone()),
                agents: s.agents.clone(),
                token: AclToken::new(s.token_file.clone()),
                random: random.clone(),
            };
            Some(tokio::task::spawn_local(one.run(Registrar::new(registration), wishes.clone())))
        };
        Registrations { set_desired_state: wish, tasks: services.iter().filter_map(begin).collect() }
    }

    /// What the instance wants to be.
    pub fn set_desired_state(&self, wish: DesiredState) {
        self.set_desired_state.send_replace(wish);
    }

    /// Takes all back, and waits for that for a moment.
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
    agents: Vec<SocketAddr>,
    token: AclToken,
    random: Pcg64Mcg,
}

impl RegistrationTask {
    async fn run(mut self, mut register: Registrar, mut wishes: watch::Receiver<DesiredState>) {
        let (start, mut trouble) = (Instant::now(), None);
        loop {
            register.set_desired_state(start.elapsed(), *wishes.borrow_and_update());
            match register.next_step(start.elapsed()) {
                NextStep::Done => return,
                NextStep::Wait(until) => {
                    let until = (until < Duration::MAX).then(|| start + until);
                    tokio::select! {
                        changed = wishes.changed() => if changed.is_err() { return },
                        () = async { sleep_until(until.unwrap_or(start)).await }, if until.is_some() => {}
                    }
                }
                NextStep::Call(call) => {
                    // With the first agent only: a registration is that agent's own.
                    let done = self.call(&call.path, call.body).await;
                    let (now, draw) = (start.elapsed(), self.random.gen());
                    let why = match done {
                        Ok(status) => register.on_response(now, status, draw),
                        Err(why) => {
                            register.on_failure(now, draw);
                            Some(why)
                        }
                    };
                    if why.is_some() && why != trouble {
                        info!("consul register: {}", why.as_deref().unwrap_or(""));
                    }
                    trouble = why;
                }
            }
        }
    }

    async fn call(&mut self, path: &str, body: String) -> Result<u16, String> {
        let token = self.token.read().await?;
        let headers: Vec<_> = token.iter().map(|t| ("x-consul-token", t.as_str())).collect();
        let call = ApiRequest { method: Method::PUT, path, headers: &headers, body: Bytes::from(body) };
        let addr = *self.agents.first().ok_or("no agent is named")?;
        Ok(self.client.send(addr, &call, RESPONSE_TIMEOUT).await?.status.as_u16())
    }
}
