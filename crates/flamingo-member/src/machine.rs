//! Membership state machine of one entry: combines members, targets, zones and configuration.

use crate::configuration::Configuration;
use crate::exchange::{Exchange, Exchanges, Purpose};
use crate::members::Members;
use crate::outbox::{BATCH_DELAY, Outbox};
use crate::periodic::{RECONNECT_INTERVAL, ZONE_INTERVAL};
use crate::table::{Change, Record, Table, Transition};
use crate::zone::Zones;
use flamingo_wire::announce::{Announcement, Availability};
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

/// Interval at which the owner of a machine calls [`Machine::tick`].
pub const TICK_INTERVAL: Duration = Duration::from_millis(100);
/// Maximum number of consecutive probe rounds at the shorter interval.
const MAX_FAST_ROUNDS: u32 = 12;
/// Time after which an exchange without a response fails.
pub const EXCHANGE_TIMEOUT: Duration = Duration::from_millis(500);
/// Time after which a member is suspected if no indirect probe reached it.
const INDIRECT_PROBE_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Number of members asked to probe a member that did not answer.
const INDIRECT_PROBES: usize = 3;
/// Time without any input after which the process is considered to have been frozen.
const FREEZE_THRESHOLD: Duration = Duration::from_secs(2);
/// Maximum number of target announcements in one message.
pub const MAX_OBSERVATIONS: usize = 8;
/// Number of members to which the leaving of a target, as another member reported it, is
/// forwarded.
const FORWARD_FANOUT: usize = 2;
/// Maximum age of an announcement that is forwarded at once.
const FORWARD_MAX_AGE: Duration = Duration::from_secs(2);

/// An effect that the owner of the machine must carry out.
#[derive(Debug)]
pub enum Action {
    /// Send a message, and pass its response to [`Machine::answer`] or its failure to
    /// [`Machine::failed`].
    Send(Box<Envelope>),
    /// Pass an event to the entry.
    Emit(Event),
}

/// A message with its receiver.
#[derive(Debug)]
pub struct Envelope {
    /// Identifier of the exchange that the message starts.
    pub exchange: ExchangeId,
    /// Name of the receiver; empty where only its address is known.
    pub to: id::Node,
    /// Address at which the receiver accepts the inner protocol.
    pub address: SocketAddr,
    /// Message to send.
    pub message: Message,
}

/// Membership state machine of one entry.
#[derive(Debug)]
pub struct Machine {
    pub(crate) members: Members,
    pub(crate) table: Table,
    pub(crate) outbox: Outbox,
    pub(crate) configuration: Configuration,
    pub(crate) zones: Zones,
    pub(crate) exchanges: Exchanges,
    /// Members that did not answer a probe, with the time at which they are suspected unless
    /// an indirect probe reaches them.
    pub(crate) unanswered: BTreeMap<id::Node, Instant>,
    pub(crate) seeds: Vec<SocketAddr>,
    random: ChaCha8Rng,
    pub(crate) probe_order: Vec<id::Node>,
    pub(crate) started: Instant,
    last_input: Instant,
    pub(crate) next_round: Instant,
    pub(crate) next_zone_exchange: Instant,
    pub(crate) next_reconnect: Instant,
    pub(crate) fast_rounds: u32,
    /// Whether the next probe carries summaries of the other zones.
    pub(crate) send_summaries: bool,
    /// Offset of the next target versions to send; grows with each response that carries any.
    pub(crate) version_offset: usize,
    pub(crate) actions: Vec<Action>,
}

impl Machine {
    /// Creates the state machine of the entry `me`; its random choices come from `seed`.
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
            configuration: Configuration::new(now),
            zones: Zones::default(),
            exchanges: Exchanges::default(),
            unanswered: BTreeMap::new(),
            random: ChaCha8Rng::seed_from_u64(seed),
            probe_order: Vec::new(),
            started: now,
            last_input: now,
            next_round: now,
            next_zone_exchange: now + ZONE_INTERVAL,
            next_reconnect: now + RECONNECT_INTERVAL,
            fast_rounds: MAX_FAST_ROUNDS,
            version_offset: 0,
            send_summaries: false,
            actions: Vec::new(),
        }
    }

    /// Returns the live entries of the zone, this one included, ordered by name.
    #[must_use]
    pub fn entries(&self) -> Vec<Peer> {
        self.members.entries()
    }

    /// Returns the member list of the zone.
    #[must_use]
    pub fn members(&self) -> &Members {
        &self.members
    }

    /// Returns the table of targets.
    #[must_use]
    pub fn table(&self) -> &Table {
        &self.table
    }

    /// Returns the other zones.
    #[must_use]
    pub fn zones(&self) -> &Zones {
        &self.zones
    }

    /// Returns the configuration version in force; 0 if there is none.
    #[must_use]
    pub fn version(&self) -> id::Version {
        self.configuration.version()
    }

    /// Handles all deadlines that have passed at `now`; called every [`TICK_INTERVAL`].
    pub fn tick(&mut self, now: Instant) -> Vec<Action> {
        self.detect_freeze(now);
        for exchange in self.exchanges.overdue(now) {
            self.fail(now, exchange);
        }
        self.suspect_unanswered(now);
        if self.members.tick(now) {
            self.emit_entries();
        }
        self.expire_targets(now);
        self.run_periodic(now);
        self.flush(now);
        self.release_pending(now);
        self.fetch(now);
        std::mem::take(&mut self.actions)
    }

    /// Processes an announcement that a target sent to this entry.
    pub fn announce(&mut self, now: Instant, announcement: Announcement) -> Vec<Action> {
        self.detect_freeze(now);
        let target = announcement.target.clone();
        match self.table.apply(now, announcement, Duration::ZERO) {
            Change::Ignored => {}
            Change::Load => self.emit_target(&target),
            Change::State => {
                self.emit_target(&target);
                self.enqueue_for_all(now, &target);
            }
        }
        self.flush(now);
        std::mem::take(&mut self.actions)
    }

    /// Processes a configuration that a control instance delivered.
    pub fn config(&mut self, now: Instant, snapshot: &Snapshot) -> Vec<Action> {
        self.detect_freeze(now);
        self.install(now, snapshot);
        std::mem::take(&mut self.actions)
    }

    /// Processes the failure of an exchange, such as a refused connection, before its deadline.
    pub fn failed(&mut self, now: Instant, exchange: ExchangeId) -> Vec<Action> {
        self.detect_freeze(now);
        self.fail(now, exchange);
        std::mem::take(&mut self.actions)
    }

    /// Notifies all live members that this process leaves.
    pub fn leave(&mut self, now: Instant) -> Vec<Action> {
        self.detect_freeze(now);
        self.members.leave();
        for peer in self.live() {
            let message = self.compose();
            self.send(now, &peer, Purpose::OneWay, message);
        }
        std::mem::take(&mut self.actions)
    }

    /// Checks whether this process was frozen since the last input, as a suspended virtual
    /// machine is; if so, adjusts deadlines and drops exchanges and pending announcements.
    ///
    /// During a freeze the process receives no messages, so the missing ones don't show that
    /// members or targets failed.
    pub(crate) fn detect_freeze(&mut self, now: Instant) {
        let gap = now.saturating_duration_since(self.last_input);
        self.last_input = now;
        if gap <= FREEZE_THRESHOLD {
            return;
        }
        self.members.shift_deadlines(gap);
        self.table.shift_deadlines(gap);
        self.exchanges.clear();
        self.unanswered.clear();
        self.outbox.clear();
        self.fast_rounds = MAX_FAST_ROUNDS;
        self.next_round = now;
    }

    fn fail(&mut self, now: Instant, exchange: ExchangeId) {
        let Some(closed) = self.exchanges.close(exchange) else {
            return;
        };
        self.zones.remove_contact(&closed.node);
        if let Purpose::Probe = closed.purpose {
            self.probe_indirectly(now, &closed.node);
        }
    }

    /// Asks up to [`INDIRECT_PROBES`] members to probe `node`, which did not answer.
    fn probe_indirectly(&mut self, now: Instant, node: &str) {
        self.unanswered
            .insert(node.to_owned(), now + INDIRECT_PROBE_TIMEOUT);
        let mut relays = self.live();
        relays.retain(|peer| peer.node != node);
        for relay in self.choose(relays, INDIRECT_PROBES) {
            let mut message = self.compose();
            message.probe = Some(node.to_owned());
            self.send(now, &relay, Purpose::OneWay, message);
        }
    }

    fn suspect_unanswered(&mut self, now: Instant) {
        let unanswered = self.unanswered.iter();
        let overdue = unanswered.filter(|(_, deadline)| **deadline <= now);
        let overdue: Vec<_> = overdue.map(|(node, _)| node.clone()).collect();
        for node in overdue {
            self.unanswered.remove(&node);
            self.members.suspect(now, &node);
        }
    }

    fn expire_targets(&mut self, now: Instant) {
        for transition in self.table.tick(now) {
            let event = match transition {
                Transition::Suspect(target) => Event::Suspect(target),
                Transition::Gone(target) => Event::Gone(target),
            };
            self.actions.push(Action::Emit(event));
        }
    }

    /// Sends the announcements in the outbox that are due, those of leaving targets first.
    pub(crate) fn flush(&mut self, now: Instant) {
        let table = &self.table;
        let not_leaving = |target: &id::Target| !table.get(target).is_some_and(is_leaving);
        for delivery in self.outbox.take_due(now, MAX_OBSERVATIONS, not_leaving) {
            let mut message = self.compose();
            message.targets = self.observations(now, &delivery.targets);
            let purpose = Purpose::Push(delivery.targets);
            self.send(now, &delivery.to, purpose, message);
        }
    }

    /// Queues the announcement of a target for every member and for a contact of each zone.
    pub(crate) fn enqueue_for_all(&mut self, now: Instant, target: &str) {
        let mut peers = self.live();
        peers.extend(self.contacts());
        self.enqueue(now, target, &peers);
    }

    /// Forwards the announcement of a target that the process `sender` reported.
    ///
    /// An announcement from another zone goes to every member. A member sends its
    /// announcements to all members itself; only the leaving of a target is forwarded, to
    /// [`FORWARD_FANOUT`] members, in case the sender fails before all have received it.
    pub(crate) fn forward(&mut self, now: Instant, target: &str, sender: &Peer) {
        let Some(record) = self.table.get(target) else {
            return;
        };
        let too_old = now.saturating_duration_since(record.announced_at) > FORWARD_MAX_AGE;
        let foreign = sender.zone != self.members.me().zone;
        if too_old || !(foreign || is_leaving(record)) {
            return;
        }
        let mut peers = self.live();
        peers.retain(|peer| peer.node != sender.node);
        let limit = if foreign { usize::MAX } else { FORWARD_FANOUT };
        let peers = self.choose(peers, limit);
        self.enqueue(now, target, &peers);
    }

    fn enqueue(&mut self, now: Instant, target: &str, peers: &[Peer]) {
        let leaving = self.table.get(target).is_some_and(is_leaving);
        let due = if leaving { now } else { now + BATCH_DELAY };
        for peer in peers {
            self.outbox.enqueue(due, peer, target);
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

    /// Returns the live members, this process excluded.
    pub(crate) fn live(&self) -> Vec<Peer> {
        self.members
            .live()
            .map(|record| record.peer.clone())
            .collect()
    }

    pub(crate) fn contacts(&mut self) -> Vec<Peer> {
        let random = &mut self.random;
        self.zones.contacts(|len| random_below(random, len))
    }

    /// Returns up to `limit` random elements of `from`, in random order.
    pub(crate) fn choose<T>(&mut self, mut from: Vec<T>, limit: usize) -> Vec<T> {
        for last in (1..from.len()).rev() {
            let other = random_below(&mut self.random, last + 1);
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
        let opened = Exchange {
            node: to.clone(),
            purpose,
            deadline: now + EXCHANGE_TIMEOUT,
        };
        let exchange = self.exchanges.open(opened);
        self.actions.push(Action::Send(Box::new(Envelope {
            exchange,
            to,
            address,
            message,
        })));
    }
}

/// Returns a random index below `len`; 0 if `len` is 0.
fn random_below(random: &mut ChaCha8Rng, len: usize) -> usize {
    let len = u64::try_from(len.max(1)).unwrap_or(1);
    usize::try_from(random.next_u64() % len).unwrap_or(0)
}

fn is_leaving(record: &Record) -> bool {
    record.announcement.availability == Availability::Leaving
}
