//! A stand-in for discovery that is asked: the whole list, and watches on its changes.
use crate::http::{answer, read_message};
use crate::record;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// An entry of the list.
#[derive(Clone)]
pub struct Entry {
    pub id: String,
    pub addr: SocketAddr,
    pub cell: u32,
    pub state: &'static str,
    pub started_ms: u64,
}

#[derive(Default)]
struct State {
    version: u64,
    /// Entries with the version of their last change.
    entries: Vec<(u64, Entry)>,
}

#[derive(Clone)]
pub struct Discovery {
    pub addr: SocketAddr,
    pub calls: Arc<AtomicUsize>,
    state: Arc<(Mutex<State>, Condvar)>,
}

impl Discovery {
    pub fn start(name: &str, first_version: u64, entries: &[Entry]) -> Discovery {
        let listener = TcpListener::bind(("127.0.0.1", 0)).expect("a free port");
        let addr = listener.local_addr().expect("an address");
        let entries = entries.iter().map(|e| (first_version, e.clone())).collect();
        let state = Arc::new((Mutex::new(State { version: first_version, entries }), Condvar::new()));
        let discovery = Discovery { addr, calls: Arc::default(), state };
        let (serving, name) = (discovery.clone(), name.to_string());
        thread::spawn(move || {
            for stream in listener.incoming() {
                let Ok(stream) = stream else { continue };
                let (serving, name) = (serving.clone(), name.clone());
                thread::spawn(move || {
                    let _ = serving.serve(&name, stream);
                });
            }
        });
        discovery
    }

    /// The whole list in discovery's form.
    pub fn list(&self) -> String {
        let state = self.state.0.lock().expect("lock");
        list_text(state.version, true, state.entries.iter().map(|(_, e)| e).filter(|e| e.state != "left"))
    }

    fn serve(&self, name: &str, mut stream: TcpStream) -> std::io::Result<()> {
        stream.set_nodelay(true)?;
        let mut reader = BufReader::new(stream.try_clone()?);
        while let Some(request) = read_message(&mut reader)? {
            self.calls.fetch_add(1, Ordering::SeqCst);
            record::line(&format!("discovery {name} is asked {}", request.target()));
            let (path, query) = request.target().split_once('?').unwrap_or((request.target(), ""));
            let number = |key: &str| {
                query
                    .split('&')
                    .find_map(|part| part.strip_prefix(key)?.strip_prefix('=')?.parse::<u64>().ok())
            };
            let text = match (path, number("since")) {
                ("/api/targets", None) => answer("200 OK", &self.list()),
                ("/api/targets", Some(since)) => {
                    let wait = Duration::from_millis(number("timeout_ms").unwrap_or(0).min(60_000));
                    answer("200 OK", &self.changes(since, wait))
                }
                _ => answer("404 Not Found", ""),
            };
            stream.write_all(text.as_bytes())?;
            record::line(&format!("discovery {name} has answered {}", request.target()));
        }
        Ok(())
    }

    /// Waits until there is something newer, for this time at most; returns the entries that changed.
    fn changes(&self, since: u64, wait: Duration) -> String {
        let until = Instant::now() + wait;
        let (state, changed) = &*self.state;
        let mut state = state.lock().expect("lock");
        while state.version <= since {
            let left = until.saturating_duration_since(Instant::now());
            if left.is_zero() {
                break;
            }
            state = changed.wait_timeout(state, left).expect("lock").0;
        }
        let newer = state.entries.iter().filter(|(version, _)| *version > since).map(|(_, e)| e);
        list_text(state.version, false, newer)
    }
}

fn list_text<'a>(version: u64, full: bool, entries: impl Iterator<Item = &'a Entry>) -> String {
    let entries: Vec<String> = entries
        .map(|e| {
            format!(
                r#"{{"id":"{}","addr":"{}","zone":"z1","kind":"std","cell":{},"state":"{}","weight":1.0,"started_ms":{}}}"#,
                e.id, e.addr, e.cell, e.state, e.started_ms
            )
        })
        .collect();
    format!(r#"{{"version":{version},"full":{full},"servers":[{}]}}"#, entries.join(","))
}
