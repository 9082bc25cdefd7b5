//! HTTP responses for faults.

use actix_web::HttpResponse;
use actix_web::http::StatusCode;
use actix_web::http::header;
use flamingo_wire::Fault;
use flamingo_wire::Verdict;
use flamingo_wire::fault::Reason;
use serde::Serialize;

/// JSON body of an error response.
#[derive(Debug, Serialize)]
pub struct Body<'a> {
    /// The error.
    pub error: Detail<'a>,
}

/// Details of an error response.
#[derive(Debug, Serialize)]
pub struct Detail<'a> {
    /// Description of the problem and where it occurred.
    pub message: &'a str,
    /// Reason of the refusal, as a stable word for programs.
    pub reason: Reason,
    /// Whether the request may have run.
    pub verdict: Verdict,
    /// Advice on how to solve the problem.
    pub help: &'a str,
    /// Identity of the refused request; empty where it has none.
    pub request: &'a str,
}

/// Returns the HTTP status for a reason.
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

/// Returns the HTTP response for a fault; `request` is the identity of the refused request.
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
