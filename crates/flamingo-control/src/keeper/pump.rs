//! Carries out the actions of the log.

use super::Keeper;
use crate::link::Link;
use flamingo_log::raft::EntryId;
use flamingo_log::{Action, Entry, Payload, Role, Snapshot};
use flamingo_state::{Command, Stamped, State};
use flamingo_wire::control::Reply;
use flamingo_wire::id;
use slog::{error, info, warn};
use std::net::SocketAddr;
use std::time::{Instant, SystemTime};

/// Entries after which a snapshot takes their place.
const ENTRIES: u64 = 4_096;
/// Bytes of commands after which a snapshot takes their place.
const BYTES: usize = 8 * 1024 * 1024;

impl Keeper {
    /// Carries out what the log asks for until it asks for nothing.
    pub(super) fn pump(&mut self, now: Instant) {
        loop {
            let actions = self.raft.take_actions();
            if actions.is_empty() {
                return;
            }
            let mut records = Vec::new();
            for action in actions {
                match action {
                    Action::Write(record) => records.push(record),
                    Action::Send(message) => {
                        if let Some(link) = self.links.get(&message.to) {
                            link.send(message);
                        }
                    }
                    Action::Commit(entries) => self.apply(entries, now),
                    Action::Restore(snapshot) => self.restore(&snapshot),
                    Action::Became(role) => self.became(role, now),
                }
            }
            if let Some(writer) = &self.writer
                && !records.is_empty()
            {
                writer.write(records);
            }
            self.shorten();
        }
    }

    fn became(&mut self, role: Role, now: Instant) {
        let role: &str = role.into();
        info!(self.log, "role"; "role" => role, "term" => self.raft.term());
        if self.raft.role() == Role::Leader && self.begun != self.raft.term() {
            self.begun = self.raft.term();
            let command = Command::Lead(self.node.clone());
            let _ = self.submit(now, command);
            self.raft.flush(now);
            return;
        }
        if self.raft.role() != Role::Leader && self.led != 0 {
            self.led = 0;
            for duty in &mut self.duties {
                duty.deposed();
            }
        }
    }

    /// Proposes a command, stamped with the time.
    pub(super) fn submit(
        &mut self,
        now: Instant,
        command: Command,
    ) -> Result<EntryId, flamingo_log::raft::Refusal> {
        let stamped = Stamped {
            at: SystemTime::now(),
            command,
        };
        let bytes = stamped.encode().map_err(|error| {
            flamingo_log::raft::Refusal::Invalid(format!("can't encode the wish: {error}"))
        })?;
        let slot = self.raft.propose(now, bytes)?;
        self.metrics.proposals.inc();
        Ok(slot)
    }

    fn apply(&mut self, entries: Vec<Entry>, now: Instant) {
        for entry in entries {
            if let Payload::Command(bytes) = &entry.payload {
                self.grown += bytes.len();
                self.apply_command(&entry, bytes, now);
            } else {
                let slot = EntryId {
                    index: entry.index,
                    term: entry.term,
                };
                // No caller waits for it; one may wait for what it overwrote.
                self.waiting.reply(slot, Reply::Acknowledged, now);
            }
        }
        self.publish();
    }

    fn apply_command(&mut self, entry: &Entry, bytes: &[u8], now: Instant) {
        let slot = EntryId {
            index: entry.index,
            term: entry.term,
        };
        let stamped = match Stamped::decode(bytes) {
            Ok(stamped) => stamped,
            Err(error) => {
                // Every member skips it alike.
                error!(self.log, "unreadable command"; "index" => entry.index, "error" => %error);
                return;
            }
        };
        let command = stamped.command.clone();
        let reply = self.state.apply(stamped);
        let kind: &str = (&command).into();
        slog::debug!(self.log, "applied"; "index" => entry.index, "command" => kind);
        self.announce(&command, &reply);
        if let Command::Lead(node) = &command
            && node == &self.node
            && entry.term == self.raft.term()
        {
            self.led = entry.term;
            info!(self.log, "leadership committed"; "fence" => self.state.fence());
        }
        if self.raft.role() == Role::Leader {
            for duty in &mut self.duties {
                duty.replied(&command, &reply);
            }
        }
        if let Some(waited) = self.waiting.reply(slot, reply, now) {
            self.metrics.commit.observe(waited.as_secs_f64());
        }
    }

    fn announce(&self, command: &Command, reply: &Reply) {
        if let Command::Apply(change) = command
            && let Reply::Accepted(version) = reply
        {
            info!(self.log, "change answered"; "version" => version,
                "change" => &change.id, "author" => &change.author);
        }
    }

    fn restore(&mut self, snapshot: &Snapshot) {
        match State::decode(&snapshot.data) {
            Ok(state) => self.state = state,
            Err(error) => {
                error!(self.log, "unreadable snapshot"; "index" => snapshot.index,
                    "error" => %error);
                return;
            }
        }
        info!(self.log, "snapshot in force"; "index" => snapshot.index);
        self.grown = 0;
        self.waiting.skip(snapshot.index);
        self.publish();
    }

    /// Puts a snapshot in place of a long log.
    fn shorten(&mut self) {
        let entries = self
            .raft
            .commit_index()
            .saturating_sub(self.raft.snapshot_index());
        if entries >= ENTRIES || self.grown >= BYTES && entries > 0 {
            self.snapshot();
        }
    }

    /// Puts a snapshot in place of the committed entries; returns its index.
    pub(super) fn snapshot(&mut self) -> id::Index {
        match self.state.encode() {
            Ok(data) => self.raft.compact(self.raft.commit_index(), data),
            Err(error) => warn!(self.log, "no snapshot"; "error" => %error),
        }
        self.grown = 0;
        self.raft.snapshot_index()
    }

    /// Keeps one stream to each other member.
    pub(super) fn connect(&mut self) {
        let others = self.others();
        self.links
            .retain(|node, _| others.iter().any(|(other, _)| other == node));
        for (node, address) in others {
            let known = self.links.get(&node);
            if known.is_none_or(|link| link.address() != address) {
                let link = Link::start(node.clone(), address, self.seal.clone(), &self.log);
                self.links.insert(node, link);
            }
        }
    }

    fn others(&self) -> Vec<(id::Node, SocketAddr)> {
        let members = self.raft.members().iter();
        let members = members.map(|member| (member.node.clone(), member.address));
        let seeds = self
            .raft
            .seeds()
            .iter()
            .map(|seed| (seed.node.clone(), seed.address));
        let listed = |node: &str| self.raft.members().iter().any(|member| member.node == node);
        let seeds = seeds.filter(|(node, _)| !listed(node));
        members
            .chain(seeds)
            .filter(|(node, _)| node != &self.node)
            .collect()
    }
}
