//! Compares two configuration sets and describes each difference in one line.

use flamingo_wire::config::Set;
use flamingo_wire::workspace::{Quota, Workspace};
use serde::Serialize;
use serde_json::Value;
use std::collections::{BTreeMap, BTreeSet};

/// Returns the differences between `old` and `new`. Lines start with `+` for an added item,
/// `-` for a removed item and `~` for a changed field of an item.
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
///     anonymous: false,
/// });
/// assert_eq!(diff::lines(&old, &new), ["+ service rota"]);
/// ```
#[must_use]
pub fn lines(old: &Set, new: &Set) -> Vec<String> {
    let mut lines = Vec::new();
    compare("profile", &old.profiles, &new.profiles, &mut lines);
    compare("model", &old.models, &new.models, &mut lines);
    compare("service", &old.services, &new.services, &mut lines);
    compare_workspaces(&old.workspaces, &new.workspaces, &mut lines);
    lines
}

/// What a line may show of a workspace: everything but its keys.
#[derive(Serialize)]
struct Visible<'a> {
    name: &'a str,
    rank: Option<u8>,
    quota: Option<Quota>,
}

/// Adds one line for each change of a workspace. Of keys only the numbers are shown, since a digest tells a
/// reader nothing and identifies the key.
fn compare_workspaces(old: &[Workspace], new: &[Workspace], lines: &mut Vec<String>) {
    compare("workspace", &visible(old), &visible(new), lines);
    for workspace in new {
        let Some(before) = old.iter().find(|before| before.name == workspace.name) else {
            continue;
        };
        let before: BTreeSet<_> = before.keys.iter().collect();
        let after: BTreeSet<_> = workspace.keys.iter().collect();
        let (added, removed) = (
            after.difference(&before).count(),
            before.difference(&after).count(),
        );
        if added + removed > 0 {
            let name = &workspace.name;
            lines.push(format!(
                "~ workspace {name}: keys {added} added, {removed} removed"
            ));
        }
    }
}

fn visible(workspaces: &[Workspace]) -> Vec<Visible<'_>> {
    let visible = workspaces.iter().map(|workspace| Visible {
        name: &workspace.name,
        rank: workspace.rank,
        quota: workspace.quota,
    });
    visible.collect()
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
            Some(before) => compare_fields(&format!("~ {kind} {name}"), before, value, lines),
        }
    }
}

/// Adds one line for each field whose value differs. `prefix` names the item.
fn compare_fields(prefix: &str, old: &Value, new: &Value, lines: &mut Vec<String>) {
    let (Value::Object(old), Value::Object(new)) = (old, new) else {
        return;
    };
    for (field, value) in new {
        let before = old.get(field).unwrap_or(&Value::Null);
        if before != value {
            lines.push(format!("{prefix}: {field} {before} -> {value}"));
        }
    }
}

/// Maps the name of each item to its JSON value.
fn by_name<T: Serialize>(items: &[T]) -> BTreeMap<String, Value> {
    let values = items
        .iter()
        .filter_map(|item| serde_json::to_value(item).ok());
    values
        .filter_map(|value| Some((value["name"].as_str()?.to_owned(), value)))
        .collect()
}
