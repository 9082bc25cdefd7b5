//! How a machine builds and takes messages.

use crate::digest::{self, MARKS};
use crate::exchange::{ExchangeId, Purpose};
use crate::machine::{Action, ITEMS, Machine};
use crate::table::Change;
use flamingo_wire::gossip::{Belief, Item, Line, Mark, Message, Peer};
use flamingo_wire::id;
use std::time::{Duration, Instant};

impl Machine {
    /// Answers a message of another process.
    pub fn request(&mut self, now: Instant, message: &Message) -> (Message, Vec<Action>) {
        self.wake(now);
        self.absorb(now, message);
        let mut answer = self.compose();
        if let Some(sender) = sender(message) {
            self.repair(now, &mut answer, message, &sender);
            if let Some(node) = &message.probe {
                self.try_for(now, node, sender);
            }
        }
        answer.targets = self.items(now, &message.wants);
        if !message.zones.is_empty() {
            answer.zones = self.summaries(now);
        }
        if let Some(version) = message.fetch {
            answer.config = self.source.serve(now, version);
        }
        self.flush(now);
        (answer, std::mem::take(&mut self.actions))
    }

    /// Takes the answer to an exchange; a late one only brings its news.
    pub fn answer(&mut self, now: Instant, exchange: ExchangeId, message: &Message) -> Vec<Action> {
        self.wake(now);
        self.absorb(now, message);
        let sender = sender(message);
        let flight = self.flights.close(exchange);
        if let (Some(flight), Some(sender)) = (flight, sender) {
            self.conclude(now, &flight.purpose, &sender, message);
        }
        self.flush(now);
        std::mem::take(&mut self.actions)
    }

    fn conclude(&mut self, now: Instant, purpose: &Purpose, sender: &Peer, message: &Message) {
        match purpose {
            Purpose::Probe => {
                self.members.answered();
                self.follow_up(now, sender, message);
            }
            Purpose::Sync => self.follow_up(now, sender, message),
            Purpose::Push(targets) => {
                for target in targets {
                    self.outbox.done(&sender.node, target);
                }
            }
            Purpose::Indirect(asker) => {
                let mut news = self.compose();
                news.reached = Some(sender.node.clone());
                self.send(now, asker, Purpose::Plain, news);
            }
            Purpose::Plain => {}
        }
    }

    /// Adds to an answer what mends a difference between two views.
    fn repair(&mut self, now: Instant, answer: &mut Message, message: &Message, sender: &Peer) {
        let same_zone = sender.zone == self.members.me().zone;
        if same_zone && message.members != self.members.checksum() {
            answer.rumours.extend(self.members.window());
            self.fast = self.fast.max(1);
        }
        let believed = self.members.rumour(&sender.node);
        answer
            .rumours
            .extend(believed.filter(|rumour| rumour.belief != Belief::Alive));
        answer.lines = digest::newer(&self.table, &message.buckets, now);
        answer.marks = digest::differing(&self.table, &message.buckets, self.walk, now);
        if !answer.marks.is_empty() {
            self.walk += MARKS;
        }
    }

    /// Asks for what the other end knows better, and sends what it lacks.
    fn follow_up(&mut self, now: Instant, sender: &Peer, message: &Message) {
        let wanted = |mark: &&Mark| self.table.wants(mark);
        let wants = message.marks.iter().filter(wanted).take(ITEMS);
        let wants: Vec<_> = wants.map(|mark| mark.target.clone()).collect();
        let offered = |mark: &&Mark| self.table.offers(mark);
        let offers = message.marks.iter().filter(offered).take(ITEMS);
        let offers: Vec<_> = offers.map(|mark| mark.target.clone()).collect();
        if wants.is_empty() && offers.is_empty() {
            return;
        }
        self.fast = self.fast.max(1);
        let mut news = self.compose();
        news.targets = self.items(now, &offers);
        news.wants = wants;
        self.send(now, sender, Purpose::Plain, news);
    }

    /// Tries a member on behalf of another one.
    fn try_for(&mut self, now: Instant, node: &str, asker: Peer) {
        let Some(peer) = self.members.get(node).map(|record| record.peer.clone()) else {
            return;
        };
        let message = self.compose();
        self.send(now, &peer, Purpose::Indirect(asker), message);
    }

    /// Builds the part that all messages have.
    pub(crate) fn compose(&mut self) -> Message {
        Message {
            rumours: self.members.rumours(),
            members: self.members.checksum(),
            ..Message::default()
        }
    }

    /// Returns the announcements of some targets, as they are told at `now`.
    pub(crate) fn items(&self, now: Instant, targets: &[id::Target]) -> Vec<Item> {
        let records = targets.iter().filter_map(|target| self.table.get(target));
        records.take(ITEMS).map(|record| record.item(now)).collect()
    }

    /// Takes the news of a message.
    fn absorb(&mut self, now: Instant, message: &Message) {
        let Some(sender) = sender(message) else {
            return;
        };
        self.awaited.remove(&sender.node);
        if let Some(node) = &message.reached {
            self.awaited.remove(node);
        }
        self.absorb_rumours(now, message);
        if sender.zone != self.members.me().zone {
            self.zones.hear(&sender);
            self.source.learn(now, sender.version);
        }
        for item in &message.targets {
            self.absorb_item(now, item, &sender);
        }
        for line in &message.lines {
            self.absorb_line(now, line);
        }
        for summary in &message.zones {
            if summary.zone != self.members.me().zone {
                self.zones.take(summary);
            }
        }
        if let Some(snapshot) = &message.config {
            self.install(now, snapshot);
        }
    }

    fn absorb_rumours(&mut self, now: Instant, message: &Message) {
        let mut changed = false;
        for rumour in &message.rumours {
            changed |= self.members.take(now, rumour);
            if rumour.peer.zone == self.members.me().zone && rumour.belief == Belief::Alive {
                self.source.learn(now, rumour.peer.version);
            }
        }
        if changed {
            self.emit_entries();
        }
    }

    fn absorb_item(&mut self, now: Instant, item: &Item, sender: &Peer) {
        let target = &item.announcement.target;
        let age = Duration::from_millis(item.age.into());
        let change = self.table.take(now, item.announcement.clone(), age);
        if change != Change::Old {
            self.emit_target(target);
        }
        if change == Change::State {
            self.tell_some(now, target, sender);
        }
        let known = self.table.get(target);
        let same = known.is_some_and(|known| {
            known.announcement.incarnation == item.announcement.incarnation
                && known.announcement.sequence <= item.announcement.sequence
        });
        if same {
            self.outbox.done(&sender.node, target);
        }
    }

    fn absorb_line(&mut self, now: Instant, line: &Line) {
        if let Some(record) = self.table.load(now, line) {
            let target = record.announcement.target.clone();
            self.emit_target(&target);
        }
    }

    /// Builds a message that asks for whatever is newer.
    pub(crate) fn compose_asking(&mut self, now: Instant) -> Message {
        let mut message = self.compose();
        message.buckets = digest::all(&self.table, now);
        message
    }
}

/// Returns who sent a message.
fn sender(message: &Message) -> Option<Peer> {
    message.rumours.first().map(|rumour| rumour.peer.clone())
}
