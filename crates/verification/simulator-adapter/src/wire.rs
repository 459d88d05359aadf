//! The frame codec: batches in, replies out. Every read is bounds-checked; errors say what and where.
use balancer::{
    Action, Availability, Ending, Event, Member, Membership, Millis, Request, RequestId, UpstreamId,
};
use std::fmt;
use std::io::{self, Read};
use std::ops::Range;

/// Largest frame accepted; a stated size beyond it is an error, not an allocation.
pub const MAX_FRAME: usize = 256 << 20;
const HEADER_IN: usize = 20;
const HEADER_OUT: usize = 12;
const EVENT: usize = 48;
const ACTION: usize = 24;
const ENTRY: usize = 24;
/// How much of a frame is taken from the pipe at once, so that memory follows what arrives.
const CHUNK: usize = 1 << 20;

/// What was wrong with the input, and where.
#[derive(Debug)]
pub enum WireError {
    /// The pipe failed.
    Io(io::Error),
    /// The input ended inside a frame.
    Truncated { batch: u64, wanted: usize, got: usize },
    /// A header that cannot be right.
    Header { batch: u64, what: String },
    /// A record that cannot be right.
    Record { batch: u64, record: usize, what: String },
}

impl fmt::Display for WireError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            WireError::Io(e) => write!(f, "reading standard input: {e}"),
            WireError::Truncated { batch, wanted, got } => {
                write!(f, "frame {batch}: input ended after {got} of {wanted} bytes")
            }
            WireError::Header { batch, what } => write!(f, "frame {batch}: header: {what}"),
            WireError::Record { batch, record, what } => write!(f, "frame {batch}, record {record}: {what}"),
        }
    }
}

impl std::error::Error for WireError {}

/// A list of upstreams as a `table` record carries it.
pub type Table = Vec<Member>;

/// One record of a batch.
#[derive(Debug, PartialEq)]
pub enum Record {
    /// The next records belong to this instance.
    Target(u16),
    /// An instance starts with these settings (a range of the frame's tail).
    Configure { seed: u64, setup: Range<usize> },
    /// An instance was killed.
    Destroy,
    /// A numbered list for the whole process.
    Table { number: u32, members: Table },
    /// News about upstreams, pointing at a table.
    Sync { kind: u8, table: u32 },
    /// Anything else the module handles.
    Event(Event),
    /// A legal record that the module has no use for.
    Skip,
}

/// A decoded batch.
#[derive(Debug)]
pub struct Batch {
    /// The clock.
    pub now: Millis,
    /// The batch number to be echoed.
    pub number: u32,
    /// The records in order.
    pub records: Vec<Record>,
    /// Variable-size data.
    pub tail: Vec<u8>,
}

fn take<const N: usize>(b: &[u8], at: usize) -> [u8; N] {
    let mut out = [0; N];
    out.copy_from_slice(&b[at..at + N]);
    out
}
fn u16_at(b: &[u8], at: usize) -> u16 {
    u16::from_be_bytes(take(b, at))
}
fn u32_at(b: &[u8], at: usize) -> u32 {
    u32::from_be_bytes(take(b, at))
}
fn u64_at(b: &[u8], at: usize) -> u64 {
    u64::from_be_bytes(take(b, at))
}
fn f64_at(b: &[u8], at: usize) -> f64 {
    f64::from_bits(u64_at(b, at))
}
fn upstream_at(b: &[u8], at: usize) -> UpstreamId {
    UpstreamId((u64::from(u32_at(b, at)) << 16) | u64::from(u16_at(b, at + 4)))
}

/// Reads one frame; `None` at a clean end of input.
pub fn read_frame(input: &mut impl Read, batch: u64) -> Result<Option<Vec<u8>>, WireError> {
    let mut frame = Vec::new();
    fill(input, &mut frame, 4, batch)?;
    if frame.is_empty() {
        return Ok(None);
    }
    let size = u32_at(&frame, 0) as usize;
    if !(HEADER_IN..=MAX_FRAME).contains(&size) {
        let what = format!("stated size of {size} bytes is outside {HEADER_IN} to {MAX_FRAME}");
        return Err(WireError::Header { batch, what });
    }
    fill(input, &mut frame, size, batch)?;
    Ok(Some(frame))
}

/// Extends `frame` to `wanted` bytes. An end of input before the first byte leaves it empty.
fn fill(input: &mut impl Read, frame: &mut Vec<u8>, wanted: usize, batch: u64) -> Result<(), WireError> {
    while frame.len() < wanted {
        let step = (wanted - frame.len()).min(CHUNK) as u64;
        let got = input.take(step).read_to_end(frame).map_err(WireError::Io)?;
        if got == 0 {
            if frame.is_empty() {
                return Ok(());
            }
            return Err(WireError::Truncated { batch, wanted, got: frame.len() });
        }
    }
    Ok(())
}

/// Decodes a whole frame. `batch` counts frames from zero, for messages only.
pub fn decode(frame: &[u8], batch: u64) -> Result<Batch, WireError> {
    let header = |what: String| WireError::Header { batch, what };
    if frame.len() < HEADER_IN {
        return Err(header(format!("{} bytes are too few for a frame", frame.len())));
    }
    if u32_at(frame, 0) as usize != frame.len() {
        return Err(header(format!(
            "stated size {} is not the {} bytes at hand",
            u32_at(frame, 0),
            frame.len()
        )));
    }
    let count = u32_at(frame, 4) as usize;
    let body = frame.len() - HEADER_IN;
    if count > body / EVENT {
        return Err(header(format!("{count} records do not fit into {body} bytes")));
    }
    let now = f64_at(frame, 8);
    if !now.is_finite() {
        return Err(header(format!("the clock reads {now}")));
    }
    let tail = &frame[HEADER_IN + count * EVENT..];
    let mut records = Vec::with_capacity(count);
    for i in 0..count {
        let r = &frame[HEADER_IN + i * EVENT..HEADER_IN + (i + 1) * EVENT];
        records.push(decode_record(r, tail).map_err(|what| WireError::Record { batch, record: i, what })?);
    }
    Ok(Batch { now, number: u32_at(frame, 16), records, tail: tail.to_vec() })
}

fn span(tail: &[u8], offset: u32, len: u64, what: &str) -> Result<Range<usize>, String> {
    let end = u64::from(offset) + len;
    if end > tail.len() as u64 {
        return Err(format!("{what}: bytes {offset} to {end} lie outside the tail of {}", tail.len()));
    }
    Ok(offset as usize..end as usize)
}

fn finite(v: f64, what: &str) -> Result<f64, String> {
    if v.is_finite() {
        Ok(v)
    } else {
        Err(format!("{what} reads {v}"))
    }
}

fn decode_record(r: &[u8], tail: &[u8]) -> Result<Record, String> {
    Ok(match r[0] {
        0 => Record::Event(Event::Timer(u32_at(r, 1))),
        1 => Record::Destroy,
        2 => Record::Sync { kind: r[1], table: u32_at(r, 10) },
        3 | 7 => Record::Skip,
        4 => {
            let setup = span(tail, u32_at(r, 9), u64::from(u32_at(r, 13)), "settings")?;
            Record::Configure { seed: u64_at(r, 1), setup }
        }
        5 => Record::Event(Event::Request(Request::plain(
            RequestId(u32_at(r, 1)),
            usize::from(r[5]),
            u32_at(r, 6) as usize,
            finite(f64_at(r, 18), "deadline")?,
        ))),
        6 => {
            let bytes = u64::from(u32_at(r, 9)) * ENTRY as u64;
            let range = span(tail, u32_at(r, 5), bytes, "entries")?;
            let members = tail[range].chunks_exact(ENTRY).map(decode_entry).collect::<Result<_, _>>()?;
            Record::Table { number: u32_at(r, 1), members }
        }
        8 => Record::Event(Event::Outcome {
            request: RequestId(u32_at(r, 1)),
            attempt: u32::from(u16_at(r, 5)),
            ending: ending(u16_at(r, 13)),
            duration: finite(f64_at(r, 15), "duration")?,
            closed: r[23] != 0,
        }),
        9 => Record::Event(Event::ClientGone(RequestId(u32_at(r, 1)))),
        10 => Record::Target(u16_at(r, 1)),
        11 => Record::Event(Event::Streaming {
            request: RequestId(u32_at(r, 1)),
            attempt: u32::from(u16_at(r, 11)),
        }),
        code => return Err(format!("unknown event code {code}")),
    })
}

fn decode_entry(e: &[u8]) -> Result<Member, String> {
    let availability = match e[11] {
        3 => Availability::Ready,
        0 => Availability::Draining,
        2 => Availability::Gone,
        other => return Err(format!("unknown availability {other}")),
    };
    let since = finite(f64_at(e, 16), "start time of an upstream")?;
    let (zone, kind, group) = (u16_at(e, 6), e[8], u16_at(e, 9));
    Ok(Member { id: upstream_at(e, 0), zone, kind, group, availability, since })
}

fn ending(code: u16) -> Ending {
    match code {
        200 => Ending::Ok,
        502 => Ending::Error,
        429 => Ending::Full,
        408 => Ending::Timeout,
        521 => Ending::ConnectFailed,
        520 => Ending::Reset,
        444 => Ending::Cancelled,
        409 => Ending::Moot,
        _ => Ending::Unknown,
    }
}

/// Resolves what a `sync` record says against the table it points at.
pub fn membership(kind: u8, table: Option<&Table>) -> Result<Membership, String> {
    let list = || table.cloned().ok_or_else(|| "points at a table that was never sent".to_string());
    Ok(match kind {
        0 => Membership::Full(list()?),
        1 => Membership::Failed,
        2 => Membership::Delta(list()?),
        3 => Membership::Cached(list()?),
        other => return Err(format!("unknown kind of news {other}")),
    })
}

/// A reply being put together.
#[derive(Default)]
pub struct Reply {
    records: Vec<u8>,
    tail: Vec<u8>,
    count: u32,
}

impl Reply {
    fn record(&mut self, code: u8) -> &mut [u8] {
        let at = self.records.len();
        self.records.resize(at + ACTION, 0);
        self.records[at] = code;
        self.count += 1;
        &mut self.records[at..]
    }

    /// Names the instance that the next actions belong to.
    pub fn at(&mut self, instance: u16) {
        self.record(8)[1..3].copy_from_slice(&instance.to_be_bytes());
    }

    /// Adds one action.
    pub fn action(&mut self, action: &Action) {
        match action {
            Action::Send { request, upstream, timeout } => {
                let r = self.record(7);
                r[1..5].copy_from_slice(&request.0.to_be_bytes());
                r[5..11].copy_from_slice(&upstream.0.to_be_bytes()[2..]);
                r[11..19].copy_from_slice(&timeout.to_be_bytes());
            }
            Action::Cancel { request, attempt } => {
                let r = self.record(12);
                r[1..5].copy_from_slice(&request.0.to_be_bytes());
                r[5..7].copy_from_slice(&(*attempt as u16).to_be_bytes());
            }
            Action::Refuse { request, retry_after } => {
                let r = self.record(3);
                r[1..5].copy_from_slice(&request.0.to_be_bytes());
                r[5..13].copy_from_slice(&retry_after.to_be_bytes());
            }
            Action::Fail { request } => self.record(1)[1..5].copy_from_slice(&request.0.to_be_bytes()),
            Action::CloseIdle(upstream) => {
                self.record(2)[1..7].copy_from_slice(&upstream.0.to_be_bytes()[2..]);
            }
            Action::Subscribe => self.record(5)[1] = 1,
            Action::SetTimer { after, token } => {
                let r = self.record(10);
                r[1..9].copy_from_slice(&after.to_be_bytes());
                r[9..13].copy_from_slice(&token.to_be_bytes());
            }
            Action::Log(text) => {
                let (offset, len) = (self.tail.len() as u32, text.len() as u32);
                self.tail.extend_from_slice(text.as_bytes());
                let r = self.record(6);
                r[1..5].copy_from_slice(&offset.to_be_bytes());
                r[5..9].copy_from_slice(&len.to_be_bytes());
            }
        }
    }

    /// The finished frame; the reply is empty again afterwards.
    pub fn finish(&mut self, number: u32) -> Vec<u8> {
        let size = HEADER_OUT + self.records.len() + self.tail.len();
        let mut frame = Vec::with_capacity(size);
        frame.extend_from_slice(&(size as u32).to_be_bytes());
        frame.extend_from_slice(&self.count.to_be_bytes());
        frame.extend_from_slice(&number.to_be_bytes());
        frame.append(&mut self.records);
        frame.append(&mut self.tail);
        self.count = 0;
        frame
    }
}

#[cfg(test)]
mod tests;
