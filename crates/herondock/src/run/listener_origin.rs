//! Where an instance's listener comes from.
use crate::listener_handoff::protocol::{self, ReceivedListeners};
use crate::listener_handoff::transferred_state::TransferredState;
use crate::node_config::NodeConfig;
use config::operator::Daemon;
use daemon::pid_file::PidFile;
use daemon::service_manager;
use std::os::fd::OwnedFd;
use tokio::net::TcpListener;
use tracing::info;

/// Where the listener comes from.
pub struct ListenerOrigin {
    /// Bound, and listening.
    pub listener: std::net::TcpListener,
    /// Not yet, where a predecessor holds it until it has passed its sockets on.
    pub pid_file: Option<PidFile>,
    /// The predecessor, where there is one.
    pub predecessor: Option<ReceivedListeners>,
    /// Listeners of other fronts that a predecessor passed on.
    pub other_fronts: Vec<OwnedFd>,
    /// What came along with them.
    pub transferred: Option<TransferredState>,
}

/// The listener: of a predecessor that runs, of the service manager, or a new one.
///
/// # Errors
/// One line: the address can't be listened on, what was passed does not fit, or the pid file is held.
pub async fn origin(config: &NodeConfig, daemon: &Daemon) -> Result<ListenerOrigin, String> {
    let at = |e: std::io::Error| format!("listen: {}: {e}", config.listen);
    let fits = |listener: &std::net::TcpListener| {
        let got = listener.local_addr().map_err(at)?;
        let port = config.listen.port() == 0 || config.listen.port() == got.port();
        match port && config.listen.ip() == got.ip() {
            true => listener.set_nonblocking(true).map_err(at),
            false => {
                Err(format!("listen: the socket that was passed is at {got} and not at {}", config.listen))
            }
        }
    };
    let asked = match &daemon.takeover {
        Some(path) => protocol::request_listeners(path, &config.name).await?,
        None => None,
    };
    if let Some(mut taken) = asked {
        fits(&taken.listener)?;
        let listener = taken.listener.try_clone().map_err(at)?;
        let along = TransferredState::decode(&taken.state, config.fingerprint);
        let others = std::mem::take(&mut taken.other_fronts);
        return Ok(ListenerOrigin {
            listener,
            pid_file: None,
            predecessor: Some(taken),
            other_fronts: others,
            transferred: along,
        });
    }
    let pid_file = daemon.pid_file.as_deref().map(PidFile::acquire).transpose();
    let pid_file = pid_file.map_err(|e| format!("daemon.pid_file: {e}"))?;
    if let Some(why) = pid_file.as_ref().and_then(PidFile::write_error) {
        info!("daemon.pid_file: {why}");
    }
    let listener = match service_manager::activated_listener().map_err(|e| e.to_string())? {
        Some(listener) => {
            fits(&listener)?;
            listener
        }
        None => {
            let listener = TcpListener::bind(config.listen).await.map_err(at)?;
            listener.into_std().map_err(at)?
        }
    };
    Ok(ListenerOrigin { listener, pid_file, predecessor: None, other_fronts: Vec::new(), transferred: None })
}
