//! A key's pool among several: weighted rendezvous hashing (Schindelhauer and Schomaker, 2005). When one pool's part grows,
//! keys move to it only, and no more than its part grows by.

/// What parts sum to.
pub const TOTAL_WEIGHT: u32 = 10_000;

/// The place of a key's pool among these, each with its name and part; `None`: all parts are 0.
pub fn choose<'a>(pools: impl Iterator<Item = (&'a str, u32)>, key: &[u8]) -> Option<usize> {
    let mut best: Option<(usize, f64)> = None;
    for (k, (name, part)) in pools.enumerate().filter(|(_, (_, part))| *part > 0) {
        let mut bytes = Vec::with_capacity(name.len() + key.len() + 1);
        bytes.extend_from_slice(name.as_bytes());
        bytes.push(0);
        bytes.extend_from_slice(key);
        // FNV's upper bits hardly depend on the last bytes: mixed (Stafford's variant 13 of MurmurHash3's end).
        let mut h = hashing::stable(&bytes);
        h = (h ^ (h >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        h = (h ^ (h >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        h ^= h >> 31;
        // Between 0 and 1, neither of them.
        let unit = ((h >> 11) as f64 + 0.5) / (1u64 << 53) as f64;
        let score = -f64::from(part) / unit.ln();
        if best.is_none_or(|(_, most)| score > most) {
            best = Some((k, score));
        }
    }
    best.map(|(k, _)| k)
}
