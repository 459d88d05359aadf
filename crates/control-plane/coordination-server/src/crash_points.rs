//! For tests: a process that is killed at a step of its disk that they name, or whose disk is slow.
use std::io;
use storage::files::Files;

/// At which step: its kind (`read`, `open`, `write`, `cut`, `sync`, `rename`, `names`), and how many of these go well before.
/// `slow`: none, and each sync takes so many milliseconds longer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CrashPoint {
    kind: String,
    left: u64,
}

impl std::str::FromStr for CrashPoint {
    type Err = String;

    fn from_str(text: &str) -> Result<CrashPoint, String> {
        let (kind, left) = text.split_once(':').ok_or("is no KIND:COUNT")?;
        let left = left.parse().map_err(|_| "is no KIND:COUNT")?;
        Ok(CrashPoint { kind: kind.into(), left })
    }
}

const SLOW: &str = "slow";

/// Files whose process is killed at a step.
pub struct CrashingFiles<F> {
    files: F,
    halt: Option<CrashPoint>,
}

impl<F> CrashingFiles<F> {
    pub fn new(files: F, halt: Option<CrashPoint>) -> CrashingFiles<F> {
        CrashingFiles { files, halt }
    }

    fn now(&mut self, kind: &str) -> bool {
        match &mut self.halt {
            Some(halt) if halt.kind == kind => {
                halt.left = halt.left.wrapping_sub(1);
                halt.left == u64::MAX
            }
            _ => false,
        }
    }

    fn step(&mut self, kind: &str) {
        if self.now(kind) {
            die();
        }
    }
}

fn die() {
    // As kill -9 would: nothing is flushed, nobody is told.
    let _ = rustix::process::kill_process(rustix::process::getpid(), rustix::process::Signal::KILL);
}

impl<F: Files> Files for CrashingFiles<F> {
    type Open = F::Open;

    fn read(&mut self, name: &str, most: u64) -> io::Result<Option<Vec<u8>>> {
        self.step("read");
        self.files.read(name, most)
    }

    fn open(&mut self, name: &str) -> io::Result<Self::Open> {
        self.step("open");
        self.files.open(name)
    }

    fn write(&mut self, file: &mut Self::Open, at: u64, bytes: &[u8]) -> io::Result<()> {
        if self.now("write") {
            // In the middle of it.
            let _ = self.files.write(file, at, &bytes[..bytes.len() / 2]);
            die();
        }
        self.files.write(file, at, bytes)
    }

    fn truncate(&mut self, file: &mut Self::Open, length: u64) -> io::Result<()> {
        self.step("cut");
        self.files.truncate(file, length)
    }

    fn sync(&mut self, file: &mut Self::Open) -> io::Result<()> {
        self.step("sync");
        if let Some(CrashPoint { kind, left }) = &self.halt {
            if kind == SLOW {
                std::thread::sleep(std::time::Duration::from_millis(*left));
            }
        }
        self.files.sync(file)
    }

    fn rename(&mut self, from: &str, to: &str) -> io::Result<()> {
        self.step("rename");
        self.files.rename(from, to)
    }

    fn sync_directory(&mut self) -> io::Result<()> {
        self.step("names");
        self.files.sync_directory()
    }
}
