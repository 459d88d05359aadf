use super::*;

fn warm_server(cores: f64) -> Server {
    let mut spec = ServerSpec::draw(&mut RandomStream::new(1, "test", 0), 0, false);
    (spec.cores, spec.speed, spec.slots, spec.queue_limit) = (cores, 1.0, 4, 1);
    Server::new(0, spec)
}

/// Processor sharing: two requests on one core take as long as the sum of their work.
#[test]
fn cores_are_shared() {
    let mut server = warm_server(1.0);
    for job in [1, 2] {
        assert_eq!(server.admit(0, job), Admission::InService);
        server.run_on_cpu(0, job, 0.1);
    }
    let completion = server.next_completion(0).expect("work is pending");
    assert!((completion as f64 / 1e6 - 200.0).abs() < 0.01, "{completion}");
    assert_eq!((server.pop_completed(completion), server.pop_completed(completion)), (Some(1), Some(2)));
}

#[test]
fn a_full_server_rejects_and_a_cold_server_is_slow() {
    let mut server = warm_server(2.0);
    let admissions: Vec<Admission> = (0..6).map(|job| server.admit(0, job)).collect();
    assert_eq!(admissions[3..], [Admission::InService, Admission::Queued, Admission::Rejected]);
    assert_eq!(
        (server.complete_request(0), server.requests_held()),
        (Some(4), 4),
        "the next queued request takes the slot"
    );
    server.stop_process(0);
    server.start_process(nanos_from_ms(10.0));
    server.run_on_cpu(nanos_from_ms(10.0), 9, 1e-6);
    let completion =
        server.next_completion(nanos_from_ms(10.0)).expect("work is pending") - nanos_from_ms(10.0);
    assert!(completion as f64 / 1e3 > 1.0 / 0.58, "a cold server is slower than a warm one: {completion}");
}

/// Lasting congestion slows a server, which recovers after it has been idle for long enough.
#[test]
fn congestion_slows_a_server_until_it_has_recovered() {
    let mut server = warm_server(1.0);
    let second = nanos_from_ms(1000.0);
    server.spec.congestion = Some(Congestion {
        threshold: 1.5,
        onset: second,
        slowdown: 2.0,
        recovery: second,
        idle_below: 0.4,
        max_duration: 60 * second,
    });
    for job in [1, 2] {
        server.admit(0, job);
    }
    server.advance(0);
    server.advance(second);
    assert!(server.is_slowed());
    assert_eq!((server.complete_request(second), server.complete_request(second)), (None, None));
    server.advance(second + 1);
    server.advance(2 * second + 2);
    assert!(!server.is_slowed());
}
