//! What operators and metrics see of a link.

use flamingo_wire::gossip::ZoneSummary;
use flamingo_wire::id;
use std::sync::atomic::{AtomicU64, Ordering};

/// Counts since the start of the process.
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
    /// Live entries of the zone, this one included.
    pub entries: usize,
    /// Of these, the ones that are suspected.
    pub suspects: usize,
    /// Entries that are taken to be dead.
    pub dead: usize,
    /// Targets that are not gone.
    pub targets: usize,
    /// Of these, the ones that are silent.
    pub silent: usize,
    /// Configuration version in force.
    pub version: id::Version,
    /// The control instance that answered last.
    pub control: Option<id::Node>,
    /// Other zones.
    pub zones: Vec<ZoneSummary>,
    /// Bytes of frames sent to other entries.
    pub sent: u64,
    /// Bytes of frames received from other entries.
    pub received: u64,
    /// Exchanges made with other entries.
    pub exchanges: u64,
    /// Of these, the ones that failed.
    pub failures: u64,
    /// Times that the stream to a control instance was dialled.
    pub redials: u64,
}

pub(crate) fn load(counter: &AtomicU64) -> u64 {
    counter.load(Ordering::Relaxed)
}
