//! The signals that a daemon catches.
use tokio::signal::unix::{signal, Signal, SignalKind};

/// What a signal tells a daemon.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProcessSignal {
    /// SIGHUP: to read its files again.
    Reload,
    /// SIGTERM or SIGINT: to end.
    Stop,
}

/// Signals that are caught.
pub struct Signals {
    hup: Signal,
    term: Signal,
    int: Signal,
}

impl Signals {
    /// Catches them from now on. SIGXFSZ as well, of which nothing is told: a write that would take a file over the
    /// limit of its size then fails with EFBIG, as one on a full disk does with ENOSPC, and does not end the process.
    /// To be called before anything else, in a runtime: a signal that is not caught ends the program.
    ///
    /// # Errors
    /// The system does not let them be caught.
    pub fn caught() -> Result<Signals, String> {
        let caught = |kind| signal(kind).map_err(|e| format!("signals: {e}"));
        // Caught for good, also when nobody waits for it any more.
        drop(caught(SignalKind::from_raw(rustix::process::Signal::XFSZ.as_raw()))?);
        Ok(Signals {
            hup: caught(SignalKind::hangup())?,
            term: caught(SignalKind::terminate())?,
            int: caught(SignalKind::interrupt())?,
        })
    }

    /// What is told next. Nothing is lost if the wait is given up.
    pub async fn next(&mut self) -> ProcessSignal {
        // None of them ends while the runtime runs.
        tokio::select! {
            _ = self.term.recv() => ProcessSignal::Stop,
            _ = self.int.recv() => ProcessSignal::Stop,
            _ = self.hup.recv() => ProcessSignal::Reload,
        }
    }
}
