//! Which workspace a caller's request belongs to, by the key that it sends.

use crate::http::AppState;
use crate::worker_state::Config;
use actix_web::http::header::{self, HeaderValue};
use actix_web::{HttpRequest, HttpResponse};
use flamingo_daemon::{answer, clock};
use flamingo_guard::authentication::{Decision, decide, key};
use flamingo_wire::Fault;
use flamingo_wire::fault::Reason;
use flamingo_wire::workspace::Workspace;
use slog::info;
use std::sync::Arc;

/// Number of seconds after which a caller retries at an entry that may lack a newer configuration. An entry
/// reaches another control instance within this time unless several are lost.
const RETRY_AFTER_SECS: u32 = 1;
const HELP: &str = "send the header 'Authorization: Bearer KEY' with a key of a workspace";

impl AppState {
    /// Returns the workspace that a request belongs to, by the key that it sends; `None` for a caller that
    /// needs no key. `anonymous` says that what the request asks for is open to anyone.
    ///
    /// # Errors
    ///
    /// Returns the refusal of a request that its key does not admit.
    pub fn authenticate(
        &self,
        config: &Config,
        request: &HttpRequest,
        anonymous: bool,
    ) -> Result<Option<Arc<Workspace>>, Fault> {
        let Some(keys) = &config.keys else {
            // Without control instances no configuration ever comes, and none can have workspaces.
            if config.snapshot.version == 0 && self.has_controls {
                let message = "no configuration is in force yet, which may require a key";
                return Err(unsure(message));
            }
            return Ok(None);
        };
        let values = request.headers().get_all(header::AUTHORIZATION);
        let key = key(values.map(HeaderValue::as_bytes));
        let hears_leader = self.worker_state.hears_leader(clock::now());
        let decision = decide(keys, key.as_ref(), anonymous, hears_leader);
        let name: &str = decision.into();
        self.metrics.authenticated.with_label_values(&[name]).inc();
        match decision {
            Decision::Allowed(workspace) => Ok(workspace.cloned()),
            Decision::Unknown => {
                let message = format!("no valid key for {}", request.path());
                Err(Fault::not_run(Reason::Unauthorized, message, HELP))
            }
            Decision::Unsure => Err(unsure(
                "the key is unknown here, and no leader was heard for two seconds: a newer configuration \
                 may have it",
            )),
        }
    }

    /// Logs a request that its key does not admit, and builds the response.
    #[must_use]
    pub fn refuse_key(&self, config: &Config, fault: &Fault, id: &str) -> HttpResponse {
        let reason: &str = fault.reason.into();
        info!(self.log, "not authenticated"; "request" => id, "reason" => reason,
            "limit" => "key", "version" => config.snapshot.version);
        self.metrics.refused.with_label_values(&[reason]).inc();
        let mut response = answer::refuse(fault, id);
        if fault.reason == Reason::Unauthorized {
            // RFC 9110, section 11.6.1, requires the scheme in each 401.
            let scheme = HeaderValue::from_static("Bearer");
            response
                .headers_mut()
                .insert(header::WWW_AUTHENTICATE, scheme);
        }
        response
    }
}

fn unsure(message: &str) -> Fault {
    Fault::not_run(Reason::Leaderless, message, "retry the request").retry_after(RETRY_AFTER_SECS)
}
