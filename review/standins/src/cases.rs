//! The cases.
use crate::balancer::{free_addr, Balancer, Config, KEYED, TENANTS, UNSAFE};
use crate::clients::{self, Got, Outcome};
use crate::discovery::{Discovery, Entry};
use crate::fastcgi::Connection;
use crate::http::Message;
use crate::random::Random;
use crate::upstream::{Behaviour, Form, Made, Upstream};
use crate::{record, Place, Verdict};
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

fn ms(millis: f64) -> Duration {
    Duration::from_secs_f64(millis / 1000.0)
}

/// Time of work of a request, by its class.
fn work(request: &Message, random: &mut Random) -> Option<Duration> {
    let (low, high) = if request.header("req-kind") == KEYED.0 { (90.0, 160.0) } else { (280.0, 480.0) };
    Some(ms(random.between(low, high)))
}

/// Eight upstreams in two cells.
fn upstreams(made: &Made, behaviour: impl Fn(u32) -> Behaviour) -> Vec<Upstream> {
    (0..8u32)
        .map(|n| Upstream::start(&format!("s-{n}"), n / 4, u64::from(n) + 1, made, behaviour(n)))
        .collect()
}

fn entries(upstreams: &[Upstream]) -> Vec<Entry> {
    let entry = |u: &Upstream| Entry {
        id: u.name.clone(),
        addr: u.addr,
        cell: u.cell,
        state: "active",
        started_ms: 0,
    };
    upstreams.iter().map(entry).collect()
}

/// Starts the balancer with these settings and waits until it is ready.
fn ready_balancer(place: &Place, config: &Config) -> Result<Balancer, String> {
    let mut balancer = Balancer::start(&place.root, &place.folder, config).map_err(|e| e.to_string())?;
    match balancer.wait_ready(Duration::from_secs(10)) {
        Some(_) => Ok(balancer),
        None => Err("the balancer is not ready".into()),
    }
}

/// Counts outcomes by kind, for the record.
fn report_counts(outcomes: &[Outcome]) {
    let count = |is: &dyn Fn(&Got) -> bool| outcomes.iter().filter(|o| is(&o.got)).count();
    record::report(&format!(
        "{} requests: {} served, {} refused, {} failed, {} without a whole answer",
        outcomes.len(),
        count(&|g| matches!(g, Got::Answer(200, _))),
        count(&|g| matches!(g, Got::Answer(429 | 503, _))),
        count(&|g| matches!(g, Got::Answer(s, _) if ![200, 429, 503].contains(s))),
        count(&|g| !matches!(g, Got::Answer(..)))
    ));
}

/// Rule `duplicate`: a request of an unsafe class does not run twice. Some answers come a second time, milliseconds later.
pub fn second_answer(place: &Place) -> Result<Verdict, String> {
    let (made, trouble) = (Made::default(), place.trouble);
    let behaviour: Behaviour = Arc::new(move |request: &Message, random: &mut Random| {
        let twice = trouble && random.uniform() < 0.1;
        let form = if twice { Form::Twice(ms(random.between(2.0, 9.0))) } else { Form::Sound };
        // The queue is full at times, with the disruption and without it.
        let declines = random.uniform() < 0.15;
        (if declines { None } else { work(request, random) }, form)
    });
    let upstreams = upstreams(&made, |_| behaviour.clone());
    let discovery = Discovery::start("d1", 41, &entries(&upstreams));
    let config =
        Config { listen: free_addr(), discovery: discovery.addr, known: discovery.list(), operator: None };
    let mut balancer = ready_balancer(place, &config)?;
    let outcomes = clients::send(balancer.addr, 100.0, Duration::from_secs(95), 7);
    if balancer.has_ended() {
        return Err("the balancer has ended".into());
    }
    report_counts(&outcomes);
    let made = made.lock().expect("lock");
    let (mut twice, mut foreign) = (0, 0);
    for Outcome { id, class, got } in &outcomes {
        let runs = made.get(id).map_or(&[][..], |runs| &runs[..]);
        if *class == UNSAFE.0 && runs.len() > 1 {
            twice += 1;
            record::line(&format!("BROKEN (duplicate): {id} ({class}) ran {} times", runs.len()));
        }
        if matches!(got, Got::Answer(200, body) if !runs.contains(body)) {
            foreign += 1;
            record::line(&format!("BROKEN (lost): {id} ({class}) was served with {got:?}"));
        }
    }
    record::report(&format!("{twice} requests of the class {} ran twice", UNSAFE.0));
    record::report(&format!("{foreign} requests were served with what no upstream made for them"));
    Ok(if twice > 0 { Verdict::Broken } else { Verdict::Held })
}

/// Rule `ready`: a balancer is ready within 30 s. Discovery moves while a new balancer, which has had no list yet, starts:
/// its former address is down, and a new configuration with SIGHUP tells the new one.
pub fn moved_discovery(place: &Place) -> Result<Verdict, String> {
    let made = Made::default();
    let behaviour: Behaviour = Arc::new(|request, random| (work(request, random), Form::Sound));
    let upstreams = upstreams(&made, |_| behaviour.clone());
    let discovery = Discovery::start("d2", 41, &entries(&upstreams));
    let former = free_addr();
    let empty = r#"{"version":0,"full":true,"servers":[]}"#;
    let moved =
        Config { listen: free_addr(), discovery: discovery.addr, known: empty.into(), operator: None };
    let at_start = if place.trouble { former } else { discovery.addr };
    let config = Config { listen: moved.listen, discovery: at_start, known: empty.into(), operator: None };
    let mut balancer = Balancer::start(&place.root, &place.folder, &config).map_err(|e| e.to_string())?;
    if place.trouble {
        std::thread::sleep(Duration::from_secs(3));
        record::line(&format!("a new configuration names discovery {}", moved.discovery));
        if balancer.write_config(&moved).is_err() || !balancer.signal("HUP") {
            return Err("the configuration was not replaced".into());
        }
    }
    let took = balancer.wait_ready(Duration::from_secs(60));
    if balancer.has_ended() {
        return Err("the balancer has ended".into());
    }
    let calls = discovery.calls.load(std::sync::atomic::Ordering::SeqCst);
    record::report(&format!("ready after the last configuration: {took:?}; calls to discovery: {calls}"));
    Ok(if took.is_some_and(|took| took <= Duration::from_secs(30)) { Verdict::Held } else { Verdict::Broken })
}

/// Rule `lost`: what a balancer has taken gets a final answer. A quarter of the upstreams hang, and web servers send several
/// requests at once on a FastCGI connection.
pub fn shared_connection(place: &Place) -> Result<Verdict, String> {
    let (made, trouble, started) = (Made::default(), place.trouble, Instant::now());
    let ran: Arc<Mutex<BTreeSet<String>>> = Arc::default();
    let upstreams = upstreams(&made, |n| {
        let ran = ran.clone();
        Arc::new(move |request: &Message, random: &mut Random| {
            ran.lock().expect("lock").insert(request.header("req-id").into());
            let hangs = trouble && n % 4 == 0 && started.elapsed() > Duration::from_secs(4);
            (if hangs { Some(Duration::from_secs(3600)) } else { work(request, random) }, Form::Sound)
        })
    });
    let discovery = Discovery::start("d1", 41, &entries(&upstreams));
    let fastcgi = free_addr();
    let operator = format!("[fastcgi]\nlisten = [\"{fastcgi}\"]\nrequests = 8\n");
    let known = discovery.list();
    let config = Config { listen: free_addr(), discovery: discovery.addr, known, operator: Some(operator) };
    let mut balancer = ready_balancer(place, &config)?;
    let lost: Arc<Mutex<Vec<String>>> = Arc::default();
    let servers: Vec<_> = (0..60u64)
        .map(|server| {
            let lost = lost.clone();
            thread::spawn(move || web_server(fastcgi, server, Duration::from_secs(95), &lost))
        })
        .collect();
    for server in servers {
        let _ = server.join();
    }
    if balancer.has_ended() {
        return Err("the balancer has ended".into());
    }
    let (lost, ran) = (lost.lock().expect("lock"), ran.lock().expect("lock"));
    // A request that no upstream got may not have been read before the connection was closed.
    let taken: Vec<&String> = lost.iter().filter(|id| ran.contains(*id)).collect();
    taken.iter().for_each(|id| record::line(&format!("BROKEN: {id} had been sent on and got no answer")));
    record::report(&format!("{} requests without an answer, {} of them had run", lost.len(), taken.len()));
    Ok(if taken.is_empty() { Verdict::Held } else { Verdict::Broken })
}

/// Sends requests over one FastCGI connection, which is opened anew when it was closed.
fn web_server(balancer: SocketAddr, number: u64, length: Duration, lost: &Arc<Mutex<Vec<String>>>) {
    let mut random = Random::new(number + 50);
    let (started, mut at) = (Instant::now(), 0.0);
    let mut connection: Option<Connection> = None;
    let mut waiting = Vec::new();
    loop {
        at += random.between(2.6, 5.0);
        if at >= length.as_secs_f64() {
            break;
        }
        thread::sleep(Duration::from_secs_f64(at).saturating_sub(started.elapsed()));
        if connection.as_ref().is_none_or(Connection::is_closed) {
            connection = Connection::open(balancer).ok();
        }
        let Some(connection) = &mut connection else { continue };
        let (class, deadline) = if random.uniform() < 0.55 { KEYED } else { UNSAFE };
        let id = format!("{:016x}", random.next());
        let (deadline_text, key, body) = (format!("{deadline}m"), format!("key-{id}"), vec![b'x'; 48 << 10]);
        let body_length = body.len().to_string();
        let mut params = vec![
            ("REQUEST_METHOD", "POST"),
            ("REQUEST_URI", "/api"),
            ("CONTENT_LENGTH", &body_length),
            ("HTTP_REQ_ID", &id),
            ("HTTP_REQ_KIND", class),
            ("HTTP_REQ_OWNER", TENANTS[(number % 3) as usize]),
            ("HTTP_REQ_DEADLINE", &deadline_text),
        ];
        if class == KEYED.0 {
            params.push(("HTTP_IDEMPOTENCY_KEY", &key));
        }
        record::line(&format!("sent     {id}, {class}, web server {number}"));
        let Ok(end) = connection.send(&params, &body) else { continue };
        let lost = lost.clone();
        waiting.push(thread::spawn(move || {
            let end = end.recv_timeout(Duration::from_millis(deadline) + clients::GRACE);
            record::line(&format!("received {id}: {end:?}"));
            if !matches!(end, Ok(Ok(_))) {
                lost.lock().expect("lock").push(id);
            }
        }));
    }
    for thread in waiting {
        let _ = thread.join();
    }
}
