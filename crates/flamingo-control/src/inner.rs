//! The inner protocol's server side.

use crate::keeper::{Ask, Keeper};
use actix::Addr;
use flamingo_wire::Frame;
use flamingo_wire::control::Request;
use flamingo_wire::frame::Seal;
use flamingo_wire::inner::control_server::Control;
use std::time::SystemTime;
use tonic::{Response, Status};

/// Answers frames of entries and other control instances.
#[derive(Debug)]
pub struct Inner {
    seal: Seal,
    keeper: Addr<Keeper>,
}

impl Inner {
    /// Builds the server side.
    #[must_use]
    pub fn new(seal: Seal, keeper: Addr<Keeper>) -> Self {
        Self { seal, keeper }
    }
}

#[tonic::async_trait]
impl Control for Inner {
    type WatchStream = tokio_stream::Empty<Result<Frame, Status>>;

    async fn watch(
        &self,
        _: tonic::Request<tonic::Streaming<Frame>>,
    ) -> Result<Response<Self::WatchStream>, Status> {
        Err(Status::unimplemented("ask with Fetch"))
    }

    async fn ask(&self, frame: tonic::Request<Frame>) -> Result<Response<Frame>, Status> {
        let frame = frame.into_inner();
        let request: Request = self
            .seal
            .open(&frame, SystemTime::now())
            .map_err(|error| Status::unauthenticated(error.to_string()))?;
        let reply = self
            .keeper
            .send(Ask(request))
            .await
            .map_err(|error| Status::unavailable(error.to_string()))?;
        let frame = self
            .seal
            .seal(&frame.from, &reply, SystemTime::now())
            .map_err(|error| Status::internal(error.to_string()))?;
        Ok(Response::new(frame))
    }
}
