//! The head of an answer, as a responder writes it (RFC 3875, section 6).
use crate::exchange::Fields;
use bytes::{Bytes, BytesMut};
use std::fmt::Write as _;

/// The head of an answer that rejects a request.
pub(super) fn head(status: u16) -> Bytes {
    head_with(status, None, &Fields::default(), &[])
}

/// The head of an answer. `retry_after`: in milliseconds; 0: no advice. `more`: further fields with their values.
pub(super) fn head_with(
    status: u16,
    retry_after: Option<f64>,
    fields: &Fields,
    more: &[(String, String)],
) -> Bytes {
    let reason =
        hyper::StatusCode::from_u16(status).ok().and_then(|s| s.canonical_reason()).unwrap_or("Answered");
    let mut text = format!("Status: {status} {reason}\r\n");
    if let Some(after) = retry_after.filter(|&after| after > 0.0) {
        // Writing to a string can't fail.
        let _ = write!(text, "Retry-After: {:.3}\r\n", after / 1000.0);
    }
    for (name, value) in more {
        let _ = write!(text, "{name}: {value}\r\n");
    }
    let mut out = BytesMut::from(text.as_bytes());
    for (name, value) in fields.iter() {
        out.extend_from_slice(name);
        out.extend_from_slice(b": ");
        out.extend_from_slice(&value);
        out.extend_from_slice(b"\r\n");
    }
    out.extend_from_slice(b"\r\n");
    out.freeze()
}
