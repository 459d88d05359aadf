//! The balancer as the platform starts it: with the `run` command of the deploy file and a configuration.
use crate::record;
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

/// Platform configuration of the only balancer of a small deployment.
pub struct Config {
    pub listen: SocketAddr,
    pub discovery: SocketAddr,
    /// List as this balancer last had it, in discovery's form.
    pub known: String,
    /// Content of the operator's file, if there is one.
    pub operator: Option<String>,
}

/// Classes of the deployment: name, whether it is keyed (otherwise unsafe to repeat), and deadline.
pub const KEYED: (&str, u64) = ("enrol", 2500);
pub const UNSAFE: (&str, u64) = ("dues", 6000);
pub const TENANTS: [&str; 3] = ["north", "south", "harbour"];

impl Config {
    fn text(&self) -> String {
        let tenants: Vec<String> =
            TENANTS.iter().map(|t| format!(r#"{{"name":"{t}","share":0.333,"quota_per_s":50.0}}"#)).collect();
        format!(
            r#"{{"name":"n1","listen":"{}","discovery":"{}","seed":"51c0ffee00d15ea5",
"limits":{{"cores":1.0,"memory_mb":192,"sockets":1024}},"peers":[],"known":{},
"settings":{{"balancers":1,"index":0,"stage":0,"zone":0,"tiers":["portal"],"dcs":["z1"],"kinds":["std"],
"membership_mode":"on_request","domain_type":"chain","tick":5.0,"weights":"none","worth_by":"request",
"classes":[
{{"name":"{}","deadline":{}.0,"objective":1000.0,"effect":"guarded","dedup_scope":"cell","repeat_window":4000.0,
"importance":1.0,"late_worth":0.5,"streaming":false}},
{{"name":"{}","deadline":{}.0,"objective":2500.0,"effect":"single_shot","dedup_scope":"all","repeat_window":5000.0,
"importance":1.0,"late_worth":0.25,"streaming":false}}],
"tenants":[{}],"over_share_worth":0.05,
"charges":{{"connection":0.08,"handshake":0.08,"cross_zone":0.0,"late_fail":0.05,"waste":0.05}},
"permissions":{{"attempts_cap":5,"cancel":true,"cpu_us_per_request":0.0,"cpu_us_per_s":800000,"dial_timeout":250.0,
"idle_close":5000.0,"max_open":20000,"max_retry_after":2000.0,"may_probe":false,"multiplex":1,"peers":false,
"retry_after":true,"second_copies":true}},
"stats":{{"columns":[],"via":"none"}},
"invariants":{{"ask_within":10000.0,"cold_from":0.32,"drain_grace":1000.0,"fall":1000.0,"grace_to_answer":20.0,
"ramp_time":9000.0,"tip_multiple":4.0}}}}}}"#,
            self.listen,
            self.discovery,
            self.known,
            KEYED.0,
            KEYED.1,
            UNSAFE.0,
            UNSAFE.1,
            tenants.join(",")
        )
    }
}

/// A free loopback address.
pub fn free_addr() -> SocketAddr {
    let listener = TcpListener::bind(("127.0.0.1", 0)).expect("a free port");
    listener.local_addr().expect("an address")
}

/// A running balancer; killed when dropped.
pub struct Balancer {
    child: Child,
    file: PathBuf,
    pub addr: SocketAddr,
}

impl Balancer {
    /// Starts the `run` command of `root`/deploy/balancer.toml. `folder` is for its files.
    pub fn start(root: &Path, folder: &Path, config: &Config) -> std::io::Result<Balancer> {
        let deploy = std::fs::read_to_string(root.join("deploy/balancer.toml"))?;
        let run = deploy.lines().find_map(|l| l.strip_prefix("run = \"")?.strip_suffix('"'));
        let run = run.ok_or_else(|| std::io::Error::other("deploy/balancer.toml has no run"))?;
        let file = folder.join("config.json");
        std::fs::write(&file, config.text())?;
        let private = folder.join("tmp");
        std::fs::create_dir_all(&private)?;
        let mut run = run.to_string();
        if let Some(operator) = &config.operator {
            let file = folder.join("operator.toml");
            std::fs::write(&file, operator)?;
            run = format!("{run} run --operator '{}'", file.display());
        }
        let mut child = Command::new("/bin/sh")
            .args(["-c", &run])
            .current_dir(root)
            .env("NODE_NAME", "n1")
            .env("NODE_LISTEN", config.listen.to_string())
            .env("NODE_DISCOVERY", config.discovery.to_string())
            .env("NODE_CONFIG", &file)
            .env("TMPDIR", &private)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(Stdio::piped())
            .spawn()?;
        // For the script, which ends the process if this one can't.
        std::fs::write(folder.join("pid"), child.id().to_string())?;
        record::line(&format!("balancer n1 started, process {}, discovery {}", child.id(), config.discovery));
        if let Some(log) = child.stderr.take() {
            std::thread::spawn(move || {
                for line in BufReader::new(log).lines().map_while(Result::ok) {
                    record::line(&format!("balancer log: {line}"));
                }
            });
        }
        Ok(Balancer { child, file, addr: config.listen })
    }

    pub fn write_config(&self, config: &Config) -> std::io::Result<()> {
        // Replaced in one step: a reader finds one of the two whole files.
        let next = self.file.with_extension("next");
        std::fs::write(&next, config.text())?;
        std::fs::rename(next, &self.file)
    }

    /// Sends a signal by its short name.
    pub fn signal(&self, name: &str) -> bool {
        record::line(&format!("balancer n1 gets SIG{name}"));
        let status = Command::new("kill").args([&format!("-{name}"), &self.child.id().to_string()]).status();
        status.is_ok_and(|s| s.success())
    }

    pub fn has_ended(&mut self) -> bool {
        !matches!(self.child.try_wait(), Ok(None))
    }

    /// Asks `GET /-/ready` once.
    pub fn is_ready(&self) -> bool {
        let ask = || -> std::io::Result<u16> {
            let mut stream = TcpStream::connect_timeout(&self.addr, Duration::from_millis(500))?;
            stream.set_read_timeout(Some(Duration::from_secs(2)))?;
            stream
                .write_all(b"GET /-/ready HTTP/1.1\r\nHost: service.internal\r\nConnection: close\r\n\r\n")?;
            let message = crate::http::read_message(&mut BufReader::new(stream))?;
            Ok(message.map_or(0, |m| m.status()))
        };
        ask().is_ok_and(|status| status == 200)
    }

    /// Waits until it is ready, for this time at most; returns how long it took.
    pub fn wait_ready(&mut self, most: Duration) -> Option<Duration> {
        let started = Instant::now();
        while started.elapsed() < most && !self.has_ended() {
            if self.is_ready() {
                record::line("balancer n1 is ready");
                return Some(started.elapsed());
            }
            std::thread::sleep(Duration::from_millis(50));
        }
        None
    }
}

impl Drop for Balancer {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_file(self.file.with_file_name("pid"));
    }
}
