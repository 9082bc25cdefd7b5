//! Developer command: writes the code of the inner protocol from its `.proto`.
//!
//! Run `cargo run -p flamingo-codegen` after an edit of
//! `crates/flamingo-wire/proto/inner.proto`, and commit what it wrote.

use std::path::Path;

fn main() -> Result<(), Box<dyn std::error::Error>> {
    let wire = Path::new(env!("CARGO_MANIFEST_DIR")).join("../flamingo-wire");
    let out = std::env::args()
        .nth(1)
        .map_or_else(|| wire.join("src/generated"), Into::into);
    flamingo_codegen::write(&wire.join("proto"), &out)
}
