//! Checks a set of routes before it is sent: entries that have no effect, limits that contradict each
//! other, and what differs from another set.
//!
//! What [`Set::problems`] names keeps a set from being applied. The findings of this module don't: such
//! a set is valid, but some of it can't do what its author expects.

use crate::route::{Engine, Kind, Route, Service, Set};
use crate::workspace::{Quota, Workspace};
use serde::Serialize;
use std::collections::{BTreeMap, BTreeSet};
use std::fmt::{Display, Write};
use strum::IntoStaticStr;

/// How serious a finding is.
#[derive(
    Clone, Copy, Debug, strum::Display, Eq, IntoStaticStr, Ord, PartialEq, PartialOrd, Serialize,
)]
#[serde(rename_all = "lowercase")]
#[strum(serialize_all = "lowercase")]
pub enum Severity {
    /// The set is valid, but the entry has no effect or contradicts another one.
    Warning,
    /// The set will be refused.
    Error,
}

/// Something that is wrong with an entry of a set.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct Finding {
    /// How serious it is.
    pub severity: Severity,
    /// The entry, such as `route 'a'`.
    pub entry: String,
    /// What is wrong.
    pub text: String,
}

/// A difference between two sets.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Change {
    /// The entry, such as `route 'a'`.
    pub entry: String,
    /// What differs.
    pub text: String,
}

/// Returns what is wrong with a set, errors first. Errors are exactly what keeps the set from being
/// applied.
///
/// ```
/// use flamingo_wire::lint::{Severity, findings};
/// use flamingo_wire::route::{Route, Set};
///
/// let set = Set { routes: vec![Route::default()], ..Set::default() };
/// assert_eq!(findings(&set)[0].severity, Severity::Error);
/// ```
#[must_use]
pub fn findings(set: &Set) -> Vec<Finding> {
    let errors = set.problems().into_iter().map(|text| Finding {
        severity: Severity::Error,
        entry: "set".to_owned(),
        text,
    });
    let mut findings: Vec<Finding> = errors.collect();
    for route in &set.routes {
        warn(&mut findings, &route_entry(route), route_warnings(route));
    }
    for service in &set.services {
        let warnings = service_warnings(service, &set.routes);
        warn(&mut findings, &service_entry(service), warnings);
    }
    for workspace in set.workspaces.iter().flatten() {
        let warnings = workspace_warnings(workspace);
        warn(&mut findings, &workspace_entry(workspace), warnings);
    }
    warn(&mut findings, "limits", limit_warnings(set));
    findings
}

fn warn(findings: &mut Vec<Finding>, entry: &str, texts: Vec<String>) {
    findings.extend(texts.into_iter().map(|text| Finding {
        severity: Severity::Warning,
        entry: entry.to_owned(),
        text,
    }));
}

fn route_warnings(route: &Route) -> Vec<String> {
    let mut texts = Vec::new();
    if route.host.is_empty() {
        texts.push("matches no request: the host is empty".to_owned());
    }
    if !route.prefix.starts_with('/') {
        let prefix = &route.prefix;
        texts.push(format!(
            "matches no request: the prefix '{prefix}' does not begin with a slash"
        ));
    }
    for share in route.shares.iter().filter(|share| share.weight == 0) {
        let service = &share.service;
        texts.push(format!(
            "service '{service}' gets no request: its weight is 0"
        ));
    }
    if route.timeout_ms > 0 && route.timeout_ms < route.objective_ms {
        let (timeout, objective) = (route.timeout_ms, route.objective_ms);
        texts.push(format!(
            "the timeout of {timeout} ms ends before the objective of {objective} ms"
        ));
    }
    if route.attempts == 0 {
        texts.push("serves no request: it allows no attempt".to_owned());
    }
    if route.resumable && route.kind != Kind::Stream {
        let kind = route.kind;
        texts.push(format!("is resumable, which has no effect for kind {kind}"));
    }
    texts
}

fn service_warnings(service: &Service, routes: &[Route]) -> Vec<String> {
    let mut texts = Vec::new();
    let mut shares = routes.iter().flat_map(|route| &route.shares);
    if !shares.any(|share| share.service == service.name && share.weight > 0) {
        texts.push("gets no request: no route leads to it".to_owned());
    }
    if service.connections == 0 {
        texts.push("can't be reached: its targets accept no connection".to_owned());
    }
    if let Some(engine) = &service.engine {
        texts.extend(engine_warnings(engine));
    }
    texts
}

fn engine_warnings(engine: &Engine) -> Vec<String> {
    let mut texts = Vec::new();
    if engine.slots == 0 {
        texts.push("its engines run no request: they have no slot".to_owned());
    }
    let mut names = BTreeSet::new();
    for model in &engine.models {
        let name = &model.name;
        if !names.insert(name) {
            texts.push(format!("model '{name}' is listed twice"));
        }
        if model.megabytes > engine.megabytes {
            let (size, room) = (model.megabytes, engine.megabytes);
            texts.push(format!(
                "model '{name}' of {size} MB is larger than an engine of {room} MB"
            ));
        }
        if model.adapters > 0 && engine.adapters == 0 {
            texts.push(format!(
                "model '{name}' has adapters, but an engine has no place for one"
            ));
        }
    }
    if !engine.models.is_empty() && engine.loads_per_s <= 0.0 {
        texts.push("no model can be loaded: the store allows no load".to_owned());
    }
    texts
}

fn workspace_warnings(workspace: &Workspace) -> Vec<String> {
    let mut texts = Vec::new();
    if workspace.keys.is_empty() {
        texts.push("has no key, so that it has no callers".to_owned());
    }
    let Some(quota) = &workspace.quota else {
        return texts;
    };
    if quota.burst < quota.plain_units {
        let (burst, units) = (quota.burst, quota.plain_units);
        texts.push(format!(
            "the burst of {burst} is below the {units} that a request without token counts uses"
        ));
    }
    texts
}

fn limit_warnings(set: &Set) -> Vec<String> {
    let limits = &set.limits;
    let zero = [
        (limits.head_bytes == 0, "head bytes"),
        (limits.head_ms == 0, "time for a head"),
        (limits.idle_ms == 0, "idle time"),
    ];
    let zero = zero.into_iter().filter(|(is_zero, _)| *is_zero);
    zero.map(|(_, name)| format!("no request can be received: the {name} allowed is 0"))
        .collect()
}

/// Returns how `new` differs from `old`, by the names of the entries.
///
/// ```
/// use flamingo_wire::lint::changes;
/// use flamingo_wire::route::{Route, Set};
///
/// let old = Set::default();
/// let route = Route { name: "a".into(), ..Route::default() };
/// let new = Set { routes: vec![route], ..Set::default() };
/// assert_eq!(changes(&old, &new)[0].text, "added");
/// ```
#[must_use]
pub fn changes(old: &Set, new: &Set) -> Vec<Change> {
    let mut changes = Vec::new();
    compare(
        &mut changes,
        &entries(&old.routes, route_entry, route_fields),
        &entries(&new.routes, route_entry, route_fields),
    );
    compare(
        &mut changes,
        &entries(&old.services, service_entry, service_fields),
        &entries(&new.services, service_entry, service_fields),
    );
    let workspaces = |set: &Set| {
        let workspaces = set.workspaces.as_deref().unwrap_or_default();
        entries(workspaces, workspace_entry, workspace_fields)
    };
    compare(&mut changes, &workspaces(old), &workspaces(new));
    let limits = |set: &Set| BTreeMap::from([("limits".to_owned(), limit_fields(set))]);
    compare(&mut changes, &limits(old), &limits(new));
    changes
}

/// The values of an entry that are compared, by the name of the field.
type Fields = BTreeMap<String, String>;

fn entries<T>(
    list: &[T],
    entry: impl Fn(&T) -> String,
    fields: impl Fn(&T) -> Fields,
) -> BTreeMap<String, Fields> {
    list.iter()
        .map(|item| (entry(item), fields(item)))
        .collect()
}

fn compare(
    changes: &mut Vec<Change>,
    old: &BTreeMap<String, Fields>,
    new: &BTreeMap<String, Fields>,
) {
    let names: BTreeSet<&String> = old.keys().chain(new.keys()).collect();
    for name in names {
        let texts = match (old.get(name), new.get(name)) {
            (None, _) => vec!["added".to_owned()],
            (_, None) => vec!["removed".to_owned()],
            (Some(old), Some(new)) => field_changes(old, new),
        };
        changes.extend(texts.into_iter().map(|text| Change {
            entry: name.clone(),
            text,
        }));
    }
}

fn field_changes(old: &Fields, new: &Fields) -> Vec<String> {
    let names: BTreeSet<&String> = old.keys().chain(new.keys()).collect();
    let changed = names.into_iter().filter_map(|name| {
        let (old, new) = (old.get(name), new.get(name));
        match (old, new) {
            (Some(old), Some(new)) if old == new => None,
            (Some(old), Some(new)) => Some(format!("{name}: {old} -> {new}")),
            (None, Some(new)) => Some(format!("{name}: {new} added")),
            (Some(old), None) => Some(format!("{name}: {old} removed")),
            (None, None) => None,
        }
    });
    changed.collect()
}

fn route_entry(route: &Route) -> String {
    format!("route '{}'", route.name)
}

fn service_entry(service: &Service) -> String {
    format!("service '{}'", service.name)
}

fn workspace_entry(workspace: &Workspace) -> String {
    format!("workspace '{}'", workspace.name)
}

fn field(name: &str, value: &dyn Display) -> (String, String) {
    (name.to_owned(), value.to_string())
}

fn route_fields(route: &Route) -> Fields {
    let shares: Vec<String> = route
        .shares
        .iter()
        .map(|share| format!("{}:{}", share.service, share.weight))
        .collect();
    Fields::from([
        field("host", &route.host),
        field("prefix", &route.prefix),
        field("kind", &route.kind),
        field("timeout ms", &route.timeout_ms),
        field("objective ms", &route.objective_ms),
        field("pause ms", &route.pause_ms),
        field("rank", &route.rank),
        field("attempts", &route.attempts),
        field("sticky", &route.sticky),
        field("resumable", &route.resumable),
        field("anonymous", &route.anonymous),
        field("shares", &shares.join(", ")),
    ])
}

fn service_fields(service: &Service) -> Fields {
    let mut fields = Fields::from([field("connections", &service.connections)]);
    let Some(engine) = &service.engine else {
        return fields;
    };
    fields.extend([
        field("slots", &engine.slots),
        field("cache tokens", &engine.tokens),
        field("megabytes", &engine.megabytes),
        field("adapter places", &engine.adapters),
        field("loads per s", &engine.loads_per_s),
        field("disk megabytes", &engine.disk_megabytes),
        field("memory megabytes", &engine.memory_megabytes),
    ]);
    fields.extend(engine.models.iter().map(|model| {
        let value = format!(
            "{} MB, load {} s (disk {} s, memory {} s), {} adapters of {} MB",
            model.megabytes,
            model.load_s,
            model.disk_s,
            model.memory_s,
            model.adapters,
            model.adapter_megabytes
        );
        field(&format!("model '{}'", model.name), &value)
    }));
    fields
}

fn workspace_fields(workspace: &Workspace) -> Fields {
    let rank = workspace
        .rank
        .map_or("of the route".into(), |rank| rank.to_string());
    let quota = workspace.quota.as_ref().map_or("none".into(), quota_text);
    // The order of keys has no meaning. A key is named by a part of its digest only.
    let keys: BTreeSet<String> = workspace
        .keys
        .iter()
        .map(|key| key_text(key.as_bytes()))
        .collect();
    let keys: Vec<String> = keys.into_iter().collect();
    Fields::from([
        field("rank", &rank),
        field("quota", &quota),
        field("key digests", &keys.join(", ")),
    ])
}

fn quota_text(quota: &Quota) -> String {
    format!(
        "{} per s, burst {}, {:?}, {} without counts",
        quota.per_s, quota.burst, quota.unit, quota.plain_units
    )
}

/// Number of bytes of a key's digest that name the key.
const KEY_NAME_BYTES: usize = 4;

fn key_text(digest: &[u8]) -> String {
    let bytes = digest.iter().take(KEY_NAME_BYTES);
    bytes.fold(String::new(), |mut text, byte| {
        // Writing to a string does not fail.
        let _ = write!(text, "{byte:02x}");
        text
    })
}

fn limit_fields(set: &Set) -> Fields {
    let limits = &set.limits;
    Fields::from([
        field("head bytes", &limits.head_bytes),
        field("body bytes", &limits.body_bytes),
        field("head ms", &limits.head_ms),
        field("idle ms", &limits.idle_ms),
        field("keys needed", &set.workspaces.is_some()),
    ])
}
