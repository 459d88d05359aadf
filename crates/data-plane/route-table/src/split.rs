//! Weighted rendezvous hashing (Schindelhauer and Schomaker, 2005), which chooses a pool for a key. If the weight of one
//! pool grows, keys move only to that pool, in proportion to the growth.

/// Sum of the weights of a split.
pub const TOTAL_WEIGHT: u32 = 10_000;

/// Returns the position of the key's pool among `pools`, which are pairs of name and weight; `None` if all weights are 0.
pub fn choose<'a>(pools: impl Iterator<Item = (&'a str, u32)>, key: &[u8]) -> Option<usize> {
    let mut best: Option<(usize, f64)> = None;
    for (index, (name, weight)) in pools.enumerate().filter(|(_, (_, weight))| *weight > 0) {
        let mut bytes = Vec::with_capacity(name.len() + key.len() + 1);
        bytes.extend_from_slice(name.as_bytes());
        bytes.push(0);
        bytes.extend_from_slice(key);
        // The upper bits of FNV hardly depend on the last bytes, so the hash is mixed with the finalizer of MurmurHash3 in
        // Stafford's variant 13.
        let mut hash = hashing::stable(&bytes);
        hash = (hash ^ (hash >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        hash = (hash ^ (hash >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        hash ^= hash >> 31;
        // Uniform between 0 and 1, both exclusive.
        let unit = ((hash >> 11) as f64 + 0.5) / (1u64 << 53) as f64;
        let score = -f64::from(weight) / unit.ln();
        if best.is_none_or(|(_, best_score)| score > best_score) {
            best = Some((index, score));
        }
    }
    best.map(|(index, _)| index)
}
