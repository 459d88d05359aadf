//! Agreed outages in virtual time. The machines that decide are those of the program: the council's record, the supervisor
//! (`fleet`), its agent and the rule (`outage`). Around them: processes that start, serve and end, links and sessions with
//! their delays, and troubles, all from one seed.
//!
//! | module | what it has |
//! | --- | --- |
//! | [`plan`] | a run: sizes, budgets, rolls, troubles |
//! | [`world`] | the run itself |
//! | [`judge`] | what must hold, by what really serves |
//! | [`search`] | many seeds, and the fewest troubles that still fail |
pub mod judge;
pub mod plan;
pub mod search;
pub mod world;
