//! Keys of callers, operators and targets.
//!
//! A key file has one `name key` per line. Only SHA-256 digests of the keys are kept in
//! memory. Every digest is compared in constant time, so that the time of a rejection
//! reveals nothing about the keys.

use crate::reload::Reloaded;
use sha2::{Digest, Sha256};
use std::path::{Path, PathBuf};
use std::time::Instant;
use subtle::ConstantTimeEq;

/// Minimum length of a key, in bytes.
const MIN_KEY_LEN: usize = 8;

/// Owners of the keys in one file.
#[derive(Debug)]
struct Owners(Vec<Owner>);

#[derive(Debug)]
struct Owner {
    name: String,
    digest: [u8; 32],
}

/// The keys of one file, reloaded when the file changes.
#[derive(Debug)]
pub struct Keyring {
    owners: Reloaded<Owners>,
}

impl Keyring {
    /// Loads the key file at `path`.
    ///
    /// # Errors
    ///
    /// Returns a description of the problem with the file, which contains no key.
    pub fn open(path: &Path, now: Instant) -> Result<Self, String> {
        let file = path.to_owned();
        let read = Box::new(move || read(&file));
        let owners = Reloaded::new(vec![PathBuf::from(path)], read, now)?;
        Ok(Self { owners })
    }

    /// Returns the name of the owner of `key`, or `None` where the key is not in the file.
    ///
    /// The time that this takes does not depend on the key.
    #[must_use]
    pub fn owner(&self, key: &str, now: Instant) -> Option<String> {
        let digest: [u8; 32] = Sha256::digest(key).into();
        let owners = self.owners.get(now);
        let mut matching = None;
        for owner in &owners.0 {
            if bool::from(owner.digest.ct_eq(&digest)) {
                matching = Some(owner.name.clone());
            }
        }
        matching
    }
}

/// Reads all owners; the error has one line for each bad line of the file.
fn read(path: &Path) -> Result<Owners, String> {
    let path_text = path.display();
    let text = std::fs::read_to_string(path).map_err(|error| format!("{path_text}: {error}"))?;
    let mut owners = Vec::new();
    let mut problems = Vec::new();
    for (number, line) in text.lines().enumerate() {
        let line = line.trim();
        if line.is_empty() || line.starts_with('#') {
            continue;
        }
        match parse(line) {
            Ok(owner) => owners.push(owner),
            Err(seen) => problems.push(format!(
                "{path_text}:{}: {seen}; \
                expected 'name key' with a key of at least {MIN_KEY_LEN} bytes",
                number + 1
            )),
        }
    }
    if problems.is_empty() {
        return Ok(Owners(owners));
    }
    Err(problems.join("\n"))
}

/// Parses a line; the error says what is wrong with it and contains no key.
fn parse(line: &str) -> Result<Owner, String> {
    let (name, key) = line
        .split_once(char::is_whitespace)
        .ok_or("a name and no key, or a key and no name")?;
    let key = key.trim();
    if key.len() < MIN_KEY_LEN {
        return Err(format!("a key of {} bytes", key.len()));
    }
    Ok(Owner {
        name: name.to_owned(),
        digest: Sha256::digest(key).into(),
    })
}
