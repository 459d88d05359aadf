//! New work goes to an upstream that drains: see `review/10/claim.txt`.
use standins_2::{free_addr, meaning, Call, Case, Client, Discovery, Entry, Site, DUES};
use std::collections::BTreeSet;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

const BALANCERS: usize = 14;
/// A change counts as told this long after discovery had it and could be reached.
const TOLD: Duration = Duration::from_millis(6000);
/// Grace of drains, and the extension of each time limit on sockets.
const GRACE: Duration = Duration::from_millis(1050);
/// Time for which discovery is down.
const OUTAGE: Duration = Duration::from_millis(8000);

/// Work of a request, in milliseconds, and the clients of each balancer: 9 requests a second.
const WORK_MS: u64 = 800;
const CLIENTS: usize = 8;
/// Time after the grace at which the drained upstream ends.
const END: Duration = Duration::from_millis(800);

static NEXT: AtomicU64 = AtomicU64::new(0);

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn main() {
    let case = Case::start();
    let discovery = Discovery::start(&case.record);
    let mut draining = None;
    for name in ["a", "b", "c", "d", "e", "f", "g", "h"] {
        let addr = free_addr();
        case.upstream(name, addr, WORK_MS, &[]);
        let entry = Entry { addr, cell: 1, state: "active", started_ms: 0 };
        discovery.set(name, entry.clone());
        draining.get_or_insert(Entry { state: "leaving", ..entry });
    }
    let names: Vec<String> = (0..BALANCERS).map(|index| format!("n{index}")).collect();
    let addrs: Vec<_> = names.iter().map(|_| free_addr()).collect();
    for (index, (name, &listen)) in names.iter().zip(&addrs).enumerate() {
        let (known, balancers) = (discovery.list(), BALANCERS);
        let site = Site {
            name,
            listen,
            discovery: discovery.addr,
            known,
            classes: DUES,
            index,
            balancers,
            memory_mb: 192,
            sockets: 512,
        };
        case.start_balancer(name, listen, discovery.addr, &site.json());
    }
    names.iter().zip(&addrs).for_each(|(name, &listen)| case.wait_ready(name, listen));
    let done = Arc::new(AtomicBool::new(false));
    let failed = Arc::new(Mutex::new(BTreeSet::new()));
    let client = |listen| {
        let (done, record, failed) = (done.clone(), case.record.clone(), failed.clone());
        thread::spawn(move || {
            let mut client = Client::connect(listen).expect("a connection");
            while !done.load(Ordering::SeqCst) {
                let call = Call::new("dues", 3000, false, 200);
                client.send(&call.bytes()).expect("writes");
                let answer = client.answer(ms(4000)).expect("an answer");
                record.line(&format!("client of {listen} gets {} for {}", answer.status, call.id));
                if meaning(answer.status) == "failed" {
                    failed.lock().unwrap().insert(call.id);
                }
                if answer.closes {
                    client = Client::connect(listen).expect("a connection");
                }
                // Spreads the requests of the clients.
                thread::sleep(ms(1 + NEXT.fetch_add(61, Ordering::SeqCst) % 200));
            }
        })
    };
    let clients: Vec<_> = (0..CLIENTS).flat_map(|_| &addrs).map(|&listen| client(listen)).collect();
    thread::sleep(ms(3000));
    if case.trouble {
        discovery.set_down(true);
        thread::sleep(OUTAGE);
        // It comes back with too many callers. Their calls are worked through in turn: those that come in the first 1.4 s
        // have waited too long after 3 s, and fail; later ones are answered after up to 2.6 s.
        discovery.set_backlog(ms(4400));
        discovery.set_down(false);
    }
    thread::sleep(ms(500));
    discovery.set("a", draining.unwrap());
    let had_at = case.record.elapsed();
    let limit = had_at + TOLD + GRACE;
    let mut has_ended = false;
    while case.record.elapsed() < had_at + ms(12_000) {
        if case.trouble {
            // Other callers keep the queue at this length.
            discovery.keep_backlog(ms(2600));
        }
        // It has had time to finish what it had.
        if !has_ended && case.record.elapsed() > limit + END {
            case.kill("a");
            has_ended = true;
        }
        thread::sleep(ms(10));
    }
    done.store(true, Ordering::SeqCst);
    clients.into_iter().for_each(|client| client.join().unwrap());
    let runs = case.runs.lock().unwrap().clone();
    let late: Vec<_> = runs.iter().filter(|run| run.upstream == "a" && run.at > limit).collect();
    for run in &late {
        let by = (run.at - limit).as_secs_f64();
        case.record.line(&format!("{} was sent to a, which drains, {by:.3} s after the grace", run.id));
    }
    let failed = failed.lock().unwrap();
    let cut = late.iter().filter(|run| failed.contains(&run.id)).count();
    let count = late.len();
    let verdict = format!(
        "{count} requests sent to the draining upstream after the grace; {cut} of these unsafe requests were cut off by its end"
    );
    case.finish(count, &verdict);
}
