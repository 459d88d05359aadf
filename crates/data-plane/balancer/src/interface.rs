//! What a [`Balancer`](crate::Balancer) is told and what it asks for: settings, ids, events, actions.
//!
//! Every time is in milliseconds on one clock that only increases; the balancer reads no clock itself.
use std::fmt;

/// Milliseconds: a point on the caller's clock, or a span of it.
pub type Millis = f64;
/// Names one request for as long as it lasts; never used twice within an instance's life.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestId(pub u32);
/// Names one upstream server. Carries no meaning; the same value at every balancer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct UpstreamId(pub u64);

/// What repeating a request of a class may do.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum Effect {
    /// May run any number of times.
    #[default]
    Free,
    /// Carries a key; upstreams within `scope` discard repeats for `window` after the first send.
    Guarded {
        /// The upstreams that discard each other's repeats.
        scope: DedupScope,
        /// How long they remember, counted from the send of the first attempt that may have run.
        window: Millis,
    },
    /// Must never run twice.
    SingleShot,
}

/// Which upstreams share the memory of keys for [`Effect::Guarded`] requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DedupScope {
    /// Every upstream of the tier.
    All,
    /// Those in the same zone.
    Zone,
    /// Those of the same group.
    Cell,
}

/// A class of requests.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Class {
    /// An answer within this time earns the full worth. Above zero.
    pub objective: Millis,
    /// The most a client waits over all its tries. At least `objective`.
    pub deadline: Millis,
    /// What a repeat may do.
    pub effect: Effect,
    /// The part of its worth that an answer after `objective` still earns.
    pub late_worth: f64,
    /// The only zones it may be sent to, at every attempt; `None`: any. Not an empty list.
    pub runs_in: Option<Vec<u16>>,
    /// The only machine kinds it may be sent to, at every attempt; `None`: any. Not an empty list.
    pub kinds_only: Option<Vec<u8>>,
}

/// A tenant with a stated part in the service.
#[derive(Clone, Debug, PartialEq)]
pub struct Tenant {
    /// Its part relative to the other tenants; need not sum to one. At least zero.
    pub share: f64,
    /// Requests per second within its share, over all balancers together; zero when not stated.
    pub quota_per_s: f64,
}

/// Everything an instance is told at its start. [`Settings::default`] gives documented defaults.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// This instance's number among the balancers of its tier, from zero.
    pub index: u32,
    /// How many balancers the tier has. At least one.
    pub balancers: u32,
    /// The tier this instance sends into; zero is the one that clients reach first.
    pub stage: u32,
    /// The zone this instance runs in.
    pub zone: u16,
    /// Request classes; requests name them by position. At least one.
    pub classes: Vec<Class>,
    /// Tenants; requests name them by position. Empty: all traffic is one tenant's.
    pub tenants: Vec<Tenant>,
    /// Most attempts for one request. At least one.
    pub attempts_cap: u32,
    /// Whether attempts may be cancelled.
    pub cancel: bool,
    /// Whether the list of upstreams must be asked for (`true`) or is pushed (`false`).
    pub ask_for_list: bool,
    /// An instance that has neither a subscription nor asked for this long counts as told all the same.
    pub ask_within: Millis,
    /// Idle connections close after this time.
    pub idle_close: Millis,
    /// Longest advice to stay away that clients heed; zero: no advice is passed on.
    pub max_retry_after: Millis,
    /// A cold upstream starts at this fraction of its capacity or higher.
    pub cold_from: f64,
    /// A cold upstream is warm after this time at the latest.
    pub ramp_time: Millis,
    /// A cold upstream falls over when sent more than this many times what it can do at that moment.
    pub tip_multiple: f64,
    /// Upstreams also shed work that they had begun: [`Ending::Full`] is no proof that an attempt never ran.
    pub late_shedding: bool,
    /// Price of one zone crossing per first try, as a part of a request's worth.
    pub cross_zone_price: f64,
    /// Whether a request is refused at once that has less time left than the fastest answers of its class take.
    pub refuse_hopeless: bool,
    /// Further attempts allowed for each first one of a tenant, on average; zero: no bound but the one for all.
    pub tenant_retries: f64,
}

impl Default for Settings {
    /// One balancer, one free class (1 s aim, 3 s deadline), one tenant, a pushed list, one zone.
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

/// Why [`Settings`] were refused.
#[derive(Clone, Debug, PartialEq)]
pub struct SettingsError {
    /// The field at fault.
    pub field: &'static str,
    /// What it must be.
    pub must: &'static str,
}

impl fmt::Display for SettingsError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "setting {} must be {}", self.field, self.must)
    }
}

impl std::error::Error for SettingsError {}

impl Settings {
    /// Checks every field.
    ///
    /// # Errors
    /// A field is out of its bounds; the first such field is named.
    pub fn validate(&self) -> Result<(), SettingsError> {
        let need = |ok: bool, field, must| if ok { Ok(()) } else { Err(SettingsError { field, must }) };
        // Far beyond any use, and small enough that products of two stay finite.
        let span = |v: f64| (0.0..=1e15).contains(&v);
        need(self.balancers >= 1, "balancers", "at least 1")?;
        need(!self.classes.is_empty(), "classes", "at least one")?;
        need(self.attempts_cap >= 1, "attempts_cap", "at least 1")?;
        for c in &self.classes {
            need(span(c.objective) && c.objective > 0.0, "classes.objective", "a time above 0")?;
            need(span(c.deadline) && c.deadline > 0.0, "classes.deadline", "a time above 0")?;
            need(span(c.late_worth), "classes.late_worth", "a number of at least 0")?;
            need(c.runs_in.as_ref().is_none_or(|l| !l.is_empty()), "classes.runs_in", "absent or not empty")?;
            let kinds = c.kinds_only.as_ref();
            need(kinds.is_none_or(|l| !l.is_empty()), "classes.kinds_only", "absent or not empty")?;
            if let Effect::Guarded { window, .. } = c.effect {
                need(span(window), "classes.window", "a time of at least 0")?;
            }
        }
        for t in &self.tenants {
            need(span(t.share), "tenants.share", "a number of at least 0")?;
            need(span(t.quota_per_s), "tenants.quota_per_s", "a rate of at least 0")?;
        }
        need(span(self.ask_within) && self.ask_within > 0.0, "ask_within", "a time above 0")?;
        need(span(self.idle_close), "idle_close", "a time of at least 0")?;
        need(span(self.max_retry_after), "max_retry_after", "a time of at least 0")?;
        need(span(self.cold_from) && self.cold_from <= 1.0, "cold_from", "between 0 and 1")?;
        need(span(self.ramp_time), "ramp_time", "a time of at least 0")?;
        need(span(self.tip_multiple), "tip_multiple", "a number of at least 0")?;
        need(span(self.tenant_retries), "tenant_retries", "a number of at least 0")?;
        need(span(self.cross_zone_price), "cross_zone_price", "a number of at least 0")
    }
}

/// Whether an upstream takes new work.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Availability {
    /// Takes new work.
    #[default]
    Ready,
    /// Finishes what it holds; nothing new may be sent.
    Draining,
    /// Removed.
    Gone,
}

/// One line of the list of upstreams.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Member {
    /// Which upstream.
    pub id: UpstreamId,
    /// Its zone.
    pub zone: u16,
    /// Its machine kind.
    pub kind: u8,
    /// The group whose members share the keys they have seen.
    pub group: u16,
    /// Whether it takes new work.
    pub availability: Availability,
    /// When its process last started; zero: long ago.
    pub since: Millis,
}

/// News about the list of upstreams.
#[derive(Clone, Debug, PartialEq)]
pub enum Membership {
    /// The whole list; what it lacks is gone.
    Full(Vec<Member>),
    /// The whole list as this instance last had it, perhaps old.
    Cached(Vec<Member>),
    /// Only what changed.
    Delta(Vec<Member>),
    /// A call for the list failed or the subscription broke; the old list stands.
    Failed,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ending {
    /// Served.
    Ok,
    /// An error answer; it may have run.
    Error,
    /// Turned away (full or draining); never ran, unless [`Settings::late_shedding`] is set.
    Full,
    /// No answer in time; may have run or still run.
    Timeout,
    /// No connection could be made; never ran.
    ConnectFailed,
    /// The connection broke; may have run.
    Reset,
    /// Cancelled; may have run.
    Cancelled,
    /// Was not sent at all; never ran.
    Moot,
    /// Something unknown; counts as one that may have run.
    Unknown,
}

impl Ending {
    /// Whether this ending proves that the attempt never ran; see [`Settings::late_shedding`] for `Full`.
    pub fn never_ran(self) -> bool {
        matches!(self, Ending::Full | Ending::ConnectFailed | Ending::Moot)
    }
}

/// A client's request.
#[derive(Clone, Debug, PartialEq)]
pub struct Request {
    /// Its id.
    pub id: RequestId,
    /// Position in [`Settings::classes`].
    pub class: usize,
    /// Position in [`Settings::tenants`].
    pub tenant: usize,
    /// When the client gives up.
    pub deadline: Millis,
    /// Attempts beyond the first that it may use; the settings' bound holds too.
    pub retries: u32,
    /// What an answer is worth, 0 to 1. Where not all can pass, what is worth less goes first.
    pub worth: f64,
}

impl Request {
    /// A request of full worth, bounded by the settings alone.
    pub fn plain(id: RequestId, class: usize, tenant: usize, deadline: Millis) -> Request {
        Request { id, class, tenant, deadline, retries: u32::MAX, worth: 1.0 }
    }
}

/// What an instance has learned of its next tier and its tenants, for one that takes its place: calls per cycle, and
/// the mean time of an unqueued answer. Nothing of single upstreams: their health is found out anew.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Learned {
    /// The learned capacity.
    pub capacity: f64,
    /// The most that was lately admitted.
    pub peak: f64,
    /// The unloaded answer time.
    pub unloaded: Millis,
    /// Each tenant's demand, the place for unlisted ones last.
    pub demands: Vec<f64>,
}

/// What happened.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// News about the list of upstreams.
    Membership(Membership),
    /// A request came in: one final answer is now owed.
    Request(Request),
    /// The answer of a streamed request has begun; its attempt is now the client's.
    Streaming {
        /// The request.
        request: RequestId,
        /// The attempt's number.
        attempt: u32,
    },
    /// So many attempts more may be used for a request, whatever was said before.
    Left {
        /// The request.
        request: RequestId,
        /// The attempts.
        retries: u32,
    },
    /// An attempt ended. Exactly one for each [`Action::Send`].
    Outcome {
        /// The request.
        request: RequestId,
        /// The attempt's number, counted from zero in the order of sends.
        attempt: u32,
        /// How it ended.
        ending: Ending,
        /// Time since it was sent; finite.
        duration: Millis,
        /// The request has ended, by this outcome or earlier.
        closed: bool,
    },
    /// The client left, or its time ran out: nothing is owed any more.
    ClientGone(RequestId),
    /// A timer asked for with [`Action::SetTimer`] is due.
    Timer(u32),
}

/// What the balancer wants done, in order.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Begin an attempt.
    Send {
        /// The request.
        request: RequestId,
        /// Where to.
        upstream: UpstreamId,
        /// Time-out of this attempt; zero: until the client's deadline.
        timeout: Millis,
    },
    /// Stop waiting for an attempt; its outcome still comes.
    Cancel {
        /// The request.
        request: RequestId,
        /// The attempt's number.
        attempt: u32,
    },
    /// Final answer: refused, and another try does no harm.
    Refuse {
        /// The request.
        request: RequestId,
        /// How long the client should stay away; zero: no advice.
        retry_after: Millis,
    },
    /// Final answer: failed, with no promise about its effect.
    Fail {
        /// The request.
        request: RequestId,
    },
    /// Close the connections to an upstream that carry no call now.
    CloseIdle(UpstreamId),
    /// Subscribe to changes of the list; one [`Membership`] event answers.
    Subscribe,
    /// Ask for one [`Event::Timer`].
    SetTimer {
        /// From now.
        after: Millis,
        /// Handed back with the event.
        token: u32,
    },
    /// A line for the operator's log.
    Log(String),
}
