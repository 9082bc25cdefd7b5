//! The proof by which an entry takes a request that another entry passes on.
//!
//! It is a [`Frame`] in hexadecimal digits, so that it fits into a header. It covers the address of the
//! receiver, the identity of the request and the time, so it is no proof for another request or at another
//! entry, and none once it is older than [`frame::MAX_AGE`](crate::frame::MAX_AGE).

use crate::frame::{Error, Frame, Seal};
use prost::Message as _;
use serde::{Deserialize, Serialize};
use sha2::{Digest as _, Sha256};
use std::fmt::Write as _;
use std::net::SocketAddr;
use std::time::SystemTime;

/// What identifies a request that is passed on.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Identity<'a> {
    /// Address of the entry that takes the request.
    pub receiver: SocketAddr,
    /// Identity of the caller's try; empty if it has none.
    pub attempt: &'a str,
    /// Method of the request.
    pub method: &'a str,
    /// Host of the request.
    pub host: &'a str,
    /// Path and query of the request.
    pub path: &'a str,
}

/// The sealed body: the SHA-256 digest of the identity.
#[derive(Debug, Deserialize, Eq, PartialEq, Serialize)]
struct Proof {
    request: [u8; 32],
}

impl Proof {
    fn of(identity: &Identity<'_>) -> Self {
        let receiver = identity.receiver.to_string();
        let fields = [
            receiver.as_str(),
            identity.attempt,
            identity.method,
            identity.host,
            identity.path,
        ];
        let mut digest = Sha256::new();
        for field in fields {
            digest.update((field.len() as u64).to_be_bytes());
            digest.update(field);
        }
        Self {
            request: digest.finalize().into(),
        }
    }
}

/// Returns the proof for passing on a request at the wall-clock time `now`.
///
/// # Errors
///
/// Returns an error where the frame can't be sealed.
///
/// ```
/// use flamingo_wire::frame::Seal;
/// use flamingo_wire::handover::{Identity, is_valid, prove};
/// use std::time::SystemTime;
///
/// let now = SystemTime::now();
/// let seal = Seal::new("a", b"secret");
/// let identity = Identity {
///     receiver: "10.0.0.2:4000".parse().unwrap(),
///     attempt: "t1",
///     method: "POST",
///     host: "h",
///     path: "/a",
/// };
/// let proof = prove(&seal, &identity, now).unwrap();
/// assert!(is_valid(&Seal::new("b", b"secret"), &proof, &identity, now));
/// assert!(!is_valid(&Seal::new("b", b"guess"), &proof, &identity, now));
/// let other = Identity { path: "/b", ..identity };
/// assert!(!is_valid(&Seal::new("b", b"secret"), &proof, &other, now));
/// ```
pub fn prove(seal: &Seal, identity: &Identity<'_>, now: SystemTime) -> Result<String, Error> {
    // The receiver's name is not known; its address is part of the identity.
    let frame = seal.seal("", &Proof::of(identity), now)?;
    let mut text = String::new();
    for byte in frame.encode_to_vec() {
        // Writing into a string does not fail.
        let _ = write!(text, "{byte:02x}");
    }
    Ok(text)
}

/// Returns whether `text` is the proof of a process with the deployment's key for this request, at the
/// wall-clock time `now`.
#[must_use]
pub fn is_valid(seal: &Seal, text: &str, identity: &Identity<'_>, now: SystemTime) -> bool {
    let frame = decode(text).and_then(|bytes| Frame::decode(bytes.as_slice()).ok());
    let opened = frame.and_then(|frame| seal.open::<Proof>(&frame, now).ok());
    opened.is_some_and(|proof| proof == Proof::of(identity))
}

/// Returns the bytes that pairs of hexadecimal digits stand for; `None` if there is anything else.
fn decode(text: &str) -> Option<Vec<u8>> {
    let digits = text.as_bytes();
    if !digits.len().is_multiple_of(2) {
        return None;
    }
    let value = |digit: u8| char::from(digit).to_digit(16);
    let bytes = digits.chunks_exact(2).map(|pair| {
        let byte = value(pair[0])? * 16 + value(pair[1])?;
        u8::try_from(byte).ok()
    });
    bytes.collect()
}
