//! The border to the disk.

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
        /// The disk failed, or is full.
        Disk(path: PathBuf, err: io::Error) {
            display("{}: {err}; free or replace the disk, then restart", path.display())
            source(err)
        }
        /// A record that was synced can't be read any more.
        Corrupt(path: PathBuf, offset: u64, what: String) {
            display(
                "{}: byte {offset}: {what}; the member must join again under a new identity",
                path.display()
            )
        }
    }
}

/// What a disk holds at the start.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Stored {
    /// Identity of the data folder.
    pub storage: Storage,
    /// Term and vote.
    pub vote: Vote,
    /// Newest snapshot.
    pub snapshot: Arc<Snapshot>,
    /// Entries after it.
    pub entries: Vec<Entry>,
    /// Last index that was known to be committed; 0 for none.
    pub commit: id::Index,
    /// Bytes that were cut off as a torn tail.
    pub torn_bytes: u64,
}

/// Keeps records.
pub trait Disk: fmt::Debug + Send {
    /// Writes records and syncs them once; all are durable when it returns.
    ///
    /// # Errors
    ///
    /// Returns an error where the write or the sync failed. What was written is
    /// unknown from then on, and the disk takes nothing more until it is opened
    /// again.
    fn write(&mut self, records: &[Record]) -> Result<(), Error>;
}
