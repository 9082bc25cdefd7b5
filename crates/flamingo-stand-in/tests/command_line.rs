//! The fakes' command line.

use std::process::Command;

#[test]
fn a_fake_without_an_address_gets_the_usage() {
    let run = Command::new(env!("CARGO_BIN_EXE_flamingo-stand-in"))
        .arg("engine")
        .output()
        .unwrap();
    assert!(!run.status.success());
    let text = String::from_utf8_lossy(&run.stderr);
    assert!(text.contains("usage: flamingo-stand-in"), "{text}");
}
