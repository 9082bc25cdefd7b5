//! Forwards requests to the leader.

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

/// Time that one forwarded request may take; more than the leader's `COMMIT_TIMEOUT`.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(4);
/// Time that opening a connection may take.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Interval of HTTP/2 keep-alive pings on a connection in use.
const KEEP_ALIVE_INTERVAL: Duration = Duration::from_millis(500);
/// Time without an answer to a ping after which a connection in use is dropped.
const KEEP_ALIVE_TIMEOUT: Duration = Duration::from_secs(1);

/// A connection to another control instance, with the address it was opened to.
#[derive(Debug)]
struct Connection {
    address: SocketAddr,
    channel: Channel,
}

/// Sends requests to other control instances over kept connections.
#[derive(Debug)]
pub struct Forwarder {
    node: id::Node,
    seal: Seal,
    channels: BTreeMap<id::Node, Connection>,
}

impl Forwarder {
    /// Builds a forwarder that sends in the name of `node`, this instance.
    pub fn new(node: id::Node, seal: Seal) -> Self {
        Self {
            node,
            seal,
            channels: BTreeMap::new(),
        }
    }

    /// Sends a request to `node` at `address`. A failure becomes a `Refused` reply, whose verdict
    /// says whether the request may have been accepted.
    pub fn send(
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
            match exchange(channel, &seal, &node, &request).await {
                Ok(reply) => reply,
                Err(error) => {
                    let message = format!("{own} can't reach the leader {node}: {error}");
                    let help = "resend the request with the same identity";
                    let fault = Fault::not_run(Reason::Leaderless, message, help);
                    Reply::Refused(fault.verdict(verdict).retry_after(1))
                }
            }
        }
    }

    /// Returns the kept channel to `node`, or a new one where the address has changed; `None`
    /// where the address is invalid.
    fn channel(&mut self, node: &str, address: SocketAddr) -> Option<Channel> {
        if let Some(connection) = self.channels.get(node)
            && connection.address == address
        {
            return Some(connection.channel.clone());
        }
        let endpoint = Endpoint::from_shared(format!("http://{address}")).ok()?;
        let channel = endpoint
            .connect_timeout(CONNECT_TIMEOUT)
            .tcp_nodelay(true)
            .timeout(REQUEST_TIMEOUT)
            .http2_keep_alive_interval(KEEP_ALIVE_INTERVAL)
            .keep_alive_timeout(KEEP_ALIVE_TIMEOUT)
            .connect_lazy();
        let connection = Connection {
            address,
            channel: channel.clone(),
        };
        self.channels.insert(node.to_owned(), connection);
        Some(channel)
    }
}

/// Returns whether a request without an answer may have been accepted.
fn verdict(request: &Request) -> Verdict {
    match request {
        // An entry does not dispatch a call without a grant, even if the ledger records one.
        Request::Begin(_) => Verdict::NotRun,
        _ => Verdict::MayHaveRun,
    }
}

async fn exchange(
    channel: Option<Channel>,
    seal: &Seal,
    node: &str,
    request: &Request,
) -> Result<Reply, Box<dyn std::error::Error>> {
    let channel = channel.ok_or("its address is invalid")?;
    let frame = seal.seal(node, request, SystemTime::now())?;
    let mut client = ControlClient::new(channel).max_decoding_message_size(usize::MAX);
    let answer = tokio::time::timeout(REQUEST_TIMEOUT, client.ask(frame)).await??;
    Ok(seal.open(answer.get_ref(), SystemTime::now())?)
}
