//! The tool's command line.

use std::process::Command;

#[test]
fn a_run_without_an_entry_says_what_to_give() {
    let workload = concat!(
        env!("CARGO_MANIFEST_DIR"),
        "/../../samples/workloads/parks.ini"
    );
    let run = Command::new(env!("CARGO_BIN_EXE_flamingo-load"))
        .args(["run", "--workload", workload])
        .output()
        .unwrap();
    assert!(!run.status.success());
    let text = String::from_utf8_lossy(&run.stderr);
    assert!(text.contains("--at IP:PORT"), "{text}");
}
