//! Newer loads on their way through the zone, in bounded bytes.
//!
//! Each load is passed on a few times, the least told first, and dropped when
//! it is old: the next one is under way by then.

use flamingo_wire::gossip::Line;
use flamingo_wire::id;
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

/// Lines in one message.
pub const LINES: usize = 24;
/// Times that one line is passed on.
const REPEATS: u32 = 3;
/// Age after which a line is no longer passed on.
const STALE: Duration = Duration::from_secs(3);
/// Time between two lines of one target from the entry that hears it.
const SPACING: Duration = Duration::from_millis(1_900);

/// One load on its way.
#[derive(Debug)]
struct Record {
    line: Line,
    heard: Instant,
    sent: u32,
}

/// The loads that one entry passes on.
#[derive(Debug, Default)]
pub struct Queue {
    lines: BTreeMap<id::Target, Record>,
    /// When the next line of a target may start here.
    next: BTreeMap<id::Target, Instant>,
}

impl Queue {
    /// Starts a line for a target that this entry heard itself.
    pub fn start(&mut self, now: Instant, target: &str, line: Line) {
        if self.next.get(target).is_some_and(|next| now < *next) {
            return;
        }
        self.next.insert(target.to_owned(), now + SPACING);
        self.put(now, target, line);
    }

    /// Passes on a line that another entry told.
    pub fn put(&mut self, heard: Instant, target: &str, line: Line) {
        let record = Record {
            line,
            heard,
            sent: 0,
        };
        self.lines.insert(target.to_owned(), record);
    }

    /// Notes that another entry told a line that is already known here.
    pub fn known(&mut self, line: &Line) {
        let same = |record: &&mut Record| {
            record.line.tag == line.tag && record.line.sequence <= line.sequence
        };
        if let Some(record) = self.lines.values_mut().find(same) {
            record.sent += 1;
        }
    }

    /// Forgets a target.
    pub fn forget(&mut self, target: &str) {
        self.lines.remove(target);
        self.next.remove(target);
    }

    /// Forgets all lines: they are old.
    pub fn clear(&mut self) {
        self.lines.clear();
    }

    /// Returns the lines of the next message.
    pub fn take(&mut self, now: Instant) -> Vec<Line> {
        self.lines
            .retain(|_, record| record.sent < REPEATS && now < record.heard + STALE);
        let mut order: Vec<_> = self.lines.values_mut().collect();
        order.sort_by_key(|record| (record.sent, std::cmp::Reverse(record.heard)));
        order.truncate(LINES);
        order.into_iter().map(|record| record.tell(now)).collect()
    }
}

impl Record {
    fn tell(&mut self, now: Instant) -> Line {
        self.sent += 1;
        let age = now.saturating_duration_since(self.heard).as_millis() / 100;
        let mut line = self.line;
        line.age = u8::try_from(age).unwrap_or(u8::MAX);
        line
    }
}
