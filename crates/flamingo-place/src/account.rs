//! The memory account of the accelerators, as one leader keeps it.
//!
//! Committed memory of an accelerator is the sum over the set of copies that its
//! newest report shows as resident or loading, that an open order names (a load
//! may still come, an unload may not have been carried out), or that may come back
//! by a doubled order. A copy counts once, whatever shows it.
//!
//! An order is open from its proposal to its settlement. Only the engine's own
//! report ends it:
//!
//! * the report of the order's incarnation lists it as ended, or
//! * the report is of a later incarnation, and the engine refuses orders that were
//!   meant for an earlier one (`fenced`).
//!
//! An engine that checks nothing gets each order once, from the leader that
//! committed it, and ends it by listing it, by refusing it, or never: a leader that
//! froze before its send can wake after any time, even after the engine's restart,
//! and a report of the new incarnation can be older than the order's arrival there.
//! Only an order that this leadership gave and knows to be unsent ends with a restart.
//! The room of any other stays reserved for the copy that it names. For [`STRAY`]
//! after an order's end its copy stays counted as well, since a doubled order that
//! an engine doesn't recognise would bring it back.

use crate::book::Book;
use crate::seat::Seat;
use crate::weights::Weights;
use flamingo_wire::announce::Announcement;
use flamingo_wire::config::Set;
use flamingo_wire::id;
use flamingo_wire::place::{Order, ReportVersion, Settlement};
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

/// Time for which a doubled order may wander before an engine that checks nothing
/// carries it out once more.
pub const STRAY: Duration = Duration::from_mins(1);

/// What became of one exchange in which an order was sent.
#[derive(Clone, Copy, Debug, Eq, PartialEq, strum::Display)]
#[strum(serialize_all = "kebab-case")]
pub enum Exchange {
    /// The engine took the order; its report will say how it ends.
    Answered,
    /// The engine refused the order.
    Refused,
    /// No byte of the order left.
    Unsent,
    /// The exchange was cut or timed out: the order may be carried out late.
    Lost,
}

/// The account of one leadership.
#[derive(Clone, Debug, Default)]
pub struct Account {
    fence: id::Fence,
    last: id::Order,
    pub(crate) seats: BTreeMap<id::Target, Seat>,
    pub(crate) footprints: BTreeMap<Weights, id::Mebibytes>,
}

impl Account {
    /// Takes over: reads every order that earlier leaders may have sent.
    ///
    /// The book must be that of a leader which has applied an entry of its own term,
    /// so that nothing of an earlier term can be committed unseen. Reports that this
    /// account knew before are kept.
    pub fn lead(&mut self, fence: id::Fence, book: &Book, now: Instant) {
        self.fence = fence;
        self.last = book.last;
        for seat in self.seats.values_mut() {
            seat.open.clear();
            seat.strays.clear();
            seat.blocked = None;
        }
        for target in book.pages.keys() {
            let seat = self
                .seats
                .entry(target.clone())
                .or_insert_with(|| Seat::new(now));
            seat.blocked = Some(now + STRAY);
        }
        self.sync(book, now);
    }

    /// Takes the sizes of the models from the configuration.
    pub fn configure(&mut self, set: &Set) {
        for model in &set.models {
            self.footprints
                .insert(Weights::wanted(model), model.footprint());
        }
    }

    /// Takes a report if it is newer than what is known of its engine.
    pub fn report(&mut self, report: &Announcement, now: Instant) {
        if report.engine().is_none() {
            return;
        }
        let seat = self
            .seats
            .entry(report.target.clone())
            .or_insert_with(|| Seat::new(now));
        seat.take(report, now);
    }

    /// Forgets what was not committed and takes what the log has applied.
    pub fn sync(&mut self, book: &Book, now: Instant) {
        for seat in self.seats.values_mut() {
            seat.drop_settled(book, now);
        }
        for order in book.intents.values() {
            let seat = self
                .seats
                .entry(order.target.clone())
                .or_insert_with(|| Seat::new(now));
            seat.commit(order, now);
        }
        for (target, page) in &book.pages {
            let seat = self
                .seats
                .entry(target.clone())
                .or_insert_with(|| Seat::new(now));
            seat.mark = page.mark;
            seat.held.clone_from(&page.held);
        }
        self.last = self.last.max(book.last);
    }

    /// Reserves the room of a new order and returns its identity.
    pub fn propose(&mut self, mut order: Order, now: Instant) -> Order {
        self.last += 1;
        order.id = self.last;
        order.fence = self.fence;
        if let Some(seat) = self.seats.get_mut(&order.target) {
            seat.propose(&order, now);
        }
        order
    }

    /// Forgets a proposal that certainly never commits.
    pub fn reject(&mut self, order: id::Order) {
        for seat in self.seats.values_mut() {
            seat.reject(order);
        }
    }

    /// Notes what became of an exchange in which this leadership sent an order.
    pub fn exchanged(&mut self, order: id::Order, exchange: Exchange) {
        for seat in self.seats.values_mut() {
            seat.exchanged(order, exchange);
        }
    }

    /// Returns the orders to send now, and notes that they are under way.
    pub fn due(&mut self, now: Instant) -> Vec<Order> {
        let fence = self.fence;
        let seats = self.seats.values_mut();
        seats.flat_map(|seat| seat.due(fence, now)).collect()
    }

    /// Returns the orders whose end the newest reports show.
    pub fn ends(&mut self, now: Instant) -> Vec<Settlement> {
        let fence = self.fence;
        let seats = self.seats.values_mut();
        seats.flat_map(|seat| seat.ends(fence, now)).collect()
    }

    /// Returns the memory committed on `target`, in mebibytes.
    #[must_use]
    pub fn committed(&self, target: &str, now: Instant) -> id::Mebibytes {
        let seat = self.seats.get(target);
        seat.map_or(0, |seat| seat.committed(&self.footprints, now))
    }

    /// Returns the memory of `target` that an order may take now, in mebibytes.
    #[must_use]
    pub fn free(&self, target: &str, now: Instant) -> id::Mebibytes {
        let seat = self.seats.get(target);
        seat.map_or(0, |seat| seat.free(&self.footprints, now))
    }

    /// Returns the newest report of `target`.
    #[must_use]
    pub fn newest(&self, target: &str) -> Option<&Announcement> {
        self.seats.get(target)?.report.as_ref()
    }

    /// Returns the place of the newest report that settled an order on `target`.
    #[must_use]
    pub fn mark(&self, target: &str) -> Option<ReportVersion> {
        Some(self.seats.get(target)?.mark)
    }
}
