use super::*;

fn kind(head: &str) -> String {
    match framing(head.as_bytes()) {
        Ok(FramePosition::Body(n)) => n.to_string(),
        Ok(_) => "lost".into(),
        Err(AmbiguousLength) => "ambiguous".into(),
    }
}

#[test]
fn heads_tell_where_their_body_ends() {
    for (headers, wanted) in [
        ("", "0"),
        ("Content-Length: 12\r\n", "12"),
        ("content-length:\t7 \n", "7"),
        ("Content-Length: -1\r\n", "lost"),
        ("Transfer-Encoding: chunked\r\n", "lost"),
        ("Transfer-Encoding: chunked\r\nX: y\r\nCONTENT-LENGTH: 3\r\n", "ambiguous"),
        ("Content-Length: x\r\nTransfer-Encoding: odd\r\n", "ambiguous"),
        ("Content-Length: 3\r\nContent-Length: 3\r\n", "ambiguous"),
        ("Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n", "ambiguous"),
    ] {
        assert_eq!(kind(&format!("POST /api HTTP/1.1\r\n{headers}\r\n")), wanted, "{headers:?}");
    }
}
