//! Judges histories: linearizability of operations, exclusiveness of locks, and fencing of former lock holders.
use crate::workload::{GuardRead, Histories, LockAcquisition};

/// All violations in the histories.
pub fn judge(histories: &Histories) -> Vec<String> {
    let mut violations: Vec<String> =
        linearizability::check(&histories.operations).iter().map(ToString::to_string).collect();
    let holdings = linearizability::check_holdings(&histories.holdings);
    violations.extend(holdings.iter().map(ToString::to_string));
    violations.extend(histories.guard_reads.iter().filter_map(|read| stale_guard(read, histories)));
    violations
}

/// Why a guard key holds a former lock holder, if it does: its last writer must be the last session that acquired the lock, or
/// one that acquired it later or may have.
fn stale_guard(read: &GuardRead, histories: &Histories) -> Option<String> {
    let GuardRead { guard, started_at, ended_at, session } = read;
    let acquisitions = || histories.acquisitions.iter().filter(|a| a.guard == *guard);
    let before = acquisitions().filter(|a| a.acknowledged_at.is_some_and(|at| at < *started_at));
    let last = before.max_by_key(|a| a.started_at)?;
    let may_write = |a: &LockAcquisition| {
        a.session == *session && a.acknowledged_at.is_none_or(|at| at > last.started_at)
    };
    let is_stale = !acquisitions().any(may_write);
    is_stale.then(|| {
        let holder = last.session;
        format!("{guard}: session {session} was seen at {started_at} to {ended_at} after session {holder} took it")
    })
}
