//! Decision logic of a load balancer for services that call services, as a sans-I/O state machine.
//!
//! A [`Balancer`] takes events ([`Event`]) and returns actions ([`Action`]). It opens no socket, reads no clock and
//! shares no state with other instances.
//!
//! ```
//! use balancer::*;
//!
//! let mut balancer = Balancer::new(Settings::default(), 7, 0.0).expect("settings");
//! let mut actions = Vec::new();
//! let (zone, kind, group, availability) = (0, 0, 0, Availability::Ready);
//! let member = Member { id: UpstreamId(1), zone, kind, group, availability, started_at: 0.0 };
//! balancer.handle(0.0, Event::Membership(Membership::Full(vec![member])), &mut actions);
//! actions.clear();
//!
//! let id = RequestId(1);
//! let request = Request::with_full_worth(id, 0, 0, 3000.0);
//! balancer.handle(1.0, Event::Request(request), &mut actions);
//! assert!(matches!(actions[0], Action::Send { request, upstream: UpstreamId(1), .. } if request == id));
//!
//! actions.clear();
//! let answer = Event::AttemptEnded {
//!     request: id,
//!     attempt: 0,
//!     ending: AttemptOutcome::Ok,
//!     duration: 20.0,
//!     request_finished: true,
//! };
//! balancer.handle(21.0, answer, &mut actions);
//! assert!(actions.is_empty(), "no action follows a served request");
//! ```
mod interface;
mod policy;

pub use interface::*;
pub use policy::{tenant_limits, Balancer};

/// Runs the README's example with the documentation tests.
#[cfg(doctest)]
#[doc = include_str!("../../../../README.md")]
struct Readme;
