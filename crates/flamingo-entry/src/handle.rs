//! Connects the task of a request with the router, from the request's arrival to its final
//! response.

use crate::dispatcher::{AddRequest, Command, Dispatcher, RequestInput};
use actix::Addr;
use flamingo_route::Request;
use flamingo_route::action::{AttemptId, Failure, Input};
use flamingo_wire::fault::Reason;
use flamingo_wire::{Fault, id};
use tokio::sync::mpsc::{UnboundedReceiver, unbounded_channel};

/// Handle of one request at the [`Dispatcher`]. Dropping the handle before the final response tells
/// the router that the caller is gone.
#[derive(Debug)]
pub struct Handle {
    request: id::Request,
    dispatcher: Addr<Dispatcher>,
    commands: UnboundedReceiver<Command>,
    open: bool,
}

impl Handle {
    /// Adds a request to the router.
    #[must_use]
    pub fn new(dispatcher: Addr<Dispatcher>, request: Request) -> Self {
        let (sender, commands) = unbounded_channel();
        let id = request.id.clone();
        dispatcher.do_send(AddRequest {
            request,
            commands: sender,
        });
        Self {
            request: id,
            dispatcher,
            commands,
            open: true,
        }
    }

    /// Returns the id of the request.
    #[must_use]
    pub fn request(&self) -> &str {
        &self.request
    }

    /// Waits for the router's next command. A stopped dispatcher counts as a refusal.
    pub async fn next(&mut self) -> Command {
        match self.commands.recv().await {
            Some(Command::Refuse(fault)) => {
                self.open = false;
                Command::Refuse(fault)
            }
            Some(command) => command,
            None => {
                self.open = false;
                let message = "the entry is stopping";
                Command::Refuse(Fault::not_run(
                    Reason::Stopping,
                    message,
                    "send the request again",
                ))
            }
        }
    }

    /// Reports to the router that the adapter of an attempt is loaded.
    pub fn loaded(&self, attempt: AttemptId) {
        self.send(Input::Loaded(attempt), false);
    }

    /// Reports to the router that the response of an attempt has begun.
    pub fn begun(&self, attempt: AttemptId) {
        self.send(Input::Begun(attempt), false);
    }

    /// Reports to the router that the response of an attempt says that its target leaves.
    pub fn leaving(&self, attempt: AttemptId) {
        self.send(Input::Leaving(attempt), false);
    }

    /// Reports to the router that an attempt failed. The next command is a further attempt or the
    /// final refusal.
    pub fn failed(&self, failure: Failure) {
        self.send(Input::Failed(failure), false);
    }

    /// Reports to the router that the response of an attempt was received completely, which ends
    /// the request.
    pub fn ended(mut self, attempt: AttemptId) {
        self.open = false;
        self.send(Input::Ended(attempt), true);
    }

    fn send(&self, input: Input, ends_request: bool) {
        self.dispatcher.do_send(RequestInput {
            request: self.request.clone(),
            input,
            ends_request,
        });
    }
}

impl Drop for Handle {
    fn drop(&mut self) {
        if self.open {
            self.send(Input::CallerGone(self.request.clone()), true);
        }
    }
}
