//! Links between processes, each direction by itself. A process is reached through a relay that knows who connects by the
//! first thing that is said, and does to what goes each way what the rules say at that moment.
use std::collections::HashMap;
use std::io::{ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::Duration;

/// How often a direction that waits for bytes looks whether its rule has changed.
const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// How long a process that is reached may take to accept.
const CONNECT: Duration = Duration::from_secs(5);
/// Longest first thing that is said.
const MAX_FIRST_BYTES: usize = 64 << 10;

/// What becomes of what goes one way.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Rule {
    /// It arrives.
    #[default]
    Pass,
    /// Connections are reset, and new ones too.
    Cut,
    /// Nothing arrives and nobody is told; what was held arrives when the link is whole again, if both are still there.
    Hole,
    /// It arrives late.
    Late(Duration),
    /// So many bytes arrive every 10 ms.
    Trickle(usize),
}

#[derive(Default)]
struct Rules {
    by_way: HashMap<(String, String), Rule>,
}

struct Inside {
    rules: Mutex<Rules>,
    changed: Condvar,
    who: fn(&[u8]) -> Option<(String, usize)>,
}

/// All links of a test.
#[derive(Clone)]
pub struct Net(Arc<Inside>);

impl Net {
    /// All links are whole. `who` reads who connects from the first bytes, and how many bytes that took; `None`: more of
    /// them are needed.
    pub fn new(who: fn(&[u8]) -> Option<(String, usize)>) -> Net {
        Net(Arc::new(Inside { rules: Mutex::default(), changed: Condvar::new(), who }))
    }

    fn rules(&self) -> MutexGuard<'_, Rules> {
        self.0.rules.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// What becomes of what goes from one to the other, from now on.
    pub fn set(&self, from: &str, to: &str, rule: Rule) {
        self.rules().by_way.insert((from.into(), to.into()), rule);
        self.0.changed.notify_all();
    }

    /// The same for both directions.
    pub fn set_both(&self, a: &str, b: &str, rule: Rule) {
        self.set(a, b, rule);
        self.set(b, a, rule);
    }

    /// All links between the two parts, in both directions.
    pub fn split(&self, one: &[&str], other: &[&str], rule: Rule) {
        for a in one {
            for b in other {
                self.set_both(a, b, rule);
            }
        }
    }

    /// All links are whole.
    pub fn heal(&self) {
        self.rules().by_way.clear();
        self.0.changed.notify_all();
    }

    fn rule(&self, from: &str, to: &str) -> Rule {
        self.rules().by_way.get(&(from.into(), to.into())).copied().unwrap_or_default()
    }

    /// An address at which the process `name`, which listens at `to`, is reached through these links.
    pub fn relay(&self, name: &str, to: SocketAddr) -> SocketAddr {
        let listener = TcpListener::bind("127.0.0.1:0").expect("binds");
        let addr = listener.local_addr().expect("an address");
        let (net, name) = (self.clone(), name.to_string());
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (net, name) = (net.clone(), name.clone());
                thread::spawn(move || net.carry(stream, &name, to));
            }
        });
        addr
    }

    fn carry(&self, from: TcpStream, name: &str, to: SocketAddr) {
        let Some((who, first)) = self.introduced(&from) else { return };
        if self.rule(&who, name) == Rule::Cut || self.rule(name, &who) == Rule::Cut {
            return reset(&from);
        }
        let Ok(other) = TcpStream::connect_timeout(&to, CONNECT) else { return reset(&from) };
        let _ = (from.set_nodelay(true), other.set_nodelay(true));
        let (Ok(from_back), Ok(other_back)) = (from.try_clone(), other.try_clone()) else { return };
        let (net, a, b) = (self.clone(), name.to_string(), who.clone());
        let back = thread::spawn(move || net.pump(&other_back, &from_back, &a, &b, Vec::new()));
        self.pump(&from, &other, &who, name, first);
        let _ = back.join();
    }

    /// Who connects, and the bytes that were read to know it.
    fn introduced(&self, from: &TcpStream) -> Option<(String, Vec<u8>)> {
        let mut first = Vec::new();
        let mut byte = [0; 1024];
        from.set_read_timeout(Some(CONNECT)).ok()?;
        loop {
            if let Some((who, _)) = (self.0.who)(&first) {
                return Some((who, first));
            }
            let n = (&*from).read(&mut byte).ok().filter(|&n| n > 0)?;
            first.extend_from_slice(&byte[..n]);
            if first.len() > MAX_FIRST_BYTES {
                return None;
            }
        }
    }

    /// Carries bytes one way until the connection ends.
    fn pump(&self, from: &TcpStream, to: &TcpStream, a: &str, b: &str, mut held: Vec<u8>) {
        let _ = from.set_read_timeout(Some(POLL_INTERVAL));
        let mut bytes = vec![0; 16 << 10];
        loop {
            match self.rule(a, b) {
                Rule::Cut => {
                    reset(from);
                    reset(to);
                    return;
                }
                Rule::Hole if !held.is_empty() => {
                    let rules = self.rules();
                    drop(self.0.changed.wait_timeout(rules, POLL_INTERVAL));
                    if ended(from) && ended(to) {
                        return;
                    }
                    continue;
                }
                Rule::Hole => {}
                Rule::Pass if !held.is_empty() => {
                    if (&*to).write_all(&held).is_err() {
                        reset(from);
                        return;
                    }
                    held.clear();
                }
                Rule::Late(span) if !held.is_empty() => {
                    thread::sleep(span);
                    if (&*to).write_all(&held).is_err() {
                        reset(from);
                        return;
                    }
                    held.clear();
                }
                Rule::Trickle(n) if !held.is_empty() => {
                    let some: Vec<u8> = held.drain(..n.min(held.len())).collect();
                    if (&*to).write_all(&some).is_err() {
                        reset(from);
                        return;
                    }
                    thread::sleep(Duration::from_millis(10));
                    continue;
                }
                _ => {}
            }
            match (&*from).read(&mut bytes) {
                Ok(0) => {
                    let _ = to.shutdown(Shutdown::Write);
                    return;
                }
                Ok(n) => held.extend_from_slice(&bytes[..n]),
                Err(e)
                    if matches!(
                        e.kind(),
                        ErrorKind::WouldBlock | ErrorKind::TimedOut | ErrorKind::Interrupted
                    ) => {}
                Err(_) => {
                    reset(to);
                    return;
                }
            }
        }
    }
}

fn reset(stream: &TcpStream) {
    let _ = socket2::SockRef::from(stream).set_linger(Some(Duration::ZERO));
    let _ = stream.shutdown(Shutdown::Both);
}

/// Whether the other side is known to have gone.
fn ended(stream: &TcpStream) -> bool {
    stream.take_error().ok().flatten().is_some() || stream.peer_addr().is_err()
}
