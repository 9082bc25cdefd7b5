//! `flamingoctl config apply FILE`: replaces the set.

use crate::client::{Client, Error};
use flamingo_settings::set;
use flamingo_wire::config::Change;
use flamingo_wire::control::Reply;
use std::path::Path;

/// Applies the set in the file `path` to the version in force.
///
/// # Errors
///
/// Returns an error where the file has problems or the change is refused.
pub async fn run(client: &Client, path: &Path) -> Result<String, Error> {
    let set = set::open(path)?;
    let base = client.config().await?.version;
    let change = Change {
        id: change_id(),
        base,
        author: author(),
        set,
    };
    match client.apply(&change).await? {
        Reply::Accepted(version) => Ok(format!("accepted as version {version}")),
        other => Err(Error::Refused(format!("unexpected answer: {other:?}"))),
    }
}

fn author() -> String {
    std::env::var("USER").unwrap_or_else(|_| "unknown".to_owned())
}

fn change_id() -> String {
    let mut bytes = [0; 16];
    // An id of zeros would only make this change look like an earlier resend.
    let _ = getrandom::fill(&mut bytes);
    format!("{:032x}", u128::from_le_bytes(bytes))
}
