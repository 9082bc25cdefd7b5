//! The client's command line.

use std::process::Command;

#[test]
fn an_unknown_command_gets_the_usage() {
    let run = Command::new(env!("CARGO_BIN_EXE_flamingoctl"))
        .arg("dance")
        .output()
        .unwrap();
    assert!(!run.status.success());
    let text = String::from_utf8_lossy(&run.stderr);
    assert!(text.contains("usage: flamingoctl"), "{text}");
}
