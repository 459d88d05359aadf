//! A running instance: passes events to its lifecycle and performs the resulting actions.
use super::error::RunError;
use super::event_stream::{EventSender, EventStream, ProcessEvent};
use super::reload::Reloader;
use crate::descriptor_budget::DescriptorBudget;
use crate::endpoint_sources::aggregator::EndpointAggregator;
use crate::endpoint_sources::registration::Registrations;
use crate::front::fastcgi::FastCgiFront;
use crate::front::http::HttpFront;
use crate::front::{ShutdownPhase, ShutdownProgress};
use crate::listener_handoff::protocol::{
    EndpointsQuery, HandoffListener, HandoffRequest, ReadySuccessor, ReceivedListeners, Successor,
};
use crate::listener_handoff::transferred_state::TransferredState;
use crate::routing::Pools;
use config::operator::Daemon;
use coordination_server::client::ClientHandle;
use daemon::pid_file::PidFile;
use daemon::service_manager::ServiceManager;
use discovery::consul::registration::DesiredState;
use lifecycle::{Action, Event, Exit, Lifecycle, ShutdownTimeouts, State, SuccessorEvent};
use std::cell::RefCell;
use std::net::SocketAddr;
use std::os::fd::OwnedFd;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::{oneshot, watch};
use tokio::task::{AbortHandle, JoinHandle};
use tokio::time::Instant;
use tracing::info;

/// Maximum time to wait for a predecessor that has handed its sockets off to release the pid file.
const PID_FILE_TIMEOUT: Duration = Duration::from_secs(2);
/// Maximum time that the exit waits for the coordination service to close the session, which would otherwise expire.
const SESSION_CLOSE_TIMEOUT: Duration = Duration::from_millis(200);

/// Components of an instance.
pub struct InstanceConfig {
    /// Name of the instance.
    pub name: String,
    /// Time at which the process started.
    pub start: Instant,
    /// Hash of the platform's settings. A successor uses transferred state only if its own settings have the same hash.
    pub fingerprint: u64,
    /// `[daemon]` of the operator's file, with the overrides of the command line.
    pub daemon: Daemon,
    /// Sends notifications to the service manager.
    pub manager: ServiceManager,
    /// Pools and their drivers.
    pub pools: Pools,
    /// Endpoints of all sources.
    pub endpoints: EndpointAggregator<Pools>,
    /// Registrations of this instance in service discovery.
    pub registrations: Registrations,
    /// Front for clients that use HTTP.
    pub http_front: Rc<HttpFront>,
    /// Front for clients that use FastCGI.
    pub fastcgi_front: Rc<FastCgiFront>,
    /// Budget of file descriptors of the process.
    pub descriptors: DescriptorBudget,
    /// Publishes the progress of a graceful shutdown to the fronts.
    pub progress: watch::Sender<ShutdownProgress>,
    /// Applies changed files on SIGHUP.
    pub reloader: Reloader,
    /// Listening socket, to accept connections on and to hand off; `None` once accepting has stopped.
    pub listener: Option<std::net::TcpListener>,
    /// Pid file; `None` if there is none, or while a predecessor holds it.
    pub pid_file: Option<PidFile>,
    /// Sends the events of the instance's tasks to its event stream.
    pub sender: EventSender,
    /// Client of the coordination service, if the instance has one.
    pub coordination: Option<ClientHandle>,
    /// Publishes the state of the instance to the reporter for the coordination service.
    pub state_sender: watch::Sender<disruption::InstanceState>,
}

/// A running instance.
pub struct Instance {
    config: InstanceConfig,
    address: SocketAddr,
    lifecycle: Lifecycle,
    /// Triggers the claim of the sockets at the predecessor.
    claim: Option<oneshot::Sender<()>>,
    /// Task that receives requests at the handoff socket.
    handoff_listener: Option<AbortHandle>,
    /// Process that has requested the sockets and got no answer yet.
    successor: Option<Successor>,
    /// Successor that is ready to serve and waits to be released.
    ready_successor: Rc<RefCell<Option<ReadySuccessor>>>,
    /// Task of the HTTP front.
    http_task: Option<JoinHandle<()>>,
    /// Error of the last reload, if it failed.
    reload_error: Option<RunError>,
}

impl Instance {
    /// Creates an instance that does not accept connections yet. If there is a predecessor, the instance claims the sockets
    /// from it once it is ready.
    ///
    /// # Errors
    /// There is no listener, or its local address can't be determined.
    pub fn new(config: InstanceConfig, predecessor: Option<ReceivedListeners>) -> Result<Instance, RunError> {
        let address = config.listener.as_ref().ok_or(RunError::NoListener)?.local_addr();
        let address = address.map_err(RunError::LocalAddress)?;
        let timeouts = shutdown_timeouts(&config.daemon);
        let lifecycle = match predecessor {
            Some(_) => Lifecycle::new_successor(timeouts),
            None => Lifecycle::new(timeouts),
        };
        let (claim, claimed) = oneshot::channel::<()>();
        let instance = Instance {
            config,
            address,
            lifecycle,
            claim: Some(claim),
            handoff_listener: None,
            successor: None,
            ready_successor: Rc::default(),
            http_task: None,
            reload_error: None,
        };
        if let Some(predecessor) = predecessor {
            instance.wait_for_release(predecessor, claimed);
        }
        instance.wait_for_endpoints();
        Ok(instance)
    }

    /// Notifies the lifecycle once the predecessor accepts no connections any more.
    fn wait_for_release(&self, predecessor: ReceivedListeners, claimed: oneshot::Receiver<()>) {
        let events = self.config.sender.events.clone();
        tokio::task::spawn_local(async move {
            let ready = async {
                // A dropped sender is no claim: this process exits before it is ready.
                if claimed.await.is_err() {
                    std::future::pending::<()>().await;
                }
            };
            predecessor.wait_until_released(ready).await;
            let _ = events.send(Event::Released).await;
        });
    }

    /// Notifies the lifecycle once endpoints are known.
    fn wait_for_endpoints(&self) {
        let (events, pools) = (self.config.sender.events.clone(), self.config.pools.clone());
        tokio::task::spawn_local(async move {
            pools.wait_for_endpoints().await;
            let _ = events.send(Event::EndpointsKnown).await;
        });
    }

    /// Runs the instance until its lifecycle has ended.
    ///
    /// # Errors
    /// The listener can't be used, or the drivers' timers stopped.
    pub async fn run(mut self, mut events: EventStream) -> Result<(), RunError> {
        let mut actions = Vec::new();
        let mut event = Event::Listening;
        loop {
            self.lifecycle.handle(self.config.start.elapsed(), event, &mut actions);
            for action in actions.drain(..) {
                self.perform(action, event).await?;
            }
            if self.lifecycle.state() == State::Ended {
                return Ok(());
            }
            let next = events.next(self.next_timeout(), self.is_shutting_down()).await?;
            event = self.lifecycle_event(next);
        }
    }

    /// Handles an event of the process; returns the event to pass to the lifecycle.
    fn lifecycle_event(&mut self, event: ProcessEvent) -> Event {
        match event {
            ProcessEvent::Lifecycle(event) => event,
            ProcessEvent::CountOpen => self.open_counts(),
            ProcessEvent::WatchdogTick => {
                self.config.manager.notify_watchdog();
                Event::Timeout
            }
            ProcessEvent::Handoff(HandoffRequest::Endpoints(query)) => {
                self.answer_endpoints(query);
                Event::Timeout
            }
            // The lifecycle decides whether the sockets are handed off.
            ProcessEvent::Handoff(HandoffRequest::Listeners(successor)) => {
                self.successor = Some(successor);
                Event::Successor(SuccessorEvent::Connected)
            }
        }
    }

    /// Time of the lifecycle's next timeout.
    fn next_timeout(&self) -> Option<Instant> {
        self.lifecycle.next_timeout().map(|elapsed| self.config.start + elapsed)
    }

    /// Whether a graceful shutdown is in progress; open requests and connections are counted then.
    fn is_shutting_down(&self) -> bool {
        self.lifecycle.state() >= State::ShuttingDown
    }

    /// Numbers of open requests and connections, as an event. There is at least one connection while the HTTP front runs.
    fn open_counts(&self) -> Event {
        let connections = self.config.descriptors.callers().max(usize::from(self.is_serving()));
        Event::OpenCounts { requests: self.config.pools.open_requests(), connections }
    }

    /// Whether the HTTP front runs: clients are connected or may be accepted.
    fn is_serving(&self) -> bool {
        self.http_task.as_ref().is_some_and(|task| !task.is_finished())
    }

    /// Answers a query for the endpoints at the handoff socket.
    fn answer_endpoints(&self, query: EndpointsQuery) {
        // Strings and numbers can always be encoded.
        let endpoints = serde_json::to_vec(&self.config.endpoints.status()).unwrap_or_default();
        tokio::task::spawn_local(query.answer(endpoints));
    }

    async fn perform(&mut self, action: Action, cause: Event) -> Result<(), RunError> {
        match action {
            Action::Accept => self.accept().await?,
            Action::Claim => drop(self.claim.take().map(|claim| claim.send(()))),
            Action::NotifyReady => self.notify_ready(),
            Action::NotifyReloading => self.config.manager.notify_reloading(),
            Action::NotifyStopping => self.notify_stopping(cause),
            Action::ReadFiles => self.reload().await,
            Action::HandOffListeners => self.hand_off_listeners()?,
            Action::RejectSuccessor => self.reject_successor(),
            Action::StopAccepting => self.stop_accepting(),
            Action::ReleaseSuccessor => self.release_successor(),
            Action::AnswerBy(deadline) => {
                self.config.pools.set_answer_timeout(deadline.saturating_sub(self.config.start.elapsed()));
            }
            Action::CloseConnections => self.advance_to(ShutdownPhase::ClosingConnections),
            Action::CloseIdleConnections => self.advance_to(ShutdownPhase::ClosingIdle),
            Action::FailOpenRequests => self.config.pools.fail_open_requests(),
            Action::IgnoreSignal(event) => {
                info!("{}: ignored {event:?}, a shutdown is in progress", self.config.name);
            }
            Action::Exit(exit) => self.shut_down(exit).await,
        }
        Ok(())
    }

    /// Duplicates the descriptor of the listening socket.
    fn clone_listener(&self) -> Result<std::net::TcpListener, RunError> {
        let address = self.address;
        match &self.config.listener {
            Some(listener) => listener.try_clone().map_err(|source| RunError::Listen { address, source }),
            None => Err(RunError::ListenerClosed(address)),
        }
    }

    async fn accept(&mut self) -> Result<(), RunError> {
        let address = self.address;
        let listener = TcpListener::from_std(self.clone_listener()?);
        let listener = listener.map_err(|source| RunError::Listen { address, source })?;
        self.http_task = Some(tokio::task::spawn_local(self.config.http_front.clone().run(listener)));
        self.config.fastcgi_front.start_accepting()?;
        self.acquire_pid_file().await;
        self.listen_for_successors();
        info!("{}: serving on {address}", self.config.name);
        Ok(())
    }

    /// Acquires the pid file, which a predecessor holds until it has handed its sockets off. If that fails, the instance
    /// continues to serve: an exit would do more harm than a pid file that another process holds.
    async fn acquire_pid_file(&mut self) {
        let (Some(path), None) = (&self.config.daemon.pid_file, &self.config.pid_file) else { return };
        match PidFile::acquire_with_timeout(path, PID_FILE_TIMEOUT).await {
            Ok(file) => {
                if let Some(error) = file.write_error() {
                    info!("daemon.pid_file: {error}");
                }
                self.config.pid_file = Some(file);
            }
            Err(error) => info!("daemon.pid_file: not acquired from the predecessor: {error}"),
        }
    }

    fn listen_for_successors(&mut self) {
        let Some(path) = &self.config.daemon.takeover else { return };
        match HandoffListener::bind(path) {
            Ok(listener) => {
                let requests = self.config.sender.handoff_requests.clone();
                let receive = async move { while requests.send(listener.next().await).await.is_ok() {} };
                self.handoff_listener = Some(tokio::task::spawn_local(receive).abort_handle());
            }
            Err(error) => info!("no handoff is possible: {error}"),
        }
    }

    fn notify_ready(&self) {
        self.config.state_sender.send_replace(disruption::InstanceState::Ready);
        self.config.registrations.set_desired_state(DesiredState::Passing);
        self.config.manager.notify_ready(match &self.reload_error {
            None => format!("serving on {}", self.address),
            Some(error) => format!("not reloaded: {error}"),
        });
    }

    fn notify_stopping(&self, cause: Event) {
        self.config.manager.notify_stopping();
        self.config.state_sender.send_replace(disruption::InstanceState::ShuttingDown);
        // The readiness check fails from now on.
        self.advance_to(ShutdownPhase::Announced);
        // After a handoff the registration belongs to the successor.
        if cause == Event::Stop {
            self.config.registrations.set_desired_state(DesiredState::ShuttingDown);
            info!("{}: received a stop signal, shutting down gracefully", self.config.name);
        }
    }

    async fn reload(&mut self) {
        self.reload_error = self.config.reloader.reload().await.err();
        match &self.reload_error {
            None => info!("configuration reloaded"),
            Some(error) => info!("not reloaded: {error}"),
        }
        // The queue has room, as at most one reload is in progress.
        let _ = self.config.sender.events.try_send(Event::Reloaded);
    }

    /// Sends the listeners and the transferred state to the successor. This process continues to accept connections.
    fn hand_off_listeners(&mut self) -> Result<(), RunError> {
        let Some(successor) = self.successor.take() else { return Ok(()) };
        info!("{}: successor {} requests the listening sockets", self.config.name, successor.name);
        let (endpoints, learned) = (self.config.endpoints.cache(), self.config.pools.learned());
        let state = TransferredState::new(self.config.fingerprint, endpoints, learned).encode();
        let mut listeners = vec![OwnedFd::from(self.clone_listener()?)];
        listeners.extend(self.config.fastcgi_front.listeners()?);
        let (events, ready) = (self.config.sender.events.clone(), self.ready_successor.clone());
        tokio::task::spawn_local(async move {
            let event = match successor.hand_off(listeners, &state).await {
                Ok(successor) => {
                    ready.replace(Some(successor));
                    SuccessorEvent::Ready
                }
                Err(error) => {
                    info!("handoff to the successor failed, this process continues to serve: {error}");
                    SuccessorEvent::Disconnected
                }
            };
            let _ = events.send(Event::Successor(event)).await;
        });
        Ok(())
    }

    fn reject_successor(&mut self) {
        if let Some(successor) = self.successor.take() {
            let reason = "another process is taking over, or this one is ending";
            tokio::task::spawn_local(successor.reject(reason));
        }
    }

    fn stop_accepting(&mut self) {
        // While the socket is open, the operating system completes connections that no process would serve.
        self.config.listener = None;
        self.config.fastcgi_front.close();
        let handed_over = self.ready_successor.borrow().is_some();
        self.config.progress.send_modify(|progress| progress.handed_over = handed_over);
        self.advance_to(ShutdownPhase::Draining);
    }

    /// Advances the fronts to a phase of graceful shutdown; they never go back to an earlier one.
    fn advance_to(&self, phase: ShutdownPhase) {
        self.config.progress.send_modify(|progress| progress.phase = progress.phase.max(phase));
    }

    /// Releases the pid file and the handoff socket, and notifies the successor that it may accept connections.
    fn release_successor(&mut self) {
        self.config.pid_file = None;
        if let Some(task) = self.handoff_listener.take() {
            task.abort();
        }
        if let Some(successor) = self.ready_successor.take() {
            info!("{}: handed the listening sockets off to the successor", self.config.name);
            tokio::task::spawn_local(successor.release());
        }
    }

    async fn shut_down(&mut self, exit: Exit) {
        let name = &self.config.name;
        if !self.config.progress.borrow().handed_over {
            self.config.registrations.deregister().await;
            if let Some(coordination) = &self.config.coordination {
                coordination.close_session(SESSION_CLOSE_TIMEOUT).await;
            }
        }
        if self.is_serving() {
            let open = self.config.pools.open_requests();
            info!("{name}: clients are still connected at the end of the graceful shutdown, {open} requests unanswered");
        }
        if let Exit::Failed(count) = exit {
            info!("{name}: {count} requests had no answer in time and were failed");
        }
        if let (Some(path), Some(_)) = (&self.config.daemon.takeover, &self.handoff_listener) {
            // The next process replaces a socket file that is left behind.
            let _ = std::fs::remove_file(path);
        }
    }
}

/// Times of the phases of graceful shutdown, by the settings in `[daemon]`.
fn shutdown_timeouts(daemon: &Daemon) -> ShutdownTimeouts {
    ShutdownTimeouts {
        stop_accepting_after: daemon.accepting,
        close_idle_after: daemon.serving,
        close_announcement: daemon.announcing,
        fail_requests_after: daemon.last_answer,
        exit_after: daemon.end,
        handoff_close_idle_after: daemon.handed_over_silent,
        handoff_fail_requests_after: daemon.handed_over,
    }
}
