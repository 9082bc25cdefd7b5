//! The daemon's command line.

use std::process::Command;

#[test]
fn a_missing_settings_file_is_named() {
    let run = Command::new(env!("CARGO_BIN_EXE_flamingo-entry"))
        .args(["--settings", "no-such-file.ini", "--check"])
        .output()
        .unwrap();
    assert!(!run.status.success());
    let text = String::from_utf8_lossy(&run.stderr);
    assert!(text.contains("no-such-file.ini"), "{text}");
}
