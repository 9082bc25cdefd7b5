//! A request's arrival: what it asks for, and whether it is taken in.

use super::Router;
use crate::action::Action;
use crate::budget::Budget;
use crate::request::{Admitted, Pool, Request, Stage};
use flamingo_wire::config::{Late, Profile};
use flamingo_wire::fault::Reason;
use flamingo_wire::{Fault, Verdict, id};
use smallvec::SmallVec;
use std::time::{Duration, Instant};

/// Rank of a request that picks no profile.
const DEFAULT_RANK: u8 = 128;
/// Promise of a request that picks no profile.
const DEFAULT_FIRST_TOKEN: Duration = Duration::from_secs(10);
/// Patience of a request that picks no profile.
const DEFAULT_PATIENCE: Duration = Duration::from_mins(1);

impl Router {
    pub(super) fn arrive(&mut self, now: Instant, ask: Request) {
        let request = ask.id.clone();
        let live = match self.admit(now, ask) {
            Ok(live) => live,
            Err(fault) => return self.actions.push(Action::Refuse { request, fault }),
        };
        let limit = &self.limit;
        let budget = self.budgets.entry(live.pool.clone());
        let budget = budget.or_insert_with(|| Budget::new(limit.retry_share, limit.retry_burst));
        budget.earn();
        self.paces.entry(live.pool.clone()).or_default().arrived();
        self.timers.insert((live.give_up, request.clone()));
        self.admitted.insert(request.clone(), live);
        self.place(now, &request);
    }

    pub(super) fn admit(&self, now: Instant, ask: Request) -> Result<Admitted, Fault> {
        let (pool, adapter) = self.resolve(ask.pool);
        if !self.fleet.serves(&pool) {
            return Err(self.absent(&pool));
        }
        let profile = self.profile(ask.profile.as_deref())?;
        let patience = match &pool {
            Pool::Service(name) if ask.profile.is_none() => {
                let service = self.config.set.service(name);
                service.map_or(profile.patience, |service| service.patience)
            }
            _ => profile.patience,
        };
        Ok(Admitted {
            pool,
            adapter,
            prefixes: ask.prefixes,
            idempotent: ask.idempotent,
            rank: profile.rank,
            promise: now + profile.first_token,
            give_up: now + patience,
            late: profile.late,
            verdict: Verdict::NotRun,
            attempts: 0,
            failed: SmallVec::new(),
            stage: Stage::Queued(0),
        })
    }

    pub(super) fn resolve(&self, pool: Pool) -> (Pool, Option<id::Adapter>) {
        let Pool::Model(name) = pool else {
            return (pool, None);
        };
        let set = &self.config.set;
        if set.model(&name).is_none() {
            let owner = set.models.iter().find(|model| {
                let mut adapters = model.adapters.iter();
                adapters.any(|adapter| adapter.name == name)
            });
            if let Some(owner) = owner {
                return (Pool::Model(owner.name.clone()), Some(name));
            }
        }
        (Pool::Model(name), None)
    }

    pub(super) fn absent(&self, pool: &Pool) -> Fault {
        let set = &self.config.set;
        let (known, help) = match pool {
            Pool::Model(name) => (set.model(name).is_some(), "see GET /v1/models"),
            Pool::Service(name) => (set.service(name).is_some(), "see flamingoctl target"),
        };
        let reason = if known || self.config.version == 0 {
            Reason::Overloaded
        } else {
            Reason::Unknown
        };
        Fault::not_run(reason, format!("no target serves {pool} now"), help).retry_after(1)
    }

    pub(super) fn profile(&self, name: Option<&str>) -> Result<Profile, Fault> {
        let Some(name) = name else {
            return Ok(Profile {
                name: id::Profile::new(),
                rank: DEFAULT_RANK,
                first_token: DEFAULT_FIRST_TOKEN,
                between_tokens: DEFAULT_FIRST_TOKEN,
                patience: DEFAULT_PATIENCE,
                late: Late::Serve,
            });
        };
        let found = self.config.set.profile(name).cloned();
        found.ok_or_else(|| {
            let message = format!("no profile '{name}'");
            let help = "pick a profile of the set that is in force: flamingoctl config show";
            let fault = Fault::not_run(Reason::Unknown, message, help);
            if self.config.version == 0 {
                fault.retry_after(1)
            } else {
                fault
            }
        })
    }
}
