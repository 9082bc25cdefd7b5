//! Checksummed records in a file.
//!
//! A record is its length and its CRC-32 as little-endian `u32`, then the
//! `MessagePack` body. A bad record with nothing good after it is what a crash
//! in the middle of a write leaves: it is cut off. A bad record before a good
//! one was synced once: that is corruption.

use serde::Serialize;
use serde::de::DeserializeOwned;

/// Bytes before a record's body.
const HEAD: usize = 8;
/// Largest body, in bytes.
const MAX: usize = 64 * 1024 * 1024;

/// What a scan of a file found.
#[derive(Debug)]
pub struct Scan<T> {
    /// The records before the first bad one.
    pub records: Vec<T>,
    /// Bytes that they take.
    pub good: usize,
    /// Whether a good record stands after a bad one.
    pub corrupt: bool,
}

/// Appends one record to `out`.
///
/// # Errors
///
/// Returns an error where the record can't be encoded.
///
/// ```
/// use flamingo_log::segment;
///
/// let mut bytes = Vec::new();
/// segment::push(&mut bytes, &1u32).unwrap();
/// segment::push(&mut bytes, &2u32).unwrap();
/// bytes.pop();
/// let scan = segment::scan::<u32>(&bytes);
/// assert_eq!(scan.records, [1]);
/// assert!(!scan.corrupt);
/// ```
pub fn push<T: Serialize>(out: &mut Vec<u8>, record: &T) -> Result<(), rmp_serde::encode::Error> {
    let body = rmp_serde::to_vec(record)?;
    let len = u32::try_from(body.len()).map_err(|_| {
        rmp_serde::encode::Error::Syntax("a record is larger than its length field".to_owned())
    })?;
    out.extend(len.to_le_bytes());
    out.extend(checksum(len, &body).to_le_bytes());
    out.extend(body);
    Ok(())
}

/// Reads the records of a file.
#[must_use]
pub fn scan<T: DeserializeOwned>(bytes: &[u8]) -> Scan<T> {
    let mut records = Vec::new();
    let mut good = 0;
    while let Some(body) = body(&bytes[good..]) {
        let Ok(record) = rmp_serde::from_slice(body) else {
            break;
        };
        records.push(record);
        good += HEAD + body.len();
    }
    let corrupt = good < bytes.len() && later(&bytes[good + 1..]);
    Scan {
        records,
        good,
        corrupt,
    }
}

/// Returns the body of the record at the start of `bytes`, if it is good.
fn body(bytes: &[u8]) -> Option<&[u8]> {
    let len = number(bytes, 0)?;
    let sum = number(bytes, 4)?;
    let size = usize::try_from(len).ok()?;
    if size == 0 || size > MAX {
        return None;
    }
    let body = bytes.get(HEAD..HEAD + size)?;
    (checksum(len, body) == sum).then_some(body)
}

/// Returns whether a good record starts anywhere in `bytes`.
fn later(bytes: &[u8]) -> bool {
    (0..bytes.len()).any(|at| body(&bytes[at..]).is_some())
}

fn number(bytes: &[u8], at: usize) -> Option<u32> {
    let bytes = bytes.get(at..at + 4)?;
    Some(u32::from_le_bytes(bytes.try_into().ok()?))
}

fn checksum(len: u32, body: &[u8]) -> u32 {
    let mut hasher = crc32fast::Hasher::new();
    hasher.update(&len.to_le_bytes());
    hasher.update(body);
    hasher.finalize()
}
