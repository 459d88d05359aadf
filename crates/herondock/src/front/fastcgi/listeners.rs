//! Listeners of the FastCGI front: TCP and Unix sockets, new or passed on by a predecessor.
use config::fastcgi::Listen;
use std::io;
use std::os::fd::OwnedFd;
use tracing::info;

/// A listener can't be opened or used.
#[derive(Debug, thiserror::Error)]
pub enum ListenerError {
    /// A listener of the operator's file can't be opened.
    #[error("fastcgi.listen: {name}: {source}")]
    Open {
        /// Its address or path.
        name: String,
        /// The system's error.
        source: io::Error,
    },
    /// An open listener can't be used.
    #[error("fastcgi.listen: {0}")]
    Use(#[from] io::Error),
}

/// A listener of the FastCGI front.
pub enum FrontListener {
    /// TCP.
    Tcp(std::net::TcpListener),
    /// A Unix socket.
    Unix(std::os::unix::net::UnixListener),
}

impl FrontListener {
    /// A listener that a predecessor passed on.
    fn from_descriptor(passed: OwnedFd) -> FrontListener {
        let tcp = std::net::TcpListener::from(passed);
        match tcp.local_addr() {
            Ok(_) => FrontListener::Tcp(tcp),
            Err(_) => FrontListener::Unix(OwnedFd::from(tcp).into()),
        }
    }

    /// Whether this is the listener that the operator's file names.
    fn matches(&self, listen: &Listen) -> bool {
        match (self, listen) {
            (FrontListener::Tcp(l), Listen::Tcp(addr)) => l
                .local_addr()
                .is_ok_and(|at| at.ip() == addr.ip() && (addr.port() == 0 || at.port() == addr.port())),
            (FrontListener::Unix(l), Listen::Unix(path)) => {
                l.local_addr().is_ok_and(|at| at.as_pathname() == Some(path))
            }
            _ => false,
        }
    }

    /// Another handle of the same socket.
    pub(super) fn try_clone(&self) -> io::Result<FrontListener> {
        Ok(match self {
            FrontListener::Tcp(l) => FrontListener::Tcp(l.try_clone()?),
            FrontListener::Unix(l) => FrontListener::Unix(l.try_clone()?),
        })
    }

    /// The socket's descriptor.
    pub(super) fn into_descriptor(self) -> OwnedFd {
        match self {
            FrontListener::Tcp(listener) => OwnedFd::from(listener),
            FrontListener::Unix(listener) => OwnedFd::from(listener),
        }
    }

    fn bind(listen: &Listen) -> io::Result<FrontListener> {
        match listen {
            Listen::Tcp(addr) => {
                let listener = std::net::TcpListener::bind(addr)?;
                listener.set_nonblocking(true)?;
                Ok(FrontListener::Tcp(listener))
            }
            Listen::Unix(path) => {
                // A socket that a former process left there makes way.
                match std::fs::remove_file(path) {
                    Err(e) if e.kind() != io::ErrorKind::NotFound => return Err(e),
                    _ => {}
                }
                let listener = std::os::unix::net::UnixListener::bind(path)?;
                listener.set_nonblocking(true)?;
                Ok(FrontListener::Unix(listener))
            }
        }
    }
}

/// The listeners that the operator's file names: those that a predecessor passed on, and new ones for the others.
///
/// # Errors
/// An address or path can't be listened on.
pub fn open_listeners(listen: &[Listen], passed: Vec<OwnedFd>) -> Result<Vec<FrontListener>, ListenerError> {
    let mut passed: Vec<FrontListener> = passed.into_iter().map(FrontListener::from_descriptor).collect();
    let one = |listen: &Listen| {
        let name = match listen {
            Listen::Tcp(addr) => addr.to_string(),
            Listen::Unix(path) => path.display().to_string(),
        };
        let listener = match passed.iter().position(|listener| listener.matches(listen)) {
            Some(k) => passed.swap_remove(k),
            None => FrontListener::bind(listen)
                .map_err(|source| ListenerError::Open { name: name.clone(), source })?,
        };
        let at = match &listener {
            FrontListener::Tcp(l) => l.local_addr().map_or(name, |at| at.to_string()),
            FrontListener::Unix(_) => name,
        };
        info!("fastcgi: callers may connect to {at}");
        Ok(listener)
    };
    listen.iter().map(one).collect()
}
