//! The table `[fastcgi]` of the operator's file: where FastCGI callers connect, and what goes to members that speak it.
use crate::values::{fault_at, ConfigError};
use serde::Deserialize;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::PathBuf;
use toml::Spanned;

/// Most listeners, and most declared params.
const MAX_PARAMS: usize = 64;
/// Longest text of a value.
const MAX_TEXT_BYTES: usize = 1024;

/// Where callers connect.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Listen {
    /// TCP.
    Tcp(SocketAddr),
    /// A Unix socket.
    Unix(PathBuf),
}

/// FastCGI, both sides.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FastCgi {
    /// Where callers connect; none by default.
    pub listen: Vec<Listen>,
    /// Requests at once on a caller's connection.
    pub requests: usize,
    /// Requests at once on a connection to a member that says that it takes several; 1: it is not asked.
    pub multiplex: usize,
    /// Params in which a request's id, class, tenant, key and deadline are.
    pub names: Names,
    /// Params for members, with their templates.
    pub params: Vec<(String, String)>,
}

impl Default for FastCgi {
    fn default() -> Self {
        FastCgi { listen: Vec::new(), requests: 1, multiplex: 1, names: Names::default(), params: Vec::new() }
    }
}

/// Names of params.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Names {
    /// The request's id.
    pub id: String,
    /// Its class.
    pub class: String,
    /// Its tenant.
    pub tenant: String,
    /// Its key.
    pub key: String,
    /// How long its caller waits.
    pub deadline: String,
}

impl Default for Names {
    fn default() -> Self {
        Names {
            id: "HTTP_REQ_ID".into(),
            class: "HTTP_REQ_KIND".into(),
            tenant: "HTTP_REQ_OWNER".into(),
            key: "HTTP_IDEMPOTENCY_KEY".into(),
            deadline: "HTTP_REQ_DEADLINE".into(),
        }
    }
}

#[derive(Deserialize, Default)]
#[serde(deny_unknown_fields)]
pub(crate) struct RawFastCgi {
    #[serde(default)]
    listen: Vec<Spanned<String>>,
    requests: Option<Spanned<i64>>,
    multiplex: Option<Spanned<i64>>,
    #[serde(default)]
    names: RawNames,
    #[serde(default)]
    params: BTreeMap<String, Spanned<String>>,
}

#[derive(Deserialize, Default)]
#[serde(deny_unknown_fields)]
struct RawNames {
    id: Option<Spanned<String>>,
    class: Option<Spanned<String>>,
    tenant: Option<Spanned<String>>,
    key: Option<Spanned<String>>,
    deadline: Option<Spanned<String>>,
}

fn listen(text: &str, given: &Spanned<String>) -> Result<Listen, ConfigError> {
    let value = given.get_ref();
    // What a Unix socket's path can hold (`sun_path` of Linux, less its end).
    if value.starts_with('/') && value.len() <= 107 && !value.contains('\0') {
        return Ok(Listen::Unix(value.into()));
    }
    let what = || format!("{value:?} is neither an IP address with a port nor the path of a Unix socket");
    value.parse().map(Listen::Tcp).map_err(|_| fault_at(text, given.span().start, "fastcgi.listen", what()))
}

pub(crate) fn resolve(text: &str, raw: RawFastCgi) -> Result<FastCgi, ConfigError> {
    let d = Names::default();
    let name = |field: &str, given: Option<Spanned<String>>, default: String| {
        let Some(given) = given else { return Ok(default) };
        let plain = |b: u8| b.is_ascii_uppercase() || b.is_ascii_digit() || b == b'_';
        if given.get_ref().is_empty() || given.get_ref().len() > 128 || !given.get_ref().bytes().all(plain) {
            let what = "is no name of capital letters, digits and _".into();
            return Err(fault_at(text, given.span().start, &format!("fastcgi.names.{field}"), what));
        }
        Ok(given.into_inner())
    };
    if raw.listen.len() > MAX_PARAMS || raw.params.len() > MAX_PARAMS {
        let what = format!("there are more than {MAX_PARAMS}");
        return Err(ConfigError { line: 0, column: 0, field: "fastcgi.listen, fastcgi.params".into(), what });
    }
    let at_once = |field: &str, given: Option<Spanned<i64>>| {
        let Some(n) = given else { return Ok(1) };
        let fits = usize::try_from(*n.get_ref()).ok().filter(|n| (1..=1000).contains(n));
        fits.ok_or_else(|| {
            fault_at(text, n.span().start, &format!("fastcgi.{field}"), "is not between 1 and 1000".into())
        })
    };
    let (requests, multiplex) = (at_once("requests", raw.requests)?, at_once("multiplex", raw.multiplex)?);
    let mut params = Vec::new();
    for (param, value) in raw.params {
        if value.get_ref().len() > MAX_TEXT_BYTES || value.get_ref().chars().any(char::is_control) {
            let what = format!("is no text of {MAX_TEXT_BYTES} bytes at most without control characters");
            return Err(fault_at(text, value.span().start, &format!("fastcgi.params.{param}"), what));
        }
        params.push((param, value.into_inner()));
    }
    let n = raw.names;
    Ok(FastCgi {
        listen: raw.listen.iter().map(|l| listen(text, l)).collect::<Result<_, _>>()?,
        requests,
        multiplex,
        names: Names {
            id: name("id", n.id, d.id)?,
            class: name("class", n.class, d.class)?,
            tenant: name("tenant", n.tenant, d.tenant)?,
            key: name("key", n.key, d.key)?,
            deadline: name("deadline", n.deadline, d.deadline)?,
        },
        params,
    })
}
