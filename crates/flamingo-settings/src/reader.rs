//! A reader of INI files that collects all problems of a file instead of stopping at the first.

use ini::Ini;
use quick_error::quick_error;
use std::collections::BTreeSet;
use std::fmt;
use std::path::{Path, PathBuf};
use std::str::FromStr;

/// One problem of a settings file.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Problem {
    /// Path of the file.
    pub file: PathBuf,
    /// Name of the section.
    pub section: String,
    /// Name of the key; empty where the problem is the section itself.
    pub key: String,
    /// Description of the invalid value, or of what is missing.
    pub seen: String,
    /// Description of the allowed values.
    pub allowed: String,
}

impl fmt::Display for Problem {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        let file = self.file.display();
        let Self {
            section,
            key,
            seen,
            allowed,
            ..
        } = self;
        write!(out, "{file}: [{section}] {key}: {seen}; allowed: {allowed}")
    }
}

quick_error! {
    /// An error in a settings file.
    #[derive(Debug)]
    pub enum Error {
        /// The file can't be read or is not valid INI.
        File(path: PathBuf, message: String) {
            display("{}: {message}; expected a readable INI file", path.display())
        }
        /// The file has these problems.
        Problems(list: Vec<Problem>) {
            display("{}", format_problems(list))
        }
    }
}

/// Writes one line for each problem, and their number in the last line.
///
/// ```
/// use flamingo_settings::reader::format_problems;
///
/// assert_eq!(format_problems(["no zone", "no name"]), "no zone\nno name\n2 problems");
/// ```
#[must_use]
pub fn format_problems<T: fmt::Display>(problems: impl IntoIterator<Item = T>) -> String {
    let mut lines: Vec<_> = problems.into_iter().map(|line| line.to_string()).collect();
    let plural = if lines.len() == 1 { "" } else { "s" };
    lines.push(format!("{} problem{plural}", lines.len()));
    lines.join("\n")
}

/// Description of valid names, for messages.
pub const NAME: &str = "1 to 64 letters, digits, '-', '_' and '.'";
/// Maximum length of a name, in bytes.
const NAME_MAX_LEN: usize = 64;

/// Returns whether `text` is a valid name of an instance, a zone, a model and so on.
///
/// ```
/// assert!(flamingo_settings::reader::is_name("seq-a"));
/// assert!(!flamingo_settings::reader::is_name("seq a"));
/// ```
#[must_use]
pub fn is_name(text: &str) -> bool {
    let is_allowed = |letter: char| letter.is_ascii_alphanumeric() || "-_.".contains(letter);
    !text.is_empty() && text.len() <= NAME_MAX_LEN && text.chars().all(is_allowed)
}

/// A key of a section.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
struct KeyPath {
    section: String,
    key: String,
}

/// Reads one INI file and collects its problems.
///
/// Keys that are read are known; [`Reader::finish`] reports all others as unknown.
#[derive(Debug)]
pub struct Reader {
    file: PathBuf,
    ini: Ini,
    requested: BTreeSet<KeyPath>,
    problems: Vec<Problem>,
}

impl Reader {
    /// Reads and parses the file at `path`.
    ///
    /// # Errors
    ///
    /// Returns an error where the file can't be read or is not valid INI.
    pub fn open(path: &Path) -> Result<Self, Error> {
        let text = std::fs::read_to_string(path)
            .map_err(|error| Error::File(path.to_owned(), error.to_string()))?;
        Self::parse(path, &text)
    }

    /// Parses `text` as the content of the file `path`.
    ///
    /// # Errors
    ///
    /// Returns an error where the text is not valid INI.
    pub fn parse(path: &Path, text: &str) -> Result<Self, Error> {
        let ini = Ini::load_from_str(text)
            .map_err(|error| Error::File(path.to_owned(), error.to_string()))?;
        let mut reader = Self {
            file: path.to_owned(),
            ini,
            requested: BTreeSet::new(),
            problems: Vec::new(),
        };
        reader.report_duplicates(text);
        Ok(reader)
    }

    /// Reports duplicate sections and keys, which the INI library would merge silently.
    fn report_duplicates(&mut self, text: &str) {
        let mut sections = BTreeSet::new();
        let mut keys = BTreeSet::new();
        let mut section = String::new();
        for line in text.lines().map(str::trim) {
            if let Some(name) = line
                .strip_prefix('[')
                .and_then(|rest| rest.strip_suffix(']'))
            {
                name.trim().clone_into(&mut section);
                keys.clear();
                if !sections.insert(section.clone()) {
                    self.problem(
                        &section,
                        "",
                        "a duplicate section",
                        "one section of each name",
                    );
                }
            } else if let Some((key, _)) = line.split_once('=').filter(|_| !is_comment(line)) {
                let key = key.trim().to_owned();
                if !keys.insert(key.clone()) {
                    self.problem(&section, &key, "a duplicate key", "each key once");
                }
            }
        }
    }

    /// Returns the names of the sections that start with `prefix`, without the prefix.
    #[must_use]
    pub fn sections(&self, prefix: &str) -> Vec<String> {
        let names = self.ini.sections().flatten();
        names
            .filter_map(|name| name.strip_prefix(prefix))
            .map(ToOwned::to_owned)
            .collect()
    }

    /// Returns the value of a key as text, or `None` where the key is missing. Marks the key as
    /// known.
    pub fn raw(&mut self, section: &str, key: &str) -> Option<String> {
        let key_path = KeyPath {
            section: section.to_owned(),
            key: key.to_owned(),
        };
        self.requested.insert(key_path);
        self.ini
            .get_from(Some(section), key)
            .map(|value| value.trim().to_owned())
    }

    /// Returns the value of a required key. Reports a problem and returns `None` where the key is
    /// missing or invalid.
    pub fn need<T: FromStr>(&mut self, section: &str, key: &str, allowed: &str) -> Option<T> {
        let Some(text) = self.raw(section, key) else {
            self.problem(section, key, "missing", allowed);
            return None;
        };
        self.convert(section, key, &text, allowed)
    }

    /// Returns the value of an optional key, or `default` where the key is missing or invalid.
    /// Reports a problem where the key is invalid.
    pub fn or<T: FromStr>(&mut self, section: &str, key: &str, default: T, allowed: &str) -> T {
        match self.raw(section, key) {
            None => default,
            Some(text) => self
                .convert(section, key, &text, allowed)
                .unwrap_or(default),
        }
    }

    /// Returns the items of a comma-separated list, which is empty where the key is missing.
    /// Reports a problem for each invalid item.
    pub fn list<T: FromStr>(&mut self, section: &str, key: &str, allowed: &str) -> Vec<T> {
        let text = self.raw(section, key).unwrap_or_default();
        let items = text
            .split(',')
            .map(str::trim)
            .filter(|item| !item.is_empty());
        items
            .filter_map(|item| self.convert(section, key, item, allowed))
            .collect()
    }

    /// Reports a problem where the file at `path`, the value of the key, can't be read.
    pub fn readable(&mut self, section: &str, key: &str, path: &Path, allowed: &str) {
        if let Err(error) = std::fs::File::open(path) {
            let seen = format!("'{}': {error}", path.display());
            self.problem(section, key, &seen, allowed);
        }
    }

    /// Returns a number, or `default` where the key is missing or invalid. Reports a problem where
    /// the number is not in `range`.
    pub fn within(
        &mut self,
        section: &str,
        key: &str,
        default: u64,
        range: std::ops::RangeInclusive<u64>,
    ) -> u64 {
        let allowed = format!("a whole number from {} to {}", range.start(), range.end());
        let value = self.or(section, key, default, &allowed);
        if range.contains(&value) {
            return value;
        }
        self.problem(section, key, &format!("'{value}'"), &allowed);
        default
    }

    /// Returns the value of a required key that must be a valid name (see [`is_name`]). Reports a
    /// problem and returns `None` where the key is missing or invalid.
    pub fn name(&mut self, section: &str, key: &str) -> Option<String> {
        let value: String = self.need(section, key, NAME)?;
        if is_name(&value) {
            return Some(value);
        }
        self.problem(section, key, &format!("'{value}'"), NAME);
        None
    }

    /// Reports a problem of a key, or of a section where `key` is empty.
    pub fn problem(&mut self, section: &str, key: &str, seen: &str, allowed: &str) {
        self.problems.push(Problem {
            file: self.file.clone(),
            section: section.to_owned(),
            key: key.to_owned(),
            seen: seen.to_owned(),
            allowed: allowed.to_owned(),
        });
    }

    /// Reports all keys that were not read as unknown, and returns `value` if the file has no
    /// problems.
    ///
    /// # Errors
    ///
    /// Returns all problems of the file.
    pub fn finish<T>(mut self, value: Option<T>) -> Result<T, Error> {
        self.report_unknown_keys();
        match value {
            Some(value) if self.problems.is_empty() => Ok(value),
            _ => Err(Error::Problems(self.problems)),
        }
    }

    fn convert<T: FromStr>(
        &mut self,
        section: &str,
        key: &str,
        text: &str,
        allowed: &str,
    ) -> Option<T> {
        let value = text.parse().ok();
        if value.is_none() {
            self.problem(section, key, &format!("'{text}'"), allowed);
        }
        value
    }

    fn report_unknown_keys(&mut self) {
        let mut unknown = Vec::new();
        for (name, properties) in &self.ini {
            let section = name.unwrap_or_default();
            let requested = self
                .requested
                .iter()
                .any(|key_path| key_path.section == section);
            if properties.is_empty() && name.is_some() && !requested {
                unknown.push(KeyPath {
                    section: section.to_owned(),
                    key: String::new(),
                });
            }
            for (key, _) in properties {
                let key_path = KeyPath {
                    section: section.to_owned(),
                    key: key.to_owned(),
                };
                if !self.requested.contains(&key_path) {
                    unknown.push(key_path);
                }
            }
        }
        for key_path in unknown {
            let allowed = self.allowed_keys(&key_path.section);
            let seen = if key_path.key.is_empty() {
                "unknown section"
            } else {
                "unknown key"
            };
            self.problem(&key_path.section, &key_path.key, seen, &allowed);
        }
    }

    fn allowed_keys(&self, section: &str) -> String {
        let key_paths = self
            .requested
            .iter()
            .filter(|key_path| key_path.section == section);
        let keys: Vec<_> = key_paths.map(|key_path| key_path.key.as_str()).collect();
        if keys.is_empty() {
            return "no such section".to_owned();
        }
        format!("one of {}", keys.join(", "))
    }
}

fn is_comment(line: &str) -> bool {
    line.starts_with([';', '#'])
}
