//! The stream to one other control instance.
//!
//! Messages go up, heartbeats come down. A stream that is silent past its
//! deadline is dropped, and a new connection is dialled: the old one may have
//! been forgotten by something between the two ends.

use crate::packet::{BEAT, Packet, SILENCE};
use flamingo_log::Message;
use flamingo_wire::frame::Seal;
use flamingo_wire::inner::log_client::LogClient;
use flamingo_wire::{Frame, id};
use slog::{Logger, debug, info};
use std::error::Error;
use std::net::SocketAddr;
use std::time::{Duration, Instant, SystemTime};
use tokio::sync::mpsc::{Receiver, Sender, channel};
use tokio_stream::wrappers::ReceiverStream;
use tonic::Streaming;
use tonic::transport::Endpoint;

/// Messages that wait for the stream before new ones are dropped; the log
/// sends again what is lost.
const QUEUE: usize = 256;
/// Frames handed to the stream ahead of the network.
const AHEAD: usize = 16;
/// Time between two attempts to dial.
const REDIAL: Duration = Duration::from_millis(200);
/// Time that one attempt to dial may take.
const DIAL: Duration = Duration::from_secs(1);

/// A stream to one other control instance; ends when dropped.
#[derive(Debug)]
pub struct Link {
    address: SocketAddr,
    queue: Sender<Message>,
}

/// The other end and how to speak to it.
#[derive(Debug)]
struct Dialer {
    node: id::Node,
    address: SocketAddr,
    seal: Seal,
    log: Logger,
}

impl Link {
    /// Starts the stream.
    #[must_use]
    pub fn start(node: id::Node, address: SocketAddr, seal: Seal, log: &Logger) -> Self {
        let (queue, messages) = channel(QUEUE);
        let log = log.new(slog::o!("peer" => node.clone()));
        let dialer = Dialer {
            node,
            address,
            seal,
            log,
        };
        actix_rt::spawn(dialer.run(messages));
        Self { address, queue }
    }

    /// Returns where the other end is dialled.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sends a message, or drops it where the stream is behind.
    pub fn send(&self, message: Message) {
        let _ = self.queue.try_send(message);
    }
}

impl Dialer {
    async fn run(self, mut messages: Receiver<Message>) {
        loop {
            match self.serve(&mut messages).await {
                Ok(()) => return,
                Err(error) => debug!(self.log, "stream ended"; "error" => %error),
            }
            actix_rt::time::sleep(REDIAL).await;
            // What waited is old; the log sends it again.
            while messages.try_recv().is_ok() {}
            if messages.is_closed() {
                return;
            }
        }
    }

    /// Dials and serves one stream; ends well only when the link is dropped.
    async fn serve(&self, messages: &mut Receiver<Message>) -> Result<(), Box<dyn Error>> {
        let endpoint = Endpoint::from_shared(format!("http://{}", self.address))?;
        let endpoint = endpoint.connect_timeout(DIAL).tcp_nodelay(true);
        let dialled = actix_rt::time::timeout(DIAL, endpoint.connect());
        let channel = dialled.await??;
        let (frames, upward) = tokio::sync::mpsc::channel(AHEAD);
        frames.send(self.frame(&Packet::Beat)?).await?;
        let mut client = LogClient::new(channel).max_decoding_message_size(usize::MAX);
        let opened = client.send(ReceiverStream::new(upward));
        let mut beats = actix_rt::time::timeout(SILENCE, opened)
            .await??
            .into_inner();
        info!(self.log, "stream open"; "address" => %self.address);
        let mut deadline = Instant::now() + SILENCE;
        let mut beat = actix_rt::time::interval(BEAT);
        loop {
            tokio::select! {
                message = messages.recv() => {
                    let Some(message) = message else {
                        return Ok(());
                    };
                    let frame = self.frame(&Packet::Log(message))?;
                    self.push(&frames, frame).await?;
                }
                heard = self.heard(&mut beats) => {
                    heard?;
                    deadline = Instant::now() + SILENCE;
                }
                _ = beat.tick() => {
                    if Instant::now() >= deadline {
                        return Err("silent past its deadline".into());
                    }
                    let frame = self.frame(&Packet::Beat)?;
                    self.push(&frames, frame).await?;
                }
            }
        }
    }

    async fn push(&self, frames: &Sender<Frame>, frame: Frame) -> Result<(), Box<dyn Error>> {
        let pushed = actix_rt::time::timeout(SILENCE, frames.send(frame));
        Ok(pushed.await??)
    }

    /// Waits for a heartbeat that the other end has sealed.
    async fn heard(&self, beats: &mut Streaming<Frame>) -> Result<(), Box<dyn Error>> {
        while let Some(frame) = beats.message().await? {
            if self.seal.open::<Packet>(&frame, SystemTime::now()).is_ok() {
                return Ok(());
            }
        }
        Err("the other end closed it".into())
    }

    fn frame(&self, packet: &Packet) -> Result<Frame, flamingo_wire::frame::Error> {
        self.seal.seal(&self.node, packet, SystemTime::now())
    }
}
