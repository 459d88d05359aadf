//! Origin of an instance's listener: a predecessor, the service manager, or a new socket.
use super::error::RunError;
use crate::listener_handoff::protocol::{self, ReceivedListeners};
use crate::listener_handoff::transferred_state::TransferredState;
use crate::node_config::NodeConfig;
use config::operator::Daemon;
use daemon::pid_file::PidFile;
use daemon::service_manager;
use std::os::fd::OwnedFd;
use tokio::net::TcpListener;
use tracing::info;

/// A listener with what came with it.
pub struct ListenerOrigin {
    /// The listening socket.
    pub listener: std::net::TcpListener,
    /// The pid file; `None` while a predecessor holds it.
    pub pid_file: Option<PidFile>,
    /// The predecessor, if there is one.
    pub predecessor: Option<ReceivedListeners>,
    /// Listeners of other fronts, from the predecessor.
    pub other_fronts: Vec<OwnedFd>,
    /// State, from the predecessor.
    pub transferred: Option<TransferredState>,
}

/// Obtains the listener.
///
/// # Errors
/// The address can't be listened on, a socket that was passed has another address, or the pid file is held.
pub async fn obtain_listener(config: &NodeConfig, daemon: &Daemon) -> Result<ListenerOrigin, RunError> {
    let at = |source: std::io::Error| RunError::Listen { address: config.listen, source };
    let fits = |listener: &std::net::TcpListener| {
        let got = listener.local_addr().map_err(at)?;
        let port = config.listen.port() == 0 || config.listen.port() == got.port();
        match port && config.listen.ip() == got.ip() {
            true => listener.set_nonblocking(true).map_err(at),
            false => Err(RunError::PassedListener { got, wanted: config.listen }),
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
    let pid_file = pid_file.map_err(RunError::PidFile)?;
    if let Some(why) = pid_file.as_ref().and_then(PidFile::write_error) {
        info!("daemon.pid_file: {why}");
    }
    let listener = match service_manager::activated_listener()? {
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
