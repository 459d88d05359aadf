//! Hash functions whose values are the same at every instance, in every version and after every restart.
//!
//! [`stable`] places upstreams on a ring and compares settings, so its values must never change. It must not be
//! used for hash tables whose keys clients choose, since collisions are easily constructed. [`keyed`] is for values that
//! others can see and must not be able to predict.
use std::hash::Hasher;

/// 64-bit FNV-1a hash (draft-eastlake-fnv, section 4).
pub fn stable(bytes: &[u8]) -> u64 {
    let mut hasher = fnv::FnvHasher::default();
    hasher.write(bytes);
    hasher.finish()
}

/// 64-bit SipHash-2-4 (Aumasson and Bernstein, 2012). The key is the 128-bit SipHash of the secret, which may have any
/// length.
pub fn keyed(secret: &[u8], bytes: &[u8]) -> u64 {
    let key = siphasher::sip128::SipHasher24::new().hash(secret).as_bytes();
    siphasher::sip::SipHasher24::new_with_key(&key).hash(bytes)
}

/// Incremental [`stable`] hash.
#[derive(Default)]
pub struct Digest(fnv::FnvHasher);

impl Digest {
    /// Adds the bytes of a number, in little endian.
    pub fn write_u64(&mut self, value: u64) {
        self.0.write(&value.to_le_bytes());
    }

    /// Returns the hash of all bytes that were added.
    pub fn finish(&self) -> u64 {
        self.0.finish()
    }
}
