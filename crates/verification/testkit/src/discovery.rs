//! Discovery in the platform's form: one that answers as it is told, and a registry that keeps a list.
use crate::ledger::{Entry, Ledger, State};
use crate::message::{read, Message};
use crate::PATIENCE;
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
    pub fn called(&self) -> String {
        self.calls.recv_timeout(PATIENCE).expect("a call").path().into()
    }
}

/// One upstream as a registry lists it.
#[derive(Clone, Debug)]
pub struct Listed {
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
const GAP: Duration = Duration::from_millis(200);
/// Between two bytes of an answer that trickles.
const TRICKLE: Duration = Duration::from_millis(100);

/// Waits until the other side hangs up, so long at most; whether it did.
pub(crate) fn hung_up(stream: &TcpStream, most: Duration) -> bool {
    let before = stream.read_timeout().ok().flatten();
    let ended = stream.set_read_timeout(Some(most)).is_ok() && matches!(stream.peek(&mut [0]), Ok(0));
    let _ = stream.set_read_timeout(before);
    ended
}

/// Says nothing more, and reads until the other side has had enough.
fn silent(stream: &mut BufReader<TcpStream>) {
    while read(stream).is_some() {}
}

fn line(name: &str, l: &Listed) -> String {
    format!(
        r#"{{"id":"{name}","addr":"{}","zone":"a","kind":"m","cell":{},"state":"{}","weight":1.0,"started_ms":{}}}"#,
        l.addr, l.group, l.state, l.started_ms
    )
}

/// A list in discovery's form.
pub fn list<'a>(version: u64, full: bool, lines: impl Iterator<Item = (&'a str, &'a Listed)>) -> String {
    let lines: Vec<String> = lines.map(|(name, listed)| line(name, listed)).collect();
    format!(r#"{{"version":{version},"full":{full},"servers":[{}]}}"#, lines.join(","))
}

/// A list of upstreams that started long ago: number `n` has the id `s-n` and is in group 1.
pub fn listing(version: u64, full: bool, servers: &[(usize, SocketAddr, &'static str)]) -> String {
    let listed = |&(n, addr, state)| (format!("s-{n}"), Listed { addr, group: 1, state, started_ms: 0 });
    let all: Vec<(String, Listed)> = servers.iter().map(listed).collect();
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
    listed: BTreeMap<String, (Listed, u64)>,
    /// How often all open watches have fallen silent.
    hushed: u64,
    /// Whether it answers nobody: what is called meanwhile is never answered.
    deaf: bool,
    /// What is wrong with the next answers.
    ills: VecDeque<DiscoveryFault>,
    /// How long a call that does not go on with a watch takes: these are worked through in turn.
    turn: Duration,
    /// Calls that came, and those that did not go on with a watch.
    calls: (u64, u64),
}

struct SharedState {
    view: Mutex<View>,
    changed: Condvar,
    turn: Mutex<()>,
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
            turn: Mutex::new(()),
            ledger,
        }))
    }

    fn view(&self) -> MutexGuard<'_, View> {
        self.0.view.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Lists an upstream, or changes what is listed of it.
    pub fn set(&self, name: &str, listed: Listed) {
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
            self.set(name, Listed { state, ..listed });
        }
    }

    /// Every watch that is open now falls silent: it is never answered, and its connection stays open. Calls that come
    /// from now on are answered as before. Returns when that was.
    pub fn hush(&self) -> Instant {
        self.view().hushed += 1;
        self.0.changed.notify_all();
        Instant::now()
    }

    /// Goes deaf as an agent does while discovery is down, or hears again. What was open or is called meanwhile is never
    /// answered. Returns when that was.
    pub fn deaf(&self, deaf: bool) -> Instant {
        self.view().deaf = deaf;
        self.hush()
    }

    /// The next answer, whoever gets it, is ill.
    pub fn ails(&self, ill: DiscoveryFault) {
        self.view().ills.push_back(ill);
    }

    /// Calls that do not go on with a watch (within 200 ms of the last answer) are worked through in turn, each for so long.
    pub fn takes(&self, turn: Duration) {
        self.view().turn = turn;
    }

    /// Calls that came, and those of them that did not go on with a watch.
    pub fn calls(&self) -> (u64, u64) {
        self.view().calls
    }

    /// Opens the address at which this balancer asks.
    ///
    /// # Errors
    /// No port or no thread could be had.
    pub fn open(&self, balancer: &str) -> std::io::Result<SocketAddr> {
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
        let mut last: Option<Instant> = None;
        while let Some(call) = read(&mut stream) {
            let goes_on = last.is_some_and(|at| at.elapsed() <= GAP);
            let (ill, turn) = {
                let mut view = self.view();
                view.calls = (view.calls.0 + 1, view.calls.1 + u64::from(!goes_on));
                let ill = if view.deaf { Some(DiscoveryFault::Silent) } else { view.ills.pop_front() };
                (ill, view.turn)
            };
            if !goes_on && !turn.is_zero() {
                let _mine = self.0.turn.lock().unwrap_or_else(PoisonError::into_inner);
                // The work itself, unless whoever asked hangs up.
                hung_up(stream.get_ref(), turn);
            }
            let (body, told) = match ill {
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
            match ill {
                Some(DiscoveryFault::Half) => {
                    let _ = stream.get_mut().write_all(&text.as_bytes()[..text.len() - body.len() / 2]);
                    return silent(&mut stream);
                }
                Some(DiscoveryFault::Trickle) => {
                    for byte in text.as_bytes() {
                        if stream.get_mut().write_all(&[*byte]).is_err() || hung_up(stream.get_ref(), TRICKLE)
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
            last = Some(Instant::now());
            for (upstream, state) in told {
                let state = if state == "active" { State::Ready } else { State::Closed };
                if let Some(ledger) = &self.0.ledger {
                    ledger.write(Entry::Told { balancer: balancer.into(), upstream, state });
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
        let until = Instant::now() + Duration::from_millis(number("timeout_ms").unwrap_or(0).min(60_000));
        let mut view = self.view();
        let hushed = view.hushed;
        while since.is_some_and(|since| view.version <= since) {
            let left = until.saturating_duration_since(Instant::now());
            if left.is_zero() {
                break;
            }
            view = self.0.changed.wait_timeout(view, left).unwrap_or_else(PoisonError::into_inner).0;
            if view.hushed != hushed {
                return None;
            }
        }
        let named = view.listed.iter().filter(|(_, (listed, version))| match since {
            Some(since) => *version > since,
            None => listed.state != "left",
        });
        let named: Vec<_> = named.map(|(name, (listed, _))| (name.as_str(), listed)).collect();
        let told = named.iter().map(|&(name, listed)| (name.to_string(), listed.state)).collect();
        Some((list(view.version, since.is_none(), named.into_iter()), told))
    }
}
