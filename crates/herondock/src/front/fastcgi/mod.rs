//! The front for clients that speak FastCGI 1.0, such as a web server's gateway: reads whole requests, hands them to the pools
//! and writes the one final answer.
//!
//! Bad params get an answer with a 4xx status; what makes a connection's bytes uncertain ends it. An ABORT, or the end of the
//! connection, cancels what is in flight.
//!
//! | file | contents |
//! | --- | --- |
//! | `mod.rs` | accepting |
//! | `listeners.rs` | listeners, new or passed on |
//! | `connection.rs` | one connection |
//! | `open_requests.rs` | its requests without an answer |
//! | `admission.rs`, `params.rs` | from params to an admitted request |
//! | `response.rs` | the head of an answer |
mod admission;
mod connection;
mod listeners;
mod open_requests;
mod params;
mod response;

pub use listeners::{open_listeners, FrontListener, ListenerError};

use super::{ShutdownPhase, ShutdownProgress};
use crate::descriptor_budget::DescriptorBudget;
use crate::live_config::LiveConfig;
use crate::request_budgets::BudgetPolicy;
use crate::routing::Pools;
use config::fastcgi::FastCgi;
use config::operator::Limits;
use config::Deployment;
use std::cell::RefCell;
use std::future::poll_fn;
use std::io;
use std::os::fd::OwnedFd;
use std::rc::Rc;
use std::task::{ready, Context, Poll};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite};
use tokio::net::{TcpListener, UnixListener};
use tokio::sync::watch;
use tokio::time::{sleep, timeout};
use tracing::info;

/// Pause after an accept that failed, for want of descriptors for instance.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(10);

/// What a front is built from.
pub struct FastCgiFrontConfig {
    /// The pools.
    pub pools: Pools,
    /// The platform's settings.
    pub deployment: Deployment,
    /// `[fastcgi]` of the operator's file.
    pub settings: FastCgi,
    /// Descriptors of the process.
    pub descriptors: DescriptorBudget,
    /// Limits on sizes and waits.
    pub limits: LiveConfig<Limits>,
    /// How far a graceful shutdown has come.
    pub shutdown: watch::Receiver<ShutdownProgress>,
    /// Request budgets, where they are on.
    pub budgets: Option<Rc<BudgetPolicy>>,
    /// Its listeners.
    pub listeners: Vec<FrontListener>,
}

/// The front.
pub struct FastCgiFront {
    pools: Pools,
    deployment: Deployment,
    settings: FastCgi,
    descriptors: DescriptorBudget,
    limits: LiveConfig<Limits>,
    shutdown: watch::Receiver<ShutdownProgress>,
    budgets: Option<Rc<BudgetPolicy>>,
    /// Listeners to be passed on; those that are accepted on are clones of them.
    listeners: RefCell<Vec<FrontListener>>,
}

impl FastCgiFront {
    /// A front that does not accept yet.
    pub fn new(config: FastCgiFrontConfig) -> Rc<FastCgiFront> {
        Rc::new(FastCgiFront {
            pools: config.pools,
            deployment: config.deployment,
            settings: config.settings,
            descriptors: config.descriptors,
            limits: config.limits,
            shutdown: config.shutdown,
            budgets: config.budgets,
            listeners: RefCell::new(config.listeners),
        })
    }

    /// Accepts until the shutdown drains, or another process accepts here.
    ///
    /// # Errors
    /// A listener can't be used.
    pub fn start_accepting(self: &Rc<FastCgiFront>) -> Result<(), ListenerError> {
        for listener in self.listeners.borrow().iter() {
            match listener.try_clone()? {
                FrontListener::Tcp(listener) => self.accept_tcp(TcpListener::from_std(listener)?),
                FrontListener::Unix(listener) => self.accept_unix(UnixListener::from_std(listener)?),
            }
        }
        Ok(())
    }

    fn accept_tcp(self: &Rc<FastCgiFront>, listener: TcpListener) {
        tokio::task::spawn_local(self.clone().accept(move |cx: &mut Context<'_>| {
            let accepted = ready!(listener.poll_accept(cx));
            Poll::Ready(accepted.map(|(stream, _)| {
                // Where it fails the client is gone.
                let _ = stream.set_nodelay(true);
                stream
            }))
        }));
    }

    fn accept_unix(self: &Rc<FastCgiFront>, listener: UnixListener) {
        tokio::task::spawn_local(self.clone().accept(move |cx: &mut Context<'_>| {
            Poll::Ready(ready!(listener.poll_accept(cx)).map(|(stream, _)| stream))
        }));
    }

    /// Clones of its listeners, for a successor.
    ///
    /// # Errors
    /// There is no descriptor left.
    pub fn listeners(&self) -> Result<Vec<OwnedFd>, ListenerError> {
        let clones = self.listeners.borrow();
        let clones = clones.iter().map(|listener| Ok(listener.try_clone()?.into_descriptor()));
        clones.collect()
    }

    /// Gives up its listeners; those that are accepted on close once nobody waits to be accepted.
    pub fn close(&self) {
        self.listeners.borrow_mut().clear();
    }

    async fn accept<S: AsyncRead + AsyncWrite + Unpin + 'static>(
        self: Rc<FastCgiFront>,
        mut poll: impl FnMut(&mut Context<'_>) -> Poll<io::Result<S>>,
    ) {
        let (mut draining, mut handed_over) = (self.shutdown.clone(), self.shutdown.clone());
        loop {
            let accepted = tokio::select! {
                biased;
                // Another process accepts here by now.
                _ = handed_over.wait_for(|progress| progress.handed_over) => return,
                accepted = poll_fn(&mut poll) => accepted,
                // Only once nobody waits to be accepted: what they have written counts as taken.
                _ = draining.wait_for(|progress| progress.phase >= ShutdownPhase::Draining) => return,
            };
            match accepted {
                Ok(stream) => self.spawn(stream),
                Err(e) => {
                    info!("fastcgi: accept: {e}");
                    sleep(ACCEPT_RETRY_DELAY).await;
                }
            }
        }
    }

    fn spawn(self: &Rc<FastCgiFront>, stream: impl AsyncRead + AsyncWrite + Unpin + 'static) {
        let front = self.clone();
        tokio::task::spawn_local(async move {
            // A connection that gets no descriptor within its time for a request has to close.
            let wait = front.limits.get().request_wait;
            if let Ok(Some(_permit)) = timeout(wait, front.descriptors.acquire_caller()).await {
                front.serve(stream).await;
            }
        });
    }
}
