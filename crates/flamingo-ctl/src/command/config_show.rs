//! `flamingoctl config show`: prints the set in force.

use crate::client::{Client, Error};

/// Prints the configuration in force as JSON.
///
/// # Errors
///
/// Returns an error where the instance can't be reached.
pub async fn run(client: &Client) -> Result<String, Error> {
    let snapshot = client.config().await?;
    serde_json::to_string_pretty(&snapshot).map_err(|error| Error::Refused(error.to_string()))
}
