//! A data folder: storage identity, snapshot and one segment of records.
//!
//! - `identity`: the storage identity, written once before anything else;
//! - `snapshot`: the newest snapshot, replaced as a whole;
//! - `log`: votes, commit indexes, and the entries after the snapshot; appended and synced
//!   in batches.

use crate::disk::{Disk, Error, Stored};
use crate::entry::{Entry, Record, Snapshot, Storage, Vote};
use crate::segment;
use flamingo_wire::id;
use serde::de::DeserializeOwned;
use std::fs::{File, OpenOptions};
use std::io::{self, Write};
use std::path::{Path, PathBuf};
use std::sync::Arc;

const IDENTITY: &str = "identity";
const SNAPSHOT: &str = "snapshot";
const LOG: &str = "log";

/// An open data folder, with the log's content in memory to rewrite the log after a
/// snapshot.
#[derive(Debug)]
pub struct Folder {
    path: PathBuf,
    log: File,
    /// Bytes of `log` that are synced.
    synced_bytes: u64,
    vote: Vote,
    entries: Vec<Entry>,
    commit: id::Index,
    failed: bool,
}

/// An opened folder with the records that it held.
#[derive(Debug)]
pub struct Opened {
    /// The folder, ready for writes.
    pub folder: Folder,
    /// Records that the folder held.
    pub stored: Stored,
}

impl Folder {
    /// Opens a folder. Creates it with the storage identity `fresh` where it has no
    /// identity.
    ///
    /// # Errors
    ///
    /// Returns an error where the disk fails or a record is corrupt.
    pub fn open(path: &Path, fresh: Storage) -> Result<Opened, Error> {
        let failed = |error| Error::Disk(path.to_owned(), error);
        std::fs::create_dir_all(path).map_err(failed)?;
        let Some(storage) = read_single_record::<Storage>(&path.join(IDENTITY))? else {
            return Self::create(path, fresh).map_err(failed);
        };
        let snapshot = read_single_record::<Snapshot>(&path.join(SNAPSHOT))?.unwrap_or_default();
        Self::load(path, storage, snapshot)
    }

    /// Renames a corrupt folder's files to `*.corrupt`, so that the folder can be opened as
    /// new.
    ///
    /// # Errors
    ///
    /// Returns an error where the files can't be renamed.
    pub fn set_aside(path: &Path) -> Result<(), Error> {
        let failed = |error| Error::Disk(path.to_owned(), error);
        for name in [IDENTITY, SNAPSHOT, LOG] {
            let from = path.join(name);
            if from.exists() {
                std::fs::rename(&from, path.join(format!("{name}.corrupt"))).map_err(failed)?;
            }
        }
        sync_folder(path).map_err(failed)
    }

    fn create(path: &Path, storage: Storage) -> io::Result<Opened> {
        // These files belong to an identity that is gone, so their records must not be
        // used.
        for name in [SNAPSHOT, LOG] {
            match std::fs::remove_file(path.join(name)) {
                Err(error) if error.kind() != io::ErrorKind::NotFound => return Err(error),
                _ => {}
            }
        }
        replace(path, LOG, &[]).map_err(Problem::into_error)?;
        let mut bytes = Vec::new();
        segment::push(&mut bytes, &storage).map_err(io::Error::other)?;
        replace(path, IDENTITY, &bytes).map_err(Problem::into_error)?;
        let folder = Self {
            path: path.to_owned(),
            log: open_for_append(path)?,
            synced_bytes: 0,
            vote: Vote::default(),
            entries: Vec::new(),
            commit: 0,
            failed: false,
        };
        let stored = Stored {
            storage,
            ..Stored::default()
        };
        Ok(Opened { folder, stored })
    }

    fn load(path: &Path, storage: Storage, snapshot: Snapshot) -> Result<Opened, Error> {
        let file = path.join(LOG);
        let bytes = std::fs::read(&file).map_err(|error| read_error(&file, error))?;
        let scan = segment::scan::<Record>(&bytes);
        if scan.corrupt {
            let what = "a bad record precedes a valid one";
            return Err(corrupt(&file, scan.valid_bytes, what));
        }
        let failed = |error| Error::Disk(path.to_owned(), error);
        let log = open_for_append(path).map_err(failed)?;
        let torn_bytes = bytes.len() - scan.valid_bytes;
        if torn_bytes > 0 {
            log.set_len(scan.valid_bytes as u64).map_err(failed)?;
            log.sync_all().map_err(failed)?;
        }
        let mut folder = Self {
            path: path.to_owned(),
            log,
            synced_bytes: scan.valid_bytes as u64,
            vote: Vote::default(),
            entries: Vec::new(),
            commit: 0,
            failed: false,
        };
        for record in scan.records {
            folder.apply(&record);
        }
        folder.entries.retain(|entry| entry.index > snapshot.index);
        // A crash between replacing the snapshot and the log leaves entries of a deposed
        // leader in the log; they were never committed.
        if folder
            .entries
            .first()
            .is_some_and(|entry| entry.term < snapshot.term)
        {
            folder.entries.clear();
        }
        let first = folder.entries.first();
        if first.is_some_and(|entry| entry.index != snapshot.index + 1) {
            return Err(corrupt(&file, 0, "entries do not follow the snapshot"));
        }
        let stored = Stored {
            storage,
            vote: folder.vote.clone(),
            snapshot: Arc::new(snapshot),
            entries: folder.entries.clone(),
            commit: folder.commit,
            torn_bytes: torn_bytes as u64,
        };
        Ok(Opened { folder, stored })
    }

    /// Applies a record to the copy of the log in memory.
    fn apply(&mut self, record: &Record) {
        match record {
            Record::Vote(vote) => self.vote = vote.clone(),
            Record::Commit(index) => self.commit = self.commit.max(*index),
            Record::Entry(entry) => {
                let keep = self
                    .entries
                    .partition_point(|kept| kept.index < entry.index);
                self.entries.truncate(keep);
                self.entries.push(entry.clone());
            }
            Record::Snapshot(snapshot) => {
                let at = self
                    .entries
                    .iter()
                    .find(|kept| kept.index == snapshot.index);
                let same_entry = at.is_some_and(|kept| kept.term == snapshot.term);
                let already_compacted = self
                    .entries
                    .first()
                    .is_some_and(|kept| kept.index > snapshot.index);
                if !same_entry && !already_compacted {
                    self.entries.clear();
                }
                self.entries.retain(|kept| kept.index > snapshot.index);
            }
        }
    }

    /// Writes records and syncs them. They may be those of an earlier call that found no room.
    fn try_write(&mut self, records: &[Record]) -> Result<(), Problem> {
        let mut bytes = Vec::new();
        for record in records {
            self.apply(record);
            if let Record::Snapshot(snapshot) = record {
                bytes.clear();
                self.rewrite(snapshot)?;
            } else {
                segment::push(&mut bytes, record).map_err(io::Error::other)?;
            }
        }
        if bytes.is_empty() {
            return Ok(());
        }
        self.append(&bytes)
    }

    /// Appends to the log and syncs it. Where there is no room, takes back what was written.
    fn append(&mut self, bytes: &[u8]) -> Result<(), Problem> {
        let written = self.log.write_all(bytes).map_err(Problem::of_write);
        if let Err(Problem::Full(error)) = written {
            self.log.set_len(self.synced_bytes)?;
            return Err(Problem::Full(error));
        }
        written?;
        self.log.sync_data()?;
        self.synced_bytes += bytes.len() as u64;
        Ok(())
    }

    /// Replaces the snapshot file, then the log by the vote, the commit index and the
    /// entries after the snapshot.
    fn rewrite(&mut self, snapshot: &Snapshot) -> Result<(), Problem> {
        let mut bytes = Vec::new();
        segment::push(&mut bytes, snapshot).map_err(io::Error::other)?;
        replace(&self.path, SNAPSHOT, &bytes)?;
        let mut bytes = Vec::new();
        let vote = Record::Vote(self.vote.clone());
        segment::push(&mut bytes, &vote).map_err(io::Error::other)?;
        let commit = Record::Commit(self.commit);
        segment::push(&mut bytes, &commit).map_err(io::Error::other)?;
        for entry in &self.entries {
            let record = Record::Entry(entry.clone());
            segment::push(&mut bytes, &record).map_err(io::Error::other)?;
        }
        replace(&self.path, LOG, &bytes)?;
        self.log = open_for_append(&self.path)?;
        self.synced_bytes = bytes.len() as u64;
        Ok(())
    }
}

/// Why a write did not succeed.
#[derive(Debug)]
enum Problem {
    /// There is no room, and the files are as before.
    Full(io::Error),
    /// It is unknown what the files hold.
    Failed(io::Error),
}

impl Problem {
    /// Tells a lack of room from other reasons why a file could not be created or written.
    fn of_write(error: io::Error) -> Self {
        match error.kind() {
            io::ErrorKind::StorageFull
            | io::ErrorKind::QuotaExceeded
            | io::ErrorKind::FileTooLarge => Self::Full(error),
            _ => Self::Failed(error),
        }
    }
}

impl Problem {
    fn into_error(self) -> io::Error {
        match self {
            Self::Full(error) | Self::Failed(error) => error,
        }
    }
}

impl From<io::Error> for Problem {
    fn from(error: io::Error) -> Self {
        Self::Failed(error)
    }
}

impl Disk for Folder {
    fn write(&mut self, records: &[Record]) -> Result<(), Error> {
        if self.failed {
            let error = io::Error::other("an earlier write failed");
            return Err(Error::Disk(self.path.clone(), error));
        }
        self.try_write(records).map_err(|problem| match problem {
            Problem::Full(error) => Error::Full(self.path.clone(), error),
            Problem::Failed(error) => {
                self.failed = true;
                Error::Disk(self.path.clone(), error)
            }
        })
    }
}

/// Reads a file that consists of one record; `None` where there is no file.
fn read_single_record<T: DeserializeOwned>(file: &Path) -> Result<Option<T>, Error> {
    let bytes = match std::fs::read(file) {
        Ok(bytes) => bytes,
        Err(error) if error.kind() == io::ErrorKind::NotFound => return Ok(None),
        Err(error) => return Err(Error::Disk(file.to_owned(), error)),
    };
    let mut scan = segment::scan::<T>(&bytes);
    if scan.valid_bytes != bytes.len() || scan.records.len() != 1 {
        return Err(corrupt(
            file,
            scan.valid_bytes,
            "the file does not consist of exactly one valid record",
        ));
    }
    Ok(scan.records.pop())
}

/// Replaces a file so that a crash, or a lack of room, leaves either the old or the new content.
fn replace(folder: &Path, name: &str, bytes: &[u8]) -> Result<(), Problem> {
    let temporary = folder.join(format!("{name}.new"));
    let mut file = File::create(&temporary).map_err(Problem::of_write)?;
    if let Err(error) = file.write_all(bytes) {
        // The part that was written takes room.
        std::fs::remove_file(&temporary)?;
        return Err(Problem::of_write(error));
    }
    file.sync_all()?;
    std::fs::rename(&temporary, folder.join(name)).map_err(Problem::of_write)?;
    Ok(sync_folder(folder)?)
}

fn sync_folder(folder: &Path) -> io::Result<()> {
    File::open(folder)?.sync_all()
}

fn open_for_append(folder: &Path) -> io::Result<File> {
    OpenOptions::new().append(true).open(folder.join(LOG))
}

fn read_error(file: &Path, error: io::Error) -> Error {
    if error.kind() == io::ErrorKind::NotFound {
        return corrupt(
            file,
            0,
            "the log file is missing although the identity file exists",
        );
    }
    Error::Disk(file.to_owned(), error)
}

fn corrupt(file: &Path, offset: usize, what: &str) -> Error {
    Error::Corrupt(file.to_owned(), offset as u64, what.to_owned())
}
