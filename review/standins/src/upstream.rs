//! A stand-in for an upstream: works for a time on each request and answers it on the same connection.
use crate::http::{answer, read_message, Message};
use crate::random::Random;
use crate::record;
use std::collections::HashMap;
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

/// Idle time after which an upstream closes a connection.
pub const IDLE_CLOSE: Duration = Duration::from_secs(5);

/// How an answer is written.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Form {
    /// With its length, once.
    Sound,
    /// With its length, and a second time after this delay on the same connection.
    Twice(Duration),
}

/// Bodies that upstreams made, by request id.
pub type Made = Arc<Mutex<HashMap<String, Vec<String>>>>;

/// Time of work for a request, and the form of its answer. No work: the request is turned away and never runs.
pub type Behaviour = Arc<dyn Fn(&Message, &mut Random) -> (Option<Duration>, Form) + Send + Sync>;

const DECLINED: &str = "HTTP/1.1 503 Service Unavailable\r\nSrv-Declined: 1\r\nContent-Length: 0\r\n\r\n";

pub struct Upstream {
    pub name: String,
    pub cell: u32,
    pub addr: SocketAddr,
}

impl Upstream {
    pub fn start(name: &str, cell: u32, seed: u64, made: &Made, behaviour: Behaviour) -> Upstream {
        let listener = TcpListener::bind(("127.0.0.1", 0)).expect("a free port");
        let addr = listener.local_addr().expect("an address");
        let (at, made) = (name.to_string(), made.clone());
        thread::spawn(move || {
            for (number, stream) in listener.incoming().enumerate() {
                let Ok(stream) = stream else { continue };
                let (at, made, behaviour) = (at.clone(), made.clone(), behaviour.clone());
                let random = Random::new(seed.wrapping_mul(100_003).wrapping_add(number as u64));
                thread::spawn(move || {
                    let _ = serve(&at, number, stream, &made, &behaviour, random);
                });
            }
        });
        Upstream { name: name.into(), cell, addr }
    }
}

fn serve(
    at: &str,
    connection: usize,
    stream: TcpStream,
    made: &Made,
    behaviour: &Behaviour,
    mut random: Random,
) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    let mut reader = BufReader::new(stream.try_clone()?);
    let writer = Arc::new(Mutex::new(stream.try_clone()?));
    loop {
        stream.set_read_timeout(Some(IDLE_CLOSE))?;
        if !matches!(reader.fill_buf(), Ok(bytes) if !bytes.is_empty()) {
            return Ok(());
        }
        stream.set_read_timeout(None)?;
        let Some(request) = read_message(&mut reader)? else { return Ok(()) };
        let id = request.header("req-id").to_string();
        if id.is_empty() {
            writer.lock().expect("lock").write_all(answer("404 Not Found", "").as_bytes())?;
            continue;
        }
        let (work, form) = behaviour(&request, &mut random);
        let (class, told) = (request.header("req-kind"), request.header("req-deadline"));
        let text = match work {
            Some(work) => {
                record::line(&format!(
                    "run      {id} at {at}, connection {connection}, {class}, told {told}"
                ));
                let body = format!("result of {id}, made at {at}\n");
                made.lock().expect("lock").entry(id.clone()).or_default().push(body.clone());
                thread::sleep(work);
                answer("200 OK", &body)
            }
            None => DECLINED.to_string(),
        };
        let what = if work.is_some() { "answered" } else { "declined" };
        record::line(&format!("{what} {id} at {at}, connection {connection}, {form:?}"));
        writer.lock().expect("lock").write_all(text.as_bytes())?;
        if let Form::Twice(delay) = form {
            let (writer, at) = (writer.clone(), at.to_string());
            thread::spawn(move || {
                thread::sleep(delay);
                let mut stream = writer.lock().expect("lock");
                if stream.write_all(text.as_bytes()).is_ok() {
                    record::line(&format!("second answer for {id} at {at}, connection {connection}"));
                }
            });
        }
    }
}
