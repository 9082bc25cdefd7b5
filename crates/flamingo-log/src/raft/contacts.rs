//! Instances outside the member list with which messages are exchanged.
//!
//! An instance that asks to join may know only members that do not lead. They name the leader to it. Each side
//! opens a connection to the other before the instance is listed.

use super::Seed;
use flamingo_wire::id;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// Largest number of instances that are kept.
const MAX_CONTACTS: usize = 32;
/// Time for which an instance is kept after it last asked to join, or was last named as the leader.
const CONTACT_TIME: Duration = Duration::from_secs(5);

/// Address of an instance, and until when it is kept.
#[derive(Debug)]
struct Contact {
    address: SocketAddr,
    expires_at: Instant,
}

/// The instances, by name.
#[derive(Debug, Default)]
pub struct Contacts(BTreeMap<id::Node, Contact>);

impl Contacts {
    /// Keeps an instance from now on, unless too many others are kept.
    pub fn record(&mut self, now: Instant, node: &str, address: SocketAddr) {
        if self.0.len() >= MAX_CONTACTS && !self.0.contains_key(node) {
            return;
        }
        let expires_at = now + CONTACT_TIME;
        let contact = Contact {
            address,
            expires_at,
        };
        self.0.insert(node.to_owned(), contact);
    }

    /// Drops the instances whose time is over.
    pub fn expire(&mut self, now: Instant) {
        self.0.retain(|_, contact| now < contact.expires_at);
    }

    /// Returns the instances.
    pub fn iter(&self) -> impl Iterator<Item = Seed> {
        self.0.iter().map(|(node, contact)| Seed {
            node: node.clone(),
            address: contact.address,
        })
    }
}
