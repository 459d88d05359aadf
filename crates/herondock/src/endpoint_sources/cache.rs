//! The last view on disk: read at the start, and written as it changes.
use super::aggregator::EndpointAggregator;
use super::EndpointSubscriber;
use crate::clock::unix_ms;
use discovery::endpoint_cache::{self, EndpointCache};
use std::path::Path;
use std::time::Duration;
use storage::AtomicFile;
use tokio::time::{sleep, timeout};
use tracing::info;

/// Largest file.
const MAX_CACHE_BYTES: usize = 64 << 20;
/// Written at least so often, so that the ages in it are true.
const REFRESH_INTERVAL: Duration = Duration::from_secs(30);

/// The file.
pub fn cache_file(path: &Path) -> AtomicFile {
    AtomicFile::new(path, "members", endpoint_cache::FORMAT_VERSION, MAX_CACHE_BYTES)
}

/// What was kept, without what is older than `most`. A file that is damaged, or what is too old in it, is named in the
/// log and passed over.
pub fn load(store: &AtomicFile, most: Duration) -> Option<EndpointCache> {
    let named = |what: String| info!("registry.saved: {}: {what}; passed over", store.path().display());
    let kept = match store.load() {
        Ok(kept) => kept?,
        Err(e) => {
            named(e.to_string());
            return None;
        }
    };
    let mut saved = match EndpointCache::decode(&kept.content) {
        Ok(saved) => saved,
        Err(e) => {
            named(e.to_string());
            return None;
        }
    };
    for source in saved.remove_stale(unix_ms(), most.as_secs_f64() * 1000.0) {
        named(format!("what {} told is older than {most:?}", source.label));
    }
    Some(saved)
}

/// Writes the view for ever: after it changed, no more often than `every`.
pub async fn write_changes<A: EndpointSubscriber>(
    gather: EndpointAggregator<A>,
    store: AtomicFile,
    every: Duration,
) {
    let mut trouble = false;
    loop {
        let _ = timeout(REFRESH_INTERVAL, gather.changed()).await;
        sleep(every).await;
        let (bytes, store) = (gather.cache().encode(), store.clone());
        let path = store.path().display().to_string();
        let done = tokio::task::spawn_blocking(move || store.save(&bytes)).await;
        let failed = match done {
            // Another process is saving: of the same instance, in a take-over.
            Ok(Err(e)) if e.kind() == std::io::ErrorKind::WouldBlock => None,
            Ok(done) => done.err().map(|e| e.to_string()),
            Err(e) => Some(e.to_string()),
        };
        match &failed {
            Some(why) if !trouble => info!("registry.saved: {path}: not saved: {why}"),
            None if trouble => info!("registry.saved: {path}: saved again"),
            _ => {}
        }
        trouble = failed.is_some();
    }
}
