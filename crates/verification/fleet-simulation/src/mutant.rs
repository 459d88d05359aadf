//! Faulty variants of an instance, each of which breaks one rule: what shows that an invariant can catch anything.

/// What is wrong with every instance of a run.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, clap::ValueEnum)]
pub enum Mutant {
    /// Nothing.
    #[default]
    None,
    /// One request in fifty that is to be refused or failed gets no answer.
    AnswersForgotten,
    /// What may have run counts as never run, and is sent again.
    EffectsForgotten,
    /// Upstreams that drain go on being used.
    DrainsIgnored,
    /// Whatever has just started gets every attempt: it holds the fewest calls.
    ColdPreferred,
    /// Requests that are over stay in its tables.
    NothingForgotten,
}
