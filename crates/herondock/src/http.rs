//! HTTP/1.1 messages as the front and the transport share them: their fields, and what belongs to one hop only.
use crate::exchange::{Fields, Method};
use hyper::header::{self, HeaderMap, HeaderName, HeaderValue};

/// Tells how long a request will be waited for.
pub const DEADLINE: HeaderName = HeaderName::from_static("req-deadline");

/// Marks an answer to what was turned away: it never ran.
pub const DECLINED: HeaderName = HeaderName::from_static("srv-declined");

/// Marks a caller's own repeat.
pub const RETRY: HeaderName = HeaderName::from_static("req-retry");

/// Headers that belong to one connection and are not passed on.
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

/// Whether a field of this name belongs to one connection, or to the framing of a body, and is not passed on.
pub fn is_hop_by_hop(name: &[u8]) -> bool {
    let own = [header::CONTENT_LENGTH, header::EXPECT];
    HOP_BY_HOP_HEADERS.iter().chain(&own).any(|hop| hop.as_str().as_bytes().eq_ignore_ascii_case(name))
}

/// The end-to-end headers of a message as fields, but for those left out here: without what belongs to one connection
/// (RFC 9110, section 7.6.1), and without the length of the body, which is framed anew.
pub fn end_to_end_fields(headers: &HeaderMap, except: impl Fn(&HeaderName) -> bool) -> Fields {
    let named: Vec<HeaderName> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|v| v.to_str().ok())
        .flat_map(|v| v.split(','))
        .filter_map(|v| v.trim().parse().ok())
        .collect();
    let kept = |name: &HeaderName| {
        let out = [header::CONTENT_LENGTH, header::EXPECT];
        !(HOP_BY_HOP_HEADERS.contains(name) || out.contains(name) || named.contains(name) || except(name))
    };
    let kept = headers.iter().filter(|(name, _)| kept(name));
    Fields::new(kept.map(|(name, value)| (name.as_str(), value.as_bytes())))
}

/// Fields as headers. A field that HTTP can't carry, from another protocol, is left out.
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

/// A method as hyper has it.
pub fn to_method(method: Method) -> hyper::Method {
    match method {
        Method::Get => hyper::Method::GET,
        Method::Post => hyper::Method::POST,
    }
}
