//! How two tables of targets find what one lacks, in bounded bytes.
//!
//! The asker tells a checksum of each bucket of targets and the low bits of the
//! sequences in it. Where the checksums agree, both know the same states, and
//! the answer brings the newer loads, the furthest behind first. Where they
//! differ, the answer brings marks of that bucket, from which the asker repairs.
//! This is anti-entropy with flow control after van Renesse et al. 2008, with
//! the bytes of one message bounded.

use crate::table::{LEASE, Record, Table};
use flamingo_wire::gossip::{Bucket, Line, Mark};
use std::cmp::Reverse;
use std::time::Instant;

/// Parts of the targets; a difference stops the loads of its own part only.
pub const BUCKETS: u32 = 8;
/// Loads in one message.
pub const LINES: usize = 24;
/// Marks in one message.
pub const MARKS: usize = 24;

/// Returns what a table knows, to ask another for what is newer.
///
/// ```
/// use flamingo_member::{digest, table::Table};
///
/// let empty = digest::all(&Table::default(), std::time::Instant::now());
/// assert!(empty.iter().all(|bucket| bucket.sum == 0));
/// ```
#[must_use]
pub fn all(table: &Table, now: Instant) -> Vec<Bucket> {
    split(table, now).iter().map(|part| bucket(part)).collect()
}

/// Returns the loads that `table` knows newer than the asker does.
#[must_use]
pub fn newer(table: &Table, asked: &[Bucket], now: Instant) -> Vec<Line> {
    let mut found = Vec::new();
    for (part, asked) in split(table, now).iter().zip(asked) {
        if sum(part) != asked.sum {
            continue;
        }
        for (record, head) in part.iter().zip(&asked.heads) {
            let gap = ahead(head_of(record), *head);
            if gap > 0 {
                found.push((Reverse(gap), line(record, now)));
            }
        }
    }
    found.sort_by_key(|(gap, line)| (*gap, line.tag));
    found.truncate(LINES);
    found.into_iter().map(|(_, line)| line).collect()
}

/// Returns marks of the buckets in which `table` and the asker differ.
///
/// `skip` walks over more targets than fit into one message.
#[must_use]
pub fn differing(table: &Table, asked: &[Bucket], skip: usize, now: Instant) -> Vec<Mark> {
    let parts = split(table, now);
    let pairs = parts.iter().zip(asked);
    let differing = pairs.filter(|(part, asked)| sum(part) != asked.sum);
    let records: Vec<_> = differing.flat_map(|(part, _)| part).collect();
    let start = skip % records.len().max(1);
    let turn = records.iter().cycle().skip(start);
    turn.take(MARKS.min(records.len()))
        .map(|record| mark(record))
        .collect()
}

/// Returns the targets by bucket, in the order of their tags.
///
/// One that was last heard longer ago than its lease, which only a process sees
/// that was frozen, is left out, so that it counts as a difference where another
/// process hears it: the low bits of its sequence may have gone round meanwhile.
fn split(table: &Table, now: Instant) -> Vec<Vec<&Record>> {
    let mut parts: Vec<_> = (0..BUCKETS).map(|_| Vec::new()).collect();
    let fresh = |record: &&Record| now < record.heard + LEASE;
    for record in table.present().filter(fresh) {
        let number = crc32fast::hash(record.announcement.target.as_bytes()) % BUCKETS;
        if let Some(part) = usize::try_from(number).ok().and_then(|n| parts.get_mut(n)) {
            part.push(record);
        }
    }
    for part in &mut parts {
        part.sort_by_key(|record| record.state_checksum);
    }
    parts
}

fn bucket(part: &[&Record]) -> Bucket {
    Bucket {
        sum: sum(part),
        heads: part.iter().map(|record| head_of(record)).collect(),
    }
}

fn sum(part: &[&Record]) -> u32 {
    part.iter()
        .fold(0, |sum, record| sum ^ record.state_checksum)
}

/// Returns the low bits of a record's sequence.
fn head_of(record: &Record) -> u8 {
    record.announcement.sequence.to_le_bytes()[0]
}

/// Returns how far `own` is ahead of `other`, 0 where it is not.
fn ahead(own: u8, other: u8) -> u8 {
    let gap = own.wrapping_sub(other);
    if gap > u8::MAX / 2 { 0 } else { gap }
}

fn mark(record: &Record) -> Mark {
    Mark {
        target: record.announcement.target.clone(),
        tag: record.state_checksum,
        incarnation: record.announcement.incarnation,
        sequence: record.announcement.sequence,
    }
}

fn line(record: &Record, now: Instant) -> Line {
    let age = now.saturating_duration_since(record.heard).as_millis() / 100;
    Line {
        tag: record.state_checksum,
        sequence: record.announcement.sequence,
        age: u8::try_from(age).unwrap_or(u8::MAX),
        load: record.announcement.load,
    }
}
