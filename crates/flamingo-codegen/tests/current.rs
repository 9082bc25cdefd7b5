//! The committed code is what the `.proto` gives.

use std::path::Path;

#[test]
fn committed_code_is_current() {
    let wire = Path::new(env!("CARGO_MANIFEST_DIR")).join("../flamingo-wire");
    let out = tempfile::tempdir().unwrap();
    flamingo_codegen::write(&wire.join("proto"), out.path()).unwrap();
    let name = "flamingo.inner.rs";
    let fresh = std::fs::read_to_string(out.path().join(name)).unwrap();
    let committed = std::fs::read_to_string(wire.join("src/generated").join(name)).unwrap();
    assert!(
        fresh == committed,
        "run `cargo run -p flamingo-codegen` and commit"
    );
}
