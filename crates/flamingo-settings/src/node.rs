//! What both daemons are told of themselves.

use crate::Reader;
use crate::keys::Keys;
use crate::tls::Tls;
use flamingo_wire::id;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::str::FromStr;
use std::time::Duration;

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
    /// Its region.
    pub region: id::Region,
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
    /// Keys of callers, operators and targets.
    pub keys: Keys,
    /// Certificate and key of the outer listener.
    pub tls: Option<Tls>,
    /// Longest time that a planned stop waits for running requests.
    pub grace: Duration,
}

const ADDRESS: &str = "ip:port";
const PEERS: &str = "name@ip:port, separated by commas";

const LEVELS: [&str; 4] = ["error", "warning", "info", "debug"];
const KEY: &str = "a secret of at least 8 characters, the same on every instance";
const KEY_LEN: usize = 8;
/// Longest planned stop, in milliseconds.
const GRACE_MAX: u64 = 3_600_000;
/// Planned stop where the settings name none, in milliseconds.
const GRACE: u64 = 60_000;

impl Node {
    /// Reads the sections that both daemons have.
    pub fn read(reader: &mut Reader) -> Option<Self> {
        let name = reader.name("node", "name");
        let zone = reader.name("node", "zone");
        let region = reader.or("node", "region", "local".to_owned(), "a name");
        let http = reader.need("listen", "http", ADDRESS);
        let inner = reader.need("listen", "inner", ADDRESS);
        let key = secret(reader);
        let controls = reader.list("control", "members", PEERS);
        let level = level(reader);
        let keys = Keys::read(reader);
        let tls = Tls::read(reader);
        let grace = reader.within("stop", "grace_ms", GRACE, 0..=GRACE_MAX);
        Some(Self {
            name: name?,
            zone: zone?,
            region,
            http: http?,
            inner: inner?,
            key: key?,
            controls,
            level,
            keys,
            tls,
            grace: Duration::from_millis(grace),
        })
    }
}

fn level(reader: &mut Reader) -> String {
    let allowed = LEVELS.join(", ");
    let level = reader.or("log", "level", "info".to_owned(), &allowed);
    if !LEVELS.contains(&level.as_str()) {
        reader.problem("log", "level", &format!("'{level}'"), &allowed);
    }
    level
}

/// Reads the inner key, from the settings or from a file of its own.
fn secret(reader: &mut Reader) -> Option<String> {
    let inline = reader.raw("inner", "key");
    let file = reader.raw("inner", "key_file").map(PathBuf::from);
    let secret = match (inline, file) {
        (Some(_), Some(_)) => {
            reader.problem(
                "inner",
                "key_file",
                "given beside 'key'",
                "only one of the two",
            );
            return None;
        }
        (None, None) => {
            reader.problem("inner", "key", "missing", KEY);
            return None;
        }
        (Some(secret), None) => secret,
        (None, Some(path)) => from_file(reader, &path)?,
    };
    if secret.len() < KEY_LEN {
        // The value itself stays out of the message: it is a secret.
        reader.problem("inner", "key", "a shorter text", KEY);
        return None;
    }
    Some(secret)
}

fn from_file(reader: &mut Reader, path: &Path) -> Option<String> {
    reader.readable("inner", "key_file", path, "a file that holds the key");
    let text = std::fs::read_to_string(path).ok()?;
    Some(text.trim().to_owned())
}
