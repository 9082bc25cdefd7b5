//! Settings that all daemons have: identity, zone, listeners, keys and log level.

use crate::Reader;
use crate::keys::Keys;
use crate::tls::Tls;
use flamingo_wire::id;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::str::FromStr;
use std::time::Duration;

/// Name and address of another process of this system, written as `name@ip:port`.
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
    /// Name of the process.
    pub node: id::Node,
    /// Address on which the process accepts the inner protocol.
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

/// Settings that all daemons have.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Node {
    /// Name of this process.
    pub name: id::Node,
    /// Availability zone of this process.
    pub zone: id::Zone,
    /// Region of this process.
    pub region: id::Region,
    /// Address on which this process accepts HTTP from callers, targets and operators.
    pub http: SocketAddr,
    /// Address on which this process accepts the inner protocol.
    pub inner: SocketAddr,
    /// Secret key of the inner protocol.
    pub key: String,
    /// The control instances.
    pub controls: Vec<Peer>,
    /// Least severe level that is logged; one of `error`, `warning`, `info` and `debug`.
    pub level: String,
    /// Paths of the key files of callers, operators and targets.
    pub keys: Keys,
    /// Certificate and private key of the outer listener; `None` for plain HTTP.
    pub tls: Option<Tls>,
    /// Longest time that a planned stop waits for requests in flight.
    pub grace: Duration,
}

const ADDRESS: &str = "ip:port";
const PEERS: &str = "name@ip:port, separated by commas";

const LEVELS: [&str; 4] = ["error", "warning", "info", "debug"];
const SECRET: &str = "a secret of at least 8 characters, the same on every instance";
const SECRET_MIN_LEN: usize = 8;
/// Largest value of `grace_ms`, in milliseconds.
const GRACE_MAX_MS: u64 = 3_600_000;
/// Default value of `grace_ms`, in milliseconds.
const GRACE_DEFAULT_MS: u64 = 60_000;

impl Node {
    /// Reads the sections that all daemons have. Returns `None` where a required key is missing or
    /// invalid.
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
        let grace = reader.within("stop", "grace_ms", GRACE_DEFAULT_MS, 0..=GRACE_MAX_MS);
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

/// Reads the key of the inner protocol, which is given either inline or as the path of a file.
/// Returns `None` where there is a problem.
fn secret(reader: &mut Reader) -> Option<String> {
    let inline = reader.raw("inner", "key");
    let file = reader.raw("inner", "key_file").map(PathBuf::from);
    let secret = match (inline, file) {
        (Some(_), Some(_)) => {
            reader.problem(
                "inner",
                "key_file",
                "given together with 'key'",
                "only one of the two",
            );
            return None;
        }
        (None, None) => {
            reader.problem("inner", "key", "missing", SECRET);
            return None;
        }
        (Some(secret), None) => secret,
        (None, Some(path)) => from_file(reader, &path)?,
    };
    if secret.len() < SECRET_MIN_LEN {
        // The value is a secret and must not be shown in the message.
        reader.problem("inner", "key", "too short", SECRET);
        return None;
    }
    Some(secret)
}

fn from_file(reader: &mut Reader, path: &Path) -> Option<String> {
    reader.readable("inner", "key_file", path, "a file that contains the key");
    let text = std::fs::read_to_string(path).ok()?;
    Some(text.trim().to_owned())
}
