//! Members of the fleet from any number of sources, merged into one view, without I/O.
//!
//! | module | what it has |
//! | --- | --- |
//! | [`endpoint`] | what a source tells of one member, and of its list |
//! | [`endpoint_set`] | the one view of all sources: the worst counts, and changes come out |
//! | [`watch`] | when a watch calls, how long a call may wait, when it is given up |
//! | [`platform`] | the platform's discovery: its answers as reports, and by when what it tells counts |
//! | [`consul`] | Consul's HTTP API: what to ask next, and what an answer counts as |
//! | [`endpoint_cache`] | the last view as it is kept over a restart |
//!
//! Nothing here reads a clock, a socket or a file: times come in, and what is to be asked comes out.
pub mod consul;
pub mod endpoint;
pub mod endpoint_cache;
pub mod endpoint_set;
pub mod platform;
pub mod watch;
