//! The stream that keeps the configuration current.
//!
//! The entry says once a second which version it has in force; the control
//! instance answers as often, and pushes what is newer. A stored deadline ends a
//! silent stream; the next control instance is dialled. Where an instance does
//! not offer the stream, it is asked.

use crate::ask;
use crate::pool::{MESSAGE, dial};
use crate::shared::Shared;
use crate::status::Counters;
use flamingo_settings::node::Peer;
use flamingo_wire::Frame;
use flamingo_wire::config::Snapshot;
use flamingo_wire::control::{Fetch, Heartbeat, Push, Reply, Request};
use flamingo_wire::inner::control_client::ControlClient;
use slog::warn;
use std::sync::Arc;
use std::time::{Duration, Instant, SystemTime};
use tokio::sync::mpsc::{self, Sender};
use tokio::time::timeout_at;
use tokio_stream::wrappers::ReceiverStream;
use tonic::Code;

/// Time between two beats.
const BEAT: Duration = Duration::from_secs(1);
/// Time without a push after which the stream is dropped.
const SILENCE: Duration = Duration::from_secs(3);
/// Time that dialling a stream may take.
const PATIENCE: Duration = Duration::from_secs(1);
/// Time between two tries, and between two questions.
const PAUSE: Duration = Duration::from_millis(250);
/// Time for which an instance without the stream is asked.
const ASKING: Duration = Duration::from_secs(10);
/// Beats that may wait to be sent.
const QUEUE: usize = 4;

/// Why a stream ended.
enum End {
    /// The instance does not offer it.
    Unsupported,
    /// It could not be dialled, broke or fell silent.
    Lost(&'static str),
}

/// Keeps the configuration current, for ever.
pub async fn follow(shared: Arc<Shared>) {
    let controls = in_turn(&shared);
    loop {
        for peer in &controls {
            Counters::add(&shared.counters.redials, 1);
            match watch(&shared, peer).await {
                End::Unsupported => poll(&shared).await,
                End::Lost(why) => {
                    warn!(shared.log, "stream to control lost"; "control" => &peer.node, "why" => why);
                }
            }
            actix_rt::time::sleep(PAUSE).await;
        }
        if controls.is_empty() {
            return;
        }
    }
}

/// Returns the control instances from one on that differs by entry, so that
/// not all entries follow the same one.
fn in_turn(shared: &Shared) -> Vec<Peer> {
    let mut controls = shared.controls.clone();
    let sum: usize = shared.node.bytes().map(usize::from).sum();
    let first = sum % controls.len().max(1);
    controls.rotate_left(first);
    controls
}

/// Follows one control instance until the stream ends.
async fn watch(shared: &Arc<Shared>, peer: &Peer) -> End {
    let deadline = Instant::now() + PATIENCE;
    let Some(channel) = dial(peer.address, deadline).await else {
        return End::Lost("can't be dialled");
    };
    let (beats, outgoing) = mpsc::channel(QUEUE);
    beat(shared, peer, &beats);
    let mut client = ControlClient::new(channel).max_decoding_message_size(MESSAGE);
    let opened = client.watch(ReceiverStream::new(outgoing));
    let mut stream = match timeout_at(deadline.into(), opened).await {
        Ok(Ok(answer)) => answer.into_inner(),
        Ok(Err(status)) if status.code() == Code::Unimplemented => return End::Unsupported,
        Ok(Err(_)) => return End::Lost("refused"),
        Err(_) => return End::Lost("no answer"),
    };
    let mut next_beat = Instant::now() + BEAT;
    let mut silent = Instant::now() + SILENCE;
    loop {
        let next = next_beat.min(silent);
        match timeout_at(next.into(), stream.message()).await {
            Ok(Ok(Some(frame))) => {
                if take(shared, &frame) {
                    silent = Instant::now() + SILENCE;
                    shared.leader().get_or_insert_with(|| peer.node.clone());
                }
            }
            Ok(Ok(None)) => return End::Lost("ended"),
            Ok(Err(_)) => return End::Lost("broken"),
            Err(_) => {}
        }
        let now = Instant::now();
        if now >= silent {
            return End::Lost("silent");
        }
        if now >= next_beat {
            next_beat = now + BEAT;
            beat(shared, peer, &beats);
        }
    }
}

/// Says which version is in force. Where the queue is full, nobody listens, and
/// the deadline of the stream ends it.
fn beat(shared: &Shared, peer: &Peer, beats: &Sender<Frame>) {
    let beat = Heartbeat {
        node: shared.node.clone(),
        zone: shared.zone.clone(),
        version: shared.machine().version(),
        routes: None,
    };
    if let Ok(frame) = shared.seal.seal(&peer.node, &beat, SystemTime::now()) {
        let _ = beats.try_send(frame);
    }
}

/// Takes one push; returns whether it was genuine.
fn take(shared: &Shared, frame: &Frame) -> bool {
    match shared.seal.open(frame, SystemTime::now()) {
        Ok(Push::Config(snapshot)) => {
            install(shared, &snapshot);
            true
        }
        // A beat; the rest is said only to those that follow routes.
        Ok(_) => true,
        Err(error) => {
            warn!(shared.log, "push refused"; "error" => %error);
            false
        }
    }
}

fn install(shared: &Shared, snapshot: &Snapshot) {
    shared.tell(|machine, now| machine.config(now, snapshot));
}

/// Asks for what is newer, for a while.
async fn poll(shared: &Shared) {
    let end = Instant::now() + ASKING;
    while Instant::now() < end {
        let fetch = Fetch {
            version: shared.machine().version(),
            node: shared.node.clone(),
        };
        if let Reply::Config(snapshot) = ask::ask(shared, &Request::Fetch(fetch)).await {
            install(shared, &snapshot);
        }
        actix_rt::time::sleep(PAUSE).await;
    }
}
