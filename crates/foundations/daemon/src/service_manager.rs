//! The service manager: what it is told (`sd_notify(3)`: NOTIFY_SOCKET, WATCHDOG_USEC) and the sockets that it passes
//! (`sd_listen_fds(3)`: LISTEN_FDS).
use sd_notify::NotifyState;
use std::net::TcpListener;
use std::sync::mpsc::{sync_channel, SyncSender};
use std::time::Duration;

/// News that may wait for a manager that does not read.
const WAITING: usize = 16;

/// What it is told.
#[derive(Clone, Debug)]
enum News {
    /// Ready to serve, and what it does in words.
    Ready(String),
    Reloading,
    Stopping,
    Alive,
}

/// The service manager as this process knows it. It is told from a thread of its own: without one, or when its socket
/// is missing or full, news is lost and nothing waits, for it must not hold up requests.
pub struct ServiceManager {
    watchdog: Option<Duration>,
    tell: Option<SyncSender<News>>,
}

impl ServiceManager {
    /// The one that the environment names, or none.
    pub fn of_environment() -> ServiceManager {
        let tell = std::env::var_os("NOTIFY_SOCKET").and_then(|_| {
            let (tell, told) = sync_channel(WAITING);
            let pass = move || told.into_iter().for_each(pass_on);
            std::thread::Builder::new().name("manager".into()).spawn(pass).ok().map(|_| tell)
        });
        // Twice as often as it wants to hear, as its manual page advises.
        let watchdog = sd_notify::watchdog_enabled().map(|wait| (wait / 2).max(Duration::from_millis(1)));
        ServiceManager { watchdog, tell }
    }

    /// How often it wants to hear that the process works.
    pub fn watchdog(&self) -> Option<Duration> {
        self.watchdog
    }

    fn tell(&self, news: News) {
        if let Some(tell) = &self.tell {
            let _ = tell.try_send(news);
        }
    }

    /// Ready to serve, also after a reload, and what it does in words.
    pub fn ready(&self, status: String) {
        self.tell(News::Ready(status));
    }

    /// Reading the files again.
    pub fn reloading(&self) {
        self.tell(News::Reloading);
    }

    /// Ending.
    pub fn stopping(&self) {
        self.tell(News::Stopping);
    }

    /// The process works: its one thread has come round.
    pub fn alive(&self) {
        self.tell(News::Alive);
    }
}

/// Waits as long as the manager's socket is full; an error means that nobody listens.
fn pass_on(news: News) {
    let states = match news {
        News::Ready(status) => {
            let status = status.replace('\n', " ");
            drop(sd_notify::notify(&[NotifyState::Ready, NotifyState::Status(&status)]));
            return;
        }
        // The time stamp is what `Type=notify-reload` needs.
        News::Reloading => match NotifyState::monotonic_usec_now() {
            Ok(stamp) => vec![NotifyState::Reloading, stamp, NotifyState::Status("reloading")],
            Err(_) => vec![NotifyState::Reloading],
        },
        News::Stopping => vec![NotifyState::Stopping, NotifyState::Status("stopping")],
        News::Alive => vec![NotifyState::Watchdog],
    };
    let _ = sd_notify::notify(&states);
}

/// The listener that the service manager has opened for this process, if it has.
///
/// # Errors
/// What was passed is no listening TCP socket, or there are several.
pub fn activated() -> Result<Option<TcpListener>, String> {
    let mut passed = listenfd::ListenFd::from_env();
    match passed.len() {
        0 => Ok(None),
        1 => passed.take_tcp_listener(0).map_err(|e| format!("LISTEN_FDS: {e}")),
        n => Err(format!("LISTEN_FDS: {n} sockets were passed, and there is one front")),
    }
}
