//! Seeds: fixed in CI, varied by an environment variable.

use quickcheck::{Gen, QuickCheck, Testable};

/// Variable that varies the seed of property tests and histories.
pub const VARIABLE: &str = "FLAMINGO_SEED";
/// Seed where the variable is not set.
const FIXED: u64 = 20_261_203;

/// Returns the seed of this run.
#[must_use]
pub fn seed() -> u64 {
    let text = std::env::var(VARIABLE).ok();
    text.and_then(|text| text.parse().ok()).unwrap_or(FIXED)
}

/// Checks a property on `tests` inputs of at most `size`, from the seed of this run.
///
/// # Panics
///
/// Panics with the smallest counter-example and the seed where the property fails.
pub fn check<T: Testable>(tests: u64, size: usize, property: T) {
    let seed = seed();
    eprintln!("{VARIABLE}={seed}");
    let source = Gen::from_size_and_seed(size, seed);
    QuickCheck::new()
        .rng(source)
        .tests(tests)
        .max_tests(tests * 10)
        .quickcheck(property);
}
