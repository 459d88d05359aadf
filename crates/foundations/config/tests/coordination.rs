//! Tests of the configuration file of a voter.
use config::coordination::parse;
use std::time::Duration;

const GOOD: &str = "[council]\nname = \"c1\"\nfolder = \"c1\"\ntick = \"50ms\"\n\
    [[voter]]\nname = \"c1\"\naddr = \"127.0.0.1:7801\"\n[[voter]]\nname = \"c2\"\naddr = \"127.0.0.1:7802\"\n";

#[test]
fn a_complete_file_is_read() {
    let config = parse(GOOD.as_bytes()).expect("good");
    assert_eq!((config.voters.len(), config.clients), (2, 1024));
    assert_eq!((config.tick, config.listen().port()), (Duration::from_millis(50), 7801));
}

#[test]
fn faults_are_reported_with_their_position() {
    for (from, to, wanted) in [
        (
            "name = \"c1\"\nfolder",
            "name = \"c9\"\nfolder",
            "2:8: council.name: \"c9\" is not one of the voters",
        ),
        ("tick = \"50ms\"", "tick = \"1ms\"", "4:8: council.tick: "),
        ("tick = \"50ms\"", "clients = 0", "4:11: council.clients: "),
        ("127.0.0.1:7802", "127.0.0.1:7801", "10:8: voter[1].addr: is also the address of \"c1\""),
        ("127.0.0.1:7802", "here", "10:8: voter[1].addr: \"here\" is not an address"),
        ("name = \"c2\"", "name = \"c1\"", "9:8: voter[1].name: another voter"),
        ("[[voter]]", "[[voters]]", "voters"),
    ] {
        let text = GOOD.replacen(from, to, 1);
        let error = parse(text.as_bytes()).expect_err(to).to_string();
        assert!(error.contains(wanted), "{error}");
    }
}
