//! The side that makes requests: one connection to an application.
//!
//! An id is used again only once the application has ended what it stood for: until then, something of the old request
//! may still come. Whatever comes for an id that nothing stands for makes the connection useless, for it can't be told
//! what else of it is wrong.
use crate::cgi::{self, Head};
use crate::outgoing::{Cancelled, Outgoing, Tail};
use crate::pairs::{self, Pair};
use crate::record::{self, kind, Decoder, Header, Piece, Protocol, RESPONDER};
use crate::server::joined;
use crate::{Error, Fault, Limits};
use bytes::{Buf, BufMut, Bytes, BytesMut};
use std::collections::BTreeMap;

/// How a request ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// Answered whole: the head, and the body behind it.
    Answered(Head, Bytes),
    /// The application says that it did not begin: overloaded, unable to multiplex, without the role.
    Refused(Protocol),
    /// It ended without an answer that can be used; it may have run. Its status for the application, and why.
    Useless(u32, &'static str),
}

/// What has come.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// A request has ended.
    Ended(u16, Outcome),
    /// The application tells of itself.
    Values(Vec<Pair>),
    /// The application does not know a type of record that was written for the connection itself.
    Unknown,
}

struct InFlightRequest {
    parts: Vec<Bytes>,
    size: usize,
    errors: usize,
    /// Its output has ended.
    closed: bool,
    /// Why its answer can't be used.
    bad: Option<&'static str>,
    /// Nobody waits for it any more; only its end is waited for.
    aborted: bool,
}

/// See the module's page.
pub struct Client {
    limits: Limits,
    decoder: Decoder,
    open: BTreeMap<u16, InFlightRequest>,
    current: Option<Header>,
    small: BytesMut,
    outgoing: Outgoing,
}

impl Client {
    /// A connection that nothing has been written to.
    pub fn new(limits: Limits) -> Client {
        let (decoder, small) = (Decoder::default(), BytesMut::new());
        Client { limits, decoder, open: BTreeMap::new(), current: None, small, outgoing: Outgoing::default() }
    }

    /// Requests that have not ended, those that were called off included.
    pub fn open(&self) -> usize {
        self.open.len()
    }

    /// Whether another request may begin.
    pub fn has_capacity(&self) -> bool {
        self.open.len() < self.limits.requests.min(usize::from(u16::MAX))
    }

    /// Whether part of a record has come.
    pub fn is_mid_record(&self) -> bool {
        self.decoder.midway()
    }

    /// Asks the application whether it takes several requests at once (`FCGI_MPXS_CONNS`), and how many.
    pub fn query_capabilities(&mut self) {
        let (mut body, mut out) = (BytesMut::new(), BytesMut::new());
        for name in ["FCGI_MPXS_CONNS", "FCGI_MAX_REQS"] {
            pairs::write(&mut body, name.as_bytes(), b"");
        }
        record::write(&mut out, kind::GET_VALUES, 0, &body);
        self.outgoing.own(out.freeze());
    }

    /// Begins a request, to be written by turns: its id. `None`: as many are open as may be.
    pub fn begin<'a>(
        &mut self,
        params: impl Iterator<Item = (&'a [u8], &'a [u8])>,
        body: Bytes,
        keep: bool,
    ) -> Option<u16> {
        if !self.has_capacity() {
            return None;
        }
        let id = (1..=u16::MAX).find(|id| !self.open.contains_key(id))?;
        let mut head = BytesMut::with_capacity(1024);
        record::write(&mut head, kind::BEGIN, id, &record::begin_body(RESPONDER, keep));
        let mut all = BytesMut::with_capacity(1024);
        params.for_each(|(name, value)| pairs::write(&mut all, name, value));
        record::write(&mut head, kind::PARAMS, id, &all);
        record::end(&mut head, kind::PARAMS, id);
        self.outgoing.stream(id, head, kind::STDIN, body, Tail::Close);
        let out = InFlightRequest {
            parts: Vec::new(),
            size: 0,
            errors: 0,
            closed: false,
            bad: None,
            aborted: false,
        };
        self.open.insert(id, out);
        Some(id)
    }

    /// Calls a request off. One of which nothing was written is over; the id of another stays taken until the
    /// application has ended it, and `true` says so.
    pub fn abort(&mut self, id: u16) -> bool {
        let Some(open) = self.open.get_mut(&id).filter(|o| !o.aborted) else { return false };
        if self.outgoing.cancel(id) == Cancelled::Unbegun {
            self.open.remove(&id);
            return false;
        }
        (open.aborted, open.parts) = (true, Vec::new());
        let mut out = BytesMut::new();
        record::end(&mut out, kind::ABORT, id);
        self.outgoing.own(out.freeze());
        true
    }

    /// Requests that were called off and have not ended.
    pub fn aborted_requests(&self) -> usize {
        self.open.values().filter(|o| o.aborted).count()
    }

    /// Whether the last byte of an open request was taken to be written: until then its application can't have begun,
    /// if it reads its input whole.
    pub fn is_fully_written(&self, id: u16) -> bool {
        !self.outgoing.has_unsent(id)
    }

    /// Whether there is a request of which nothing was made ready yet.
    pub fn has_unstarted_request(&self) -> bool {
        self.outgoing.unbegun()
    }

    /// Makes more ready to be written, once all that was ready has been taken. A request begins only where `may_begin`
    /// allows it, asked right before its first byte; one that may not is over, and is `unsent`.
    pub fn fill(&mut self, may_begin: impl FnMut(u16) -> bool, unsent: &mut Vec<u16>) {
        // What was written whole is known by what is not held any more.
        self.outgoing.done();
        let before = unsent.len();
        self.outgoing.fill(may_begin, unsent);
        for id in &unsent[before..] {
            self.open.remove(id);
        }
    }

    /// What is ready to be written.
    pub fn outgoing(&mut self) -> &mut Outgoing {
        &mut self.outgoing
    }

    /// All that is to be written, at once.
    pub fn drain(&mut self) -> Bytes {
        let mut out = BytesMut::new();
        loop {
            self.fill(|_| true, &mut Vec::new());
            if !self.outgoing.has_remaining() {
                return out.freeze();
            }
            out.put(&mut self.outgoing);
        }
    }

    /// Takes bytes that have come.
    ///
    /// # Errors
    /// What can't be read any further: no request that is open can be answered on this connection.
    pub fn receive(&mut self, mut input: Bytes, events: &mut Vec<Event>) -> Result<(), Error> {
        while let Some(piece) = self.decoder.next(&mut input)? {
            match piece {
                Piece::Begin(header) => self.begins(header)?,
                Piece::Body(bytes) => self.body(bytes),
                Piece::End(header) => self.ends(header, events),
            }
        }
        Ok(())
    }

    fn begins(&mut self, header: Header) -> Result<(), Error> {
        let Header { kind, id, length, .. } = header;
        self.small.clear();
        self.current = Some(header);
        let at = self.decoder.began();
        let fault = |what| Err(Error { at, what });
        match kind {
            kind::GET_VALUES_RESULT | kind::UNKNOWN_TYPE if id == 0 => Ok(()),
            kind::END | kind::STDOUT | kind::STDERR => match self.open.get(&id) {
                // Also of a stream that has ended: what it belongs to can't be told.
                Some(open) if !(kind == kind::STDOUT && open.closed) => match (kind, length) {
                    (kind::END, n) if n != 8 => fault(Fault::Length { kind, length }),
                    _ => Ok(()),
                },
                _ => fault(Fault::Id { kind, id }),
            },
            _ => fault(Fault::Unexpected(kind)),
        }
    }

    fn body(&mut self, bytes: Bytes) {
        let Some(Header { kind, id, .. }) = self.current else { return };
        let limits = self.limits;
        match (kind, self.open.get_mut(&id)) {
            (kind::STDOUT, Some(open)) => {
                if open.aborted || open.bad.is_some() {
                } else if open.size + bytes.len() > limits.head + limits.body {
                    (open.bad, open.parts) = (Some("its answer is too large"), Vec::new());
                } else {
                    open.size += bytes.len();
                    open.parts.push(bytes);
                }
            }
            (kind::STDERR, Some(open)) => open.errors = open.errors.saturating_add(bytes.len()),
            _ => {
                // A begin or an end is kept whole, however little the host allows.
                let room = limits.params.max(8).saturating_sub(self.small.len());
                self.small.extend_from_slice(&bytes[..bytes.len().min(room)]);
            }
        }
    }

    fn ends(&mut self, header: Header, events: &mut Vec<Event>) {
        let Header { kind, id, length, .. } = header;
        match kind {
            kind::STDOUT if length == 0 => {
                if let Some(open) = self.open.get_mut(&id) {
                    open.closed = true;
                }
            }
            kind::END => {
                // What is still to be written of it is of no use to anybody.
                self.outgoing.cancel(id);
                let Some(open) = self.open.remove(&id).filter(|o| !o.aborted) else { return };
                let small = &self.small;
                let application = u32::from_be_bytes([small[0], small[1], small[2], small[3]]);
                events.push(Event::Ended(id, self.outcome(open, application, Protocol::of(small[4]))));
            }
            kind::GET_VALUES_RESULT => {
                let values = pairs::read(self.small.split().freeze(), self.limits.pairs).unwrap_or_default();
                events.push(Event::Values(values));
            }
            kind::UNKNOWN_TYPE => events.push(Event::Unknown),
            _ => {}
        }
    }

    fn outcome(&self, open: InFlightRequest, application: u32, protocol: Protocol) -> Outcome {
        match protocol {
            Protocol::Complete => {}
            // One that has written something has begun, whatever it says.
            Protocol::Other(_) => return Outcome::Useless(application, "its end has no known status"),
            refused if open.size == 0 && open.errors == 0 && open.bad.is_none() => {
                return Outcome::Refused(refused)
            }
            _ => return Outcome::Useless(application, "it refused what it had begun"),
        }
        if let Some(why) = open.bad {
            return Outcome::Useless(application, why);
        }
        if open.size == 0 {
            return Outcome::Useless(application, "it wrote nothing");
        }
        let output = joined(open.parts, open.size);
        match cgi::read(&output, self.limits.head) {
            Ok(head) if output.len() - head.length <= self.limits.body => {
                let body = output.slice(head.length..);
                Outcome::Answered(head, body)
            }
            Ok(_) => Outcome::Useless(application, "its answer is too large"),
            Err(_) => Outcome::Useless(application, "its head can't be read"),
        }
    }
}
