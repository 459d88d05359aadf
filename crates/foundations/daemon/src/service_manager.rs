//! Service manager protocol: notifications (`sd_notify(3)`: NOTIFY_SOCKET, WATCHDOG_USEC) and socket activation
//! (`sd_listen_fds(3)`: LISTEN_FDS).
use sd_notify::NotifyState;
use std::io;
use std::net::TcpListener;
use std::sync::mpsc::{sync_channel, SyncSender};
use std::time::Duration;
use thiserror::Error;

/// Maximum number of notifications that are queued for a service manager that does not read; further ones are dropped.
const MAX_QUEUED_NOTIFICATIONS: usize = 16;
/// Minimum interval of watchdog notifications.
const MIN_WATCHDOG_INTERVAL: Duration = Duration::from_millis(1);

/// Error: the sockets that the service manager passed cannot be used.
#[derive(Debug, Error)]
pub enum ActivationError {
    /// The descriptor is not a listening TCP socket.
    #[error("LISTEN_FDS: {0}")]
    NotATcpListener(#[source] io::Error),
    /// This number of sockets was passed; the process listens on one.
    #[error("LISTEN_FDS: {0} sockets were passed, expected 1")]
    TooManySockets(usize),
}

/// A notification to the service manager.
#[derive(Clone, Debug)]
enum Notification {
    /// Ready to serve, with a status text.
    Ready(String),
    Reloading,
    Stopping,
    WatchdogKeepAlive,
}

/// The service manager that started this process.
///
/// A separate thread sends the notifications, so that a full or missing socket never delays requests. They are dropped if
/// there is no service manager or its socket is full.
pub struct ServiceManager {
    watchdog_interval: Option<Duration>,
    notifications: Option<SyncSender<Notification>>,
}

impl ServiceManager {
    /// The service manager named by the environment; without one, all notifications are dropped.
    pub fn from_env() -> ServiceManager {
        let notifications = std::env::var_os("NOTIFY_SOCKET").and_then(|_| spawn_sender());
        // Half of the watchdog timeout, as recommended by sd_watchdog_enabled(3).
        let watchdog_interval =
            sd_notify::watchdog_enabled().map(|timeout| (timeout / 2).max(MIN_WATCHDOG_INTERVAL));
        ServiceManager { watchdog_interval, notifications }
    }

    /// Interval at which [`ServiceManager::notify_watchdog`] has to be called; `None` without a watchdog.
    pub fn watchdog_interval(&self) -> Option<Duration> {
        self.watchdog_interval
    }

    fn notify(&self, notification: Notification) {
        if let Some(notifications) = &self.notifications {
            let _ = notifications.try_send(notification);
        }
    }

    /// Notifies that the process is ready to serve, also after a reload, with a status text.
    pub fn notify_ready(&self, status: String) {
        self.notify(Notification::Ready(status));
    }

    /// Notifies that the process reloads its configuration.
    pub fn notify_reloading(&self) {
        self.notify(Notification::Reloading);
    }

    /// Notifies that the process shuts down.
    pub fn notify_stopping(&self) {
        self.notify(Notification::Stopping);
    }

    /// Notifies the watchdog that the event loop still runs.
    pub fn notify_watchdog(&self) {
        self.notify(Notification::WatchdogKeepAlive);
    }
}

/// Starts the thread that sends notifications; `None` if the system cannot create one.
fn spawn_sender() -> Option<SyncSender<Notification>> {
    let (sender, receiver) = sync_channel(MAX_QUEUED_NOTIFICATIONS);
    let send_all = move || receiver.into_iter().for_each(send);
    std::thread::Builder::new().name("manager".into()).spawn(send_all).ok()?;
    Some(sender)
}

/// Sends a notification; blocks while the socket is full. Errors mean that no process listens, and are ignored.
fn send(notification: Notification) {
    let states = match notification {
        Notification::Ready(status) => {
            let status = status.replace('\n', " ");
            drop(sd_notify::notify(&[NotifyState::Ready, NotifyState::Status(&status)]));
            return;
        }
        // `Type=notify-reload` needs the time stamp.
        Notification::Reloading => match NotifyState::monotonic_usec_now() {
            Ok(stamp) => vec![NotifyState::Reloading, stamp, NotifyState::Status("reloading")],
            Err(_) => vec![NotifyState::Reloading],
        },
        Notification::Stopping => vec![NotifyState::Stopping, NotifyState::Status("stopping")],
        Notification::WatchdogKeepAlive => vec![NotifyState::Watchdog],
    };
    let _ = sd_notify::notify(&states);
}

/// The listener that the service manager passed by socket activation, if any.
///
/// # Errors
/// The descriptor is not a listening TCP socket, or several were passed.
pub fn activated_listener() -> Result<Option<TcpListener>, ActivationError> {
    let mut passed = listenfd::ListenFd::from_env();
    match passed.len() {
        0 => Ok(None),
        1 => passed.take_tcp_listener(0).map_err(ActivationError::NotATcpListener),
        count => Err(ActivationError::TooManySockets(count)),
    }
}
