//! Simulations of a cluster in virtual time that check that service recovers after faults.
//!
//! Guards against pauses, connections and duties that remain after the faults end, and against
//! promotions that keep replacing healthy primaries.

mod support;

use std::time::Duration;

use quickcheck::QuickCheck;

use support::ClusterOptions;
use support::ClusterSimulation;

/// Time after the last fault from which every statement is served. A pause that its promotion left
/// behind lasts 4 s (`forgotten_pause`), plus 0.4 s until the instances agree which of them ends
/// it. A promotion that was just abandoned delays the next one by 0.7 s (`promotion_backoff`). A
/// group without a primary is detected after 1 s (`leaderless_limit`). The next promotion takes up
/// to 1.5 s for three steps (`promotion_step_timeout`) and 2.5 s to take effect (`promotion_effect_timeout`).
const RECOVERY_TIME: Duration = Duration::from_millis(10_100);

/// Length of a run in virtual time. The last fault ends before 17 s.
const RUN_MS: u64 = 32_000;

/// Maximum time to an answer; the time limit of the routes is 1 s.
const MAX_ANSWER_TIME: Duration = Duration::from_millis(2_000);

/// Number of clients where one home has all connections to a group: few enough that each may have
/// an open transaction.
const HOME_CLIENTS: usize = 6;

/// Runs of one property; `HEATHERHOLLOW_TEST_DAYS` overrides the number.
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

/// Guards against refused or unanswered statements after the faults have ended.
#[test]
fn service_recovers_after_faults() {
    fn property(seed: u64, faults: usize) -> bool {
        is_service_restored(seed, faults, false)
    }
    QuickCheck::new()
        .tests(run_count())
        .quickcheck(property as fn(u64, usize) -> bool);
}

/// Guards against refused or unanswered statements after faults where statements are forwarded to
/// homes.
#[test]
fn service_recovers_with_homes() {
    fn property(seed: u64, faults: usize) -> bool {
        is_service_restored(seed, faults, true)
    }
    QuickCheck::new()
        .tests(run_count())
        .quickcheck(property as fn(u64, usize) -> bool);
}
