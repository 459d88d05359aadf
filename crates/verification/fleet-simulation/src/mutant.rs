//! Faulty variants of an instance, each of which violates one invariant. They prove that the invariants detect
//! violations.

/// Defect of every instance in a run.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, clap::ValueEnum)]
pub enum Mutant {
    /// No defect.
    #[default]
    None,
    /// One in fifty requests that should be refused or failed gets no answer.
    AnswersForgotten,
    /// Attempts that may have been executed are treated as never executed, and are sent again.
    EffectsForgotten,
    /// Draining upstreams still receive requests.
    DrainsIgnored,
    /// The most recently started upstream receives every attempt, as if chosen for having the fewest calls.
    ColdPreferred,
    /// Finished requests stay in the tables.
    NothingForgotten,
}
