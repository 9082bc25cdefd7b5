//! Faults as HTTP answers.

use actix_web::HttpResponse;
use actix_web::http::StatusCode;
use actix_web::http::header;
use flamingo_wire::Fault;
use flamingo_wire::Verdict;
use flamingo_wire::fault::Reason;
use serde::Serialize;

/// The JSON body of a refusal.
#[derive(Debug, Serialize)]
pub struct Body<'a> {
    /// What is wrong.
    pub error: Detail<'a>,
}

/// The refusal's parts.
#[derive(Debug, Serialize)]
pub struct Detail<'a> {
    /// What was wrong, and where.
    pub message: &'a str,
    /// Why, as a stable word.
    pub reason: Reason,
    /// Whether the request may have run.
    pub verdict: Verdict,
    /// What to do.
    pub help: &'a str,
    /// The request that was refused.
    pub request: &'a str,
}

/// Returns the HTTP status of a reason.
#[must_use]
pub fn status(reason: Reason) -> StatusCode {
    match reason {
        Reason::Invalid => StatusCode::BAD_REQUEST,
        Reason::Unauthorized => StatusCode::UNAUTHORIZED,
        Reason::Unknown => StatusCode::NOT_FOUND,
        Reason::Conflict => StatusCode::CONFLICT,
        Reason::Reused => StatusCode::UNPROCESSABLE_ENTITY,
        Reason::Overloaded | Reason::Late => StatusCode::TOO_MANY_REQUESTS,
        Reason::Target => StatusCode::BAD_GATEWAY,
        Reason::Leaderless | Reason::Redirect | Reason::Stopping | Reason::Storage => {
            StatusCode::SERVICE_UNAVAILABLE
        }
    }
}

/// Builds the HTTP answer of a fault.
#[must_use]
pub fn refuse(fault: &Fault, request: &str) -> HttpResponse {
    let mut answer = HttpResponse::build(status(fault.reason));
    if let Some(seconds) = fault.retry_after {
        answer.insert_header((header::RETRY_AFTER, seconds.to_string()));
    }
    answer.insert_header(("x-request-id", request));
    answer.json(Body {
        error: Detail {
            message: &fault.message,
            reason: fault.reason,
            verdict: fault.verdict,
            help: &fault.help,
            request,
        },
    })
}
