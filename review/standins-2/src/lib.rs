//! Stand-ins and tools for the cases of the second review: a client, upstreams, discovery, and the start of the
//! program as the deploy file states it. Only the standard library is used.
//!
//! Upstreams are processes of their own (`upstream`), so that a crash is the end of a process. They print a line for
//! each request that they begin; the case reads these lines and writes all that happens to its record.
use std::collections::BTreeMap;
use std::fs::File;
use std::io::{self, BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Longest duration of a case. A case that takes longer could not run.
const MAX_CASE: Duration = Duration::from_secs(115);
/// Time in which a balancer has to be ready.
const MAX_START: Duration = Duration::from_secs(30);

/// The record of a case, and its clock.
#[derive(Clone)]
pub struct Record(Arc<(Instant, Mutex<File>)>);

impl Record {
    /// Opens `record.txt` in a folder.
    pub fn open(folder: &Path) -> Record {
        let file = File::create(folder.join("record.txt")).expect("record.txt can be written");
        Record(Arc::new((Instant::now(), Mutex::new(file))))
    }

    /// Time since the start of the case.
    pub fn elapsed(&self) -> Duration {
        self.0 .0.elapsed()
    }

    /// Writes a line with the time in seconds.
    pub fn line(&self, text: &str) {
        let line = format!("{:8.3} {text}\n", self.elapsed().as_secs_f64());
        let _ = self.0 .1.lock().unwrap().write_all(line.as_bytes());
    }
}

/// A request that an upstream began: all of its bytes had come.
#[derive(Clone, Debug)]
pub struct Run {
    pub at: Duration,
    pub upstream: String,
    pub id: String,
    pub key: String,
    /// Time that the balancer told the upstream, in milliseconds.
    pub told_ms: f64,
}

/// A running case.
pub struct Case {
    pub record: Record,
    /// Whether the disruption takes place.
    pub trouble: bool,
    pub folder: PathBuf,
    pub root: PathBuf,
    temp: PathBuf,
    pub runs: Arc<Mutex<Vec<Run>>>,
    without_length: Arc<Mutex<Vec<String>>>,
    children: Arc<Mutex<Vec<(String, Child)>>>,
}

impl Case {
    /// Starts a case. Arguments: its folder. It ends with status 2 when it takes too long.
    pub fn start() -> Case {
        let folder = PathBuf::from(std::env::args().nth(1).expect("the folder of the case is given"));
        let root = folder.join("../..").canonicalize().expect("the root of the project");
        let temp = std::env::temp_dir().join(format!("review-2-{}", std::process::id()));
        std::fs::create_dir_all(&temp).expect("a temporary folder");
        let record = Record::open(&folder);
        let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
        record.line(&format!("start, disruption: {}", if trouble { "yes" } else { "no" }));
        let case = Case {
            record,
            trouble,
            folder,
            root,
            temp,
            runs: Arc::default(),
            without_length: Arc::default(),
            children: Arc::default(),
        };
        let (children, record, temp) = (case.children.clone(), case.record.clone(), case.temp.clone());
        thread::spawn(move || {
            thread::sleep(MAX_CASE);
            record.line("the case took too long");
            end_children(&children);
            let _ = std::fs::remove_dir_all(temp);
            std::process::exit(2);
        });
        // A failed assertion is a case that could not run: it ends what it started.
        let (children, record, temp) = (case.children.clone(), case.record.clone(), case.temp.clone());
        let print = std::panic::take_hook();
        std::panic::set_hook(Box::new(move |info| {
            print(info);
            record.line(&format!("could not run: {info}"));
            end_children(&children);
            let _ = std::fs::remove_dir_all(&temp);
            std::process::exit(2);
        }));
        case
    }

    /// Ends everything, and exits with 1 if the rule was broken, else with 0.
    pub fn finish(self, breaks: usize, verdict: &str) -> ! {
        end_children(&self.children);
        let log = self.temp.join("balancer.log");
        let lines = std::fs::read_to_string(log).unwrap_or_default();
        self.record.line(&format!("the balancer's log:\n{}", lines.trim_end()));
        let _ = std::fs::remove_dir_all(&self.temp);
        let word = if breaks > 0 { "BROKEN" } else { "held" };
        self.record.line(&format!("{word}: {verdict}"));
        println!("{word}: {verdict}");
        std::process::exit(i32::from(breaks > 0));
    }

    /// Starts a process of an upstream, and waits until it listens.
    pub fn upstream(&self, name: &str, addr: SocketAddr, work_ms: u64, options: &[&str]) {
        let program = std::env::current_exe().unwrap().with_file_name("upstream");
        let mut child = Command::new(program)
            .args([name, &addr.to_string(), &work_ms.to_string()])
            .args(options)
            .stdin(Stdio::piped())
            .stdout(Stdio::piped())
            .spawn()
            .expect("the stand-in of an upstream starts");
        let mut lines = BufReader::new(child.stdout.take().unwrap()).lines();
        let first = lines.next().and_then(Result::ok).unwrap_or_default();
        assert!(first == "listening", "upstream {name} on {addr}: {first:?}");
        self.record.line(&format!("upstream {name} listens on {addr}"));
        self.children.lock().unwrap().push((name.into(), child));
        let (record, runs, upstream) = (self.record.clone(), self.runs.clone(), name.to_string());
        let without_length = self.without_length.clone();
        thread::spawn(move || {
            for line in lines.map_while(Result::ok) {
                record.line(&format!("upstream {upstream} {line}"));
                let words: Vec<&str> = line.split(' ').collect();
                if let ["answers", id, "200", "with", "no", "length,", ..] = words[..] {
                    without_length.lock().unwrap().push(id.into());
                }
                if let ["begins", id, key, told_ms] = words[..] {
                    let told_ms = told_ms.parse().unwrap_or(f64::NAN);
                    let (id, key, upstream) = (id.into(), key.into(), upstream.clone());
                    let at = record.elapsed();
                    runs.lock().unwrap().push(Run { at, upstream, id, key, told_ms });
                }
            }
        });
    }

    /// Ids of the requests whose answers had no length and were written whole.
    pub fn answered_without_length(&self) -> Vec<String> {
        self.without_length.lock().unwrap().clone()
    }

    /// Kills a process that this case started.
    pub fn kill(&self, name: &str) {
        let mut children = self.children.lock().unwrap();
        let position = children.iter().position(|(other, _)| other == name).expect("a process of that name");
        let (_, mut child) = children.remove(position);
        let _ = child.kill();
        let _ = child.wait();
        self.record.line(&format!("{name} was killed"));
    }

    /// Memory of a process that this case started, in bytes: its own pages, without those of files that are mapped.
    /// `None`: it has ended.
    pub fn memory(&self, name: &str) -> Option<u64> {
        let id =
            self.children.lock().unwrap().iter().find(|(other, _)| other == name).map(|(_, c)| c.id())?;
        let status = std::fs::read_to_string(format!("/proc/{id}/status")).ok()?;
        let own = status.lines().filter(|line| line.starts_with("RssAnon:") || line.starts_with("RssShmem:"));
        let kib = own.filter_map(|line| line.split_whitespace().nth(1)?.parse::<u64>().ok());
        Some(kib.sum::<u64>() << 10)
    }

    /// Writes the configuration of a balancer.
    pub fn write_config(&self, name: &str, config: &str) -> PathBuf {
        let path = self.temp.join(format!("{name}.json"));
        std::fs::write(&path, config).expect("the configuration can be written");
        path
    }

    /// Starts a balancer by `run` of the deploy file, without waiting for it.
    pub fn start_balancer(&self, name: &str, listen: SocketAddr, discovery: SocketAddr, config: &str) {
        let deploy =
            std::fs::read_to_string(self.root.join("deploy/balancer.toml")).expect("the deploy file");
        let run = deploy.lines().find_map(|line| line.strip_prefix("run = \"")).expect("`run`");
        let run = run.trim_end().trim_end_matches('"').to_string();
        let temp = self.temp.join(format!("tmp-{name}"));
        std::fs::create_dir_all(&temp).expect("a folder");
        let log = File::options().create(true).append(true).open(self.temp.join("balancer.log")).unwrap();
        let child = Command::new("/bin/sh")
            .args(["-c", &run])
            .current_dir(&self.root)
            .env("NODE_NAME", name)
            .env("NODE_LISTEN", listen.to_string())
            .env("NODE_DISCOVERY", discovery.to_string())
            .env("NODE_CONFIG", self.write_config(name, config))
            .env("TMPDIR", &temp)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log)
            .spawn()
            .expect("the balancer starts");
        // For the script, should it be stopped.
        let pids = File::options().create(true).append(true).open(std::env::temp_dir().join("pids"));
        let _ = pids.and_then(|mut pids| writeln!(pids, "{}", child.id()));
        self.record.line(&format!("balancer {name} is started by `{run}`"));
        self.children.lock().unwrap().push((name.into(), child));
    }

    /// Waits until a balancer is ready.
    pub fn wait_ready(&self, name: &str, listen: SocketAddr) {
        let started = Instant::now();
        loop {
            let ready = Client::connect(listen).and_then(|mut client| {
                client.send(b"GET /-/ready HTTP/1.1\r\nHost: b\r\n\r\n")?;
                client.answer(Duration::from_secs(1))
            });
            if ready.is_ok_and(|answer| answer.status == 200) {
                return self.record.line(&format!("balancer {name} is ready"));
            }
            assert!(started.elapsed() < MAX_START, "balancer {name} is not ready");
            thread::sleep(Duration::from_millis(20));
        }
    }
}

fn end_children(children: &Mutex<Vec<(String, Child)>>) {
    let mut children = children.lock().unwrap_or_else(std::sync::PoisonError::into_inner);
    for (_, child) in children.iter_mut() {
        let _ = child.kill();
        let _ = child.wait();
    }
    children.clear();
}

/// An address with a free port.
pub fn free_addr() -> SocketAddr {
    TcpListener::bind("127.0.0.1:0").and_then(|l| l.local_addr()).expect("a free port")
}

/// Unix time in milliseconds.
pub fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis() as u64
}

/// The configuration of a balancer, with the sizes of a small deployment.
pub struct Site<'a> {
    pub name: &'a str,
    pub listen: SocketAddr,
    pub discovery: SocketAddr,
    /// The list that the balancer last had.
    pub known: String,
    /// JSON objects of the classes.
    pub classes: &'a str,
    /// Number of the balancer, and of all balancers.
    pub index: usize,
    pub balancers: usize,
    /// Limits on its memory, in megabytes, and on its descriptors.
    pub memory_mb: u64,
    pub sockets: usize,
}

impl Site<'_> {
    pub fn json(&self) -> String {
        let Site { name, listen, discovery, known, classes, index, balancers, memory_mb, sockets } = self;
        // New with each start.
        let seed = unix_ms().wrapping_mul(0x9e37_79b9_7f4a_7c15) ^ (*index as u64 + 1);
        format!(
            r#"{{"name":"{name}","listen":"{listen}","discovery":"{discovery}","seed":"{seed:016x}",
"limits":{{"cores":1.0,"memory_mb":{memory_mb},"sockets":{sockets}}},"peers":[],"known":{known},
"settings":{{"balancers":{balancers},"index":{index},"domain_type":"chain","membership_mode":"on_request","stage":0,
"tiers":["front","back"],"dcs":["z-1"],"zone":0,"kinds":["std"],"weights":"none","worth_by":"request","tick":5.0,
"classes":[{classes}],
"tenants":[{{"name":"club-a","share":0.5,"quota_per_s":60.0}},{{"name":"club-b","share":0.5,"quota_per_s":60.0}}],
"over_share_worth":0.05,"clients":{{"marks_retry":false}},"family_info":{{"passes_deadline":true}},
"stats":{{"via":"none","columns":[]}},
"permissions":{{"attempts_cap":5,"cancel":true,"second_copies":true,"may_probe":false,"peers":false,
"retry_after":true,"max_retry_after":2000.0,"dial_timeout":250.0,"idle_close":5000.0,"multiplex":1,
"max_open":10000,"cpu_us_per_s":800000,"cpu_us_per_request":0.0}},
"invariants":{{"ask_within":10000.0,"cold_from":0.32,"ramp_time":9000.0,"drain_grace":1000.0,"tip_multiple":4.0,
"fall":1000.0,"grace_to_answer":20.0}}}}}}"#
        )
    }
}

/// Keyed, with repeats dropped by the upstreams of one cell for 4 s.
pub const SIGN_UP: &str = r#"{"name":"sign-up","effect":"guarded","dedup_scope":"cell","repeat_window":4000.0,
"deadline":2500.0,"objective":1000.0,"importance":1.0,"late_worth":0.5,"streaming":false}"#;
/// Unsafe to repeat.
pub const DUES: &str = r#"{"name":"dues","effect":"single_shot","dedup_scope":"all","repeat_window":5000.0,
"deadline":6000.0,"objective":2500.0,"importance":1.0,"late_worth":0.25,"streaming":false}"#;

/// An entry of discovery's list.
#[derive(Clone)]
pub struct Entry {
    pub addr: SocketAddr,
    pub cell: u16,
    pub state: &'static str,
    pub started_ms: u64,
}

#[derive(Default)]
struct List {
    version: u64,
    /// Entries with the version of their last change, those that have left included.
    entries: BTreeMap<String, (u64, Entry)>,
}

impl List {
    fn json(&self, since: Option<u64>) -> String {
        let shown =
            |changed: u64, entry: &Entry| since.map_or(entry.state != "left", |since| changed > since);
        let entries = self.entries.iter().filter(|(_, (changed, entry))| shown(*changed, entry));
        let entries: Vec<String> = entries
            .map(|(id, (_, e))| {
                format!(
                    r#"{{"id":"{id}","addr":"{}","zone":"z-1","kind":"std","cell":{},"state":"{}","weight":1.0,"started_ms":{}}}"#,
                    e.addr, e.cell, e.state, e.started_ms
                )
            })
            .collect();
        let full = since.is_none();
        format!(r#"{{"version":{},"full":{full},"servers":[{}]}}"#, self.version, entries.join(","))
    }
}

/// The queue of discovery, which works through calls in turn.
#[derive(Clone, Copy, Default)]
struct Queue {
    /// When the work that is waiting will be done, if it does not grow.
    free_at: Duration,
    is_down: bool,
}

/// Longest wait of a call in the queue of discovery; it fails then.
const MAX_QUEUE_WAIT: Duration = Duration::from_millis(3000);
/// Work of a call, in the queue of discovery.
const CALL_WORK: Duration = Duration::from_millis(10);

/// Discovery that is asked: the whole list, and watches. Calls are worked through in turn, and fail with 503 when they
/// have waited too long.
#[derive(Clone)]
pub struct Discovery {
    pub addr: SocketAddr,
    state: Arc<(Mutex<List>, Condvar)>,
    queue: Arc<Mutex<Queue>>,
    record: Record,
}

impl Discovery {
    pub fn start(record: &Record) -> Discovery {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let addr = listener.local_addr().unwrap();
        let discovery =
            Discovery { addr, state: Arc::default(), queue: Arc::default(), record: record.clone() };
        let serving = discovery.clone();
        thread::spawn(move || {
            for stream in listener.incoming().map_while(Result::ok) {
                let discovery = serving.clone();
                thread::spawn(move || discovery.serve(stream));
            }
        });
        discovery
    }

    /// Changes an entry; watches are told at once.
    pub fn set(&self, id: &str, entry: Entry) {
        let (list, changed) = &*self.state;
        let mut list = list.lock().unwrap();
        list.version += 1;
        let version = list.version;
        let Entry { addr, cell, state, .. } = entry.clone();
        self.record.line(&format!("discovery version {version}: {id} at {addr}, cell {cell}, is {state}"));
        list.entries.insert(id.into(), (version, entry));
        changed.notify_all();
    }

    /// Discovery goes down, and watches end, or it comes back.
    pub fn set_down(&self, is_down: bool) {
        self.queue.lock().unwrap().is_down = is_down;
        self.record.line(if is_down { "discovery goes down" } else { "discovery is back" });
        self.state.1.notify_all();
    }

    /// The work of other callers that is waiting is this much from now on.
    pub fn set_backlog(&self, backlog: Duration) {
        self.queue.lock().unwrap().free_at = self.record.elapsed() + backlog;
    }

    /// Other callers call whenever less work than this is waiting.
    pub fn keep_backlog(&self, backlog: Duration) {
        let mut queue = self.queue.lock().unwrap();
        queue.free_at = queue.free_at.max(self.record.elapsed() + backlog);
    }

    /// Waits for the turn of a call. `None`: discovery is down; `Some(false)`: it has waited too long.
    fn wait_for_turn(&self) -> Option<bool> {
        let arrived = self.record.elapsed();
        let mut queue = self.queue.lock().unwrap();
        if queue.is_down {
            return None;
        }
        // The wait is known on arrival, since calls are worked through in turn.
        let starts = queue.free_at.max(arrived);
        let is_too_long = starts - arrived > MAX_QUEUE_WAIT;
        if !is_too_long {
            queue.free_at = starts + CALL_WORK;
        }
        drop(queue);
        let until = if is_too_long { arrived + MAX_QUEUE_WAIT } else { starts + CALL_WORK };
        thread::sleep(until.saturating_sub(self.record.elapsed()));
        Some(!is_too_long)
    }

    /// The whole list as JSON.
    pub fn list(&self) -> String {
        self.state.0.lock().unwrap().json(None)
    }

    fn serve(&self, stream: TcpStream) -> Option<()> {
        let mut writer = stream.try_clone().ok()?;
        let mut reader = BufReader::new(stream);
        loop {
            let head = read_head(&mut reader).ok()?;
            let path = head.split(' ').nth(1)?.to_string();
            let number = |name: &str| -> Option<u64> {
                let (_, rest) = path.split_once(&format!("{name}="))?;
                rest.split('&').next()?.parse().ok()
            };
            let arrived = self.record.elapsed();
            if !self.wait_for_turn()? {
                self.record
                    .line(&format!("discovery answers 503 to {path}, which waited since {arrived:.3?}"));
                writer.write_all(b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n").ok()?;
                continue;
            }
            let (list, changed) = &*self.state;
            let body = match number("since") {
                None => list.lock().unwrap().json(None),
                Some(since) => {
                    let wait = Duration::from_millis(number("timeout_ms").unwrap_or(0).min(60_000));
                    let (list, _) = changed
                        .wait_timeout_while(list.lock().unwrap(), wait, |list| {
                            list.version <= since && !self.queue.lock().unwrap().is_down
                        })
                        .unwrap();
                    list.json(Some(since))
                }
            };
            if self.queue.lock().unwrap().is_down {
                return None;
            }
            if body.contains("\"servers\":[{") {
                self.record
                    .line(&format!("discovery answers {path}, which came at {arrived:.3?}, with changes"));
            }
            let answer = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len());
            writer.write_all(answer.as_bytes()).ok()?;
        }
    }
}

/// Reads a head, up to and with the empty line.
pub fn read_head(reader: &mut impl BufRead) -> io::Result<String> {
    let mut head = String::new();
    loop {
        let before = head.len();
        if reader.read_line(&mut head)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        if matches!(&head[before..], "\r\n" | "\n") && before > 0 {
            return Ok(head);
        }
        if matches!(&head[before..], "\r\n" | "\n") {
            head.clear();
        }
    }
}

/// Value of a header.
pub fn header<'a>(head: &'a str, name: &str) -> Option<&'a str> {
    head.lines().skip(1).find_map(|line| {
        let (other, value) = line.split_once(':')?;
        other.trim().eq_ignore_ascii_case(name).then_some(value.trim())
    })
}

/// Reads a body by the framing that its head states; `None`: there is neither a length nor a coding.
pub fn read_body(reader: &mut impl BufRead, head: &str) -> io::Result<Option<Vec<u8>>> {
    if header(head, "transfer-encoding").is_some_and(|coding| coding.eq_ignore_ascii_case("chunked")) {
        let mut body = Vec::new();
        loop {
            let mut size = String::new();
            reader.read_line(&mut size)?;
            let size = usize::from_str_radix(size.trim(), 16).map_err(io::Error::other)?;
            let start = body.len();
            body.resize(start + size, 0);
            io::Read::read_exact(reader, &mut body[start..])?;
            reader.read_line(&mut String::new())?;
            if size == 0 {
                return Ok(Some(body));
            }
        }
    }
    let Some(length) = header(head, "content-length") else { return Ok(None) };
    let mut body = vec![0; length.parse().map_err(io::Error::other)?];
    io::Read::read_exact(reader, &mut body)?;
    Ok(Some(body))
}

/// An answer of a balancer.
#[derive(Clone, Debug)]
pub struct Answer {
    pub status: u16,
    pub closes: bool,
    pub body: Vec<u8>,
}

/// A connection of a client.
pub struct Client {
    writer: TcpStream,
    reader: BufReader<TcpStream>,
}

impl Client {
    pub fn connect(addr: SocketAddr) -> io::Result<Client> {
        let writer = TcpStream::connect_timeout(&addr, Duration::from_secs(1))?;
        writer.set_nodelay(true)?;
        let reader = BufReader::new(writer.try_clone()?);
        Ok(Client { writer, reader })
    }

    pub fn send(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.writer.write_all(bytes)
    }

    /// Reads the next answer; an error if it does not come whole, or not in this time.
    pub fn answer(&mut self, wait: Duration) -> io::Result<Answer> {
        self.writer.set_read_timeout(Some(wait))?;
        let head = read_head(&mut self.reader)?;
        let status = head.split(' ').nth(1).and_then(|s| s.parse().ok()).ok_or(io::ErrorKind::InvalidData)?;
        let body = read_body(&mut self.reader, &head)?.ok_or(io::ErrorKind::InvalidData)?;
        let closes = header(&head, "connection").is_some_and(|v| v.eq_ignore_ascii_case("close"));
        Ok(Answer { status, closes, body })
    }
}

/// A request of a client.
#[derive(Clone)]
pub struct Call {
    pub id: String,
    pub class: &'static str,
    /// Idempotency key; empty: none.
    pub key: String,
    pub deadline_ms: u64,
    pub body: Vec<u8>,
}

static NEXT: AtomicU64 = AtomicU64::new(1);

impl Call {
    /// A request with a new id, and a key if it is keyed.
    pub fn new(class: &'static str, deadline_ms: u64, is_keyed: bool, body_bytes: usize) -> Call {
        let number = NEXT.fetch_add(1, Ordering::SeqCst);
        let key = if is_keyed { format!("5c0f6e1a{number:024x}") } else { String::new() };
        Call { id: format!("{number:016x}"), class, key, deadline_ms, body: vec![b'x'; body_bytes] }
    }

    /// The request as it is sent.
    pub fn bytes(&self) -> Vec<u8> {
        let Call { id, class, key, deadline_ms, body } = self;
        let key = if key.is_empty() { String::new() } else { format!("Idempotency-Key: {key}\r\n") };
        let mut bytes = format!(
            "POST /api HTTP/1.1\r\nHost: service.internal\r\nReq-Id: {id}\r\nReq-Kind: {class}\r\n\
             Req-Owner: club-a\r\nReq-Deadline: {deadline_ms}m\r\n{key}Content-Length: {}\r\n\r\n",
            body.len()
        )
        .into_bytes();
        bytes.extend_from_slice(body);
        bytes
    }
}

/// Word for the status of an answer.
pub fn meaning(status: u16) -> &'static str {
    match status {
        200 => "served",
        429 | 503 => "refused",
        _ => "failed",
    }
}
