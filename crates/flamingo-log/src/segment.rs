//! Checksummed records in a file.
//!
//! A record is its length and its CRC-32, each a little-endian `u32`, then the
//! `MessagePack` body. A crash in the middle of a write leaves a bad record with no valid
//! record after it; such a tail is cut off. A bad record that precedes a valid one was
//! synced once, so the file is corrupt.

use serde::Serialize;
use serde::de::DeserializeOwned;

/// Size of the length and checksum before a record's body, in bytes.
const HEADER_BYTES: usize = 8;
/// Largest body of a record, in bytes; a greater length means a bad record.
const MAX_BODY_BYTES: usize = 64 * 1024 * 1024;

/// Result of reading a file.
#[derive(Debug)]
pub struct Scan<T> {
    /// Records before the first bad one.
    pub records: Vec<T>,
    /// Number of bytes that these records take.
    pub valid_bytes: usize,
    /// Whether a valid record stands after a bad one.
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

/// Reads the records of a file up to the first bad one.
#[must_use]
pub fn scan<T: DeserializeOwned>(bytes: &[u8]) -> Scan<T> {
    let mut records = Vec::new();
    let mut valid_bytes = 0;
    while let Some(body) = body(&bytes[valid_bytes..]) {
        let Ok(record) = rmp_serde::from_slice(body) else {
            break;
        };
        records.push(record);
        valid_bytes += HEADER_BYTES + body.len();
    }
    let corrupt = valid_bytes < bytes.len() && has_valid_record(&bytes[valid_bytes + 1..]);
    Scan {
        records,
        valid_bytes,
        corrupt,
    }
}

/// Returns the body of the record at the start of `bytes`; `None` where it is bad or
/// incomplete.
fn body(bytes: &[u8]) -> Option<&[u8]> {
    let len = read_u32(bytes, 0)?;
    let expected_checksum = read_u32(bytes, 4)?;
    let size = usize::try_from(len).ok()?;
    if size == 0 || size > MAX_BODY_BYTES {
        return None;
    }
    let body = bytes.get(HEADER_BYTES..HEADER_BYTES + size)?;
    (checksum(len, body) == expected_checksum).then_some(body)
}

/// Returns whether a valid record starts at any offset of `bytes`.
fn has_valid_record(bytes: &[u8]) -> bool {
    (0..bytes.len()).any(|at| body(&bytes[at..]).is_some())
}

fn read_u32(bytes: &[u8], at: usize) -> Option<u32> {
    let bytes = bytes.get(at..at + 4)?;
    Some(u32::from_le_bytes(bytes.try_into().ok()?))
}

fn checksum(len: u32, body: &[u8]) -> u32 {
    let mut hasher = crc32fast::Hasher::new();
    hasher.update(&len.to_le_bytes());
    hasher.update(body);
    hasher.finalize()
}
