//! Certificate and key of the outer listener.

use crate::Reader;
use std::path::PathBuf;

const CERTIFICATE: &str = "a PEM file with the certificate chain";
const KEY: &str = "a PEM file with the private key";

/// Certificate and key; read again when the files change.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Tls {
    /// The certificate chain, in PEM.
    pub certificate: PathBuf,
    /// The private key, in PEM.
    pub key: PathBuf,
}

impl Tls {
    /// Reads the section `[tls]`; without it the listener speaks plain HTTP.
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
