//! An upstream: cores that all its requests share, places for those in work, a line behind them, and what makes it slow.
//!
//! | what | model, and its source |
//! | --- | --- |
//! | requests in work | processor sharing over the cores (Kleinrock, Queueing Systems II, 1976, 4.4) |
//! | places and line | first come, first served, bounded; beyond them turned away unseen (M/G/c/K) |
//! | holding many | less efficient: the universal scalability law's contention term (Gunther, 2007, 4.2) beyond a number |
//! | crowded for long | slower until it has rested: a metastable failure (Bronson et al., HotOS 2021), figures of the users |
//! | just started | a part of its capacity, rising evenly with time: the users' figures |
use crate::agenda::{ms, Nanos};
use crate::draw::Draws;
use std::collections::{BTreeSet, VecDeque};

/// How an upstream's capacity turns out; drawn for each run from the users' figures.
#[derive(Clone, Debug)]
pub struct Build {
    /// Cores, and the speed of each beside the yardstick's.
    pub cores: f64,
    /// See `cores`.
    pub speed: f64,
    /// Requests in work at once, and in the line.
    pub slots: usize,
    /// See `slots`.
    pub line: usize,
    /// The part of its capacity that is lost for each multiple of `steady` that it holds beyond that.
    pub contention: f64,
    /// Requests that it holds without loss.
    pub steady: f64,
    /// The part of its capacity that a cold one has, and how long it takes to the whole.
    pub cold_from: f64,
    /// See `cold_from`.
    pub cold_for: Nanos,
    /// Open connections that it accepts.
    pub connections: u32,
    /// Whether and how crowding slows it.
    pub crowd: Option<Crowd>,
    /// Whether it turns away what is over before it is begun.
    pub drops_expired: bool,
}

/// How crowding slows an upstream.
#[derive(Clone, Copy, Debug)]
pub struct Crowd {
    /// More requests than this for `over` begin it.
    pub from: f64,
    /// See `from`.
    pub over: Nanos,
    /// So much slower.
    pub slower: f64,
    /// It ends after so long with less than this part of its cores busy, or after `most`.
    pub rest: Nanos,
    /// See `rest`.
    pub below: f64,
    /// See `rest`.
    pub most: Nanos,
}

impl Build {
    /// One of a tier. `std` and `lento` halves, as the users have them.
    pub fn draw(d: &mut Draws, tier: usize, crowds: bool) -> Build {
        let std = d.chance(0.49);
        let (cores, speed) = if std { (2.0, d.between((0.85, 1.1))) } else { (3.0, d.between((0.51, 0.69))) };
        let per_core = if tier == 0 { (7.0, 17.0) } else { (9.0, 23.0) };
        let slots = (cores * d.between(per_core)) as usize;
        let line = (cores * d.between((9.0, 33.0))) as usize;
        let crowd = Crowd {
            // Far more than cores, yet within what it can hold.
            from: (cores * 5.0).min(0.7 * (slots + line) as f64),
            over: ms(d.between((1500.0, 2500.0))),
            slower: d.between((2.1, 3.4)),
            rest: ms(d.between((3300.0, 4900.0))),
            below: 0.4,
            most: ms(d.between((15_000.0, 32_000.0))),
        };
        Build {
            cores,
            speed,
            slots,
            line,
            contention: d.between((0.04, 0.14)),
            steady: slots as f64,
            cold_from: d.between((0.32, 0.57)),
            cold_for: ms(d.between((3100.0, 9000.0))),
            connections: d.between((110.0, 250.0)) as u32,
            crowd: crowds.then_some(crowd),
            drops_expired: d.chance(0.5),
        }
    }

    /// What it does, warm and alone with its load, in yardstick cores.
    pub fn capacity(&self) -> f64 {
        self.cores * self.speed
    }
}

/// What becomes of a request that reaches an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Place {
    /// It is worked on.
    Work,
    /// It waits for a place.
    Line,
    /// There is none: turned away unseen.
    None,
}

/// One upstream; see the module's page.
pub struct Server {
    /// Its group of upstreams that share the keys that they have seen.
    pub group: u16,
    /// How it is built.
    pub build: Build,
    /// Whether its process runs.
    pub up: bool,
    /// Grows with each process.
    pub epoch: u32,
    /// When that started; `None`: long ago.
    pub started: Option<Nanos>,
    /// Nothing moves, and nothing comes back.
    pub hung: bool,
    /// So many times slower, by troubles.
    pub slow: f64,
    /// The part of requests that fails at once, and that whose answer is cut off.
    pub errors: f64,
    /// See `errors`.
    pub resets: f64,
    /// Open connections.
    pub connections: u32,
    /// Counts the changes of its pace: a wake-up that was set before the last says nothing.
    pub version: u64,
    held: usize,
    line: VecDeque<u64>,
    /// Work done for each request that has been on the cores all the time, in yardstick seconds; and when that was
    /// reckoned.
    done: f64,
    reckoned: Nanos,
    /// By when they are through, on that scale; the bits of a float above 0 have its order.
    working: BTreeSet<(u64, u64)>,
    crowded_since: Option<Nanos>,
    idle_since: Option<Nanos>,
    slowed_at: Option<Nanos>,
}

impl Server {
    /// A warm one.
    pub fn new(group: u16, build: Build) -> Server {
        Server {
            group,
            build,
            up: true,
            epoch: 0,
            started: None,
            hung: false,
            slow: 1.0,
            errors: 0.0,
            resets: 0.0,
            connections: 0,
            version: 0,
            held: 0,
            line: VecDeque::new(),
            done: 0.0,
            reckoned: 0,
            working: BTreeSet::new(),
            crowded_since: None,
            idle_since: None,
            slowed_at: None,
        }
    }

    /// Its process ends; what it held is gone.
    pub fn ends(&mut self, now: Nanos) {
        self.reckon(now);
        self.up = false;
        self.held = 0;
        self.line.clear();
        self.working.clear();
        (self.crowded_since, self.idle_since, self.slowed_at) = (None, None, None);
        self.version += 1;
        self.connections = 0;
    }

    /// Another process starts, cold.
    pub fn starts(&mut self, now: Nanos) {
        (self.up, self.hung) = (true, false);
        self.epoch += 1;
        self.started = Some(now);
        self.reckoned = now;
        self.version += 1;
    }

    /// The part of its capacity that is there.
    fn warmth(&self, now: Nanos) -> f64 {
        let Some(started) = self.started else { return 1.0 };
        let part = now.saturating_sub(started) as f64 / self.build.cold_for.max(1) as f64;
        (self.build.cold_from + (1.0 - self.build.cold_from) * part).min(1.0)
    }

    /// Yardstick seconds of work a second that each request on the cores gets.
    fn pace(&self, now: Nanos) -> f64 {
        if self.hung || self.working.is_empty() {
            return 0.0;
        }
        let b = &self.build;
        let holds = (self.held + self.line.len()) as f64;
        let beyond = ((holds - b.steady) / b.steady).max(0.0);
        let crowd = b.crowd.filter(|_| self.slowed_at.is_some()).map_or(1.0, |c| c.slower);
        let shared = (b.cores / self.working.len() as f64).min(1.0);
        b.speed * self.warmth(now) * shared / ((1.0 + b.contention * beyond) * crowd * self.slow)
    }

    /// Brings the work done up to now; to be called before anything changes its pace.
    pub fn reckon(&mut self, now: Nanos) {
        self.done += self.pace(self.reckoned) * (now - self.reckoned) as f64 / 1e9;
        self.reckoned = now;
        let Some(c) = self.build.crowd else { return };
        let since = |at: &mut Option<Nanos>, is: bool| {
            *at = if is { at.or(Some(now)) } else { None };
            at.map_or(0, |at| now - at)
        };
        let crowded = since(&mut self.crowded_since, (self.held + self.line.len()) as f64 > c.from);
        let idle = since(&mut self.idle_since, (self.working.len() as f64) < c.below * self.build.cores);
        match self.slowed_at {
            None if crowded >= c.over => self.slowed_at = Some(now),
            Some(at) if idle >= c.rest || now - at >= c.most => {
                (self.slowed_at, self.crowded_since) = (None, None);
            }
            _ => {}
        }
    }

    /// Whether crowding slows it now.
    pub fn slowed(&self) -> bool {
        self.slowed_at.is_some()
    }

    /// Takes a request.
    pub fn take(&mut self, now: Nanos, job: u64) -> Place {
        self.reckon(now);
        if self.held < self.build.slots {
            self.held += 1;
            return Place::Work;
        }
        if self.line.len() < self.build.line {
            self.line.push_back(job);
            return Place::Line;
        }
        Place::None
    }

    /// A request in work goes on the cores with so many yardstick seconds of work.
    pub fn works(&mut self, now: Nanos, job: u64, seconds: f64) {
        self.reckon(now);
        self.working.insert(((self.done + seconds.max(1e-9)).to_bits(), job));
        self.version += 1;
    }

    /// A request in work is over; who comes next from the line.
    pub fn complete_request(&mut self, now: Nanos) -> Option<u64> {
        self.reckon(now);
        self.version += 1;
        match self.line.pop_front() {
            Some(next) => Some(next),
            None => {
                self.held = self.held.saturating_sub(1);
                None
            }
        }
    }

    /// The request that is through with its work on the cores by now.
    pub fn through(&mut self, now: Nanos) -> Option<u64> {
        self.reckon(now);
        let &(end, job) = self.working.first()?;
        // What is left is less than a nanosecond's work.
        (f64::from_bits(end) <= self.done + 1e-9).then(|| {
            self.working.pop_first();
            self.version += 1;
            job
        })
    }

    /// When to look at it next.
    pub fn wake(&self, now: Nanos) -> Option<Nanos> {
        let &(end, _) = self.working.first()?;
        let pace = self.pace(now);
        if pace <= 0.0 {
            return None;
        }
        let left = (f64::from_bits(end) - self.done).max(0.0) / pace;
        let end = now.saturating_add((left * 1e9) as Nanos + 1);
        // A cold one speeds up meanwhile.
        let cold = self.started.is_some_and(|at| now < at + self.build.cold_for);
        Some(if cold { end.min(now + ms(50.0)) } else { end })
    }

    /// Requests that it holds.
    pub fn requests(&self) -> usize {
        self.held + self.line.len()
    }
}

#[cfg(test)]
mod tests;
