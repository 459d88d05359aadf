//! The configuration file of a voter.
use config::coordination::parse;
use std::time::Duration;

const GOOD: &str = "[council]\nname = \"c1\"\nfolder = \"c1\"\ntick = \"50ms\"\n\
    [[voter]]\nname = \"c1\"\naddr = \"127.0.0.1:7801\"\n[[voter]]\nname = \"c2\"\naddr = \"127.0.0.1:7802\"\n";

#[test]
fn a_whole_file_is_read() {
    let council = parse(GOOD.as_bytes()).expect("good");
    assert_eq!((council.voters.len(), council.clients), (2, 1024));
    assert_eq!((council.tick, council.listen().port()), (Duration::from_millis(50), 7801));
}

#[test]
fn what_is_wrong_is_named_with_its_place() {
    for (from, to, wanted) in [
        ("name = \"c1\"\nfolder", "name = \"c9\"\nfolder", "2:8: council.name: \"c9\" is none of the voters"),
        ("tick = \"50ms\"", "tick = \"1ms\"", "4:8: council.tick: "),
        ("tick = \"50ms\"", "clients = 0", "4:11: council.clients: "),
        ("127.0.0.1:7802", "127.0.0.1:7801", "10:8: voter[1].addr: is the address of \"c1\" too"),
        ("127.0.0.1:7802", "here", "10:8: voter[1].addr: \"here\" is no address"),
        ("name = \"c2\"", "name = \"c1\"", "9:8: voter[1].name: another voter"),
        ("[[voter]]", "[[voters]]", "voters"),
    ] {
        let text = GOOD.replacen(from, to, 1);
        let error = parse(text.as_bytes()).expect_err(to).to_string();
        assert!(error.contains(wanted), "{error}");
    }
}
