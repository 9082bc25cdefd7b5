//! Authentication of HTTP requests by key.
//!
//! The guard wraps the whole application as a middleware:
//! `App::new().app_data(guard).wrap(from_fn(guard::check))`.

use crate::answer;
use crate::key::Keyring;
use crate::startup::{self, Check, Problem};
use actix_web::body::{BoxBody, EitherBody, MessageBody};
use actix_web::dev::{ServiceRequest, ServiceResponse};
use actix_web::http::header;
use actix_web::middleware::Next;
use actix_web::web::Data;
use actix_web::{Error, HttpMessage};
use flamingo_settings::keys::Keys;
use flamingo_wire::Fault;
use flamingo_wire::fault::Reason;
use std::path::Path;
use std::time::Instant;

/// Name of the owner of a request's key, for the handlers and the log.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Principal(pub String);

/// The keys of the three kinds of routes. Routes without a keyring are open to everyone.
#[derive(Debug, Default)]
pub struct Guard {
    callers: Option<Keyring>,
    operators: Option<Keyring>,
    targets: Option<Keyring>,
}

impl Guard {
    /// Loads the key files that the settings name.
    ///
    /// # Errors
    ///
    /// Returns all problems with the key files.
    pub fn open(keys: &Keys, now: Instant) -> Result<Self, startup::Error> {
        let mut check = Check::default();
        let mut open = |field, path| check.take(open(field, path, now));
        let guard = Self {
            callers: open("[keys] callers", keys.callers.as_deref()).flatten(),
            operators: open("[keys] operators", keys.operators.as_deref()).flatten(),
            targets: open("[keys] targets", keys.targets.as_deref()).flatten(),
        };
        check.finish(Some(guard))
    }

    /// Returns the keyring for `path`, or `None` where everyone may send requests, as on the
    /// health routes.
    fn keyring(&self, path: &str) -> Option<&Keyring> {
        match path.split('/').nth(1) {
            Some("healthz" | "readyz") => None,
            Some("admin" | "metrics") => self.operators.as_ref(),
            Some("targets") => self.targets.as_ref(),
            _ => self.callers.as_ref(),
        }
    }

    /// Returns the owner of the request's key, `None` on an open route, or the fault with which to
    /// reject the request.
    fn admit(&self, path: &str, authorization: Option<&str>) -> Result<Option<Principal>, Fault> {
        let Some(keyring) = self.keyring(path) else {
            return Ok(None);
        };
        let key = authorization.and_then(|value| value.strip_prefix("Bearer "));
        let owner = key.and_then(|key| keyring.owner(key.trim(), Instant::now()));
        match owner {
            Some(name) => Ok(Some(Principal(name))),
            None => Err(refusal(path)),
        }
    }
}

/// Loads the key file at `path`, which comes from `field` of the settings.
fn open(
    field: &'static str,
    path: Option<&Path>,
    now: Instant,
) -> Result<Option<Keyring>, startup::Error> {
    let keyring = path.map(|path| Keyring::open(path, now)).transpose();
    keyring.map_err(|text| {
        let problems = text
            .lines()
            .map(|line| Problem::Keys(field, line.to_owned()));
        startup::Error::Unusable(problems.collect())
    })
}

fn refusal(path: &str) -> Fault {
    let message = format!("no valid key for {path}");
    let help = "send the header 'Authorization: Bearer KEY' with a key of this kind of route";
    Fault::not_run(Reason::Unauthorized, message, help)
}

/// Rejects a request without a valid key before any of its body is read.
///
/// # Errors
///
/// Returns the error of the inner service.
pub async fn check<B: MessageBody>(
    request: ServiceRequest,
    next: Next<B>,
) -> Result<ServiceResponse<EitherBody<B, BoxBody>>, Error> {
    let admitted = match request.app_data::<Data<Guard>>() {
        Some(guard) => guard.admit(request.path(), authorization(&request)),
        None => Ok(None),
    };
    match admitted {
        Ok(principal) => {
            if let Some(principal) = principal {
                request.extensions_mut().insert(principal);
            }
            Ok(next.call(request).await?.map_into_left_body())
        }
        Err(fault) => {
            let answer = answer::refuse(&fault, "");
            Ok(request.into_response(answer).map_into_right_body())
        }
    }
}

fn authorization(request: &ServiceRequest) -> Option<&str> {
    request.headers().get(header::AUTHORIZATION)?.to_str().ok()
}
