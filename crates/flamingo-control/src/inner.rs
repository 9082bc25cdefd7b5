//! Server of the inner protocol, the gRPC protocol between instances.

use crate::controller::{self, EntryRequest};
use crate::origins::Store;
use crate::packet::{HEARTBEAT_INTERVAL, Packet, STREAM_TIMEOUT};
use crate::raft_actor::{HandleRequest, PeerMessage, RaftActor};
use crate::usage_relay::UsageRelay;
use crate::watch::Publisher;
use actix::Addr;
use flamingo_wire::control::{Reply, Request};
use flamingo_wire::fault::Reason;
use flamingo_wire::frame::Seal;
use flamingo_wire::inner::control_server::Control;
use flamingo_wire::inner::log_server::Log;
use flamingo_wire::{Fault, Frame};
use std::sync::Arc;
use std::time::{Instant, SystemTime};
use tokio::sync::mpsc::{self, Sender, channel};
use tokio_stream::wrappers::ReceiverStream;
use tonic::{Response, Status, Streaming};

/// Frames that are buffered between a task and the network.
const STREAM_BUFFER: usize = 4;

/// Frames that the server sends on a stream.
type FrameStream = ReceiverStream<Result<Frame, Status>>;

/// Handles calls and streams of entries and other control instances.
#[derive(Clone, Debug)]
pub struct InnerService {
    seal: Seal,
    raft_actor: Addr<RaftActor>,
    publisher: Publisher,
    controller: Option<mpsc::Sender<EntryRequest>>,
    origins: Arc<Store>,
    usage_relay: UsageRelay,
}

impl InnerService {
    /// Builds the service. Without a `controller`, its requests go to the Raft actor, which refuses
    /// them.
    #[must_use]
    pub fn new(
        seal: Seal,
        raft_actor: Addr<RaftActor>,
        publisher: Publisher,
        controller: Option<mpsc::Sender<EntryRequest>>,
        origins: Store,
        usage_relay: UsageRelay,
    ) -> Self {
        Self {
            usage_relay,
            seal,
            raft_actor,
            publisher,
            controller,
            origins: Arc::new(origins),
        }
    }
}

#[tonic::async_trait]
impl Control for InnerService {
    type WatchStream = FrameStream;

    async fn watch(
        &self,
        heartbeats: tonic::Request<Streaming<Frame>>,
    ) -> Result<Response<FrameStream>, Status> {
        let (out, stream) = channel(STREAM_BUFFER);
        tokio::spawn(self.publisher.clone().serve(heartbeats.into_inner(), out));
        Ok(Response::new(ReceiverStream::new(stream)))
    }

    async fn ask(&self, frame: tonic::Request<Frame>) -> Result<Response<Frame>, Status> {
        let frame = frame.into_inner();
        let opened = self.seal.open(&frame, SystemTime::now());
        let from = frame.from;
        let reply = match opened {
            Ok(request) => self.answer(&from, request).await?,
            Err(error) if error.is_of_later_build() => Reply::Refused(unknown_request()),
            Err(error) => return Err(Status::unauthenticated(error.to_string())),
        };
        let frame = self
            .seal
            .seal(&from, &reply, SystemTime::now())
            .map_err(|error| Status::internal(error.to_string()))?;
        Ok(Response::new(frame))
    }
}

impl InnerService {
    /// Answers a request of the process `from`.
    async fn answer(&self, from: &str, request: Request) -> Result<Reply, Status> {
        let reply = match (&self.controller, request) {
            (_, Request::Begun(begun)) => {
                self.origins.record(begun).await;
                Reply::Acknowledged
            }
            (_, Request::Origin(stream)) => Reply::Origin(self.origins.find(stream)),
            (
                Some(controller),
                request @ (Request::Usage(_)
                | Request::Usages(_)
                | Request::LoadAdapter(_)
                | Request::Permit(_)
                | Request::Room(_)
                | Request::Rejected(_)
                | Request::Quota(_)),
            ) => controller::send_request(controller, from, request).await,
            (Some(_), Request::PassUsage(report)) => self.usage_relay.pass(from, report).await,
            (_, request) => self
                .raft_actor
                .send(HandleRequest {
                    request,
                    from: from.to_owned(),
                })
                .await
                .map_err(|error| Status::unavailable(error.to_string()))?,
        };
        Ok(reply)
    }
}

/// Returns the refusal of a request that only later builds know.
fn unknown_request() -> Fault {
    let message = "this control instance runs an earlier build, which does not know the request";
    let help = "send it to another control instance, or wait until this one is upgraded";
    Fault::not_run(Reason::Leaderless, message, help).retry_after(1)
}

#[tonic::async_trait]
impl Log for InnerService {
    type SendStream = FrameStream;

    async fn send(
        &self,
        frames: tonic::Request<Streaming<Frame>>,
    ) -> Result<Response<FrameStream>, Status> {
        let (out, stream) = channel(STREAM_BUFFER);
        tokio::spawn(self.clone().receive(frames.into_inner(), out));
        Ok(Response::new(ReceiverStream::new(stream)))
    }
}

impl InnerService {
    /// Receives another member's messages and answers with heartbeats, until the stream ends or
    /// brings no packet for [`STREAM_TIMEOUT`].
    async fn receive(self, mut frames: Streaming<Frame>, out: Sender<Result<Frame, Status>>) {
        let mut deadline = Instant::now() + STREAM_TIMEOUT;
        let mut tick = tokio::time::interval(HEARTBEAT_INTERVAL);
        let mut from = String::new();
        loop {
            tokio::select! {
                frame = frames.message() => {
                    let Ok(Some(frame)) = frame else {
                        return;
                    };
                    let packet = match self.seal.open::<Packet>(&frame, SystemTime::now()) {
                        Ok(packet) => packet,
                        // As if it had been lost on its way, which the log bears.
                        Err(error) if error.is_of_later_build() => Packet::Heartbeat,
                        Err(error) => {
                            let refusal = Status::unauthenticated(error.to_string());
                            // The sender may have disconnected.
                            let _ = out.try_send(Err(refusal));
                            return;
                        }
                    };
                    deadline = Instant::now() + STREAM_TIMEOUT;
                    from = frame.from;
                    if let Packet::Log(message) = packet
                        && (message.from != from || self.raft_actor.send(PeerMessage(message)).await.is_err())
                    {
                        return;
                    }
                }
                _ = tick.tick() => {
                    if Instant::now() >= deadline {
                        return;
                    }
                    // No heartbeat is sealed for a peer that has not proved to have the key.
                    if from.is_empty() {
                        continue;
                    }
                    let Ok(heartbeat) = self.seal.seal(&from, &Packet::Heartbeat, SystemTime::now()) else {
                        return;
                    };
                    // A full buffer means that the other end does not read.
                    if out.try_send(Ok(heartbeat)).is_err() {
                        return;
                    }
                }
            }
        }
    }
}
