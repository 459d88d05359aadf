//! The record's part as it stands: read once, and watched from there.
use coordination::client::Told;
use coordination::record::{Item, Revision};
use coordination::wire::{Answer, Select};
use coordination_server::client::Council;
use disruption::board::UNDER;
use disruption::{Board, Plan};
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::time::sleep;

/// How long a read or write of the record may take.
pub const WITHIN: Duration = Duration::from_secs(5);
/// The pause before the record is read again where it could not be.
const PAUSE: Duration = Duration::from_millis(200);

/// A part of the record as values.
pub trait Part: Default {
    /// From a read of all its keys at this revision.
    fn read(revision: Revision, items: &[(String, Item)]) -> Self;
    /// Takes in one key as it stands since this revision; `None`: it is no more.
    fn put(&mut self, key: &str, value: Option<&str>, revision: Revision);
    /// The revision that it stands at; can be set to a later one.
    fn revision(&mut self) -> &mut Revision;
}

impl Part for Board {
    fn read(revision: Revision, items: &[(String, Item)]) -> Board {
        Board::read(revision, items)
    }

    fn put(&mut self, key: &str, value: Option<&str>, revision: Revision) {
        Board::put(self, key, value, revision);
    }

    fn revision(&mut self) -> &mut Revision {
        &mut self.revision
    }
}

/// A board that follows the record.
pub struct Follow<B = Board> {
    council: Council,
    under: &'static str,
    board: B,
    watch: Option<mpsc::Receiver<Answer>>,
}

impl Follow {
    /// Of all that is agreed on outages; empty until [`Follow::next`] returned.
    pub fn new(council: Council) -> Follow {
        Follow::under(council, UNDER)
    }
}

impl<B: Part> Follow<B> {
    /// Of the keys that begin so.
    pub fn under(council: Council, under: &'static str) -> Follow<B> {
        Follow { council, under, board: B::default(), watch: None }
    }

    /// As it was last heard of.
    pub fn board(&self) -> &B {
        &self.board
    }

    /// Waits until something has changed. May be dropped and called again.
    pub async fn next(&mut self) {
        loop {
            let Some(watch) = &mut self.watch else {
                match read::<B>(&self.council, self.under).await {
                    Ok(mut board) => {
                        self.watch = Some(self.council.watch(self.under, Some(*board.revision())).await);
                        self.board = board;
                        return;
                    }
                    Err(_) => sleep(PAUSE).await,
                }
                continue;
            };
            match watch.recv().await {
                Some(Answer::Watching { .. }) => {}
                Some(Answer::Changes { revision, changes }) => {
                    for c in changes {
                        self.board.put(&c.key, c.value.as_deref(), c.revision);
                    }
                    let at = self.board.revision();
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
    pub async fn fresh(&mut self) -> Result<&B, String> {
        let mut board = read::<B>(&self.council, self.under).await?;
        if *board.revision() >= *self.board.revision() {
            self.board = board;
        }
        Ok(&self.board)
    }
}

/// The record's part as it stands now.
///
/// # Errors
/// Why it can't be had.
async fn read<B: Part>(council: &Council, under: &str) -> Result<B, String> {
    match council.read(Select::Under(under.into()), WITHIN).await {
        Told::Answer(Answer::Values { revision, items }) => Ok(B::read(revision, &items)),
        Told::Answer(Answer::Failed(why)) | Told::NotDone(why) | Told::Unclear(why) => Err(why),
        Told::Answer(other) => Err(format!("{other:?}")),
    }
}

/// What came of a write.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Wrote {
    /// It is done, as this revision.
    Done(u64),
    /// Something else was written before: it is to be decided anew.
    Differs,
    /// It is not known whether it was done, or it was not, and why.
    No(String),
}

/// Makes a write of the record.
pub async fn write(council: &Council, plan: Plan) -> Wrote {
    use coordination::record::Outcome;
    match council.write(plan.when, plan.then, WITHIN).await {
        Told::Answer(Answer::Outcome(Outcome::Written(revision))) => Wrote::Done(revision),
        Told::Answer(Answer::Outcome(Outcome::Differs { .. })) => Wrote::Differs,
        Told::Answer(Answer::Outcome(Outcome::Refused(why))) => Wrote::No(why.to_string()),
        Told::Answer(Answer::Failed(why)) | Told::NotDone(why) | Told::Unclear(why) => Wrote::No(why),
        Told::Answer(other) => Wrote::No(format!("{other:?}")),
    }
}
