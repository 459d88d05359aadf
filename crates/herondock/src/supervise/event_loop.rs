//! Event loop of the supervisor: opens its resources, waits for events and passes them to the driver.
use super::coordination_clients::Coordination;
use super::driver::{Driver, Progress};
use super::error::SupervisorError;
use super::loop_event::LoopEvent;
use super::process::NotifySocket;
use super::FleetPaths;
use config::supervisor::FleetConfig;
use daemon::control::ControlSocket;
use daemon::pid_file::PidFile;
use daemon::signals::{ProcessSignal, Signals};
use std::io;
use std::os::unix::fs::DirBuilderExt;
use supervisor::{Event, ProcessId};
use tokio::sync::mpsc;
use tokio::time::Instant;
use tracing::info;

/// Maximum number of process exits that are queued for the event loop.
const MAX_QUEUED_EXITS: usize = 64;
/// Mode of the fleet's folder: only its owner may access the pid files and sockets.
const FOLDER_MODE: u32 = 0o700;

/// Runs a supervisor until SIGTERM, which leaves the instances running, or until all instances were stopped by command.
///
/// # Errors
/// Another supervisor holds the folder, or a resource cannot be opened.
pub fn run(config: &FleetConfig) -> Result<(), SupervisorError> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime.map_err(SupervisorError::Runtime)?;
    tokio::task::LocalSet::new().block_on(&runtime, async {
        EventLoop::open(config)?.run().await;
        Ok(())
    })
}

struct EventLoop<'a> {
    config: &'a FleetConfig,
    signals: Signals,
    notify_socket: NotifySocket,
    control_socket: ControlSocket,
    exits: mpsc::Receiver<ProcessId>,
    driver: Driver<'a>,
    /// Held until the supervisor exits.
    _lock: PidFile,
}

impl<'a> EventLoop<'a> {
    /// Opens the supervisor's files and sockets, and adopts the instances that run.
    fn open(config: &'a FleetConfig) -> Result<EventLoop<'a>, SupervisorError> {
        let signals = Signals::install()?;
        let paths = FleetPaths(config);
        let folder_error =
            |source: io::Error| SupervisorError::Folder { folder: config.folder.clone(), source };
        create_folder(config).map_err(folder_error)?;
        let lock = PidFile::acquire(&paths.lock())?;
        if let Some(reason) = lock.write_error() {
            info!("fleet: lock file {reason}");
        }
        let notify_socket = NotifySocket::bind(&paths.notify()).map_err(folder_error)?;
        let control_socket = ControlSocket::bind(&paths.control()).map_err(folder_error)?;
        let (exit_sender, exits) = mpsc::channel(MAX_QUEUED_EXITS);
        let coordination = Coordination::connect(config)?;
        let mut driver = Driver::new(config, coordination, exit_sender);
        driver.adopt_running();
        Ok(EventLoop { config, signals, notify_socket, control_socket, exits, driver, _lock: lock })
    }

    async fn run(mut self) {
        let (instances, adopted) = (self.config.instances.len(), self.driver.process_count());
        info!("fleet: started the supervisor of {instances} instances, {adopted} were already running");
        let mut event = Event::Timeout;
        loop {
            if self.driver.handle(event) == Progress::Stopped {
                // Lets the client that sent the command read the reply.
                self.control_socket.close().await;
                return;
            }
            self.driver.publish_balancers();
            self.driver.advance_rollout();
            let wake_at = self.driver.next_timeout();
            event = match self.next_event(wake_at).await {
                LoopEvent::Signal(ProcessSignal::Stop) => break,
                loop_event => self.dispatch(loop_event),
            };
        }
        info!("fleet: the supervisor exits, {} instance processes keep running", self.driver.process_count());
    }

    /// Waits for the next event, until `wake_at` at most.
    async fn next_event(&mut self, wake_at: Option<Instant>) -> LoopEvent {
        let timeout = async {
            match wake_at {
                Some(at) => tokio::time::sleep_until(at).await,
                None => std::future::pending().await,
            }
        };
        tokio::select! {
            signal = self.signals.next() => LoopEvent::Signal(signal),
            Some(process) = self.exits.recv() => LoopEvent::ProcessExited(process),
            notification = self.notify_socket.next() => LoopEvent::Notification(notification),
            event = self.driver.next_coordination_event() => event,
            request = self.control_socket.next() => LoopEvent::Command(request),
            () = timeout => LoopEvent::Timeout,
        }
    }

    /// Handles an event; returns the resulting event of the state machine.
    fn dispatch(&mut self, event: LoopEvent) -> Event {
        match event {
            // SIGHUP has no effect: instances are reloaded by the command `fleet reload` only.
            LoopEvent::Signal(_) | LoopEvent::RolloutChanged | LoopEvent::Timeout => Event::Timeout,
            LoopEvent::ProcessExited(process) => self.driver.process_exited(process),
            LoopEvent::Notification(Ok(notification)) => self.driver.notified(notification),
            LoopEvent::Notification(Err(error)) => {
                info!(
                    "fleet: {}: can't receive notifications of instances: {error}",
                    FleetPaths(self.config).notify().display()
                );
                Event::Timeout
            }
            LoopEvent::LeaseGranted(lease) => self.driver.lease_granted(&lease),
            LoopEvent::LeaseConfirmed { lease, usable } => self.driver.lease_confirmed(&lease, usable),
            LoopEvent::Command(request) => self.driver.command(&request.command, request.reply),
        }
    }
}

fn create_folder(config: &FleetConfig) -> io::Result<()> {
    if config.folder.is_dir() {
        return Ok(());
    }
    std::fs::DirBuilder::new().recursive(true).mode(FOLDER_MODE).create(&config.folder)
}
