//! Members of the fleet from any number of sources, merged into one view, without I/O.
//!
//! | module | what it has |
//! | --- | --- |
//! | [`report`] | what a source tells of one member, and of its list |
//! | [`view`] | the one view of all sources: the worst counts, and changes come out |
//! | [`watch`] | when a watch calls, how long a call may wait, when it is given up |
//! | [`platform`] | the platform's discovery: its answers as reports, and by when what it tells counts |
//! | [`consul`] | Consul's HTTP API: what to ask next, and what an answer counts as |
//! | [`saved`] | the last view as it is kept over a restart |
//!
//! Nothing here reads a clock, a socket or a file: times come in, and what is to be asked comes out.
pub mod consul;
pub mod platform;
pub mod report;
pub mod saved;
pub mod view;
pub mod watch;
