use super::*;
use discovery::endpoint::SourceUpdate;
use discovery::endpoint_set::{EndpointSet, Source};

fn view() -> EndpointCache {
    let list = r#"{"version":7,"full":true,"servers":[{"id":"s-1","addr":"127.0.0.1:9","state":"leaving"}]}"#;
    let answer = discovery::platform::parse_response(list.as_bytes()).expect("good");
    let source = Source { rank: 0, label: "discovery".into() };
    let mut view = EndpointSet::new(true);
    assert!(matches!(answer.update, SourceUpdate::Full(_)));
    view.apply_update(1000.0, &source, answer.update);
    EndpointCache::capture(&view, vec![(source, 7)])
}

#[test]
fn what_goes_along_arrives_as_it_was() {
    let learned =
        LearnedState { capacity: 12.5, peak_admitted: 9.0, unloaded_latency: 80.0, demands: vec![1.0, 0.0] };
    let bytes = TransferredState::new(5, view(), learned.clone()).encode();
    let along = TransferredState::decode(&bytes, 5).expect("for these settings");
    assert_eq!(along.learned(), learned);
    assert_eq!(along.endpoints(2000.0), Some(view()));
}

/// Guards against going by positions that mean something else, by an old list, and against garbage.
#[test]
fn what_is_not_fitting_is_left() {
    let bytes = TransferredState::new(5, view(), LearnedState::default()).encode();
    assert!(TransferredState::decode(&bytes, 6).is_none(), "other settings");
    assert!(TransferredState::decode(&bytes[1..], 5).is_none() && TransferredState::decode(b"", 5).is_none());
    assert_eq!(
        TransferredState::decode(&bytes, 5).and_then(|along| along.endpoints(61_001.0)),
        None,
        "too old"
    );
}
