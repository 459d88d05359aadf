//! Stand-ins for clients: they send one request at a time on a connection, keep connections, and open more when all
//! are busy.
use crate::balancer::{KEYED, TENANTS, UNSAFE};
use crate::http::read_message;
use crate::random::Random;
use crate::record;
use std::io::{BufReader, ErrorKind, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// Time past its deadline after which a request without a whole answer is lost.
pub const GRACE: Duration = Duration::from_millis(500);

/// What came back for a request.
#[derive(Clone, Debug, PartialEq)]
pub enum Got {
    /// A whole answer.
    Answer(u16, String),
    /// The connection ended with no whole answer.
    Ended(String),
    /// Nothing until [`GRACE`] after the deadline.
    Nothing,
}

/// A request and what came back.
#[derive(Clone, Debug)]
pub struct Outcome {
    pub id: String,
    pub class: &'static str,
    pub got: Got,
}

type Idle = Arc<Mutex<Vec<BufReader<TcpStream>>>>;

/// Sends requests at `rate` per second for `length`, at random times, and returns all outcomes.
pub fn send(balancer: SocketAddr, rate: f64, length: Duration, seed: u64) -> Vec<Outcome> {
    let idle: Idle = Arc::default();
    let outcomes: Arc<Mutex<Vec<Outcome>>> = Arc::default();
    let (mut random, started, mut at) = (Random::new(seed), Instant::now(), 0.0);
    let mut threads = Vec::new();
    loop {
        at += -(1.0 - random.uniform()).ln() / rate;
        let due = Duration::from_secs_f64(at);
        if due >= length {
            break;
        }
        thread::sleep(due.saturating_sub(started.elapsed()));
        let (class, deadline) = if random.uniform() < 0.55 { KEYED } else { UNSAFE };
        let owner = TENANTS[(random.next() % 3) as usize];
        let id = format!("{:016x}", random.next());
        let (idle, outcomes) = (idle.clone(), outcomes.clone());
        threads.push(thread::spawn(move || {
            record::line(&format!("sent     {id}, {class}"));
            let got = exchange(balancer, &idle, &id, class, owner, deadline);
            record::line(&format!("received {id}: {got:?}"));
            outcomes.lock().expect("lock").push(Outcome { id, class, got });
        }));
    }
    for thread in threads {
        let _ = thread.join();
    }
    let outcomes = outcomes.lock().expect("lock").clone();
    outcomes
}

fn exchange(
    balancer: SocketAddr,
    idle: &Idle,
    id: &str,
    class: &'static str,
    owner: &str,
    deadline_ms: u64,
) -> Got {
    let kept = idle.lock().expect("lock").pop();
    let was_kept = kept.is_some();
    let key = if class == KEYED.0 { format!("Idempotency-Key: key-{id}\r\n") } else { String::new() };
    let body = format!("body of {id}");
    let request = format!(
        "POST /api HTTP/1.1\r\nHost: service.internal\r\nReq-Id: {id}\r\nReq-Kind: {class}\r\nReq-Owner: {owner}\r\n\
         Req-Deadline: {deadline_ms}m\r\n{key}Content-Length: {}\r\n\r\n{body}",
        body.len()
    );
    let until = Instant::now() + Duration::from_millis(deadline_ms) + GRACE;
    let got = kept.map_or(Err(()), |connection| try_on(connection, &request, until, idle));
    match got {
        Ok(got) => got,
        // A balancer may close a connection between requests; the client then sends the request once more on a new one.
        Err(()) => match TcpStream::connect(balancer) {
            Ok(stream) => {
                if was_kept {
                    record::line(&format!("sent     {id} once more on a new connection"));
                }
                let _ = stream.set_nodelay(true);
                try_on(BufReader::new(stream), &request, until, idle)
                    .unwrap_or_else(|()| Got::Ended("closed with no answer".into()))
            }
            Err(error) => Got::Ended(format!("not connected: {error}")),
        },
    }
}

/// `Err`: the connection was closed without a byte.
fn try_on(
    mut connection: BufReader<TcpStream>,
    request: &str,
    until: Instant,
    idle: &Idle,
) -> Result<Got, ()> {
    if connection.get_mut().write_all(request.as_bytes()).is_err() {
        return Err(());
    }
    let left = until.saturating_duration_since(Instant::now()).max(Duration::from_millis(1));
    let _ = connection.get_ref().set_read_timeout(Some(left));
    match read_message(&mut connection) {
        Ok(Some(answer)) => {
            let got = Got::Answer(answer.status(), answer.body_text());
            if !answer.header("connection").eq_ignore_ascii_case("close") {
                idle.lock().expect("lock").push(connection);
            }
            Ok(got)
        }
        Ok(None) => Err(()),
        Err(e) if matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => Ok(Got::Nothing),
        Err(e) if e.kind() == ErrorKind::ConnectionReset => Err(()),
        Err(e) => Ok(Got::Ended(e.to_string())),
    }
}
