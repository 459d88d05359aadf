use super::*;

const LIMIT: usize = 192 << 20;

#[test]
fn reservations_end_with_their_owner_and_leave_room_for_answers() {
    let budget = MemoryBudget::new(Some(LIMIT));
    let mut request = budget.reservation(Purpose::Request);
    assert!(request.grow_to(LIMIT / 4));
    assert!(!budget.reservation(Purpose::Request).grow_to(1 << 10), "requests have used up their part");
    let mut answer = budget.reservation(Purpose::Answer);
    assert!(answer.grow_to(LIMIT / 3 - LIMIT / 4));
    assert!(!answer.grow_to(LIMIT / 3 - LIMIT / 4 + 1));
    drop(request);
    assert!(answer.grow_to(LIMIT / 3));
    drop(answer);
    assert!(budget.reservation(Purpose::Request).grow_to(LIMIT / 4));
}

#[test]
fn clients_are_limited_by_memory_only_where_descriptors_allow_more() {
    let head = 16 << 10;
    assert_eq!(MemoryBudget::new(Some(LIMIT)).max_clients(head), LIMIT / 3 / (48 << 10));
    assert!(MemoryBudget::new(Some(LIMIT)).max_clients(head) > 1024);
    assert_eq!(MemoryBudget::new(None).max_clients(head), usize::MAX);
    assert_eq!(MemoryBudget::new(Some(0)).max_clients(head), MIN_CLIENTS);
}
