use super::*;

const LIMIT: usize = 192 << 20;

/// Reserves `bytes` bytes again and again while there is room, and returns the reservations.
fn fill(budget: &MemoryBudget, purpose: Purpose, bytes: usize) -> Vec<Reservation> {
    let reserve = || {
        let mut reservation = budget.reservation(purpose);
        reservation.grow_to(bytes).then_some(reservation)
    };
    std::iter::from_fn(reserve).collect()
}

#[test]
fn reservations_end_with_their_owner_and_leave_room_for_answers() {
    const BODY: usize = 64 << 10;
    let budget = MemoryBudget::new(Some(LIMIT));
    let requests = fill(&budget, Purpose::Request, BODY);
    let in_requests = requests.len() * BODY;
    assert!(in_requests <= LIMIT / 2);
    assert!(in_requests > LIMIT / 2 - 9 * BODY, "{in_requests} bytes");
    let answers = fill(&budget, Purpose::Answer, BODY);
    assert!(answers.len() * BODY >= LIMIT / 12 - BODY);
    assert!(in_requests + answers.len() * BODY <= LIMIT / 12 * 7);
    let mut answer = budget.reservation(Purpose::Answer);
    assert!(!answer.grow_to(BODY), "answers have used up their part");
    drop((requests, answers));
    assert!(answer.grow_to(LIMIT / 12 * 7));
    drop(answer);
    assert_eq!(fill(&budget, Purpose::Request, BODY).len() * BODY, in_requests);
}

#[test]
fn small_requests_have_room_after_large_ones_have_none() {
    const LARGE: usize = 128 << 10;
    const SMALL: usize = 4 << 10;
    let budget = MemoryBudget::new(Some(LIMIT));
    let large = fill(&budget, Purpose::Request, LARGE);
    assert!(large.len() * LARGE > LIMIT / 3);
    assert!(fill(&budget, Purpose::Request, SMALL).len() >= 100);
}

#[test]
fn what_can_not_be_refused_is_counted_without_room() {
    let budget = MemoryBudget::new(Some(LIMIT));
    let mut charged = budget.charge(LIMIT);
    assert!(fill(&budget, Purpose::Request, 1).is_empty());
    assert!(fill(&budget, Purpose::Answer, 1).is_empty());
    charged.charge_to(LIMIT / 4);
    assert!(!fill(&budget, Purpose::Request, LIMIT / 64).is_empty());
}

#[test]
fn clients_are_limited_by_memory_only_where_descriptors_allow_more() {
    let (head, read_ahead) = (16 << 10, 4 << 10);
    let max_clients = |limit| MemoryBudget::new(limit).max_clients(head, read_ahead);
    assert_eq!(max_clients(Some(LIMIT)), LIMIT / 3 * 2 / (54 << 10));
    assert!(max_clients(Some(LIMIT)) > 1024);
    // Clients hold a third of the descriptors, and the least memory that the platform gives a balancer is 32 MB.
    assert!(max_clients(Some(32_000_000)) >= 1024 / 3);
    assert_eq!(max_clients(None), usize::MAX);
    assert_eq!(max_clients(Some(0)), MIN_CLIENTS);
}
