//! Paths of calls to plain services.

use flamingo_wire::config::Service;

/// Takes the path after `/services/NAME` from a request's path, or `None` where a
/// server could read it as another path than the one that was checked.
///
/// ```
/// use flamingo_entry::path;
///
/// assert_eq!(path::inner("/services/rota/confirm"), Some("/confirm"));
/// assert_eq!(path::inner("/services/rota/availability/../confirm"), None);
/// assert_eq!(path::inner("/services/rota/availability/%2e%2e/confirm"), None);
/// ```
#[must_use]
pub fn inner(path: &str) -> Option<&str> {
    let rest = path.strip_prefix("/services/")?;
    let start = rest.find('/')?;
    let inner = &rest[start..];
    let lower = inner.to_ascii_lowercase();
    let lower = lower.replace("%2e", ".");
    let ambiguous = lower.contains("%2f")
        || lower.contains("%5c")
        || lower.contains('\\')
        || lower.contains(';')
        || lower.contains("//")
        || lower.split('/').any(|part| part == "." || part == "..");
    (!ambiguous).then_some(inner)
}

/// Returns whether a call of `path` may be repeated.
///
/// A call may be repeated only if its path is, or stands below, a path that the
/// service lists as idempotent.
#[must_use]
pub fn idempotent(service: &Service, path: &str) -> bool {
    service.idempotent.iter().any(|prefix| {
        let prefix = prefix.trim_end_matches('/');
        let rest = path.strip_prefix(prefix);
        rest.is_some_and(|rest| rest.is_empty() || rest.starts_with('/'))
    })
}
