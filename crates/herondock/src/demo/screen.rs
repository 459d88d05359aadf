//! Output of the demo while it runs: a live table on a terminal, plain lines elsewhere.
use super::tally::Count;
use std::collections::VecDeque;
use std::fmt::Write as _;
use std::io::{self, IsTerminal, Write};
use std::time::Duration;

/// Row of a balancer.
pub struct BalancerRow {
    /// Name shown in the row.
    pub name: String,
    /// State shown in the row.
    pub state: &'static str,
    /// Outcomes of the requests that the balancer received.
    pub count: Count,
    /// Resident memory, in bytes.
    pub memory: u64,
}

/// Row of an upstream.
pub struct UpstreamRow {
    /// Name shown in the row.
    pub name: String,
    /// Group of the upstream.
    pub group: u32,
    /// State shown in the row.
    pub state: &'static str,
    /// Number of requests in progress.
    pub busy: usize,
    /// Number of requests that the upstream has started to execute.
    pub executed: u64,
}

/// Row of a tenant; counts are of operations.
pub struct ClubRow {
    /// Name shown in the row.
    pub name: &'static str,
    /// Operations whose final outcome was an answer.
    pub served: u64,
    /// Operations whose final outcome was a refusal.
    pub refused: u64,
    /// Operations whose final outcome was a failure.
    pub failed: u64,
    /// Latency at the percentiles 50 and 99, in milliseconds.
    pub percentiles: [f64; 2],
}

/// State of the demo.
#[derive(Default)]
pub struct View {
    /// Balancers.
    pub balancers: Vec<BalancerRow>,
    /// Upstreams.
    pub upstreams: Vec<UpstreamRow>,
    /// Tenants.
    pub clubs: Vec<ClubRow>,
}

/// Number of the latest events that the table shows.
const MAX_EVENTS: usize = 8;
/// Interval between plain status lines.
const PLAIN_INTERVAL: Duration = Duration::from_secs(2);

enum Form {
    /// No output but the report.
    Silent,
    Plain,
    /// A table on the terminal, with the number of lines that it has now.
    Table(usize),
}

/// Output of the running demo.
pub struct Screen {
    form: Form,
    length: Duration,
    events: VecDeque<String>,
    /// Plain lines to print at the next call of `draw`.
    lines: Vec<String>,
    last_status: Duration,
}

/// Writes to standard output. `println!` would panic if standard output is closed.
pub fn print(text: &str) -> io::Result<()> {
    let mut out = io::stdout().lock();
    out.write_all(text.as_bytes())?;
    out.flush()
}

impl Screen {
    /// Creates the output of a run of this length.
    pub fn new(json: bool, length: Duration) -> Screen {
        let form = match (json, io::stdout().is_terminal()) {
            (true, _) => Form::Silent,
            (_, true) => Form::Table(0),
            _ => Form::Plain,
        };
        Screen { form, length, events: VecDeque::new(), lines: Vec::new(), last_status: Duration::ZERO }
    }

    /// Adds an event.
    pub fn event(&mut self, elapsed: Duration, line: &str) {
        let line = format!("{:5.1} s  {line}", elapsed.as_secs_f64());
        match self.form {
            Form::Silent => {}
            Form::Plain => self.lines.push(line),
            Form::Table(_) => {
                self.events.push_back(line);
                if self.events.len() > MAX_EVENTS {
                    self.events.pop_front();
                }
            }
        }
    }

    /// Shows the current state.
    pub fn draw(&mut self, elapsed: Duration, view: &View) -> io::Result<()> {
        match &mut self.form {
            Form::Silent => Ok(()),
            Form::Plain => {
                if self.last_status.is_zero()
                    || elapsed >= self.last_status + PLAIN_INTERVAL
                    || elapsed >= self.length
                {
                    self.last_status = elapsed.max(Duration::from_millis(1));
                    self.lines.push(plain(elapsed, view));
                }
                let text: String = self.lines.drain(..).map(|line| line + "\n").collect();
                print(&text)
            }
            Form::Table(lines) => {
                let table = table(elapsed, self.length, view, &self.events);
                // Moves the cursor to the first line of the last table and clears the screen from there.
                let up = if *lines > 0 { format!("\x1b[{lines}A\r\x1b[J") } else { String::new() };
                *lines = table.lines().count();
                print(&format!("{up}{table}"))
            }
        }
    }
}

fn plain(elapsed: Duration, view: &View) -> String {
    let count = view.balancers.iter().fold(Count::default(), |sum, b| sum.plus(b.count));
    let up = view.balancers.iter().filter(|b| b.state == "serving").count();
    format!(
        "{:5.1} s  served {} refused {} failed {} open {}, {up} of {} balancers serve",
        elapsed.as_secs_f64(),
        count.served,
        count.refused,
        count.failed,
        count.open,
        view.balancers.len()
    )
}

/// The table; no line is wider than 79 characters.
fn table(elapsed: Duration, length: Duration, view: &View, events: &VecDeque<String>) -> String {
    let mut text = String::new();
    let mut line = |line: std::fmt::Arguments| {
        let line: String = line.to_string().chars().take(79).collect();
        // Writing to a string can't fail.
        let _ = writeln!(text, "{}", line.trim_end());
    };
    line(format_args!("herondock demo, {:.0} s of {:.0} s", elapsed.as_secs_f64(), length.as_secs_f64()));
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
