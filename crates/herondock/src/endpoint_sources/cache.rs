//! Endpoint cache on disk: loaded at the start and written after changes.
use super::aggregator::EndpointAggregator;
use super::EndpointSubscriber;
use crate::clock::unix_ms;
use discovery::endpoint_cache::{self, EndpointCache};
use std::path::Path;
use std::time::Duration;
use storage::AtomicFile;
use tokio::time::{sleep, timeout};
use tracing::info;

/// Maximum size of the cache file's content, in bytes.
const MAX_CACHE_BYTES: usize = 64 << 20;
/// Maximum time to wait for a change before the file is written again, so that the update times in it do not become too old.
const REFRESH_INTERVAL: Duration = Duration::from_secs(30);

/// The cache file at this path.
pub fn cache_file(path: &Path) -> AtomicFile {
    AtomicFile::new(path, "members", endpoint_cache::FORMAT_VERSION, MAX_CACHE_BYTES)
}

/// Loads the cache without the reports of sources whose last update is older than `max_age`. A damaged file, and reports
/// that are too old, are logged and ignored.
pub fn load(store: &AtomicFile, max_age: Duration) -> Option<EndpointCache> {
    let log_ignored = |reason: String| info!("registry.saved: {}: {reason}; ignored", store.path().display());
    let loaded = match store.load() {
        Ok(loaded) => loaded?,
        Err(e) => {
            log_ignored(e.to_string());
            return None;
        }
    };
    let mut cache = match EndpointCache::decode(&loaded.content) {
        Ok(cache) => cache,
        Err(e) => {
            log_ignored(e.to_string());
            return None;
        }
    };
    for source in cache.remove_stale(unix_ms(), max_age.as_secs_f64() * 1000.0) {
        log_ignored(format!("the endpoints of {} are older than {max_age:?}", source.label));
    }
    Some(cache)
}

/// Writes the cache after each change, at most once per `min_interval`; does not return.
pub async fn write_changes<A: EndpointSubscriber>(
    aggregator: EndpointAggregator<A>,
    store: AtomicFile,
    min_interval: Duration,
) {
    let mut failing = false;
    loop {
        let _ = timeout(REFRESH_INTERVAL, aggregator.changed()).await;
        sleep(min_interval).await;
        let (bytes, store) = (aggregator.cache().encode(), store.clone());
        let path = store.path().display().to_string();
        let result = tokio::task::spawn_blocking(move || store.save(&bytes)).await;
        let failed = match result {
            // During a handoff the other process of the instance may be writing the file.
            Ok(Err(e)) if e.kind() == std::io::ErrorKind::WouldBlock => None,
            Ok(result) => result.err().map(|e| e.to_string()),
            Err(e) => Some(e.to_string()),
        };
        match &failed {
            Some(error) if !failing => info!("registry.saved: {path}: endpoints not saved: {error}"),
            None if failing => info!("registry.saved: {path}: endpoints saved again"),
            _ => {}
        }
        failing = failed.is_some();
    }
}
