//! Classification of a request by its head: class, tenant, deadline and method. Shared by all fronts.
use crate::exchange::Method;
use balancer::{Effect, Millis};
use config::Deployment;

/// A field of a request's head.
pub struct RequestField {
    /// Name of the header that carries the field, in lower case.
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

/// The head of a request, independent of the protocol.
pub struct RequestHead<'a> {
    /// Returns the value of a field; `None`: it is absent, not valid text, or present several times.
    pub single_value: &'a dyn Fn(&RequestField) -> Option<&'a str>,
    /// Whether there is any idempotency key, including an empty or repeated one.
    pub has_key: bool,
    /// Whether its method is GET.
    pub is_get: bool,
    /// Whether its method is POST.
    pub is_post: bool,
}

/// Result of the classification of a request.
pub struct Classification {
    /// Position of the request's class in the settings.
    pub class: usize,
    /// Position of the request's tenant in the settings; 0 if the settings have no tenants.
    pub tenant: usize,
    /// Time that the client waits for the answer, in milliseconds.
    pub deadline_ms: Millis,
    /// Method of the request.
    pub method: Method,
}

/// Classifies a request. Its id may have at most `max_id_bytes` bytes.
///
/// # Errors
/// The reason why the head is invalid.
pub fn classify(
    deployment: &Deployment,
    max_id_bytes: usize,
    head: &RequestHead,
) -> Result<Classification, &'static str> {
    let required = |field: &RequestField| (head.single_value)(field).ok_or(field.missing);
    let id = required(&ID)?;
    if id.is_empty() || id.len() > max_id_bytes {
        return Err(ID.malformed);
    }
    let kind = required(&KIND)?;
    let class = deployment.classes.iter().position(|c| c == kind).ok_or(KIND.malformed)?;
    let tenant = if deployment.tenants.is_empty() {
        0
    } else {
        let owner = required(&OWNER)?;
        deployment.tenants.iter().position(|t| t == owner).ok_or(OWNER.malformed)?
    };
    let timeout_ms = parse_duration(required(&DEADLINE)?).ok_or(DEADLINE.malformed)?;
    let keyed = (head.single_value)(&KEY).is_some_and(|k| !k.is_empty());
    let fits_class = match deployment.policy.classes[class].effect {
        Effect::Free => head.is_get,
        Effect::Guarded { .. } => head.is_post && keyed,
        Effect::SingleShot => head.is_post && !head.has_key,
    };
    if !fits_class {
        return Err("the method or Idempotency-Key does not fit the class");
    }
    Ok(Classification {
        class,
        tenant,
        deadline_ms: timeout_ms,
        method: if head.is_get { Method::Get } else { Method::Post },
    })
}

/// Parses a duration of at most one day in the format of clients: a number, and `m` for milliseconds or `u` for
/// microseconds.
fn parse_duration(text: &str) -> Option<Millis> {
    let text = text.trim();
    let (number, unit) = match (text.strip_suffix('m'), text.strip_suffix('u')) {
        (Some(number), _) => (number, 1.0),
        (_, Some(number)) => (number, 0.001),
        _ => return None,
    };
    let is_decimal = !number.is_empty() && number.bytes().all(|b| b.is_ascii_digit() || b == b'.');
    let value = is_decimal.then(|| number.parse::<f64>().ok())?? * unit;
    (0.0..=86_400_000.0).contains(&value).then_some(value)
}

#[cfg(test)]
mod tests;
