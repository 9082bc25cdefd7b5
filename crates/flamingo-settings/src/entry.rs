//! Settings of an entry instance.

use crate::node::Node;
use crate::serve::Serve;
use crate::{Error, Reader};
use std::net::SocketAddr;
use std::path::Path;

/// Settings of an entry instance.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Settings {
    /// Identity, zone, listeners and other settings that all daemons have.
    pub node: Node,
    /// Inner addresses of some entries of the same zone, through which this entry joins.
    pub seeds: Vec<SocketAddr>,
    /// Limits and policies of request handling.
    pub serve: Serve,
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
        let seeds = reader.list("entry", "seeds", "ip:port, separated by commas");
        let serve = Serve::read(reader);
        Some(Self {
            node: node?,
            seeds,
            serve,
        })
    }
}
