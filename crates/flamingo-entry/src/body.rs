//! A request's body, read within its bounds.

use actix_web::web::{Bytes, BytesMut, Payload};
use actix_web::{HttpRequest, http::header};
use flamingo_wire::Fault;
use flamingo_wire::fault::Reason;
use futures_util::StreamExt;
use std::time::{Duration, Instant};

/// Time in which a caller must have sent the whole body.
const PATIENCE: Duration = Duration::from_secs(10);

/// Reads the whole body, of at most `limit` bytes.
///
/// # Errors
///
/// Returns a fault where the body is too large, too slow or cut short.
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
    let deadline = Instant::now() + PATIENCE;
    let mut body = BytesMut::with_capacity(length.unwrap_or(0));
    loop {
        let chunk = tokio::time::timeout_at(deadline.into(), payload.next()).await;
        let Ok(chunk) = chunk else {
            let message = "the body did not arrive in time";
            return Err(invalid(message, "send the body at once"));
        };
        match chunk {
            None => return Ok(body.freeze()),
            Some(Ok(chunk)) if body.len() + chunk.len() > limit => return Err(too_large(limit)),
            Some(Ok(chunk)) => body.extend_from_slice(&chunk),
            Some(Err(error)) => {
                let message = format!("the body is broken: {error}");
                return Err(invalid(message, "send the whole body"));
            }
        }
    }
}

fn too_large(limit: usize) -> Fault {
    let message = format!("the body is larger than {limit} bytes");
    invalid(message, "send less, or raise 'body_bytes' in [serve]")
}

fn invalid(message: impl Into<String>, help: &str) -> Fault {
    Fault::not_run(Reason::Invalid, message, help)
}
