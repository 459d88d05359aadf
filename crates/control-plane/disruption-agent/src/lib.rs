//! Agreed outages at work. What is decided is the crate `outage`'s matter; here it is read from the council's record and
//! written to it.
//!
//! | module | whose |
//! | --- | --- |
//! | [`informer`] | the record's part as it stands, kept up to date |
//! | [`agent`] | a supervisor's: asks before it takes a balancer out, and helps the rule along |
//! | [`reporter`] | a balancer's: says how it stands, and which drains it obeys |
//! | [`command`] | an operator's |
pub mod agent;
pub mod command;
pub mod informer;
pub mod reporter;
