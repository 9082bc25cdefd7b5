//! Plans of the sample workloads.

use flamingo_load::plan::{self, Item, Kind};
use flamingo_load::workload::Workload;
use flamingo_test_support::{cases, seed};
use std::collections::HashSet;
use std::path::Path;
use std::time::Duration;

const LENGTH: Duration = Duration::from_secs(20);

fn workload(name: &str) -> Workload {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../samples/workloads");
    Workload::open(&folder.join(name)).unwrap()
}

/// The deployment has its models, and each item can be served under its set.
fn fits(name: &str, models: usize) {
    let workload = workload(name);
    assert_eq!(workload.set.models.len(), models);
    let adapters: usize = workload
        .set
        .models
        .iter()
        .map(|model| model.adapters.len())
        .sum();
    assert_eq!(adapters, 56);
    let plan = plan::make(&workload, seed::seed(), LENGTH, 1.0);
    assert!(plan.is_sorted_by_key(|item| item.at));
    let words: HashSet<_> = plan.iter().map(|item| &item.word).collect();
    assert_eq!(words.len(), plan.len());
    for item in &plan {
        check(&workload, item);
    }
}

fn check(workload: &Workload, item: &Item) {
    assert!(item.at < LENGTH);
    let Kind::Completion(completion) = &item.kind else {
        return;
    };
    assert!(
        workload.set.profile(&completion.profile).is_some(),
        "{completion:?}"
    );
    let named = |model: &flamingo_wire::config::Model| {
        let mut adapters = model.adapters.iter();
        model.name == completion.model || adapters.any(|own| own.name == completion.model)
    };
    assert!(workload.set.models.iter().any(named), "{completion:?}");
    assert!(
        completion
            .prompt
            .ends_with(&format!("\necho:{}", item.word))
    );
}

cases! { fits:
    parks("parks.ini", 17);
    kovacik("kovacik.ini", 13);
}

#[test]
fn another_seed_makes_another_plan() {
    let workload = workload("kovacik.ini");
    let one = plan::make(&workload, 1, LENGTH, 1.0);
    assert_eq!(one, plan::make(&workload, 1, LENGTH, 1.0));
    assert_ne!(one, plan::make(&workload, 2, LENGTH, 1.0));
}
