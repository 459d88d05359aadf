//! What makes the program a daemon: the service manager's protocols, the pid file, and passing the sockets on.
pub mod along;
pub mod manager;
pub mod pidfile;
pub mod takeover;
