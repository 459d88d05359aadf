//! Tests of disruption budgets across the fleet: several supervisors, a council and a dozen balancers run as real processes
//! under load and faults. A separate watcher polls every balancer for readiness; the ledger checks the four rules.
mod common;
use common::*;
use rustix::process::Signal;
use std::process::{Child, Output, Stdio};
use std::thread;
use std::time::Instant;
use testkit::faults::link::Rule;
use testkit::site::{units_out, Site, Size};
use testkit::watcher::Watcher;

const FOUR_MACHINES: Size = Size { machines: 4, balancers_per_machine: 3, upstreams: 3 };

fn budget(max_out: usize) -> String {
    format!("[[budget]]\nname = \"whole\"\nof = \"balancer\"\nper = \"fleet\"\nmost = {max_out}\n")
}

fn site(size: Size, budgets: &str) -> Site {
    Site::start(&program(), size, budgets, true)
}

fn text(output: &Output) -> String {
    format!("{}{}", String::from_utf8_lossy(&output.stdout), String::from_utf8_lossy(&output.stderr))
}

/// Starts the rolling command `action` on a machine without waiting for its end.
fn roll(site: &Site, machine: usize, action: &str) -> Child {
    let mut command = site.machines[machine].prepare_command(&[action]);
    command.stdout(Stdio::piped()).stderr(Stdio::piped()).spawn().expect("starts")
}

/// Waits for a roll to end and checks that it succeeded.
fn finish_roll(site: &Site, roll: Child) {
    let output = roll.wait_with_output().expect("ends");
    assert!(output.status.success(), "{} {:#?}", text(&output), site.logs());
}

/// Waits until a machine's supervisor logs `wanted`, starting at line number `from`.
fn wait_for_log(site: &Site, machine: usize, from: usize, wanted: &str) {
    site.machines[machine].supervisor.wait_for_log_from(from, wanted);
}

fn log_length(site: &Site, machine: usize) -> usize {
    site.machines[machine].log().len()
}

fn pids(site: &Site, machine: usize) -> Vec<Option<u32>> {
    site.machines[machine].status().into_iter().map(|(_, pid)| pid).collect()
}

/// Waits until no unit counts as out.
fn wait_until_none_out(site: &Site) {
    site.until("no unit out and no lease held", |state| units_out(state).is_empty());
}

/// Guards against supervisors that count only their own machine: all start a rolling restart at the same instant. Without
/// a council the same watcher sees too many balancers out, which shows that the check can fail.
#[test]
fn four_concurrent_rolls_stay_within_one_budget() {
    let site = site(FOUR_MACHINES, &budget(2));
    let watcher = Watcher::begin(&site.addrs());
    let before: Vec<_> = (0..4).map(|m| pids(&site, m)).collect();
    let ((), served, _) = under_load(&site.ledger, &site.addrs(), || {
        let rolls: Vec<Child> = (0..4).map(|m| roll(&site, m, "restart")).collect();
        rolls.into_iter().for_each(|r| finish_roll(&site, r));
    });
    let worst = watcher.max_unavailable();
    assert!(worst.len() <= 2, "{worst:?} {:#?}", site.logs());
    assert!(watcher.outage_count() >= 8, "the watcher sees restarts: {}", watcher.outage_count());
    for (m, before) in before.iter().enumerate() {
        assert!(pids(&site, m).iter().zip(before).all(|(new, old)| new != old), "every process was replaced");
    }
    assert_eq!(site.ledger.check(&figures()), []);
    assert!(served > 100, "{served}");
    wait_until_none_out(&site);
    drop(watcher);

    let uncoordinated = Site::start(&program(), FOUR_MACHINES, &budget(2), false);
    let watcher = Watcher::begin(&uncoordinated.addrs());
    let rolls: Vec<Child> = (0..4).map(|m| roll(&uncoordinated, m, "restart")).collect();
    rolls.into_iter().for_each(|r| finish_roll(&uncoordinated, r));
    assert!(watcher.max_unavailable().len() > 2, "{:?}", watcher.max_unavailable());
}

/// Guards against granting the leases of a failed machine to others while its balancers are still down: one machine fails,
/// then a second. Their balancers count as out; with the budget exceeded no roll proceeds until the machines are back.
#[test]
fn failed_machines_count_against_the_budget_until_they_return() {
    let mut site = site(FOUR_MACHINES, &budget(4));
    let watcher = Watcher::begin(&site.addrs());
    let addrs = site.addrs();
    let ledger = site.ledger.clone();
    // A caller whose balancer is killed cannot know whether a payment has taken effect, and these callers would resend it.
    let ((), served, _) = under_load_of(&CLASSES[..2], &ledger, &addrs, || {
        let first = roll(&site, 0, "restart");
        wait_for_log(&site, 0, 0, "holds a disruption lease to restart");
        watcher.exclude(&site.machines[0].addrs);
        site.kill(0);
        assert!(!first.wait_with_output().expect("ends").status.success());
        site.until("three count", |s| units_out(s).iter().filter(|u| u.contains("m1b")).count() == 3);
        // The budget allows one more out besides the three failed ones.
        let mut second = roll(&site, 1, "restart");
        wait_for_log(&site, 1, 0, "holds a disruption lease to restart");
        watcher.exclude(&site.machines[1].addrs);
        site.kill(1);
        let _ = second.kill();
        let _ = second.wait();
        site.until("six count", |s| units_out(s).len() == 6);
        let remaining: Vec<Child> = (2..4).map(|m| roll(&site, m, "restart")).collect();
        site.until("both wait", |s| s.matches("waits for budget whole").count() == 2);
        let before: Vec<_> = (2..4).map(|m| pids(&site, m)).collect();
        assert!(watcher.max_unavailable().len() <= 1, "{:?}", watcher.max_unavailable());
        site.machines[0].restart_supervisor();
        site.machines[0].wait_for_all("ready");
        // Three are still down, so the others proceed one by one.
        remaining.into_iter().for_each(|r| finish_roll(&site, r));
        assert!((2..4).map(|m| pids(&site, m)).collect::<Vec<_>>() != before);
        site.machines[1].restart_supervisor();
        site.machines[1].wait_for_all("ready");
    });
    let worst = watcher.max_unavailable();
    assert!(worst.len() <= 1, "{worst:?} {:#?}", site.logs());
    wait_until_none_out(&site);
    assert_eq!(site.ledger.check(&figures()), []);
    assert!(served > 100, "{served}");
}

/// Guards against a supervisor that continues a roll without the council: partitioned in the middle of a roll, by dropped
/// packets and by resets, it completes the step that it holds a lease for, starts no other, and later resumes the roll.
#[test]
fn a_roll_pauses_during_a_partition_and_then_resumes() {
    let site = site(Size { machines: 2, balancers_per_machine: 3, upstreams: 2 }, &budget(1));
    let watcher = Watcher::begin(&site.addrs());
    for rule in [Rule::Blackhole, Rule::Cut] {
        let before = pids(&site, 0);
        let from = log_length(&site, 0);
        let first = roll(&site, 0, "restart");
        wait_for_log(&site, 0, from, "holds a disruption lease to restart");
        site.set_link_rule(0, false, rule);
        wait_for_log(&site, 0, from, "could not renew its session in time");
        // The step in progress completes: one instance has a new process and is ready.
        site.machines[0].until("one step done", |s| {
            s.iter().all(|(state, _)| state == "ready")
                && s.iter().zip(&before).any(|((_, pid), old)| pid != old)
        });
        let after_step = pids(&site, 0);
        let changed = after_step.iter().zip(&before).filter(|(a, b)| a != b).count();
        // The other machine rolls meanwhile, because the instance that the partitioned machine restarted is seen as ready.
        let second = roll(&site, 1, "take-over");
        finish_roll(&site, second);
        assert_eq!((pids(&site, 0), changed), (after_step, 1), "no further instance is taken out");
        site.voters.network.heal();
        finish_roll(&site, first);
        assert!(pids(&site, 0).iter().zip(&before).all(|(new, old)| new != old));
        wait_until_none_out(&site);
    }
    assert!(watcher.max_unavailable().len() <= 1, "{:?}", watcher.max_unavailable());
}

/// Guards against leases that are lost or granted twice when the council's leader changes between request and use: the
/// leader is killed and paused in turn while two machines roll.
#[test]
fn leader_changes_lose_no_lease() {
    let mut site = site(Size { machines: 2, balancers_per_machine: 3, upstreams: 2 }, &budget(1));
    let watcher = Watcher::begin(&site.addrs());
    let rolls: Vec<Child> = (0..2).map(|m| roll(&site, m, "restart")).collect();
    for round in 0..4 {
        let seen = log_length(&site, 0) + log_length(&site, 1);
        let leader = site.voters.leader();
        match round % 2 {
            0 => site.voters.machines[leader].kill(),
            _ => site.voters.machines[leader].pause(),
        }
        let name = site.voters.names[leader].clone();
        site.voters.until("new leader", |all| all.iter().any(|s| s.role == "leader" && s.name != name));
        site.voters.machines[leader].resume();
        site.voters.machines[leader].start();
        let started = Instant::now();
        // The rolls progress before the next fault, unless they have finished.
        while log_length(&site, 0) + log_length(&site, 1) == seen && started.elapsed().as_secs() < 2 {
            thread::yield_now();
        }
    }
    rolls.into_iter().for_each(|r| finish_roll(&site, r));
    assert!(watcher.max_unavailable().len() <= 1, "{:?} {:#?}", watcher.max_unavailable(), site.logs());
    wait_until_none_out(&site);
}

/// Guards against orphaned leases: a supervisor is killed right after acting on its lease. The restarted one finds the lease
/// and releases it once the instance is ready, so that other rolls proceed.
#[test]
fn a_restarted_supervisor_recovers_its_lease() {
    let mut site = site(Size { machines: 2, balancers_per_machine: 3, upstreams: 2 }, &budget(1));
    let watcher = Watcher::begin(&site.addrs());
    let first = roll(&site, 0, "restart");
    wait_for_log(&site, 0, 0, "holds a disruption lease to restart");
    site.machines[0].supervisor.kill();
    assert!(!first.wait_with_output().expect("ends").status.success());
    let second = roll(&site, 1, "restart");
    site.machines[0].restart_supervisor();
    site.machines[0].wait_for_all("ready");
    finish_roll(&site, second);
    wait_until_none_out(&site);
    assert!(watcher.max_unavailable().len() <= 1, "{:?} {:#?}", watcher.max_unavailable(), site.logs());
    let third = roll(&site, 0, "take-over");
    finish_roll(&site, third);
    wait_until_none_out(&site);
}

/// Guards against using an expired lease: a supervisor is paused while its request waits, and the budget becomes free. The
/// lease granted to it has expired when it resumes and another has used the budget, so it must not act on it.
#[test]
fn an_expired_lease_is_not_used() {
    let site = site(Size { machines: 3, balancers_per_machine: 2, upstreams: 2 }, &budget(1));
    let watcher = Watcher::begin(&site.addrs());
    for round in 1..=2 {
        // An instance that cannot restart uses up the budget.
        watcher.exclude(&site.machines[0].addrs);
        let config = &site.machines[0].configs[0];
        let good = std::fs::read_to_string(config).expect("reads");
        std::fs::write(config, "{").expect("writes");
        testkit::node::signal(pids(&site, 0)[0].expect("a process"), "KILL");
        site.until("one is out", |s| units_out(s).len() == 1);
        let first = roll(&site, 1, "restart");
        site.until("it waits", |s| s.matches("waits for budget whole").count() == 1);
        let second = roll(&site, 2, "restart");
        site.until("both wait", |s| s.matches("waits for budget whole").count() == 2);
        let before = pids(&site, 1);
        site.machines[1].supervisor.signal(Signal::STOP);
        std::fs::write(config, good).expect("writes");
        site.machines[0].until("given up", |s| s[0].0 == "given up");
        let started = site.machines[0].command(&["start"]);
        assert!(started.status.success(), "{}", text(&started));
        // Any lease granted to the paused supervisor has ended with its session, and the other roll proceeds.
        finish_roll(&site, second);
        watcher.include(&site.machines[0].addrs);
        site.machines[1].supervisor.signal(Signal::CONT);
        finish_roll(&site, first);
        assert!(pids(&site, 1).iter().zip(&before).all(|(new, old)| new != old), "round {round}");
        wait_until_none_out(&site);
    }
    assert!(watcher.max_unavailable().len() <= 1, "{:?} {:#?}", watcher.max_unavailable(), site.logs());
}

/// Guards against a budget that blocks recovery: with all of it used up by a crash the crashed instance can still be started,
/// and a roll proceeds with an operator's override, whose reason is recorded, and waits without one.
#[test]
fn a_budget_used_up_by_crashes_does_not_block_recovery() {
    let budgets = "[[budget]]\nname = \"whole\"\nof = \"balancer\"\nper = \"fleet\"\nmost = 1\nfloor = 3\n";
    let site = site(Size { machines: 2, balancers_per_machine: 3, upstreams: 2 }, budgets);
    // One instance of the first machine can no longer start.
    let config = &site.machines[0].configs[0];
    let good = std::fs::read_to_string(config).expect("reads");
    std::fs::write(config, "{").expect("writes");
    let pid = pids(&site, 0)[0].expect("a process");
    testkit::node::signal(pid, "KILL");
    site.until("one is out", |s| units_out(s).len() == 1);
    // An override exceeds the budget, and its reason is recorded while the override is in use.
    let before = pids(&site, 1);
    let mut command = site.machines[1].prepare_command(&["restart", "--override", "fire"]);
    let forced = command.stdout(Stdio::piped()).stderr(Stdio::piped()).spawn().expect("starts");
    site.until("recorded", |s| s.contains("\"overrides\":\"fire\""));
    finish_roll(&site, forced);
    assert!(pids(&site, 1).iter().zip(&before).all(|(new, old)| new != old));
    let mut waits = roll(&site, 1, "restart");
    site.until("it waits", |s| s.contains("waits for budget whole: 1 of 6 out in the fleet, 1 may be"));
    // The supervisor's status also states what it waits for.
    let status = text(&site.machines[1].command(&["status"]));
    assert!(status.contains("waits for budget whole"), "{status}");
    let _ = waits.kill();
    let _ = waits.wait();
    std::fs::write(config, good).expect("writes");
    let started = site.machines[0].command(&["start"]);
    assert!(started.status.success(), "{}", text(&started));
    wait_until_none_out(&site);
    // Killing the command did not cancel its roll.
    site.machines[1].until("rolled", |s| s.iter().all(|(state, _)| state == "ready"));
}

/// Guards against a drain granted beyond the budget, a drain reported as complete with requests in flight, and an upstream
/// that returns warm.
#[test]
fn a_drain_respects_budgets_and_completes_when_every_balancer_confirms() {
    let budgets = "[[budget]]\nname = \"whole\"\nof = \"balancer\"\nper = \"fleet\"\nmost = 1\n\
        [[budget]]\nname = \"pool\"\nof = \"upstream\"\nper = \"pool\"\nmost = 1\n";
    let site = site(Size { machines: 2, balancers_per_machine: 2, upstreams: 3 }, budgets);
    site.until("upstreams known", |s| s.contains("\"budget\":\"pool\"") && s.contains("\"units\":3"));
    let ((), served, _) = under_load(&site.ledger, &site.addrs(), || {
        let output = site.command(&["drain"], &["all/u0", "--why", "new disks", "--until-drained", "15s"]);
        assert!(output.status.success() && text(&output).contains("u0 is drained"), "{}", text(&output));
        let from = site.ledger.since(0).len();
        // A second drain is refused with the reason; one that waits is granted when the first upstream returns.
        let output = site.command(&["drain"], &["all/u1", "--why", "too"]);
        assert!(
            !output.status.success() && text(&output).contains("waits for budget pool"),
            "{}",
            text(&output)
        );
        let output = site.command(&["drain"], &["other/u1"]);
        assert!(text(&output).contains("is not in pool \"other\" but in all"), "{}", text(&output));
        let queued = site.prepare_command(&["drain"], &["u1", "--wait", "20s"]).spawn().expect("starts");
        site.until("it waits", |s| s.contains("upstream/u1") && s.contains("waits for budget pool"));
        let begun = |from: usize, name: &str| {
            let begun = |e: &testkit::ledger::Entry| matches!(e, testkit::ledger::Entry::Begun { upstream, .. } if upstream == name);
            site.ledger.since(from).iter().filter(|r| begun(&r.entry)).count()
        };
        assert_eq!(begun(from, "u0"), 0, "no new request reaches a drained upstream");
        let output = site.command(&["undrain"], &["u0"]);
        assert!(output.status.success(), "{}", text(&output));
        until("u0 takes work again", || begun(from, "u0") > 0);
        finish_roll(&site, queued);
        let output = site.command(&["undrain"], &["u1"]);
        assert!(output.status.success(), "{}", text(&output));
    });
    assert!(served > 50, "{served}");
    assert_eq!(site.ledger.check(&figures()), []);
    // The upstream returns cold, and counts as out until it is warm.
    site.until("u1 is cold", |s| units_out(s).iter().any(|u| u == "upstream/u1"));
    wait_until_none_out(&site);
    // A partitioned balancer cannot confirm a drain, and is named.
    let name = "m2b1";
    site.voters
        .names
        .iter()
        .for_each(|v| site.voters.network.set_both_ways(&format!("balancer/{name}"), v, Rule::Blackhole));
    site.until("it is missed", |s| units_out(s).contains(&format!("balancer/{name}")));
    let output = site.command(&["drain"], &["u2", "--until-drained", "3s", "--for", "6s"]);
    assert!(text(&output).contains(&format!("not confirmed by {name} (not heard of)")), "{}", text(&output));
    site.voters.network.heal();
    // A drain with a time limit ends by itself.
    until("it returns by itself", || text(&site.command(&["drains"], &["--json"])).trim() == "[]");
}

/// Guards against drains that persist while an undrained upstream leaves: below the floor no drain is granted, the newest
/// drain, not yet reported as complete, is revoked at once, and the operator of the completed one is asked to undrain.
#[test]
fn an_upstream_leaving_during_drains_revokes_the_newest_drain() {
    let budgets = "[[budget]]\nname = \"whole\"\nof = \"balancer\"\nper = \"fleet\"\nmost = 1\n\
        [[budget]]\nname = \"pool\"\nof = \"upstream\"\nper = \"pool\"\nmost = 2\nfloor = 2\n";
    let site = site(Size { machines: 2, balancers_per_machine: 2, upstreams: 4 }, budgets);
    site.until("upstreams known", |s| s.contains("\"budget\":\"pool\"") && s.contains("\"units\":4"));
    let drains = || text(&site.command(&["drains"], &["--json"]));
    let ((), served, _) = under_load(&site.ledger, &site.addrs(), || {
        let output = site.command(&["drain"], &["all/u0", "--why", "disks", "--until-drained", "15s"]);
        assert!(output.status.success(), "{}", text(&output));
        // A partitioned balancer cannot confirm the second drain, so it is not reported as complete.
        site.voters
            .names
            .iter()
            .for_each(|v| site.voters.network.set_both_ways("balancer/m2b1", v, Rule::Blackhole));
        let output = site.command(&["drain"], &["all/u1", "--why", "more"]);
        assert!(output.status.success(), "{}", text(&output));
        site.registry.state("u2", "leaving");
        until("the newest returns", || !drains().contains("\"u1\""));
        assert!(drains().contains("\"u0\""), "the completed drain persists: {}", drains());
        let output = site.command(&["drain"], &["all/u3", "--why", "too many"]);
        assert!(
            !output.status.success() && text(&output).contains("waits for budget pool"),
            "{}",
            text(&output)
        );
        // Another upstream leaves: the completed drain is not revoked, but its return is requested, with the reason.
        site.registry.state("u3", "leaving");
        until("the other is asked", || drains().contains("below the floor of 2 of budget pool"));
        site.voters.network.heal();
        assert!(drains().contains("\"u0\""), "{}", drains());
        let output = site.command(&["undrain"], &["u0"]);
        assert!(output.status.success(), "{}", text(&output));
        for name in ["u2", "u3"] {
            site.registry.state(name, "active");
        }
    });
    assert!(served > 50, "{served}");
    assert_eq!(site.ledger.check(&figures()), []);
    wait_until_none_out(&site);
}

/// Guards against a full disk that stops a roll half-way, loses an instance or starts one twice: neither the supervisor nor
/// its instances can write a byte, and a restarted supervisor still finds all instances.
#[test]
fn a_full_disk_neither_stops_a_roll_nor_loses_instances() {
    let mut site = site(Size { machines: 2, balancers_per_machine: 3, upstreams: 2 }, &budget(1));
    let watcher = Watcher::begin(&site.addrs());
    let ((), served, _) = under_load(&site.ledger.clone(), &site.addrs(), || {
        testkit::faults::disk::limit_file_size(site.machines[0].supervisor.pid(), 0).expect("runs");
        let before = pids(&site, 0);
        finish_roll(&site, roll(&site, 0, "restart"));
        let after = pids(&site, 0);
        assert!(
            after.iter().zip(&before).all(|(new, old)| new != old && new.is_some()),
            "{before:?} {after:?}"
        );
        let run = site.machines[0].folder.join("run");
        for (name, _) in &site.machines[0].addrs {
            let written = std::fs::read_to_string(run.join(format!("{name}.pid"))).expect("held");
            assert_eq!(written, "", "the fault is there: {name}");
        }
        wait_until_none_out(&site);
        // The next supervisor can write, and finds processes whose pid files are empty.
        site.machines[0].supervisor.kill();
        site.machines[0].restart_supervisor();
        site.machines[0].wait_for_all("ready");
        assert_eq!(pids(&site, 0), after, "the same processes: {:#?}", site.machines[0].log());
        finish_roll(&site, roll(&site, 0, "take-over"));
        wait_until_none_out(&site);
    });
    assert!(watcher.max_unavailable().len() <= 1, "{:?} {:#?}", watcher.max_unavailable(), site.logs());
    assert_eq!(site.ledger.check(&figures()), []);
    assert!(served > 50, "{served}");
}
