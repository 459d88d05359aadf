//! Everything that happens to the process, as one stream of events.
use super::error::RunError;
use crate::listener_handoff::protocol::HandoffRequest;
use daemon::signals::{ProcessSignal, Signals};
use lifecycle::Event;
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::task::JoinHandle;
use tokio::time::{Instant, Interval};

/// How often open requests and connections are counted during a graceful shutdown.
const OPEN_COUNT_INTERVAL: Duration = Duration::from_millis(10);
/// Capacity of the event queue; senders wait when it is full.
const EVENT_QUEUE_CAPACITY: usize = 16;

/// Sends events of the instance's tasks.
#[derive(Clone)]
pub struct EventSender {
    /// For the lifecycle.
    pub events: mpsc::Sender<Event>,
    /// Requests at the handoff socket, one at a time.
    pub handoff_requests: mpsc::Sender<HandoffRequest>,
}

/// An event of the process.
pub enum ProcessEvent {
    /// For the lifecycle.
    Lifecycle(Event),
    /// A request at the handoff socket.
    Handoff(HandoffRequest),
    /// The service manager's watchdog has to be notified.
    WatchdogTick,
    /// Open requests and connections have to be counted.
    CountOpen,
}

/// Everything that an instance waits for.
pub struct EventStream {
    signals: Signals,
    events: mpsc::Receiver<Event>,
    handoff_requests: mpsc::Receiver<HandoffRequest>,
    watchdog: Option<Interval>,
    timers: JoinHandle<()>,
}

impl EventStream {
    /// Signals, what is told, the watchdog's beat, and the end of the driver's timers.
    pub fn new(
        signals: Signals,
        watchdog: Option<Duration>,
        timers: JoinHandle<()>,
    ) -> (EventStream, EventSender) {
        let (events, told) = mpsc::channel(EVENT_QUEUE_CAPACITY);
        let (ask, asked) = mpsc::channel(1);
        let alive = watchdog.map(tokio::time::interval);
        (
            EventStream { signals, events: told, handoff_requests: asked, watchdog: alive, timers },
            EventSender { events, handoff_requests: ask },
        )
    }

    /// The next thing that happens. `wake`: when the lifecycle wants to be told of the time; `counts`: whether what is
    /// open is to be counted.
    ///
    /// # Errors
    /// The timers stopped. Without them no request would end: better to stop at once, seen by all.
    pub async fn next(&mut self, wake: Option<Instant>, counts: bool) -> Result<ProcessEvent, RunError> {
        let alive = async {
            match &mut self.watchdog {
                Some(alive) => drop(alive.tick().await),
                None => std::future::pending().await,
            }
        };
        let time = async {
            match wake {
                Some(at) => tokio::time::sleep_until(at).await,
                None => std::future::pending().await,
            }
        };
        Ok(tokio::select! {
            told = self.signals.next() => ProcessEvent::Lifecycle(match told {
                ProcessSignal::Stop => Event::Stop,
                ProcessSignal::Reload => Event::Reload,
            }),
            Some(event) = self.events.recv() => ProcessEvent::Lifecycle(event),
            Some(asked) = self.handoff_requests.recv() => ProcessEvent::Handoff(asked),
            () = time => ProcessEvent::Lifecycle(Event::Timeout),
            () = tokio::time::sleep(OPEN_COUNT_INTERVAL), if counts => ProcessEvent::CountOpen,
            () = alive => ProcessEvent::WatchdogTick,
            end = &mut self.timers => return Err(RunError::TimersStopped(format!("{end:?}"))),
        })
    }
}
