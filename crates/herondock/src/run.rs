//! `herondock run`: start-up, signals and wiring of one instance.
use crate::config::{self, Config};
use crate::daemon::along::Along;
use crate::daemon::manager::{self, Manager};
use crate::daemon::pidfile::PidFile;
use crate::daemon::takeover::{self, Claimant, Comer, Holder, Taken};
use crate::driver::{self, Handle, Parts};
use crate::front::{http::Server, Phase};
use crate::live::Live;
use crate::log::log;
use crate::members::discovery::{Discovery, Names};
use crate::sockets::Sockets;
use crate::transport;
use lifecycle::{Action, Event, Exit, Figures, Lifecycle, State, Successor};
use oakflow::Balancer;
use oakflow_settings::operator::{self, Daemon, Operator};
use std::cell::RefCell;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::signal::unix::{signal, SignalKind};
use tokio::sync::{mpsc, oneshot, watch};
use tokio::task::{AbortHandle, JoinHandle};
use tokio::time::Instant;

/// How often what is open is counted while the process ends.
const COUNT: Duration = Duration::from_millis(10);
/// Events that may wait for the one loop that takes them; whoever has more to tell waits.
const EVENTS: usize = 16;
/// How long the pid file of a predecessor that has passed its sockets on is waited for.
const PID_FILE: Duration = Duration::from_secs(2);

/// What the command line says.
#[derive(Default)]
pub struct Options {
    /// The operator's file.
    pub operator: Option<PathBuf>,
    /// In place of `daemon.pid_file`.
    pub pid_file: Option<PathBuf>,
    /// In place of `daemon.takeover`.
    pub takeover: Option<PathBuf>,
}

/// Runs an instance until it is told to end.
///
/// # Errors
/// One line that names the file and field at fault, or the address that can't be listened on.
pub fn run(options: Options) -> Result<(), String> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime.map_err(|e| e.to_string())?;
    // A task of its own: what is blocked on is polled whenever any task has been.
    let served = async { tokio::task::spawn_local(serve(options)).await.map_err(|e| e.to_string())? };
    tokio::task::LocalSet::new().block_on(&runtime, served)
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
    /// Reads the files again. Of the platform's configuration only where discovery is can change. A file that can't be
    /// read, or that changes what can't change, changes nothing.
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

/// Where the listener comes from.
struct Origin {
    listener: std::net::TcpListener,
    /// Not yet, where a predecessor holds it until it has passed its sockets on.
    pid_file: Option<PidFile>,
    /// The predecessor, where there is one.
    taken: Option<Taken>,
    along: Option<Along>,
}

/// The listener: of a predecessor that runs, of the service manager, or a new one.
async fn origin(config: &Config, daemon: &Daemon) -> Result<Origin, String> {
    let at = |e: std::io::Error| format!("listen: {}: {e}", config.listen);
    let fits = |listener: &std::net::TcpListener| {
        let got = listener.local_addr().map_err(at)?;
        let port = config.listen.port() == 0 || config.listen.port() == got.port();
        match port && config.listen.ip() == got.ip() {
            true => listener.set_nonblocking(true).map_err(at),
            false => {
                Err(format!("listen: the socket that was passed is at {got} and not at {}", config.listen))
            }
        }
    };
    let asked = match &daemon.takeover {
        Some(path) => takeover::ask(path, &config.name).await?,
        None => None,
    };
    if let Some(taken) = asked {
        fits(&taken.listener)?;
        let listener = taken.listener.try_clone().map_err(at)?;
        let along = Along::read(&taken.along, config.fingerprint);
        return Ok(Origin { listener, pid_file: None, taken: Some(taken), along });
    }
    let pid_file = daemon.pid_file.as_deref().map(PidFile::take).transpose()?;
    let listener = match manager::activated()? {
        Some(listener) => {
            fits(&listener)?;
            listener
        }
        None => {
            let listener = TcpListener::bind(config.listen).await.map_err(at)?;
            listener.into_std().map_err(at)?
        }
    };
    Ok(Origin { listener, pid_file, taken: None, along: None })
}

async fn serve(options: Options) -> Result<(), String> {
    // Before anything else: a signal that is not caught ends the program.
    let caught = |kind| signal(kind).map_err(|e| e.to_string());
    let mut hup = caught(SignalKind::hangup())?;
    let (mut term, mut int) = (caught(SignalKind::terminate())?, caught(SignalKind::interrupt())?);
    let (start, start_ms) = (Instant::now(), driver::unix_ms());
    let config = config::load()?;
    let path = options.operator;
    let operator = read_operator(path.as_deref())?;
    let mut daemon = operator.daemon.clone();
    daemon.pid_file = options.pid_file.or(daemon.pid_file);
    daemon.takeover = options.takeover.or(daemon.takeover);
    let manager = Manager::new();
    let Origin { listener, mut pid_file, taken, along } = origin(&config, &daemon).await?;
    let Config { name, discovery, seed, sockets, known, deployment, fingerprint, .. } = config;
    let limits = Live::new(operator.limits.clone());
    let mut balancer = Balancer::new(deployment.policy.clone(), seed, start_ms).map_err(|e| e.to_string())?;
    if let Some(along) = &along {
        balancer.recall(&along.learned(), start_ms);
    }
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
    let address = listener.local_addr().map_err(|e| format!("listen: {e}"))?;
    let timers = handle.clone();
    let mut timers = tokio::task::spawn_local(async move { timers.run().await });
    // What a predecessor knew a moment ago is newer than what the platform saved.
    let inherited = along.and_then(|along| along.listing());
    let (known, grace_over) = if inherited.is_some() { (inherited, true) } else { (known, false) };
    handle.cached(known.as_ref(), grace_over);
    let (address_of_discovery, addresses) = watch::channel(discovery);
    let mut changes = Changes { path, operator, limits: limits.clone(), discovery: address_of_discovery };
    let watcher =
        Discovery::new(addresses, Names::of(&deployment), limits.clone(), known.as_ref().map(|k| k.version));
    tokio::task::spawn_local(watcher.run(handle.clone(), !deployment.policy.ask_for_list));
    let (phase, phases) = watch::channel(Phase::Up);
    let server = Server::new(handle.clone(), deployment, budget.clone(), limits, phases);

    let Daemon { accepting, serving, last_answer, end, handed_over, .. } = daemon;
    let figures = Figures { accepting, serving, last_answer, end, handed_over };
    let mut life = if taken.is_some() { Lifecycle::succeeding(figures) } else { Lifecycle::new(figures) };
    let (tell, mut told) = mpsc::channel::<Event>(EVENTS);
    let (claim, claimed) = oneshot::channel::<()>();
    let mut claim = Some(claim);
    if let Some(taken) = taken {
        let tell = tell.clone();
        tokio::task::spawn_local(async move {
            let ready = async {
                // Guards against a process that ends before it is ready: that it will not claim any more is no claim.
                if claimed.await.is_err() {
                    std::future::pending::<()>().await;
                }
            };
            taken.released(ready).await;
            let _ = tell.send(Event::Released).await;
        });
    }
    {
        let (tell, handle) = (tell.clone(), handle.clone());
        tokio::task::spawn_local(async move {
            handle.known().await;
            let _ = tell.send(Event::Known).await;
        });
    }
    let (found, mut comers) = mpsc::channel::<Comer>(1);
    // One to pass on, besides the one that is accepted on.
    let mut listener = Some(listener);
    let another = |listener: &Option<std::net::TcpListener>| match listener {
        Some(listener) => listener.try_clone().map_err(|e| format!("listen: {address}: {e}")),
        None => Err(format!("listen: {address}: closed already")),
    };
    let mut holder: Option<AbortHandle> = None;
    let mut comer: Option<Comer> = None;
    let claimant: Rc<RefCell<Option<Claimant>>> = Rc::default();
    let mut served: Option<JoinHandle<()>> = None;
    let mut alive = manager.watchdog().map(tokio::time::interval);
    // Why the files were not taken when they were read last.
    let mut refused: Option<String> = None;
    let mut actions = Vec::new();
    let mut event = Event::Listening;
    loop {
        life.handle(start.elapsed(), event, &mut actions);
        for action in actions.drain(..) {
            match action {
                Action::Accept => {
                    let accepting = another(&listener)?;
                    let accepting =
                        TcpListener::from_std(accepting).map_err(|e| format!("listen: {address}: {e}"))?;
                    served = Some(tokio::task::spawn_local(server.clone().run(accepting)));
                    if let (Some(path), None) = (&daemon.pid_file, &pid_file) {
                        match PidFile::take_after(path, PID_FILE).await {
                            Ok(file) => pid_file = Some(file),
                            // It serves by now; to end would harm more than a file that somebody else holds.
                            Err(message) => log!("{message}"),
                        }
                    }
                    if let Some(path) = &daemon.takeover {
                        match Holder::bind(path) {
                            Ok(bound) => {
                                let found = found.clone();
                                let seek =
                                    async move { while found.send(bound.next().await).await.is_ok() {} };
                                holder = Some(tokio::task::spawn_local(seek).abort_handle());
                            }
                            Err(message) => log!("{message}"),
                        }
                    }
                    log!("{name}: serving on {address}");
                }
                Action::Claim => drop(claim.take().map(|claim| claim.send(()))),
                Action::TellReady => manager.ready(match &refused {
                    None => format!("serving on {address}"),
                    Some(why) => format!("not reloaded: {why}"),
                }),
                Action::TellReloading => manager.reloading(),
                Action::TellStopping => {
                    manager.stopping();
                    // Whoever asks whether it is ready hears that it is not.
                    phase.send_replace(Phase::Leaving);
                    if event == Event::Stop {
                        log!("{name}: told to end");
                    }
                }
                Action::ReadFiles => {
                    refused = changes.read_again().err();
                    match &refused {
                        None => log!("reloaded"),
                        Some(why) => log!("not reloaded: {why}"),
                    }
                    // There is room: at most one reload goes on.
                    let _ = tell.try_send(Event::Reloaded);
                }
                Action::HandOver => {
                    let Some(comer) = comer.take() else { continue };
                    log!("{name}: {} asks for the sockets", comer.name);
                    let along = Along::new(fingerprint, handle.listing(), handle.learned()).write();
                    let passed = another(&listener)?;
                    let (tell, claimant) = (tell.clone(), claimant.clone());
                    tokio::task::spawn_local(async move {
                        let what = match comer.pass(passed, &along).await {
                            Ok(ready) => {
                                claimant.replace(Some(ready));
                                Successor::Ready
                            }
                            Err(e) => {
                                log!("the take-over came to nothing: {e}");
                                Successor::Gone
                            }
                        };
                        let _ = tell.send(Event::Successor(what)).await;
                    });
                }
                Action::Refuse => {
                    if let Some(comer) = comer.take() {
                        tokio::task::spawn_local(
                            comer.refuse("another process is taking over, or this one is ending"),
                        );
                    }
                }
                Action::StopAccepting => {
                    // Guards against callers whose connections the system would go on taking, for nobody.
                    listener = None;
                    let handed = claimant.borrow().is_some();
                    phase.send_replace(if handed { Phase::HandedOver } else { Phase::Draining });
                }
                Action::Release => {
                    pid_file = None;
                    if let Some(holder) = holder.take() {
                        holder.abort();
                    }
                    if let Some(claimant) = claimant.take() {
                        log!("{name}: the sockets are another process's now");
                        tokio::task::spawn_local(claimant.release());
                    }
                }
                Action::AnswerBy(at) => handle.ends_by(at.saturating_sub(start.elapsed())),
                Action::CloseConnections => {
                    if *phase.borrow() < Phase::Closing {
                        phase.send_replace(Phase::Closing);
                    }
                }
                Action::FailOpen => handle.fail_open(),
                Action::TooLate(event) => log!("{name}: {event:?} comes too late, it is ending"),
                Action::End(exit) => {
                    if served.as_ref().is_some_and(|served| !served.is_finished()) {
                        let open = handle.open();
                        log!("{name}: callers are still connected at the end, {open} requests unanswered");
                    }
                    if let Exit::Failed(n) = exit {
                        log!("{name}: {n} requests had no answer in time and were failed");
                    }
                    if let (Some(path), Some(_)) = (&daemon.takeover, &holder) {
                        // What stays behind is no obstacle.
                        let _ = std::fs::remove_file(path);
                    }
                    return Ok(());
                }
            }
        }
        let wake = life.wake();
        let ending = life.state() >= State::Leaving;
        event = tokio::select! {
            _ = term.recv() => Event::Stop,
            _ = int.recv() => Event::Stop,
            _ = hup.recv() => Event::Reload,
            Some(event) = told.recv() => event,
            Some(next) = comers.recv() => {
                comer = Some(next);
                Event::Successor(Successor::Came)
            }
            () = async { tokio::time::sleep_until(start + wake.unwrap_or_default()).await }, if wake.is_some() => Event::Time,
            () = tokio::time::sleep(COUNT), if ending => {
                let left = served.as_ref().is_some_and(|served| !served.is_finished());
                let connections = budget.callers().max(usize::from(left));
                Event::Counts { requests: handle.open(), connections }
            }
            () = async { if let Some(alive) = &mut alive { alive.tick().await; } }, if alive.is_some() => {
                manager.alive();
                Event::Time
            }
            // Without timers no request would end: better to stop at once, seen by all.
            end = &mut timers => return Err(format!("the timers stopped: {end:?}")),
        };
    }
}
