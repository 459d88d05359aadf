//! Machines: groups of processes that are killed, paused and restarted together, with their disks kept or
//! wiped.
use crate::process::Process;
use rustix::process::{kill_process, Pid, Signal};
use std::path::PathBuf;
use std::process::Command;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

/// A process of a machine: the command that starts it, and the running instance.
struct ProcessSlot {
    command: Box<dyn Fn() -> Command + Send>,
    process: Option<Process>,
}

/// A group of processes that share a disk folder.
pub struct Machine {
    slots: Vec<ProcessSlot>,
    /// Folder of the files that outlive its processes.
    disk: PathBuf,
    is_stopped: bool,
}

impl Machine {
    /// Creates a machine without processes and with this folder as its disk.
    pub fn new(disk: PathBuf) -> Machine {
        Machine { slots: Vec::new(), disk, is_stopped: false }
    }

    /// Adds a process that starts whenever the machine starts.
    pub fn with(mut self, command: impl Fn() -> Command + Send + 'static) -> Machine {
        self.slots.push(ProcessSlot { command: Box::new(command), process: None });
        self
    }

    /// Starts all processes that are not running.
    pub fn start(&mut self) {
        for slot in &mut self.slots {
            if slot.process.as_mut().is_none_or(|p| !p.is_running()) {
                slot.process = Some(Process::start((slot.command)()));
            }
        }
    }

    /// Simulates a loss of power: kills all processes at once.
    pub fn kill(&mut self) {
        self.slots.iter().flat_map(|p| &p.process).for_each(|p| p.signal(Signal::KILL));
        self.slots.iter_mut().flat_map(|p| &mut p.process).for_each(Process::kill);
        self.is_stopped = false;
    }

    /// Pauses all processes with SIGSTOP.
    pub fn pause(&mut self) {
        self.slots.iter().flat_map(|p| &p.process).for_each(|p| p.signal(Signal::STOP));
        self.is_stopped = true;
    }

    /// Resumes all processes.
    pub fn resume(&mut self) {
        self.slots.iter().flat_map(|p| &p.process).for_each(|p| p.signal(Signal::CONT));
        self.is_stopped = false;
    }

    /// Whether the machine is paused.
    pub fn is_paused(&self) -> bool {
        self.is_stopped
    }

    /// Empties the disk. No process of the machine may run.
    pub fn wipe(&self) {
        let _ = std::fs::remove_dir_all(&self.disk);
    }

    /// Folder of the files that outlive its processes.
    pub fn disk(&self) -> &std::path::Path {
        &self.disk
    }

    /// Returns a process that was started.
    pub fn process(&self, index: usize) -> &Process {
        self.slots.get(index).and_then(|p| p.process.as_ref()).expect("it was started")
    }

    /// Returns a process mutably, for example to wait for its end.
    pub fn process_mut(&mut self, index: usize) -> &mut Process {
        self.slots.get_mut(index).and_then(|p| p.process.as_mut()).expect("it was started")
    }
}

/// Limits a process to part of the processor time: it is stopped, and resumed for a short time in each
/// period, as under a CPU quota of its machine. The process runs normally again once this value is dropped.
pub struct CpuThrottle {
    finished: Arc<AtomicBool>,
    thread: Option<thread::JoinHandle<()>>,
}

impl CpuThrottle {
    /// Lets the process run for `run_time` in each `period`.
    pub fn begin(pid: u32, run_time: Duration, period: Duration) -> CpuThrottle {
        let finished = Arc::new(AtomicBool::new(false));
        let ends = finished.clone();
        let send = move |signal| {
            if let Some(pid) = i32::try_from(pid).ok().and_then(Pid::from_raw) {
                // A process that has ended can't be signalled.
                let _ = kill_process(pid, signal);
            }
        };
        let thread = thread::spawn(move || {
            while !ends.load(Ordering::SeqCst) {
                send(Signal::STOP);
                thread::park_timeout(period.saturating_sub(run_time));
                send(Signal::CONT);
                thread::park_timeout(run_time);
            }
        });
        CpuThrottle { finished, thread: Some(thread) }
    }
}

impl Drop for CpuThrottle {
    fn drop(&mut self) {
        self.finished.store(true, Ordering::SeqCst);
        if let Some(thread) = self.thread.take() {
            thread.thread().unpark();
            let _ = thread.join();
        }
    }
}
