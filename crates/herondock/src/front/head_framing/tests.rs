use super::*;

/// Framing of a head that arrives in pieces of this size.
fn framing_of(head: &str, piece_bytes: usize) -> Option<BodyFraming> {
    let mut framing = HeadFraming::default();
    let mut result = None;
    for piece in head.as_bytes().chunks(piece_bytes) {
        for line in piece.split_inclusive(|&b| b == b'\n') {
            assert_eq!(result, None, "bytes behind the end of the head");
            result = framing.receive(line);
        }
    }
    assert_eq!(framing.received(), head.len());
    result
}

#[test]
fn heads_determine_the_end_of_their_body() {
    let long = "x".repeat(300);
    for (headers, expected) in [
        ("", BodyFraming::Length(0)),
        ("Content-Length: 12\r\n", BodyFraming::Length(12)),
        ("content-length:\t7 \n", BodyFraming::Length(7)),
        ("Content-Length: -1\r\n", BodyFraming::Untracked),
        ("Transfer-Encoding: chunked\r\n", BodyFraming::Untracked),
        ("Transfer-Encoding: chunked\r\nX: y\r\nCONTENT-LENGTH: 3\r\n", BodyFraming::Ambiguous),
        ("Content-Length: x\r\nTransfer-Encoding: odd\r\n", BodyFraming::Ambiguous),
        ("Content-Length: 3\r\nContent-Length: 3\r\n", BodyFraming::Ambiguous),
        ("Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n", BodyFraming::Ambiguous),
        (&format!("X: {long}\r\nContent-Length: 5\r\n"), BodyFraming::Length(5)),
        (&format!("Content-Length: {}5\r\n", "0".repeat(300)), BodyFraming::Untracked),
        (&format!("{long}\r\n"), BodyFraming::Length(0)),
    ] {
        let head = format!("POST /api HTTP/1.1\r\n{headers}\r\n");
        for piece_bytes in [1, 2, 3, 64, head.len()] {
            assert_eq!(framing_of(&head, piece_bytes), Some(expected), "{headers:?}, {piece_bytes}");
        }
        assert_eq!(framing_of(&head[..head.len() - 1], head.len()), None, "{headers:?}, incomplete");
    }
}
