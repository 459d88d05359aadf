//! Name-value pairs (section 3.4): lengths below 128 in one byte, others in bytes with the highest bit set.
use bytes::{BufMut, Bytes, BytesMut};
use std::fmt;

/// Reason why name-value pairs are invalid.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MalformedPairs {
    /// The input ends in the middle of a pair.
    Truncated,
    /// There are more pairs than allowed.
    TooMany,
}

impl fmt::Display for MalformedPairs {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            MalformedPairs::Truncated => "the params end in the middle of a pair",
            MalformedPairs::TooMany => "there are too many params",
        })
    }
}

/// A name and its value.
pub type Pair = (Bytes, Bytes);

/// Reads the length of a name or value; `None` if the input ends before.
fn read_length(input: &mut Bytes) -> Option<usize> {
    let first = *input.first()?;
    if first < 0x80 {
        drop(input.split_to(1));
        return Some(usize::from(first));
    }
    let bytes: [u8; 4] = input.get(..4)?.try_into().ok()?;
    drop(input.split_to(4));
    usize::try_from(u32::from_be_bytes(bytes) & 0x7fff_ffff).ok()
}

/// Decodes complete name-value pairs; the names and values share the memory of the input.
///
/// # Errors
/// The input ends before the stated length of a pair, or there are more than `max_pairs`.
pub fn read(mut input: Bytes, max_pairs: usize) -> Result<Vec<Pair>, MalformedPairs> {
    let mut pairs = Vec::new();
    while !input.is_empty() {
        if pairs.len() >= max_pairs {
            return Err(MalformedPairs::TooMany);
        }
        let (name, value) = (
            read_length(&mut input).ok_or(MalformedPairs::Truncated)?,
            read_length(&mut input).ok_or(MalformedPairs::Truncated)?,
        );
        // Rejects a false length before any memory of that size is used.
        if name.checked_add(value).is_none_or(|total| total > input.len()) {
            return Err(MalformedPairs::Truncated);
        }
        let name = input.split_to(name);
        pairs.push((name, input.split_to(value)));
    }
    Ok(pairs)
}

/// Number of bytes that decoded pairs hold.
pub fn buffered_bytes(pairs: &[Pair]) -> usize {
    let text: usize = pairs.iter().map(|(name, value)| name.len() + value.len()).sum();
    text + std::mem::size_of_val(pairs)
}

/// Encodes one pair. A pair with a name or value of 2 GiB or more can't be encoded and is left out.
pub fn write(out: &mut BytesMut, name: &[u8], value: &[u8]) {
    let fits = |n: usize| n < 1 << 31;
    if !fits(name.len()) || !fits(value.len()) {
        return;
    }
    for length in [name.len(), value.len()] {
        match u8::try_from(length) {
            Ok(short) if short < 0x80 => out.put_u8(short),
            // Below 2^31: larger lengths were rejected above.
            _ => out.put_u32(u32::try_from(length).unwrap_or(0) | 0x8000_0000),
        }
    }
    out.put_slice(name);
    out.put_slice(value);
}
