//! Discovery in the platform's format: a server with prepared answers, and a registry that serves a list.
use crate::ledger::{Entry, Ledger, UpstreamState};
use crate::message::{read, Message};
use crate::TEST_TIMEOUT;
use std::collections::{BTreeMap, VecDeque};
use std::io::{BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc::{channel, Receiver, Sender};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

/// Discovery server that gives one prepared answer to each call, in order, and does not answer without one.
pub struct Discovery {
    /// Address on which it listens.
    pub addr: SocketAddr,
    /// Calls in the order of their arrival.
    pub calls: Receiver<Message>,
    answers: Sender<String>,
}

impl Discovery {
    /// Starts discovery on a free port.
    pub fn start() -> Discovery {
        let listener = TcpListener::bind("127.0.0.1:0").expect("binds");
        let addr = listener.local_addr().expect("an address");
        let (answers, prepared) = channel::<String>();
        let (tell, calls) = channel();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let mut stream = BufReader::new(stream);
                while let Some(call) = read(&mut stream) {
                    let _ = tell.send(call);
                    let Ok(answer) = prepared.recv() else { return };
                    let _ = stream.get_mut().write_all(answer.as_bytes());
                    if answer.contains("Connection: close") {
                        break;
                    }
                }
            }
        });
        Discovery { addr, calls, answers }
    }

    /// Prepares an answer with this body.
    pub fn answer(&self, body: &str) {
        self.answer_with("", body);
    }

    /// Prepares an answer with further header lines, each with its line end.
    pub fn answer_with(&self, headers: &str, body: &str) {
        let text = format!("HTTP/1.1 200 OK\r\n{headers}Content-Length: {}\r\n\r\n{body}", body.len());
        self.answers.send(text).expect("discovery runs");
    }

    /// Prepares this complete answer.
    pub fn answer_raw(&self, text: &str) {
        self.answers.send(text.into()).expect("discovery runs");
    }

    /// Prepares a 503 answer.
    pub fn fail(&self) {
        let text = "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n";
        self.answers.send(text.into()).expect("discovery runs");
    }

    /// Waits for the next call and returns its path.
    pub fn next_path(&self) -> String {
        self.calls.recv_timeout(TEST_TIMEOUT).expect("a call").path().into()
    }
}

/// An upstream in the registry's list.
#[derive(Clone, Debug)]
pub struct ListedUpstream {
    /// Address on which it listens.
    pub addr: SocketAddr,
    /// Group that it belongs to.
    pub group: u32,
    /// `active`, `leaving` or `left`.
    pub state: &'static str,
    /// Start time in Unix milliseconds; 0 means long ago.
    pub started_ms: u64,
}

/// Maximum time between an answer and the next call for the call to continue the watch.
const MAX_WATCH_GAP: Duration = Duration::from_millis(200);
/// Pause between two bytes of an answer under [`DiscoveryFault::Trickle`].
const TRICKLE_INTERVAL: Duration = Duration::from_millis(100);

/// Waits up to `max_wait` for the peer to close the connection; returns whether it did.
pub(crate) fn hung_up(stream: &TcpStream, max_wait: Duration) -> bool {
    let before = stream.read_timeout().ok().flatten();
    let ended = stream.set_read_timeout(Some(max_wait)).is_ok() && matches!(stream.peek(&mut [0]), Ok(0));
    let _ = stream.set_read_timeout(before);
    ended
}

/// Sends nothing more and reads until the peer closes the connection.
fn silent(stream: &mut BufReader<TcpStream>) {
    while read(stream).is_some() {}
}

fn upstream_json(name: &str, listed: &ListedUpstream) -> String {
    format!(
        r#"{{"id":"{name}","addr":"{}","zone":"a","kind":"m","cell":{},"state":"{}","weight":1.0,"started_ms":{}}}"#,
        listed.addr, listed.group, listed.state, listed.started_ms
    )
}

/// Formats a list in discovery's format.
pub fn list<'a>(
    version: u64,
    full: bool,
    lines: impl Iterator<Item = (&'a str, &'a ListedUpstream)>,
) -> String {
    let lines: Vec<String> = lines.map(|(name, listed)| upstream_json(name, listed)).collect();
    format!(r#"{{"version":{version},"full":{full},"servers":[{}]}}"#, lines.join(","))
}

/// Formats a list of upstreams that started long ago: number `n` has the id `s-n` and is in group 1.
pub fn upstream_list(version: u64, full: bool, servers: &[(usize, SocketAddr, &'static str)]) -> String {
    let listed =
        |&(n, addr, state)| (format!("s-{n}"), ListedUpstream { addr, group: 1, state, started_ms: 0 });
    let all: Vec<(String, ListedUpstream)> = servers.iter().map(listed).collect();
    list(version, full, all.iter().map(|(name, listed)| (name.as_str(), listed)))
}

/// Fault of an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DiscoveryFault {
    /// No answer is sent; the connection stays open.
    Silent,
    /// Half of the answer is sent, and then nothing.
    Half,
    /// The answer is sent one byte at a time, too slowly to complete.
    Trickle,
    /// The sending side of the connection is closed instead of an answer.
    HalfClosed,
    /// The connection is reset instead of an answer.
    Reset,
}

#[derive(Default)]
struct View {
    version: u64,
    /// Upstreams, each with the version of its last change.
    listed: BTreeMap<String, (ListedUpstream, u64)>,
    /// Number of times that all open watches were silenced.
    silenced: u64,
    /// Whether calls that arrive are never answered.
    unresponsive: bool,
    /// Faults of the next answers, in order.
    pending_faults: VecDeque<DiscoveryFault>,
    /// Processing time of a call that does not continue a watch; such calls are processed one at a time.
    processing_time: Duration,
    /// Number of calls, and number of those that did not continue a watch.
    calls: (u64, u64),
}

struct SharedState {
    view: Mutex<View>,
    changed: Condvar,
    processing_time: Mutex<()>,
    ledger: Option<Arc<Ledger>>,
}

/// A registry that keeps a list and answers calls and watches on it. Each balancer has its own address, so
/// that the ledger knows which balancer was notified.
#[derive(Clone)]
pub struct Registry(Arc<SharedState>);

impl Registry {
    /// Creates a registry with an empty list.
    pub fn new(ledger: Option<Arc<Ledger>>) -> Registry {
        Registry(Arc::new(SharedState {
            view: Mutex::default(),
            changed: Condvar::new(),
            processing_time: Mutex::new(()),
            ledger,
        }))
    }

    fn view(&self) -> MutexGuard<'_, View> {
        self.0.view.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Adds an upstream or replaces its entry.
    pub fn set(&self, name: &str, listed: ListedUpstream) {
        let mut view = self.view();
        view.version += 1;
        let version = view.version;
        view.listed.insert(name.into(), (listed, version));
        self.0.changed.notify_all();
    }

    /// Changes the state of a listed upstream.
    pub fn state(&self, name: &str, state: &'static str) {
        let listed = self.view().listed.get(name).map(|(l, _)| l.clone());
        if let Some(listed) = listed {
            self.set(name, ListedUpstream { state, ..listed });
        }
    }

    /// Leaves every open watch unanswered with its connection open. Later calls are answered as before.
    /// Returns the time of the call.
    pub fn silence_pending(&self) -> Instant {
        self.view().silenced += 1;
        self.0.changed.notify_all();
        Instant::now()
    }

    /// Stops or resumes answering, like an agent while discovery is down. Open watches and calls that arrive
    /// meanwhile are never answered. Returns the time of the call.
    pub fn set_unresponsive(&self, unresponsive: bool) -> Instant {
        self.view().unresponsive = unresponsive;
        self.silence_pending()
    }

    /// Applies this fault to the next answer, whichever balancer gets it.
    pub fn inject_fault(&self, fault: DiscoveryFault) {
        self.view().pending_faults.push_back(fault);
    }

    /// Sets the processing time of calls that do not continue a watch (those later than 200 ms after the last
    /// answer). Such calls are processed one at a time.
    pub fn set_processing_time(&self, processing_time: Duration) {
        self.view().processing_time = processing_time;
    }

    /// Number of calls, and number of those that did not continue a watch.
    pub fn calls(&self) -> (u64, u64) {
        self.view().calls
    }

    /// Opens the address at which this balancer polls.
    ///
    /// # Errors
    /// No port or no thread is available.
    pub fn open_endpoint(&self, balancer: &str) -> std::io::Result<SocketAddr> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let addr = listener.local_addr()?;
        let (registry, balancer) = (self.clone(), balancer.to_string());
        thread::Builder::new().spawn(move || {
            for stream in listener.incoming().flatten() {
                let (registry, balancer) = (registry.clone(), balancer.clone());
                thread::spawn(move || registry.serve(stream, &balancer));
            }
        })?;
        Ok(addr)
    }

    fn serve(&self, stream: TcpStream, balancer: &str) {
        let mut stream = BufReader::new(stream);
        let mut last_answer_at: Option<Instant> = None;
        while let Some(call) = read(&mut stream) {
            let continues_watch = last_answer_at.is_some_and(|at| at.elapsed() <= MAX_WATCH_GAP);
            let (fault, processing_time) = {
                let mut view = self.view();
                view.calls = (view.calls.0 + 1, view.calls.1 + u64::from(!continues_watch));
                let fault = if view.unresponsive {
                    Some(DiscoveryFault::Silent)
                } else {
                    view.pending_faults.pop_front()
                };
                (fault, view.processing_time)
            };
            if !continues_watch && !processing_time.is_zero() {
                let _turn = self.0.processing_time.lock().unwrap_or_else(PoisonError::into_inner);
                // Simulates the processing time; ends early if the client closes the connection.
                hung_up(stream.get_ref(), processing_time);
            }
            let (body, sent) = match fault {
                Some(DiscoveryFault::Silent) => return silent(&mut stream),
                Some(DiscoveryFault::HalfClosed) => {
                    let _ = stream.get_ref().shutdown(Shutdown::Write);
                    return silent(&mut stream);
                }
                Some(DiscoveryFault::Reset) => {
                    let _ = socket2::SockRef::from(stream.get_ref()).set_linger(Some(Duration::ZERO));
                    return;
                }
                Some(DiscoveryFault::Half | DiscoveryFault::Trickle) | None => match self.answer(call.path())
                {
                    Some(answer) => answer,
                    None => return silent(&mut stream),
                },
            };
            let text = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len());
            match fault {
                Some(DiscoveryFault::Half) => {
                    let _ = stream.get_mut().write_all(&text.as_bytes()[..text.len() - body.len() / 2]);
                    return silent(&mut stream);
                }
                Some(DiscoveryFault::Trickle) => {
                    for byte in text.as_bytes() {
                        if stream.get_mut().write_all(&[*byte]).is_err()
                            || hung_up(stream.get_ref(), TRICKLE_INTERVAL)
                        {
                            break;
                        }
                    }
                    return;
                }
                _ => {}
            }
            if stream.get_mut().write_all(text.as_bytes()).is_err() {
                return;
            }
            last_answer_at = Some(Instant::now());
            for (upstream, state) in sent {
                let state = if state == "active" { UpstreamState::Ready } else { UpstreamState::Closed };
                if let Some(ledger) = &self.0.ledger {
                    ledger.write(Entry::Notified { balancer: balancer.into(), upstream, state });
                }
            }
        }
    }

    /// Answers a call and returns the states that the answer contains; `None` if the call was silenced.
    fn answer(&self, path: &str) -> Option<(String, Vec<(String, &'static str)>)> {
        let number = |name: &str| {
            let query = path.split_once('?').map_or("", |(_, query)| query);
            query.split('&').find_map(|p| p.strip_prefix(name)?.strip_prefix('=')?.parse::<u64>().ok())
        };
        let since = number("since");
        let deadline = Instant::now() + Duration::from_millis(number("timeout_ms").unwrap_or(0).min(60_000));
        let mut view = self.view();
        let silenced = view.silenced;
        while since.is_some_and(|since| view.version <= since) {
            let remaining = deadline.saturating_duration_since(Instant::now());
            if remaining.is_zero() {
                break;
            }
            view = self.0.changed.wait_timeout(view, remaining).unwrap_or_else(PoisonError::into_inner).0;
            if view.silenced != silenced {
                return None;
            }
        }
        let selected = view.listed.iter().filter(|(_, (listed, version))| match since {
            Some(since) => *version > since,
            None => listed.state != "left",
        });
        let selected: Vec<_> = selected.map(|(name, (listed, _))| (name.as_str(), listed)).collect();
        let states = selected.iter().map(|&(name, listed)| (name.to_string(), listed.state)).collect();
        Some((list(view.version, since.is_none(), selected.into_iter()), states))
    }
}
