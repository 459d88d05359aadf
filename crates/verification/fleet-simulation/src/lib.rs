//! Simulates the whole fleet on one thread and one virtual clock from one seed. Every balancer of both tiers runs the
//! production decision module, lifecycle and endpoint view. Clients, upstreams, network and registry are models. Four
//! invariants are checked on every event.
//!
//! | module | contents |
//! | --- | --- |
//! | [`scenario`] | the parameters that a seed determines (fleet, load, faults), with the sources of the figures |
//! | [`world`] | the run: clients, network, registry and the event handlers |
//! | [`instance`] | one balancer instance around the production module |
//! | [`server`] | the model of an upstream, with its sources |
//! | [`invariant_checks`] | the four invariants, and the notifications that each instance received |
//! | [`score`] | the service score as the users define it |
//! | [`mutant`] | faulty variants that show that the invariants detect violations |
//! | [`search`] | searches for seeds that violate invariants or have the lowest score, and shrinks them |
//!
//! A seed determines a run completely: repeating it gives the same digest on any machine and in any build. Times are
//! integers, hash tables are not iterated in their own order where that could matter, and logarithms come from `libm`.
pub mod agenda;
pub mod draw;
pub mod instance;
pub mod invariant_checks;
pub mod mutant;
pub mod scenario;
pub mod score;
pub mod search;
pub mod server;
pub mod world;
