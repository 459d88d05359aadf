//! Obtains the listener of an instance: from a predecessor, from the service manager, or as a new socket.
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

/// Listener of an instance, with what its origin passed along.
pub struct ListenerOrigin {
    /// Listening socket.
    pub listener: std::net::TcpListener,
    /// Pid file; `None` if there is none, or while a predecessor holds it.
    pub pid_file: Option<PidFile>,
    /// Predecessor, if it hands its listeners off.
    pub predecessor: Option<ReceivedListeners>,
    /// Listeners of other fronts that the predecessor handed off.
    pub other_fronts: Vec<OwnedFd>,
    /// State that the predecessor transferred; `None` if there is none or it is for other settings.
    pub transferred: Option<TransferredState>,
}

/// Obtains the listener from a predecessor at `daemon.takeover`, else from the service manager, else binds a new socket.
///
/// # Errors
/// The socket can't be bound, a socket that was passed has another address, the handoff failed, or the pid file can't be
/// acquired.
pub async fn obtain_listener(config: &NodeConfig, daemon: &Daemon) -> Result<ListenerOrigin, RunError> {
    let listen_error = |source: std::io::Error| RunError::Listen { address: config.listen, source };
    let prepare = |listener: &std::net::TcpListener| {
        let actual = listener.local_addr().map_err(listen_error)?;
        let same_port = config.listen.port() == 0 || config.listen.port() == actual.port();
        match same_port && config.listen.ip() == actual.ip() {
            true => listener.set_nonblocking(true).map_err(listen_error),
            false => Err(RunError::PassedListener { actual, expected: config.listen }),
        }
    };
    let received = match &daemon.takeover {
        Some(path) => protocol::request_listeners(path, &config.name).await?,
        None => None,
    };
    if let Some(mut predecessor) = received {
        prepare(&predecessor.listener)?;
        let listener = predecessor.listener.try_clone().map_err(listen_error)?;
        let state = TransferredState::decode(&predecessor.state, config.fingerprint);
        let other_listeners = std::mem::take(&mut predecessor.other_fronts);
        return Ok(ListenerOrigin {
            listener,
            pid_file: None,
            predecessor: Some(predecessor),
            other_fronts: other_listeners,
            transferred: state,
        });
    }
    let pid_file = daemon.pid_file.as_deref().map(PidFile::acquire).transpose();
    let pid_file = pid_file.map_err(RunError::PidFile)?;
    if let Some(error) = pid_file.as_ref().and_then(PidFile::write_error) {
        info!("daemon.pid_file: {error}");
    }
    let listener = match service_manager::activated_listener()? {
        Some(listener) => {
            prepare(&listener)?;
            listener
        }
        None => {
            let listener = TcpListener::bind(config.listen).await.map_err(listen_error)?;
            listener.into_std().map_err(listen_error)?
        }
    };
    Ok(ListenerOrigin { listener, pid_file, predecessor: None, other_fronts: Vec::new(), transferred: None })
}
