//! Where streams began. Targets of different software versions may serve side by side, and a stream
//! goes on only at the version that began it, also through another entry.

use crate::fingerprint::fingerprint;
use crate::id;
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

/// Identity of a stream: a digest of the caller's try that brought its first event.
pub type Key = u64;

/// Whose a stream is. Streams of the same try in different scopes have different keys.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Scope<'a> {
    /// Nobody's in particular: the configuration has no workspaces.
    Open,
    /// The stream of a workspace, or of callers without one.
    Workspace(Option<&'a str>),
    /// The stream of any workspace: known wherever that of a workspace is.
    Any,
}

/// Returns the key of the stream that a caller's try begins.
///
/// ```
/// use flamingo_wire::stream::{Scope, key};
///
/// let of = |workspace, attempt_id| key(Scope::Workspace(workspace), attempt_id);
/// assert_eq!(of(Some("a"), "9c41d07be2a35f68"), of(Some("a"), "9c41d07be2a35f68"));
/// assert_ne!(of(Some("a"), "9c41d07be2a35f68"), of(Some("a"), "9c41d07be2a35f69"));
/// assert_ne!(of(Some("a"), "9c41d07be2a35f68"), of(Some("b"), "9c41d07be2a35f68"));
/// assert_ne!(of(None, "9c41d07be2a35f68"), key(Scope::Open, "9c41d07be2a35f68"));
/// ```
#[must_use]
pub fn key(scope: Scope<'_>, attempt_id: &str) -> Key {
    // Each field is preceded by its length, which begins with a zero byte. No attempt id does, so no
    // caller can choose one that has the key of another scope.
    let attempt = attempt_id.as_bytes();
    match scope {
        Scope::Open => {}
        Scope::Workspace(None) => return fingerprint(&[b"no workspace", attempt]),
        Scope::Workspace(Some(name)) => {
            return fingerprint(&[b"workspace", name.as_bytes(), attempt]);
        }
        Scope::Any => return fingerprint(&[b"any workspace", attempt]),
    }
    let digest = Sha256::digest(attempt_id);
    let bytes = digest.first_chunk().copied().unwrap_or_default();
    Key::from_be_bytes(bytes)
}

/// A service and a software version of its targets, at which streams begin.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Origin {
    /// The service.
    pub service: id::Service,
    /// Version of the target's software.
    pub software: id::Software,
}

/// Streams of one origin, as the entry at which they began reports them.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Begun {
    /// Where the streams began; `None` where a restart of the target has made that uncertain.
    pub origin: Option<Origin>,
    /// The streams.
    pub streams: Vec<Key>,
}

/// What a process knows of the origin of a stream.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub enum Knowledge {
    /// Nobody has reported the stream to the process, or it has forgotten it.
    #[default]
    Unknown,
    /// The stream began here.
    Known(Origin),
    /// Either of two versions may have begun the stream, so it goes on nowhere.
    Uncertain,
}

impl Knowledge {
    /// Joins what two processes know. The result does not depend on the order.
    ///
    /// ```
    /// use flamingo_wire::stream::{Knowledge, Origin};
    ///
    /// let known = Knowledge::Known(Origin { service: "notes".into(), software: "v1".into() });
    /// assert_eq!(Knowledge::Unknown.join(known.clone()), known);
    /// assert_eq!(known.join(Knowledge::Uncertain), Knowledge::Uncertain);
    /// ```
    #[must_use]
    pub fn join(self, other: Self) -> Self {
        match (self, other) {
            (Self::Unknown, known) | (known, Self::Unknown) => known,
            (Self::Known(one), Self::Known(other)) if one == other => Self::Known(one),
            _ => Self::Uncertain,
        }
    }
}

impl From<Option<Origin>> for Knowledge {
    /// Returns the knowledge of a process that has a report with this origin.
    fn from(reported: Option<Origin>) -> Self {
        reported.map_or(Self::Uncertain, Self::Known)
    }
}
