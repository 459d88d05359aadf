//! Registration of an instance at its Consul agent: registration, renewal, shutdown and retries.
use discovery::consul::percent_encode;
use discovery::consul::registration::{DesiredState, NextStep, Registrar, Registration};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

const fn secs(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

fn new_registrar() -> Registrar {
    Registrar::new(Registration {
        service: "portal".into(),
        id: "n 3".into(),
        addr: SocketAddr::from(([127, 0, 0, 1], 8443)),
        tags: vec![],
        meta: BTreeMap::from([("cell".into(), "4".into())]),
        ttl: secs(15),
        deregister_after: secs(60),
    })
}

fn call_path(step: NextStep) -> String {
    match step {
        NextStep::Call(call) => call.path,
        other => format!("{other:?}"),
    }
}

#[test]
fn a_ready_instance_is_registered_and_renewed() {
    let mut registrar = new_registrar();
    assert_eq!(registrar.next_step(secs(0)), NextStep::Wait(Duration::MAX), "not ready yet");
    registrar.set_desired_state(secs(2), DesiredState::Passing);
    let NextStep::Call(call) = registrar.next_step(secs(2)) else { panic!("expected a call") };
    assert_eq!(call.path, "/v1/agent/service/register?replace-existing-checks=true");
    assert_eq!(
        call.body,
        r#"{"ID":"n 3","Name":"portal","Address":"127.0.0.1","Port":8443,"Meta":{"cell":"4"},"Check":{"CheckID":"service:n 3","TTL":"15000ms","Status":"passing","DeregisterCriticalServiceAfter":"60000ms"}}"#
    );
    assert_eq!(registrar.on_response(secs(2), 200, 0.5), None);
    assert_eq!(registrar.next_step(secs(3)), NextStep::Wait(secs(7)));
    assert_eq!(call_path(registrar.next_step(secs(7))), "/v1/agent/check/pass/service%3An%203");
    // An agent that lost its state knows no such check: without a new registration no client would find the instance.
    assert!(registrar.on_response(secs(7), 404, 0.0).expect("a description").contains("again"));
    assert!(call_path(registrar.next_step(secs(9))).starts_with("/v1/agent/service/register"));
}

#[test]
fn shutdown_is_reported_at_once_and_deregistration_once() {
    let mut registrar = new_registrar();
    registrar.set_desired_state(secs(1), DesiredState::Passing);
    registrar.next_step(secs(1));
    registrar.on_response(secs(1), 200, 0.0);
    registrar.set_desired_state(secs(2), DesiredState::ShuttingDown);
    assert_eq!(call_path(registrar.next_step(secs(2))), "/v1/agent/check/fail/service%3An%203?note=leaving");
    registrar.on_failure(secs(2), 1.0);
    assert!(matches!(registrar.next_step(secs(2)), NextStep::Wait(_)));
    registrar.set_desired_state(secs(2), DesiredState::Passing);
    assert!(
        call_path(registrar.next_step(secs(3))).starts_with("/v1/agent/check/fail"),
        "a shutdown is final"
    );
    registrar.on_response(secs(3), 200, 0.0);
    assert_eq!(registrar.next_step(secs(3)), NextStep::Wait(Duration::MAX));
    registrar.set_desired_state(secs(4), DesiredState::Deregistered);
    assert_eq!(call_path(registrar.next_step(secs(4))), "/v1/agent/service/deregister/n%203");
    assert_eq!(registrar.on_response(secs(4), 404, 0.0), None, "an unknown service counts as deregistered");
    assert_eq!(registrar.next_step(secs(5)), NextStep::Done);
    // An instance whose registration never succeeded has nothing to deregister.
    let mut unregistered = new_registrar();
    unregistered.set_desired_state(secs(0), DesiredState::Passing);
    unregistered.next_step(secs(0));
    unregistered.on_failure(secs(0), 0.5);
    unregistered.set_desired_state(secs(1), DesiredState::Deregistered);
    assert_eq!(unregistered.next_step(secs(1)), NextStep::Done);
}

/// Guards against hundreds of instances that retry at the same time when their agent returns after an outage.
#[test]
fn failed_requests_are_retried_with_exponential_backoff() {
    let mut registrar = new_registrar();
    registrar.set_desired_state(secs(0), DesiredState::Passing);
    let mut now = Duration::ZERO;
    let mut calls = 0;
    while now < secs(60) {
        match registrar.next_step(now) {
            NextStep::Call(_) => {
                calls += 1;
                registrar.on_failure(now, 1.0);
            }
            NextStep::Wait(until) => now = until,
            NextStep::Done => panic!("retries must not end"),
        }
    }
    assert!((12..=20).contains(&calls), "{calls}");
}

#[test]
fn only_unreserved_characters_are_not_encoded() {
    assert_eq!(percent_encode("a-b_c.d~1"), "a-b_c.d~1");
    assert_eq!(percent_encode("Meta.zone == \"á/b\""), "Meta.zone%20%3D%3D%20%22%C3%A1%2Fb%22");
}
