//! Tests that the committed code is up to date with the `.proto` file.

use std::path::Path;

#[test]
fn committed_code_is_current() {
    let wire = Path::new(env!("CARGO_MANIFEST_DIR")).join("../flamingo-wire");
    let out = tempfile::tempdir().unwrap();
    flamingo_codegen::generate(&wire.join("proto"), out.path()).unwrap();
    let name = "flamingo.inner.rs";
    let generated = std::fs::read_to_string(out.path().join(name)).unwrap();
    let committed = std::fs::read_to_string(wire.join("src/generated").join(name)).unwrap();
    assert!(
        generated == committed,
        "run `cargo run -p flamingo-codegen` and commit"
    );
}
