//! TLS on the outer listener; certificate and key follow their files.

use crate::fresh::Fresh;
use flamingo_settings::tls::Tls;
use quick_error::quick_error;
use rustls::ServerConfig;
use rustls::crypto::ring;
use rustls::server::{ClientHello, ResolvesServerCert};
use rustls::sign::CertifiedKey;
use rustls_pki_types::pem::PemObject;
use rustls_pki_types::{CertificateDer, PrivateKeyDer};
use std::sync::Arc;
use std::time::Instant;

quick_error! {
    /// Why TLS can't be set up.
    #[derive(Debug)]
    pub enum Error {
        /// Certificate or key can't be used.
        Files(message: String) {
            display("{message}; give a PEM certificate chain and its private key")
        }
        /// The TLS library refused.
        Library(err: rustls::Error) {
            from()
            display("{err}")
        }
    }
}

/// Builds the listener's configuration.
///
/// # Errors
///
/// Returns an error where certificate or key can't be read or don't fit.
pub fn config(tls: &Tls) -> Result<ServerConfig, Error> {
    let files = vec![tls.certificate.clone(), tls.key.clone()];
    let source = tls.clone();
    let read = Box::new(move || read(&source));
    let key = Fresh::new(files, read, Instant::now()).map_err(Error::Files)?;
    let provider = Arc::new(ring::default_provider());
    let config = ServerConfig::builder_with_provider(provider)
        .with_safe_default_protocol_versions()?
        .with_no_client_auth()
        .with_cert_resolver(Arc::new(Resolver { key }));
    Ok(config)
}

#[derive(Debug)]
struct Resolver {
    key: Fresh<CertifiedKey>,
}

impl ResolvesServerCert for Resolver {
    fn resolve(&self, _: ClientHello<'_>) -> Option<Arc<CertifiedKey>> {
        Some(self.key.get(Instant::now()))
    }
}

fn read(tls: &Tls) -> Result<CertifiedKey, String> {
    let place = |path: &std::path::Path, error: String| format!("{}: {error}", path.display());
    let chain = CertificateDer::pem_file_iter(&tls.certificate)
        .and_then(Iterator::collect::<Result<Vec<_>, _>>)
        .map_err(|error| place(&tls.certificate, error.to_string()))?;
    let key = PrivateKeyDer::from_pem_file(&tls.key)
        .map_err(|error| place(&tls.key, error.to_string()))?;
    CertifiedKey::from_der(chain, key, &ring::default_provider())
        .map_err(|error| place(&tls.key, error.to_string()))
}
