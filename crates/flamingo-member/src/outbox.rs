//! Announcements of targets that must reach each member quickly: they are resent until the
//! member acknowledges them.

use flamingo_wire::gossip::Peer;
use flamingo_wire::id;
use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

/// Time between two sendings to one member.
pub const RESEND_INTERVAL: Duration = Duration::from_millis(250);
/// Time for which announcements that are not urgent are collected into one message.
pub const BATCH_DELAY: Duration = Duration::from_millis(200);
/// Number of sendings without a response after which the member is left to anti-entropy.
const MAX_SENDS: u32 = 8;

/// Targets whose announcements one member has not acknowledged.
#[derive(Debug)]
struct Pending {
    to: Peer,
    targets: BTreeSet<id::Target>,
    due: Instant,
    sends: u32,
}

/// Announcements to deliver, by member.
#[derive(Debug, Default)]
pub struct Outbox {
    pending: BTreeMap<id::Node, Pending>,
}

/// One message to send to a member.
#[derive(Debug)]
pub struct Delivery {
    /// Member that receives the message.
    pub to: Peer,
    /// Targets whose announcements the message carries.
    pub targets: Vec<id::Target>,
}

impl Outbox {
    /// Queues the announcement of a target for a member, to be sent at `due` at the latest.
    pub fn enqueue(&mut self, due: Instant, to: &Peer, target: &str) {
        let pending = self
            .pending
            .entry(to.node.clone())
            .or_insert_with(|| Pending {
                to: to.clone(),
                targets: BTreeSet::new(),
                due,
                sends: 0,
            });
        pending.to = to.clone();
        pending.due = pending.due.min(due);
        pending.sends = 0;
        pending.targets.insert(target.to_owned());
    }

    /// Records that a member has the newest announcement of a target.
    pub fn acknowledge(&mut self, node: &str, target: &str) {
        if let Some(pending) = self.pending.get_mut(node) {
            pending.targets.remove(target);
        }
    }

    /// Drops everything, because the announcements are outdated after a freeze.
    pub fn clear(&mut self) {
        self.pending.clear();
    }

    /// Returns the messages that are due. `limit` bounds the number of targets in each, and
    /// targets with the lowest key by `order` go first.
    pub fn take_due<K: Ord>(
        &mut self,
        now: Instant,
        limit: usize,
        order: impl Fn(&id::Target) -> K,
    ) -> Vec<Delivery> {
        self.pending.retain(|_, pending| {
            pending.due > now || (pending.sends < MAX_SENDS && !pending.targets.is_empty())
        });
        let ready = self.pending.values_mut();
        let ready = ready.filter(|pending| pending.due <= now && !pending.targets.is_empty());
        ready
            .map(|pending| pending.delivery(now, limit, &order))
            .collect()
    }
}

impl Pending {
    fn delivery<K: Ord>(
        &mut self,
        now: Instant,
        limit: usize,
        order: impl Fn(&id::Target) -> K,
    ) -> Delivery {
        self.due = now + RESEND_INTERVAL;
        self.sends += 1;
        let mut targets: Vec<_> = self.targets.iter().cloned().collect();
        targets.sort_by_key(order);
        targets.truncate(limit);
        Delivery {
            to: self.to.clone(),
            targets,
        }
    }
}
