//! The inner protocol's server side.

use crate::holder::{self, Question};
use crate::keeper::{Ask, Incoming, Keeper};
use crate::packet::{BEAT, Packet, SILENCE};
use crate::watch::Source;
use actix::Addr;
use flamingo_wire::Frame;
use flamingo_wire::control::Request;
use flamingo_wire::frame::Seal;
use flamingo_wire::inner::control_server::Control;
use flamingo_wire::inner::log_server::Log;
use std::time::{Instant, SystemTime};
use tokio::sync::mpsc::{self, Sender, channel};
use tokio_stream::wrappers::ReceiverStream;
use tonic::{Response, Status, Streaming};

/// Frames handed to a stream ahead of the network.
const AHEAD: usize = 4;

/// Frames that go down a stream.
type Down = ReceiverStream<Result<Frame, Status>>;

/// Answers frames of entries and other control instances.
#[derive(Clone, Debug)]
pub struct Inner {
    seal: Seal,
    keeper: Addr<Keeper>,
    source: Source,
    holder: Option<mpsc::Sender<Question>>,
}

impl Inner {
    /// Builds the server side.
    #[must_use]
    pub fn new(
        seal: Seal,
        keeper: Addr<Keeper>,
        source: Source,
        holder: Option<mpsc::Sender<Question>>,
    ) -> Self {
        Self {
            seal,
            keeper,
            source,
            holder,
        }
    }
}

#[tonic::async_trait]
impl Control for Inner {
    type WatchStream = Down;

    async fn watch(
        &self,
        beats: tonic::Request<Streaming<Frame>>,
    ) -> Result<Response<Down>, Status> {
        let (out, down) = channel(AHEAD);
        tokio::spawn(self.source.clone().serve(beats.into_inner(), out));
        Ok(Response::new(ReceiverStream::new(down)))
    }

    async fn ask(&self, frame: tonic::Request<Frame>) -> Result<Response<Frame>, Status> {
        let frame = frame.into_inner();
        let request: Request = self
            .seal
            .open(&frame, SystemTime::now())
            .map_err(|error| Status::unauthenticated(error.to_string()))?;
        let from = frame.from;
        let reply = match (&self.holder, request) {
            (Some(holder), request @ (Request::Usage(_) | Request::LoadAdapter(_))) => {
                holder::ask(holder, &from, request).await
            }
            (_, request) => self
                .keeper
                .send(Ask {
                    request,
                    from: from.clone(),
                })
                .await
                .map_err(|error| Status::unavailable(error.to_string()))?,
        };
        let frame = self
            .seal
            .seal(&from, &reply, SystemTime::now())
            .map_err(|error| Status::internal(error.to_string()))?;
        Ok(Response::new(frame))
    }
}

#[tonic::async_trait]
impl Log for Inner {
    type SendStream = Down;

    async fn send(
        &self,
        frames: tonic::Request<Streaming<Frame>>,
    ) -> Result<Response<Down>, Status> {
        let (out, down) = channel(AHEAD);
        tokio::spawn(self.clone().receive(frames.into_inner(), out));
        Ok(Response::new(ReceiverStream::new(down)))
    }
}

impl Inner {
    /// Takes another member's messages until its stream falls silent.
    async fn receive(self, mut frames: Streaming<Frame>, out: Sender<Result<Frame, Status>>) {
        let mut deadline = Instant::now() + SILENCE;
        let mut tick = tokio::time::interval(BEAT);
        let mut from = String::new();
        loop {
            tokio::select! {
                frame = frames.message() => {
                    let Ok(Some(frame)) = frame else {
                        return;
                    };
                    let packet = match self.seal.open::<Packet>(&frame, SystemTime::now()) {
                        Ok(packet) => packet,
                        Err(error) => {
                            let refusal = Status::unauthenticated(error.to_string());
                            // The stranger may be gone already.
                            let _ = out.try_send(Err(refusal));
                            return;
                        }
                    };
                    deadline = Instant::now() + SILENCE;
                    from = frame.from;
                    if let Packet::Log(message) = packet
                        && (message.from != from || self.keeper.send(Incoming(message)).await.is_err())
                    {
                        return;
                    }
                }
                _ = tick.tick() => {
                    if Instant::now() >= deadline {
                        return;
                    }
                    // Nothing is sealed for a peer that has not shown the key.
                    if from.is_empty() {
                        continue;
                    }
                    let Ok(beat) = self.seal.seal(&from, &Packet::Beat, SystemTime::now()) else {
                        return;
                    };
                    // A full stream shows that the other end reads nothing.
                    if out.try_send(Ok(beat)).is_err() {
                        return;
                    }
                }
            }
        }
    }
}
