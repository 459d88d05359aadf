//! Errors of an instance.
use crate::front::fastcgi::ListenerError;
use crate::listener_handoff::protocol::HandoffError;
use crate::node_config::NodeConfigError;
use crate::request_budgets::SecretError;
use crate::routing::TooManyTableChanges;
use balancer::SettingsError;
use config::file::ConfigFileError;
use daemon::pid_file::PidFileError;
use daemon::service_manager::ActivationError;
use daemon::signals::SignalError;
use std::io;
use std::net::SocketAddr;
use tokio::task::JoinError;

/// Why an instance can't start or go on, or can't reload its files. Each message is one line that names the file and field, or
/// the address, at fault.
#[derive(Debug, thiserror::Error)]
pub enum RunError {
    /// The platform's configuration can't be used.
    #[error(transparent)]
    NodeConfig(#[from] NodeConfigError),
    /// The operator's file can't be used.
    #[error(transparent)]
    OperatorFile(#[from] ConfigFileError),
    /// The routing table can't be used: all that is wrong with it.
    #[error("{0}")]
    RoutingTable(String),
    /// The thread that read the routing table has panicked.
    #[error("routing.table: {0}")]
    TableReader(JoinError),
    /// The routing table has changed too often.
    #[error(transparent)]
    TableChanges(#[from] TooManyTableChanges),
    /// A reload changes keys that are fixed while the process runs.
    #[error("{0}: can't change while the program runs")]
    FixedKeys(String),
    /// The decision module rejects the settings.
    #[error(transparent)]
    Settings(#[from] SettingsError),
    /// The secret of request budgets can't be read.
    #[error(transparent)]
    Secret(#[from] SecretError),
    /// The address can't be listened on.
    #[error("listen: {address}: {source}")]
    Listen {
        /// The address.
        address: SocketAddr,
        /// The system's error.
        source: io::Error,
    },
    /// The listener has no address.
    #[error("listen: {0}")]
    LocalAddress(io::Error),
    /// There is no listener.
    #[error("listen: there is no listener")]
    NoListener,
    /// The listener is closed already.
    #[error("listen: {0}: closed already")]
    ListenerClosed(SocketAddr),
    /// A listener that was passed to this process has another address than the configuration's.
    #[error("listen: the socket that was passed is at {got} and not at {wanted}")]
    PassedListener {
        /// Address of the listener.
        got: SocketAddr,
        /// Address of the configuration.
        wanted: SocketAddr,
    },
    /// The service manager passed sockets that can't be used.
    #[error(transparent)]
    Activation(#[from] ActivationError),
    /// A predecessor did not hand its listener off.
    #[error(transparent)]
    Handoff(#[from] HandoffError),
    /// The FastCGI front can't listen.
    #[error(transparent)]
    FastCgi(#[from] ListenerError),
    /// The pid file can't be acquired.
    #[error("daemon.pid_file: {0}")]
    PidFile(PidFileError),
    /// Signal handlers can't be installed.
    #[error(transparent)]
    Signals(#[from] SignalError),
    /// The asynchronous runtime can't be built.
    #[error("{0}")]
    Runtime(io::Error),
    /// The instance's task has panicked.
    #[error("{0}")]
    Task(JoinError),
    /// The drivers' timers have stopped, without which no request would end.
    #[error("the timers stopped: {0}")]
    TimersStopped(String),
}
