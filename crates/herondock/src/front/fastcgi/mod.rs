//! The front for clients that speak FastCGI 1.0, such as the gateway of a web server: reads complete requests, passes
//! them to the pools and writes the final answer of each request.
//!
//! Invalid params are answered with a 4xx status; bytes that make the framing of a connection uncertain end the
//! connection. An ABORT cancels its request, and the end of a connection cancels all of its requests.
//!
//! | file | contents |
//! | --- | --- |
//! | `mod.rs` | accepting connections |
//! | `listeners.rs` | listeners, new or inherited from a predecessor |
//! | `connection.rs` | serving one connection |
//! | `open_requests.rs` | requests of a connection without an answer |
//! | `admission.rs`, `params.rs` | admission of requests by their params |
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
use crate::memory_budget::{MemoryBudget, CONNECTION_BYTES};
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

/// Delay after an accept that failed, for instance because no descriptor was left.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(10);

/// Configuration of a front.
pub struct FastCgiFrontConfig {
    /// Pools that requests are passed to.
    pub pools: Pools,
    /// Settings of the platform.
    pub deployment: Deployment,
    /// Section `[fastcgi]` of the operator's file.
    pub settings: FastCgi,
    /// Budget of the process's file descriptors.
    pub descriptors: DescriptorBudget,
    /// Limits on sizes and waits.
    pub limits: LiveConfig<Limits>,
    /// Progress of a graceful shutdown.
    pub shutdown: watch::Receiver<ShutdownProgress>,
    /// Request budgets, where they are on.
    pub budgets: Option<Rc<BudgetPolicy>>,
    /// Listeners to accept on.
    pub listeners: Vec<FrontListener>,
    /// Budget of the process's memory.
    pub memory: MemoryBudget,
}

/// The FastCGI front.
pub struct FastCgiFront {
    pools: Pools,
    deployment: Deployment,
    settings: FastCgi,
    descriptors: DescriptorBudget,
    limits: LiveConfig<Limits>,
    shutdown: watch::Receiver<ShutdownProgress>,
    budgets: Option<Rc<BudgetPolicy>>,
    memory: MemoryBudget,
    /// Listeners that are passed on to a successor; connections are accepted on clones of them.
    listeners: RefCell<Vec<FrontListener>>,
}

impl FastCgiFront {
    /// Creates a front that does not accept yet.
    pub fn new(config: FastCgiFrontConfig) -> Rc<FastCgiFront> {
        Rc::new(FastCgiFront {
            pools: config.pools,
            deployment: config.deployment,
            settings: config.settings,
            descriptors: config.descriptors,
            limits: config.limits,
            shutdown: config.shutdown,
            budgets: config.budgets,
            memory: config.memory,
            listeners: RefCell::new(config.listeners),
        })
    }

    /// Starts tasks that accept until a shutdown drains, or until another process accepts at these addresses.
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
                // If this fails, the client is gone.
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

    /// Returns clones of the listeners, for a successor.
    ///
    /// # Errors
    /// There is no descriptor left.
    pub fn listeners(&self) -> Result<Vec<OwnedFd>, ListenerError> {
        let clones = self.listeners.borrow();
        let clones = clones.iter().map(|listener| Ok(listener.try_clone()?.into_descriptor()));
        clones.collect()
    }

    /// Drops the listeners. The clones that connections are accepted on close in a shutdown, once no client waits to
    /// be accepted.
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
                // Another process now accepts at this address.
                _ = handed_over.wait_for(|progress| progress.handed_over) => return,
                accepted = poll_fn(&mut poll) => accepted,
                // Last, so that clients that wait to be accepted are accepted first: what they have written counts as
                // received.
                _ = draining.wait_for(|progress| progress.phase >= ShutdownPhase::Draining) => return,
            };
            match accepted {
                Ok(stream) => self.spawn(stream),
                Err(error) => {
                    info!("fastcgi: accept: {error}");
                    sleep(ACCEPT_RETRY_DELAY).await;
                }
            }
        }
    }

    fn spawn(self: &Rc<FastCgiFront>, stream: impl AsyncRead + AsyncWrite + Unpin + 'static) {
        let front = self.clone();
        tokio::task::spawn_local(async move {
            // A connection that gets no descriptor within the timeout for a request is closed.
            let wait = front.limits.get().request_wait;
            if let Ok(Some(_permit)) = timeout(wait, front.descriptors.acquire_caller()).await {
                let _memory = front.memory.charge(CONNECTION_BYTES);
                front.serve(stream).await;
            }
        });
    }
}
