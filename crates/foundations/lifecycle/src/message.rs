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
    /// Told to stop; accepts and serves connections.
    ShuttingDown,
    /// Accepts no new connections; serves the open ones.
    Draining,
    /// Closes each connection with its next response, and finally the idle ones.
    Closing,
    /// Nothing is left to do.
    Ended,
}

/// Event of a process that takes the listening sockets over.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SuccessorEvent {
    /// It requests the sockets.
    Connected,
    /// It is ready to serve.
    Ready,
    /// It exited or closed its connection.
    Disconnected,
}

/// An input of the state machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Event {
    /// The sockets are listening, bound by this process or received from its predecessor.
    Listening,
    /// Endpoints are known, so that requests can be served.
    EndpointsKnown,
    /// SIGTERM or SIGINT.
    Stop,
    /// SIGHUP.
    Reload,
    /// The reload is finished, whether or not the new configuration was accepted.
    Reloaded,
    /// Event of a successor.
    Successor(SuccessorEvent),
    /// The predecessor stopped accepting connections, or exited.
    Released,
    /// Number of open requests and connections.
    OpenCounts {
        /// Requests without a final answer.
        requests: usize,
        /// Connections, including those known to wait for being accepted.
        connections: usize,
    },
    /// Time has passed; see [`Lifecycle::next_timeout`](crate::Lifecycle::next_timeout).
    Timeout,
}

/// How the process exits.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Exit {
    /// All requests were answered.
    Done,
    /// This number of requests got an error as their final answer, since no response came in time.
    Failed(usize),
}

/// An output of the state machine, to be carried out in order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Action {
    /// Start accepting connections.
    Accept,
    /// Tell the predecessor that this process is ready; [`Event::Released`] answers.
    Claim,
    /// Notify the service manager: ready, also after a reload.
    NotifyReady,
    /// Notify the service manager: reloading.
    NotifyReloading,
    /// Notify the service manager: stopping.
    NotifyStopping,
    /// Read the configuration files again; [`Event::Reloaded`] answers.
    ReadFiles,
    /// Send the listening sockets and the transferable state to the successor; go on serving.
    HandOffListeners,
    /// Reject the successor: there is another one, or no sockets to hand off.
    RejectSuccessor,
    /// Stop accepting connections, after those that already wait, or leave these to the successor.
    StopAccepting,
    /// Tell the successor to accept connections.
    ReleaseSuccessor,
    /// Requests received from now on have to be answered by this time.
    AnswerBy(Duration),
    /// Close each connection with its next response.
    CloseConnections,
    /// Close the connections that have carried a request and are idle, and each other one as soon as it is idle.
    CloseIdleConnections,
    /// Answer all open requests with an error now.
    FailOpenRequests,
    /// Exit the process.
    Exit(Exit),
    /// Log that this signal has no effect any more.
    IgnoreSignal(Event),
}
