//! Tests of the watcher.
use super::*;

/// Guards against a judge that counts two as out at one time of which one came back before the other went, and one that
/// does not see two that overlap.
#[test]
fn only_what_certainly_overlaps_counts() {
    let ms = Duration::from_millis;
    let mut seen = Observation::default();
    seen.note("a", ms(0), ms(1), false);
    seen.note("a", ms(10), ms(11), false);
    seen.note("b", ms(11), ms(12), false);
    seen.note("a", ms(12), ms(13), true);
    seen.note("b", ms(20), ms(21), false);
    let spans: Vec<&Span> = seen.spans.iter().chain(seen.open.values()).collect();
    assert_eq!(worst(&spans).len(), 1);
    seen.note("c", ms(14), ms(15), false);
    seen.note("c", ms(18), ms(19), false);
    let spans: Vec<&Span> = seen.spans.iter().chain(seen.open.values()).collect();
    assert_eq!(worst(&spans), ["b", "c"]);
    seen.excused.insert("d".into());
    seen.note("d", ms(14), ms(15), false);
    assert!(!seen.open.contains_key("d"));
}
