//! Compatibility of the coordination service with earlier builds: journals that an earlier build wrote, and frames that it
//! exchanged with a client.
//!
//! The fixtures were recorded from a single voter of a build before the crates were renamed:
//!
//! - `journal`: the voter's journal, written under about 2,150 transactions until the log had been compacted twice, and taken
//!   after a kill. It begins with a snapshot; log entries follow.
//! - `journal-torn-record`: the same journal without its last seven bytes, as a crash in the middle of a write leaves it.
//! - `frames.txt`: one connection to a voter that was started with `journal`. Each line is one frame, with the side that sent
//!   it and its bytes in hexadecimal, length prefix included.
mod common;
use common::program;
use std::io::{Read, Write};
use std::net::TcpStream;
use std::path::Path;
use testkit::coordination::{is_committed, Voters, TICK};
use testkit::TEST_TIMEOUT;

const FRAMES: &str = include_str!("fixtures/coordination/frames.txt");
/// Address of the voter that was recorded.
const RECORDED_ADDRESS: &str = "127.0.0.1:17801";
/// Keys in the recorded journal, without those of its last transaction.
const KEYS_BEFORE_LAST: [(&str, &str); 6] = [
    ("after/snapshot", "kept"),
    ("before/ephemeral", "of the session"),
    ("before/overwritten", "second"),
    ("before/snapshot", "kept"),
    ("counter", "last"),
    ("pad", "11"),
];
/// The key that the last transaction of the recorded journal wrote.
const LAST_KEY: (&str, &str) = ("after/last", "written last");

/// Starts a voter with a copy of this journal.
fn start_voter_with_journal(journal: &str) -> Voters {
    let mut voters = Voters::prepare(&program(), 1, TICK);
    let folder = voters.machines[0].disk().to_path_buf();
    std::fs::create_dir_all(&folder).expect("creates the folder");
    let fixture = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/fixtures/coordination").join(journal);
    std::fs::copy(fixture, folder.join("journal")).expect("copies the fixture");
    voters.machines[0].start();
    // Answered once the voter leads and has applied its log.
    assert_eq!(voters.get("pad").as_deref(), Some("11"));
    voters
}

fn owned(keys: &[(&str, &str)]) -> Vec<(String, String)> {
    keys.iter().map(|(key, value)| (key.to_string(), value.to_string())).collect()
}

/// Guards against a change of the stored form: of a record, the snapshot, the log entries or the identity of a voter.
#[test]
fn a_journal_of_an_earlier_build_is_served() {
    let mut voters = start_voter_with_journal("journal");
    let mut expected = owned(&KEYS_BEFORE_LAST);
    expected.extend(owned(&[LAST_KEY]));
    expected.sort();
    assert_eq!(voters.list(""), expected);
    let output = voters.command(&["get", "--key", "after/last"]);
    assert_eq!(String::from_utf8_lossy(&output.stdout), "written last\n", "{output:?}");
    // The voter accepts further writes and still has them after a restart.
    assert!(is_committed(&voters.put("new", "1")));
    voters.machines[0].kill();
    voters.machines[0].start();
    assert_eq!(voters.get("new").as_deref(), Some("1"));
    assert_eq!(voters.get(LAST_KEY.0).as_deref(), Some(LAST_KEY.1));
}

/// Guards against a voter that rejects or misreads the journal that a crash of an earlier build left: all records but the torn
/// one are kept.
#[test]
fn a_torn_last_record_of_an_earlier_build_is_dropped() {
    let mut voters = start_voter_with_journal("journal-torn-record");
    assert_eq!(voters.list(""), owned(&KEYS_BEFORE_LAST));
    assert!(is_committed(&voters.put("new", "1")));
    voters.machines[0].kill();
    voters.machines[0].start();
    assert_eq!(voters.get("new").as_deref(), Some("1"));
    assert_eq!(voters.get(LAST_KEY.0), None);
}

fn decode_hex(hex: &str) -> Vec<u8> {
    let digits: Vec<u32> =
        hex.chars().map(|digit| digit.to_digit(16).expect("a hexadecimal digit")).collect();
    digits.chunks(2).map(|pair| (pair[0] * 16 + pair[1]) as u8).collect()
}

fn encode_frame(payload: &str) -> Vec<u8> {
    let mut frame = (payload.len() as u32).to_le_bytes().to_vec();
    frame.extend_from_slice(payload.as_bytes());
    frame
}

/// Replaces the address of the recorded voter in a frame.
fn with_address(frame: Vec<u8>, address: &str) -> Vec<u8> {
    let payload = String::from_utf8(frame[4..].to_vec()).expect("text");
    encode_frame(&payload.replace(RECORDED_ADDRESS, address))
}

fn read_frame(stream: &mut TcpStream) -> Vec<u8> {
    let mut frame = vec![0; 4];
    stream.read_exact(&mut frame).expect("a length");
    let length = u32::from_le_bytes([frame[0], frame[1], frame[2], frame[3]]) as usize;
    frame.resize(4 + length, 0);
    stream.read_exact(&mut frame[4..]).expect("the frame");
    frame
}

/// Guards against a change of framing, handshake, calls or replies: a client of an earlier build gets, byte for byte, the
/// answers that it got then.
#[test]
fn recorded_calls_of_an_earlier_build_get_the_recorded_replies() {
    let voters = start_voter_with_journal("journal");
    let own_address = voters.addrs[0].to_string();
    let mut stream = TcpStream::connect(voters.listen_addrs[0]).expect("connects");
    stream.set_read_timeout(Some(TEST_TIMEOUT)).expect("a timeout");
    let mut handshaken = false;
    for (number, line) in FRAMES.lines().enumerate() {
        let (side, hex) = line.split_once(' ').expect("a side and its bytes");
        let recorded = decode_hex(hex);
        if side == "client" {
            stream.write_all(&recorded).expect("writes");
            continue;
        }
        // The handshake names the voter's own address; later replies name the one in the journal.
        let expected = if handshaken { recorded } else { with_address(recorded, &own_address) };
        handshaken = true;
        let text = |frame: &[u8]| String::from_utf8_lossy(&frame[4..]).into_owned();
        let received = read_frame(&mut stream);
        assert_eq!(text(&received), text(&expected), "line {}", number + 1);
        assert_eq!(received, expected, "line {}", number + 1);
    }
}
