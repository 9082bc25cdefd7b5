//! `docs/SETTINGS.md` lists every key of the daemons' settings and of the configuration.

use flamingo_settings::{Error, control, entry, set};
use std::path::Path;

const UNKNOWN_KEY: &str = "odd-key";

/// Returns the keys of `section`, as the problem of an unknown key lists them.
fn listed_keys<T: std::fmt::Debug>(
    section: &str,
    read: impl Fn(&Path) -> Result<T, Error>,
) -> Vec<String> {
    let dir = tempfile::tempdir().unwrap();
    let path = dir.path().join("settings.ini");
    std::fs::write(&path, format!("[{section}]\n{UNKNOWN_KEY} = 1\n")).unwrap();
    let Error::Problems(list) = read(&path).unwrap_err() else {
        panic!("no problems");
    };
    let problem = list
        .iter()
        .find(|problem| problem.key == UNKNOWN_KEY)
        .unwrap();
    let keys = problem
        .allowed
        .strip_prefix("one of ")
        .unwrap_or_else(|| panic!("{problem}"));
    let keys = keys.split(", ").map(ToOwned::to_owned);
    keys.filter(|key| key != UNKNOWN_KEY).collect()
}

#[test]
fn every_key_stands_on_the_page() {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../docs/SETTINGS.md");
    let page = std::fs::read_to_string(path).unwrap();
    let check = |section: &str, keys: Vec<String>| {
        for key in keys {
            let row = format!("| `[{section}]` | `{key}` |");
            assert!(page.contains(&row), "docs/SETTINGS.md lacks {row}");
        }
    };
    for section in [
        "node", "listen", "inner", "control", "entry", "log", "keys", "tls", "stop", "serve",
    ] {
        check(section, listed_keys(section, entry::Settings::open));
    }
    check("control", listed_keys("control", control::Settings::open));
    for kind in ["profile", "model", "adapter", "service", "workspace"] {
        let keys = listed_keys(&format!("{kind} x"), set::open);
        check(&format!("{kind} NAME"), keys);
    }
    check("placement", listed_keys("placement", set::open));
}
