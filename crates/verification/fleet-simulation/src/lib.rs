//! The whole fleet on one thread, one virtual clock and one seed: the real decision module, lifecycle and view of members of
//! every balancer of two tiers, between modelled clients, upstreams, network and registry; and the four rules on every event.
//!
//! | module | what it has |
//! | --- | --- |
//! | [`scenario`] | what a seed decides: fleet, load, troubles, and the sources of its figures |
//! | [`world`] | the run: callers, network, registry, and what happens when |
//! | [`instance`] | one balancer around the real module |
//! | [`server`] | the model of an upstream, and its sources |
//! | [`invariant_checks`] | the four rules, and what was told to whom |
//! | [`score`] | service as the users count it |
//! | [`mutant`] | faulty variants that show that the invariants catch |
//! | [`search`] | looks for seeds that break rules or lose most, and shrinks them |
//!
//! One seed names a run whole: played again it happens again, to the same digest, on any machine and in any build. Times are
//! integers, tables are not gone through in their own order where that could show, and logarithms are `libm`'s.
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
