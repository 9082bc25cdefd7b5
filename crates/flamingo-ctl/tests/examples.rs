//! Runs the printed examples of every command against a simulated instance.

use actix_web::web::{Json, Path};
use actix_web::{App, HttpResponse, HttpServer, web};
use flamingo_ctl::{cli, command};
use flamingo_wire::admin::{
    Accepted, Answer, Candidate, Copy, Explanation, Follower, Member, Move, Query, Status, Target,
    Workspace, Workspaces,
};
use flamingo_wire::announce::{Availability, Resident};
use flamingo_wire::config::{Change, Set, Snapshot};
use flamingo_wire::control::Reply;
use flamingo_wire::gossip::Liveness;
use flamingo_wire::place::{Action, Order, Outcome};
use flamingo_wire::workspace::Unit;
use std::ffi::OsString;
use std::net::SocketAddr;
use std::time::{Duration, UNIX_EPOCH};

fn set() -> Set {
    let path = std::path::Path::new("set.ini");
    let text = "[model care-notes]\nweights = 1\ncache = 1\n[service rota]\n\
                [profile urgent]\nrank = 0\nfirst_token_ms = 1\nbetween_tokens_ms = 1\n";
    flamingo_settings::set::parse(path, text).unwrap()
}

fn copy() -> Copy {
    Copy {
        model: "care-notes".into(),
        version: 1,
        target: "engine-7".into(),
        zone: "seq-a".into(),
        state: "resident".into(),
    }
}

fn resident() -> Resident {
    Resident {
        model: "care-notes".into(),
        version: 1,
        adapters: Vec::new(),
    }
}

fn moves() -> Vec<Move> {
    let order = Order {
        id: 5,
        fence: 2,
        target: "engine-7".into(),
        incarnation: 1,
        action: Action::Load(resident()),
        memory: 2,
        reason: "first copy".into(),
    };
    vec![Move {
        order,
        outcome: Some(Outcome::Done),
        at: UNIX_EPOCH,
    }]
}

fn status() -> Status {
    let member = Member {
        node: "control-1".into(),
        votes: true,
        matched: 9,
    };
    let follower = Follower {
        node: "entry-1".into(),
        zone: "seq-a".into(),
        version: 3,
        liveness: Liveness::Alive,
    };
    Status {
        node: "control-1".into(),
        leader: Some("control-1".into()),
        term: 2,
        committed: 9,
        version: 3,
        members: vec![member],
        followers: vec![follower],
    }
}

fn workspaces() -> Workspaces {
    let limited = Workspace {
        workspace: "shop".into(),
        rank: Some(2),
        unit: Unit::Tokens,
        per_s: Some(4_200.0),
        burst: 8_000.0,
        used: 33_264.0,
        fraction: 0.99,
        over: true,
    };
    let unlimited = Workspace {
        workspace: "lab".into(),
        ..Workspace::default()
    };
    Workspaces {
        version: 7,
        window_ms: 8_000,
        workspaces: vec![limited, unlimited],
    }
}

fn answer(query: Query) -> Answer {
    match query {
        Query::Status => Answer::Status(status()),
        Query::History => Answer::History(vec![Accepted {
            version: 3,
            change: "c".into(),
            author: "me".into(),
            at: UNIX_EPOCH + Duration::from_secs(7),
            summary: "1 model".into(),
        }]),
        Query::Version(version) => {
            let snapshot = Snapshot {
                version,
                set: set(),
                drained: Vec::new(),
            };
            Answer::Version(Box::new(snapshot))
        }
        Query::Targets => Answer::Targets(vec![Target {
            target: "engine-7".into(),
            zone: "seq-a".into(),
            kind: "engine".into(),
            availability: Availability::Serving,
            drained: false,
            memory: 80,
            committed: 2,
            resident: vec![resident()],
        }]),
        Query::Placement => Answer::Placement(vec![copy()]),
        Query::Explain(model) => Answer::Explain(Explanation {
            model,
            wanted: 1,
            reason: "configured copies".into(),
            copies: vec![copy()],
            candidates: vec![Candidate {
                target: "engine-8".into(),
                free: 40,
                reason: "fits".into(),
            }],
        }),
        Query::Moves | Query::DryRun(_) => Answer::Moves(moves()),
        Query::Drain(request) => Answer::Drained(if request.on { 4 } else { 5 }),
        Query::Snapshot => Answer::Snapshot(9),
        Query::Workspaces => Answer::Workspaces(workspaces()),
    }
}

/// Starts a server that answers like an instance, and returns its address.
fn instance() -> SocketAddr {
    let server = HttpServer::new(|| {
        App::new()
            .route(
                "/admin/config",
                web::get().to(|| async {
                    let snapshot = Snapshot {
                        version: 3,
                        set: set(),
                        drained: Vec::new(),
                    };
                    HttpResponse::Ok().json(Reply::Config(snapshot))
                }),
            )
            .route(
                "/admin/config",
                web::post().to(|change: Json<Change>| async move {
                    HttpResponse::Ok().json(Reply::Accepted(change.base + 1))
                }),
            )
            .route(
                "/admin/query",
                web::post().to(|query: Json<Query>| async move {
                    HttpResponse::Ok().json(answer(query.into_inner()))
                }),
            )
            .route(
                "/{any}",
                web::get().to(|_: Path<String>| HttpResponse::Ok()),
            )
    })
    .workers(1)
    .disable_signals()
    .bind("127.0.0.1:0")
    .unwrap();
    let address = server.addrs()[0];
    actix_rt::spawn(server.run());
    address
}

/// Runs an example line with extra flags, and returns the printed text. Paths under `samples/`
/// are resolved against the workspace's root.
async fn run(line: &str, extra_flags: &[&str]) -> String {
    let at = instance().to_string();
    let root = concat!(env!("CARGO_MANIFEST_DIR"), "/../../");
    let words = line
        .split(' ')
        .map(|word| match word.strip_prefix("samples/") {
            Some(_) => OsString::from(format!("{root}{word}")),
            None => OsString::from(word),
        });
    let flags = ["--at", &at]
        .into_iter()
        .chain(extra_flags.iter().copied())
        .map(OsString::from);
    cli::run(words.chain(flags).collect())
        .await
        .unwrap_or_else(|error| panic!("{line}: {error}"))
}

#[actix_rt::test]
async fn examples_run_as_written() {
    for command in command::all() {
        assert!(
            !command.examples().is_empty(),
            "{} has no example",
            command.name()
        );
        for example in command.examples() {
            let text = run(example.line, &[]).await;
            assert!(!text.is_empty(), "{}", example.line);
            let text = run(example.line, &["--json"]).await;
            serde_json::from_str::<serde_json::Value>(&text).expect(example.line);
        }
    }
}

#[actix_rt::test]
async fn tables_show_what_was_answered() {
    for (line, expected) in [
        ("status", "leader control-1, term 2, committed 9, version 3"),
        ("model", "care-notes  1        2    1"),
        ("target", "engine-7  seq-a  engine  serving  2"),
        (
            "moves",
            "5      engine-7  load    care-notes v1  2    done     first copy",
        ),
        ("workspaces", "version 7, use over the last 8.0 s"),
        (
            "workspaces",
            "shop       2      tokens  4200     8000   33264  99%       over",
        ),
        ("workspaces", "lab        route  -"),
        ("drain engine-7", "accepted as version 4"),
        ("config history", "3        7          me"),
        (
            "config apply samples/local-set.ini",
            "accepted as version 4",
        ),
        ("config diff samples/local-set.ini", "+ model tablet-steps"),
        (
            "placement explain care-notes",
            "1 copies wanted, configured copies",
        ),
    ] {
        let text = run(line, &[]).await;
        assert!(text.contains(expected), "{line}: {text}");
    }
}

#[actix_rt::test]
async fn the_next_instance_is_asked_when_one_is_gone() {
    let at = instance().to_string();
    let words = ["status", "--at", "127.0.0.1:1", "--at", &at].map(OsString::from);
    let text = cli::run(words.to_vec()).await.unwrap();
    assert!(text.contains("leader control-1"), "{text}");
}

/// Guards against digests of keys in a terminal, and against a rotated key that a diff leaves out.
#[test]
fn a_diff_counts_keys_and_shows_none() {
    use flamingo_wire::workspace::KeyDigest;
    let digest = |key| format!("{:x}", KeyDigest::of(key));
    let parse = |text: String| {
        flamingo_settings::set::parse(std::path::Path::new("set.ini"), &text).unwrap()
    };
    let old = parse(format!("[workspace a]\nkeys = {}\nrate = 1", digest("old")));
    let new = parse(format!(
        "[workspace a]\nkeys = {}\nrate = 2\n[workspace b]",
        digest("new")
    ));
    let lines = flamingo_ctl::diff::lines(&old, &new);
    assert_eq!(lines.len(), 3, "{lines:?}");
    assert!(lines[0].starts_with("~ workspace a: quota"), "{lines:?}");
    assert_eq!(lines[1], "+ workspace b");
    assert_eq!(lines[2], "~ workspace a: keys 1 added, 1 removed");
    assert!(!lines.join("").contains(&digest("new")), "{lines:?}");
}
