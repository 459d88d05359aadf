//! Faults of what processes stand on, and between them.
//!
//! | module | what it breaks |
//! | --- | --- |
//! | [`disk`] | the disk of a running process: full, and with room again; put back to an older state |
//! | [`link`] | the links between processes, each direction by itself |
//! | [`machine`] | machines: groups of processes that die, stop and come back together |
//! | [`script`] | which of these when, from one seed; shrunk when it fails |
pub mod disk;
pub mod link;
pub mod machine;
pub mod script;
