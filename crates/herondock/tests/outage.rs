//! Outages agreed across the fleet: several supervisors, a council and a dozen balancers as real processes under load, with
//! faults between them. A watcher of its own asks every balancer whether it serves; the ledger judges the four rules.
mod common;
use common::*;
use rustix::process::Signal;
use std::process::{Child, Output, Stdio};
use std::thread;
use std::time::Instant;
use testkit::faults::link::Rule;
use testkit::site::{units_out, Site, Size};
use testkit::watcher::Watcher;

const FOUR: Size = Size { machines: 4, balancers_per_machine: 3, upstreams: 3 };

fn budget(most: usize) -> String {
    format!("[[budget]]\nname = \"whole\"\nof = \"balancer\"\nper = \"fleet\"\nmost = {most}\n")
}

fn site(size: Size, budgets: &str) -> Site {
    Site::start(&program(), size, budgets, true)
}

fn text(output: &Output) -> String {
    format!("{}{}", String::from_utf8_lossy(&output.stdout), String::from_utf8_lossy(&output.stderr))
}

/// A roll of a machine, begun and not waited for.
fn roll(site: &Site, machine: usize, what: &str) -> Child {
    let mut command = site.machines[machine].prepare_command(&[what]);
    command.stdout(Stdio::piped()).stderr(Stdio::piped()).spawn().expect("starts")
}

fn done(site: &Site, roll: Child) {
    let output = roll.wait_with_output().expect("ends");
    assert!(output.status.success(), "{} {:#?}", text(&output), site.logs());
}

/// Waits until a machine's supervisor logs this, from the line with this number on.
fn logs(site: &Site, machine: usize, from: usize, wanted: &str) {
    site.machines[machine].supervisor.wait_for_log_from(from, wanted);
}

fn lines(site: &Site, machine: usize) -> usize {
    site.machines[machine].log().len()
}

fn pids(site: &Site, machine: usize) -> Vec<Option<u32>> {
    site.machines[machine].status().into_iter().map(|(_, pid)| pid).collect()
}

fn whole(site: &Site) {
    site.until("all in, and no leave left", |state| units_out(state).is_empty());
}

/// Guards against supervisors that each know their own machine only: all are told to roll at the same instant, by restarts
/// and by take-overs. Without a council the same watcher sees too many out: it can fail.
#[test]
fn four_supervisors_that_roll_at_once_take_no_more_out_than_one_budget() {
    let site = site(FOUR, &budget(2));
    let watcher = Watcher::begin(&site.addrs());
    let before: Vec<_> = (0..4).map(|m| pids(&site, m)).collect();
    let ((), served, _) = under_load(&site.ledger, &site.addrs(), || {
        let rolls: Vec<Child> = (0..4).map(|m| roll(&site, m, "restart")).collect();
        rolls.into_iter().for_each(|r| done(&site, r));
    });
    let worst = watcher.max_unavailable();
    assert!(worst.len() <= 2, "{worst:?} {:#?}", site.logs());
    assert!(watcher.outage_count() >= 8, "the watcher sees restarts: {}", watcher.outage_count());
    for (m, before) in before.iter().enumerate() {
        assert!(pids(&site, m).iter().zip(before).all(|(new, old)| new != old), "each has another process");
    }
    assert_eq!(site.ledger.check(&figures()), []);
    assert!(served > 100, "{served}");
    whole(&site);
    drop(watcher);

    let alone = Site::start(&program(), FOUR, &budget(2), false);
    let watcher = Watcher::begin(&alone.addrs());
    let rolls: Vec<Child> = (0..4).map(|m| roll(&alone, m, "restart")).collect();
    rolls.into_iter().for_each(|r| done(&alone, r));
    assert!(watcher.max_unavailable().len() > 2, "{:?}", watcher.max_unavailable());
}

/// Guards against leave of a machine that dropped being given to the next, while what it took out is still away: first one
/// machine, then a second. What has dropped counts, and with it gone too far nothing more is taken out; back again, all goes
/// on.
#[test]
fn machines_that_drop_while_they_have_leave_count_until_they_are_back() {
    let mut site = site(FOUR, &budget(4));
    let watcher = Watcher::begin(&site.addrs());
    let addrs = site.addrs();
    let ledger = site.ledger.clone();
    // A caller whose balancer is killed can't know whether a charge has run, and these here would send it again.
    let ((), served, _) = under_load_of(&CLASSES[..2], &ledger, &addrs, || {
        let first = roll(&site, 0, "restart");
        logs(&site, 0, 0, "holds a disruption lease to restart");
        watcher.exclude(&site.machines[0].addrs);
        site.kill(0);
        assert!(!first.wait_with_output().expect("ends").status.success());
        site.until("the lost ones count", |s| units_out(s).iter().filter(|u| u.contains("m1b")).count() == 3);
        // One more may be out beside the three that are lost.
        let mut second = roll(&site, 1, "restart");
        logs(&site, 1, 0, "holds a disruption lease to restart");
        watcher.exclude(&site.machines[1].addrs);
        site.kill(1);
        let _ = second.kill();
        let _ = second.wait();
        site.until("six count", |s| units_out(s).len() == 6);
        let rest: Vec<Child> = (2..4).map(|m| roll(&site, m, "restart")).collect();
        site.until("both wait", |s| s.matches("waits for budget whole").count() == 2);
        let before: Vec<_> = (2..4).map(|m| pids(&site, m)).collect();
        assert!(watcher.max_unavailable().len() <= 1, "{:?}", watcher.max_unavailable());
        site.machines[0].restart_supervisor();
        site.machines[0].wait_for_all("ready");
        // Three are away still: the others go on one by one.
        rest.into_iter().for_each(|r| done(&site, r));
        assert!((2..4).map(|m| pids(&site, m)).collect::<Vec<_>>() != before);
        site.machines[1].restart_supervisor();
        site.machines[1].wait_for_all("ready");
    });
    let worst = watcher.max_unavailable();
    assert!(worst.len() <= 1, "{worst:?} {:#?}", site.logs());
    whole(&site);
    assert_eq!(site.ledger.check(&figures()), []);
    assert!(served > 100, "{served}");
}

/// Guards against a supervisor that goes on by itself when it hears nothing any more: cut off in the middle of a roll, by
/// silence and by resets, it finishes the step that it has leave for, takes nothing further out, and goes on where it stood.
#[test]
fn cut_off_in_the_middle_a_roll_waits_and_goes_on_where_it_stood() {
    let site = site(Size { machines: 2, balancers_per_machine: 3, upstreams: 2 }, &budget(1));
    let watcher = Watcher::begin(&site.addrs());
    for rule in [Rule::Blackhole, Rule::Cut] {
        let before = pids(&site, 0);
        let from = lines(&site, 0);
        let first = roll(&site, 0, "restart");
        logs(&site, 0, from, "holds a disruption lease to restart");
        site.set_link_rule(0, false, rule);
        logs(&site, 0, from, "could not renew its session in time");
        // The one step is finished: one has another process, and serves.
        site.machines[0].until("one step done", |s| {
            s.iter().all(|(state, _)| state == "ready")
                && s.iter().zip(&before).any(|((_, pid), old)| pid != old)
        });
        let then = pids(&site, 0);
        let changed = then.iter().zip(&before).filter(|(a, b)| a != b).count();
        // The other machine rolls meanwhile: what was done by the leave of the one that is cut off is seen to be in.
        let second = roll(&site, 1, "take-over");
        done(&site, second);
        assert_eq!((pids(&site, 0), changed), (then, 1), "nothing further is taken out");
        site.voters.network.heal();
        done(&site, first);
        assert!(pids(&site, 0).iter().zip(&before).all(|(new, old)| new != old));
        whole(&site);
    }
    assert!(watcher.max_unavailable().len() <= 1, "{:?}", watcher.max_unavailable());
}

/// Guards against leave that is lost, or given twice, when the council changes its leader between the ask and the act: the
/// leader is killed, and paused, again and again while two machines roll.
#[test]
fn a_council_that_changes_its_leader_loses_no_leave() {
    let mut site = site(Size { machines: 2, balancers_per_machine: 3, upstreams: 2 }, &budget(1));
    let watcher = Watcher::begin(&site.addrs());
    let rolls: Vec<Child> = (0..2).map(|m| roll(&site, m, "restart")).collect();
    for round in 0..4 {
        let seen = lines(&site, 0) + lines(&site, 1);
        let l = site.voters.leader();
        match round % 2 {
            0 => site.voters.machines[l].kill(),
            _ => site.voters.machines[l].pause(),
        }
        let name = site.voters.names[l].clone();
        site.voters.until("led by another", |all| all.iter().any(|s| s.role == "leader" && s.name != name));
        site.voters.machines[l].resume();
        site.voters.machines[l].start();
        let started = Instant::now();
        // Something goes on before the next one, unless all is done.
        while lines(&site, 0) + lines(&site, 1) == seen && started.elapsed().as_secs() < 2 {
            thread::yield_now();
        }
    }
    rolls.into_iter().for_each(|r| done(&site, r));
    assert!(watcher.max_unavailable().len() <= 1, "{:?} {:#?}", watcher.max_unavailable(), site.logs());
    whole(&site);
}

/// Guards against leave that nobody owns any more: a supervisor dies right after it has acted, and the next one finds its
/// leave, gives it back once the instance serves, and others go on.
#[test]
fn a_supervisor_that_is_started_again_finds_its_own_leave() {
    let mut site = site(Size { machines: 2, balancers_per_machine: 3, upstreams: 2 }, &budget(1));
    let watcher = Watcher::begin(&site.addrs());
    let first = roll(&site, 0, "restart");
    logs(&site, 0, 0, "holds a disruption lease to restart");
    site.machines[0].supervisor.kill();
    assert!(!first.wait_with_output().expect("ends").status.success());
    let second = roll(&site, 1, "restart");
    site.machines[0].restart_supervisor();
    site.machines[0].wait_for_all("ready");
    done(&site, second);
    whole(&site);
    assert!(watcher.max_unavailable().len() <= 1, "{:?} {:#?}", watcher.max_unavailable(), site.logs());
    let third = roll(&site, 0, "take-over");
    done(&site, third);
    whole(&site);
}

/// Guards against leave that is used after its time: a supervisor is stopped while its ask waits, and there is room then. What
/// it is given is nobody's by the time it wakes, the other has had it, and it must not act by it.
#[test]
fn leave_that_came_too_late_is_not_used() {
    let site = site(Size { machines: 3, balancers_per_machine: 2, upstreams: 2 }, &budget(1));
    let watcher = Watcher::begin(&site.addrs());
    for round in 1..=2 {
        // One that can't start again spends the whole budget.
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
        // Whatever the one that is stopped was given has ended with its session, and the other goes on.
        done(&site, second);
        watcher.include(&site.machines[0].addrs);
        site.machines[1].supervisor.signal(Signal::CONT);
        done(&site, first);
        assert!(pids(&site, 1).iter().zip(&before).all(|(new, old)| new != old), "round {round}");
        whole(&site);
    }
    assert!(watcher.max_unavailable().len() <= 1, "{:?} {:#?}", watcher.max_unavailable(), site.logs());
}

/// Guards against a budget that stands in the way of mending: all of it is spent by crashes, and still what crashed comes
/// back; a roll goes on with an operator's reason, which is recorded, and waits without one.
#[test]
fn with_all_budgets_spent_by_crashes_there_is_a_way_back() {
    let budgets = "[[budget]]\nname = \"whole\"\nof = \"balancer\"\nper = \"fleet\"\nmost = 1\nfloor = 3\n";
    let site = site(Size { machines: 2, balancers_per_machine: 3, upstreams: 2 }, budgets);
    // One of the first machine's can't start any more.
    let config = &site.machines[0].configs[0];
    let good = std::fs::read_to_string(config).expect("reads");
    std::fs::write(config, "{").expect("writes");
    let pid = pids(&site, 0)[0].expect("a process");
    testkit::node::signal(pid, "KILL");
    site.until("one is out", |s| units_out(s).len() == 1);
    // An operator's reason goes over the budget, and stands in the record while it is made use of.
    let before = pids(&site, 1);
    let mut command = site.machines[1].prepare_command(&["restart", "--override", "fire"]);
    let forced = command.stdout(Stdio::piped()).stderr(Stdio::piped()).spawn().expect("starts");
    site.until("recorded", |s| s.contains("\"overrides\":\"fire\""));
    done(&site, forced);
    assert!(pids(&site, 1).iter().zip(&before).all(|(new, old)| new != old));
    let mut waits = roll(&site, 1, "restart");
    site.until("it waits", |s| s.contains("waits for budget whole: 1 of 6 out in the fleet, 1 may be"));
    // The supervisor says what it waits for, too.
    let status = text(&site.machines[1].command(&["status"]));
    assert!(status.contains("waits for budget whole"), "{status}");
    let _ = waits.kill();
    let _ = waits.wait();
    std::fs::write(config, good).expect("writes");
    let started = site.machines[0].command(&["start"]);
    assert!(started.status.success(), "{}", text(&started));
    whole(&site);
    // The roll of before was not given up with the command that asked for it.
    site.machines[1].until("rolled", |s| s.iter().all(|(state, _)| state == "ready"));
}

/// Guards against a drain that is given where too many are out, one that is said to be over while something is in flight, and
/// an upstream that comes back warm.
#[test]
fn a_drain_is_given_by_budget_and_over_when_every_balancer_says_so() {
    let budgets = "[[budget]]\nname = \"whole\"\nof = \"balancer\"\nper = \"fleet\"\nmost = 1\n\
        [[budget]]\nname = \"pool\"\nof = \"upstream\"\nper = \"pool\"\nmost = 1\n";
    let site = site(Size { machines: 2, balancers_per_machine: 2, upstreams: 3 }, budgets);
    site.until("upstreams known", |s| s.contains("\"budget\":\"pool\"") && s.contains("\"units\":3"));
    let ((), served, _) = under_load(&site.ledger, &site.addrs(), || {
        let output = site.command(&["drain"], &["all/u0", "--why", "new disks", "--until-drained", "15s"]);
        assert!(output.status.success() && text(&output).contains("u0 is drained"), "{}", text(&output));
        let from = site.ledger.since(0).len();
        // A second one is refused, and says why; one that waits has it when the first returns.
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
        assert_eq!(begun(from, "u0"), 0, "nothing new goes there");
        let output = site.command(&["undrain"], &["u0"]);
        assert!(output.status.success(), "{}", text(&output));
        until("u0 takes work again", || begun(from, "u0") > 0);
        done(&site, queued);
        let output = site.command(&["undrain"], &["u1"]);
        assert!(output.status.success(), "{}", text(&output));
    });
    assert!(served > 50, "{served}");
    assert_eq!(site.ledger.check(&figures()), []);
    // It returns cold, and counts as out until it is warm.
    site.until("u1 is cold", |s| units_out(s).iter().any(|u| u == "upstream/u1"));
    whole(&site);
    // A balancer that hears nothing any more can't confirm, and is named.
    let name = "m2b1";
    site.voters
        .names
        .iter()
        .for_each(|v| site.voters.network.set_both_ways(&format!("balancer/{name}"), v, Rule::Blackhole));
    site.until("it is missed", |s| units_out(s).contains(&format!("balancer/{name}")));
    let output = site.command(&["drain"], &["u2", "--until-drained", "3s", "--for", "6s"]);
    assert!(text(&output).contains(&format!("not confirmed by {name} (not heard of)")), "{}", text(&output));
    site.voters.network.heal();
    // With an end it returns by itself.
    until("it returns by itself", || text(&site.command(&["drains"], &["--json"])).trim() == "[]");
}

/// Guards against drains that hold on while an upstream that nobody drained goes: with the group below its floor nothing more
/// is given, the newest drain, which nobody was told is over, returns at once, and the one that is over is asked to.
#[test]
fn an_upstream_that_goes_while_drains_spend_the_budget_calls_the_newest_back() {
    let budgets = "[[budget]]\nname = \"whole\"\nof = \"balancer\"\nper = \"fleet\"\nmost = 1\n\
        [[budget]]\nname = \"pool\"\nof = \"upstream\"\nper = \"pool\"\nmost = 2\nfloor = 2\n";
    let site = site(Size { machines: 2, balancers_per_machine: 2, upstreams: 4 }, budgets);
    site.until("upstreams known", |s| s.contains("\"budget\":\"pool\"") && s.contains("\"units\":4"));
    let drains = || text(&site.command(&["drains"], &["--json"]));
    let ((), served, _) = under_load(&site.ledger, &site.addrs(), || {
        let output = site.command(&["drain"], &["all/u0", "--why", "disks", "--until-drained", "15s"]);
        assert!(output.status.success(), "{}", text(&output));
        // A balancer that hears nothing can't confirm the second: nobody is told that it is over.
        site.voters
            .names
            .iter()
            .for_each(|v| site.voters.network.set_both_ways("balancer/m2b1", v, Rule::Blackhole));
        let output = site.command(&["drain"], &["all/u1", "--why", "more"]);
        assert!(output.status.success(), "{}", text(&output));
        site.registry.state("u2", "leaving");
        until("the newest returns", || !drains().contains("\"u1\""));
        assert!(drains().contains("\"u0\""), "what is over stays out: {}", drains());
        let output = site.command(&["drain"], &["all/u3", "--why", "too many"]);
        assert!(
            !output.status.success() && text(&output).contains("waits for budget pool"),
            "{}",
            text(&output)
        );
        // Another goes: of what is over the return is asked, with the reason, and it is not torn back.
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
    whole(&site);
}

/// Guards against a full disk at a supervisor's machine that stops a roll half-way, loses an instance, or starts one twice:
/// neither it nor what it starts can write a byte, and a supervisor that is started again there still finds them all.
#[test]
fn on_a_full_disk_a_machine_rolls_and_its_next_supervisor_finds_its_instances() {
    let mut site = site(Size { machines: 2, balancers_per_machine: 3, upstreams: 2 }, &budget(1));
    let watcher = Watcher::begin(&site.addrs());
    let ((), served, _) = under_load(&site.ledger.clone(), &site.addrs(), || {
        testkit::faults::disk::limit_file_size(site.machines[0].supervisor.pid(), 0).expect("runs");
        let before = pids(&site, 0);
        done(&site, roll(&site, 0, "restart"));
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
        whole(&site);
        // The next supervisor has room, and finds processes whose pid files hold no number.
        site.machines[0].supervisor.kill();
        site.machines[0].restart_supervisor();
        site.machines[0].wait_for_all("ready");
        assert_eq!(pids(&site, 0), after, "the same processes: {:#?}", site.machines[0].log());
        done(&site, roll(&site, 0, "take-over"));
        whole(&site);
    });
    assert!(watcher.max_unavailable().len() <= 1, "{:?} {:#?}", watcher.max_unavailable(), site.logs());
    assert_eq!(site.ledger.check(&figures()), []);
    assert!(served > 50, "{served}");
}
