//! Where the keys of callers, operators and targets stand.

use crate::Reader;
use std::path::PathBuf;

const FILE: &str = "a file with one 'name key' a line; read again when it changes";

/// Files of keys; where one is missing, everyone is let in on those routes.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Keys {
    /// Keys of callers.
    pub callers: Option<PathBuf>,
    /// Keys of operators.
    pub operators: Option<PathBuf>,
    /// Keys of targets that announce themselves.
    pub targets: Option<PathBuf>,
}

impl Keys {
    /// Reads the section `[keys]`.
    pub fn read(reader: &mut Reader) -> Self {
        Self {
            callers: file(reader, "callers"),
            operators: file(reader, "operators"),
            targets: file(reader, "targets"),
        }
    }
}

fn file(reader: &mut Reader, key: &str) -> Option<PathBuf> {
    let path = PathBuf::from(reader.raw("keys", key)?);
    reader.readable("keys", key, &path, FILE);
    Some(path)
}
