use super::*;

fn plain(cores: f64) -> Server {
    let mut build = Build::draw(&mut Draws::new(1, "test", 0), 0, false);
    (build.cores, build.speed, build.slots, build.line) = (cores, 1.0, 4, 1);
    Server::new(0, build)
}

/// Processor sharing: two requests on one core take as long as their work together.
#[test]
fn cores_are_shared() {
    let mut server = plain(1.0);
    for job in [1, 2] {
        assert_eq!(server.take(0, job), Place::Work);
        server.works(0, job, 0.1);
    }
    let wake = server.wake(0).expect("it works");
    assert!((wake as f64 / 1e6 - 200.0).abs() < 0.01, "{wake}");
    assert_eq!((server.through(wake), server.through(wake)), (Some(1), Some(2)));
}

#[test]
fn a_full_one_turns_away_and_a_cold_one_is_slow() {
    let mut server = plain(2.0);
    let places: Vec<Place> = (0..6).map(|job| server.take(0, job)).collect();
    assert_eq!(places[3..], [Place::Work, Place::Line, Place::None]);
    assert_eq!((server.complete_request(0), server.requests()), (Some(4), 4), "the line moves up");
    server.ends(0);
    server.starts(ms(10.0));
    server.works(ms(10.0), 9, 1e-6);
    let wake = server.wake(ms(10.0)).expect("it works") - ms(10.0);
    assert!(wake as f64 / 1e3 > 1.0 / 0.58, "colder than warm: {wake}");
}

/// Crowded for long it is slowed, and comes back once it has rested.
#[test]
fn a_crowd_slows_until_it_has_rested() {
    let mut server = plain(1.0);
    let second = ms(1000.0);
    server.build.crowd =
        Some(Crowd { from: 1.5, over: second, slower: 2.0, rest: second, below: 0.4, most: 60 * second });
    for job in [1, 2] {
        server.take(0, job);
    }
    server.reckon(0);
    server.reckon(second);
    assert!(server.slowed());
    assert_eq!((server.complete_request(second), server.complete_request(second)), (None, None));
    server.reckon(second + 1);
    server.reckon(2 * second + 2);
    assert!(!server.slowed());
}
