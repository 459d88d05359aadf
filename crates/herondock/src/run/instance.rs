//! One instance: its lifecycle, and a method for each action that this wants.
use super::event_stream::{EventSender, EventStream, ProcessEvent};
use super::reload::Changes;
use crate::descriptor_budget::DescriptorBudget;
use crate::endpoint_sources::aggregator::EndpointAggregator;
use crate::endpoint_sources::registration::Registrations;
use crate::front::{fastcgi, http::Server, Course, Phase};
use crate::listener_handoff::protocol::{
    Claimant, EndpointsQuery, HandoffListener, HandoffRequest, Successor, Taken,
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
const PID_FILE: Duration = Duration::from_secs(2);
/// How long the end waits for the council to hear of it; its session ends by itself as well.
const LAST_WORD: Duration = Duration::from_millis(200);

/// What an instance consists of.
pub struct Wiring {
    /// What it calls itself.
    pub name: String,
    /// When the process began.
    pub start: Instant,
    /// Tells its settings from others.
    pub fingerprint: u64,
    /// `[daemon]` of the operator's file, and what the command line put in its place.
    pub daemon: Daemon,
    /// The service manager.
    pub manager: ServiceManager,
    /// The driver.
    pub handle: Pools,
    /// The view of members.
    pub members: EndpointAggregator<Pools>,
    /// This instance in registries.
    pub registrations: Registrations,
    /// The front.
    pub server: Rc<Server>,
    /// The front for FastCGI.
    pub side: Rc<fastcgi::Server>,
    /// All descriptors.
    pub budget: DescriptorBudget,
    /// How far its end has come, as the front sees it.
    pub course: watch::Sender<Course>,
    /// What may change while it runs.
    pub changes: Changes,
    /// The listener; see `origin.rs`.
    pub listener: std::net::TcpListener,
    /// The pid file, unless a predecessor still holds it.
    pub pid_file: Option<PidFile>,
    /// Where its tasks tell what happens.
    pub tell: EventSender,
    /// Its part in the council, if it has one.
    pub council: Option<ClientHandle>,
    /// How it stands, as others in the council are told.
    pub stands: watch::Sender<disruption::InstanceState>,
}

/// A running instance.
pub struct Instance {
    name: String,
    address: SocketAddr,
    start: Instant,
    fingerprint: u64,
    daemon: Daemon,
    manager: ServiceManager,
    handle: Pools,
    members: EndpointAggregator<Pools>,
    registrations: Registrations,
    server: Rc<Server>,
    side: Rc<fastcgi::Server>,
    budget: DescriptorBudget,
    course: watch::Sender<Course>,
    changes: Changes,
    tell: EventSender,
    council: Option<ClientHandle>,
    stands: watch::Sender<disruption::InstanceState>,
    life: Lifecycle,
    /// One to pass on, besides the one that is accepted on.
    listener: Option<std::net::TcpListener>,
    pid_file: Option<PidFile>,
    /// Lets the claim go to the predecessor.
    claim: Option<oneshot::Sender<()>>,
    /// Finds those that ask for the sockets.
    holder: Option<AbortHandle>,
    comer: Option<Successor>,
    claimant: Rc<RefCell<Option<Claimant>>>,
    served: Option<JoinHandle<()>>,
    /// Why the files were not taken when they were read last.
    refused: Option<String>,
}

impl Instance {
    /// An instance that has not begun to accept; with `taken`, it succeeds another.
    ///
    /// # Errors
    /// The listener has no address.
    pub fn new(wiring: Wiring, taken: Option<Taken>) -> Result<Instance, String> {
        let Wiring { name, start, fingerprint, daemon, manager, handle, server, budget, .. } = wiring;
        let Wiring {
            side,
            members,
            registrations,
            course,
            changes,
            listener,
            pid_file,
            tell,
            council,
            stands,
            ..
        } = wiring;
        let address = listener.local_addr().map_err(|e| format!("listen: {e}"))?;
        let Daemon {
            accepting, serving, announcing, last_answer, end, handed_over_silent, handed_over, ..
        } = daemon;
        let figures = ShutdownTimeouts {
            stop_accepting_after: accepting,
            close_idle_after: serving,
            close_announcement: announcing,
            fail_requests_after: last_answer,
            exit_after: end,
            handoff_close_idle_after: handed_over_silent,
            handoff_fail_requests_after: handed_over,
        };
        let life = if taken.is_some() { Lifecycle::new_successor(figures) } else { Lifecycle::new(figures) };
        let (claim, claimed) = oneshot::channel::<()>();
        let instance = Instance {
            name,
            address,
            start,
            fingerprint,
            daemon,
            manager,
            handle,
            members,
            registrations,
            server,
            side,
            budget,
            course,
            changes,
            tell,
            council,
            stands,
            life,
            listener: Some(listener),
            pid_file,
            claim: Some(claim),
            holder: None,
            comer: None,
            claimant: Rc::default(),
            served: None,
            refused: None,
        };
        if let Some(taken) = taken {
            instance.awaits_release(taken, claimed);
        }
        instance.awaits_members();
        Ok(instance)
    }

    /// Tells the lifecycle once the predecessor accepts nothing any more.
    fn awaits_release(&self, taken: Taken, claimed: oneshot::Receiver<()>) {
        let tell = self.tell.events.clone();
        tokio::task::spawn_local(async move {
            let ready = async {
                // Guards against a process that ends before it is ready: that it will not claim any more is no claim.
                if claimed.await.is_err() {
                    std::future::pending::<()>().await;
                }
            };
            taken.released(ready).await;
            let _ = tell.send(Event::Released).await;
        });
    }

    /// Tells the lifecycle once upstreams are known.
    fn awaits_members(&self) {
        let (tell, handle) = (self.tell.events.clone(), self.handle.clone());
        tokio::task::spawn_local(async move {
            handle.known().await;
            let _ = tell.send(Event::EndpointsKnown).await;
        });
    }

    /// Lives to its end.
    ///
    /// # Errors
    /// The listener can't be used, or the timers stopped.
    pub async fn live(mut self, mut inbox: EventStream) -> Result<(), String> {
        let mut actions = Vec::new();
        let mut event = Event::Listening;
        loop {
            self.life.handle(self.start.elapsed(), event, &mut actions);
            for action in actions.drain(..) {
                self.perform(action, event).await?;
            }
            if self.life.state() == State::Ended {
                return Ok(());
            }
            let came = inbox.next(self.wake(), self.ending()).await?;
            event = self.came(came);
        }
    }

    /// What has come, as the lifecycle is told of it.
    fn came(&mut self, came: ProcessEvent) -> Event {
        match came {
            ProcessEvent::Event(event) => event,
            ProcessEvent::Count => self.counts(),
            ProcessEvent::Beat => {
                self.manager.notify_watchdog();
                Event::Timeout
            }
            ProcessEvent::Asked(HandoffRequest::Members(asker)) => {
                self.tells_members(asker);
                Event::Timeout
            }
            // The lifecycle says what it gets.
            ProcessEvent::Asked(HandoffRequest::Sockets(comer)) => {
                self.comer = Some(comer);
                Event::Successor(SuccessorEvent::Connected)
            }
        }
    }

    /// When its lifecycle wants to be told of the time.
    fn wake(&self) -> Option<Instant> {
        self.life.next_timeout().map(|wake| self.start + wake)
    }

    /// Whether it was told to end, so that what is open is to be counted.
    fn ending(&self) -> bool {
        self.life.state() >= State::ShuttingDown
    }

    /// What is open now.
    fn counts(&self) -> Event {
        let connections = self.budget.callers().max(usize::from(self.serving()));
        Event::OpenCounts { requests: self.handle.open(), connections }
    }

    /// Whether callers are connected, or may be accepted.
    fn serving(&self) -> bool {
        self.served.as_ref().is_some_and(|served| !served.is_finished())
    }

    /// Tells whoever asks at the Unix socket of the members.
    fn tells_members(&self, asker: EndpointsQuery) {
        // Texts and numbers only: this can't fail.
        let view = serde_json::to_vec(&self.members.status()).unwrap_or_default();
        tokio::task::spawn_local(asker.answer(view));
    }

    async fn perform(&mut self, action: Action, because: Event) -> Result<(), String> {
        match action {
            Action::Accept => self.accept().await?,
            Action::Claim => drop(self.claim.take().map(|claim| claim.send(()))),
            Action::NotifyReady => self.tell_ready(),
            Action::NotifyReloading => self.manager.notify_reloading(),
            Action::NotifyStopping => self.tell_stopping(because),
            Action::ReadFiles => self.read_files().await,
            Action::HandOffListeners => self.hand_over()?,
            Action::RejectSuccessor => self.refuse(),
            Action::StopAccepting => self.stop_accepting(),
            Action::ReleaseSuccessor => self.release(),
            Action::AnswerBy(at) => self.handle.ends_by(at.saturating_sub(self.start.elapsed())),
            Action::CloseConnections => self.comes_to(Phase::Closing),
            Action::CloseIdleConnections => self.comes_to(Phase::Silencing),
            Action::FailOpenRequests => self.handle.fail_open(),
            Action::IgnoreSignal(event) => info!("{}: {event:?} comes too late, it is ending", self.name),
            Action::Exit(exit) => self.end(exit).await,
        }
        Ok(())
    }

    fn another_listener(&self) -> Result<std::net::TcpListener, String> {
        let address = self.address;
        match &self.listener {
            Some(listener) => listener.try_clone().map_err(|e| format!("listen: {address}: {e}")),
            None => Err(format!("listen: {address}: closed already")),
        }
    }

    async fn accept(&mut self) -> Result<(), String> {
        let address = self.address;
        let accepting = TcpListener::from_std(self.another_listener()?);
        let accepting = accepting.map_err(|e| format!("listen: {address}: {e}"))?;
        self.served = Some(tokio::task::spawn_local(self.server.clone().run(accepting)));
        self.side.begin()?;
        if let (Some(path), None) = (&self.daemon.pid_file, &self.pid_file) {
            match PidFile::acquire_with_timeout(path, PID_FILE).await {
                Ok(file) => {
                    if let Some(why) = file.write_error() {
                        info!("daemon.pid_file: {why}");
                    }
                    self.pid_file = Some(file);
                }
                // It serves by now; to end would harm more than a file that somebody else holds.
                Err(message) => info!("daemon.pid_file: {message}"),
            }
        }
        if let Some(path) = &self.daemon.takeover {
            match HandoffListener::bind(path) {
                Ok(bound) => {
                    let found = self.tell.asked.clone();
                    let seek = async move { while found.send(bound.next().await).await.is_ok() {} };
                    self.holder = Some(tokio::task::spawn_local(seek).abort_handle());
                }
                Err(message) => info!("{message}"),
            }
        }
        info!("{}: serving on {address}", self.name);
        Ok(())
    }

    fn tell_ready(&self) {
        self.stands.send_replace(disruption::InstanceState::Ready);
        self.registrations.set_desired_state(DesiredState::Passing);
        self.manager.notify_ready(match &self.refused {
            None => format!("serving on {}", self.address),
            Some(why) => format!("not reloaded: {why}"),
        });
    }

    fn tell_stopping(&self, because: Event) {
        self.manager.notify_stopping();
        self.stands.send_replace(disruption::InstanceState::ShuttingDown);
        // Whoever asks whether it is ready hears that it is not.
        self.comes_to(Phase::Leaving);
        // After a hand-over the successor is what is registered here.
        if because == Event::Stop {
            self.registrations.set_desired_state(DesiredState::ShuttingDown);
            info!("{}: told to end", self.name);
        }
    }

    async fn read_files(&mut self) {
        self.refused = self.changes.read_again().await.err();
        match &self.refused {
            None => info!("reloaded"),
            Some(why) => info!("not reloaded: {why}"),
        }
        // There is room: at most one reload goes on.
        let _ = self.tell.events.try_send(Event::Reloaded);
    }

    /// Passes the listener on, and what goes along, while it serves on.
    fn hand_over(&mut self) -> Result<(), String> {
        let Some(comer) = self.comer.take() else { return Ok(()) };
        info!("{}: {} asks for the sockets", self.name, comer.name);
        let along =
            TransferredState::new(self.fingerprint, self.members.cache(), self.handle.learned()).write();
        let mut passed = vec![OwnedFd::from(self.another_listener()?)];
        passed.extend(self.side.listeners()?);
        let (tell, claimant) = (self.tell.events.clone(), self.claimant.clone());
        tokio::task::spawn_local(async move {
            let what = match comer.pass(passed, &along).await {
                Ok(ready) => {
                    claimant.replace(Some(ready));
                    SuccessorEvent::Ready
                }
                Err(e) => {
                    info!("the take-over came to nothing: {e}");
                    SuccessorEvent::Disconnected
                }
            };
            let _ = tell.send(Event::Successor(what)).await;
        });
        Ok(())
    }

    fn refuse(&mut self) {
        if let Some(comer) = self.comer.take() {
            let why = "another process is taking over, or this one is ending";
            tokio::task::spawn_local(comer.refuse(why));
        }
    }

    fn stop_accepting(&mut self) {
        // Guards against callers whose connections the system would go on taking, for nobody.
        self.listener = None;
        self.side.close();
        let handed_over = self.claimant.borrow().is_some();
        self.course.send_modify(|course| course.handed_over = handed_over);
        self.comes_to(Phase::Draining);
    }

    /// The front is to go on to this phase.
    fn comes_to(&self, phase: Phase) {
        self.course.send_modify(|course| course.phase = course.phase.max(phase));
    }

    /// Gives up all that the successor needs, and tells it to accept.
    fn release(&mut self) {
        self.pid_file = None;
        if let Some(holder) = self.holder.take() {
            holder.abort();
        }
        if let Some(claimant) = self.claimant.take() {
            info!("{}: the sockets are another process's now", self.name);
            tokio::task::spawn_local(claimant.release());
        }
    }

    async fn end(&mut self, exit: Exit) {
        if !self.course.borrow().handed_over {
            self.registrations.deregister().await;
            if let Some(council) = &self.council {
                council.close_session(LAST_WORD).await;
            }
        }
        if self.serving() {
            let open = self.handle.open();
            info!("{}: callers are still connected at the end, {open} requests unanswered", self.name);
        }
        if let Exit::Failed(n) = exit {
            info!("{}: {n} requests had no answer in time and were failed", self.name);
        }
        if let (Some(path), Some(_)) = (&self.daemon.takeover, &self.holder) {
            // What stays behind is no obstacle.
            let _ = std::fs::remove_file(path);
        }
    }
}
