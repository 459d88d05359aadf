//! What a balancer did while a release goes, written a few times a look. Nothing that it serves waits for this.
use crate::informer;
use coordination::state_machine::{Compare, Op};
use coordination_server::client::ClientHandle;
use disruption::ConditionalWrite;
use disruption_agent::informer::{write, WriteOutcome};
use rollout::snapshot::{metrics_key, MetricsWindow};
use rollout::state_machine::RolloutState;
use rollout::MetricsSample;
use std::time::Duration;
use tokio::time::{sleep, Instant};
use tracing::info;

/// So often is it written within one look: what the gate sees lacks one such part at the most.
const WRITES_PER_CHECK: u32 = 8;
/// Bounds of the pause between two writes.
const MIN_WRITE_INTERVAL: Duration = Duration::from_millis(50);
const MAX_WRITE_INTERVAL: Duration = Duration::from_secs(10);

/// Follows releases for ever; `totals` says what was asked, served and late since the process began, and what memory it holds now.
pub async fn run(council: ClientHandle, name: String, totals: impl Fn() -> MetricsSample) {
    let mut follow = informer(council.clone());
    // The state that the present window belongs to, and the totals at its beginning.
    let mut window: Option<(u64, MetricsSample)> = None;
    let mut written: Option<Instant> = None;
    loop {
        let board = &follow.snapshot().0;
        let watched = board.unfinished().filter(|(_, s)| matches!(s.value, RolloutState::InStage { .. }));
        let Some((plan, state)) = watched else {
            window = None;
            follow.next().await;
            continue;
        };
        let (since, pause) =
            (state.version, Duration::from_millis(plan.spec.check_interval_ms) / WRITES_PER_CHECK);
        let pause = pause.clamp(MIN_WRITE_INTERVAL, MAX_WRITE_INTERVAL);
        if window.as_ref().is_none_or(|(of, _)| *of != since) {
            (window, written) = (Some((since, totals())), None);
        }
        let due = written.map_or_else(Instant::now, |at| at + pause);
        if Instant::now() >= due {
            let (now, from) = (totals(), window.as_ref().map_or(MetricsSample::default(), |(_, from)| *from));
            let sample = MetricsSample {
                requests: now.requests.saturating_sub(from.requests),
                served: now.served.saturating_sub(from.served),
                late: now.late.saturating_sub(from.late),
                memory_mb: now.memory_mb,
            };
            written = Some(Instant::now());
            say(&council, &name, MetricsWindow { state_version: since, metrics: sample }).await;
            continue;
        }
        tokio::select! {
            () = follow.next() => {}
            () = sleep(due.saturating_duration_since(Instant::now())) => {}
        }
    }
}

async fn say(council: &ClientHandle, name: &str, window: MetricsWindow) {
    let Some((session, _)) = council.active_session() else { return };
    let value = serde_json::to_string(&window).unwrap_or_default();
    let put = Op::Put { key: metrics_key(name), value, ephemeral: true };
    let plan = ConditionalWrite { compares: vec![Compare::SessionAlive(session)], ops: vec![put] };
    if let WriteOutcome::Failed(why) = write(council, plan).await {
        info!("release: {name} is not heard: {why}");
    }
}
