//! One instance of this program as a process of its own, for the demo.
use std::collections::VecDeque;
use std::io::{self, BufRead, BufReader, Error};
use std::net::SocketAddr;
use std::os::unix::process::CommandExt;
use std::path::Path;
use std::process::{Child, Command, Stdio};
use std::sync::mpsc::{sync_channel, RecvTimeoutError};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

/// How long an instance may take until it serves.
const START: Duration = Duration::from_secs(10);
/// Lines of its log that are kept.
const MAX_LOG_LINES: usize = 20;

/// A running instance. It is killed when dropped; and it ends by itself when this process does, whatever way that
/// ends, since the other end of its standard input goes with it.
pub struct Instance {
    child: Child,
    /// Where it listens.
    pub addr: SocketAddr,
    log: Arc<Mutex<VecDeque<String>>>,
}

impl Instance {
    /// Starts one with this platform configuration and waits until it listens.
    pub fn start(config: &Path) -> io::Result<Instance> {
        let mut child = Command::new(std::env::current_exe()?)
            .args(["run", "--lifeline"])
            .env("NODE_CONFIG", config)
            .stdin(Stdio::piped())
            .stdout(Stdio::null())
            .stderr(Stdio::piped())
            // A terminal's Ctrl-C is for this process, which then ends the instances.
            .process_group(0)
            .spawn()?;
        let stderr = child.stderr.take().ok_or_else(|| Error::other("its log can't be read"))?;
        let log = Arc::new(Mutex::new(VecDeque::new()));
        let (tell, told) = sync_channel(1);
        let kept = log.clone();
        std::thread::Builder::new().spawn(move || {
            for line in BufReader::new(stderr).lines().map_while(Result::ok) {
                if let Some((_, addr)) = line.split_once("serving on ") {
                    let _ = tell.try_send(addr.trim().parse::<SocketAddr>());
                }
                let mut kept = kept.lock().unwrap_or_else(PoisonError::into_inner);
                kept.push_back(line);
                if kept.len() > MAX_LOG_LINES {
                    kept.pop_front();
                }
            }
        })?;
        let addr = match told.recv_timeout(START) {
            Ok(Ok(addr)) => Ok(addr),
            Ok(Err(e)) => Err(e.to_string()),
            Err(RecvTimeoutError::Timeout) => Err(format!("it does not serve after {START:?}")),
            Err(RecvTimeoutError::Disconnected) => Err(last(&log)),
        };
        match addr {
            Ok(addr) => Ok(Instance { child, addr, log }),
            Err(what) => {
                let _ = child.kill();
                let _ = child.wait();
                Err(Error::other(what))
            }
        }
    }

    /// Tells it to end; it goes on until it has answered what it took.
    pub fn terminate(&self) -> io::Result<()> {
        let pid = self.child.id().to_string();
        match Command::new("kill").args(["-TERM", &pid]).stderr(Stdio::null()).status()?.success() {
            true => Ok(()),
            false => Err(Error::other("it takes no signal")),
        }
    }

    /// Whether it has ended; an error if it did not end well.
    pub fn ended(&mut self) -> io::Result<bool> {
        match self.child.try_wait()? {
            None => Ok(false),
            Some(status) if status.success() => Ok(true),
            Some(status) => Err(Error::other(format!("{status}: {}", last(&self.log)))),
        }
    }

    /// The memory that it holds now and the most it held, in bytes; 0 where the system does not tell.
    pub fn memory(&self) -> (u64, u64) {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.child.id())).unwrap_or_default();
        let field = |name: &str| {
            let line = status.lines().find_map(|line| line.strip_prefix(name));
            line.and_then(|l| l.trim().strip_suffix(" kB")?.trim().parse::<u64>().ok()).unwrap_or(0) << 10
        };
        (field("VmRSS:"), field("VmHWM:"))
    }
}

fn last(log: &Mutex<VecDeque<String>>) -> String {
    let log = log.lock().unwrap_or_else(PoisonError::into_inner);
    log.back().cloned().unwrap_or_else(|| "it said nothing".into())
}

impl Drop for Instance {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}
