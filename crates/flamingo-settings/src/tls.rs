//! Certificate and key of the outer listener.

use crate::Reader;
use std::path::PathBuf;

const CERTIFICATE: &str = "a PEM file with the certificate chain";
const KEY: &str = "a PEM file with the private key";

/// Paths of certificate and key; both are reloaded when the files change.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Tls {
    /// Path of the certificate chain, in PEM format.
    pub certificate: PathBuf,
    /// Path of the private key, in PEM format.
    pub key: PathBuf,
}

impl Tls {
    /// Reads the section `[tls]`. Returns `None` where the section is missing (the listener then
    /// serves plain HTTP) or has a problem.
    pub fn read(reader: &mut Reader) -> Option<Self> {
        let certificate = reader.raw("tls", "certificate").map(PathBuf::from);
        let key = reader.raw("tls", "key").map(PathBuf::from);
        match (certificate, key) {
            (Some(certificate), Some(key)) => {
                reader.readable("tls", "certificate", &certificate, CERTIFICATE);
                reader.readable("tls", "key", &key, KEY);
                Some(Self { certificate, key })
            }
            (Some(_), None) => {
                reader.problem("tls", "key", "missing", KEY);
                None
            }
            (None, Some(_)) => {
                reader.problem("tls", "certificate", "missing", CERTIFICATE);
                None
            }
            (None, None) => None,
        }
    }
}
