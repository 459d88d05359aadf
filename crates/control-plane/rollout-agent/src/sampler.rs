//! Task of a balancer: reports its metrics while a rollout observes a stage, several times per check. Serving requests never
//! waits for it.
use coordination_server::client::ClientHandle;
use disruption::conditional_write::put_ephemeral;
use disruption::ConditionalWrite;
use disruption_agent::informer::Informer;
use disruption_agent::store::{write, WriteOutcome};
use rollout::keys::metrics_key;
use rollout::{MetricsSample, MetricsWindow, RolloutSnapshot, RolloutState};
use std::time::Duration;
use tokio::time::{sleep, Instant};
use tracing::info;

/// Number of writes per check interval. A check misses the metrics of at most one write interval.
const WRITES_PER_CHECK: u32 = 8;
/// Minimum interval between two writes.
const MIN_WRITE_INTERVAL: Duration = Duration::from_millis(50);
/// Maximum interval between two writes.
const MAX_WRITE_INTERVAL: Duration = Duration::from_secs(10);

/// A stage that is in progress.
struct ObservedStage {
    /// Version of the rollout's state.
    state_version: u64,
    write_interval: Duration,
}

impl ObservedStage {
    fn of(snapshot: &RolloutSnapshot) -> Option<ObservedStage> {
        let (plan, state) = snapshot.unfinished()?;
        if !matches!(state.value, RolloutState::InStage { .. }) {
            return None;
        }
        let interval = Duration::from_millis(plan.spec.check_interval_ms) / WRITES_PER_CHECK;
        Some(ObservedStage {
            state_version: state.version,
            write_interval: interval.clamp(MIN_WRITE_INTERVAL, MAX_WRITE_INTERVAL),
        })
    }
}

/// A window of metrics, which belongs to one state of the rollout.
struct Window {
    state_version: u64,
    /// Totals at the beginning of the window.
    start: MetricsSample,
    written_at: Option<Instant>,
}

impl Window {
    /// Returns the metrics since the beginning of the window, given the present totals.
    fn metrics(&self, totals: MetricsSample) -> MetricsSample {
        MetricsSample {
            requests: totals.requests.saturating_sub(self.start.requests),
            served: totals.served.saturating_sub(self.start.served),
            late: totals.late.saturating_sub(self.start.late),
            memory_mb: totals.memory_mb,
        }
    }
}

/// Reports metrics of the balancer `name`, forever. `totals` returns the numbers of requests since the start of the process, and
/// its memory now.
pub async fn run(client: ClientHandle, name: String, totals: impl Fn() -> MetricsSample) {
    let mut informer: Informer<RolloutSnapshot> = Informer::new(client.clone());
    let mut current: Option<Window> = None;
    loop {
        let Some(stage) = ObservedStage::of(informer.snapshot()) else {
            current = None;
            informer.next().await;
            continue;
        };
        let mut window = match current.take().filter(|w| w.state_version == stage.state_version) {
            Some(window) => window,
            None => Window { state_version: stage.state_version, start: totals(), written_at: None },
        };
        let now = Instant::now();
        let due = window.written_at.map_or(now, |at| at + stage.write_interval);
        if now >= due {
            let metrics = window.metrics(totals());
            window.written_at = Some(Instant::now());
            report(&client, &name, MetricsWindow { state_version: stage.state_version, metrics }).await;
            current = Some(window);
            continue;
        }
        current = Some(window);
        tokio::select! {
            () = informer.next() => {}
            () = sleep(due.saturating_duration_since(Instant::now())) => {}
        }
    }
}

async fn report(client: &ClientHandle, name: &str, window: MetricsWindow) {
    let Some((session, _)) = client.active_session() else { return };
    let op = put_ephemeral(metrics_key(name), &window);
    let change = ConditionalWrite::while_session_alive(session, vec![op]);
    if let WriteOutcome::Failed(error) = write(client, change).await {
        info!("release: metrics of {name} not written: {error}");
    }
}
