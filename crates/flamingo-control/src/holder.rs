//! The one holder of orders to engines: what is asked of it, and its wire.

use flamingo_wire::control::{Reply, Request};
use flamingo_wire::fault::Reason;
use flamingo_wire::{Fault, id};
use tokio::sync::{mpsc, oneshot};

/// What an entry asks of the holder.
#[derive(Debug)]
pub struct Question {
    /// The entry.
    pub from: id::Node,
    /// What it asks.
    pub request: Request,
    /// Takes the answer.
    pub reply: oneshot::Sender<Reply>,
}

/// Asks the holder, and waits for its answer.
pub async fn ask(holder: &mpsc::Sender<Question>, from: &str, request: Request) -> Reply {
    let (reply, answer) = oneshot::channel();
    let question = Question {
        from: from.to_owned(),
        request,
        reply,
    };
    if holder.try_send(question).is_err() {
        return Reply::Refused(busy());
    }
    answer.await.unwrap_or_else(|_| Reply::Refused(busy()))
}

fn busy() -> Fault {
    let message = "the holder of orders has too much to do, or is not this instance";
    Fault::not_run(Reason::Overloaded, message, "ask the leader again").retry_after(1)
}
