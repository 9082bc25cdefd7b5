//! The sections `[workspace NAME]`. They hold digests of keys, so that no file and no message has a key.

use super::RANK;
use crate::Reader;
use crate::reader::{NAME, is_name};
use flamingo_wire::id;
use flamingo_wire::workspace::{self, KeyDigest, Quota, Unit, Workspace};
use std::fmt::Write;
use std::str::FromStr;

/// Beginning of the names of the sections.
pub(super) const PREFIX: &str = "workspace ";
const KEYS: &str = "SHA-256 digests of keys, 64 hexadecimal digits each, separated by commas";
const FIGURE: &str = "a number from 0";

/// Reads all workspaces, and reports what can't be applied.
pub(super) fn read(reader: &mut Reader) -> Vec<Workspace> {
    let names = reader.sections(PREFIX).into_iter();
    let workspaces: Vec<_> = names.map(|name| read_one(reader, name)).collect();
    for problem in workspace::problems(&workspaces) {
        let allowed = "a name and keys that no other workspace has";
        reader.problem(PREFIX.trim_end(), "", &problem, allowed);
    }
    workspaces
}

/// Returns why these workspaces can't be applied; empty where they can.
pub(super) fn problems(workspaces: &[Workspace]) -> Vec<String> {
    let mut problems = workspace::problems(workspaces);
    let names = workspaces.iter().map(|workspace| &workspace.name);
    // An empty name is among the problems already.
    for name in names.filter(|name| !name.is_empty() && !is_name(name)) {
        let name = name.escape_debug();
        problems.push(format!("workspace '{name}': expected a name of {NAME}"));
    }
    problems
}

fn read_one(reader: &mut Reader, name: id::Workspace) -> Workspace {
    let section = format!("{PREFIX}{name}");
    let keys = keys(reader, &section);
    let rank = optional(reader, &section, "rank", RANK);
    let unit = reader.or(&section, "unit", Unit::default(), "requests or tokens");
    let per_s = figure(reader, &section, "rate");
    let burst = figure(reader, &section, "burst");
    let plain_units = figure(reader, &section, "plain_cost");
    let mut has = |key| reader.raw(&section, key).is_some();
    if !has("rate") && ["unit", "burst", "plain_cost"].into_iter().any(has) {
        reader.problem(&section, "rate", "missing", FIGURE);
    }
    let quota = per_s.map(|per_s| Quota {
        unit,
        per_s,
        burst: burst.unwrap_or_default(),
        plain_units: plain_units.unwrap_or_default(),
    });
    Workspace {
        name,
        keys,
        rank,
        quota,
    }
}

/// Reads the digests of keys. A message names the position of an invalid one and not its text, which may
/// be a key.
fn keys(reader: &mut Reader, section: &str) -> Vec<KeyDigest> {
    let text = reader.raw(section, "keys").unwrap_or_default();
    let items = text
        .split(',')
        .map(str::trim)
        .filter(|item| !item.is_empty());
    let mut keys = Vec::new();
    for (index, item) in items.enumerate() {
        match item.parse() {
            Ok(key) => keys.push(key),
            Err(problem) => {
                let seen = format!("number {}: {problem}", index + 1);
                reader.problem(section, "keys", &seen, KEYS);
            }
        }
    }
    keys
}

fn figure(reader: &mut Reader, section: &str, key: &str) -> Option<f64> {
    let figure: f64 = optional(reader, section, key, FIGURE)?;
    if figure.is_finite() && figure >= 0.0 {
        return Some(figure);
    }
    reader.problem(section, key, &format!("'{figure}'"), FIGURE);
    None
}

fn optional<T: FromStr>(reader: &mut Reader, section: &str, key: &str, allowed: &str) -> Option<T> {
    reader.raw(section, key)?;
    reader.need(section, key, allowed)
}

/// Writes one workspace.
pub(super) fn write(out: &mut String, workspace: &Workspace) -> std::fmt::Result {
    writeln!(out, "\n[{PREFIX}{}]", workspace.name)?;
    let keys: Vec<_> = workspace
        .keys
        .iter()
        .map(|key| format!("{key:x}"))
        .collect();
    writeln!(out, "keys = {}", keys.join(", "))?;
    if let Some(rank) = workspace.rank {
        writeln!(out, "rank = {rank}")?;
    }
    if let Some(quota) = workspace.quota {
        writeln!(out, "unit = {}", quota.unit)?;
        writeln!(out, "rate = {}", quota.per_s)?;
        writeln!(out, "burst = {}", quota.burst)?;
        writeln!(out, "plain_cost = {}", quota.plain_units)?;
    }
    Ok(())
}
