//! HTTP client of the admin interface, which every entry and control instance serves.

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

/// Longest time that the client waits for one instance before it tries the next.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(10);
/// Largest response body that the client accepts, in bytes.
const MAX_RESPONSE_BYTES: usize = 32 * 1024 * 1024;

/// Sends each request to one instance after the other until one of them answers.
pub struct Client {
    addresses: Vec<SocketAddr>,
    key: Option<String>,
    scheme: &'static str,
    http: awc::Client,
}

#[derive(Debug, Deserialize)]
struct ErrorResponse {
    error: ErrorDetail,
}

#[derive(Debug, Deserialize)]
struct ErrorDetail {
    message: String,
    reason: Reason,
    #[serde(default)]
    help: String,
}

impl Client {
    /// Builds a client that contacts the instances at `addresses` over plain HTTP, in this order.
    #[must_use]
    pub fn new(addresses: Vec<SocketAddr>) -> Self {
        let http = awc::Client::builder().timeout(REQUEST_TIMEOUT).finish();
        Self {
            addresses,
            key: None,
            scheme: "http",
            http,
        }
    }

    /// Sends `key` as the bearer token of each request; `None` sends no token.
    #[must_use]
    pub fn key(mut self, key: Option<String>) -> Self {
        self.key = key;
        self
    }

    /// Connects over TLS and trusts the certificates in the PEM file `ca`.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Usage`] if the file can't be read or holds an invalid certificate.
    pub fn trust_ca(mut self, ca: &Path) -> Result<Self, Error> {
        let invalid = |error: String| Error::Usage(format!("--ca {}: {error}", ca.display()));
        let mut roots = RootCertStore::empty();
        let list = CertificateDer::pem_file_iter(ca).map_err(|error| invalid(error.to_string()))?;
        for certificate in list {
            let certificate = certificate.map_err(|error| invalid(error.to_string()))?;
            roots
                .add(certificate)
                .map_err(|error| invalid(error.to_string()))?;
        }
        let config = ClientConfig::builder_with_provider(Arc::new(ring::default_provider()))
            .with_safe_default_protocol_versions()
            .map_err(|error| invalid(error.to_string()))?
            .with_root_certificates(roots)
            .with_no_client_auth();
        let connector = Connector::new().rustls_0_23(Arc::new(config));
        self.http = awc::Client::builder()
            .connector(connector)
            .timeout(REQUEST_TIMEOUT)
            .finish();
        self.scheme = "https";
        Ok(self)
    }

    /// Fetches the configuration in force. Before the first accepted change this is the empty
    /// set with version 0.
    ///
    /// # Errors
    ///
    /// Returns an error if no instance answers, or if the instance rejects the request.
    pub async fn config(&self) -> Result<Snapshot, Error> {
        let body = self.request("/admin/config", None).await?;
        match parse(&body)? {
            Reply::Config(snapshot) => Ok(snapshot),
            Reply::Current(_) => Ok(Snapshot::default()),
            other => Err(Error::UnexpectedAnswer(format!("{other:?}"))),
        }
    }

    /// Submits a change of the configuration and returns the version that it was accepted as.
    /// The change's ID makes it idempotent: a resend after a lost answer gets the first answer.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Conflict`] if the base version of the change is outdated, and another
    /// error if no instance answers or the instance rejects the change.
    pub async fn apply(&self, change: &Change) -> Result<id::Version, Error> {
        let body = self.request("/admin/config", Some(&json(change)?)).await?;
        match parse(&body)? {
            Reply::Accepted(version) => Ok(version),
            other => Err(Error::UnexpectedAnswer(format!("{other:?}"))),
        }
    }

    /// Sends an operator's query and returns its answer.
    ///
    /// # Errors
    ///
    /// Returns an error if no instance answers, or if the instance rejects the query.
    pub async fn query(&self, query: &Query) -> Result<Answer, Error> {
        let body = self.request("/admin/query", Some(&json(query)?)).await?;
        parse(&body)
    }

    /// Sends a request to each instance in turn and returns the body of the first answer.
    /// A request with a body is a POST, one without is a GET.
    async fn request(&self, path: &str, body: Option<&str>) -> Result<Bytes, Error> {
        let mut last_failure = "no instance address was given".to_owned();
        for address in &self.addresses {
            let url = format!("{}://{address}{path}", self.scheme);
            let response = self.send(&url, body).await;
            match read_response(response).await {
                Err(Error::Unreachable(_, message)) => last_failure = message,
                other => return other,
            }
        }
        Err(Error::Unreachable(self.addresses.clone(), last_failure))
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

/// Returns the body of a successful response. Every failure after which another instance may
/// still succeed is reported as [`Error::Unreachable`].
async fn read_response<S>(
    response: Result<ClientResponse<S>, SendRequestError>,
) -> Result<Bytes, Error>
where
    S: Stream<Item = Result<Bytes, PayloadError>>,
{
    let unreachable = |message: String| Error::Unreachable(Vec::new(), message);
    let mut response = response.map_err(|error| unreachable(error.to_string()))?;
    let body = response
        .body()
        .limit(MAX_RESPONSE_BYTES)
        .await
        .map_err(|error| unreachable(error.to_string()))?;
    if response.status().is_success() {
        return Ok(body);
    }
    let Ok(ErrorResponse { error }) = serde_json::from_slice(&body) else {
        return Err(Error::UnexpectedAnswer(format!(
            "HTTP status {}",
            response.status()
        )));
    };
    match error.reason {
        // The instance answered, but another instance may know a leader or not be stopping.
        Reason::Leaderless | Reason::Stopping => Err(unreachable(error.message)),
        Reason::Conflict => Err(Error::Conflict(error.message, error.help)),
        _ => Err(Error::Refused(error.message, error.help)),
    }
}

fn json(value: &impl Serialize) -> Result<String, Error> {
    serde_json::to_string(value).map_err(|error| Error::UnexpectedAnswer(error.to_string()))
}

fn parse<T: for<'a> Deserialize<'a>>(body: &[u8]) -> Result<T, Error> {
    serde_json::from_slice(body).map_err(|error| Error::UnexpectedAnswer(error.to_string()))
}
