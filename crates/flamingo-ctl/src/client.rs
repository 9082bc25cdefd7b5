//! Talks to any entry or control instance.

use crate::fault::Error;
use awc::error::{PayloadError, SendRequestError};
use awc::{ClientResponse, Connector};
use bytes::Bytes;
use flamingo_wire::admin::{Answer, Query};
use flamingo_wire::config::{Change, Snapshot};
use flamingo_wire::control::Reply;
use flamingo_wire::fault::Reason;
use flamingo_wire::id;
use futures_util::Stream;
use rustls::crypto::ring;
use rustls::{ClientConfig, RootCertStore};
use rustls_pki_types::CertificateDer;
use rustls_pki_types::pem::PemObject;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;
use std::time::Duration;

/// Time that one instance has for an answer.
const PATIENCE: Duration = Duration::from_secs(10);
/// Largest answer, in bytes.
const LIMIT: usize = 32 * 1024 * 1024;

/// A client of one or more instances, asked in turn until one answers.
pub struct Client {
    at: Vec<SocketAddr>,
    key: Option<String>,
    scheme: &'static str,
    http: awc::Client,
}

#[derive(Debug, Deserialize)]
struct Refusal {
    error: Detail,
}

#[derive(Debug, Deserialize)]
struct Detail {
    message: String,
    reason: Reason,
    #[serde(default)]
    help: String,
}

impl Client {
    /// Builds a client of the instances at `at` over plain HTTP.
    #[must_use]
    pub fn new(at: Vec<SocketAddr>) -> Self {
        let http = awc::Client::builder().timeout(PATIENCE).finish();
        Self {
            at,
            key: None,
            scheme: "http",
            http,
        }
    }

    /// Sends `key` with each request.
    #[must_use]
    pub fn key(mut self, key: Option<String>) -> Self {
        self.key = key;
        self
    }

    /// Speaks TLS and trusts the certificates in the PEM file `ca`.
    ///
    /// # Errors
    ///
    /// Returns an error where the file can't be used.
    pub fn trust(mut self, ca: &Path) -> Result<Self, Error> {
        let wrong = |error: String| Error::Usage(format!("--ca {}: {error}", ca.display()));
        let mut roots = RootCertStore::empty();
        let list = CertificateDer::pem_file_iter(ca).map_err(|error| wrong(error.to_string()))?;
        for certificate in list {
            let certificate = certificate.map_err(|error| wrong(error.to_string()))?;
            roots
                .add(certificate)
                .map_err(|error| wrong(error.to_string()))?;
        }
        let config = ClientConfig::builder_with_provider(Arc::new(ring::default_provider()))
            .with_safe_default_protocol_versions()
            .map_err(|error| wrong(error.to_string()))?
            .with_root_certificates(roots)
            .with_no_client_auth();
        let connector = Connector::new().rustls_0_23(Arc::new(config));
        self.http = awc::Client::builder()
            .connector(connector)
            .timeout(PATIENCE)
            .finish();
        self.scheme = "https";
        Ok(self)
    }

    /// Fetches the configuration in force.
    ///
    /// # Errors
    ///
    /// Returns an error where no instance answers or it refuses.
    pub async fn config(&self) -> Result<Snapshot, Error> {
        let body = self.ask("/admin/config", None).await?;
        match read(&body)? {
            Reply::Config(snapshot) => Ok(snapshot),
            Reply::Current(_) => Ok(Snapshot::default()),
            other => Err(Error::Answer(format!("{other:?}"))),
        }
    }

    /// Asks for a change; a resend after a lost answer gets the first answer.
    ///
    /// # Errors
    ///
    /// Returns an error where no instance answers or it refuses.
    pub async fn apply(&self, change: &Change) -> Result<id::Version, Error> {
        let body = self.ask("/admin/config", Some(&json(change)?)).await?;
        match read(&body)? {
            Reply::Accepted(version) => Ok(version),
            other => Err(Error::Answer(format!("{other:?}"))),
        }
    }

    /// Asks a question.
    ///
    /// # Errors
    ///
    /// Returns an error where no instance answers or it refuses.
    pub async fn query(&self, query: &Query) -> Result<Answer, Error> {
        let body = self.ask("/admin/query", Some(&json(query)?)).await?;
        read(&body)
    }

    async fn ask(&self, path: &str, body: Option<&str>) -> Result<Bytes, Error> {
        let mut last = "no instance was named".to_owned();
        for at in &self.at {
            let url = format!("{}://{at}{path}", self.scheme);
            let sent = self.send(&url, body).await;
            match receive(sent).await {
                Err(Error::Unreachable(_, message)) => last = message,
                other => return other,
            }
        }
        Err(Error::Unreachable(self.at.clone(), last))
    }

    async fn send(
        &self,
        url: &str,
        body: Option<&str>,
    ) -> Result<
        ClientResponse<impl Stream<Item = Result<Bytes, PayloadError>> + use<>>,
        SendRequestError,
    > {
        let mut request = match body {
            Some(_) => self.http.post(url).content_type("application/json"),
            None => self.http.get(url),
        };
        if let Some(key) = &self.key {
            request = request.bearer_auth(key);
        }
        request.send_body(body.unwrap_or_default().to_owned()).await
    }
}

async fn receive<S>(sent: Result<ClientResponse<S>, SendRequestError>) -> Result<Bytes, Error>
where
    S: Stream<Item = Result<Bytes, PayloadError>>,
{
    let lost = |message: String| Error::Unreachable(Vec::new(), message);
    let mut answer = sent.map_err(|error| lost(error.to_string()))?;
    let body = answer
        .body()
        .limit(LIMIT)
        .await
        .map_err(|error| lost(error.to_string()))?;
    if answer.status().is_success() {
        return Ok(body);
    }
    let Ok(Refusal { error }) = serde_json::from_slice(&body) else {
        return Err(Error::Answer(format!("HTTP status {}", answer.status())));
    };
    match error.reason {
        // The instance is there, but another one may do better.
        Reason::Leaderless | Reason::Stopping => Err(lost(error.message)),
        Reason::Conflict => Err(Error::Conflict(error.message, error.help)),
        _ => Err(Error::Refused(error.message, error.help)),
    }
}

fn json(value: &impl Serialize) -> Result<String, Error> {
    serde_json::to_string(value).map_err(|error| Error::Answer(error.to_string()))
}

fn read<T: for<'a> Deserialize<'a>>(body: &[u8]) -> Result<T, Error> {
    serde_json::from_slice(body).map_err(|error| Error::Answer(error.to_string()))
}
