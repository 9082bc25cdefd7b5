//! Invalid input of callers: the entry responds with a JSON error and stays in service.

use crate::harness::{FakeTarget, Harness, LIMIT, answer};

fn refused(path: &str, body: Vec<u8>, part: &str) {
    actix_rt::System::new().block_on(async {
        let harness = Harness::start().await;
        let fake = FakeTarget::start(|_, _, stream| answer(stream, "200 OK", "", "{}"));
        harness.engine("engine-1", fake.address).await;
        harness.service("rota-1", fake.address).await;
        let reply = harness.post(path, body).await;
        assert_eq!(reply.status, 400, "{reply:?}");
        assert_eq!(reply.verdict(), "not-run");
        assert!(reply.text.contains(part), "{reply:?}");
        assert_eq!(
            harness.complete("x").await.status,
            200,
            "the entry stays in service"
        );
        assert_eq!(fake.requests().len(), 1, "only the good request was sent");
    });
}

const COMPLETIONS: &str = "/v1/completions";

fn nested(depth: usize) -> Vec<u8> {
    let open = "[".repeat(depth);
    let shut = "]".repeat(depth);
    format!("{{\"model\": \"notes\", \"prompt\": {open}{shut}}}").into_bytes()
}

flamingo_test_support::cases! { refused:
    not_json(COMPLETIONS, b"hello".to_vec(), "can't be read");
    empty(COMPLETIONS, Vec::new(), "can't be read");
    no_model(COMPLETIONS, b"{\"prompt\": \"x\"}".to_vec(), "model");
    two_models(COMPLETIONS, b"{\"model\": \"a\", \"model\": \"b\"}".to_vec(), "duplicate");
    invalid_utf8(COMPLETIONS, b"{\"model\": \"notes\", \"x\": \"\xff\"}".to_vec(), "UTF-8");
    deep_json(COMPLETIONS, nested(10_000), "recursion");
    large_body(COMPLETIONS, vec![b' '; LIMIT + 1], "larger than");
    large_call("/services/rota/confirm", vec![b' '; LIMIT + 1], "larger than");
    dots("/services/rota/availability/%2e%2e/confirm", Vec::new(), "two ways");
    slash("/services/rota/availability/..%2fconfirm", Vec::new(), "two ways");
    empty_part("/services/rota//confirm", Vec::new(), "two ways");
    invalid_announcement("/targets/announce", b"{\"target\": 1e999}".to_vec(), "can't be read");
}

#[test]
fn an_unknown_route_profile_or_model_is_named() {
    actix_rt::System::new().block_on(async {
        let harness = Harness::start().await;
        let reply = harness.post("/v2/nothing", "").await;
        assert_eq!((reply.status, reply.verdict().as_str()), (404, "not-run"));
        let reply = harness.complete("x").await;
        assert_eq!((reply.status, reply.verdict().as_str()), (429, "not-run"));
    });
}
