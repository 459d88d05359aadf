//! Test harness for one balancer: it simulates the upstreams and checks the rules independently of the balancer.
#![allow(dead_code)] // each test file uses only some of the items
use balancer::*;
use std::collections::BTreeMap;

pub fn member(id: u64) -> Member {
    Member {
        id: UpstreamId(id),
        zone: 0,
        kind: 0,
        group: (id % 3) as u16,
        availability: Availability::Ready,
        started_at: 0.0,
    }
}

pub fn class(effect: Effect) -> Class {
    Class { objective: 500.0, deadline: 2000.0, effect, ..Class::default() }
}

pub fn tenants(shares: &[f64], quota_per_s: f64) -> Vec<Tenant> {
    shares.iter().map(|&share| Tenant { share, quota_per_s: quota_per_s * share }).collect()
}

/// State of a request as the harness observed it.
pub struct RequestRecord {
    pub class: usize,
    pub deadline: f64,
    pub sends: Vec<(UpstreamId, f64)>,
    /// Time at which each attempt times out.
    pub times_out_at: Vec<f64>,
    /// Outcome of each attempt (`None`: in flight).
    pub outcomes: Vec<Option<AttemptOutcome>>,
    pub answered: bool,
}

/// Drives a balancer and checks each action against the rules, without knowledge of how it decides.
pub struct Harness {
    pub balancer: Balancer,
    pub settings: Settings,
    pub now: f64,
    pub listed: BTreeMap<UpstreamId, Member>,
    pub requests: BTreeMap<RequestId, RequestRecord>,
    pub timers: Vec<(f64, u32)>,
    pub log: Vec<Action>,
    /// Scheduled outcomes: time, request, attempt, outcome.
    pub scheduled: Vec<(f64, u32, usize, AttemptOutcome)>,
}

impl Harness {
    /// Whether this outcome of an attempt proves that it never ran.
    fn proves_never_ran(&self, ending: Option<AttemptOutcome>) -> bool {
        match ending {
            Some(AttemptOutcome::Declined) => !self.settings.late_shedding,
            Some(AttemptOutcome::ConnectFailed | AttemptOutcome::NotSent) => true,
            _ => false,
        }
    }

    pub fn new(settings: Settings, seed: u64, members: Vec<Member>) -> Self {
        let balancer = Balancer::new(settings.clone(), seed, 0.0).expect("settings");
        let mut harness = Harness {
            balancer,
            settings,
            now: 0.0,
            listed: BTreeMap::new(),
            requests: BTreeMap::new(),
            timers: Vec::new(),
            log: Vec::new(),
            scheduled: Vec::new(),
        };
        harness.update_list(Membership::Cached(members));
        harness
    }

    /// Passes a list update to the balancer and applies it to the expected members.
    pub fn update_list(&mut self, update: Membership) {
        let (members, is_full) = match &update {
            Membership::Full(m) | Membership::Cached(m) => (m.clone(), true),
            Membership::Delta(m) => (m.clone(), false),
            Membership::Failed => (Vec::new(), false),
        };
        if is_full {
            self.listed.values_mut().for_each(|m| m.availability = Availability::Gone);
        }
        self.listed.extend(members.into_iter().map(|m| (m.id, m)));
        self.event(Event::Membership(update));
    }

    /// Sends a new request to the balancer and returns its actions.
    pub fn request(&mut self, id: u32, class: usize, tenant: usize) -> Vec<Action> {
        let deadline = self.now + self.settings.classes[class].deadline;
        let id = RequestId(id);
        let (sends, times_out_at, outcomes) = (Vec::new(), Vec::new(), Vec::new());
        let record = RequestRecord { class, deadline, sends, times_out_at, outcomes, answered: false };
        self.requests.insert(id, record);
        self.event(Event::Request(Request::with_full_worth(id, class, tenant, deadline)))
    }

    /// Reports the outcome of an attempt and returns the balancer's actions.
    pub fn outcome(&mut self, id: u32, attempt: usize, ending: AttemptOutcome) -> Vec<Action> {
        let request = RequestId(id);
        let record = self.requests.get_mut(&request).expect("a known request");
        record.outcomes[attempt] = Some(ending);
        record.answered |= ending == AttemptOutcome::Ok;
        let duration = self.now - record.sends[attempt].1;
        let request_finished = record.answered;
        self.event(Event::AttemptEnded {
            request,
            attempt: attempt as u32,
            ending,
            duration,
            request_finished,
        })
    }

    /// Reports that the client of a request is gone and returns the balancer's actions.
    pub fn client_gone(&mut self, id: u32) -> Vec<Action> {
        self.requests.get_mut(&RequestId(id)).expect("a known request").answered = true;
        self.event(Event::ClientGone(RequestId(id)))
    }

    /// Sends `per_s` requests per second for `span` milliseconds, for the tenants in turn. `server` returns the outcome
    /// of each attempt and the delay until then in milliseconds (`None`: never).
    pub fn traffic(
        &mut self,
        span: f64,
        per_s: f64,
        tenants: &[usize],
        server: &dyn Fn(UpstreamId) -> Option<(AttemptOutcome, f64)>,
    ) {
        let until = self.now + span;
        while self.now < until {
            let id = self.requests.last_key_value().map_or(0, |(id, _)| id.0 + 1);
            self.request(id, 0, tenants[id as usize % tenants.len()]);
            self.schedule_outcome(id, server);
            let next = self.now + 1000.0 / per_s;
            while let Some(i) = (0..self.scheduled.len())
                .filter(|&i| self.scheduled[i].0 <= next)
                .min_by(|&a, &b| self.scheduled[a].0.total_cmp(&self.scheduled[b].0))
            {
                let (time, id, attempt, ending) = self.scheduled.swap_remove(i);
                self.advance((time - self.now).max(0.0));
                if self.requests[&RequestId(id)].outcomes[attempt].is_none() {
                    self.outcome(id, attempt, ending);
                    self.schedule_outcome(id, server);
                }
            }
            self.advance(next - self.now);
        }
    }

    /// Schedules the outcome of the latest attempt of a request.
    fn schedule_outcome(&mut self, id: u32, server: &dyn Fn(UpstreamId) -> Option<(AttemptOutcome, f64)>) {
        let record = &self.requests[&RequestId(id)];
        let Some(&(upstream, _)) = record.sends.last() else { return };
        let attempt = record.sends.len() - 1;
        if record.outcomes[attempt].is_none() {
            if let Some((ending, after)) = server(upstream) {
                self.scheduled.push((self.now + after, id, attempt, ending));
            }
        }
    }

    /// Returns the number of requests with an attempt since `from`, and the number of attempts per upstream.
    pub fn attempts_since(&self, from: f64) -> (usize, BTreeMap<UpstreamId, usize>) {
        let mut attempts_by_upstream = BTreeMap::new();
        let mut requests = 0;
        for record in self.requests.values() {
            let attempts: Vec<_> = record.sends.iter().filter(|(_, time)| *time >= from).collect();
            requests += usize::from(!attempts.is_empty());
            attempts.iter().for_each(|(id, _)| *attempts_by_upstream.entry(*id).or_insert(0) += 1);
        }
        (requests, attempts_by_upstream)
    }

    /// Advances the clock by `span` milliseconds; fires due timers and times out attempts.
    pub fn advance(&mut self, span: f64) {
        let until = self.now + span;
        loop {
            let next_timeout = |record: &RequestRecord| {
                let in_flight = (0..record.outcomes.len()).filter(|&n| record.outcomes[n].is_none());
                in_flight.min_by(|&a, &b| record.times_out_at[a].total_cmp(&record.times_out_at[b]))
            };
            let open_attempts =
                self.requests.iter().filter_map(|(id, record)| Some((id, record, next_timeout(record)?)));
            let expiries = open_attempts
                .map(|(id, record, n)| (record.times_out_at[n].max(self.now), Some(*id), n as u32));
            let timers = self.timers.iter().map(|&(time, token)| (time, None, token));
            let next = expiries.chain(timers).min_by(|a, b| a.0.total_cmp(&b.0));
            let Some((time, request, token)) = next.filter(|n| n.0 <= until) else { break };
            self.now = time;
            match request {
                Some(id) => {
                    self.outcome(id.0, token as usize, AttemptOutcome::Timeout);
                    let record = &self.requests[&id];
                    assert!(
                        time < record.deadline || record.answered || record.outcomes.contains(&None),
                        "{id:?} has no final answer before its deadline"
                    );
                }
                None => {
                    let i = self.timers.iter().position(|t| *t == (time, token)).expect("the timer is set");
                    self.timers.remove(i);
                    self.event(Event::Timer(token));
                }
            }
        }
        self.now = until;
    }

    /// Passes an event to the balancer, checks its actions and returns them.
    pub fn event(&mut self, event: Event) -> Vec<Action> {
        let mut actions = Vec::new();
        self.balancer.handle(self.now, event, &mut actions);
        for action in &actions {
            self.check(action);
        }
        for (id, record) in &self.requests {
            let unanswered = !record.answered && record.outcomes.iter().all(Option::is_some);
            assert!(!unanswered, "{id:?} has neither an answer nor an attempt in flight");
        }
        self.log.extend(actions.iter().cloned());
        actions
    }

    /// Checks one action against the rules.
    fn check(&mut self, action: &Action) {
        let now = self.now;
        let may_have_run =
            |h: &Self, r: &RequestRecord| r.outcomes.iter().position(|e| !h.proves_never_ran(*e));
        match action {
            Action::Send { request, upstream, timeout } => {
                let member = &self.listed[upstream];
                assert_eq!(member.availability, Availability::Ready, "{request:?} sent to {member:?}");
                let record = &self.requests[request];
                let class = &self.settings.classes[record.class];
                assert!(
                    class.runs_in.as_ref().is_none_or(|l| l.contains(&member.zone)),
                    "{request:?} sent to {member:?}, which its class does not allow"
                );
                assert!(
                    class.kinds_only.as_ref().is_none_or(|l| l.contains(&member.kind)),
                    "{request:?} sent to {member:?}, which its class does not allow"
                );
                assert!(!record.answered, "{request:?} sent after its final answer");
                assert!(now < record.deadline, "{request:?} sent after its deadline");
                assert!(
                    record.sends.len() < self.settings.attempts_cap as usize,
                    "{request:?}: too many attempts"
                );
                let in_flight = record.outcomes.contains(&None);
                assert!(!in_flight, "{request:?}: two attempts in flight");
                if let Some(first) = may_have_run(self, record) {
                    match class.effect {
                        Effect::Free => {}
                        Effect::SingleShot => panic!("{request:?} may run twice"),
                        Effect::Guarded { scope, window } => {
                            let (first_upstream, sent) = record.sends[first];
                            let first_member = &self.listed[&first_upstream];
                            assert!(now < sent + window, "{request:?} resent after the window");
                            assert!(match scope {
                                DedupScope::All => true,
                                DedupScope::Zone => first_member.zone == member.zone,
                                DedupScope::Cell => first_member.group == member.group,
                            });
                        }
                    }
                }
                let record = self.requests.get_mut(request).expect("a known request");
                assert!(*timeout >= 0.0, "{request:?} has a negative timeout");
                record.times_out_at.push(if *timeout > 0.0 {
                    record.deadline.min(now + timeout)
                } else {
                    record.deadline
                });
                record.sends.push((*upstream, now));
                record.outcomes.push(None);
            }
            Action::Refuse { request, .. } | Action::Fail { request } => {
                let record = &self.requests[request];
                assert!(!record.answered, "{request:?} answered twice");
                if matches!(action, Action::Refuse { .. }) {
                    let harmless = match self.settings.classes[record.class].effect {
                        Effect::Free | Effect::Guarded { scope: DedupScope::All, .. } => true,
                        _ => may_have_run(self, record).is_none(),
                    };
                    assert!(harmless, "{request:?} refused though it may have run");
                }
                self.requests.get_mut(request).expect("a known request").answered = true;
            }
            Action::Cancel { request, attempt } => {
                assert!(self.settings.cancel && (*attempt as usize) < self.requests[request].sends.len());
            }
            Action::SetTimer { after, token } => self.timers.push((now + after, *token)),
            Action::Subscribe => assert!(self.settings.ask_for_list, "the list is pushed"),
            Action::CloseIdle(_) | Action::Log(_) => {}
        }
    }
}
