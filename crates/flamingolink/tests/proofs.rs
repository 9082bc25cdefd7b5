//! Tests that the tests and pages that the documentation names exist.

use std::path::{Path, PathBuf};

fn root() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../..")
}

/// Returns the file and test name of each reference `FOLDER/…/tests/FILE::TEST` in back quotes.
fn referenced_tests(page: &str) -> Vec<(String, String)> {
    let quoted = page.split('`').skip(1).step_by(2);
    let sources = ["crates/", "platform/"];
    let source = |text: &&str| sources.iter().any(|folder| text.starts_with(folder));
    let tests = quoted.filter(source).filter(|text| text.contains("::"));
    let parts = tests.filter_map(|text| text.split_once("::"));
    parts
        .map(|(file, test)| (file.to_owned(), test.to_owned()))
        .collect()
}

#[test]
fn every_test_that_the_page_names_exists() {
    let page = std::fs::read_to_string(root().join("docs/PROOFS.md")).unwrap();
    let referenced = referenced_tests(&page);
    assert!(!referenced.is_empty(), "the page names no test");
    for (file, test) in referenced {
        let text = std::fs::read_to_string(root().join(&file)).unwrap_or_default();
        let function = text.contains(&format!("fn {test}("));
        let case = text.lines().map(str::trim_start).any(|line| {
            line.starts_with(&format!("{test}(")) || line.starts_with(&format!("{test}:"))
        });
        assert!(function || case, "{file} has no test {test}");
    }
}

#[test]
fn every_page_that_a_page_names_exists() {
    let mut pages = vec![root().join("README.md"), root().join("CONTRIBUTING.md")];
    let docs = std::fs::read_dir(root().join("docs")).unwrap();
    pages.extend(
        docs.map(|entry| entry.unwrap().path())
            .filter(|path| path.extension().is_some_and(|e| e == "md")),
    );
    for page in pages {
        let text = std::fs::read_to_string(&page).unwrap();
        for quoted in text.split('`').skip(1).step_by(2) {
            let is_page = quoted.starts_with("docs/") && !quoted.contains([' ', '*', '<']);
            if is_page {
                assert!(
                    root().join(quoted).exists(),
                    "{} names {quoted}",
                    page.display()
                );
            }
        }
    }
}
