//! FastCGI at both ends of an instance, record by record: retries, aborts, malformed requests, the stop and the handoff.
mod common;
use common::*;
use fastcgi::client::Outcome;
use fastcgi::record::Protocol;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use testkit::fastcgi::{begin_record, end_record, pairs, record, WebServer};

/// Starts an instance with a FastCGI front and upstreams of this protocol; `more_settings` follows the settings of the front.
/// Returns the instance and the address of the front.
fn start_with_fastcgi_front(
    protocol: &str,
    upstreams: &[SocketAddr],
    more_settings: &str,
) -> (Node, SocketAddr) {
    let text = format!(
        "[registry]\nspeaks = \"{protocol}\"\n[fastcgi]\nlisten = [\"127.0.0.1:0\"]\n{more_settings}\n"
    );
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

/// Waits for the next answer. Returns its status and its body.
fn next_status(web: &mut WebServer) -> (u16, String) {
    match web.next_outcome() {
        Some((_, Outcome::Answered(head, body))) => {
            (head.status, String::from_utf8_lossy(&body).into_owned())
        }
        other => panic!("{other:?}"),
    }
}

/// FastCGI application that reads complete requests and answers each with prepared records. It has a listener of its own, so
/// that it counts exactly the requests that were sent to it.
struct Application {
    addr: SocketAddr,
    requests: std::sync::mpsc::Receiver<Vec<u8>>,
}

/// Whether `bytes` contain the last record of a request, which is the end of STDIN.
fn is_complete(bytes: &[u8]) -> bool {
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
    /// Answers requests with `answers` in turn; `None` closes the connection without an answer. `closes` closes it after each
    /// answer as well.
    fn start(answers: Vec<Option<Vec<u8>>>, closes: bool) -> Application {
        let listener = TcpListener::bind("127.0.0.1:0").expect("binds");
        let addr = listener.local_addr().expect("an address");
        let (request_sender, requests) = std::sync::mpsc::channel();
        std::thread::spawn(move || {
            let mut answers = answers.into_iter().cycle();
            for mut stream in listener.incoming().flatten() {
                loop {
                    let (mut bytes, mut buffer) = (Vec::new(), [0; 4096]);
                    while !is_complete(&bytes) {
                        match stream.read(&mut buffer) {
                            Ok(n) if n > 0 => bytes.extend_from_slice(&buffer[..n]),
                            _ => break,
                        }
                    }
                    if !is_complete(&bytes) {
                        break;
                    }
                    let _ = request_sender.send(bytes);
                    let Some(Some(answer)) = answers.next() else { break };
                    let _ = stream.write_all(&answer);
                    if closes {
                        break;
                    }
                }
            }
        });
        Application { addr, requests }
    }

    /// Number of requests since the last call.
    fn count_new_requests(&self) -> usize {
        self.requests.try_iter().count()
    }
}

/// Guards against a charge that is retried although it may have run, for each case in the table of the transport.
#[test]
fn only_answers_that_prove_no_effect_are_retried() {
    let stdout_record = |body: &[u8]| record(6, 1, body, 3);
    let success =
        [stdout_record(b"Status: 200 OK\r\n\r\nserved"), record(6, 1, b"", 0), end_record(1, 0, 0)].concat();
    let declined =
        [stdout_record(b"Status: 503 Busy\r\nSrv-Declined: 1\r\n\r\n"), end_record(1, 0, 0)].concat();
    // Case, answer of the application to a charge, whether the connection then closes, and whether the charge may have run.
    for (case, answer, closes, may_have_run) in [
        ("END with OVERLOADED", Some(end_record(1, 0, 2)), false, false),
        ("END with CANT_MPX_CONN", Some(end_record(1, 0, 1)), false, false),
        ("END with UNKNOWN_ROLE", Some(end_record(1, 0, 3)), false, false),
        ("declined", Some(declined), false, false),
        ("OVERLOADED after output", Some([stdout_record(b"x"), end_record(1, 0, 2)].concat()), false, true),
        ("END without output", Some(end_record(1, 0, 0)), false, true),
        ("END with a status of its own", Some(end_record(1, 7, 0)), false, true),
        ("STDERR only", Some([record(7, 1, b"oops", 4), end_record(1, 0, 0)].concat()), false, true),
        ("closed without an answer", None, true, true),
        (
            "cut off within the body",
            Some(stdout_record(b"Status: 200 OK\r\nContent-Length: 9\r\n\r\nhalf")),
            true,
            true,
        ),
        ("cut off within a record", Some(success[..20].to_vec()), true, true),
        ("a malformed head", Some([stdout_record(b"served"), end_record(1, 0, 0)].concat()), false, true),
        (
            "another id",
            Some([record(6, 9, b"Status: 200\r\n\r\n", 0), end_record(9, 0, 0)].concat()),
            false,
            true,
        ),
        ("another version", Some(b"HTTP/1.1 200 OK\r\n\r\n".to_vec()), false, true),
        (
            "a wrong content length",
            Some(
                [stdout_record(b"Status: 200 OK\r\nContent-Length: 99\r\n\r\nx"), end_record(1, 0, 0)]
                    .concat(),
            ),
            false,
            true,
        ),
    ] {
        let app = Application::start(vec![answer], closes);
        let (node, addr) = start_with_fastcgi_front("fastcgi", &[app.addr], "");
        let mut web = WebServer::connect(addr).expect("connects");
        web.send(&[&params("charge", "pay", "POST")[..], &[("CONTENT_LENGTH", "4")]].concat(), b"body");
        let (status, _) = next_status(&mut web);
        let sent = app.count_new_requests();
        if may_have_run {
            assert_eq!((status, sent), (502, 1), "{case}: it may have run, so it fails without a retry");
        } else {
            assert!(status == 503 && sent >= 1, "{case}: {status}, sent {sent} times");
        }
        // The answer is complete for the web server, and its connection stays usable.
        web.send(&params("bad", "none", "GET"), b"");
        assert_eq!(web.next_outcome().map(|(id, _)| id), Some(1), "{case}");
        drop(node);
    }
    let app = Application::start(vec![Some(success)], false);
    let (_node, addr) = start_with_fastcgi_front("fastcgi", &[app.addr], "");
    let mut web = WebServer::connect(addr).expect("connects");
    for k in 0..5 {
        web.send(
            &[&params(&format!("c{k}"), "pay", "POST")[..], &[("CONTENT_LENGTH", "4")]].concat(),
            b"body",
        );
        assert_eq!(next_status(&mut web), (200, "served".into()));
    }
    // A refused connection does not count as an attempt.
    let (_node, addr) = start_with_fastcgi_front("fastcgi", &[refusing()], "");
    let mut web = WebServer::connect(addr).expect("connects");
    web.send(&params("c", "read", "GET"), b"");
    assert_eq!(next_status(&mut web).0, 503);
}

/// Guards against attempts that continue after their caller has aborted the request or disconnected, and against answers to
/// such a request that reach another one.
#[test]
fn abort_cancels_the_attempt_and_keeps_the_connection() {
    let upstream = Upstream::start(|m: &Message| match m.header("req-id") {
        Some("held") => Step::Silent,
        Some(id) => ok(id),
        None => common::status("400 None"),
    });
    let (_node, addr) = start_with_fastcgi_front("http", &[upstream.addr], "requests = 4");
    let mut web = WebServer::connect(addr).expect("connects");
    let held = web.send(&params("held", "read", "GET"), b"");
    upstream.next_request();
    // Another request on the same connection does not wait for it.
    let quick = web.send(&params("quick", "read", "GET"), b"");
    assert!(matches!(web.next_outcome(), Some((id, Outcome::Answered(..))) if id == quick));
    upstream.next_request();
    web.abort(held);
    // The attempt is cancelled: its connection to the upstream is closed, and the aborted request gets an END record only.
    upstream.wait_for_close();
    web.send(&params("next", "read", "GET"), b"");
    assert_eq!(next_status(&mut web), (200, "next".into()));
    upstream.next_request();
    // The end of a connection cancels all attempts of its requests.
    web.send(&params("held", "read", "GET"), b"");
    upstream.next_request();
    drop(web);
    upstream.wait_for_close();
}

#[test]
fn malformed_input_is_rejected_or_closes_only_its_own_connection() {
    let upstream = Upstream::start(|m: &Message| ok(m.path()));
    let (node, addr) = start_with_fastcgi_front("http", &[upstream.addr], "");
    let mut good = WebServer::connect(addr).expect("connects");
    let with = |name: &'static str, value: &'static str| {
        let mut changed = params("r", "read", "GET");
        changed.retain(|(n, _)| *n != name);
        changed.push((name, value));
        changed
    };
    let long_value: &'static str = Box::leak("x".repeat(20_000).into_boxed_str());
    for (params, body, wanted) in [
        (with("HTTP_REQ_KIND", "odd"), "", 400),
        (with("HTTP_REQ_OWNER", "odd"), "", 400),
        (with("HTTP_REQ_DEADLINE", "soon"), "", 400),
        (with("REQUEST_METHOD", "POST"), "", 400),
        (with("REQUEST_URI", "no path"), "", 400),
        (with("CONTENT_LENGTH", "7"), "", 400),
        (with("HTTP_X", long_value), "", 431),
        (vec![], "", 400),
        ([&params("r", "read", "GET")[..], &[("HTTP_REQ_ID", "two")]].concat(), "", 400),
        (params("r", "read", "GET"), "a body", 400),
    ] {
        let mut web = WebServer::connect(addr).expect("connects");
        web.send(&params, body.as_bytes());
        let (status, reason) = next_status(&mut web);
        assert!(status == wanted && !reason.is_empty(), "{params:?}: {status} {reason}");
    }
    let mut web = WebServer::connect(addr).expect("connects");
    web.send(&params("large", "pay", "POST"), &vec![b'x'; 70_000]);
    assert_eq!(next_status(&mut web).0, 413);
    // A request for another role is refused with the protocol status UNKNOWN_ROLE.
    let mut raw = TcpStream::connect(addr).expect("connects");
    raw.set_read_timeout(Some(TEST_TIMEOUT)).expect("a timeout");
    raw.write_all(&record(1, 1, &[0, 2, 1, 0, 0, 0, 0, 0], 0)).expect("writes");
    let mut received = [0; 16];
    raw.read_exact(&mut received).expect("an END");
    assert_eq!((received[1], received[12]), (3, Protocol::UnknownRole.byte()));
    // Input after which the position of the next record is uncertain closes the connection.
    for bytes in [
        b"GET / HTTP/1.1\r\n\r\n".to_vec(),
        record(6, 1, b"x", 0),
        record(1, 1, b"short", 0),
        [begin_record(1, true), begin_record(1, true)].concat(),
        [begin_record(1, true), record(4, 0, &pairs(&[("A", "b")]), 0)].concat(),
    ] {
        let mut raw = TcpStream::connect(addr).expect("connects");
        raw.set_read_timeout(Some(TEST_TIMEOUT)).expect("a timeout");
        raw.write_all(&bytes).expect("writes");
        assert!(matches!(raw.read(&mut [0; 64]), Ok(0) | Err(_)), "{bytes:?}");
    }
    good.send(&params("good", "read", "GET"), b"");
    assert_eq!(next_status(&mut good), (200, "/api/x?y=1".into()));
    node.wait_for_log("fastcgi: byte 16: request 1 begins again while it is open");
}

/// Guards against hundreds of connections that send an incomplete record and then hold the descriptors that others need.
#[test]
fn hundreds_of_incomplete_records_are_closed_and_others_are_served() {
    let upstream = Upstream::start(|_: &Message| ok("x"));
    let (node, addr) =
        start_with_fastcgi_front("http", &[upstream.addr], "[limits]\nrequest_wait = \"300ms\"");
    let before = node.descriptors();
    let incomplete_record = &[begin_record(1, true), record(4, 1, &[0; 100], 0)].concat()[..40];
    let streams: Vec<TcpStream> = (0..300)
        .map(|_| {
            let mut stream = TcpStream::connect(addr).expect("connects");
            stream.write_all(incomplete_record).expect("writes");
            stream
        })
        .collect();
    let mut web = WebServer::connect(addr).expect("connects");
    web.send(&params("served", "read", "GET"), b"");
    assert_eq!(next_status(&mut web).0, 200);
    node.wait_for_descriptors(|held| held < before + 20, "the connections are not closed");
    drop(streams);
}

/// Guards against open FastCGI requests that get no answer at a stop: as in the HTTP front, each is answered before its
/// connection closes.
#[test]
fn after_sigterm_open_fastcgi_requests_are_answered() {
    let (release, released) = std::sync::mpsc::channel();
    let released = std::sync::Mutex::new(Some(released));
    let upstream = Upstream::start(move |m: &Message| match released.lock().expect("no panic").take() {
        Some(released) => Step::Hold(released, testkit::message::ok_response("held")),
        None => ok(m.path()),
    });
    let (mut node, addr) = start_with_fastcgi_front("http", &[upstream.addr], "");
    let mut web = WebServer::connect(addr).expect("connects");
    web.send(&params("held", "read", "GET"), b"");
    upstream.next_request();
    node.terminate();
    node.wait_for_log("received a stop signal");
    release.send(()).expect("the upstream waits");
    assert_eq!(next_status(&mut web), (200, "held".into()));
    assert!(node.wait().success());
    assert!(web.next_outcome().is_none(), "the connection is closed");
}

/// Guards against a successor that can't listen on the address of its predecessor, and against connections that are cut off
/// in a handoff.
#[test]
fn fastcgi_listeners_are_handed_over_and_accepted_connections_are_served() {
    let upstream = Upstream::start(|m: &Message| ok(m.path()));
    let (unix, socket) = (path(".fcgi"), path(".sock"));
    let text = format!("[fastcgi]\nlisten = [\"127.0.0.1:0\", {unix:?}]\n");
    let operator = program().file(".toml", &text);
    let args: [&std::ffi::OsStr; 4] =
        ["--operator".as_ref(), operator.as_os_str(), "--takeover".as_ref(), socket.as_os_str()];
    let mut old = started(&args, &known(&upstream));
    let addr = PAIRINGS[2].addr(&old);
    let (mut kept, mut unused) =
        (WebServer::connect(addr).expect("up"), WebServer::connect(addr).expect("up"));
    kept.send(&params("kept", "read", "GET"), b"");
    assert_eq!(next_status(&mut kept).0, 200);
    let new = started(&args, "null");
    assert_eq!(PAIRINGS[2].addr(&new), addr);
    old.wait_for_log("handed the listening sockets off");
    for web in [&mut kept, &mut unused] {
        web.send(&params("after", "read", "GET"), b"");
        assert_eq!(next_status(web).0, 200);
    }
    assert!(old.wait().success(), "each connection is closed after its answer");
    let mut web = WebServer::connect(addr).expect("up");
    web.send(&params("new", "read", "GET"), b"");
    assert_eq!(next_status(&mut web).0, 200);
    assert!(std::os::unix::net::UnixStream::connect(&unix).is_ok());
}
