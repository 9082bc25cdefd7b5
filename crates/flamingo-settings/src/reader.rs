//! A reader of INI files that collects every problem before it gives up.

use ini::Ini;
use quick_error::quick_error;
use std::collections::BTreeSet;
use std::fmt;
use std::path::{Path, PathBuf};
use std::str::FromStr;

/// One problem of a settings file.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Problem {
    /// The file.
    pub file: PathBuf,
    /// The section.
    pub section: String,
    /// The key; empty where the section itself is the problem.
    pub key: String,
    /// What was seen.
    pub seen: String,
    /// What is allowed.
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
    /// Why settings can't be used.
    #[derive(Debug)]
    pub enum Error {
        /// The file can't be read or is not INI.
        File(path: PathBuf, message: String) {
            display("{}: {message}; give a readable INI file", path.display())
        }
        /// The file has problems.
        Problems(list: Vec<Problem>) {
            display("{}", list.iter().map(ToString::to_string).collect::<Vec<_>>().join("\n"))
        }
    }
}

/// What a name may hold.
pub const NAME: &str = "1 to 64 letters, digits, '-', '_' and '.'";
/// Longest name, in bytes.
const NAME_LEN: usize = 64;

/// Returns whether `text` can name an instance, a zone, a model and so on.
///
/// ```
/// assert!(flamingo_settings::reader::is_name("seq-a"));
/// assert!(!flamingo_settings::reader::is_name("seq a"));
/// ```
#[must_use]
pub fn is_name(text: &str) -> bool {
    let fits = |letter: char| letter.is_ascii_alphanumeric() || "-_.".contains(letter);
    !text.is_empty() && text.len() <= NAME_LEN && text.chars().all(fits)
}

/// A key that was asked for.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
struct Place {
    section: String,
    key: String,
}

/// Reads one INI file and collects its problems.
#[derive(Debug)]
pub struct Reader {
    file: PathBuf,
    ini: Ini,
    asked: BTreeSet<Place>,
    problems: Vec<Problem>,
}

impl Reader {
    /// Opens the file at `path`.
    ///
    /// # Errors
    ///
    /// Returns an error where the file can't be read or is not INI.
    pub fn open(path: &Path) -> Result<Self, Error> {
        let text = std::fs::read_to_string(path)
            .map_err(|error| Error::File(path.to_owned(), error.to_string()))?;
        Self::parse(path, &text)
    }

    /// Reads `text` as if it stood in the file `path`.
    ///
    /// # Errors
    ///
    /// Returns an error where the text is not INI.
    pub fn parse(path: &Path, text: &str) -> Result<Self, Error> {
        let ini = Ini::load_from_str(text)
            .map_err(|error| Error::File(path.to_owned(), error.to_string()))?;
        let mut reader = Self {
            file: path.to_owned(),
            ini,
            asked: BTreeSet::new(),
            problems: Vec::new(),
        };
        reader.refuse_repeats(text);
        Ok(reader)
    }

    /// Notes sections and keys that stand twice: the INI library would merge them.
    fn refuse_repeats(&mut self, text: &str) {
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
                        "a section that stands twice",
                        "one of each name",
                    );
                }
            } else if let Some((key, _)) = line.split_once('=').filter(|_| !is_comment(line)) {
                let key = key.trim().to_owned();
                if !keys.insert(key.clone()) {
                    self.problem(&section, &key, "a key that stands twice", "one of each key");
                }
            }
        }
    }

    /// Returns the names of the sections that start with `prefix`, without it.
    #[must_use]
    pub fn sections(&self, prefix: &str) -> Vec<String> {
        let names = self.ini.sections().flatten();
        names
            .filter_map(|name| name.strip_prefix(prefix))
            .map(ToOwned::to_owned)
            .collect()
    }

    /// Returns the raw value of a key and marks the key as known.
    pub fn raw(&mut self, section: &str, key: &str) -> Option<String> {
        let place = Place {
            section: section.to_owned(),
            key: key.to_owned(),
        };
        self.asked.insert(place);
        self.ini
            .get_from(Some(section), key)
            .map(|value| value.trim().to_owned())
    }

    /// Returns a value that must be there.
    pub fn need<T: FromStr>(&mut self, section: &str, key: &str, allowed: &str) -> Option<T> {
        let Some(text) = self.raw(section, key) else {
            self.problem(section, key, "missing", allowed);
            return None;
        };
        self.convert(section, key, &text, allowed)
    }

    /// Returns a value, or `default` where the key is missing.
    pub fn or<T: FromStr>(&mut self, section: &str, key: &str, default: T, allowed: &str) -> T {
        match self.raw(section, key) {
            None => default,
            Some(text) => self
                .convert(section, key, &text, allowed)
                .unwrap_or(default),
        }
    }

    /// Returns a comma-separated list; empty where the key is missing.
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

    /// Notes a problem where the file at `path` can't be read.
    pub fn readable(&mut self, section: &str, key: &str, path: &Path, allowed: &str) {
        if let Err(error) = std::fs::File::open(path) {
            let seen = format!("'{}': {error}", path.display());
            self.problem(section, key, &seen, allowed);
        }
    }

    /// Returns a number that must lie in `range`, or `default` where the key is missing.
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

    /// Returns a name of letters, digits, '-', '_' and '.' that must be there.
    pub fn name(&mut self, section: &str, key: &str) -> Option<String> {
        let value: String = self.need(section, key, NAME)?;
        if is_name(&value) {
            return Some(value);
        }
        self.problem(section, key, &format!("'{value}'"), NAME);
        None
    }

    /// Notes a problem.
    pub fn problem(&mut self, section: &str, key: &str, seen: &str, allowed: &str) {
        self.problems.push(Problem {
            file: self.file.clone(),
            section: section.to_owned(),
            key: key.to_owned(),
            seen: seen.to_owned(),
            allowed: allowed.to_owned(),
        });
    }

    /// Ends the reading: refuses keys that nobody asked for.
    ///
    /// # Errors
    ///
    /// Returns every problem that was seen.
    pub fn finish<T>(mut self, value: Option<T>) -> Result<T, Error> {
        self.refuse_unknown();
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

    fn refuse_unknown(&mut self) {
        let mut unknown = Vec::new();
        for (name, properties) in &self.ini {
            let section = name.unwrap_or_default();
            let asked = self.asked.iter().any(|place| place.section == section);
            if properties.is_empty() && name.is_some() && !asked {
                unknown.push(Place {
                    section: section.to_owned(),
                    key: String::new(),
                });
            }
            for (key, _) in properties {
                let place = Place {
                    section: section.to_owned(),
                    key: key.to_owned(),
                };
                if !self.asked.contains(&place) {
                    unknown.push(place);
                }
            }
        }
        for place in unknown {
            let known = self.known(&place.section);
            let seen = if place.key.is_empty() {
                "unknown section"
            } else {
                "unknown key"
            };
            self.problem(&place.section, &place.key, seen, &known);
        }
    }

    fn known(&self, section: &str) -> String {
        let places = self.asked.iter().filter(|place| place.section == section);
        let keys: Vec<_> = places.map(|place| place.key.as_str()).collect();
        if keys.is_empty() {
            return "no such section".to_owned();
        }
        format!("one of {}", keys.join(", "))
    }
}

fn is_comment(line: &str) -> bool {
    line.starts_with([';', '#'])
}
