//! The entry's link to the control instances.

use crate::table::Table;
use flamingo_settings::node::Peer;
use flamingo_wire::control::{Fetch, Reply, Request};
use flamingo_wire::fault::Reason;
use flamingo_wire::frame::Seal;
use flamingo_wire::inner::control_client::ControlClient;
use flamingo_wire::{Fault, id};
use slog::{Logger, info};
use std::sync::Arc;
use std::time::{Duration, SystemTime};
use tonic::transport::{Channel, Endpoint};

/// Time between two questions for a newer configuration.
const POLL: Duration = Duration::from_millis(250);
/// Time that one question may take.
const PATIENCE: Duration = Duration::from_secs(2);

/// A link to the control instances.
#[derive(Clone, Debug)]
pub struct Link {
    seal: Seal,
    node: id::Node,
    peers: Vec<Peer>,
}

impl Link {
    /// Builds a link for the entry `node`.
    #[must_use]
    pub fn new(node: id::Node, seal: Seal, peers: Vec<Peer>) -> Self {
        Self { seal, node, peers }
    }

    /// Asks the control instances in turn until one answers.
    pub async fn ask(&self, request: &Request) -> Reply {
        for peer in &self.peers {
            if let Ok(reply) = self.ask_peer(peer, request).await {
                return reply;
            }
        }
        let message = "no control instance answers";
        let fault = Fault::not_run(Reason::Leaderless, message, "come back later");
        Reply::Refused(fault.retry_after(1))
    }

    async fn ask_peer(
        &self,
        peer: &Peer,
        request: &Request,
    ) -> Result<Reply, Box<dyn std::error::Error>> {
        let endpoint = Endpoint::from_shared(format!("http://{}", peer.address))?;
        let channel: Channel = endpoint
            .timeout(PATIENCE)
            .connect_timeout(PATIENCE)
            .connect()
            .await?;
        let frame = self.seal.seal(&peer.node, request, SystemTime::now())?;
        let answer = ControlClient::new(channel).ask(frame).await?;
        Ok(self.seal.open(answer.get_ref(), SystemTime::now())?)
    }

    /// Keeps the configuration of `table` current, for ever.
    pub async fn follow(self, table: Arc<Table>, log: Logger) {
        loop {
            let version = table.config().version;
            let fetch = Fetch {
                version,
                node: self.node.clone(),
            };
            if let Reply::Config(snapshot) = self.ask(&Request::Fetch(fetch)).await {
                info!(log, "configuration in force"; "version" => snapshot.version);
                table.install(snapshot);
            }
            actix_rt::time::sleep(POLL).await;
        }
    }
}
