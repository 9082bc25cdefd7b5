//! The README's one command: what it prints works as pasted.

use awc::Client;
use awc::http::StatusCode;
use flamingo_ctl::cli;
use flamingo_test_support::address::host;
use flamingo_test_support::process::program;
use flamingo_test_support::wait;
use std::ffi::OsString;
use std::io::{BufRead, BufReader};
use std::process::{Child, Command, Stdio};

struct Local(Child);

impl Drop for Local {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

/// Starts the command and returns what it printed up to its last line.
fn start(data: &std::path::Path) -> (Local, Vec<String>) {
    let mut child = Command::new(program("flamingolink"))
        .args(["--host", &host().to_string(), "--data"])
        .arg(data)
        .stdout(Stdio::piped())
        .stderr(Stdio::null())
        .spawn()
        .unwrap();
    let lines = BufReader::new(child.stdout.take().unwrap()).lines();
    let mut seen = Vec::new();
    for line in lines.map_while(Result::ok) {
        let last = line.contains("flamingoctl");
        seen.push(line);
        if last {
            break;
        }
    }
    (Local(child), seen)
}

/// Does what the printed `curl` line does.
async fn curl(line: &str) -> Option<String> {
    let url = line
        .split_whitespace()
        .find(|word| word.starts_with("http://"))?;
    let body = line.split("-d '").nth(1)?.strip_suffix('\'')?;
    let request = Client::default().post(url).content_type("application/json");
    let mut answer = request.send_body(body.to_owned()).await.ok()?;
    let body = answer.body().await.ok()?;
    (answer.status() == StatusCode::OK).then(|| String::from_utf8_lossy(&body).into_owned())
}

#[actix_rt::test]
async fn what_it_prints_works_as_pasted() {
    let dir = tempfile::tempdir().unwrap();
    let (_local, lines) = start(&dir.path().join("data"));
    let line = lines
        .iter()
        .find(|line| line.trim().starts_with("curl"))
        .expect("a curl line");
    // The engines start empty: the models come by orders.
    let text = wait::until("an answer to the printed curl line", || curl(line.trim())).await;
    assert!(text.ends_with("data: [DONE]\n\n"), "{text}");

    let next = lines.last().unwrap();
    let words = next.split(" -- ").nth(1).expect("an operator's command");
    let words = words.split(' ').map(OsString::from).collect();
    let status = cli::run(words).await.unwrap();
    assert!(status.contains("leader control-1"), "{status}");
}
