//! `herondock demo`: the balancer at work, for a newcomer with no configuration at all.
//!
//! Real instances of this program, as processes of their own, between stand-ins in this one: discovery, six upstreams
//! in two groups, and the traffic of five clubs in two classes, all on ephemeral loopback ports. One upstream drains
//! and comes back cold, one dies, one instance is restarted; a ledger checks the four rules over all of it.
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

/// How often the screen is drawn.
const FRAME: Duration = Duration::from_millis(250);

/// What the command line asks for.
pub struct Options {
    /// How long the traffic lasts, in seconds.
    pub seconds: u64,
    /// The report as JSON, and nothing else on standard output.
    pub json: bool,
}

/// Runs the demo.
///
/// # Errors
/// A rule was broken, it was interrupted, nobody reads standard output any more, or it could not be set up.
pub fn demo(options: &Options) -> Result<(), String> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let report = runtime.map_err(|e| e.to_string())?.block_on(play(options))?;
    let text = if options.json { report.json() } else { report.text() };
    screen::print(&text).map_err(|e| format!("standard output: {e}"))?;
    if report.broken() {
        return Err("a rule was broken".into());
    }
    Ok(())
}

async fn play(options: &Options) -> Result<Report, String> {
    let caught = |kind| signal(kind).map_err(|e| e.to_string());
    let (mut int, mut term) = (caught(SignalKind::interrupt())?, caught(SignalKind::terminate())?);
    let mut hup = caught(SignalKind::hangup())?;
    let length = Duration::from_secs(options.seconds);
    let mut screen = Screen::new(options.json, length);
    // Whatever ends this function ends the world with it, its processes first.
    let mut world = World::new().map_err(|e| format!("the demo can't be set up: {e}"))?;
    let mut plan = Plan::new(length);
    let mut frames = interval(FRAME);
    frames.set_missed_tick_behavior(MissedTickBehavior::Skip);
    let begun = Instant::now();
    loop {
        let at = begun.elapsed();
        for event in plan.take_events_until(at) {
            let line = world.happen(event).map_err(|e| format!("{event:?}: {e}"))?;
            screen.event(at, &line);
        }
        if at >= length {
            break;
        }
        let next = plan.next().map_or(length, |next| next.min(length));
        tokio::select! {
            biased;
            _ = int.recv() => return Err("interrupted".into()),
            _ = term.recv() => return Err("told to end".into()),
            _ = hup.recv() => return Err("the terminal is gone".into()),
            () = sleep_until(begun + next) => {}
            _ = frames.tick() => {
                for line in world.tick().map_err(|e| format!("an instance: {e}"))? {
                    screen.event(begun.elapsed(), &line);
                }
                screen.draw(begun.elapsed(), &world.view()).map_err(|e| format!("standard output: {e}"))?;
            }
        }
    }
    let stopping = tokio::task::spawn_blocking(move || world.finish());
    let report = tokio::select! {
        biased;
        _ = int.recv() => return Err("interrupted".into()),
        _ = term.recv() => return Err("told to end".into()),
        report = stopping => report.map_err(|e| e.to_string())?,
    };
    screen.draw(length, &report.view).map_err(|e| format!("standard output: {e}"))?;
    Ok(report)
}
