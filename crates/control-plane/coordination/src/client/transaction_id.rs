//! Identity of a transaction across retries.
use crate::state_machine::SessionId;

/// A transaction of a session. A retry carries the same identity, so that it is applied once.
#[derive(Clone, Copy, Debug)]
pub(super) struct TransactionId {
    /// Session that the transaction belongs to.
    pub session: SessionId,
    /// Position among the transactions of the session, from 1.
    pub sequence: u64,
}
