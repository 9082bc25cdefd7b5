//! TLS on the outer listener, and rotation of its certificate.

use actix_web::{App, HttpResponse, HttpServer, web};
use awc::{Client, Connector};
use flamingo_daemon::tls;
use flamingo_settings::tls::Tls;
use flamingo_test_support::wait;
use rustls::{ClientConfig, RootCertStore};
use rustls_pki_types::CertificateDer;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;
use std::time::{Duration, SystemTime};

/// Writes a new certificate and key to `dir` and returns the certificate.
fn issue(dir: &Path) -> CertificateDer<'static> {
    let pair = rcgen::generate_simple_self_signed(vec!["127.0.0.1".to_owned()]).unwrap();
    std::fs::write(dir.join("cert.pem"), pair.cert.pem()).unwrap();
    std::fs::write(dir.join("key.pem"), pair.signing_key.serialize_pem()).unwrap();
    pair.cert.der().clone()
}

/// Sends a request that trusts `trusted` only; returns `None` where it fails.
async fn reached(address: SocketAddr, trusted: &CertificateDer<'static>) -> Option<()> {
    let mut roots = RootCertStore::empty();
    roots.add(trusted.clone()).unwrap();
    let provider = Arc::new(rustls::crypto::ring::default_provider());
    let config = ClientConfig::builder_with_provider(provider)
        .with_safe_default_protocol_versions()
        .unwrap()
        .with_root_certificates(roots)
        .with_no_client_auth();
    let connector = Connector::new().rustls_0_23(Arc::new(config));
    let client = Client::builder().connector(connector).finish();
    let answer = client
        .get(format!("https://{address}/"))
        .send()
        .await
        .ok()?;
    answer.status().is_success().then_some(())
}

#[actix_rt::test]
async fn a_rotated_certificate_is_taken_without_a_restart() {
    let dir = tempfile::tempdir().unwrap();
    let first = issue(dir.path());
    let settings = Tls {
        certificate: dir.path().join("cert.pem"),
        key: dir.path().join("key.pem"),
    };
    let config = tls::config(&settings).unwrap();
    let server = HttpServer::new(|| App::new().default_service(web::to(HttpResponse::Ok)))
        .workers(1)
        .disable_signals()
        .bind_rustls_0_23("127.0.0.1:0", config)
        .unwrap();
    let address = server.addrs()[0];
    actix_rt::spawn(server.run());
    assert!(reached(address, &first).await.is_some());

    let second = issue(dir.path());
    let file = std::fs::File::options()
        .append(true)
        .open(&settings.certificate)
        .unwrap();
    file.set_modified(SystemTime::now() + Duration::from_secs(5))
        .unwrap();
    wait::until("the new certificate", || reached(address, &second)).await;
    assert!(reached(address, &first).await.is_none());
}

#[test]
fn a_bad_file_is_named() {
    let dir = tempfile::tempdir().unwrap();
    issue(dir.path());
    let settings = Tls {
        certificate: dir.path().join("none.pem"),
        key: dir.path().join("key.pem"),
    };
    let error = tls::config(&settings).unwrap_err().to_string();
    assert!(error.contains("none.pem"), "{error}");
}
