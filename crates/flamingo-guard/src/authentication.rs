//! Decides whether a caller's key admits a request, and as which workspace.
//!
//! Load: any caller may guess keys at the full rate of requests, and operators add and remove keys at
//! any time. An entry that may have missed a newer configuration must not turn away a key as unknown.

use flamingo_wire::workspace::{KeyDigest, Workspace};
use smallvec::SmallVec;
use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

/// Longest time without a push that shows a leader, after which this entry may have missed a newer
/// configuration. A change must be in force everywhere within 2.5 s, and the leader pushes twice a second.
pub const MAX_LEADER_SILENCE: Duration = Duration::from_secs(2);

/// Scheme of the header that holds a key, in any case (RFC 9110, section 11.1).
const SCHEME: &str = "bearer";

/// First bytes of a digest.
type Prefix = [u8; 8];
/// Keys whose digests begin alike, with their workspaces: one, unless someone has searched for more.
type Bucket = SmallVec<[(KeyDigest, Arc<Workspace>); 1]>;

/// Returns the digest of the key that a caller sends, given the values of its `Authorization` headers. A
/// header that stands twice is ambiguous and holds no key.
///
/// ```
/// use flamingo_guard::authentication::key;
/// use flamingo_wire::workspace::KeyDigest;
///
/// assert_eq!(key([&b"Bearer k"[..]]), Some(KeyDigest::of("k")));
/// assert_eq!(key([&b"Bearer k"[..], b"Bearer l"]), None);
/// assert_eq!(key([&b"Basic k"[..]]), None);
/// ```
#[must_use]
pub fn key<'a>(values: impl IntoIterator<Item = &'a [u8]>) -> Option<KeyDigest> {
    let mut values = values.into_iter();
    let value = values.next()?;
    if values.next().is_some() {
        return None;
    }
    let text = std::str::from_utf8(value).ok()?;
    let (scheme, key) = text.trim().split_once(' ')?;
    let is_bearer = scheme.eq_ignore_ascii_case(SCHEME);
    is_bearer.then(|| KeyDigest::of(key.trim_start()))
}

/// The workspaces of a configuration by the digests of their keys.
#[derive(Debug)]
pub struct Index {
    buckets: HashMap<Prefix, Bucket>,
}

impl Index {
    /// Builds the index.
    #[must_use]
    pub fn new(workspaces: &[Workspace]) -> Self {
        let mut buckets: HashMap<Prefix, Bucket> = HashMap::new();
        for workspace in workspaces {
            let workspace = Arc::new(workspace.clone());
            for key in &workspace.keys {
                let bucket = buckets.entry(prefix(key)).or_default();
                bucket.push((*key, Arc::clone(&workspace)));
            }
        }
        Self { buckets }
    }

    /// Returns the workspace that has this key; `None` if no workspace has it.
    ///
    /// ```
    /// use flamingo_guard::authentication::Index;
    /// use flamingo_wire::workspace::{KeyDigest, Workspace};
    ///
    /// let keys = vec![KeyDigest::of("k")];
    /// let index = Index::new(&[Workspace { name: "a".into(), keys, ..Workspace::default() }]);
    /// assert_eq!(index.find(&KeyDigest::of("k")).expect("known").name, "a");
    /// assert!(index.find(&KeyDigest::of("l")).is_none());
    /// ```
    #[must_use]
    pub fn find(&self, key: &KeyDigest) -> Option<&Arc<Workspace>> {
        let bucket = self.buckets.get(&prefix(key))?;
        let mut found = None;
        for (digest, workspace) in bucket {
            if digest.matches(key) {
                found = Some(workspace);
            }
        }
        found
    }
}

fn prefix(key: &KeyDigest) -> Prefix {
    key.as_bytes().first_chunk().copied().unwrap_or_default()
}

/// Whether a request is admitted.
#[derive(Clone, Copy, Debug, PartialEq, strum::IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum Decision<'a> {
    /// As a request of this workspace, or without one.
    Allowed(Option<&'a Arc<Workspace>>),
    /// No workspace has the key, or the caller has sent none.
    Unknown,
    /// No workspace that this entry knows has the key; a newer configuration may have one.
    Unsure,
}

/// Decides on a request with this key. `anonymous` says that its route needs none, and
/// `is_current` that no newer configuration is in force elsewhere.
///
/// ```
/// use flamingo_guard::authentication::{Decision, Index, decide};
///
/// let index = Index::new(&[]);
/// assert_eq!(decide(&index, None, true, true), Decision::Allowed(None));
/// assert_eq!(decide(&index, None, false, true), Decision::Unknown);
/// ```
#[must_use]
pub fn decide<'a>(
    index: &'a Index,
    key: Option<&KeyDigest>,
    anonymous: bool,
    is_current: bool,
) -> Decision<'a> {
    let workspace = key.and_then(|key| index.find(key));
    if workspace.is_some() || anonymous {
        return Decision::Allowed(workspace);
    }
    // No configuration has a workspace for a request without a key.
    if key.is_none() || is_current {
        Decision::Unknown
    } else {
        Decision::Unsure
    }
}
