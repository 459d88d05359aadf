use super::*;
use discovery::endpoint::SourceUpdate;
use discovery::endpoint_set::{EndpointSet, Source};

fn endpoint_cache() -> EndpointCache {
    let list = r#"{"version":7,"full":true,"servers":[{"id":"s-1","addr":"127.0.0.1:9","state":"leaving"}]}"#;
    let response = discovery::platform::parse_response(list.as_bytes()).expect("valid response");
    let source = Source { rank: 0, label: "discovery".into() };
    let mut endpoints = EndpointSet::new(true);
    assert!(matches!(response.update, SourceUpdate::Full(_)));
    endpoints.apply_update(1000.0, &source, response.update);
    EndpointCache::capture(&endpoints, vec![(source, 7)])
}

#[test]
fn decoded_state_equals_the_encoded_state() {
    let learned =
        LearnedState { capacity: 12.5, peak_admitted: 9.0, unloaded_latency: 80.0, demands: vec![1.0, 0.0] };
    let bytes = TransferredState::new(5, endpoint_cache(), learned.clone()).encode();
    let state = TransferredState::decode(&bytes, 5).expect("for these settings");
    assert_eq!(state.learned(), learned);
    assert_eq!(state.endpoints(2000.0), Some(endpoint_cache()));
}

/// Guards against using class positions of other settings, an outdated endpoint list, or malformed bytes.
#[test]
fn state_of_other_settings_stale_or_malformed_state_is_rejected() {
    let bytes = TransferredState::new(5, endpoint_cache(), LearnedState::default()).encode();
    assert!(TransferredState::decode(&bytes, 6).is_none(), "other settings");
    assert!(TransferredState::decode(&bytes[1..], 5).is_none() && TransferredState::decode(b"", 5).is_none());
    assert_eq!(
        TransferredState::decode(&bytes, 5).and_then(|state| state.endpoints(61_001.0)),
        None,
        "too old"
    );
}
