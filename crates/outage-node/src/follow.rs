//! The record's part as it stands: read once, and watched from there.
use council::client::Told;
use council::wire::{Answer, Select};
use council_node::client::Council;
use outage::board::UNDER;
use outage::{Board, Plan};
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::time::sleep;

/// How long a read or write of the record may take.
pub const WITHIN: Duration = Duration::from_secs(5);
/// The pause before the record is read again where it could not be.
const PAUSE: Duration = Duration::from_millis(200);

/// A board that follows the record.
pub struct Follow {
    council: Council,
    under: &'static str,
    board: Board,
    watch: Option<mpsc::Receiver<Answer>>,
}

impl Follow {
    /// Of all that is agreed on outages; empty until [`Follow::next`] returned.
    pub fn new(council: Council) -> Follow {
        Follow::under(council, UNDER)
    }

    /// Of the keys that begin so.
    pub fn under(council: Council, under: &'static str) -> Follow {
        Follow { council, under, board: Board::default(), watch: None }
    }

    /// As it was last heard of.
    pub fn board(&self) -> &Board {
        &self.board
    }

    /// Waits until something has changed. May be dropped and called again.
    pub async fn next(&mut self) {
        loop {
            let Some(watch) = &mut self.watch else {
                match read(&self.council, self.under).await {
                    Ok(board) => {
                        self.watch = Some(self.council.watch(self.under, Some(board.revision)).await);
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
                    self.board.revision = self.board.revision.max(revision);
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
    pub async fn fresh(&mut self) -> Result<&Board, String> {
        let board = read(&self.council, self.under).await?;
        if board.revision >= self.board.revision {
            self.board = board;
        }
        Ok(&self.board)
    }
}

/// The record's part as it stands now.
///
/// # Errors
/// Why it can't be had.
pub async fn read(council: &Council, under: &str) -> Result<Board, String> {
    match council.read(Select::Under(under.into()), WITHIN).await {
        Told::Answer(Answer::Values { revision, items }) => Ok(Board::read(revision, &items)),
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
    use council::record::Outcome;
    match council.write(plan.when, plan.then, WITHIN).await {
        Told::Answer(Answer::Outcome(Outcome::Written(revision))) => Wrote::Done(revision),
        Told::Answer(Answer::Outcome(Outcome::Differs { .. })) => Wrote::Differs,
        Told::Answer(Answer::Outcome(Outcome::Refused(why))) => Wrote::No(why.to_string()),
        Told::Answer(Answer::Failed(why)) | Told::NotDone(why) | Told::Unclear(why) => Wrote::No(why),
        Told::Answer(other) => Wrote::No(format!("{other:?}")),
    }
}
