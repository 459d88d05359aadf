//! What every daemon of herondock shares, whatever it serves.
//!
//! | module | what it has |
//! | --- | --- |
//! | [`control`] | commands to a running daemon over its Unix socket, on both sides |
//! | [`log`] | where events of `tracing` go: one line each, on standard error |
//! | [`service_manager`] | the service manager: readiness, watchdog, sockets that it passes |
//! | [`pid_file`] | the pid file, held by a lock |
//! | [`signals`] | the signals that a daemon catches |
//! | [`table`] | rows of text, as commands print them |
pub mod control;
pub mod log;
pub mod pid_file;
pub mod service_manager;
pub mod signals;
pub mod table;
