//! A process that a test started, and its log.
use crate::TEST_TIMEOUT;
use rustix::process::{kill_process, Pid, Signal};
use std::io::{BufRead, BufReader};
use std::net::{SocketAddr, TcpListener};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::Instant;

/// Maximum number of log lines that are kept. Later lines are read and dropped, which [`TRUNCATION_NOTICE`]
/// states.
const MAX_LOG_LINES: usize = 10_000;
/// Last line of a truncated log.
const TRUNCATION_NOTICE: &str = "(the log goes on, and is not kept any further)";

#[derive(Default)]
struct Log {
    lines: Mutex<(Vec<String>, bool)>,
    more: Condvar,
}

impl Log {
    fn lines(&self) -> MutexGuard<'_, (Vec<String>, bool)> {
        self.lines.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// A process, killed when dropped.
pub struct Process {
    child: Child,
    log: Arc<Log>,
    reader: Option<thread::JoinHandle<()>>,
}

impl Process {
    /// Starts a command and reads its standard error as its log.
    pub fn start(command: Command) -> Process {
        Process::start_filtered(command, |_| true)
    }

    /// Like [`Process::start`], but keeps only the log lines for which `is_kept` holds, for a process that
    /// logs every request.
    pub fn start_filtered(mut command: Command, is_kept: impl Fn(&str) -> bool + Send + 'static) -> Process {
        let mut child = command.stderr(Stdio::piped()).spawn().expect("starts");
        let lines = BufReader::new(child.stderr.take().expect("its log"));
        let log = Arc::new(Log::default());
        let kept = log.clone();
        let reader = thread::spawn(move || {
            for line in lines.lines().map_while(Result::ok).filter(|line| is_kept(line)) {
                let mut log_lines = kept.lines();
                match log_lines.0.len() {
                    n if n < MAX_LOG_LINES => log_lines.0.push(line),
                    MAX_LOG_LINES => log_lines.0.push(TRUNCATION_NOTICE.into()),
                    _ => continue,
                }
                kept.more.notify_all();
            }
            kept.lines().1 = true;
            kept.more.notify_all();
        });
        Process { child, log, reader: Some(reader) }
    }

    /// Process id.
    pub fn pid(&self) -> u32 {
        self.child.id()
    }

    /// Log lines so far.
    pub fn log(&self) -> Vec<String> {
        self.log.lines().0.clone()
    }

    /// Waits for a line, from index `from` on, for which `parse` returns a value. `None` if the log ends or
    /// the wait exceeds [`TEST_TIMEOUT`].
    pub fn find_line<T>(&self, from: usize, parse: impl Fn(&str) -> Option<T>) -> Option<T> {
        let started = Instant::now();
        let mut log = self.log.lines();
        let mut next = from;
        loop {
            while next < log.0.len() {
                if let Some(parsed) = parse(&log.0[next]) {
                    return Some(parsed);
                }
                next += 1;
            }
            let remaining = TEST_TIMEOUT.saturating_sub(started.elapsed());
            if log.1 || remaining.is_zero() {
                return None;
            }
            log = self.log.more.wait_timeout(log, remaining).unwrap_or_else(PoisonError::into_inner).0;
        }
    }

    /// Waits for a log line that contains `wanted`.
    pub fn wait_for_log(&self, wanted: &str) {
        self.wait_for_log_from(0, wanted);
    }

    /// Like [`Process::wait_for_log`], from line index `from` on.
    pub fn wait_for_log_from(&self, from: usize, wanted: &str) {
        let found = self.find_line(from, |line| line.contains(wanted).then_some(()));
        assert!(found.is_some(), "no line with {wanted:?} in {:?}", self.log());
    }

    /// Whether the process is still running.
    pub fn is_running(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(None))
    }

    /// Sends a signal; has no effect on a process that has ended.
    pub fn signal(&self, signal: Signal) {
        if let Some(pid) = i32::try_from(self.child.id()).ok().and_then(Pid::from_raw) {
            let _ = kill_process(pid, signal);
        }
    }

    /// Kills the process, as when its machine loses power.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Waits until the process has ended. Its log may continue, because its child processes may hold it open.
    pub fn wait_for_exit(&mut self) -> ExitStatus {
        self.child.wait().expect("it ends")
    }

    /// Waits until the process has ended and its log is read.
    pub fn wait(&mut self) -> ExitStatus {
        let status = self.child.wait().expect("it ends");
        if let Some(reader) = self.reader.take() {
            reader.join().expect("the log is read");
        }
        status
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        // SIGKILL also ends a process that is stopped.
        self.kill();
    }
}

/// Returns a free address in 127.0.0.0/8 that depends on the process id and a counter (processes whose ids
/// agree in the low 8 bits share the range). Callers connect from 127.0.0.1, so none of them takes the port
/// while no process listens on it.
pub fn reserve_address() -> SocketAddr {
    static COUNT: AtomicUsize = AtomicUsize::new(0);
    let count = COUNT.fetch_add(1, Ordering::SeqCst);
    let of_process = std::process::id() & 0xff;
    let ip = [127, 64 + (count / 250 % 128) as u8, of_process as u8, (count % 250) as u8 + 1];
    let listener = TcpListener::bind(SocketAddr::from((ip, 0))).expect("binds");
    listener.local_addr().expect("an address")
}
