//! Storage of the records, as the state machine needs it.

use crate::entry::{Entry, Record, Snapshot, Storage, Vote};
use flamingo_wire::id;
use quick_error::quick_error;
use std::fmt;
use std::io;
use std::path::PathBuf;
use std::sync::Arc;

quick_error! {
    /// Why a data folder can't be used.
    #[derive(Debug)]
    pub enum Error {
        /// A read or write failed, for example because the disk is full.
        Disk(path: PathBuf, err: io::Error) {
            display("{}: {err}; free or replace the disk, then restart", path.display())
            source(err)
        }
        /// The disk has no room for a write. Nothing of it was kept.
        Full(path: PathBuf, err: io::Error) {
            display("{}: {err}; free some room on the disk", path.display())
            source(err)
        }
        /// A record that had been synced can't be read.
        Corrupt(path: PathBuf, offset: u64, what: String) {
            display(
                "{}: byte {offset}: {what}; the member must join again under a new identity",
                path.display()
            )
        }
    }
}

/// Records that a disk holds when a member starts.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Stored {
    /// Storage identity of the data folder.
    pub storage: Storage,
    /// Current term and vote.
    pub vote: Vote,
    /// Newest snapshot; the default where none was written.
    pub snapshot: Arc<Snapshot>,
    /// Entries after the snapshot.
    pub entries: Vec<Entry>,
    /// Last index that was recorded as committed; 0 for none.
    pub commit: id::Index,
    /// Bytes of an incomplete last write that were cut off.
    pub torn_bytes: u64,
}

/// Durable storage of records.
pub trait Disk: fmt::Debug + Send {
    /// Writes records and syncs them once; all are durable when it returns.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Full`] where there is no room: no record was written, and the same
    /// records, with later ones behind them, must be written before any other. Any other error
    /// means that the write or the sync failed: it is then unknown which records were written, and
    /// the disk rejects all writes until it is opened again.
    fn write(&mut self, records: &[Record]) -> Result<(), Error>;
}
