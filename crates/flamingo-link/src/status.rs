//! State and counters of a link, for operators and metrics.

use flamingo_wire::gossip::ZoneSummary;
use flamingo_wire::id;
use std::sync::atomic::{AtomicU64, Ordering};

/// Counters since the start of the process.
#[derive(Debug, Default)]
pub(crate) struct Counters {
    pub sent: AtomicU64,
    pub received: AtomicU64,
    pub exchanges: AtomicU64,
    pub failures: AtomicU64,
    pub redials: AtomicU64,
}

impl Counters {
    pub fn add(counter: &AtomicU64, amount: usize) {
        counter.fetch_add(amount as u64, Ordering::Relaxed);
    }
}

/// The state of a link.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Status {
    /// Number of live entries of the zone, including this entry.
    pub entries: usize,
    /// Number of these entries that are suspected.
    pub suspects: usize,
    /// Number of entries that are considered dead.
    pub dead: usize,
    /// Number of targets whose lease has not ended.
    pub targets: usize,
    /// Number of these targets whose announcements are overdue.
    pub suspected_targets: usize,
    /// Version of the configuration in force.
    pub version: id::Version,
    /// The supposed leader: the control instance that answered last, or the one that another
    /// instance named. `None` where none is known.
    pub control: Option<id::Node>,
    /// Summaries of the other zones.
    pub zones: Vec<ZoneSummary>,
    /// Bytes of frames sent to other entries.
    pub sent: u64,
    /// Bytes of frames received from other entries.
    pub received: u64,
    /// Number of gossip exchanges that this entry started.
    pub exchanges: u64,
    /// Number of these exchanges that failed.
    pub failures: u64,
    /// Number of attempts to open a configuration stream to a control instance.
    pub redials: u64,
}

pub(crate) fn load(counter: &AtomicU64) -> u64 {
    counter.load(Ordering::Relaxed)
}
