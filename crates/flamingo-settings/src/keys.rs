//! Paths of the key files of callers, operators and targets.

use crate::Reader;
use std::path::PathBuf;

const KEY_FILE: &str = "a file with one 'name key' per line; reloaded when it changes";

/// Paths of key files. Where a path is `None`, the routes of that kind are open to everyone.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Keys {
    /// Key file of callers.
    pub callers: Option<PathBuf>,
    /// Key file of operators.
    pub operators: Option<PathBuf>,
    /// Key file of targets that announce themselves.
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
    reader.readable("keys", key, &path, KEY_FILE);
    Some(path)
}
