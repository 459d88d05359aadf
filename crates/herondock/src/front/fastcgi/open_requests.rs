//! The requests of one connection that have no answer yet.
use bytes::Bytes;
use std::collections::HashMap;
use tokio::task::AbortHandle;

/// A request of a connection. Its id is used again for later requests, its number is not.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct RequestKey {
    /// FastCGI request id.
    pub(super) id: u16,
    /// Counts the requests of the connection.
    pub(super) number: u64,
}

/// An answer on its way to its connection.
pub(super) struct ReadyAnswer {
    /// The request that it answers.
    pub(super) request: RequestKey,
    /// Head, as a responder writes it.
    pub(super) head: Bytes,
    /// Body.
    pub(super) body: Bytes,
}

struct OpenRequest {
    number: u64,
    task: AbortHandle,
}

/// The open requests of a connection. Dropping it aborts their tasks: nobody waits for the answers any more.
#[derive(Default)]
pub(super) struct OpenRequests {
    open: HashMap<u16, OpenRequest>,
    started: u64,
}

impl OpenRequests {
    /// The key of the next request, which has this id.
    pub(super) fn next_key(&mut self, id: u16) -> RequestKey {
        self.started += 1;
        RequestKey { id, number: self.started }
    }

    /// Adds a request with the task that waits for its answer.
    pub(super) fn insert(&mut self, key: RequestKey, task: AbortHandle) {
        self.open.insert(key.id, OpenRequest { number: key.number, task });
    }

    /// Aborts the open request with this id, if there is one.
    pub(super) fn abort(&mut self, id: u16) {
        if let Some(request) = self.open.remove(&id) {
            request.task.abort();
        }
    }

    /// Removes a request that has its answer; `false`: it is not open any more. Guards against the answer to a request that
    /// was aborted, on its way meanwhile, reaching the next one with its id.
    pub(super) fn remove_answered(&mut self, key: RequestKey) -> bool {
        let known = self.open.get(&key.id).is_some_and(|open| open.number == key.number);
        known && self.open.remove(&key.id).is_some()
    }
}

impl Drop for OpenRequests {
    fn drop(&mut self) {
        self.open.values().for_each(|request| request.task.abort());
    }
}

#[cfg(test)]
mod tests;
