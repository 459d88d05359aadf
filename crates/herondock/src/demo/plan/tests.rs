use super::*;

#[test]
fn each_event_comes_due_once_and_in_order() {
    let mut plan = Plan::new(Duration::from_secs(10));
    assert_eq!(plan.take_events_until(Duration::from_secs(1)), []);
    assert_eq!(plan.take_events_until(Duration::from_millis(3500)), [Event::Drain, Event::Die]);
    assert_eq!(plan.next(), Some(Duration::from_secs(4)));
    assert_eq!(
        plan.take_events_until(Duration::from_secs(10)),
        [Event::Noticed, Event::Restart, Event::Return]
    );
    assert_eq!((plan.next(), plan.take_events_until(Duration::from_secs(99))), (None, vec![]));
}
