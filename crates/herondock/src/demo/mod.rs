//! `herondock demo`: demonstrates the balancer without any configuration.
//!
//! Instances of this program run as separate processes. This process provides stand-ins for discovery, for six upstreams in two
//! groups, and for the clients of five tenants with two classes of requests, all on ephemeral loopback ports. One upstream drains
//! and returns cold, one is killed, and one instance is restarted; a ledger checks the four rules during the whole run.
mod instance;
mod plan;
mod report;
mod screen;
mod tally;
mod world;

use plan::Plan;
use report::Report;
use screen::Screen;
use std::time::Duration;
use tokio::signal::unix::{signal, SignalKind};
use tokio::time::{interval, sleep_until, Instant, MissedTickBehavior};
use world::World;

/// Interval at which the screen is drawn.
const FRAME_INTERVAL: Duration = Duration::from_millis(250);

/// Options of the command line.
pub struct Options {
    /// Duration of the traffic, in seconds.
    pub seconds: u64,
    /// Prints the report as JSON, and nothing else, to standard output.
    pub json: bool,
}

/// Runs the demo.
///
/// # Errors
/// A rule was violated, the demo was interrupted or could not be set up, or standard output is closed.
pub fn demo(options: &Options) -> Result<(), String> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let report = runtime.map_err(|e| e.to_string())?.block_on(run_demo(options))?;
    let text = if options.json { report.json() } else { report.text() };
    screen::print(&text).map_err(|e| format!("standard output: {e}"))?;
    if report.has_violations() {
        return Err("a rule was violated".into());
    }
    Ok(())
}

async fn run_demo(options: &Options) -> Result<Report, String> {
    let caught = |kind| signal(kind).map_err(|e| e.to_string());
    let (mut int, mut term) = (caught(SignalKind::interrupt())?, caught(SignalKind::terminate())?);
    let mut hup = caught(SignalKind::hangup())?;
    let length = Duration::from_secs(options.seconds);
    let mut screen = Screen::new(options.json, length);
    // Dropped whenever this function returns, which stops the instances first.
    let mut world = World::new().map_err(|e| format!("the demo can't be set up: {e}"))?;
    let mut plan = Plan::new(length);
    let mut frames = interval(FRAME_INTERVAL);
    frames.set_missed_tick_behavior(MissedTickBehavior::Skip);
    let started = Instant::now();
    loop {
        let elapsed = started.elapsed();
        for event in plan.take_events_until(elapsed) {
            let line = world.apply(event).map_err(|e| format!("{event:?}: {e}"))?;
            screen.event(elapsed, &line);
        }
        if elapsed >= length {
            break;
        }
        let next = plan.next().map_or(length, |next| next.min(length));
        tokio::select! {
            biased;
            _ = int.recv() => return Err("interrupted".into()),
            _ = term.recv() => return Err("stopped by SIGTERM".into()),
            _ = hup.recv() => return Err("the terminal was closed".into()),
            () = sleep_until(started + next) => {}
            _ = frames.tick() => {
                for line in world.tick().map_err(|e| format!("an instance: {e}"))? {
                    screen.event(started.elapsed(), &line);
                }
                screen.draw(started.elapsed(), &world.view()).map_err(|e| format!("standard output: {e}"))?;
            }
        }
    }
    let stopping = tokio::task::spawn_blocking(move || world.finish());
    let report = tokio::select! {
        biased;
        _ = int.recv() => return Err("interrupted".into()),
        _ = term.recv() => return Err("stopped by SIGTERM".into()),
        report = stopping => report.map_err(|e| e.to_string())?,
    };
    screen.draw(length, &report.view).map_err(|e| format!("standard output: {e}"))?;
    Ok(report)
}
