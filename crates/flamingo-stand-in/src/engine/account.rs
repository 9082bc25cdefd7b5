//! The engine's account of its memory and of its orders.
//!
//! A state machine without input or output: the caller reports when an order starts and ends.

use flamingo_wire::announce::Resident;
use flamingo_wire::engine::Parameters;
use flamingo_wire::id;
use flamingo_wire::place::{Completion, Outcome};
use quick_error::quick_error;
use serde::Serialize;
use std::collections::{HashMap, VecDeque};

/// Number of ended orders that are announced.
const ENDED: usize = 64;

quick_error! {
    /// Why an order is rejected.
    #[derive(Clone, Debug, Eq, PartialEq)]
    pub enum Refusal {
        /// A newer leader has given an order.
        Fence(highest: id::Fence) {
            display("fencing number is old, {highest} was seen")
        }
        /// The order is for another incarnation of this engine.
        Incarnation(own: id::Incarnation) {
            display("order is for another incarnation, this is {own}")
        }
        /// The same order is being executed.
        UnderWay {
            display("the order is being carried out")
        }
        /// The same order has ended.
        Ended(outcome: Outcome) {
            display("the order has ended: {outcome}")
        }
        /// Another order for this copy is being executed.
        Busy {
            display("another order for this copy is being carried out")
        }
        /// The copy is not resident.
        Absent {
            display("the copy is not resident")
        }
        /// The copy does not fit.
        Room(free: id::Mebibytes) {
            display("only {free} MiB are free")
        }
    }
}

/// State of a copy.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
pub enum Stage {
    /// Being loaded.
    Loading,
    /// Ready.
    Resident,
    /// Being unloaded.
    Unloading,
}

/// One copy in memory.
#[derive(Clone, Debug, Serialize)]
pub struct Copy {
    /// Model and version of the copy.
    pub resident: Resident,
    /// Memory of the copy, in mebibytes.
    pub memory: id::Mebibytes,
    /// State of the copy.
    pub stage: Stage,
    /// Number of running requests for the copy.
    pub running: u32,
}

/// The account of one engine.
#[derive(Clone, Debug, Serialize)]
pub struct Account {
    size: id::Mebibytes,
    fenced: bool,
    incarnation: id::Incarnation,
    highest: id::Fence,
    copies: Vec<Copy>,
    #[serde(skip)]
    orders: HashMap<id::Order, Option<Outcome>>,
    ended: VecDeque<Completion>,
    peak: id::Mebibytes,
    over_commits: u32,
    loads: u32,
    unloads: u32,
    refused: u32,
}

impl Account {
    /// Creates the account of an engine that starts with `copies` resident.
    #[must_use]
    pub fn new(
        size: id::Mebibytes,
        fenced: bool,
        incarnation: id::Incarnation,
        copies: Vec<Copy>,
    ) -> Self {
        let mut account = Self {
            size,
            fenced,
            incarnation,
            highest: 0,
            copies,
            orders: HashMap::new(),
            ended: VecDeque::new(),
            peak: 0,
            over_commits: 0,
            loads: 0,
            unloads: 0,
            refused: 0,
        };
        account.peak = account.committed();
        account
    }

    /// Returns the memory that is in use or reserved, in mebibytes.
    #[must_use]
    pub fn committed(&self) -> id::Mebibytes {
        self.copies.iter().map(|copy| copy.memory).sum()
    }

    /// Returns the peak of the memory that orders required, in mebibytes.
    #[must_use]
    pub fn peak(&self) -> id::Mebibytes {
        self.peak
    }

    /// Returns the number of loads that would have exceeded the memory.
    #[must_use]
    pub fn over_commits(&self) -> u32 {
        self.over_commits
    }

    /// Returns the copies in a state.
    #[must_use]
    pub fn at(&self, stage: Stage) -> Vec<Resident> {
        let copies = self.copies.iter().filter(|copy| copy.stage == stage);
        copies.map(|copy| copy.resident.clone()).collect()
    }

    /// Returns whether a copy has running requests.
    #[must_use]
    pub fn in_use(&self, model: &str, version: u32) -> bool {
        self.copies.iter().any(|copy| {
            let same = copy.resident.model == model && copy.resident.version == version;
            same && copy.running > 0
        })
    }

    /// Returns the orders that ended last, newest last.
    #[must_use]
    pub fn ended(&self) -> Vec<Completion> {
        self.ended.iter().copied().collect()
    }

    /// Returns the resident copy that serves `name`: a model, or an adapter of one.
    pub fn serving(&mut self, name: &str) -> Option<&mut Copy> {
        self.copies.iter_mut().find(|copy| {
            let adapters = &copy.resident.adapters;
            let named = copy.resident.model == name || adapters.iter().any(|own| own == name);
            copy.stage == Stage::Resident && named
        })
    }

    /// Increments or decrements the number of running requests for a copy.
    pub fn count(&mut self, resident: &Resident, change: i32) {
        if let Some(copy) = self.find(&resident.model, resident.version) {
            copy.running = copy.running.saturating_add_signed(change);
        }
    }

    /// Starts a load. A load of a resident copy ends at once, without effect.
    ///
    /// # Errors
    ///
    /// Returns why the load is rejected.
    pub fn load(&mut self, model: &str, order: &Parameters) -> Result<(), Refusal> {
        self.check(order)?;
        let present = self.find(model, order.version).map(|copy| copy.stage);
        let begun = match present {
            Some(Stage::Resident) => Err(Refusal::Ended(Outcome::Done)),
            Some(_) => Err(Refusal::Busy),
            None => self.reserve(model, order),
        };
        self.begin(order, begun)
    }

    /// Starts an unload: the copy accepts no new request, and its memory is freed at the end. An
    /// unload of an absent copy ends at once, without effect.
    ///
    /// # Errors
    ///
    /// Returns why the unload is rejected.
    pub fn unload(&mut self, model: &str, order: &Parameters) -> Result<(), Refusal> {
        self.check(order)?;
        let begun = match self.find(model, order.version) {
            None => Err(Refusal::Ended(Outcome::Done)),
            Some(copy) if copy.stage != Stage::Resident => Err(Refusal::Busy),
            Some(copy) => {
                copy.stage = Stage::Unloading;
                Ok(())
            }
        };
        self.begin(order, begun)
    }

    /// Ends an order that was started.
    pub fn end(&mut self, model: &str, order: &Parameters, load: bool, outcome: Outcome) {
        let keep = load == (outcome == Outcome::Done);
        let version = order.version;
        if keep {
            if let Some(copy) = self.find(model, version) {
                copy.stage = Stage::Resident;
            }
        } else {
            self.copies
                .retain(|copy| copy.resident.model != model || copy.resident.version != version);
        }
        if outcome == Outcome::Done && load {
            self.loads += 1;
        } else if outcome == Outcome::Done {
            self.unloads += 1;
        }
        self.note(order.order, outcome);
    }

    fn check(&mut self, order: &Parameters) -> Result<(), Refusal> {
        if !self.fenced {
            return Ok(());
        }
        let refusal = if order.incarnation != self.incarnation {
            Some(Refusal::Incarnation(self.incarnation))
        } else if order.fence < self.highest {
            Some(Refusal::Fence(self.highest))
        } else {
            match self.orders.get(&order.order) {
                Some(Some(outcome)) => return Err(Refusal::Ended(*outcome)),
                Some(None) => return Err(Refusal::UnderWay),
                None => None,
            }
        };
        if let Some(refusal) = refusal {
            self.refused += 1;
            return Err(refusal);
        }
        self.highest = order.fence;
        Ok(())
    }

    fn begin(&mut self, order: &Parameters, begun: Result<(), Refusal>) -> Result<(), Refusal> {
        match begun {
            Ok(()) => {
                self.orders.insert(order.order, None);
            }
            Err(Refusal::Ended(outcome)) => self.note(order.order, outcome),
            Err(_) => {
                self.refused += 1;
                self.note(order.order, Outcome::Failed);
            }
        }
        begun
    }

    fn note(&mut self, order: id::Order, outcome: Outcome) {
        self.orders.insert(order, Some(outcome));
        self.ended.push_back(Completion { order, outcome });
        if self.ended.len() > ENDED {
            self.ended.pop_front();
        }
    }

    fn reserve(&mut self, model: &str, order: &Parameters) -> Result<(), Refusal> {
        let committed = self.committed();
        self.peak = self.peak.max(committed + order.memory);
        if committed + order.memory > self.size {
            self.over_commits += 1;
            return Err(Refusal::Room(self.size.saturating_sub(committed)));
        }
        self.copies.push(Copy {
            resident: Resident {
                model: model.to_owned(),
                version: order.version,
                adapters: Vec::new(),
            },
            memory: order.memory,
            stage: Stage::Loading,
            running: 0,
        });
        Ok(())
    }

    fn find(&mut self, model: &str, version: u32) -> Option<&mut Copy> {
        self.copies
            .iter_mut()
            .find(|copy| copy.resident.model == model && copy.resident.version == version)
    }
}
