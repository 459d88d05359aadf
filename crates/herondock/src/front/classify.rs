//! What a request is, by what its caller says of it: the same for every front.
use crate::exchange::Method;
use balancer::{Effect, Millis};
use config::Deployment;

/// What a caller says of a request.
pub struct RequestField {
    /// Its header (PROTOCOL), in small letters.
    pub header: &'static str,
    missing: &'static str,
    malformed: &'static str,
}

const ID: RequestField =
    RequestField { header: "req-id", missing: "Req-Id is missing", malformed: "Req-Id is bad" };
const KIND: RequestField =
    RequestField { header: "req-kind", missing: "Req-Kind is missing", malformed: "Req-Kind is unknown" };
const OWNER: RequestField =
    RequestField { header: "req-owner", missing: "Req-Owner is missing", malformed: "Req-Owner is unknown" };
const DEADLINE: RequestField = RequestField {
    header: "req-deadline",
    missing: "Req-Deadline is missing",
    malformed: "Req-Deadline is bad",
};
/// The key of a request that may be repeated.
pub const KEY: RequestField = RequestField { header: "idempotency-key", missing: "", malformed: "" };

/// A request's head, of whatever protocol.
pub struct RequestHead<'a> {
    /// The one value of a field; `None`: absent, no text, or there several times.
    pub single_value: &'a dyn Fn(&RequestField) -> Option<&'a str>,
    /// Whether there is a key at all, an empty or repeated one too.
    pub has_key: bool,
    /// Its method is GET.
    pub is_get: bool,
    /// Its method is POST.
    pub is_post: bool,
}

/// What it is.
pub struct Classification {
    /// Its class, by position.
    pub class: usize,
    /// Its tenant, by position.
    pub tenant: usize,
    /// How long its caller waits.
    pub deadline_ms: Millis,
    /// Its method.
    pub method: Method,
}

/// Class, tenant and patience of a request, or what is wrong with its head. Ids have `id_most` bytes at most.
pub fn classify(d: &Deployment, id_most: usize, given: &RequestHead) -> Result<Classification, &'static str> {
    let one = |field: &RequestField| (given.single_value)(field).ok_or(field.missing);
    let id = one(&ID)?;
    if id.is_empty() || id.len() > id_most {
        return Err(ID.malformed);
    }
    let kind = one(&KIND)?;
    let class = d.classes.iter().position(|c| c == kind).ok_or(KIND.malformed)?;
    let tenant = if d.tenants.is_empty() {
        0
    } else {
        let owner = one(&OWNER)?;
        d.tenants.iter().position(|t| t == owner).ok_or(OWNER.malformed)?
    };
    let patience = parse_span(one(&DEADLINE)?).ok_or(DEADLINE.malformed)?;
    let keyed = (given.single_value)(&KEY).is_some_and(|k| !k.is_empty());
    let form = match d.policy.classes[class].effect {
        Effect::Free => given.is_get,
        Effect::Guarded { .. } => given.is_post && keyed,
        Effect::SingleShot => given.is_post && !given.has_key,
    };
    if !form {
        return Err("the method or Idempotency-Key does not fit the class");
    }
    Ok(Classification {
        class,
        tenant,
        deadline_ms: patience,
        method: if given.is_get { Method::Get } else { Method::Post },
    })
}

/// A span of time as callers write it: a number and `m` for milliseconds or `u` for microseconds.
fn parse_span(text: &str) -> Option<Millis> {
    let text = text.trim();
    let (number, unit) = match (text.strip_suffix('m'), text.strip_suffix('u')) {
        (Some(number), _) => (number, 1.0),
        (_, Some(number)) => (number, 0.001),
        _ => return None,
    };
    let plain = !number.is_empty() && number.bytes().all(|b| b.is_ascii_digit() || b == b'.');
    let value = plain.then(|| number.parse::<f64>().ok())?? * unit;
    (0.0..=86_400_000.0).contains(&value).then_some(value)
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn spans_have_a_number_and_a_unit() {
        assert_eq!(parse_span("480m"), Some(480.0));
        assert_eq!(parse_span("1500u"), Some(1.5));
        for bad in ["", "m", "480", "-3m", "1e9m", "NaNm", "infm", "4 m", "99999999999m"] {
            assert_eq!(parse_span(bad), None, "{bad}");
        }
    }
}
