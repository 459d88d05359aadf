//! The params of a request (RFC 3875): which param carries which field of a request, and which fields are forwarded
//! to upstreams.
use crate::exchange::Fields;
use crate::front::classify::{RequestField, KEY};
use crate::http::is_hop_by_hop;
use bytes::Bytes;
use config::fastcgi::Names;
use fastcgi::pairs::Pair;

/// Returns the value of a param; `None`: it is absent, not valid text, or present several times.
pub(super) fn single_param<'a>(params: &'a [Pair], name: &str) -> Option<&'a str> {
    let mut all = params.iter().filter(|(n, _)| n == name.as_bytes());
    let value = std::str::from_utf8(&all.next()?.1).ok()?;
    all.next().is_none().then_some(value)
}

/// Returns the name of the param that carries a field.
pub(super) fn param_name<'a>(names: &'a Names, field: &RequestField) -> &'a str {
    match field.header {
        "req-id" => &names.id,
        "req-kind" => &names.class,
        "req-owner" => &names.tenant,
        "req-deadline" => &names.deadline,
        _ => &names.key,
    }
}

/// Returns path and query, unchanged from the request that the web server received; `None`: they are not valid.
pub(super) fn target<'a>(param: &impl Fn(&str) -> Option<&'a str>) -> Option<String> {
    let text = match param("REQUEST_URI") {
        Some(uri) => uri.to_string(),
        None => {
            let path = format!("{}{}", param("SCRIPT_NAME").unwrap_or(""), param("PATH_INFO").unwrap_or(""));
            match param("QUERY_STRING").unwrap_or("") {
                "" => path,
                query => format!("{path}?{query}"),
            }
        }
    };
    let valid = text.starts_with('/') && text.parse::<hyper::http::uri::PathAndQuery>().is_ok();
    valid.then_some(text)
}

/// Returns the end-to-end fields of a request: params that represent headers, and the params for id, key, class and
/// tenant under the names of their headers.
pub(super) fn fields<'a>(params: impl Iterator<Item = &'a Pair>, names: &Names) -> Fields {
    let text = |bytes: &Bytes| std::str::from_utf8(bytes).ok().map(String::from);
    let field = |(name, value): &Pair| {
        let name = text(name)?;
        let header = match name.as_str() {
            n if n == names.deadline => return None,
            n if n == names.id => "req-id".to_string(),
            n if n == names.key => KEY.header.to_string(),
            n if n == names.class => "req-kind".to_string(),
            n if n == names.tenant => "req-owner".to_string(),
            "CONTENT_TYPE" => "content-type".into(),
            n => n.strip_prefix("HTTP_")?.replace('_', "-").to_ascii_lowercase(),
        };
        // Empty params represent absent headers.
        let end_to_end = !is_hop_by_hop(header.as_bytes()) && !value.is_empty();
        end_to_end.then(|| (header, value.clone()))
    };
    let fields: Vec<(String, Bytes)> = params.filter_map(field).collect();
    Fields::new(fields.iter().map(|(name, value)| (name.as_str(), &value[..])))
}

/// Returns the name of the param that represents a header (RFC 3875, section 4.1.18).
pub(super) fn header_param(header: &str) -> String {
    format!("HTTP_{}", header.replace('-', "_").to_ascii_uppercase())
}
