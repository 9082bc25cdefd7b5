//! Passes questions on to the leader.

use flamingo_wire::control::{Reply, Request};
use flamingo_wire::fault::Reason;
use flamingo_wire::frame::Seal;
use flamingo_wire::inner::control_client::ControlClient;
use flamingo_wire::{Fault, Verdict, id};
use std::collections::BTreeMap;
use std::future::Future;
use std::net::SocketAddr;
use std::time::{Duration, SystemTime};
use tonic::transport::{Channel, Endpoint};

/// Time that one question may take; more than a caller waits at the leader.
const PATIENCE: Duration = Duration::from_secs(4);
/// Time that dialling may take.
const DIAL: Duration = Duration::from_secs(1);
/// Time between two proofs of life of a connection in use.
const ALIVE: Duration = Duration::from_millis(500);
/// Silence after which a connection in use is dropped.
const SILENCE: Duration = Duration::from_secs(1);

/// A connection and where it goes.
#[derive(Debug)]
struct Dialled {
    address: SocketAddr,
    channel: Channel,
}

/// Passes questions on.
#[derive(Debug)]
pub struct Forwarder {
    node: id::Node,
    seal: Seal,
    channels: BTreeMap<id::Node, Dialled>,
}

impl Forwarder {
    /// Builds a forwarder for `node`.
    pub fn new(node: id::Node, seal: Seal) -> Self {
        Self {
            node,
            seal,
            channels: BTreeMap::new(),
        }
    }

    /// Asks `node` at `address`.
    pub fn ask(
        &mut self,
        node: &str,
        address: SocketAddr,
        request: Request,
    ) -> impl Future<Output = Reply> + use<> {
        let channel = self.channel(node, address);
        let seal = self.seal.clone();
        let node = node.to_owned();
        let own = self.node.clone();
        async move {
            let verdict = verdict(&request);
            match send(channel, &seal, &node, &request).await {
                Ok(reply) => reply,
                Err(error) => {
                    let message = format!("{own} can't reach the leader {node}: {error}");
                    let help = "send it again under the same identity";
                    let fault = Fault::not_run(Reason::Leaderless, message, help);
                    Reply::Refused(fault.verdict(verdict).retry_after(1))
                }
            }
        }
    }

    fn channel(&mut self, node: &str, address: SocketAddr) -> Option<Channel> {
        if let Some(dialled) = self.channels.get(node)
            && dialled.address == address
        {
            return Some(dialled.channel.clone());
        }
        let endpoint = Endpoint::from_shared(format!("http://{address}")).ok()?;
        let channel = endpoint
            .connect_timeout(DIAL)
            .tcp_nodelay(true)
            .timeout(PATIENCE)
            .http2_keep_alive_interval(ALIVE)
            .keep_alive_timeout(SILENCE)
            .connect_lazy();
        let dialled = Dialled {
            address,
            channel: channel.clone(),
        };
        self.channels.insert(node.to_owned(), dialled);
        Some(channel)
    }
}

/// Returns whether a question without an answer may have been accepted.
fn verdict(request: &Request) -> Verdict {
    match request {
        // Without a grant the call is not dispatched, whatever the ledger holds.
        Request::Begin(_) => Verdict::NotRun,
        _ => Verdict::MayHaveRun,
    }
}

async fn send(
    channel: Option<Channel>,
    seal: &Seal,
    node: &str,
    request: &Request,
) -> Result<Reply, Box<dyn std::error::Error>> {
    let channel = channel.ok_or("its address can't be dialled")?;
    let frame = seal.seal(node, request, SystemTime::now())?;
    let mut client = ControlClient::new(channel).max_decoding_message_size(usize::MAX);
    let answer = tokio::time::timeout(PATIENCE, client.ask(frame)).await??;
    Ok(seal.open(answer.get_ref(), SystemTime::now())?)
}
