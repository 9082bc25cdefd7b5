//! What both daemons are told of themselves.

use crate::Reader;
use flamingo_wire::id;
use std::net::SocketAddr;
use std::str::FromStr;

/// A process of this system that is named in settings, as `name@ip:port`.
///
/// ```
/// use flamingo_settings::node::Peer;
///
/// let peer: Peer = "control-1@127.0.0.1:7401".parse().unwrap();
/// assert_eq!(peer.node, "control-1");
/// assert!("control-1".parse::<Peer>().is_err());
/// ```
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Peer {
    /// Its name.
    pub node: id::Node,
    /// Where it takes the inner protocol.
    pub address: SocketAddr,
}

impl FromStr for Peer {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        let (node, address) = text.split_once('@').ok_or("no '@'")?;
        let address = address.parse().map_err(|_| "no ip:port after '@'")?;
        Ok(Self {
            node: node.to_owned(),
            address,
        })
    }
}

/// Identity, place and listeners of a process.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Node {
    /// Its name.
    pub name: id::Node,
    /// Its availability zone.
    pub zone: id::Zone,
    /// Where it takes HTTP from callers, targets and operators.
    pub http: SocketAddr,
    /// Where it takes the inner protocol.
    pub inner: SocketAddr,
    /// Key of the inner protocol.
    pub key: String,
    /// The control instances.
    pub controls: Vec<Peer>,
    /// Level of the log.
    pub level: String,
}

const NAME: &str = "letters, digits and '-'";
const ADDRESS: &str = "ip:port";
const PEERS: &str = "name@ip:port, separated by commas";

impl Node {
    /// Reads the sections that both daemons have.
    pub fn read(reader: &mut Reader) -> Option<Self> {
        let name = reader.need("node", "name", NAME);
        let zone = reader.need("node", "zone", NAME);
        let http = reader.need("listen", "http", ADDRESS);
        let inner = reader.need("listen", "inner", ADDRESS);
        let key = reader.need("inner", "key", "a secret text, the same on every instance");
        let controls = reader.list("control", "members", PEERS);
        let level = reader.or(
            "log",
            "level",
            "info".to_owned(),
            "error, warning, info or debug",
        );
        Some(Self {
            name: name?,
            zone: zone?,
            http: http?,
            inner: inner?,
            key: key?,
            controls,
            level,
        })
    }
}
