//! Service after faults, played in virtual time.
//!
//! Guards against pauses, connections and duties that stay behind when the faults are over, and against
//! promotions that go on replacing healthy primaries.

mod support;

use std::time::Duration;

use quickcheck::QuickCheck;

use support::World;
use support::WorldOptions;

/// Time after the last fault from which every statement is served. A pause that its promotion forgot
/// stays for 4 s (`forgotten_pause`), and 0.4 s until the instances agree who ends it; a promotion that
/// was just given up keeps the next one away for 0.7 s (`promotion_backoff`); a group without a primary
/// is noticed after 1 s (`leaderless_limit`); and the next run takes up to 1.5 s for three steps
/// (`promotion_step_timeout`) and 2.5 s to take effect (`promotion_effect_timeout`).
const RECOVERY_TIME: Duration = Duration::from_millis(10_100);

/// Length of a played day, in milliseconds of virtual time. The last fault ends before 17 s.
const DAY_MS: u64 = 32_000;

/// Longest wait for an answer; the time limit of the routes is 1 s.
const ANSWER_TIME: Duration = Duration::from_millis(2_000);

/// Clients where a home has all connections to a group: few enough that each may have a transaction open.
const HOME_CLIENTS: usize = 6;

/// Days that one run of a property plays; `HEATHERHOLLOW_TEST_DAYS` sets another number.
const PLAYED_DAYS: u64 = 8;

fn is_back(seed: u64, faults: usize, has_homes: bool) -> bool {
    let options = WorldOptions {
        instances: 3,
        clients: if has_homes { HOME_CLIENTS } else { 9 },
        faults: faults % 6,
        has_homes,
        long_transactions: true,
        is_exact: true,
        staged_splits: true,
        ..WorldOptions::default()
    };
    let mut world = World::new(seed, options);
    world.run(DAY_MS);
    let from = world.disturbed_at + RECOVERY_TIME;
    let late = world.refusals.iter().filter(|(at, _)| *at >= from);
    let late = late.collect::<Vec<_>>();
    let unanswered = world.unanswered(ANSWER_TIME);
    if !late.is_empty() || !unanswered.is_empty() {
        eprintln!(
            "seed {seed} faults {} homes {has_homes}: {} refused after {from:?}, {:?}; unanswered \
             {unanswered:?}",
            faults % 6,
            late.len(),
            late.first()
        );
    }
    late.is_empty() && unanswered.is_empty()
}

fn played_days() -> u64 {
    let days = std::env::var("HEATHERHOLLOW_TEST_DAYS");
    days.ok()
        .and_then(|days| days.parse().ok())
        .unwrap_or(PLAYED_DAYS)
}

/// Once the faults have ended, every statement is served.
#[test]
fn service_is_back_after_faults() {
    fn property(seed: u64, faults: usize) -> bool {
        is_back(seed, faults, false)
    }
    QuickCheck::new()
        .tests(played_days())
        .quickcheck(property as fn(u64, usize) -> bool);
}

/// The same through homes.
#[test]
fn service_is_back_through_homes() {
    fn property(seed: u64, faults: usize) -> bool {
        is_back(seed, faults, true)
    }
    QuickCheck::new()
        .tests(played_days())
        .quickcheck(property as fn(u64, usize) -> bool);
}
