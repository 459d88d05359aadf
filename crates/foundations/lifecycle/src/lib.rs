//! Lifecycle of one balancer process, from its start to its exit, as a state machine without I/O.
//!
//! A [`Lifecycle`] handles events ([`Event`]) and returns the actions that the caller has to execute ([`Action`]). It
//! reads no clock: `now` is the time since the start of the process. [`Lifecycle::next_timeout`] returns the time at which
//! it has to be called next.
//!
//! ```text
//! starting --> ready <--> reloading
//!     |          |            |            stop: SIGTERM or SIGINT
//!     +----------+------------+--> shutting down --> draining --> closing --> ended
//!                |                       |                           ^
//!                +-----------------------+---------------------------+   a successor took the sockets over
//! ```
//!
//! A successor stays in *starting* until it is ready, claims the sockets from its predecessor, and accepts connections
//! once it is released. Until then the predecessor serves as before.
//!
//! | module | contents |
//! | --- | --- |
//! | `timeouts` | timeouts of the shutdown steps |
//! | `message` | states, events and actions |
//! | `state_machine` | the state machine |
mod message;
mod state_machine;
mod timeouts;

pub use message::{Action, Event, Exit, State, SuccessorEvent};
pub use state_machine::Lifecycle;
pub use timeouts::{ShutdownTimeouts, TimeoutOrderError};
