//! Values of metric labels that come from outside, in a bounded number and form.

use flamingo_wire::fingerprint::fingerprint;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;

/// Largest number of names that have a time series of their own, over all configurations since the
/// start, which bounds the size of a scrape.
const MAX_NAMES: usize = 32;
/// Label of all further names.
pub const OTHER: &str = "other";
/// Largest number of characters of a name that its label shows.
const MAX_CHARS: usize = 64;

/// The values of one label. The first 32 names are shown, all others are summed under [`OTHER`].
/// Clones share the names.
///
/// ```
/// use flamingo_daemon::labels::{Labels, OTHER};
///
/// let labels = Labels::default();
/// assert_eq!(&*labels.label("team-a"), "team-a");
/// let rest: Vec<_> = (0..40).map(|number| labels.label(&format!("w{number}"))).collect();
/// assert_eq!(&*rest[30], "w30");
/// assert_eq!(&*rest[31], OTHER);
/// ```
#[derive(Clone, Debug, Default)]
pub struct Labels {
    names: Rc<RefCell<BTreeMap<String, Rc<str>>>>,
}

impl Labels {
    /// Returns the label of a name: at most 73 letters and digits of ASCII and `-_.:`. A name that has
    /// other characters, is longer, or is [`OTHER`] gets a part of its fingerprint appended, so that it
    /// is not mistaken for a similar one.
    ///
    /// ```
    /// use flamingo_daemon::labels::Labels;
    ///
    /// let labels = Labels::default();
    /// assert!(labels.label("team a").starts_with("team_a-"));
    /// assert_ne!(labels.label("team a"), labels.label("team+a"));
    /// ```
    #[must_use]
    pub fn label(&self, name: &str) -> Rc<str> {
        let mut names = self.names.borrow_mut();
        if let Some(label) = names.get(name) {
            return Rc::clone(label);
        }
        if names.len() >= MAX_NAMES {
            return OTHER.into();
        }
        let label: Rc<str> = valid(name).into();
        names.insert(name.to_owned(), Rc::clone(&label));
        label
    }
}

/// Returns a name in the form of a label.
fn valid(name: &str) -> String {
    let letters = name.chars().take(MAX_CHARS);
    let letters = letters.map(|letter| match letter {
        '-' | '_' | '.' | ':' => letter,
        letter if letter.is_ascii_alphanumeric() => letter,
        _ => '_',
    });
    let shown: String = letters.collect();
    if shown == name && name != OTHER {
        return shown;
    }
    let [a, b, c, d, ..] = fingerprint(&[name.as_bytes()]).to_be_bytes();
    format!("{shown}-{a:02x}{b:02x}{c:02x}{d:02x}")
}
