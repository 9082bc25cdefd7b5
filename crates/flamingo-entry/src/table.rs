//! What an entry last knew: configuration and targets.

use flamingo_wire::announce::{Announcement, Kind, Standing};
use flamingo_wire::config::Snapshot;
use flamingo_wire::event::{Event, Sink};
use flamingo_wire::id;
use std::collections::BTreeMap;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{PoisonError, RwLock};

/// Shared by all workers of an entry.
#[derive(Debug, Default)]
pub struct Table {
    config: RwLock<Snapshot>,
    targets: RwLock<BTreeMap<id::Target, Announcement>>,
    turn: AtomicUsize,
}

impl Table {
    /// Takes a configuration in force if it is newer.
    pub fn install(&self, snapshot: Snapshot) {
        let mut config = self.config.write().unwrap_or_else(PoisonError::into_inner);
        if snapshot.version > config.version {
            *config = snapshot;
        }
    }

    /// Returns the configuration in force.
    #[must_use]
    pub fn config(&self) -> Snapshot {
        self.config
            .read()
            .unwrap_or_else(PoisonError::into_inner)
            .clone()
    }

    /// Takes an announcement if it is newer than what is known.
    pub fn announce(&self, announcement: Announcement) {
        let mut targets = self.targets.write().unwrap_or_else(PoisonError::into_inner);
        let known = targets.get(&announcement.target);
        if known.is_none_or(|known| announcement.supersedes(known)) {
            targets.insert(announcement.target.clone(), announcement);
        }
    }

    /// Returns the targets that serve and that `wanted` takes, in turn.
    #[must_use]
    pub fn pick(&self, wanted: impl Fn(&Kind) -> bool) -> Option<Announcement> {
        let targets = self.targets.read().unwrap_or_else(PoisonError::into_inner);
        let serving = targets
            .values()
            .filter(|target| target.standing == Standing::Serving);
        let fit: Vec<_> = serving.filter(|target| wanted(&target.kind)).collect();
        let turn = self.turn.fetch_add(1, Ordering::Relaxed);
        fit.get(turn % fit.len().max(1))
            .map(|target| (*target).clone())
    }
}

impl Sink for Table {
    fn take(&self, event: Event) {
        match event {
            Event::Config(snapshot) => self.install(*snapshot),
            Event::Target(announcement) => self.announce(*announcement),
            Event::Gone(_) | Event::Suspect(_) | Event::Entries(_) => {}
        }
    }
}
