//! A check-in of another writer that lacks a field is taken for a replica.

#[path = "../lib-2/deployment.rs"]
mod deployment;

use deployment::*;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::thread;

fn main() {
    open_record(&std::env::args().nth(1).unwrap_or("record.txt".to_owned()));
    let deployment = Deployment::new(3, 2, 260);
    deployment.start_all();
    let controls = control_addresses(&deployment);
    deployment.configure(
        r#"{"version":1,"routes":[{"name":"r-confirm","host":"review.example","pathPrefix":"/confirm/","kind":"unsafe","timeoutMs":800,"targetLatencyMs":300,"priority":2,"service":"rota-app","attempts":1,"sessionAffinity":false,"resumable":false}],"services":[{"name":"rota-app","healthCheckPath":"/health","connectionLimit":110,"protocol":"h1","tls":false}],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}"#,
    );
    let answering = || {
        Arc::new(
            |replica: &Replica, received: &Received, stream: &mut std::net::TcpStream| {
                sleep_ms(40);
                replica.write_success(stream, received, "")?;
                Ok(true)
            },
        )
    };
    let replicas: Vec<Arc<Replica>> = (0..3)
        .map(|index| {
            let id = format!("i-{index}");
            let address = deployment.replica_address(index);
            Replica::new(&id, "rota-app", ZONES[index], address, 6)
        })
        .collect();
    for replica in &replicas {
        replica.serve(answering());
        replica.start_beats(controls.clone());
    }
    deployment.wait_ready();
    sleep_ms(3_000);
    // A server of another installation, and the writer that checks it in here.
    let foreign = Replica::new(
        "x-1",
        "rota-app",
        ZONES[0],
        deployment.replica_address(5),
        6,
    );
    foreign.serve(answering());
    if trouble() {
        let (foreign, controls) = (Arc::clone(&foreign), controls.clone());
        thread::spawn(move || write_check_ins(&foreign, &controls));
    }
    sleep_ms(2_000);
    for index in 0..40 {
        let entry = &deployment.entries[index % 2];
        let attempt = format!("c-{index}");
        let headers = [
            ("Attempt-Id", attempt.as_str()),
            ("Deadline-Remaining", "1500"),
        ];
        let answer = call(
            entry.at(FRONT),
            "POST",
            "/confirm/x",
            &headers,
            b"book",
            1500,
        );
        record(&format!(
            "{attempt}: {} {} {}",
            answer.status,
            answer.text(),
            answer.failure
        ));
        sleep_ms(50);
    }
    let ran = foreign.ran.lock().unwrap().len();
    finish(
        &deployment,
        ran > 0,
        &format!("{ran} of 40 unsafe requests were run by the server that no sound check-in names"),
    );
}

/// Checks in every 1.2 s as replicas do, without the field `coldRemainingMs`.
fn write_check_ins(foreign: &Replica, controls: &[SocketAddr]) {
    let mut next = 0;
    loop {
        next += 1;
        let whole = foreign.description();
        let body = whole.replace(r#""coldRemainingMs":0,"#, "");
        let path = format!("/instances/{}/heartbeat", foreign.id);
        let answer = call(
            controls[next % controls.len()],
            "POST",
            &path,
            &[],
            body.as_bytes(),
            1000,
        );
        record(&format!(
            "check-in of another writer: {body}: {}",
            answer.status
        ));
        let _ = foreign.beats.load(Ordering::SeqCst);
        thread::sleep(HEARTBEAT);
    }
}
