//! Server side: one connection from a web server.
//!
//! Records of a request that is not open are ignored, as section 3.3 requires: they may have been sent before the end
//! record arrived. An invalid request is reported as [`Event::Bad`], to be answered; a violation that makes the following
//! bytes ambiguous is an [`Error`], after which the connection must be closed.
use crate::outgoing::{Cancelled, Outgoing, Tail};
use crate::pairs::{self, Pair};
use crate::record::{self, kind, Decoder, Header, Piece, Protocol, KEEP_CONNECTION, RESPONDER};
use crate::{Error, Fault, Limits};
use bytes::{Buf, BufMut, Bytes, BytesMut};
use std::collections::BTreeMap;

/// A complete request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Request {
    /// Id on this connection.
    pub id: u16,
    /// Params in their order.
    pub params: Vec<Pair>,
    /// Body.
    pub body: Bytes,
}

/// A received event.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// A complete request, which must be answered or refused.
    Request(Request),
    /// An invalid request: its id, the HTTP status to answer with, and the reason. The rest of it is ignored.
    Bad(u16, u16, &'static str),
    /// The web server aborted a request, whose end record is queued already.
    Aborted(u16),
}

enum Stage {
    /// The params are being received.
    Params(BytesMut),
    /// The body is being received: the params, and the body so far. It is copied, since a part shares the read buffer
    /// of its connection.
    Body(Vec<Pair>, BytesMut),
    /// The request was reported, as complete or invalid.
    Reported,
    /// The response is being written.
    Answered,
}

impl Stage {
    /// Number of bytes that are allocated for what has been received.
    fn buffered_bytes(&self) -> usize {
        match self {
            Stage::Params(params) => params.capacity(),
            Stage::Body(params, body) => pairs::buffered_bytes(params) + body.capacity(),
            Stage::Reported | Stage::Answered => 0,
        }
    }
}

struct OpenRequest {
    keep_connection: bool,
    stage: Stage,
}

/// Server side of a connection from a web server.
pub struct Server {
    limits: Limits,
    decoder: Decoder,
    requests: BTreeMap<u16, OpenRequest>,
    /// Header of the record that is being received.
    current_record: Option<Header>,
    /// Body of the record that is being received, for begin and management records.
    record_body: BytesMut,
    outgoing: Outgoing,
    closing: bool,
}

impl Server {
    /// Creates the state of a new connection.
    pub fn new(limits: Limits) -> Server {
        let (decoder, record_body, outgoing) = (Decoder::default(), BytesMut::new(), Outgoing::default());
        Server {
            limits,
            decoder,
            requests: BTreeMap::new(),
            current_record: None,
            record_body,
            outgoing,
            closing: false,
        }
    }

    /// Number of requests that are being received or have not been answered completely.
    pub fn open(&self) -> usize {
        self.requests.len()
    }

    /// Whether a record or a request has been received in part.
    pub fn midway(&self) -> bool {
        self.decoder.is_mid_record()
            || self
                .requests
                .values()
                .any(|request| matches!(request.stage, Stage::Params(_) | Stage::Body(..)))
    }

    /// Number of bytes that are allocated for requests that have been received in part.
    pub fn buffered_bytes(&self) -> usize {
        self.requests.values().map(|request| request.stage.buffered_bytes()).sum()
    }

    /// Number of bytes that are allocated for the largest of these requests.
    pub fn largest_buffered_bytes(&self) -> usize {
        self.requests.values().map(|request| request.stage.buffered_bytes()).max().unwrap_or(0)
    }

    /// Reports the partly received request that holds the most memory as invalid, and drops what was received of it.
    pub fn reject_largest(&mut self, status: u16, reason: &'static str, events: &mut Vec<Event>) {
        let largest = self.requests.iter().max_by_key(|(_, request)| request.stage.buffered_bytes());
        if let Some(id) = largest.filter(|(_, request)| request.stage.buffered_bytes() > 0).map(|(&id, _)| id)
        {
            self.reject(id, status, reason, events);
        }
    }

    /// Whether the connection is to be closed: a request without the flag to keep the connection was received, no request
    /// is open, and everything is written.
    pub fn closes(&self) -> bool {
        self.closing && self.requests.is_empty() && !self.outgoing.has_pending()
    }

    /// Whether so many bytes of management and end records are queued that reading from the connection should stop.
    pub fn clogged(&self) -> bool {
        self.outgoing.is_backlogged()
    }

    /// Makes more bytes of the responses ready for writing, in round-robin order, once all ready bytes have been consumed.
    /// Returns the number of responses that were written completely since the previous call.
    pub fn fill(&mut self) -> usize {
        let mut finished = 0;
        for id in self.outgoing.take_completed() {
            finished += 1;
            if let Some(request) = self.requests.remove(&id) {
                self.closing |= !request.keep_connection;
            }
        }
        self.outgoing.fill(|_| true, &mut Vec::new());
        finished
    }

    /// Bytes that are ready for writing.
    pub fn outgoing(&mut self) -> &mut Outgoing {
        &mut self.outgoing
    }

    /// Removes and returns all bytes that are to be written.
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

    /// Processes received bytes and appends the events that they cause.
    ///
    /// # Errors
    /// A protocol violation, after which the connection can't be read; events before it are valid.
    pub fn receive(&mut self, mut input: Bytes, events: &mut Vec<Event>) -> Result<(), Error> {
        while let Some(piece) = self.decoder.next(&mut input)? {
            match piece {
                Piece::Begin(header) => self.start_record(header)?,
                Piece::Body(bytes) => self.receive_body(bytes, events),
                Piece::End(header) => self.end_record(header, events)?,
            }
        }
        Ok(())
    }

    fn error(&self, fault: Fault) -> Error {
        Error { offset: self.decoder.record_offset(), fault }
    }

    fn start_record(&mut self, header: Header) -> Result<(), Error> {
        let Header { kind, id, length, .. } = header;
        self.record_body.clear();
        self.current_record = Some(header);
        match kind {
            kind::BEGIN if id == 0 => Err(self.error(Fault::Id { kind, id })),
            kind::BEGIN if length != 8 => Err(self.error(Fault::Length { kind, length })),
            kind::BEGIN | kind::ABORT | kind::PARAMS | kind::STDIN | kind::DATA if id > 0 => Ok(()),
            kind::GET_VALUES if id > 0 => Err(self.error(Fault::Id { kind, id })),
            // Types that only an application sends.
            kind::END | kind::STDOUT | kind::STDERR | kind::GET_VALUES_RESULT | kind::UNKNOWN_TYPE => {
                Err(self.error(Fault::Unexpected(kind)))
            }
            kind::ABORT | kind::PARAMS | kind::STDIN | kind::DATA => Err(self.error(Fault::Id { kind, id })),
            // FCGI_UNKNOWN_TYPE can't be sent for a request, only for the connection.
            _ if id > 0 => Err(self.error(Fault::Unexpected(kind))),
            _ => Ok(()),
        }
    }

    /// Reports an invalid request, whose further records are ignored.
    fn reject(&mut self, id: u16, status: u16, reason: &'static str, events: &mut Vec<Event>) {
        if let Some(request) = self.requests.get_mut(&id) {
            request.stage = Stage::Reported;
            events.push(Event::Bad(id, status, reason));
        }
    }

    fn receive_body(&mut self, bytes: Bytes, events: &mut Vec<Event>) {
        let Some(Header { kind, id, .. }) = self.current_record else { return };
        let limits = self.limits;
        let Some(request) = self.requests.get_mut(&id) else {
            // The body of a management or begin record is truncated to the limit. The 8 bytes of a begin record are
            // always kept, even if the limit is lower.
            let available = limits.params.max(8).saturating_sub(self.record_body.len());
            self.record_body.extend_from_slice(&bytes[..bytes.len().min(available)]);
            return;
        };
        match (kind, &mut request.stage) {
            (kind::BEGIN, _) => self.record_body.extend_from_slice(&bytes),
            (_, Stage::Reported | Stage::Answered) => {}
            (kind::PARAMS, Stage::Params(params)) if params.len() + bytes.len() <= limits.params => {
                params.extend_from_slice(&bytes);
            }
            (kind::PARAMS, Stage::Params(_)) => self.reject(id, 431, "the params are too large", events),
            (kind::STDIN, Stage::Body(_, body)) if body.len() + bytes.len() <= limits.body => {
                body.extend_from_slice(&bytes);
            }
            (kind::STDIN, Stage::Body(..)) => self.reject(id, 413, "the body is too large", events),
            _ => self.reject(id, 400, "records are out of order", events),
        }
    }

    fn end_record(&mut self, header: Header, events: &mut Vec<Event>) -> Result<(), Error> {
        let Header { kind, id, length, .. } = header;
        match kind {
            kind::BEGIN => return self.begin_request(id),
            kind::ABORT => {
                // A response that is completely ready ends the request itself.
                let answered =
                    matches!(self.requests.get(&id), Some(OpenRequest { stage: Stage::Answered, .. }));
                let is_ready = answered && self.outgoing.cancel(id) == Cancelled::Finished;
                if self.requests.contains_key(&id) && !is_ready {
                    events.push(Event::Aborted(id));
                    self.finish(id, 0, Protocol::Complete);
                }
            }
            kind::PARAMS if length == 0 => self.end_params(id, events),
            kind::STDIN if length == 0 => self.end_body(id, events),
            kind::GET_VALUES => self.answer_get_values(),
            kind::PARAMS | kind::STDIN | kind::DATA => {}
            unknown => self.push_record(kind::UNKNOWN_TYPE, 0, &[unknown, 0, 0, 0, 0, 0, 0, 0]),
        }
        Ok(())
    }

    fn begin_request(&mut self, id: u16) -> Result<(), Error> {
        if self.requests.contains_key(&id) {
            return Err(self.error(Fault::BegunTwice(id)));
        }
        let role = u16::from_be_bytes([self.record_body[0], self.record_body[1]]);
        let keep_connection = self.record_body[2] & KEEP_CONNECTION != 0;
        self.closing |= !keep_connection;
        let refusal = if role != RESPONDER {
            Some(Protocol::UnknownRole)
        } else if self.requests.len() >= self.limits.requests {
            Some(if self.limits.requests == 1 { Protocol::CantMultiplex } else { Protocol::Overloaded })
        } else {
            None
        };
        match refusal {
            Some(status) => self.push_record(kind::END, id, &record::end_body(0, status)),
            None => drop(
                self.requests
                    .insert(id, OpenRequest { keep_connection, stage: Stage::Params(BytesMut::new()) }),
            ),
        }
        Ok(())
    }

    fn end_params(&mut self, id: u16, events: &mut Vec<Event>) {
        let max_pairs = self.limits.pairs;
        let Some(request) = self.requests.get_mut(&id) else { return };
        match &mut request.stage {
            Stage::Params(params) => match pairs::read(params.split().freeze(), max_pairs) {
                Ok(pairs) => request.stage = Stage::Body(pairs, BytesMut::new()),
                Err(pairs::MalformedPairs::TooMany) => {
                    self.reject(id, 431, "there are too many params", events)
                }
                Err(pairs::MalformedPairs::Truncated) => {
                    self.reject(id, 400, "the params end in the middle of a pair", events)
                }
            },
            Stage::Body(..) => self.reject(id, 400, "records are out of order", events),
            Stage::Reported | Stage::Answered => {}
        }
    }

    fn end_body(&mut self, id: u16, events: &mut Vec<Event>) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        match std::mem::replace(&mut request.stage, Stage::Reported) {
            Stage::Answered => request.stage = Stage::Answered,
            Stage::Body(params, body) => {
                events.push(Event::Request(Request { id, params, body: body.freeze() }));
            }
            Stage::Params(_) => events.push(Event::Bad(id, 400, "records are out of order")),
            Stage::Reported => {}
        }
    }

    /// Answers a query of this side's capabilities (section 4.1). Unknown names are left out of the answer.
    fn answer_get_values(&mut self) {
        let Ok(queries) = pairs::read(self.record_body.split().freeze(), self.limits.pairs) else { return };
        let mut body = BytesMut::new();
        let multiplex = self.limits.requests > 1;
        for (name, _) in queries {
            match &name[..] {
                b"FCGI_MAX_REQS" => {
                    pairs::write(&mut body, &name, self.limits.requests.to_string().as_bytes())
                }
                b"FCGI_MPXS_CONNS" => pairs::write(&mut body, &name, if multiplex { b"1" } else { b"0" }),
                _ => {}
            }
        }
        self.push_record(kind::GET_VALUES_RESULT, 0, &body);
    }

    /// Queues a record of the connection itself or the end record of a request.
    fn push_record(&mut self, kind: u8, id: u16, body: &[u8]) {
        let mut out = BytesMut::with_capacity(64);
        if body.is_empty() {
            record::end(&mut out, kind, id);
        } else {
            record::write(&mut out, kind, id, body);
        }
        self.outgoing.push_connection_record(out.freeze());
    }

    /// Removes an open request and queues its end record.
    fn finish(&mut self, id: u16, application: u32, protocol: Protocol) {
        if let Some(request) = self.requests.remove(&id) {
            self.closing |= !request.keep_connection;
            self.push_record(kind::END, id, &record::end_body(application, protocol));
        }
    }

    /// Queues the complete response to an open request: its head and body in the form of a CGI responder, and the end
    /// record. The request stays open until the response is written. Returns `false` if the request is not open or has
    /// been answered already.
    pub fn answer(&mut self, id: u16, head: &[u8], body: Bytes) -> bool {
        let Some(request) = self.requests.get_mut(&id) else { return false };
        if matches!(std::mem::replace(&mut request.stage, Stage::Answered), Stage::Answered) {
            return false;
        }
        let mut out = BytesMut::with_capacity(head.len() + 128);
        record::write(&mut out, kind::STDOUT, id, head);
        self.outgoing.push_stream(id, out, kind::STDOUT, body, Tail::Complete);
        true
    }

    /// Ends an open request without a response, with the given protocol status.
    pub fn refuse(&mut self, id: u16, status: Protocol) {
        self.outgoing.cancel(id);
        self.finish(id, 0, status);
    }
}
