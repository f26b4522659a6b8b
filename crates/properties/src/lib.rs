//! Runs properties with a seed that is printed when they fail; for tests only.
//!
//! `HEATHERHOLLOW_TEST_SEED` gives the seed and `HEATHERHOLLOW_TEST_CASES` the number of cases.

use std::collections::hash_map::RandomState;
use std::hash::BuildHasher;

use quickcheck::Gen;
use quickcheck::QuickCheck;
use quickcheck::Testable;

/// Cases of a property that is expected to hold, if the environment does not say otherwise.
const CASES: u64 = 300;

/// Cases of a broken variant; enough for rare combinations.
const BROKEN_CASES: u64 = 3_000;

fn setting(name: &str) -> Option<u64> {
    std::env::var(name).ok()?.parse().ok()
}

fn runner(size: usize, cases: u64) -> (u64, QuickCheck) {
    let seed = setting("HEATHERHOLLOW_TEST_SEED").unwrap_or_else(|| RandomState::new().hash_one(0));
    let runner = QuickCheck::new()
        .rng(Gen::from_size_and_seed(size, seed))
        .tests(cases)
        .max_tests(cases * 10);
    (seed, runner)
}

/// Panics with the seed if the property does not hold for cases of a size.
pub fn assert_holds(size: usize, property: impl Testable) {
    let cases = setting("HEATHERHOLLOW_TEST_CASES").unwrap_or(CASES);
    let (seed, mut runner) = runner(size, cases);
    if let Err(result) = runner.quicktest(property) {
        panic!("HEATHERHOLLOW_TEST_SEED={seed}: {result:?}");
    }
}

/// Panics if the property holds for a variant that is broken.
pub fn assert_caught(size: usize, property: impl Testable) {
    let (seed, mut runner) = runner(size, BROKEN_CASES);
    let result = runner.quicktest(property);
    assert!(
        result.is_err(),
        "HEATHERHOLLOW_TEST_SEED={seed}: not caught"
    );
}
