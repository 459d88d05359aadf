//! The operator's file: TOML, one table for each subsystem, every key optional, unknown keys refused.
//!
//! Times are written with their unit (`250ms`, `10s`, `2m`) and sizes too (`256B`, `64KiB`, `1MiB`). Whatever is
//! wrong is named with line, column and field. `deploy/herondock.example.toml` documents every key.
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

/// One table: its keys with type, default, bounds, and whether they may change while the program runs.
macro_rules! table {
    ($(#[$about:meta])* $name:ident, $raw:ident, $path:literal, {
        $($(#[$doc:meta])* $field:ident: $kind:ty = $default:expr, $least:expr, $most:expr, live: $live:literal;)*
    } paths {
        $($(#[$fdoc:meta])* $file:ident;)*
    }) => {
        $(#[$about])*
        #[derive(Clone, Debug, PartialEq)]
        pub struct $name {
            $($(#[$doc])* pub $field: $kind,)*
            $($(#[$fdoc])* pub $file: Option<PathBuf>,)*
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
                let d = $name::default();
                Ok($name {
                    $($field: quantity(
                        text, concat!($path, ".", stringify!($field)), self.$field, d.$field, $least, $most,
                    )?,)*
                    $($file: path_value(text, concat!($path, ".", stringify!($file)), self.$file)?,)*
                })
            }
        }

        impl $name {
            /// Every key of the table with its default, as the file writes it; none for one that is absent.
            pub fn defaults() -> Vec<(&'static str, Option<String>)> {
                let d = $name::default();
                vec![$((stringify!($field), Some(d.$field.show())),)* $((stringify!($file), None),)*]
            }

            /// The keys that differ from `next` and can't change while the program runs.
            fn fixed(&self, next: &$name) -> Vec<&'static str> {
                let mut names = Vec::new();
                $(if !$live && self.$field != next.$field {
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

const fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

table! {
    /// Sizes and waits at the sockets, towards callers and upstreams.
    Limits, RawLimits, "limits", {
        /// Largest head of a message, both ways.
        head: usize = 16 << 10, 8 << 10, 1 << 20, live: false;
        /// Largest body, both ways.
        body: usize = 64 << 10, 1 << 10, 64 << 20, live: true;
        /// Longest id of a request.
        request_id: usize = 256, 16, 4 << 10, live: true;
        /// Largest list of members that is accepted from a source.
        list: usize = 4 << 20, 64 << 10, 64 << 20, live: true;
        /// How long a caller has for a request, counted from its connection or, on a kept one, from its first byte.
        request_wait: Duration = ms(2500), ms(10), ms(600_000), live: true;
        /// How long a caller that has been answered may keep its connection unused.
        idle_wait: Duration = ms(10_000), ms(10), ms(3_600_000), live: true;
        /// How long a connection that is to close, and owes no answer, has to take what was written.
        flush_wait: Duration = ms(2000), ms(10), ms(60_000), live: true;
        /// For how long what a caller goes on sending after it was turned away is read.
        linger_wait: Duration = ms(500), ms(0), ms(60_000), live: true;
        /// And how much of it.
        linger: usize = 1 << 20, 0, 64 << 20, live: true;
        /// When a caller may come again that found as many requests open as may be.
        full_pause: Duration = ms(500), ms(1), ms(60_000), live: true;
        /// How much sooner than the upstream would close it an idle connection is dropped.
        upstream_idle_margin: Duration = ms(250), ms(0), ms(60_000), live: true;
    } paths {}
}

table! {
    /// The process: its pid file, how it passes its sockets on, and how long its end takes.
    Daemon, RawDaemon, "daemon", {
        /// How long new connections are accepted after SIGTERM.
        accepting: Duration = ms(500), ms(0), ms(600_000), live: false;
        /// How long kept connections are served after it.
        serving: Duration = ms(2400), ms(0), ms(600_000), live: false;
        /// The last part of that, in which answers say that their connection closes.
        announcing: Duration = ms(500), ms(0), ms(600_000), live: false;
        /// When what is open then gets its final answer.
        last_answer: Duration = ms(3500), ms(0), ms(600_000), live: false;
        /// When the process ends.
        end: Duration = ms(3650), ms(0), ms(600_000), live: false;
        /// When connections that stay silent are closed after the sockets were passed on.
        handed_over_silent: Duration = ms(10_000), ms(0), ms(600_000), live: false;
        /// When what is open gets its final answer after the sockets were passed on.
        handed_over: Duration = ms(60_000), ms(0), ms(600_000), live: false;
    } paths {
        /// The pid file, locked while the process runs.
        pid_file;
        /// The Unix socket at which a new process asks for the listening sockets.
        takeover;
    }
}

/// All that the operator's file says.
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
    /// `[council]`; `None`: this instance belongs to none.
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
    fixed: Vec<RawStatic>,
    #[serde(default)]
    fastcgi: RawFastCgi,
    #[serde(default)]
    budget: RawBudget,
    #[serde(default)]
    routing: RawRouting,
    council: Option<RawClientConfig>,
}

impl OperatorConfig {
    /// The keys in which `next` differs and that can't change while the program runs.
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

/// Reads the text of a file.
///
/// # Errors
/// The first fault, with its place.
pub fn parse(bytes: &[u8]) -> Result<OperatorConfig, ConfigError> {
    let (text, raw) = read_text::<Raw>(bytes)?;
    let fastcgi = crate::fastcgi::resolve(text, raw.fastcgi)?;
    let budget = crate::request_budget::resolve(text, raw.budget)?;
    let routing = crate::routing::resolve(text, raw.routing)?;
    let registry = crate::discovery::resolve(text, raw.registry, raw.consul, raw.fixed)?;
    let operator = OperatorConfig {
        limits: raw.limits.resolve(text)?,
        daemon: raw.daemon.resolve(text)?,
        registry,
        fastcgi,
        budget,
        routing,
        council: raw.council.map(|c| c.resolve(text)).transpose()?,
    };
    let d = &operator.daemon;
    for (field, before, least, value) in [
        ("daemon.serving", "accepting", d.accepting, d.serving),
        ("daemon.last_answer", "serving", d.serving, d.last_answer),
        ("daemon.end", "last_answer", d.last_answer, d.end),
        ("daemon.handed_over", "handed_over_silent", d.handed_over_silent, d.handed_over),
    ] {
        if value < least {
            let what = format!("{} comes before {before}, {}", value.show(), least.show());
            return Err(ConfigError { line: 0, column: 0, field: field.into(), what });
        }
    }
    Ok(operator)
}

/// Reads the operator's file.
///
/// # Errors
/// One line: the file's path, then line and column where there are any, the field, and what is wrong.
pub fn read(path: &Path) -> Result<OperatorConfig, ConfigFileError> {
    read_config(path, parse)
}

/// Whether a line of a file is the header of this table.
pub(crate) fn has_table(path: &Path, header: &str) -> bool {
    let bytes = read_consistent(path, MAX_FILE_BYTES).unwrap_or_default();
    String::from_utf8_lossy(&bytes).lines().any(|line| line.trim() == header)
}

#[cfg(test)]
mod tests;
