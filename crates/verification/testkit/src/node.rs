//! The program under test: its configurations and its process.
use crate::caller::Client;
use crate::discovery::{upstream_list, Discovery};
use crate::process::Process;
use crate::TEST_TIMEOUT;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Command, ExitStatus, Stdio};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread;
use std::time::Instant;

/// Platform configuration with a class of each effect (`read`, `order`, `pay`) and one tenant (`club`).
pub fn config(discovery: SocketAddr, sockets: usize, list: &str) -> String {
    format!(
        r#"{{"name":"n1","listen":"127.0.0.1:0","discovery":"{discovery}","seed":"8c1f30d27a5be964",
        "limits":{{"cores":1.0,"memory_mb":192,"sockets":{sockets}}},"known":{list},
        "settings":{{"balancers":1,"index":0,"membership_mode":"on_request","dcs":["a"],"kinds":["m"],
          "classes":[
            {{"name":"read","objective":1000,"deadline":20000,"effect":"free","late_worth":0.5}},
            {{"name":"order","objective":1000,"deadline":20000,"effect":"guarded","dedup_scope":"all",
              "repeat_window":20000,"late_worth":0.5}},
            {{"name":"pay","objective":1000,"deadline":20000,"effect":"single_shot","late_worth":0.5}}],
          "tenants":[{{"name":"club","share":1.0,"quota_per_s":5000}}],
          "permissions":{{"attempts_cap":5,"cancel":true,"retry_after":true,"max_retry_after":2000,
            "idle_close":60000}},
          "invariants":{{"cold_from":0.3,"ramp_time":9000,"tip_multiple":4,"drain_grace":1000}}}}}}"#
    )
}

/// Starts the program with its files in one folder.
#[derive(Clone, Debug)]
pub struct Program {
    /// Path of the executable.
    pub path: PathBuf,
    /// Folder of its files.
    pub folder: PathBuf,
}

static NEXT_FILE: AtomicUsize = AtomicUsize::new(0);

impl Program {
    /// Uses an executable and an existing folder.
    pub fn new(path: impl AsRef<Path>, folder: impl AsRef<Path>) -> Program {
        Program { path: path.as_ref().into(), folder: folder.as_ref().into() }
    }

    /// Writes a file with this content and a unique name.
    pub fn file(&self, ending: &str, content: &str) -> PathBuf {
        let number = NEXT_FILE.fetch_add(1, Ordering::SeqCst);
        let path = self.folder.join(format!("node-{}-{number}{ending}", std::process::id()));
        std::fs::write(&path, content).expect("writes a file");
        path
    }

    /// Prepares the program with this platform configuration.
    pub fn command(&self, config: &str) -> Command {
        self.prepared(config, Command::new(&self.path))
    }

    /// Like [`Program::command`], with a limit of descriptors that the configuration does not state.
    pub fn limited_command(&self, config: &str, descriptors: usize) -> Command {
        let mut shell = Command::new("sh");
        let exec = format!("ulimit -n {descriptors}; exec \"$0\"");
        shell.args(["-c", &exec]).arg(&self.path);
        self.prepared(config, shell)
    }

    fn prepared(&self, config: &str, mut command: Command) -> Command {
        command.env("NODE_CONFIG", self.file(".json", config)).stdout(Stdio::null()).stderr(Stdio::piped());
        command
    }

    /// Starts a balancer with this list, whose discovery gives prepared answers.
    pub fn start(&self, sockets: usize, list: &str) -> Node {
        let discovery = Discovery::start();
        let command = self.command(&config(discovery.addr, sockets, list));
        Node::run(command, discovery)
    }

    /// Starts a balancer that knows these upstreams and whose discovery never answers.
    pub fn with(&self, upstreams: &[SocketAddr]) -> Node {
        let servers: Vec<_> = upstreams.iter().enumerate().map(|(n, &a)| (n, a, "active")).collect();
        self.start(1024, &upstream_list(1, true, &servers))
    }
}

/// Text that a balancer logs before the address on which it serves.
const SERVING: &str = "serving on ";

/// Sends a signal, by its short name, to a process that the test started.
pub fn signal(pid: u32, name: &str) {
    let status = Command::new("kill").args([&format!("-{name}"), &pid.to_string()]).status();
    assert!(status.expect("runs kill").success(), "process {pid} did not accept signal {name}");
}

/// A running balancer, killed when dropped.
pub struct Node {
    process: Process,
    /// Its configuration file.
    pub file: PathBuf,
    /// Address on which it listens.
    pub addr: SocketAddr,
    /// Discovery of the balancer, kept so that calls get no answer instead of a refused connection.
    pub discovery: Discovery,
}

impl Node {
    /// Starts a prepared command and waits until the balancer serves.
    pub fn run(command: Command, discovery: Discovery) -> Node {
        Node::run_filtered(command, discovery, |_| true)
    }

    /// Like [`Node::run`], but keeps only the log lines for which `is_kept` holds, and the line with its
    /// address.
    pub fn run_filtered(
        command: Command,
        discovery: Discovery,
        is_kept: impl Fn(&str) -> bool + Send + 'static,
    ) -> Node {
        let file = command.get_envs().find(|(name, _)| *name == "NODE_CONFIG").and_then(|(_, path)| path);
        let file = file.expect("a configuration").into();
        let process = Process::start_filtered(command, move |line| is_kept(line) || line.contains(SERVING));
        // Dropped on a panic here, which kills a process that never serves.
        let serves = |line: &str| line.split_once(SERVING).map(|(_, addr)| addr.parse());
        match process.find_line(0, serves) {
            Some(addr) => Node { process, file, addr: addr.expect("an address"), discovery },
            None => panic!("the balancer does not serve: {:?}", process.log()),
        }
    }

    /// Log lines so far.
    pub fn log(&self) -> Vec<String> {
        self.process.log()
    }

    /// Process id.
    pub fn pid(&self) -> u32 {
        self.process.pid()
    }

    /// Number of open descriptors.
    pub fn descriptors(&self) -> usize {
        let path = format!("/proc/{}/fd", self.process.pid());
        std::fs::read_dir(path).expect("its descriptors").count()
    }

    /// Whether the process is still running.
    pub fn is_running(&mut self) -> bool {
        self.process.is_running()
    }

    /// Peak resident memory of the process so far, in bytes.
    pub fn peak_memory(&self) -> u64 {
        self.memory_status("VmHWM:")
    }

    /// Resident memory of the process without the pages of mapped files, in bytes.
    pub fn own_memory(&self) -> u64 {
        self.memory_status("RssAnon:") + self.memory_status("RssShmem:")
    }

    /// A line of the process's status, in bytes.
    fn memory_status(&self, name: &str) -> u64 {
        let path = format!("/proc/{}/status", self.process.pid());
        let status = std::fs::read_to_string(path).expect("the status of a running process");
        let kibibytes = status.lines().find_map(|line| line.strip_prefix(name)?.strip_suffix("kB"));
        kibibytes.and_then(|number| number.trim().parse::<u64>().ok()).expect("a number of kB") << 10
    }

    /// Waits until the number of descriptors satisfies a condition; fails with the text `failure`.
    pub fn wait_for_descriptors(&self, condition: impl Fn(usize) -> bool, failure: &str) {
        let started = Instant::now();
        while !condition(self.descriptors()) {
            assert!(started.elapsed() < TEST_TIMEOUT, "{failure}");
            thread::yield_now();
        }
    }

    /// Sends SIGTERM.
    pub fn terminate(&self) {
        signal(self.process.pid(), "TERM");
    }

    /// Replaces the configuration and sends SIGHUP.
    pub fn reload(&self, config: &str) {
        std::fs::write(&self.file, config).expect("writes the configuration");
        signal(self.process.pid(), "HUP");
    }

    /// Waits for a log line that contains `wanted`.
    pub fn wait_for_log(&self, wanted: &str) {
        self.process.wait_for_log(wanted);
    }

    /// Waits until the process has ended and its log is read.
    pub fn wait(&mut self) -> ExitStatus {
        self.process.wait()
    }

    /// Connects to the balancer.
    pub fn client(&self) -> Client {
        self.try_client().expect("connects")
    }

    /// Connects and sends `text` without reading an answer.
    pub fn client_with_request(&self, text: &str) -> Client {
        let mut client = self.client();
        client.send(text);
        client
    }

    /// Connects to the balancer; `None` if it does not listen any more.
    pub fn try_client(&self) -> Option<Client> {
        Client::connect(self.addr)
    }
}
