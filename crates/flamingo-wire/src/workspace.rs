//! Workspaces: the callers that share a name, keys, a rank and a quota.

use crate::id;
use crate::route::Rank;
use serde::{Deserialize, Serialize};
use sha2::{Digest as _, Sha256};

/// SHA-256 digest of a caller's key. Entries hold digests only, so that a dump of an entry's memory
/// or of a message reveals no key.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct KeyDigest([u8; 32]);

impl KeyDigest {
    /// Returns the digest of a key.
    ///
    /// ```
    /// use flamingo_wire::workspace::KeyDigest;
    ///
    /// assert_eq!(KeyDigest::of("a"), KeyDigest::of("a"));
    /// assert_ne!(KeyDigest::of("a"), KeyDigest::of("b"));
    /// ```
    #[must_use]
    pub fn of(key: &str) -> Self {
        Self(Sha256::digest(key).into())
    }

    /// Returns the bytes of the digest.
    #[must_use]
    pub fn as_bytes(&self) -> &[u8; 32] {
        &self.0
    }
}

/// What a quota counts.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub enum Unit {
    /// Requests.
    #[default]
    Requests,
    /// Tokens: those of the prompt and the largest number of output tokens.
    Tokens,
}

/// Limit on what a workspace may use over all entries together.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Quota {
    /// What is counted.
    pub unit: Unit,
    /// Units a second.
    pub per_s: f64,
    /// Units that may be used at once after a time without any use.
    pub burst: f64,
    /// Units that a request without token counts uses where tokens are counted.
    pub plain_units: f64,
}

/// A workspace.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Workspace {
    /// Name of the workspace.
    pub name: id::Workspace,
    /// Digests of the keys of its callers.
    pub keys: Vec<KeyDigest>,
    /// Rank of its requests in place of the route's; `None` leaves the route's.
    pub rank: Option<Rank>,
    /// Limit on its use; `None` where there is none.
    pub quota: Option<Quota>,
}
