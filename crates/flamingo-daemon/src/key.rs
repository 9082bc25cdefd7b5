//! Keys of callers, operators and targets.
//!
//! A file holds one `name key` a line. Only SHA-256 digests are kept in memory,
//! and every digest is compared in constant time, so that the time of a refusal
//! tells nothing of the keys.

use crate::fresh::Fresh;
use sha2::{Digest, Sha256};
use std::path::{Path, PathBuf};
use std::time::Instant;
use subtle::ConstantTimeEq;

/// Shortest key, in bytes.
const MIN_LEN: usize = 8;

/// Holders of keys, as read from one file.
#[derive(Debug)]
struct Holders(Vec<Holder>);

#[derive(Debug)]
struct Holder {
    name: String,
    digest: [u8; 32],
}

/// A ring of keys that follows its file.
#[derive(Debug)]
pub struct Ring {
    holders: Fresh<Holders>,
}

impl Ring {
    /// Opens the file at `path`.
    ///
    /// # Errors
    ///
    /// Returns what is wrong with the file, without any key.
    pub fn open(path: &Path, now: Instant) -> Result<Self, String> {
        let file = path.to_owned();
        let read = Box::new(move || read(&file));
        let holders = Fresh::new(vec![PathBuf::from(path)], read, now)?;
        Ok(Self { holders })
    }

    /// Returns the holder of `key`, in a time that does not depend on which it is.
    #[must_use]
    pub fn holder(&self, key: &str, now: Instant) -> Option<String> {
        let digest: [u8; 32] = Sha256::digest(key).into();
        let holders = self.holders.get(now);
        let mut found = None;
        for holder in &holders.0 {
            if bool::from(holder.digest.ct_eq(&digest)) {
                found = Some(holder.name.clone());
            }
        }
        found
    }
}

fn read(path: &Path) -> Result<Holders, String> {
    let place = path.display();
    let text = std::fs::read_to_string(path).map_err(|error| format!("{place}: {error}"))?;
    let mut holders = Vec::new();
    for (number, line) in text.lines().enumerate() {
        let line = line.trim();
        if line.is_empty() || line.starts_with('#') {
            continue;
        }
        let wrong = || {
            format!(
                "{place}:{}: give 'name key', the key of at least {MIN_LEN} bytes",
                number + 1
            )
        };
        let (name, key) = line.split_once(char::is_whitespace).ok_or_else(wrong)?;
        let key = key.trim();
        if key.len() < MIN_LEN {
            return Err(wrong());
        }
        let digest = Sha256::digest(key).into();
        holders.push(Holder {
            name: name.to_owned(),
            digest,
        });
    }
    Ok(Holders(holders))
}
