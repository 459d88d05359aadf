//! Tests of both sides against each other and against invalid or hostile input.
use bytes::{BufMut, Bytes, BytesMut};
use fastcgi::cgi::{self, MalformedHead};
use fastcgi::client::{Client, Event as ClientEvent, Outcome};
use fastcgi::record::{self, kind, Decoder, Piece, Protocol};
use fastcgi::server::{Event, Request, Server};
use fastcgi::{pairs, Error, Fault, Limits};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

fn record(kind: u8, id: u16, body: &[u8]) -> Vec<u8> {
    let mut out = BytesMut::new();
    if body.is_empty() {
        record::end(&mut out, kind, id);
    } else {
        record::write(&mut out, kind, id, body);
    }
    out.to_vec()
}

fn begin(id: u16) -> Vec<u8> {
    record(kind::BEGIN, id, &record::begin_body(1, true))
}

fn end(id: u16, application: u32, protocol: Protocol) -> Vec<u8> {
    record(kind::END, id, &record::end_body(application, protocol))
}

fn joined(parts: &[Vec<u8>]) -> Bytes {
    parts.concat().into()
}

/// Events of a server that receives the bytes in chunks of `chunk_size`.
fn receive_on_server(server: &mut Server, bytes: &Bytes, chunk_size: usize) -> Result<Vec<Event>, Error> {
    let mut events = Vec::new();
    for part in bytes.chunks(chunk_size.max(1)) {
        server.receive(Bytes::copy_from_slice(part), &mut events)?;
    }
    Ok(events)
}

/// Events of a client that receives the bytes in chunks of `chunk_size`.
fn receive_on_client(
    client: &mut Client,
    bytes: &Bytes,
    chunk_size: usize,
) -> Result<Vec<ClientEvent>, Error> {
    let mut events = Vec::new();
    for part in bytes.chunks(chunk_size.max(1)) {
        client.receive(Bytes::copy_from_slice(part), &mut events)?;
    }
    Ok(events)
}

/// A client with one open request.
fn client_with_request(limits: Limits) -> Client {
    let mut client = Client::new(limits);
    client.begin([(&b"A"[..], &b"b"[..])].into_iter(), Bytes::new(), true).expect("free");
    client
}

/// Runs the examples of the specification's appendix B: a simple request, params and data in several records, an error,
/// and two concurrent requests.
#[test]
fn examples_of_the_specification_are_decoded() {
    let params = b"\x0b\x02SERVER_PORT80\x0b\x0eSERVER_ADDR199.170.183.42";
    let simple = joined(&[
        begin(1),
        record(kind::PARAMS, 1, params),
        record(kind::PARAMS, 1, b""),
        record(kind::STDIN, 1, b""),
    ]);
    let text = |p: &pairs::Pair| (p.0.to_vec(), p.1.to_vec());
    let wanted =
        [(b"SERVER_PORT".to_vec(), b"80".to_vec()), (b"SERVER_ADDR".to_vec(), b"199.170.183.42".to_vec())];
    for chunk_size in [1, 7, 8, 1000] {
        let events =
            receive_on_server(&mut Server::new(Limits::default()), &simple, chunk_size).expect("good");
        let [Event::Request(Request { id: 1, params, body })] = &events[..] else { panic!("{events:?}") };
        assert!(params.iter().map(text).collect::<Vec<_>>() == wanted && body.is_empty());
    }
    // Params and data in several records each.
    let long = joined(&[
        begin(1),
        record(kind::PARAMS, 1, &params[..20]),
        record(kind::PARAMS, 1, &params[20..]),
        record(kind::PARAMS, 1, b""),
        record(kind::STDIN, 1, b"quantity=100&item="),
        record(kind::STDIN, 1, b"3047936"),
        record(kind::STDIN, 1, b""),
    ]);
    let events = receive_on_server(&mut Server::new(Limits::default()), &long, 5).expect("good");
    assert!(matches!(&events[..], [Event::Request(r)] if &r.body[..] == b"quantity=100&item=3047936"));
    let page = b"Content-type: text/html\r\n\r\n<html>\n<head> ... ";
    let answer =
        joined(&[record(kind::STDOUT, 1, page), record(kind::STDOUT, 1, b""), end(1, 0, Protocol::Complete)]);
    let events = receive_on_client(&mut client_with_request(Limits::default()), &answer, 3).expect("good");
    let [ClientEvent::Ended(1, Outcome::Answered(head, body))] = &events[..] else { panic!("{events:?}") };
    assert!(head.status == 200 && &body[..] == b"<html>\n<head> ... ");
    let error = joined(&[
        record(kind::STDERR, 1, b"config error: missing SI_UID\n"),
        record(kind::STDOUT, 1, b""),
        record(kind::STDERR, 1, b""),
        end(1, 938, Protocol::Complete),
    ]);
    let events = receive_on_client(&mut client_with_request(Limits::default()), &error, 100).expect("good");
    assert_eq!(events, [ClientEvent::Ended(1, Outcome::Useless(938, "the application wrote no output"))]);
    // Two concurrent requests with interleaved records.
    let two = Limits { requests: 2, ..Limits::default() };
    let mut client = client_with_request(two);
    assert_eq!(client.begin(std::iter::empty(), Bytes::new(), true), Some(2));
    assert!(client.begin(std::iter::empty(), Bytes::new(), true).is_none(), "no more than that");
    let mixed = joined(&[
        record(kind::STDOUT, 1, b"Status: 200\r\n\r\none"),
        record(kind::STDOUT, 2, b"Status: 404 Not Found\n\ntw"),
        record(kind::STDOUT, 1, b""),
        end(1, 0, Protocol::Complete),
        record(kind::STDOUT, 2, b"o"),
        end(2, 0, Protocol::Complete),
    ]);
    let events = receive_on_client(&mut client, &mixed, 2).expect("good");
    let bodies: Vec<_> = events
        .iter()
        .map(|e| match e {
            ClientEvent::Ended(id, Outcome::Answered(head, body)) => (*id, head.status, body.to_vec()),
            other => panic!("{other:?}"),
        })
        .collect();
    assert_eq!(bodies, [(1, 200, b"one".to_vec()), (2, 404, b"two".to_vec())]);
}

/// Guards against a retry of a request that may have run: only an end without any output before it is a refusal.
#[test]
fn only_an_end_without_output_is_a_refusal() {
    let end_of = |before: &[Vec<u8>], application, protocol| {
        let bytes = joined(&[before.concat(), end(1, application, protocol)]);
        match receive_on_client(&mut client_with_request(Limits::default()), &bytes, 9).expect("good").pop() {
            Some(ClientEvent::Ended(1, outcome)) => outcome,
            other => panic!("{other:?}"),
        }
    };
    for why in [Protocol::Overloaded, Protocol::CantMultiplex, Protocol::UnknownRole] {
        assert_eq!(end_of(&[], 0, why), Outcome::Refused(why));
        for begun in [record(kind::STDOUT, 1, b"x"), record(kind::STDERR, 1, b"x")] {
            assert!(matches!(end_of(&[begun], 0, why), Outcome::Useless(0, _)), "it had begun");
        }
    }
    assert!(matches!(end_of(&[], 0, Protocol::Other(9)), Outcome::Useless(..)));
    assert!(matches!(
        end_of(&[], 1, Protocol::Complete),
        Outcome::Useless(1, "the application wrote no output")
    ));
    let half = record(kind::STDOUT, 1, b"Content-Length: 9\r\n\r\nhalf");
    assert!(matches!(
        end_of(&[half], 0, Protocol::Complete),
        Outcome::Useless(0, "the head of the response is malformed")
    ));
    let large = record(kind::STDOUT, 1, &vec![b'x'; 60_000]);
    let outcome = end_of(&[large.clone(), large], 0, Protocol::Complete);
    assert_eq!(outcome, Outcome::Useless(0, "the response is too large"));
}

/// Guards against a response that reaches another request: an aborted request keeps its id until its end record arrives.
#[test]
fn late_records_belong_to_no_other_request() {
    let mut client = client_with_request(Limits { requests: 2, ..Limits::default() });
    assert!(
        !client.is_fully_written(1)
            && client.drain().ends_with(&record(kind::STDIN, 1, b""))
            && client.is_fully_written(1)
    );
    assert!(client.abort(1) && !client.abort(1) && client.aborted_requests() == 1);
    assert_eq!(&client.drain()[..], &record(kind::ABORT, 1, b"")[..]);
    let id = client.begin(std::iter::empty(), Bytes::new(), true).expect("free");
    assert_eq!(id, 2, "the old id is still taken");
    // A request that was not begun is not written, and its id is free at once.
    assert!(!client.abort(2) && client.drain().is_empty() && client.open() == 1);
    let late = joined(&[record(kind::STDOUT, 1, b"Status: 200\r\n\r\nlate"), end(1, 0, Protocol::Complete)]);
    assert_eq!(receive_on_client(&mut client, &late, 4).expect("good"), []);
    assert_eq!(client.begin(std::iter::empty(), Bytes::new(), true), Some(1), "free again");
    // A record after the end of its request is an error of the connection.
    let mut client = client_with_request(Limits::default());
    let twice = joined(&[end(1, 0, Protocol::Complete), end(1, 0, Protocol::Complete)]);
    let error = receive_on_client(&mut client, &twice, 16).expect_err("nothing stands for it");
    assert_eq!(error, Error { offset: 16, fault: Fault::Id { kind: kind::END, id: 1 } });
    // On the server side, records that were sent before the end record arrived are ignored.
    let mut server = Server::new(Limits::default());
    let whole = joined(&[begin(1), record(kind::PARAMS, 1, b""), record(kind::STDIN, 1, b"")]);
    receive_on_server(&mut server, &whole, 100).expect("good");
    assert!(server.answer(1, b"Status: 200\r\n\r\n", Bytes::new()));
    assert!(!server.answer(1, b"", Bytes::new()) && !server.drain().is_empty(), "one answer");
    assert!(server.open() == 0 && !server.answer(1, b"", Bytes::new()));
    let late =
        joined(&[record(kind::ABORT, 1, b""), record(kind::STDIN, 1, b"x"), record(kind::STDIN, 1, b"")]);
    assert_eq!(receive_on_server(&mut server, &late, 100).expect("good"), []);
}

/// Type, id and body length of each record.
fn records(bytes: &Bytes) -> Vec<(u8, u16, u16)> {
    let (mut decoder, mut input, mut all) = (Decoder::default(), bytes.clone(), Vec::new());
    while let Some(piece) = decoder.next(&mut input).expect("good") {
        if let Piece::End(h) = piece {
            all.push((h.kind, h.id, h.length));
        }
    }
    assert!(!decoder.is_mid_record());
    all
}

/// Consumes at most `max_bytes` of the ready bytes.
fn take(from: &mut impl bytes::Buf, max_bytes: usize) -> Bytes {
    let n = from.remaining().min(max_bytes);
    from.copy_to_bytes(n)
}

/// Guards against a large response or request that delays all others on its connection, and against bytes that are sent
/// for a cancelled stream, on either side.
#[test]
fn streams_are_interleaved_and_end_at_a_record_when_cancelled() {
    let limits = Limits { requests: 4, body: 1 << 20, ..Limits::default() };
    let mut server = Server::new(limits);
    for id in 1..=3 {
        let whole = joined(&[begin(id), record(kind::PARAMS, id, b""), record(kind::STDIN, id, b"")]);
        receive_on_server(&mut server, &whole, 100).expect("good");
    }
    assert!(server.answer(1, b"Status: 200\r\n\r\n", Bytes::from(vec![b'x'; 200_000])));
    assert!(server.answer(2, b"Status: 200\r\n\r\n", Bytes::from_static(b"small")));
    assert!(server.answer(3, b"Status: 200\r\n\r\n", Bytes::from(vec![b'y'; 100_000])));
    assert_eq!(server.fill(), 0);
    let first = take(server.outgoing(), usize::MAX);
    let second =
        records(&first).iter().position(|r| *r == (kind::END, 2, 8)).expect("the small one is whole");
    assert!(first.len() < 120_000 && second < 10, "behind one turn of the large one");
    // The third is aborted in the middle of its response: the current record is completed, and its end record follows.
    let mut events = Vec::new();
    server.receive(record(kind::ABORT, 3, b"").into(), &mut events).expect("good");
    assert_eq!((events, server.fill()), (vec![Event::Aborted(3)], 1));
    let rest = server.drain();
    let ends: Vec<u16> = records(&rest).iter().filter(|r| r.0 == kind::END).map(|r| r.1).collect();
    assert_eq!(ends, [3, 1]);
    let of = |id: u16| records(&rest).iter().filter(|r| r.0 == kind::STDOUT && r.1 == id).count();
    assert!(of(3) == 0 && of(1) > 5 && server.open() == 0);
    // An aborted request whose response is ready ends once, with that response.
    let whole = joined(&[begin(1), record(kind::PARAMS, 1, b""), record(kind::STDIN, 1, b"")]);
    receive_on_server(&mut server, &whole, 100).expect("good");
    server.answer(1, b"Status: 200\r\n\r\n", Bytes::new());
    server.fill();
    assert_eq!(receive_on_server(&mut server, &record(kind::ABORT, 1, b"").into(), 8).expect("good"), []);
    assert_eq!(records(&server.drain()).iter().filter(|r| r.0 == kind::END).count(), 1);
    // The client interleaves requests too, and sends nothing of a request that may not begin.
    let mut client = Client::new(limits);
    let nothing = || std::iter::empty();
    let large = client.begin(nothing(), Bytes::from(vec![b'x'; 100_000]), true).expect("free");
    let barred = client.begin(nothing(), Bytes::new(), true).expect("free");
    let small = client.begin(nothing(), Bytes::from_static(b"s"), true).expect("free");
    let mut unsent = Vec::new();
    client.fill(|id| id != barred, &mut unsent);
    let first = take(client.outgoing(), 40_000);
    assert!(unsent == [barred] && client.open() == 2 && !client.is_fully_written(large));
    client.fill(|_| panic!("all of the rest begins once what was ready is taken"), &mut unsent);
    let more = take(client.outgoing(), usize::MAX);
    let so_far = Bytes::from([first, more].concat());
    let all = records(&so_far);
    assert!(client.is_fully_written(small) && all.iter().all(|r| r.1 != barred));
    // After an application ends a request early, nothing more of the request is sent.
    let early = joined(&[end(large, 0, Protocol::Overloaded)]);
    let events = receive_on_client(&mut client, &early, 100).expect("good");
    assert_eq!(events, [ClientEvent::Ended(large, Outcome::Refused(Protocol::Overloaded))]);
    assert!(client.drain().is_empty() && client.has_capacity());
}

/// Guards against unbounded output for a peer that sends queries without reading the answers.
#[test]
fn queued_answers_to_queries_are_bounded() {
    let mut server = Server::new(Limits::default());
    let query = Bytes::from(record(kind::GET_VALUES, 0, b"\x0f\x00FCGI_MPXS_CONNS"));
    let mut queries = 0;
    while !server.clogged() {
        server.receive(query.clone(), &mut Vec::new()).expect("good");
        queries += 1;
    }
    assert!((1000..10_000).contains(&queries), "{queries}");
    server.fill();
    assert!(!server.clogged());
}

#[test]
fn invalid_requests_are_reported_and_violations_are_errors() {
    let small = Limits { params: 64, pairs: 2, body: 10, ..Limits::default() };
    let events = |parts: &[Vec<u8>]| receive_on_server(&mut Server::new(small), &joined(parts), 6);
    let (no_params, begun) = (record(kind::PARAMS, 1, b""), begin(1));
    let bad = |parts: &[Vec<u8>]| match events(parts).expect("the connection is sound").as_slice() {
        [Event::Bad(1, status, _)] => *status,
        other => panic!("{other:?}"),
    };
    assert_eq!(bad(&[begun.clone(), record(kind::PARAMS, 1, &[0; 65])]), 431);
    assert_eq!(
        bad(&[begun.clone(), record(kind::PARAMS, 1, &[0; 6]), no_params.clone()]),
        431,
        "three pairs"
    );
    // A pair that states lengths of almost 2 GiB without the bytes.
    let false_lengths = record(kind::PARAMS, 1, &[0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, b'x']);
    assert_eq!(bad(&[begun.clone(), false_lengths, no_params.clone(), record(kind::STDIN, 1, b"more")]), 400);
    assert_eq!(bad(&[begun.clone(), record(kind::STDIN, 1, b"early")]), 400);
    assert_eq!(bad(&[begun.clone(), record(kind::STDIN, 1, b"")]), 400);
    assert_eq!(bad(&[begun.clone(), no_params.clone(), record(kind::STDIN, 1, &[b'x'; 11])]), 413);
    assert_eq!(bad(&[begun.clone(), no_params.clone(), record(kind::DATA, 1, b"x")]), 400);
    let error_of = |parts: &[Vec<u8>]| events(parts).expect_err("it can't go on");
    assert_eq!(error_of(&[begun.clone(), begun.clone()]), Error { offset: 16, fault: Fault::BegunTwice(1) });
    assert_eq!(error_of(&[vec![2]]).fault, Fault::Version(2));
    assert_eq!(error_of(&[vec![b'G', b'E']]).to_string(), "byte 0: a record of version 71");
    assert_eq!(error_of(&[record(kind::BEGIN, 1, b"xyz")]).fault, Fault::Length { kind: 1, length: 3 });
    assert_eq!(error_of(&[record(kind::BEGIN, 0, &[0; 8])]).fault, Fault::Id { kind: 1, id: 0 });
    assert_eq!(error_of(&[record(kind::STDOUT, 1, b"x")]).fault, Fault::Unexpected(6));
    assert_eq!(error_of(&[record(77, 1, b"x")]).fault, Fault::Unexpected(77));
    // Management records of unknown type and queries of capabilities are answered.
    let mut server = Server::new(small);
    let queries =
        joined(&[record(77, 0, b"x"), record(kind::GET_VALUES, 0, b"\x0f\x00FCGI_MPXS_CONNS\x01\x00x")]);
    receive_on_server(&mut server, &queries, 5).expect("good");
    let wanted = joined(&[
        record(kind::UNKNOWN_TYPE, 0, &[77, 0, 0, 0, 0, 0, 0, 0]),
        record(kind::GET_VALUES_RESULT, 0, b"\x0f\x01FCGI_MPXS_CONNS0"),
    ]);
    assert_eq!(server.drain(), wanted);
    // Other roles and requests above the limit are refused with a protocol status; an abort is answered with an end at once.
    let mut server = Server::new(small);
    let parts =
        [record(kind::BEGIN, 3, &record::begin_body(2, true)), begun, begin(2), record(kind::ABORT, 1, b"")];
    assert_eq!(receive_on_server(&mut server, &joined(&parts), 7).expect("good"), [Event::Aborted(1)]);
    let wanted = joined(&[
        end(3, 0, Protocol::UnknownRole),
        end(2, 0, Protocol::CantMultiplex),
        end(1, 0, Protocol::Complete),
    ]);
    assert_eq!((server.drain(), server.open()), (wanted, 0));
}

#[test]
fn response_heads_are_parsed_strictly() {
    let read = |text: &str| cgi::read(&Bytes::copy_from_slice(text.as_bytes()), 1000);
    let status = |text| read(text).map(|h| h.status);
    assert_eq!(status("Status: 201 Created\r\nX-Y: z\r\n\r\nbody"), Ok(201));
    assert_eq!(status("Content-Type: a\n\n"), Ok(200));
    assert_eq!(status("Location: http://x/\n\n"), Ok(302));
    assert_eq!(status("Content-Length: 4\n\nbody"), Ok(200));
    let head = read("A: b\r\nstatus:503\r\nSrv-Declined: 1\r\n\r\n").expect("good");
    assert_eq!((head.status, head.length, &head.fields[1].0[..]), (503, 37, &b"Srv-Declined"[..]));
    for (text, wanted) in [
        ("", MalformedHead::Unterminated),
        ("Status: 200\r\n", MalformedHead::Unterminated),
        ("\r\n\r\nbody", MalformedHead::NoHeaders),
        ("no colon\n\n", MalformedHead::InvalidLine),
        ("a b: c\n\n", MalformedHead::InvalidLine),
        ("a: b\rc: d\n\n", MalformedHead::InvalidLine),
        ("Status: 20\n\n", MalformedHead::InvalidStatus),
        ("Status: 2000\n\n", MalformedHead::InvalidStatus),
        ("Status: 099\n\n", MalformedHead::InvalidStatus),
        ("Status: 200\nStatus: 200\n\n", MalformedHead::InvalidStatus),
        ("Location: /here\n\n", MalformedHead::LocalRedirect),
        ("Content-Length: 5\n\nbody", MalformedHead::InvalidLength),
        ("Content-Length: 4\nContent-Length: 4\n\nbody", MalformedHead::InvalidLength),
        ("Transfer-Encoding: chunked\n\n", MalformedHead::InvalidLength),
    ] {
        assert_eq!(read(text), Err(wanted), "{text:?}");
    }
    assert_eq!(read(&format!("A: {}\n\n", "x".repeat(1000))), Err(MalformedHead::Unterminated));
}

proptest! {
    // A fixed seed makes the result reproducible.
    #![proptest_config(ProptestConfig {
        cases: 2000,
        rng_seed: RngSeed::Fixed(10),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Each side decodes what the other encodes, in chunks of any size.
    #[test]
    fn encoding_round_trips_between_both_sides(
        pairs in proptest::collection::vec(("[A-Z_]{1,200}", "[ -~]{0,300}"), 0..6),
        body in proptest::collection::vec(any::<u8>(), 0..70_000),
        answer in proptest::collection::vec(any::<u8>(), 0..70_000),
        chunk_size in 1usize..70_000,
    ) {
        let limits = Limits { body: 1 << 20, ..Limits::default() };
        let mut client = Client::new(limits);
        let given = pairs.iter().map(|(n, v)| (n.as_bytes(), v.as_bytes()));
        let id = client.begin(given, Bytes::from(body.clone()), true).expect("free");
        let mut server = Server::new(limits);
        let events = receive_on_server(&mut server, &client.drain(), chunk_size).expect("good");
        let [Event::Request(request)] = &events[..] else { panic!("{events:?}") };
        prop_assert_eq!(&request.body[..], &body[..]);
        let got: Vec<_> = request.params.iter().map(|(n, v)| (n.to_vec(), v.to_vec())).collect();
        let wanted: Vec<_> = pairs.iter().map(|(n, v)| (n.clone().into_bytes(), v.clone().into_bytes())).collect();
        prop_assert_eq!(got, wanted);
        prop_assert!(server.answer(request.id, b"Status: 200\r\n\r\n", Bytes::from(answer.clone())));
        let events = receive_on_client(&mut client, &server.drain(), chunk_size).expect("good");
        let [ClientEvent::Ended(ended, Outcome::Answered(head, body))] = &events[..] else { panic!("{events:?}") };
        prop_assert_eq!((*ended, head.status, &body[..]), (id, 200, &answer[..]));
        prop_assert!(client.open() == 0 && server.open() == 0 && !server.closes());
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 100_000,
        rng_seed: RngSeed::Fixed(11),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Random bytes and records of every type at any time cause no panic, and buffered data stays within the limits.
    #[test]
    fn random_input_is_rejected_or_bounded(
        records in proptest::collection::vec((0u8..14, 0u16..4, proptest::collection::vec(any::<u8>(), 0..24)), 0..10),
        noise in proptest::collection::vec(any::<u8>(), 0..40),
        chunk_size in 1usize..40,
    ) {
        let mut bytes = BytesMut::new();
        for (kind, id, body) in &records {
            bytes.put_slice(&record(*kind, *id, body));
        }
        bytes.put_slice(&noise);
        let (bytes, limits) = (bytes.freeze(), Limits { params: 3, body: 30, requests: 2, ..Limits::default() });
        let mut server = Server::new(limits);
        if let Ok(events) = receive_on_server(&mut server, &bytes, chunk_size) {
            prop_assert!(server.open() <= 2);
            for event in events {
                if let Event::Request(r) = event {
                    prop_assert!(r.body.len() <= 30);
                }
            }
        }
        let mut client = client_with_request(limits);
        let _ = receive_on_client(&mut client, &bytes, chunk_size);
        let (mut decoder, mut input, mut held) = (Decoder::default(), bytes.clone(), 0);
        while let Ok(Some(piece)) = decoder.next(&mut input) {
            if let Piece::Body(body) = piece {
                held += body.len();
            }
        }
        prop_assert!(held <= bytes.len());
    }
}
