//! Finds the end of a request's head, and the length of the body behind it, while the head arrives. Keeps the beginning of
//! one line only, so that a connection holds no second copy of the head that the protocol library collects.

/// Number of bytes of a line that are kept. Longer lines are no valid statement of a length.
const MAX_KEPT_LINE: usize = 128;

/// What follows a complete head.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BodyFraming {
    /// A body of this length.
    Length(u64),
    /// A body whose end is not tracked: it is chunked, or its length is invalid.
    Untracked,
    /// The head states the length of its body more than once.
    Ambiguous,
}

/// A head that is being received.
#[derive(Debug, Default)]
pub struct HeadFraming {
    /// Number of bytes of the head so far.
    received: usize,
    /// Number of complete lines.
    lines: usize,
    /// Beginning of the present line.
    line: Vec<u8>,
    /// Whether the present line is longer than what is kept of it.
    is_truncated: bool,
    /// Number of `Content-Length` fields, and the value of the last; `None`: it is invalid.
    lengths: usize,
    length: Option<u64>,
    /// Number of `Transfer-Encoding` fields.
    codings: usize,
}

impl HeadFraming {
    /// Number of bytes that have been received.
    pub fn received(&self) -> usize {
        self.received
    }

    /// Takes bytes up to the end of a line. Returns the framing of the body if they complete the head.
    pub fn receive(&mut self, bytes: &[u8]) -> Option<BodyFraming> {
        self.received += bytes.len();
        let available = MAX_KEPT_LINE - self.line.len();
        self.line.extend_from_slice(&bytes[..bytes.len().min(available)]);
        self.is_truncated |= bytes.len() > available;
        if !bytes.ends_with(b"\n") {
            return None;
        }
        let is_empty = !self.is_truncated && matches!(&self.line[..], b"\n" | b"\r\n");
        if is_empty && self.lines > 0 {
            return Some(self.body_framing());
        }
        self.end_line();
        None
    }

    /// Evaluates a complete line.
    fn end_line(&mut self) {
        let mut parts = self.line.splitn(2, |&b| b == b':');
        if let (Some(name), Some(value)) = (parts.next(), parts.next()) {
            let name = name.trim_ascii();
            if name.eq_ignore_ascii_case(b"content-length") {
                self.lengths += 1;
                self.length = if self.is_truncated { None } else { parse_length(value) };
            } else if name.eq_ignore_ascii_case(b"transfer-encoding") {
                self.codings += 1;
            }
        }
        self.lines += 1;
        self.line.clear();
        self.is_truncated = false;
    }

    fn body_framing(&self) -> BodyFraming {
        match (self.lengths, self.codings) {
            (0, 0) => BodyFraming::Length(0),
            (1, 0) => self.length.map_or(BodyFraming::Untracked, BodyFraming::Length),
            (0, 1) => BodyFraming::Untracked,
            _ => BodyFraming::Ambiguous,
        }
    }
}

fn parse_length(value: &[u8]) -> Option<u64> {
    let value = std::str::from_utf8(value.trim_ascii()).ok()?;
    value.bytes().all(|b| b.is_ascii_digit()).then(|| value.parse().ok())?
}

#[cfg(test)]
mod tests;
