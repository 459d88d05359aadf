//! What a request is, by what its caller says of it: the same for every front.
use crate::exchange::Method;
use balancer::{Effect, Millis};
use config::Deployment;

/// What a caller says of a request.
pub struct Field {
    /// Its header (PROTOCOL), in small letters.
    pub header: &'static str,
    missing: &'static str,
    unsound: &'static str,
}

const ID: Field = Field { header: "req-id", missing: "Req-Id is missing", unsound: "Req-Id is bad" };
const KIND: Field =
    Field { header: "req-kind", missing: "Req-Kind is missing", unsound: "Req-Kind is unknown" };
const OWNER: Field =
    Field { header: "req-owner", missing: "Req-Owner is missing", unsound: "Req-Owner is unknown" };
const DEADLINE: Field =
    Field { header: "req-deadline", missing: "Req-Deadline is missing", unsound: "Req-Deadline is bad" };
/// The key of a request that may be repeated.
pub const KEY: Field = Field { header: "idempotency-key", missing: "", unsound: "" };

/// A request's head, of whatever protocol.
pub struct Given<'a> {
    /// The one value of a field; `None`: absent, no text, or there several times.
    pub one: &'a dyn Fn(&Field) -> Option<&'a str>,
    /// Whether there is a key at all, an empty or repeated one too.
    pub keyed: bool,
    /// Its method is GET.
    pub get: bool,
    /// Its method is POST.
    pub post: bool,
}

/// What it is.
pub struct Class {
    /// Its class, by position.
    pub class: usize,
    /// Its tenant, by position.
    pub tenant: usize,
    /// How long its caller waits.
    pub patience: Millis,
    /// Its method.
    pub method: Method,
}

/// Class, tenant and patience of a request, or what is wrong with its head. Ids have `id_most` bytes at most.
pub fn classify(d: &Deployment, id_most: usize, given: &Given) -> Result<Class, &'static str> {
    let one = |field: &Field| (given.one)(field).ok_or(field.missing);
    let id = one(&ID)?;
    if id.is_empty() || id.len() > id_most {
        return Err(ID.unsound);
    }
    let kind = one(&KIND)?;
    let class = d.classes.iter().position(|c| c == kind).ok_or(KIND.unsound)?;
    let tenant = if d.tenants.is_empty() {
        0
    } else {
        let owner = one(&OWNER)?;
        d.tenants.iter().position(|t| t == owner).ok_or(OWNER.unsound)?
    };
    let patience = span(one(&DEADLINE)?).ok_or(DEADLINE.unsound)?;
    let keyed = (given.one)(&KEY).is_some_and(|k| !k.is_empty());
    let form = match d.policy.classes[class].effect {
        Effect::Free => given.get,
        Effect::Guarded { .. } => given.post && keyed,
        Effect::SingleShot => given.post && !given.keyed,
    };
    if !form {
        return Err("the method or Idempotency-Key does not fit the class");
    }
    Ok(Class { class, tenant, patience, method: if given.get { Method::Get } else { Method::Post } })
}

/// A span of time as callers write it: a number and `m` for milliseconds or `u` for microseconds.
fn span(text: &str) -> Option<Millis> {
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
        assert_eq!(span("480m"), Some(480.0));
        assert_eq!(span("1500u"), Some(1.5));
        for bad in ["", "m", "480", "-3m", "1e9m", "NaNm", "infm", "4 m", "99999999999m"] {
            assert_eq!(span(bad), None, "{bad}");
        }
    }
}
