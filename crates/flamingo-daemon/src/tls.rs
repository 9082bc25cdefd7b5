//! TLS on the outer listener; certificate and key are reloaded when their files change.

use crate::reload::Reloaded;
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
    /// An error of the TLS set-up.
    #[derive(Debug)]
    pub enum Error {
        /// Certificate or key can't be read or parsed.
        Files(message: String) {
            display("{message}; give a PEM certificate chain and its private key")
        }
        /// The TLS library rejected the configuration.
        Library(err: rustls::Error) {
            from()
            display("{err}")
        }
    }
}

/// Returns the TLS configuration of the listener.
///
/// # Errors
///
/// Returns an error where certificate or key can't be read or don't match.
pub fn config(tls: &Tls) -> Result<ServerConfig, Error> {
    let files = vec![tls.certificate.clone(), tls.key.clone()];
    let source = tls.clone();
    let load = Box::new(move || load(&source));
    let key = Reloaded::new(files, load, Instant::now()).map_err(Error::Files)?;
    let provider = Arc::new(ring::default_provider());
    let config = ServerConfig::builder_with_provider(provider)
        .with_safe_default_protocol_versions()?
        .with_no_client_auth()
        .with_cert_resolver(Arc::new(Resolver { key }));
    Ok(config)
}

#[derive(Debug)]
struct Resolver {
    key: Reloaded<CertifiedKey>,
}

impl ResolvesServerCert for Resolver {
    fn resolve(&self, _: ClientHello<'_>) -> Option<Arc<CertifiedKey>> {
        Some(self.key.get(Instant::now()))
    }
}

fn load(tls: &Tls) -> Result<CertifiedKey, String> {
    let with_path = |path: &std::path::Path, error: String| format!("{}: {error}", path.display());
    let chain = CertificateDer::pem_file_iter(&tls.certificate)
        .and_then(Iterator::collect::<Result<Vec<_>, _>>)
        .map_err(|error| with_path(&tls.certificate, error.to_string()))?;
    let key = PrivateKeyDer::from_pem_file(&tls.key)
        .map_err(|error| with_path(&tls.key, error.to_string()))?;
    CertifiedKey::from_der(chain, key, &ring::default_provider())
        .map_err(|error| with_path(&tls.key, error.to_string()))
}
