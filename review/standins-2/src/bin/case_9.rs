//! Whole answers without a length are thrown away: see `review/9/claim.txt`.
use standins_2::{free_addr, meaning, Call, Case, Client, Discovery, Entry, Site, DUES};
use std::time::Duration;

const CALLS: usize = 160;

fn main() {
    let case = Case::start();
    let discovery = Discovery::start(&case.record);
    for name in ["a", "b", "c", "d", "e", "f", "g", "h"] {
        let addr = free_addr();
        let options: &[&str] = if case.trouble { &["no-length=4"] } else { &[] };
        case.upstream(name, addr, 30, options);
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
        memory_mb: 192,
        sockets: 512,
    };
    case.start_balancer("n1", listen, discovery.addr, &site.json());
    case.wait_ready("n1", listen);
    let mut client = Client::connect(listen).expect("a connection");
    let mut served = Vec::new();
    for _ in 0..CALLS {
        let call = Call::new("dues", 3000, false, 200);
        case.record.line(&format!("client sends {}", call.id));
        client.send(&call.bytes()).expect("writes");
        let answer = client.answer(Duration::from_secs(4)).expect("an answer");
        let is_whole = answer.body == format!("done {} 200", call.id).as_bytes();
        case.record.line(&format!(
            "client gets {} for {}: {}",
            answer.status,
            call.id,
            meaning(answer.status)
        ));
        if answer.status == 200 && is_whole {
            served.push(call.id);
        }
        if answer.closes {
            client = Client::connect(listen).expect("a connection");
        }
    }
    // Each is the end of a run that was answered whole.
    let runs: Vec<String> = case.runs.lock().unwrap().iter().map(|run| run.id.clone()).collect();
    let without = case.answered_without_length();
    let forwarded = without.iter().filter(|id| served.contains(id)).count();
    let others = runs.iter().filter(|id| !without.contains(id)).count();
    let others_forwarded = served.len() - forwarded;
    let verdict = format!(
        "{forwarded} of {} whole answers without a length were forwarded, {others_forwarded} of {others} others",
        without.len()
    );
    // The gate asks for half of them; without the disruption, for all that ran.
    let broken = 2 * forwarded < without.len() || (without.is_empty() && others_forwarded < others);
    case.finish(usize::from(broken), &verdict);
}
