//! Writes the code of the inner protocol from its `.proto`, without `protoc`.

use std::path::Path;

/// Generates the code of `inner.proto` in the folder `proto` into `out`.
///
/// # Errors
///
/// Returns an error where the file can't be read or compiled, or `out` can't
/// be written.
pub fn write(proto: &Path, out: &Path) -> Result<(), Box<dyn std::error::Error>> {
    let files = protox::compile(["inner.proto"], [proto])?;
    tonic_prost_build::configure()
        .out_dir(out)
        .compile_fds(files)?;
    Ok(())
}
