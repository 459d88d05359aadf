use super::*;

#[test]
fn ids_of_abandoned_requests_are_bounded_in_number_and_time() {
    let (mut ids, start) = (RequestIds::default(), Instant::now());
    let id = |n: usize| Bytes::from(format!("r{n:015}"));
    let capacity = MAX_ABANDONED_BYTES / (ENTRY_BYTES + 16);
    for n in 0..=capacity {
        assert!(ids.claim(&id(n), start));
        ids.retain_abandoned(id(n), start);
    }
    assert_eq!((ids.abandoned.len(), ids.in_use.len()), (capacity, capacity));
    assert!(!ids.claim(&id(1), start), "only the oldest one was dropped");
    assert!(ids.claim(&id(1), start + ABANDONED_RETENTION));
    assert_eq!((ids.abandoned.len(), ids.in_use.len()), (0, 1));
}
