//! Bounds the memory that a process spends on the bodies of requests and responses.
//!
//! Each body has a limit of its own, but a process holds as many of them as it has connections. The load
//! that this answers is many peers at a time that send large bodies and never end them, or that take no
//! byte of the responses that were collected for them. Short bodies keep a part of the memory, so that
//! requests with long ones can't keep out the others.

use bytes::Bytes;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use tokio::sync::Notify;

/// Largest body that counts as short, in bytes.
pub const SHORT_BODY_BYTES: usize = 16 * 1024;
/// Percentage of the memory for bodies that those which are not short may take.
const LONG_BODIES_PERCENT: usize = 75;
/// Percentage of the memory of a process that its bodies may take. The rest is for the buffers of its
/// connections and for its own state.
const BODIES_PERCENT: u64 = 35;

/// The memory for bodies of one process. Clones share it.
#[derive(Clone, Debug)]
pub struct Memory(Arc<Shared>);

#[derive(Debug)]
struct Shared {
    limit: usize,
    held: AtomicUsize,
    /// Notifies of memory that has been freed.
    freed: Notify,
}

impl Memory {
    /// Returns the memory for `limit` bytes of bodies.
    #[must_use]
    pub fn new(limit: usize) -> Self {
        Self(Arc::new(Shared {
            limit,
            held: AtomicUsize::new(0),
            freed: Notify::new(),
        }))
    }

    /// Returns the memory for the bodies of a process that may use `granted` bytes altogether.
    #[must_use]
    pub fn of_process(granted: u64) -> Self {
        Self::new(usize::try_from(granted / 100 * BODIES_PERCENT).unwrap_or(usize::MAX))
    }

    /// Returns the number of bytes that are held.
    #[must_use]
    pub fn held(&self) -> usize {
        self.0.held.load(Ordering::Relaxed)
    }

    /// Holds `bytes` bytes until the reservation is dropped; `None` if there is no room for them.
    ///
    /// ```
    /// use flamingo_serve::memory::Memory;
    ///
    /// let memory = Memory::new(1_000);
    /// let held = memory.reserve(600).unwrap();
    /// assert!(memory.reserve(600).is_none());
    /// drop(held);
    /// assert!(memory.reserve(600).is_some());
    /// ```
    #[must_use]
    pub fn reserve(&self, bytes: usize) -> Option<Reservation> {
        let mut reservation = Reservation {
            memory: self.clone(),
            bytes: 0,
        };
        reservation.grow_to(bytes).then_some(reservation)
    }

    /// Returns whether there is room for `bytes` bytes of one body once nothing else is held.
    #[must_use]
    pub fn could_hold(&self, bytes: usize) -> bool {
        bytes <= self.limit_for(bytes)
    }

    /// Returns an empty buffer for one body of at most `max_bytes`.
    #[must_use]
    pub fn buffer(&self, max_bytes: usize) -> Buffer {
        Buffer {
            bytes: Vec::new(),
            max_bytes,
            reservation: Reservation {
                memory: self.clone(),
                bytes: 0,
            },
        }
    }

    /// Returns the bytes that may be held if one of the bodies has `body_bytes`.
    fn limit_for(&self, body_bytes: usize) -> usize {
        if body_bytes <= SHORT_BODY_BYTES {
            self.0.limit
        } else {
            self.0.limit / 100 * LONG_BODIES_PERCENT
        }
    }
}

/// A part of the memory, returned on drop.
#[derive(Debug)]
pub struct Reservation {
    memory: Memory,
    bytes: usize,
}

impl Reservation {
    /// Holds `bytes` bytes in place of fewer. Returns whether there is room.
    fn grow_to(&mut self, bytes: usize) -> bool {
        let limit = self.memory.limit_for(bytes);
        let further = bytes.saturating_sub(self.bytes);
        let held = &self.memory.0.held;
        let add = |held: usize| held.checked_add(further).filter(|held| *held <= limit);
        let has_room = held.fetch_update(Ordering::Relaxed, Ordering::Relaxed, add);
        if has_room.is_ok() {
            self.bytes += further;
        }
        has_room.is_ok()
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.memory.0.held.fetch_sub(self.bytes, Ordering::Relaxed);
        self.memory.0.freed.notify_waiters();
    }
}

/// Why bytes were not added to a buffer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Refused {
    /// The body is larger than its own limit, or than the memory of all bodies.
    TooLarge,
    /// The bodies of the process leave no room.
    NoRoom,
}

/// A body that is being received.
#[derive(Debug)]
pub struct Buffer {
    bytes: Vec<u8>,
    max_bytes: usize,
    reservation: Reservation,
}

impl Buffer {
    /// Appends bytes.
    ///
    /// # Errors
    ///
    /// Returns why they were not appended.
    ///
    /// ```
    /// use flamingo_serve::memory::{Memory, Refused};
    ///
    /// let memory = Memory::new(100);
    /// let mut buffer = memory.buffer(8);
    /// buffer.push(b"whole").unwrap();
    /// assert_eq!(buffer.push(b"body"), Err(Refused::TooLarge));
    /// let body = buffer.freeze();
    /// assert_eq!((&body[..], memory.held()), (&b"whole"[..], 5));
    /// drop(body);
    /// assert_eq!(memory.held(), 0);
    /// ```
    pub fn push(&mut self, bytes: &[u8]) -> Result<(), Refused> {
        let needed = self.bytes.len().saturating_add(bytes.len());
        if needed > self.max_bytes || !self.reservation.memory.could_hold(needed) {
            return Err(Refused::TooLarge);
        }
        if needed > self.bytes.capacity() {
            self.grow(needed)?;
        }
        self.bytes.extend_from_slice(bytes);
        Ok(())
    }

    /// Appends bytes once the other bodies leave room for them.
    ///
    /// # Errors
    ///
    /// Returns [`Refused::TooLarge`] if the body is larger than its own limit.
    pub async fn push_when_free(&mut self, bytes: &[u8]) -> Result<(), Refused> {
        loop {
            let memory = self.reservation.memory.clone();
            // Memory that is freed from here on is noticed.
            let freed = memory.0.freed.notified();
            match self.push(bytes) {
                Err(Refused::NoRoom) => freed.await,
                done => return done,
            }
        }
    }

    /// Makes room for `needed` bytes, or for twice as many as now if there is memory.
    fn grow(&mut self, needed: usize) -> Result<(), Refused> {
        let doubled = (self.bytes.capacity() * 2).min(self.max_bytes);
        for capacity in [doubled.max(needed), needed] {
            if self.reservation.grow_to(capacity) {
                self.bytes.reserve_exact(capacity - self.bytes.len());
                return Ok(());
            }
        }
        Err(Refused::NoRoom)
    }

    /// Returns the body. Its memory is held until the last clone of it is dropped.
    #[must_use]
    pub fn freeze(self) -> Bytes {
        if self.bytes.is_empty() {
            return Bytes::new();
        }
        Bytes::from_owner(Held {
            bytes: self.bytes,
            _reservation: self.reservation,
        })
    }
}

/// The bytes of a body with their memory.
struct Held {
    bytes: Vec<u8>,
    _reservation: Reservation,
}

impl AsRef<[u8]> for Held {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}
