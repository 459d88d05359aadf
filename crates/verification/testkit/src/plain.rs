//! Plain callers, who hide nothing: each calls one address, does not try again, and counts what it met. Half of their
//! kind connect anew for each request and write a little after that; half keep their connection.
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

/// What they met.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Tally {
    /// Requests served.
    pub served: u64,
    /// Requests with another answer.
    pub other: u64,
    /// Connections that could not be made.
    pub connect_failures: u64,
    /// Requests on a new connection that ended without a byte of answer.
    pub closed_unanswered: u64,
    /// Requests on a kept connection that ended so: its close crossed what the caller wrote.
    pub reset_on_reuse: u64,
}

impl Tally {
    /// Everything that no caller should meet in a take-over.
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

/// How one of them calls.
#[derive(Clone, Copy, Debug)]
pub struct PlainCaller {
    /// Whom.
    pub addr: SocketAddr,
    /// Its name in the ledger.
    pub balancer: &'static str,
    /// Whether it keeps its connection.
    pub keeps_connection: bool,
    /// How long it rests after connecting and before each request on a kept connection: 0 to so long, in even steps.
    pub max_idle_time: Duration,
}

static NEXT_REQUEST: AtomicU64 = AtomicU64::new(0);

impl PlainCaller {
    /// Calls, one request after another, until told to stop. Requests are of class `pay` and tenant `club`, which must
    /// not run twice.
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
                // It comes back after its rest, like after any request.
                thread::sleep(self.max_idle_time);
                continue;
            };
            // What such a caller does: between two requests, or between connecting and asking, time passes.
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

    /// Status of the answer, and whether its connection closes with it; `None`: there was none.
    fn request(self, stream: &mut BufReader<TcpStream>, ledger: &Arc<Ledger>) -> Option<(u16, bool)> {
        let request =
            format!("plain-{:x}-{:x}", std::process::id(), NEXT_REQUEST.fetch_add(1, Ordering::Relaxed));
        let (effect, timeout, balancer) = (Effect::Unsafe, Duration::from_secs(10), self.balancer.into());
        ledger.write(Entry::Sent { request: request.clone(), balancer, effect, timeout });
        // A connection that was closed shows in the answer.
        let _ = stream.get_mut().write_all(pay(&request, "10000m").as_bytes());
        stream.fill_buf().ok().filter(|bytes| !bytes.is_empty())?;
        let answer = read(stream)?;
        let status = answer.status();
        ledger.write(Entry::Answered { request, status });
        Some((status, answer.header("connection").is_some_and(|c| c.eq_ignore_ascii_case("close"))))
    }
}

/// Has these call, each in a thread, while `act` goes on; what they met, summed up.
pub fn call_during<T>(
    callers: &[PlainCaller],
    ledger: &Arc<Ledger>,
    action: impl FnOnce() -> T,
) -> (T, Tally) {
    /// Ends the callers, also when what was done meanwhile has failed: nothing would end them otherwise.
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
