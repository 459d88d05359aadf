//! `herondock run`: start-up, signals and wiring of one instance.
use crate::config::{self, Config};
use crate::driver::{self, Handle, Parts};
use crate::front::{http::Server, Phase};
use crate::live::Live;
use crate::log::log;
use crate::members::discovery::{Discovery, Names};
use crate::sockets::Sockets;
use crate::transport;
use oakflow::Balancer;
use oakflow_settings::operator::{self, Operator};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
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

/// Runs an instance until it is told to end.
///
/// # Errors
/// One line that names the file and field at fault, or the address that can't be listened on.
pub fn run(operator: Option<&Path>) -> Result<(), String> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime.map_err(|e| e.to_string())?;
    tokio::task::LocalSet::new().block_on(&runtime, serve(operator.map(Path::to_path_buf)))
}

/// Ends the process as soon as standard input ends, whatever it is doing: who held the other end is gone, and with it
/// everyone that was served.
pub fn end_with_input() {
    std::thread::spawn(|| {
        // What comes is of no interest; an error ends it as well.
        let _ = std::io::copy(&mut std::io::stdin().lock(), &mut std::io::sink());
        std::process::exit(1);
    });
}

/// The operator's file, if one was named.
fn read_operator(path: Option<&Path>) -> Result<Operator, String> {
    path.map_or_else(|| Ok(Operator::default()), operator::read)
}

/// What can change while the program runs.
struct Changes {
    path: Option<PathBuf>,
    operator: Operator,
    limits: Live<operator::Limits>,
    discovery: watch::Sender<SocketAddr>,
}

impl Changes {
    /// Follows the files: at each signal they are read again. Of the platform's configuration only where discovery
    /// is can change. A file that can't be read, or that changes what can't change, changes nothing.
    async fn follow(mut self, mut hup: Signal) {
        while hup.recv().await.is_some() {
            match self.read_again() {
                Ok(()) => log!("reloaded"),
                Err(message) => log!("not reloaded: {message}"),
            }
        }
    }

    fn read_again(&mut self) -> Result<(), String> {
        let next = read_operator(self.path.as_deref())?;
        let fixed = self.operator.fixed(&next);
        if !fixed.is_empty() {
            return Err(format!("{}: can't change while the program runs", fixed.join(", ")));
        }
        let config = config::load()?;
        self.limits.set(next.limits.clone());
        self.operator = next;
        self.discovery.send_if_modified(|now| std::mem::replace(now, config.discovery) != config.discovery);
        Ok(())
    }
}

async fn serve(path: Option<PathBuf>) -> Result<(), String> {
    // Before anything else: a signal that is not caught ends the program.
    let caught = |kind| signal(kind).map_err(|e| e.to_string());
    let hup = caught(SignalKind::hangup())?;
    let (mut term, mut int) = (caught(SignalKind::terminate())?, caught(SignalKind::interrupt())?);
    let (start, start_ms) = (Instant::now(), driver::unix_ms());
    let Config { name, listen, discovery, seed, sockets, known, deployment } = config::load()?;
    let operator = read_operator(path.as_deref())?;
    let limits = Live::new(operator.limits.clone());
    let balancer = Balancer::new(deployment.policy.clone(), seed, start_ms).map_err(|e| e.to_string())?;
    let span = |ms: f64| Duration::from_secs_f64(ms / 1000.0);
    let budget = Sockets::new(sockets);
    let http = transport::http::Transport {
        dial_timeout: span(deployment.dial_timeout),
        idle_close: span(deployment.policy.idle_close.min(86_400_000.0)),
        sockets: budget.clone(),
        limits: limits.clone(),
    };
    let handle = Handle::new(Parts {
        balancer,
        start,
        start_ms,
        transports: Box::new(transport::choose(http)),
        sockets: budget.clone(),
        drain_grace: span(deployment.drain_grace),
        max_open: usize::try_from(deployment.max_open).unwrap_or(usize::MAX),
    });
    let listener = TcpListener::bind(listen).await.map_err(|e| format!("listen: {listen}: {e}"))?;
    let address = listener.local_addr().map_err(|e| format!("listen: {listen}: {e}"))?;
    let timers = handle.clone();
    let timers = tokio::task::spawn_local(async move { timers.run().await });
    handle.cached(known.as_ref());
    let (address_of_discovery, addresses) = watch::channel(discovery);
    let changes = Changes { path, operator, limits: limits.clone(), discovery: address_of_discovery };
    tokio::task::spawn_local(changes.follow(hup));
    let watcher =
        Discovery::new(addresses, Names::of(&deployment), limits.clone(), known.as_ref().map(|k| k.version));
    tokio::task::spawn_local(watcher.run(handle.clone(), !deployment.policy.ask_for_list));
    let (phase, phases) = watch::channel(Phase::Up);
    let served = tokio::task::spawn_local(
        Server::new(handle.clone(), deployment, budget, limits, phases).run(listener),
    );
    let open = handle.clone();
    log!("{name}: serving on {address}");

    tokio::select! {
        _ = term.recv() => {}
        _ = int.recv() => {}
        // Without timers no request would end: better to stop at once, seen by all.
        end = timers => return Err(format!("the timers stopped: {end:?}")),
    }
    log!("{name}: told to end");
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
        log!("{name}: callers are still connected at the end, {} requests unanswered", open.open());
    }
    Ok(())
}
