//! Runs properties with a printed seed.
#![allow(dead_code)] // each test program uses a part

pub mod group;

use std::hash::BuildHasher;
use std::hash::RandomState;
use std::time::Duration;

use quickcheck::Gen;
use quickcheck::QuickCheck;
use quickcheck::Testable;

use heatherhollow_routing::TargetView;
use heatherhollow_types::MonoTime;
use heatherhollow_types::TargetIndex;

pub fn at(millis: u64) -> MonoTime {
    MonoTime::from_millis(millis)
}

pub fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn setting(name: &str) -> Option<u64> {
    std::env::var(name).ok()?.parse().ok()
}

fn runner(cases: u64) -> (u64, QuickCheck) {
    let seed = setting("HEATHERHOLLOW_TEST_SEED").unwrap_or_else(|| RandomState::new().hash_one(0));
    let random = Gen::from_size_and_seed(400, seed);
    (
        seed,
        QuickCheck::new()
            .rng(random)
            .tests(cases)
            .max_tests(cases * 10),
    )
}

/// Panics with the seed if the property does not hold.
pub fn assert_holds(property: impl Testable) {
    let (seed, mut runner) = runner(setting("HEATHERHOLLOW_TEST_CASES").unwrap_or(300));
    if let Err(result) = runner.quicktest(property) {
        panic!("HEATHERHOLLOW_TEST_SEED={seed}: {result:?}");
    }
}

/// Panics if the property holds for a variant that is broken.
pub fn assert_caught(property: impl Testable) {
    let (seed, mut runner) = runner(3_000);
    let result = runner.quicktest(property);
    assert!(
        result.is_err(),
        "HEATHERHOLLOW_TEST_SEED={seed}: not caught"
    );
}

/// An idle target next to the caller; the first one is the primary.
pub fn view(index: u16) -> TargetView {
    TargetView {
        target: TargetIndex(index),
        is_primary: index == 0,
        is_leaving: false,
        is_suspected: false,
        is_remote: false,
        round_trip: ms(1),
        in_flight: 0,
        reads_in_flight: 0,
        slots: 3,
        statement_time: ms(2),
    }
}
