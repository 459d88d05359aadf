//! Tests of the watcher.
use super::*;

/// Guards against counting two outages as simultaneous when one ended before the other began, and against
/// missing two that overlap.
#[test]
fn counts_only_outages_that_certainly_overlap() {
    let ms = Duration::from_millis;
    let mut seen = Observation::default();
    seen.record_sample("a", ms(0), ms(1), false);
    seen.record_sample("a", ms(10), ms(11), false);
    seen.record_sample("b", ms(11), ms(12), false);
    seen.record_sample("a", ms(12), ms(13), true);
    seen.record_sample("b", ms(20), ms(21), false);
    let ended: Vec<&Outage> = seen.ended.iter().chain(seen.open.values()).collect();
    assert_eq!(largest_overlap(&ended).len(), 1);
    seen.record_sample("c", ms(14), ms(15), false);
    seen.record_sample("c", ms(18), ms(19), false);
    let ended: Vec<&Outage> = seen.ended.iter().chain(seen.open.values()).collect();
    assert_eq!(largest_overlap(&ended), ["b", "c"]);
    seen.excluded.insert("d".into());
    seen.record_sample("d", ms(14), ms(15), false);
    assert!(!seen.open.contains_key("d"));
}
