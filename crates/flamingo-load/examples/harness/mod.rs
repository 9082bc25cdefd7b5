//! A deployment of real processes for one experiment, and the faults that hit it.

pub mod fault;

use fault::{Fault, Strike, set};
use flamingo_load::drive::{self, Sent, Settings};
use flamingo_load::engines::Engines;
use flamingo_load::plan::Item;
use flamingo_load::truth::{Record, Truth};
use flamingo_load::workload::Workload;
use flamingo_test_support::cluster::{Cluster, Instance};
use flamingo_test_support::wait;
use flamingo_wire::id;
use serde_json::json;
use std::cell::RefCell;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::Duration;

/// Time after which a caller gives up.
const TIMEOUT: Duration = Duration::from_secs(30);
/// Time of a probe.
const PROBE: Duration = Duration::from_secs(2);

/// How a deployment is started.
#[derive(Clone, Debug)]
pub struct Shape {
    /// Control instances.
    pub controls: usize,
    /// Entries.
    pub entries: usize,
    /// Time between tokens of a sequence that is alone, in milliseconds.
    pub pace: u64,
    /// Whether engines start empty, so that placement loads them.
    pub empty: bool,
    /// Lines added to the settings of entries, such as `[route]` and its keys.
    pub settings: String,
}

/// A running deployment.
pub struct Deployment {
    cluster: Rc<RefCell<Cluster>>,
    records: Vec<PathBuf>,
    engines: usize,
}

impl Deployment {
    /// Starts the deployment of `workload` and waits until each model is served.
    pub async fn start(workload: &Workload, shape: &Shape) -> Self {
        let mut cluster = Cluster::with(shape.controls, shape.entries, &shape.settings);
        let mut records = Vec::new();
        let placed = place(workload, shape.empty);
        let pace = shape.pace.to_string();
        let memory = workload.memory.to_string();
        for (n, models) in placed.iter().enumerate() {
            let name = format!("engine-{n}");
            let record = cluster.dir.path().join(format!("{name}.ran"));
            let log = record.to_str().expect("the path is text").to_owned();
            let mut more = vec!["--pace", &pace, "--memory", &memory, "--ran-log", &log];
            more.extend(["--lag-ms", "300"]);
            more.extend(models.iter().flat_map(|model| ["--model", model]));
            cluster.target("engine", &name, &more);
            records.push(record);
        }
        for service in &workload.set.services {
            for n in 0..workload.replicas {
                let name = format!("{}-{n}", service.name);
                let record = cluster.dir.path().join(format!("{name}.ran"));
                let log = record.to_str().expect("the path is text").to_owned();
                cluster.target(
                    "service",
                    &name,
                    &["--service", &service.name, "--ran-log", &log],
                );
                records.push(record);
            }
        }
        let set = workload.path.to_str().expect("the path is text");
        wait::until("the set to be accepted", || async {
            let applied = cluster.ctl(&["config", "apply", set]);
            applied.status.success().then_some(())
        })
        .await;
        let deployment = Self {
            cluster: Rc::new(RefCell::new(cluster)),
            records,
            engines: workload.engines,
        };
        for model in &workload.set.models {
            deployment.served(&model.name).await;
        }
        deployment
    }

    /// Waits until every entry serves `model`.
    async fn served(&self, model: &id::Model) {
        for entry in self.entries() {
            wait::until(&format!("{model} at {entry}"), || async {
                let body = json!({"model": model, "max_tokens": 1, "prompt": "probe"});
                let client = awc::Client::builder().timeout(PROBE).finish();
                let sent = client.post(format!("http://{entry}/v1/completions"));
                let answer = sent.send_json(&body).await.ok()?;
                answer.status().is_success().then_some(())
            })
            .await;
        }
    }

    fn entries(&self) -> Vec<SocketAddr> {
        let cluster = self.cluster.borrow();
        cluster.entries.iter().map(Instance::http).collect()
    }

    fn engines(&self) -> Vec<SocketAddr> {
        let cluster = self.cluster.borrow();
        let engines = cluster.targets.iter().take(self.engines);
        engines.map(Instance::target).collect()
    }

    /// Sends the plan while `faults` strike; each strikes at its share of `length`,
    /// and what it stopped comes back after a third of the run.
    pub async fn run(
        &self,
        plan: Vec<Item>,
        length: Duration,
        faults: &[(Fault, usize)],
    ) -> (Vec<Sent>, Truth, Engines) {
        let settings = Settings {
            entries: self.entries(),
            timeout: TIMEOUT,
        };
        let mut strikes = Vec::new();
        for (n, (fault, at)) in faults.iter().enumerate() {
            let n = u32::try_from(n).unwrap_or(0);
            let start = length / 3 + length * n / 12;
            let cluster = self.cluster.clone();
            let strike = Strike {
                fault: *fault,
                at: *at,
                engines: self.engines,
            };
            strikes.push(actix_rt::spawn(async move {
                actix_rt::time::sleep(start).await;
                let begun = strike.begin(&mut cluster.borrow_mut());
                set(begun).await;
                actix_rt::time::sleep(length / 3).await;
                let ended = strike.end(&mut cluster.borrow_mut());
                set(ended).await;
            }));
        }
        let sent = drive::run(plan, &settings).await;
        for strike in strikes {
            strike.await.expect("a fault can be struck and healed");
        }
        let records: Vec<_> = self
            .records
            .iter()
            .filter(|path| path.exists())
            .cloned()
            .collect();
        let record = Record::open(&records).expect("records can be read");
        let engines = Engines::ask(&self.engines()).await;
        let truth = record.check(&sent);
        (sent, truth, engines)
    }
}

/// Puts each model on an engine, then second copies while they fit.
fn place(workload: &Workload, empty: bool) -> Vec<Vec<String>> {
    let mut placed = vec![Vec::new(); workload.engines];
    let mut free = vec![workload.memory; workload.engines];
    if empty {
        return placed;
    }
    let mut next = 0;
    for _ in 0..2 {
        for model in &workload.set.models {
            let fits = |engine: &usize| {
                free[*engine] >= model.footprint() && !placed[*engine].contains(&model.name)
            };
            let mut engines = (0..workload.engines).map(|n| (next + n) % workload.engines);
            if let Some(engine) = engines.find(fits) {
                free[engine] -= model.footprint();
                placed[engine].push(model.name.clone());
                next = engine + 1;
            }
        }
    }
    placed
}
