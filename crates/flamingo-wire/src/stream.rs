//! Where streams began. Targets of different software versions may serve side by side, and a stream
//! goes on only at the version that began it, also through another entry.

use crate::id;
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

/// Identity of a stream: a digest of the caller's try that brought its first event.
pub type Key = u64;

/// Returns the key of the stream that a caller's try begins.
///
/// ```
/// use flamingo_wire::stream::key;
///
/// assert_eq!(key("9c41d07be2a35f68"), key("9c41d07be2a35f68"));
/// assert_ne!(key("9c41d07be2a35f68"), key("9c41d07be2a35f69"));
/// ```
#[must_use]
pub fn key(attempt_id: &str) -> Key {
    let digest = Sha256::digest(attempt_id);
    let bytes = digest.first_chunk().copied().unwrap_or_default();
    Key::from_be_bytes(bytes)
}

/// The service and the software version that began a stream.
#[derive(Clone, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub struct Origin {
    /// The service.
    pub service: id::Service,
    /// Version of the target's software.
    pub software: id::Software,
}

/// Streams of one origin that began at an entry since its last report.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Begun {
    /// Where the streams began.
    pub origin: Origin,
    /// The streams.
    pub streams: Vec<Key>,
}

/// A question about the origin of a stream.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Query {
    /// The stream.
    pub stream: Key,
    /// The service that the stream would go on at if it began at any version.
    pub service: id::Service,
}

/// What a control instance knows about a [`Query`].
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Answer {
    /// Where the stream began; `None` where no entry reported it.
    pub origin: Option<Origin>,
    /// Software versions of the service's targets, including those that have left lately.
    pub software: Vec<id::Software>,
}
