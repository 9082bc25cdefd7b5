//! Identity of a whole request, by which its repeats are known.

use sha2::{Digest, Sha256};

/// Identity of a request: equal for requests that are alike in all that [`fingerprint`] was given.
pub type Fingerprint = u64;

/// Returns the fingerprint of a request with these fields, such as method, path, caller and body. It
/// is the same at all instances.
///
/// ```
/// use flamingo_wire::fingerprint::fingerprint;
///
/// assert_eq!(fingerprint(&[b"GET", b"/a"]), fingerprint(&[b"GET", b"/a"]));
/// assert_ne!(fingerprint(&[b"GET", b"/a"]), fingerprint(&[b"GET/", b"a"]));
/// ```
#[must_use]
pub fn fingerprint(fields: &[&[u8]]) -> Fingerprint {
    let mut digest = Sha256::new();
    for field in fields {
        digest.update((field.len() as u64).to_be_bytes());
        digest.update(field);
    }
    let digest = digest.finalize();
    let bytes = digest.first_chunk().copied().unwrap_or_default();
    Fingerprint::from_be_bytes(bytes)
}
