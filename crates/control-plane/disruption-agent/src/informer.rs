//! The record's part as it stands: read once, and watched from there.
use coordination::client::RequestOutcome;
use coordination::protocol::{Answer, Select};
use coordination::state_machine::{Revision, VersionedValue};
use coordination_server::client::ClientHandle;
use disruption::snapshot::KEY_PREFIX;
use disruption::{ConditionalWrite, FleetSnapshot};
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::time::sleep;

/// How long a read or write of the record may take.
pub const REQUEST_TIMEOUT: Duration = Duration::from_secs(5);
/// The pause before the record is read again where it could not be.
const RETRY_DELAY: Duration = Duration::from_millis(200);

/// A part of the record as values.
pub trait Projection: Default {
    /// From a read of all its keys at this revision.
    fn from_items(revision: Revision, items: &[(String, VersionedValue)]) -> Self;
    /// Takes in one key as it stands since this revision; `None`: it is no more.
    fn apply(&mut self, key: &str, value: Option<&str>, revision: Revision);
    /// The revision that it stands at; can be set to a later one.
    fn revision(&mut self) -> &mut Revision;
}

impl Projection for FleetSnapshot {
    fn from_items(revision: Revision, items: &[(String, VersionedValue)]) -> FleetSnapshot {
        FleetSnapshot::read(revision, items)
    }

    fn apply(&mut self, key: &str, value: Option<&str>, revision: Revision) {
        FleetSnapshot::apply(self, key, value, revision);
    }

    fn revision(&mut self) -> &mut Revision {
        &mut self.revision
    }
}

/// A board that follows the record.
pub struct Informer<B = FleetSnapshot> {
    council: ClientHandle,
    with_prefix: &'static str,
    snapshot: B,
    watch: Option<mpsc::Receiver<Answer>>,
}

impl Informer {
    /// Of all that is agreed on outages; empty until [`Informer::next`] returned.
    pub fn new(council: ClientHandle) -> Informer {
        Informer::with_prefix(council, KEY_PREFIX)
    }
}

impl<B: Projection> Informer<B> {
    /// Of the keys that begin so.
    pub fn with_prefix(council: ClientHandle, under: &'static str) -> Informer<B> {
        Informer { council, with_prefix: under, snapshot: B::default(), watch: None }
    }

    /// As it was last heard of.
    pub fn snapshot(&self) -> &B {
        &self.snapshot
    }

    /// Waits until something has changed. May be dropped and called again.
    pub async fn next(&mut self) {
        loop {
            let Some(watch) = &mut self.watch else {
                match read::<B>(&self.council, self.with_prefix).await {
                    Ok(mut board) => {
                        self.watch =
                            Some(self.council.watch(self.with_prefix, Some(*board.revision())).await);
                        self.snapshot = board;
                        return;
                    }
                    Err(_) => sleep(RETRY_DELAY).await,
                }
                continue;
            };
            match watch.recv().await {
                Some(Answer::Watching { .. }) => {}
                Some(Answer::Events { revision, events: changes }) => {
                    for c in changes {
                        self.snapshot.apply(&c.key, c.value.as_deref(), c.revision);
                    }
                    let at = self.snapshot.revision();
                    *at = revision.max(*at);
                    return;
                }
                // It fell behind, or the record was formed anew: from the beginning.
                _ => self.watch = None,
            }
        }
    }

    /// As it stands now, agreed on by a majority; what is decided on this is decided on nothing old.
    ///
    /// # Errors
    /// Why it can't be had.
    pub async fn read_consistent(&mut self) -> Result<&B, String> {
        let mut board = read::<B>(&self.council, self.with_prefix).await?;
        if *board.revision() >= *self.snapshot.revision() {
            self.snapshot = board;
        }
        Ok(&self.snapshot)
    }
}

/// The record's part as it stands now.
///
/// # Errors
/// Why it can't be had.
async fn read<B: Projection>(council: &ClientHandle, under: &str) -> Result<B, String> {
    match council.read(Select::Prefix(under.into()), REQUEST_TIMEOUT).await {
        RequestOutcome::Answered(Answer::Values { revision, items }) => Ok(B::from_items(revision, &items)),
        RequestOutcome::Answered(Answer::Failed(why))
        | RequestOutcome::NotExecuted(why)
        | RequestOutcome::Indeterminate(why) => Err(why),
        RequestOutcome::Answered(other) => Err(format!("{other:?}")),
    }
}

/// What came of a write.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WriteOutcome {
    /// It is done, as this revision.
    Committed(u64),
    /// Something else was written before: it is to be decided anew.
    Conflict,
    /// It is not known whether it was done, or it was not, and why.
    Failed(String),
}

/// Makes a write of the record.
pub async fn write(council: &ClientHandle, plan: ConditionalWrite) -> WriteOutcome {
    use coordination::state_machine::Outcome;
    match council.transact(plan.compares, plan.ops, REQUEST_TIMEOUT).await {
        RequestOutcome::Answered(Answer::Outcome(Outcome::Committed(revision))) => {
            WriteOutcome::Committed(revision)
        }
        RequestOutcome::Answered(Answer::Outcome(Outcome::CompareFailed { .. })) => WriteOutcome::Conflict,
        RequestOutcome::Answered(Answer::Outcome(Outcome::Rejected(why))) => {
            WriteOutcome::Failed(why.to_string())
        }
        RequestOutcome::Answered(Answer::Failed(why))
        | RequestOutcome::NotExecuted(why)
        | RequestOutcome::Indeterminate(why) => WriteOutcome::Failed(why),
        RequestOutcome::Answered(other) => WriteOutcome::Failed(format!("{other:?}")),
    }
}
