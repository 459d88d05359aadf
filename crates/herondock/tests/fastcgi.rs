//! FastCGI at both ends of an instance, record by record: what may have run, what is called off, and what is malformed.
mod common;
use common::*;
use fastcgi::client::Outcome;
use fastcgi::record::Protocol;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use testkit::fastcgi::{begin_record, end_record, pairs, record, WebServer};

/// An instance with a FastCGI front, before upstreams that speak this.
fn front(speaks: &str, upstreams: &[SocketAddr], more: &str) -> (Node, SocketAddr) {
    let text = format!("[registry]\nspeaks = \"{speaks}\"\n[fastcgi]\nlisten = [\"127.0.0.1:0\"]\n{more}\n");
    let operator = program().file(".toml", &text);
    let servers: Vec<_> = upstreams.iter().enumerate().map(|(n, &a)| (n, a, "active")).collect();
    let node = started(&["--operator".as_ref(), operator.as_os_str()], &upstream_list(1, true, &servers));
    let addr = PAIRINGS[2].addr(&node);
    (node, addr)
}

fn params<'a>(id: &'a str, kind: &'a str, method: &'a str) -> Vec<(&'a str, &'a str)> {
    vec![
        ("REQUEST_METHOD", method),
        ("REQUEST_URI", "/api/x?y=1"),
        ("HTTP_REQ_ID", id),
        ("HTTP_REQ_KIND", kind),
        ("HTTP_REQ_OWNER", "club"),
        ("HTTP_REQ_DEADLINE", "15000m"),
    ]
}

/// The status of the next answer, and its body.
fn status(web: &mut WebServer) -> (u16, String) {
    match web.next_outcome() {
        Some((_, Outcome::Answered(head, body))) => {
            (head.status, String::from_utf8_lossy(&body).into_owned())
        }
        other => panic!("{other:?}"),
    }
}

/// An application at the level of records: reads whole requests, and writes what it is told to each. Its listener is its
/// own, so that it says how often it was asked.
struct Application {
    addr: SocketAddr,
    asked: std::sync::mpsc::Receiver<Vec<u8>>,
}

/// Whether a request's last record, the end of STDIN, is there.
fn whole(bytes: &[u8]) -> bool {
    let mut rest = bytes;
    while rest.len() >= 8 {
        let length = usize::from(u16::from_be_bytes([rest[4], rest[5]]));
        let size = 8 + length + usize::from(rest[6]);
        if rest.len() < size {
            return false;
        }
        if rest[1] == 5 && length == 0 {
            return true;
        }
        rest = &rest[size..];
    }
    false
}

impl Application {
    /// `None` closes the connection without a word.
    fn start(answers: Vec<Option<Vec<u8>>>, closes: bool) -> Application {
        let listener = TcpListener::bind("127.0.0.1:0").expect("binds");
        let addr = listener.local_addr().expect("an address");
        let (tell, asked) = std::sync::mpsc::channel();
        std::thread::spawn(move || {
            let mut answers = answers.into_iter().cycle();
            for mut stream in listener.incoming().flatten() {
                loop {
                    let (mut bytes, mut buffer) = (Vec::new(), [0; 4096]);
                    while !whole(&bytes) {
                        match stream.read(&mut buffer) {
                            Ok(n) if n > 0 => bytes.extend_from_slice(&buffer[..n]),
                            _ => break,
                        }
                    }
                    if !whole(&bytes) {
                        break;
                    }
                    let _ = tell.send(bytes);
                    let Some(Some(answer)) = answers.next() else { break };
                    let _ = stream.write_all(&answer);
                    if closes {
                        break;
                    }
                }
            }
        });
        Application { addr, asked }
    }

    fn asked(&self) -> usize {
        self.asked.try_iter().count()
    }
}

/// Guards against a dues charge that is sent again though it may have run, row by row of the transport's table.
#[test]
fn only_what_proves_that_nothing_ran_is_tried_again() {
    let out = |body: &[u8]| record(6, 1, body, 3);
    let good = [out(b"Status: 200 OK\r\n\r\nserved"), record(6, 1, b"", 0), end_record(1, 0, 0)].concat();
    let declined = [out(b"Status: 503 Busy\r\nSrv-Declined: 1\r\n\r\n"), end_record(1, 0, 0)].concat();
    // What a first application does with a charge, whether the connection then closes, and whether it may have run.
    for (what, answer, closes, ran) in [
        ("END with OVERLOADED", Some(end_record(1, 0, 2)), false, false),
        ("END with CANT_MPX_CONN", Some(end_record(1, 0, 1)), false, false),
        ("END with UNKNOWN_ROLE", Some(end_record(1, 0, 3)), false, false),
        ("declined", Some(declined), false, false),
        ("OVERLOADED behind output", Some([out(b"x"), end_record(1, 0, 2)].concat()), false, true),
        ("END without output", Some(end_record(1, 0, 0)), false, true),
        ("END with a status of its own", Some(end_record(1, 7, 0)), false, true),
        ("STDERR only", Some([record(7, 1, b"oops", 4), end_record(1, 0, 0)].concat()), false, true),
        ("closed without a word", None, true, true),
        ("cut off in the middle", Some(out(b"Status: 200 OK\r\nContent-Length: 9\r\n\r\nhalf")), true, true),
        ("cut off in a record", Some(good[..20].to_vec()), true, true),
        ("a head that is none", Some([out(b"served"), end_record(1, 0, 0)].concat()), false, true),
        (
            "another id",
            Some([record(6, 9, b"Status: 200\r\n\r\n", 0), end_record(9, 0, 0)].concat()),
            false,
            true,
        ),
        ("another version", Some(b"HTTP/1.1 200 OK\r\n\r\n".to_vec()), false, true),
        (
            "a lying length",
            Some([out(b"Status: 200 OK\r\nContent-Length: 99\r\n\r\nx"), end_record(1, 0, 0)].concat()),
            false,
            true,
        ),
    ] {
        let app = Application::start(vec![answer], closes);
        let (node, addr) = front("fastcgi", &[app.addr], "");
        let mut web = WebServer::connect(addr).expect("connects");
        web.send(&[&params("charge", "pay", "POST")[..], &[("CONTENT_LENGTH", "4")]].concat(), b"body");
        let (status, _) = status(&mut web);
        let sent = app.asked();
        if ran {
            assert_eq!(
                (status, sent),
                (502, 1),
                "{what}: it may have run, so it is failed and never sent again"
            );
        } else {
            assert!(status == 503 && sent >= 1, "{what}: {status}, sent {sent} times");
        }
        // The answer is whole, so that the web server can tell, and its connection goes on.
        web.send(&params("bad", "none", "GET"), b"");
        assert_eq!(web.next_outcome().map(|(id, _)| id), Some(1), "{what}");
        drop(node);
    }
    let app = Application::start(vec![Some(good)], false);
    let (_node, addr) = front("fastcgi", &[app.addr], "");
    let mut web = WebServer::connect(addr).expect("connects");
    for k in 0..5 {
        web.send(
            &[&params(&format!("c{k}"), "pay", "POST")[..], &[("CONTENT_LENGTH", "4")]].concat(),
            b"body",
        );
        assert_eq!(status(&mut web), (200, "served".into()));
    }
    // An address that refuses is no attempt.
    let (_node, addr) = front("fastcgi", &[refusing()], "");
    let mut web = WebServer::connect(addr).expect("connects");
    web.send(&params("c", "read", "GET"), b"");
    assert_eq!(status(&mut web).0, 503);
}

/// Guards against work for a caller that has gone, and against its answer reaching another request.
#[test]
fn an_abort_calls_off_what_is_out_and_the_connection_goes_on() {
    let upstream = Upstream::start(|m: &Message| match m.header("req-id") {
        Some("held") => Step::Silent,
        Some(id) => ok(id),
        None => common::status("400 None"),
    });
    let (_node, addr) = front("http", &[upstream.addr], "requests = 4");
    let mut web = WebServer::connect(addr).expect("connects");
    let held = web.send(&params("held", "read", "GET"), b"");
    upstream.next_request();
    // Another on the same connection is not held up by it.
    let quick = web.send(&params("quick", "read", "GET"), b"");
    assert!(matches!(web.next_outcome(), Some((id, Outcome::Answered(..))) if id == quick));
    upstream.next_request();
    web.abort(held);
    // Called off: its connection is closed, and its END is the only thing that comes for it.
    upstream.wait_for_close();
    web.send(&params("next", "read", "GET"), b"");
    assert_eq!(status(&mut web), (200, "next".into()));
    upstream.next_request();
    // A connection that ends calls off all that it had out.
    web.send(&params("held", "read", "GET"), b"");
    upstream.next_request();
    drop(web);
    upstream.wait_for_close();
}

#[test]
fn what_is_malformed_is_answered_or_ends_its_connection_and_hurts_nobody_else() {
    let upstream = Upstream::start(|m: &Message| ok(m.path()));
    let (node, addr) = front("http", &[upstream.addr], "");
    let mut good = WebServer::connect(addr).expect("connects");
    let with = |name: &'static str, value: &'static str| {
        let mut all = params("r", "read", "GET");
        all.retain(|(n, _)| *n != name);
        all.push((name, value));
        all
    };
    let long: &'static str = Box::leak("x".repeat(20_000).into_boxed_str());
    for (params, body, wanted) in [
        (with("HTTP_REQ_KIND", "odd"), "", 400),
        (with("HTTP_REQ_OWNER", "odd"), "", 400),
        (with("HTTP_REQ_DEADLINE", "soon"), "", 400),
        (with("REQUEST_METHOD", "POST"), "", 400),
        (with("REQUEST_URI", "no path"), "", 400),
        (with("CONTENT_LENGTH", "7"), "", 400),
        (with("HTTP_X", long), "", 431),
        (vec![], "", 400),
        ([&params("r", "read", "GET")[..], &[("HTTP_REQ_ID", "two")]].concat(), "", 400),
        (params("r", "read", "GET"), "a body", 400),
    ] {
        let mut web = WebServer::connect(addr).expect("connects");
        web.send(&params, body.as_bytes());
        let (status, why) = status(&mut web);
        assert!(status == wanted && !why.is_empty(), "{params:?}: {status} {why}");
    }
    let mut web = WebServer::connect(addr).expect("connects");
    web.send(&params("large", "pay", "POST"), &vec![b'x'; 70_000]);
    assert_eq!(status(&mut web).0, 413);
    // Another role is refused by the protocol's own word.
    let mut raw = TcpStream::connect(addr).expect("connects");
    raw.set_read_timeout(Some(TEST_TIMEOUT)).expect("a time-out");
    raw.write_all(&record(1, 1, &[0, 2, 1, 0, 0, 0, 0, 0], 0)).expect("writes");
    let mut got = [0; 16];
    raw.read_exact(&mut got).expect("an END");
    assert_eq!((got[1], got[12]), (3, Protocol::UnknownRole.byte()));
    // And what makes the bytes behind it uncertain ends the connection.
    for bytes in [
        b"GET / HTTP/1.1\r\n\r\n".to_vec(),
        record(6, 1, b"x", 0),
        record(1, 1, b"short", 0),
        [begin_record(1, true), begin_record(1, true)].concat(),
        [begin_record(1, true), record(4, 0, &pairs(&[("A", "b")]), 0)].concat(),
    ] {
        let mut raw = TcpStream::connect(addr).expect("connects");
        raw.set_read_timeout(Some(TEST_TIMEOUT)).expect("a time-out");
        raw.write_all(&bytes).expect("writes");
        assert!(matches!(raw.read(&mut [0; 64]), Ok(0) | Err(_)), "{bytes:?}");
    }
    good.send(&params("good", "read", "GET"), b"");
    assert_eq!(status(&mut good), (200, "/api/x?y=1".into()));
    node.wait_for_log("fastcgi: byte 16: request 1 begins again while it is open");
}

/// Guards against connections by the hundred that send half a record and hold what others need.
#[test]
fn half_records_by_the_hundred_are_let_go_and_others_are_served() {
    let upstream = Upstream::start(|_: &Message| ok("x"));
    let (node, addr) = front("http", &[upstream.addr], "[limits]\nrequest_wait = \"300ms\"");
    let before = node.descriptors();
    let half = &[begin_record(1, true), record(4, 1, &[0; 100], 0)].concat()[..40];
    let all: Vec<TcpStream> = (0..300)
        .map(|_| {
            let mut stream = TcpStream::connect(addr).expect("connects");
            stream.write_all(half).expect("writes");
            stream
        })
        .collect();
    let mut web = WebServer::connect(addr).expect("connects");
    web.send(&params("served", "read", "GET"), b"");
    assert_eq!(status(&mut web).0, 200);
    node.wait_for_descriptors(|held| held < before + 20, "they are kept");
    drop(all);
}

/// Told to end, it answers what it has and then closes, as the other front does.
#[test]
fn told_to_end_it_answers_what_it_has() {
    let (word, hold) = std::sync::mpsc::channel();
    let hold = std::sync::Mutex::new(Some(hold));
    let upstream = Upstream::start(move |m: &Message| match hold.lock().expect("no panic").take() {
        Some(word) => Step::Hold(word, testkit::message::ok_response("held")),
        None => ok(m.path()),
    });
    let (mut node, addr) = front("http", &[upstream.addr], "");
    let mut web = WebServer::connect(addr).expect("connects");
    web.send(&params("held", "read", "GET"), b"");
    upstream.next_request();
    node.terminate();
    node.wait_for_log("received a stop signal");
    word.send(()).expect("it waits");
    assert_eq!(status(&mut web), (200, "held".into()));
    assert!(node.wait().success());
    assert!(web.next_outcome().is_none(), "and it closes");
}

/// Guards against a successor that can't have the address, and against callers that are cut off when it can.
#[test]
fn its_listeners_are_passed_on_and_what_was_accepted_is_served() {
    let upstream = Upstream::start(|m: &Message| ok(m.path()));
    let (unix, socket) = (path(".fcgi"), path(".sock"));
    let text = format!("[fastcgi]\nlisten = [\"127.0.0.1:0\", {unix:?}]\n");
    let operator = program().file(".toml", &text);
    let args: [&std::ffi::OsStr; 4] =
        ["--operator".as_ref(), operator.as_os_str(), "--takeover".as_ref(), socket.as_os_str()];
    let mut old = started(&args, &known(&upstream));
    let addr = PAIRINGS[2].addr(&old);
    let (mut kept, mut newcomer) =
        (WebServer::connect(addr).expect("up"), WebServer::connect(addr).expect("up"));
    kept.send(&params("kept", "read", "GET"), b"");
    assert_eq!(status(&mut kept).0, 200);
    let new = started(&args, "null");
    assert_eq!(PAIRINGS[2].addr(&new), addr);
    old.wait_for_log("handed the listening sockets off");
    for web in [&mut kept, &mut newcomer] {
        web.send(&params("after", "read", "GET"), b"");
        assert_eq!(status(web).0, 200);
    }
    assert!(old.wait().success(), "each closed behind its answer");
    let mut web = WebServer::connect(addr).expect("up");
    web.send(&params("new", "read", "GET"), b"");
    assert_eq!(status(&mut web).0, 200);
    assert!(std::os::unix::net::UnixStream::connect(&unix).is_ok());
}
