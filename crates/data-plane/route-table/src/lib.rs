//! Which pool a request goes to, and proofs of what must be true of that, without I/O.
//!
//! | module | what it has |
//! | --- | --- |
//! | [`spec`] | pools, routes and expectations as an operator writes them |
//! | [`path`] | paths that mean the same to everybody, and no others |
//! | [`pattern`] | patterns of paths and hosts, and what is left of one without some others |
//! | [`cube`] | sets of requests: meet, difference, and a smallest request in one |
//! | [`split`] | a key's pool among several, by parts of 10,000 |
//! | [`table`] | routes checked and compiled; what a request gets |
//! | [`expect`] | expectations, proved for all requests that there can be |
//! | [`diff`] | who moves between two tables |
pub mod cube;
pub mod diff;
pub mod expect;
pub mod path;
pub mod pattern;
pub mod spec;
pub mod split;
pub mod table;
