//! The cost of a decision: nanoseconds a request through the module alone, with 10, 100 and 1,000 upstreams.
//!
//! `cargo bench -p herondock --bench decision`. Requests come at 1,600 a second of the module's clock and are answered
//! 100 ms later, so that the books hold as many open calls as in service; timers fire as they are asked for.
use balancer::{
    Action, AttemptOutcome, Availability, Balancer, Class, Effect, Event, Member, Membership, Request,
    RequestId, Settings, Tenant, UpstreamId,
};
use std::collections::VecDeque;
use std::hint::black_box;
use std::time::Instant;

/// Requests a round, and rounds.
const REQUESTS: u32 = 200_000;
const ROUNDS: usize = 7;
/// Milliseconds of the module's clock between two requests, and from a request to its answer.
const GAP: f64 = 1000.0 / 1600.0;
const ANSWER: f64 = 100.0;

fn settings() -> Settings {
    let class = |effect| Class { objective: 1000.0, deadline: 2500.0, effect, ..Class::default() };
    let tenant = |share| Tenant { share, quota_per_s: 1000.0 * share };
    Settings {
        classes: vec![class(Effect::Free), class(Effect::SingleShot)],
        tenants: vec![tenant(3.0), tenant(1.0), tenant(1.0), tenant(1.0), tenant(1.0)],
        ..Settings::default()
    }
}

/// One round: nanoseconds a request, and the part that was admitted.
fn round(upstreams: u64, seed: u64) -> (f64, f64) {
    let mut balancer = Balancer::new(settings(), seed, 0.0).expect("settings");
    let mut actions = Vec::new();
    let member = |id| Member {
        id: UpstreamId(id),
        zone: 0,
        kind: 0,
        group: (id % 20) as u16,
        availability: Availability::Ready,
        started_at: 0.0,
    };
    balancer.handle(
        0.0,
        Event::Membership(Membership::Full((0..upstreams).map(member).collect())),
        &mut actions,
    );
    let (mut out, mut timers, mut sent) = (VecDeque::new(), VecDeque::new(), 0u32);
    let started = Instant::now();
    for n in 0..REQUESTS {
        let now = f64::from(n) * GAP;
        let (id, class, tenant) = (RequestId(n), (n % 2) as usize, (n % 5) as usize);
        balancer.handle(
            now,
            Event::Request(Request::with_full_worth(id, class, tenant, now + 2500.0)),
            &mut actions,
        );
        while out.front().is_some_and(|&(at, _)| at <= now) {
            let Some((at, request)) = out.pop_front() else { break };
            let duration = now - at + ANSWER;
            let event = Event::AttemptEnded {
                request,
                attempt: 0,
                ending: AttemptOutcome::Ok,
                duration,
                request_finished: true,
            };
            balancer.handle(now, event, &mut actions);
        }
        while timers.front().is_some_and(|&(at, _)| at <= now) {
            let Some((_, token)) = timers.pop_front() else { break };
            balancer.handle(now, Event::Timer(token), &mut actions);
        }
        for action in black_box(&mut actions).drain(..) {
            match action {
                Action::Send { request, .. } => {
                    sent += 1;
                    out.push_back((now + ANSWER, request));
                }
                Action::SetTimer { after, token } => timers.push_back((now + after, token)),
                _ => {}
            }
        }
    }
    let each = started.elapsed().as_nanos() as f64 / f64::from(REQUESTS);
    (each, f64::from(sent) / f64::from(REQUESTS))
}

fn main() {
    println!("| upstreams | ns a request, median | least | most | admitted |");
    println!("| --- | --- | --- | --- | --- |");
    for upstreams in [10, 100, 1000] {
        let mut rounds: Vec<(f64, f64)> = (0..ROUNDS).map(|seed| round(upstreams, seed as u64)).collect();
        rounds.sort_by(|a, b| a.0.total_cmp(&b.0));
        let (median, admitted) = rounds[ROUNDS / 2];
        let (least, most) = (rounds[0].0, rounds[ROUNDS - 1].0);
        println!("| {upstreams} | {median:.0} | {least:.0} | {most:.0} | {:.0} % |", admitted * 100.0);
    }
}
