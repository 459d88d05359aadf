//! Fault scripts: the steps of an upstream for the first request that reaches it, the next, and so on.
use crate::message::Message;
use crate::upstream::Step;
use std::sync::{Arc, Mutex, PoisonError};

type Act = Box<dyn Fn() -> Step + Send>;

/// Steps in order, each for a number of requests, counted over all connections. A final [`Script::forever`]
/// step applies to all further requests; without one they get a 500.
///
/// Clones of the function that [`Script::into_behaviour`] returns share one count: several upstreams with the
/// same script consume its steps in the order in which requests reach any of them.
#[derive(Default)]
pub struct Script {
    steps: Mutex<Vec<(Option<usize>, Act)>>,
}

impl Script {
    /// Creates an empty script.
    pub fn new() -> Script {
        Script::default()
    }

    /// Applies this step to the next `times` requests.
    pub fn times(self, times: usize, then: impl Fn() -> Step + Send + 'static) -> Script {
        self.push(Some(times), Box::new(then))
    }

    /// Applies this step to all further requests.
    pub fn forever(self, then: impl Fn() -> Step + Send + 'static) -> Script {
        self.push(None, Box::new(then))
    }

    fn push(mut self, times: Option<usize>, act: Act) -> Script {
        self.steps.get_mut().unwrap_or_else(PoisonError::into_inner).push((times, act));
        self
    }

    /// Returns the behaviour function for an upstream.
    pub fn into_behaviour(self) -> impl Fn(&Message) -> Step + Clone + Send + Sync + 'static {
        let script = Arc::new(self);
        move |_| script.next()
    }

    /// Returns the step of the next request.
    fn next(&self) -> Step {
        let mut steps = self.steps.lock().unwrap_or_else(PoisonError::into_inner);
        while let Some((left, act)) = steps.first_mut() {
            match left {
                Some(0) => drop(steps.remove(0)),
                Some(left) => {
                    *left -= 1;
                    return act();
                }
                None => return act(),
            }
        }
        Step::Answer("HTTP/1.1 500 Script Over\r\nContent-Length: 0\r\n\r\n".into())
    }
}
