//! Simulation of disruption budgets and rollouts in virtual time. The deciding state machines are those of the program: the
//! coordination store, the supervisor, its lease agent and the rollout executor. Around them are simulated processes, links and
//! sessions with their delays, and faults, all drawn from one seed.
//!
//! | module | contents |
//! | --- | --- |
//! | [`plan`] | plan of a run: sizes, budgets, rolling operations, rollout, faults |
//! | [`world`] | the run |
//! | [`judge`] | requirements, judged by which balancers really serve |
//! | [`search`] | runs of many seeds, and reduction of a failing run to the fewest faults |
pub mod judge;
pub mod plan;
pub mod search;
pub mod world;
