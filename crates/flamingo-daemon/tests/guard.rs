//! Each kind of route accepts the keys of its own file only.

use actix_web::middleware::from_fn;
use actix_web::web::{self, Data};
use actix_web::{App, HttpResponse, test};
use flamingo_daemon::guard::{self, Guard};
use flamingo_settings::keys::Keys;
use std::time::Instant;

async fn status(path: &str, key: Option<&str>) -> u16 {
    let dir = tempfile::tempdir().unwrap();
    let file = |name: &str| {
        let path = dir.path().join(name);
        std::fs::write(&path, format!("me {name}-key-1\n")).unwrap();
        Some(path)
    };
    let keys = Keys {
        callers: file("caller"),
        operators: file("operator"),
        targets: file("target"),
    };
    let guard = Data::new(Guard::open(&keys, Instant::now()).unwrap());
    let app = App::new()
        .app_data(guard)
        .wrap(from_fn(guard::check))
        .default_service(web::to(HttpResponse::Ok));
    let app = test::init_service(app).await;
    let mut request = test::TestRequest::with_uri(path);
    if let Some(key) = key {
        request = request.insert_header(("authorization", format!("Bearer {key}")));
    }
    test::call_service(&app, request.to_request())
        .await
        .status()
        .as_u16()
}

#[actix_rt::test]
async fn each_kind_of_route_accepts_its_own_keys_only() {
    for (path, accepted) in [
        ("/v1/models", "caller-key-1"),
        ("/services/rota/x", "caller-key-1"),
        ("/admin/config", "operator-key-1"),
        ("/metrics", "operator-key-1"),
        ("/targets/announce", "target-key-1"),
    ] {
        for key in [
            "caller-key-1",
            "operator-key-1",
            "target-key-1",
            "guess-key-1",
            "",
        ] {
            let expected = if key == accepted { 200 } else { 401 };
            assert_eq!(status(path, Some(key)).await, expected, "{path} with {key}");
        }
        assert_eq!(status(path, None).await, 401, "{path} without a key");
    }
}

#[actix_rt::test]
async fn health_is_open() {
    assert_eq!(status("/healthz", None).await, 200);
    assert_eq!(status("/readyz", None).await, 200);
}
