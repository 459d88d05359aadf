//! A machine of a fleet: its files, its supervisor, and the instances, which outlive the supervisor.
use crate::node::Program;
use crate::process::{reserve_address, Process};
use crate::TEST_TIMEOUT;
use rustix::process::{kill_process, Pid, Signal};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Command, Output, Stdio};
use std::thread;
use std::time::Instant;

/// Operator's settings with short waits, so that a roll through many instances takes seconds.
pub const OPERATOR_CONFIG: &str =
    "[daemon]\naccepting = \"100ms\"\nserving = \"200ms\"\nlast_answer = \"2s\"\nend = \"3s\"\n";

/// State of an instance and its process id.
pub type InstanceStatus = (String, Option<u32>);

/// A machine with a supervisor. Dropping it kills all its processes.
pub struct Fleet {
    program: Program,
    /// The fleet's configuration file.
    pub file: PathBuf,
    /// Folder that contains the file.
    pub folder: PathBuf,
    /// Names and addresses of its instances.
    pub addrs: Vec<(String, SocketAddr)>,
    /// Platform configuration files of its instances.
    pub configs: Vec<PathBuf>,
    /// The supervisor process.
    pub supervisor: Process,
}

impl Fleet {
    /// Starts a supervisor of instances with these names. `config_of` returns the platform configuration of
    /// each, in which `127.0.0.1:0` is replaced by the instance's address. `extra_lines` are added to
    /// `[fleet]`, `operator` is the operator's file of all instances, and `tables` are further tables of the
    /// fleet's file.
    pub fn start(
        program: &Program,
        names: &[String],
        extra_lines: &str,
        operator: &str,
        tables: &str,
        config_of: impl Fn(usize) -> String,
    ) -> Fleet {
        let folder = program.file(".fleet", "");
        std::fs::remove_file(&folder).expect("removes");
        std::fs::create_dir(&folder).expect("creates");
        std::fs::write(folder.join("own.toml"), operator).expect("writes");
        let mut text =
            format!("[fleet]\nfolder = \"run\"\noperator = \"own.toml\"\nspread = \"10ms\"\n{extra_lines}\n");
        let (mut addrs, mut configs) = (Vec::new(), Vec::new());
        for (index, name) in names.iter().enumerate() {
            let addr = reserve_address();
            let config = config_of(index).replace("127.0.0.1:0", &addr.to_string());
            let file = folder.join(format!("{name}.json"));
            std::fs::write(&file, config).expect("writes");
            text += &format!("[[instance]]\nname = \"{name}\"\nconfig = \"{name}.json\"\n");
            addrs.push((name.clone(), addr));
            configs.push(file);
        }
        let file = folder.join("fleet.toml");
        std::fs::write(&file, text + tables).expect("writes");
        let supervisor = start_supervisor(program, &file);
        Fleet { program: program.clone(), file, folder, addrs, configs, supervisor }
    }

    /// Prepares a `herondock fleet` command without running it.
    pub fn prepare_command(&self, args: &[&str]) -> Command {
        let mut command = Command::new(&self.program.path);
        command.arg("fleet").args(args).arg(&self.file);
        command
    }

    /// Runs a `herondock fleet` command.
    pub fn command(&self, args: &[&str]) -> Output {
        self.prepare_command(args).output().expect("runs")
    }

    /// Returns the state and process id of each instance from `fleet status --json`.
    pub fn status(&self) -> Vec<InstanceStatus> {
        let output = self.command(&["status", "--json"]);
        let text = String::from_utf8_lossy(&output.stdout).into_owned();
        assert!(output.status.success(), "{output:?}");
        let field = |line: &str, key: &str| {
            let (_, rest) = line.split_once(&format!("\"{key}\":"))?;
            Some(rest.split([',', '}']).next()?.trim_matches('"').to_string())
        };
        let instances = text.split("{\"").filter(|part| part.contains("\"state\":"));
        instances
            .map(|i| (field(i, "state").expect("a state"), field(i, "pid").and_then(|p| p.parse().ok())))
            .collect()
    }

    /// Waits until the states satisfy a condition.
    pub fn until(&self, expected: &str, condition: impl Fn(&[InstanceStatus]) -> bool) {
        let started = Instant::now();
        loop {
            let status = self.status();
            if condition(&status) {
                return;
            }
            assert!(started.elapsed() < 2 * TEST_TIMEOUT, "not {expected}: {status:?} {:?}", self.log());
            thread::yield_now();
        }
    }

    /// Waits until all instances are in this state.
    pub fn wait_for_all(&self, state: &str) {
        self.until(state, |status| status.iter().all(|(s, _)| s == state));
    }

    /// Log lines of the supervisor and its instances.
    pub fn log(&self) -> Vec<String> {
        self.supervisor.log()
    }

    /// Starts another supervisor in place of one that has ended.
    pub fn restart_supervisor(&mut self) {
        self.supervisor = start_supervisor(&self.program, &self.file);
        self.supervisor.wait_for_log("supervisor of");
    }

    /// Process ids of the instances, from their pid files. A stale file may name a process of another
    /// program, so only processes of this program are returned.
    pub fn pids(&self) -> Vec<u32> {
        let own = std::fs::canonicalize(&self.program.path).ok();
        let is_ours = |pid: &u32| std::fs::read_link(format!("/proc/{pid}/exe")).ok() == own;
        let files = std::fs::read_dir(self.folder.join("run")).into_iter().flatten().flatten();
        let pid = |path: PathBuf| {
            let of_pid = path.extension().is_some_and(|e| e == "pid");
            of_pid.then(|| std::fs::read_to_string(path).ok()?.trim().parse().ok()).flatten()
        };
        files.filter_map(|f| pid(f.path())).filter(is_ours).collect()
    }

    /// Sends a signal to the supervisor and all instances, as if the whole machine were affected.
    pub fn signal(&self, signal: Signal) {
        // The supervisor first, because it must not restart instances that end.
        self.supervisor.signal(signal);
        for pid in self.pids() {
            if let Some(pid) = i32::try_from(pid).ok().and_then(Pid::from_raw) {
                let _ = kill_process(pid, signal);
            }
        }
    }

    /// Simulates a loss of power: kills all processes at once.
    pub fn kill(&mut self) {
        self.signal(Signal::KILL);
        self.supervisor.kill();
    }
}

fn start_supervisor(program: &Program, file: &std::path::Path) -> Process {
    let mut command = Command::new(&program.path);
    command.arg("fleet").arg(file).stdin(Stdio::null()).stdout(Stdio::null());
    Process::start(command)
}

impl Drop for Fleet {
    fn drop(&mut self) {
        // Instances outlive their supervisor, but must not outlive the test.
        self.kill();
    }
}
