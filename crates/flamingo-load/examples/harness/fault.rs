//! Faults that strike a deployment, and their end.

use flamingo_test_support::cluster::Cluster;
use flamingo_test_support::process::Process;
use serde_json::{Value, json};
use std::net::SocketAddr;
use std::time::Duration;

/// Time in which a fake must take a fault.
const TIMEOUT: Duration = Duration::from_secs(2);

/// A fault: what it hits and how.
#[derive(
    Clone, Copy, Debug, Eq, PartialEq, strum::Display, strum::EnumString, strum::VariantArray,
)]
#[strum(serialize_all = "kebab-case")]
pub enum Fault {
    KillTarget,
    FreezeTarget,
    LeaveTarget,
    KillEntry,
    FreezeEntry,
    StopEntry,
    KillControl,
    FreezeControl,
    SilentTarget,
    TruncateStreams,
    RefuseRequests,
    WrongLoad,
    KillReplica,
    LoseAnswers,
}

/// One fault and the number of the instance that it hits.
#[derive(Clone, Copy, Debug)]
pub struct Strike {
    pub fault: Fault,
    pub at: usize,
    pub engines: usize,
}

/// Faults to set at a fake.
pub type Setting = Option<(SocketAddr, Value)>;

impl Strike {
    /// Strikes; what is left is to be set at a fake.
    pub fn begin(self, cluster: &mut Cluster) -> Setting {
        let engine = self.at % self.engines;
        let replica = self.engines + self.at % (cluster.targets.len() - self.engines);
        let entry = self.at % cluster.entries.len();
        let control = self.at % cluster.controls.len();
        let faults = match self.fault {
            Fault::KillTarget => return kill(&mut cluster.targets[engine].process),
            Fault::KillReplica => return kill(&mut cluster.targets[replica].process),
            Fault::KillEntry => return kill(&mut cluster.entries[entry].process),
            Fault::KillControl => return kill(&mut cluster.controls[control].process),
            Fault::FreezeTarget => return signal(&cluster.targets[engine].process, libc::SIGSTOP),
            Fault::LeaveTarget => return signal(&cluster.targets[engine].process, libc::SIGTERM),
            Fault::FreezeEntry => return signal(&cluster.entries[entry].process, libc::SIGSTOP),
            Fault::StopEntry => return signal(&cluster.entries[entry].process, libc::SIGTERM),
            Fault::FreezeControl => {
                return signal(&cluster.controls[control].process, libc::SIGSTOP);
            }
            Fault::LoseAnswers => {
                return Some((
                    cluster.targets[replica].target(),
                    json!({"lose_answers": 5}),
                ));
            }
            Fault::SilentTarget => json!({"silent": true}),
            Fault::TruncateStreams => json!({"truncate_after": 5, "share": 300, "seed": 7}),
            Fault::RefuseRequests => json!({"refuse_s": 1, "share": 500, "seed": 7}),
            Fault::WrongLoad => json!({"wrong_load": true}),
        };
        Some((cluster.targets[engine].target(), faults))
    }

    /// Ends the fault, where what it stopped comes back.
    pub fn end(self, cluster: &mut Cluster) -> Setting {
        let engine = self.at % self.engines;
        let entry = self.at % cluster.entries.len();
        let control = self.at % cluster.controls.len();
        match self.fault {
            Fault::KillEntry => {
                let name = cluster.entries[entry].name.clone();
                cluster.entries[entry].process = cluster.restart("flamingo-entry", &name);
                None
            }
            Fault::KillControl => {
                let name = cluster.controls[control].name.clone();
                cluster.controls[control].process = cluster.restart("flamingo-control", &name);
                None
            }
            Fault::FreezeTarget => signal(&cluster.targets[engine].process, libc::SIGCONT),
            Fault::FreezeEntry => signal(&cluster.entries[entry].process, libc::SIGCONT),
            Fault::FreezeControl => signal(&cluster.controls[control].process, libc::SIGCONT),
            Fault::SilentTarget
            | Fault::TruncateStreams
            | Fault::RefuseRequests
            | Fault::WrongLoad => Some((cluster.targets[engine].target(), json!({}))),
            // What stops by itself is left to its end.
            Fault::KillTarget
            | Fault::KillReplica
            | Fault::LeaveTarget
            | Fault::StopEntry
            | Fault::LoseAnswers => None,
        }
    }
}

fn kill(process: &mut Process) -> Setting {
    process.kill();
    None
}

fn signal(process: &Process, signal: libc::c_int) -> Setting {
    process.signal(signal);
    None
}

/// Sets faults at a fake.
pub async fn set(setting: Setting) {
    let Some((target, body)) = setting else {
        return;
    };
    let url = format!("http://{target}/stand-in/faults");
    let client = awc::Client::builder().timeout(TIMEOUT).finish();
    if let Err(error) = client.post(url).send_json(&body).await {
        eprintln!("no fault set at {target}: {error}");
    }
}
