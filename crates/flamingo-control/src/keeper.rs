//! The actor that owns the durable state.

use actix::{Actor, Context, Handler, Message};
use flamingo_wire::Fault;
use flamingo_wire::config::{Change, Snapshot};
use flamingo_wire::control::{Reply, Request};
use flamingo_wire::fault::Reason;
use slog::{Logger, info};
use std::fs::File;
use std::io::{self, Write};
use std::path::PathBuf;

const FILE: &str = "config.json";

/// Owns the configuration of a single control instance.
#[derive(Debug)]
pub struct Keeper {
    data: PathBuf,
    snapshot: Snapshot,
    log: Logger,
}

impl Keeper {
    /// Opens the data folder, and makes it where it is missing.
    ///
    /// # Errors
    ///
    /// Returns an error where the folder can't be read.
    pub fn open(data: PathBuf, log: Logger) -> io::Result<Self> {
        std::fs::create_dir_all(&data)?;
        let snapshot = match std::fs::read(data.join(FILE)) {
            Ok(bytes) => serde_json::from_slice(&bytes)?,
            Err(error) if error.kind() == io::ErrorKind::NotFound => Snapshot::default(),
            Err(error) => return Err(error),
        };
        Ok(Self {
            data,
            snapshot,
            log,
        })
    }

    fn apply(&mut self, change: Change) -> Reply {
        if change.base != self.snapshot.version {
            let message = format!(
                "version {} is in force, not {}",
                self.snapshot.version, change.base
            );
            let help = "fetch the set again and repeat the edit";
            return Reply::Refused(Fault::not_run(Reason::Conflict, message, help));
        }
        let next = Snapshot {
            version: change.base + 1,
            set: change.set,
            drained: Vec::new(),
        };
        if let Err(error) = self.write(&next) {
            let message = format!("can't write {}: {error}", self.data.display());
            return Reply::Refused(Fault::not_run(Reason::Storage, message, "see the disk"));
        }
        info!(self.log, "configuration accepted"; "version" => next.version, "change" => change.id);
        self.snapshot = next;
        Reply::Accepted(self.snapshot.version)
    }

    fn write(&self, snapshot: &Snapshot) -> io::Result<()> {
        let fresh = self.data.join("config.new");
        let mut file = File::create(&fresh)?;
        file.write_all(&serde_json::to_vec(snapshot)?)?;
        file.sync_all()?;
        std::fs::rename(&fresh, self.data.join(FILE))?;
        File::open(&self.data)?.sync_all()
    }
}

impl Actor for Keeper {
    type Context = Context<Self>;
}

/// A question to the keeper.
#[derive(Debug, Message)]
#[rtype(result = "Reply")]
pub struct Ask(pub Request);

impl Handler<Ask> for Keeper {
    type Result = actix::MessageResult<Ask>;

    fn handle(&mut self, Ask(request): Ask, _: &mut Self::Context) -> Self::Result {
        let reply = match request {
            Request::Fetch(fetch) if fetch.version >= self.snapshot.version => {
                Reply::Current(self.snapshot.version)
            }
            Request::Fetch(_) => Reply::Config(self.snapshot.clone()),
            Request::Apply(change) => self.apply(change),
            Request::Begin(_) => Reply::Refused(Fault::not_run(
                Reason::Leaderless,
                "this instance keeps no call ledger yet",
                "send the call without a key",
            )),
            Request::Finish(_) | Request::Report(_) | Request::Admin(_) => Reply::Noted,
        };
        actix::MessageResult(reply)
    }
}
