//! Service discovery without I/O: endpoints from several sources, merged into one set.
//!
//! | module | contents |
//! | --- | --- |
//! | [`endpoint`] | reports of one source about endpoints |
//! | [`endpoint_set`] | the set of all sources' endpoints: merges reports and returns the changes |
//! | [`endpoint_cache`] | serialised endpoint set, which outlives a restart |
//! | [`watch`] | timing of a watch: intervals, long polls, timeouts and backoff |
//! | [`platform`] | the platform's discovery service: responses, requests and staleness bounds |
//! | [`consul`] | Consul's HTTP API: requests and the meaning of responses |
//!
//! Nothing here reads a clock, a socket or a file: times are passed in, and requests to be sent are returned.
pub mod consul;
pub mod endpoint;
pub mod endpoint_cache;
pub mod endpoint_set;
pub mod platform;
pub mod watch;
