//! Codec of the simulator's wire protocol: decodes batches and encodes replies. Every read is bounds-checked, and
//! errors state the reason and the place.
use balancer::{
    Action, AttemptOutcome, Availability, Event, Member, Membership, Millis, Request, RequestId, UpstreamId,
};
use std::fmt;
use std::io::{self, Read};
use std::ops::Range;

/// Maximum size of a frame in bytes. A larger stated size is an error and allocates nothing.
pub const MAX_FRAME_SIZE: usize = 256 << 20;
/// Size of the header of a batch, in bytes.
const BATCH_HEADER_SIZE: usize = 20;
/// Size of the header of a reply, in bytes.
const REPLY_HEADER_SIZE: usize = 12;
/// Size of a record of a batch, in bytes.
const EVENT_SIZE: usize = 48;
/// Size of a record of a reply, in bytes.
const ACTION_SIZE: usize = 24;
/// Size of an entry of a table, in bytes.
const ENTRY_SIZE: usize = 24;
/// Maximum number of bytes read at once, so that memory use follows the data that arrives.
const READ_CHUNK_SIZE: usize = 1 << 20;

/// Error in the input, with its place.
#[derive(Debug)]
pub enum WireError {
    /// Reading the input failed.
    Io(io::Error),
    /// The input ended inside a frame.
    Truncated { batch: u64, wanted: usize, got: usize },
    /// A frame header is invalid.
    Header { batch: u64, text: String },
    /// A record is invalid.
    Record { batch: u64, record: usize, text: String },
}

impl fmt::Display for WireError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            WireError::Io(e) => write!(f, "reading standard input: {e}"),
            WireError::Truncated { batch, wanted, got } => {
                write!(f, "frame {batch}: input ended after {got} of {wanted} bytes")
            }
            WireError::Header { batch, text } => write!(f, "frame {batch}: header: {text}"),
            WireError::Record { batch, record, text } => write!(f, "frame {batch}, record {record}: {text}"),
        }
    }
}

impl std::error::Error for WireError {}

/// List of upstreams, as a `table` record carries it.
pub type Table = Vec<Member>;

/// Record of a batch.
#[derive(Debug, PartialEq)]
pub enum Record {
    /// Selects the instance that the next records belong to.
    Target(u16),
    /// Starts an instance with settings that are at this range of the batch's tail.
    Configure { seed: u64, settings_range: Range<usize> },
    /// Removes an instance that was killed.
    Destroy,
    /// Stores a list under a number, for all instances of the process.
    Table { number: u32, members: Table },
    /// Updates the list of upstreams of an instance from a stored table.
    Sync { kind: u8, table: u32 },
    /// Any other event that the balancer handles.
    Event(Event),
    /// A valid record that the balancer does not use.
    Ignored,
}

/// Decoded batch.
#[derive(Debug)]
pub struct Batch {
    /// Time of the batch on the simulator's clock, in milliseconds.
    pub now: Millis,
    /// Number of the batch, which the reply repeats.
    pub number: u32,
    /// Records in order.
    pub records: Vec<Record>,
    /// Variable-size data that records refer to.
    pub tail: Vec<u8>,
}

fn take<const N: usize>(bytes: &[u8], offset: usize) -> [u8; N] {
    let mut out = [0; N];
    out.copy_from_slice(&bytes[offset..offset + N]);
    out
}
fn u16_at(bytes: &[u8], offset: usize) -> u16 {
    u16::from_be_bytes(take(bytes, offset))
}
fn u32_at(bytes: &[u8], offset: usize) -> u32 {
    u32::from_be_bytes(take(bytes, offset))
}
fn u64_at(bytes: &[u8], offset: usize) -> u64 {
    u64::from_be_bytes(take(bytes, offset))
}
fn f64_at(bytes: &[u8], offset: usize) -> f64 {
    f64::from_bits(u64_at(bytes, offset))
}
fn upstream_at(bytes: &[u8], offset: usize) -> UpstreamId {
    UpstreamId((u64::from(u32_at(bytes, offset)) << 16) | u64::from(u16_at(bytes, offset + 4)))
}

/// Reads one frame. Returns `None` if the input ends before its first byte.
pub fn read_frame(input: &mut impl Read, batch: u64) -> Result<Option<Vec<u8>>, WireError> {
    let mut frame = Vec::new();
    fill(input, &mut frame, 4, batch)?;
    if frame.is_empty() {
        return Ok(None);
    }
    let size = u32_at(&frame, 0) as usize;
    if !(BATCH_HEADER_SIZE..=MAX_FRAME_SIZE).contains(&size) {
        let text = format!("stated size of {size} bytes is outside {BATCH_HEADER_SIZE} to {MAX_FRAME_SIZE}");
        return Err(WireError::Header { batch, text });
    }
    fill(input, &mut frame, size, batch)?;
    Ok(Some(frame))
}

/// Reads until `frame` has `wanted` bytes. If the input ends before the first byte of the frame, leaves it empty.
fn fill(input: &mut impl Read, frame: &mut Vec<u8>, wanted: usize, batch: u64) -> Result<(), WireError> {
    while frame.len() < wanted {
        let step = (wanted - frame.len()).min(READ_CHUNK_SIZE) as u64;
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

/// Decodes a complete frame. `batch` is the number of the frame, counted from zero, and is used in errors only.
pub fn decode(frame: &[u8], batch: u64) -> Result<Batch, WireError> {
    let header = |text: String| WireError::Header { batch, text };
    if frame.len() < BATCH_HEADER_SIZE {
        return Err(header(format!("{} bytes are too few for a frame", frame.len())));
    }
    if u32_at(frame, 0) as usize != frame.len() {
        return Err(header(format!(
            "stated size {} does not match the {} bytes received",
            u32_at(frame, 0),
            frame.len()
        )));
    }
    let count = u32_at(frame, 4) as usize;
    let body = frame.len() - BATCH_HEADER_SIZE;
    if count > body / EVENT_SIZE {
        return Err(header(format!("{count} records do not fit into {body} bytes")));
    }
    let now = f64_at(frame, 8);
    if !now.is_finite() {
        return Err(header(format!("the clock is {now}, not a finite number")));
    }
    let tail = &frame[BATCH_HEADER_SIZE + count * EVENT_SIZE..];
    let mut records = Vec::with_capacity(count);
    for index in 0..count {
        let record =
            &frame[BATCH_HEADER_SIZE + index * EVENT_SIZE..BATCH_HEADER_SIZE + (index + 1) * EVENT_SIZE];
        records.push(decode_record(record, tail).map_err(|text| WireError::Record {
            batch,
            record: index,
            text,
        })?);
    }
    Ok(Batch { now, number: u32_at(frame, 16), records, tail: tail.to_vec() })
}

fn tail_range(tail: &[u8], offset: u32, len: u64, field: &str) -> Result<Range<usize>, String> {
    let end = u64::from(offset) + len;
    if end > tail.len() as u64 {
        return Err(format!("{field}: bytes {offset} to {end} lie outside the tail of {}", tail.len()));
    }
    Ok(offset as usize..end as usize)
}

fn finite(value: f64, field: &str) -> Result<f64, String> {
    if value.is_finite() {
        Ok(value)
    } else {
        Err(format!("{field} is {value}, not a finite number"))
    }
}

fn decode_record(record: &[u8], tail: &[u8]) -> Result<Record, String> {
    Ok(match record[0] {
        0 => Record::Event(Event::Timer(u32_at(record, 1))),
        1 => Record::Destroy,
        2 => Record::Sync { kind: record[1], table: u32_at(record, 10) },
        3 | 7 => Record::Ignored,
        4 => {
            let settings_range =
                tail_range(tail, u32_at(record, 9), u64::from(u32_at(record, 13)), "settings")?;
            Record::Configure { seed: u64_at(record, 1), settings_range }
        }
        5 => Record::Event(Event::Request(Request::with_full_worth(
            RequestId(u32_at(record, 1)),
            usize::from(record[5]),
            u32_at(record, 6) as usize,
            finite(f64_at(record, 18), "deadline")?,
        ))),
        6 => {
            let bytes = u64::from(u32_at(record, 9)) * ENTRY_SIZE as u64;
            let range = tail_range(tail, u32_at(record, 5), bytes, "entries")?;
            let members = tail[range].chunks_exact(ENTRY_SIZE).map(decode_entry).collect::<Result<_, _>>()?;
            Record::Table { number: u32_at(record, 1), members }
        }
        8 => Record::Event(Event::AttemptEnded {
            request: RequestId(u32_at(record, 1)),
            attempt: u32::from(u16_at(record, 5)),
            ending: decode_ending(u16_at(record, 13)),
            duration: finite(f64_at(record, 15), "duration")?,
            request_finished: record[23] != 0,
        }),
        9 => Record::Event(Event::ClientGone(RequestId(u32_at(record, 1)))),
        10 => Record::Target(u16_at(record, 1)),
        11 => Record::Event(Event::Streaming {
            request: RequestId(u32_at(record, 1)),
            attempt: u32::from(u16_at(record, 11)),
        }),
        code => return Err(format!("unknown event code {code}")),
    })
}

fn decode_entry(entry: &[u8]) -> Result<Member, String> {
    let availability = match entry[11] {
        3 => Availability::Ready,
        0 => Availability::Draining,
        2 => Availability::Gone,
        other => return Err(format!("unknown availability {other}")),
    };
    let started_at = finite(f64_at(entry, 16), "start time of an upstream")?;
    let (zone, kind, group) = (u16_at(entry, 6), entry[8], u16_at(entry, 9));
    Ok(Member { id: upstream_at(entry, 0), zone, kind, group, availability, started_at })
}

fn decode_ending(code: u16) -> AttemptOutcome {
    match code {
        200 => AttemptOutcome::Ok,
        502 => AttemptOutcome::Error,
        429 => AttemptOutcome::Declined,
        408 => AttemptOutcome::Timeout,
        521 => AttemptOutcome::ConnectFailed,
        520 => AttemptOutcome::Reset,
        444 => AttemptOutcome::Cancelled,
        409 => AttemptOutcome::NotSent,
        _ => AttemptOutcome::Unknown,
    }
}

/// Builds the list update of a `sync` record from the table that it refers to.
pub fn resolve_membership(kind: u8, table: Option<&Table>) -> Result<Membership, String> {
    let members = || table.cloned().ok_or_else(|| "refers to a table that was never sent".to_string());
    Ok(match kind {
        0 => Membership::Full(members()?),
        1 => Membership::Failed,
        2 => Membership::Delta(members()?),
        3 => Membership::Cached(members()?),
        other => return Err(format!("unknown kind of list update {other}")),
    })
}

/// Reply under construction.
#[derive(Default)]
pub struct Reply {
    records: Vec<u8>,
    tail: Vec<u8>,
    count: u32,
}

impl Reply {
    fn push(&mut self, code: u8) -> &mut [u8] {
        let offset = self.records.len();
        self.records.resize(offset + ACTION_SIZE, 0);
        self.records[offset] = code;
        self.count += 1;
        &mut self.records[offset..]
    }

    /// Selects the instance that the next actions belong to.
    pub fn select_instance(&mut self, instance: u16) {
        self.push(8)[1..3].copy_from_slice(&instance.to_be_bytes());
    }

    /// Appends an action.
    pub fn action(&mut self, action: &Action) {
        match action {
            Action::Send { request, upstream, timeout } => {
                let record = self.push(7);
                record[1..5].copy_from_slice(&request.0.to_be_bytes());
                record[5..11].copy_from_slice(&upstream.0.to_be_bytes()[2..]);
                record[11..19].copy_from_slice(&timeout.to_be_bytes());
            }
            Action::Cancel { request, attempt } => {
                let record = self.push(12);
                record[1..5].copy_from_slice(&request.0.to_be_bytes());
                record[5..7].copy_from_slice(&(*attempt as u16).to_be_bytes());
            }
            Action::Refuse { request, retry_after } => {
                let record = self.push(3);
                record[1..5].copy_from_slice(&request.0.to_be_bytes());
                record[5..13].copy_from_slice(&retry_after.to_be_bytes());
            }
            Action::Fail { request } => self.push(1)[1..5].copy_from_slice(&request.0.to_be_bytes()),
            Action::CloseIdle(upstream) => {
                self.push(2)[1..7].copy_from_slice(&upstream.0.to_be_bytes()[2..]);
            }
            Action::Subscribe => self.push(5)[1] = 1,
            Action::SetTimer { after, token } => {
                let record = self.push(10);
                record[1..9].copy_from_slice(&after.to_be_bytes());
                record[9..13].copy_from_slice(&token.to_be_bytes());
            }
            Action::Log(text) => {
                let (offset, len) = (self.tail.len() as u32, text.len() as u32);
                self.tail.extend_from_slice(text.as_bytes());
                let record = self.push(6);
                record[1..5].copy_from_slice(&offset.to_be_bytes());
                record[5..9].copy_from_slice(&len.to_be_bytes());
            }
        }
    }

    /// Returns the encoded frame and clears the reply.
    pub fn finish(&mut self, number: u32) -> Vec<u8> {
        let size = REPLY_HEADER_SIZE + self.records.len() + self.tail.len();
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
