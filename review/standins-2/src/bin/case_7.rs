//! Clients get the answers to requests of others: see `review/7/claim.txt`.
use standins_2::{free_addr, meaning, Call, Case, Client, Discovery, Entry, Site, DUES};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

const CLIENTS: u64 = 20;
const LENGTH: Duration = Duration::from_secs(75);
/// One answer in this many is followed by a second copy of it.
const EVERY: u64 = 8;

/// The network to the upstreams takes 0.25 ms each way, as within one data centre.
const LINK: &str = "link=250";

fn main() {
    let case = Case::start();
    let discovery = Discovery::start(&case.record);
    for name in ["a", "b", "c", "d", "e", "f", "g", "h"] {
        let addr = free_addr();
        let copies = format!("copy={EVERY}");
        let options: &[&str] = if case.trouble { &[LINK, &copies] } else { &[LINK] };
        case.upstream(name, addr, 20, options);
        discovery.set(name, Entry { addr, cell: 1, state: "active", started_ms: 0 });
    }
    let listen = free_addr();
    let (known, classes) = (discovery.list(), DUES);
    let site = Site { name: "n1", listen, discovery: discovery.addr, known, classes, index: 0, balancers: 1 };
    case.start_balancer("n1", listen, discovery.addr, &site.json());
    case.wait_ready("n1", listen);
    let (served, foreign) = (Arc::new(AtomicUsize::new(0)), Arc::new(AtomicUsize::new(0)));
    let client = |number: u64| {
        let (record, served, foreign) = (case.record.clone(), served.clone(), foreign.clone());
        thread::spawn(move || {
            let mut client = Client::connect(listen).expect("a connection");
            let mut random = number * 7919 + 12345;
            while record.elapsed() < LENGTH {
                let call = Call::new("dues", 3000, false, 200);
                record.line(&format!("client {number} sends {}", call.id));
                client.send(&call.bytes()).expect("writes");
                let answer = client.answer(Duration::from_secs(4)).expect("an answer");
                let (status, body) = (answer.status, String::from_utf8_lossy(&answer.body).into_owned());
                let is_foreign = status == 200 && body != format!("done {} 200", call.id);
                let note = if is_foreign { "FOREIGN" } else { meaning(status) };
                record.line(&format!("client {number} gets {status} for {}: {note}, {body:?}", call.id));
                served.fetch_add(usize::from(status == 200), Ordering::SeqCst);
                foreign.fetch_add(usize::from(is_foreign), Ordering::SeqCst);
                if answer.closes {
                    client = Client::connect(listen).expect("a connection");
                }
                random ^= random << 13;
                random ^= random >> 7;
                random ^= random << 17;
                thread::sleep(Duration::from_micros(random % 300_000));
            }
        })
    };
    let clients: Vec<_> = (0..CLIENTS).map(client).collect();
    clients.into_iter().for_each(|client| client.join().unwrap());
    let (served, foreign) = (served.load(Ordering::SeqCst), foreign.load(Ordering::SeqCst));
    case.finish(foreign, &format!("{foreign} of {served} served requests got the answer to another one"));
}
