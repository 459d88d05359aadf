//! Listeners of the FastCGI front: TCP and Unix sockets, new or inherited from a predecessor.
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
        /// Address or path of the listener.
        name: String,
        /// Error of the operating system.
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
    /// Creates a listener from a descriptor that a predecessor passed on.
    fn from_descriptor(descriptor: OwnedFd) -> FrontListener {
        let tcp = std::net::TcpListener::from(descriptor);
        match tcp.local_addr() {
            Ok(_) => FrontListener::Tcp(tcp),
            Err(_) => FrontListener::Unix(OwnedFd::from(tcp).into()),
        }
    }

    /// Whether this listener is bound to the address or path that the operator's file names.
    fn matches(&self, listen: &Listen) -> bool {
        match (self, listen) {
            (FrontListener::Tcp(l), Listen::Tcp(addr)) => l
                .local_addr()
                .is_ok_and(|own| own.ip() == addr.ip() && (addr.port() == 0 || own.port() == addr.port())),
            (FrontListener::Unix(l), Listen::Unix(path)) => {
                l.local_addr().is_ok_and(|own| own.as_pathname() == Some(path))
            }
            _ => false,
        }
    }

    /// Creates another handle of the same socket.
    pub(super) fn try_clone(&self) -> io::Result<FrontListener> {
        Ok(match self {
            FrontListener::Tcp(l) => FrontListener::Tcp(l.try_clone()?),
            FrontListener::Unix(l) => FrontListener::Unix(l.try_clone()?),
        })
    }

    /// Returns the descriptor of the socket.
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
                // A socket file that a former process left behind is replaced.
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

/// Returns the listeners that the operator's file names: those that a predecessor passed on, and new ones for the
/// others.
///
/// # Errors
/// It is not possible to listen on an address or path.
pub fn open_listeners(
    listen: &[Listen],
    inherited: Vec<OwnedFd>,
) -> Result<Vec<FrontListener>, ListenerError> {
    let mut inherited: Vec<FrontListener> =
        inherited.into_iter().map(FrontListener::from_descriptor).collect();
    let open = |listen: &Listen| {
        let name = match listen {
            Listen::Tcp(addr) => addr.to_string(),
            Listen::Unix(path) => path.display().to_string(),
        };
        let listener = match inherited.iter().position(|listener| listener.matches(listen)) {
            Some(index) => inherited.swap_remove(index),
            None => FrontListener::bind(listen)
                .map_err(|source| ListenerError::Open { name: name.clone(), source })?,
        };
        let address = match &listener {
            FrontListener::Tcp(l) => l.local_addr().map_or(name, |bound| bound.to_string()),
            FrontListener::Unix(_) => name,
        };
        info!("fastcgi: callers may connect to {address}");
        Ok(listener)
    };
    listen.iter().map(open).collect()
}
