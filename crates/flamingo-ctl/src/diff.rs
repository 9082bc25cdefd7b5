//! What one set changes against another, a line each.

use flamingo_wire::config::Set;
use serde::Serialize;
use serde_json::Value;
use std::collections::BTreeMap;

/// Returns what `new` changes against `old`: `+` added, `-` removed, `~` changed.
///
/// ```
/// use flamingo_ctl::diff;
/// use flamingo_wire::config::{Service, Set};
/// use std::time::Duration;
///
/// let old = Set::default();
/// let mut new = Set::default();
/// new.services.push(Service {
///     name: "rota".into(),
///     idempotent: vec![],
///     concurrency: 8,
///     max_wait: Duration::from_secs(1),
/// });
/// assert_eq!(diff::lines(&old, &new), ["+ service rota"]);
/// ```
#[must_use]
pub fn lines(old: &Set, new: &Set) -> Vec<String> {
    let mut lines = Vec::new();
    compare("profile", &old.profiles, &new.profiles, &mut lines);
    compare("model", &old.models, &new.models, &mut lines);
    compare("service", &old.services, &new.services, &mut lines);
    lines
}

fn compare<T: Serialize>(kind: &str, old: &[T], new: &[T], lines: &mut Vec<String>) {
    let old = by_name(old);
    let new = by_name(new);
    for name in old.keys().filter(|name| !new.contains_key(*name)) {
        lines.push(format!("- {kind} {name}"));
    }
    for (name, value) in &new {
        match old.get(name) {
            None => lines.push(format!("+ {kind} {name}")),
            Some(before) => fields(&format!("~ {kind} {name}"), before, value, lines),
        }
    }
}

/// Lists the fields that differ.
fn fields(head: &str, old: &Value, new: &Value, lines: &mut Vec<String>) {
    let (Value::Object(old), Value::Object(new)) = (old, new) else {
        return;
    };
    for (field, value) in new {
        let before = old.get(field).unwrap_or(&Value::Null);
        if before != value {
            lines.push(format!("{head}: {field} {before} -> {value}"));
        }
    }
}

fn by_name<T: Serialize>(items: &[T]) -> BTreeMap<String, Value> {
    let values = items
        .iter()
        .filter_map(|item| serde_json::to_value(item).ok());
    values
        .filter_map(|value| Some((value["name"].as_str()?.to_owned(), value)))
        .collect()
}
