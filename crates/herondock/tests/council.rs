//! Tests of the coordination service as real processes under faults of processes, disks and links; the histories that
//! its clients record are checked for consistency.
mod common;
use common::program;
use coordination::client::RequestOutcome;
use coordination::protocol::{Answer, Status};
use coordination::state_machine::{Compare, Op, Outcome, SessionId};
use coordination_server::client::{boottime_now, ClientConfig, ClientHandle, SessionState};
use coordination_simulation::judge::judge;
use coordination_simulation::workload::{Histories, Worker};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use rustix::process::Signal;
use std::process::{Command, Output};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};
use testkit::coordination::{client, is_committed, run, Voters, REQUEST_TIMEOUT, TICK};
use testkit::faults::disk;
use testkit::faults::link::Rule;
use testkit::faults::machine::Machine;
use testkit::process::Process;
use testkit::TEST_TIMEOUT;

/// Starts `size` voters, each on a machine of its own, connected by links.
fn start(size: usize) -> Voters {
    Voters::start(&program(), size)
}

fn prepare(size: usize) -> Voters {
    Voters::prepare(&program(), size, TICK)
}

/// Clients that read and write until they are stopped.
struct Workload {
    stop: Arc<AtomicBool>,
    done: Arc<AtomicUsize>,
    threads: Vec<thread::JoinHandle<Histories>>,
}

fn now_nanos() -> u64 {
    u64::try_from(boottime_now().as_nanos()).unwrap_or(u64::MAX)
}

fn as_nanos(time: Duration) -> u64 {
    u64::try_from(time.as_nanos()).unwrap_or(u64::MAX)
}

async fn run_worker(config: ClientConfig, number: u64, stop: &AtomicBool, done: &AtomicUsize) -> Histories {
    let mut random = Pcg64Mcg::seed_from_u64(number);
    let (mut worker, mut histories) = (Worker::new(number), Histories::default());
    let handle = ClientHandle::spawn(config);
    let mut last: Option<(SessionId, Duration)> = None;
    while !stop.load(Ordering::SeqCst) {
        let held = handle.active_session();
        // By the client's own clock the session ended at the last deadline that it knew.
        if let Some((_, until)) = last.take_if(|(id, _)| held.is_none_or(|(now, _)| now != *id)) {
            worker.release_lock(as_nanos(until), &mut histories);
        }
        last = handle.last_session().filter(|_| held.is_some());
        let next = worker.next_request(now_nanos(), held.map(|(id, _)| id), &mut random);
        if worker.is_releasing_lock() {
            worker.release_lock(now_nanos(), &mut histories);
        }
        let Some((request, timeout)) = next else {
            tokio::time::sleep(Duration::from_millis(20)).await;
            continue;
        };
        let outcome = handle.request(request, timeout).await;
        done.fetch_add(1, Ordering::SeqCst);
        let session = handle.active_session().map(|(id, _)| id);
        worker.complete(now_nanos(), outcome, session, &mut histories);
        tokio::time::sleep(Duration::from_millis(random.gen_range(1..15))).await;
    }
    let end = handle.last_session().map_or(now_nanos(), |(_, until)| as_nanos(until).min(now_nanos()));
    worker.finish(end, &mut histories);
    histories
}

impl Workload {
    fn spawn(voters: &Voters, clients: u64) -> Workload {
        let (stop, done) = (Arc::new(AtomicBool::new(false)), Arc::new(AtomicUsize::new(0)));
        let spawn_client = |number: u64| {
            let config = voters.client(&format!("load-{number}"), true);
            let (stop, done) = (stop.clone(), done.clone());
            thread::spawn(move || run(run_worker(config, number, &stop, &done)))
        };
        let threads = (1..=clients).map(spawn_client).collect();
        Workload { stop, done, threads }
    }

    /// Waits until this many more operations are completed.
    fn wait_for_operations(&self, voters: &Voters, more: usize) {
        let from = self.done.load(Ordering::SeqCst);
        let started = Instant::now();
        while self.done.load(Ordering::SeqCst) < from + more {
            assert!(started.elapsed() < 2 * TEST_TIMEOUT, "no operation completes: {:#?}", voters.logs());
            thread::yield_now();
        }
    }

    /// Stops the clients and checks their histories.
    fn stop_and_check(self) -> Histories {
        self.stop.store(true, Ordering::SeqCst);
        let mut histories = Histories::default();
        for thread in self.threads {
            let client_histories = thread.join().expect("no panic");
            histories.operations.extend(client_histories.operations);
            histories.holdings.extend(client_histories.holdings);
            histories.guard_reads.extend(client_histories.guard_reads);
            histories.acquisitions.extend(client_histories.acquisitions);
            histories.known += client_histories.known;
            histories.unknown += client_histories.unknown;
        }
        assert_eq!(judge(&histories), [] as [String; 0]);
        assert!(histories.known > 20, "{} known, {} unknown", histories.known, histories.unknown);
        histories
    }
}

/// Guards against stale answers or grants by a deposed leader: it is paused, several times, for longer than an election
/// and the session lifetime, and resumes after the others have elected a new leader.
#[test]
fn a_resumed_leader_gives_no_stale_answers() {
    let mut voters = start(3);
    let workload = Workload::spawn(&voters, 5);
    workload.wait_for_operations(&voters, 60);
    for _ in 0..3 {
        let old = voters.leader();
        voters.machines[old].pause();
        voters.until("new leader", |all| {
            all.iter().any(|s| s.role == "leader" && s.name != voters.names[old] && s.leader.is_some())
        });
        workload.wait_for_operations(&voters, 60);
        voters.machines[old].resume();
        workload.wait_for_operations(&voters, 40);
    }
    workload.stop_and_check();
    voters.wait_until_converged();
}

/// Guards against two leaders that both answer, against answers by a minority, and against disruptive elections by a voter
/// that alone cannot reach the others: links are cut in one direction, into partitions, and with one voter bridging two.
#[test]
fn asymmetric_and_partial_partitions_preserve_consistency() {
    let voters = start(5);
    let names: Vec<&str> = voters.names.iter().map(String::as_str).collect();
    let workload = Workload::spawn(&voters, 5);
    workload.wait_for_operations(&voters, 40);
    for rule in [Rule::Blackhole, Rule::Cut] {
        // The leader's messages reach no other voter, but it receives theirs, and clients reach it.
        let leader = voters.leader();
        let others: Vec<&str> = names.iter().copied().filter(|n| *n != names[leader]).collect();
        others.iter().for_each(|o| voters.network.set(names[leader], o, rule));
        voters.until("new leader", |all| all.iter().any(|s| s.role == "leader" && s.name != names[leader]));
        workload.wait_for_operations(&voters, 20);
        voters.network.heal();
        // A voter that can reach only the leader must not depose it.
        voters.wait_until_converged();
        let leader = voters.leader();
        let term = voters.statuses().iter().map(|s| s.term).max();
        let isolated = others.iter().copied().find(|n| *n != names[leader]).expect("another");
        names
            .iter()
            .filter(|n| **n != isolated && **n != names[leader])
            .for_each(|o| voters.network.set_both_ways(isolated, o, rule));
        workload.wait_for_operations(&voters, 60);
        assert_eq!(voters.statuses().iter().map(|s| s.term).max(), term, "the leader keeps its term");
        voters.network.heal();
        // First one voter bridges two pairs that cannot reach each other, then it is cut off as well (2-2-1).
        let (a, b, bridge) = (&names[..2], &names[2..4], names[4]);
        voters.network.split(a, b, rule);
        workload.wait_for_operations(&voters, 20);
        voters.network.split(&[bridge], a, rule);
        voters.network.split(&[bridge], b, rule);
        voters.until("any status", |all| !all.is_empty());
        voters.network.heal();
        workload.wait_for_operations(&voters, 20);
    }
    workload.stop_and_check();
    voters.wait_until_converged();
}

/// Guards against applying a write twice: its response is lost, and the client resends it to the next leader.
#[test]
fn a_write_with_a_lost_response_is_applied_once() {
    let mut voters = start(3);
    for k in 0..3 {
        let leader = voters.leader();
        let config = voters.client("writer", true);
        let (ready, is_ready) = std::sync::mpsc::channel();
        let (send_write, write_allowed) = tokio::sync::oneshot::channel::<()>();
        let writer = thread::spawn(move || {
            run(async move {
                let handle = ClientHandle::spawn(config);
                ready
                    .send(is_committed(&handle.transact(vec![], vec![], REQUEST_TIMEOUT).await))
                    .expect("heard");
                write_allowed.await.expect("told");
                // A second application would fail the comparison, because the key exists then.
                let key = format!("once/{k}");
                let absent = vec![Compare::Absent(key.clone())];
                let put = vec![Op::Put { key, value: k.to_string(), ephemeral: false }];
                handle.transact(absent, put, REQUEST_TIMEOUT).await
            })
        });
        assert!(is_ready.recv_timeout(TEST_TIMEOUT).expect("ready"), "{:#?}", voters.logs());
        // From here on the writer gets no responses; then the leader is killed.
        voters.names.iter().for_each(|n| voters.network.set(n, "writer", Rule::Blackhole));
        send_write.send(()).expect("heard");
        voters.until("written by all", |all| all.iter().all(|s| s.size.0 > k));
        assert!(!writer.is_finished(), "nothing gets through");
        voters.machines[leader].kill();
        voters.network.heal();
        let outcome = writer.join().expect("no panic");
        assert!(is_committed(&outcome), "{outcome:?}");
        voters.machines[leader].start();
        voters.wait_until_converged();
    }
}

/// Guards against two processes that hold one session name: the older one is fenced, and stays fenced.
#[test]
fn a_second_session_of_a_name_fences_the_first() {
    let voters = start(3);
    run(async {
        let first = ClientHandle::spawn(voters.client("twin", true));
        let bound = |value: &str| vec![Op::Put { key: "twin".into(), value: value.into(), ephemeral: true }];
        assert!(is_committed(&first.transact(vec![], bound("first"), REQUEST_TIMEOUT).await));
        let (first_id, _) = first.active_session().expect("held");
        // The first keeps its session by its own clock until the session ends; the second takes the name meanwhile.
        let second =
            ClientHandle::spawn(ClientConfig { name: "twin-2".into(), ..voters.client("twin", true) });
        assert!(is_committed(
            &second.transact(vec![Compare::SessionEnded(first_id)], bound("second"), REQUEST_TIMEOUT).await
        ));
        let (second_id, _) = second.active_session().expect("held");
        assert!(second_id > first_id, "session numbers grow: {first_id}, {second_id}");
        let outcome = first.transact(vec![], bound("first again"), REQUEST_TIMEOUT).await;
        assert!(
            matches!(outcome, RequestOutcome::NotExecuted(_) | RequestOutcome::Indeterminate(_)),
            "{outcome:?}"
        );
        let mut state = first.session_state();
        state.wait_for(|s| *s == SessionState::Fenced(second_id)).await.expect("it learns of the fencing");
        let outcome =
            second.transact(vec![Compare::SessionAlive(first_id)], bound("x"), REQUEST_TIMEOUT).await;
        assert!(
            matches!(
                outcome,
                RequestOutcome::Answered(Answer::Outcome(Outcome::CompareFailed { index: 0, .. }))
            ),
            "{outcome:?}"
        );
        second.close_session(REQUEST_TIMEOUT).await;
    });
    assert_eq!(voters.get("twin"), None, "it ended with its session");
}

/// Guards against a voter that votes or acknowledges on a full disk, loses what it acknowledged, or does not recover. The
/// full disk is a follower's, then the leader's, then those of two voters of three.
#[test]
fn full_disks_lose_no_acknowledged_write() {
    let voters = start(3);
    let pid = |k: usize| voters.machines[k].process(0).pid();
    let workload = Workload::spawn(&voters, 4);
    workload.wait_for_operations(&voters, 30);
    let leader = voters.leader();
    let follower = (leader + 1) % 3;
    disk::limit_file_size(pid(follower), 10).expect("runs");
    voters.machines[follower]
        .process(0)
        .wait_for_log("neither votes nor acknowledges entries: storage failed");
    workload.wait_for_operations(&voters, 40);
    disk::remove_limit(pid(follower)).expect("runs");
    voters.machines[follower].process(0).wait_for_log("votes again: its storage has recovered");
    voters.wait_until_converged();

    let leader = voters.leader();
    disk::limit_file_size(pid(leader), 10).expect("runs");
    voters
        .until("new leader", |all| all.iter().any(|s| s.role == "leader" && s.name != voters.names[leader]));
    workload.wait_for_operations(&voters, 40);
    let seen = voters.statuses();
    let aside = seen.iter().find(|s| s.name == voters.names[leader]).expect("it still answers");
    assert_eq!(aside.role, "aside");
    assert!(aside.storage_error.as_ref().is_some_and(|why| why.contains("too large")), "{aside:?}");
    disk::remove_limit(pid(leader)).expect("runs");
    voters.wait_until_converged();

    // With two of three disks full nothing is committed, and no write is reported as committed.
    let leader = voters.leader();
    let two = [leader, (leader + 1) % 3];
    two.iter().for_each(|&k| disk::limit_file_size(pid(k), 10).expect("runs"));
    voters.until("two aside", |all| all.iter().filter(|s| s.role == "aside").count() == 2);
    let config = voters.client("late", true);
    let then = vec![Op::Put { key: "late".into(), value: "x".into(), ephemeral: false }];
    let outcome =
        run(async move { ClientHandle::spawn(config).transact(vec![], then, Duration::from_secs(1)).await });
    assert!(
        matches!(outcome, RequestOutcome::NotExecuted(_) | RequestOutcome::Indeterminate(_)),
        "{outcome:?}"
    );
    two.iter().for_each(|&k| disk::remove_limit(pid(k)).expect("runs"));
    voters.wait_until_converged();
    workload.wait_for_operations(&voters, 40);
    workload.stop_and_check();
}

/// Guards against losing an acknowledged write in a crash: a single voter is killed at each disk operation in turn, and
/// every write that it acknowledged is present after the restart.
#[test]
fn acknowledged_writes_survive_a_crash_at_every_disk_operation() {
    let mut voters = prepare(1);
    voters.form_cluster();
    let config = voters.client("writer", true);
    let mut visited = 0;
    for kind in ["read", "open", "write", "cut", "sync", "names", "rename"] {
        for at in 0..40 {
            let halt = format!("{kind}:{at}");
            let mut process = Process::start(voters.process(0, &["run", "--halt-at", &halt]));
            // Runs until the process dies, or has written more often than reaching the disk operation takes.
            let acknowledged = run(async {
                let handle = ClientHandle::spawn(config.clone());
                let mut last = None;
                for n in 0..6 {
                    let value = format!("{kind}-{at}-{n}");
                    let then = vec![Op::Put { key: "k".into(), value: value.clone(), ephemeral: false }];
                    let write = handle.transact(vec![], then, Duration::from_secs(10));
                    let died = async {
                        while process.is_running() {
                            tokio::time::sleep(Duration::from_millis(2)).await;
                        }
                    };
                    tokio::select! {
                        outcome = write => {
                            assert!(is_committed(&outcome), "{outcome:?}");
                            last = Some(value);
                        }
                        () = died => break,
                    }
                }
                last
            });
            let killed = !process.is_running();
            process.signal(Signal::KILL);
            process.wait();
            let mut again = Process::start(voters.process(0, &["run"]));
            let value = voters.get("k");
            if let Some(last) = acknowledged {
                let n = |v: &str| v.rsplit('-').next().and_then(|n| n.parse::<u64>().ok());
                let (same, newer) = (value.clone().unwrap_or_default(), n(&last));
                assert!(same.starts_with(&format!("{kind}-{at}-")) && n(&same) >= newer, "{last} and {same}");
            }
            again.kill();
            if !killed {
                break;
            }
            visited += 1;
        }
    }
    assert!(visited >= 15, "{visited} steps");
    voters.machines.clear();
}

/// Guards against a voter that votes under its old name with an empty disk, a voter of another council at a known address,
/// and a damaged disk that is accepted.
#[test]
fn a_lost_foreign_or_damaged_disk_does_not_vote() {
    let mut voters = start(3);
    assert!(is_committed(&voters.put("k", "v")));
    let leader = voters.leader();
    let lost = (leader + 1) % 3;
    let name = voters.names[lost].clone();
    voters.machines[lost].kill();
    voters.machines[lost].wipe();
    voters.machines[lost].start();
    voters.machines[lost].process(0).wait_for_log("is a member with another disk");
    assert_eq!(voters.statuses().iter().filter(|s| s.role == "unjoined").count(), 1);
    let output = voters.command(&["remove", "--name", &name]);
    assert!(output.status.success(), "{output:?}");
    voters.machines[lost].process(0).wait_for_log("has joined council");
    voters.until("all vote", |all| all.iter().any(|s| s.members.iter().filter(|m| m.is_voter).count() == 3));
    voters.wait_until_converged();

    // A journal with damage in the middle is refused, naming the file and the position, and the voter does not vote.
    voters.machines[lost].process_mut(0).signal(Signal::TERM);
    assert!(voters.machines[lost].process_mut(0).wait().success());
    let journal = voters.machines[lost].disk().join("journal");
    let intact = std::fs::read(&journal).expect("reads");
    let mut damaged = intact.clone();
    damaged[intact.len() / 2] ^= 0x10;
    std::fs::write(&journal, &damaged).expect("writes");
    let output = voters.process(lost, &["run"]).output().expect("runs");
    let text = String::from_utf8_lossy(&output.stderr).into_owned();
    assert!(!output.status.success() && text.contains("journal: damaged at byte"), "{text}");
    std::fs::write(&journal, &intact).expect("writes");

    // A voter of another council at the address of this one.
    let other = prepare(1);
    other.form_cluster();
    let text = std::fs::read_to_string(other.file(0)).expect("reads");
    let text = text.replace(&other.listen_addrs[0].to_string(), &voters.listen_addrs[lost].to_string());
    std::fs::write(other.file(0), text).expect("writes");
    let foreign_voter = Process::start(other.process(0, &["run"]));
    foreign_voter.wait_for_log("listens on");
    foreign_voter.wait_for_log("connection rejected: c");
    assert!(
        foreign_voter.log().iter().any(|l| l.contains("belongs to council")),
        "{:?}",
        foreign_voter.log()
    );
    assert!(is_committed(&voters.put("k", "w")), "the majority still commits");
    drop(foreign_voter);
    voters.machines[lost].start();
    voters.wait_until_converged();
    assert_eq!(voters.get("k").as_deref(), Some("w"));
}

/// Guards against a membership change that leaves too few voters: one is down while the others are replaced, until none of
/// the first three disks is left.
#[test]
fn voters_are_replaced_one_by_one_while_one_is_down() {
    let mut voters = start(3);
    assert!(is_committed(&voters.put("k", "v")));
    let replace = |voters: &mut Voters, k: usize| {
        let name = voters.names[k].clone();
        voters.machines[k].kill();
        voters.machines[k].wipe();
        let output = voters.command(&["remove", "--name", &name]);
        assert!(output.status.success(), "{output:?} {:#?}", voters.statuses());
        voters.machines[k].start();
    };
    let leader = voters.leader();
    let (down, other) = ((leader + 1) % 3, (leader + 2) % 3);
    voters.machines[down].kill();
    voters.until("missed", |all| {
        let missed =
            |s: &Status| s.members.iter().any(|m| m.name == voters.names[down] && m.active == Some(false));
        all.iter().any(|s| s.role == "leader" && missed(s))
    });
    // With one voter down the other must not be removed: of the two voters left, only one would run, which is no majority.
    let output = voters.command(&["remove", "--name", &voters.names[other]]);
    let text = String::from_utf8_lossy(&output.stderr).into_owned();
    assert!(!output.status.success() && text.contains("are needed"), "{text}");
    replace(&mut voters, down);
    voters
        .until("three vote", |all| all.iter().any(|s| s.members.iter().filter(|m| m.is_voter).count() == 3));
    // Then the two initial voters are replaced, the leader last.
    replace(&mut voters, other);
    voters
        .until("three vote", |all| all.iter().any(|s| s.members.iter().filter(|m| m.is_voter).count() == 3));
    voters.wait_until_converged();
    let output = voters.command(&["remove", "--name", &voters.names[leader]]);
    assert!(output.status.success(), "it transfers leadership first: {output:?}");
    assert!(voters.machines[leader].process_mut(0).wait().success(), "it exits by itself");
    voters.machines[leader].wipe();
    voters.machines[leader].start();
    voters
        .until("three vote", |all| all.iter().any(|s| s.members.iter().filter(|m| m.is_voter).count() == 3));
    voters.wait_until_converged();
    assert_eq!((voters.get("k").as_deref(), voters.voter_count()), (Some("v"), 3));
}

/// Guards against an interrupted snapshot transfer that counts as complete or is never restarted.
#[test]
fn an_interrupted_snapshot_transfer_is_restarted() {
    let mut voters = start(3);
    let leader = voters.leader();
    let receiver = (leader + 1) % 3;
    voters.machines[receiver].kill();
    voters.machines[receiver].wipe();
    let name = voters.names[receiver].clone();
    assert!(voters.command(&["remove", "--name", &name]).status.success());
    // Two megabytes of stored data.
    let big = "x".repeat(60 << 10);
    run(async {
        let handle = ClientHandle::spawn(voters.client("filler", true));
        for k in 0..34 {
            let then = vec![Op::Put { key: format!("big/{k}"), value: big.clone(), ephemeral: false }];
            assert!(is_committed(&handle.transact(vec![], then, REQUEST_TIMEOUT).await));
        }
    });
    let leader = voters.leader();
    voters.network.set(&voters.names[leader], &name, Rule::Trickle(2 << 10));
    voters.machines[receiver].start();
    voters.machines[receiver].process(0).wait_for_log("has joined council");
    // The transfer has begun and takes ten seconds at this rate. It is interrupted by a reset, then by killing the receiver.
    voters.until("a learner", |all| {
        all.iter().any(|s| s.members.iter().any(|m| m.name == name && !m.is_voter))
    });
    voters.network.set(&voters.names[leader], &name, Rule::Cut);
    voters.network.set(&voters.names[leader], &name, Rule::Trickle(2 << 10));
    voters.machines[receiver].kill();
    voters.machines[receiver].start();
    voters.network.heal();
    voters.wait_until_converged();
    voters.until("all vote", |all| all.iter().any(|s| s.members.iter().filter(|m| m.is_voter).count() == 3));
}

/// Guards against rejected clients and lost sessions when hundreds of clients reconnect at once after an election.
#[test]
fn three_hundred_clients_reconnect_to_the_next_leader() {
    let mut voters = start(3);
    let reached = voters.client_addrs();
    let (completed, completions) = std::sync::mpsc::channel();
    let (leave, left) = std::sync::mpsc::channel::<()>();
    let clients = thread::spawn(move || {
        run(async move {
            let all: Vec<ClientHandle> = (0..300)
                .map(|k| {
                    let mut config = client(&reached.clone(), &format!("many-{k}"), true);
                    if let Some(session) = &mut config.session {
                        session.ttl = Duration::from_secs(10);
                    }
                    ClientHandle::spawn(config)
                })
                .collect();
            let write = |round: usize| {
                let all = all.clone();
                async move {
                    let mut tasks = Vec::new();
                    for (k, handle) in all.into_iter().enumerate() {
                        tasks.push(tokio::task::spawn_local(async move {
                            let key = format!("many/{k}");
                            let then = vec![Op::Put { key, value: round.to_string(), ephemeral: true }];
                            is_committed(&handle.transact(vec![], then, REQUEST_TIMEOUT).await)
                        }));
                    }
                    let mut done = 0;
                    for task in tasks {
                        done += usize::from(task.await.expect("no panic"));
                    }
                    done
                }
            };
            let held = |all: &[ClientHandle]| {
                all.iter().map(|c| c.last_session().map(|(id, _)| id)).collect::<Vec<_>>()
            };
            completed.send(write(1).await).expect("heard");
            let before = held(&all);
            tokio::task::spawn_blocking(move || left.recv()).await.expect("waits").expect("told");
            completed.send(write(2).await).expect("heard");
            assert_eq!(held(&all), before, "no session is lost");
        });
    });
    let wait = Duration::from_secs(60);
    assert_eq!(completions.recv_timeout(wait).expect("first"), 300);
    let leader = voters.leader();
    voters.machines[leader].kill();
    leave.send(()).expect("heard");
    assert_eq!(completions.recv_timeout(wait).expect("second"), 300, "{:#?}", voters.logs());
    clients.join().expect("no panic");
}

/// Checks the operator commands status, members, get, backup and restore: a council whose majority is lost for good is
/// formed anew from a backup, and no session number is issued twice.
#[test]
fn a_backup_restores_the_data_after_the_majority_is_lost() {
    let mut voters = start(3);
    assert!(is_committed(&voters.put("policy/limit", "7")));
    let text = |output: &Output| String::from_utf8_lossy(&output.stdout).into_owned();
    let status = text(&voters.command(&["status"]));
    assert!(status.lines().count() == 4 && status.contains("leader"), "{status}");
    let members = text(&voters.command(&["members"]));
    assert_eq!(members.lines().filter(|l| l.contains(" yes ")).count(), 3, "{members}");
    let get = Command::new(env!("CARGO_BIN_EXE_herondock"))
        .args(["council", "get", "--key", "policy/limit"])
        .arg(voters.file(0))
        .output()
        .expect("runs");
    assert_eq!(text(&get), "7\n", "{get:?}");
    let kept = voters.folder.join("backup");
    let saved = voters.command(&["backup", "--to", kept.to_str().expect("text")]);
    assert!(saved.status.success(), "{saved:?}");
    let before = run(async {
        let handle = ClientHandle::spawn(voters.client("old", true));
        handle.transact(vec![], vec![], REQUEST_TIMEOUT).await;
        handle.active_session().map(|(id, _)| id)
    });
    voters.machines.iter_mut().for_each(Machine::kill);
    voters.machines.iter().for_each(Machine::wipe);
    let restored = voters.command(&["restore", "--from", kept.to_str().expect("text")]);
    assert!(restored.status.success(), "{restored:?}");
    voters.machines.iter_mut().for_each(Machine::start);
    voters.until("all vote", |all| all.iter().any(|s| s.members.iter().filter(|m| m.is_voter).count() == 3));
    assert_eq!(voters.get("policy/limit").as_deref(), Some("7"));
    let after = run(async {
        let handle = ClientHandle::spawn(voters.client("new", true));
        handle.transact(vec![], vec![], REQUEST_TIMEOUT).await;
        handle.active_session().map(|(id, _)| id)
    });
    assert!(after > before, "{before:?}, {after:?}");
    // A session from before the loss has ended, even if its client still holds it.
    let outcome = run(async {
        let handle = ClientHandle::spawn(voters.client("judge", true));
        handle.transact(vec![Compare::SessionAlive(before.expect("held"))], vec![], REQUEST_TIMEOUT).await
    });
    assert!(
        matches!(outcome, RequestOutcome::Answered(Answer::Outcome(Outcome::CompareFailed { .. }))),
        "{outcome:?}"
    );
}

/// Guards against votes by a voter whose disk was reset to an older copy, which lacks its later acknowledgements: it stays
/// aside and logs the reason, and writes acknowledged since the copy remain.
#[test]
fn a_voter_with_an_older_disk_copy_does_not_vote() {
    let mut voters = start(3);
    assert!(is_committed(&voters.put("k", "old")));
    voters.wait_until_converged();
    let leader = voters.leader();
    let follower = (leader + 1) % 3;
    voters.machines[follower].kill();
    let copy = std::fs::read(voters.machines[follower].disk().join("journal")).expect("reads");
    voters.machines[follower].start();
    voters.wait_until_converged();
    // The copy does not contain what the voter acknowledges now.
    assert!(is_committed(&voters.put("k", "new")));
    voters.wait_until_converged();
    voters.machines[follower].kill();
    std::fs::write(voters.machines[follower].disk().join("journal"), copy).expect("writes");
    voters.machines[follower].start();
    voters.machines[follower]
        .process(0)
        .wait_for_log("neither votes nor acknowledges entries: storage failed");
    voters.until("aside", |all| all.iter().any(|s| s.name == voters.names[follower] && s.role == "aside"));
    assert_eq!(voters.get("k").as_deref(), Some("new"));
    assert!(is_committed(&voters.put("k", "newer")), "two are a majority");
    let output = voters.command(&["remove", "--name", &voters.names[follower].clone()]);
    assert!(output.status.success(), "{output:?}");
    voters.machines[follower].kill();
    voters.machines[follower].wipe();
    voters.machines[follower].start();
    voters.until("all vote", |all| all.iter().any(|s| s.members.iter().filter(|m| m.is_voter).count() == 3));
    voters.wait_until_converged();
    assert_eq!(voters.get("k").as_deref(), Some("newer"));
}

/// Guards against a slow disk that delays the whole council: the voters with fast disks go on, and the slow one logs its
/// slow saves and keeps up.
#[test]
fn a_slow_disk_does_not_delay_other_voters() {
    let mut voters = start(3);
    let leader = voters.leader();
    let follower = (leader + 1) % 3;
    voters.machines[follower].kill();
    let mut slow = Process::start(voters.process(follower, &["run", "--halt-at", "slow:600"]));
    let workload = Workload::spawn(&voters, 4);
    workload.wait_for_operations(&voters, 300);
    slow.wait_for_log("writing to the journal took ");
    workload.stop_and_check();
    voters.wait_until_converged();
    slow.kill();
}

/// Guards against a watch without a session that stays on a dead link and reports no events: when its voter is paused, the
/// watch moves to another voter.
#[test]
fn a_watch_moves_away_from_a_silent_voter() {
    let mut voters = start(3);
    let leader = voters.leader();
    run(async {
        let watcher = ClientHandle::spawn(voters.client("watcher", false));
        let mut answers = watcher.watch("k", None).await;
        assert!(matches!(answers.recv().await, Some(Answer::Watching { .. })));
        voters.machines[leader].pause();
        let writer = ClientHandle::spawn(voters.client("writer", true));
        let put = vec![Op::Put { key: "k".into(), value: "v".into(), ephemeral: false }];
        assert!(is_committed(&writer.transact(vec![], put, REQUEST_TIMEOUT).await));
        let next = tokio::time::timeout(TEST_TIMEOUT, answers.recv()).await;
        assert!(matches!(next, Ok(Some(Answer::Events { .. }))), "{next:?}");
    });
    voters.machines[leader].resume();
}

/// A step of a fault script.
#[derive(Clone, Copy, Debug)]
enum Step {
    Kill(usize),
    Pause(usize),
    Full(usize),
    /// Messages from the first voter to the second are subject to the rule.
    OneWay(usize, usize, Rule),
    Alone(usize, Rule),
    /// Ends all faults.
    Heal,
}

fn draw_steps(seed: u64, count: usize) -> Vec<Step> {
    let mut random = Pcg64Mcg::seed_from_u64(seed);
    let mut steps = Vec::new();
    while steps.len() < count {
        let (a, b) = (random.gen_range(0..3), random.gen_range(1..3));
        let rules = [Rule::Cut, Rule::Blackhole, Rule::Delay(Duration::from_millis(60)), Rule::Trickle(200)];
        let rule = rules[random.gen_range(0..rules.len())];
        steps.push(match random.gen_range(0..9) {
            0 | 1 => Step::Kill(a),
            2 => Step::Pause(a),
            3 => Step::Full(a),
            4 | 5 => Step::OneWay(a, (a + b) % 3, rule),
            6 => Step::Alone(a, rule),
            _ => Step::Heal,
        });
    }
    steps
}

/// Guards against unforeseen combinations of faults: faults drawn from a seed overlap while clients work, then the histories
/// are checked and all voters converge. `COUNCIL_SEED` sets the first seed, `COUNCIL_SCRIPTS` the number of scripts.
#[test]
fn seeded_fault_scripts_preserve_consistency() {
    let number = |name: &str| std::env::var(name).ok().and_then(|n| n.parse::<u64>().ok());
    let first = number("COUNCIL_SEED").unwrap_or(7);
    for seed in first..first + number("COUNCIL_SCRIPTS").unwrap_or(1) {
        let steps = draw_steps(seed, 12);
        let _report = testkit::faults::script::ReportOnPanic { seed, steps: &steps };
        run_fault_script(&steps);
    }
}

fn run_fault_script(steps: &[Step]) {
    let mut voters = start(3);
    let workload = Workload::spawn(&voters, 4);
    workload.wait_for_operations(&voters, 30);
    let names = voters.names.clone();
    let heal = |voters: &mut Voters| {
        voters.network.heal();
        for machine in &mut voters.machines {
            machine.resume();
            machine.start();
            disk::remove_limit(machine.process(0).pid()).expect("runs");
        }
    };
    for step in steps {
        match *step {
            Step::Kill(k) => voters.machines[k].kill(),
            Step::Pause(k) => voters.machines[k].pause(),
            Step::Full(k) => {
                // A killed voter has no process whose file size could be limited.
                let _ = disk::limit_file_size(voters.machines[k].process(0).pid(), 10);
            }
            Step::OneWay(a, b, rule) => voters.network.set(&names[a], &names[b], rule),
            Step::Alone(k, rule) => {
                names
                    .iter()
                    .filter(|n| **n != names[k])
                    .for_each(|n| voters.network.set_both_ways(&names[k], n, rule));
            }
            Step::Heal => {
                heal(&mut voters);
                workload.wait_for_operations(&voters, 20);
            }
        }
        // All voters are queried before the next fault. A paused voter delays the query, and elections start meanwhile.
        let leaders: Vec<(u64, String)> =
            voters.statuses().into_iter().filter(|s| s.role == "leader").map(|s| (s.term, s.name)).collect();
        let duplicate =
            leaders.iter().any(|(t, n)| leaders.iter().any(|(other, name)| t == other && n != name));
        assert!(!duplicate, "two leaders in one term: {leaders:?}");
    }
    heal(&mut voters);
    workload.wait_for_operations(&voters, 20);
    voters.wait_until_converged();
    workload.stop_and_check();
}
