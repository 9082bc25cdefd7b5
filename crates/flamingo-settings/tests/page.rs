//! `docs/SETTINGS.md` names every key that the daemons and sets know.

use flamingo_settings::{Error, control, entry, set};
use std::path::Path;

const ODD: &str = "odd-key";

/// Returns the known keys of `section`, as the refusal of an odd key lists them.
fn known<T: std::fmt::Debug>(
    section: &str,
    read: impl Fn(&Path) -> Result<T, Error>,
) -> Vec<String> {
    let dir = tempfile::tempdir().unwrap();
    let path = dir.path().join("settings.ini");
    std::fs::write(&path, format!("[{section}]\n{ODD} = 1\n")).unwrap();
    let Error::Problems(list) = read(&path).unwrap_err() else {
        panic!("no problems");
    };
    let odd = list.iter().find(|problem| problem.key == ODD).unwrap();
    let keys = odd
        .allowed
        .strip_prefix("one of ")
        .unwrap_or_else(|| panic!("{odd}"));
    let keys = keys.split(", ").map(ToOwned::to_owned);
    keys.filter(|key| key != ODD).collect()
}

#[test]
fn every_key_stands_on_the_page() {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../docs/SETTINGS.md");
    let page = std::fs::read_to_string(path).unwrap();
    let stands = |section: &str, keys: Vec<String>| {
        for key in keys {
            let row = format!("| `[{section}]` | `{key}` |");
            assert!(page.contains(&row), "docs/SETTINGS.md lacks {row}");
        }
    };
    for section in [
        "node", "listen", "inner", "control", "entry", "log", "keys", "tls", "stop", "serve",
    ] {
        stands(section, known(section, entry::Settings::open));
    }
    stands("control", known("control", control::Settings::open));
    for kind in ["profile", "model", "adapter", "service"] {
        let keys = known(&format!("{kind} x"), set::open);
        stands(&format!("{kind} NAME"), keys);
    }
    stands("placement", known("placement", set::open));
}
