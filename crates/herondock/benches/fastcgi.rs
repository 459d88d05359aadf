//! What FastCGI costs: the four pairings of what callers and upstreams speak, idle and half-open connections, and the codec
//! beside a plain copy.
//!
//! `cargo bench -p herondock --bench fastcgi [-- SECONDS]`: 16 connections that ask again once they are answered, an
//! upstream that answers 64 bytes at once; the pairings in turn within each of 5 rounds of SECONDS (2). With `allocations`
//! in place of SECONDS: calls to the allocator and instructions for each request, counted by valgrind's callgrind, which has to be there; with
//! the path of another herondock behind it that one's.
use bytes::BytesMut;
use fastcgi::record::{kind, Decoder, Piece};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};
use testkit::discovery::{upstream_list, Discovery};
use testkit::fastcgi::{begin_record, end_record, pairs, record};
use testkit::node::{config, Node, Program};

const CONNECTIONS: usize = 16;
const ROUNDS: usize = 5;
const QUIET: usize = 1000;

#[derive(Clone, Copy)]
enum Speaks {
    Http,
    FastCgi,
}

/// Whether a whole request or answer is there: HTTP without a body or with 64 bytes, FastCGI up to its last record.
fn whole(speaks: Speaks, bytes: &[u8], last: u8) -> bool {
    match speaks {
        Speaks::Http => {
            let end = bytes.windows(4).position(|w| w == b"\r\n\r\n");
            let body = if last == 3 { 64 } else { 0 };
            end.is_some_and(|end| bytes.len() >= end + 4 + body)
        }
        Speaks::FastCgi => {
            let mut rest = bytes;
            while rest.len() >= 8 {
                let length = usize::from(u16::from_be_bytes([rest[4], rest[5]]));
                let size = 8 + length + usize::from(rest[6]);
                if rest.len() < size {
                    return false;
                }
                if rest[1] == last && (last == 3 || length == 0) {
                    return true;
                }
                rest = &rest[size..];
            }
            false
        }
    }
}

fn exchange(stream: &mut TcpStream, speaks: Speaks, last: u8) -> bool {
    let (mut bytes, mut buffer) = (Vec::with_capacity(2048), [0; 4096]);
    while !whole(speaks, &bytes, last) {
        match stream.read(&mut buffer) {
            Ok(n) if n > 0 => bytes.extend_from_slice(&buffer[..n]),
            _ => return false,
        }
    }
    true
}

fn upstream(speaks: Speaks) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("binds");
    let addr = listener.local_addr().expect("an address");
    let body = "x".repeat(64);
    let answer = match speaks {
        Speaks::Http => format!("HTTP/1.1 200 OK\r\nContent-Length: 64\r\n\r\n{body}").into_bytes(),
        Speaks::FastCgi => {
            let out = record(6, 1, format!("Status: 200 OK\r\n\r\n{body}").as_bytes(), 0);
            [out, record(6, 1, b"", 0), end_record(1, 0, 0)].concat()
        }
    };
    std::thread::spawn(move || {
        for mut stream in listener.incoming().flatten() {
            let answer = answer.clone();
            let _ = stream.set_nodelay(true);
            std::thread::spawn(move || {
                while exchange(&mut stream, speaks, kind::STDIN) && stream.write_all(&answer).is_ok() {}
            });
        }
    });
    addr
}

/// An application that takes several requests at once and answers each as it comes.
fn upstream_at_once() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("binds");
    let addr = listener.local_addr().expect("an address");
    let output = format!("Status: 200 OK\r\n\r\n{}", "x".repeat(64));
    let answer =
        move |id| [record(6, id, output.as_bytes(), 0), record(6, id, b"", 0), end_record(id, 0, 0)].concat();
    std::thread::spawn(move || {
        for mut stream in listener.incoming().flatten() {
            let answer = answer.clone();
            let _ = stream.set_nodelay(true);
            std::thread::spawn(move || {
                let (mut bytes, mut buffer) = (Vec::new(), [0; 16 << 10]);
                while let Ok(n @ 1..) = stream.read(&mut buffer) {
                    bytes.extend_from_slice(&buffer[..n]);
                    let (mut at, mut out) = (0, Vec::new());
                    while let Some(head) = bytes.get(at..at + 8) {
                        let length = usize::from(u16::from_be_bytes([head[4], head[5]]));
                        let size = 8 + length + usize::from(head[6]);
                        if bytes.len() < at + size {
                            break;
                        }
                        match (head[1], length) {
                            (9, _) => out.extend(record(10, 0, &pairs(&[("FCGI_MPXS_CONNS", "1")]), 0)),
                            (5, 0) => out.extend(answer(u16::from_be_bytes([head[2], head[3]]))),
                            _ => {}
                        }
                        at += size;
                    }
                    bytes.drain(..at);
                    if stream.write_all(&out).is_err() {
                        return;
                    }
                }
            });
        }
    });
    addr
}

fn request(speaks: Speaks, id: &str) -> Vec<u8> {
    match speaks {
        Speaks::Http => testkit::message::get(id, "15000m").into_bytes(),
        Speaks::FastCgi => {
            let all = pairs(&[
                ("REQUEST_METHOD", "GET"),
                ("REQUEST_URI", "/api/x?y=1"),
                ("HTTP_HOST", "service.internal"),
                ("HTTP_REQ_ID", id),
                ("HTTP_REQ_KIND", "read"),
                ("HTTP_REQ_OWNER", "club"),
                ("HTTP_REQ_DEADLINE", "15000m"),
            ]);
            [begin_record(1, true), record(4, 1, &all, 0), record(4, 1, b"", 0), record(5, 1, b"", 0)]
                .concat()
        }
    }
}

struct Way {
    name: &'static str,
    front: Speaks,
    node: Node,
    addr: SocketAddr,
    rates: Vec<f64>,
    p50: Vec<f64>,
    p99: Vec<f64>,
    cpu: Vec<f64>,
}

fn way(name: &'static str, front: Speaks, back: Speaks) -> Way {
    let program = Program::new(env!("CARGO_BIN_EXE_herondock"), env!("CARGO_TARGET_TMPDIR"));
    way_by(&program, &[], name, front, (back, 1))
}

/// The program of `program` with these arguments before its own.
fn way_by(
    program: &Program,
    before: &[String],
    name: &'static str,
    front: Speaks,
    (back, at_once): (Speaks, usize),
) -> Way {
    let speaks = if matches!(back, Speaks::FastCgi) { "fastcgi" } else { "http" };
    let multiplex = if at_once > 1 { format!("multiplex = {at_once}\n") } else { String::new() };
    let text =
        format!("[registry]\nspeaks = \"{speaks}\"\n[fastcgi]\nlisten = [\"127.0.0.1:0\"]\n{multiplex}");
    let discovery = Discovery::start();
    let upstream = if at_once > 1 { upstream_at_once() } else { upstream(back) };
    let known = upstream_list(1, true, &[(0, upstream, "active")]);
    // Room for a load without a limit: what is measured is the way of a request.
    let config =
        config(discovery.addr, 4096, &known).replace("\"quota_per_s\":5000", "\"quota_per_s\":1000000");
    let mut command = program.command(&config);
    command.args(before).arg("run").arg("--operator").arg(program.file(".toml", &text));
    let node = Node::run(command, discovery);
    let side = node.log().iter().find_map(|l| l.split_once("callers may connect to ")?.1.parse().ok());
    let addr = if matches!(front, Speaks::FastCgi) { side.expect("a front") } else { node.addr };
    Way { name, front, node, addr, rates: Vec::new(), p50: Vec::new(), p99: Vec::new(), cpu: Vec::new() }
}

fn round(way: &mut Way, length: Duration) {
    let stop = Arc::new(AtomicBool::new(false));
    let (before, from) = (cpu(&way.node), Instant::now());
    let threads: Vec<_> = (0..CONNECTIONS)
        .map(|k| {
            let (front, addr, stop) = (way.front, way.addr, stop.clone());
            std::thread::spawn(move || {
                let mut stream = TcpStream::connect(addr).expect("connects");
                stream.set_nodelay(true).expect("a socket");
                let request = request(front, &format!("r{k}"));
                let mut took = Vec::new();
                while !stop.load(Ordering::Relaxed) {
                    let from = Instant::now();
                    stream.write_all(&request).expect("writes");
                    assert!(exchange(&mut stream, front, kind::END), "it closed");
                    took.push(from.elapsed().as_secs_f64() * 1e6);
                }
                took
            })
        })
        .collect();
    std::thread::sleep(length);
    stop.store(true, Ordering::Relaxed);
    let mut took: Vec<f64> = threads.into_iter().flat_map(|t| t.join().expect("no panic")).collect();
    let (lasted, used) = (from.elapsed().as_secs_f64(), cpu(&way.node) - before);
    took.sort_by(f64::total_cmp);
    way.rates.push(took.len() as f64 / lasted);
    way.p50.push(took[took.len() / 2]);
    way.p99.push(took[took.len() * 99 / 100]);
    way.cpu.push(used * 1e6 / took.len() as f64);
}

/// Median, least and most.
fn spread(all: &[f64], digits: usize) -> String {
    let mut all = all.to_vec();
    all.sort_by(f64::total_cmp);
    format!("{:.digits$} ({:.digits$} to {:.digits$})", all[all.len() / 2], all[0], all[all.len() - 1])
}

fn cpu(node: &Node) -> f64 {
    let stat = std::fs::read_to_string(format!("/proc/{}/stat", node.pid())).unwrap_or_default();
    let fields: Vec<&str> = stat.rsplit(')').next().unwrap_or("").split_whitespace().collect();
    let ticks = |k: usize| fields.get(k).and_then(|f| f.parse::<f64>().ok()).unwrap_or(0.0);
    (ticks(11) + ticks(12)) / 100.0
}

fn memory(node: &Node) -> f64 {
    let status = std::fs::read_to_string(format!("/proc/{}/status", node.pid())).unwrap_or_default();
    let line = status.lines().find_map(|l| l.strip_prefix("VmRSS:")).unwrap_or("");
    line.trim().trim_end_matches(" kB").trim().parse::<f64>().unwrap_or(0.0) * 1024.0 / 1e6
}

/// Calls to the allocator for each request of each pairing, on one connection.
fn allocations(herondock: &str) {
    for (name, front, back) in [
        ("HTTP to HTTP", Speaks::Http, (Speaks::Http, 1)),
        ("HTTP to FastCGI", Speaks::Http, (Speaks::FastCgi, 1)),
        ("FastCGI to HTTP", Speaks::FastCgi, (Speaks::Http, 1)),
        ("FastCGI to FastCGI", Speaks::FastCgi, (Speaks::FastCgi, 1)),
        ("FastCGI to FastCGI, 8 at once", Speaks::FastCgi, (Speaks::FastCgi, 8)),
    ] {
        let counted = |requests: usize| {
            let out = std::path::Path::new(env!("CARGO_TARGET_TMPDIR"))
                .join(format!("callgrind {name} {requests}.out"));
            let program = Program::new("valgrind", env!("CARGO_TARGET_TMPDIR"));
            let file = format!("--callgrind-out-file={}", out.display());
            let before = ["--tool=callgrind".into(), file, herondock.to_string()];
            let mut way = way_by(&program, &before, name, front, back);
            let mut stream = TcpStream::connect(way.addr).expect("connects");
            for k in 0..requests {
                stream.write_all(&request(front, &format!("r{k}"))).expect("writes");
                assert!(exchange(&mut stream, front, kind::END), "it closed");
            }
            drop(stream);
            way.node.terminate();
            way.node.wait();
            let text = std::fs::read_to_string(out).expect("callgrind's file");
            let total = text.lines().find_map(|l| l.strip_prefix("totals: ")?.trim().parse::<i64>().ok());
            (calls(&text), total.expect("a sum"))
        };
        // The start and the end are in both.
        let (few, many) = (counted(200), counted(1200));
        println!(
            "{name}: {:.1} calls to the allocator, {:.1} thousand user instructions for a request",
            (many.0 - few.0) as f64 / 1000.0,
            (many.1 - few.1) as f64 / 1e6
        );
    }
}

/// Calls to the allocator in a file of callgrind's: `cfn=(id) name` is followed by `calls=count`.
fn calls(text: &str) -> i64 {
    let mut names = std::collections::HashMap::new();
    let (mut callee, mut sum) = (String::new(), 0);
    for line in text.lines() {
        let function = line.strip_prefix("cfn=").or(line.strip_prefix("fn="));
        if let Some((id, name)) = function.and_then(|f| f.split_once(')')) {
            if !name.trim().is_empty() {
                names.insert(id.to_string(), name.trim().to_string());
            }
            callee = names.get(id).cloned().unwrap_or_default();
        } else if let Some(count) = line.strip_prefix("calls=") {
            if ["malloc", "calloc", "realloc", "posix_memalign", "aligned_alloc"].contains(&callee.as_str()) {
                sum += count.split(' ').next().and_then(|n| n.parse::<i64>().ok()).unwrap_or(0);
            }
        }
    }
    sum
}

/// Memory with connections that rest, and with such that have sent half a record.
fn quiet() {
    for (what, speaks) in [("HTTP", Speaks::Http), ("FastCGI", Speaks::FastCgi)] {
        let way = way("", speaks, Speaks::Http);
        let before = memory(&way.node);
        let open = |bytes: &[u8], answered: bool| {
            let one = |_| {
                let mut stream = TcpStream::connect(way.addr).expect("connects");
                stream.write_all(bytes).expect("writes");
                if answered {
                    assert!(exchange(&mut stream, speaks, kind::END));
                }
                stream
            };
            (0..QUIET).map(one).collect::<Vec<TcpStream>>()
        };
        let idle = open(&request(speaks, "idle"), true);
        let rest = memory(&way.node);
        drop(idle);
        let half = open(&request(speaks, "half")[..30], false);
        std::thread::sleep(Duration::from_millis(300));
        println!(
            "{what}: {before:.1} MB alone, {rest:.1} MB with {QUIET} idle connections, {:.1} MB with {QUIET} that have sent half",
            memory(&way.node)
        );
        drop(half);
    }
}

/// Bytes a second through the decoder, beside a copy of the same bytes.
fn codec() {
    for size in [512usize, 8 << 10, 60_000] {
        let mut bytes = BytesMut::new();
        while bytes.len() < 16 << 20 {
            bytes.extend_from_slice(&record(kind::STDIN, 1, &vec![7; size], 0));
        }
        let bytes = bytes.freeze();
        let (mut decoded, mut copied) = (Vec::new(), Vec::new());
        for _ in 0..9 {
            let (mut decoder, mut input, mut sum) = (Decoder::default(), bytes.clone(), 0);
            let from = Instant::now();
            while let Ok(Some(piece)) = decoder.next(&mut input) {
                if let Piece::Body(body) = piece {
                    sum += body.len();
                }
            }
            decoded.push(bytes.len() as f64 / from.elapsed().as_secs_f64() / 1e9);
            assert!(sum > 0);
            let from = Instant::now();
            let copy = bytes.to_vec();
            copied.push(bytes.len() as f64 / from.elapsed().as_secs_f64() / 1e9);
            assert_eq!(copy.len(), bytes.len());
        }
        println!(
            "records of {size} bytes: decoded at {} GB/s, copied at {} GB/s",
            spread(&decoded, 1),
            spread(&copied, 1)
        );
    }
}

fn main() {
    let args: Vec<String> = std::env::args().skip(1).filter(|a| a != "--bench").collect();
    if args.iter().any(|a| a == "allocations") {
        return allocations(
            args.iter().find(|a| a.contains('/')).map_or(env!("CARGO_BIN_EXE_herondock"), |a| a),
        );
    }
    let length = Duration::from_secs(args.first().map_or(2, |a| a.parse().expect("seconds")));
    let program = Program::new(env!("CARGO_BIN_EXE_herondock"), env!("CARGO_TARGET_TMPDIR"));
    let mut ways = [
        way("HTTP to HTTP", Speaks::Http, Speaks::Http),
        way("HTTP to FastCGI", Speaks::Http, Speaks::FastCgi),
        way("FastCGI to HTTP", Speaks::FastCgi, Speaks::Http),
        way("FastCGI to FastCGI", Speaks::FastCgi, Speaks::FastCgi),
        way_by(&program, &[], "the same, 8 at once", Speaks::FastCgi, (Speaks::FastCgi, 8)),
    ];
    for _ in 0..ROUNDS {
        ways.iter_mut().for_each(|way| round(way, length));
    }
    println!("| pairing | requests a second | p50 us | p99 us | CPU us a request |");
    println!("| --- | --- | --- | --- | --- |");
    for w in &ways {
        println!(
            "| {} | {} | {} | {} | {} |",
            w.name,
            spread(&w.rates, 0),
            spread(&w.p50, 0),
            spread(&w.p99, 0),
            spread(&w.cpu, 1)
        );
    }
    println!();
    quiet();
    println!();
    codec();
}
