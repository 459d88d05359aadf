use super::*;

#[test]
fn a_notification_is_parsed_line_by_line_and_unknown_lines_are_ignored() {
    let got = Notification::parse(b"READY=1\nSTATUS=serving on x=y\nX\nMONOTONIC_USEC=5\n", 7);
    assert_eq!(got, Notification { pid: 7, ready: true, status: Some("serving on x=y".into()) });
    let unknown = Notification::parse(b"\xff\xfe=\n=\nREADY=0", 7);
    assert_eq!(unknown, Notification { pid: 7, ..Notification::default() });
}
