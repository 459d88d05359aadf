use super::*;

/// Guards against an order that depends on the internal layout of the heap.
#[test]
fn events_at_the_same_time_keep_their_insertion_order() {
    let mut event_queue = EventQueue::default();
    for (at, event) in [(5, 'd'), (3, 'b'), (3, 'c'), (1, 'a'), (9, 'e')] {
        event_queue.schedule_at(at, event);
    }
    let order: String = std::iter::from_fn(|| event_queue.pop_next()).collect();
    assert_eq!((order.as_str(), event_queue.now()), ("abcde", 9));
}
