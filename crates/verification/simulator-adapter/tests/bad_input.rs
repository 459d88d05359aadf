//! The binary on bad input: a plain message on standard error, a non-zero exit, nothing further on output.
use std::io::Write;
use std::process::{Command, Stdio};

fn run(input: &[u8]) -> (bool, Vec<u8>, String) {
    let mut child = Command::new(env!("CARGO_BIN_EXE_simulator-adapter"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("the binary starts");
    // It may stop reading early: a broken pipe is its right.
    let _ = child.stdin.take().expect("a pipe").write_all(input);
    let out = child.wait_with_output().expect("it ends");
    (out.status.success(), out.stdout, String::from_utf8_lossy(&out.stderr).into_owned())
}

fn frame(records: &[&[u8]], tail: &[u8]) -> Vec<u8> {
    let mut frame = vec![0; 4];
    frame.extend((records.len() as u32).to_be_bytes());
    frame.extend(1000f64.to_be_bytes());
    frame.extend(7u32.to_be_bytes());
    for record in records {
        let mut padded = record.to_vec();
        padded.resize(48, 0);
        frame.extend(padded);
    }
    frame.extend(tail);
    let size = frame.len() as u32;
    frame[..4].copy_from_slice(&size.to_be_bytes());
    frame
}

#[test]
fn an_empty_batch_is_answered_and_the_end_of_input_is_a_clean_exit() {
    let (ok, out, err) = run(&frame(&[], &[]));
    assert!(ok && err.is_empty(), "{err}");
    assert_eq!(out, [0, 0, 0, 12, 0, 0, 0, 0, 0, 0, 0, 7]);
}

#[test]
fn what_is_wrong_is_named_and_nothing_further_is_written() {
    let good = frame(&[], &[]);
    let target: &[u8] = &[10, 0, 3];
    let configure: Vec<u8> = [&[4u8][..], &[0; 8], &[0, 0, 0, 0, 0, 0, 0, 2]].concat();
    let nan = [&[5u8][..], &[0; 17], &f64::NAN.to_be_bytes()].concat();
    let cases: [(Vec<u8>, &str); 10] = [
        ([&good[..], &good[..9]].concat(), "frame 1: input ended"),
        ([&good[..], &[0xff; 8]].concat(), "frame 1: header: stated size"),
        ([&good[..], &frame(&[&[99]], &[])].concat(), "record 0: unknown event code 99"),
        ([&good[..], &frame(&[&[9]], &[])].concat(), "no instance was named"),
        ([&good[..], &frame(&[target, &[2, 3]], &[])].concat(), "table 0: points at a table"),
        ([&good[..], &frame(&[target, &configure], b"{}")].concat(), "settings of instance 3: missing field"),
        ([&good[..], &frame(&[target, &configure], b"{x")].concat(), "settings of instance 3"),
        ([&good[..], &frame(&[target, &nan], &[])].concat(), "frame 1, record 1: deadline reads NaN"),
        (
            [&good[..], &frame(&[&[6, 0, 0, 0, 1, 0, 0, 0, 0, 0, 0, 0, 2]], &[0; 47])].concat(),
            "outside the tail",
        ),
        (
            [&good[..], &frame(&[&[6, 0, 0, 0, 1, 0, 0, 0, 0, 0, 0, 0, 1]], &[9; 24])].concat(),
            "availability 9",
        ),
    ];
    for (input, message) in cases {
        let (ok, out, err) = run(&input);
        assert!(!ok && err.contains(message), "wanted {message:?}, got {err:?}");
        assert!(!err.contains("panicked"), "{err}");
        assert_eq!(out.len(), 12, "only the good frame before it is answered ({message})");
    }
}
