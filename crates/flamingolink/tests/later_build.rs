//! A control instance beside processes of a later build: what it can't read does no harm.

use flamingo_test_support::cluster::{Cluster, KEY};
use flamingo_wire::control::Reply;
use flamingo_wire::frame::Seal;
use flamingo_wire::inner::control_client::ControlClient;
use flamingo_wire::inner::log_client::LogClient;
use flamingo_wire::{Verdict, id};
use serde::Serialize;
use std::net::SocketAddr;
use std::time::{Duration, SystemTime};
use tonic::Code;

/// Time for one answer; far above what it needs.
const TIMEOUT: Duration = Duration::from_secs(20);

/// What only later builds know.
#[derive(Serialize)]
enum Later {
    Unheard(u32),
}

/// Returns the address and the name of the control instance.
fn control(cluster: &Cluster) -> (SocketAddr, id::Node) {
    let instance = &cluster.controls[0];
    (instance.inner(), instance.name.clone())
}

fn seal() -> Seal {
    Seal::new("later", KEY.as_bytes())
}

/// Guards against connections that are dropped for a request that an older build doesn't know.
#[actix_rt::test]
async fn a_request_of_a_later_build_is_refused_as_not_run() {
    let cluster = Cluster::start(1, 0);
    let (address, node) = control(&cluster);
    let answer = flamingo_test_support::wait::until("the instance to listen", || async {
        let client = ControlClient::connect(format!("http://{address}")).await;
        let frame = seal().seal(&node, &Later::Unheard(1), SystemTime::now());
        match client.ok()?.ask(frame.ok()?).await {
            Err(status) if status.code() == Code::Unavailable => None,
            answer => Some(answer),
        }
    })
    .await;
    let answer = answer.expect("an answer").into_inner();
    let reply = seal().open(&answer, SystemTime::now()).expect("a reply");
    let Reply::Refused(fault) = reply else {
        panic!("{reply:?}");
    };
    assert_eq!(fault.verdict, Verdict::NotRun);
}

/// Guards against members of the log that lose each other at each message that an older build doesn't know.
#[actix_rt::test]
async fn a_log_message_of_a_later_build_does_not_end_the_stream() {
    let cluster = Cluster::start(1, 0);
    let (address, node) = control(&cluster);
    let mut stream = flamingo_test_support::wait::until("the instance to listen", || async {
        let mut client = LogClient::connect(format!("http://{address}")).await.ok()?;
        let frame = seal().seal(&node, &Later::Unheard(1), SystemTime::now());
        let frames = futures_util::stream::iter([frame.ok()?]);
        // The sender says no more, but its stream stays open.
        let frames = futures_util::StreamExt::chain(frames, futures_util::stream::pending());
        Some(client.send(frames).await.ok()?.into_inner())
    })
    .await;
    let next = tokio::time::timeout(TIMEOUT, stream.message()).await;
    let heartbeat = next.expect("in time").expect("no error");
    assert!(heartbeat.is_some());
}
