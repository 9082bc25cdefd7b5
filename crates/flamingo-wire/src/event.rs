//! Events that an entry's link to the rest of the system reports to the entry.

use crate::announce::Announcement;
use crate::config::Snapshot;
use crate::gossip::Peer;
use crate::id;
use crate::prompt::Quarantine;

/// A change of targets, configuration or members.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// A target is new, or its state changed.
    Target(Box<Announcement>),
    /// A target sent no announcement until its lease ended.
    Gone(id::Target),
    /// A target is suspected because its announcements are overdue. It gets no new requests until
    /// it announces itself again.
    Suspect(id::Target),
    /// A newer configuration is in force.
    Config(Box<Snapshot>),
    /// Prompt parts that control has in quarantine.
    Quarantines(Vec<Quarantine>),
    /// A control instance that has sent all of the configuration knows a leader.
    LeaderHeard,
    /// The live entries of this zone, this one included.
    Entries(Vec<Peer>),
}

/// Receives the events of a link.
///
/// The link calls it from its own task, so implementations must not block.
pub trait Sink: Send + Sync {
    /// Handles one event.
    fn take(&self, event: Event);
}
