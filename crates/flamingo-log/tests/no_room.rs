//! A data folder without room, shown by a limit on the size of the files of this process.

use flamingo_log::disk::{Disk, Error};
use flamingo_log::file::{Folder, Opened};
use flamingo_log::{Entry, Payload, Record, Snapshot};
use nix::sys::resource::{Resource, getrlimit, setrlimit};
use nix::sys::signal::{SigSet, Signal};
use std::path::Path;
use std::sync::Arc;

const ENTRY_BYTES: usize = 200;

fn entry(index: u64) -> Record {
    Record::Entry(Entry {
        index,
        term: 1,
        payload: Payload::Command(vec![7; ENTRY_BYTES]),
    })
}

fn snapshot(index: u64) -> Record {
    Record::Snapshot(Arc::new(Snapshot {
        index,
        term: 1,
        data: vec![7; 8 * ENTRY_BYTES],
        ..Snapshot::default()
    }))
}

fn limit_files(bytes: u64) {
    let (_, hard) = getrlimit(Resource::RLIMIT_FSIZE).expect("a limit");
    setrlimit(Resource::RLIMIT_FSIZE, bytes, hard).expect("the limit is set");
}

fn free() {
    let (_, hard) = getrlimit(Resource::RLIMIT_FSIZE).expect("a limit");
    limit_files(hard);
}

fn log_bytes(folder: &Path) -> u64 {
    let file = std::fs::metadata(folder.join("log"));
    file.expect("the log").len()
}

fn is_full(written: &Result<(), Error>) -> bool {
    matches!(written, Err(Error::Full(..)))
}

/// All in one test, since the limit holds for the whole process.
#[test]
fn a_write_that_found_no_room_is_taken_back_and_succeeds_once_there_is_room() {
    let mut signals = SigSet::empty();
    signals.add(Signal::SIGXFSZ);
    signals
        .thread_block()
        .expect("writes fail without a signal");
    let dir = tempfile::tempdir().expect("a folder");
    let Opened { mut folder, .. } = Folder::open(dir.path(), 9).expect("opened");
    folder.write(&[entry(1)]).expect("written");
    let synced = log_bytes(dir.path());

    // Half of the next record fits.
    limit_files(synced + ENTRY_BYTES as u64 / 2);
    for _ in 0..3 {
        let written = folder.write(&[entry(2)]);
        assert!(is_full(&written), "{written:?}");
        assert_eq!(log_bytes(dir.path()), synced);
    }
    let written = folder.write(&[entry(2), entry(3), snapshot(1)]);
    assert!(is_full(&written), "{written:?}");
    assert!(!dir.path().join("snapshot.new").exists());

    free();
    let later = [entry(2), entry(3), snapshot(1), entry(4)];
    folder.write(&later).expect("written");
    drop(folder);
    let stored = Folder::open(dir.path(), 10).expect("opened").stored;
    let indexes: Vec<u64> = stored.entries.iter().map(|entry| entry.index).collect();
    assert_eq!(indexes, [2, 3, 4]);
    assert_eq!((stored.snapshot.index, stored.torn_bytes), (1, 0));
}
