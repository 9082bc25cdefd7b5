//! Generates the Rust code of the inner protocol from its `.proto` file. The compiler is `protox`,
//! so that `protoc` need not be installed.

use std::path::Path;

/// Generates the code of `inner.proto`, which is in the folder `proto`, into the folder `out`.
///
/// # Errors
///
/// Returns an error if the file can't be read or compiled, or if `out` can't be written.
pub fn generate(proto: &Path, out: &Path) -> Result<(), Box<dyn std::error::Error>> {
    let files = protox::compile(["inner.proto"], [proto])?;
    tonic_prost_build::configure()
        .out_dir(out)
        .compile_fds(files)?;
    Ok(())
}
