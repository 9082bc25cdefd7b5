//! Developer command that generates the Rust code of the inner protocol.
//!
//! Run `cargo run -p flamingo-codegen` after each change of
//! `crates/flamingo-wire/proto/inner.proto`, and commit the generated file. An optional argument
//! names another output folder.

use std::path::Path;

fn main() -> Result<(), Box<dyn std::error::Error>> {
    let wire = Path::new(env!("CARGO_MANIFEST_DIR")).join("../flamingo-wire");
    let out = std::env::args()
        .nth(1)
        .map_or_else(|| wire.join("src/generated"), Into::into);
    flamingo_codegen::generate(&wire.join("proto"), &out)
}
