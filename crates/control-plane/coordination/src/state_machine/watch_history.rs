//! The most recent events, from which watches resume.
use super::{size_of, Revision};
use crate::limits::Limits;
use serde::{Deserialize, Serialize};
use std::collections::VecDeque;

/// Change of one key, as reported to watches.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WatchEvent {
    /// Revision of the change.
    pub revision: Revision,
    /// The key.
    pub key: String,
    /// The new value; `None` if the key was deleted.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub value: Option<String>,
}

impl WatchEvent {
    fn size(&self) -> u64 {
        size_of(&self.key, self.value.as_deref().unwrap_or(""))
    }
}

/// A bounded number of events, oldest first. The history is not part of a snapshot.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(super) struct WatchHistory {
    events: VecDeque<WatchEvent>,
    /// Bytes of keys and values of `events`.
    bytes: u64,
    /// Revision after which `events` is complete: all events of later revisions are in it.
    complete_after: Revision,
}

impl WatchHistory {
    /// An empty history that begins after this revision.
    pub fn starting_at(revision: Revision) -> WatchHistory {
        WatchHistory { complete_after: revision, ..WatchHistory::default() }
    }

    /// The revision after which every event is known.
    pub fn complete_after(&self) -> Revision {
        self.complete_after
    }

    /// Adds an event and drops the oldest ones beyond the limits.
    pub fn push(&mut self, event: WatchEvent, limits: &Limits) {
        self.bytes += event.size();
        self.events.push_back(event);
        while self.events.len() as u64 > limits.changes || self.bytes > limits.changes_bytes {
            let Some(dropped) = self.events.pop_front() else { break };
            self.bytes -= dropped.size();
            self.complete_after = dropped.revision;
        }
    }

    /// The events after a revision; `None` if some of them were dropped.
    pub fn since(&self, revision: Revision) -> Option<impl Iterator<Item = &WatchEvent>> {
        (revision >= self.complete_after).then(|| {
            let first = self.events.partition_point(|event| event.revision <= revision);
            self.events.range(first..)
        })
    }
}
