//! Anti-entropy between the target tables of two entries, with bounded message size.
//!
//! The requester sends a digest of each bucket of targets: a checksum of the states
//! and the low bits of the sequence numbers. If the checksums of a bucket agree, both
//! sides know the same states, and the response carries the newer loads, those that
//! the requester is furthest behind on first. If they differ, the response carries
//! the versions of the targets in the bucket, from which the requester determines
//! which states to request or send. This follows the flow control of van Renesse et
//! al. 2008.

use crate::table::{LEASE, Record, Table};
use flamingo_wire::gossip::{Digest, LoadUpdate, TargetVersion};
use std::cmp::Reverse;
use std::time::Instant;

/// Number of buckets that the targets are divided into by the hash of their names; a
/// differing state delays the load updates of its own bucket only.
pub const BUCKETS: u32 = 8;
/// Maximum number of load updates in one message.
pub const MAX_LOADS: usize = 24;
/// Maximum number of target versions in one message.
pub const MAX_VERSIONS: usize = 24;

/// Returns the digests of all buckets of `table`, to request newer states and loads.
///
/// ```
/// use flamingo_member::{digest, table::Table};
///
/// let empty = digest::all(&Table::default(), std::time::Instant::now());
/// assert!(empty.iter().all(|digest| digest.checksum == 0));
/// ```
#[must_use]
pub fn all(table: &Table, now: Instant) -> Vec<Digest> {
    partition(table, now)
        .iter()
        .map(|bucket| digest(bucket))
        .collect()
}

/// Returns the loads that are newer in `table` than at the process that sent the digests
/// `theirs`, for buckets whose states agree.
#[must_use]
pub fn newer_loads(table: &Table, theirs: &[Digest], now: Instant) -> Vec<LoadUpdate> {
    let mut loads = Vec::new();
    for (bucket, theirs) in partition(table, now).iter().zip(theirs) {
        if checksum(bucket) != theirs.checksum {
            continue;
        }
        for (record, bits) in bucket.iter().zip(&theirs.sequence_bits) {
            let gap = lead_over(sequence_bits(record), *bits);
            if gap > 0 {
                loads.push((Reverse(gap), load_update(record, now)));
            }
        }
    }
    loads.sort_by_key(|(gap, update)| (*gap, update.state_checksum));
    loads.truncate(MAX_LOADS);
    loads.into_iter().map(|(_, update)| update).collect()
}

/// Returns versions of the targets in the buckets in which `table` differs from the digests
/// `theirs`.
///
/// A message holds [`MAX_VERSIONS`] of them. `offset` selects where to start, so that
/// successive messages cover all targets.
#[must_use]
pub fn differing_versions(
    table: &Table,
    theirs: &[Digest],
    offset: usize,
    now: Instant,
) -> Vec<TargetVersion> {
    let buckets = partition(table, now);
    let pairs = buckets.iter().zip(theirs);
    let differing = pairs.filter(|(bucket, theirs)| checksum(bucket) != theirs.checksum);
    let records: Vec<_> = differing.flat_map(|(bucket, _)| bucket).collect();
    let start = offset % records.len().max(1);
    let rotated = records.iter().cycle().skip(start);
    rotated
        .take(MAX_VERSIONS.min(records.len()))
        .map(|record| version_of(record))
        .collect()
}

/// Returns the targets by bucket, ordered by state checksum.
///
/// A target whose last announcement is older than its lease is left out; this happens
/// only in a process that was frozen. The target then counts as a difference if another
/// process has a newer announcement, which is needed because the low bits of its sequence
/// number may have wrapped around meanwhile.
fn partition(table: &Table, now: Instant) -> Vec<Vec<&Record>> {
    let mut buckets: Vec<_> = (0..BUCKETS).map(|_| Vec::new()).collect();
    let within_lease = |record: &&Record| now < record.announced_at + LEASE;
    for record in table.present().filter(within_lease) {
        let number = crc32fast::hash(record.announcement.target.as_bytes()) % BUCKETS;
        if let Some(bucket) = usize::try_from(number)
            .ok()
            .and_then(|n| buckets.get_mut(n))
        {
            bucket.push(record);
        }
    }
    for bucket in &mut buckets {
        bucket.sort_by_key(|record| record.state_checksum);
    }
    buckets
}

fn digest(bucket: &[&Record]) -> Digest {
    Digest {
        checksum: checksum(bucket),
        sequence_bits: bucket.iter().map(|record| sequence_bits(record)).collect(),
    }
}

fn checksum(bucket: &[&Record]) -> u32 {
    bucket
        .iter()
        .fold(0, |sum, record| sum ^ record.state_checksum)
}

/// Returns the low 8 bits of the sequence number of a record.
fn sequence_bits(record: &Record) -> u8 {
    record.announcement.sequence.to_le_bytes()[0]
}

/// Returns by how much the sequence bits `own` are ahead of `other`, modulo 256; 0 if they
/// are not ahead.
fn lead_over(own: u8, other: u8) -> u8 {
    let gap = own.wrapping_sub(other);
    if gap > u8::MAX / 2 { 0 } else { gap }
}

fn version_of(record: &Record) -> TargetVersion {
    TargetVersion {
        target: record.announcement.target.clone(),
        state_checksum: record.state_checksum,
        incarnation: record.announcement.incarnation,
        sequence: record.announcement.sequence,
    }
}

fn load_update(record: &Record, now: Instant) -> LoadUpdate {
    let age = now
        .saturating_duration_since(record.announced_at)
        .as_millis()
        / 100;
    LoadUpdate {
        state_checksum: record.state_checksum,
        sequence: record.announcement.sequence,
        age: u8::try_from(age).unwrap_or(u8::MAX),
        load: record.announcement.load,
    }
}
