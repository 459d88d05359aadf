//! HTTP/1.1 definitions that the front and the transport share: header fields, and the distinction between hop-by-hop
//! and end-to-end fields.
use crate::exchange::{Fields, Method};
use hyper::header::{self, HeaderMap, HeaderName, HeaderValue};

/// Header with the time that the client of a request waits for the answer.
pub const DEADLINE: HeaderName = HeaderName::from_static("req-deadline");

/// Header that marks the answer to a rejected request, which never ran.
pub const DECLINED: HeaderName = HeaderName::from_static("srv-declined");

/// Header that marks a retry made by the caller itself.
pub const RETRY: HeaderName = HeaderName::from_static("req-retry");

/// Headers that belong to one connection and are not forwarded.
const HOP_BY_HOP_HEADERS: [HeaderName; 8] = [
    header::CONNECTION,
    HeaderName::from_static("keep-alive"),
    header::PROXY_AUTHENTICATE,
    header::PROXY_AUTHORIZATION,
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
];

/// Whether a field of this name belongs to one connection, or to the framing of a body, and is not forwarded.
pub fn is_hop_by_hop(name: &[u8]) -> bool {
    let framing = [header::CONTENT_LENGTH, header::EXPECT];
    HOP_BY_HOP_HEADERS.iter().chain(&framing).any(|hop| hop.as_str().as_bytes().eq_ignore_ascii_case(name))
}

/// Returns the end-to-end headers of a message as fields, without those that `except` selects. Headers that belong to
/// one connection (RFC 9110, section 7.6.1) and the length of the body, which each hop frames again, are left out.
pub fn end_to_end_fields(headers: &HeaderMap, except: impl Fn(&HeaderName) -> bool) -> Fields {
    let connection_options: Vec<HeaderName> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|v| v.to_str().ok())
        .flat_map(|v| v.split(','))
        .filter_map(|v| v.trim().parse().ok())
        .collect();
    let is_forwarded = |name: &HeaderName| {
        let framing = [header::CONTENT_LENGTH, header::EXPECT];
        !(HOP_BY_HOP_HEADERS.contains(name)
            || framing.contains(name)
            || connection_options.contains(name)
            || except(name))
    };
    let forwarded = headers.iter().filter(|(name, _)| is_forwarded(name));
    Fields::new(forwarded.map(|(name, value)| (name.as_str(), value.as_bytes())))
}

/// Converts fields to headers. A field from another protocol that HTTP can't carry is left out.
pub fn to_headers(fields: &Fields) -> HeaderMap {
    let mut headers = HeaderMap::with_capacity(fields.len() + 2);
    for (name, value) in fields.iter() {
        let (name, value) = (HeaderName::from_bytes(name), HeaderValue::from_maybe_shared(value));
        if let (Ok(name), Ok(value)) = (name, value) {
            headers.append(name, value);
        }
    }
    headers
}

/// Converts a method to hyper's type.
pub fn to_method(method: Method) -> hyper::Method {
    match method {
        Method::Get => hyper::Method::GET,
        Method::Post => hyper::Method::POST,
    }
}
