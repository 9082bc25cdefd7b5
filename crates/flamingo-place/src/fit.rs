//! Whether every model of a set can be resident at once.
//!
//! Each model needs its copies on different accelerators. First come bounds with
//! simple arithmetic; then packing by decreasing size into the tightest place
//! (best fit decreasing); then a search that gives up after a stated number of
//! steps. A set for which no packing was found is refused as well: a planner that
//! moves one copy at a time would find none either.

use flamingo_wire::config::Set;
use flamingo_wire::id;
use quick_error::quick_error;

/// Placements that the search tries.
const STEPS: u32 = 100_000;

quick_error! {
    /// Why a set can't be resident.
    #[derive(Clone, Debug, Eq, PartialEq)]
    pub enum Error {
        /// One copy is larger than any accelerator.
        Large(model: id::Model, needed: id::Mebibytes, largest: id::Mebibytes) {
            display("model '{model}' needs {needed} MiB on one accelerator; the largest has {largest} MiB")
        }
        /// More copies than accelerators that could hold one.
        Copies(model: id::Model, copies: u32, needed: id::Mebibytes, able: usize) {
            display("model '{model}' asks for {copies} copies of {needed} MiB on different accelerators; {able} have that much")
        }
        /// More memory than there is.
        Sum(needed: id::Mebibytes, size: id::Mebibytes, count: usize) {
            display("the copies need {needed} MiB together; the {count} accelerators have {size} MiB")
        }
        /// No packing.
        Packing(model: id::Model, needed: id::Mebibytes, most: id::Mebibytes, placed: usize, total: usize) {
            display("no packing found: after {placed} of {total} copies, largest first, model '{model}' needs {needed} MiB and the most left on one accelerator is {most} MiB")
        }
    }
}

#[derive(Clone, Copy, Debug)]
struct Item {
    model: usize,
    size: id::Mebibytes,
}

/// Checks that all copies of `set` fit on accelerators of these sizes.
///
/// # Errors
///
/// Returns the arithmetic where they don't.
///
/// ```
/// use flamingo_place::fit;
/// use flamingo_wire::config::{Model, Set};
///
/// let model = Model {
///     name: "notes".into(),
///     version: 1,
///     weights: 8_000,
///     cache: 2_000,
///     copies: 2,
///     importance: 1,
///     adapters: Vec::new(),
/// };
/// let set = Set { models: vec![model], ..Set::default() };
/// assert!(fit::check(&set, &[16_000, 16_000]).is_ok());
/// assert!(fit::check(&set, &[40_000]).is_err());
/// ```
pub fn check(set: &Set, sizes: &[id::Mebibytes]) -> Result<(), Error> {
    let largest = sizes.iter().copied().max().unwrap_or(0);
    let mut items = Vec::new();
    for (number, model) in set.models.iter().enumerate() {
        let size = model.footprint();
        if size > largest {
            return Err(Error::Large(model.name.clone(), size, largest));
        }
        let able = sizes.iter().filter(|place| **place >= size).count();
        let copies = model.copies.max(1);
        if usize::try_from(copies).unwrap_or(usize::MAX) > able {
            return Err(Error::Copies(model.name.clone(), copies, size, able));
        }
        let item = Item {
            model: number,
            size,
        };
        items.extend((0..copies).map(|_| item));
    }
    let needed: id::Mebibytes = items.iter().map(|item| item.size).sum();
    let there: id::Mebibytes = sizes.iter().sum();
    if needed > there {
        return Err(Error::Sum(needed, there, sizes.len()));
    }
    items.sort_by_key(|item| (std::cmp::Reverse(item.size), item.model));
    let mut packing = Packing {
        items: &items,
        free: sizes.to_vec(),
        held: vec![Vec::new(); sizes.len()],
        steps: STEPS,
        deepest: 0,
        most: 0,
    };
    if packing.place(0) {
        return Ok(());
    }
    let item = items[packing.deepest];
    let name = set.models[item.model].name.clone();
    Err(Error::Packing(
        name,
        item.size,
        packing.most,
        packing.deepest,
        items.len(),
    ))
}

struct Packing<'a> {
    items: &'a [Item],
    free: Vec<id::Mebibytes>,
    held: Vec<Vec<usize>>,
    steps: u32,
    /// The first copy that never found a place.
    deepest: usize,
    /// The most that was left when it did not.
    most: id::Mebibytes,
}

impl Packing<'_> {
    /// Places the copies from `number` on, the tightest place first.
    fn place(&mut self, number: usize) -> bool {
        let Some(item) = self.items.get(number).copied() else {
            return true;
        };
        let places = (0..self.free.len()).filter(|place| self.takes(*place, item));
        let mut places: Vec<usize> = places.collect();
        places.sort_by_key(|place| self.free[*place]);
        // Places with the same room and no difference in what they hold are alike.
        places.dedup_by_key(|place| (self.free[*place], self.held[*place].clone()));
        if places.is_empty() && number >= self.deepest {
            self.deepest = number;
            self.most = self.free.iter().copied().max().unwrap_or(0);
        }
        for place in places {
            if self.steps == 0 {
                return false;
            }
            self.steps -= 1;
            self.free[place] -= item.size;
            self.held[place].push(item.model);
            if self.place(number + 1) {
                return true;
            }
            self.held[place].pop();
            self.free[place] += item.size;
        }
        false
    }

    fn takes(&self, place: usize, item: Item) -> bool {
        self.free[place] >= item.size && !self.held[place].contains(&item.model)
    }
}
