use super::OpenRequests;

/// Guards against an answer to an aborted request being delivered to the next request with the same id.
#[tokio::test]
async fn an_answer_belongs_to_its_request_and_not_to_its_id() {
    let mut requests = OpenRequests::default();
    let handle = || tokio::spawn(async {}).abort_handle();
    let first = requests.next_key(1);
    requests.insert(first, handle());
    // The first request is aborted before its answer arrives, and the id is reused.
    requests.abort(1);
    let second = requests.next_key(1);
    requests.insert(second, handle());
    assert!(!requests.remove_answered(first));
    assert!(requests.remove_answered(second) && !requests.remove_answered(second));
}
