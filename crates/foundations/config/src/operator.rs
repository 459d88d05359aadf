//! The operator's file: TOML with one table for each subsystem. Every key is optional, and unknown keys are rejected.
//!
//! Durations (`250ms`, `10s`, `2m`) and sizes (`256B`, `64KiB`, `1MiB`) are written with their unit. Errors contain line,
//! column and field. `deploy/herondock.example.toml` documents every key.
use crate::coordination::{CoordinationClientConfig, RawClientConfig};
use crate::discovery::{DiscoveryConfig, RawConsul, RawRegistry, RawStatic};
use crate::fastcgi::{FastCgi, RawFastCgi};
use crate::file::{read_config, ConfigFileError};
use crate::request_budget::{BudgetTable, RawBudget};
use crate::routing::{RawRouting, Routing};
use crate::values::{path_value, quantity, read_text, Quantity};
pub use crate::values::{read_consistent, ConfigError, ReadFileError, MAX_FILE_BYTES};
use serde::Deserialize;
use std::path::{Path, PathBuf};
use std::time::Duration;
use toml::Spanned;

/// Defines a table: its keys with type, default, bounds, and whether a reload may change them.
macro_rules! table {
    ($(#[$table_doc:meta])* $name:ident, $raw:ident, $path:literal, {
        $($(#[$doc:meta])* $field:ident: $kind:ty = $default:expr, $min:expr, $max:expr, reloadable: $reloadable:literal;)*
    } paths {
        $($(#[$file_doc:meta])* $file:ident;)*
    }) => {
        $(#[$table_doc])*
        #[derive(Clone, Debug, PartialEq)]
        pub struct $name {
            $($(#[$doc])* pub $field: $kind,)*
            $($(#[$file_doc])* pub $file: Option<PathBuf>,)*
        }

        impl Default for $name {
            fn default() -> Self {
                $name { $($field: $default,)* $($file: None,)* }
            }
        }

        #[derive(Deserialize, Default)]
        #[serde(deny_unknown_fields)]
        struct $raw {
            $($field: Option<Spanned<String>>,)*
            $($file: Option<Spanned<String>>,)*
        }

        impl $raw {
            fn resolve(self, text: &str) -> Result<$name, ConfigError> {
                let defaults = $name::default();
                Ok($name {
                    $($field: quantity(
                        text, concat!($path, ".", stringify!($field)), self.$field, defaults.$field, $min, $max,
                    )?,)*
                    $($file: path_value(text, concat!($path, ".", stringify!($file)), self.$file)?,)*
                })
            }
        }

        impl $name {
            /// Every key of the table with its default as written in the file; `None` if the key is absent by default.
            pub fn defaults() -> Vec<(&'static str, Option<String>)> {
                let defaults = $name::default();
                vec![$((stringify!($field), Some(defaults.$field.to_text())),)* $((stringify!($file), None),)*]
            }

            /// Keys that differ from `next` and can't be changed by a reload.
            fn fixed(&self, next: &$name) -> Vec<&'static str> {
                let mut names = Vec::new();
                $(if !$reloadable && self.$field != next.$field {
                    names.push(concat!($path, ".", stringify!($field)));
                })*
                $(if self.$file != next.$file {
                    names.push(concat!($path, ".", stringify!($file)));
                })*
                names
            }
        }
    };
}

const fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

table! {
    /// Limits of sizes and times on connections to clients and upstreams.
    Limits, RawLimits, "limits", {
        /// Maximum size of the head of a request or response, in bytes.
        head: usize = 16 << 10, 8 << 10, 1 << 20, reloadable: false;
        /// Maximum size of the body of a request or response, in bytes.
        body: usize = 64 << 10, 1 << 10, 64 << 20, reloadable: true;
        /// Maximum length of a request id, in bytes.
        request_id: usize = 256, 16, 4 << 10, reloadable: true;
        /// Maximum size of an endpoint list from a source, in bytes.
        list: usize = 4 << 20, 64 << 10, 64 << 20, reloadable: true;
        /// Maximum time to receive a request, from the start of the connection or, on a kept connection, from the first
        /// byte of the request.
        request_wait: Duration = ms(2500), ms(10), ms(600_000), reloadable: true;
        /// Maximum time that a client's connection may be idle after a response.
        idle_wait: Duration = ms(10_000), ms(10), ms(3_600_000), reloadable: true;
        /// Maximum time for a client to read the remaining output of a connection that is closing and has no open request.
        flush_wait: Duration = ms(2000), ms(10), ms(60_000), reloadable: true;
        /// Time for which the input of a rejected client is read and discarded.
        linger_wait: Duration = ms(500), ms(0), ms(60_000), reloadable: true;
        /// Maximum amount of a rejected client's input that is read and discarded, in bytes.
        linger: usize = 1 << 20, 0, 64 << 20, reloadable: true;
        /// Time after which a client may retry that was rejected because too many requests are open.
        full_pause: Duration = ms(500), ms(1), ms(60_000), reloadable: true;
        /// Time by which an idle connection is closed before the upstream would close it.
        upstream_idle_margin: Duration = ms(250), ms(0), ms(60_000), reloadable: true;
    } paths {}
}

table! {
    /// Process settings: the pid file, the handoff of listening sockets, and the phases of the shutdown.
    Daemon, RawDaemon, "daemon", {
        /// Time after SIGTERM for which new connections are accepted.
        accepting: Duration = ms(500), ms(0), ms(600_000), reloadable: false;
        /// Time after SIGTERM for which kept connections are served.
        serving: Duration = ms(2400), ms(0), ms(600_000), reloadable: false;
        /// Last part of `serving`, in which responses announce that their connection closes.
        announcing: Duration = ms(500), ms(0), ms(600_000), reloadable: false;
        /// Time after SIGTERM at which open requests get their final response.
        last_answer: Duration = ms(3500), ms(0), ms(600_000), reloadable: false;
        /// Time after SIGTERM at which the process exits.
        end: Duration = ms(3650), ms(0), ms(600_000), reloadable: false;
        /// Time after the handoff at which idle connections are closed.
        handed_over_silent: Duration = ms(10_000), ms(0), ms(600_000), reloadable: false;
        /// Time after the handoff at which open requests get their final response.
        handed_over: Duration = ms(60_000), ms(0), ms(600_000), reloadable: false;
    } paths {
        /// Pid file, which is locked while the process runs.
        pid_file;
        /// Unix socket through which a new process requests the listening sockets.
        takeover;
    }
}

/// Content of the operator's file.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct OperatorConfig {
    /// `[limits]`
    pub limits: Limits,
    /// `[daemon]`
    pub daemon: Daemon,
    /// `[registry]`, `[[consul]]` and `[[static]]`
    pub registry: DiscoveryConfig,
    /// `[fastcgi]`
    pub fastcgi: FastCgi,
    /// `[budget]`
    pub budget: BudgetTable,
    /// `[routing]`
    pub routing: Routing,
    /// `[council]`; `None`: this instance does not use the coordination service.
    pub council: Option<CoordinationClientConfig>,
}

#[derive(Deserialize, Default)]
#[serde(deny_unknown_fields)]
struct Raw {
    #[serde(default)]
    limits: RawLimits,
    #[serde(default)]
    daemon: RawDaemon,
    #[serde(default)]
    registry: RawRegistry,
    #[serde(default)]
    consul: Vec<RawConsul>,
    #[serde(default, rename = "static")]
    static_tables: Vec<RawStatic>,
    #[serde(default)]
    fastcgi: RawFastCgi,
    #[serde(default)]
    budget: RawBudget,
    #[serde(default)]
    routing: RawRouting,
    council: Option<RawClientConfig>,
}

impl OperatorConfig {
    /// Keys, or whole tables, that differ in `next` and can't be changed by a reload.
    pub fn fixed(&self, next: &OperatorConfig) -> Vec<&'static str> {
        let mut names = [self.limits.fixed(&next.limits), self.daemon.fixed(&next.daemon)].concat();
        if self.registry != next.registry {
            names.push("registry, consul, static");
        }
        if self.fastcgi != next.fastcgi {
            names.push("fastcgi");
        }
        if self.budget != next.budget {
            names.push("budget");
        }
        if self.council != next.council {
            names.push("council");
        }
        names
    }
}

/// Parses the content of an operator's file.
///
/// # Errors
/// The first fault, with its position.
pub fn parse(bytes: &[u8]) -> Result<OperatorConfig, ConfigError> {
    let (text, raw) = read_text::<Raw>(bytes)?;
    let fastcgi = crate::fastcgi::resolve(text, raw.fastcgi)?;
    let budget = crate::request_budget::resolve(text, raw.budget)?;
    let routing = crate::routing::resolve(text, raw.routing)?;
    let registry = crate::discovery::resolve(text, raw.registry, raw.consul, raw.static_tables)?;
    let operator = OperatorConfig {
        limits: raw.limits.resolve(text)?,
        daemon: raw.daemon.resolve(text)?,
        registry,
        fastcgi,
        budget,
        routing,
        council: raw.council.map(|council| council.resolve(text)).transpose()?,
    };
    let daemon = &operator.daemon;
    for (field, previous, min, value) in [
        ("daemon.serving", "accepting", daemon.accepting, daemon.serving),
        ("daemon.last_answer", "serving", daemon.serving, daemon.last_answer),
        ("daemon.end", "last_answer", daemon.last_answer, daemon.end),
        ("daemon.handed_over", "handed_over_silent", daemon.handed_over_silent, daemon.handed_over),
    ] {
        if value < min {
            let message = format!("{} is before {previous}, {}", value.to_text(), min.to_text());
            return Err(ConfigError { line: 0, column: 0, field: field.into(), message });
        }
    }
    Ok(operator)
}

/// Reads the operator's file.
///
/// # Errors
/// One line: the path, line and column if known, the field, and the fault.
pub fn read(path: &Path) -> Result<OperatorConfig, ConfigFileError> {
    read_config(path, parse)
}

/// Whether a file contains the header of a table as a line; `false` if it can't be read.
pub(crate) fn has_table(path: &Path, header: &str) -> bool {
    let bytes = read_consistent(path, MAX_FILE_BYTES).unwrap_or_default();
    String::from_utf8_lossy(&bytes).lines().any(|line| line.trim() == header)
}

#[cfg(test)]
mod tests;
