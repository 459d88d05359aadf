use super::*;
use std::cell::Cell;

#[test]
fn params_are_those_that_a_responder_expects() {
    let fields = [("x-a", &b"1"[..]), ("x-a", b"2"), ("proxy", b"evil"), ("content-type", b"text/x")];
    let request = Request {
        id: None,
        method: Method::Post,
        target: "/dues/pay.php?club=1".into(),
        fields: Fields::new(fields.into_iter()),
        body: Bytes::from_static(b"body"),
        budget: None,
        max_attempts: None,
        client: None,
        group_uncertain: Cell::new(false),
        finished: Cell::new(false),
    };
    let declared = Params(vec![("SCRIPT_FILENAME".into(), "/srv{path}".into())]);
    let params = request_params(&request, &declared, [("req-deadline", "5u".into())].into_iter());
    let get = |name: &str| {
        let found = params.iter().find(|(n, _)| n == name.as_bytes());
        found.map(|(_, v)| String::from_utf8_lossy(v).into_owned())
    };
    for (name, wanted) in [
        ("REQUEST_METHOD", "POST"),
        ("QUERY_STRING", "club=1"),
        ("SCRIPT_NAME", "/dues/pay.php"),
        ("SCRIPT_FILENAME", "/srv/dues/pay.php"),
        ("CONTENT_LENGTH", "4"),
        ("CONTENT_TYPE", "text/x"),
        ("HTTP_X_A", "1, 2"),
        ("HTTP_REQ_DEADLINE", "5u"),
    ] {
        assert_eq!(get(name).as_deref(), Some(wanted), "{name}");
    }
    assert_eq!(get("HTTP_PROXY"), None);
}
