//! Registration of an instance at its Consul agent: registration, renewal, shutdown and retries.
use discovery::consul::percent_encode;
use discovery::consul::registration::{DesiredState, NextStep, Registrar, Registration};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

const fn s(n: u64) -> Duration {
    Duration::from_secs(n)
}

fn register() -> Registrar {
    Registrar::new(Registration {
        service: "portal".into(),
        id: "n 3".into(),
        addr: SocketAddr::from(([127, 0, 0, 1], 8443)),
        tags: vec![],
        meta: BTreeMap::from([("cell".into(), "4".into())]),
        ttl: s(15),
        deregister_after: s(60),
    })
}

fn path(next: NextStep) -> String {
    match next {
        NextStep::Call(call) => call.path,
        other => format!("{other:?}"),
    }
}

#[test]
fn it_is_registered_once_it_is_ready_and_renewed() {
    let mut r = register();
    assert_eq!(r.next_step(s(0)), NextStep::Wait(Duration::MAX), "not ready yet");
    r.set_desired_state(s(2), DesiredState::Passing);
    let NextStep::Call(call) = r.next_step(s(2)) else { panic!("a call") };
    assert_eq!(call.path, "/v1/agent/service/register?replace-existing-checks=true");
    assert_eq!(
        call.body,
        r#"{"ID":"n 3","Name":"portal","Address":"127.0.0.1","Port":8443,"Meta":{"cell":"4"},"Check":{"CheckID":"service:n 3","TTL":"15000ms","Status":"passing","DeregisterCriticalServiceAfter":"60000ms"}}"#
    );
    assert_eq!(r.on_response(s(2), 200, 0.5), None);
    assert_eq!(r.next_step(s(3)), NextStep::Wait(s(7)));
    assert_eq!(path(r.next_step(s(7))), "/v1/agent/check/pass/service%3An%203");
    // Guards against an agent that began anew: nobody would be sent here again.
    assert!(r.on_response(s(7), 404, 0.0).expect("said").contains("again"));
    assert!(path(r.next_step(s(9))).starts_with("/v1/agent/service/register"));
}

#[test]
fn leaving_is_told_at_once_and_the_end_once() {
    let mut r = register();
    r.set_desired_state(s(1), DesiredState::Passing);
    r.next_step(s(1));
    r.on_response(s(1), 200, 0.0);
    r.set_desired_state(s(2), DesiredState::ShuttingDown);
    assert_eq!(path(r.next_step(s(2))), "/v1/agent/check/fail/service%3An%203?note=leaving");
    r.on_failure(s(2), 1.0);
    assert!(matches!(r.next_step(s(2)), NextStep::Wait(_)));
    r.set_desired_state(s(2), DesiredState::Passing);
    assert!(path(r.next_step(s(3))).starts_with("/v1/agent/check/fail"), "it does not come back");
    r.on_response(s(3), 200, 0.0);
    assert_eq!(r.next_step(s(3)), NextStep::Wait(Duration::MAX));
    r.set_desired_state(s(4), DesiredState::Deregistered);
    assert_eq!(path(r.next_step(s(4))), "/v1/agent/service/deregister/n%203");
    assert_eq!(r.on_response(s(4), 404, 0.0), None, "it is not known, which was wanted");
    assert_eq!(r.next_step(s(5)), NextStep::Done);
    // One that could never tell the agent of itself has nothing to take back.
    let mut never = register();
    never.set_desired_state(s(0), DesiredState::Passing);
    never.next_step(s(0));
    never.on_failure(s(0), 0.5);
    never.set_desired_state(s(1), DesiredState::Deregistered);
    assert_eq!(never.next_step(s(1)), NextStep::Done);
}

/// Guards against hundreds of instances at an agent that has just come back.
#[test]
fn what_fails_is_tried_again_with_growing_pauses() {
    let mut r = register();
    r.set_desired_state(s(0), DesiredState::Passing);
    let mut now = Duration::ZERO;
    let mut calls = 0;
    while now < s(60) {
        match r.next_step(now) {
            NextStep::Call(_) => {
                calls += 1;
                r.on_failure(now, 1.0);
            }
            NextStep::Wait(until) => now = until,
            NextStep::Done => panic!("it goes on"),
        }
    }
    assert!((12..=20).contains(&calls), "{calls}");
}

#[test]
fn only_what_is_unreserved_stays() {
    assert_eq!(percent_encode("a-b_c.d~1"), "a-b_c.d~1");
    assert_eq!(percent_encode("Meta.zone == \"á/b\""), "Meta.zone%20%3D%3D%20%22%C3%A1%2Fb%22");
}
