//! Concurrent FastCGI requests on one connection, on both sides of an instance: answers, aborts and faults of one request
//! must not affect the others.
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

/// Event on a connection to an application.
#[derive(Debug)]
enum Event {
    /// A complete request: index of its connection, FastCGI request id and the value of its `Req-Id`.
    Request(usize, u16, String),
    /// An abort: index of the connection and FastCGI request id.
    Abort(usize, u16),
    /// The end of the connection with this index.
    Closed(usize),
}

/// FastCGI application that states how many concurrent requests it accepts. Its answers are written by the test.
struct Application {
    addr: SocketAddr,
    events: Receiver<Event>,
    streams: Receiver<TcpStream>,
    open: std::cell::RefCell<Vec<TcpStream>>,
}

/// Returns the value of `HTTP_REQ_ID` in encoded parameters.
fn request_name(params: &[u8]) -> String {
    let text = String::from_utf8_lossy(params);
    let id = text.split_once("HTTP_REQ_ID").map_or("", |(_, rest)| rest);
    id.chars().take_while(|c| c.is_ascii_alphanumeric() && !c.is_ascii_uppercase()).collect()
}

/// Reads records until the connection ends, reports events, and answers FCGI_GET_VALUES with `values`.
fn read_records(
    mut stream: TcpStream,
    connection: usize,
    values: &[(&str, &str)],
    event_sender: &Sender<Event>,
) {
    let (mut bytes, mut buffer) = (VecDeque::new(), [0; 4096]);
    let mut params = std::collections::HashMap::<u16, Vec<u8>>::new();
    loop {
        while bytes.len() < 8
            || bytes.len() < 8 + usize::from(bytes[4]) * 256 + usize::from(bytes[5]) + usize::from(bytes[6])
        {
            match stream.read(&mut buffer) {
                Ok(n) if n > 0 => bytes.extend(&buffer[..n]),
                _ => return drop(event_sender.send(Event::Closed(connection))),
            }
        }
        let head: Vec<u8> = bytes.drain(..8).collect();
        let (id, length) =
            (u16::from_be_bytes([head[2], head[3]]), usize::from(head[4]) * 256 + usize::from(head[5]));
        let body: Vec<u8> = bytes.drain(..length + usize::from(head[6])).take(length).collect();
        match (head[1], length) {
            (9, _) => drop(stream.write_all(&record(10, 0, &pairs(values), 0))),
            (2, _) => drop(event_sender.send(Event::Abort(connection, id))),
            (4, 1..) => params.entry(id).or_default().extend(body),
            (5, 0) => {
                let name = request_name(&params.remove(&id).unwrap_or_default());
                drop(event_sender.send(Event::Request(connection, id, name)));
            }
            _ => {}
        }
    }
}

impl Application {
    /// `values` is the answer to FCGI_GET_VALUES.
    fn start(values: &'static [(&'static str, &'static str)]) -> Application {
        let listener = TcpListener::bind("127.0.0.1:0").expect("binds");
        let addr = listener.local_addr().expect("an address");
        let ((event_sender, events), (stream_sender, streams)) = (channel(), channel());
        std::thread::spawn(move || {
            for (connection, stream) in listener.incoming().flatten().enumerate() {
                let event_sender = event_sender.clone();
                let _ = stream_sender.send(stream.try_clone().expect("a descriptor"));
                std::thread::spawn(move || read_records(stream, connection, values, &event_sender));
            }
        });
        Application { addr, events, streams, open: std::cell::RefCell::default() }
    }

    /// Waits for the next request; ends of connections are skipped.
    fn next_request(&self) -> (usize, u16, String) {
        loop {
            match self.events.recv_timeout(TEST_TIMEOUT).expect("a request") {
                Event::Request(connection, id, name) => return (connection, id, name),
                Event::Closed(_) => {}
                Event::Abort(..) => panic!("an abort"),
            }
        }
    }

    /// Waits for the next event, which must be an abort.
    fn next_abort(&self) -> (usize, u16) {
        match self.events.recv_timeout(TEST_TIMEOUT).expect("an abort") {
            Event::Abort(connection, id) => (connection, id),
            other => panic!("{other:?}"),
        }
    }

    /// Waits until this connection has ended.
    fn wait_for_close(&self, connection: usize) {
        loop {
            match self.events.recv_timeout(TEST_TIMEOUT).expect("an end") {
                Event::Closed(closed) if closed == connection => return,
                Event::Closed(_) => {}
                other => panic!("{other:?}"),
            }
        }
    }

    /// Writes to the connection with this index.
    fn write(&self, connection: usize, bytes: &[u8]) {
        let mut open = self.open.borrow_mut();
        while open.len() <= connection {
            open.push(self.streams.recv_timeout(TEST_TIMEOUT).expect("a connection"));
        }
        let _ = open[connection].write_all(bytes);
    }

    /// Closes the connection with this index.
    fn close(&self, connection: usize) {
        self.write(connection, b"");
        let _ = self.open.borrow()[connection].shutdown(std::net::Shutdown::Both);
    }

    /// Answers a request with status 200 and the value of its `Req-Id` as the body.
    fn answer(&self, (connection, id, body): &(usize, u16, String)) {
        self.write(*connection, &stdout_record(*id, &format!("Status: 200 OK\r\n\r\n{body}")));
        self.write(*connection, &[record(6, *id, b"", 0), end_record(*id, 0, 0)].concat());
    }
}

fn stdout_record(id: u16, text: &str) -> Vec<u8> {
    record(6, id, text.as_bytes(), 3)
}

/// Values of an application that accepts four concurrent requests on a connection.
const MULTIPLEXING_VALUES: &[(&str, &str)] = &[("FCGI_MPXS_CONNS", "1"), ("FCGI_MAX_REQS", "4")];

/// Starts an instance in front of the application and waits until it knows that the application multiplexes. Returns the
/// instance and the index of the first connection that has carried several concurrent requests.
fn start_multiplexing(app: &Application, limits: &str) -> (Node, usize) {
    let text = format!("[registry]\nspeaks = \"fastcgi\"\n[fastcgi]\nmultiplex = 8\n[limits]\n{limits}\n");
    let operator = program().file(".toml", &text);
    let node = started(
        &["--operator".as_ref(), operator.as_os_str()],
        &upstream_list(1, true, &[(0, app.addr, "active")]),
    );
    // Until the values of the application are known, each request has a connection of its own. Two concurrent requests on one
    // connection show that they are known.
    for round in 0.. {
        let (first_call, second_call) =
            (spawn_call(&node, &format!("a{round}")), spawn_call(&node, &format!("b{round}")));
        let (first_request, second_request) = (app.next_request(), app.next_request());
        app.answer(&first_request);
        app.answer(&second_request);
        assert!(
            first_call.join().expect("no panic").ends_with(&first_request.2)
                || first_request.2.starts_with('b')
        );
        second_call.join().expect("no panic");
        if first_request.0 == second_request.0 {
            return (node, first_request.0);
        }
        assert!(round < 1000, "no connection carries several requests");
    }
    unreachable!()
}

/// Sends a safe request in a thread. Returns status and body of its answer.
fn spawn_call(node: &Node, id: &str) -> std::thread::JoinHandle<String> {
    let (mut client, text) = (node.client(), get(id, "15000m"));
    std::thread::spawn(move || {
        let answer = client.call(&text);
        format!("{} {}", answer.status(), String::from_utf8_lossy(&answer.body))
    })
}

/// Sends a request that must not run twice in a thread. Returns the status of its answer.
fn spawn_charge(node: &Node, id: &str) -> std::thread::JoinHandle<String> {
    let (mut client, text) = (node.client(), pay(id, "15000m"));
    std::thread::spawn(move || client.call(&text).status().to_string())
}

/// Guards against an answer that reaches another request, against a request that delays the others, and against a late END or
/// STDOUT record of an aborted request that is assigned to another one.
#[test]
fn concurrent_answers_are_assigned_by_id_and_ids_are_not_reused_before_end() {
    let app = Application::start(MULTIPLEXING_VALUES);
    let (node, connection) = start_multiplexing(&app, "");
    let (first_call, second_call) = (spawn_call(&node, "one"), spawn_call(&node, "two"));
    let (first_request, second_request) = (app.next_request(), app.next_request());
    assert!(
        first_request.0 == connection
            && second_request.0 == connection
            && first_request.1 != second_request.1,
        "{first_request:?} {second_request:?}"
    );
    // The answers are interleaved, and the second one is complete first.
    app.write(
        connection,
        &[
            stdout_record(first_request.1, "Status: 200 OK\r\n\r\nha"),
            stdout_record(second_request.1, "Status: 200 OK\r\n\r\nwh"),
        ]
        .concat(),
    );
    app.write(
        connection,
        &[
            stdout_record(second_request.1, "ole"),
            record(6, second_request.1, b"", 0),
            end_record(second_request.1, 0, 0),
        ]
        .concat(),
    );
    let (first_answered, second_answered) =
        if first_request.2 == "one" { (first_call, second_call) } else { (second_call, first_call) };
    assert_eq!(second_answered.join().expect("no panic"), "200 whole");
    app.write(
        connection,
        &[
            stdout_record(first_request.1, "lf"),
            record(6, first_request.1, b"", 0),
            end_record(first_request.1, 0, 0),
        ]
        .concat(),
    );
    assert_eq!(first_answered.join().expect("no panic"), "200 half");
    // A caller that disconnects causes an ABORT, and other requests continue. Late records of its request are discarded.
    let (mut disconnecting, kept) = (node.client(), spawn_call(&node, "kept"));
    let kept_request = app.next_request();
    disconnecting.send(&get("gone", "15000m"));
    let aborted = app.next_request();
    assert_eq!((aborted.0, &*aborted.2), (connection, "gone"));
    drop(disconnecting);
    assert_eq!(app.next_abort(), (connection, aborted.1));
    let third = spawn_call(&node, "third");
    let third_request = app.next_request();
    assert!(
        third_request.0 == connection && third_request.1 != aborted.1,
        "an id is not reused before its END record"
    );
    app.write(connection, &stdout_record(aborted.1, "Status: 200 OK\r\n\r\nlate"));
    app.answer(&third_request);
    assert_eq!(third.join().expect("no panic"), "200 third");
    app.write(connection, &end_record(aborted.1, 0, 0));
    app.answer(&kept_request);
    assert_eq!(kept.join().expect("no panic"), "200 kept");
    // At most as many concurrent requests as the application accepts: the fifth uses another connection.
    let calls: Vec<_> = (0..5).map(|n| spawn_call(&node, &format!("n{n}"))).collect();
    let requests: Vec<_> = calls.iter().map(|_| app.next_request()).collect();
    assert_eq!(requests.iter().filter(|request| request.0 == connection).count(), 4, "{requests:?}");
    requests.iter().for_each(|request| app.answer(request));
    calls.into_iter().for_each(|handle| assert!(handle.join().expect("no panic").starts_with("200 n")));
}

/// Guards against a charge that is retried after its connection broke, although it may have run, and against a safe request
/// on the same connection that fails instead of being retried.
#[test]
fn broken_connection_fails_charges_and_retries_reads() {
    let app = Application::start(MULTIPLEXING_VALUES);
    let (node, connection) = start_multiplexing(&app, "");
    let (charge_call, read_call) = (spawn_charge(&node, "charge"), spawn_call(&node, "read"));
    let both = [app.next_request(), app.next_request()];
    assert!(both.iter().all(|request| request.0 == connection));
    let charge = both.iter().find(|request| request.2 == "charge").expect("the charge was sent");
    app.write(connection, &stdout_record(charge.1, "Status: 200 OK\r\n\r\nha"));
    app.close(connection);
    assert_eq!(charge_call.join().expect("no panic"), "502", "it may have run");
    let retry = app.next_request();
    assert!(retry.2 == "read" && retry.0 != connection, "{retry:?}");
    app.answer(&retry);
    assert_eq!(read_call.join().expect("no panic"), "200 read");
}

/// Guards against further use of a connection after an END record for an id that is not open: records can no longer be
/// assigned to requests.
#[test]
fn end_record_of_an_unknown_id_closes_the_connection() {
    let app = Application::start(MULTIPLEXING_VALUES);
    let (node, connection) = start_multiplexing(&app, "");
    let charge_call = spawn_charge(&node, "charge");
    let request = app.next_request();
    app.write(connection, &end_record(request.1 + 1, 0, 0));
    app.wait_for_close(connection);
    assert_eq!(charge_call.join().expect("no panic"), "502");
}

/// Guards against an application that never ends an aborted request: its connection gets no new requests and is closed.
#[test]
fn aborted_request_without_end_closes_its_connection() {
    let app = Application::start(MULTIPLEXING_VALUES);
    let (node, connection) = start_multiplexing(&app, "flush_wait = \"200ms\"");
    let mut disconnecting = node.client();
    disconnecting.send(&get("gone", "15000m"));
    let aborted = app.next_request();
    assert_eq!(aborted.0, connection);
    drop(disconnecting);
    assert_eq!(app.next_abort(), (connection, aborted.1));
    app.wait_for_close(connection);
    let next = spawn_call(&node, "next");
    let request = app.next_request();
    assert!(request.0 != connection);
    app.answer(&request);
    assert_eq!(next.join().expect("no panic"), "200 next");
}

/// Guards against lost requests when an application that stated that it multiplexes refuses a second request: it then gets
/// one request at a time.
#[test]
fn application_that_refuses_to_multiplex_gets_one_request_at_a_time() {
    let app = Application::start(MULTIPLEXING_VALUES);
    let (node, connection) = start_multiplexing(&app, "");
    let (first_call, second_call) = (spawn_charge(&node, "chargea"), spawn_charge(&node, "chargeb"));
    let (first_request, second_request) = (app.next_request(), app.next_request());
    assert!(first_request.0 == connection && second_request.0 == connection);
    app.write(connection, &end_record(second_request.1, 0, 1));
    app.answer(&first_request);
    // The second request did not run, so it is either refused or retried; it is retried if the balancer has capacity for it.
    let (first_answered, second_answered) =
        if first_request.2 == "chargea" { (first_call, second_call) } else { (second_call, first_call) };
    assert_eq!(first_answered.join().expect("no panic"), "200");
    if let Ok(Event::Request(connection, id, name)) = app.events.recv_timeout(Duration::from_millis(500)) {
        app.answer(&(connection, id, name));
        assert_eq!(second_answered.join().expect("no panic"), "200");
    } else {
        assert_eq!(second_answered.join().expect("no panic"), "503");
    }
    let (first_call, second_call) = (spawn_call(&node, "one"), spawn_call(&node, "two"));
    let (first_request, second_request) = (app.next_request(), app.next_request());
    assert_ne!(first_request.0, second_request.0, "one at a time");
    app.answer(&first_request);
    app.answer(&second_request);
    for handle in [first_call, second_call] {
        assert!(handle.join().expect("no panic").starts_with("200"));
    }
}

/// Guards against concurrent requests to an application that states that it does not multiplex, or whose answer lacks
/// the value: it gets one request at a time from the start.
#[test]
fn application_that_does_not_multiplex_gets_one_request_at_a_time() {
    for values in [&[("FCGI_MPXS_CONNS", "0")][..], &[]] {
        let app = Application::start(values);
        let text = "[registry]\nspeaks = \"fastcgi\"\n[fastcgi]\nmultiplex = 8\n";
        let operator = program().file(".toml", text);
        let known = upstream_list(1, true, &[(0, app.addr, "active")]);
        let node = started(&["--operator".as_ref(), operator.as_os_str()], &known);
        for round in 0..10 {
            let (first_call, second_call) =
                (spawn_call(&node, &format!("a{round}")), spawn_call(&node, &format!("b{round}")));
            let (first_request, second_request) = (app.next_request(), app.next_request());
            assert_ne!(first_request.0, second_request.0);
            app.answer(&first_request);
            app.answer(&second_request);
            assert!([first_call, second_call]
                .map(|t| t.join().expect("no panic"))
                .iter()
                .all(|t| t.starts_with("200")));
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

/// Guards against a web server that reads slowly and is cut off in the middle of an answer, against one that reads nothing and
/// keeps its connection for ever, and against aborts that are not read while an answer can't be written.
#[test]
fn slow_reader_stays_connected_while_it_makes_progress() {
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
    let encode_request = |id: u16, path: &str| {
        let encoded_params = pairs(&params(&format!("r{id}{}", path.len()), path));
        [
            testkit::fastcgi::begin_record(id, true),
            record(4, id, &encoded_params, 0),
            record(4, id, b"", 0),
            record(5, id, b"", 0),
        ]
        .concat()
    };
    // Reads at least four times within the flush timeout, and takes several times the timeout for the whole answer.
    let mut slow = TcpStream::connect(addr).expect("connects");
    slow.set_read_timeout(Some(TEST_TIMEOUT)).expect("a timeout");
    slow.write_all(
        &[encode_request(1, "/api/large"), encode_request(2, "/api/small"), encode_request(3, "/api/held")]
            .concat(),
    )
    .expect("writes");
    let (mut received, mut buffer) = (Vec::new(), vec![0; 512 << 10]);
    let started = std::time::Instant::now();
    let has_ended =
        |received: &[u8], id: u8| received.windows(16).any(|w| w[..8] == [1, 3, 0, id, 0, 8, 0, 0]);
    let mut aborted = false;
    while !has_ended(&received, 1) {
        let count = slow.read(&mut buffer).expect("it goes on");
        assert!(count > 0, "cut off after {} bytes", received.len());
        received.extend_from_slice(&buffer[..count]);
        if !aborted && received.len() > 1 << 20 {
            // An abort in the middle of the large answer cancels the attempt immediately.
            slow.write_all(&record(2, 3, b"", 0)).expect("writes");
            aborted = true;
            while !matches!(
                upstream.seen.recv_timeout(TEST_TIMEOUT).expect("its connection closes"),
                ObservedRequest::Closed
            ) {}
        }
        std::thread::sleep(Duration::from_millis(30));
    }
    assert!(
        started.elapsed() > Duration::from_millis(400) && has_ended(&received, 2) && has_ended(&received, 3)
    );
    // A reader that makes no progress is disconnected, and the instance frees the descriptors that it held.
    let before = node.descriptors();
    let mut silent = TcpStream::connect(addr).expect("connects");
    silent.write_all(&encode_request(1, "/api/large")).expect("writes");
    upstream.next_request();
    node.wait_for_descriptors(|held| held <= before, "the connection is not closed");
    let mut web = WebServer::connect(addr).expect("connects");
    web.send(&params("next", "/api/next"), b"");
    assert!(matches!(web.next_outcome(), Some((_, Ended::Answered(..)))));
}
