//! Disruption budgets over a real coordination service. The decisions are made by the crate [`disruption`]; this crate reads its
//! snapshots from the coordination store and executes its writes.
//!
//! | module | contents |
//! | --- | --- |
//! | [`store`] | reads and conditional writes |
//! | [`informer`] | a local copy of a part of the store |
//! | [`agent`] | lease agent of a supervisor |
//! | [`reporter`] | reports of a balancer, and the drains that it applies |
//! | [`command`] | operator commands |
pub mod agent;
pub mod command;
pub mod informer;
pub mod reporter;
pub mod store;
