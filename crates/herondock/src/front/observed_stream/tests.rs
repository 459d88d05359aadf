use super::*;

fn position_after(head: &str) -> String {
    match framing(head.as_bytes()) {
        Ok(FramePosition::Body(n)) => n.to_string(),
        Ok(_) => "untracked".into(),
        Err(AmbiguousLength) => "ambiguous".into(),
    }
}

#[test]
fn heads_determine_the_end_of_their_body() {
    for (headers, expected) in [
        ("", "0"),
        ("Content-Length: 12\r\n", "12"),
        ("content-length:\t7 \n", "7"),
        ("Content-Length: -1\r\n", "untracked"),
        ("Transfer-Encoding: chunked\r\n", "untracked"),
        ("Transfer-Encoding: chunked\r\nX: y\r\nCONTENT-LENGTH: 3\r\n", "ambiguous"),
        ("Content-Length: x\r\nTransfer-Encoding: odd\r\n", "ambiguous"),
        ("Content-Length: 3\r\nContent-Length: 3\r\n", "ambiguous"),
        ("Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n", "ambiguous"),
    ] {
        assert_eq!(position_after(&format!("POST /api HTTP/1.1\r\n{headers}\r\n")), expected, "{headers:?}");
    }
}
