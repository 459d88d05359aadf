//! Signals that a daemon handles.
use std::io;
use thiserror::Error;
use tokio::signal::unix::{signal, Signal, SignalKind};

/// Error: a signal handler could not be installed.
#[derive(Debug, Error)]
#[error("cannot install the signal handlers: {0}")]
pub struct SignalError(#[from] io::Error);

/// Request to the daemon that a signal represents.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProcessSignal {
    /// SIGHUP: reload the configuration.
    Reload,
    /// SIGTERM or SIGINT: shut down.
    Stop,
}

/// Installed handlers of SIGHUP, SIGTERM and SIGINT.
pub struct Signals {
    hangup: Signal,
    terminate: Signal,
    interrupt: Signal,
}

impl Signals {
    /// Installs the handlers. Must be called inside a tokio runtime, before anything else: an unhandled signal ends the
    /// process.
    ///
    /// SIGXFSZ is caught as well and not reported: a write beyond the file size limit then fails with EFBIG, as a write
    /// to a full disk fails with ENOSPC, and does not end the process.
    ///
    /// # Errors
    /// The system rejects a handler.
    pub fn install() -> Result<Signals, SignalError> {
        // The handler stays installed when the stream is dropped.
        drop(signal(SignalKind::from_raw(rustix::process::Signal::XFSZ.as_raw()))?);
        Ok(Signals {
            hangup: signal(SignalKind::hangup())?,
            terminate: signal(SignalKind::terminate())?,
            interrupt: signal(SignalKind::interrupt())?,
        })
    }

    /// Waits for the next signal. Cancel safe.
    pub async fn next(&mut self) -> ProcessSignal {
        // The streams do not end while the runtime runs.
        tokio::select! {
            _ = self.terminate.recv() => ProcessSignal::Stop,
            _ = self.interrupt.recv() => ProcessSignal::Stop,
            _ = self.hangup.recv() => ProcessSignal::Reload,
        }
    }
}
