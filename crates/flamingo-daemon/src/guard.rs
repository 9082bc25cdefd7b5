//! Lets requests in by their keys.
//!
//! The guard goes around the whole application as a middleware:
//! `App::new().app_data(guard).wrap(from_fn(guard::check))`.

use crate::answer;
use crate::key::Ring;
use actix_web::body::{BoxBody, EitherBody, MessageBody};
use actix_web::dev::{ServiceRequest, ServiceResponse};
use actix_web::http::header;
use actix_web::middleware::Next;
use actix_web::web::Data;
use actix_web::{Error, HttpMessage};
use flamingo_settings::keys::Keys;
use flamingo_wire::Fault;
use flamingo_wire::fault::Reason;
use std::path::PathBuf;
use std::time::Instant;

/// Who let a request in, for the handlers and the log.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Holder(pub String);

/// The rings of the three kinds of routes; a missing ring lets everyone in.
#[derive(Debug, Default)]
pub struct Guard {
    callers: Option<Ring>,
    operators: Option<Ring>,
    targets: Option<Ring>,
}

impl Guard {
    /// Opens the rings that the settings name.
    ///
    /// # Errors
    ///
    /// Returns what is wrong with a file of keys.
    pub fn open(keys: &Keys, now: Instant) -> Result<Self, String> {
        let open =
            |path: &Option<PathBuf>| path.as_ref().map(|path| Ring::open(path, now)).transpose();
        Ok(Self {
            callers: open(&keys.callers)?,
            operators: open(&keys.operators)?,
            targets: open(&keys.targets)?,
        })
    }

    /// Returns the ring that guards `path`; health is open to all.
    fn ring(&self, path: &str) -> Option<&Ring> {
        match path.split('/').nth(1) {
            Some("healthz" | "readyz") => None,
            Some("admin" | "metrics") => self.operators.as_ref(),
            Some("targets") => self.targets.as_ref(),
            _ => self.callers.as_ref(),
        }
    }

    /// Returns the holder of a request's key, or why it is refused.
    fn admit(&self, path: &str, authorization: Option<&str>) -> Result<Option<Holder>, Fault> {
        let Some(ring) = self.ring(path) else {
            return Ok(None);
        };
        let key = authorization.and_then(|value| value.strip_prefix("Bearer "));
        let holder = key.and_then(|key| ring.holder(key.trim(), Instant::now()));
        match holder {
            Some(name) => Ok(Some(Holder(name))),
            None => Err(refusal(path)),
        }
    }
}

fn refusal(path: &str) -> Fault {
    let message = format!("no valid key for {path}");
    let help = "send the header 'Authorization: Bearer KEY' with a key of this kind of route";
    Fault::not_run(Reason::Unauthorized, message, help)
}

/// Refuses a request without a valid key, before any of its body is read.
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
        Ok(holder) => {
            if let Some(holder) = holder {
                request.extensions_mut().insert(holder);
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
