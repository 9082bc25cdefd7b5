//! Carries out the actions that the log returns: writes, messages, commits and changes of role.

use super::RaftActor;
use crate::link::Link;
use flamingo_log::raft::EntryId;
use flamingo_log::{Action, Entry, Payload, Role, Snapshot};
use flamingo_state::{Command, Stamped, State};
use flamingo_wire::control::Reply;
use flamingo_wire::id;
use slog::{error, info, warn};
use std::net::SocketAddr;
use std::time::{Instant, SystemTime};

/// Number of committed entries after which a snapshot replaces them.
const MAX_LOG_ENTRIES: u64 = 4_096;
/// Bytes of applied commands after which a snapshot replaces them.
const MAX_LOG_BYTES: usize = 8 * 1024 * 1024;

impl RaftActor {
    /// Carries out actions of the log until none are left.
    pub(super) fn process_actions(&mut self, now: Instant) {
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
                    Action::Restore(snapshot) => self.restore_snapshot(&snapshot),
                    Action::Became(role) => self.role_changed(role, now),
                }
            }
            if let Some(writer) = &self.writer
                && !records.is_empty()
            {
                writer.write(records);
            }
            self.compact_log();
        }
    }

    /// Proposes a `Lead` command as a new leader; tells the leader tasks once leadership is lost.
    fn role_changed(&mut self, role: Role, now: Instant) {
        let role: &str = role.into();
        info!(self.log, "role"; "role" => role, "term" => self.raft.term());
        if self.raft.role() == Role::Leader && self.lead_proposed != self.raft.term() {
            self.lead_proposed = self.raft.term();
            let command = Command::Lead(self.node.clone());
            let _ = self.propose(now, command);
            self.raft.flush(now);
            return;
        }
        if self.raft.role() != Role::Leader && self.lead_committed != 0 {
            self.lead_committed = 0;
            for leader_task in &mut self.leader_tasks {
                leader_task.leadership_lost();
            }
        }
    }

    /// Proposes a command, stamped with the wall-clock time. Returns its place in the log.
    pub(super) fn propose(
        &mut self,
        now: Instant,
        command: Command,
    ) -> Result<EntryId, flamingo_log::raft::Refusal> {
        let stamped = Stamped {
            at: SystemTime::now(),
            command,
        };
        let bytes = stamped.encode().map_err(|error| {
            flamingo_log::raft::Refusal::Invalid(format!("can't encode the request: {error}"))
        })?;
        let slot = self.raft.propose(now, bytes)?;
        self.metrics.proposals.inc();
        Ok(slot)
    }

    /// Applies committed entries to the state and replies to their callers.
    fn apply(&mut self, entries: Vec<Entry>, now: Instant) {
        for entry in entries {
            if let Payload::Command(bytes) = &entry.payload {
                self.bytes_since_snapshot += bytes.len();
                self.apply_command(&entry, bytes, now);
            } else {
                let slot = EntryId {
                    index: entry.index,
                    term: entry.term,
                };
                // No caller waits for this entry, but one may wait for an entry that it replaced.
                self.proposals.reply(slot, Reply::Acknowledged, now);
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
                // Every member skips the entry, so that their states stay equal.
                error!(self.log, "cannot decode a command"; "index" => entry.index, "error" => %error);
                return;
            }
        };
        let command = stamped.command.clone();
        let reply = self.state.apply(stamped);
        let kind: &str = (&command).into();
        slog::debug!(self.log, "applied"; "index" => entry.index, "command" => kind);
        self.log_change(&command, &reply);
        if let Command::Lead(node) = &command
            && node == &self.node
            && entry.term == self.raft.term()
        {
            self.lead_committed = entry.term;
            info!(self.log, "leadership committed"; "fence" => self.state.fence());
        }
        if self.raft.role() == Role::Leader {
            for leader_task in &mut self.leader_tasks {
                leader_task.command_replied(&command, &reply);
            }
        }
        if let Some(waited) = self.proposals.reply(slot, reply, now) {
            self.metrics.commit_seconds.observe(waited.as_secs_f64());
        }
    }

    /// Logs an accepted change of the configuration, also where the change was resent and gets the
    /// same version again.
    fn log_change(&self, command: &Command, reply: &Reply) {
        if let Command::Apply(change) = command
            && let Reply::Accepted(version) = reply
        {
            info!(self.log, "configuration change accepted"; "version" => version,
                "change" => &change.id, "author" => &change.author);
        }
    }

    /// Replaces the state by a snapshot that the leader sent.
    fn restore_snapshot(&mut self, snapshot: &Snapshot) {
        match State::decode(&snapshot.data) {
            Ok(state) => self.state = state,
            Err(error) => {
                error!(self.log, "cannot decode a snapshot"; "index" => snapshot.index,
                    "error" => %error);
                return;
            }
        }
        info!(self.log, "snapshot restored"; "index" => snapshot.index);
        self.bytes_since_snapshot = 0;
        self.proposals.drop_through(snapshot.index);
        self.publish();
    }

    /// Replaces the committed entries by a snapshot once they are too many or too large.
    fn compact_log(&mut self) {
        let entries = self
            .raft
            .commit_index()
            .saturating_sub(self.raft.snapshot_index());
        if entries >= MAX_LOG_ENTRIES || self.bytes_since_snapshot >= MAX_LOG_BYTES && entries > 0 {
            self.take_snapshot();
        }
    }

    /// Replaces the committed entries by a snapshot. Returns the index of the last snapshot, which
    /// is an older one where the state could not be encoded.
    pub(super) fn take_snapshot(&mut self) -> id::Index {
        match self.state.encode() {
            Ok(data) => self.raft.compact(self.raft.commit_index(), data),
            Err(error) => warn!(self.log, "cannot encode a snapshot"; "error" => %error),
        }
        self.bytes_since_snapshot = 0;
        self.raft.snapshot_index()
    }

    /// Opens a stream to each other member, seed and contact, and drops the streams to all others.
    pub(super) fn update_links(&mut self) {
        let others = self.others();
        self.links
            .retain(|node, _| others.iter().any(|(other, _)| other == node));
        for (node, address) in others {
            let link = self.links.get(&node);
            if link.is_none_or(|link| link.address() != address) {
                let link = Link::start(node.clone(), address, self.seal.clone(), &self.log);
                self.links.insert(node, link);
            }
        }
    }

    /// Returns the members other than this instance, and the seeds and contacts that are not members.
    fn others(&self) -> Vec<(id::Node, SocketAddr)> {
        let members = self.raft.members().iter();
        let members = members.map(|member| (member.node.clone(), member.address));
        let seeds = self.raft.seeds().iter().cloned();
        let unlisted = seeds.chain(self.raft.contacts());
        let unlisted = unlisted.map(|seed| (seed.node, seed.address));
        let listed = |node: &str| self.raft.members().iter().any(|member| member.node == node);
        let unlisted = unlisted.filter(|(node, _)| !listed(node));
        members
            .chain(unlisted)
            .filter(|(node, _)| node != &self.node)
            .collect()
    }
}
