//! Classification of a request by its head: class, tenant, deadline and method. The same for every front.
use crate::exchange::Method;
use balancer::{Effect, Millis};
use config::Deployment;

/// A field of a request's head.
pub struct RequestField {
    /// Name of its header, in lower case.
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
/// The idempotency key.
pub const KEY: RequestField = RequestField { header: "idempotency-key", missing: "", malformed: "" };

/// The head of a request, of whatever protocol.
pub struct RequestHead<'a> {
    /// The value of a field; `None`: absent, no text, or present several times.
    pub single_value: &'a dyn Fn(&RequestField) -> Option<&'a str>,
    /// Whether there is an idempotency key at all, also an empty or repeated one.
    pub has_key: bool,
    /// Whether its method is GET.
    pub is_get: bool,
    /// Whether its method is POST.
    pub is_post: bool,
}

/// Classification of a request.
pub struct Classification {
    /// Position of its class in the settings.
    pub class: usize,
    /// Position of its tenant in the settings.
    pub tenant: usize,
    /// How long its client waits, in milliseconds.
    pub deadline_ms: Millis,
    /// Method.
    pub method: Method,
}

/// Classifies a request. Ids have `id_most` bytes at most.
///
/// # Errors
/// What is wrong with its head.
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

/// A span of time as clients write it: a number and `m` for milliseconds or `u` for microseconds.
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
mod tests;
