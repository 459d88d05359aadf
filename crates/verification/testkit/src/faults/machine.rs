//! Machines: groups of processes that die, stop and come back together, with their disks as they were or empty.
use crate::process::Process;
use rustix::process::{kill_process, Pid, Signal};
use std::path::PathBuf;
use std::process::Command;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

/// One process of a machine: how it is started, and the one that runs.
struct ProcessSlot {
    command: Box<dyn Fn() -> Command + Send>,
    process: Option<Process>,
}

/// A machine.
pub struct Machine {
    slots: Vec<ProcessSlot>,
    /// Where its processes keep what outlives them.
    disk: PathBuf,
    is_stopped: bool,
}

impl Machine {
    /// One without processes, and with this folder for its disk.
    pub fn new(disk: PathBuf) -> Machine {
        Machine { slots: Vec::new(), disk, is_stopped: false }
    }

    /// Adds a process, which is started as often as the machine is.
    pub fn with(mut self, command: impl Fn() -> Command + Send + 'static) -> Machine {
        self.slots.push(ProcessSlot { command: Box::new(command), process: None });
        self
    }

    /// Starts all processes that do not run.
    pub fn start(&mut self) {
        for slot in &mut self.slots {
            if slot.process.as_mut().is_none_or(|p| !p.is_running()) {
                slot.process = Some(Process::start((slot.command)()));
            }
        }
    }

    /// Loses power: all processes are killed at once.
    pub fn kill(&mut self) {
        self.slots.iter().flat_map(|p| &p.process).for_each(|p| p.signal(Signal::KILL));
        self.slots.iter_mut().flat_map(|p| &mut p.process).for_each(Process::kill);
        self.is_stopped = false;
    }

    /// Stops all processes where they are.
    pub fn pause(&mut self) {
        self.slots.iter().flat_map(|p| &p.process).for_each(|p| p.signal(Signal::STOP));
        self.is_stopped = true;
    }

    /// Has them go on.
    pub fn resume(&mut self) {
        self.slots.iter().flat_map(|p| &p.process).for_each(|p| p.signal(Signal::CONT));
        self.is_stopped = false;
    }

    /// Whether it is stopped.
    pub fn is_paused(&self) -> bool {
        self.is_stopped
    }

    /// Empties its disk. The machine has to be down.
    pub fn wipe(&self) {
        let _ = std::fs::remove_dir_all(&self.disk);
    }

    /// Where its processes keep what outlives them.
    pub fn disk(&self) -> &std::path::Path {
        &self.disk
    }

    /// One of its processes.
    pub fn process(&self, index: usize) -> &Process {
        self.slots.get(index).and_then(|p| p.process.as_ref()).expect("it was started")
    }

    /// The same, to wait for its end.
    pub fn process_mut(&mut self, index: usize) -> &mut Process {
        self.slots.get_mut(index).and_then(|p| p.process.as_mut()).expect("it was started")
    }
}

/// A process that gets a part of the processor's time only: it is stopped, and goes on for a moment in each period, as under
/// a quota of its machine. Dropped, it goes on as before.
pub struct CpuThrottle {
    finished: Arc<AtomicBool>,
    thread: Option<thread::JoinHandle<()>>,
}

impl CpuThrottle {
    /// It runs for `on` of each `period`.
    pub fn begin(pid: u32, run_time: Duration, period: Duration) -> CpuThrottle {
        let finished = Arc::new(AtomicBool::new(false));
        let ends = finished.clone();
        let send = move |signal| {
            if let Some(pid) = i32::try_from(pid).ok().and_then(Pid::from_raw) {
                // One that has ended takes none.
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
