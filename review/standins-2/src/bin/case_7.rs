//! A balancer goes over its memory limit and is killed: see `review/7/claim.txt`.
use standins_2::{free_addr, meaning, Call, Case, Client, Discovery, Entry, Site, DUES};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

/// The least memory and the most descriptors that the pages name.
const MEMORY_MB: u64 = 32;
const SOCKETS: usize = 1024;
const USUAL_CLIENTS: usize = 10;
/// Under a third of the descriptors.
const BAD_CLIENTS: usize = 300;
const LENGTH: Duration = Duration::from_secs(20);

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// A request with 85 fields of 140 bytes: a head of 12 kB, under the limit of the balancer on heads.
fn large_head(body_bytes: usize) -> Vec<u8> {
    let call = Call::new("dues", 2500, false, body_bytes).bytes();
    let split = call.windows(2).position(|two| two == b"\r\n").expect("a line") + 2;
    let mut request = call[..split].to_vec();
    for number in 0..85 {
        request.extend(format!("X-{number}: {}\r\n", "v".repeat(140)).into_bytes());
    }
    request.extend_from_slice(&call[split..]);
    request
}

fn main() {
    let case = Case::start();
    let discovery = Discovery::start(&case.record);
    for name in ["a", "b", "c", "d", "e", "f", "g", "h"] {
        let addr = free_addr();
        case.upstream(name, addr, 400, &[]);
        discovery.set(name, Entry { addr, cell: 1, state: "active", started_ms: 0 });
    }
    let listen = free_addr();
    let site = Site {
        name: "n1",
        listen,
        discovery: discovery.addr,
        known: discovery.list(),
        classes: DUES,
        index: 0,
        balancers: 1,
        memory_mb: MEMORY_MB,
        sockets: SOCKETS,
    };
    case.start_balancer("n1", listen, discovery.addr, &site.json());
    case.wait_ready("n1", listen);
    let (answered, unanswered) = (Arc::new(AtomicUsize::new(0)), Arc::new(AtomicUsize::new(0)));
    let usual = |number: usize| {
        let (record, answered, unanswered) = (case.record.clone(), answered.clone(), unanswered.clone());
        thread::spawn(move || {
            while record.elapsed() < LENGTH {
                let Ok(mut client) = Client::connect(listen) else { return };
                loop {
                    let call = Call::new("dues", 3000, false, 200);
                    record.line(&format!("client {number} sends {}", call.id));
                    let answer = client.send(&call.bytes()).and_then(|()| client.answer(ms(4000)));
                    let Ok(answer) = answer else {
                        record.line(&format!("client {number} gets no answer for {}", call.id));
                        unanswered.fetch_add(1, Ordering::SeqCst);
                        break;
                    };
                    let (status, word) = (answer.status, meaning(answer.status));
                    record.line(&format!("client {number} gets {status} for {}: {word}", call.id));
                    answered.fetch_add(1, Ordering::SeqCst);
                    thread::sleep(ms(200));
                    if answer.closes || record.elapsed() > LENGTH {
                        break;
                    }
                }
            }
        });
    };
    let bad = |number: usize| {
        let record = case.record.clone();
        thread::spawn(move || {
            while record.elapsed() < LENGTH {
                let Ok(mut client) = Client::connect(listen) else { return };
                let requests: Vec<u8> = [60_000, 900, 900].into_iter().flat_map(large_head).collect();
                let sent = client.send(&requests).is_ok();
                record.line(&format!("bad client {number} sent 3 requests at once: {sent}"));
                for _ in 0..3 {
                    let Ok(answer) = client.answer(ms(4000)) else { break };
                    record.line(&format!("bad client {number} gets {}", answer.status));
                }
                // The same again.
                thread::sleep(ms(20));
            }
        });
    };
    (0..USUAL_CLIENTS).for_each(usual);
    thread::sleep(ms(3000));
    let before = case.memory("n1").expect("the balancer runs");
    if case.trouble {
        (0..BAD_CLIENTS).for_each(bad);
    }
    // The platform: "Over memory_mb the balancer is killed."
    let (mut most, mut killed) = (0, 0);
    while case.record.elapsed() < LENGTH {
        let Some(memory) = case.memory("n1") else { break };
        most = most.max(memory);
        if memory > MEMORY_MB << 20 {
            case.record.line(&format!("n1 holds {memory} bytes, over its limit: the platform kills it"));
            case.kill("n1");
            killed = 1;
            break;
        }
        thread::sleep(ms(10));
    }
    thread::sleep(ms(500));
    let (answered, unanswered) = (answered.load(Ordering::SeqCst), unanswered.load(Ordering::SeqCst));
    let kb = |bytes: u64| bytes / 1000;
    let verdict = format!(
        "killed for memory: {killed}; {} kB before, {} kB at most; usual clients: {answered} answers, {unanswered} requests without one",
        kb(before),
        kb(most)
    );
    case.finish(killed, &verdict);
}
