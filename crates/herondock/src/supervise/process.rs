//! Processes of instances: started here or found running, watched until they end, and heard by the notify socket.
use super::Paths;
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

/// The stack of a thread that waits.
const STACK: usize = 64 << 10;
/// Longest news of an instance.
const NEWS_MOST: usize = 4096;

/// A process that runs, or has ended and was not waited for yet.
pub struct Running {
    /// Its number with the system.
    pub pid: u32,
    /// Its own child, if this supervisor started it.
    child: Option<Child>,
    handle: Arc<OwnedFd>,
}

fn open(pid: u32) -> io::Result<Arc<OwnedFd>> {
    let pid = i32::try_from(pid).ok().and_then(Pid::from_raw).ok_or(ErrorKind::InvalidInput)?;
    Ok(Arc::new(pidfd_open(pid, PidfdFlags::empty())?))
}

impl Running {
    /// Starts a process of an instance, in a group of its own: what ends this one leaves it running.
    /// `of`: its build, and the file to start it from where that is not this program's own.
    pub fn start(
        fleet: &FleetConfig,
        instance: &InstanceConfig,
        of: Option<(&BuildId, Option<&Path>)>,
    ) -> io::Result<Running> {
        let paths = Paths(fleet);
        let program = match of.and_then(|(_, path)| path) {
            Some(path) => path.to_path_buf(),
            None => std::env::current_exe()?,
        };
        let mut command = Command::new(program);
        if let Some((build, _)) = of {
            command.env(crate::disruption_reporting::BUILD, &build.0);
        }
        command
            .arg("run")
            .arg("--pid-file")
            .arg(paths.pid(instance))
            .arg("--takeover")
            .arg(paths.takeover(instance));
        if let Some(operator) = &instance.operator {
            command.arg("--operator").arg(operator);
        }
        // What this process was told by a service manager of its own is not meant for them.
        for name in ["LISTEN_FDS", "LISTEN_PID", "LISTEN_FDNAMES", "WATCHDOG_USEC", "WATCHDOG_PID"] {
            command.env_remove(name);
        }
        command.env("NODE_CONFIG", &instance.config).env("NOTIFY_SOCKET", paths.notify());
        let mut child = command.stdin(Stdio::null()).stdout(Stdio::null()).process_group(0).spawn()?;
        match open(child.id()) {
            Ok(handle) => Ok(Running { pid: child.id(), child: Some(child), handle }),
            Err(e) => {
                // Without a way to hear of its end it would be lost from sight.
                let _ = child.kill();
                let _ = child.wait();
                Err(e)
            }
        }
    }

    /// A process that was found running.
    pub fn found(pid: u32) -> io::Result<Running> {
        Ok(Running { pid, child: None, handle: open(pid)? })
    }

    /// Sends a signal; one that has ended takes none.
    pub fn signal(&self, signal: Signal) {
        let signal = match signal {
            Signal::Reload => rustix::process::Signal::HUP,
            Signal::Terminate => rustix::process::Signal::TERM,
            Signal::Kill => rustix::process::Signal::KILL,
        };
        let _ = pidfd_send_signal(&*self.handle, signal);
    }

    /// Has `tell` called once it has ended, on a small thread that does nothing else.
    pub fn watch(&self, tell: impl FnOnce() + Send + 'static) -> io::Result<()> {
        let handle = self.handle.clone();
        let wait = move || {
            // Readable from its end on; a signal to this thread is none.
            while poll(&mut [PollFd::new(&*handle, PollFlags::IN)], None) == Err(Errno::INTR) {}
            tell();
        };
        std::thread::Builder::new().stack_size(STACK).spawn(wait).map(drop)
    }

    /// How it ended: cleanly or not, and in words. To be asked once it has.
    pub fn ending(&mut self) -> (bool, String) {
        match self.child.as_mut().map(Child::wait) {
            Some(Ok(status)) => (status.success(), status.to_string()),
            Some(Err(e)) => (false, e.to_string()),
            // Only its parent may ask; that has gone.
            None => (false, "it ended".into()),
        }
    }

    /// The memory that it holds, in bytes, and its descriptors; 0 where the system does not tell.
    pub fn holds(&self) -> (u64, usize) {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.pid)).unwrap_or_default();
        let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
        let kib = line.and_then(|l| l.trim().strip_suffix(" kB")?.trim().parse::<u64>().ok()).unwrap_or(0);
        let descriptors = std::fs::read_dir(format!("/proc/{}/fd", self.pid)).map_or(0, Iterator::count);
        (kib << 10, descriptors)
    }
}

/// What an instance tells of itself (`sd_notify(3)`).
#[derive(Debug, Default, PartialEq, Eq)]
pub struct News {
    /// Who, by the system's word.
    pub pid: u32,
    /// It is ready.
    pub ready: bool,
    /// What it does, in words.
    pub status: Option<String>,
}

/// The socket at which instances tell.
pub struct Notify(UnixDatagram);

impl Notify {
    /// Listens at `path`, in place of a supervisor that has gone.
    pub fn bind(path: &Path) -> io::Result<Notify> {
        match std::fs::remove_file(path) {
            Err(e) if e.kind() != ErrorKind::NotFound => return Err(e),
            _ => {}
        }
        let socket = UnixDatagram::bind(path)?;
        // The system then adds who it is from: what a message says of that itself is not believed.
        rustix::net::sockopt::set_socket_passcred(socket.as_fd(), true)?;
        Ok(Notify(socket))
    }

    /// The next news.
    pub async fn next(&self) -> io::Result<News> {
        let (text, pid) = self
            .0
            .async_io(Interest::READABLE, || {
                let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmCredentials(1))];
                let mut control = RecvAncillaryBuffer::new(&mut space);
                let mut text = vec![0; NEWS_MOST];
                let got = recvmsg(
                    &self.0,
                    &mut [IoSliceMut::new(&mut text)],
                    &mut control,
                    RecvFlags::CMSG_CLOEXEC,
                )?;
                let pid = control.drain().find_map(|message| match message {
                    RecvAncillaryMessage::ScmCredentials(who) => {
                        u32::try_from(who.pid.as_raw_nonzero().get()).ok()
                    }
                    _ => None,
                });
                text.truncate(got.bytes);
                Ok((text, pid))
            })
            .await?;
        Ok(news(&text, pid.unwrap_or(0)))
    }
}

fn news(text: &[u8], pid: u32) -> News {
    let mut news = News { pid, ..News::default() };
    for line in String::from_utf8_lossy(text).lines() {
        match line.split_once('=') {
            Some(("READY", "1")) => news.ready = true,
            Some(("STATUS", status)) => news.status = Some(status.into()),
            _ => {}
        }
    }
    news
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn news_is_read_line_by_line_and_what_is_unknown_is_passed_over() {
        let got = news(b"READY=1\nSTATUS=serving on x=y\nX\nMONOTONIC_USEC=5\n", 7);
        assert_eq!(got, News { pid: 7, ready: true, status: Some("serving on x=y".into()) });
        assert_eq!(news(b"\xff\xfe=\n=\nREADY=0", 7), News { pid: 7, ..News::default() });
    }
}
