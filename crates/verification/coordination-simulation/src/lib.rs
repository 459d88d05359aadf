//! The council in simulation: the real voter and client machines, between modelled disks, links and clocks, under faults
//! that one seed decides; and the judge of histories over all that clients were told. No sockets, no files, virtual time.
//!
//! | module | what it has |
//! | --- | --- |
//! | [`plan`] | what a seed decides: size, clocks, faults and when |
//! | [`disk`] | the model of a voter's disk |
//! | [`world`] | the run |
//! | [`workload`] | what clients do, and what they were told |
//! | [`search`] | many seeds; what fails is shrunk |
//!
//! What it does not model: bytes of files and frames (the journal's own tests visit each step of those), and a disk that
//! was set back to an older state, against which no protocol of this kind is safe.
pub mod disk;
pub mod plan;
pub mod search;
pub mod workload;
pub mod world;
