//! News of targets that must reach each member soon, resent until answered.

use flamingo_wire::gossip::Peer;
use flamingo_wire::id;
use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

/// Time between two messages to one member.
pub const RESEND: Duration = Duration::from_millis(250);
/// Time for which news that can wait gathers before it is sent.
pub const GATHER: Duration = Duration::from_millis(200);
/// Messages without an answer after which a member is left to the repair.
const TRIES: u32 = 8;

/// News for one member.
#[derive(Debug)]
struct Mail {
    to: Peer,
    targets: BTreeSet<id::Target>,
    due: Instant,
    tries: u32,
}

/// News on its way.
#[derive(Debug, Default)]
pub struct Outbox {
    mails: BTreeMap<id::Node, Mail>,
}

/// One message to send.
#[derive(Debug)]
pub struct Parcel {
    /// The receiver.
    pub to: Peer,
    /// The targets whose announcements it carries.
    pub targets: Vec<id::Target>,
}

impl Outbox {
    /// Adds news of a target for a member, to be sent at `due` at the latest.
    pub fn add(&mut self, due: Instant, to: &Peer, target: &str) {
        let mail = self.mails.entry(to.node.clone()).or_insert_with(|| Mail {
            to: to.clone(),
            targets: BTreeSet::new(),
            due,
            tries: 0,
        });
        mail.to = to.clone();
        mail.due = mail.due.min(due);
        mail.tries = 0;
        mail.targets.insert(target.to_owned());
    }

    /// Notes that a member knows the newest of a target.
    pub fn done(&mut self, node: &str, target: &str) {
        if let Some(mail) = self.mails.get_mut(node) {
            mail.targets.remove(target);
        }
    }

    /// Forgets everything: it is old.
    pub fn clear(&mut self) {
        self.mails.clear();
    }

    /// Returns the messages that are due; `limit` bounds the targets in each,
    /// and `first` orders them.
    pub fn due<K: Ord>(
        &mut self,
        now: Instant,
        limit: usize,
        first: impl Fn(&id::Target) -> K,
    ) -> Vec<Parcel> {
        self.mails
            .retain(|_, mail| mail.due > now || (mail.tries < TRIES && !mail.targets.is_empty()));
        let ready = self.mails.values_mut();
        let ready = ready.filter(|mail| mail.due <= now && !mail.targets.is_empty());
        ready.map(|mail| mail.parcel(now, limit, &first)).collect()
    }
}

impl Mail {
    fn parcel<K: Ord>(
        &mut self,
        now: Instant,
        limit: usize,
        first: impl Fn(&id::Target) -> K,
    ) -> Parcel {
        self.due = now + RESEND;
        self.tries += 1;
        let mut targets: Vec<_> = self.targets.iter().cloned().collect();
        targets.sort_by_key(first);
        targets.truncate(limit);
        Parcel {
            to: self.to.clone(),
            targets,
        }
    }
}
