//! Quarantines of prompts that the leader decides by the reports of entries.

use flamingo_test_support::cluster::{Cluster, KEY};
use flamingo_test_support::wait;
use flamingo_wire::control::{Reply, Report, Request};
use flamingo_wire::frame::Seal;
use flamingo_wire::inner::control_client::ControlClient;
use flamingo_wire::prompt::{Crash, Evidence, Exposure, Quarantine};
use std::time::SystemTime;

/// A prefix that crashes targets.
const DEADLY: u64 = 7;
/// Crashes, each seen by another entry.
const CRASHES: u64 = 4;

/// Sends what an entry has seen to an instance, until the leader has received it, and returns the
/// quarantines in the reply.
async fn report(cluster: &Cluster, entry: &str, evidence: Evidence) -> Vec<Quarantine> {
    let control = &cluster.controls[0];
    let seal = Seal::new(entry, KEY.as_bytes());
    let address = format!("http://{}", control.inner());
    let request = Request::Report(Report {
        node: entry.into(),
        evidence,
        ..Report::default()
    });
    let ask = || async {
        let mut client = ControlClient::connect(address.clone()).await.ok()?;
        let frame = seal.seal(&control.name, &request, SystemTime::now());
        let response = client.ask(frame.unwrap()).await.ok()?;
        match seal.open(response.get_ref(), SystemTime::now()).unwrap() {
            Reply::Acknowledged => Some(Vec::new()),
            Reply::Quarantines(quarantines) => Some(quarantines),
            _ => None,
        }
    };
    wait::until("the leader", ask).await
}

fn crash(number: u64) -> Evidence {
    let exposure = Exposure {
        parts: [DEADLY, 100 + number].into_iter().collect(),
        answered: false,
        waited_ms: 40,
        ..Exposure::default()
    };
    let crash = Crash {
        service: "notes".into(),
        target: format!("engine-{number}"),
        incarnation: 1,
        age_ms: 10_000 - 1_000 * number,
        exposures: vec![exposure],
    };
    Evidence {
        crashes: vec![crash],
        ..Evidence::default()
    }
}

#[actix_rt::test]
async fn a_prompt_that_each_entry_saw_crash_one_target_is_quarantined() {
    let cluster = Cluster::start(1, 0);
    for number in 0..CRASHES {
        let entry = format!("entry-{number}");
        let quarantines = report(&cluster, &entry, crash(number)).await;
        assert_eq!(!quarantines.is_empty(), number + 1 == CRASHES);
    }
    let quarantines = report(&cluster, "entry-9", Evidence::default()).await;
    assert_eq!(quarantines.len(), 1);
    assert_eq!(quarantines[0].part, DEADLY);
}

#[actix_rt::test]
async fn a_leader_that_knows_nothing_learns_the_quarantines_from_entries() {
    let cluster = Cluster::start(1, 0);
    let known = Evidence {
        quarantines: vec![Quarantine {
            service: "notes".into(),
            part: DEADLY,
            remaining_ms: 60_000,
        }],
        ..Evidence::default()
    };
    report(&cluster, "entry-1", known).await;
    let quarantines = report(&cluster, "entry-2", Evidence::default()).await;
    assert_eq!(quarantines[0].part, DEADLY);
    assert!(quarantines[0].remaining_ms <= 60_000);
}
