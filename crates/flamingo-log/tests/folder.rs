//! The data folder: restarts, incomplete last writes and corruption.

use flamingo_log::disk::{Disk, Error};
use flamingo_log::file::{Folder, Opened};
use flamingo_log::{Entry, Payload, Record, Snapshot, Vote};
use flamingo_test_support::{cases, seed};
use std::path::Path;
use std::sync::Arc;

fn entry(index: u64) -> Record {
    Record::Entry(Entry {
        index,
        term: 1,
        payload: Payload::Command(vec![7; 20]),
    })
}

fn write(path: &Path, count: u64) {
    let Opened { mut folder, .. } = Folder::open(path, 9).unwrap();
    let records: Vec<_> = (1..=count).map(entry).collect();
    folder.write(&records).unwrap();
}

/// Opens a folder whose log of three entries was changed by `damage`.
fn after(damage: impl Fn(&mut Vec<u8>)) -> Result<Opened, Error> {
    let dir = tempfile::tempdir().unwrap();
    write(dir.path(), 3);
    let file = dir.path().join("log");
    let mut bytes = std::fs::read(&file).unwrap();
    damage(&mut bytes);
    std::fs::write(&file, bytes).unwrap();
    Folder::open(dir.path(), 10)
}

fn keeps(entries: usize, damage: impl Fn(&mut Vec<u8>)) {
    let opened = after(damage).unwrap();
    assert_eq!(opened.stored.entries.len(), entries);
    assert_eq!(opened.stored.storage, 9, "the identity stays");
}

cases! { keeps:
    a_whole_log_is_kept(3, |_: &mut Vec<u8>| {});
    a_torn_tail_is_cut(2, |bytes: &mut Vec<u8>| bytes.truncate(bytes.len() - 3));
    a_bad_last_record_is_cut(2, |bytes: &mut Vec<u8>| *bytes.last_mut().unwrap() ^= 1);
    a_tail_of_zeros_is_cut(3, |bytes: &mut Vec<u8>| bytes.extend([0; 100]));
}

#[test]
fn a_bad_record_before_good_ones_is_corruption() {
    let damaged = after(|bytes| bytes[10] ^= 1);
    assert!(matches!(damaged, Err(Error::Corrupt(..))), "{damaged:?}");
}

#[test]
fn a_log_that_is_gone_is_corruption() {
    let dir = tempfile::tempdir().unwrap();
    write(dir.path(), 3);
    std::fs::remove_file(dir.path().join("log")).unwrap();
    let opened = Folder::open(dir.path(), 10);
    assert!(matches!(opened, Err(Error::Corrupt(..))), "{opened:?}");
}

#[test]
fn a_folder_set_aside_opens_under_a_new_identity() {
    let dir = tempfile::tempdir().unwrap();
    write(dir.path(), 3);
    Folder::set_aside(dir.path()).unwrap();
    let opened = Folder::open(dir.path(), 10).unwrap();
    assert_eq!(opened.stored.storage, 10);
    assert!(opened.stored.entries.is_empty());
}

#[test]
fn a_snapshot_takes_the_place_of_entries() {
    let dir = tempfile::tempdir().unwrap();
    let Opened { mut folder, .. } = Folder::open(dir.path(), 9).unwrap();
    let vote = Vote {
        term: 4,
        node: Some("control-1".into()),
    };
    let snapshot = Arc::new(Snapshot {
        index: 2,
        term: 1,
        data: vec![1, 2, 3],
        ..Snapshot::default()
    });
    let records = [
        Record::Vote(vote.clone()),
        entry(1),
        entry(2),
        entry(3),
        Record::Snapshot(Arc::clone(&snapshot)),
        entry(4),
    ];
    folder.write(&records).unwrap();
    let stored = Folder::open(dir.path(), 10).unwrap().stored;
    assert_eq!(stored.vote, vote);
    assert_eq!(stored.snapshot, snapshot);
    let held: Vec<_> = stored.entries.iter().map(|entry| entry.index).collect();
    assert_eq!(held, [3, 4]);
}

#[test]
fn any_cut_of_the_file_keeps_a_prefix() {
    let dir = tempfile::tempdir().unwrap();
    write(dir.path(), 5);
    let bytes = std::fs::read(dir.path().join("log")).unwrap();
    let property = |cut: usize| {
        let scan = flamingo_log::segment::scan::<Record>(&bytes[..cut % (bytes.len() + 1)]);
        let whole = scan.records.iter().enumerate();
        let prefix = whole.fold(true, |prefix, (n, record)| {
            prefix && record == &entry(n as u64 + 1)
        });
        prefix && !scan.corrupt
    };
    for cut in 0..=bytes.len() {
        assert!(
            property(cut),
            "cut at {cut}, {}={}",
            seed::VARIABLE,
            seed::seed()
        );
    }
}
