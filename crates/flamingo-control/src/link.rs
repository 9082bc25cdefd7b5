//! The stream to one other control instance.
//!
//! This instance sends messages of the log, and the other end answers with heartbeats. A stream
//! without a heartbeat for [`STREAM_TIMEOUT`] is dropped and a new connection is opened, because a
//! device between the two ends may have lost the state of the old connection.

use crate::packet::{HEARTBEAT_INTERVAL, Packet, STREAM_TIMEOUT};
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

/// Messages that are queued for the stream before new ones are dropped; the log resends what is
/// lost.
const MESSAGE_QUEUE: usize = 256;
/// Frames that are buffered between the task and the network.
const STREAM_BUFFER: usize = 16;
/// Delay before a connection is opened again.
const RECONNECT_INTERVAL: Duration = Duration::from_millis(200);
/// Time that opening a connection may take.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// A stream to one other control instance; dropping the link ends the stream.
#[derive(Debug)]
pub struct Link {
    address: SocketAddr,
    queue: Sender<Message>,
}

/// Opens and serves the stream of a link.
#[derive(Debug)]
struct Connector {
    node: id::Node,
    address: SocketAddr,
    seal: Seal,
    log: Logger,
}

impl Link {
    /// Starts a task that keeps a stream open to `node` at `address`.
    #[must_use]
    pub fn start(node: id::Node, address: SocketAddr, seal: Seal, log: &Logger) -> Self {
        let (queue, messages) = channel(MESSAGE_QUEUE);
        let log = log.new(slog::o!("peer" => node.clone()));
        let connector = Connector {
            node,
            address,
            seal,
            log,
        };
        actix_rt::spawn(connector.run(messages));
        Self { address, queue }
    }

    /// Returns the address of the other end.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Queues a message, or drops the message where the queue is full.
    pub fn send(&self, message: Message) {
        let _ = self.queue.try_send(message);
    }
}

impl Connector {
    /// Serves streams one after the other until the link is dropped.
    async fn run(self, mut messages: Receiver<Message>) {
        loop {
            match self.serve(&mut messages).await {
                Ok(()) => return,
                Err(error) => debug!(self.log, "stream ended"; "error" => %error),
            }
            actix_rt::time::sleep(RECONNECT_INTERVAL).await;
            // Queued messages are outdated by now; the log resends what is still needed.
            while messages.try_recv().is_ok() {}
            if messages.is_closed() {
                return;
            }
        }
    }

    /// Opens and serves one stream. Returns `Ok` only when the link is dropped.
    async fn serve(&self, messages: &mut Receiver<Message>) -> Result<(), Box<dyn Error>> {
        let endpoint = Endpoint::from_shared(format!("http://{}", self.address))?;
        let endpoint = endpoint.connect_timeout(CONNECT_TIMEOUT).tcp_nodelay(true);
        let connected = actix_rt::time::timeout(CONNECT_TIMEOUT, endpoint.connect());
        let channel = connected.await??;
        let (frames, outbound) = tokio::sync::mpsc::channel(STREAM_BUFFER);
        frames.send(self.seal_frame(&Packet::Heartbeat)?).await?;
        let mut client = LogClient::new(channel).max_decoding_message_size(usize::MAX);
        let response = client.send(ReceiverStream::new(outbound));
        let mut heartbeats = actix_rt::time::timeout(STREAM_TIMEOUT, response)
            .await??
            .into_inner();
        info!(self.log, "stream opened"; "address" => %self.address);
        let mut deadline = Instant::now() + STREAM_TIMEOUT;
        let mut tick = actix_rt::time::interval(HEARTBEAT_INTERVAL);
        loop {
            tokio::select! {
                message = messages.recv() => {
                    let Some(message) = message else {
                        return Ok(());
                    };
                    let frame = self.seal_frame(&Packet::Log(message))?;
                    self.send_frame(&frames, frame).await?;
                }
                received = self.receive_heartbeat(&mut heartbeats) => {
                    received?;
                    deadline = Instant::now() + STREAM_TIMEOUT;
                }
                _ = tick.tick() => {
                    if Instant::now() >= deadline {
                        return Err("no heartbeat in time".into());
                    }
                    let frame = self.seal_frame(&Packet::Heartbeat)?;
                    self.send_frame(&frames, frame).await?;
                }
            }
        }
    }

    /// Sends a frame; an error means that the stream has ended or accepts no frame in time.
    async fn send_frame(&self, frames: &Sender<Frame>, frame: Frame) -> Result<(), Box<dyn Error>> {
        let sent = actix_rt::time::timeout(STREAM_TIMEOUT, frames.send(frame));
        Ok(sent.await??)
    }

    /// Waits for a valid heartbeat of the other end; frames that fail authentication are skipped.
    async fn receive_heartbeat(
        &self,
        heartbeats: &mut Streaming<Frame>,
    ) -> Result<(), Box<dyn Error>> {
        while let Some(frame) = heartbeats.message().await? {
            if self.seal.open::<Packet>(&frame, SystemTime::now()).is_ok() {
                return Ok(());
            }
        }
        Err("the other end closed the stream".into())
    }

    fn seal_frame(&self, packet: &Packet) -> Result<Frame, flamingo_wire::frame::Error> {
        self.seal.seal(&self.node, packet, SystemTime::now())
    }
}
