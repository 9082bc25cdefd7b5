//! A control instance that won't start says why, so that a person can act on it: a line for each
//! problem.

use flamingo_test_support::cases;
use flamingo_test_support::refusal::{Ports, Refusal, check_bad_arguments};

const NAME: &str = env!("CARGO_PKG_NAME");
const PORT: &str = "stop the process that uses the address, or set another one";
const FOLDER: &str = "set a folder on a writable disk with free space";

fn settings(http: &str, inner: &str, data: &str) -> String {
    format!(
        "[node]\nname = control-1\nzone = z\n[listen]\nhttp = {http}\ninner = {inner}\n\
        [inner]\nkey = long-enough\n[control]\ndata = {data}\n"
    )
}

fn bad_settings(text: &str, problems: &[&[&str]]) {
    let refusal = Refusal::of(NAME, text);
    refusal.check(problems);
    assert!(!refusal.lines.concat().contains("hunter2"), "shows a key");
}

cases! { bad_settings:
    every_problem_of_the_settings_has_a_line(
        "[node]\nzone = z\n[listen]\nhttp = here\ninner = 127.0.0.1:0\n[inner]\nkey = long-enough\n",
        &[
            &["[node] name: missing", "allowed: 1 to 64 letters"],
            &["[listen] http: 'here'", "allowed: ip:port"],
            &["[control] data: missing", "allowed: a folder on a disk"],
        ],
    );
    a_short_key_is_named_and_not_shown(
        "[node]\nname = n\nzone = z\n[listen]\nhttp = 127.0.0.1:0\ninner = 127.0.0.1:0\n\
        [inner]\nkey = hunter2\n[control]\ndata = data\n",
        &[&["[inner] key: too short", "allowed: a secret of at least 8 characters"]],
    );
}

/// Starts a control instance while these of its two ports are in use. Its data folder is `below`
/// a new folder.
fn port_in_use(used: [bool; 2], below: &str, problems: &[&[&str]]) {
    let folder = tempfile::tempdir().unwrap();
    std::fs::write(folder.path().join("file"), "").unwrap();
    let data = folder.path().join(below);
    let ports = Ports::with_use(used);
    let [http, inner] = &ports.addresses;
    let text = settings(http, inner, data.to_str().unwrap());
    Refusal::of(NAME, &text).check(problems);
}

cases! { port_in_use:
    a_port_for_operators_in_use_is_said([true, false], "data", &[&["[listen] http", "in use", PORT]]);
    an_inner_port_in_use_is_said([false, true], "data", &[&["[listen] inner", "in use", PORT]]);
    ports_and_folder_are_said_together([true, true], "file/data", &[
        &["[listen] http", "in use", PORT],
        &["[listen] inner", "in use", PORT],
        &["[control] data", "file/data", "Not a directory", FOLDER],
    ]);
}

fn unusable_folder(data: &str) {
    let text = settings("127.0.0.1:0", "127.0.0.1:0", data);
    Refusal::of(NAME, &text).check(&[&["[control] data", data, FOLDER]]);
}

cases! { unusable_folder:
    a_folder_that_cannot_be_created_is_said("/dev/null/data");
    // Not even root can write here.
    a_folder_that_cannot_be_written_is_said("/proc");
}

#[test]
fn arguments_that_cannot_be_used_are_said_in_words() {
    check_bad_arguments(NAME);
}
