//! A world for one balancer: it answers what the balancer sends and checks the rules on its own account.
#![allow(dead_code)] // each test file uses its own part
use balancer::*;
use std::collections::BTreeMap;

pub fn member(id: u64) -> Member {
    Member {
        id: UpstreamId(id),
        zone: 0,
        kind: 0,
        group: (id % 3) as u16,
        availability: Availability::Ready,
        since: 0.0,
    }
}

pub fn class(effect: Effect) -> Class {
    Class { objective: 500.0, deadline: 2000.0, effect, ..Class::default() }
}

pub fn tenants(shares: &[f64], quota_per_s: f64) -> Vec<Tenant> {
    shares.iter().map(|&share| Tenant { share, quota_per_s: quota_per_s * share }).collect()
}

/// A request's life as the checker saw it.
pub struct Seen {
    pub class: usize,
    pub deadline: f64,
    pub sends: Vec<(UpstreamId, f64)>,
    /// When each attempt times out.
    pub until: Vec<f64>,
    /// Attempts out, and whether each ended one may have run (`None`: still out).
    pub ended: Vec<Option<Ending>>,
    pub answered: bool,
}

/// Drives a balancer and checks each action against the rules, knowing nothing of how it decides.
pub struct World {
    pub balancer: Balancer,
    pub settings: Settings,
    pub now: f64,
    pub listed: BTreeMap<UpstreamId, Member>,
    pub seen: BTreeMap<RequestId, Seen>,
    pub timers: Vec<(f64, u32)>,
    pub log: Vec<Action>,
    /// Answers on their way: when, request, attempt, ending.
    pub due: Vec<(f64, u32, usize, Ending)>,
}

impl World {
    /// Whether this end of an attempt proves that it never ran.
    fn proves(&self, ending: Option<Ending>) -> bool {
        match ending {
            Some(Ending::Full) => !self.settings.late_shedding,
            Some(Ending::ConnectFailed | Ending::Moot) => true,
            _ => false,
        }
    }

    pub fn new(settings: Settings, seed: u64, members: Vec<Member>) -> Self {
        let balancer = Balancer::new(settings.clone(), seed, 0.0).expect("settings");
        let mut world = World {
            balancer,
            settings,
            now: 0.0,
            listed: BTreeMap::new(),
            seen: BTreeMap::new(),
            timers: Vec::new(),
            log: Vec::new(),
            due: Vec::new(),
        };
        world.list(Membership::Cached(members));
        world
    }

    pub fn list(&mut self, news: Membership) {
        let (members, whole) = match &news {
            Membership::Full(m) | Membership::Cached(m) => (m.clone(), true),
            Membership::Delta(m) => (m.clone(), false),
            Membership::Failed => (Vec::new(), false),
        };
        if whole {
            self.listed.values_mut().for_each(|m| m.availability = Availability::Gone);
        }
        self.listed.extend(members.into_iter().map(|m| (m.id, m)));
        self.event(Event::Membership(news));
    }

    pub fn request(&mut self, id: u32, class: usize, tenant: usize) -> Vec<Action> {
        let deadline = self.now + self.settings.classes[class].deadline;
        let id = RequestId(id);
        let (sends, until, ended) = (Vec::new(), Vec::new(), Vec::new());
        let fresh = Seen { class, deadline, sends, until, ended, answered: false };
        self.seen.insert(id, fresh);
        self.event(Event::Request(Request::plain(id, class, tenant, deadline)))
    }

    pub fn outcome(&mut self, id: u32, attempt: usize, ending: Ending) -> Vec<Action> {
        let request = RequestId(id);
        let seen = self.seen.get_mut(&request).expect("a known request");
        seen.ended[attempt] = Some(ending);
        seen.answered |= ending == Ending::Ok;
        let duration = self.now - seen.sends[attempt].1;
        let closed = seen.answered;
        self.event(Event::Outcome { request, attempt: attempt as u32, ending, duration, closed })
    }

    pub fn gone(&mut self, id: u32) -> Vec<Action> {
        self.seen.get_mut(&RequestId(id)).expect("a known request").answered = true;
        self.event(Event::ClientGone(RequestId(id)))
    }

    /// Sends `per_s` requests a second for `span`, tenant by tenant in turn; `server` says how each attempt
    /// ends and after how long (`None`: never).
    pub fn traffic(
        &mut self,
        span: f64,
        per_s: f64,
        tenants: &[usize],
        server: &dyn Fn(UpstreamId) -> Option<(Ending, f64)>,
    ) {
        let until = self.now + span;
        while self.now < until {
            let id = self.seen.last_key_value().map_or(0, |(id, _)| id.0 + 1);
            self.request(id, 0, tenants[id as usize % tenants.len()]);
            self.answer(id, server);
            let next = self.now + 1000.0 / per_s;
            while let Some(i) = (0..self.due.len())
                .filter(|&i| self.due[i].0 <= next)
                .min_by(|&a, &b| self.due[a].0.total_cmp(&self.due[b].0))
            {
                let (at, id, attempt, ending) = self.due.swap_remove(i);
                self.pass((at - self.now).max(0.0));
                if self.seen[&RequestId(id)].ended[attempt].is_none() {
                    self.outcome(id, attempt, ending);
                    self.answer(id, server);
                }
            }
            self.pass(next - self.now);
        }
    }

    /// Puts the answer to the newest attempt of a request on its way.
    fn answer(&mut self, id: u32, server: &dyn Fn(UpstreamId) -> Option<(Ending, f64)>) {
        let seen = &self.seen[&RequestId(id)];
        let Some(&(upstream, _)) = seen.sends.last() else { return };
        let attempt = seen.sends.len() - 1;
        if seen.ended[attempt].is_none() {
            if let Some((ending, after)) = server(upstream) {
                self.due.push((self.now + after, id, attempt, ending));
            }
        }
    }

    /// How many requests since `from` got an attempt, and how many attempts went to each upstream.
    pub fn sent_since(&self, from: f64) -> (usize, BTreeMap<UpstreamId, usize>) {
        let mut to = BTreeMap::new();
        let mut requests = 0;
        for s in self.seen.values() {
            let late: Vec<_> = s.sends.iter().filter(|(_, at)| *at >= from).collect();
            requests += usize::from(!late.is_empty());
            late.iter().for_each(|(id, _)| *to.entry(*id).or_insert(0) += 1);
        }
        (requests, to)
    }

    /// Moves the clock, firing timers and timing out what reaches its deadline.
    pub fn pass(&mut self, span: f64) {
        let until = self.now + span;
        loop {
            let next_out = |s: &Seen| {
                let out = (0..s.ended.len()).filter(|&n| s.ended[n].is_none());
                out.min_by(|&a, &b| s.until[a].total_cmp(&s.until[b]))
            };
            let late = self.seen.iter().filter_map(|(id, s)| Some((id, s, next_out(s)?)));
            let due = late.map(|(id, s, n)| (s.until[n].max(self.now), Some(*id), n as u32));
            let timers = self.timers.iter().map(|&(at, token)| (at, None, token));
            let next = due.chain(timers).min_by(|a, b| a.0.total_cmp(&b.0));
            let Some((at, request, token)) = next.filter(|n| n.0 <= until) else { break };
            self.now = at;
            match request {
                Some(id) => {
                    self.outcome(id.0, token as usize, Ending::Timeout);
                    let s = &self.seen[&id];
                    assert!(
                        at < s.deadline || s.answered || s.ended.contains(&None),
                        "{id:?} has no final answer in time"
                    );
                }
                None => {
                    let i = self.timers.iter().position(|t| *t == (at, token)).expect("the timer");
                    self.timers.remove(i);
                    self.event(Event::Timer(token));
                }
            }
        }
        self.now = until;
    }

    pub fn event(&mut self, event: Event) -> Vec<Action> {
        let mut actions = Vec::new();
        self.balancer.handle(self.now, event, &mut actions);
        for action in &actions {
            self.check(action);
        }
        for (id, s) in &self.seen {
            let held = !s.answered && s.ended.iter().all(Option::is_some);
            assert!(!held, "{id:?} is neither answered nor out anywhere");
        }
        self.log.extend(actions.iter().cloned());
        actions
    }

    fn check(&mut self, action: &Action) {
        let now = self.now;
        let may = |w: &Self, s: &Seen| s.ended.iter().position(|e| !w.proves(*e));
        match action {
            Action::Send { request, upstream, timeout } => {
                let m = &self.listed[upstream];
                assert_eq!(m.availability, Availability::Ready, "{request:?} sent to {m:?}");
                let s = &self.seen[request];
                let c = &self.settings.classes[s.class];
                assert!(
                    c.runs_in.as_ref().is_none_or(|l| l.contains(&m.zone)),
                    "{request:?} placed at {m:?}"
                );
                assert!(
                    c.kinds_only.as_ref().is_none_or(|l| l.contains(&m.kind)),
                    "{request:?} placed at {m:?}"
                );
                assert!(!s.answered, "{request:?} sent after its final answer");
                assert!(now < s.deadline, "{request:?} sent too late");
                assert!(
                    s.sends.len() < self.settings.attempts_cap as usize,
                    "{request:?}: too many attempts"
                );
                let out = s.ended.contains(&None);
                assert!(!out, "{request:?}: two attempts out");
                if let Some(first) = may(self, s) {
                    match c.effect {
                        Effect::Free => {}
                        Effect::SingleShot => panic!("{request:?} may run twice"),
                        Effect::Guarded { scope, window } => {
                            let (before, sent) = s.sends[first];
                            let b = &self.listed[&before];
                            assert!(now < sent + window, "{request:?} resent after the window");
                            assert!(match scope {
                                DedupScope::All => true,
                                DedupScope::Zone => b.zone == m.zone,
                                DedupScope::Cell => b.group == m.group,
                            });
                        }
                    }
                }
                let s = self.seen.get_mut(request).expect("a known request");
                assert!(*timeout >= 0.0, "{request:?} times out at once");
                s.until.push(if *timeout > 0.0 { s.deadline.min(now + timeout) } else { s.deadline });
                s.sends.push((*upstream, now));
                s.ended.push(None);
            }
            Action::Refuse { request, .. } | Action::Fail { request } => {
                let s = &self.seen[request];
                assert!(!s.answered, "{request:?} answered twice");
                if matches!(action, Action::Refuse { .. }) {
                    let harmless = match self.settings.classes[s.class].effect {
                        Effect::Free | Effect::Guarded { scope: DedupScope::All, .. } => true,
                        _ => may(self, s).is_none(),
                    };
                    assert!(harmless, "{request:?} refused though it may have run");
                }
                self.seen.get_mut(request).expect("a known request").answered = true;
            }
            Action::Cancel { request, attempt } => {
                assert!(self.settings.cancel && (*attempt as usize) < self.seen[request].sends.len());
            }
            Action::SetTimer { after, token } => self.timers.push((now + after, *token)),
            Action::Subscribe => assert!(self.settings.ask_for_list, "the list is pushed"),
            Action::CloseIdle(_) | Action::Log(_) => {}
        }
    }
}
