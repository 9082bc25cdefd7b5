#[path = "../lib-2/deployment.rs"]
mod deployment;
use deployment::*;
use std::sync::Arc;
use std::sync::atomic::Ordering;
fn main() {
    open_record("record.txt");
    let deployment = Deployment::new(3, 1, 260);
    deployment.start_all();
    let controls = control_addresses(&deployment);
    deployment.configure(r#"{"version":1,"routes":[{"name":"r-lookup","host":"review.example","pathPrefix":"/lookup/","kind":"safe","timeoutMs":800,"targetLatencyMs":300,"priority":2,"service":"rota-app","attempts":2,"sessionAffinity":false,"resumable":false}],"services":[{"name":"rota-app","healthCheckPath":"/health","connectionLimit":110,"protocol":"h1","tls":false}],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}"#);
    let replicas: Vec<Arc<Replica>> = (0..3)
        .map(|i| {
            Replica::new(
                &format!("i-{i}"),
                "rota-app",
                ZONES[0],
                deployment.replica_address(i),
                6,
            )
        })
        .collect();
    for replica in &replicas {
        replica.serve(Arc::new(|replica, received, stream| {
            sleep_ms(20);
            replica.write_success(stream, received, "")?;
            Ok(true)
        }));
        replica.start_beats(controls.clone());
    }
    deployment.wait_ready();
    sleep_ms(4_000);
    let r = &replicas[0];
    r.beats.store(false, Ordering::SeqCst);
    if trouble() {
        r.leaving.store(true, Ordering::SeqCst);
    }
    let restarted = now_ms();
    // The new life: same id and address; its first check-in (ready) arrives 2.5 s late.
    let late = {
        let (r, control) = (Arc::clone(r), controls[0]);
        std::thread::spawn(move || {
            sleep_ms(2_500);
            let body = format!(
                r#"{{"service":"rota-app","address":"{}","zone":"{}","version":"v1","slots":6,"state":"ready","coldRemainingMs":0,"born":{},"sequence":1}}"#,
                r.address,
                r.zone,
                r.born + 60_000
            );
            let a = call(
                control,
                "POST",
                &format!("/instances/{}/heartbeat", r.id),
                &[],
                body.as_bytes(),
                1000,
            );
            record(&format!("late check-in: {}", a.status));
        })
    };
    let front = deployment.entries[0].at(FRONT);
    let mut marked = None;
    let mut late_requests = 0;
    for n in 0..110 {
        let sent = now_ms();
        let attempt = format!("m-{n}");
        let a = call(
            front,
            "GET",
            "/lookup/x",
            &[("Attempt-Id", &attempt), ("Deadline-Remaining", "1500")],
            b"",
            1500,
        );
        let by_r = a.text().ends_with("at i-0");
        record(&format!(
            "{attempt}: {} {} leaving {:?}",
            a.status,
            a.text(),
            a.header("server-leaving")
        ));
        if by_r && marked.is_some_and(|at| sent > at + 2_000) {
            late_requests += 1;
        }
        if a.header("server-leaving").is_some() && marked.is_none() {
            marked = Some(now_ms());
        }
        sleep_ms(20);
    }
    let _ = late.join();
    finish(
        &deployment,
        late_requests > 0,
        &format!(
            "{late_requests} requests more than drainMs after the mark (restart at {restarted}, mark {marked:?})"
        ),
    );
}
