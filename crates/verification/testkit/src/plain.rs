//! Plain callers: each calls one address, never retries, and counts every outcome. In a mixed group, one half
//! opens a connection for each request and writes shortly after connecting, and the other half keeps its
//! connection.
use crate::ledger::{Effect, Entry, Ledger};
use crate::message::{pay, read};
use crate::TEST_TIMEOUT;
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::ops::AddAssign;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

/// Counts of outcomes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Tally {
    /// Requests served.
    pub served: u64,
    /// Requests with another answer.
    pub other: u64,
    /// Connections that could not be made.
    pub connect_failures: u64,
    /// Requests on a new connection that ended before the first byte of an answer.
    pub closed_unanswered: u64,
    /// Requests on a reused connection that ended before the first byte of an answer: the peer closed it
    /// while the caller wrote.
    pub reset_on_reuse: u64,
}

impl Tally {
    /// Outcomes that no caller should have during a take-over.
    pub fn failed(&self) -> u64 {
        self.other + self.connect_failures + self.closed_unanswered + self.reset_on_reuse
    }
}

impl AddAssign for Tally {
    fn add_assign(&mut self, more: Tally) {
        self.served += more.served;
        self.other += more.other;
        self.connect_failures += more.connect_failures;
        self.closed_unanswered += more.closed_unanswered;
        self.reset_on_reuse += more.reset_on_reuse;
    }
}

/// Settings of a plain caller.
#[derive(Clone, Copy, Debug)]
pub struct PlainCaller {
    /// Address that it calls.
    pub addr: SocketAddr,
    /// Name of the balancer in the ledger.
    pub balancer: &'static str,
    /// Whether it keeps its connection.
    pub keeps_connection: bool,
    /// Maximum pause after connecting and before each request on a kept connection. Successive requests wait
    /// from 0 to this time, in even steps.
    pub max_idle_time: Duration,
}

static NEXT_REQUEST: AtomicU64 = AtomicU64::new(0);

impl PlainCaller {
    /// Sends one request after another until `stop` is set. Requests are of class `pay` and tenant `club`,
    /// and must not run twice.
    pub fn call(self, ledger: &Arc<Ledger>, stop: &AtomicBool) -> Tally {
        let (mut tally, mut connection) = (Tally::default(), None::<BufReader<TcpStream>>);
        for step in 0.. {
            if stop.load(Ordering::SeqCst) {
                break;
            }
            let (is_reused, stream) = match connection.take() {
                Some(stream) => (true, Some(stream)),
                None => (false, self.connect()),
            };
            let Some(mut stream) = stream else {
                tally.connect_failures += 1;
                // The caller connects again after its pause, as after any request.
                thread::sleep(self.max_idle_time);
                continue;
            };
            // Such a caller pauses between two requests, or between connecting and its request.
            thread::sleep(self.max_idle_time.mul_f64(f64::from(step % 8) / 7.0));
            match self.request(&mut stream, ledger) {
                None if is_reused => tally.reset_on_reuse += 1,
                None => tally.closed_unanswered += 1,
                Some((status, closes)) => {
                    tally.served += u64::from(status == 200);
                    tally.other += u64::from(status != 200);
                    connection = (self.keeps_connection && !closes).then_some(stream);
                }
            }
        }
        tally
    }

    fn connect(self) -> Option<BufReader<TcpStream>> {
        let stream = TcpStream::connect_timeout(&self.addr, TEST_TIMEOUT).ok()?;
        stream.set_nodelay(true).ok()?;
        stream.set_read_timeout(Some(TEST_TIMEOUT)).ok()?;
        Some(BufReader::new(stream))
    }

    /// Sends a request; returns the status of the answer and whether the connection closes with it, or `None`
    /// if there was no answer.
    fn request(self, stream: &mut BufReader<TcpStream>, ledger: &Arc<Ledger>) -> Option<(u16, bool)> {
        let request =
            format!("plain-{:x}-{:x}", std::process::id(), NEXT_REQUEST.fetch_add(1, Ordering::Relaxed));
        let (effect, timeout, balancer) = (Effect::Unsafe, Duration::from_secs(10), self.balancer.into());
        ledger.write(Entry::Sent { request: request.clone(), balancer, effect, timeout });
        // If the connection was closed, reading the answer fails.
        let _ = stream.get_mut().write_all(pay(&request, "10000m").as_bytes());
        stream.fill_buf().ok().filter(|bytes| !bytes.is_empty())?;
        let answer = read(stream)?;
        let status = answer.status();
        ledger.write(Entry::Answered { request, status });
        Some((status, answer.header("connection").is_some_and(|c| c.eq_ignore_ascii_case("close"))))
    }
}

/// Runs these callers, each in a thread, while `action` runs; returns its result and the sum of their counts.
pub fn call_during<T>(
    callers: &[PlainCaller],
    ledger: &Arc<Ledger>,
    action: impl FnOnce() -> T,
) -> (T, Tally) {
    /// Stops the callers even if `action` panics; nothing else would end them.
    struct Stop<'a>(&'a AtomicBool);
    impl Drop for Stop<'_> {
        fn drop(&mut self) {
            self.0.store(true, Ordering::SeqCst);
        }
    }
    let stop = AtomicBool::new(false);
    thread::scope(|scope| {
        let begin = |&caller: &PlainCaller| {
            let stop = &stop;
            scope.spawn(move || caller.call(ledger, stop))
        };
        let running: Vec<_> = callers.iter().map(begin).collect();
        let result = {
            let _stop = Stop(&stop);
            action()
        };
        let mut total = Tally::default();
        for caller in running {
            total += caller.join().expect("a caller does not panic");
        }
        (result, total)
    })
}
