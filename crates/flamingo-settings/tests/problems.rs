//! All problems of a file are reported at once, each with its section, key and allowed values.

use flamingo_settings::{Error, Problem, entry, set};
use flamingo_test_support::{cases, seed};
use flamingo_wire::config::{Adapter, LatePolicy, Model, Placement, Profile, Service, Set};
use flamingo_wire::workspace::{KeyDigest, Quota, Unit, Workspace};
use quickcheck::{Arbitrary, Gen};
use std::path::Path;
use std::time::Duration;

fn problems<T: std::fmt::Debug>(read: Result<T, Error>) -> Vec<Problem> {
    match read.unwrap_err() {
        Error::Problems(list) => list,
        other @ Error::File(..) => panic!("{other}"),
    }
}

fn set_problem(text: &str, section: &str, key: &str) {
    let list = problems(set::parse(Path::new("set.ini"), text));
    let hit = list
        .iter()
        .find(|problem| problem.section == section && problem.key == key);
    let hit = hit.unwrap_or_else(|| panic!("{list:?}"));
    assert!(!hit.seen.is_empty() && !hit.allowed.is_empty());
    assert_eq!(hit.file, Path::new("set.ini"));
}

cases! { set_problem:
    unknown_key("[model a]\nweights = 1\ncache = 1\ncolour = red", "model a", "colour");
    unknown_section("[modle a]\nweights = 1", "modle a", "weights");
    unknown_empty_section("[modle a]\n", "modle a", "");
    missing_key("[model a]\ncache = 1", "model a", "weights");
    not_a_number("[model a]\nweights = big\ncache = 1", "model a", "weights");
    negative("[model a]\nweights = -1\ncache = 1", "model a", "weights");
    no_copies("[model a]\nweights = 1\ncache = 1\ncopies = 0", "model a", "copies");
    key_twice("[model a]\nweights = 1\nweights = 2\ncache = 1", "model a", "weights");
    odd_name("[model a b]\nweights = 1\ncache = 1", "model a b", "");
    twice("[model a]\nweights = 1\ncache = 1\n[model a]\nweights = 2\ncache = 1", "model a", "");
    orphan("[adapter x]\nmodel = a\nmemory = 1", "adapter x", "model");
    adapter_named_as_model(
        "[model a]\nweights = 1\ncache = 1\n[adapter a]\nmodel = a\nmemory = 1", "adapter a", "");
    rank_too_large("[profile p]\nrank = 256\nfirst_token_ms = 1\nbetween_tokens_ms = 1",
        "profile p", "rank");
    zero_objective("[profile p]\nrank = 1\nfirst_token_ms = 0\nbetween_tokens_ms = 1",
        "profile p", "first_token_ms");
    odd_late("[profile p]\nrank = 1\nfirst_token_ms = 1\nbetween_tokens_ms = 1\nlate = maybe",
        "profile p", "late");
    relative_path("[service s]\nidempotent = status", "service s", "idempotent");
    no_concurrency("[service s]\nconcurrency = 0", "service s", "concurrency");
    odd_anonymous("[service s]\nanonymous = maybe", "service s", "anonymous");
    workspace_twice("[workspace a]\nrank = 1\n[workspace a]\nrank = 2", "workspace a", "");
    workspace_without_name("[workspace ]\nrank = 1", "workspace", "rank");
    odd_workspace_name("[workspace a b]\nrank = 1", "workspace a b", "");
    negative_rate("[workspace a]\nrate = -1", "workspace a", "rate");
    infinite_burst("[workspace a]\nrate = 1\nburst = inf", "workspace a", "burst");
    cost_that_is_no_number("[workspace a]\nrate = 1\nplain_cost = NaN", "workspace a", "plain_cost");
    burst_without_rate("[workspace a]\nburst = 1", "workspace a", "rate");
    odd_unit("[workspace a]\nrate = 1\nunit = bytes", "workspace a", "unit");
    odd_workspace_rank("[workspace a]\nrank = 256", "workspace a", "rank");
    key_in_place_of_digest("[workspace a]\nkeys = sk-secret", "workspace a", "keys");
}

/// Guards against an operator's key in a terminal or a log, and against a key of two workspaces, whose
/// requests would count for either.
#[test]
fn problems_of_keys_name_workspaces_and_quote_nothing() {
    let digest = format!("{:x}", KeyDigest::of("sk-shared"));
    let text = format!(
        "[workspace a]\nkeys = {digest}, sk-secret\n[workspace b]\nkeys = {}\n",
        digest.to_uppercase()
    );
    let list = problems(set::parse(Path::new("set.ini"), &text));
    let lines: Vec<_> = list.iter().map(ToString::to_string).collect();
    let lines = lines.join("\n");
    assert!(
        lines.contains("workspaces 'a' and 'b' share a key"),
        "{lines}"
    );
    assert!(lines.contains("number 2: not the 64"), "{lines}");
    assert!(
        !lines.contains("sk-secret") && !lines.contains(&digest),
        "{lines}"
    );
}

#[test]
fn all_problems_of_a_daemon_come_at_once() {
    let dir = tempfile::tempdir().unwrap();
    let path = dir.path().join("entry.ini");
    let text = "[node]\nname = a b\n[listen]\nhttp = localhost:1\ninner = 127.0.0.1:1\n\
                [inner]\nkey = short\n[log]\nlevel = loud\n[tls]\nkey = missing.pem\n\
                [keys]\ncallers = missing.keys\n[stop]\ngrace_ms = -1\n";
    std::fs::write(&path, text).unwrap();
    let list = problems(entry::Settings::open(&path));
    let places: Vec<_> = list
        .iter()
        .map(|p| format!("{}.{}", p.section, p.key))
        .collect();
    let expected = [
        "node.name",
        "node.zone",
        "listen.http",
        "inner.key",
        "log.level",
        "keys.callers",
        "tls.certificate",
        "stop.grace_ms",
    ];
    for place in expected {
        assert!(
            places.iter().any(|seen| seen == place),
            "{place} not in {places:?}"
        );
    }
    let secret = list
        .iter()
        .any(|problem| problem.to_string().contains("'short'"));
    assert!(!secret, "a message contains the inner key");
}

/// An arbitrary configuration that operators may write.
#[derive(Clone, Debug)]
struct AnySet(Set);

fn name(kind: &str, n: usize) -> String {
    format!("{kind}-{n}")
}

impl Arbitrary for AnySet {
    fn arbitrary(g: &mut Gen) -> Self {
        let count = |g: &mut Gen| usize::from(u8::arbitrary(g) % 4);
        let millis = |g: &mut Gen| Duration::from_millis(1 + u64::from(u16::arbitrary(g)));
        let profiles = (0..count(g)).map(|n| Profile {
            name: name("profile", n),
            rank: u8::arbitrary(g),
            first_token: millis(g),
            between_tokens: millis(g),
            max_wait: millis(g),
            late_policy: if bool::arbitrary(g) {
                LatePolicy::Serve
            } else {
                LatePolicy::Refuse
            },
        });
        let profiles = profiles.collect();
        let models = (0..count(g)).map(|n| Model {
            anonymous: bool::arbitrary(g),
            name: name("model", n),
            version: u32::arbitrary(g),
            weights: u64::from(u32::arbitrary(g)),
            cache: u64::from(u32::arbitrary(g)),
            copies: 1 + u32::from(u8::arbitrary(g)),
            importance: u32::arbitrary(g),
            adapters: (0..count(g))
                .map(|a| Adapter {
                    name: name(&name("adapter", n), a),
                    memory: 1,
                })
                .collect(),
        });
        let models = models.collect();
        let services = (0..count(g)).map(|n| Service {
            anonymous: bool::arbitrary(g),
            name: name("service", n),
            idempotent: (0..count(g)).map(|p| format!("/{p}")).collect(),
            concurrency: 1 + u32::from(u8::arbitrary(g)),
            max_wait: millis(g),
        });
        let services = services.collect();
        let workspaces = (0..count(g)).map(|n| Workspace {
            name: name("workspace", n),
            keys: (0..count(g))
                .map(|key| KeyDigest::of(&name(&name("key", n), key)))
                .collect(),
            rank: Option::arbitrary(g),
            quota: bool::arbitrary(g).then(|| Quota {
                unit: if bool::arbitrary(g) {
                    Unit::Tokens
                } else {
                    Unit::Requests
                },
                per_s: f64::from(u32::arbitrary(g)) / 7.0,
                burst: f64::from(u32::arbitrary(g)),
                plain_units: f64::from(u16::arbitrary(g)) / 3.0,
            }),
        });
        let workspaces = workspaces.collect();
        let placement = Placement {
            attainment_weight: u32::from(u16::arbitrary(g)),
            moves_weight: u32::from(u16::arbitrary(g)),
            moves_per_hour: u32::from(u16::arbitrary(g)),
            loads_per_second: 1 + u32::from(u8::arbitrary(g)),
            loads_at_once: 1 + u32::from(u8::arbitrary(g)),
            tokens_per_copy: 1 + u32::from(u16::arbitrary(g)),
        };
        Self(Set {
            workspaces,
            profiles,
            models,
            services,
            placement,
        })
    }
}

#[test]
fn a_written_set_reads_back_the_same() {
    #[allow(clippy::needless_pass_by_value)] // quickcheck passes values
    fn same(any: AnySet) -> bool {
        let text = set::format(&any.0);
        set::parse(Path::new("set.ini"), &text).unwrap() == any.0
    }
    seed::check(200, 20, same as fn(AnySet) -> bool);
}

#[test]
fn any_text_gives_a_set_or_an_error() {
    #[allow(clippy::needless_pass_by_value)] // quickcheck passes values
    fn survives(text: String) -> bool {
        let read = set::parse(Path::new("set.ini"), &text);
        read.map_or_else(|error| !error.to_string().is_empty(), |_| true)
    }
    seed::check(500, 200, survives as fn(String) -> bool);
}
