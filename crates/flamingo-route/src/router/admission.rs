//! Admission: resolves the model, adapter and profile of an arriving request, or refuses it.

use super::Router;
use crate::action::Action;
use crate::budget::Budget;
use crate::request::{Admitted, Pool, Request, Stage};
use flamingo_wire::config::{LatePolicy, Profile};
use flamingo_wire::fault::Reason;
use flamingo_wire::{Fault, Verdict, id};
use smallvec::SmallVec;
use std::time::{Duration, Instant};

/// Rank of a request without a profile.
const DEFAULT_RANK: u8 = 128;
/// Latency objective of a request without a profile.
const DEFAULT_FIRST_TOKEN: Duration = Duration::from_secs(10);
/// Maximum wait of a request without a profile.
const DEFAULT_MAX_WAIT: Duration = Duration::from_mins(1);

impl Router {
    pub(super) fn arrive(&mut self, now: Instant, arrival: Request) {
        let request = arrival.id.clone();
        let checked = self.check_quarantine(now, &arrival);
        let admitted = match checked.and_then(|()| self.admit(now, arrival)) {
            Ok(admitted) => admitted,
            Err(fault) => return self.actions.push(Action::Refuse { request, fault }),
        };
        let limit = &self.limit;
        let budget = self.budgets.entry(admitted.pool.clone());
        let budget = budget.or_insert_with(|| Budget::new(limit.retry_permille, limit.retry_burst));
        budget.deposit();
        self.stats
            .entry(admitted.pool.clone())
            .or_default()
            .record_arrival();
        self.timers.insert((admitted.deadline, request.clone()));
        self.admitted.insert(request.clone(), admitted);
        self.route(now, &request);
    }

    pub(super) fn admit(&self, now: Instant, arrival: Request) -> Result<Admitted, Fault> {
        let (pool, adapter) = self.resolve(arrival.pool);
        if !self.fleet.serves(&pool) {
            return Err(self.no_target_fault(&pool));
        }
        let profile = self.profile(arrival.profile.as_deref())?;
        let max_wait = match &pool {
            Pool::Service(name) if arrival.profile.is_none() => {
                let service = self.config.set.service(name);
                service.map_or(profile.max_wait, |service| service.max_wait)
            }
            _ => profile.max_wait,
        };
        Ok(Admitted {
            pool,
            adapter,
            prefixes: arrival.prefixes,
            fingerprint: arrival.fingerprint,
            idempotent: arrival.idempotent,
            rank: arrival.rank.unwrap_or(profile.rank),
            objective: now + profile.first_token,
            deadline: now + max_wait,
            late_policy: profile.late_policy,
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

    pub(super) fn no_target_fault(&self, pool: &Pool) -> Fault {
        let set = &self.config.set;
        let (configured, help) = match pool {
            Pool::Model(name) => (set.model(name).is_some(), "see GET /v1/models"),
            Pool::Service(name) => (set.service(name).is_some(), "see flamingoctl target"),
        };
        let reason = if configured || self.config.version == 0 {
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
                max_wait: DEFAULT_MAX_WAIT,
                late_policy: LatePolicy::Serve,
            });
        };
        let profile = self.config.set.profile(name).cloned();
        profile.ok_or_else(|| {
            let message = format!("no profile '{name}'");
            let help = "choose a profile of the configuration in force: flamingoctl config show";
            let fault = Fault::not_run(Reason::Unknown, message, help);
            if self.config.version == 0 {
                fault.retry_after(1)
            } else {
                fault
            }
        })
    }
}
