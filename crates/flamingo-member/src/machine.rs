//! One entry's view of the system, as one state machine.

use crate::configuration::Source;
use crate::exchange::{Flight, Flights, Purpose};
use crate::members::Members;
use crate::outbox::{GATHER, Outbox};
use crate::periodic::{FOREIGN, HEAL};
use crate::table::{Change, Record, Table, Turn};
use crate::zone::Zones;
use flamingo_wire::announce::{Announcement, Standing};
use flamingo_wire::config::Snapshot;
use flamingo_wire::event::Event;
use flamingo_wire::gossip::{Message, Peer};
use flamingo_wire::id;
use rand_chacha::ChaCha8Rng;
use rand_core::{Rng, SeedableRng};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

pub use crate::exchange::ExchangeId;

/// Time between two ticks that the owner of a machine gives.
pub const TICK_INTERVAL: Duration = Duration::from_millis(100);
/// Fast exchanges in a row at most.
const FAST_ROUNDS: u32 = 12;
/// Time that an exchange has for its answer.
pub const EXCHANGE_TIMEOUT: Duration = Duration::from_millis(500);
/// Time that an indirect probe has.
const INDIRECT: Duration = Duration::from_millis(1_500);
/// Members that try one that did not answer.
const HELPERS: usize = 3;
/// Time without a tick after which this process was frozen.
const FREEZE: Duration = Duration::from_secs(2);
/// Announcements in one message.
pub const ITEMS: usize = 8;
/// Members to which fresh news that another entry told is passed on.
const FORWARD: usize = 2;
/// Age up to which news is passed on at once.
const FRESH: Duration = Duration::from_secs(2);

/// What a machine wants done.
#[derive(Debug)]
pub enum Action {
    /// Send a message and bring the answer back under the number of the exchange.
    Send(Box<Envelope>),
    /// Tell the entry.
    Emit(Event),
}

/// A message to send.
#[derive(Debug)]
pub struct Envelope {
    /// Number of the exchange.
    pub exchange: ExchangeId,
    /// The receiver; empty where only its address is known.
    pub to: id::Node,
    /// Where the receiver takes the inner protocol.
    pub address: SocketAddr,
    /// The message.
    pub message: Message,
}

/// One entry's view of the system.
#[derive(Debug)]
pub struct Machine {
    pub(crate) members: Members,
    pub(crate) table: Table,
    pub(crate) outbox: Outbox,
    pub(crate) source: Source,
    pub(crate) zones: Zones,
    pub(crate) flights: Flights,
    /// Members that did not answer, until when others try them.
    pub(crate) awaited: BTreeMap<id::Node, Instant>,
    pub(crate) seeds: Vec<SocketAddr>,
    random: ChaCha8Rng,
    pub(crate) turns: Vec<id::Node>,
    pub(crate) started: Instant,
    seen: Instant,
    pub(crate) next_round: Instant,
    pub(crate) next_foreign: Instant,
    pub(crate) next_heal: Instant,
    pub(crate) fast: u32,
    /// The next regular exchange tells of the other zones.
    pub(crate) tell_zones: bool,
    /// Grows with each answer that tells marks, to walk over all of them.
    pub(crate) walk: usize,
    pub(crate) actions: Vec<Action>,
}

impl Machine {
    /// Builds the machine of the entry `me`; `seed` feeds its choices.
    ///
    /// The incarnation of `me` must exceed that of its earlier starts, such as
    /// the wall-clock time of the start in milliseconds.
    ///
    /// ```
    /// use flamingo_member::Machine;
    /// use flamingo_wire::gossip::{Peer, Role};
    /// use std::time::Instant;
    ///
    /// let me = Peer {
    ///     node: "entry-1".into(),
    ///     role: Role::Entry,
    ///     zone: "seq-a".into(),
    ///     address: "10.0.0.1:7401".parse().unwrap(),
    ///     incarnation: 1,
    ///     version: 0,
    /// };
    /// let mut machine = Machine::new(me, Vec::new(), 7, Instant::now());
    /// assert!(machine.tick(Instant::now()).is_empty());
    /// assert_eq!(machine.entries().len(), 1);
    /// ```
    #[must_use]
    pub fn new(me: Peer, seeds: Vec<SocketAddr>, seed: u64, now: Instant) -> Self {
        let seeds = seeds.into_iter().filter(|seed| *seed != me.address);
        Self {
            seeds: seeds.collect(),
            members: Members::new(me),
            table: Table::default(),
            outbox: Outbox::default(),
            source: Source::new(now),
            zones: Zones::default(),
            flights: Flights::default(),
            awaited: BTreeMap::new(),
            random: ChaCha8Rng::seed_from_u64(seed),
            turns: Vec::new(),
            started: now,
            seen: now,
            next_round: now,
            next_foreign: now + FOREIGN,
            next_heal: now + HEAL,
            fast: FAST_ROUNDS,
            walk: 0,
            tell_zones: false,
            actions: Vec::new(),
        }
    }

    /// Returns the live entries of the zone, this one included.
    #[must_use]
    pub fn entries(&self) -> Vec<Peer> {
        self.members.entries()
    }

    /// Returns the members of the zone.
    #[must_use]
    pub fn members(&self) -> &Members {
        &self.members
    }

    /// Returns the targets.
    #[must_use]
    pub fn table(&self) -> &Table {
        &self.table
    }

    /// Returns the other zones.
    #[must_use]
    pub fn zones(&self) -> &Zones {
        &self.zones
    }

    /// Returns the configuration version in force.
    #[must_use]
    pub fn version(&self) -> id::Version {
        self.source.version()
    }

    /// Does what is due at `now`; called each [`TICK_INTERVAL`].
    pub fn tick(&mut self, now: Instant) -> Vec<Action> {
        self.wake(now);
        for exchange in self.flights.overdue(now) {
            self.fail(now, exchange);
        }
        self.suspect_awaited(now);
        if self.members.tick(now) {
            self.emit_entries();
        }
        self.turn_targets(now);
        self.rounds(now);
        self.flush(now);
        self.release(now);
        self.fetch(now);
        std::mem::take(&mut self.actions)
    }

    /// Takes an announcement that a target gave to this entry.
    pub fn announce(&mut self, now: Instant, announcement: Announcement) -> Vec<Action> {
        self.wake(now);
        let target = announcement.target.clone();
        match self.table.take(now, announcement, Duration::ZERO) {
            Change::Old => {}
            Change::Load => self.emit_target(&target),
            Change::State => {
                self.emit_target(&target);
                self.tell_all(now, &target);
            }
        }
        self.flush(now);
        std::mem::take(&mut self.actions)
    }

    /// Takes a configuration that a control instance delivered.
    pub fn config(&mut self, now: Instant, snapshot: &Snapshot) -> Vec<Action> {
        self.wake(now);
        self.install(now, snapshot);
        std::mem::take(&mut self.actions)
    }

    /// Notes that an exchange failed before its deadline.
    pub fn failed(&mut self, now: Instant, exchange: ExchangeId) -> Vec<Action> {
        self.wake(now);
        self.fail(now, exchange);
        std::mem::take(&mut self.actions)
    }

    /// Says to all members that this process leaves.
    pub fn leave(&mut self, now: Instant) -> Vec<Action> {
        self.wake(now);
        self.members.leave();
        for peer in self.live() {
            let message = self.compose();
            self.send(now, &peer, Purpose::Plain, message);
        }
        std::mem::take(&mut self.actions)
    }

    /// Takes out of force what a freeze of this process has made untrue.
    ///
    /// The others did not fall silent: this process did not listen.
    pub(crate) fn wake(&mut self, now: Instant) {
        let gap = now.saturating_duration_since(self.seen);
        self.seen = now;
        if gap <= FREEZE {
            return;
        }
        self.members.rebase(gap);
        self.table.rebase(gap);
        self.flights.clear();
        self.awaited.clear();
        self.outbox.clear();
        self.fast = FAST_ROUNDS;
        self.next_round = now;
    }

    fn fail(&mut self, now: Instant, exchange: ExchangeId) {
        let Some(flight) = self.flights.close(exchange) else {
            return;
        };
        self.zones.lose(&flight.node);
        if let Purpose::Probe = flight.purpose {
            self.try_others(now, &flight.node);
        }
    }

    /// Asks some members to try one that did not answer.
    fn try_others(&mut self, now: Instant, node: &str) {
        self.awaited.insert(node.to_owned(), now + INDIRECT);
        let mut helpers = self.live();
        helpers.retain(|peer| peer.node != node);
        for helper in self.choose(helpers, HELPERS) {
            let mut message = self.compose();
            message.probe = Some(node.to_owned());
            self.send(now, &helper, Purpose::Plain, message);
        }
    }

    fn suspect_awaited(&mut self, now: Instant) {
        let awaited = self.awaited.iter();
        let overdue = awaited.filter(|(_, deadline)| **deadline <= now);
        let overdue: Vec<_> = overdue.map(|(node, _)| node.clone()).collect();
        for node in overdue {
            self.awaited.remove(&node);
            self.members.suspect(now, &node);
        }
    }

    fn turn_targets(&mut self, now: Instant) {
        for turn in self.table.tick(now) {
            let event = match turn {
                Turn::Silent(target) => Event::Suspect(target),
                Turn::Gone(target) => Event::Gone(target),
            };
            self.actions.push(Action::Emit(event));
        }
    }

    /// Sends news that is due; a leaving target's goes first.
    pub(crate) fn flush(&mut self, now: Instant) {
        let table = &self.table;
        let later = |target: &id::Target| !table.get(target).is_some_and(is_leaving);
        for parcel in self.outbox.due(now, ITEMS, later) {
            let mut message = self.compose();
            message.targets = self.items(now, &parcel.targets);
            let purpose = Purpose::Push(parcel.targets);
            self.send(now, &parcel.to, purpose, message);
        }
    }

    /// Tells a target's state to every member and to a contact of each zone.
    pub(crate) fn tell_all(&mut self, now: Instant, target: &str) {
        let mut peers = self.live();
        peers.extend(self.contacts());
        self.tell(now, target, &peers);
    }

    /// Passes on a target's state that another process told.
    ///
    /// What another zone told goes to every member. What a member told goes to
    /// all members from there already; only that a target leaves is passed on to
    /// some, in case the teller fails.
    pub(crate) fn tell_some(&mut self, now: Instant, target: &str, teller: &Peer) {
        let Some(record) = self.table.get(target) else {
            return;
        };
        let old = now.saturating_duration_since(record.heard) > FRESH;
        let foreign = teller.zone != self.members.me().zone;
        if old || !(foreign || is_leaving(record)) {
            return;
        }
        let mut peers = self.live();
        peers.retain(|peer| peer.node != teller.node);
        let limit = if foreign { usize::MAX } else { FORWARD };
        let peers = self.choose(peers, limit);
        self.tell(now, target, &peers);
    }

    fn tell(&mut self, now: Instant, target: &str, peers: &[Peer]) {
        let leaving = self.table.get(target).is_some_and(is_leaving);
        let due = if leaving { now } else { now + GATHER };
        for peer in peers {
            self.outbox.add(due, peer, target);
        }
    }

    pub(crate) fn emit_target(&mut self, target: &str) {
        if let Some(record) = self.table.get(target) {
            let event = Event::Target(Box::new(record.announcement.clone()));
            self.actions.push(Action::Emit(event));
        }
    }

    pub(crate) fn emit_entries(&mut self) {
        let event = Event::Entries(self.members.entries());
        self.actions.push(Action::Emit(event));
    }

    /// Returns the live members, without this process.
    pub(crate) fn live(&self) -> Vec<Peer> {
        self.members
            .live()
            .map(|record| record.peer.clone())
            .collect()
    }

    pub(crate) fn contacts(&mut self) -> Vec<Peer> {
        let random = &mut self.random;
        self.zones.contacts(|len| below(random, len))
    }

    /// Returns up to `limit` of `from`, in random order.
    pub(crate) fn choose<T>(&mut self, mut from: Vec<T>, limit: usize) -> Vec<T> {
        for last in (1..from.len()).rev() {
            let other = below(&mut self.random, last + 1);
            from.swap(last, other);
        }
        from.truncate(limit);
        from
    }

    pub(crate) fn send(&mut self, now: Instant, to: &Peer, purpose: Purpose, message: Message) {
        self.send_to(now, to.node.clone(), to.address, purpose, message);
    }

    pub(crate) fn send_to(
        &mut self,
        now: Instant,
        to: id::Node,
        address: SocketAddr,
        purpose: Purpose,
        message: Message,
    ) {
        let flight = Flight {
            node: to.clone(),
            purpose,
            deadline: now + EXCHANGE_TIMEOUT,
        };
        let exchange = self.flights.open(flight);
        self.actions.push(Action::Send(Box::new(Envelope {
            exchange,
            to,
            address,
            message,
        })));
    }
}

/// Returns a random index below `len`, which must not be 0.
fn below(random: &mut ChaCha8Rng, len: usize) -> usize {
    let len = u64::try_from(len.max(1)).unwrap_or(1);
    usize::try_from(random.next_u64() % len).unwrap_or(0)
}

fn is_leaving(record: &Record) -> bool {
    record.announcement.standing == Standing::Leaving
}
