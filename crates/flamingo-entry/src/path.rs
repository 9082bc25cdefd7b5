//! Checks the paths of calls to plain services.

use flamingo_wire::config::Service;

/// Returns the part of a request's path after `/services/NAME`, which is the path at the service.
///
/// Returns `None` for a path of another form, and for an ambiguous path: the service could decode
/// or normalize it to a path other than the one that was checked for idempotency.
///
/// ```
/// use flamingo_entry::path;
///
/// assert_eq!(path::service_path("/services/rota/confirm"), Some("/confirm"));
/// assert_eq!(path::service_path("/services/rota/availability/../confirm"), None);
/// assert_eq!(path::service_path("/services/rota/availability/%2e%2e/confirm"), None);
/// ```
#[must_use]
pub fn service_path(path: &str) -> Option<&str> {
    let rest = path.strip_prefix("/services/")?;
    let start = rest.find('/')?;
    let service_path = &rest[start..];
    let lower = service_path.to_ascii_lowercase();
    let lower = lower.replace("%2e", ".");
    let ambiguous = lower.contains("%2f")
        || lower.contains("%5c")
        || lower.contains('\\')
        || lower.contains(';')
        || lower.contains("//")
        || lower.split('/').any(|part| part == "." || part == "..");
    (!ambiguous).then_some(service_path)
}

/// Returns whether a call of `path` is idempotent and may be retried: whether the path equals, or
/// is below, a path that the service lists as idempotent.
#[must_use]
pub fn is_idempotent(service: &Service, path: &str) -> bool {
    service.idempotent.iter().any(|prefix| {
        let prefix = prefix.trim_end_matches('/');
        let rest = path.strip_prefix(prefix);
        rest.is_some_and(|rest| rest.is_empty() || rest.starts_with('/'))
    })
}
