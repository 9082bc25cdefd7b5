//! Checks whether all models of a set can be resident at the same time.
//!
//! The copies of a model must be on different accelerators. Simple bounds are checked first. Then
//! a backtracking search packs the copies by decreasing size, trying the accelerator with the
//! least free memory first (best fit decreasing), and gives up after `MAX_STEPS` placements. A set for
//! which the search finds no packing is refused as well, because a planner that moves one copy at
//! a time would not find one either.

use flamingo_wire::config::Set;
use flamingo_wire::id;
use quick_error::quick_error;

/// Number of placements of single copies that the search tries before it gives up.
const MAX_STEPS: u32 = 100_000;

quick_error! {
    /// Why the models of a set can't all be resident.
    #[derive(Clone, Debug, Eq, PartialEq)]
    pub enum Error {
        /// A copy needs more memory than any accelerator has.
        TooLarge(model: id::Model, needed: id::Mebibytes, largest: id::Mebibytes) {
            display("model '{model}' needs {needed} MiB on one accelerator; the largest has {largest} MiB")
        }
        /// A model has more copies than there are accelerators large enough for one.
        TooManyCopies(model: id::Model, copies: u32, needed: id::Mebibytes, large_enough: usize) {
            display("model '{model}' asks for {copies} copies of {needed} MiB on different accelerators; {large_enough} have that much")
        }
        /// All copies together need more memory than all accelerators have.
        TooMuchMemory(needed: id::Mebibytes, size: id::Mebibytes, count: usize) {
            display("the copies need {needed} MiB together; the {count} accelerators have {size} MiB")
        }
        /// The search found no packing.
        NoPacking(model: id::Model, needed: id::Mebibytes, most: id::Mebibytes, placed: usize, total: usize) {
            display("no packing found: after {placed} of {total} copies, largest first, model '{model}' needs {needed} MiB and the most left on one accelerator is {most} MiB")
        }
    }
}

/// One copy to pack.
#[derive(Clone, Copy, Debug)]
struct Item {
    /// Index of the model in the set.
    model: usize,
    size: id::Mebibytes,
}

/// Checks that all copies of `set` fit on accelerators of these sizes, in mebibytes.
///
/// # Errors
///
/// Returns the first bound that the set exceeds, or that the search found no packing.
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
///     anonymous: false,
/// };
/// let set = Set { models: vec![model], ..Set::default() };
/// assert!(fit::check(&set, &[16_000, 16_000]).is_ok());
/// assert!(fit::check(&set, &[40_000]).is_err());
/// ```
pub fn check(set: &Set, sizes: &[id::Mebibytes]) -> Result<(), Error> {
    let largest = sizes.iter().copied().max().unwrap_or(0);
    let mut items = Vec::new();
    for (index, model) in set.models.iter().enumerate() {
        let size = model.footprint();
        if size > largest {
            return Err(Error::TooLarge(model.name.clone(), size, largest));
        }
        let large_enough = sizes.iter().filter(|memory| **memory >= size).count();
        let copies = model.copies.max(1);
        if usize::try_from(copies).unwrap_or(usize::MAX) > large_enough {
            return Err(Error::TooManyCopies(
                model.name.clone(),
                copies,
                size,
                large_enough,
            ));
        }
        let item = Item { model: index, size };
        items.extend((0..copies).map(|_| item));
    }
    let needed: id::Mebibytes = items.iter().map(|item| item.size).sum();
    let total: id::Mebibytes = sizes.iter().sum();
    if needed > total {
        return Err(Error::TooMuchMemory(needed, total, sizes.len()));
    }
    items.sort_by_key(|item| (std::cmp::Reverse(item.size), item.model));
    let mut packing = Packing {
        items: &items,
        free: sizes.to_vec(),
        models: vec![Vec::new(); sizes.len()],
        steps: MAX_STEPS,
        deepest: 0,
        most_free: 0,
    };
    if packing.place(0) {
        return Ok(());
    }
    let item = items[packing.deepest];
    let name = set.models[item.model].name.clone();
    Err(Error::NoPacking(
        name,
        item.size,
        packing.most_free,
        packing.deepest,
        items.len(),
    ))
}

/// State of the backtracking search.
struct Packing<'a> {
    /// Copies to pack, largest first.
    items: &'a [Item],
    /// Free memory of each accelerator.
    free: Vec<id::Mebibytes>,
    /// Models placed on each accelerator.
    models: Vec<Vec<usize>>,
    /// Placements that may still be tried.
    steps: u32,
    /// Highest index of a copy for which no accelerator had room.
    deepest: usize,
    /// Most free memory of one accelerator at that point.
    most_free: id::Mebibytes,
}

impl Packing<'_> {
    /// Places the copies from `index` on. Returns whether all of them have been placed.
    fn place(&mut self, index: usize) -> bool {
        let Some(item) = self.items.get(index).copied() else {
            return true;
        };
        let accelerators =
            (0..self.free.len()).filter(|accelerator| self.has_room(*accelerator, item));
        let mut accelerators: Vec<usize> = accelerators.collect();
        accelerators.sort_by_key(|accelerator| self.free[*accelerator]);
        // Accelerators with the same free memory and the same models are interchangeable.
        accelerators.dedup_by_key(|accelerator| {
            (self.free[*accelerator], self.models[*accelerator].clone())
        });
        if accelerators.is_empty() && index >= self.deepest {
            self.deepest = index;
            self.most_free = self.free.iter().copied().max().unwrap_or(0);
        }
        for accelerator in accelerators {
            if self.steps == 0 {
                return false;
            }
            self.steps -= 1;
            self.free[accelerator] -= item.size;
            self.models[accelerator].push(item.model);
            if self.place(index + 1) {
                return true;
            }
            self.models[accelerator].pop();
            self.free[accelerator] += item.size;
        }
        false
    }

    /// Returns whether the accelerator has enough free memory and no copy of the same model.
    fn has_room(&self, accelerator: usize, item: Item) -> bool {
        self.free[accelerator] >= item.size && !self.models[accelerator].contains(&item.model)
    }
}
