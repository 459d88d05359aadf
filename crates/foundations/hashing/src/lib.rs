//! The one hash that has to be the same at every instance, in every version and after every restart: what is spread by
//! it (upstreams over a ring, settings told apart) must not move when a program is built anew. [`stable`] is not for tables
//! that callers fill: it is easily made to collide on purpose. [`keyed`] is for what outsiders see and must not guess.
use std::hash::Hasher;

/// The FNV-1a hash of 64 bits (draft-eastlake-fnv, section 4) of these bytes.
pub fn stable(bytes: &[u8]) -> u64 {
    let mut hasher = fnv::FnvHasher::default();
    hasher.write(bytes);
    hasher.finish()
}

/// The SipHash-2-4 of 64 bits (Aumasson and Bernstein, 2012) of these bytes under this secret, whatever its length: its
/// key is the secret's own hash of 128 bits.
pub fn keyed(secret: &[u8], bytes: &[u8]) -> u64 {
    let key = siphasher::sip128::SipHasher24::new().hash(secret).as_bytes();
    siphasher::sip::SipHasher24::new_with_key(&key).hash(bytes)
}

/// [`stable`] over what comes bit by bit.
#[derive(Default)]
pub struct Digest(fnv::FnvHasher);

impl Digest {
    /// Takes a number, in the same order of bytes on every machine.
    pub fn number(&mut self, n: u64) {
        self.0.write(&n.to_le_bytes());
    }

    /// The hash of all so far.
    pub fn value(&self) -> u64 {
        self.0.finish()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

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
        digest.number(0x0102);
        assert_eq!(digest.value(), stable(&[2, 1, 0, 0, 0, 0, 0, 0]));
    }

    /// Guards against another one: instances of two versions would not know each other's marks.
    #[test]
    fn the_keyed_one_depends_on_both_and_stays() {
        let all = [keyed(b"a", b"x"), keyed(b"b", b"x"), keyed(b"a", b"y"), keyed(b"", b"x")];
        assert!((0..4).all(|k| (0..k).all(|j| all[j] != all[k])));
        // As it was when marks were first written.
        assert_eq!(keyed(b"a", b"x"), 0x7c53ed62c51ebe08);
    }
}
