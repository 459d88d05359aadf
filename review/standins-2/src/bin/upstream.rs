//! An upstream: HTTP/1.1, one request at a time on a connection, any number of connections. It begins a request when its
//! last byte has come (`begins ID KEY TOLD_MS`), and answers 200 after its work.
//!
//! Arguments: name, address, work in milliseconds, options:
//! `no-length=N`: every Nth answer has no length and ends with its connection.
//! `copy=N`: behind every Nth answer a second copy of it comes 2 to 8 ms late, unless a request waits on the connection
//! by then. Like other spoilt answers it leaves the connection open, and of no further use.
//! `link=US`: the network between it and its clients takes this many microseconds each way.
//!
//! It closes a connection that has been idle for 5 s, and ends when its standard input ends.
use standins_2::{header, read_body, read_head};
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

const IDLE: Duration = Duration::from_secs(5);

struct Options {
    work: Duration,
    no_length: Option<u64>,
    copy: Option<u64>,
    answers: AtomicU64,
}

fn say(line: &str) {
    let mut out = std::io::stdout().lock();
    let _ = writeln!(out, "{line}").and_then(|()| out.flush());
}

/// Duration of a deadline header, in milliseconds.
fn told_ms(text: &str) -> f64 {
    match (text.strip_suffix('m'), text.strip_suffix('u')) {
        (Some(ms), _) => ms.parse().unwrap_or(f64::NAN),
        (_, Some(us)) => us.parse::<f64>().map_or(f64::NAN, |us| us / 1000.0),
        _ => f64::NAN,
    }
}

fn serve(stream: TcpStream, options: &Options) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    let mut writer = stream.try_clone()?;
    let mut reader = BufReader::new(stream);
    loop {
        writer.set_read_timeout(Some(IDLE))?;
        if reader.fill_buf()?.is_empty() {
            return Ok(());
        }
        let head = read_head(&mut reader)?;
        let body = read_body(&mut reader, &head)?.unwrap_or_default();
        let Some(id) = header(&head, "req-id") else {
            writer.write_all(b"HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n")?;
            continue;
        };
        let key = header(&head, "idempotency-key").filter(|key| !key.is_empty()).unwrap_or("-");
        let told = header(&head, "req-deadline").map_or(f64::NAN, told_ms);
        say(&format!("begins {id} {key} {told:.1}"));
        thread::sleep(options.work);
        let number = options.answers.fetch_add(1, Ordering::SeqCst) + 1;
        let text = format!("done {id} {}", body.len());
        if options.no_length.is_some_and(|every| number % every == 0) {
            say(&format!("answers {id} 200 with no length, whole, and closes"));
            writer.write_all(format!("HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n{text}").as_bytes())?;
            return writer.shutdown(std::net::Shutdown::Write);
        }
        say(&format!("answers {id} 200"));
        let answer = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{text}", text.len());
        writer.write_all(answer.as_bytes())?;
        if options.copy.is_some_and(|every| number % every == 0) && reader.buffer().is_empty() {
            let late_by = Duration::from_millis(2 + number / options.copy.unwrap_or(1) % 7);
            writer.set_read_timeout(Some(late_by))?;
            // Returns at once when a byte comes, and with an error when none has come in this time.
            if writer.peek(&mut [0]).is_err() {
                writer.write_all(answer.as_bytes())?;
                say(&format!(
                    "sends a second copy for {id} {} ms late, while nothing waits",
                    late_by.as_millis()
                ));
            }
        }
    }
}

/// Passes bytes on after a delay, until the stream ends.
fn pass_on(mut from: TcpStream, mut to: TcpStream, delay: Duration) {
    let mut buffer = [0; 16 << 10];
    while let Ok(count @ 1..) = from.read(&mut buffer) {
        thread::sleep(delay);
        if to.write_all(&buffer[..count]).is_err() {
            break;
        }
    }
    let _ = (to.shutdown(std::net::Shutdown::Write), from.shutdown(std::net::Shutdown::Read));
}

/// Accepts connections, and leads each to the server with a delay.
fn link(listener: TcpListener, server: std::net::SocketAddr, delay: Duration) {
    for near in listener.incoming().flatten() {
        let Ok(far) = TcpStream::connect(server) else { continue };
        let _ = (near.set_nodelay(true), far.set_nodelay(true));
        let (Ok(near_copy), Ok(far_copy)) = (near.try_clone(), far.try_clone()) else { continue };
        thread::spawn(move || pass_on(near, far, delay));
        thread::spawn(move || pass_on(far_copy, near_copy, delay));
    }
}

fn main() {
    let args: Vec<String> = std::env::args().collect();
    let mut listener = match TcpListener::bind(&args[2]) {
        Ok(listener) => listener,
        Err(error) => return say(&format!("{error}")),
    };
    let option = |name: &str| -> Option<u64> {
        args.iter().skip(4).find_map(|arg| arg.strip_prefix(name)?.parse().ok())
    };
    let work = Duration::from_millis(args[3].parse().expect("a number of milliseconds"));
    let options = Arc::new(Options {
        work,
        no_length: option("no-length="),
        copy: option("copy="),
        answers: AtomicU64::new(0),
    });
    if let Some(micros) = option("link=") {
        let inner = TcpListener::bind("127.0.0.1:0").expect("a port");
        let server = inner.local_addr().expect("an address");
        let front = std::mem::replace(&mut listener, inner);
        thread::spawn(move || link(front, server, Duration::from_micros(micros)));
    }
    say("listening");
    thread::spawn(|| {
        let _ = std::io::stdin().read_to_end(&mut Vec::new());
        std::process::exit(0);
    });
    for stream in listener.incoming().flatten() {
        let options = options.clone();
        thread::spawn(move || serve(stream, &options));
    }
}
