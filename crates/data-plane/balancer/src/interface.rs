//! Public types of the [`Balancer`](crate::Balancer): settings, ids, events and actions.
//!
//! All times are in milliseconds on one clock that never goes back; the balancer reads no clock itself.
use std::fmt;

/// Milliseconds: a time on the caller's clock, or a duration.
pub type Millis = f64;
/// Id of a request. It is unique during the lifetime of a balancer instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestId(pub u32);
/// Id of an upstream server. It is opaque and the same at every balancer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct UpstreamId(pub u64);

/// Effect of running a request of a class more than once.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum Effect {
    /// May run any number of times.
    #[default]
    Free,
    /// Carries an idempotency key: for `window` after the first attempt, upstreams within `scope` discard duplicates.
    Guarded {
        /// Upstreams that discard each other's duplicates.
        scope: DedupScope,
        /// Time for which they remember a key, counted from the sending of the first attempt that may have run.
        window: Millis,
    },
    /// Must never run more than once.
    SingleShot,
}

/// Upstreams that share a deduplication store for [`Effect::Guarded`] requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DedupScope {
    /// All upstreams of the tier.
    All,
    /// Upstreams in the same zone.
    Zone,
    /// Upstreams of the same group.
    Cell,
}

/// Settings of a class of requests.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Class {
    /// Time within which an answer earns the full worth. Above zero.
    pub objective: Millis,
    /// Maximum time that a client waits over all attempts, meant to be at least `objective`.
    pub deadline: Millis,
    /// Effect of running a request of this class more than once.
    pub effect: Effect,
    /// Fraction of its worth that an answer after `objective` still earns.
    pub late_worth: f64,
    /// Zones that every attempt is limited to; `None` allows all zones. Must not be empty.
    pub runs_in: Option<Vec<u16>>,
    /// Machine kinds that every attempt is limited to; `None` allows all kinds. Must not be empty.
    pub kinds_only: Option<Vec<u8>>,
}

/// A tenant and its share of the service.
#[derive(Clone, Debug, PartialEq)]
pub struct Tenant {
    /// Share relative to the other tenants. At least zero; the shares need not add up to one.
    pub share: f64,
    /// Quota in requests per second, over all balancers together; zero if not stated.
    pub quota_per_s: f64,
}

/// Settings of a balancer instance. [`Settings::default`] gives documented defaults.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Index of this instance among the balancers of its tier, from zero.
    pub index: u32,
    /// Number of balancers in the tier. At least one.
    pub balancers: u32,
    /// Tier that this instance sends requests to. Zero is the tier that clients reach first.
    pub stage: u32,
    /// Zone that this instance runs in.
    pub zone: u16,
    /// Request classes; requests refer to them by index. At least one.
    pub classes: Vec<Class>,
    /// Tenants; requests refer to them by index. If empty, all traffic belongs to one tenant.
    pub tenants: Vec<Tenant>,
    /// Maximum number of attempts per request. At least one.
    pub attempts_cap: u32,
    /// Whether attempts may be cancelled.
    pub cancel: bool,
    /// Whether the list of upstreams must be requested (`true`) or is pushed (`false`).
    pub ask_for_list: bool,
    /// Time after which an instance that has no subscription and has not requested the list is considered notified all
    /// the same.
    pub ask_within: Millis,
    /// Time after which idle connections close.
    pub idle_close: Millis,
    /// Maximum retry delay that clients follow when advised; zero: no advice is given.
    pub max_retry_after: Millis,
    /// Fraction of its capacity, or a lower bound of it, that a cold upstream starts with.
    pub cold_from: f64,
    /// Maximum time until a cold upstream is warm.
    pub ramp_time: Millis,
    /// Multiple of its current capacity above which a cold upstream falls over.
    pub tip_multiple: f64,
    /// Whether upstreams also shed work that they had begun, so that [`AttemptOutcome::Declined`] does not prove
    /// that an attempt never ran.
    pub late_shedding: bool,
    /// Price of one zone crossing per first attempt, as a fraction of a request's worth.
    pub cross_zone_price: f64,
    /// Whether a request is refused at once if it has less time left than the fastest answers of its class take.
    pub refuse_hopeless: bool,
    /// Average number of retries allowed per first attempt of a tenant; zero: no limit apart from the one over all
    /// tenants.
    pub tenant_retries: f64,
}

impl Default for Settings {
    /// One balancer, one free class (1 s objective, 3 s deadline), one tenant, a pushed list, one zone.
    fn default() -> Self {
        Settings {
            index: 0,
            balancers: 1,
            stage: 0,
            zone: 0,
            classes: vec![Class {
                objective: 1000.0,
                deadline: 3000.0,
                effect: Effect::Free,
                ..Class::default()
            }],
            tenants: Vec::new(),
            attempts_cap: 3,
            cancel: false,
            ask_for_list: false,
            ask_within: 10_000.0,
            idle_close: 5000.0,
            max_retry_after: 0.0,
            cold_from: 0.1,
            ramp_time: 30_000.0,
            tip_multiple: 2.0,
            late_shedding: false,
            cross_zone_price: 0.0,
            refuse_hopeless: false,
            tenant_retries: 0.0,
        }
    }
}

/// Reason why [`Settings`] were rejected.
#[derive(Clone, Debug, PartialEq)]
pub struct SettingsError {
    /// Name of the invalid field.
    pub field: &'static str,
    /// Requirement that the field must meet.
    pub requirement: &'static str,
}

impl fmt::Display for SettingsError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "setting {} must be {}", self.field, self.requirement)
    }
}

impl std::error::Error for SettingsError {}

impl Settings {
    /// Checks every field.
    ///
    /// # Errors
    /// Returns the first field that is out of bounds.
    pub fn validate(&self) -> Result<(), SettingsError> {
        let require = |ok: bool, field, requirement| {
            if ok {
                Ok(())
            } else {
                Err(SettingsError { field, requirement })
            }
        };
        // Far beyond any practical value, and small enough that the product of two stays finite.
        let in_bounds = |v: f64| (0.0..=1e15).contains(&v);
        require(self.balancers >= 1, "balancers", "at least 1")?;
        require(!self.classes.is_empty(), "classes", "at least one")?;
        require(self.attempts_cap >= 1, "attempts_cap", "at least 1")?;
        for class in &self.classes {
            require(
                in_bounds(class.objective) && class.objective > 0.0,
                "classes.objective",
                "a time above 0",
            )?;
            require(in_bounds(class.deadline) && class.deadline > 0.0, "classes.deadline", "a time above 0")?;
            require(in_bounds(class.late_worth), "classes.late_worth", "a number of at least 0")?;
            require(
                class.runs_in.as_ref().is_none_or(|l| !l.is_empty()),
                "classes.runs_in",
                "absent or not empty",
            )?;
            let kinds = class.kinds_only.as_ref();
            require(kinds.is_none_or(|l| !l.is_empty()), "classes.kinds_only", "absent or not empty")?;
            if let Effect::Guarded { window, .. } = class.effect {
                require(in_bounds(window), "classes.window", "a time of at least 0")?;
            }
        }
        for tenant in &self.tenants {
            require(in_bounds(tenant.share), "tenants.share", "a number of at least 0")?;
            require(in_bounds(tenant.quota_per_s), "tenants.quota_per_s", "a rate of at least 0")?;
        }
        require(in_bounds(self.ask_within) && self.ask_within > 0.0, "ask_within", "a time above 0")?;
        require(in_bounds(self.idle_close), "idle_close", "a time of at least 0")?;
        require(in_bounds(self.max_retry_after), "max_retry_after", "a time of at least 0")?;
        require(in_bounds(self.cold_from) && self.cold_from <= 1.0, "cold_from", "between 0 and 1")?;
        require(in_bounds(self.ramp_time), "ramp_time", "a time of at least 0")?;
        require(in_bounds(self.tip_multiple), "tip_multiple", "a number of at least 0")?;
        require(in_bounds(self.tenant_retries), "tenant_retries", "a number of at least 0")?;
        require(in_bounds(self.cross_zone_price), "cross_zone_price", "a number of at least 0")
    }
}

/// Whether an upstream takes new work.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Availability {
    /// Takes new work.
    #[default]
    Ready,
    /// Finishes the work in flight; nothing new may be sent.
    Draining,
    /// Removed from the list.
    Gone,
}

/// Entry of the list of upstreams.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Member {
    /// Id of the upstream.
    pub id: UpstreamId,
    /// Zone that the upstream runs in.
    pub zone: u16,
    /// Machine kind of the upstream.
    pub kind: u8,
    /// Group of upstreams that share a deduplication store.
    pub group: u16,
    /// Whether the upstream takes new work.
    pub availability: Availability,
    /// Time at which its process last started; zero: long ago.
    pub started_at: Millis,
}

/// Update of the list of upstreams.
#[derive(Clone, Debug, PartialEq)]
pub enum Membership {
    /// The full list; upstreams missing from it are gone.
    Full(Vec<Member>),
    /// The full list as this instance last had it, possibly outdated.
    Cached(Vec<Member>),
    /// Only the changed entries.
    Delta(Vec<Member>),
    /// A request for the list failed or the subscription broke; the previous list stays in use.
    Failed,
}

/// Outcome of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// Answered successfully.
    Ok,
    /// Answered with an error; the attempt may have run.
    Error,
    /// Declined because the upstream is full or draining; the attempt never ran unless [`Settings::late_shedding`] is
    /// set.
    Declined,
    /// No answer before the timeout; the attempt may have run or may still run.
    Timeout,
    /// No connection could be established; the attempt never ran.
    ConnectFailed,
    /// The connection broke; the attempt may have run.
    Reset,
    /// Cancelled; the attempt may have run.
    Cancelled,
    /// Not sent at all; the attempt never ran.
    NotSent,
    /// Unknown outcome; treated as an attempt that may have run.
    Unknown,
}

impl AttemptOutcome {
    /// Whether this outcome proves that the attempt never ran; for `Declined`, see [`Settings::late_shedding`].
    pub fn never_ran(self) -> bool {
        matches!(self, AttemptOutcome::Declined | AttemptOutcome::ConnectFailed | AttemptOutcome::NotSent)
    }
}

/// Request of a client.
#[derive(Clone, Debug, PartialEq)]
pub struct Request {
    /// Id of the request.
    pub id: RequestId,
    /// Index into [`Settings::classes`].
    pub class: usize,
    /// Index into [`Settings::tenants`].
    pub tenant: usize,
    /// Time at which the client stops waiting.
    pub deadline: Millis,
    /// Maximum number of retries; the bound in the settings applies too.
    pub retries: u32,
    /// Value of an answer, from 0 to 1. Under overload, requests of less worth are refused first.
    pub worth: f64,
}

impl Request {
    /// Creates a request of full worth whose retries only the settings limit.
    pub fn with_full_worth(id: RequestId, class: usize, tenant: usize, deadline: Millis) -> Request {
        Request { id, class, tenant, deadline, retries: u32::MAX, worth: 1.0 }
    }
}

/// State that an instance has learned about its next tier and its tenants, for a successor. It contains nothing about
/// single upstreams: their health is learned anew.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct LearnedState {
    /// Learned capacity, in requests per cycle.
    pub capacity: f64,
    /// Recent peak of admitted requests per cycle.
    pub peak_admitted: f64,
    /// Mean time of an unqueued answer.
    pub unloaded_latency: Millis,
    /// Demand of each tenant in requests per cycle, with the entry for unlisted tenants last.
    pub demands: Vec<f64>,
}

/// Input of the balancer.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// The list of upstreams changed, or could not be fetched.
    Membership(Membership),
    /// A request arrived; it needs exactly one final answer.
    Request(Request),
    /// A streamed answer has begun to reach the client, so that its attempt can no longer be replaced.
    Streaming {
        /// Id of the request.
        request: RequestId,
        /// Number of the attempt.
        attempt: u32,
    },
    /// The number of retries that a request may still use has changed. This replaces any earlier number.
    RetriesLeft {
        /// Id of the request.
        request: RequestId,
        /// Number of retries left.
        retries: u32,
    },
    /// An attempt ended. There is exactly one such event for each [`Action::Send`].
    AttemptEnded {
        /// Id of the request.
        request: RequestId,
        /// Number of the attempt, counted from zero in the order of sending.
        attempt: u32,
        /// Outcome of the attempt.
        ending: AttemptOutcome,
        /// Time since the attempt was sent; finite.
        duration: Millis,
        /// Whether the request has its final answer, by this outcome or an earlier one.
        request_finished: bool,
    },
    /// The client disconnected or its deadline passed; no answer is needed any more.
    ClientGone(RequestId),
    /// A timer set with [`Action::SetTimer`] expired.
    Timer(u32),
}

/// Output of the balancer, to be carried out in order.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Start an attempt.
    Send {
        /// Id of the request.
        request: RequestId,
        /// Upstream to send the attempt to.
        upstream: UpstreamId,
        /// Timeout of the attempt; zero: until the client's deadline.
        timeout: Millis,
    },
    /// Stop waiting for an attempt; its outcome is still reported.
    Cancel {
        /// Id of the request.
        request: RequestId,
        /// Number of the attempt.
        attempt: u32,
    },
    /// Final answer: refused, and a retry by the client does no harm.
    Refuse {
        /// Id of the request.
        request: RequestId,
        /// Time that the client should wait before a retry; zero: no advice.
        retry_after: Millis,
    },
    /// Final answer: failed, with no promise about the effect.
    Fail {
        /// Id of the request.
        request: RequestId,
    },
    /// Close the idle connections to an upstream.
    CloseIdle(UpstreamId),
    /// Subscribe to changes of the list; one [`Membership`] event answers.
    Subscribe,
    /// Request one [`Event::Timer`].
    SetTimer {
        /// Delay from now.
        after: Millis,
        /// Token that the event returns.
        token: u32,
    },
    /// Line for the operator's log.
    Log(String),
}
