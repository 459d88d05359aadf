//! Simulation of many watches on one discovery service that falls silent, resets connections, is down and is overloaded. A
//! model of the platform's protocol computes when each change counts as known; no instance may use an older list after
//! that. Faulty timings are detected.
use discovery::platform::staleness::{
    StalenessSettings, ADDRESS_CHANGE_DEADLINE, AFTER_WAIT_DEADLINE, MAX_WATCH_GAP, SILENT_WATCH_DEADLINE,
    SOCKET_SLACK,
};
use discovery::platform::watch::{NextStep, Watch};
use discovery::watch::{CallKind, WatchTiming};
use proptest::prelude::*;
use proptest::strategy::ValueTree;
use proptest::test_runner::{RngSeed, TestRunner};
use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

/// Time from the return of discovery to the change of [`Fault::CrowdedReturn`].
const CHANGE_AFTER_RETURN: Duration = ms(500);

const fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// Random parameters of a run. Times in milliseconds.
#[derive(Clone, Debug)]
struct Scenario {
    pushed: bool,
    instances: usize,
    /// Time that discovery takes to handle one call of each instance.
    round_time: u64,
    /// Maximum time that a call may spend in the queue of discovery.
    queue_limit: u64,
    /// What discovery does with calls that would spend more time there.
    overload: Overload,
    /// Work of other callers that always waits in the queue after [`Fault::CrowdedReturn`].
    other_work: u64,
    grace: u64,
    /// Time after a change by which an instance without an open watch must have requested the list.
    query_deadline: u64,
    /// Maximum delay with which an instance reads a response.
    max_read_delay: u64,
    /// Faults and their times; see [`Fault`].
    faults: Vec<(u64, Fault)>,
    seed: u64,
}

/// What discovery does with a call that would wait too long in its queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Overload {
    /// Rejects it at once.
    Reject,
    /// Fails it after the longest wait, without work for it.
    Expire,
    /// Fails it after the longest wait, and handles it all the same.
    ExpireAndWork,
}

#[derive(Clone, Copy, Debug)]
enum Fault {
    /// An upstream leaves.
    Change,
    /// All open watches fall silent, and an upstream leaves this much later.
    Silence(u64),
    /// All open watches are reset.
    Reset,
    /// Discovery is down for this time, an agent is silent meanwhile, and an upstream leaves.
    Outage(u64),
    /// Discovery is down for this time and returns with this much work of other callers. An upstream leaves right after.
    CrowdedReturn(u64, u64),
}

#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Step(usize),
    /// A call reaches the head of the queue.
    Dequeued(usize),
    WaitEnded(usize),
    TimedOut(usize),
    /// The response to a call arrives, or with `None` its failure.
    Response(usize, Option<u64>),
    Change,
    Silence,
    Reset,
    OutageStart,
    OutageEnd,
    /// Other callers add this much work.
    Crowd(u64),
}

struct Call {
    instance: usize,
    sent_at: Duration,
    wait: Duration,
    since: Option<u64>,
    /// The call has left the queue and waits for changes.
    open: bool,
    silent_since: Option<Duration>,
    done: bool,
}

struct Instance {
    watch: Watch,
    call: Option<usize>,
    /// Time at which discovery wrote the last response to it.
    last_response_at: Option<Duration>,
    /// Changes made since the last response: they count as known at once if the watch continues.
    changes_in_gap: Vec<usize>,
    /// Time at which it read each version.
    read_at: Vec<Duration>,
}

struct Simulation {
    scenario: Scenario,
    now: Duration,
    events: BTreeMap<(Duration, u64), Event>,
    event_count: u64,
    rng_state: u64,
    calls: Vec<Call>,
    instances: Vec<Instance>,
    version: u64,
    /// Time until which the queue of discovery is busy.
    busy_until: Duration,
    down: bool,
    /// Whether other callers fill the queue.
    crowded: bool,
    /// Time at which each change counts as known, for each instance.
    known_at: Vec<Vec<Duration>>,
    /// Changes that agents have not received because discovery was down.
    undelivered: VecDeque<usize>,
    randomized: bool,
}

impl Simulation {
    fn draw(&mut self) -> f64 {
        self.rng_state =
            self.rng_state.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        (self.rng_state >> 33) as f64 / (1u64 << 31) as f64
    }

    fn schedule(&mut self, time: Duration, event: Event) {
        self.event_count += 1;
        self.events.insert((time, self.event_count), event);
    }

    fn step(&mut self, index: usize) {
        if self.instances[index].call.is_some() {
            return;
        }
        let draw = if self.randomized { self.draw() } else { 1.0 };
        let (now, scenario) = (self.now, self.scenario.clone());
        let request = match self.instances[index].watch.next_step(now, draw) {
            NextStep::Wait(until) => return self.schedule(until, Event::Step(index)),
            NextStep::Call(request) => request,
        };
        let parameter = |name: &str| {
            let rest = request.path.split_once(name)?.1;
            rest.split('&').next()?.parse::<u64>().ok()
        };
        let (since, wait) = (parameter("since="), ms(parameter("timeout_ms=").unwrap_or(0)));
        let id = self.calls.len();
        self.calls.push(Call {
            instance: index,
            sent_at: now,
            wait,
            since,
            open: false,
            silent_since: None,
            done: false,
        });
        let continues_watch = request.kind == CallKind::LongPoll
            && self.instances[index].last_response_at.is_some_and(|written| now <= written + MAX_WATCH_GAP);
        self.instances[index].call = Some(id);
        for change in
            std::mem::take(&mut self.instances[index].changes_in_gap).into_iter().filter(|_| !continues_watch)
        {
            self.known_at[change][index] += ms(scenario.query_deadline);
        }
        self.schedule(now + request.timeout, Event::TimedOut(id));
        if self.down {
            if !scenario.pushed {
                self.schedule(now + ms(1), Event::Response(id, None));
            }
        } else if scenario.pushed || continues_watch {
            self.schedule(now, Event::Dequeued(id));
        } else {
            if self.crowded {
                self.busy_until = self.busy_until.max(now + ms(scenario.other_work));
            }
            let (start, queue_limit) = (self.busy_until.max(now), ms(scenario.queue_limit));
            let work = ms(scenario.round_time) / scenario.instances as u32;
            if start > now + queue_limit {
                if scenario.overload == Overload::ExpireAndWork {
                    self.busy_until = start + work;
                }
                let wait = if scenario.overload == Overload::Reject { ms(10) } else { queue_limit };
                return self.schedule(now + wait, Event::Response(id, None));
            }
            self.busy_until = start + work;
            // A call that has waited too long fails, but is handled all the same.
            if self.busy_until > now + queue_limit {
                return self.schedule(now + queue_limit, Event::Response(id, None));
            }
            self.schedule(self.busy_until, Event::Dequeued(id));
        }
    }

    /// Discovery writes the response to a call, with the present version.
    fn respond(&mut self, id: usize) {
        let (index, read_delay) =
            (self.calls[id].instance, ms((self.draw() * self.scenario.max_read_delay as f64) as u64));
        self.calls[id].open = false;
        self.instances[index].last_response_at = Some(self.now);
        let version = self.version;
        self.schedule(self.now + read_delay, Event::Response(id, Some(version)));
    }

    fn finish_call(&mut self, id: usize, response: Option<u64>) {
        let (draw, now) = (if self.randomized { self.draw() } else { 1.0 }, self.now);
        if std::mem::replace(&mut self.calls[id].done, true) {
            return;
        }
        let index = self.calls[id].instance;
        self.instances[index].call = None;
        match response {
            Some(version) => {
                let full = self.calls[id].since.is_none();
                let body = format!(r#"{{"version":{version},"full":{full},"servers":[]}}"#);
                let read_at = &mut self.instances[index].read_at;
                read_at.resize(read_at.len().max(version as usize + 1), now);
                self.instances[index].watch.on_response(now, 200, body.as_bytes(), draw);
            }
            None => {
                self.instances[index].watch.on_failure(now, "", draw);
            }
        }
        self.schedule(now, Event::Step(index));
    }

    fn make_change(&mut self) {
        self.version += 1;
        let (now, scenario) = (self.now, self.scenario.clone());
        let known_at = (0..scenario.instances).map(|index| {
            let instance = &self.instances[index];
            let call = instance.call.map(|id| &self.calls[id]);
            let continues_watch =
                instance.last_response_at.is_some_and(|written| now <= written + MAX_WATCH_GAP);
            match call {
                Some(Call { silent_since: Some(silent_since), sent_at, wait, .. }) => {
                    now.max(*silent_since + SILENT_WATCH_DEADLINE).max(*sent_at + *wait + AFTER_WAIT_DEADLINE)
                }
                _ if scenario.pushed => now,
                Some(call) if call.open || continues_watch => now,
                None if continues_watch => now,
                // The time that is allowed after a failed call starts when discovery can be reached again.
                _ if self.down => Duration::MAX,
                _ => now + ms(scenario.query_deadline).min(SILENT_WATCH_DEADLINE),
            }
        });
        self.known_at.push(known_at.collect());
        let change = self.known_at.len() - 1;
        for instance in self
            .instances
            .iter_mut()
            .filter(|instance| instance.call.is_none_or(|id| !self.calls[id].open) && !scenario.pushed)
        {
            if instance.last_response_at.is_some_and(|written| now <= written + MAX_WATCH_GAP) {
                instance.changes_in_gap.push(change);
            }
        }
        if self.down && scenario.pushed {
            return self.undelivered.push_back(self.known_at.len() - 1);
        }
        for id in 0..self.calls.len() {
            if self.calls[id].open && self.calls[id].silent_since.is_none() && !self.calls[id].done {
                self.respond(id);
            }
        }
    }

    fn handle(&mut self, event: Event) {
        let is_open = |call: &Call| call.open && !call.done && call.silent_since.is_none();
        let now = self.now;
        match event {
            Event::Step(index) => self.step(index),
            Event::Dequeued(id)
                if self.down || self.calls[id].done || self.calls[id].silent_since.is_some() => {}
            Event::Dequeued(id) if self.calls[id].since.is_none_or(|since| since < self.version) => {
                self.respond(id)
            }
            Event::Dequeued(id) => {
                self.calls[id].open = true;
                self.schedule(now + self.calls[id].wait, Event::WaitEnded(id));
            }
            Event::WaitEnded(id) if is_open(&self.calls[id]) => self.respond(id),
            Event::WaitEnded(_) => {}
            Event::TimedOut(id) => self.finish_call(id, None),
            Event::Response(id, response) => self.finish_call(id, response),
            Event::Change => self.make_change(),
            Event::Silence => {
                self.calls
                    .iter_mut()
                    .filter(|call| is_open(call))
                    .for_each(|call| call.silent_since = Some(now));
            }
            Event::Reset => {
                for id in (0..self.calls.len()).filter(|&id| is_open(&self.calls[id])).collect::<Vec<_>>() {
                    self.calls[id].open = false;
                    self.schedule(now, Event::Response(id, None));
                }
            }
            Event::OutageStart => {
                self.down = true;
                for id in (0..self.calls.len()).filter(|&id| !self.calls[id].done).collect::<Vec<_>>() {
                    if self.scenario.pushed {
                        self.calls[id].silent_since = Some(now);
                    } else {
                        self.schedule(now, Event::Response(id, None));
                    }
                }
            }
            Event::Crowd(work) => {
                self.busy_until = now + ms(work);
                self.crowded = true;
            }
            Event::OutageEnd => {
                self.down = false;
                // Changes that an agent receives after the outage count as known at once, whether or not a watch is open.
                for change in std::mem::take(&mut self.undelivered) {
                    self.known_at[change] = vec![now; self.scenario.instances];
                }
                for known_at in self.known_at.iter_mut().flatten() {
                    *known_at = (*known_at).min(now + SILENT_WATCH_DEADLINE);
                }
            }
        }
    }
}

/// Runs a scenario with a timing; an error describes the first stale list.
fn run(scenario: &Scenario, timing: &WatchTiming, randomized: bool, gated: bool) -> Result<(), String> {
    match stale_lists(scenario, timing, randomized, gated).first() {
        None => Ok(()),
        Some((change, index, used_until, known_at)) => Err(format!(
            "instance {index} uses the list before change {change} until {used_until:?}, known at {known_at:?}"
        )),
    }
}

/// Lists that were used for too long: the change that the list lacks, the instance, the time until which the list was used,
/// and the time at which the change counts as known. `gated`: no request is sent by the old list once the change is read;
/// otherwise requests are sent by it for a drain grace after that.
fn stale_lists(
    scenario: &Scenario,
    timing: &WatchTiming,
    randomized: bool,
    gated: bool,
) -> Vec<(usize, usize, Duration, Duration)> {
    let new_instance = |_| Instance {
        watch: Watch::with_timing(timing.clone(), Some(0)),
        call: None,
        last_response_at: None,
        changes_in_gap: Vec::new(),
        read_at: vec![Duration::ZERO],
    };
    let mut simulation = Simulation {
        now: Duration::ZERO,
        events: BTreeMap::new(),
        event_count: 0,
        rng_state: scenario.seed,
        calls: Vec::new(),
        instances: (0..scenario.instances).map(new_instance).collect(),
        version: 0,
        busy_until: Duration::ZERO,
        down: false,
        crowded: false,
        known_at: Vec::new(),
        undelivered: VecDeque::new(),
        randomized,
        scenario: scenario.clone(),
    };
    for index in 0..scenario.instances {
        simulation.schedule(Duration::ZERO, Event::Step(index));
    }
    for &(time, fault) in &scenario.faults {
        let time = ms(time);
        match fault {
            Fault::Change => simulation.schedule(time, Event::Change),
            Fault::Silence(delay) => {
                simulation.schedule(time, Event::Silence);
                simulation.schedule(time + ms(delay), Event::Change);
            }
            Fault::Reset => simulation.schedule(time, Event::Reset),
            Fault::Outage(duration) => {
                simulation.schedule(time, Event::OutageStart);
                simulation.schedule(time + ms(duration / 2), Event::Change);
                simulation.schedule(time + ms(duration), Event::OutageEnd);
            }
            Fault::CrowdedReturn(duration, work) => {
                simulation.schedule(time, Event::OutageStart);
                simulation.schedule(time + ms(duration), Event::OutageEnd);
                simulation.schedule(time + ms(duration), Event::Crowd(work));
                simulation.schedule(time + ms(duration) + CHANGE_AFTER_RETURN, Event::Change);
            }
        }
    }
    let end = ms(scenario.faults.iter().map(|fault| fault.0).max().unwrap_or(0) + 60_000);
    while let Some(((time, _), event)) = simulation.events.pop_first().filter(|((time, _), _)| *time < end) {
        simulation.now = time;
        simulation.handle(event);
    }
    let changes = scenario.faults.iter().filter(|(_, fault)| !matches!(fault, Fault::Reset)).count();
    assert_eq!(simulation.known_at.len(), changes, "every change was made");
    let grace = ms(scenario.grace);
    let mut stale = Vec::new();
    for (change, known_at) in simulation.known_at.iter().enumerate() {
        for (index, &known_at) in known_at.iter().enumerate() {
            let read_at = simulation.instances[index].read_at.get(change + 1).copied().unwrap_or(end);
            let used_until = if gated { read_at } else { read_at + grace };
            if used_until > known_at + grace + SOCKET_SLACK {
                stale.push((change, index, used_until, known_at));
            }
        }
    }
    stale
}

/// Times for one call of every instance, in milliseconds, at which the queue of discovery is short enough that an instance
/// that was rejected once is not rejected again in the time that is left.
const SHORT_ROUND_TIMES: std::ops::Range<u64> = 1000..3000;

fn scenarios(pushed: bool, round_times: std::ops::Range<u64>) -> impl Strategy<Value = Scenario> {
    let fault = prop_oneof![
        3 => (0u64..4000).prop_map(Fault::Silence),
        1 => Just(Fault::Change),
        1 => Just(Fault::Reset),
        1 => (500u64..6000).prop_map(Fault::Outage),
    ];
    // Faults are far enough apart that each one has ended before the next.
    let faults = prop::collection::vec((0u64..8000, fault), 1..5).prop_map(|faults| {
        let numbered = faults.into_iter().enumerate();
        numbered.map(|(k, (offset, fault))| (k as u64 * 30_000 + 1000 + offset, fault)).collect()
    });
    (8usize..60, round_times, 1000u64..4000, 6000u64..12_000, 0u64..200, faults, any::<u64>()).prop_map(
        move |(instances, round_time, queue_limit, query_deadline, max_read_delay, faults, seed)| Scenario {
            pushed,
            instances,
            round_time,
            queue_limit,
            overload: Overload::Reject,
            other_work: 0,
            grace: 1000,
            query_deadline,
            max_read_delay,
            faults,
            seed,
        },
    )
}

/// Runs random scenarios from a fixed seed until one has a stale list.
fn search(
    pushed: bool,
    alter: impl Fn(&mut WatchTiming),
    randomized: bool,
    gated: bool,
) -> Result<(), String> {
    let config = ProptestConfig {
        cases: 400,
        rng_seed: RngSeed::Fixed(38),
        failure_persistence: None,
        ..Default::default()
    };
    let result = TestRunner::new(config).run(&scenarios(pushed, SHORT_ROUND_TIMES), |scenario| {
        let mut timing =
            StalenessSettings { lists_are_pushed: pushed, drain_grace: ms(scenario.grace) }.watch_timing();
        alter(&mut timing);
        run(&scenario, &timing, randomized, gated).map_err(TestCaseError::fail)
    });
    result.map_err(|e| e.to_string())
}

#[test]
fn no_list_is_used_after_a_change_that_it_lacks_counts_as_known() {
    for pushed in [false, true] {
        search(pushed, |_| {}, true, true).unwrap_or_else(|e| panic!("pushed: {pushed}: {e}"));
    }
}

/// Number of scenarios, of 300, in which some instance uses a list for too long, where discovery takes `round_time`
/// milliseconds for a call of each instance.
fn count_stale(round_time: u64, alter: impl Fn(&mut WatchTiming), randomized: bool) -> usize {
    let rng_seed = RngSeed::Fixed(42);
    let mut runner = TestRunner::new(ProptestConfig { rng_seed, ..Default::default() });
    let mut stale = 0;
    for _ in 0..300 {
        let scenario =
            scenarios(false, round_time..round_time + 1).new_tree(&mut runner).expect("a scenario").current();
        let mut timing =
            StalenessSettings { lists_are_pushed: false, drain_grace: ms(scenario.grace) }.watch_timing();
        alter(&mut timing);
        stale += usize::from(run(&scenario, &timing, randomized, true).is_err());
    }
    stale
}

/// Bounds the number of late reads where discovery is slower, so that an instance may be rejected repeatedly: no timing that
/// does not know the other instances always meets the deadline then. Counts the scenarios in which this one does not, of 300
/// with up to four faults and 8 to 59 instances each.
#[test]
fn a_slow_discovery_rarely_leads_to_stale_lists() {
    for (round_time, max_stale) in [(3000, 3), (4000, 30)] {
        let stale = count_stale(round_time, |_| {}, true);
        assert!(stale <= max_stale, "{stale} of 300 where a call of each takes {round_time} ms");
    }
}

/// Guards against instances that retry so early, and in such numbers, that discovery handles only calls that have timed out:
/// 300 instances that all lose their watches, at a discovery service that takes 7 s for a call of each.
#[test]
fn a_full_queue_recovers() {
    let scenario = Scenario {
        pushed: false,
        instances: 300,
        round_time: 7000,
        queue_limit: 2000,
        overload: Overload::Reject,
        other_work: 0,
        grace: 1000,
        query_deadline: 10_000,
        max_read_delay: 10,
        faults: vec![(20_000, Fault::Outage(8000)), (50_000, Fault::Change)],
        seed: 42,
    };
    let timing =
        StalenessSettings { lists_are_pushed: false, drain_grace: ms(scenario.grace) }.watch_timing();
    // Counts instances that lack the second change, which is made 22 s after the end of the outage.
    let stale = |t: &WatchTiming| stale_lists(&scenario, t, true, true).iter().filter(|s| s.0 == 1).count();
    assert_eq!(stale(&timing), 0, "all have a watch again");
    let mut early_retries = timing;
    (early_retries.retry_spread, early_retries.max_rejected_backoff) = (None, ms(1000));
    assert!(stale(&early_retries) > 100, "{} with a backoff of at most a second", stale(&early_retries));
}

/// Guards against a search that cannot fail: each of several faulty timings is detected.
#[test]
fn faulty_timings_are_detected() {
    for pushed in [false, true] {
        let long_wait =
            |timing: &mut WatchTiming| (timing.max_wait, timing.response_timeout) = (ms(20_000), ms(2000));
        if pushed {
            assert!(search(pushed, long_wait, true, true).is_err(), "a wait of 20 s");
        } else {
            let stale = count_stale(4000, long_wait, true);
            assert!(stale > 45, "a wait of 20 s: {stale} of 300, where 30 are allowed");
        }
        let long_backoff = |timing: &mut WatchTiming| {
            (timing.initial_backoff, timing.max_backoff, timing.max_rejected_backoff) =
                (ms(8000), ms(8000), ms(8000))
        };
        assert!(search(pushed, long_backoff, true, true).is_err(), "a backoff of 8 s after a silent watch");
        assert!(
            search(pushed, |_| {}, true, false).is_err(),
            "requests by the old list for a grace after the change is read"
        );
    }
    let stale = count_stale(4000, |_| {}, false);
    assert!(stale > 45, "all retry at the same time: {stale} of 300, where 30 are allowed");
}

/// Guards against a watch that stops after a failed call, or retries so late that a change in between counts as known: a
/// hundred consecutive failures, each at once or after a wait, with random draws at both ends of the range.
#[test]
fn after_any_failure_the_next_call_is_sent_in_time() {
    let (wait, max_interval) = (ms(2000), SILENT_WATCH_DEADLINE + ms(1000) + SOCKET_SLACK - ms(500));
    for (call_time, draw) in [(ms(20), 0.0), (ms(20), 1.0), (wait, 0.0), (wait, 0.5), (wait, 1.0)] {
        let settings = StalenessSettings { lists_are_pushed: false, drain_grace: ms(1000) };
        let mut watch = Watch::new(&settings, Some(0));
        let (mut now, mut started_at) = (Duration::ZERO, None);
        for attempt in 0..100 {
            match watch.next_step(now, draw) {
                NextStep::Call(_) => {}
                NextStep::Wait(until) => {
                    now = until;
                    assert!(matches!(watch.next_step(now, draw), NextStep::Call(_)), "attempt {attempt}");
                }
            }
            if let Some(started_at) = started_at {
                let interval = now - started_at;
                assert!(
                    interval <= max_interval,
                    "{interval:?} after a call of {call_time:?}, attempt {attempt}, draw {draw}"
                );
                // Leaves the queue to other instances as soon as the remaining time allows.
                assert!(
                    call_time < wait || attempt < 5 || interval >= wait,
                    "{interval:?}, attempt {attempt}, draw {draw}"
                );
            }
            started_at = Some(now);
            now += call_time;
            watch.on_failure(now, "503", draw);
        }
    }
}

/// Guards against drains that are learned too late after an outage: discovery returns with so much work of other callers
/// that the first calls wait in vain, and their retries have to wait as well.
#[test]
fn instances_whose_first_calls_after_an_outage_expire_read_changes_in_time() {
    let timing = StalenessSettings { lists_are_pushed: false, drain_grace: ms(1000) }.watch_timing();
    for (instances, seeds) in [(14, 40), (60, 20), (300, 5)] {
        for (returning_work, other_work) in [(4400, 2600), (3500, 2000), (5900, 1000)] {
            for seed in 0..seeds {
                let scenario = Scenario {
                    pushed: false,
                    instances,
                    round_time: 300,
                    queue_limit: 3000,
                    overload: Overload::Expire,
                    other_work,
                    grace: 1000,
                    query_deadline: 10_000,
                    max_read_delay: 10,
                    faults: vec![(3000, Fault::CrowdedReturn(8000, returning_work))],
                    seed,
                };
                let result = run(&scenario, &timing, true, true);
                assert_eq!(result, Ok(()), "{instances} instances, seed {seed}, {returning_work} ms of work");
            }
        }
    }
}

/// Guards against retries after an outage that keep a discovery service overloaded which takes 7 s for a call of each
/// instance: 22 s after its return all have a watch again.
#[test]
fn an_overloaded_discovery_recovers_whatever_it_does_with_expired_calls() {
    let timing = StalenessSettings { lists_are_pushed: false, drain_grace: ms(1000) }.watch_timing();
    for overload in [Overload::Reject, Overload::Expire, Overload::ExpireAndWork] {
        for (instances, queue_limit) in [(60, 3000), (300, 3000), (300, 2000)] {
            let scenario = Scenario {
                pushed: false,
                instances,
                round_time: 7000,
                queue_limit,
                overload,
                other_work: 0,
                grace: 1000,
                query_deadline: 10_000,
                max_read_delay: 10,
                faults: vec![(20_000, Fault::CrowdedReturn(8000, 0)), (50_000, Fault::Change)],
                seed: 67,
            };
            let stale = stale_lists(&scenario, &timing, true, true).iter().filter(|s| s.0 == 1).count();
            assert_eq!(stale, 0, "{overload:?}, {instances} instances, a queue of {queue_limit} ms");
        }
    }
}

/// Sends the next call of a watch, and lets it fail after `call_time`. Returns when it was sent.
fn fail_next_call(watch: &mut Watch, now: &mut Duration, call_time: Duration, draw: f64) -> Duration {
    while let NextStep::Wait(until) = watch.next_step(*now, draw) {
        *now = until;
    }
    let sent_at = *now;
    *now += call_time;
    watch.on_failure(*now, "503", draw);
    sent_at
}

/// Guards against a retry that leaves less time for its response than the call before has waited in vain: at the start, after
/// a break of the watch and after a move of discovery.
#[test]
fn retry_after_a_call_that_waited_leaves_time_for_as_long_a_wait() {
    let settings = StalenessSettings { lists_are_pushed: false, drain_grace: ms(1000) };
    let deadline = SILENT_WATCH_DEADLINE + ms(1000) + SOCKET_SLACK;
    let moved_deadline = ADDRESS_CHANGE_DEADLINE + ms(1000) + SOCKET_SLACK;
    let established = |now: Duration| {
        let mut watch = Watch::new(&settings, Some(0));
        assert!(matches!(watch.next_step(now, 0.5), NextStep::Call(_)));
        watch.on_response(now, 200, br#"{"version":0,"full":false,"servers":[]}"#, 0.5);
        watch
    };
    for (wait, draw) in [(ms(1000), 1.0), (ms(2000), 1.0), (ms(3000), 0.0), (ms(3000), 1.0)] {
        let (mut started, mut broken, mut moved) =
            (Watch::new(&settings, Some(0)), established(ms(0)), established(ms(0)));
        fail_next_call(&mut broken, &mut ms(0), ms(0), draw);
        moved.address_changed(ms(0));
        for (watch, deadline) in
            [(&mut started, deadline), (&mut broken, deadline), (&mut moved, moved_deadline)]
        {
            let mut now = ms(0);
            fail_next_call(watch, &mut now, wait, draw);
            let failed_at = now;
            let retried_at = fail_next_call(watch, &mut now, wait, draw);
            assert!(
                retried_at <= failed_at.max(deadline - wait),
                "{retried_at:?} after a wait of {wait:?} until {failed_at:?}, with {deadline:?}"
            );
        }
    }
}

/// Guards against an outage whose connections hang being taken for a queue: after its return the next call comes as soon as
/// after one that is rejected at once.
#[test]
fn call_that_found_no_connection_is_retried_like_a_rejected_one() {
    let settings = StalenessSettings { lists_are_pushed: false, drain_grace: ms(1000) };
    let mut watch = Watch::new(&settings, Some(0));
    let mut now = ms(0);
    for attempt in 0..20 {
        while let NextStep::Wait(until) = watch.next_step(now, 1.0) {
            assert!(until <= now + ms(3000), "{:?} after the failure, attempt {attempt}", until - now);
            now = until;
        }
        now += ms(1000);
        watch.on_connect_failure(now, "not connected in time", 1.0);
    }
}
