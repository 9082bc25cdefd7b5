//! An engine that does as it is told.

use flamingo_place::weights::Weights;
use flamingo_wire::announce::{Announcement, Availability, Engine, Kind, Load};
use flamingo_wire::id;
use flamingo_wire::place::{Action, Completion, Order, Outcome};
use std::collections::{BTreeMap, BTreeSet};

/// An engine that does as it is told, and remembers how much it ever committed.
#[derive(Clone, Debug)]
pub struct Fake {
    pub name: String,
    pub size: id::Mebibytes,
    pub fenced: bool,
    pub incarnation: id::Incarnation,
    pub resident: BTreeMap<Weights, id::Mebibytes>,
    pub loading: Vec<Order>,
    sequence: id::Sequence,
    ended: Vec<Completion>,
    seen: BTreeSet<id::Order>,
    fence: id::Fence,
}

impl Fake {
    pub fn new(name: &str, size: id::Mebibytes, fenced: bool) -> Self {
        Self {
            name: name.to_owned(),
            size,
            fenced,
            incarnation: 1,
            resident: BTreeMap::new(),
            loading: Vec::new(),
            sequence: 0,
            ended: Vec::new(),
            seen: BTreeSet::new(),
            fence: 0,
        }
    }

    pub fn committed(&self) -> id::Mebibytes {
        let mut copies = self.resident.clone();
        for order in &self.loading {
            copies.insert(Weights::ordered(order), order.memory);
        }
        copies.values().sum()
    }

    /// Takes an order; returns whether it is not refused.
    pub fn take(&mut self, order: &Order) -> bool {
        if self.fenced {
            if order.fence < self.fence || order.incarnation != self.incarnation {
                return false;
            }
            self.fence = order.fence;
            if !self.seen.insert(order.id) {
                return true;
            }
        }
        let weights = Weights::ordered(order);
        let loading = self
            .loading
            .iter()
            .any(|other| Weights::ordered(other) == weights);
        match order.action {
            Action::Load(_) if !self.resident.contains_key(&weights) => {
                self.loading.push(order.clone());
            }
            Action::Unload(_) if loading => self.end(order.id, Outcome::Failed),
            Action::Load(_) => self.end(order.id, Outcome::Done),
            Action::Unload(_) => {
                self.resident.remove(&weights);
                self.end(order.id, Outcome::Done);
            }
        }
        true
    }

    fn end(&mut self, order: id::Order, outcome: Outcome) {
        self.ended.push(Completion { order, outcome });
    }

    pub fn finish(&mut self, outcome: Outcome) {
        if self.loading.is_empty() {
            return;
        }
        let order = self.loading.remove(0);
        if outcome == Outcome::Done {
            self.resident.insert(Weights::ordered(&order), order.memory);
        }
        self.end(order.id, outcome);
    }

    pub fn restart(&mut self) {
        let Self {
            name,
            size,
            fenced,
            incarnation,
            ..
        } = self.clone();
        *self = Self::new(&name, size, fenced);
        self.incarnation = incarnation + 1;
    }

    pub fn announce(&mut self, zone: &str) -> Announcement {
        self.sequence += 1;
        Announcement {
            target: self.name.clone(),
            incarnation: self.incarnation,
            sequence: self.sequence,
            zone: zone.to_owned(),
            address: "127.0.0.1:1".parse().unwrap(),
            availability: Availability::Serving,
            load: Load::default(),
            kind: Kind::Engine(Engine {
                memory: self.size,
                fenced: self.fenced,
                resident: self.resident.keys().map(Weights::copy).collect(),
                loading: self
                    .loading
                    .iter()
                    .map(|order| Weights::ordered(order).copy())
                    .collect(),
                ended: self.ended.clone(),
            }),
        }
    }
}
