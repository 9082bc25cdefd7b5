//! A simulated engine that executes every order it accepts.

use flamingo_place::weights::Weights;
use flamingo_wire::announce::{Announcement, Availability, Engine, Kind, Load};
use flamingo_wire::id;
use flamingo_wire::place::{Action, Completion, Order, Outcome};
use std::collections::{BTreeMap, BTreeSet};

/// A simulated engine. If `fenced`, it refuses orders of earlier leaders and for other
/// incarnations, and ignores duplicates.
#[derive(Clone, Debug)]
pub struct SimulatedEngine {
    pub name: String,
    pub size: id::Mebibytes,
    pub fenced: bool,
    pub incarnation: id::Incarnation,
    pub resident: BTreeMap<Weights, id::Mebibytes>,
    pub loading: Vec<Order>,
    sequence: id::Sequence,
    ended: Vec<Completion>,
    /// Orders that have been received.
    received: BTreeSet<id::Order>,
    fence: id::Fence,
}

impl SimulatedEngine {
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
            received: BTreeSet::new(),
            fence: 0,
        }
    }

    /// Returns the memory of all copies that are resident or loading.
    pub fn committed(&self) -> id::Mebibytes {
        let mut copies = self.resident.clone();
        for order in &self.loading {
            copies.insert(Weights::of_order(order), order.memory);
        }
        copies.values().sum()
    }

    /// Receives an order. Returns whether the engine accepts it, which includes duplicates.
    pub fn receive(&mut self, order: &Order) -> bool {
        if self.fenced {
            if order.fence < self.fence || order.incarnation != self.incarnation {
                return false;
            }
            self.fence = order.fence;
            if !self.received.insert(order.id) {
                return true;
            }
        }
        let weights = Weights::of_order(order);
        let loading = self
            .loading
            .iter()
            .any(|other| Weights::of_order(other) == weights);
        match order.action {
            Action::Load(_) if !self.resident.contains_key(&weights) => {
                self.loading.push(order.clone());
            }
            Action::Unload(_) if loading => self.record_completion(order.id, Outcome::Failed),
            Action::Load(_) => self.record_completion(order.id, Outcome::Done),
            Action::Unload(_) => {
                self.resident.remove(&weights);
                self.record_completion(order.id, Outcome::Done);
            }
        }
        true
    }

    fn record_completion(&mut self, order: id::Order, outcome: Outcome) {
        self.ended.push(Completion { order, outcome });
    }

    /// Ends the oldest load in progress with this outcome.
    pub fn finish(&mut self, outcome: Outcome) {
        if self.loading.is_empty() {
            return;
        }
        let order = self.loading.remove(0);
        if outcome == Outcome::Done {
            self.resident
                .insert(Weights::of_order(&order), order.memory);
        }
        self.record_completion(order.id, outcome);
    }

    /// Restarts the engine: all copies are lost, and the incarnation is raised.
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

    /// Returns a new report of the engine.
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
                resident: self.resident.keys().map(Weights::to_resident).collect(),
                loading: self
                    .loading
                    .iter()
                    .map(|order| Weights::of_order(order).to_resident())
                    .collect(),
                ended: self.ended.clone(),
            }),
        }
    }
}
