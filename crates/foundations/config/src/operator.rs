//! The operator's file: TOML, one table for each subsystem, every key optional, unknown keys refused.
//!
//! Times are written with their unit (`250ms`, `10s`, `2m`) and sizes too (`256B`, `64KiB`, `1MiB`). Whatever is
//! wrong is named with line, column and field. `deploy/herondock.example.toml` documents every key.
use crate::coordination::{CoordinationClientConfig, RawClientConfig};
use crate::discovery::{DiscoveryConfig, RawConsul, RawRegistry, RawStatic};
use crate::fastcgi::{FastCgi, RawFastCgi};
use crate::request_budget::{BudgetTable, RawBudget};
use crate::routing::{RawRouting, Routing};
use crate::values::{path_value, quantity, read_text, Quantity};
pub use crate::values::{read_whole, ConfigError, MAX_FILE_BYTES};
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
pub fn read(path: &Path) -> Result<OperatorConfig, String> {
    read_with(path, parse)
}

pub(crate) fn read_with<T>(path: &Path, parse: fn(&[u8]) -> Result<T, ConfigError>) -> Result<T, String> {
    crate::file::read_config(path, parse).map_err(|error| error.to_string())
}

#[cfg(test)]
mod tests {
    use super::*;

    fn error(text: &str) -> String {
        parse(text.as_bytes()).expect_err(text).to_string()
    }

    #[test]
    fn what_is_absent_has_its_default() {
        assert_eq!(parse(b"").expect("empty"), OperatorConfig::default());
        assert_eq!(parse(b"[limits]\n").expect("an empty table"), OperatorConfig::default());
        let some = parse(b"[limits]\nbody = \"128KiB\"\nidle_wait = \"1m\"\n").expect("two keys").limits;
        assert_eq!((some.body, some.idle_wait), (128 << 10, Duration::from_secs(60)));
        assert_eq!(some.head, Limits::default().head);
    }

    #[test]
    fn what_is_wrong_is_named_with_its_place() {
        for (text, place, field) in [
            ("[limits]\nbady = \"1KiB\"\n", "2:1: ", "bady"),
            ("[limit]\n", "1:2: ", "limit"),
            ("[limits]\nbody = 7\n", "2:8: ", "limits.body"),
            ("[limits]\nbody = [\"1KiB\"]\n", "2:8: ", "limits.body"),
            ("[limits]\n  idle_wait = \"10 s\"\n", "2:15: ", "limits.idle_wait"),
            ("[limits]\nidle_wait = \"10h\"\n", "2:13: ", "limits.idle_wait"),
            ("[limits]\nidle_wait = \"s\"\n", "2:13: ", "limits.idle_wait"),
            ("[limits]\nidle_wait = \"-1s\"\n", "2:13: ", "limits.idle_wait"),
            ("[limits]\nidle_wait = \"99999999999999999999s\"\n", "2:13: ", "limits.idle_wait"),
            ("[limits]\nidle_wait = \"9999999999999999999m\"\n", "2:13: ", "limits.idle_wait"),
            ("[limits]\nhead = \"2MiB\"\n", "2:8: ", "limits.head"),
            ("[limits]\nbody = \"1KiB\"\nbody = \"2KiB\"\n", "3:1: ", "duplicate"),
            ("[limits\n", "1:", ""),
            ("[daemon]\npid_file = \"\"\n", "2:12: ", "daemon.pid_file"),
            ("[daemon]\ntakeover = 3\n", "2:12: ", "daemon.takeover"),
            ("[daemon]\nserving = \"400ms\"\n", "", "daemon.serving: 400ms comes before accepting, 500ms"),
            ("# \u{e9}\u{e9}\nlimits = 3\n", "2:10: ", "limits"),
            ("[registry]\ndiscovery = false\n", "", "registry.discovery: is off, and there is no other source"),
            ("[[consul]]\nname = \"a\"\n", "1:1: ", "service"),
            ("[[consul]]\nname = \"a\"\nservice = \"s\"\nagents = [\"here\"]\n", "4:11: ", "consul[0].agents"),
            ("[[consul]]\nname = \"a\"\nservice = \"s\"\nagents = []\n", "4:10: ", "consul[0].agents"),
            (
                "[[consul]]\nname = \"a\"\nservice = \"s\"\nagents = [\"127.0.0.1:1\"]\nlist = \"all\"\n",
                "5:8: ",
                "consul[0].list: \"all\" is none of health, catalogue",
            ),
            ("[[static]]\nid = \"a\"\naddr = \"127.0.0.1:1\"\ncell = 70000\n", "4:8: ", "static[0].cell"),
            (
                "[[static]]\nid = \"a\"\naddr = \"127.0.0.1:1\"\n[[static]]\nid = \"a\"\naddr = \"127.0.0.1:2\"\n",
                "5:6: ",
                "static[1].id: another is called \"a\"",
            ),
            ("[fastcgi]\nlisten = [\"nowhere\"]\n", "2:11: ", "fastcgi.listen"),
            ("[fastcgi]\nrequests = 0\n", "2:12: ", "fastcgi.requests"),
            ("[fastcgi]\nmultiplex = 1001\n", "2:13: ", "fastcgi.multiplex"),
            ("[budget]\ntrust = [\"all\"]\n", "2:10: ", "budget.trust: \"all\" is none of http, fastcgi"),
            ("[budget]\nretries = 1000000\n", "2:11: ", "budget.retries"),
            ("[budget]\nrepeat_worth = inf\n", "2:16: ", "budget.repeat_worth"),
            ("[budget]\npool = \"\"\n", "2:8: ", "budget.pool"),
            ("[budget.names]\npath = \"Via\"\n", "2:8: ", "budget.names.path"),
            ("[budget.names]\npath = \"req-id\"\n", "budget.names", "is the name of something else"),
            ("[fastcgi.names]\nid = \"req-id\"\n", "2:6: ", "fastcgi.names.id"),
        ] {
            let error = error(text);
            assert!(error.starts_with(place) && error.contains(field), "{text:?}: {error}");
            assert_eq!(error.lines().count(), 1, "{error}");
        }
        let bytes = parse(b"[limits]\n# \xff\n").expect_err("not UTF-8").to_string();
        assert_eq!(bytes, "2:3: is not UTF-8");
    }

    #[test]
    fn what_cannot_change_while_running_is_named() {
        let next = parse(b"[limits]\nhead = \"32KiB\"\nbody = \"1MiB\"\n").expect("good");
        assert_eq!(OperatorConfig::default().fixed(&next), ["limits.head"]);
        assert!(next.fixed(&next.clone()).is_empty());
    }

    /// Guards against a key that the example leaves out, and against a default that it states wrongly.
    #[test]
    fn the_example_documents_every_key_with_its_default() {
        let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../../deploy/herondock.example.toml");
        assert_eq!(read(&path).expect("the example is good"), OperatorConfig::default());
        let text = std::fs::read_to_string(path).expect("the example");
        for (key, default) in [Limits::defaults(), Daemon::defaults()].concat() {
            let wanted = match default {
                Some(default) => format!("\n{key} = \"{default}\"\n"),
                // Absent unless it is set: shown behind a mark of a comment.
                None => format!("\n#{key} = \""),
            };
            assert!(text.contains(&wanted), "{wanted:?}");
        }
    }

    /// Guards against tables of the example that nobody could use: all that is commented out is read too.
    #[test]
    fn what_the_example_shows_behind_marks_can_be_used() {
        let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../../deploy/herondock.example.toml");
        let text = std::fs::read_to_string(path).expect("the example");
        // Keys and tables stand right behind their mark, words behind a space.
        let shown = |line: &str| match line.strip_prefix('#') {
            Some(rest) if !rest.starts_with(' ') && !rest.is_empty() => format!("{rest}\n"),
            _ => format!("{line}\n"),
        };
        let all = parse(text.lines().map(shown).collect::<String>().as_bytes()).expect("good");
        let consul = &all.registry.consul[0];
        assert_eq!(
            (&*consul.name, consul.datacentres == crate::discovery::Datacentres::Own),
            ("portal", false)
        );
        assert!(
            consul.registration.is_some()
                && all.registry.static_endpoints.len() == 1
                && all.fastcgi.params.len() == 2
        );
        assert!(all.budget.pool.is_some() && all.budget.secret_file.is_some());
        let plain =
            parse(b"[[consul]]\nname = \"a\"\nservice = \"s\"\nagents = [\"127.0.0.1:1\"]\n").expect("good");
        let plain = &plain.registry.consul[0];
        assert_eq!(
            (consul.wait, consul.min_poll_interval, consul.initial_backoff),
            (plain.wait, plain.min_poll_interval, plain.initial_backoff)
        );
        assert_eq!(
            (consul.regrow_timeout, consul.max_staleness),
            (plain.regrow_timeout, plain.max_staleness)
        );
    }

    #[test]
    fn files_that_are_none_are_refused() {
        let here = Path::new(env!("CARGO_MANIFEST_DIR"));
        assert!(read(here).expect_err("a directory").ends_with("is a directory"));
        assert!(read(&here.join("none")).is_err());
        assert!(read(Path::new("/dev/zero")).expect_err("endless").ends_with("is no regular file"));
        let large = std::env::temp_dir().join(format!("herondock-large-{}.toml", std::process::id()));
        std::fs::write(&large, vec![b'#'; 10 << 20]).expect("writes");
        let error = read(&large).expect_err("10 MiB");
        std::fs::remove_file(&large).expect("removes");
        assert!(error.ends_with("holds more than 1048576 bytes"), "{error}");
    }

    /// Guards against a mixture of an old and a new file: one writer replaces it all the time.
    /// Guards against caps below what fleets have: 2,000 members are read, and one too many is named.
    #[test]
    fn a_list_is_as_long_as_its_file_up_to_the_bound() {
        let of = |n: u16| {
            let entry = |k| format!("[[static]]\nid = \"s-{k}\"\naddr = \"127.0.0.1:{}\"\n", 1024 + k);
            parse((0..n).map(entry).collect::<String>().as_bytes())
        };
        assert_eq!(of(2000).expect("good").registry.static_endpoints.len(), 2000);
        let fault = of(4097).expect_err("too many").to_string();
        assert!(fault.contains("static") && fault.contains("more than 4096"), "{fault}");
    }

    #[test]
    fn a_file_that_is_replaced_meanwhile_is_read_whole() {
        let path = std::env::temp_dir().join(format!("herondock-replaced-{}.toml", std::process::id()));
        let text = |wait: &str| format!("# {}\n[limits]\nrequest_wait = \"{wait}\"\n", wait.repeat(20_000));
        let both = ["1s", "22s"];
        let replace = |n: usize| {
            let next = path.with_extension("next");
            std::fs::write(&next, text(both[n % 2])).and_then(|()| std::fs::rename(&next, &path))
        };
        replace(0).expect("writes");
        std::thread::scope(|scope| {
            let writer = scope.spawn(|| (1..200).all(|n| replace(n).is_ok()));
            while !writer.is_finished() {
                let got = read(&path).expect("one of the two").limits.request_wait;
                assert!(got == Duration::from_secs(1) || got == Duration::from_secs(22), "{got:?}");
            }
            assert!(writer.join().expect("no panic"));
        });
        std::fs::remove_file(&path).expect("removes");
    }
}
