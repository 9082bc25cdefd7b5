//! Labels of metrics from names that others choose.

use flamingo_daemon::labels::{Labels, OTHER};

/// Checks that a name has a label of its own in a bounded form.
fn check(name: &str) {
    let label = Labels::default().label(name);
    assert!(label.len() <= 73 && &*label != OTHER, "{label}");
    let valid = |letter: char| letter.is_ascii_alphanumeric() || "-_.:".contains(letter);
    assert!(label.chars().all(valid), "{label}");
}

flamingo_test_support::cases! { check:
    a_long_name_is_shortened(&"x".repeat(10_000));
    a_name_of_quotes_and_lines_stays_on_its_line("a\"} 1\nforged{b=\"");
    letters_outside_ascii_are_replaced("b\u{fc}ro \u{1f9a9}");
    a_name_like_that_of_the_others_is_told_from_them("other");
}

/// Guards against time series without bound, and against names that lose their series to later ones.
#[test]
fn the_first_names_keep_their_labels() {
    let labels = Labels::default();
    let shared = labels.clone();
    for number in 0..1_000 {
        let name = format!("w{number}");
        let expected = if number < 32 { &name } else { OTHER };
        assert_eq!(&*labels.label(&name), expected);
    }
    assert_eq!(&*shared.label("w0"), "w0");
    assert_eq!(&*shared.label("w32"), OTHER);
}

/// Guards against two long names that are counted as one.
#[test]
fn names_that_are_shown_alike_have_different_labels() {
    let labels = Labels::default();
    let begin = "x".repeat(64);
    let one = labels.label(&format!("{begin}1"));
    assert_ne!(one, labels.label(&format!("{begin}2")));
    assert_ne!(one, labels.label(&begin));
}
