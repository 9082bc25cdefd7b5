//! An entry that won't start says why, so that a person can act on it: a line for each problem.

use flamingo_test_support::cases;
use flamingo_test_support::refusal::{Ports, Refusal, check_bad_arguments};

const NAME: &str = env!("CARGO_PKG_NAME");

fn settings(http: &str, inner: &str) -> String {
    format!(
        "[node]\nname = entry-1\nzone = z\n[listen]\nhttp = {http}\ninner = {inner}\n\
        [inner]\nkey = long-enough\n"
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
        ],
    );
    a_short_key_is_named_and_not_shown(
        "[node]\nname = n\nzone = z\n[listen]\nhttp = 127.0.0.1:0\ninner = 127.0.0.1:0\n\
        [inner]\nkey = hunter2\n",
        &[&["[inner] key: too short", "allowed: a secret of at least 8 characters"]],
    );
}

const IN_USE: &str = "in use";
const ADVICE: &str = "stop the process that uses the address, or set another one";

/// Starts an entry while these of its two ports are in use.
fn port_in_use(used: [bool; 2], problems: &[&[&str]]) {
    let ports = Ports::with_use(used);
    let [http, inner] = &ports.addresses;
    Refusal::of(NAME, &settings(http, inner)).check(problems);
}

cases! { port_in_use:
    a_port_for_callers_in_use_is_said([true, false], &[&["[listen] http", IN_USE, ADVICE]]);
    an_inner_port_in_use_is_said([false, true], &[&["[listen] inner", IN_USE, ADVICE]]);
    both_ports_in_use_are_said([true, true], &[
        &["[listen] http", IN_USE, ADVICE],
        &["[listen] inner", IN_USE, ADVICE],
    ]);
}

/// Starts an entry with a section whose `{file}` is a file of this text.
fn bad_file(section: &str, text: &str, problems: &[&[&str]]) {
    let folder = tempfile::tempdir().unwrap();
    let file = folder.path().join("named");
    std::fs::write(&file, text).unwrap();
    let section = section.replace("{file}", file.to_str().unwrap());
    let text = settings("127.0.0.1:0", "127.0.0.1:0") + &section;
    bad_settings(&text, problems);
}

cases! { bad_file:
    a_short_key_of_a_caller_is_named_by_its_line(
        "[keys]\ncallers = {file}\n",
        "roster long-enough\nrota hunter2\n",
        &[&["[keys] callers", "named:2", "a key of 7 bytes", "at least 8 bytes"]],
    );
    every_bad_line_of_the_key_files_is_said(
        "[keys]\ncallers = {file}\noperators = {file}\n",
        "hunter2hunter2\nrota hunter2\n",
        &[
            &["[keys] callers", "named:1", "no key", "at least 8 bytes"],
            &["[keys] callers", "named:2", "a key of 7 bytes", "at least 8 bytes"],
            &["[keys] operators", "named:1", "no key", "at least 8 bytes"],
            &["[keys] operators", "named:2", "a key of 7 bytes", "at least 8 bytes"],
        ],
    );
    a_certificate_that_is_none_is_named(
        "[tls]\ncertificate = {file}\nkey = {file}\n",
        "no certificate\n",
        &[&["[tls]", "named", "give a PEM certificate chain and its private key"]],
    );
}

#[test]
fn arguments_that_cannot_be_used_are_said_in_words() {
    check_bad_arguments(NAME);
}
