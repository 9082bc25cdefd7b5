//! The newest registration of each target, by name and by address.

use flamingo_wire::id;
use flamingo_wire::target::Registration;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Instant;

/// A target's newest registration, with the time of the last heartbeat.
#[derive(Clone, Debug)]
pub(super) struct Record {
    pub registration: Registration,
    pub last_heartbeat: Instant,
}

/// The records of all targets. The index by address keeps the cost of a heartbeat independent of the
/// number of targets.
#[derive(Debug, Default)]
pub(super) struct Records {
    records: BTreeMap<id::Target, Record>,
    names: BTreeMap<SocketAddr, BTreeSet<id::Target>>,
}

impl Records {
    /// Adds the record of a target, or replaces it.
    pub fn insert(&mut self, record: Record) {
        let id = record.registration.id.clone();
        let address = record.registration.address;
        let names = self.names.entry(address).or_default();
        names.insert(id.clone());
        let replaced = self.records.insert(id.clone(), record);
        let former = replaced.map(|replaced| replaced.registration.address);
        if let Some(former) = former.filter(|former| *former != address) {
            self.forget(former, &id);
        }
    }

    pub fn get(&self, id: &str) -> Option<&Record> {
        self.records.get(id)
    }

    /// Returns a record to change, except for the address of its registration.
    pub fn get_mut(&mut self, id: &str) -> Option<&mut Record> {
        self.records.get_mut(id)
    }

    pub fn values(&self) -> impl Iterator<Item = &Record> {
        self.records.values()
    }

    /// Returns the records of the targets that registered with an address.
    pub fn at(&self, address: SocketAddr) -> impl Iterator<Item = &Record> {
        let names = self.names.get(&address).into_iter().flatten();
        names.filter_map(|id| self.records.get(id))
    }

    /// Removes the records for which `keeps` returns `false`.
    pub fn retain(&mut self, keeps: impl Fn(&Record) -> bool) {
        let removed = self.records.extract_if(.., |_, record| !keeps(record));
        let removed: Vec<_> = removed.collect();
        for (id, record) in removed {
            self.forget(record.registration.address, &id);
        }
    }

    fn forget(&mut self, address: SocketAddr, id: &str) {
        let Some(names) = self.names.get_mut(&address) else {
            return;
        };
        names.remove(id);
        if names.is_empty() {
            self.names.remove(&address);
        }
    }
}
