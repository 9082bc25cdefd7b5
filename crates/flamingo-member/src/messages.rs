//! Building and processing of gossip messages.

use crate::digest::{self, MAX_VERSIONS};
use crate::exchange::{ExchangeId, Purpose};
use crate::machine::{Action, MAX_OBSERVATIONS, Machine};
use crate::table::Change;
use flamingo_wire::gossip::{Liveness, LoadUpdate, Message, Observation, Peer, TargetVersion};
use flamingo_wire::id;
use std::time::{Duration, Instant};

impl Machine {
    /// Processes a request of another process; returns the response and further actions.
    pub fn request(&mut self, now: Instant, message: &Message) -> (Message, Vec<Action>) {
        self.detect_freeze(now);
        self.apply_message(now, message);
        let mut answer = self.compose();
        if let Some(sender) = sender(message) {
            self.repair(now, &mut answer, message, &sender);
            if let Some(node) = &message.probe {
                self.probe_for(now, node, sender);
            }
        }
        answer.targets = self.observations(now, &message.requested);
        if !message.zones.is_empty() {
            answer.zones = self.summaries(now);
        }
        if let Some(version) = message.fetch {
            answer.config = self.configuration.serve(now, version);
        }
        self.flush(now);
        (answer, std::mem::take(&mut self.actions))
    }

    /// Processes the response to an exchange. A response that arrives after the exchange
    /// ended still updates the state, but has no other effect.
    pub fn answer(&mut self, now: Instant, exchange: ExchangeId, message: &Message) -> Vec<Action> {
        self.detect_freeze(now);
        self.apply_message(now, message);
        let sender = sender(message);
        let closed = self.exchanges.close(exchange);
        if let (Some(closed), Some(sender)) = (closed, sender) {
            self.complete(now, &closed.purpose, &sender, message);
        }
        self.flush(now);
        std::mem::take(&mut self.actions)
    }

    fn complete(&mut self, now: Instant, purpose: &Purpose, sender: &Peer, message: &Message) {
        match purpose {
            Purpose::Probe => {
                self.members.probe_answered();
                self.follow_up(now, sender, message);
            }
            Purpose::Sync => self.follow_up(now, sender, message),
            Purpose::Push(targets) => {
                for target in targets {
                    self.outbox.acknowledge(&sender.node, target);
                }
            }
            Purpose::Indirect(requester) => {
                let mut outgoing = self.compose();
                outgoing.reached = Some(sender.node.clone());
                self.send(now, requester, Purpose::OneWay, outgoing);
            }
            Purpose::OneWay => {}
        }
    }

    /// Adds to a response what the sender of `message` lacks: members, what this process
    /// thinks of the sender unless it is alive, newer loads, and versions of targets whose
    /// digests differ.
    fn repair(&mut self, now: Instant, answer: &mut Message, message: &Message, sender: &Peer) {
        let same_zone = sender.zone == self.members.me().zone;
        if same_zone && message.members != self.members.checksum() {
            answer.updates.extend(self.members.repair_updates());
            self.fast_rounds = self.fast_rounds.max(1);
        }
        let view_of_sender = self.members.update_of(&sender.node);
        answer
            .updates
            .extend(view_of_sender.filter(|update| update.liveness != Liveness::Alive));
        answer.loads = digest::newer_loads(&self.table, &message.digests, now);
        answer.versions =
            digest::differing_versions(&self.table, &message.digests, self.version_offset, now);
        if !answer.versions.is_empty() {
            self.version_offset += MAX_VERSIONS;
        }
    }

    /// Requests the target states that the other process has newer, and sends those that it
    /// has older.
    fn follow_up(&mut self, now: Instant, sender: &Peer, message: &Message) {
        let is_behind = |version: &&TargetVersion| self.table.is_older_than(version);
        let requested = message
            .versions
            .iter()
            .filter(is_behind)
            .take(MAX_OBSERVATIONS);
        let requested: Vec<_> = requested.map(|version| version.target.clone()).collect();
        let is_ahead = |version: &&TargetVersion| self.table.is_newer_than(version);
        let offers = message
            .versions
            .iter()
            .filter(is_ahead)
            .take(MAX_OBSERVATIONS);
        let offers: Vec<_> = offers.map(|version| version.target.clone()).collect();
        if requested.is_empty() && offers.is_empty() {
            return;
        }
        self.fast_rounds = self.fast_rounds.max(1);
        let mut outgoing = self.compose();
        outgoing.targets = self.observations(now, &offers);
        outgoing.requested = requested;
        self.send(now, sender, Purpose::OneWay, outgoing);
    }

    /// Probes the member `node` on behalf of `requester`.
    fn probe_for(&mut self, now: Instant, node: &str, requester: Peer) {
        let Some(peer) = self.members.get(node).map(|record| record.peer.clone()) else {
            return;
        };
        let message = self.compose();
        self.send(now, &peer, Purpose::Indirect(requester), message);
    }

    /// Builds a message with the parts that all messages have: updates on members and the
    /// checksum of the member list.
    pub(crate) fn compose(&mut self) -> Message {
        Message {
            updates: self.members.next_updates(),
            members: self.members.checksum(),
            ..Message::default()
        }
    }

    /// Returns the announcements of `targets` with their age at `now`, at most
    /// [`MAX_OBSERVATIONS`].
    pub(crate) fn observations(&self, now: Instant, targets: &[id::Target]) -> Vec<Observation> {
        let records = targets.iter().filter_map(|target| self.table.get(target));
        records
            .take(MAX_OBSERVATIONS)
            .map(|record| record.observation(now))
            .collect()
    }

    /// Applies all that a request or response carries to the local state.
    fn apply_message(&mut self, now: Instant, message: &Message) {
        let Some(sender) = sender(message) else {
            return;
        };
        self.unanswered.remove(&sender.node);
        if let Some(node) = &message.reached {
            self.unanswered.remove(node);
        }
        self.apply_updates(now, message);
        if sender.zone != self.members.me().zone {
            self.zones.record_contact(&sender);
            self.configuration.learn_version(now, sender.version);
        }
        for observation in &message.targets {
            self.apply_observation(now, observation, &sender);
        }
        for load in &message.loads {
            self.apply_load(now, load);
        }
        for summary in &message.zones {
            if summary.zone != self.members.me().zone {
                self.zones.apply(summary);
            }
        }
        if let Some(snapshot) = &message.config {
            self.install(now, snapshot);
        }
    }

    fn apply_updates(&mut self, now: Instant, message: &Message) {
        let mut changed = false;
        for update in &message.updates {
            changed |= self.members.apply(now, update);
            if update.peer.zone == self.members.me().zone && update.liveness == Liveness::Alive {
                self.configuration.learn_version(now, update.peer.version);
            }
        }
        if changed {
            self.emit_entries();
        }
    }

    fn apply_observation(&mut self, now: Instant, observation: &Observation, sender: &Peer) {
        let target = &observation.announcement.target;
        let age = Duration::from_millis(observation.age.into());
        let change = self.table.apply(now, observation.announcement.clone(), age);
        if change != Change::Ignored {
            self.emit_target(target);
        }
        if change == Change::State {
            self.forward(now, target, sender);
        }
        let known = self.table.get(target);
        let same = known.is_some_and(|known| {
            known.announcement.incarnation == observation.announcement.incarnation
                && known.announcement.sequence <= observation.announcement.sequence
        });
        if same {
            self.outbox.acknowledge(&sender.node, target);
        }
    }

    fn apply_load(&mut self, now: Instant, load: &LoadUpdate) {
        if let Some(record) = self.table.apply_load(now, load) {
            let target = record.announcement.target.clone();
            self.emit_target(&target);
        }
    }

    /// Builds a message with digests of the target table, which asks the receiver for newer
    /// states and loads.
    pub(crate) fn compose_with_digests(&mut self, now: Instant) -> Message {
        let mut message = self.compose();
        message.digests = digest::all(&self.table, now);
        message
    }
}

/// Returns the sender of a message, which is the subject of its first update.
fn sender(message: &Message) -> Option<Peer> {
    message.updates.first().map(|update| update.peer.clone())
}
