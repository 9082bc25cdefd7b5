//! Talks to any entry or control instance.

use awc::Client as Http;
use flamingo_wire::config::{Change, Snapshot};
use flamingo_wire::control::Reply;
use quick_error::quick_error;
use std::net::SocketAddr;

quick_error! {
    /// Why a command failed.
    #[derive(Debug)]
    pub enum Error {
        /// The instance can't be reached.
        Unreachable(address: SocketAddr, message: String) {
            display("{address}: {message}; name an instance that runs with --at IP:PORT")
        }
        /// The instance refused.
        Refused(message: String) {
            display("{message}")
        }
        /// Settings or a set are wrong.
        Settings(err: flamingo_settings::Error) {
            from()
            display("{err}")
        }
        /// The command line is wrong.
        Usage(message: String) {
            display("{message}")
        }
    }
}

/// A client of one instance.
#[derive(Debug)]
pub struct Client {
    at: SocketAddr,
}

impl Client {
    /// Builds a client of the instance at `at`.
    #[must_use]
    pub fn new(at: SocketAddr) -> Self {
        Self { at }
    }

    /// Fetches the configuration in force.
    ///
    /// # Errors
    ///
    /// Returns an error where the instance can't be reached or refuses.
    pub async fn config(&self) -> Result<Snapshot, Error> {
        let url = format!("http://{}/admin/config", self.at);
        match self.read(Http::default().get(url).send().await).await? {
            Reply::Config(snapshot) => Ok(snapshot),
            _ => Ok(Snapshot::default()),
        }
    }

    /// Asks for a change.
    ///
    /// # Errors
    ///
    /// Returns an error where the instance can't be reached or refuses.
    pub async fn apply(&self, change: &Change) -> Result<Reply, Error> {
        let url = format!("http://{}/admin/config", self.at);
        self.read(Http::default().post(url).send_json(change).await)
            .await
    }

    async fn read<S>(
        &self,
        sent: Result<awc::ClientResponse<S>, awc::error::SendRequestError>,
    ) -> Result<Reply, Error>
    where
        S: futures_util::Stream<Item = Result<bytes::Bytes, awc::error::PayloadError>>,
    {
        let unreachable = |message: String| Error::Unreachable(self.at, message);
        let mut answer = sent.map_err(|error| unreachable(error.to_string()))?;
        let body = answer
            .body()
            .await
            .map_err(|error| unreachable(error.to_string()))?;
        if !answer.status().is_success() {
            return Err(Error::Refused(String::from_utf8_lossy(&body).into_owned()));
        }
        serde_json::from_slice(&body).map_err(|error| unreachable(error.to_string()))
    }
}
