//! Which HTTP statuses a target may answer a request with.

use std::ops::Range;

/// Status code of an HTTP response, as it was sent.
pub type Code = u16;

/// Codes of final responses (RFC 9110, section 15). Those below are of interim responses, and the
/// protocol defines none above.
const FINAL: Range<Code> = 200..600;

/// Returns whether a response with this code answers a request. What has another one says nothing about
/// the request, so it is no answer, whatever else it holds.
///
/// ```
/// use flamingo_wire::status::is_final;
///
/// assert!(is_final(200) && is_final(599));
/// assert!(!is_final(101) && !is_final(600));
/// ```
#[must_use]
pub fn is_final(code: Code) -> bool {
    FINAL.contains(&code)
}
