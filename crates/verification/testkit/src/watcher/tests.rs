//! Tests of the watcher.
use super::*;

/// Guards against counting two outages as simultaneous when one ended before the other began, and against
/// missing two that overlap.
#[test]
fn counts_only_outages_that_certainly_overlap() {
    let ms = Duration::from_millis;
    let mut observation = Observation::default();
    observation.record_sample("a", ms(0), ms(1), false);
    observation.record_sample("a", ms(10), ms(11), false);
    observation.record_sample("b", ms(11), ms(12), false);
    observation.record_sample("a", ms(12), ms(13), true);
    observation.record_sample("b", ms(20), ms(21), false);
    let ended: Vec<&Outage> = observation.ended.iter().chain(observation.ongoing.values()).collect();
    assert_eq!(largest_overlap(&ended).len(), 1);
    observation.record_sample("c", ms(14), ms(15), false);
    observation.record_sample("c", ms(18), ms(19), false);
    let ended: Vec<&Outage> = observation.ended.iter().chain(observation.ongoing.values()).collect();
    assert_eq!(largest_overlap(&ended), ["b", "c"]);
    observation.excluded.insert("d".into());
    observation.record_sample("d", ms(14), ms(15), false);
    assert!(!observation.ongoing.contains_key("d"));
}
