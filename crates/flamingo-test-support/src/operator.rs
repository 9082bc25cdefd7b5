//! Client of one control instance, for requests of operators and entries.

use crate::cluster::{Instance, KEY};
use awc::Client;
use flamingo_wire::admin::{Answer, Query, Status};
use flamingo_wire::config::{Change, Set, Snapshot};
use flamingo_wire::control::{Reply, Request};
use flamingo_wire::frame::Seal;
use flamingo_wire::id;
use flamingo_wire::inner::control_client::ControlClient;
use serde::Serialize;
use serde::de::DeserializeOwned;
use std::net::SocketAddr;
use std::time::{Duration, SystemTime};

/// Timeout of one request.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(5);

/// A client of one control instance.
#[derive(Clone, Debug)]
pub struct Operator {
    name: id::Node,
    http: SocketAddr,
    inner: SocketAddr,
}

/// Outcome of a change.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Applied {
    /// Accepted under this version.
    Accepted(id::Version),
    /// Refused, with the text of the response.
    Refused(String),
    /// Without a clear response: the change may have been accepted.
    Unknown,
}

impl Operator {
    /// Builds a client of `instance`.
    #[must_use]
    pub fn new(instance: &Instance) -> Self {
        Self {
            name: instance.name.clone(),
            http: instance.http(),
            inner: instance.inner(),
        }
    }

    /// Reads the configuration in force. Returns `None` without a successful response.
    pub async fn config(&self) -> Option<Snapshot> {
        let url = format!("http://{}/admin/config", self.http);
        let mut answer = client().get(url).send().await.ok()?;
        if !answer.status().is_success() {
            return None;
        }
        match answer.json().await.ok()? {
            Reply::Config(snapshot) => Some(snapshot),
            Reply::Current(0) => Some(Snapshot::default()),
            _ => None,
        }
    }

    /// Submits a change.
    pub async fn apply(&self, change: &Change) -> Applied {
        let url = format!("http://{}/admin/config", self.http);
        let Ok(mut answer) = client().post(url).send_json(change).await else {
            return Applied::Unknown;
        };
        let Ok(body) = answer.body().await else {
            return Applied::Unknown;
        };
        let text = String::from_utf8_lossy(&body).into_owned();
        if let Ok(Reply::Accepted(version)) = serde_json::from_slice(&body) {
            return Applied::Accepted(version);
        }
        if text.contains("may-have-run") {
            return Applied::Unknown;
        }
        Applied::Refused(text)
    }

    /// Sends an operator's query.
    pub async fn query(&self, query: &Query) -> Option<Answer> {
        self.post("/admin/query", query).await
    }

    /// Returns the status of the control instances, as this instance reports it.
    pub async fn status(&self) -> Option<Status> {
        match self.query(&Query::Status).await? {
            Answer::Status(status) => Some(status),
            _ => None,
        }
    }

    /// Posts a JSON body to a path and decodes the response.
    pub async fn post<T: DeserializeOwned>(&self, path: &str, body: &impl Serialize) -> Option<T> {
        let url = format!("http://{}{path}", self.http);
        let mut answer = client().post(url).send_json(body).await.ok()?;
        if !answer.status().is_success() {
            return None;
        }
        answer.json().await.ok()
    }

    /// Sends a request over the inner protocol, as the entry `node`.
    pub async fn ask(&self, node: &str, request: &Request) -> Option<Reply> {
        let asked = self.try_ask(node, request);
        actix_rt::time::timeout(REQUEST_TIMEOUT, asked).await.ok()?
    }

    async fn try_ask(&self, node: &str, request: &Request) -> Option<Reply> {
        let seal = Seal::new(node, KEY.as_bytes());
        let address = format!("http://{}", self.inner);
        let mut client = ControlClient::connect(address).await.ok()?;
        let frame = seal.seal(&self.name, request, SystemTime::now()).ok()?;
        let answer = client.ask(frame).await.ok()?;
        seal.open(answer.get_ref(), SystemTime::now()).ok()
    }
}

/// Returns a change to an empty set, with `id` as its identity and author.
#[must_use]
pub fn change(id: &str, base: id::Version) -> Change {
    Change {
        id: id.to_owned(),
        base,
        author: id.to_owned(),
        set: Set::default(),
    }
}

fn client() -> Client {
    Client::builder().timeout(REQUEST_TIMEOUT).finish()
}
