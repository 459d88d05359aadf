//! The side that gets requests: one connection of a web server's.
//!
//! Records of a request that is not open are passed over, as section 3.3 has it: they may have crossed its end. What a
//! web server sends of one request wrongly is that request's fault ([`Event::Bad`], to be answered); what makes the
//! bytes behind it uncertain is an [`Error`], and the connection has to end.
use crate::outgoing::{Cancelled, Outgoing, Tail};
use crate::pairs::{self, Pair};
use crate::record::{self, kind, Decoder, Header, Piece, Protocol, KEEP_CONNECTION, RESPONDER};
use crate::{Error, Fault, Limits};
use bytes::{Buf, BufMut, Bytes, BytesMut};
use std::collections::BTreeMap;

/// A whole request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Request {
    /// Its id on this connection.
    pub id: u16,
    /// Its params, in order.
    pub params: Vec<Pair>,
    /// Its body.
    pub body: Bytes,
}

/// What has come.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// A request, whole. It is owed an answer or an end.
    Request(Request),
    /// A request that can't be used: the status to answer with, and why. Nothing more is read of it.
    Bad(u16, u16, &'static str),
    /// The web server does not want the answer any more; its end is written already.
    Aborted(u16),
}

enum Stage {
    Params(BytesMut),
    Body(Vec<Pair>, Vec<Bytes>, usize),
    /// Handed on, or bad.
    Given,
    /// Its answer is on its way.
    Answered,
}

struct Open {
    keep: bool,
    stage: Stage,
}

/// See the module's page.
pub struct Server {
    limits: Limits,
    decoder: Decoder,
    open: BTreeMap<u16, Open>,
    /// The record that is being read.
    current: Option<Header>,
    /// The body of the record that is being read, where it is gathered: begins and management.
    small: BytesMut,
    outgoing: Outgoing,
    closing: bool,
}

impl Server {
    /// A connection that nothing has come on.
    pub fn new(limits: Limits) -> Server {
        let (decoder, small, outgoing) = (Decoder::default(), BytesMut::new(), Outgoing::default());
        Server { limits, decoder, open: BTreeMap::new(), current: None, small, outgoing, closing: false }
    }

    /// Requests that are owed an answer, or are still coming.
    pub fn open(&self) -> usize {
        self.open.len()
    }

    /// Whether part of a record, or of a request, has come.
    pub fn midway(&self) -> bool {
        self.decoder.midway()
            || self.open.values().any(|o| matches!(o.stage, Stage::Params(_) | Stage::Body(..)))
    }

    /// Whether the connection is to be closed: a request without the flag to keep it was answered, and all is written.
    pub fn closes(&self) -> bool {
        self.closing && self.open.is_empty() && !self.outgoing.any()
    }

    /// Whether so much waits to be written for the connection itself that nothing more should be read from it.
    pub fn clogged(&self) -> bool {
        self.outgoing.clogged()
    }

    /// Makes more ready to be written, once all that was ready has been taken: some of each answer in turn. How many
    /// answers were written to their end since it was called last.
    pub fn fill(&mut self) -> usize {
        let mut finished = 0;
        for id in self.outgoing.done() {
            finished += 1;
            if let Some(open) = self.open.remove(&id) {
                self.closing |= !open.keep;
            }
        }
        self.outgoing.fill(|_| true, &mut Vec::new());
        finished
    }

    /// What is ready to be written.
    pub fn outgoing(&mut self) -> &mut Outgoing {
        &mut self.outgoing
    }

    /// All that is to be written, at once.
    pub fn drain(&mut self) -> Bytes {
        let mut out = BytesMut::new();
        loop {
            self.fill();
            if !self.outgoing.has_remaining() {
                return out.freeze();
            }
            out.put(&mut self.outgoing);
        }
    }

    /// Takes bytes that have come.
    ///
    /// # Errors
    /// What can't be read any further; events before it count.
    pub fn receive(&mut self, mut input: Bytes, events: &mut Vec<Event>) -> Result<(), Error> {
        while let Some(piece) = self.decoder.next(&mut input)? {
            match piece {
                Piece::Begin(header) => self.begins(header)?,
                Piece::Body(bytes) => self.body(bytes, events),
                Piece::End(header) => self.ends(header, events)?,
            }
        }
        Ok(())
    }

    fn fault(&self, what: Fault) -> Error {
        Error { at: self.decoder.began(), what }
    }

    fn begins(&mut self, header: Header) -> Result<(), Error> {
        let Header { kind, id, length, .. } = header;
        self.small.clear();
        self.current = Some(header);
        match kind {
            kind::BEGIN if id == 0 => Err(self.fault(Fault::Id { kind, id })),
            kind::BEGIN if length != 8 => Err(self.fault(Fault::Length { kind, length })),
            kind::BEGIN | kind::ABORT | kind::PARAMS | kind::STDIN | kind::DATA if id > 0 => Ok(()),
            kind::GET_VALUES if id > 0 => Err(self.fault(Fault::Id { kind, id })),
            // Those that an application writes; an unknown one for a request can't be answered in its name.
            kind::END | kind::STDOUT | kind::STDERR | kind::GET_VALUES_RESULT | kind::UNKNOWN_TYPE => {
                Err(self.fault(Fault::Unexpected(kind)))
            }
            kind::ABORT | kind::PARAMS | kind::STDIN | kind::DATA => Err(self.fault(Fault::Id { kind, id })),
            _ if id > 0 => Err(self.fault(Fault::Unexpected(kind))),
            _ => Ok(()),
        }
    }

    fn bad(&mut self, id: u16, status: u16, why: &'static str, events: &mut Vec<Event>) {
        if let Some(open) = self.open.get_mut(&id) {
            open.stage = Stage::Given;
            events.push(Event::Bad(id, status, why));
        }
    }

    fn body(&mut self, bytes: Bytes, events: &mut Vec<Event>) {
        let Some(Header { kind, id, .. }) = self.current else { return };
        let limits = self.limits;
        let Some(open) = self.open.get_mut(&id) else {
            // Of the connection itself, or a begin: short, or cut at what may be kept.
            // A begin or an end is kept whole, however little the host allows.
            let room = limits.params.max(8).saturating_sub(self.small.len());
            self.small.extend_from_slice(&bytes[..bytes.len().min(room)]);
            return;
        };
        match (kind, &mut open.stage) {
            (kind::BEGIN, _) => self.small.extend_from_slice(&bytes),
            (_, Stage::Given | Stage::Answered) => {}
            (kind::PARAMS, Stage::Params(params)) if params.len() + bytes.len() <= limits.params => {
                params.extend_from_slice(&bytes);
            }
            (kind::PARAMS, Stage::Params(_)) => self.bad(id, 431, "the params are too large", events),
            (kind::STDIN, Stage::Body(_, parts, size)) if *size + bytes.len() <= limits.body => {
                *size += bytes.len();
                parts.push(bytes);
            }
            (kind::STDIN, Stage::Body(..)) => self.bad(id, 413, "the body is too large", events),
            _ => self.bad(id, 400, "records are out of order", events),
        }
    }

    fn ends(&mut self, header: Header, events: &mut Vec<Event>) -> Result<(), Error> {
        let Header { kind, id, length, .. } = header;
        match kind {
            kind::BEGIN => return self.begin(id),
            kind::ABORT => {
                // An answer that is ready already ends the request by itself.
                let answered = matches!(self.open.get(&id), Some(Open { stage: Stage::Answered, .. }));
                let ready = answered && self.outgoing.cancel(id) == Cancelled::Gone;
                if self.open.contains_key(&id) && !ready {
                    events.push(Event::Aborted(id));
                    self.finish(id, 0, Protocol::Complete);
                }
            }
            kind::PARAMS if length == 0 => self.params_end(id, events),
            kind::STDIN if length == 0 => self.body_end(id, events),
            kind::GET_VALUES => self.values(),
            kind::PARAMS | kind::STDIN | kind::DATA => {}
            unknown => self.own(kind::UNKNOWN_TYPE, 0, &[unknown, 0, 0, 0, 0, 0, 0, 0]),
        }
        Ok(())
    }

    fn begin(&mut self, id: u16) -> Result<(), Error> {
        if self.open.contains_key(&id) {
            return Err(self.fault(Fault::BegunTwice(id)));
        }
        let role = u16::from_be_bytes([self.small[0], self.small[1]]);
        let keep = self.small[2] & KEEP_CONNECTION != 0;
        self.closing |= !keep;
        let refused = if role != RESPONDER {
            Some(Protocol::UnknownRole)
        } else if self.open.len() >= self.limits.requests {
            Some(if self.limits.requests == 1 { Protocol::CantMultiplex } else { Protocol::Overloaded })
        } else {
            None
        };
        match refused {
            Some(why) => self.own(kind::END, id, &record::end_body(0, why)),
            None => drop(self.open.insert(id, Open { keep, stage: Stage::Params(BytesMut::new()) })),
        }
        Ok(())
    }

    fn params_end(&mut self, id: u16, events: &mut Vec<Event>) {
        let most = self.limits.pairs;
        let Some(open) = self.open.get_mut(&id) else { return };
        match &mut open.stage {
            Stage::Params(params) => match pairs::read(params.split().freeze(), most) {
                Ok(pairs) => open.stage = Stage::Body(pairs, Vec::new(), 0),
                Err(pairs::MalformedPairs::Many) => self.bad(id, 431, "there are too many params", events),
                Err(pairs::MalformedPairs::Short) => {
                    self.bad(id, 400, "the params end in the middle of a pair", events)
                }
            },
            Stage::Body(..) => self.bad(id, 400, "records are out of order", events),
            Stage::Given | Stage::Answered => {}
        }
    }

    fn body_end(&mut self, id: u16, events: &mut Vec<Event>) {
        let Some(open) = self.open.get_mut(&id) else { return };
        match std::mem::replace(&mut open.stage, Stage::Given) {
            Stage::Answered => open.stage = Stage::Answered,
            Stage::Body(params, parts, size) => {
                events.push(Event::Request(Request { id, params, body: joined(parts, size) }));
            }
            Stage::Params(_) => events.push(Event::Bad(id, 400, "records are out of order")),
            Stage::Given => {}
        }
    }

    /// Answers what it is asked of itself (section 4.1); what it does not know it leaves out.
    fn values(&mut self) {
        let Ok(asked) = pairs::read(self.small.split().freeze(), self.limits.pairs) else { return };
        let mut body = BytesMut::new();
        let several = self.limits.requests > 1;
        for (name, _) in asked {
            match &name[..] {
                b"FCGI_MAX_REQS" => {
                    pairs::write(&mut body, &name, self.limits.requests.to_string().as_bytes())
                }
                b"FCGI_MPXS_CONNS" => pairs::write(&mut body, &name, if several { b"1" } else { b"0" }),
                _ => {}
            }
        }
        self.own(kind::GET_VALUES_RESULT, 0, &body);
    }

    /// Writes a record by itself.
    fn own(&mut self, kind: u8, id: u16, body: &[u8]) {
        let mut out = BytesMut::with_capacity(64);
        if body.is_empty() {
            record::end(&mut out, kind, id);
        } else {
            record::write(&mut out, kind, id, body);
        }
        self.outgoing.own(out.freeze());
    }

    fn finish(&mut self, id: u16, application: u32, protocol: Protocol) {
        if let Some(open) = self.open.remove(&id) {
            self.closing |= !open.keep;
            self.own(kind::END, id, &record::end_body(application, protocol));
        }
    }

    /// The whole answer to an open request, to be written by turns: its head and body as a responder writes them, and
    /// its end. The request is open until all of it is written. `false`: it is not open, or answered already.
    pub fn answer(&mut self, id: u16, head: &[u8], body: Bytes) -> bool {
        let Some(open) = self.open.get_mut(&id) else { return false };
        if matches!(std::mem::replace(&mut open.stage, Stage::Answered), Stage::Answered) {
            return false;
        }
        let mut out = BytesMut::with_capacity(head.len() + 128);
        record::write(&mut out, kind::STDOUT, id, head);
        self.outgoing.stream(id, out, kind::STDOUT, body, Tail::Complete);
        true
    }

    /// Ends an open request without an answer, for this reason.
    pub fn refuse(&mut self, id: u16, why: Protocol) {
        self.outgoing.cancel(id);
        self.finish(id, 0, why);
    }
}

/// The parts of a body as one; a body of one part is not copied.
pub(crate) fn joined(mut parts: Vec<Bytes>, size: usize) -> Bytes {
    match parts.len() {
        0 => Bytes::new(),
        1 => parts.remove(0),
        _ => {
            let mut all = BytesMut::with_capacity(size);
            parts.iter().for_each(|part| all.extend_from_slice(part));
            all.freeze()
        }
    }
}
