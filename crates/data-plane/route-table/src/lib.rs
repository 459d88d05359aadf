//! Selection of the pool for a request, and proofs of expectations about the routes, without I/O.
//!
//! | module | content |
//! | --- | --- |
//! | [`spec`] | pools, routes and expectations as written by an operator |
//! | [`path`] | parsing of unambiguous request paths |
//! | [`pattern`] | patterns of paths and hosts, and their differences |
//! | [`cube`] | sets of requests: intersection, difference, and an example from a set |
//! | [`split`] | weighted choice of a pool by key, with weights in parts of 10,000 |
//! | [`table`] | validation, compilation and lookup of routes |
//! | [`expect`] | proofs of expectations for all possible requests |
//! | [`diff`] | requests that are routed differently by two tables |
pub mod cube;
pub mod diff;
pub mod expect;
pub mod path;
pub mod pattern;
pub mod spec;
pub mod split;
pub mod table;
