//! What an entry's link to the rest of the system tells the entry.

use crate::announce::Announcement;
use crate::config::Snapshot;
use crate::gossip::Peer;
use crate::id;

/// One piece of news.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// A target is there, or its state changed.
    Target(Box<Announcement>),
    /// A target fell silent past its lease, or said that it is gone.
    Gone(id::Target),
    /// A target is silent and gets no new work until it is heard again.
    Suspect(id::Target),
    /// A newer configuration is in force.
    Config(Box<Snapshot>),
    /// The live entries of this zone, this one included.
    Entries(Vec<Peer>),
}

/// Takes events; called from the link's own task, so it must not block.
pub trait Sink: Send + Sync {
    /// Takes one event.
    fn take(&self, event: Event);
}
