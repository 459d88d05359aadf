//! Discovery in the platform's form: one that answers as it is told, and a registry that keeps a list.
use crate::ledger::{Entry, Ledger, State};
use crate::message::{read, Message};
use crate::TEST_TIMEOUT;
use std::collections::{BTreeMap, VecDeque};
use std::io::{BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc::{channel, Receiver, Sender};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

/// Discovery that gives one prepared answer for each call, in order, and is silent without one.
pub struct Discovery {
    /// Where it listens.
    pub addr: SocketAddr,
    /// The calls, as they come.
    pub calls: Receiver<Message>,
    answers: Sender<String>,
}

impl Discovery {
    /// Discovery on a port of its own.
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

    /// The same with further headers, each with its line end.
    pub fn answer_with(&self, headers: &str, body: &str) {
        let text = format!("HTTP/1.1 200 OK\r\n{headers}Content-Length: {}\r\n\r\n{body}", body.len());
        self.answers.send(text).expect("discovery runs");
    }

    /// Prepares a call that fails.
    pub fn fail(&self) {
        let text = "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n";
        self.answers.send(text.into()).expect("discovery runs");
    }

    /// The next call's path.
    pub fn next_path(&self) -> String {
        self.calls.recv_timeout(TEST_TIMEOUT).expect("a call").path().into()
    }
}

/// One upstream as a registry lists it.
#[derive(Clone, Debug)]
pub struct ListedUpstream {
    /// Where it listens.
    pub addr: SocketAddr,
    /// Its group.
    pub group: u32,
    /// `active`, `leaving` or `left`.
    pub state: &'static str,
    /// When it started, in Unix milliseconds; 0 for long ago.
    pub started_ms: u64,
}

/// A watch goes on as long as its next call comes within this time of the last answer.
const MAX_WATCH_GAP: Duration = Duration::from_millis(200);
/// Between two bytes of an answer that trickles.
const TRICKLE_INTERVAL: Duration = Duration::from_millis(100);

/// Waits until the other side hangs up, so long at most; whether it did.
pub(crate) fn hung_up(stream: &TcpStream, max_wait: Duration) -> bool {
    let before = stream.read_timeout().ok().flatten();
    let ended = stream.set_read_timeout(Some(max_wait)).is_ok() && matches!(stream.peek(&mut [0]), Ok(0));
    let _ = stream.set_read_timeout(before);
    ended
}

/// Says nothing more, and reads until the other side has had enough.
fn silent(stream: &mut BufReader<TcpStream>) {
    while read(stream).is_some() {}
}

fn upstream_json(name: &str, listed: &ListedUpstream) -> String {
    format!(
        r#"{{"id":"{name}","addr":"{}","zone":"a","kind":"m","cell":{},"state":"{}","weight":1.0,"started_ms":{}}}"#,
        listed.addr, listed.group, listed.state, listed.started_ms
    )
}

/// A list in discovery's form.
pub fn list<'a>(
    version: u64,
    full: bool,
    lines: impl Iterator<Item = (&'a str, &'a ListedUpstream)>,
) -> String {
    let lines: Vec<String> = lines.map(|(name, listed)| upstream_json(name, listed)).collect();
    format!(r#"{{"version":{version},"full":{full},"servers":[{}]}}"#, lines.join(","))
}

/// A list of upstreams that started long ago: number `n` has the id `s-n` and is in group 1.
pub fn upstream_list(version: u64, full: bool, servers: &[(usize, SocketAddr, &'static str)]) -> String {
    let listed =
        |&(n, addr, state)| (format!("s-{n}"), ListedUpstream { addr, group: 1, state, started_ms: 0 });
    let all: Vec<(String, ListedUpstream)> = servers.iter().map(listed).collect();
    list(version, full, all.iter().map(|(name, listed)| (name.as_str(), listed)))
}

/// What can be wrong with an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DiscoveryFault {
    /// It never comes; the connection stays open.
    Silent,
    /// Half of it comes, and then nothing.
    Half,
    /// It comes a byte at a time, at a pace at which it is never whole.
    Trickle,
    /// Its side of the connection is closed in its place.
    HalfClosed,
    /// The connection is reset in its place.
    Reset,
}

#[derive(Default)]
struct View {
    version: u64,
    /// Each upstream, and the version that it last changed with.
    listed: BTreeMap<String, (ListedUpstream, u64)>,
    /// How often all open watches have fallen silent.
    silenced: u64,
    /// Whether it answers nobody: what is called meanwhile is never answered.
    unresponsive: bool,
    /// What is wrong with the next answers.
    pending_faults: VecDeque<DiscoveryFault>,
    /// How long a call that does not go on with a watch takes: these are worked through in turn.
    processing_time: Duration,
    /// Calls that came, and those that did not go on with a watch.
    calls: (u64, u64),
}

struct SharedState {
    view: Mutex<View>,
    changed: Condvar,
    processing_time: Mutex<()>,
    ledger: Option<Arc<Ledger>>,
}

/// A registry that keeps a list and answers calls and watches on it, at an address of its own for each balancer, so
/// that the ledger knows who was told of what.
#[derive(Clone)]
pub struct Registry(Arc<SharedState>);

impl Registry {
    /// An empty list.
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

    /// Lists an upstream, or changes what is listed of it.
    pub fn set(&self, name: &str, listed: ListedUpstream) {
        let mut view = self.view();
        view.version += 1;
        let version = view.version;
        view.listed.insert(name.into(), (listed, version));
        self.0.changed.notify_all();
    }

    /// Changes the state of an upstream that is listed.
    pub fn state(&self, name: &str, state: &'static str) {
        let listed = self.view().listed.get(name).map(|(l, _)| l.clone());
        if let Some(listed) = listed {
            self.set(name, ListedUpstream { state, ..listed });
        }
    }

    /// Every watch that is open now falls silent: it is never answered, and its connection stays open. Calls that come
    /// from now on are answered as before. Returns when that was.
    pub fn silence_pending(&self) -> Instant {
        self.view().silenced += 1;
        self.0.changed.notify_all();
        Instant::now()
    }

    /// Goes deaf as an agent does while discovery is down, or hears again. What was open or is called meanwhile is never
    /// answered. Returns when that was.
    pub fn set_unresponsive(&self, unresponsive: bool) -> Instant {
        self.view().unresponsive = unresponsive;
        self.silence_pending()
    }

    /// The next answer, whoever gets it, is ill.
    pub fn inject_fault(&self, fault: DiscoveryFault) {
        self.view().pending_faults.push_back(fault);
    }

    /// Calls that do not go on with a watch (within 200 ms of the last answer) are worked through in turn, each for so long.
    pub fn set_processing_time(&self, processing_time: Duration) {
        self.view().processing_time = processing_time;
    }

    /// Calls that came, and those of them that did not go on with a watch.
    pub fn calls(&self) -> (u64, u64) {
        self.view().calls
    }

    /// Opens the address at which this balancer asks.
    ///
    /// # Errors
    /// No port or no thread could be had.
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
                // The work itself, unless whoever asked hangs up.
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
                let state = if state == "active" { State::Ready } else { State::Closed };
                if let Some(ledger) = &self.0.ledger {
                    ledger.write(Entry::Notified { balancer: balancer.into(), upstream, state });
                }
            }
        }
    }

    /// The answer to a call, and what it tells; none if it fell silent.
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
