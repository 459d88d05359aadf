//! Parts shared by the daemons of herondock.
//!
//! | module | contents |
//! | --- | --- |
//! | [`control`] | control socket: commands to a running daemon, both sides |
//! | [`log`] | log output: one line on standard error for each event of `tracing` |
//! | [`service_manager`] | notification of the service manager, watchdog, socket activation |
//! | [`pid_file`] | pid file, held by a lock |
//! | [`signals`] | signals that a daemon handles |
//! | [`table`] | text tables, as commands print them |
pub mod control;
pub mod log;
pub mod pid_file;
pub mod service_manager;
pub mod signals;
pub mod table;
