//! States, events and actions of the lifecycle.
use std::time::Duration;

/// State of the process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum State {
    /// Starting up, or accepting connections without knowing any endpoint.
    Starting,
    /// Serving.
    Ready,
    /// Serving and reloading its configuration.
    Reloading,
    /// Received the stop signal; still accepts and serves connections.
    ShuttingDown,
    /// Accepts no new connections; serves the open ones.
    Draining,
    /// Closes each connection with its next response, and finally the idle ones.
    Closing,
    /// The process exits; all events are ignored.
    Ended,
}

/// Event of a process that takes the listening sockets over.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SuccessorEvent {
    /// The successor requests the sockets.
    Connected,
    /// The successor is ready to serve.
    Ready,
    /// The successor exited or closed its connection.
    Disconnected,
}

/// Input of the state machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Event {
    /// The sockets are listening, bound by this process or received from its predecessor.
    Listening,
    /// Endpoints are known, so that requests can be served.
    EndpointsKnown,
    /// SIGTERM or SIGINT: shut down.
    Stop,
    /// SIGHUP: reload the configuration.
    Reload,
    /// The reload has completed, whether or not the new configuration was accepted.
    Reloaded,
    /// Event of a successor.
    Successor(SuccessorEvent),
    /// The predecessor stopped accepting connections, or exited.
    Released,
    /// Numbers of open requests and connections.
    OpenCounts {
        /// Requests without a final answer.
        requests: usize,
        /// Open connections, including those known to wait in the accept queue.
        connections: usize,
    },
    /// Time has passed; see [`Lifecycle::next_timeout`](crate::Lifecycle::next_timeout).
    Timeout,
}

/// Result with which the process exits.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Exit {
    /// All requests were answered.
    Done,
    /// This number of requests were answered with an error, because no response arrived in time.
    Failed(usize),
}

/// Output of the state machine. The caller executes the actions in order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Action {
    /// Start accepting connections.
    Accept,
    /// Notify the predecessor that this process is ready; [`Event::Released`] follows.
    Claim,
    /// Notify the service manager that the process is ready, also after a reload.
    NotifyReady,
    /// Notify the service manager that the process is reloading.
    NotifyReloading,
    /// Notify the service manager that the process is stopping.
    NotifyStopping,
    /// Read the configuration files again; [`Event::Reloaded`] follows.
    ReadFiles,
    /// Send the listening sockets and the transferable state to the successor; keep serving.
    HandOffListeners,
    /// Reject the successor: another one is connected, or there are no sockets to hand off.
    RejectSuccessor,
    /// Stop accepting connections. Those that already wait are accepted first, or are left to the successor.
    StopAccepting,
    /// Notify the successor that it may accept connections.
    ReleaseSuccessor,
    /// Requests received from now on have to be answered by this time.
    AnswerBy(Duration),
    /// Close each connection with its next response.
    CloseConnections,
    /// Close the idle connections that have carried a request, and each other one as soon as it is idle.
    CloseIdleConnections,
    /// Answer all open requests with an error now.
    FailOpenRequests,
    /// Exit the process.
    Exit(Exit),
    /// Log that this signal no longer has an effect.
    IgnoreSignal(Event),
}
