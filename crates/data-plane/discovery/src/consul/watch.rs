//! Blocking queries on one service in one datacentre, as a state machine: what to ask next, of which agent, and what an
//! answer counts as.
//!
//! | an answer | counts as |
//! | --- | --- |
//! | 200, with a leader, fresh enough, readable whole | being told: obeyed at once, also when short or empty |
//! | the same, but its index went backwards | being told what it says of members; what it lacks stays for [`WatchIntervals::regrow`] |
//! | 200 without a leader, or older than [`WatchIntervals::stale_most`] | no news; the next agent is asked |
//! | 200 that was filtered for want of rights (`X-Consul-Results-Filtered-By-ACLs`) | no news: it may lack any member |
//! | 200 cut off, unreadable, or no list of services | no news |
//! | 429 | no news; the same agent again after a pause, `Retry-After` at the least |
//! | anything else, or none in time | no news; the next agent after a pause |
//!
//! An index that goes backwards means that the other side has another history: restored from a backup, or begun anew with
//! empty hands (developer.hashicorp.com/consul/api-docs/features/blocking: "reset the index if it goes backwards"). It
//! then lacks what its agents have not yet registered again (anti-entropy takes a minute and more). What it says of a
//! member is as good as ever, and a drain binds; that it does not name one is no statement. After the wait its list
//! counts whole. A true mass removal moves the index on, and is obeyed.
use super::percent_encode;
use super::service_list::{EntryMapping, ListKind, ServiceList};
use crate::endpoint::SourceUpdate;
use crate::watch::{self, CallKind as Call, Step, WatchTiming};
use std::time::Duration;

/// Consul adds up to this part of a query's wait to it.
const WAIT_EXTENSION_DIVISOR: u32 = 16;
/// Beyond its wait and that, a query gets this long to answer.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(2);
/// Where an answer has no index that can be waited on, the next query comes after this.
const POLL_INTERVAL: Duration = Duration::from_secs(1);
/// Longest pause that an agent may ask for.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(60);

/// What holds for all watches of a source.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WatchIntervals {
    /// How long a query waits for news: Consul's `wait`.
    pub wait: Duration,
    /// The least time between two answers that bring news: what changes more often is told together.
    pub min_poll_interval: Duration,
    /// The first pause after a failure, which doubles up to the most.
    pub initial_backoff: Duration,
    /// The longest.
    pub max_backoff: Duration,
    /// How old an answer may be in the stale mode (`X-Consul-LastContact`).
    pub max_staleness: Duration,
    /// How long what a list lacks stays after its index went backwards.
    pub regrow_timeout: Duration,
}

impl Default for WatchIntervals {
    fn default() -> Self {
        let ms = Duration::from_millis;
        WatchIntervals {
            wait: ms(10_000),
            min_poll_interval: ms(100),
            initial_backoff: ms(250),
            max_backoff: ms(10_000),
            max_staleness: ms(5000),
            regrow_timeout: ms(120_000),
        }
    }
}

impl WatchIntervals {
    /// How a watch goes about it. What a watch that fell silent missed is read within `wait` and a sixteenth of it, 2 s
    /// for the answer, a pause, and 2 s for the call after it.
    fn plan(&self) -> WatchTiming {
        WatchTiming {
            max_wait: self.wait,
            response_timeout: RESPONSE_TIMEOUT,
            wait_extension_divisor: Some(WAIT_EXTENSION_DIVISOR),
            // No queue at an agent, and no watch that begins: each query stands for itself.
            open_wait: self.wait,
            open_timeout: RESPONSE_TIMEOUT,
            full_list_timeout: RESPONSE_TIMEOUT,
            max_timeout: RESPONSE_TIMEOUT,
            initial_backoff: self.initial_backoff,
            max_backoff: self.max_backoff,
            max_rejected_backoff: self.max_backoff,
            min_interval: self.min_poll_interval,
            max_gap: Duration::MAX,
            retry_spread: None,
        }
    }
}

/// Consul's consistency modes (api-docs/features/consistency).
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Consistency {
    /// By the leader, which trusts its lease.
    #[default]
    Default,
    /// By any server, however far behind.
    Stale,
    /// By the leader, which asks the others first.
    Consistent,
}

/// What is watched.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Target {
    /// The service.
    pub service: String,
    /// The datacentre; `None`: the agent's own.
    pub datacentre: Option<String>,
    /// The namespace (Enterprise).
    pub namespace: Option<String>,
    /// The admin partition (Enterprise).
    pub partition: Option<String>,
    /// A filter expression.
    pub filter: Option<String>,
    /// The mode.
    pub consistency: Consistency,
}

/// A query to be made.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Request {
    /// Of which agent, by position.
    pub agent: usize,
    /// Path and query.
    pub path: String,
    /// How long it may take until its answer is whole.
    pub timeout: Duration,
}

/// What to do now.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum NextStep {
    /// Make this query, and say how it ended.
    Call(Request),
    /// Wait until then.
    Wait(Duration),
}

/// An answer's status and the headers that count.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ResponseHead {
    /// The status.
    pub status: u16,
    /// `X-Consul-Index`; `None`: absent or no number.
    pub index: Option<u64>,
    /// `X-Consul-KnownLeader`; `None`: absent.
    pub known_leader: Option<bool>,
    /// `X-Consul-LastContact`, in milliseconds.
    pub last_contact: Option<u64>,
    /// `X-Consul-Results-Filtered-By-ACLs`.
    pub filtered: bool,
    /// `Retry-After`, in seconds.
    pub retry_after: Option<u64>,
}

impl ResponseHead {
    /// Of a status and the headers that `get` finds by their names in small letters.
    pub fn new<'a>(status: u16, get: impl Fn(&str) -> Option<&'a str>) -> ResponseHead {
        let number = |name: &str| get(name).and_then(|v| v.trim().parse().ok());
        let flag = |name: &str| get(name).map(|v| v.trim().eq_ignore_ascii_case("true"));
        ResponseHead {
            status,
            index: number("x-consul-index"),
            known_leader: flag("x-consul-knownleader"),
            last_contact: number("x-consul-lastcontact"),
            filtered: flag("x-consul-results-filtered-by-acls").unwrap_or(false),
            retry_after: number("retry-after"),
        }
    }
}

/// What an answer came to.
#[derive(Clone, Debug, PartialEq)]
pub struct ResponseOutcome {
    /// For the view; `Changes` without any: nothing has changed.
    pub update: SourceUpdate,
    /// Entries that can't be used, and why.
    pub entry_errors: Vec<String>,
}

/// See the module's page. Times are spans since any fixed moment, and never go back.
pub struct Watch {
    target: Target,
    figures: WatchIntervals,
    agents: usize,
    agent: usize,
    list: ServiceList,
    kind: ListKind,
    /// The newest index that counts, also from before a restart.
    index: Option<u64>,
    /// The last query told the list, so that news can be waited for. After a failure the list is asked for at once:
    /// another history that is behind the index would be waited on until the query's end.
    told: bool,
    /// It was told whole: what an earlier process knew, and it lacks, is gone.
    whole: bool,
    /// Until when a list does not count for what it lacks.
    regrows: Option<Duration>,
    watch: watch::Watch,
}

impl Watch {
    /// A watch that begins at once. `index` is how far an earlier process had come: an older one is noticed.
    pub fn new(
        target: Target,
        reading: EntryMapping,
        figures: WatchIntervals,
        agents: usize,
        index: Option<u64>,
    ) -> Watch {
        Watch {
            kind: reading.kind,
            list: ServiceList::new(reading),
            watch: watch::Watch::new(figures.plan()),
            target,
            figures,
            agents: agents.max(1),
            agent: 0,
            index,
            told: false,
            whole: false,
            regrows: None,
        }
    }

    /// What is watched, in words; the same after a restart.
    pub fn label(&self) -> String {
        let t = &self.target;
        format!("{}@{}", t.service, t.datacentre.as_deref().unwrap_or("agent"))
    }

    /// The newest index that was told.
    pub fn index(&self) -> Option<u64> {
        self.index
    }

    /// Members that it has told of.
    pub fn endpoint_count(&self) -> usize {
        self.list.len()
    }

    /// Failures in a row.
    pub fn failures(&self) -> u32 {
        self.watch.failures()
    }

    /// What to do now. `draw`, from 0 to 1, spreads the waits of many instances.
    pub fn next_step(&mut self, now: Duration, draw: f64) -> NextStep {
        // The list is asked for whole where nothing can be waited on.
        let index = self.index.filter(|&i| self.told && i > 0);
        let (kind, wait, patience) = match self.watch.step(now, draw, index.is_some()) {
            Step::Call { kind, wait, timeout: patience } => (kind, wait, patience),
            Step::Wait(until) => return NextStep::Wait(until),
        };
        self.watch.called(now, kind, patience);
        let t = &self.target;
        let what = match self.kind {
            ListKind::Health => "health",
            ListKind::Catalogue => "catalog",
        };
        let mut path = format!("/v1/{what}/service/{}?", percent_encode(&t.service));
        let mut add = |name: &str, value: &str| {
            if !path.ends_with('?') {
                path.push('&');
            }
            path.push_str(name);
            if !value.is_empty() {
                path.push('=');
                path.push_str(&percent_encode(value));
            }
        };
        for (name, value) in
            [("dc", &t.datacentre), ("ns", &t.namespace), ("partition", &t.partition), ("filter", &t.filter)]
        {
            if let Some(value) = value {
                add(name, value);
            }
        }
        match t.consistency {
            Consistency::Default => {}
            Consistency::Stale => add("stale", ""),
            Consistency::Consistent => add("consistent", ""),
        }
        if let (Some(index), true) = (index, kind != Call::FullList) {
            // When the list counts whole again it has to be asked for, though nothing changes.
            let wait = match self.regrows {
                Some(regrows) => wait.min(regrows.saturating_sub(now)).max(Duration::from_millis(1)),
                None => wait,
            };
            add("index", &index.to_string());
            add("wait", &format!("{}ms", wait.as_millis()));
        }
        if path.ends_with('?') {
            path.pop();
        }
        NextStep::Call(Request { agent: self.agent, path, timeout: patience })
    }

    /// An answer has come whole.
    pub fn on_response(
        &mut self,
        now: Duration,
        head: &ResponseHead,
        body: &[u8],
        draw: f64,
    ) -> ResponseOutcome {
        match self.judge(now, head, body) {
            Ok(verdict) => {
                self.watch.answered(now);
                if self.index.is_none() {
                    self.watch.postpone(now + POLL_INTERVAL);
                }
                verdict
            }
            Err(why) => {
                self.told = false;
                let asked = Duration::from_secs(head.retry_after.unwrap_or(0)).min(MAX_RETRY_AFTER);
                self.watch.broke(now, draw);
                let pause = self.watch.next_call_at().saturating_sub(now);
                // Jitter on what it asked for as well: all were told the same.
                self.watch.postpone(now + pause.max(asked + pause.min(asked)));
                if head.status != 429 {
                    self.agent = (self.agent + 1) % self.agents;
                }
                ResponseOutcome { update: SourceUpdate::Unavailable(why), entry_errors: Vec::new() }
            }
        }
    }

    /// No whole answer has come.
    pub fn on_failure(&mut self, now: Duration, why: &str, draw: f64) -> ResponseOutcome {
        self.told = false;
        self.watch.broke(now, draw);
        self.agent = (self.agent + 1) % self.agents;
        ResponseOutcome { update: SourceUpdate::Unavailable(why.into()), entry_errors: Vec::new() }
    }

    fn judge(&mut self, now: Duration, head: &ResponseHead, body: &[u8]) -> Result<ResponseOutcome, String> {
        if head.status != 200 {
            let said: String =
                String::from_utf8_lossy(body).chars().filter(|c| !c.is_control()).take(120).collect();
            return Err(format!("answered {}: {said}", head.status));
        }
        if head.known_leader == Some(false) {
            return Err("its servers have no leader".into());
        }
        if head.filtered {
            return Err("its answer was filtered: the token may not read all of it".into());
        }
        let most = u64::try_from(self.figures.max_staleness.as_millis()).unwrap_or(u64::MAX);
        if let Some(old) =
            head.last_contact.filter(|&ms| self.target.consistency == Consistency::Stale && ms > most)
        {
            return Err(format!("its answer is {old} ms behind the leader"));
        }
        // An index of 0 can't be waited on, and says nothing of the history.
        let index = head.index.filter(|&i| i > 0);
        let backwards = matches!((index, self.index), (Some(new), Some(known)) if new < known);
        let mut regrows = self.regrows.filter(|&until| now < until);
        if backwards {
            regrows = Some(now + self.figures.regrow_timeout);
        }
        let mut read = self.list.apply(body, regrows.is_some())?;
        (self.regrows, self.told) = (regrows, true);
        if regrows.is_none() && !std::mem::replace(&mut self.whole, true) {
            read.update = SourceUpdate::Full(self.list.reports());
        }
        // While a new history grows, the next answer follows it.
        self.index = index;
        Ok(ResponseOutcome { update: read.update, entry_errors: read.entry_errors })
    }
}
