//! Fault scripts: what an upstream does with the first request that reaches it, the next, and so on.
use crate::message::Message;
use crate::upstream::Step;
use std::sync::{Arc, Mutex, PoisonError};

type Act = Box<dyn Fn() -> Step + Send>;

/// Steps in order, each for so many requests; counted over all connections. The last step goes on for ever; behind
/// the end of a script that has no such step requests meet a 500.
///
/// Clones of what [`Script::play`] returns share one count: given to several upstreams, the script plays over all of
/// them in the order in which requests reach any.
#[derive(Default)]
pub struct Script {
    steps: Mutex<Vec<(Option<usize>, Act)>>,
}

impl Script {
    /// An empty script.
    pub fn new() -> Script {
        Script::default()
    }

    /// So many requests meet this.
    pub fn times(self, times: usize, then: impl Fn() -> Step + Send + 'static) -> Script {
        self.push(Some(times), Box::new(then))
    }

    /// All further requests meet this.
    pub fn forever(self, then: impl Fn() -> Step + Send + 'static) -> Script {
        self.push(None, Box::new(then))
    }

    fn push(mut self, times: Option<usize>, act: Act) -> Script {
        self.steps.get_mut().unwrap_or_else(PoisonError::into_inner).push((times, act));
        self
    }

    /// What an upstream is given.
    pub fn into_behaviour(self) -> impl Fn(&Message) -> Step + Clone + Send + Sync + 'static {
        let script = Arc::new(self);
        move |_| script.next()
    }

    /// What the next request meets.
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
