//! Releases over several machines as real processes under load, with a council and faults between them. A watcher of its own asks
//! every balancer whether it serves; which build a process is of is read from the process itself.
mod common;
use common::*;
use serde_json::Value;
use std::path::{Path, PathBuf};
use std::process::{Command, Output};
use std::time::Instant;
use testkit::faults::link::Rule;
use testkit::site::{units_out, Site, Size};
use testkit::watcher::Watcher;

const TWO: Size = Size { machines: 2, balancers_per_machine: 4, upstreams: 2 };
const QUICK: &str =
    "waves = [\"1\", \"50 %\"]\nbake = \"900ms\"\nlook = \"300ms\"\ncap = \"3s\"\n[gate]\nrequests = 5\n";
const ONE_OUT: &str = "[[budget]]\nname = \"whole\"\nof = \"balancer\"\nper = \"fleet\"\nmost = 1\n";

fn release(file: &Path, what: &str, args: &[&str]) -> Output {
    Command::new(program().path).args(["release", what]).arg(file).args(args).output().expect("runs")
}

fn good(output: &Output) {
    let text = String::from_utf8_lossy(&output.stderr);
    assert!(output.status.success(), "{text}");
}

fn status(file: &Path) -> Value {
    let output = release(file, "status", &["--json"]);
    good(&output);
    serde_json::from_slice::<Value>(&output.stdout).expect("JSON")["release"].clone()
}

/// Waits until the release is as wanted.
fn until_release(site: &Site, file: &Path, what: &str, wanted: impl Fn(&Value) -> bool) -> Value {
    let started = Instant::now();
    loop {
        let status = status(file);
        if wanted(&status) {
            return status;
        }
        assert!(started.elapsed() < 3 * TEST_TIMEOUT, "not {what}: {status:#} {:#?}", site.logs());
        std::thread::yield_now();
    }
}

fn says(text: &'static str) -> impl Fn(&Value) -> bool {
    move |status| status["says"].as_str().is_some_and(|s| s.starts_with(text))
}

/// How many processes of all machines are of this build, by their own environment; all of them run.
fn of_build(site: &Site, build: &Value) -> usize {
    let build = build.as_str().expect("a build");
    let is = |pid: &u32| {
        let environment = std::fs::read(format!("/proc/{pid}/environ")).unwrap_or_default();
        String::from_utf8_lossy(&environment)
            .split('\0')
            .any(|v| v.strip_prefix("HERONDOCK_BUILD=") == Some(build))
    };
    site.machines.iter().flat_map(|m| m.pids()).filter(is).count()
}

fn all(site: &Site) -> usize {
    site.addrs().len()
}

fn whole(site: &Site) {
    site.until("all in, and no leave left", |state| units_out(state).is_empty());
}

/// A site, a release of a build that is made so, and its file.
fn site(size: Size, build: &str, more: &str) -> (Site, PathBuf) {
    let site = Site::start(&program(), size, ONE_OUT, true);
    let new = site.write_build(build);
    let file = site.write_release_file(&new, more);
    (site, file)
}

/// Guards against a release that takes more out than the budget, or does not reach all, and against a supervisor that starts
/// the old build where the new one crashed.
#[test]
fn a_good_build_reaches_every_balancer_within_the_budget_and_stays() {
    let (mut site, file) = site(TWO, "# a good one", QUICK);
    let watcher = Watcher::begin(&site.addrs());
    let ((), served, _) = under_load(&site.ledger.clone(), &site.addrs(), || {
        good(&release(&file, "start", &[]));
        assert!(!release(&file, "start", &[]).status.success(), "one at a time");
        let barred = site.machines[0].command(&["restart"]);
        assert!(String::from_utf8_lossy(&barred.stderr).contains("goes on"), "{barred:?}");
        until_release(&site, &file, "whole", says("whole"));
    });
    let worst = watcher.max_unavailable();
    assert!(worst.len() <= 1, "{worst:?} {:#?}", site.logs());
    assert!(
        watcher.outage_count() >= all(&site) / 2,
        "the watcher sees restarts: {}",
        watcher.outage_count()
    );
    let new = status(&file)["new"].clone();
    assert_eq!(of_build(&site, &new), all(&site), "{:#?}", site.logs());
    assert_eq!(site.ledger.check(&figures()), []);
    assert!(served > 100, "{served}");
    whole(&site);
    drop(watcher);
    // The next supervisor knows which build its instances are of, and so does a restart after a crash.
    site.machines[0].supervisor.kill();
    site.machines[0].restart_supervisor();
    let pid = site.machines[0].pids()[0];
    testkit::node::signal(pid, "KILL");
    site.machines[0]
        .until("another process", |s| s.iter().all(|(state, p)| state == "ready" && *p != Some(pid)));
    assert_eq!(of_build(&site, &new), all(&site), "{:#?}", site.logs());
}

/// Guards against a build that never comes up being taken to one balancer after another: it crashes at once, or is never ready.
#[test]
fn a_build_that_does_not_come_up_is_taken_back_from_the_first_balancer() {
    for build in ["exit 7", "exec sleep 600"] {
        // One that is never ready is found out in seconds.
        let site = Site::start_with(
            &program(),
            Size { balancers_per_machine: 2, ..TWO },
            ONE_OUT,
            true,
            "ready_within = \"4s\"\n",
        );
        let file = site.write_release_file(&site.write_build(build), QUICK);
        let watcher = Watcher::begin(&site.addrs());
        let ((), served, _) = under_load(&site.ledger.clone(), &site.addrs(), || {
            good(&release(&file, "start", &[]));
            until_release(&site, &file, "back", says("back"));
        });
        let status = status(&file);
        assert_eq!(of_build(&site, &status["old"]), all(&site), "{build}: {status:#} {:#?}", site.logs());
        assert!(watcher.max_unavailable().len() <= 1, "{build}: {:?}", watcher.max_unavailable());
        let touched = site.logs().iter().flatten().filter(|l| l.contains("started from build")).count();
        assert_eq!(touched, 2, "{build}: there and back: {:#?}", site.logs());
        assert_eq!(site.ledger.check(&figures()), [], "{build}");
        assert!(served > 50, "{served}");
        whole(&site);
    }
}

/// Guards against a build that serves worse and goes on: here each of its answers is late. It halts by the gate and goes back;
/// most balancers never had it.
#[test]
fn a_build_that_serves_worse_is_halted_by_the_gate_and_goes_back() {
    let worse = "sed 's/\"objective\":1000/\"objective\":1/g' \"$NODE_CONFIG\" > \"$NODE_CONFIG.worse\"\n\
        export NODE_CONFIG=\"$NODE_CONFIG.worse\"";
    let (site, file) = site(TWO, worse, QUICK);
    let ((), served, _) = under_load(&site.ledger.clone(), &site.addrs(), || {
        good(&release(&file, "start", &[]));
        let back = until_release(&site, &file, "on its way back", |s| {
            s["says"].as_str().is_some_and(|s| s.contains("back: answers late"))
        });
        println!("{}", back["says"]);
        until_release(&site, &file, "back", says("back"));
    });
    let touched = site.logs().iter().flatten().filter(|l| l.contains("started from build")).count();
    assert!(touched <= all(&site), "half of them at the most, there and back: {touched}");
    assert_eq!(of_build(&site, &status(&file)["old"]), all(&site));
    assert_eq!(site.ledger.check(&figures()), []);
    assert!(served > 100, "{served}");
    whole(&site);
}

/// Guards against an operator's halt that does not hold at once, or not at a supervisor that is cut off; and a resumed release
/// goes on where it was, a machine that lacks the build halts it, and the way back is open from there.
#[test]
fn a_halt_holds_everywhere_and_the_way_on_and_back_stay_open() {
    let (site, file) = site(TWO, "# a good one", &QUICK.replace("\"1\", \"50 %\"", "\"4\""));
    let watcher = Watcher::begin(&site.addrs());
    let ((), served, _) = under_load(&site.ledger.clone(), &site.addrs(), || {
        good(&release(&file, "start", &[]));
        let new = status(&file)["new"].clone();
        until_release(&site, &file, "begun", |_| of_build(&site, &new) > 0);
        // A supervisor that is cut off begins nothing, and hears of no halt.
        site.set_link_rule(1, false, Rule::Blackhole);
        good(&release(&file, "halt", &["--why", "looks odd"]));
        let halted = Instant::now();
        let count = of_build(&site, &new);
        // One that was begun may still come up.
        let most = count + 1;
        while halted.elapsed() < std::time::Duration::from_secs(2) {
            assert!(of_build(&site, &new) <= most, "{:#?}", site.logs());
            std::thread::yield_now();
        }
        assert!(says("halted in wave 1: looks odd")(&status(&file)));
        site.voters.network.heal();
        // Builds are looked for anew when it goes on, and the file is gone by then.
        let path = std::fs::read_to_string(&file).expect("reads");
        let path = path
            .lines()
            .find_map(|l| l.strip_prefix("new = \""))
            .expect("a path")
            .trim_end_matches('"')
            .to_string();
        std::fs::rename(&path, format!("{path}.away")).expect("renames");
        good(&release(&file, "resume", &[]));
        until_release(&site, &file, "on its way back", |s| {
            s["says"].as_str().is_some_and(|s| s.contains("back") && s.contains("the new build"))
        });
        until_release(&site, &file, "back", says("back"));
        assert_eq!(of_build(&site, &status(&file)["old"]), all(&site), "{:#?}", site.logs());
    });
    assert!(watcher.max_unavailable().len() <= 1, "{:?} {:#?}", watcher.max_unavailable(), site.logs());
    assert_eq!(site.ledger.check(&figures()), []);
    assert!(served > 100, "{served}");
    whole(&site);
}

/// Guards against a release that ends with the machine that drove it, or goes on past a machine that is down: its instances
/// come back as what they were to be, and the release goes on where it stood.
#[test]
fn a_machine_that_drops_in_the_middle_holds_the_release_up_and_then_it_goes_on() {
    let (mut site, file) = site(TWO, "# a good one", QUICK);
    let watcher = Watcher::begin(&site.addrs());
    let ledger = site.ledger.clone();
    let addrs = site.addrs();
    // A caller whose balancer is killed can't know whether a charge has run.
    let ((), served, _) = under_load_of(&CLASSES[..2], &ledger, &addrs, || {
        good(&release(&file, "start", &[]));
        let new = status(&file)["new"].clone();
        let of =
            |site: &Site, m: usize| site.machines[m].log().iter().any(|l| l.contains("started from build"));
        until_release(&site, &file, "begun", |_| of(&site, 0) || of(&site, 1));
        let lost = usize::from(!of(&site, 0));
        watcher.exclude(&site.machines[lost].addrs);
        site.kill(lost);
        site.until("the lost ones count", |s| units_out(s).len() >= TWO.balancers_per_machine);
        let moved = of_build(&site, &new);
        let seen = Instant::now();
        while seen.elapsed() < std::time::Duration::from_secs(2) {
            assert!(of_build(&site, &new) <= moved, "nothing more is taken out");
            std::thread::yield_now();
        }
        site.machines[lost].restart_supervisor();
        site.machines[lost].wait_for_all("ready");
        until_release(&site, &file, "whole", says("whole"));
        assert_eq!(of_build(&site, &new), all(&site), "{:#?}", site.logs());
    });
    assert!(watcher.max_unavailable().len() <= 1, "{:?} {:#?}", watcher.max_unavailable(), site.logs());
    assert_eq!(site.ledger.check(&figures()), []);
    assert!(served > 100, "{served}");
    whole(&site);
}

/// Guards against a supervisor that starts a build and can't keep that it did, since its disk is full: after the next crash it
/// would start another. The release halts and goes back, also there.
#[test]
fn a_full_disk_at_a_supervisor_takes_the_release_back() {
    let (site, file) = site(Size { balancers_per_machine: 2, ..TWO }, "# a good one", QUICK);
    let watcher = Watcher::begin(&site.addrs());
    testkit::faults::disk::limit_file_size(site.machines[0].supervisor.pid(), 0).expect("runs");
    let ((), served, _) = under_load(&site.ledger.clone(), &site.addrs(), || {
        good(&release(&file, "start", &[]));
        let status = until_release(&site, &file, "back", says("back"));
        assert!(status["says"].as_str().is_some_and(|s| s.contains("can't be kept")), "{status:#}");
    });
    let touched =
        |m: usize| site.machines[m].log().iter().filter(|l| l.contains("started from build")).count();
    assert_eq!(touched(0), 0, "{:#?}", site.logs());
    assert_eq!(of_build(&site, &status(&file)["old"]), all(&site), "{:#?}", site.logs());
    assert!(watcher.max_unavailable().len() <= 1, "{:?}", watcher.max_unavailable());
    assert_eq!(site.ledger.check(&figures()), []);
    assert!(served > 50, "{served}");
    whole(&site);
}

/// Guards against a way back that gives up, or starts something else, where the old build's file is gone: it says so, waits, and
/// goes on when the file is there again. Before, orders cross the moves of a wave again and again.
#[test]
fn the_way_back_waits_for_the_old_builds_file() {
    let (site, first) = site(Size { balancers_per_machine: 2, ..TWO }, "# the first", QUICK);
    let crossed = under_load(&site.ledger.clone(), &site.addrs(), || {
        for round in 1..4 {
            good(&release(&first, "start", &[]));
            let new = status(&first)["new"].clone();
            // In the middle of a step, and of the next one.
            until_release(&site, &first, "begun", |_| of_build(&site, &new) >= round);
            let (halts, back) = std::thread::scope(|scope| {
                let halts = scope.spawn(|| release(&first, "halt", &[]));
                let back = scope.spawn(|| release(&first, "back", &["--why", "crossed"]));
                (halts.join().expect("ends"), back.join().expect("ends"))
            });
            assert!(halts.status.success() || back.status.success(), "{halts:?} {back:?}");
            // Whoever came last counts; halted on its way back it is resumed.
            let _ = release(&first, "back", &[]);
            let _ = release(&first, "resume", &[]);
            until_release(&site, &first, "back", says("back"));
            assert_eq!(of_build(&site, &new), 0, "{:#?}", site.logs());
        }
        good(&release(&first, "start", &[]));
        until_release(&site, &first, "whole", says("whole"));
        let new = site.write_build("# the second");
        let path = |text: &str, which: &str| {
            let line = text.lines().find_map(|l| l.strip_prefix(&format!("{which} = \""))).expect("a path");
            line.trim_end_matches('"').to_string()
        };
        let text = std::fs::read_to_string(&first).expect("reads");
        let before = path(&text, "new");
        let second = site.write_release_file(&new, &QUICK.replace("\"1\"", "\"2\""));
        let text = std::fs::read_to_string(&second).expect("reads");
        std::fs::write(&second, text.replace(&path(&text, "old"), &before)).expect("writes");
        good(&release(&second, "start", &[]));
        let new = status(&second)["new"].clone();
        until_release(&site, &second, "begun", |_| of_build(&site, &new) > 0);
        std::fs::rename(&before, format!("{before}.away")).expect("renames");
        good(&release(&second, "back", &["--why", "odd"]));
        until_release(&site, &second, "the file missed", |s| {
            says("on its way back")(s) && s.to_string().contains("the old build: ")
        });
        std::fs::rename(format!("{before}.away"), &before).expect("renames");
        until_release(&site, &second, "back", says("back: odd"));
        assert_eq!(of_build(&site, &new), 0, "{:#?}", site.logs());
    });
    assert_eq!(site.ledger.check(&figures()), []);
    assert!(crossed.1 > 100, "{}", crossed.1);
    whole(&site);
}
