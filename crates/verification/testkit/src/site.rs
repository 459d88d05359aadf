//! Several machines of a fleet with a council and an operator, all of them real processes with links between them.
use crate::coordination::Voters;
use crate::discovery::{Listed, Registry};
use crate::fleet::{Fleet, OPERATOR};
use crate::ledger::Ledger;
use crate::message::{ok_text, Message};
use crate::node::{config, Program};
use crate::upstream::{Options, Then, Upstream};
use crate::PATIENCE;
use std::net::SocketAddr;
use std::os::unix::fs::PermissionsExt;
use std::path::PathBuf;
use std::process::{Command, Output, Stdio};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

/// A site.
pub struct Site {
    program: Program,
    /// The voters, and the links to them: a supervisor is `supervisor/m1` there, a balancer `balancer/m1b0`.
    pub voters: Voters,
    /// What was sent, run and answered.
    pub ledger: Arc<Ledger>,
    /// Tells balancers of upstreams.
    pub registry: Registry,
    /// The upstreams u0, u1 and so on.
    pub upstreams: Vec<Upstream>,
    /// The machines m1, m2 and so on, in zones a and b in turn; their balancers are m1b0, m1b1 and so on.
    pub machines: Vec<Fleet>,
    /// The operators' file of outages.
    pub outages: PathBuf,
    /// The table of files by which the council is found.
    pub council: String,
}

/// How many of what.
#[derive(Clone, Copy, Debug)]
pub struct Size {
    /// Machines.
    pub machines: usize,
    /// Balancers on each.
    pub each: usize,
    /// Upstreams.
    pub upstreams: usize,
}

impl Site {
    /// Starts all, with three voters, and waits until every balancer is known to be in. `budgets` are the `[[budget]]`s of
    /// the outages' file; `asks`: whether supervisors belong to the council, and so ask for leave.
    pub fn start(program: &Program, size: Size, budgets: &str, asks: bool) -> Site {
        Site::start_with(program, size, budgets, asks, "")
    }

    /// The same with further lines of `[fleet]` for every machine.
    pub fn start_with(program: &Program, size: Size, budgets: &str, asks: bool, lines: &str) -> Site {
        let voters = Voters::start(program, 3);
        let list: Vec<String> = voters.reached().iter().map(|v| format!("\"{v}\"")).collect();
        let council =
            format!("[council]\nvoters = [{}]\nttl = \"1500ms\"\npatience = \"700ms\"\n", list.join(", "));
        let ledger = Arc::new(Ledger::with_room(4 << 20));
        let registry = Registry::new(Some(ledger.clone()));
        let upstreams: Vec<Upstream> = (0..size.upstreams)
            .map(|k| {
                let name = format!("u{k}");
                let options = Options { ledger: Some(ledger.clone()), cores: 8, ..Options::named(&name) };
                let work = |_: &Message| Then::Work(Duration::from_millis(3), ok_text("x"));
                let upstream = Upstream::with(options, work);
                registry.set(&name, Listed { addr: upstream.addr, group: 1, state: "active", started_ms: 0 });
                upstream
            })
            .collect();
        let balancers = size.machines * size.each;
        let operator = format!("{OPERATOR}{council}");
        let machines: Vec<Fleet> = (1..=size.machines)
            .map(|m| {
                let names: Vec<String> = (0..size.each).map(|k| format!("m{m}b{k}")).collect();
                let zone = ["a", "b"][(m + 1) % 2];
                let more = format!(
                    "machine = \"m{m}\"\nzone = \"{zone}\"\ntier = \"front\"\npause = \"50ms\"\n{lines}"
                );
                Fleet::start(program, &names, &more, &operator, if asks { &council } else { "" }, |k| {
                    let asked = registry.open(&names[k]).expect("a port");
                    let index = (m - 1) * size.each + k;
                    config(asked, 256, "null")
                        .replace(
                            "\"balancers\":1,\"index\":0",
                            &format!("\"balancers\":{balancers},\"index\":{index}"),
                        )
                        .replace("\"name\":\"n1\"", &format!("\"name\":\"{}\"", names[k]))
                })
            })
            .collect();
        let outages = program.file(".outages.toml", &format!("{council}{budgets}"));
        let program = program.clone();
        let site = Site { program, voters, ledger, registry, upstreams, machines, outages, council };
        site.machines.iter().for_each(|m| m.all("ready"));
        let output = site.command(&["outage", "apply"], &[]);
        assert!(output.status.success(), "{output:?}");
        if asks {
            site.until("all known and in", |state| out(state).is_empty() && units(state) == balancers);
        }
        site
    }

    /// Names and addresses of all balancers.
    pub fn addrs(&self) -> Vec<(String, SocketAddr)> {
        self.machines.iter().flat_map(|m| m.addrs.clone()).collect()
    }

    /// A command with the outages' file behind its name, not yet run.
    pub fn prepared(&self, name: &[&str], args: &[&str]) -> Command {
        let mut command = Command::new(&self.program.path);
        command.args(name).arg(&self.outages).args(args).stdin(Stdio::null());
        command
    }

    /// The same, run.
    pub fn command(&self, name: &[&str], args: &[&str]) -> Output {
        self.prepared(name, args).output().expect("runs")
    }

    /// A build that runs the program with this before it, as lines of a shell's script; its content tells it from all others.
    pub fn build(&self, lines: &str) -> PathBuf {
        let program = std::path::absolute(&self.program.path).expect("a path");
        let path = self
            .program
            .file(".build", &format!("#!/bin/sh\n{lines}\nexec '{}' \"$@\"\n", program.display()));
        std::fs::set_permissions(&path, std::fs::Permissions::from_mode(0o755)).expect("may be run");
        path
    }

    /// The file of a release from the program to such a build; `more` are further lines of `[release]` and tables.
    pub fn release(&self, new: &std::path::Path, more: &str) -> PathBuf {
        let old = std::path::absolute(&self.program.path).expect("a path");
        let text = format!(
            "{}[release]\nold = \"{}\"\nnew = \"{}\"\n{more}\n",
            self.council,
            old.display(),
            new.display()
        );
        self.program.file(".release.toml", &text)
    }

    /// What `outage status --json` says.
    pub fn state(&self) -> String {
        let output = self.command(&["outage", "status"], &["--json"]);
        String::from_utf8_lossy(&output.stdout).into_owned()
    }

    /// Waits until `outage status --json` is as wanted.
    pub fn until(&self, what: &str, wanted: impl Fn(&str) -> bool) {
        let started = Instant::now();
        loop {
            let state = self.state();
            if wanted(&state) {
                return;
            }
            assert!(started.elapsed() < 2 * PATIENCE, "not {what}: {state} {:#?}", self.logs());
            thread::yield_now();
        }
    }

    /// What all supervisors with their instances have logged.
    pub fn logs(&self) -> Vec<Vec<String>> {
        self.machines.iter().map(Fleet::log).collect()
    }

    /// A machine loses power; what it had taken is nobody's to answer any more.
    pub fn kill(&mut self, machine: usize) {
        self.machines[machine].kill();
        for (name, _) in &self.machines[machine].addrs {
            self.ledger.write(crate::ledger::Entry::Killed { balancer: name.clone() });
        }
    }

    /// Cuts a machine's supervisor, and with `all` its balancers as well, off from the voters, or heals that.
    pub fn cut(&self, machine: usize, all: bool, rule: crate::faults::link::Rule) {
        let balancers = self.machines[machine].addrs.iter().map(|(name, _)| format!("balancer/{name}"));
        let mut names = vec![format!("supervisor/m{}", machine + 1)];
        names.extend(balancers.filter(|_| all));
        for name in &names {
            self.voters.names.iter().for_each(|v| self.voters.net.set_both(name, v, rule));
        }
    }
}

/// The units that are out, by the state that [`Site::state`] returns.
pub fn out(state: &str) -> Vec<String> {
    let Some((_, rest)) = state.split_once("\"out\":[") else { return Vec::new() };
    let list = rest.split("],\"revision\"").next().unwrap_or_default();
    list.split("\"unit\":\"").skip(1).filter_map(|u| u.split('"').next()).map(Into::into).collect()
}

/// How many balancers the budget of the whole fleet counts.
pub fn units(state: &str) -> usize {
    let groups = state.split("{\"budget\":").find(|g| g.contains("\"group\":\"\""));
    let count = groups.and_then(|g| g.split_once("\"units\":")?.1.split(['}', ',']).next()?.parse().ok());
    count.unwrap_or(0)
}
