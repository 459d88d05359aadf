//! What the demo shows while it runs: a live table on a terminal, plain lines elsewhere.
use super::tally::Count;
use std::collections::VecDeque;
use std::fmt::Write as _;
use std::io::{self, IsTerminal, Write};
use std::time::Duration;

/// A row for each balancer.
pub struct BalancerRow {
    /// Its name.
    pub name: String,
    /// What it does.
    pub state: &'static str,
    /// What came of the requests that it took.
    pub count: Count,
    /// Bytes that it holds.
    pub memory: u64,
}

/// A row for each upstream.
pub struct UpstreamRow {
    /// Its name.
    pub name: String,
    /// Its group.
    pub group: u32,
    /// What it does.
    pub state: &'static str,
    /// Requests that it holds.
    pub busy: usize,
    /// Requests that it began.
    pub executed: u64,
}

/// A row for each club, in operations.
pub struct ClubRow {
    /// Its name.
    pub name: &'static str,
    /// Served in the end.
    pub served: u64,
    /// Refused in the end.
    pub refused: u64,
    /// Failed in the end.
    pub failed: u64,
    /// Milliseconds at 50 and at 99 of 100.
    pub percentiles: [f64; 2],
}

/// How things stand.
#[derive(Default)]
pub struct View {
    /// The balancers.
    pub balancers: Vec<BalancerRow>,
    /// The upstreams.
    pub upstreams: Vec<UpstreamRow>,
    /// The clubs.
    pub clubs: Vec<ClubRow>,
}

/// Events that the table shows.
const EVENTS: usize = 8;
/// How often a plain line tells how things stand.
const PLAIN: Duration = Duration::from_secs(2);

enum Form {
    /// Nothing but the report.
    Silent,
    Plain,
    /// A table of so many lines stands on the terminal.
    Table(usize),
}

/// Where the demo is shown.
pub struct Screen {
    form: Form,
    length: Duration,
    events: VecDeque<String>,
    /// Plain lines that wait for the next drawing.
    lines: Vec<String>,
    told: Duration,
}

/// Writes to standard output; `println!` would panic when nobody reads it.
pub fn print(text: &str) -> io::Result<()> {
    let mut out = io::stdout().lock();
    out.write_all(text.as_bytes())?;
    out.flush()
}

impl Screen {
    /// A screen for a run of this length.
    pub fn new(json: bool, length: Duration) -> Screen {
        let form = match (json, io::stdout().is_terminal()) {
            (true, _) => Form::Silent,
            (_, true) => Form::Table(0),
            _ => Form::Plain,
        };
        Screen { form, length, events: VecDeque::new(), lines: Vec::new(), told: Duration::ZERO }
    }

    /// Notes that something happened.
    pub fn event(&mut self, at: Duration, line: &str) {
        let line = format!("{:5.1} s  {line}", at.as_secs_f64());
        match self.form {
            Form::Silent => {}
            Form::Plain => self.lines.push(line),
            Form::Table(_) => {
                self.events.push_back(line);
                if self.events.len() > EVENTS {
                    self.events.pop_front();
                }
            }
        }
    }

    /// Shows how things stand.
    pub fn draw(&mut self, at: Duration, view: &View) -> io::Result<()> {
        match &mut self.form {
            Form::Silent => Ok(()),
            Form::Plain => {
                if self.told.is_zero() || at >= self.told + PLAIN || at >= self.length {
                    self.told = at.max(Duration::from_millis(1));
                    self.lines.push(plain(at, view));
                }
                let text: String = self.lines.drain(..).map(|line| line + "\n").collect();
                print(&text)
            }
            Form::Table(lines) => {
                let table = table(at, self.length, view, &self.events);
                // Up to where the last table began, and clear from there.
                let up = if *lines > 0 { format!("\x1b[{lines}A\r\x1b[J") } else { String::new() };
                *lines = table.lines().count();
                print(&format!("{up}{table}"))
            }
        }
    }
}

fn plain(at: Duration, view: &View) -> String {
    let count = view.balancers.iter().fold(Count::default(), |sum, b| sum.plus(b.count));
    let up = view.balancers.iter().filter(|b| b.state == "serving").count();
    format!(
        "{:5.1} s  served {} refused {} failed {} open {}, {up} of {} balancers serve",
        at.as_secs_f64(),
        count.served,
        count.refused,
        count.failed,
        count.open,
        view.balancers.len()
    )
}

/// The table; no line is wider than 79 characters.
fn table(at: Duration, length: Duration, view: &View, events: &VecDeque<String>) -> String {
    let mut text = String::new();
    let mut line = |line: std::fmt::Arguments| {
        let line: String = line.to_string().chars().take(79).collect();
        // Writing to a string can't fail.
        let _ = writeln!(text, "{}", line.trim_end());
    };
    line(format_args!("herondock demo, {:.0} s of {:.0} s", at.as_secs_f64(), length.as_secs_f64()));
    line(format_args!(""));
    line(format_args!("balancer  state       served  refused  failed    open   memory"));
    for b in &view.balancers {
        let Count { served, refused, failed, open } = b.count;
        let (name, state, mb) = (&b.name, b.state, b.memory as f64 / 1e6);
        line(format_args!(
            "{name:<8}  {state:<8}  {served:>8} {refused:>8} {failed:>7} {open:>7} {mb:>5.1} MB"
        ));
    }
    line(format_args!(""));
    line(format_args!("upstream  group  state      requests  at work"));
    for u in &view.upstreams {
        let bar = "#".repeat(u.busy.min(30));
        let UpstreamRow { name, group, state, executed, .. } = u;
        line(format_args!("{name:<8}  {group:<5}  {state:<8} {executed:>10}  {bar}"));
    }
    line(format_args!(""));
    line(format_args!("club                served  refused  failed   p50 ms   p99 ms"));
    for c in &view.clubs {
        let ClubRow { name, served, refused, failed, percentiles: [p50, p99] } = c;
        line(format_args!("{name:<16}  {served:>8} {refused:>8} {failed:>7} {p50:>8.0} {p99:>8.0}"));
    }
    line(format_args!(""));
    for event in events {
        line(format_args!("{event}"));
    }
    text
}

#[cfg(test)]
mod tests;
