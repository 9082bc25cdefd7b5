//! Tests the exit code and the printed text of valid and invalid command lines.

use flamingo_test_support::cases;
use std::process::{Command, Output};

fn ctl(words: &[&str]) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_flamingoctl"));
    command
        .env_remove("FLAMINGO_AT")
        .env_remove("FLAMINGO_KEY")
        .args(words)
        .output()
        .unwrap()
}

fn exits_with(words: &[&str], code: i32, expected: &str) {
    let run = ctl(words);
    let text = format!(
        "{}{}",
        String::from_utf8_lossy(&run.stdout),
        String::from_utf8_lossy(&run.stderr)
    );
    assert_eq!(run.status.code(), Some(code), "{text}");
    assert!(text.contains(expected), "{text}");
}

cases! { exits_with:
    no_words(&[], 0, "Commands:");
    help(&["--help"], 0, "Exit codes:");
    help_on_a_command(&["config", "apply", "--help"], 0, "Usage: flamingoctl config apply FILE");
    unknown_command(&["dance"], 2, "unknown command 'dance'");
    unknown_flag(&["status", "--loud"], 2, "--loud");
    missing_argument(&["config", "apply"], 2, "usage: flamingoctl config apply FILE");
    no_instance(&["status"], 3, "--at IP:PORT");
    nobody_there(&["status", "--at", "127.0.0.1:1"], 3, "127.0.0.1:1");
    bad_address(&["status", "--at", "localhost"], 2, "localhost");
    bad_set(&["config", "validate", "no-such.ini"], 5, "no-such.ini");
    bad_version(&["config", "rollback", "x", "--at", "127.0.0.1:1"], 2, "'x' is not a version");
    missing_key_file(&["status", "--key-file", "none"], 2, "--key-file none");
    missing_ca(&["status", "--ca", "none.pem", "--at", "127.0.0.1:1"], 2, "none.pem");
}
