//! A request's hold on the router, from its arrival to its final answer.

use crate::desk::{Arrive, Command, Desk, Tell};
use actix::Addr;
use flamingo_route::Request;
use flamingo_route::action::{AttemptId, Failure, Input};
use flamingo_wire::fault::Reason;
use flamingo_wire::{Fault, id};
use tokio::sync::mpsc::{UnboundedReceiver, unbounded_channel};

/// A request's hold on the router; dropped early, it says that the caller is gone.
#[derive(Debug)]
pub struct Ticket {
    request: id::Request,
    desk: Addr<Desk>,
    commands: UnboundedReceiver<Command>,
    open: bool,
}

impl Ticket {
    /// Tells the router of a new request.
    #[must_use]
    pub fn open(desk: Addr<Desk>, ask: Request) -> Self {
        let (reply, commands) = unbounded_channel();
        let request = ask.id.clone();
        desk.do_send(Arrive { ask, reply });
        Self {
            request,
            desk,
            commands,
            open: true,
        }
    }

    /// Returns the request's identity.
    #[must_use]
    pub fn request(&self) -> &str {
        &self.request
    }

    /// Waits for what is to be done next.
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
                Command::Refuse(Fault::not_run(Reason::Stopping, message, "send it again"))
            }
        }
    }

    /// Tells that an attempt's adapter is loaded.
    pub fn loaded(&self, attempt: AttemptId) {
        self.tell(Input::Loaded(attempt), false);
    }

    /// Tells that an attempt's answer has begun.
    pub fn begun(&self, attempt: AttemptId) {
        self.tell(Input::Begun(attempt), false);
    }

    /// Tells that an attempt failed; the next command says what follows.
    pub fn failed(&self, failure: Failure) {
        self.tell(Input::Failed(failure), false);
    }

    /// Tells that an attempt's answer was seen to its end.
    pub fn ended(mut self, attempt: AttemptId) {
        self.open = false;
        self.tell(Input::Ended(attempt), true);
    }

    fn tell(&self, input: Input, over: bool) {
        self.desk.do_send(Tell {
            request: self.request.clone(),
            input,
            over,
        });
    }
}

impl Drop for Ticket {
    fn drop(&mut self) {
        if self.open {
            self.tell(Input::CallerGone(self.request.clone()), true);
        }
    }
}
