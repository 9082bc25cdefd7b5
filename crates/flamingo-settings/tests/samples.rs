//! The sample files are valid and have the expected numbers of instances, models and adapters.

use flamingo_settings::{control, entry, set};
use flamingo_test_support::cases;
use std::path::{Path, PathBuf};

fn sample(name: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("../../samples")
        .join(name)
}

fn deployment(name: &str, zone: &str, models: usize, adapters: usize) {
    let control = control::Settings::open(&sample(&format!("{name}/control.ini"))).unwrap();
    assert_eq!(control.node.zone, zone);
    assert_eq!(control.node.controls.len(), 3);
    let entry = entry::Settings::open(&sample(&format!("{name}/entry.ini"))).unwrap();
    assert_eq!(entry.seeds.len(), 2);
    let set = set::open(&sample(&format!("{name}/set.ini"))).unwrap();
    assert_eq!(set.models.len(), models);
    let total: usize = set.models.iter().map(|model| model.adapters.len()).sum();
    assert_eq!(total, adapters);
    let again = set::parse(Path::new("again.ini"), &set::format(&set)).unwrap();
    assert_eq!(set, again);
}

cases! { deployment:
    parks("parks", "seq-a", 17, 56);
    kovacik("kovacik", "zilina-a", 13, 56);
}

#[test]
fn local_set_is_readable() {
    let set = set::open(&sample("local-set.ini")).unwrap();
    assert!(!set.profiles.is_empty());
}
