//! Reads request bodies within bounds of size and time.

use actix_web::web::{Bytes, BytesMut, Payload};
use actix_web::{HttpRequest, http::header};
use flamingo_wire::Fault;
use flamingo_wire::fault::Reason;
use futures_util::StreamExt;
use std::time::{Duration, Instant};

/// Longest time that a caller may take to send the body.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);

/// Reads the whole body, of at most `limit` bytes.
///
/// # Errors
///
/// Returns a fault if the body is larger than `limit`, takes longer than `BODY_TIMEOUT` or breaks
/// off.
pub async fn read(
    request: &HttpRequest,
    mut payload: Payload,
    limit: usize,
) -> Result<Bytes, Fault> {
    let length = request.headers().get(header::CONTENT_LENGTH);
    let length = length.and_then(|length| length.to_str().ok()?.parse::<usize>().ok());
    if length.is_some_and(|length| length > limit) {
        return Err(too_large(limit));
    }
    let deadline = Instant::now() + BODY_TIMEOUT;
    let mut body = BytesMut::with_capacity(length.unwrap_or(0));
    loop {
        let chunk = tokio::time::timeout_at(deadline.into(), payload.next()).await;
        let Ok(chunk) = chunk else {
            let message = "the body did not arrive within the time limit";
            return Err(invalid_body(message, "send the body without pauses"));
        };
        match chunk {
            None => return Ok(body.freeze()),
            Some(Ok(chunk)) if body.len() + chunk.len() > limit => return Err(too_large(limit)),
            Some(Ok(chunk)) => body.extend_from_slice(&chunk),
            Some(Err(error)) => {
                let message = format!("reading the body failed: {error}");
                return Err(invalid_body(message, "send the whole body"));
            }
        }
    }
}

fn too_large(limit: usize) -> Fault {
    let message = format!("the body is larger than {limit} bytes");
    invalid_body(message, "send less, or raise 'body_bytes' in [serve]")
}

fn invalid_body(message: impl Into<String>, help: &str) -> Fault {
    Fault::not_run(Reason::Invalid, message, help)
}
