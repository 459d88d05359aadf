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

/// Reason why an instance can't start, must stop, or can't reload its files. Each message is one line that names the file and
/// field, or the address, at fault.
#[derive(Debug, thiserror::Error)]
pub enum RunError {
    /// The platform's configuration can't be used.
    #[error(transparent)]
    NodeConfig(#[from] NodeConfigError),
    /// The operator's file can't be used.
    #[error(transparent)]
    OperatorFile(#[from] ConfigFileError),
    /// The routing table is invalid; contains all of its faults.
    #[error("{0}")]
    RoutingTable(String),
    /// The thread that read the routing table has panicked.
    #[error("routing.table: {0}")]
    TableReader(JoinError),
    /// The routing table has been replaced too often.
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
    /// The socket can't be bound to the address.
    #[error("listen: {address}: {source}")]
    Listen {
        /// Configured address.
        address: SocketAddr,
        /// Error of the operating system.
        source: io::Error,
    },
    /// The local address of the listener can't be determined.
    #[error("listen: {0}")]
    LocalAddress(io::Error),
    /// The instance was created without a listener.
    #[error("listen: there is no listener")]
    NoListener,
    /// The listener is already closed.
    #[error("listen: {0}: the listening socket is already closed")]
    ListenerClosed(SocketAddr),
    /// A listener that was passed to this process is bound to another address than the configured one.
    #[error("listen: the socket passed to this process is bound to {actual} instead of {expected}")]
    PassedListener {
        /// Address of the listener.
        actual: SocketAddr,
        /// Address in the configuration.
        expected: SocketAddr,
    },
    /// The service manager passed sockets that can't be used.
    #[error(transparent)]
    Activation(#[from] ActivationError),
    /// The predecessor did not hand its listener off.
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
    /// The drivers' timers have stopped; without them requests would never time out.
    #[error("the timers stopped: {0}")]
    TimersStopped(String),
}
