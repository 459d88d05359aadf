//! Thirty instances under a supervisor: rolled through under load, crashing, and losing their supervisor.
mod common;
use common::*;
use std::process::{Command, Output};
use std::sync::Arc;
use std::thread;
use std::time::Duration;
use testkit::discovery::{ListedUpstream, Registry};
use testkit::fleet::{Fleet, OPERATOR_CONFIG};
use testkit::ledger::{Entry, Ledger};
use testkit::message::ok_response;
use testkit::node::signal;
use testkit::upstream::UpstreamOptions;

/// Instances n0, n1 and so on, which ask this registry.
fn asking(size: usize, more: &str, registry: &Registry) -> Fleet {
    let names: Vec<String> = (0..size).map(|k| format!("n{k}")).collect();
    let fleet = Fleet::start(&program(), &names, more, OPERATOR_CONFIG, "", |k| {
        let asked = registry.open_endpoint(&names[k]).expect("a port");
        let numbers = format!("\"balancers\":{size},\"index\":{k}");
        config(asked, 256, "null").replace("\"balancers\":1,\"index\":0", &numbers)
    });
    fleet.wait_for_all("ready");
    fleet
}

fn upstream(name: &str, ledger: &Arc<Ledger>, registry: &Registry) -> Upstream {
    let options = UpstreamOptions { ledger: Some(ledger.clone()), cores: 8, ..UpstreamOptions::named(name) };
    let upstream =
        Upstream::with(options, |_: &Message| Step::Work(Duration::from_millis(3), ok_response("x")));
    registry.set(name, ListedUpstream { addr: upstream.addr, group: 1, state: "active", started_ms: 0 });
    upstream
}

fn succeeded(output: &Output) {
    assert!(output.status.success(), "{output:?}");
}

/// The figure that the users asked for: thirty instances, each restarted in turn, while one upstream drains and another
/// resets; and then each taken over. No final answer is lost and no charge is run twice.
#[test]
fn thirty_instances_are_rolled_through_under_load_and_no_rule_breaks() {
    let ledger = Arc::new(Ledger::new());
    let registry = Registry::new(Some(ledger.clone()));
    let upstreams = ["u0", "u1", "u2", "u3"].map(|name| upstream(name, &ledger, &registry));
    let fleet = asking(30, "", &registry);
    let before: Vec<_> = fleet.status().into_iter().map(|(_, pid)| pid).collect();
    let (output, served, _) = under_load(&ledger, &fleet.addrs, || {
        let rolled = thread::scope(|scope| {
            let roll = scope.spawn(|| fleet.command(&["restart"]));
            // Its third instance is through: in the middle of it the fleet behind changes too.
            fleet.until("rolling", |s| {
                s.iter().zip(&before).filter(|((_, pid), old)| pid != *old).count() >= 3
            });
            registry.state("u0", "leaving");
            upstreams[1].kill();
            fleet.until("rolling", |s| {
                s.iter().zip(&before).filter(|((_, pid), old)| pid != *old).count() >= 10
            });
            registry.state("u1", "left");
            roll.join().expect("no panic")
        });
        rolled
    });
    succeeded(&output);
    let after: Vec<_> = fleet.status().into_iter().map(|(_, pid)| pid).collect();
    assert!(
        before.iter().zip(&after).all(|(old, new)| old != new && new.is_some()),
        "each has another process"
    );
    assert_eq!(ledger.check(&figures()), [], "{:?}", fleet.log());
    assert!(served > 500, "{served}");
    let (output, served, other) = under_load(&ledger, &fleet.addrs, || {
        let output = fleet.command(&["take-over"]);
        // The load goes on until the old processes have ended as well.
        let taken = |status: &[(String, Option<u32>)]| {
            let gone = |pid: &Option<u32>| {
                pid.is_some_and(|pid| !std::path::Path::new(&format!("/proc/{pid}")).exists())
            };
            status.iter().zip(&after).all(|((_, new), old)| new != old && gone(old))
        };
        fleet.until("taken over", taken);
        output
    });
    succeeded(&output);
    assert_eq!(ledger.check(&figures()), [], "{:?}", fleet.log());
    assert!(served > 100 && other == 0, "a take-over is not noticed at all: {served} served, {other} not");
    succeeded(&fleet.command(&["stop"]));
}

#[test]
fn a_roll_halts_at_an_instance_that_does_not_come_back() {
    let ledger = Arc::new(Ledger::new());
    let registry = Registry::new(Some(ledger.clone()));
    let _upstream = upstream("u0", &ledger, &registry);
    let mut fleet = asking(4, "pause = \"10ms\"\ncrashes = 3", &registry);
    let first = fleet.status();
    // The second can't start any more: its configuration is broken.
    let good = std::fs::read_to_string(&fleet.configs[1]).expect("reads");
    std::fs::write(&fleet.configs[1], "{").expect("writes");
    let (output, _, _) = under_load(&ledger, &fleet.addrs, || fleet.command(&["restart"]));
    let error = String::from_utf8_lossy(&output.stderr).into_owned();
    assert!(output.status.code() == Some(1) && error.contains("halted at n1: "), "{error}");
    fleet.until("given up", |s| s[1].0 == "given up");
    let now = fleet.status();
    assert!(
        now[0].1 != first[0].1 && now[2] == first[2] && now[3] == first[3],
        "those behind were not touched"
    );
    assert_eq!(ledger.check(&figures()), []);
    let table = String::from_utf8_lossy(&fleet.command(&["status"]).stdout).into_owned();
    assert!(table.contains("given up") && table.contains("3 crashes"), "{table}");
    // No further roll while one is down; it starts again when the operator says so.
    assert!(!fleet.command(&["restart"]).status.success());
    std::fs::write(&fleet.configs[1], good).expect("writes");
    succeeded(&fleet.command(&["start"]));
    fleet.wait_for_all("ready");
    // A reload that an instance does not take halts as well, and all serve on.
    std::fs::write(fleet.folder.join("own.toml"), "[limits]\nhead = \"32KiB\"\n").expect("writes");
    let output = fleet.command(&["reload"]);
    let error = String::from_utf8_lossy(&output.stderr).into_owned();
    assert!(error.contains("halted at n0") && error.contains("limits.head"), "{error}");
    fleet.wait_for_all("ready");
    std::fs::write(fleet.folder.join("own.toml"), OPERATOR_CONFIG).expect("writes");
    succeeded(&fleet.command(&["reload"]));
    succeeded(&fleet.command(&["stop"]));
    assert!(fleet.supervisor.wait_for_exit().success());
    assert!(fleet.status().iter().all(|(state, _)| state == "down"), "without a supervisor, too");
}

#[test]
fn instances_outlive_their_supervisor_and_the_next_one_finds_them() {
    let ledger = Arc::new(Ledger::new());
    let registry = Registry::new(Some(ledger.clone()));
    let _upstream = upstream("u0", &ledger, &registry);
    let mut fleet = asking(5, "", &registry);
    let before = fleet.status();
    // Two supervisors of one fleet: the second is refused, by the first one's number.
    let output = Command::new(program().path).arg("fleet").arg(&fleet.file).output().expect("runs");
    let error = String::from_utf8_lossy(&output.stderr).into_owned();
    assert!(error.contains(&format!("held by process {}", fleet.supervisor.pid())), "{error}");
    // Killed in the middle of a roll.
    let ((), _, _) = under_load(&ledger, &fleet.addrs.clone(), || {
        thread::scope(|scope| {
            let asked = scope.spawn(|| fleet.command(&["restart"]));
            fleet.until("rolling", |s| s[1].1 != before[1].1);
            signal(fleet.supervisor.pid(), "KILL");
            let output = asked.join().expect("no panic");
            assert!(!output.status.success(), "whoever waited for the roll hears that it broke off");
        });
        fleet.supervisor.wait_for_exit();
        fleet.restart_supervisor();
        fleet.wait_for_all("ready");
    });
    let after = fleet.status();
    assert_eq!((&after[3], &after[4]), (&before[3], &before[4]), "found, not started anew");
    assert_eq!(ledger.check(&figures()), [], "{:?}", fleet.log());
    // What was found is looked after like its own: killed, it is started again.
    signal(after[4].1.expect("a process"), "KILL");
    fleet.until("restarted", |s| s[4].0 == "ready" && s[4].1 != after[4].1);
    // Told to end, a supervisor leaves them too.
    signal(fleet.supervisor.pid(), "TERM");
    assert!(fleet.supervisor.wait_for_exit().success());
    assert!(fleet.status().iter().all(|(state, _)| state == "running"));
    fleet.restart_supervisor();
    fleet.wait_for_all("ready");
    succeeded(&fleet.command(&["stop"]));
    let killed = |r: &testkit::ledger::Record| matches!(r.entry, Entry::Killed { .. });
    assert!(!ledger.since(0).iter().any(killed), "the ledger excused nothing");
}
