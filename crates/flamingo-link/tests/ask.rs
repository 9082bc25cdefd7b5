//! Requests to control instances that do not answer, are gone or do not lead.

use flamingo_link::Link;
use flamingo_settings::entry::Settings;
use flamingo_settings::node::{Node, Peer};
use flamingo_test_support::address::{at, host};
use flamingo_wire::control::{Answer, Call, Grant, Reply, Request};
use flamingo_wire::event::{Event, Sink};
use flamingo_wire::fault::Reason;
use flamingo_wire::frame::Seal;
use flamingo_wire::inner::control_server::{Control, ControlServer};
use flamingo_wire::{Fault, Frame, Verdict};
use slog::{Discard, Logger, o};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::SystemTime;
use tokio::net::TcpListener;
use tokio_stream::wrappers::TcpListenerStream;
use tonic::transport::Server;
use tonic::{Response, Status, Streaming};

const KEY: &[u8] = b"test-inner-key";

/// How a fake control instance handles requests.
#[derive(Clone, Copy)]
enum Behaviour {
    /// Answers all requests.
    Grants,
    /// Receives the first request and never answers it; answers all others.
    LosesFirst,
    /// Never answers a request.
    Silent,
    /// Redirects all requests to another instance.
    Redirects,
}

/// A fake control instance that records the requests that it receives.
#[derive(Clone)]
struct FakeControl {
    seal: Seal,
    behaviour: Behaviour,
    received: Arc<Mutex<Vec<Request>>>,
    count: Arc<AtomicUsize>,
}

#[tonic::async_trait]
impl Control for FakeControl {
    type WatchStream = tokio_stream::Empty<Result<Frame, Status>>;

    async fn watch(
        &self,
        _: tonic::Request<Streaming<Frame>>,
    ) -> Result<Response<Self::WatchStream>, Status> {
        std::future::pending().await
    }

    async fn ask(&self, frame: tonic::Request<Frame>) -> Result<Response<Frame>, Status> {
        let frame = frame.into_inner();
        let request: Request = self.seal.open(&frame, SystemTime::now()).unwrap();
        self.received.lock().unwrap().push(request);
        let first = self.count.fetch_add(1, Ordering::SeqCst) == 0;
        let reply = match self.behaviour {
            Behaviour::Silent => std::future::pending().await,
            Behaviour::LosesFirst if first => std::future::pending().await,
            Behaviour::Grants | Behaviour::LosesFirst => Reply::Grant(Grant::Dispatch),
            Behaviour::Redirects => {
                let mut fault = Fault::not_run(Reason::Redirect, "not the leader", "ask it");
                fault.leader = Some("control-2".to_owned());
                Reply::Refused(fault)
            }
        };
        let answer = self.seal.seal(&frame.from, &reply, SystemTime::now());
        Ok(Response::new(answer.unwrap()))
    }
}

/// An event sink that ignores all events.
struct NullSink;

impl Sink for NullSink {
    fn take(&self, _: Event) {}
}

/// Starts a fake control instance on an address of its own.
async fn fake(name: &str, behaviour: Behaviour) -> (Peer, FakeControl) {
    let address = at(host(), 7401);
    let fake = FakeControl {
        seal: Seal::new(name, KEY),
        behaviour,
        received: Arc::default(),
        count: Arc::default(),
    };
    let listener = TcpListener::bind(address).await.unwrap();
    let service = ControlServer::new(fake.clone());
    let server = Server::builder().add_service(service);
    actix_rt::spawn(server.serve_with_incoming(TcpListenerStream::new(listener)));
    let node = name.to_owned();
    (Peer { node, address }, fake)
}

fn link(controls: Vec<Peer>) -> Link {
    let text = "[node]\nname = entry-1\nzone = zone-a\n[listen]\nhttp = 127.0.0.1:1\ninner = 127.0.0.1:2\n\
                [inner]\nkey = test-inner-key\n[control]\nmembers = a@127.0.0.1:3\n";
    let file = tempfile::NamedTempFile::new().unwrap();
    std::fs::write(file.path(), text).unwrap();
    let mut settings = Settings::open(file.path()).unwrap();
    let inner: SocketAddr = at(host(), 7401);
    settings.node = Node {
        inner,
        controls,
        ..settings.node
    };
    let log = Logger::root(Discard, o!());
    Link::start(
        &settings,
        Seal::new("entry-1", KEY),
        Arc::new(NullSink),
        log,
    )
}

fn begin() -> Request {
    Request::Begin(Call {
        service: "rota".to_owned(),
        key: "key-1".to_owned(),
        digest: vec![1],
        request: "req-1".to_owned(),
    })
}

fn refusal(reply: Reply) -> Fault {
    match reply {
        Reply::Refused(fault) => fault,
        other => panic!("not refused: {other:?}"),
    }
}

#[actix_rt::test]
async fn an_answer_that_was_lost_is_asked_for_again_under_the_same_request() {
    let (peer, fake) = fake("control-1", Behaviour::LosesFirst).await;
    let reply = link(vec![peer]).ask(&begin()).await;
    assert_eq!(reply, Reply::Grant(Grant::Dispatch));
    let received = fake.received.lock().unwrap();
    assert_eq!(*received, [begin(), begin()]);
}

#[actix_rt::test]
async fn a_silent_instance_is_given_up_on_and_may_have_run() {
    let (peer, _) = fake("control-1", Behaviour::Silent).await;
    let fault = refusal(link(vec![peer]).ask(&begin()).await);
    assert_eq!(fault.verdict, Verdict::MayHaveRun);
    assert!(fault.retry_after.is_some());
}

#[actix_rt::test]
async fn nobody_there_means_not_run() {
    let peer = Peer {
        node: "control-1".to_owned(),
        address: at(host(), 7401),
    };
    let fault = refusal(link(vec![peer]).ask(&begin()).await);
    assert_eq!(fault.verdict, Verdict::NotRun);
    assert_eq!(fault.reason, Reason::Leaderless);
}

#[actix_rt::test]
async fn a_silent_instance_does_not_keep_another_from_answering() {
    let (silent, _) = fake("control-1", Behaviour::Silent).await;
    let (other, _) = fake("control-2", Behaviour::Grants).await;
    let reply = link(vec![silent, other]).ask(&begin()).await;
    assert_eq!(reply, Reply::Grant(Grant::Dispatch));
}

#[actix_rt::test]
async fn a_redirect_is_followed() {
    let (first, _) = fake("control-1", Behaviour::Redirects).await;
    let (leader, received) = fake("control-2", Behaviour::Grants).await;
    let reply = link(vec![first, leader]).ask(&begin()).await;
    assert_eq!(reply, Reply::Grant(Grant::Dispatch));
    assert_eq!(received.received.lock().unwrap().len(), 1);
}

#[actix_rt::test]
async fn an_answer_is_recorded_through_any_instance() {
    let (peer, fake) = fake("control-1", Behaviour::Grants).await;
    let answer = Request::Finish(Answer {
        service: "rota".to_owned(),
        key: "key-1".to_owned(),
        request: "req-1".to_owned(),
        verdict: Verdict::Ran,
        status: 200,
        content: "text/plain".to_owned(),
        body: Some(b"done".to_vec()),
    });
    let _ = link(vec![peer]).ask(&answer).await;
    assert_eq!(*fake.received.lock().unwrap(), [answer]);
}
