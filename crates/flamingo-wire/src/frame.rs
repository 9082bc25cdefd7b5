//! The authenticated envelope of the inner protocol.
//!
//! Every message between the system's own processes is a [`Frame`]: a `MessagePack` body with
//! the names of sender and receiver, the time of sending, and an HMAC-SHA-256 tag over all
//! fields under the deployment's inner key. A process without the key can neither join the
//! system nor give orders. A frame recorded on the network is rejected by every other
//! receiver, and by its own receiver once the frame is older than [`MAX_AGE`].

use crate::id;
pub use crate::inner::Frame;
use hmac::{Hmac, Mac};
use quick_error::quick_error;
use serde::Serialize;
use serde::de::DeserializeOwned;
use sha2::Sha256;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// Version of the envelope that this build writes and reads.
pub const VERSION: u32 = 1;
/// Age beyond which a frame is rejected, to limit replays.
pub const MAX_AGE: Duration = Duration::from_secs(30);
/// Largest body, in bytes.
pub const MAX_BODY: usize = 16 * 1024 * 1024;

quick_error! {
    /// Why a frame can't be opened or sealed.
    #[derive(Debug)]
    pub enum Error {
        /// The body can't be encoded.
        Encode(err: rmp_serde::encode::Error) {
            from()
            display("can't encode a frame: {err}")
        }
        /// The body can't be decoded.
        Decode(err: rmp_serde::decode::Error) {
            from()
            display("can't decode a frame: {err}; both processes must run versions that use envelope version {VERSION}")
        }
        /// The envelope has another version.
        Version(seen: u32) {
            display("frame has envelope version {seen}, but this build supports version {VERSION}")
        }
        /// The tag does not match the frame and the key.
        Tag(from: id::Node) {
            display("frame from '{from}' has an invalid tag; give every instance the same [inner] key")
        }
        /// The frame is addressed to another receiver.
        Receiver(to: id::Node) {
            display("frame is addressed to '{to}'")
        }
        /// The frame is too old, or the clocks of sender and receiver differ too much.
        Stale(from: id::Node) {
            display("frame from '{from}' is older than {} s; check that the clocks agree", MAX_AGE.as_secs())
        }
        /// The body is too large.
        Size(len: usize) {
            display("frame body has {len} bytes; at most {MAX_BODY} are allowed")
        }
    }
}

impl Error {
    /// Returns whether the frame is valid, but holds what this build does not know. Its sender is a process of
    /// the system, of a later build, and reads what this one sends: the frame is skipped, and nothing that the
    /// two have is given up.
    #[must_use]
    pub fn is_of_later_build(&self) -> bool {
        matches!(self, Self::Decode(_))
    }
}

/// Creates and verifies the frames of one process under the inner key.
#[derive(Clone)]
pub struct Seal {
    key: Hmac<Sha256>,
    node: id::Node,
}

impl std::fmt::Debug for Seal {
    fn fmt(&self, out: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(out, "Seal({})", self.node)
    }
}

impl Seal {
    /// Creates a seal for the process `node` under `key`.
    ///
    /// # Panics
    ///
    /// Never: HMAC takes a key of any length.
    #[must_use]
    pub fn new(node: &str, key: &[u8]) -> Self {
        let key = Hmac::new_from_slice(key).expect("HMAC takes a key of any length");
        let node = node.to_owned();
        Self { key, node }
    }

    /// Returns the name of the process that sends the sealed frames.
    #[must_use]
    pub fn node(&self) -> &str {
        &self.node
    }

    /// Encodes and signs a message to the process `to` at the wall-clock time `now`.
    ///
    /// # Errors
    ///
    /// Returns an error where the body can't be encoded or is too large.
    ///
    /// ```
    /// use flamingo_wire::frame::Seal;
    /// use std::time::SystemTime;
    ///
    /// let now = SystemTime::now();
    /// let a = Seal::new("a", b"secret");
    /// let b = Seal::new("b", b"secret");
    /// let frame = a.seal("b", &42u32, now).unwrap();
    /// assert_eq!(b.open::<u32>(&frame, now).unwrap(), 42);
    /// let stranger = Seal::new("b", b"guess");
    /// assert!(stranger.open::<u32>(&frame, now).is_err());
    /// ```
    pub fn seal<T: Serialize>(&self, to: &str, body: &T, now: SystemTime) -> Result<Frame, Error> {
        let body = rmp_serde::to_vec_named(body)?;
        if body.len() > MAX_BODY {
            return Err(Error::Size(body.len()));
        }
        let mut frame = Frame {
            version: VERSION,
            from: self.node.clone(),
            to: to.to_owned(),
            sent_at: millis(now),
            body,
            tag: Vec::new(),
        };
        frame.tag = self.mac(&frame).finalize().into_bytes().to_vec();
        Ok(frame)
    }

    /// Verifies and decodes a frame that arrived at the wall-clock time `now`.
    ///
    /// A frame with an empty receiver is accepted by any process.
    ///
    /// # Errors
    ///
    /// Returns an error where version, tag, receiver, age or body are invalid.
    pub fn open<T: DeserializeOwned>(&self, frame: &Frame, now: SystemTime) -> Result<T, Error> {
        if frame.version != VERSION {
            return Err(Error::Version(frame.version));
        }
        if self.mac(frame).verify_slice(&frame.tag).is_err() {
            return Err(Error::Tag(frame.from.clone()));
        }
        if !frame.to.is_empty() && frame.to != self.node {
            return Err(Error::Receiver(frame.to.clone()));
        }
        let age = millis(now).abs_diff(frame.sent_at);
        if u128::from(age) > MAX_AGE.as_millis() {
            return Err(Error::Stale(frame.from.clone()));
        }
        Ok(rmp_serde::from_slice(&frame.body)?)
    }

    fn mac(&self, frame: &Frame) -> Hmac<Sha256> {
        let mut mac = self.key.clone();
        mac.update(&frame.version.to_le_bytes());
        for part in [frame.from.as_bytes(), frame.to.as_bytes(), &frame.body] {
            mac.update(&(part.len() as u64).to_le_bytes());
            mac.update(part);
        }
        mac.update(&frame.sent_at.to_le_bytes());
        mac
    }
}

fn millis(now: SystemTime) -> u64 {
    let since_epoch = now.duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(since_epoch.as_millis()).unwrap_or(u64::MAX)
}
