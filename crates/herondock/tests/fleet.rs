//! Instances under a supervisor: rolling restarts and handoffs under load, crash loops, and the loss of the supervisor.
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

/// Starts a fleet of instances n0, n1 and so on that discover their upstreams from `registry`, and waits until all are ready.
fn start_fleet(size: usize, fleet_settings: &str, registry: &Registry) -> Fleet {
    let names: Vec<String> = (0..size).map(|k| format!("n{k}")).collect();
    let fleet = Fleet::start(&program(), &names, fleet_settings, OPERATOR_CONFIG, "", |k| {
        let discovery_addr = registry.open_endpoint(&names[k]).expect("a port");
        let position = format!("\"balancers\":{size},\"index\":{k}");
        config(discovery_addr, 256, "null").replace("\"balancers\":1,\"index\":0", &position)
    });
    fleet.wait_for_all("ready");
    fleet
}

fn start_upstream(name: &str, ledger: &Arc<Ledger>, registry: &Registry) -> Upstream {
    let options = UpstreamOptions { ledger: Some(ledger.clone()), cores: 8, ..UpstreamOptions::named(name) };
    let upstream =
        Upstream::with(options, |_: &Message| Step::Work(Duration::from_millis(3), ok_response("x")));
    registry.set(name, ListedUpstream { addr: upstream.addr, group: 1, state: "active", started_ms: 0 });
    upstream
}

fn assert_succeeded(output: &Output) {
    assert!(output.status.success(), "{output:?}");
}

/// Guards against lost answers and charges that run twice while a fleet of the required size of thirty instances is
/// restarted one by one, as one upstream drains and another is killed, and while every instance then hands over to a
/// successor.
#[test]
fn thirty_instances_are_rolled_through_under_load_and_no_rule_breaks() {
    let ledger = Arc::new(Ledger::new());
    let registry = Registry::new(Some(ledger.clone()));
    let upstreams = ["u0", "u1", "u2", "u3"].map(|name| start_upstream(name, &ledger, &registry));
    let fleet = start_fleet(30, "", &registry);
    let before: Vec<_> = fleet.status().into_iter().map(|(_, pid)| pid).collect();
    let (output, served, _) = under_load(&ledger, &fleet.addrs, || {
        let rolled = thread::scope(|scope| {
            let restart = scope.spawn(|| fleet.command(&["restart"]));
            // The upstreams change in the middle of the roll: after three, and again after ten, instances have been restarted.
            fleet.until("rolling", |statuses| {
                statuses.iter().zip(&before).filter(|((_, pid), old)| pid != *old).count() >= 3
            });
            registry.state("u0", "leaving");
            upstreams[1].kill();
            fleet.until("rolling", |statuses| {
                statuses.iter().zip(&before).filter(|((_, pid), old)| pid != *old).count() >= 10
            });
            registry.state("u1", "left");
            restart.join().expect("no panic")
        });
        rolled
    });
    assert_succeeded(&output);
    let after: Vec<_> = fleet.status().into_iter().map(|(_, pid)| pid).collect();
    assert!(
        before.iter().zip(&after).all(|(old, new)| old != new && new.is_some()),
        "every instance has a new process"
    );
    assert_eq!(ledger.check(&figures()), [], "{:?}", fleet.log());
    assert!(served > 500, "{served}");
    let (output, served, not_served) = under_load(&ledger, &fleet.addrs, || {
        let output = fleet.command(&["take-over"]);
        // The load continues until the old processes have exited as well.
        let handed_over = |status: &[(String, Option<u32>)]| {
            let exited = |pid: &Option<u32>| {
                pid.is_some_and(|pid| !std::path::Path::new(&format!("/proc/{pid}")).exists())
            };
            status.iter().zip(&after).all(|((_, new), old)| new != old && exited(old))
        };
        fleet.until("taken over", handed_over);
        output
    });
    assert_succeeded(&output);
    assert_eq!(ledger.check(&figures()), [], "{:?}", fleet.log());
    assert!(
        served > 100 && not_served == 0,
        "clients do not notice a handoff: {served} operations served, {not_served} not served"
    );
    assert_succeeded(&fleet.command(&["stop"]));
}

#[test]
fn roll_halts_at_instance_that_fails_to_restart() {
    let ledger = Arc::new(Ledger::new());
    let registry = Registry::new(Some(ledger.clone()));
    let _upstream = start_upstream("u0", &ledger, &registry);
    let mut fleet = start_fleet(4, "pause = \"10ms\"\ncrashes = 3", &registry);
    let before = fleet.status();
    // The second instance can't start again: its configuration is malformed.
    let valid_config = std::fs::read_to_string(&fleet.configs[1]).expect("reads");
    std::fs::write(&fleet.configs[1], "{").expect("writes");
    let (output, _, _) = under_load(&ledger, &fleet.addrs, || fleet.command(&["restart"]));
    let error = String::from_utf8_lossy(&output.stderr).into_owned();
    assert!(output.status.code() == Some(1) && error.contains("halted at n1: "), "{error}");
    fleet.until("given up", |statuses| statuses[1].0 == "given up");
    let after = fleet.status();
    assert!(
        after[0].1 != before[0].1 && after[2] == before[2] && after[3] == before[3],
        "the roll changed no later instance"
    );
    assert_eq!(ledger.check(&figures()), []);
    let table = String::from_utf8_lossy(&fleet.command(&["status"]).stdout).into_owned();
    assert!(table.contains("given up") && table.contains("3 crashes"), "{table}");
    // No other roll starts while an instance is in a crash loop; the `start` command starts that instance again.
    assert!(!fleet.command(&["restart"]).status.success());
    std::fs::write(&fleet.configs[1], valid_config).expect("writes");
    assert_succeeded(&fleet.command(&["start"]));
    fleet.wait_for_all("ready");
    // A reload that an instance rejects halts as well, and all instances continue to serve.
    std::fs::write(fleet.folder.join("own.toml"), "[limits]\nhead = \"32KiB\"\n").expect("writes");
    let output = fleet.command(&["reload"]);
    let error = String::from_utf8_lossy(&output.stderr).into_owned();
    assert!(error.contains("halted at n0") && error.contains("limits.head"), "{error}");
    fleet.wait_for_all("ready");
    std::fs::write(fleet.folder.join("own.toml"), OPERATOR_CONFIG).expect("writes");
    assert_succeeded(&fleet.command(&["reload"]));
    assert_succeeded(&fleet.command(&["stop"]));
    assert!(fleet.supervisor.wait_for_exit().success());
    assert!(
        fleet.status().iter().all(|(state, _)| state == "down"),
        "the status is also available without a supervisor"
    );
}

#[test]
fn instances_outlive_supervisor_and_are_adopted_by_the_next() {
    let ledger = Arc::new(Ledger::new());
    let registry = Registry::new(Some(ledger.clone()));
    let _upstream = start_upstream("u0", &ledger, &registry);
    let mut fleet = start_fleet(5, "", &registry);
    let before = fleet.status();
    // A second supervisor of the same fleet is refused; the error names the process id of the first.
    let output = Command::new(program().path).arg("fleet").arg(&fleet.file).output().expect("runs");
    let error = String::from_utf8_lossy(&output.stderr).into_owned();
    assert!(error.contains(&format!("held by process {}", fleet.supervisor.pid())), "{error}");
    // The supervisor is killed in the middle of a roll.
    let ((), _, _) = under_load(&ledger, &fleet.addrs.clone(), || {
        thread::scope(|scope| {
            let restart = scope.spawn(|| fleet.command(&["restart"]));
            fleet.until("rolling", |statuses| statuses[1].1 != before[1].1);
            signal(fleet.supervisor.pid(), "KILL");
            let output = restart.join().expect("no panic");
            assert!(
                !output.status.success(),
                "the command that waits for the roll reports that it was interrupted"
            );
        });
        fleet.supervisor.wait_for_exit();
        fleet.restart_supervisor();
        fleet.wait_for_all("ready");
    });
    let after = fleet.status();
    assert_eq!((&after[3], &after[4]), (&before[3], &before[4]), "adopted, not started again");
    assert_eq!(ledger.check(&figures()), [], "{:?}", fleet.log());
    // An adopted instance is supervised like a started one: after a kill it is started again.
    signal(after[4].1.expect("a process"), "KILL");
    fleet.until("restarted", |statuses| statuses[4].0 == "ready" && statuses[4].1 != after[4].1);
    // A supervisor that is stopped by SIGTERM also leaves the instances running.
    signal(fleet.supervisor.pid(), "TERM");
    assert!(fleet.supervisor.wait_for_exit().success());
    assert!(fleet.status().iter().all(|(state, _)| state == "running"));
    fleet.restart_supervisor();
    fleet.wait_for_all("ready");
    assert_succeeded(&fleet.command(&["stop"]));
    let killed = |record: &testkit::ledger::Record| matches!(record.entry, Entry::Killed { .. });
    assert!(
        !ledger.since(0).iter().any(killed),
        "the ledger records no killed process, so no failure was excused"
    );
}
