//! Service after faults, played in virtual time.
//!
//! Guards against pauses, connections and duties that stay behind when the faults are over, and against
//! promotions that go on replacing healthy primaries.

mod support;

use std::time::Duration;

use quickcheck::QuickCheck;

use support::ClusterOptions;
use support::ClusterSimulation;

/// Time after the last fault from which every statement is served. A pause that its promotion forgot
/// stays for 4 s (`forgotten_pause`), and 0.4 s until the instances agree who ends it; a promotion that
/// was just given up keeps the next one away for 0.7 s (`promotion_backoff`); a group without a primary
/// is noticed after 1 s (`leaderless_limit`); and the next run takes up to 1.5 s for three steps
/// (`promotion_step`) and 2.5 s to take effect (`promotion_effect`).
const RECOVERY_TIME: Duration = Duration::from_millis(10_100);

/// Length of a played day, in milliseconds of virtual time. The last fault ends before 17 s.
const RUN_MS: u64 = 32_000;

/// Longest wait for an answer; the time limit of the routes is 1 s.
const MAX_ANSWER_TIME: Duration = Duration::from_millis(2_000);

/// Clients where a home has all connections to a group: few enough that each may have a transaction open.
const HOME_CLIENTS: usize = 6;

/// Days that one run of a property plays; `HEATHERHOLLOW_TEST_DAYS` sets another number.
const RUNS: u64 = 8;

fn is_service_restored(seed: u64, faults: usize, has_homes: bool) -> bool {
    let options = ClusterOptions {
        instances: 3,
        clients: if has_homes { HOME_CLIENTS } else { 9 },
        faults: faults % 6,
        has_homes,
        has_long_transactions: true,
        has_detailed_faults: true,
        has_staged_split: true,
        ..ClusterOptions::default()
    };
    let mut simulation = ClusterSimulation::new(seed, options);
    simulation.run(RUN_MS);
    let from = simulation.last_fault_at + RECOVERY_TIME;
    let late_refusals = simulation.refusals.iter().filter(|(at, _)| *at >= from);
    let late_refusals = late_refusals.collect::<Vec<_>>();
    let unanswered = simulation.unanswered(MAX_ANSWER_TIME);
    if !late_refusals.is_empty() || !unanswered.is_empty() {
        eprintln!(
            "seed {seed} faults {} homes {has_homes}: {} refused after {from:?}, {:?}; unanswered \
             {unanswered:?}",
            faults % 6,
            late_refusals.len(),
            late_refusals.first()
        );
    }
    late_refusals.is_empty() && unanswered.is_empty()
}

fn run_count() -> u64 {
    let count = std::env::var("HEATHERHOLLOW_TEST_DAYS");
    count
        .ok()
        .and_then(|count| count.parse().ok())
        .unwrap_or(RUNS)
}

/// Once the faults have ended, every statement is served.
#[test]
fn service_recovers_after_faults() {
    fn property(seed: u64, faults: usize) -> bool {
        is_service_restored(seed, faults, false)
    }
    QuickCheck::new()
        .tests(run_count())
        .quickcheck(property as fn(u64, usize) -> bool);
}

/// The same through homes.
#[test]
fn service_recovers_with_homes() {
    fn property(seed: u64, faults: usize) -> bool {
        is_service_restored(seed, faults, true)
    }
    QuickCheck::new()
        .tests(run_count())
        .quickcheck(property as fn(u64, usize) -> bool);
}
