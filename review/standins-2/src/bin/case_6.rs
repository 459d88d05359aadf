//! A keyed request runs in two cells: see `review/6/claim.txt`.
use standins_2::{free_addr, meaning, unix_ms, Call, Case, Client, Discovery, Entry, Site, SIGN_UP};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::thread;
use std::time::Duration;

const NAMES: [&str; 8] = ["a", "b", "c", "d", "e", "f", "g", "h"];
/// Two of eight upstreams are replaced at their addresses; a third one crashes.
const REPLACED: [&str; 2] = ["a", "b"];
/// Time for which the cell of an upstream drops repeats of a key.
const WINDOW: Duration = Duration::from_millis(4000);

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// Cell of an upstream: the first four are cell 1; the others, and the new ones, are cell 2.
fn cell(name: &str) -> u16 {
    if ["a", "b", "c", "d"].contains(&name) {
        1
    } else {
        2
    }
}

/// Sends this many sign-ups at once, each on a connection of its own.
fn burst(case: &Case, listen: SocketAddr, count: usize) -> Vec<thread::JoinHandle<()>> {
    let one = |_| {
        let record = case.record.clone();
        thread::spawn(move || {
            let call = Call::new("sign-up", 1400, true, 200);
            record.line(&format!("client sends {} with key {}", call.id, call.key));
            let answer = Client::connect(listen).and_then(|mut client| {
                client.send(&call.bytes())?;
                client.answer(ms(2500))
            });
            match answer {
                Ok(answer) => {
                    record.line(&format!(
                        "client gets {} for {}: {}",
                        answer.status,
                        call.id,
                        meaning(answer.status)
                    ));
                }
                Err(error) => record.line(&format!("client gets no answer for {}: {error}", call.id)),
            }
        })
    };
    (0..count).map(one).collect()
}

fn main() {
    let case = Case::start();
    let discovery = Discovery::start(&case.record);
    let mut addrs = BTreeMap::new();
    for name in NAMES {
        let addr = free_addr();
        case.upstream(name, addr, 400, &[]);
        discovery.set(name, Entry { addr, cell: cell(name), state: "active", started_ms: 0 });
        addrs.insert(name, addr);
    }
    let listen = free_addr();
    let site = Site {
        name: "n1",
        listen,
        discovery: discovery.addr,
        known: discovery.list(),
        classes: SIGN_UP,
        index: 0,
        balancers: 1,
        memory_mb: 192,
        sockets: 512,
    };
    case.start_balancer("n1", listen, discovery.addr, &site.json());
    case.wait_ready("n1", listen);
    for _ in 0..4 {
        burst(&case, listen, 8).into_iter().for_each(|client| client.join().unwrap());
    }
    case.record.line("a quiet time begins; connections to upstreams are closed after 5 s");
    thread::sleep(ms(7000));
    let replaced_at = case.record.elapsed();
    if case.trouble {
        for (index, name) in REPLACED.iter().enumerate() {
            case.kill(name);
            case.upstream(&format!("new-{index}"), addrs[name], 400, &[]);
        }
    }
    let started_ms = unix_ms();
    let clients = burst(&case, listen, 48);
    thread::sleep(ms(250));
    if case.trouble {
        case.kill("d");
    }
    // Discovery tells of the new upstreams 1.5 s after they came, and of the ends 3 s after them.
    let tell_at = |at: Duration| thread::sleep((replaced_at + at).saturating_sub(case.record.elapsed()));
    tell_at(ms(1500));
    if case.trouble {
        for (index, name) in REPLACED.iter().enumerate() {
            let id = format!("new-{index}");
            discovery.set(&id, Entry { addr: addrs[name], cell: 2, state: "active", started_ms });
        }
        tell_at(ms(3000));
        for name in ["a", "b", "d"] {
            discovery.set(name, Entry { addr: addrs[name], cell: 1, state: "left", started_ms: 0 });
        }
    }
    clients.into_iter().for_each(|client| client.join().unwrap());
    thread::sleep(ms(500));
    // A cell drops a repeat within the window: runs count by cell.
    let mut by_key: BTreeMap<String, Vec<(u16, Duration, String)>> = BTreeMap::new();
    for run in case.runs.lock().unwrap().iter() {
        let runs = by_key.entry(run.key.clone()).or_default();
        let cell = cell(&run.upstream);
        if !runs.iter().any(|(other, at, _)| *other == cell && run.at < *at + WINDOW) {
            runs.push((cell, run.at, run.upstream.clone()));
        }
    }
    let mut breaks = 0;
    for (key, runs) in by_key.iter().filter(|(_, runs)| runs.len() > 1) {
        breaks += 1;
        case.record.line(&format!("key {key} ran {} times: {runs:?}", runs.len()));
    }
    let count = by_key.len();
    case.finish(breaks, &format!("{breaks} of {count} keyed requests ran in more than one cell"));
}
