//! By when what discovery has to tell counts as told, and the plan of a watch that has read it by then.
//!
//! The figures are those of the platform's protocol; none is a deployment's. Where discovery is asked (one service for
//! all instances, which works through calls in turn), with a grace of 1 s, counted from a call's beginning:
//!
//! | at the latest | what happens |
//! | --- | --- |
//! | 0 | the call of a standing watch is made, with a wait of 1 to 2 s; the watch falls silent right after |
//! | 3.0 s | its wait and 1 s for the answer are over: it is given up |
//! | 3.3 s | it is opened again, after a drawn pause: instances that lost theirs in one moment differ by up to 1.15 s |
//! | 6.0 s | what it missed counts as told ([`SILENT_WATCH_DEADLINE`]; the wait and [`AFTER_WAIT_DEADLINE`] come to 4 s) |
//! | 7.05 s | nothing more may be sent by the old list: 3.75 s for a dial, the queue and the answer, or for a second call |
//!
//! A call that opens a watch waits 100 ms for news, so that it is answered as soon as its turn has come, and has 4 s for the
//! queue. Whatever calls failed, a change counts as told [`SILENT_WATCH_DEADLINE`] after discovery had it and could be reached, so that the
//! watch calls again by itself. One that was turned away at once cost discovery nothing: pauses double from 0.3 to 3 s, to 1 s after a move. One
//! that waited and failed is followed by the next 2 s after its own beginning at the earliest, and at the latest with half a
//! second left of the 7.05 s (drawn between). Sooner would be worse: discovery works through its queue in turn, calls that have
//! waited too long among them, and instances that come back at once keep it full of calls that wait in vain (tests/watch.rs
//! plays both).
//!
//! Where lists are pushed, to an agent on this machine that answers at once and at no cost, what the agent has counts as
//! told at once, whether a watch stands or not: wait and answer together stay under the grace, so that a watch that broke
//! unseen, or an agent that was silent while discovery was down, has been asked again within it.
use crate::watch::{RetrySpread, WatchTiming};
use std::time::Duration;

const fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

/// What a silent watch missed counts as told this long after it fell silent.
pub const SILENT_WATCH_DEADLINE: Duration = ms(6000);
/// But not before the wait that its call asked for is over by this.
pub const AFTER_WAIT_DEADLINE: Duration = ms(2000);
/// A watch goes on as long as its next call comes within this time of the last answer.
pub const MAX_WATCH_GAP: Duration = ms(200);
/// After a change of the configuration that moves discovery, what it has counts as told this much later.
pub const ADDRESS_CHANGE_DEADLINE: Duration = ms(4000);
/// Each time limit is this much longer on sockets.
pub const SOCKET_SLACK: Duration = ms(50);
/// The longest wait that a call asks for where discovery is asked: [`SILENT_WATCH_DEADLINE`] then counts from its beginning, not
/// [`AFTER_WAIT_DEADLINE`], with time for a second call.
const WAIT: Duration = ms(2000);
/// How late an answer of a standing watch may be where discovery is asked.
const ANSWER: Duration = ms(1000);
/// The wait of a call that opens a watch.
const OPENING: Duration = ms(100);
/// How long one may take, with its place in the queue: longer than discovery lets calls wait in turn.
const OPEN: Duration = ms(4000);
/// And where it takes longer than that: what has no answer yet is a place in the queue, and only a connection that was made
/// and fell silent is held so long.
const SLOW: Duration = ms(16_000);
/// The longest pause before a watch that broke is opened again, and the longest after several that did, where discovery is
/// asked.
const PAUSE: Duration = ms(300);
const PAUSE_MOST: Duration = ms(1000);
/// The longest after calls that discovery turned away at once, where nothing has moved.
const TURNED_AWAY_MOST: Duration = ms(3000);
/// A call that opens a watch and fails is followed by the next this long after its own beginning at the earliest, where
/// discovery is asked, and at the latest when what is left of [`SILENT_WATCH_DEADLINE`] and the grace is this for the answer.
const SPREAD: Duration = ms(2000);
const SPREAD_ANSWER: Duration = ms(500);
/// The first pause at the agent on this machine.
const AGENT_PAUSE: Duration = ms(10);

/// What the settings say.
#[derive(Clone, Copy, Debug)]
pub struct StalenessSettings {
    /// Whether lists are pushed to an agent on this machine.
    pub lists_are_pushed: bool,
    /// Within this time after the news sends to an upstream that leaves must end.
    pub drain_grace: Duration,
}

impl StalenessSettings {
    /// By when what a silent watch missed must have been read, counted from the beginning of the call that fell silent,
    /// whatever moment after that it did so.
    pub fn silent_read_deadline(&self, wait: Duration) -> Duration {
        SILENT_WATCH_DEADLINE.max(wait + AFTER_WAIT_DEADLINE) + self.drain_grace + SOCKET_SLACK
    }

    /// How a watch goes about it.
    pub fn watch_timing(&self) -> WatchTiming {
        let asked = WatchTiming {
            max_wait: WAIT,
            response_timeout: ANSWER,
            wait_extension_divisor: None,
            open_wait: OPENING,
            open_timeout: OPEN,
            full_list_timeout: OPEN,
            max_timeout: SLOW,
            initial_backoff: PAUSE,
            max_backoff: PAUSE_MOST,
            max_rejected_backoff: TURNED_AWAY_MOST,
            min_interval: Duration::ZERO,
            max_gap: MAX_WATCH_GAP,
            retry_spread: Some(RetrySpread {
                min_delay: SPREAD,
                read_deadline: SILENT_WATCH_DEADLINE + self.drain_grace + SOCKET_SLACK,
                moved_read_deadline: ADDRESS_CHANGE_DEADLINE + self.drain_grace + SOCKET_SLACK,
                response_reserve: SPREAD_ANSWER,
            }),
        };
        if !self.lists_are_pushed {
            return asked;
        }
        // Of the grace one half waits, a quarter is for the answer, and the last for the call after it.
        let grace = self.drain_grace + SOCKET_SLACK;
        let (wait, answer) = ((grace / 2).clamp(ms(100), ms(500)), (grace / 4).clamp(ms(50), ms(250)));
        WatchTiming {
            max_wait: wait,
            response_timeout: answer,
            open_wait: OPENING.min(wait),
            open_timeout: OPENING.min(wait) + answer,
            // Asked for at the start and after a move alone, and as long as the list is.
            full_list_timeout: ms(1000),
            max_timeout: Duration::ZERO,
            initial_backoff: AGENT_PAUSE,
            max_backoff: answer,
            max_rejected_backoff: answer,
            retry_spread: None,
            ..asked
        }
    }
}
