//! Settings of a control instance.

use crate::node::Node;
use crate::{Error, Reader};
use std::path::{Path, PathBuf};

/// Settings of a control instance.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Settings {
    /// Identity, zone, listeners and other settings that all daemons have.
    pub node: Node,
    /// Folder for durable data: the Raft log and its snapshots.
    pub data: PathBuf,
}

impl Settings {
    /// Reads and checks the file at `path`.
    ///
    /// # Errors
    ///
    /// Returns all problems of the file.
    pub fn open(path: &Path) -> Result<Self, Error> {
        let mut reader = Reader::open(path)?;
        let settings = Self::read(&mut reader);
        reader.finish(settings)
    }

    fn read(reader: &mut Reader) -> Option<Self> {
        let node = Node::read(reader);
        let data = reader.need("control", "data", "a folder on a disk");
        Some(Self {
            node: node?,
            data: data?,
        })
    }
}
