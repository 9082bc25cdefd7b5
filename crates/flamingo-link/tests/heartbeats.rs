//! What an entry says of itself to the control instances that it follows.

use flamingo_link::subscription::{Identity, PushHandler, Subscriber};
use flamingo_wire::Frame;
use flamingo_wire::control::{Heartbeat, Push};
use flamingo_wire::frame::Seal;
use flamingo_wire::id;
use flamingo_wire::inner::control_server::{Control, ControlServer};
use serde::Serialize;
use slog::{Discard, Logger, o};
use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, SystemTime};
use tokio::net::TcpListener;
use tokio::sync::mpsc::{self, Receiver, Sender};
use tokio::task::LocalSet;
use tokio::time::timeout;
use tokio_stream::wrappers::{ReceiverStream, TcpListenerStream};
use tonic::transport::Server;
use tonic::{Response, Status, Streaming};

const KEY: &[u8] = b"a key of the tests";
/// Time after which a test fails; far above what it needs.
const TIMEOUT: Duration = Duration::from_mins(1);
/// Time between two pushes of the instance.
const PUSH_INTERVAL: Duration = Duration::from_millis(200);

/// A control instance that keeps its streams alive and hands over the heartbeats that it gets.
struct Listening {
    seal: Seal,
    heartbeats: Sender<Heartbeat>,
}

#[tonic::async_trait]
impl Control for Listening {
    type WatchStream = ReceiverStream<Result<Frame, Status>>;

    async fn watch(
        &self,
        request: tonic::Request<Streaming<Frame>>,
    ) -> Result<Response<Self::WatchStream>, Status> {
        let mut frames = request.into_inner();
        let (seal, heartbeats) = (self.seal.clone(), self.heartbeats.clone());
        let (pushes, stream) = mpsc::channel(1);
        tokio::spawn(push(self.seal.clone(), pushes));
        tokio::spawn(async move {
            while let Ok(Some(frame)) = frames.message().await {
                let heartbeat = seal.open(&frame, SystemTime::now());
                if heartbeats
                    .send(heartbeat.expect("a heartbeat"))
                    .await
                    .is_err()
                {
                    return;
                }
            }
        });
        Ok(Response::new(ReceiverStream::new(stream)))
    }

    async fn ask(&self, _: tonic::Request<Frame>) -> Result<Response<Frame>, Status> {
        Err(Status::unimplemented("not scripted"))
    }
}

/// A push that only later builds know.
#[derive(Serialize)]
enum LaterPush {
    Unheard(u32),
}

/// Pushes until the stream ends; every second push is one of a later build.
async fn push(seal: Seal, pushes: Sender<Result<Frame, Status>>) {
    for number in 0.. {
        let frame = if number % 2 == 0 {
            seal.seal("", &LaterPush::Unheard(number), SystemTime::now())
        } else {
            seal.seal("", &Push::Heartbeat(0), SystemTime::now())
        };
        if pushes.send(Ok(frame.expect("a frame"))).await.is_err() {
            return;
        }
        tokio::time::sleep(PUSH_INTERVAL).await;
    }
}

/// Starts an instance; returns its address and the heartbeats that it gets.
async fn listen() -> (SocketAddr, Receiver<Heartbeat>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("bound");
    let address = listener.local_addr().expect("bound");
    let (sender, heartbeats) = mpsc::channel(16);
    let listening = Listening {
        seal: Seal::new(&address.to_string(), KEY),
        heartbeats: sender,
    };
    let server = Server::builder().add_service(ControlServer::new(listening));
    tokio::spawn(server.serve_with_incoming(TcpListenerStream::new(listener)));
    (address, heartbeats)
}

/// An entry that may take requests of others.
#[derive(Default)]
struct Entry {
    neighbour: Cell<Option<SocketAddr>>,
    pushes: Cell<u32>,
    disconnects: Cell<u32>,
}

impl PushHandler for Entry {
    fn routes_version(&self) -> id::Version {
        0
    }

    fn neighbour(&self) -> Option<SocketAddr> {
        self.neighbour.get()
    }

    fn on_push(&self, _: SocketAddr, _: Push) {
        self.pushes.set(self.pushes.get() + 1);
    }

    fn on_disconnect(&self, _: SocketAddr) {
        self.disconnects.set(self.disconnects.get() + 1);
    }
}

/// Waits for a heartbeat that names this address.
async fn hear(heartbeats: &mut Receiver<Heartbeat>, expected: Option<SocketAddr>) {
    loop {
        let heartbeat = timeout(TIMEOUT, heartbeats.recv()).await;
        let heartbeat = heartbeat.expect("in time").expect("a heartbeat");
        if heartbeat.neighbour == expected {
            return;
        }
    }
}

/// Starts an entry that follows `control`.
fn follow(control: SocketAddr) -> Rc<Entry> {
    let entry = Rc::new(Entry::default());
    let identity = Identity {
        node: "entry".into(),
        zone: "a".into(),
        seal: Seal::new("entry", KEY),
    };
    let handler = Rc::<Entry>::clone(&entry);
    let log = Logger::root(Discard, o!());
    let subscriber = Subscriber::relayed(identity, handler, log);
    subscriber.follow(&[control]);
    entry
}

/// Guards against streams that end again and again beside a control instance of a later build.
#[tokio::test]
async fn a_push_of_a_later_build_does_not_end_the_stream() {
    let scenario = async {
        let (control, _heartbeats) = listen().await;
        let entry = follow(control);
        let pushes = async {
            while entry.pushes.get() < 3 && entry.disconnects.get() == 0 {
                tokio::time::sleep(PUSH_INTERVAL).await;
            }
        };
        timeout(TIMEOUT, pushes).await.expect("in time");
        assert_eq!(entry.disconnects.get(), 0);
    };
    LocalSet::new().run_until(scenario).await;
}

/// Guards against entries to which others pass requests although they reach no target.
#[tokio::test]
async fn heartbeats_say_whether_an_entry_takes_requests() {
    let scenario = async {
        let (control, mut heartbeats) = listen().await;
        let entry = follow(control);
        hear(&mut heartbeats, None).await;
        for neighbour in ["10.0.0.1:4000", "10.0.0.2:4000"] {
            let address = neighbour.parse().ok();
            entry.neighbour.set(address);
            hear(&mut heartbeats, address).await;
        }
        entry.neighbour.set(None);
        hear(&mut heartbeats, None).await;
    };
    LocalSet::new().run_until(scenario).await;
}
