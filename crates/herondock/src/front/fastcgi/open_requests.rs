//! Requests of one connection that have no answer yet.
use bytes::Bytes;
use std::collections::HashMap;
use tokio::task::AbortHandle;

/// Identifies a request of a connection. The id is reused for later requests, the number is not.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct RequestKey {
    /// FastCGI request id.
    pub(super) id: u16,
    /// Sequence number of the request on the connection, from 1.
    pub(super) number: u64,
}

/// An answer that is sent to its connection.
pub(super) struct ReadyAnswer {
    /// Request that it answers.
    pub(super) request: RequestKey,
    /// Head in the format of a responder (RFC 3875, section 6).
    pub(super) head: Bytes,
    /// Complete body.
    pub(super) body: Bytes,
}

struct OpenRequest {
    number: u64,
    task: AbortHandle,
}

/// Open requests of a connection. Dropping it aborts their tasks, because no client waits for the answers any more.
#[derive(Default)]
pub(super) struct OpenRequests {
    open: HashMap<u16, OpenRequest>,
    started: u64,
}

impl OpenRequests {
    /// Returns the key of the next request, which has this id.
    pub(super) fn next_key(&mut self, id: u16) -> RequestKey {
        self.started += 1;
        RequestKey { id, number: self.started }
    }

    /// Adds a request with the task that waits for the answer.
    pub(super) fn insert(&mut self, key: RequestKey, task: AbortHandle) {
        self.open.insert(key.id, OpenRequest { number: key.number, task });
    }

    /// Aborts the open request with this id, if there is one.
    pub(super) fn abort(&mut self, id: u16) {
        if let Some(request) = self.open.remove(&id) {
            request.task.abort();
        }
    }

    /// Removes a request that has its answer. Returns `false` if it is no longer open. Guards against delivering the
    /// answer to a request that was aborted in the meantime to the next request with the same id.
    pub(super) fn remove_answered(&mut self, key: RequestKey) -> bool {
        let is_open = self.open.get(&key.id).is_some_and(|open| open.number == key.number);
        is_open && self.open.remove(&key.id).is_some()
    }
}

impl Drop for OpenRequests {
    fn drop(&mut self) {
        self.open.values().for_each(|request| request.task.abort());
    }
}

#[cfg(test)]
mod tests;
