//! Workspaces: the callers that share a name, keys, a rank and a quota.

use crate::id;
use crate::route::Rank;
use serde::{Deserialize, Serialize};
use sha2::{Digest as _, Sha256};
use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use std::str::FromStr;
use strum::{Display, EnumString};
use subtle::ConstantTimeEq as _;

/// SHA-256 digest of a caller's key. Entries hold digests only, so that a dump of an entry's memory
/// or of a message reveals no key.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct KeyDigest([u8; 32]);

impl KeyDigest {
    /// Returns the digest of a key.
    ///
    /// ```
    /// use flamingo_wire::workspace::KeyDigest;
    ///
    /// assert_eq!(KeyDigest::of("a"), KeyDigest::of("a"));
    /// assert_ne!(KeyDigest::of("a"), KeyDigest::of("b"));
    /// ```
    #[must_use]
    pub fn of(key: &str) -> Self {
        Self(Sha256::digest(key).into())
    }

    /// Returns the bytes of the digest.
    #[must_use]
    pub fn as_bytes(&self) -> &[u8; 32] {
        &self.0
    }

    /// Returns whether both digests are equal. The time does not depend on where they differ.
    ///
    /// ```
    /// use flamingo_wire::workspace::KeyDigest;
    ///
    /// assert!(KeyDigest::of("a").matches(&KeyDigest::of("a")));
    /// assert!(!KeyDigest::of("a").matches(&KeyDigest::of("b")));
    /// ```
    #[must_use]
    pub fn matches(&self, other: &Self) -> bool {
        self.0.ct_eq(&other.0).into()
    }
}

/// Writes the digest as 64 hexadecimal digits.
impl fmt::LowerHex for KeyDigest {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.iter().try_for_each(|byte| write!(out, "{byte:02x}"))
    }
}

/// Reads the form that [`fmt::LowerHex`] writes, in upper or lower case. The error quotes nothing, since
/// what is no digest may be a key.
///
/// ```
/// use flamingo_wire::workspace::KeyDigest;
///
/// let digest = KeyDigest::of("a");
/// assert_eq!(format!("{digest:x}").parse(), Ok(digest));
/// assert!("a key".parse::<KeyDigest>().is_err());
/// ```
impl FromStr for KeyDigest {
    type Err = &'static str;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let invalid = "not the 64 hexadecimal digits of a SHA-256 digest";
        let mut bytes = [0; 32];
        if text.len() != 2 * bytes.len() || !text.bytes().all(|digit| digit.is_ascii_hexdigit()) {
            return Err(invalid);
        }
        for (index, byte) in bytes.iter_mut().enumerate() {
            let digits = &text[2 * index..2 * index + 2];
            *byte = u8::from_str_radix(digits, 16).map_err(|_| invalid)?;
        }
        Ok(Self(bytes))
    }
}

/// What a quota counts.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Display, EnumString, Eq, PartialEq, Serialize,
)]
#[strum(serialize_all = "kebab-case")]
pub enum Unit {
    /// Requests.
    #[default]
    Requests,
    /// Tokens: those of the prompt and the largest number of output tokens.
    Tokens,
}

/// Limit on what a workspace may use over all entries together.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Quota {
    /// What is counted.
    pub unit: Unit,
    /// Units a second.
    pub per_s: f64,
    /// Units that may be used at once after a time without any use.
    pub burst: f64,
    /// Units that a request without token counts uses where tokens are counted.
    pub plain_units: f64,
}

/// A workspace.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Workspace {
    /// Name of the workspace.
    pub name: id::Workspace,
    /// Digests of the keys of its callers.
    pub keys: Vec<KeyDigest>,
    /// Rank of its requests in place of the route's; `None` leaves the route's.
    pub rank: Option<Rank>,
    /// Limit on its use; `None` where there is none.
    pub quota: Option<Quota>,
}

/// Returns why these workspaces can't be applied; empty where they can. The problems name workspaces and
/// never a key.
///
/// ```
/// use flamingo_wire::workspace::{KeyDigest, Workspace, problems};
///
/// let workspace = |name: &str| Workspace {
///     name: name.into(),
///     keys: vec![KeyDigest::of("a key")],
///     ..Workspace::default()
/// };
/// assert_eq!(problems(&[workspace("a")]), Vec::<String>::new());
/// let shared = problems(&[workspace("a"), workspace("b")]);
/// assert_eq!(shared, ["workspaces 'a' and 'b' share a key"]);
/// ```
#[must_use]
pub fn problems(workspaces: &[Workspace]) -> Vec<String> {
    let mut problems = Vec::new();
    let mut names = BTreeSet::new();
    for (index, workspace) in workspaces.iter().enumerate() {
        let name = &workspace.name;
        if name.is_empty() {
            problems.push(format!("workspace {}: the name is empty", index + 1));
        } else if !names.insert(name) {
            problems.push(format!("workspace '{name}': another one has this name"));
        }
        if name.trim() != name || name.contains(char::is_control) {
            let name = name.escape_debug();
            problems.push(format!("workspace '{name}': no header can carry the name"));
        }
        if workspace.keys.contains(&KeyDigest::of("")) {
            problems.push(format!("workspace '{name}': a key is empty"));
        }
        problems.extend(quota_problems(workspace));
    }
    problems.extend(shared_keys(workspaces));
    problems
}

/// Returns which figures of a workspace's quota are negative or no numbers.
fn quota_problems(workspace: &Workspace) -> Vec<String> {
    let name = &workspace.name;
    let quota = workspace.quota.unwrap_or_default();
    let figures = [
        ("rate", quota.per_s),
        ("burst", quota.burst),
        ("cost of a request without token counts", quota.plain_units),
    ];
    let wrong = figures
        .iter()
        .filter(|(_, figure)| !figure.is_finite() || *figure < 0.0);
    wrong
        .map(|(what, figure)| {
            format!("workspace '{name}': the {what} is {figure}, expected a number from 0")
        })
        .collect()
}

/// Returns each pair of workspaces that have a key in common.
fn shared_keys(workspaces: &[Workspace]) -> Vec<String> {
    let mut owners: BTreeMap<&KeyDigest, usize> = BTreeMap::new();
    let mut pairs = BTreeSet::new();
    for (index, workspace) in workspaces.iter().enumerate() {
        for key in &workspace.keys {
            let owner = *owners.entry(key).or_insert(index);
            if owner != index {
                pairs.insert((owner, index));
            }
        }
    }
    let pairs = pairs.into_iter().map(|(one, other)| {
        let (one, other) = (&workspaces[one].name, &workspaces[other].name);
        format!("workspaces '{one}' and '{other}' share a key")
    });
    pairs.collect()
}
