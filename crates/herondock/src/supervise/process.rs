//! Processes of instances: start, adoption, exit notification, and the socket at which they report their status.
use super::FleetPaths;
use config::supervisor::{FleetConfig, InstanceConfig};
use rollout::BuildId;
use rustix::event::{poll, PollFd, PollFlags};
use rustix::io::Errno;
use rustix::net::{recvmsg, RecvAncillaryBuffer, RecvAncillaryMessage, RecvFlags};
use rustix::process::{pidfd_open, pidfd_send_signal, Pid, PidfdFlags};
use std::io::{self, ErrorKind, IoSliceMut};
use std::mem::MaybeUninit;
use std::os::fd::{AsFd, OwnedFd};
use std::os::unix::process::CommandExt;
use std::path::Path;
use std::process::{Child, Command, Stdio};
use std::sync::Arc;
use supervisor::Signal;
use tokio::io::Interest;
use tokio::net::UnixDatagram;

#[cfg(test)]
mod tests;

/// Stack size of a thread that waits for the exit of a process.
const WAITER_STACK_BYTES: usize = 64 << 10;
/// Maximum length of a notification, in bytes.
const MAX_NOTIFICATION_BYTES: usize = 4096;
/// Environment variables of the service manager's protocol, which are for the supervisor and not for its instances.
const SERVICE_MANAGER_VARIABLES: [&str; 5] =
    ["LISTEN_FDS", "LISTEN_PID", "LISTEN_FDNAMES", "WATCHDOG_USEC", "WATCHDOG_PID"];

/// Build of an instance's next process.
#[derive(Clone, Copy, Debug)]
pub struct Build<'a> {
    /// Identifier, passed to the process.
    pub id: &'a BuildId,
    /// Executable; `None`: this program's own.
    pub program: Option<&'a Path>,
}

/// How a process exited.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ExitReport {
    /// Whether it exited by itself with status 0.
    pub clean: bool,
    /// Description of the exit status.
    pub status: String,
}

impl ExitReport {
    /// Report of a process whose exit status is not known.
    pub fn unknown() -> ExitReport {
        ExitReport { clean: false, status: "it ended".into() }
    }
}

/// Resources that a process uses; 0 where the system does not report them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ResourceUsage {
    /// Resident memory, in bytes.
    pub memory_bytes: u64,
    /// Number of open file descriptors.
    pub descriptors: usize,
}

/// A process of an instance that is running, or has exited and was not reaped yet.
pub struct InstanceProcess {
    /// Process id.
    pub pid: u32,
    /// The child process, if this supervisor started it.
    child: Option<Child>,
    pidfd: Arc<OwnedFd>,
}

fn open_pidfd(pid: u32) -> io::Result<Arc<OwnedFd>> {
    let pid = i32::try_from(pid).ok().and_then(Pid::from_raw).ok_or(ErrorKind::InvalidInput)?;
    Ok(Arc::new(pidfd_open(pid, PidfdFlags::empty())?))
}

impl InstanceProcess {
    /// Starts a process of an instance, in a process group of its own, so that it outlives the supervisor.
    ///
    /// # Errors
    /// The process cannot be started, or its exit cannot be observed.
    pub fn spawn(
        fleet: &FleetConfig,
        instance: &InstanceConfig,
        build: Option<Build<'_>>,
    ) -> io::Result<InstanceProcess> {
        let mut command = run_command(fleet, instance, build)?;
        let mut child = command.spawn()?;
        match open_pidfd(child.id()) {
            Ok(pidfd) => Ok(InstanceProcess { pid: child.id(), child: Some(child), pidfd }),
            Err(e) => {
                // Killed, since its exit could not be noticed.
                let _ = child.kill();
                let _ = child.wait();
                Err(e)
            }
        }
    }

    /// Adopts a process that was found running.
    ///
    /// # Errors
    /// There is no such process.
    pub fn adopt(pid: u32) -> io::Result<InstanceProcess> {
        Ok(InstanceProcess { pid, child: None, pidfd: open_pidfd(pid)? })
    }

    /// Sends a signal; has no effect if the process has exited.
    pub fn signal(&self, signal: Signal) {
        let signal = match signal {
            Signal::Reload => rustix::process::Signal::HUP,
            Signal::Terminate => rustix::process::Signal::TERM,
            Signal::Kill => rustix::process::Signal::KILL,
        };
        let _ = pidfd_send_signal(&*self.pidfd, signal);
    }

    /// Calls `notify` once the process has exited, on a thread of its own.
    ///
    /// # Errors
    /// The thread cannot be started.
    pub fn on_exit(&self, notify: impl FnOnce() + Send + 'static) -> io::Result<()> {
        let pidfd = self.pidfd.clone();
        let wait = move || {
            // A pidfd becomes readable when the process exits.
            while poll(&mut [PollFd::new(&*pidfd, PollFlags::IN)], None) == Err(Errno::INTR) {}
            notify();
        };
        std::thread::Builder::new().stack_size(WAITER_STACK_BYTES).spawn(wait).map(drop)
    }

    /// How the process exited. To be called after its exit.
    pub fn exit_report(&mut self) -> ExitReport {
        match self.child.as_mut().map(Child::wait) {
            Some(Ok(status)) => ExitReport { clean: status.success(), status: status.to_string() },
            Some(Err(e)) => ExitReport { clean: false, status: e.to_string() },
            // Only the parent process can obtain the exit status, and the parent was another supervisor.
            None => ExitReport::unknown(),
        }
    }

    /// Resources that the process uses.
    pub fn resource_usage(&self) -> ResourceUsage {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.pid)).unwrap_or_default();
        let resident = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
        let kib = resident.and_then(|value| value.trim().strip_suffix(" kB")?.trim().parse::<u64>().ok());
        let descriptors = std::fs::read_dir(format!("/proc/{}/fd", self.pid)).map_or(0, Iterator::count);
        ResourceUsage { memory_bytes: kib.unwrap_or(0) << 10, descriptors }
    }
}

/// The command that starts a process of an instance.
fn run_command(
    fleet: &FleetConfig,
    instance: &InstanceConfig,
    build: Option<Build<'_>>,
) -> io::Result<Command> {
    let paths = FleetPaths(fleet);
    let program = match build.and_then(|build| build.program) {
        Some(path) => path.to_path_buf(),
        None => std::env::current_exe()?,
    };
    let mut command = Command::new(program);
    if let Some(build) = build {
        command.env(crate::disruption_reporting::BUILD, &build.id.0);
    }
    command.arg("run").arg("--pid-file").arg(paths.pid_file(instance));
    command.arg("--takeover").arg(paths.handoff(instance));
    if let Some(operator) = &instance.operator {
        command.arg("--operator").arg(operator);
    }
    for name in SERVICE_MANAGER_VARIABLES {
        command.env_remove(name);
    }
    command.env("NODE_CONFIG", &instance.config).env("NOTIFY_SOCKET", paths.notify());
    command.stdin(Stdio::null()).stdout(Stdio::null()).process_group(0);
    Ok(command)
}

/// A notification of an instance (`sd_notify(3)`).
#[derive(Debug, Default, PartialEq, Eq)]
pub struct Notification {
    /// Process id of the sender, as reported by the kernel.
    pub pid: u32,
    /// Whether it contains `READY=1`.
    pub ready: bool,
    /// The status text.
    pub status: Option<String>,
}

impl Notification {
    fn parse(message: &[u8], pid: u32) -> Notification {
        let mut notification = Notification { pid, ..Notification::default() };
        for line in String::from_utf8_lossy(message).lines() {
            match line.split_once('=') {
                Some(("READY", "1")) => notification.ready = true,
                Some(("STATUS", status)) => notification.status = Some(status.into()),
                _ => {}
            }
        }
        notification
    }
}

/// The socket at which instances send their notifications.
pub struct NotifySocket(UnixDatagram);

impl NotifySocket {
    /// Binds the socket at `path`, which is replaced if it exists.
    ///
    /// # Errors
    /// The socket cannot be bound.
    pub fn bind(path: &Path) -> io::Result<NotifySocket> {
        match std::fs::remove_file(path) {
            Err(e) if e.kind() != ErrorKind::NotFound => return Err(e),
            _ => {}
        }
        let socket = UnixDatagram::bind(path)?;
        // Makes the kernel report the sender: a process id in the message itself is not trusted.
        rustix::net::sockopt::set_socket_passcred(socket.as_fd(), true)?;
        Ok(NotifySocket(socket))
    }

    /// Waits for the next notification. Cancel safe.
    ///
    /// # Errors
    /// The socket cannot be read.
    pub async fn next(&self) -> io::Result<Notification> {
        self.0.async_io(Interest::READABLE, || self.receive()).await
    }

    fn receive(&self) -> io::Result<Notification> {
        let mut ancillary_space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmCredentials(1))];
        let mut ancillary = RecvAncillaryBuffer::new(&mut ancillary_space);
        let mut message = vec![0; MAX_NOTIFICATION_BYTES];
        let mut buffers = [IoSliceMut::new(&mut message)];
        let received = recvmsg(&self.0, &mut buffers, &mut ancillary, RecvFlags::CMSG_CLOEXEC)?;
        let sender = ancillary.drain().find_map(|message| match message {
            RecvAncillaryMessage::ScmCredentials(credentials) => {
                u32::try_from(credentials.pid.as_raw_nonzero().get()).ok()
            }
            _ => None,
        });
        message.truncate(received.bytes);
        Ok(Notification::parse(&message, sender.unwrap_or(0)))
    }
}
