//! Merges signals, timers and events of tasks into one stream of process events.
use super::error::RunError;
use crate::listener_handoff::protocol::HandoffRequest;
use daemon::signals::{ProcessSignal, Signals};
use lifecycle::Event;
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::task::JoinHandle;
use tokio::time::{Instant, Interval};

/// Interval at which open requests and connections are counted during a graceful shutdown.
const OPEN_COUNT_INTERVAL: Duration = Duration::from_millis(10);
/// Number of events that the queue holds; senders wait while it is full.
const EVENT_QUEUE_CAPACITY: usize = 16;

/// Sends events of the instance's tasks.
#[derive(Clone)]
pub struct EventSender {
    /// Events for the lifecycle.
    pub events: mpsc::Sender<Event>,
    /// Requests received at the handoff socket; the queue holds one.
    pub handoff_requests: mpsc::Sender<HandoffRequest>,
}

/// An event of the process.
pub enum ProcessEvent {
    /// Event for the lifecycle.
    Lifecycle(Event),
    /// A request received at the handoff socket.
    Handoff(HandoffRequest),
    /// The service manager's watchdog is due for a notification.
    WatchdogTick,
    /// Open requests and connections are due to be counted.
    CountOpen,
}

/// All event sources of an instance.
pub struct EventStream {
    signals: Signals,
    events: mpsc::Receiver<Event>,
    handoff_requests: mpsc::Receiver<HandoffRequest>,
    watchdog: Option<Interval>,
    timers: JoinHandle<()>,
}

impl EventStream {
    /// Creates the stream and the sender of its events. `watchdog` is the interval of watchdog notifications; `timers` is the
    /// task that runs the drivers' timers.
    pub fn new(
        signals: Signals,
        watchdog: Option<Duration>,
        timers: JoinHandle<()>,
    ) -> (EventStream, EventSender) {
        let (events, event_receiver) = mpsc::channel(EVENT_QUEUE_CAPACITY);
        let (handoff_sender, handoff_receiver) = mpsc::channel(1);
        let watchdog_interval = watchdog.map(tokio::time::interval);
        (
            EventStream {
                signals,
                events: event_receiver,
                handoff_requests: handoff_receiver,
                watchdog: watchdog_interval,
                timers,
            },
            EventSender { events, handoff_requests: handoff_sender },
        )
    }

    /// Waits for the next event. `wake_at` is the time of the lifecycle's next timeout; with `count_open`, open requests and
    /// connections are due to be counted every [`OPEN_COUNT_INTERVAL`].
    ///
    /// # Errors
    /// The drivers' timers stopped. Requests would never time out without them, so the process has to exit with an error.
    pub async fn next(
        &mut self,
        wake_at: Option<Instant>,
        count_open: bool,
    ) -> Result<ProcessEvent, RunError> {
        let watchdog_tick = async {
            match &mut self.watchdog {
                Some(interval) => drop(interval.tick().await),
                None => std::future::pending().await,
            }
        };
        let timeout = async {
            match wake_at {
                Some(time) => tokio::time::sleep_until(time).await,
                None => std::future::pending().await,
            }
        };
        Ok(tokio::select! {
            signal = self.signals.next() => ProcessEvent::Lifecycle(match signal {
                ProcessSignal::Stop => Event::Stop,
                ProcessSignal::Reload => Event::Reload,
            }),
            Some(event) = self.events.recv() => ProcessEvent::Lifecycle(event),
            Some(request) = self.handoff_requests.recv() => ProcessEvent::Handoff(request),
            () = timeout => ProcessEvent::Lifecycle(Event::Timeout),
            () = tokio::time::sleep(OPEN_COUNT_INTERVAL), if count_open => ProcessEvent::CountOpen,
            () = watchdog_tick => ProcessEvent::WatchdogTick,
            result = &mut self.timers => return Err(RunError::TimersStopped(format!("{result:?}"))),
        })
    }
}
