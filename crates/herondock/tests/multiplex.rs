//! Several FastCGI requests at once on a connection, on both sides of an instance: each has its own fate.
mod common;
use common::*;
use fastcgi::client::Outcome as Ended;
use std::collections::VecDeque;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc::{channel, Receiver, Sender};
use std::time::Duration;
use testkit::fastcgi::{end_record, pairs, record, WebServer};
use testkit::upstream::ObservedRequest;

/// What an application saw, record by record.
#[derive(Debug)]
enum Saw {
    /// A whole request: its connection, its id there, and what it is called.
    Request(usize, u16, String),
    /// It is called off.
    Abort(usize, u16),
    /// A connection ended.
    Closed(usize),
}

/// An application that says how many requests it takes at once, and answers only what the test writes.
struct Application {
    addr: SocketAddr,
    saw: Receiver<Saw>,
    streams: Receiver<TcpStream>,
    open: std::cell::RefCell<Vec<TcpStream>>,
}

fn name(params: &[u8]) -> String {
    let text = String::from_utf8_lossy(params);
    let id = text.split_once("HTTP_REQ_ID").map_or("", |(_, rest)| rest);
    id.chars().take_while(|c| c.is_ascii_alphanumeric() && !c.is_ascii_uppercase()).collect()
}

/// Reads records for ever, and answers only what it is asked of itself.
fn read_on(mut stream: TcpStream, k: usize, says: &[(&str, &str)], tell: &Sender<Saw>) {
    let (mut bytes, mut buffer) = (VecDeque::new(), [0; 4096]);
    let mut params = std::collections::HashMap::<u16, Vec<u8>>::new();
    loop {
        while bytes.len() < 8
            || bytes.len() < 8 + usize::from(bytes[4]) * 256 + usize::from(bytes[5]) + usize::from(bytes[6])
        {
            match stream.read(&mut buffer) {
                Ok(n) if n > 0 => bytes.extend(&buffer[..n]),
                _ => return drop(tell.send(Saw::Closed(k))),
            }
        }
        let head: Vec<u8> = bytes.drain(..8).collect();
        let (id, length) =
            (u16::from_be_bytes([head[2], head[3]]), usize::from(head[4]) * 256 + usize::from(head[5]));
        let body: Vec<u8> = bytes.drain(..length + usize::from(head[6])).take(length).collect();
        match (head[1], length) {
            (9, _) => drop(stream.write_all(&record(10, 0, &pairs(says), 0))),
            (2, _) => drop(tell.send(Saw::Abort(k, id))),
            (4, 1..) => params.entry(id).or_default().extend(body),
            (5, 0) => {
                let name = name(&params.remove(&id).unwrap_or_default());
                drop(tell.send(Saw::Request(k, id, name)));
            }
            _ => {}
        }
    }
}

impl Application {
    fn start(says: &'static [(&'static str, &'static str)]) -> Application {
        let listener = TcpListener::bind("127.0.0.1:0").expect("binds");
        let addr = listener.local_addr().expect("an address");
        let ((tell, saw), (give, streams)) = (channel(), channel());
        std::thread::spawn(move || {
            for (k, stream) in listener.incoming().flatten().enumerate() {
                let tell = tell.clone();
                let _ = give.send(stream.try_clone().expect("a descriptor"));
                std::thread::spawn(move || read_on(stream, k, says, &tell));
            }
        });
        Application { addr, saw, streams, open: std::cell::RefCell::default() }
    }

    /// The next request.
    fn request(&self) -> (usize, u16, String) {
        loop {
            match self.saw.recv_timeout(TEST_TIMEOUT).expect("a request") {
                Saw::Request(k, id, name) => return (k, id, name),
                Saw::Closed(_) => {}
                Saw::Abort(..) => panic!("an abort"),
            }
        }
    }

    /// The next abort.
    fn abort(&self) -> (usize, u16) {
        match self.saw.recv_timeout(TEST_TIMEOUT).expect("an abort") {
            Saw::Abort(k, id) => (k, id),
            other => panic!("{other:?}"),
        }
    }

    /// Waits until this connection has ended.
    fn closed(&self, k: usize) {
        loop {
            match self.saw.recv_timeout(TEST_TIMEOUT).expect("an end") {
                Saw::Closed(n) if n == k => return,
                Saw::Closed(_) => {}
                other => panic!("{other:?}"),
            }
        }
    }

    /// Writes on a connection.
    fn write(&self, k: usize, bytes: &[u8]) {
        let mut open = self.open.borrow_mut();
        while open.len() <= k {
            open.push(self.streams.recv_timeout(TEST_TIMEOUT).expect("a connection"));
        }
        let _ = open[k].write_all(bytes);
    }

    /// Ends a connection.
    fn end(&self, k: usize) {
        self.write(k, b"");
        let _ = self.open.borrow()[k].shutdown(std::net::Shutdown::Both);
    }

    fn answer(&self, (k, id, body): &(usize, u16, String)) {
        self.write(*k, &out(*id, &format!("Status: 200 OK\r\n\r\n{body}")));
        self.write(*k, &[record(6, *id, b"", 0), end_record(*id, 0, 0)].concat());
    }
}

fn out(id: u16, text: &str) -> Vec<u8> {
    record(6, id, text.as_bytes(), 3)
}

const SEVERAL: &[(&str, &str)] = &[("FCGI_MPXS_CONNS", "1"), ("FCGI_MAX_REQS", "4")];

/// An instance before it, that knows how many requests it takes; and the first connection that carries several.
fn before(app: &Application, more: &str) -> (Node, usize) {
    let text = format!("[registry]\nspeaks = \"fastcgi\"\n[fastcgi]\nmultiplex = 8\n[limits]\n{more}\n");
    let operator = program().file(".toml", &text);
    let node = started(
        &["--operator".as_ref(), operator.as_os_str()],
        &upstream_list(1, true, &[(0, app.addr, "active")]),
    );
    // Until the answer has come each has a connection of its own. Two at once on one connection show that it has.
    for k in 0.. {
        let (one, two) = (call(&node, &format!("a{k}")), call(&node, &format!("b{k}")));
        let (a, b) = (app.request(), app.request());
        app.answer(&a);
        app.answer(&b);
        assert!(one.join().expect("no panic").ends_with(&a.2) || a.2.starts_with('b'));
        two.join().expect("no panic");
        if a.0 == b.0 {
            return (node, a.0);
        }
        assert!(k < 1000, "never several on one connection");
    }
    unreachable!()
}

/// A caller in a thread of its own; the answer's text.
fn call(node: &Node, id: &str) -> std::thread::JoinHandle<String> {
    let (mut client, text) = (node.client(), get(id, "15000m"));
    std::thread::spawn(move || {
        let answer = client.call(&text);
        format!("{} {}", answer.status(), String::from_utf8_lossy(&answer.body))
    })
}

fn charge(node: &Node, id: &str) -> std::thread::JoinHandle<String> {
    let (mut client, text) = (node.client(), pay(id, "15000m"));
    std::thread::spawn(move || client.call(&text).status().to_string())
}

/// Guards against an answer that reaches another request, against one that holds up the others, and against a late END or
/// STDOUT that is taken for somebody else's.
#[test]
fn answers_on_one_connection_are_told_apart_and_ids_wait_for_their_end() {
    let app = Application::start(SEVERAL);
    let (node, k) = before(&app, "");
    let (one, two) = (call(&node, "one"), call(&node, "two"));
    let (a, b) = (app.request(), app.request());
    assert!(a.0 == k && b.0 == k && a.1 != b.1, "{a:?} {b:?}");
    // Interleaved, and the second one ends first.
    app.write(k, &[out(a.1, "Status: 200 OK\r\n\r\nha"), out(b.1, "Status: 200 OK\r\n\r\nwh")].concat());
    app.write(k, &[out(b.1, "ole"), record(6, b.1, b"", 0), end_record(b.1, 0, 0)].concat());
    let (first, second) = if a.2 == "one" { (one, two) } else { (two, one) };
    assert_eq!(second.join().expect("no panic"), "200 whole");
    app.write(k, &[out(a.1, "lf"), record(6, a.1, b"", 0), end_record(a.1, 0, 0)].concat());
    assert_eq!(first.join().expect("no panic"), "200 half");
    // A caller that goes away: ABORT, and the others go on. What comes for it late belongs to nobody.
    let (mut gone, kept) = (node.client(), call(&node, "kept"));
    let with = app.request();
    gone.send(&get("gone", "15000m"));
    let lost = app.request();
    assert_eq!((lost.0, &*lost.2), (k, "gone"));
    drop(gone);
    assert_eq!(app.abort(), (k, lost.1));
    let third = call(&node, "third");
    let next = app.request();
    assert!(next.0 == k && next.1 != lost.1, "its id is not free before its END");
    app.write(k, &out(lost.1, "Status: 200 OK\r\n\r\nlate"));
    app.answer(&next);
    assert_eq!(third.join().expect("no panic"), "200 third");
    app.write(k, &end_record(lost.1, 0, 0));
    app.answer(&with);
    assert_eq!(kept.join().expect("no panic"), "200 kept");
    // No more at once than it takes: the fifth has another connection.
    let five: Vec<_> = (0..5).map(|n| call(&node, &format!("n{n}"))).collect();
    let asked: Vec<_> = five.iter().map(|_| app.request()).collect();
    assert_eq!(asked.iter().filter(|a| a.0 == k).count(), 4, "{asked:?}");
    asked.iter().for_each(|a| app.answer(a));
    five.into_iter().for_each(|one| assert!(one.join().expect("no panic").starts_with("200 n")));
}

/// Guards against a dues charge that is sent again because its neighbour's connection broke, and against a neighbour that
/// is failed for a charge's sake though it can be tried again.
#[test]
fn a_connection_that_breaks_fails_charges_and_lets_reads_be_tried_again() {
    let app = Application::start(SEVERAL);
    let (node, k) = before(&app, "");
    let (paid, read) = (charge(&node, "charge"), call(&node, "read"));
    let both = [app.request(), app.request()];
    assert!(both.iter().all(|asked| asked.0 == k));
    let half = both.iter().find(|asked| asked.2 == "charge").expect("it came");
    app.write(k, &out(half.1, "Status: 200 OK\r\n\r\nha"));
    app.end(k);
    assert_eq!(paid.join().expect("no panic"), "502", "it may have run");
    let again = app.request();
    assert!(again.2 == "read" && again.0 != k, "{again:?}");
    app.answer(&again);
    assert_eq!(read.join().expect("no panic"), "200 read");
}

/// Guards against what is written for a request that is over: an END for nobody makes the connection useless for all.
#[test]
fn an_end_for_nobody_ends_the_connection() {
    let app = Application::start(SEVERAL);
    let (node, k) = before(&app, "");
    let paid = charge(&node, "charge");
    let asked = app.request();
    app.write(k, &end_record(asked.1 + 1, 0, 0));
    app.closed(k);
    assert_eq!(paid.join().expect("no panic"), "502");
}

/// Guards against an application that never ends what was called off: its connection takes nothing more, and goes.
#[test]
fn what_is_called_off_and_never_ends_gives_its_connection_up() {
    let app = Application::start(SEVERAL);
    let (node, k) = before(&app, "flush_wait = \"200ms\"");
    let mut gone = node.client();
    gone.send(&get("gone", "15000m"));
    let lost = app.request();
    assert_eq!(lost.0, k);
    drop(gone);
    assert_eq!(app.abort(), (k, lost.1));
    app.closed(k);
    let next = call(&node, "next");
    let asked = app.request();
    assert!(asked.0 != k);
    app.answer(&asked);
    assert_eq!(next.join().expect("no panic"), "200 next");
}

/// An application that refuses a second request after all gets one at a time, and nothing is lost by it.
#[test]
fn one_that_cannot_multiplex_after_all_gets_one_at_a_time() {
    let app = Application::start(SEVERAL);
    let (node, k) = before(&app, "");
    let (one, two) = (charge(&node, "chargea"), charge(&node, "chargeb"));
    let (a, b) = (app.request(), app.request());
    assert!(a.0 == k && b.0 == k);
    app.write(k, &end_record(b.1, 0, 1));
    app.answer(&a);
    // Refused or tried again: it never ran. Here it is tried again, as soon as the module sees room.
    let (first, second) = if a.2 == "chargea" { (one, two) } else { (two, one) };
    assert_eq!(first.join().expect("no panic"), "200");
    if let Ok(Saw::Request(k, id, name)) = app.saw.recv_timeout(Duration::from_millis(500)) {
        app.answer(&(k, id, name));
        assert_eq!(second.join().expect("no panic"), "200");
    } else {
        assert_eq!(second.join().expect("no panic"), "503");
    }
    let (one, two) = (call(&node, "one"), call(&node, "two"));
    let (a, b) = (app.request(), app.request());
    assert_ne!(a.0, b.0, "one at a time");
    app.answer(&a);
    app.answer(&b);
    for one in [one, two] {
        assert!(one.join().expect("no panic").starts_with("200"));
    }
}

/// One that says no, or does not know the question, gets one at a time from the beginning.
#[test]
fn one_that_says_no_gets_one_at_a_time() {
    for says in [&[("FCGI_MPXS_CONNS", "0")][..], &[]] {
        let app = Application::start(says);
        let text = "[registry]\nspeaks = \"fastcgi\"\n[fastcgi]\nmultiplex = 8\n";
        let operator = program().file(".toml", text);
        let known = upstream_list(1, true, &[(0, app.addr, "active")]);
        let node = started(&["--operator".as_ref(), operator.as_os_str()], &known);
        for k in 0..10 {
            let (one, two) = (call(&node, &format!("a{k}")), call(&node, &format!("b{k}")));
            let (a, b) = (app.request(), app.request());
            assert_ne!(a.0, b.0);
            app.answer(&a);
            app.answer(&b);
            assert!([one, two].map(|t| t.join().expect("no panic")).iter().all(|t| t.starts_with("200")));
        }
    }
}

fn params<'a>(id: &'a str, path: &'a str) -> Vec<(&'a str, &'a str)> {
    vec![
        ("REQUEST_METHOD", "GET"),
        ("REQUEST_URI", path),
        ("HTTP_REQ_ID", id),
        ("HTTP_REQ_KIND", "read"),
        ("HTTP_REQ_OWNER", "club"),
        ("HTTP_REQ_DEADLINE", "15000m"),
    ]
}

/// Guards against a web server that reads slowly and is cut off in the middle of an answer; against one that takes nothing
/// and is held for ever; and against aborts that nobody reads while an answer can't be written.
#[test]
fn a_slow_reader_is_waited_for_while_it_takes_something() {
    let large = "x".repeat(8 << 20);
    let upstream = Upstream::start(move |m: &Message| match m.path() {
        "/api/large" => ok(&large),
        "/api/held" => Step::Silent,
        path => ok(path),
    });
    let text = "[fastcgi]\nlisten = [\"127.0.0.1:0\"]\nrequests = 4\n[limits]\nbody = \"16MiB\"\nflush_wait = \"400ms\"\n";
    let operator = program().file(".toml", text);
    let node = started(&["--operator".as_ref(), operator.as_os_str()], &known(&upstream));
    let addr = PAIRINGS[2].addr(&node);
    let ask = |id: u16, path: &str| {
        let all = pairs(&params(&format!("r{id}{}", path.len()), path));
        [
            testkit::fastcgi::begin_record(id, true),
            record(4, id, &all, 0),
            record(4, id, b"", 0),
            record(5, id, b"", 0),
        ]
        .concat()
    };
    // Takes something at least four times within the wait, and all of it in several times that.
    let mut slow = TcpStream::connect(addr).expect("connects");
    slow.set_read_timeout(Some(TEST_TIMEOUT)).expect("a time-out");
    slow.write_all(&[ask(1, "/api/large"), ask(2, "/api/small"), ask(3, "/api/held")].concat())
        .expect("writes");
    let (mut got, mut buffer) = (Vec::new(), vec![0; 512 << 10]);
    let began = std::time::Instant::now();
    let ended = |got: &[u8], id: u8| got.windows(16).any(|w| w[..8] == [1, 3, 0, id, 0, 8, 0, 0]);
    let mut aborted = false;
    while !ended(&got, 1) {
        let n = slow.read(&mut buffer).expect("it goes on");
        assert!(n > 0, "cut off after {} bytes", got.len());
        got.extend_from_slice(&buffer[..n]);
        if !aborted && got.len() > 1 << 20 {
            // In the middle of the large answer: what it calls off is called off at once.
            slow.write_all(&record(2, 3, b"", 0)).expect("writes");
            aborted = true;
            while !matches!(
                upstream.seen.recv_timeout(TEST_TIMEOUT).expect("its connection closes"),
                ObservedRequest::Closed
            ) {}
        }
        std::thread::sleep(Duration::from_millis(30));
    }
    assert!(began.elapsed() > Duration::from_millis(400) && ended(&got, 2) && ended(&got, 3));
    // One that takes nothing is let go, and the instance with it of all that it held.
    let before = node.descriptors();
    let mut silent = TcpStream::connect(addr).expect("connects");
    silent.write_all(&ask(1, "/api/large")).expect("writes");
    upstream.next_request();
    node.wait_for_descriptors(|held| held <= before, "it is kept");
    let mut web = WebServer::connect(addr).expect("connects");
    web.send(&params("next", "/api/next"), b"");
    assert!(matches!(web.next_outcome(), Some((_, Ended::Answered(..)))));
}
