//! Starts an instance of this program as a separate process, for the demo.
use std::collections::VecDeque;
use std::io::{self, BufRead, BufReader, Error};
use std::net::SocketAddr;
use std::os::unix::process::CommandExt;
use std::path::Path;
use std::process::{Child, Command, Stdio};
use std::sync::mpsc::{sync_channel, RecvTimeoutError};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

/// Maximum time until a new instance serves.
const START_TIMEOUT: Duration = Duration::from_secs(10);
/// Number of the latest log lines that are kept.
const MAX_LOG_LINES: usize = 20;

/// A running instance. It is killed when dropped. It also exits when this process exits in any way, since its standard input
/// is closed then.
pub struct Instance {
    child: Child,
    /// Address at which the instance listens.
    pub addr: SocketAddr,
    log: Arc<Mutex<VecDeque<String>>>,
}

impl Instance {
    /// Starts an instance with this platform configuration and waits until it listens.
    pub fn start(config: &Path) -> io::Result<Instance> {
        let mut child = Command::new(std::env::current_exe()?)
            .args(["run", "--lifeline"])
            .env("NODE_CONFIG", config)
            .stdin(Stdio::piped())
            .stdout(Stdio::null())
            .stderr(Stdio::piped())
            // Ctrl-C at the terminal must reach only this process, which then stops the instances.
            .process_group(0)
            .spawn()?;
        let stderr =
            child.stderr.take().ok_or_else(|| Error::other("the log of the instance can't be read"))?;
        let log = Arc::new(Mutex::new(VecDeque::new()));
        let (address_sender, address_receiver) = sync_channel(1);
        let shared_log = log.clone();
        std::thread::Builder::new().spawn(move || {
            for line in BufReader::new(stderr).lines().map_while(Result::ok) {
                if let Some((_, addr)) = line.split_once("serving on ") {
                    let _ = address_sender.try_send(addr.trim().parse::<SocketAddr>());
                }
                let mut lines = shared_log.lock().unwrap_or_else(PoisonError::into_inner);
                lines.push_back(line);
                if lines.len() > MAX_LOG_LINES {
                    lines.pop_front();
                }
            }
        })?;
        let addr = match address_receiver.recv_timeout(START_TIMEOUT) {
            Ok(Ok(addr)) => Ok(addr),
            Ok(Err(e)) => Err(e.to_string()),
            Err(RecvTimeoutError::Timeout) => Err(format!("not serving after {START_TIMEOUT:?}")),
            Err(RecvTimeoutError::Disconnected) => Err(last_line(&log)),
        };
        match addr {
            Ok(addr) => Ok(Instance { child, addr, log }),
            Err(reason) => {
                let _ = child.kill();
                let _ = child.wait();
                Err(Error::other(reason))
            }
        }
    }

    /// Sends SIGTERM: the instance exits once it has answered the requests that it has received.
    pub fn terminate(&self) -> io::Result<()> {
        let pid = self.child.id().to_string();
        match Command::new("kill").args(["-TERM", &pid]).stderr(Stdio::null()).status()?.success() {
            true => Ok(()),
            false => Err(Error::other("SIGTERM can't be sent to the instance")),
        }
    }

    /// Whether the instance has exited; an error if it exited with a failure.
    pub fn has_exited(&mut self) -> io::Result<bool> {
        match self.child.try_wait()? {
            None => Ok(false),
            Some(status) if status.success() => Ok(true),
            Some(status) => Err(Error::other(format!("{status}: {}", last_line(&self.log)))),
        }
    }

    /// Current and peak resident memory of the instance, in bytes; 0 where the system does not report them.
    pub fn memory(&self) -> (u64, u64) {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.child.id())).unwrap_or_default();
        let field = |name: &str| {
            let line = status.lines().find_map(|line| line.strip_prefix(name));
            line.and_then(|l| l.trim().strip_suffix(" kB")?.trim().parse::<u64>().ok()).unwrap_or(0) << 10
        };
        (field("VmRSS:"), field("VmHWM:"))
    }
}

fn last_line(log: &Mutex<VecDeque<String>>) -> String {
    let log = log.lock().unwrap_or_else(PoisonError::into_inner);
    log.back().cloned().unwrap_or_else(|| "the instance logged nothing".into())
}

impl Drop for Instance {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}
