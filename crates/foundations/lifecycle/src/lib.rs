//! The life of one balancer process, from its start to its end, as a state machine without I/O.
//!
//! A [`Lifecycle`] is told what happens ([`Event`]) and answers with what to do ([`Action`]). It reads no clock: `now`
//! is the time since the process began, and never goes back. [`Lifecycle::wake`] says when it wants to be told of the
//! time next.
//!
//! ```text
//! starting --> ready <--> reloading
//!     |          |            |            stop: SIGTERM or SIGINT
//!     +----------+------------+--> leaving --> draining --> closing --> ended
//!                |                    |                        ^
//!                +--------------------+------------------------+   a successor took the sockets over
//! ```
//!
//! A new process that takes over waits in *starting* until it is ready, claims the sockets from its predecessor, and
//! accepts once it has been released. Until then the predecessor serves as if nothing were going on.
use std::time::Duration;

/// Waits at the end, counted from the moment the process was told to end, and after a hand-over.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ShutdownTimeouts {
    /// New connections are accepted for this long.
    pub accepting: Duration,
    /// Kept connections are served for this long: closed sooner, their callers would have to connect to a balancer
    /// that may be starting again itself.
    pub serving: Duration,
    /// The last part of that, in which answers say that their connection closes: whoever is using one is told, so that
    /// the close of the silent ones meets nobody who is just writing.
    pub announcing: Duration,
    /// What is open then gets its final answer.
    pub last_answer: Duration,
    /// The process ends.
    pub end: Duration,
    /// After a hand-over answers say at once that their connection closes; one that stays silent is closed after this.
    pub handed_over_silent: Duration,
    /// What is open so long after a hand-over gets its final answer.
    pub handed_over: Duration,
}

impl Default for ShutdownTimeouts {
    /// The platform's: new connections go on coming for 0.2 to 0.4 s after SIGTERM, and SIGKILL comes 3.7 s after it at
    /// the soonest. 60 s after a hand-over, which no service manager hurries; and 10 s for silent connections, as long
    /// as they may rest at any time, so that a hand-over closes none that would have stayed open.
    fn default() -> Self {
        let ms = Duration::from_millis;
        ShutdownTimeouts {
            accepting: ms(500),
            serving: ms(2400),
            announcing: ms(500),
            last_answer: ms(3500),
            end: ms(3650),
            handed_over_silent: ms(10_000),
            handed_over: ms(60_000),
        }
    }
}

impl ShutdownTimeouts {
    /// Checks that each wait is at least as long as the one before it.
    ///
    /// # Errors
    /// The name of the first that is not.
    pub fn validate(&self) -> Result<(), &'static str> {
        for (name, least, most) in [
            ("serving", self.accepting, self.serving),
            ("last_answer", self.serving, self.last_answer),
            ("end", self.last_answer, self.end),
            ("handed_over", self.handed_over_silent, self.handed_over),
        ] {
            if least > most {
                return Err(name);
            }
        }
        Ok(())
    }
}

/// How far the process has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum State {
    /// Setting up, or accepting without any upstream known.
    Starting,
    /// Serving.
    Ready,
    /// Serving, and reading its files again.
    Reloading,
    /// Told to end: accepts and serves on.
    ShuttingDown,
    /// Accepts nothing new; serves the connections that there are.
    Draining,
    /// Ends connections with their next answer; those that stay silent, at last, without one.
    Closing,
    /// Nothing is left to do.
    Ended,
}

/// What another process that wants the sockets does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SuccessorEvent {
    /// It asks for them.
    Connected,
    /// It could serve at once.
    Ready,
    /// It ended, or broke off.
    Disconnected,
}

/// What happens.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Event {
    /// The sockets are bound and listen, or were passed in.
    Listening,
    /// Upstreams are known: requests can be served.
    EndpointsKnown,
    /// SIGTERM or SIGINT.
    Stop,
    /// SIGHUP.
    Reload,
    /// The files were read again, and taken or not.
    Reloaded,
    /// Of a successor.
    Successor(SuccessorEvent),
    /// The predecessor accepts nothing any more, or has ended.
    Released,
    /// So many requests have no final answer, and so many callers are connected.
    OpenCounts {
        /// Requests without a final answer.
        requests: usize,
        /// Connections of callers, those that wait to be accepted included as far as is known.
        connections: usize,
    },
    /// Nothing but time has passed.
    Timeout,
}

/// How the process ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Exit {
    /// Everything was answered.
    Done,
    /// So many requests were failed at the end, since no answer of their own came in time.
    Failed(usize),
}

/// What is to be done, in order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Action {
    /// Begin to accept.
    Accept,
    /// Tell the predecessor that this process could serve, and wait to be released.
    Claim,
    /// Tell the service manager: ready, also after a reload.
    NotifyReady,
    /// Tell the service manager: reloading.
    NotifyReloading,
    /// Tell the service manager: stopping.
    NotifyStopping,
    /// Read the files again; [`Event::Reloaded`] answers.
    ReadFiles,
    /// Pass the sockets, and what may go along, to the successor; go on serving.
    HandOffListeners,
    /// Turn the successor away: there is one already, or nothing to pass on.
    RejectSuccessor,
    /// Accept nothing any more, once nobody waits to be accepted, or leave those to the successor.
    StopAccepting,
    /// Tell the successor to accept.
    ReleaseSuccessor,
    /// Requests that are taken from now on have their final answer by then.
    AnswerBy(Duration),
    /// End connections with their next answer.
    CloseConnections,
    /// End those that have carried a request and carry none now, at once, and each other one as soon as it is so.
    CloseIdleConnections,
    /// Give every open request its final answer now: failed.
    FailOpenRequests,
    /// End the process.
    Exit(Exit),
    /// Say that a signal changes nothing any more.
    IgnoreSignal(Event),
}

/// The sockets of a process that takes over.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Claim {
    /// They are its own.
    None,
    /// They were passed on; not asked for yet.
    Waiting,
    /// Asked for.
    Made,
}

/// The state machine; see the crate's page.
#[derive(Clone, Debug)]
pub struct Lifecycle {
    figures: ShutdownTimeouts,
    state: State,
    listening: bool,
    known: bool,
    claim: Claim,
    /// A reload was asked for while one was going on.
    again: bool,
    successor: bool,
    accepting: bool,
    requests: usize,
    /// Nothing was open when it was last counted, and that since connections are being closed.
    quiet: bool,
    /// Failed by [`Action::FailOpenRequests`].
    failed: Option<usize>,
    /// When it draws the next line, and the ones after that.
    drains: Duration,
    closes: Duration,
    silences: Duration,
    fails: Duration,
    ends: Duration,
    /// The silent ones have been closed.
    silenced: bool,
}

impl Lifecycle {
    /// A process with sockets of its own.
    pub fn new(figures: ShutdownTimeouts) -> Lifecycle {
        let none = Duration::MAX;
        Lifecycle {
            figures,
            state: State::Starting,
            listening: false,
            known: false,
            claim: Claim::None,
            again: false,
            successor: false,
            accepting: false,
            requests: 0,
            quiet: false,
            failed: None,
            drains: none,
            closes: none,
            silences: none,
            silenced: false,
            fails: none,
            ends: none,
        }
    }

    /// A process that takes over from another: it accepts nothing before [`Event::Released`].
    pub fn succeeding(figures: ShutdownTimeouts) -> Lifecycle {
        Lifecycle { claim: Claim::Waiting, ..Lifecycle::new(figures) }
    }

    /// How far it has come.
    pub fn state(&self) -> State {
        self.state
    }

    /// Whether new connections are being accepted.
    pub fn accepting(&self) -> bool {
        self.accepting
    }

    /// When it wants to be told of the time; `None`: only of what happens.
    pub fn wake(&self) -> Option<Duration> {
        match self.state {
            State::Starting | State::Ready | State::Reloading | State::Ended => None,
            State::ShuttingDown => Some(self.drains),
            State::Draining => Some(self.closes),
            State::Closing if !self.silenced => Some(self.silences.min(self.fails)),
            State::Closing if self.failed.is_none() => Some(self.fails),
            State::Closing => Some(self.ends),
        }
    }

    /// Takes one event and appends what is to be done.
    pub fn handle(&mut self, now: Duration, event: Event, actions: &mut Vec<Action>) {
        if self.state == State::Ended {
            return;
        }
        match event {
            Event::Listening => {
                self.listening = true;
                if self.claim == Claim::None {
                    self.accept(actions);
                }
                self.settle(actions);
            }
            Event::EndpointsKnown => {
                self.known = true;
                self.settle(actions);
            }
            Event::Released => {
                if self.claim != Claim::None {
                    self.claim = Claim::None;
                    if self.listening {
                        self.accept(actions);
                    }
                    self.settle(actions);
                }
            }
            Event::Stop => self.stop(now, actions),
            Event::Reload => match self.state {
                State::Ready => {
                    self.state = State::Reloading;
                    actions.extend([Action::NotifyReloading, Action::ReadFiles]);
                }
                // Its files were read at the start, perhaps before they changed.
                State::Starting | State::Reloading => self.again = true,
                _ => actions.push(Action::IgnoreSignal(event)),
            },
            Event::Reloaded => {
                if self.state == State::Reloading {
                    self.state = State::Ready;
                    actions.push(Action::NotifyReady);
                    self.reload_again(actions);
                }
            }
            Event::Successor(what) => self.successor(now, what, actions),
            Event::OpenCounts { requests, connections } => {
                self.requests = requests;
                self.quiet = self.state == State::Closing && requests == 0 && connections == 0;
            }
            Event::Timeout => {}
        }
        self.advance(now, actions);
    }

    fn accept(&mut self, actions: &mut Vec<Action>) {
        if !self.accepting && self.state < State::Draining {
            self.accepting = true;
            actions.push(Action::Accept);
        }
    }

    /// Becomes ready, or claims the sockets, once it can.
    fn settle(&mut self, actions: &mut Vec<Action>) {
        if self.state != State::Starting || !self.listening || !self.known {
            return;
        }
        match self.claim {
            Claim::None => {
                self.state = State::Ready;
                actions.push(Action::NotifyReady);
                self.reload_again(actions);
            }
            Claim::Waiting => {
                self.claim = Claim::Made;
                actions.push(Action::Claim);
            }
            Claim::Made => {}
        }
    }

    fn reload_again(&mut self, actions: &mut Vec<Action>) {
        if std::mem::take(&mut self.again) {
            self.state = State::Reloading;
            actions.extend([Action::NotifyReloading, Action::ReadFiles]);
        }
    }

    fn stop(&mut self, now: Duration, actions: &mut Vec<Action>) {
        let f = &self.figures;
        match self.state {
            // Nothing was accepted, so nothing is owed; a predecessor, if there is one, serves on.
            State::Starting if !self.accepting => {
                self.state = State::Ended;
                actions.extend([Action::NotifyStopping, Action::Exit(Exit::Done)]);
            }
            State::Starting | State::Ready | State::Reloading => {
                self.state = State::ShuttingDown;
                let closes = f.serving.saturating_sub(f.announcing).max(f.accepting);
                (self.drains, self.closes, self.silences) =
                    (now + f.accepting, now + closes, now + f.serving);
                (self.fails, self.ends) = (now + f.last_answer, now + f.end);
                actions.extend([Action::NotifyStopping, Action::AnswerBy(self.fails)]);
            }
            // It serves to its end after a hand-over; now it has to hurry.
            State::Closing if self.failed.is_none() && now + f.last_answer < self.fails => {
                self.silences = self.silences.min(now + f.serving);
                (self.fails, self.ends) = (now + f.last_answer, now + f.end);
                actions.push(Action::AnswerBy(self.fails));
            }
            // A second signal must not cut short what was promised at the first.
            _ => actions.push(Action::IgnoreSignal(Event::Stop)),
        }
    }

    fn successor(&mut self, now: Duration, what: SuccessorEvent, actions: &mut Vec<Action>) {
        match what {
            SuccessorEvent::Connected if self.accepting && !self.successor => {
                self.successor = true;
                actions.push(Action::HandOffListeners);
            }
            SuccessorEvent::Connected => actions.push(Action::RejectSuccessor),
            SuccessorEvent::Ready if self.successor && self.accepting => {
                let f = &self.figures;
                if self.state < State::ShuttingDown {
                    actions.push(Action::NotifyStopping);
                    let last = now + f.handed_over;
                    self.silences = now + f.handed_over_silent;
                    (self.fails, self.ends) = (last, last + (f.end - f.last_answer));
                    actions.push(Action::AnswerBy(last));
                }
                self.accepting = false;
                self.state = State::Closing;
                // In this order: whoever waits to be accepted meets one of the two, and no request meets both.
                actions.extend([Action::StopAccepting, Action::ReleaseSuccessor, Action::CloseConnections]);
            }
            SuccessorEvent::Ready => {}
            // It changes nothing, unless the sockets are its own by now.
            SuccessorEvent::Disconnected => self.successor = self.successor && !self.accepting,
        }
    }

    /// Does what the time and the counts allow.
    fn advance(&mut self, now: Duration, actions: &mut Vec<Action>) {
        if self.state == State::ShuttingDown && now >= self.drains {
            self.state = State::Draining;
            self.accepting = false;
            actions.push(Action::StopAccepting);
        }
        if self.state == State::Draining && now >= self.closes {
            self.state = State::Closing;
            actions.push(Action::CloseConnections);
        }
        if self.state != State::Closing {
            return;
        }
        if !self.silenced && now >= self.silences.min(self.fails) {
            self.silenced = true;
            actions.push(Action::CloseIdleConnections);
        }
        if self.failed.is_none() && now >= self.fails {
            self.failed = Some(self.requests);
            actions.push(Action::FailOpenRequests);
        }
        if self.quiet || now >= self.ends {
            self.state = State::Ended;
            let exit = match self.failed {
                None | Some(0) => Exit::Done,
                Some(failed) => Exit::Failed(failed),
            };
            actions.push(Action::Exit(exit));
        }
    }
}
