//! Changes of leader, lost members and repaired members, with three control instances as processes.

use flamingo_test_support::cluster::Cluster;
use flamingo_test_support::operator::{Applied, Operator, change};
use flamingo_test_support::wait;
use flamingo_wire::admin::Status;
use flamingo_wire::id;
use flamingo_wire::workspace::{KeyDigest, Workspace};

fn operators(cluster: &Cluster) -> Vec<Operator> {
    cluster.controls.iter().map(Operator::new).collect()
}

async fn accepted(operator: &Operator, id: &str, base: id::Version) -> id::Version {
    wait::until("a change to be accepted", || async {
        match operator.apply(&change(id, base)).await {
            Applied::Accepted(version) => Some(version),
            _ => None,
        }
    })
    .await
}

async fn status_with(operator: &Operator, what: &str, matches: impl Fn(&Status) -> bool) -> Status {
    wait::until(what, || async { operator.status().await.filter(&matches) }).await
}

fn voters(status: &Status) -> usize {
    status.members.iter().filter(|member| member.votes).count()
}

fn index_of(cluster: &Cluster, node: &str) -> usize {
    let mut indices = 0..cluster.controls.len();
    indices.find(|n| cluster.controls[*n].name == node).unwrap()
}

#[actix_rt::test]
async fn a_change_outlives_its_leader() {
    let mut cluster = Cluster::start(3, 0);
    let operators = operators(&cluster);
    assert_eq!(accepted(&operators[0], "first", 0).await, 1);
    let status = status_with(&operators[0], "a leader", |status| status.leader.is_some()).await;
    let leader = index_of(&cluster, &status.leader.unwrap());
    cluster.controls[leader].process.kill();
    let other = &operators[(leader + 1) % 3];
    assert_eq!(accepted(other, "second", 1).await, 2);
    // A resend of the first change gets the recorded answer.
    assert_eq!(other.apply(&change("first", 0)).await, Applied::Accepted(1));
    let name = cluster.controls[leader].name.clone();
    cluster.controls[leader].process = cluster.restart("flamingo-control", &name);
    status_with(
        &operators[leader],
        "the restarted member to catch up",
        |status| status.version == 2,
    )
    .await;
}

#[actix_rt::test]
async fn a_wiped_member_returns_and_a_second_loss_does_no_harm() {
    let mut cluster = Cluster::start(3, 0);
    let operators = operators(&cluster);
    accepted(&operators[0], "first", 0).await;
    let status = status_with(&operators[0], "a leader", |status| status.leader.is_some()).await;
    let leader = index_of(&cluster, &status.leader.unwrap());
    let wiped = (leader + 1) % 3;
    let name = cluster.controls[wiped].name.clone();
    cluster.controls[wiped].process.kill();
    std::fs::remove_dir_all(cluster.dir.path().join(&name)).unwrap();
    accepted(&operators[leader], "second", 1).await;
    cluster.controls[wiped].process = cluster.restart("flamingo-control", &name);
    status_with(
        &operators[leader],
        "the wiped member to vote again",
        |status| {
            let member = status.members.iter().find(|member| member.node == name);
            member.is_some_and(|member| member.votes && member.matched == status.committed)
                && voters(status) == 3
        },
    )
    .await;
    // The leader is lost right after the wiped member was repaired.
    cluster.controls[leader].process.kill();
    assert_eq!(accepted(&operators[wiped], "third", 2).await, 3);
    let snapshot = wait::until("a read", || operators[wiped].config()).await;
    assert_eq!(snapshot.version, 3);
}

#[actix_rt::test]
async fn a_leader_without_a_majority_answers_no_reads() {
    let mut cluster = Cluster::start(3, 0);
    let operators = operators(&cluster);
    accepted(&operators[0], "first", 0).await;
    let status = status_with(&operators[0], "a leader", |status| status.leader.is_some()).await;
    let leader = index_of(&cluster, &status.leader.unwrap());
    wait::until("a read", || operators[leader].config()).await;
    for other in [1, 2] {
        cluster.controls[(leader + other) % 3].process.kill();
    }
    wait::until("reads to be refused", || async {
        operators[leader].config().await.is_none().then_some(())
    })
    .await;
    // The instance still shows the committed version, and refuses changes.
    let stepped_down = |status: &Status| status.leader.is_none();
    let status = status_with(&operators[leader], "the leader to step down", stepped_down).await;
    assert_eq!(status.version, 1);
    let refused = operators[leader].apply(&change("second", 1)).await;
    assert!(matches!(refused, Applied::Refused(_)), "{refused:?}");
}

#[actix_rt::test]
async fn a_corrupt_folder_is_set_aside_and_its_member_joins_again() {
    let mut cluster = Cluster::start(3, 0);
    let operators = operators(&cluster);
    for version in 0..4 {
        accepted(&operators[0], &format!("change-{version}"), version).await;
    }
    let status = status_with(&operators[0], "a leader", |status| status.leader.is_some()).await;
    let leader = index_of(&cluster, &status.leader.unwrap());
    let corrupted = (leader + 1) % 3;
    let name = cluster.controls[corrupted].name.clone();
    cluster.controls[corrupted].process.kill();
    let file = cluster.dir.path().join(&name).join("log");
    let mut bytes = std::fs::read(&file).unwrap();
    bytes[20] ^= 1;
    std::fs::write(&file, bytes).unwrap();
    cluster.controls[corrupted].process = cluster.restart("flamingo-control", &name);
    status_with(
        &operators[corrupted],
        "the corrupted member to catch up",
        |status| status.version == 4 && voters(status) == 3,
    )
    .await;
    assert!(file.with_file_name("log.corrupt").exists());
}

/// Guards against sets of other clients than `flamingoctl`, which checks the file itself.
#[actix_rt::test]
async fn a_set_with_invalid_workspaces_is_refused_whole() {
    let cluster = Cluster::start(1, 0);
    let operator = Operator::new(&cluster.controls[0]);
    let mut shared = change("shared", 0);
    for name in ["acme", "a b"] {
        shared.set.workspaces.push(Workspace {
            name: name.into(),
            keys: vec![KeyDigest::of("sk-shared")],
            ..Workspace::default()
        });
    }
    let refusal = wait::until("a leader", || async {
        match operator.apply(&shared).await {
            Applied::Refused(text) if text.contains("invalid") => Some(text),
            _ => None,
        }
    })
    .await;
    for part in [
        "workspaces 'acme' and 'a b' share a key",
        "workspace 'a b': expected",
    ] {
        assert!(refusal.contains(part), "{refusal}");
    }
    assert_eq!(accepted(&operator, "sound", 0).await, 1);
}
