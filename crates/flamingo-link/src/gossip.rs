//! Gossip exchanges with other entries: the server, and the client that sends messages.

use crate::pool::{KEEPALIVE_TIMEOUT, MAX_MESSAGE_BYTES, SERVER_KEEPALIVE_INTERVAL};
use crate::shared::Shared;
use crate::status::Counters;
use flamingo_member::machine::{EXCHANGE_TIMEOUT, Envelope, TICK_INTERVAL};
use flamingo_wire::Frame;
use flamingo_wire::gossip::Message;
use flamingo_wire::inner::gossip_client::GossipClient;
use flamingo_wire::inner::gossip_server::{Gossip, GossipServer};
use slog::{debug, error};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant, SystemTime};
use tokio::net::TcpListener;
use tokio::sync::mpsc::UnboundedReceiver;
use tokio::time::{MissedTickBehavior, interval, timeout_at};
use tokio_stream::wrappers::TcpListenerStream;
use tonic::transport::Server;
use tonic::{Request, Response, Status};

/// Time between two attempts to open the listener.
const REBIND_INTERVAL: Duration = Duration::from_secs(1);

/// Server side of gossip: answers the messages of other entries.
#[derive(Debug)]
struct GossipService {
    shared: Arc<Shared>,
}

#[tonic::async_trait]
impl Gossip for GossipService {
    async fn exchange(&self, request: Request<Frame>) -> Result<Response<Frame>, Status> {
        let frame = request.into_inner();
        let shared = &self.shared;
        let message: Message = shared
            .seal
            .open(&frame, SystemTime::now())
            .map_err(|error| Status::unauthenticated(error.to_string()))?;
        let sender = message.updates.first().map(|update| &update.peer.node);
        if sender != Some(&frame.from) {
            return Err(Status::invalid_argument(
                "the first update must be about the sender itself",
            ));
        }
        Counters::add(&shared.counters.received, size(&frame));
        let answer = shared.step(|machine, now| machine.request(now, &message));
        let frame = shared
            .seal
            .seal(&frame.from, &answer, SystemTime::now())
            .map_err(|error| Status::internal(error.to_string()))?;
        Counters::add(&shared.counters.sent, size(&frame));
        Ok(Response::new(frame))
    }
}

/// Serves gossip on `address`. Never returns; reopens the listener when it fails.
pub async fn serve(shared: Arc<Shared>, address: SocketAddr) {
    loop {
        let error = match TcpListener::bind(address).await {
            Ok(listener) => listen(shared.clone(), listener).await,
            Err(error) => error.to_string(),
        };
        error!(shared.log, "inner listener failed, reopening"; "address" => %address, "error" => error);
        actix_rt::time::sleep(REBIND_INTERVAL).await;
    }
}

async fn listen(shared: Arc<Shared>, listener: TcpListener) -> String {
    let service =
        GossipServer::new(GossipService { shared }).max_decoding_message_size(MAX_MESSAGE_BYTES);
    let server = Server::builder()
        .tcp_nodelay(true)
        .http2_keepalive_interval(Some(SERVER_KEEPALIVE_INTERVAL))
        .http2_keepalive_timeout(Some(KEEPALIVE_TIMEOUT))
        .add_service(service);
    match server
        .serve_with_incoming(TcpListenerStream::new(listener))
        .await
    {
        Ok(()) => "server ended".to_owned(),
        Err(error) => error.to_string(),
    }
}

/// Drives the membership state machine: calls its tick and sends its outgoing messages. Ends when
/// the queue of outgoing messages is closed.
pub async fn drive(shared: Arc<Shared>, mut outgoing: UnboundedReceiver<Envelope>) {
    let mut ticks = interval(TICK_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        tokio::select! {
            _ = ticks.tick() => shared.tell(flamingo_member::Machine::tick),
            envelope = outgoing.recv() => {
                let Some(envelope) = envelope else { return };
                actix_rt::spawn(exchange(shared.clone(), envelope));
            }
        }
    }
}

/// Sends one message and passes the answer, or the failure, to the state machine.
async fn exchange(shared: Arc<Shared>, envelope: Envelope) {
    Counters::add(&shared.counters.exchanges, 1);
    let answer = send(&shared, &envelope).await;
    if let Some(message) = answer {
        shared.tell(|machine, now| machine.answer(now, envelope.exchange, &message));
        return;
    }
    Counters::add(&shared.counters.failures, 1);
    debug!(shared.log, "exchange failed"; "to" => &envelope.to, "address" => %envelope.address);
    shared.pool.drop(envelope.address);
    shared.tell(|machine, now| machine.failed(now, envelope.exchange));
}

async fn send(shared: &Shared, envelope: &Envelope) -> Option<Message> {
    let deadline = Instant::now() + EXCHANGE_TIMEOUT;
    let channel = shared.pool.get(envelope.address, deadline).await?;
    let now = SystemTime::now();
    let frame = shared
        .seal
        .seal(&envelope.to, &envelope.message, now)
        .ok()?;
    Counters::add(&shared.counters.sent, size(&frame));
    let mut client = GossipClient::new(channel).max_decoding_message_size(MAX_MESSAGE_BYTES);
    let answer = timeout_at(deadline.into(), client.exchange(frame)).await;
    let frame = answer.ok()?.ok()?.into_inner();
    Counters::add(&shared.counters.received, size(&frame));
    shared.seal.open(&frame, SystemTime::now()).ok()
}

/// Returns the size of a frame in bytes, without the overhead of the transport.
fn size(frame: &Frame) -> usize {
    frame.body.len() + frame.tag.len() + frame.from.len() + frame.to.len()
}
