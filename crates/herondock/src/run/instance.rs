//! One running instance: its lifecycle decides, and each of its actions is performed here.
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

/// How long the pid file of a predecessor that has passed its sockets on is waited for.
const PID_FILE_TIMEOUT: Duration = Duration::from_secs(2);
/// How long the exit waits for the coordination service to close the session; it expires by itself as well.
const SESSION_CLOSE_TIMEOUT: Duration = Duration::from_millis(200);

/// What an instance consists of.
pub struct InstanceConfig {
    /// Its name.
    pub name: String,
    /// When the process began.
    pub start: Instant,
    /// Hash of the platform's settings: a successor uses transferred state only if its settings have the same.
    pub fingerprint: u64,
    /// `[daemon]` of the operator's file, with what the command line put in its place.
    pub daemon: Daemon,
    /// The service manager.
    pub manager: ServiceManager,
    /// The pools and their drivers.
    pub pools: Pools,
    /// The endpoints of all sources.
    pub members: EndpointAggregator<Pools>,
    /// Registrations of this instance in service discovery.
    pub registrations: Registrations,
    /// The front for HTTP.
    pub http_front: Rc<HttpFront>,
    /// The front for FastCGI.
    pub fastcgi_front: Rc<FastCgiFront>,
    /// Descriptors of the process.
    pub descriptors: DescriptorBudget,
    /// Tells the fronts how far a graceful shutdown has come.
    pub progress: watch::Sender<ShutdownProgress>,
    /// Applies changed files.
    pub reloader: Reloader,
    /// A handle of the listening socket to accept on and to pass on; `None` once accepting has stopped.
    pub listener: Option<std::net::TcpListener>,
    /// The pid file, unless a predecessor still holds it.
    pub pid_file: Option<PidFile>,
    /// Receives the events of the instance's tasks.
    pub sender: EventSender,
    /// Client of the coordination service, if the instance has one.
    pub coordination: Option<ClientHandle>,
    /// State of the instance as reported to the coordination service.
    pub states: watch::Sender<disruption::InstanceState>,
}

/// A running instance.
pub struct Instance {
    config: InstanceConfig,
    address: SocketAddr,
    lifecycle: Lifecycle,
    /// Sends the claim of the sockets to the predecessor.
    claim: Option<oneshot::Sender<()>>,
    /// The task that receives requests for a handoff.
    handoff_listener: Option<AbortHandle>,
    /// A process that has asked for the sockets.
    successor: Option<Successor>,
    /// The same, once it could serve.
    ready_successor: Rc<RefCell<Option<ReadySuccessor>>>,
    /// The HTTP front's task.
    http_task: Option<JoinHandle<()>>,
    /// Why the last reload was rejected.
    reload_error: Option<RunError>,
}

impl Instance {
    /// An instance that does not accept yet; with a predecessor, it takes the sockets over from it.
    ///
    /// # Errors
    /// The listener has no address.
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

    /// Reports to the lifecycle once the predecessor accepts no connections any more.
    fn wait_for_release(&self, predecessor: ReceivedListeners, claimed: oneshot::Receiver<()>) {
        let events = self.config.sender.events.clone();
        tokio::task::spawn_local(async move {
            let ready = async {
                // Guards against a process that ends before it is ready: a sender that is dropped is no claim.
                if claimed.await.is_err() {
                    std::future::pending::<()>().await;
                }
            };
            predecessor.wait_until_released(ready).await;
            let _ = events.send(Event::Released).await;
        });
    }

    /// Reports to the lifecycle once endpoints are known.
    fn wait_for_endpoints(&self) {
        let (events, pools) = (self.config.sender.events.clone(), self.config.pools.clone());
        tokio::task::spawn_local(async move {
            pools.wait_for_endpoints().await;
            let _ = events.send(Event::EndpointsKnown).await;
        });
    }

    /// Runs until the lifecycle has ended.
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

    /// Handles an event of the process, and what of it the lifecycle is told.
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
            // The lifecycle decides whether it gets the sockets.
            ProcessEvent::Handoff(HandoffRequest::Listeners(successor)) => {
                self.successor = Some(successor);
                Event::Successor(SuccessorEvent::Connected)
            }
        }
    }

    /// When the lifecycle's next timeout is due.
    fn next_timeout(&self) -> Option<Instant> {
        self.lifecycle.next_timeout().map(|wake| self.config.start + wake)
    }

    /// Whether a graceful shutdown goes on, so that open requests and connections are counted.
    fn is_shutting_down(&self) -> bool {
        self.lifecycle.state() >= State::ShuttingDown
    }

    /// The requests and connections that are open now.
    fn open_counts(&self) -> Event {
        let connections = self.config.descriptors.callers().max(usize::from(self.is_serving()));
        Event::OpenCounts { requests: self.config.pools.open_requests(), connections }
    }

    /// Whether clients are connected, or may be accepted.
    fn is_serving(&self) -> bool {
        self.http_task.as_ref().is_some_and(|task| !task.is_finished())
    }

    /// Answers a query for the endpoints at the Unix socket.
    fn answer_endpoints(&self, query: EndpointsQuery) {
        // Texts and numbers only: this can't fail.
        let endpoints = serde_json::to_vec(&self.config.members.status()).unwrap_or_default();
        tokio::task::spawn_local(query.answer(endpoints));
    }

    async fn perform(&mut self, action: Action, because: Event) -> Result<(), RunError> {
        match action {
            Action::Accept => self.accept().await?,
            Action::Claim => drop(self.claim.take().map(|claim| claim.send(()))),
            Action::NotifyReady => self.notify_ready(),
            Action::NotifyReloading => self.config.manager.notify_reloading(),
            Action::NotifyStopping => self.notify_stopping(because),
            Action::ReadFiles => self.reload().await,
            Action::HandOffListeners => self.hand_off_listeners()?,
            Action::RejectSuccessor => self.reject_successor(),
            Action::StopAccepting => self.stop_accepting(),
            Action::ReleaseSuccessor => self.release_successor(),
            Action::AnswerBy(at) => {
                self.config.pools.set_answer_timeout(at.saturating_sub(self.config.start.elapsed()));
            }
            Action::CloseConnections => self.advance_to(ShutdownPhase::ClosingConnections),
            Action::CloseIdleConnections => self.advance_to(ShutdownPhase::ClosingIdle),
            Action::FailOpenRequests => self.config.pools.fail_open_requests(),
            Action::IgnoreSignal(event) => {
                info!("{}: {event:?} comes too late, it is ending", self.config.name);
            }
            Action::Exit(exit) => self.shut_down(exit).await,
        }
        Ok(())
    }

    /// Another handle of the listening socket.
    fn clone_listener(&self) -> Result<std::net::TcpListener, RunError> {
        let address = self.address;
        match &self.config.listener {
            Some(listener) => listener.try_clone().map_err(|source| RunError::Listen { address, source }),
            None => Err(RunError::ListenerClosed(address)),
        }
    }

    async fn accept(&mut self) -> Result<(), RunError> {
        let address = self.address;
        let accepting = TcpListener::from_std(self.clone_listener()?);
        let accepting = accepting.map_err(|source| RunError::Listen { address, source })?;
        self.http_task = Some(tokio::task::spawn_local(self.config.http_front.clone().run(accepting)));
        self.config.fastcgi_front.start_accepting()?;
        self.take_pid_file().await;
        self.listen_for_successors();
        info!("{}: serving on {address}", self.config.name);
        Ok(())
    }

    /// Takes the pid file, where a predecessor held it until it had passed its sockets on. Without it the instance serves on:
    /// to exit would harm more than a file that another process holds.
    async fn take_pid_file(&mut self) {
        let (Some(path), None) = (&self.config.daemon.pid_file, &self.config.pid_file) else { return };
        match PidFile::acquire_with_timeout(path, PID_FILE_TIMEOUT).await {
            Ok(file) => {
                if let Some(why) = file.write_error() {
                    info!("daemon.pid_file: {why}");
                }
                self.config.pid_file = Some(file);
            }
            Err(message) => info!("daemon.pid_file: {message}"),
        }
    }

    fn listen_for_successors(&mut self) {
        let Some(path) = &self.config.daemon.takeover else { return };
        match HandoffListener::bind(path) {
            Ok(bound) => {
                let requests = self.config.sender.handoff_requests.clone();
                let receive = async move { while requests.send(bound.next().await).await.is_ok() {} };
                self.handoff_listener = Some(tokio::task::spawn_local(receive).abort_handle());
            }
            Err(message) => info!("{message}"),
        }
    }

    fn notify_ready(&self) {
        self.config.states.send_replace(disruption::InstanceState::Ready);
        self.config.registrations.set_desired_state(DesiredState::Passing);
        self.config.manager.notify_ready(match &self.reload_error {
            None => format!("serving on {}", self.address),
            Some(why) => format!("not reloaded: {why}"),
        });
    }

    fn notify_stopping(&self, because: Event) {
        self.config.manager.notify_stopping();
        self.config.states.send_replace(disruption::InstanceState::ShuttingDown);
        // From now on the readiness check fails.
        self.advance_to(ShutdownPhase::Announced);
        // After a handoff the successor is what is registered here.
        if because == Event::Stop {
            self.config.registrations.set_desired_state(DesiredState::ShuttingDown);
            info!("{}: told to end", self.config.name);
        }
    }

    async fn reload(&mut self) {
        self.reload_error = self.config.reloader.reload().await.err();
        match &self.reload_error {
            None => info!("reloaded"),
            Some(why) => info!("not reloaded: {why}"),
        }
        // There is room: at most one reload goes on.
        let _ = self.config.sender.events.try_send(Event::Reloaded);
    }

    /// Passes the listeners and the transferred state to the successor, while this process serves on.
    fn hand_off_listeners(&mut self) -> Result<(), RunError> {
        let Some(successor) = self.successor.take() else { return Ok(()) };
        info!("{}: {} asks for the sockets", self.config.name, successor.name);
        let (endpoints, learned) = (self.config.members.cache(), self.config.pools.learned());
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
                Err(e) => {
                    info!("the take-over came to nothing: {e}");
                    SuccessorEvent::Disconnected
                }
            };
            let _ = events.send(Event::Successor(event)).await;
        });
        Ok(())
    }

    fn reject_successor(&mut self) {
        if let Some(successor) = self.successor.take() {
            let why = "another process is taking over, or this one is ending";
            tokio::task::spawn_local(successor.reject(why));
        }
    }

    fn stop_accepting(&mut self) {
        // Guards against clients whose connections the system would go on accepting, for nobody.
        self.config.listener = None;
        self.config.fastcgi_front.close();
        let handed_over = self.ready_successor.borrow().is_some();
        self.config.progress.send_modify(|progress| progress.handed_over = handed_over);
        self.advance_to(ShutdownPhase::Draining);
    }

    /// Advances the fronts to this phase of graceful shutdown.
    fn advance_to(&self, phase: ShutdownPhase) {
        self.config.progress.send_modify(|progress| progress.phase = progress.phase.max(phase));
    }

    /// Gives up all that the successor needs, and tells it to accept.
    fn release_successor(&mut self) {
        self.config.pid_file = None;
        if let Some(task) = self.handoff_listener.take() {
            task.abort();
        }
        if let Some(successor) = self.ready_successor.take() {
            info!("{}: the sockets are another process's now", self.config.name);
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
            info!("{name}: callers are still connected at the end, {open} requests unanswered");
        }
        if let Exit::Failed(n) = exit {
            info!("{name}: {n} requests had no answer in time and were failed");
        }
        if let (Some(path), Some(_)) = (&self.config.daemon.takeover, &self.handoff_listener) {
            // A file that stays behind is no obstacle to the next process.
            let _ = std::fs::remove_file(path);
        }
    }
}

/// The phases of graceful shutdown, as the lifecycle takes them.
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
