//! Tests that the commands that `flamingolink` prints at its start work when they are pasted.

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

/// Starts `flamingolink` and returns its output up to the last line, which has the
/// `flamingoctl` command.
fn start(data: &std::path::Path) -> (Local, Vec<String>) {
    let mut child = Command::new(program("flamingolink"))
        .args(["--host", &host().to_string(), "--data"])
        .arg(data)
        .stdout(Stdio::piped())
        .stderr(Stdio::null())
        .spawn()
        .unwrap();
    let lines = BufReader::new(child.stdout.take().unwrap()).lines();
    let mut printed = Vec::new();
    for line in lines.map_while(Result::ok) {
        let last = line.contains("flamingoctl");
        printed.push(line);
        if last {
            break;
        }
    }
    (Local(child), printed)
}

/// Sends the request of the printed `curl` line; `None` if it gets no answer with status 200.
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
async fn printed_commands_work_as_pasted() {
    let dir = tempfile::tempdir().unwrap();
    let (_local, lines) = start(&dir.path().join("data"));
    let line = lines
        .iter()
        .find(|line| line.trim().starts_with("curl"))
        .expect("a curl line");
    // The engines start without models, which the control instance then orders them to load.
    let text = wait::until("an answer to the printed curl line", || curl(line.trim())).await;
    assert!(text.ends_with("data: [DONE]\n\n"), "{text}");

    let last = lines.last().unwrap();
    let words = last.split(" -- ").nth(1).expect("an operator's command");
    let words = words.split(' ').map(OsString::from).collect();
    let status = cli::run(words).await.unwrap();
    assert!(status.contains("leader control-1"), "{status}");
}
