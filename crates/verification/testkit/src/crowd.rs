//! Many clients in one thread, which write without waiting for answers: slowly, in part, or as fast as the other side
//! reads.
use crate::message;
use crate::TEST_TIMEOUT;
use std::io::{BufReader, ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread;
use std::time::{Duration, Instant};

/// Time without progress after which a writer counts as blocked.
const BLOCKED_AFTER: Duration = Duration::from_millis(200);

/// Connections of many clients to one address.
pub struct Crowd {
    streams: Vec<TcpStream>,
}

impl Crowd {
    /// Opens `count` connections.
    ///
    /// # Panics
    /// A connection can't be opened.
    pub fn connect(addr: SocketAddr, count: usize) -> Crowd {
        Crowd::try_connect(addr, count).expect("connects")
    }

    /// Opens `count` connections; `None` if one of them can't be opened.
    pub fn try_connect(addr: SocketAddr, count: usize) -> Option<Crowd> {
        let connect = |_| {
            let stream = TcpStream::connect_timeout(&addr, TEST_TIMEOUT).ok()?;
            stream.set_nodelay(true).ok()?;
            stream.set_nonblocking(true).ok()?;
            Some(stream)
        };
        Some(Crowd { streams: (0..count).map(connect).collect::<Option<_>>()? })
    }

    /// Writes the message of each client, by its number, as fast as the other side reads. A client whose connection
    /// ends stops. Returns after [`TEST_TIMEOUT`] at the latest.
    pub fn write_all(&mut self, message: impl Fn(usize) -> Vec<u8>) {
        let messages: Vec<Vec<u8>> = (0..self.streams.len()).map(message).collect();
        let mut written = vec![0; messages.len()];
        let mut open: Vec<usize> = (0..messages.len()).collect();
        let started = Instant::now();
        while !open.is_empty() && started.elapsed() < TEST_TIMEOUT {
            open.retain(|&n| {
                match self.streams[n].write(&messages[n][written[n]..]) {
                    Ok(count) => written[n] += count,
                    Err(error) if error.kind() == ErrorKind::WouldBlock => {}
                    Err(_) => return false,
                }
                written[n] < messages[n].len()
            });
            thread::yield_now();
        }
    }

    /// Every client writes one message after the other, by their numbers from 0, until the other side has read nothing
    /// for a while.
    pub fn write_until_blocked(&mut self, message: impl Fn(usize) -> Vec<u8>) {
        for stream in &mut self.streams {
            if stream.set_nonblocking(false).is_err()
                || stream.set_write_timeout(Some(BLOCKED_AFTER)).is_err()
            {
                continue;
            }
            // A timeout ends the loop in the middle of a message.
            let _ = (0..).try_for_each(|n| stream.write_all(&message(n)));
        }
    }

    /// Every client writes `piece` once in each of `rounds` rounds, which begin `interval` apart.
    pub fn write_slowly(&mut self, piece: &[u8], rounds: usize, interval: Duration) {
        for _ in 0..rounds {
            for stream in &mut self.streams {
                // A connection that the other side has closed takes no part any more.
                let _ = stream.write(piece);
            }
            thread::sleep(interval);
        }
    }

    /// Waits until the other side has closed every connection, discarding what it writes. Returns whether it did within
    /// [`TEST_TIMEOUT`].
    pub fn wait_for_close(&mut self) -> bool {
        let started = Instant::now();
        let mut buffer = vec![0; 64 << 10];
        while !self.streams.is_empty() && started.elapsed() < TEST_TIMEOUT {
            self.streams.retain_mut(|stream| match stream.read(&mut buffer) {
                Ok(0) => false,
                Ok(_) => true,
                Err(error) => error.kind() == ErrorKind::WouldBlock,
            });
            thread::yield_now();
        }
        self.streams.is_empty()
    }
}

/// Writes pipelined requests on one connection without waiting for answers, block by block until `next_block` returns
/// `None`, and returns the number of answers. Ends when each request has its answer or the connection is closed.
/// Returns 0 if the connection can't be opened.
pub fn pipeline(addr: SocketAddr, next_block: impl FnMut() -> Option<String> + Send) -> usize {
    let connect = || {
        let stream = TcpStream::connect_timeout(&addr, TEST_TIMEOUT).ok()?;
        stream.set_read_timeout(Some(TEST_TIMEOUT)).ok()?;
        let answers = BufReader::new(stream.try_clone().ok()?);
        Some((stream, answers))
    };
    connect().map_or(0, |(stream, answers)| pipeline_on(&stream, answers, next_block))
}

fn pipeline_on(
    stream: &TcpStream,
    mut answers: BufReader<TcpStream>,
    mut next_block: impl FnMut() -> Option<String> + Send,
) -> usize {
    let (requests, complete) = (AtomicUsize::new(0), AtomicUsize::new(usize::MAX));
    thread::scope(|scope| {
        scope.spawn(|| {
            while let Some(block) = next_block() {
                requests.fetch_add(block.matches(" HTTP/1.1\r\n").count(), Ordering::SeqCst);
                if (&*stream).write_all(block.as_bytes()).is_err() {
                    break;
                }
            }
            complete.store(requests.load(Ordering::SeqCst), Ordering::SeqCst);
        });
        let mut count = 0;
        while count < complete.load(Ordering::SeqCst) && message::read(&mut answers).is_some() {
            count += 1;
        }
        // Ends a writer that waits for the other side to read.
        let _ = stream.shutdown(std::net::Shutdown::Both);
        count
    })
}
