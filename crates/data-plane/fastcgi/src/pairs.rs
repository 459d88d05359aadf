//! Name-value pairs (section 3.4): lengths below 128 in one byte, others in four with the highest bit set.
use bytes::{BufMut, Bytes, BytesMut};
use std::fmt;

/// Why pairs can't be read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MalformedPairs {
    /// They end in the middle of one.
    Short,
    /// There are more than may be.
    Many,
}

impl fmt::Display for MalformedPairs {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            MalformedPairs::Short => "the params end in the middle of a pair",
            MalformedPairs::Many => "there are too many params",
        })
    }
}

/// A name and its value.
pub type Pair = (Bytes, Bytes);

fn length(from: &mut Bytes) -> Option<usize> {
    let first = *from.first()?;
    if first < 0x80 {
        drop(from.split_to(1));
        return Some(usize::from(first));
    }
    let four: [u8; 4] = from.get(..4)?.try_into().ok()?;
    drop(from.split_to(4));
    usize::try_from(u32::from_be_bytes(four) & 0x7fff_ffff).ok()
}

/// Reads pairs that have come whole; names and values share their bytes.
///
/// # Errors
/// They are cut short, whatever length one of them states, or there are more than `most`.
pub fn read(mut from: Bytes, most: usize) -> Result<Vec<Pair>, MalformedPairs> {
    let mut pairs = Vec::new();
    while !from.is_empty() {
        if pairs.len() >= most {
            return Err(MalformedPairs::Many);
        }
        let (name, value) = (
            length(&mut from).ok_or(MalformedPairs::Short)?,
            length(&mut from).ok_or(MalformedPairs::Short)?,
        );
        // A length that lies is found here, before anything of its size is touched.
        if name.checked_add(value).is_none_or(|both| both > from.len()) {
            return Err(MalformedPairs::Short);
        }
        let name = from.split_to(name);
        pairs.push((name, from.split_to(value)));
    }
    Ok(pairs)
}

/// Writes one pair. Names and values of 2 GiB and more can't be written and are left out.
pub fn write(out: &mut BytesMut, name: &[u8], value: &[u8]) {
    let fits = |n: usize| n < 1 << 31;
    if !fits(name.len()) || !fits(value.len()) {
        return;
    }
    for n in [name.len(), value.len()] {
        match u8::try_from(n) {
            Ok(short) if short < 0x80 => out.put_u8(short),
            // Below 2^31, by the look before.
            _ => out.put_u32(u32::try_from(n).unwrap_or(0) | 0x8000_0000),
        }
    }
    out.put_slice(name);
    out.put_slice(value);
}
