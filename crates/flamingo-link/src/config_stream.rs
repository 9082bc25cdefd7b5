//! The stream from a control instance that keeps the configuration current.
//!
//! Once a second the entry sends a heartbeat with the version that it has in force. The control
//! instance sends heartbeats as often, and pushes newer configurations. A stream without
//! messages ends at a deadline, and the entry connects to the next control instance. Where an
//! instance does not support the stream, the entry polls.

use crate::ask;
use crate::pool::{MAX_MESSAGE_BYTES, dial};
use crate::shared::Shared;
use crate::status::Counters;
use flamingo_settings::node::Peer;
use flamingo_wire::Frame;
use flamingo_wire::config::Snapshot;
use flamingo_wire::control::{Fetch, Heartbeat, Push, Reply, Request};
use flamingo_wire::event::Event;
use flamingo_wire::inner::control_client::ControlClient;
use slog::warn;
use std::sync::Arc;
use std::time::{Duration, Instant, SystemTime};
use tokio::sync::mpsc::{self, Sender};
use tokio::time::timeout_at;
use tokio_stream::wrappers::ReceiverStream;
use tonic::Code;

/// Time between two heartbeats that the entry sends.
const HEARTBEAT_INTERVAL: Duration = Duration::from_secs(1);
/// Time without a valid push after which the stream is dropped.
const STREAM_TIMEOUT: Duration = Duration::from_secs(3);
/// Time-out for opening a stream, including its connection.
const DIAL_TIMEOUT: Duration = Duration::from_secs(1);
/// Time between two streams, and between two requests while polling.
const RETRY_INTERVAL: Duration = Duration::from_millis(250);
/// Time for which the entry polls after an instance that does not support the stream.
const POLLING_PERIOD: Duration = Duration::from_secs(10);
/// Maximum number of heartbeats that wait to be sent.
const MAX_QUEUED_HEARTBEATS: usize = 4;

/// The reason for the end of a stream.
enum StreamEnd {
    /// The instance does not support the stream.
    Unsupported,
    /// The stream could not be opened, broke, or had no message for [`STREAM_TIMEOUT`].
    Lost(&'static str),
}

/// Keeps the configuration current. Returns only where no control instance is configured.
pub async fn follow(shared: Arc<Shared>) {
    let controls = controls_in_order(&shared);
    loop {
        for peer in &controls {
            Counters::add(&shared.counters.redials, 1);
            match follow_stream(&shared, peer).await {
                StreamEnd::Unsupported => poll(&shared).await,
                StreamEnd::Lost(reason) => {
                    warn!(shared.log, "configuration stream lost"; "control" => &peer.node, "why" => reason);
                }
            }
            actix_rt::time::sleep(RETRY_INTERVAL).await;
        }
        if controls.is_empty() {
            return;
        }
    }
}

/// Returns the control instances in the order of use. The first one depends on the entry's name,
/// so that not all entries follow the same instance.
fn controls_in_order(shared: &Shared) -> Vec<Peer> {
    let mut controls = shared.controls.clone();
    let name_sum: usize = shared.node.bytes().map(usize::from).sum();
    let first = name_sum % controls.len().max(1);
    controls.rotate_left(first);
    controls
}

/// Follows one control instance until the stream ends.
async fn follow_stream(shared: &Arc<Shared>, peer: &Peer) -> StreamEnd {
    let deadline = Instant::now() + DIAL_TIMEOUT;
    let Some(channel) = dial(peer.address, deadline).await else {
        return StreamEnd::Lost("connection failed");
    };
    let (heartbeats, outgoing) = mpsc::channel(MAX_QUEUED_HEARTBEATS);
    send_heartbeat(shared, peer, &heartbeats);
    let mut client = ControlClient::new(channel).max_decoding_message_size(MAX_MESSAGE_BYTES);
    let opened = client.watch(ReceiverStream::new(outgoing));
    let mut stream = match timeout_at(deadline.into(), opened).await {
        Ok(Ok(response)) => response.into_inner(),
        Ok(Err(status)) if status.code() == Code::Unimplemented => return StreamEnd::Unsupported,
        Ok(Err(_)) => return StreamEnd::Lost("refused"),
        Err(_) => return StreamEnd::Lost("no answer"),
    };
    let mut next_heartbeat = Instant::now() + HEARTBEAT_INTERVAL;
    let mut stream_deadline = Instant::now() + STREAM_TIMEOUT;
    loop {
        let next = next_heartbeat.min(stream_deadline);
        match timeout_at(next.into(), stream.message()).await {
            Ok(Ok(Some(frame))) => {
                if handle(shared, &frame) {
                    stream_deadline = Instant::now() + STREAM_TIMEOUT;
                    shared.leader().get_or_insert_with(|| peer.node.clone());
                }
            }
            Ok(Ok(None)) => return StreamEnd::Lost("ended"),
            Ok(Err(_)) => return StreamEnd::Lost("broken"),
            Err(_) => {}
        }
        let now = Instant::now();
        if now >= stream_deadline {
            return StreamEnd::Lost("silent");
        }
        if now >= next_heartbeat {
            next_heartbeat = now + HEARTBEAT_INTERVAL;
            send_heartbeat(shared, peer, &heartbeats);
        }
    }
}

/// Queues a heartbeat with the version in force. It is dropped where the queue is full: the
/// instance then reads nothing, and the stream ends at its deadline.
fn send_heartbeat(shared: &Shared, peer: &Peer, heartbeats: &Sender<Frame>) {
    let heartbeat = Heartbeat {
        node: shared.node.clone(),
        zone: shared.zone.clone(),
        version: shared.machine().version(),
        routes: None,
        keeps_evidence: false,
        relays: false,
        neighbour: None,
    };
    if let Ok(frame) = shared.seal.seal(&peer.node, &heartbeat, SystemTime::now()) {
        let _ = heartbeats.try_send(frame);
    }
}

/// Handles one push. Returns whether the frame was valid.
fn handle(shared: &Shared, frame: &Frame) -> bool {
    match shared.seal.open(frame, SystemTime::now()) {
        Ok(Push::Config(snapshot)) => {
            install(shared, &snapshot);
            true
        }
        Ok(Push::Peers(peers)) => {
            if peers.leader.is_some() {
                shared.sink.take(Event::LeaderHeard);
            }
            true
        }
        // A heartbeat. Other pushes go only to followers of routes and targets.
        Ok(_) => true,
        Err(error) if error.is_of_later_build() => true,
        Err(error) => {
            warn!(shared.log, "push rejected"; "error" => %error);
            false
        }
    }
}

fn install(shared: &Shared, snapshot: &Snapshot) {
    shared.tell(|machine, now| machine.config(now, snapshot));
}

/// Polls the control instances for a newer configuration, for [`POLLING_PERIOD`].
async fn poll(shared: &Shared) {
    let end = Instant::now() + POLLING_PERIOD;
    while Instant::now() < end {
        let fetch = Fetch {
            version: shared.machine().version(),
            node: shared.node.clone(),
        };
        if let Reply::Config(snapshot) = ask::ask(shared, &Request::Fetch(fetch)).await {
            install(shared, &snapshot);
        }
        actix_rt::time::sleep(RETRY_INTERVAL).await;
    }
}
