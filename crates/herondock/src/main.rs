//! herondock: a load balancer on real sockets. Start-up, signals and wiring; see the README.
mod config;
mod discovery;
mod driver;
mod inbound;
mod server;
mod sockets;
mod upstream;

use config::Config;
use discovery::{Discovery, Names};
use driver::{Handle, Parts};
use oakflow::Balancer;
use server::{Phase, Server};
use sockets::Sockets;
use std::net::SocketAddr;
use std::process::ExitCode;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::signal::unix::{signal, Signal, SignalKind};
use tokio::sync::watch;
use tokio::time::Instant;

/// New connections go on coming for this long after SIGTERM, with some room.
const STILL_ACCEPTING: Duration = Duration::from_millis(500);
/// Kept connections are served for this long after SIGTERM. Guards against callers that find no other balancer:
/// closed sooner, they would have to connect to one that may be starting again itself.
const STILL_SERVING: Duration = Duration::from_millis(2400);
/// What is open then, or taken after SIGTERM, is answered by then: SIGKILL comes 3.7 s after it at the soonest.
const LAST_ANSWER: Duration = Duration::from_millis(3500);
/// And the program ends by then.
const LAST: Duration = Duration::from_millis(3650);

fn load() -> Result<Config, String> {
    let path = std::env::var("NODE_CONFIG").map_err(|e| format!("NODE_CONFIG: {e}"))?;
    let text = std::fs::read(&path).map_err(|e| format!("NODE_CONFIG: {path}: {e}"))?;
    Config::parse(&text)
}

fn main() -> ExitCode {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let done = runtime
        .map_err(|e| e.to_string())
        .and_then(|runtime| tokio::task::LocalSet::new().block_on(&runtime, run()));
    match done {
        Ok(()) => ExitCode::SUCCESS,
        Err(message) => {
            eprintln!("herondock: {}", message.replace('\n', " "));
            ExitCode::FAILURE
        }
    }
}

/// Follows the configuration: at each signal its file is read again. Only where discovery is can change while
/// the program runs; a file that cannot be read changes nothing.
async fn follow(mut hup: Signal, discovery: watch::Sender<SocketAddr>) {
    while hup.recv().await.is_some() {
        match load() {
            Ok(config) => {
                discovery
                    .send_if_modified(|now| std::mem::replace(now, config.discovery) != config.discovery);
            }
            Err(message) => eprintln!("herondock: not reloaded: {}", message.replace('\n', " ")),
        }
    }
}

async fn run() -> Result<(), String> {
    // Before anything else: a signal that is not caught ends the program.
    let caught = |kind| signal(kind).map_err(|e| e.to_string());
    let hup = caught(SignalKind::hangup())?;
    let (mut term, mut int) = (caught(SignalKind::terminate())?, caught(SignalKind::interrupt())?);
    let (start, start_ms) = (Instant::now(), driver::unix_ms());
    let Config { name, listen, discovery, seed, sockets, known, deployment } = load()?;
    let balancer = Balancer::new(deployment.policy.clone(), seed, start_ms).map_err(|e| e.to_string())?;
    let span = |ms: f64| Duration::from_secs_f64(ms / 1000.0);
    let budget = Sockets::new(sockets);
    let transport = upstream::Transport::new(
        span(deployment.dial_timeout),
        span(deployment.policy.idle_close.min(86_400_000.0)),
        budget.clone(),
    );
    let handle = Handle::new(Parts {
        balancer,
        start,
        start_ms,
        transport,
        drain_grace: span(deployment.drain_grace),
        max_open: usize::try_from(deployment.max_open).unwrap_or(usize::MAX),
    });
    let listener = TcpListener::bind(listen).await.map_err(|e| format!("listen: {listen}: {e}"))?;
    let address = listener.local_addr().map_err(|e| format!("listen: {listen}: {e}"))?;
    let timers = handle.clone();
    let timers = tokio::task::spawn_local(async move { timers.run().await });
    handle.cached(known.as_ref());
    let (address_of_discovery, addresses) = watch::channel(discovery);
    tokio::task::spawn_local(follow(hup, address_of_discovery));
    let watcher = Discovery::new(addresses, Names::of(&deployment), known.as_ref().map(|k| k.version));
    tokio::task::spawn_local(watcher.run(handle.clone(), !deployment.policy.ask_for_list));
    let (phase, phases) = watch::channel(Phase::Up);
    let served =
        tokio::task::spawn_local(Server::new(handle.clone(), deployment, budget, phases).run(listener));
    let open = handle.clone();
    eprintln!("{name}: serving on {address}");

    tokio::select! {
        _ = term.recv() => {}
        _ = int.recv() => {}
        // Without timers no request would end: better to stop at once, seen by all.
        end = timers => return Err(format!("the timers stopped: {end:?}")),
    }
    eprintln!("{name}: told to end");
    let told = Instant::now();
    handle.ends_by(LAST_ANSWER);
    for (after, next) in [
        (Duration::ZERO, Phase::Leaving),
        (STILL_ACCEPTING, Phase::Draining),
        (STILL_SERVING, Phase::Closing),
    ] {
        tokio::time::sleep_until(told + after).await;
        phase.send_replace(next);
    }
    let served = async move {
        tokio::pin!(served);
        tokio::select! {
            done = &mut served => return done,
            () = tokio::time::sleep_until(told + LAST_ANSWER) => handle.fail_open(),
        }
        served.await
    };
    if tokio::time::timeout_at(told + LAST, served).await.is_err() {
        eprintln!("{name}: callers are still connected at the end, {} requests unanswered", open.open());
    }
    Ok(())
}
