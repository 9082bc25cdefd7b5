//! What entries and leader send each other for quotas.

use super::fleet::{Fleet, uniform};
use super::{Skew, entry, quota, quotas};
use flamingo_wire::frame::Seal;
use flamingo_wire::workspace::Quota;
use rand_chacha::ChaCha8Rng;
use rand_core::{Rng, SeedableRng};
use std::time::Duration;

const STEP: Duration = Duration::from_millis(4);
const STEPS_PER_S: u32 = 250;
const ENTRIES: usize = 65;
const SECONDS: u32 = 20;
const MAX_BYTES_PER_S: f64 = 3_000.0;

/// Guards against questions that cost an entry more than all of control may.
fn quotas_cost_little(quotas: &[Quota]) {
    let rng = ChaCha8Rng::seed_from_u64(5);
    let mut fleet = Fleet::new(ENTRIES, quotas, rng);
    fleet.delay = |rng| Duration::from_millis(1 + u64::from(rng.next_u32() % 4));
    let (mut requests, mut waited) = (0, 0);
    for step in 0..(SECONDS + 10) * STEPS_PER_S {
        if step == 10 * STEPS_PER_S {
            fleet.seal = Some(Seal::new("e", b"key"));
            (requests, waited, fleet.questions) = (0, 0, 0);
        }
        let outcomes = fleet.step(STEP);
        waited += outcomes.iter().filter(|outcome| outcome.waited).count();
        for (workspace, quota) in quotas.iter().enumerate() {
            let mut left = quota.per_s / 1.8 * STEP.as_secs_f64() / 2_500.0;
            while uniform(&mut fleet.rng) < left {
                left -= 1.0;
                requests += 1;
                let units = (500.0 + 4_000.0 * uniform(&mut fleet.rng)).floor();
                let index = entry(Skew::Even, ENTRIES, &mut fleet.rng);
                let _ = fleet.request(index, workspace, units, false);
            }
        }
    }
    let entry_seconds = f64::from(SECONDS) * 65.0;
    let per_s = |count| f64::from(u32::try_from(count).expect("32 bits")) / entry_seconds;
    let [bytes, all, questions] = [fleet.periodic_bytes, fleet.bytes, fleet.questions].map(per_s);
    println!(
        "{bytes:.0} B of periodic questions, {all:.0} B of all {questions:.1} questions a second; \
         {waited} of {requests} requests waited"
    );
    assert!(bytes <= MAX_BYTES_PER_S, "{bytes} B a second of an entry");
}

flamingo_test_support::cases! { quotas_cost_little:
    few_large_workspaces_cost_little(&quotas(616_669.0));
    workspaces_that_all_entries_use_cost_little(&[quota(100_000.0, 100_000.0); 16]);
    workspaces_that_entries_use_at_all_times_cost_little(&[quota(400_000.0, 400_000.0); 16]);
}
