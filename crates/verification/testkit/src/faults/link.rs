//! Links between processes, with a rule for each direction. A process is reached through a relay that
//! identifies the connecting side by its first bytes and applies the current rules to all traffic.
use std::collections::HashMap;
use std::io::{ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::Duration;

/// Interval at which an idle direction checks whether its rule has changed.
const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Maximum time to connect to the target process, and to wait for the first bytes of the connecting side.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(5);
/// Maximum length of a handshake in bytes.
const MAX_FIRST_BYTES: usize = 64 << 10;

/// Treatment of the traffic in one direction.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Rule {
    /// Traffic is delivered.
    #[default]
    Pass,
    /// Open and new connections are reset.
    Cut,
    /// Nothing is delivered, and neither side is notified. Once the rule ends, held traffic is delivered if
    /// both sides are still connected.
    Blackhole,
    /// Each chunk is delivered after this delay.
    Delay(Duration),
    /// This number of bytes is delivered every 10 ms.
    Trickle(usize),
}

#[derive(Default)]
struct Rules {
    by_direction: HashMap<(String, String), Rule>,
}

struct Shared {
    rules: Mutex<Rules>,
    changed: Condvar,
    identify: fn(&[u8]) -> Option<(String, usize)>,
}

/// All links of a test.
#[derive(Clone)]
pub struct Network(Arc<Shared>);

impl Network {
    /// Creates a network in which all links work. `identify` parses the name of the connecting side from the
    /// first bytes, and how many bytes it used; it returns `None` if it needs more bytes.
    pub fn new(identify: fn(&[u8]) -> Option<(String, usize)>) -> Network {
        Network(Arc::new(Shared { rules: Mutex::default(), changed: Condvar::new(), identify }))
    }

    fn rules(&self) -> MutexGuard<'_, Rules> {
        self.0.rules.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Sets the rule for traffic from one process to another.
    pub fn set(&self, from: &str, to: &str, rule: Rule) {
        self.rules().by_direction.insert((from.into(), to.into()), rule);
        self.0.changed.notify_all();
    }

    /// Sets the rule for both directions.
    pub fn set_both_ways(&self, a: &str, b: &str, rule: Rule) {
        self.set(a, b, rule);
        self.set(b, a, rule);
    }

    /// Sets the rule for all links between two groups, in both directions.
    pub fn split(&self, one: &[&str], other: &[&str], rule: Rule) {
        for a in one {
            for b in other {
                self.set_both_ways(a, b, rule);
            }
        }
    }

    /// Restores all links.
    pub fn heal(&self) {
        self.rules().by_direction.clear();
        self.0.changed.notify_all();
    }

    fn rule(&self, from: &str, to: &str) -> Rule {
        self.rules().by_direction.get(&(from.into(), to.into())).copied().unwrap_or_default()
    }

    /// Opens a relay to the process `name`, which listens at `to`, and returns the relay's address.
    pub fn relay(&self, name: &str, to: SocketAddr) -> SocketAddr {
        let listener = TcpListener::bind("127.0.0.1:0").expect("binds");
        let addr = listener.local_addr().expect("an address");
        let (net, name) = (self.clone(), name.to_string());
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (net, name) = (net.clone(), name.clone());
                thread::spawn(move || net.relay_connection(stream, &name, to));
            }
        });
        addr
    }

    fn relay_connection(&self, from: TcpStream, name: &str, to: SocketAddr) {
        let Some((peer, first)) = self.read_handshake(&from) else { return };
        if self.rule(&peer, name) == Rule::Cut || self.rule(name, &peer) == Rule::Cut {
            return reset(&from);
        }
        let Ok(other) = TcpStream::connect_timeout(&to, CONNECT_TIMEOUT) else { return reset(&from) };
        let _ = (from.set_nodelay(true), other.set_nodelay(true));
        let (Ok(from_back), Ok(other_back)) = (from.try_clone(), other.try_clone()) else { return };
        let (net, a, b) = (self.clone(), name.to_string(), peer.clone());
        let back = thread::spawn(move || net.pump(&other_back, &from_back, &a, &b, Vec::new()));
        self.pump(&from, &other, &peer, name, first);
        let _ = back.join();
    }

    /// Reads the handshake; returns the name of the connecting side and all bytes read.
    fn read_handshake(&self, from: &TcpStream) -> Option<(String, Vec<u8>)> {
        let mut first = Vec::new();
        let mut buffer = [0; 1024];
        from.set_read_timeout(Some(CONNECT_TIMEOUT)).ok()?;
        loop {
            if let Some((identify, _)) = (self.0.identify)(&first) {
                return Some((identify, first));
            }
            let n = (&*from).read(&mut buffer).ok().filter(|&n| n > 0)?;
            first.extend_from_slice(&buffer[..n]);
            if first.len() > MAX_FIRST_BYTES {
                return None;
            }
        }
    }

    /// Relays bytes in one direction until the connection ends.
    fn pump(&self, from: &TcpStream, to: &TcpStream, sender: &str, receiver: &str, mut pending: Vec<u8>) {
        let _ = from.set_read_timeout(Some(POLL_INTERVAL));
        let mut bytes = vec![0; 16 << 10];
        loop {
            match self.rule(sender, receiver) {
                Rule::Cut => {
                    reset(from);
                    reset(to);
                    return;
                }
                Rule::Blackhole if !pending.is_empty() => {
                    let rules = self.rules();
                    drop(self.0.changed.wait_timeout(rules, POLL_INTERVAL));
                    if ended(from) && ended(to) {
                        return;
                    }
                    continue;
                }
                Rule::Blackhole => {}
                Rule::Pass if !pending.is_empty() => {
                    if (&*to).write_all(&pending).is_err() {
                        reset(from);
                        return;
                    }
                    pending.clear();
                }
                Rule::Delay(delay) if !pending.is_empty() => {
                    thread::sleep(delay);
                    if (&*to).write_all(&pending).is_err() {
                        reset(from);
                        return;
                    }
                    pending.clear();
                }
                Rule::Trickle(n) if !pending.is_empty() => {
                    let chunk: Vec<u8> = pending.drain(..n.min(pending.len())).collect();
                    if (&*to).write_all(&chunk).is_err() {
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
                Ok(n) => pending.extend_from_slice(&bytes[..n]),
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

/// Whether the connection is known to have ended.
fn ended(stream: &TcpStream) -> bool {
    stream.take_error().ok().flatten().is_some() || stream.peer_addr().is_err()
}
