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
struct Place {
    command: Box<dyn Fn() -> Command + Send>,
    process: Option<Process>,
}

/// A machine.
pub struct Machine {
    places: Vec<Place>,
    /// Where its processes keep what outlives them.
    disk: PathBuf,
    stopped: bool,
}

impl Machine {
    /// One without processes, and with this folder for its disk.
    pub fn new(disk: PathBuf) -> Machine {
        Machine { places: Vec::new(), disk, stopped: false }
    }

    /// Adds a process, which is started as often as the machine is.
    pub fn with(mut self, command: impl Fn() -> Command + Send + 'static) -> Machine {
        self.places.push(Place { command: Box::new(command), process: None });
        self
    }

    /// Starts all processes that do not run.
    pub fn start(&mut self) {
        for place in &mut self.places {
            if place.process.as_mut().is_none_or(|p| !p.runs()) {
                place.process = Some(Process::start((place.command)()));
            }
        }
    }

    /// Loses power: all processes are killed at once.
    pub fn kill(&mut self) {
        self.places.iter().flat_map(|p| &p.process).for_each(|p| p.signal(Signal::KILL));
        self.places.iter_mut().flat_map(|p| &mut p.process).for_each(Process::kill);
        self.stopped = false;
    }

    /// Stops all processes where they are.
    pub fn pause(&mut self) {
        self.places.iter().flat_map(|p| &p.process).for_each(|p| p.signal(Signal::STOP));
        self.stopped = true;
    }

    /// Has them go on.
    pub fn resume(&mut self) {
        self.places.iter().flat_map(|p| &p.process).for_each(|p| p.signal(Signal::CONT));
        self.stopped = false;
    }

    /// Whether it is stopped.
    pub fn paused(&self) -> bool {
        self.stopped
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
    pub fn process(&self, k: usize) -> &Process {
        self.places.get(k).and_then(|p| p.process.as_ref()).expect("it was started")
    }

    /// The same, to wait for its end.
    pub fn process_mut(&mut self, k: usize) -> &mut Process {
        self.places.get_mut(k).and_then(|p| p.process.as_mut()).expect("it was started")
    }
}

/// A process that gets a part of the processor's time only: it is stopped, and goes on for a moment in each period, as under
/// a quota of its machine. Dropped, it goes on as before.
pub struct Throttled {
    over: Arc<AtomicBool>,
    thread: Option<thread::JoinHandle<()>>,
}

impl Throttled {
    /// It runs for `on` of each `period`.
    pub fn begin(pid: u32, on: Duration, period: Duration) -> Throttled {
        let over = Arc::new(AtomicBool::new(false));
        let ends = over.clone();
        let send = move |signal| {
            if let Some(pid) = i32::try_from(pid).ok().and_then(Pid::from_raw) {
                // One that has ended takes none.
                let _ = kill_process(pid, signal);
            }
        };
        let thread = thread::spawn(move || {
            while !ends.load(Ordering::SeqCst) {
                send(Signal::STOP);
                thread::park_timeout(period.saturating_sub(on));
                send(Signal::CONT);
                thread::park_timeout(on);
            }
        });
        Throttled { over, thread: Some(thread) }
    }
}

impl Drop for Throttled {
    fn drop(&mut self) {
        self.over.store(true, Ordering::SeqCst);
        if let Some(thread) = self.thread.take() {
            thread.thread().unpark();
            let _ = thread.join();
        }
    }
}
