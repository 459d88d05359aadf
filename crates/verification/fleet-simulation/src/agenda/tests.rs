use super::*;

/// Guards against an order that depends on how a heap is built.
#[test]
fn what_is_due_at_once_keeps_its_order() {
    let mut agenda = Agenda::default();
    for (at, what) in [(5, 'd'), (3, 'b'), (3, 'c'), (1, 'a'), (9, 'e')] {
        agenda.at(at, what);
    }
    let order: String = std::iter::from_fn(|| agenda.turn()).collect();
    assert_eq!((order.as_str(), agenda.now()), ("abcde", 9));
}
