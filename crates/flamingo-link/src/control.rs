//! The entry's link to the control instances.

use flamingo_settings::entry::Settings;
use flamingo_settings::node::Peer;
use flamingo_wire::announce::Announcement;
use flamingo_wire::control::{Fetch, Reply, Request};
use flamingo_wire::event::{Event, Sink};
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

/// A link to the rest of the system.
#[derive(Clone)]
pub struct Link {
    seal: Seal,
    node: id::Node,
    peers: Vec<Peer>,
    sink: Arc<dyn Sink>,
}

impl std::fmt::Debug for Link {
    fn fmt(&self, out: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(out, "Link({})", self.node)
    }
}

impl Link {
    /// Starts the links of an entry; news goes to `sink`.
    #[must_use]
    pub fn start(settings: &Settings, seal: Seal, sink: Arc<dyn Sink>, log: Logger) -> Self {
        let node = settings.node.name.clone();
        let peers = settings.node.controls.clone();
        let link = Self {
            seal,
            node,
            peers,
            sink,
        };
        actix_rt::spawn(link.clone().follow(log));
        link
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

    /// Takes a target's announcement from the entry's HTTP interface.
    pub fn announce(&self, announcement: Announcement) {
        self.sink.take(Event::Target(Box::new(announcement)));
    }

    /// Keeps the configuration current, for ever.
    async fn follow(self, log: Logger) {
        let mut version = 0;
        loop {
            let fetch = Fetch {
                version,
                node: self.node.clone(),
            };
            if let Reply::Config(snapshot) = self.ask(&Request::Fetch(fetch)).await {
                info!(log, "configuration in force"; "version" => snapshot.version);
                version = snapshot.version;
                self.sink.take(Event::Config(Box::new(snapshot)));
            }
            actix_rt::time::sleep(POLL).await;
        }
    }
}
