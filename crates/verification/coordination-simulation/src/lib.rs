//! Simulation of the coordination service: the real state machines of voters and clients, with modelled disks, links and
//! clocks, under faults that one seed decides, and a judge of the clients' histories. No sockets, no files, virtual time.
//!
//! | module | contents |
//! | --- | --- |
//! | [`plan`] | what a seed decides: size, clocks, faults |
//! | [`disk`] | the model of a disk |
//! | [`world`] | the run |
//! | [`workload`] | what clients do, and their histories |
//! | [`judge`] | checks of the histories |
//! | [`search`] | many seeds, and shrinking of a failing plan |
//!
//! Not modelled: the bytes of files and frames, whose crash points the tests of the journal cover, and a disk that is set back
//! to an older state, which no protocol of this kind tolerates.
pub mod disk;
pub mod judge;
pub mod plan;
pub mod search;
pub mod workload;
pub mod world;
