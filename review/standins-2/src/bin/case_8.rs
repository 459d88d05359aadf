//! Requests that wait behind others on a connection are answered long after their time: see `review/8/claim.txt`.
use standins_2::{free_addr, meaning, Call, Case, Client, Discovery, Entry, Site, DUES};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

/// Time that a client waits, 56% of the class's deadline.
const DEADLINE_MS: u64 = 1400;
/// Work of a request, in milliseconds: the longest that the pages state for an unsafe request on the slowest machine
/// (280 ms at a speed of 0.51, and 400 ms of waits).
const WORK_MS: u64 = 950;
/// An answer counts up to this long after the client's time; from then on the request is lost.
const SLACK: Duration = Duration::from_millis(500);
/// Number of requests that a client sends at once.
const BATCH: usize = 6;
/// They come in pieces of this many bytes, with this pause between two.
const PIECE_BYTES: usize = 4000;
const PIECE_PAUSE: Duration = Duration::from_millis(10);
const CONNECTIONS: usize = 4;

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn main() {
    let case = Case::start();
    let discovery = Discovery::start(&case.record);
    for name in ["a", "b", "c", "d", "e", "f", "g", "h"] {
        let addr = free_addr();
        case.upstream(name, addr, WORK_MS, &[]);
        discovery.set(name, Entry { addr, cell: 1, state: "active", started_ms: 0 });
    }
    let listen = free_addr();
    // Shorter deadlines, as on the days of a handful of balancers.
    let classes =
        DUES.replace("\"deadline\":6000.0,\"objective\":2500.0", "\"deadline\":2500.0,\"objective\":1500.0");
    assert!(classes != DUES);
    let site = Site {
        name: "n1",
        listen,
        discovery: discovery.addr,
        known: discovery.list(),
        classes: &classes,
        index: 0,
        balancers: 1,
        memory_mb: 192,
        sockets: 512,
    };
    case.start_balancer("n1", listen, discovery.addr, &site.json());
    case.wait_ready("n1", listen);
    let late = Arc::new(Mutex::new((0, 0)));
    let client = |number: usize| {
        let (record, late, trouble) = (case.record.clone(), late.clone(), case.trouble);
        move || {
            let judge = |sent: Duration, call: &Call, answer: std::io::Result<u16>| {
                let waited = record.elapsed() - sent;
                let lost = answer.is_err() || waited > ms(DEADLINE_MS) + SLACK;
                let word = answer.as_ref().map_or("no answer", |status| meaning(*status));
                let verdict = if lost { "LOST" } else { "in time" };
                let waited = waited.as_secs_f64();
                record.line(&format!(
                    "client {number}: {} is {word} {answer:?} after {waited:.3} s: {verdict}",
                    call.id
                ));
                let mut late = late.lock().unwrap();
                late.0 += usize::from(lost);
                late.1 += 1;
            };
            let calls: Vec<Call> = (0..BATCH).map(|_| Call::new("dues", DEADLINE_MS, false, 3000)).collect();
            if !trouble {
                // The same requests, each on a connection of its own.
                thread::scope(|scope| {
                    for call in &calls {
                        scope.spawn(|| {
                            let sent = record.elapsed();
                            record.line(&format!("client {number} sends {}", call.id));
                            let answer = Client::connect(listen).and_then(|mut client| {
                                client.send(&call.bytes())?;
                                client.answer(ms(10_000)).map(|answer| answer.status)
                            });
                            judge(sent, call, answer);
                        });
                    }
                });
                return;
            }
            let mut connection = Client::connect(listen).expect("a connection");
            let (mut written, mut ends, mut all) = (0, Vec::new(), Vec::new());
            for call in &calls {
                all.extend(call.bytes());
                ends.push(all.len());
            }
            // A request is sent when its last byte is.
            let mut sent = Vec::new();
            for piece in all.chunks(PIECE_BYTES) {
                connection.send(piece).expect("writes");
                written += piece.len();
                while sent.len() < ends.len() && ends[sent.len()] <= written {
                    record.line(&format!("client {number} has sent {}", calls[sent.len()].id));
                    sent.push(record.elapsed());
                }
                thread::sleep(PIECE_PAUSE);
            }
            for (call, sent) in calls.iter().zip(sent) {
                judge(sent, call, connection.answer(ms(10_000)).map(|answer| answer.status));
            }
        }
    };
    let threads: Vec<_> = (0..CONNECTIONS).map(|number| thread::spawn(client(number))).collect();
    threads.into_iter().for_each(|thread| thread.join().unwrap());
    let (lost, all) = *late.lock().unwrap();
    case.finish(lost, &format!("{lost} of {all} requests had no answer within their time and 0.5 s"));
}
