//! Known values: hashes must not change between versions.
use hashing::{keyed, stable, Digest};

/// Guards against another hash: upstreams would change their places, and instances of two versions disagree.
#[test]
fn it_is_the_published_one() {
    // From the draft's appendix C.
    for (text, wanted) in
        [("", 0xcbf2_9ce4_8422_2325), ("a", 0xaf63_dc4c_8601_ec8c), ("foobar", 0x8594_4171_f739_67e8)]
    {
        assert_eq!(stable(text.as_bytes()), wanted, "{text:?}");
    }
}

#[test]
fn bit_by_bit_it_is_the_same() {
    let mut digest = Digest::default();
    digest.write_u64(0x0102);
    assert_eq!(digest.finish(), stable(&[2, 1, 0, 0, 0, 0, 0, 0]));
}

/// Guards against another one: instances of two versions would not know each other's marks.
#[test]
fn the_keyed_one_depends_on_both_and_stays() {
    let all = [keyed(b"a", b"x"), keyed(b"b", b"x"), keyed(b"a", b"y"), keyed(b"", b"x")];
    assert!((0..4).all(|k| (0..k).all(|j| all[j] != all[k])));
    // As it was when marks were first written.
    assert_eq!(keyed(b"a", b"x"), 0x7c53ed62c51ebe08);
}
