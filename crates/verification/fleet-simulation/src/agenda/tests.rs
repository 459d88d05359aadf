use super::*;

/// Guards against an order that depends on the internal layout of the heap.
#[test]
fn events_at_the_same_time_keep_their_insertion_order() {
    let mut agenda = Agenda::default();
    for (at, event) in [(5, 'd'), (3, 'b'), (3, 'c'), (1, 'a'), (9, 'e')] {
        agenda.at(at, event);
    }
    let order: String = std::iter::from_fn(|| agenda.turn()).collect();
    assert_eq!((order.as_str(), agenda.now()), ("abcde", 9));
}
