//! The lifecycle's state machine.
use crate::{Action, Event, Exit, ShutdownTimeouts, State, SuccessorEvent};
use std::time::Duration;

/// State of the claim of this process to the listening sockets.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ListenerClaim {
    /// The sockets belong to this process.
    Owned,
    /// The sockets were received; the predecessor still accepts connections.
    Unclaimed,
    /// The predecessor was notified that this process is ready.
    Claimed,
}

/// Times of the shutdown steps; [`Duration::MAX`] before the shutdown begins.
#[derive(Clone, Copy, Debug)]
struct ShutdownSchedule {
    stop_accepting_at: Duration,
    close_connections_at: Duration,
    close_idle_at: Duration,
    fail_requests_at: Duration,
    exit_at: Duration,
}

impl ShutdownSchedule {
    const UNSET: ShutdownSchedule = ShutdownSchedule {
        stop_accepting_at: Duration::MAX,
        close_connections_at: Duration::MAX,
        close_idle_at: Duration::MAX,
        fail_requests_at: Duration::MAX,
        exit_at: Duration::MAX,
    };

    /// Returns the schedule of a shutdown that begins now.
    fn after_stop(now: Duration, timeouts: &ShutdownTimeouts) -> ShutdownSchedule {
        let announce_after = timeouts.close_idle_after.saturating_sub(timeouts.close_announcement);
        ShutdownSchedule {
            stop_accepting_at: now + timeouts.stop_accepting_after,
            close_connections_at: now + announce_after.max(timeouts.stop_accepting_after),
            close_idle_at: now + timeouts.close_idle_after,
            fail_requests_at: now + timeouts.fail_requests_after,
            exit_at: now + timeouts.exit_after,
        }
    }

    /// Reschedules the remaining steps for a handoff, when a successor has taken over.
    fn extend_for_handoff(&mut self, now: Duration, timeouts: &ShutdownTimeouts) {
        self.close_idle_at = now + timeouts.handoff_close_idle_after;
        self.fail_requests_at = now + timeouts.handoff_fail_requests_after;
        self.exit_at = self.fail_requests_at + (timeouts.exit_after - timeouts.fail_requests_after);
    }

    /// Moves the remaining steps to no later than those of a shutdown, when the process receives the stop signal after a
    /// handoff.
    fn shorten_for_stop(&mut self, now: Duration, timeouts: &ShutdownTimeouts) {
        self.close_idle_at = self.close_idle_at.min(now + timeouts.close_idle_after);
        self.fail_requests_at = now + timeouts.fail_requests_after;
        self.exit_at = now + timeouts.exit_after;
    }
}

/// State machine of one process; see the [crate documentation](crate).
#[derive(Clone, Debug)]
pub struct Lifecycle {
    timeouts: ShutdownTimeouts,
    state: State,
    schedule: ShutdownSchedule,
    listening: bool,
    endpoints_known: bool,
    claim: ListenerClaim,
    /// Whether a reload was requested that could not start yet.
    reload_pending: bool,
    /// Whether the files are being read before the process is ready.
    reads_early: bool,
    /// Whether a successor has requested the sockets and has not disconnected.
    successor_connected: bool,
    accepting: bool,
    /// Number of open requests that was last reported.
    open_requests: usize,
    /// Whether no request or connection was open in the last report in the state [`State::Closing`].
    nothing_open: bool,
    /// Whether idle connections were closed.
    idle_closed: bool,
    /// Number of open requests at the time of [`Action::FailOpenRequests`]; `None` before it.
    failed_requests: Option<usize>,
}

impl Lifecycle {
    /// Returns the lifecycle of a process with listening sockets of its own.
    pub fn new(timeouts: ShutdownTimeouts) -> Lifecycle {
        Lifecycle {
            timeouts,
            state: State::Starting,
            schedule: ShutdownSchedule::UNSET,
            listening: false,
            endpoints_known: false,
            claim: ListenerClaim::Owned,
            reload_pending: false,
            reads_early: false,
            successor_connected: false,
            accepting: false,
            open_requests: 0,
            nothing_open: false,
            idle_closed: false,
            failed_requests: None,
        }
    }

    /// Returns the lifecycle of a process that takes over the sockets of another one: it accepts no connections before
    /// [`Event::Released`].
    pub fn new_successor(timeouts: ShutdownTimeouts) -> Lifecycle {
        Lifecycle { claim: ListenerClaim::Unclaimed, ..Lifecycle::new(timeouts) }
    }

    /// Present state of the process.
    pub fn state(&self) -> State {
        self.state
    }

    /// Whether new connections are accepted.
    pub fn is_accepting(&self) -> bool {
        self.accepting
    }

    /// Time at which [`Event::Timeout`] has to be passed to [`Lifecycle::handle`]; `None` if only events matter.
    pub fn next_timeout(&self) -> Option<Duration> {
        let schedule = &self.schedule;
        match self.state {
            State::Starting | State::Ready | State::Reloading | State::Ended => None,
            State::ShuttingDown => Some(schedule.stop_accepting_at),
            State::Draining => Some(schedule.close_connections_at),
            State::Closing if !self.idle_closed => {
                Some(schedule.close_idle_at.min(schedule.fail_requests_at))
            }
            State::Closing if self.failed_requests.is_none() => Some(schedule.fail_requests_at),
            State::Closing => Some(schedule.exit_at),
        }
    }

    /// Handles an event and appends the resulting actions. `now` is the time since the start of the process and must
    /// not decrease.
    pub fn handle(&mut self, now: Duration, event: Event, actions: &mut Vec<Action>) {
        if self.state == State::Ended {
            return;
        }
        match event {
            Event::Listening => self.listening(actions),
            Event::EndpointsKnown => {
                self.endpoints_known = true;
                self.become_ready(actions);
            }
            Event::Released => self.released(actions),
            Event::Stop => self.stop(now, actions),
            Event::Reload => self.reload(actions),
            Event::Reloaded => self.reloaded(actions),
            Event::Successor(event) => self.successor(now, event, actions),
            Event::OpenCounts { requests, connections } => {
                self.open_requests = requests;
                self.nothing_open = self.state == State::Closing && requests == 0 && connections == 0;
            }
            Event::Timeout => {}
        }
        self.advance(now, actions);
    }

    fn listening(&mut self, actions: &mut Vec<Action>) {
        self.listening = true;
        if self.claim == ListenerClaim::Owned {
            self.accept(actions);
        }
        self.become_ready(actions);
    }

    fn released(&mut self, actions: &mut Vec<Action>) {
        if self.claim == ListenerClaim::Owned {
            return;
        }
        self.claim = ListenerClaim::Owned;
        if self.listening {
            self.accept(actions);
        }
        self.become_ready(actions);
    }

    fn accept(&mut self, actions: &mut Vec<Action>) {
        if !self.accepting && self.state < State::Draining {
            self.accepting = true;
            actions.push(Action::Accept);
        }
    }

    /// Becomes ready, or claims the sockets, as soon as requests can be served.
    fn become_ready(&mut self, actions: &mut Vec<Action>) {
        if self.state != State::Starting || !self.listening || !self.endpoints_known {
            return;
        }
        match self.claim {
            ListenerClaim::Owned => {
                self.state = State::Ready;
                actions.push(Action::NotifyReady);
                if !self.reads_early {
                    self.start_pending_reload(actions);
                }
            }
            ListenerClaim::Unclaimed => {
                self.claim = ListenerClaim::Claimed;
                actions.push(Action::Claim);
            }
            ListenerClaim::Claimed => {}
        }
    }

    fn reload(&mut self, actions: &mut Vec<Action>) {
        match self.state {
            State::Ready if !self.reads_early => self.start_reload(actions),
            // At once, since only the new configuration may say where endpoints can be learned.
            State::Starting if !self.reads_early => {
                self.reads_early = true;
                actions.push(Action::ReadFiles);
            }
            // The files may have changed after they were read.
            State::Starting | State::Ready | State::Reloading => self.reload_pending = true,
            _ => actions.push(Action::IgnoreSignal(Event::Reload)),
        }
    }

    fn reloaded(&mut self, actions: &mut Vec<Action>) {
        let was_early = std::mem::take(&mut self.reads_early);
        match self.state {
            State::Reloading => {
                self.state = State::Ready;
                actions.push(Action::NotifyReady);
                self.start_pending_reload(actions);
            }
            State::Ready if was_early => self.start_pending_reload(actions),
            State::Starting if std::mem::take(&mut self.reload_pending) => self.reload(actions),
            _ => {}
        }
    }

    fn start_pending_reload(&mut self, actions: &mut Vec<Action>) {
        if std::mem::take(&mut self.reload_pending) {
            self.start_reload(actions);
        }
    }

    fn start_reload(&mut self, actions: &mut Vec<Action>) {
        self.state = State::Reloading;
        actions.extend([Action::NotifyReloading, Action::ReadFiles]);
    }

    fn stop(&mut self, now: Duration, actions: &mut Vec<Action>) {
        match self.state {
            // No connection was accepted, so no request has to be answered; a predecessor keeps serving.
            State::Starting if !self.accepting => {
                self.state = State::Ended;
                actions.extend([Action::NotifyStopping, Action::Exit(Exit::Done)]);
            }
            State::Starting | State::Ready | State::Reloading => {
                self.state = State::ShuttingDown;
                self.schedule = ShutdownSchedule::after_stop(now, &self.timeouts);
                actions.extend([Action::NotifyStopping, Action::AnswerBy(self.schedule.fail_requests_at)]);
            }
            State::Closing if self.can_shorten_shutdown(now) => {
                self.schedule.shorten_for_stop(now, &self.timeouts);
                actions.push(Action::AnswerBy(self.schedule.fail_requests_at));
            }
            // A second signal does not shorten the shutdown that the first one began.
            _ => actions.push(Action::IgnoreSignal(Event::Stop)),
        }
    }

    /// Whether the stop signal makes the process exit earlier, as it does after a handoff.
    fn can_shorten_shutdown(&self, now: Duration) -> bool {
        self.failed_requests.is_none()
            && now + self.timeouts.fail_requests_after < self.schedule.fail_requests_at
    }

    fn successor(&mut self, now: Duration, event: SuccessorEvent, actions: &mut Vec<Action>) {
        match event {
            SuccessorEvent::Connected if self.accepting && !self.successor_connected => {
                self.successor_connected = true;
                actions.push(Action::HandOffListeners);
            }
            SuccessorEvent::Connected => actions.push(Action::RejectSuccessor),
            SuccessorEvent::Ready if self.successor_connected && self.accepting => {
                self.hand_over(now, actions);
            }
            SuccessorEvent::Ready => {}
            // After the handoff the sockets belong to the successor, even if it disconnects.
            SuccessorEvent::Disconnected => {
                self.successor_connected = self.successor_connected && !self.accepting;
            }
        }
    }

    /// Hands the sockets off: the successor is ready and accepts connections from now on.
    fn hand_over(&mut self, now: Duration, actions: &mut Vec<Action>) {
        if self.state < State::ShuttingDown {
            actions.push(Action::NotifyStopping);
            self.schedule.extend_for_handoff(now, &self.timeouts);
            actions.push(Action::AnswerBy(self.schedule.fail_requests_at));
        }
        self.accepting = false;
        self.state = State::Closing;
        // In this order each waiting connection is accepted by one of the two processes, and no request by both.
        actions.extend([Action::StopAccepting, Action::ReleaseSuccessor, Action::CloseConnections]);
    }

    /// Takes the shutdown steps that are due.
    fn advance(&mut self, now: Duration, actions: &mut Vec<Action>) {
        if self.state == State::ShuttingDown && now >= self.schedule.stop_accepting_at {
            self.state = State::Draining;
            self.accepting = false;
            actions.push(Action::StopAccepting);
        }
        if self.state == State::Draining && now >= self.schedule.close_connections_at {
            self.state = State::Closing;
            actions.push(Action::CloseConnections);
        }
        if self.state == State::Closing {
            self.advance_closing(now, actions);
        }
    }

    fn advance_closing(&mut self, now: Duration, actions: &mut Vec<Action>) {
        let schedule = self.schedule;
        if !self.idle_closed && now >= schedule.close_idle_at.min(schedule.fail_requests_at) {
            self.idle_closed = true;
            actions.push(Action::CloseIdleConnections);
        }
        if self.failed_requests.is_none() && now >= schedule.fail_requests_at {
            self.failed_requests = Some(self.open_requests);
            actions.push(Action::FailOpenRequests);
        }
        if self.nothing_open || now >= schedule.exit_at {
            self.state = State::Ended;
            let exit = match self.failed_requests {
                None | Some(0) => Exit::Done,
                Some(failed) => Exit::Failed(failed),
            };
            actions.push(Action::Exit(exit));
        }
    }
}
