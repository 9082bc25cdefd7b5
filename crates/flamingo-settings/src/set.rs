//! The configuration of profiles, models and services that operators edit, as INI.
//!
//! Sections are `[profile NAME]`, `[model NAME]`, `[adapter NAME]` (with the
//! key `model`), `[service NAME]`, `[placement]` and `[workspace NAME]`.

mod workspace;

use crate::reader::{NAME, is_name};
use crate::{Error, Reader};
use flamingo_wire::config::{Adapter, LatePolicy, Model, Placement, Profile, Service, Set};
use flamingo_wire::id;
use std::fmt::Write;
use std::path::Path;
use std::time::Duration;

/// Default number of concurrent requests on one replica of a service.
const CONCURRENCY_DEFAULT: u64 = 8;
const CONCURRENCY_MAX: u64 = 65_536;
const PREFIXES: [&str; 5] = [
    "profile ",
    "model ",
    "adapter ",
    "service ",
    workspace::PREFIX,
];
const MILLIS: &str = "a whole number of milliseconds from 1 to 86400000";
const MEBIBYTES: &str = "a whole number of MiB";
const RANK: &str = "a whole number from 0 (most urgent) to 255";
const BOOLEAN: &str = "true or false";

/// Reads the configuration in the file at `path`.
///
/// # Errors
///
/// Returns all problems of the file.
pub fn open(path: &Path) -> Result<Set, Error> {
    let text = std::fs::read_to_string(path)
        .map_err(|error| Error::File(path.to_owned(), error.to_string()))?;
    parse(path, &text)
}

/// Reads the configuration in `text`, the content of the file `path`.
///
/// # Errors
///
/// Returns all problems of the text.
///
/// ```
/// use flamingo_settings::set;
/// use std::path::Path;
///
/// let text = "[model notes]\nweights = 8000\ncache = 2000\n";
/// let set = set::parse(Path::new("set.ini"), text).unwrap();
/// assert_eq!(set.models[0].footprint(), 10_000);
/// ```
pub fn parse(path: &Path, text: &str) -> Result<Set, Error> {
    let mut reader = Reader::parse(path, text)?;
    let set = read(&mut reader);
    reader.finish(Some(set))
}

fn read(reader: &mut Reader) -> Set {
    report_invalid_names(reader);
    let profiles = reader.sections("profile ");
    let profiles = profiles
        .into_iter()
        .filter_map(|name| profile(reader, name))
        .collect();
    let models = reader.sections("model ");
    let mut models: Vec<_> = models
        .into_iter()
        .filter_map(|name| model(reader, name))
        .collect();
    for name in reader.sections("adapter ") {
        adapter(reader, name, &mut models);
    }
    let services = reader.sections("service ");
    let services = services
        .into_iter()
        .filter_map(|name| service(reader, name))
        .collect();
    let placement = placement(reader);
    let workspaces = workspace::read(reader);
    Set {
        profiles,
        models,
        services,
        placement,
        workspaces,
    }
}

fn placement(reader: &mut Reader) -> Placement {
    let default = Placement::default();
    Placement {
        attainment_weight: weight(reader, "attainment_weight", default.attainment_weight, 0),
        moves_weight: weight(reader, "moves_weight", default.moves_weight, 0),
        moves_per_hour: weight(reader, "moves_per_hour", default.moves_per_hour, 0),
        loads_per_second: weight(reader, "loads_per_second", default.loads_per_second, 1),
        loads_at_once: weight(reader, "loads_at_once", default.loads_at_once, 1),
        tokens_per_copy: weight(reader, "tokens_per_copy", default.tokens_per_copy, 1),
    }
}

fn weight(reader: &mut Reader, key: &str, default: u32, min: u32) -> u32 {
    let allowed = format!("a whole number from {min} to 1000000");
    let value = reader.or("placement", key, default, &allowed);
    if !(min..=1_000_000).contains(&value) {
        reader.problem("placement", key, &format!("'{value}'"), &allowed);
    }
    value
}

/// Reports sections whose name is not valid.
fn report_invalid_names(reader: &mut Reader) {
    for prefix in PREFIXES {
        for name in reader.sections(prefix) {
            if !is_name(&name) {
                reader.problem(&format!("{prefix}{name}"), "", "an invalid name", NAME);
            }
        }
    }
}

/// Returns why a configuration that did not come from a file can't be applied; empty where it can.
/// Covers workspaces only: what else [`parse`] reports can't do harm where an instance checks it later.
///
/// ```
/// use flamingo_settings::set;
/// use flamingo_wire::config::Set;
/// use flamingo_wire::workspace::Workspace;
///
/// let unnamed = Set { workspaces: vec![Workspace::default()], ..Set::default() };
/// assert!(set::problems(&Set::default()).is_empty());
/// assert!(!set::problems(&unnamed).is_empty());
/// ```
#[must_use]
pub fn problems(set: &Set) -> Vec<String> {
    workspace::problems(&set.workspaces)
}

/// Formats a configuration as INI text, from which [`parse`] returns an equal configuration.
///
/// ```
/// use flamingo_settings::set;
/// use std::path::Path;
///
/// let text = "[model notes]\nweights = 8000\ncache = 2000\n";
/// let set = set::parse(Path::new("set.ini"), text).unwrap();
/// let again = set::parse(Path::new("set.ini"), &set::format(&set)).unwrap();
/// assert_eq!(set, again);
/// ```
#[must_use]
pub fn format(set: &Set) -> String {
    let mut text = String::new();
    for profile in &set.profiles {
        // Writing to a String can't fail.
        let _ = write_profile(&mut text, profile);
    }
    for model in &set.models {
        let _ = write_model(&mut text, model);
    }
    for service in &set.services {
        let _ = write_service(&mut text, service);
    }
    let _ = write_placement(&mut text, &set.placement);
    for workspace in &set.workspaces {
        let _ = workspace::write(&mut text, workspace);
    }
    text
}

fn write_profile(out: &mut String, profile: &Profile) -> std::fmt::Result {
    writeln!(out, "[profile {}]", profile.name)?;
    writeln!(out, "rank = {}", profile.rank)?;
    writeln!(out, "first_token_ms = {}", profile.first_token.as_millis())?;
    writeln!(
        out,
        "between_tokens_ms = {}",
        profile.between_tokens.as_millis()
    )?;
    writeln!(out, "patience_ms = {}", profile.max_wait.as_millis())?;
    writeln!(out, "late = {}\n", profile.late_policy)
}

fn write_model(out: &mut String, model: &Model) -> std::fmt::Result {
    writeln!(out, "[model {}]", model.name)?;
    writeln!(out, "version = {}", model.version)?;
    writeln!(out, "weights = {}", model.weights)?;
    writeln!(out, "cache = {}", model.cache)?;
    writeln!(out, "copies = {}", model.copies)?;
    writeln!(out, "importance = {}", model.importance)?;
    write_anonymous(out, model.anonymous)?;
    writeln!(out)?;
    for adapter in &model.adapters {
        writeln!(out, "[adapter {}]", adapter.name)?;
        writeln!(out, "model = {}", model.name)?;
        writeln!(out, "memory = {}\n", adapter.memory)?;
    }
    Ok(())
}

fn write_service(out: &mut String, service: &Service) -> std::fmt::Result {
    writeln!(out, "[service {}]", service.name)?;
    if !service.idempotent.is_empty() {
        writeln!(out, "idempotent = {}", service.idempotent.join(", "))?;
    }
    writeln!(out, "concurrency = {}", service.concurrency)?;
    writeln!(out, "patience_ms = {}", service.max_wait.as_millis())?;
    write_anonymous(out, service.anonymous)?;
    writeln!(out)
}

fn write_anonymous(out: &mut String, anonymous: bool) -> std::fmt::Result {
    if anonymous {
        writeln!(out, "anonymous = true")?;
    }
    Ok(())
}

fn write_placement(out: &mut String, placement: &Placement) -> std::fmt::Result {
    writeln!(out, "[placement]")?;
    writeln!(out, "attainment_weight = {}", placement.attainment_weight)?;
    writeln!(out, "moves_weight = {}", placement.moves_weight)?;
    writeln!(out, "moves_per_hour = {}", placement.moves_per_hour)?;
    writeln!(out, "loads_per_second = {}", placement.loads_per_second)?;
    writeln!(out, "loads_at_once = {}", placement.loads_at_once)?;
    writeln!(out, "tokens_per_copy = {}", placement.tokens_per_copy)
}

fn profile(reader: &mut Reader, name: id::Profile) -> Option<Profile> {
    let section = format!("profile {name}");
    let rank = reader.need(&section, "rank", RANK);
    let first_token = millis(reader, &section, "first_token_ms", None);
    let between_tokens = millis(reader, &section, "between_tokens_ms", None);
    let max_wait = millis(
        reader,
        &section,
        "patience_ms",
        Some(Duration::from_mins(1)),
    );
    let late_policy = reader.or(&section, "late", LatePolicy::Serve, "refuse or serve");
    Some(Profile {
        name,
        rank: rank?,
        first_token: first_token?,
        between_tokens: between_tokens?,
        max_wait: max_wait?,
        late_policy,
    })
}

fn model(reader: &mut Reader, name: id::Model) -> Option<Model> {
    let section = format!("model {name}");
    let version = reader.or(&section, "version", 1, "a whole number");
    let weights = reader.need(&section, "weights", MEBIBYTES);
    let cache = reader.need(&section, "cache", MEBIBYTES);
    let copies = reader.or(&section, "copies", 1, "a whole number from 1");
    let importance = reader.or(&section, "importance", 1, "a whole number");
    let anonymous = reader.or(&section, "anonymous", false, BOOLEAN);
    if copies == 0 {
        reader.problem(&section, "copies", "'0'", "a whole number from 1");
    }
    Some(Model {
        name,
        version,
        weights: weights?,
        cache: cache?,
        copies,
        importance,
        adapters: Vec::new(),
        anonymous,
    })
}

fn adapter(reader: &mut Reader, name: id::Adapter, models: &mut [Model]) {
    let section = format!("adapter {name}");
    let owner: Option<id::Model> = reader.need(&section, "model", "the name of a model");
    let memory = reader.need(&section, "memory", MEBIBYTES);
    let (Some(owner), Some(memory)) = (owner, memory) else {
        return;
    };
    if models.iter().any(|model| model.name == name) {
        let allowed = "a name that no model has, since callers ask for both by name";
        reader.problem(&section, "", "an adapter with a model's name", allowed);
    }
    match models.iter_mut().find(|model| model.name == owner) {
        Some(model) => model.adapters.push(Adapter { name, memory }),
        None => reader.problem(
            &section,
            "model",
            &format!("'{owner}'"),
            "a model of this file",
        ),
    }
}

fn service(reader: &mut Reader, name: id::Service) -> Option<Service> {
    let section = format!("service {name}");
    let idempotent = reader.list(&section, "idempotent", "path prefixes, separated by commas");
    let concurrency = reader.within(
        &section,
        "concurrency",
        CONCURRENCY_DEFAULT,
        1..=CONCURRENCY_MAX,
    );
    let concurrency = u32::try_from(concurrency).ok()?;
    for path in &idempotent {
        let path: &String = path;
        if !path.starts_with('/') {
            reader.problem(
                &section,
                "idempotent",
                &format!("'{path}'"),
                "paths that start with '/'",
            );
        }
    }
    let max_wait = millis(
        reader,
        &section,
        "patience_ms",
        Some(Duration::from_secs(30)),
    );
    let anonymous = reader.or(&section, "anonymous", false, BOOLEAN);
    Some(Service {
        name,
        idempotent,
        concurrency,
        max_wait: max_wait?,
        anonymous,
    })
}

fn millis(
    reader: &mut Reader,
    section: &str,
    key: &str,
    default: Option<Duration>,
) -> Option<Duration> {
    if default.is_some() && reader.raw(section, key).is_none() {
        return default;
    }
    let value: u64 = reader.need(section, key, MILLIS)?;
    if !(1..=86_400_000).contains(&value) {
        reader.problem(section, key, &format!("'{value}'"), MILLIS);
        return None;
    }
    Some(Duration::from_millis(value))
}
