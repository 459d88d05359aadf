//! Local copy of a part of the coordination store: read once and kept up to date by a watch.
use crate::store::{read, StoreError};
use coordination::protocol::Answer;
use coordination_server::client::ClientHandle;
use disruption::{FleetSnapshot, Projection};
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::time::sleep;

/// Delay before a failed read is retried.
const RETRY_DELAY: Duration = Duration::from_millis(200);

/// Keeps a [`Projection`] up to date.
pub struct Informer<P = FleetSnapshot> {
    client: ClientHandle,
    prefix: &'static str,
    snapshot: P,
    watch: Option<mpsc::Receiver<Answer>>,
}

impl<P: Projection> Informer<P> {
    /// Informer of all keys of the projection. The snapshot is empty until [`Informer::next`] has returned.
    pub fn new(client: ClientHandle) -> Informer<P> {
        Informer::with_prefix(client, P::KEY_PREFIX)
    }

    /// Informer of the keys of the projection that start with `prefix`.
    pub fn with_prefix(client: ClientHandle, prefix: &'static str) -> Informer<P> {
        Informer { client, prefix, snapshot: P::default(), watch: None }
    }

    /// The last known snapshot.
    pub fn snapshot(&self) -> &P {
        &self.snapshot
    }

    /// Waits until the snapshot has changed. Cancel safe.
    pub async fn next(&mut self) {
        loop {
            let Some(watch) = &mut self.watch else {
                if self.start_watch().await {
                    return;
                }
                sleep(RETRY_DELAY).await;
                continue;
            };
            match watch.recv().await {
                Some(Answer::Watching { .. }) => {}
                Some(Answer::Events { revision, events }) => {
                    for event in events {
                        self.snapshot.apply(&event.key, event.value.as_deref(), event.revision);
                    }
                    self.snapshot.advance_to(revision);
                    return;
                }
                // The watch has ended: it fell behind, or the store was recreated. The snapshot is read again.
                _ => self.watch = None,
            }
        }
    }

    /// Reads the snapshot and starts a watch from its revision on. Returns whether the read succeeded.
    async fn start_watch(&mut self) -> bool {
        let Ok(snapshot) = read::<P>(&self.client, self.prefix).await else { return false };
        self.watch = Some(self.client.watch(self.prefix, Some(snapshot.revision())).await);
        self.snapshot = snapshot;
        true
    }

    /// Reads the snapshot from a majority (a linearizable read) and returns it. Decisions for which an
    /// outdated snapshot would be unsafe are made on this one.
    ///
    /// # Errors
    /// The read did not succeed.
    pub async fn read_consistent(&mut self) -> Result<&P, StoreError> {
        let snapshot = read::<P>(&self.client, self.prefix).await?;
        if snapshot.revision() >= self.snapshot.revision() {
            self.snapshot = snapshot;
        }
        Ok(&self.snapshot)
    }
}
