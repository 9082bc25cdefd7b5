//! A complete system of real processes on loopback.

use crate::address::{at, host};
use crate::process::{Process, program};
use crate::relay::Relay;
use crate::wait;
use std::collections::BTreeMap;
use std::fmt::Write;
use std::net::{IpAddr, SocketAddr};
use std::path::PathBuf;
use std::process::{Command, Output};
use tempfile::TempDir;

const HTTP: u16 = 7400;
const INNER: u16 = 7401;
const TARGET: u16 = 8000;
/// Key of the inner protocol.
pub const KEY: &str = "test-inner-key";

/// One instance of the system or one target.
#[derive(Debug)]
pub struct Instance {
    /// Name of the process.
    pub name: String,
    /// IP address of the process.
    pub host: IpAddr,
    /// The process.
    pub process: Process,
}

impl Instance {
    /// Returns the address for HTTP requests of callers and operators.
    #[must_use]
    pub fn http(&self) -> SocketAddr {
        at(self.host, HTTP)
    }

    /// Returns the address for the inner protocol.
    #[must_use]
    pub fn inner(&self) -> SocketAddr {
        at(self.host, INNER)
    }

    /// Returns the address on which a target accepts requests.
    #[must_use]
    pub fn target(&self) -> SocketAddr {
        at(self.host, TARGET)
    }
}

/// A running system. Its processes are killed on drop.
#[derive(Debug)]
pub struct Cluster {
    /// Folder for settings, logs and data.
    pub dir: TempDir,
    /// Control instances.
    pub controls: Vec<Instance>,
    /// Entry instances.
    pub entries: Vec<Instance>,
    /// Targets.
    pub targets: Vec<Instance>,
    members: Vec<String>,
    seeds: Vec<SocketAddr>,
    /// Additional lines in the settings of each entry.
    more: String,
    /// Relays, by the names of the entry and of the control instance.
    relays: BTreeMap<(String, String), Relay>,
}

impl Cluster {
    /// Starts `controls` control instances and `entries` entries in one zone.
    ///
    /// # Panics
    ///
    /// Panics where a process can't be started.
    #[must_use]
    pub fn start(controls: usize, entries: usize) -> Self {
        Self::launch(controls, entries, false, "")
    }

    /// Starts a system whose entries reach each control instance through a
    /// [`Relay`] of their own.
    ///
    /// # Panics
    ///
    /// Panics where a process can't be started.
    #[must_use]
    pub fn relayed(controls: usize, entries: usize) -> Self {
        Self::launch(controls, entries, true, "")
    }

    /// Starts a system with the additional lines `more` in the settings of each entry.
    ///
    /// # Panics
    ///
    /// Panics where a process can't be started.
    #[must_use]
    pub fn with(controls: usize, entries: usize, more: &str) -> Self {
        Self::launch(controls, entries, false, more)
    }

    /// Returns the relay between the entry `from` and the control instance `to`.
    ///
    /// # Panics
    ///
    /// Panics if the system was not started by [`Cluster::relayed`].
    #[must_use]
    pub fn relay(&self, from: &str, to: &str) -> &Relay {
        let key = (from.to_owned(), to.to_owned());
        self.relays.get(&key).expect("a relayed system")
    }

    fn launch(controls: usize, entries: usize, relayed: bool, more: &str) -> Self {
        let dir = tempfile::tempdir().expect("a folder can be made");
        let hosts: Vec<_> = (0..controls).map(|_| host()).collect();
        let numbered = hosts.iter().enumerate();
        let members = numbered
            .map(|(n, host)| format!("control-{n}@{}", at(*host, INNER)))
            .collect();
        let mut cluster = Self {
            dir,
            controls: Vec::new(),
            entries: Vec::new(),
            targets: Vec::new(),
            members,
            seeds: Vec::new(),
            more: more.to_owned(),
            relays: BTreeMap::new(),
        };
        for (n, host) in hosts.into_iter().enumerate() {
            let instance = cluster.daemon("flamingo-control", &format!("control-{n}"), host);
            cluster.controls.push(instance);
        }
        let hosts: Vec<_> = (0..entries).map(|_| host()).collect();
        cluster.seeds = hosts.iter().map(|host| at(*host, INNER)).collect();
        if relayed {
            cluster.place_relays(entries);
        }
        for (n, host) in hosts.into_iter().enumerate() {
            let instance = cluster.daemon("flamingo-entry", &format!("entry-{n}"), host);
            cluster.entries.push(instance);
        }
        cluster
    }

    /// Starts a fake target with the additional arguments `more`.
    ///
    /// # Panics
    ///
    /// Panics where the process can't be started.
    pub fn target(&mut self, kind: &str, name: &str, more: &[&str]) {
        let host = host();
        let listen = at(host, TARGET).to_string();
        let mut args = vec![
            kind, "--name", name, "--zone", "zone-a", "--listen", &listen,
        ];
        let entries: Vec<_> = self
            .entries
            .iter()
            .map(|entry| entry.http().to_string())
            .collect();
        for entry in &entries {
            args.extend(["--entry", entry]);
        }
        args.extend(more);
        let process = Process::start("flamingo-stand-in", &args, &self.log(name));
        let instance = Instance {
            name: name.to_owned(),
            host,
            process,
        };
        self.targets.push(instance);
    }

    /// Applies the set in `text` through the first entry until it is accepted.
    ///
    /// # Panics
    ///
    /// Panics where the set can't be written, or is not accepted in time.
    pub async fn apply(&self, text: &str) {
        let path = self.dir.path().join("set.ini");
        std::fs::write(&path, text).expect("a set can be written");
        let path = path.to_str().expect("the path is text");
        wait::until("the change to be accepted", || async {
            let applied = self.ctl(&["config", "apply", path]);
            applied.status.success().then_some(())
        })
        .await;
    }

    /// Runs `flamingoctl` against the first entry.
    ///
    /// # Panics
    ///
    /// Panics where the program can't be run.
    #[must_use]
    pub fn ctl(&self, args: &[&str]) -> Output {
        let at = self.entries[0].http().to_string();
        let mut command = Command::new(program("flamingoctl"));
        command.args(["--at", &at]).args(args);
        command.output().expect("flamingoctl can be run")
    }

    /// Returns the path of the log of the process `name`.
    #[must_use]
    pub fn log(&self, name: &str) -> PathBuf {
        self.dir.path().join(format!("{name}.log"))
    }

    /// Restarts a daemon that has ended, with the same name and settings.
    ///
    /// # Panics
    ///
    /// Panics where the process can't be started.
    #[must_use]
    pub fn restart(&self, daemon: &str, name: &str) -> Process {
        let settings = self.dir.path().join(format!("{name}.ini"));
        let settings = settings.to_str().expect("the path is text");
        Process::start(daemon, &["--settings", settings], &self.log(name))
    }

    fn place_relays(&mut self, entries: usize) {
        for n in 0..entries {
            for control in &self.controls {
                let key = (format!("entry-{n}"), control.name.clone());
                let relay = Relay::start(at(control.host, INNER));
                self.relays.insert(key, relay);
            }
        }
    }

    /// Returns the control instances for the settings of the process `name`.
    fn members(&self, name: &str) -> String {
        let relays: Vec<_> = self
            .relays
            .iter()
            .filter(|((from, _), _)| from == name)
            .map(|((_, to), relay)| format!("{to}@{}", relay.address()))
            .collect();
        if relays.is_empty() {
            return self.members.join(", ");
        }
        relays.join(", ")
    }

    fn daemon(&self, daemon: &str, name: &str, host: IpAddr) -> Instance {
        let path = self.dir.path().join(format!("{name}.ini"));
        std::fs::write(&path, self.settings(daemon, name, host)).expect("settings can be written");
        let process = self.restart(daemon, name);
        Instance {
            name: name.to_owned(),
            host,
            process,
        }
    }

    fn settings(&self, daemon: &str, name: &str, host: IpAddr) -> String {
        let mut text = String::new();
        let members = self.members(name);
        let http = at(host, HTTP);
        let inner = at(host, INNER);
        let _ = writeln!(text, "[node]\nname = {name}\nzone = zone-a");
        let _ = writeln!(text, "[listen]\nhttp = {http}\ninner = {inner}");
        let _ = writeln!(text, "[inner]\nkey = {KEY}");
        let _ = writeln!(text, "[control]\nmembers = {members}");
        if daemon == "flamingo-control" {
            let data = self.dir.path().join(name);
            let _ = writeln!(text, "data = {}", data.display());
        } else {
            let seeds: Vec<_> = self.seeds.iter().map(ToString::to_string).collect();
            let _ = writeln!(text, "[entry]\nseeds = {}", seeds.join(", "));
            text.push_str(&self.more);
        }
        text
    }
}
