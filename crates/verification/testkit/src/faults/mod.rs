//! Fault injection into the environment of processes and the links between them.
//!
//! | module | contents |
//! | --- | --- |
//! | [`disk`] | the disk of a running process: full, and with free space again |
//! | [`link`] | the links between processes, with a rule for each direction |
//! | [`machine`] | machines: groups of processes that are killed, paused and restarted together |
//! | [`script`] | shrinking of a failing fault schedule, and its report |
pub mod disk;
pub mod link;
pub mod machine;
pub mod script;
