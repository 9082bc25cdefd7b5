//! Keys are checked, rotated without a restart, and never shown in an error message.

use flamingo_daemon::key::Keyring;
use flamingo_test_support::cases;
use std::time::{Duration, Instant, SystemTime};

#[test]
fn a_rotated_key_is_taken_without_a_restart() {
    let dir = tempfile::tempdir().unwrap();
    let path = dir.path().join("callers");
    std::fs::write(&path, "# callers\nroster first-key-1\n").unwrap();
    let start = Instant::now();
    let keyring = Keyring::open(&path, start).unwrap();
    assert_eq!(
        keyring.owner("first-key-1", start).as_deref(),
        Some("roster")
    );
    assert_eq!(keyring.owner("second-key-2", start), None);

    std::fs::write(&path, "roster second-key-2\n").unwrap();
    let file = std::fs::File::options().write(true).open(&path).unwrap();
    file.set_modified(SystemTime::now() + Duration::from_secs(5))
        .unwrap();
    let later = start + Duration::from_secs(2);
    assert_eq!(
        keyring.owner("second-key-2", later).as_deref(),
        Some("roster")
    );
    assert_eq!(keyring.owner("first-key-1", later), None);
}

#[test]
fn a_file_that_turns_bad_keeps_the_old_keys() {
    let dir = tempfile::tempdir().unwrap();
    let path = dir.path().join("callers");
    std::fs::write(&path, "roster first-key-1\n").unwrap();
    let start = Instant::now();
    let keyring = Keyring::open(&path, start).unwrap();
    std::fs::remove_file(&path).unwrap();
    let later = start + Duration::from_secs(2);
    assert_eq!(
        keyring.owner("first-key-1", later).as_deref(),
        Some("roster")
    );
}

fn refused(text: &str) {
    let dir = tempfile::tempdir().unwrap();
    let path = dir.path().join("callers");
    std::fs::write(&path, text).unwrap();
    let error = Keyring::open(&path, Instant::now()).unwrap_err();
    assert!(error.contains("callers:1"), "{error}");
    assert!(
        !error.contains("hunter2"),
        "the message contains a key: {error}"
    );
}

cases! { refused:
    no_name("hunter2hunter2");
    short_key("roster hunter2");
}
