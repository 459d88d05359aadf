use super::*;
use std::time::Duration;

#[test]
fn fields_keep_their_order_and_duplicates() {
    let given = [("a", &b"1"[..]), ("long-name", b""), ("a", b"2 3")];
    let fields = Fields::new(given.iter().copied());
    let got: Vec<_> = fields.iter().map(|(n, v)| (n.to_vec(), v.to_vec())).collect();
    let wanted: Vec<_> = given.iter().map(|(n, v)| (n.as_bytes().to_vec(), v.to_vec())).collect();
    assert_eq!((got, fields.len()), (wanted, 3));
}

/// Guards against a later drain notification extending the time that the first one gave an upstream.
#[test]
fn a_gate_keeps_its_earliest_closing_time() {
    let (gate, now) = (DrainGate::default(), Instant::now());
    let later = now + Duration::from_secs(1);
    gate.close_at(later);
    gate.close_at(later + Duration::from_secs(9));
    assert!(!gate.closed(now) && gate.closed(later));
    gate.open();
    assert!(!gate.closed(later));
}
