//! Several machines of a fleet with a council and an operator. All are real processes, with links between
//! them.
use crate::coordination::Voters;
use crate::discovery::{ListedUpstream, Registry};
use crate::fleet::{Fleet, OPERATOR_CONFIG};
use crate::ledger::Ledger;
use crate::message::{ok_response, Message};
use crate::node::{config, Program};
use crate::upstream::{Step, Upstream, UpstreamOptions};
use crate::TEST_TIMEOUT;
use std::net::SocketAddr;
use std::os::unix::fs::PermissionsExt;
use std::path::PathBuf;
use std::process::{Command, Output, Stdio};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

/// Machines of a fleet with voters, upstreams and discovery.
pub struct Site {
    program: Program,
    /// The voters and the links to them, where a supervisor is named `supervisor/m1` and a balancer
    /// `balancer/m1b0`.
    pub voters: Voters,
    /// Ledger of requests, executions and answers.
    pub ledger: Arc<Ledger>,
    /// Registry that notifies balancers of upstreams.
    pub registry: Registry,
    /// The upstreams u0, u1 and so on.
    pub upstreams: Vec<Upstream>,
    /// The machines m1, m2 and so on, alternately in zones a and b; their balancers are m1b0, m1b1 and so on.
    pub machines: Vec<Fleet>,
    /// The operators' outage file.
    pub outage_file: PathBuf,
    /// The `[council]` table with which files refer to the voters.
    pub council: String,
}

/// Size of a site.
#[derive(Clone, Copy, Debug)]
pub struct Size {
    /// Number of machines.
    pub machines: usize,
    /// Number of balancers on each machine.
    pub balancers_per_machine: usize,
    /// Number of upstreams.
    pub upstreams: usize,
}

impl Site {
    /// Starts everything with three voters, and waits until every balancer is ready. `budgets` are the
    /// `[[budget]]` tables of the outage file. With `uses_council`, supervisors use the council and therefore
    /// request leases, and the start also waits until the council counts every balancer as available.
    pub fn start(program: &Program, size: Size, budgets: &str, uses_council: bool) -> Site {
        Site::start_with(program, size, budgets, uses_council, "")
    }

    /// Like [`Site::start`], with further `lines` in `[fleet]` for every machine.
    pub fn start_with(program: &Program, size: Size, budgets: &str, uses_council: bool, lines: &str) -> Site {
        let voters = Voters::start(program, 3);
        let list: Vec<String> = voters.client_addrs().iter().map(|v| format!("\"{v}\"")).collect();
        let council =
            format!("[council]\nvoters = [{}]\nttl = \"1500ms\"\npatience = \"700ms\"\n", list.join(", "));
        let ledger = Arc::new(Ledger::with_capacity(4 << 20));
        let registry = Registry::new(Some(ledger.clone()));
        let upstreams: Vec<Upstream> = (0..size.upstreams)
            .map(|index| {
                let name = format!("u{index}");
                let options = UpstreamOptions {
                    ledger: Some(ledger.clone()),
                    cores: 8,
                    ..UpstreamOptions::named(&name)
                };
                let work = |_: &Message| Step::Work(Duration::from_millis(3), ok_response("x"));
                let upstream = Upstream::with(options, work);
                registry.set(
                    &name,
                    ListedUpstream { addr: upstream.addr, group: 1, state: "active", started_ms: 0 },
                );
                upstream
            })
            .collect();
        let balancers = size.machines * size.balancers_per_machine;
        let operator = format!("{OPERATOR_CONFIG}{council}");
        let machines: Vec<Fleet> = (1..=size.machines)
            .map(|number| {
                let names: Vec<String> =
                    (0..size.balancers_per_machine).map(|balancer| format!("m{number}b{balancer}")).collect();
                let zone = ["a", "b"][(number + 1) % 2];
                let more = format!(
                    "machine = \"m{number}\"\nzone = \"{zone}\"\ntier = \"front\"\npause = \"50ms\"\n{lines}"
                );
                Fleet::start(
                    program,
                    &names,
                    &more,
                    &operator,
                    if uses_council { &council } else { "" },
                    |balancer| {
                        let discovery = registry.open_endpoint(&names[balancer]).expect("a port");
                        let index = (number - 1) * size.balancers_per_machine + balancer;
                        config(discovery, 256, "null")
                            .replace(
                                "\"balancers\":1,\"index\":0",
                                &format!("\"balancers\":{balancers},\"index\":{index}"),
                            )
                            .replace("\"name\":\"n1\"", &format!("\"name\":\"{}\"", names[balancer]))
                    },
                )
            })
            .collect();
        let outage_file = program.file(".outages.toml", &format!("{council}{budgets}"));
        let program = program.clone();
        let site = Site { program, voters, ledger, registry, upstreams, machines, outage_file, council };
        site.machines.iter().for_each(|machine| machine.wait_for_all("ready"));
        let output = site.command(&["outage", "apply"], &[]);
        assert!(output.status.success(), "{output:?}");
        if uses_council {
            site.until("all known and in", |state| units_out(state).is_empty() && units(state) == balancers);
        }
        site
    }

    /// Names and addresses of all balancers.
    pub fn addrs(&self) -> Vec<(String, SocketAddr)> {
        self.machines.iter().flat_map(|m| m.addrs.clone()).collect()
    }

    /// Prepares a command with the outage file after its name, without running it.
    pub fn prepare_command(&self, name: &[&str], args: &[&str]) -> Command {
        let mut command = Command::new(&self.program.path);
        command.args(name).arg(&self.outage_file).args(args).stdin(Stdio::null());
        command
    }

    /// Runs a command with the outage file after its name.
    pub fn command(&self, name: &[&str], args: &[&str]) -> Output {
        self.prepare_command(name, args).output().expect("runs")
    }

    /// Writes a build: a shell script that runs these lines and then the program. Its content makes its build
    /// id unique.
    pub fn write_build(&self, lines: &str) -> PathBuf {
        let program = std::path::absolute(&self.program.path).expect("a path");
        let path = self
            .program
            .file(".build", &format!("#!/bin/sh\n{lines}\nexec '{}' \"$@\"\n", program.display()));
        std::fs::set_permissions(&path, std::fs::Permissions::from_mode(0o755)).expect("may be run");
        path
    }

    /// Writes the file of a release from the program to such a build. `extra_lines` are further lines of
    /// `[release]` and further tables.
    pub fn write_release_file(&self, new: &std::path::Path, extra_lines: &str) -> PathBuf {
        let old = std::path::absolute(&self.program.path).expect("a path");
        let text = format!(
            "{}[release]\nold = \"{}\"\nnew = \"{}\"\n{extra_lines}\n",
            self.council,
            old.display(),
            new.display()
        );
        self.program.file(".release.toml", &text)
    }

    /// Output of `outage status --json`.
    pub fn state(&self) -> String {
        let output = self.command(&["outage", "status"], &["--json"]);
        String::from_utf8_lossy(&output.stdout).into_owned()
    }

    /// Waits until the output of `outage status --json` satisfies a condition.
    pub fn until(&self, expected: &str, condition: impl Fn(&str) -> bool) {
        let started = Instant::now();
        loop {
            let state = self.state();
            if condition(&state) {
                return;
            }
            assert!(started.elapsed() < 2 * TEST_TIMEOUT, "not {expected}: {state} {:#?}", self.logs());
            thread::yield_now();
        }
    }

    /// Log lines of all supervisors and their instances.
    pub fn logs(&self) -> Vec<Vec<String>> {
        self.machines.iter().map(Fleet::log).collect()
    }

    /// Simulates a loss of power on a machine, and records its balancers as killed, so that they owe no
    /// answers.
    pub fn kill(&mut self, machine: usize) {
        self.machines[machine].kill();
        for (name, _) in &self.machines[machine].addrs {
            self.ledger.write(crate::ledger::Entry::Killed { balancer: name.clone() });
        }
    }

    /// Sets the rule of the links between a machine's supervisor and the voters, and with `include_balancers`
    /// also of those of its balancers.
    pub fn set_link_rule(&self, machine: usize, include_balancers: bool, rule: crate::faults::link::Rule) {
        let balancers = self.machines[machine].addrs.iter().map(|(name, _)| format!("balancer/{name}"));
        let mut names = vec![format!("supervisor/m{}", machine + 1)];
        names.extend(balancers.filter(|_| include_balancers));
        for name in &names {
            self.voters.names.iter().for_each(|v| self.voters.network.set_both_ways(name, v, rule));
        }
    }
}

/// Units that are unavailable according to the output of [`Site::state`].
pub fn units_out(state: &str) -> Vec<String> {
    let Some((_, rest)) = state.split_once("\"out\":[") else { return Vec::new() };
    let list = rest.split("],\"revision\"").next().unwrap_or_default();
    list.split("\"unit\":\"").skip(1).filter_map(|u| u.split('"').next()).map(Into::into).collect()
}

/// Number of balancers that the budget of the whole fleet counts.
pub fn units(state: &str) -> usize {
    let groups = state.split("{\"budget\":").find(|g| g.contains("\"group\":\"\""));
    let count = groups.and_then(|g| g.split_once("\"units\":")?.1.split(['}', ',']).next()?.parse().ok());
    count.unwrap_or(0)
}
