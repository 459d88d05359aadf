//! Table `[fastcgi]` of the operator's file: listeners for FastCGI clients, and params for FastCGI endpoints.
use crate::values::{fault_at, ConfigError};
use serde::Deserialize;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::PathBuf;
use toml::Spanned;

/// Maximum number of listeners, and of declared params.
const MAX_ENTRIES: usize = 64;
/// Maximum length of a param's template, in bytes.
const MAX_TEMPLATE_BYTES: usize = 1024;

/// Address of a listener.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Listen {
    /// TCP address.
    Tcp(SocketAddr),
    /// Path of a Unix socket.
    Unix(PathBuf),
}

/// FastCGI settings for clients and endpoints.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FastCgi {
    /// Listeners for clients; none by default.
    pub listen: Vec<Listen>,
    /// Maximum number of concurrent requests on a client's connection.
    pub requests: usize,
    /// Maximum number of concurrent requests on a connection to an endpoint that supports multiplexing; 1: the endpoint is
    /// not queried for support.
    pub multiplex: usize,
    /// Names of the params that contain a request's id, class, tenant, idempotency key and deadline.
    pub names: Names,
    /// Params sent to endpoints, as pairs of name and template.
    pub params: Vec<(String, String)>,
}

impl Default for FastCgi {
    fn default() -> Self {
        FastCgi { listen: Vec::new(), requests: 1, multiplex: 1, names: Names::default(), params: Vec::new() }
    }
}

/// Names of the params that contain attributes of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Names {
    /// Request id.
    pub id: String,
    /// Request class.
    pub class: String,
    /// Tenant.
    pub tenant: String,
    /// Idempotency key.
    pub key: String,
    /// Deadline.
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

/// Parses the address of a listener.
fn listener(text: &str, given: &Spanned<String>) -> Result<Listen, ConfigError> {
    let value = given.get_ref();
    // 107 bytes is the maximum length of a Unix socket's path (`sun_path` of Linux, without the terminator).
    if value.starts_with('/') && value.len() <= 107 && !value.contains('\0') {
        return Ok(Listen::Unix(value.into()));
    }
    let message = || format!("{value:?} is neither an IP address with a port nor the path of a Unix socket");
    value
        .parse()
        .map(Listen::Tcp)
        .map_err(|_| fault_at(text, given.span().start, "fastcgi.listen", message()))
}

/// Checks the table and applies the defaults.
pub(crate) fn resolve(text: &str, raw: RawFastCgi) -> Result<FastCgi, ConfigError> {
    let defaults = Names::default();
    let name = |field: &str, given: Option<Spanned<String>>, default: String| {
        let Some(given) = given else { return Ok(default) };
        let is_allowed = |b: u8| b.is_ascii_uppercase() || b.is_ascii_digit() || b == b'_';
        if given.get_ref().is_empty()
            || given.get_ref().len() > 128
            || !given.get_ref().bytes().all(is_allowed)
        {
            let message = "is not a name of capital letters, digits and _".into();
            return Err(fault_at(text, given.span().start, &format!("fastcgi.names.{field}"), message));
        }
        Ok(given.into_inner())
    };
    if raw.listen.len() > MAX_ENTRIES || raw.params.len() > MAX_ENTRIES {
        let message = format!("there are more than {MAX_ENTRIES}");
        return Err(ConfigError {
            line: 0,
            column: 0,
            field: "fastcgi.listen, fastcgi.params".into(),
            message,
        });
    }
    let concurrency = |field: &str, given: Option<Spanned<i64>>| {
        let Some(value) = given else { return Ok(1) };
        let count = usize::try_from(*value.get_ref()).ok().filter(|n| (1..=1000).contains(n));
        count.ok_or_else(|| {
            fault_at(
                text,
                value.span().start,
                &format!("fastcgi.{field}"),
                "is not between 1 and 1000".into(),
            )
        })
    };
    let (requests, multiplex) =
        (concurrency("requests", raw.requests)?, concurrency("multiplex", raw.multiplex)?);
    let mut params = Vec::new();
    for (param, value) in raw.params {
        if value.get_ref().len() > MAX_TEMPLATE_BYTES || value.get_ref().chars().any(char::is_control) {
            let message =
                format!("is not a text of at most {MAX_TEMPLATE_BYTES} bytes without control characters");
            return Err(fault_at(text, value.span().start, &format!("fastcgi.params.{param}"), message));
        }
        params.push((param, value.into_inner()));
    }
    let names = raw.names;
    Ok(FastCgi {
        listen: raw.listen.iter().map(|l| listener(text, l)).collect::<Result<_, _>>()?,
        requests,
        multiplex,
        names: Names {
            id: name("id", names.id, defaults.id)?,
            class: name("class", names.class, defaults.class)?,
            tenant: name("tenant", names.tenant, defaults.tenant)?,
            key: name("key", names.key, defaults.key)?,
            deadline: name("deadline", names.deadline, defaults.deadline)?,
        },
        params,
    })
}
