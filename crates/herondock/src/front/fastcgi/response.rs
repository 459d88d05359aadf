//! The head of an answer in the format of a responder (RFC 3875, section 6).
use crate::exchange::Fields;
use bytes::{Bytes, BytesMut};
use std::fmt::Write as _;

/// Returns the head of an answer that consists of a status only.
pub(super) fn head(status: u16) -> Bytes {
    head_with(status, None, &Fields::default(), &[])
}

/// Returns the head of an answer. `retry_after`: in milliseconds; `None` or 0: no advice. `extra_fields`: further
/// fields with their values.
pub(super) fn head_with(
    status: u16,
    retry_after: Option<f64>,
    fields: &Fields,
    extra_fields: &[(String, String)],
) -> Bytes {
    let reason =
        hyper::StatusCode::from_u16(status).ok().and_then(|s| s.canonical_reason()).unwrap_or("Answered");
    let mut text = format!("Status: {status} {reason}\r\n");
    if let Some(delay_ms) = retry_after.filter(|&delay_ms| delay_ms > 0.0) {
        // Writing to a string can't fail.
        let _ = write!(text, "Retry-After: {:.3}\r\n", delay_ms / 1000.0);
    }
    for (name, value) in extra_fields {
        let _ = write!(text, "{name}: {value}\r\n");
    }
    let mut head = BytesMut::from(text.as_bytes());
    for (name, value) in fields.iter() {
        head.extend_from_slice(name);
        head.extend_from_slice(b": ");
        head.extend_from_slice(&value);
        head.extend_from_slice(b"\r\n");
    }
    head.extend_from_slice(b"\r\n");
    head.freeze()
}
