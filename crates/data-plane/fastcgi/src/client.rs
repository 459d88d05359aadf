//! Client side: one connection to an application.
//!
//! A request id is reused only after the application has ended the previous request with it: until then, records of that
//! request may still arrive. A record for an id that is not in use is an error of the whole connection, because it is
//! unknown which other records are wrong too.
use crate::cgi::{self, Head};
use crate::outgoing::{Cancelled, Outgoing, Tail};
use crate::pairs::{self, Pair};
use crate::record::{self, kind, Decoder, Header, Piece, Protocol, RESPONDER};
use crate::{Error, Fault, Limits};
use bytes::{Buf, BufMut, Bytes, BytesMut};
use std::collections::BTreeMap;

/// Result of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// A complete response: its head and its body.
    Answered(Head, Bytes),
    /// The application refused the request before it began: overloaded, unable to multiplex, or unknown role.
    Refused(Protocol),
    /// The request ended without a usable response and may have run: the application status, and the reason.
    Useless(u32, &'static str),
}

/// A received event.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// A request has ended: its id and result.
    Ended(u16, Outcome),
    /// The application's capabilities, as name-value pairs.
    Values(Vec<Pair>),
    /// The application does not know the type of a management record that was sent to it.
    Unknown,
}

struct InFlightRequest {
    /// Output so far. It is copied, since a part shares the read buffer of its connection.
    stdout: BytesMut,
    /// Size of the error stream, in bytes.
    errors: usize,
    /// The output stream has ended.
    stdout_ended: bool,
    /// Reason why the response is unusable.
    unusable_reason: Option<&'static str>,
    /// The request was aborted; its id stays in use until the application ends it.
    aborted: bool,
}

/// Client side of a connection to an application.
pub struct Client {
    limits: Limits,
    decoder: Decoder,
    requests: BTreeMap<u16, InFlightRequest>,
    /// Header of the record that is being received.
    current_record: Option<Header>,
    /// Body of the record that is being received, for end and management records.
    record_body: BytesMut,
    outgoing: Outgoing,
}

impl Client {
    /// Creates the state of a new connection.
    pub fn new(limits: Limits) -> Client {
        let (decoder, record_body) = (Decoder::default(), BytesMut::new());
        Client {
            limits,
            decoder,
            requests: BTreeMap::new(),
            current_record: None,
            record_body,
            outgoing: Outgoing::default(),
        }
    }

    /// Number of requests that have not ended, including aborted ones.
    pub fn open(&self) -> usize {
        self.requests.len()
    }

    /// Whether the limit of concurrent requests allows another request.
    pub fn has_capacity(&self) -> bool {
        self.requests.len() < self.limits.requests.min(usize::from(u16::MAX))
    }

    /// Number of bytes that are allocated for responses that have been received in part.
    pub fn buffered_bytes(&self) -> usize {
        self.requests.values().map(|request| request.stdout.capacity()).sum()
    }

    /// Drops the partly received response that holds the most memory; its request ends without a usable one.
    pub fn discard_largest(&mut self) {
        let largest = self.requests.values_mut().max_by_key(|request| request.stdout.capacity());
        if let Some(request) = largest {
            (request.unusable_reason, request.stdout) =
                (Some("there is no memory for the response"), BytesMut::new());
        }
    }

    /// Whether a record has been received in part.
    pub fn is_mid_record(&self) -> bool {
        self.decoder.is_mid_record()
    }

    /// Queries whether the application multiplexes requests on a connection (`FCGI_MPXS_CONNS`), and its maximum number of
    /// concurrent requests (`FCGI_MAX_REQS`).
    pub fn query_capabilities(&mut self) {
        let (mut body, mut out) = (BytesMut::new(), BytesMut::new());
        for name in ["FCGI_MPXS_CONNS", "FCGI_MAX_REQS"] {
            pairs::write(&mut body, name.as_bytes(), b"");
        }
        record::write(&mut out, kind::GET_VALUES, 0, &body);
        self.outgoing.push_connection_record(out.freeze());
    }

    /// Queues a new request and returns its id, or `None` if the limit of concurrent requests is reached.
    pub fn begin<'a>(
        &mut self,
        params: impl Iterator<Item = (&'a [u8], &'a [u8])>,
        body: Bytes,
        keep_connection: bool,
    ) -> Option<u16> {
        if !self.has_capacity() {
            return None;
        }
        let id = (1..=u16::MAX).find(|id| !self.requests.contains_key(id))?;
        let mut head = BytesMut::with_capacity(1024);
        record::write(&mut head, kind::BEGIN, id, &record::begin_body(RESPONDER, keep_connection));
        let mut encoded_params = BytesMut::with_capacity(1024);
        params.for_each(|(name, value)| pairs::write(&mut encoded_params, name, value));
        record::write(&mut head, kind::PARAMS, id, &encoded_params);
        record::end(&mut head, kind::PARAMS, id);
        self.outgoing.push_stream(id, head, kind::STDIN, body, Tail::Close);
        let request = InFlightRequest {
            stdout: BytesMut::new(),
            errors: 0,
            stdout_ended: false,
            unusable_reason: None,
            aborted: false,
        };
        self.requests.insert(id, request);
        Some(id)
    }

    /// Aborts a request. If nothing of it was written, it is removed. Otherwise its id stays in use until the application
    /// has ended it, and `true` is returned.
    pub fn abort(&mut self, id: u16) -> bool {
        let Some(request) = self.requests.get_mut(&id).filter(|r| !r.aborted) else { return false };
        if self.outgoing.cancel(id) == Cancelled::NotStarted {
            self.requests.remove(&id);
            return false;
        }
        (request.aborted, request.stdout) = (true, BytesMut::new());
        let mut out = BytesMut::new();
        record::end(&mut out, kind::ABORT, id);
        self.outgoing.push_connection_record(out.freeze());
        true
    }

    /// Number of aborted requests that have not ended.
    pub fn aborted_requests(&self) -> usize {
        self.requests.values().filter(|request| request.aborted).count()
    }

    /// Whether the last byte of a request was consumed by the writer. Until then an application that reads its complete
    /// input first can't have begun the request.
    pub fn is_fully_written(&self, id: u16) -> bool {
        !self.outgoing.has_unsent(id)
    }

    /// Whether there is a request of which no part was made ready for writing yet.
    pub fn has_unstarted_request(&self) -> bool {
        self.outgoing.has_unstarted_stream()
    }

    /// Makes more bytes ready for writing once all ready bytes have been consumed. `may_begin` is called right before the
    /// first byte of a request; if it returns `false`, the request is removed and its id is added to `unsent`.
    pub fn fill(&mut self, may_begin: impl FnMut(u16) -> bool, unsent: &mut Vec<u16>) {
        // The completed streams are not needed: `is_fully_written` looks for the unsent rest.
        self.outgoing.take_completed();
        let before = unsent.len();
        self.outgoing.fill(may_begin, unsent);
        for id in &unsent[before..] {
            self.requests.remove(id);
        }
    }

    /// Bytes that are ready for writing.
    pub fn outgoing(&mut self) -> &mut Outgoing {
        &mut self.outgoing
    }

    /// Removes and returns all bytes that are to be written.
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

    /// Processes received bytes and appends the events that they cause.
    ///
    /// # Errors
    /// A protocol violation, after which no open request can be answered on this connection.
    pub fn receive(&mut self, mut input: Bytes, events: &mut Vec<Event>) -> Result<(), Error> {
        while let Some(piece) = self.decoder.next(&mut input)? {
            match piece {
                Piece::Begin(header) => self.start_record(header)?,
                Piece::Body(bytes) => self.receive_body(bytes),
                Piece::End(header) => self.end_record(header, events),
            }
        }
        Ok(())
    }

    fn start_record(&mut self, header: Header) -> Result<(), Error> {
        let Header { kind, id, length, .. } = header;
        self.record_body.clear();
        self.current_record = Some(header);
        let offset = self.decoder.record_offset();
        let error = |fault| Err(Error { offset, fault });
        match kind {
            kind::GET_VALUES_RESULT | kind::UNKNOWN_TYPE if id == 0 => Ok(()),
            kind::END | kind::STDOUT | kind::STDERR => match self.requests.get(&id) {
                // A record after the end of its stream is an error too, because its request is unknown.
                Some(request) if !(kind == kind::STDOUT && request.stdout_ended) => match (kind, length) {
                    (kind::END, length) if length != 8 => error(Fault::Length { kind, length }),
                    _ => Ok(()),
                },
                _ => error(Fault::Id { kind, id }),
            },
            _ => error(Fault::Unexpected(kind)),
        }
    }

    fn receive_body(&mut self, bytes: Bytes) {
        let Some(Header { kind, id, .. }) = self.current_record else { return };
        let limits = self.limits;
        match (kind, self.requests.get_mut(&id)) {
            (kind::STDOUT, Some(request)) => {
                if request.aborted || request.unusable_reason.is_some() {
                } else if request.stdout.len() + bytes.len() > limits.head + limits.body {
                    (request.unusable_reason, request.stdout) =
                        (Some("the response is too large"), BytesMut::new());
                } else {
                    request.stdout.extend_from_slice(&bytes);
                }
            }
            (kind::STDERR, Some(request)) => request.errors = request.errors.saturating_add(bytes.len()),
            _ => {
                // The 8 bytes of an end record are always kept, even if the limit is lower.
                let available = limits.params.max(8).saturating_sub(self.record_body.len());
                self.record_body.extend_from_slice(&bytes[..bytes.len().min(available)]);
            }
        }
    }

    fn end_record(&mut self, header: Header, events: &mut Vec<Event>) {
        let Header { kind, id, length, .. } = header;
        match kind {
            kind::STDOUT if length == 0 => {
                if let Some(request) = self.requests.get_mut(&id) {
                    request.stdout_ended = true;
                }
            }
            kind::END => {
                // The unsent rest of an ended request is not needed any more.
                self.outgoing.cancel(id);
                let Some(request) = self.requests.remove(&id).filter(|r| !r.aborted) else { return };
                let body = &self.record_body;
                let application = u32::from_be_bytes([body[0], body[1], body[2], body[3]]);
                events
                    .push(Event::Ended(id, self.outcome(request, application, Protocol::from_byte(body[4]))));
            }
            kind::GET_VALUES_RESULT => {
                let values =
                    pairs::read(self.record_body.split().freeze(), self.limits.pairs).unwrap_or_default();
                events.push(Event::Values(values));
            }
            kind::UNKNOWN_TYPE => events.push(Event::Unknown),
            _ => {}
        }
    }

    fn outcome(&self, request: InFlightRequest, application: u32, protocol: Protocol) -> Outcome {
        match protocol {
            Protocol::Complete => {}
            // A request with output has begun, even if its status says that it was refused.
            Protocol::Other(_) => return Outcome::Useless(application, "unknown protocol status"),
            refused
                if request.stdout.is_empty() && request.errors == 0 && request.unusable_reason.is_none() =>
            {
                return Outcome::Refused(refused)
            }
            _ => return Outcome::Useless(application, "refused after output had begun"),
        }
        if let Some(reason) = request.unusable_reason {
            return Outcome::Useless(application, reason);
        }
        if request.stdout.is_empty() {
            return Outcome::Useless(application, "the application wrote no output");
        }
        let output = request.stdout.freeze();
        match cgi::read(&output, self.limits.head) {
            Ok(head) if output.len() - head.length <= self.limits.body => {
                let body = output.slice(head.length..);
                Outcome::Answered(head, body)
            }
            Ok(_) => Outcome::Useless(application, "the response is too large"),
            Err(_) => Outcome::Useless(application, "the head of the response is malformed"),
        }
    }
}
