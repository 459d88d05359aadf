//! The cost of the balancer itself: through it, through a bare hyper relay, and on the direct path, paired in one run.
//!
//! `cargo bench -p herondock --bench cost [-- SECONDS [ROUNDS [OTHER]]]`; OTHER is a build to compare with. An upstream that answers at once, the relay and the
//! balancer are processes of their own with one thread each; this process is the callers. For each number of
//! connections the three ways take turns, round after round, so that a machine whose speed drifts hurts all alike.
use bytes::Bytes;
use hdrhistogram::Histogram;
use http_body_util::{BodyExt, Full};
use hyper::client::conn::http1 as client;
use hyper::server::conn::http1 as server;
use hyper::service::service_fn;
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use std::cell::RefCell;
use std::convert::Infallible;
use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::process::{Child, Command, Stdio};
use std::rc::Rc;
use std::time::{Duration, Instant};
use testkit::discovery::{upstream_list, Discovery};
use testkit::node::{config, Node, Program};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::LocalSet;

const CONNECTIONS: [usize; 4] = [1, 16, 64, 256];

type Sender = client::SendRequest<Full<Bytes>>;

async fn connect(addr: SocketAddr) -> Sender {
    let stream = TcpStream::connect(addr).await.expect("connects");
    stream.set_nodelay(true).expect("a socket");
    let (sender, connection) = client::handshake(TokioIo::new(stream)).await.expect("HTTP");
    tokio::task::spawn_local(async move {
        let _ = connection.await;
    });
    sender
}

/// Serves in the foreground: answers at once, or relays to an upstream over connections that it keeps.
async fn serve(upstream: Option<SocketAddr>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("binds");
    eprintln!("serving on {}", listener.local_addr().expect("an address"));
    let kept: Rc<RefCell<Vec<Sender>>> = Rc::default();
    loop {
        let Ok((stream, _)) = listener.accept().await else { continue };
        let _ = stream.set_nodelay(true);
        let kept = kept.clone();
        let service = service_fn(move |request: Request<hyper::body::Incoming>| {
            let kept = kept.clone();
            async move {
                let Some(upstream) = upstream else {
                    return Ok::<_, Infallible>(Response::new(Full::new(Bytes::from_static(&[b'x'; 64]))));
                };
                let (head, body) = request.into_parts();
                let body = body.collect().await.expect("a body").to_bytes();
                let before = kept.borrow_mut().pop();
                let mut sender = match before {
                    Some(sender) => sender,
                    None => connect(upstream).await,
                };
                let answer =
                    sender.send_request(Request::from_parts(head, Full::new(body))).await.expect("relays");
                let (head, body) = answer.into_parts();
                let body = body.collect().await.expect("an answer").to_bytes();
                sender.ready().await.expect("kept");
                kept.borrow_mut().push(sender);
                Ok(Response::from_parts(head, Full::new(body)))
            }
        });
        tokio::task::spawn_local(async move {
            let _ = server::Builder::new().serve_connection(TokioIo::new(stream), service).await;
        });
    }
}

/// This program in another role; killed when dropped.
struct Role(Child, SocketAddr);

impl Role {
    fn start(args: &[&str]) -> Role {
        let exe = std::env::current_exe().expect("this program");
        let mut child = Command::new(exe).args(args).stderr(Stdio::piped()).spawn().expect("starts");
        let mut line = String::new();
        BufReader::new(child.stderr.take().expect("its log")).read_line(&mut line).expect("a line");
        let addr = line.trim().rsplit(' ').next().and_then(|a| a.parse().ok()).expect("an address");
        Role(child, addr)
    }
}

impl Drop for Role {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

/// Seconds of processor time that a process has used, in hundredths.
fn cpu(pid: u32) -> f64 {
    let stat = std::fs::read_to_string(format!("/proc/{pid}/stat")).expect("its times");
    let fields: Vec<&str> = stat.rsplit(')').next().expect("fields").split_whitespace().collect();
    (fields[11].parse::<f64>().expect("a number") + fields[12].parse::<f64>().expect("a number")) / 100.0
}

fn memory(pid: u32) -> f64 {
    let status = std::fs::read_to_string(format!("/proc/{pid}/status")).expect("its memory");
    let line = status.lines().find_map(|l| l.strip_prefix("VmHWM:")).expect("a line");
    line.trim().trim_end_matches(" kB").parse::<f64>().expect("a number") / 1000.0
}

/// Callers on so many connections, each with one request at a time: times in nanoseconds.
async fn load(addr: SocketAddr, connections: usize, length: Duration) -> (Histogram<u64>, f64) {
    let tasks: Vec<_> = (0..connections)
        .map(|c| {
            tokio::task::spawn_local(async move {
                let mut sender = connect(addr).await;
                let mut took = Histogram::<u64>::new_with_bounds(1, 10_000_000_000, 3).expect("bounds");
                let mut n = 0u64;
                let started = Instant::now();
                while started.elapsed() < length {
                    n += 1;
                    let request = Request::get("/api/x")
                        .header("host", "service.internal")
                        .header("req-id", format!("{c:x}-{n:x}"))
                        .header("req-kind", "read")
                        .header("req-owner", "club")
                        .header("req-deadline", "5000m")
                        .body(Full::default())
                        .expect("a request");
                    let sent = Instant::now();
                    let answer = sender.send_request(request).await.expect("an answer");
                    assert_eq!(answer.status(), 200);
                    answer.into_body().collect().await.expect("a body");
                    took.record(sent.elapsed().as_nanos() as u64).expect("within bounds");
                }
                took
            })
        })
        .collect();
    let mut all = Histogram::<u64>::new_with_bounds(1, 10_000_000_000, 3).expect("bounds");
    let started = Instant::now();
    for task in tasks {
        all.add(task.await.expect("a caller")).expect("the same bounds");
    }
    let per_second = all.len() as f64 / started.elapsed().as_secs_f64();
    (all, per_second)
}

/// One round's figures: requests a second, microseconds at 50, 99 and 99.9 of 100, microseconds of processor a request.
type Figures = [f64; 5];

fn median(rounds: &[Figures], figure: usize) -> (f64, f64, f64) {
    let mut values: Vec<f64> = rounds.iter().map(|r| r[figure]).collect();
    values.sort_by(f64::total_cmp);
    (values[values.len() / 2], values[0], values[values.len() - 1])
}

async fn measure(seconds: f64, rounds: usize, other: Option<&str>) {
    let upstream = Role::start(&["upstream"]);
    let relay = Role::start(&["relay", &upstream.1.to_string()]);
    let discovery = Discovery::start();
    let known = upstream_list(1, true, &[(0, upstream.1, "active")]);
    // A quota that is never reached: what is measured is the way of a request that is admitted.
    let config =
        config(discovery.addr, 1024, &known).replace("\"quota_per_s\":5000", "\"quota_per_s\":1000000");
    let program = Program::new(env!("CARGO_BIN_EXE_herondock"), env!("CARGO_TARGET_TMPDIR"));
    let node = Node::run(program.command(&config), discovery);
    let other = other.map(|path| {
        let (program, discovery) = (Program::new(path, env!("CARGO_TARGET_TMPDIR")), Discovery::start());
        let config = config.replace(&node.discovery.addr.to_string(), &discovery.addr.to_string());
        Node::run(program.command(&config), discovery)
    });
    let mut ways = vec![
        ("direct", upstream.1, None),
        ("bare relay", relay.1, Some(relay.0.id())),
        ("herondock", node.addr, Some(node.pid())),
    ];
    ways.extend(other.iter().map(|other| ("the other one", other.addr, Some(other.pid()))));
    let length = Duration::from_secs_f64(seconds);
    println!("{rounds} rounds of {seconds} s each way; median (least to most)\n");
    println!(
        "| connections | way | requests a second | p50 us | p99 us | p99.9 us | CPU us a request | peak MB |"
    );
    println!("| --- | --- | --- | --- | --- | --- | --- | --- |");
    for connections in CONNECTIONS {
        let mut figures: [Vec<Figures>; 4] = Default::default();
        for round in 0..=rounds {
            for (k, (_, addr, pid)) in ways.iter().enumerate() {
                let before = pid.map_or(0.0, cpu);
                let (took, per_second) = load(*addr, connections, length).await;
                let used = pid.map_or(0.0, cpu) - before;
                let micros = |q| took.value_at_quantile(q) as f64 / 1000.0;
                // The first round warms up.
                if round > 0 {
                    let each = used * 1e6 / took.len() as f64;
                    figures[k].push([per_second, micros(0.5), micros(0.99), micros(0.999), each]);
                }
            }
        }
        for ((name, _, pid), rounds) in ways.iter().zip(&figures) {
            let cell = |figure, digits: usize| {
                let (median, least, most) = median(rounds, figure);
                format!("{median:.digits$} ({least:.digits$} to {most:.digits$})")
            };
            let memory = pid.map_or("-".into(), |pid| format!("{:.1}", memory(pid)));
            let cpu = if pid.is_some() { cell(4, 1) } else { "-".into() };
            println!(
                "| {connections} | {name} | {} | {} | {} | {} | {cpu} | {memory} |",
                cell(0, 0),
                cell(1, 0),
                cell(2, 0),
                cell(3, 0)
            );
        }
    }
}

fn main() {
    let args: Vec<String> = std::env::args().skip(1).filter(|a| a != "--bench").collect();
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    let number = |k: usize, default: f64| args.get(k).map_or(default, |a| a.parse().expect("a number"));
    LocalSet::new().block_on(&runtime, async {
        match args.first().map(String::as_str) {
            Some("upstream") => serve(None).await,
            Some("relay") => serve(Some(args[1].parse().expect("an address"))).await,
            _ => measure(number(0, 2.0), number(1, 5.0) as usize, args.get(2).map(String::as_str)).await,
        }
    });
}
