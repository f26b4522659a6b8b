//! Service of a group whose replicas are all held back by one late record.
//!
//! Guards against a group that refuses a large part of its reads for as long as its replicas stand
//! still, although one of them could lead, and against changes of the primary that help nobody. The
//! load is what one target serves, so the primary alone is overloaded.

mod load;

use std::time::Duration;

use heatherhollow_gateway::GatewaySettings;

use load::FAULT_SECOND;
use load::FaultKind;
use load::LoadOptions;
use load::LoadSimulation;

/// Seconds for which the replicas are held back.
const HELD_BACK_SECONDS: usize = 15;

/// Seconds after the one of the change within which the queue has drained.
const DRAIN_SECONDS: usize = 1;

/// Minimum share of the operations of a second that are served within the objective.
const MIN_GOODPUT_RATIO: f64 = 0.97;

fn options(fault_seconds: usize, grants_duty: bool) -> LoadOptions {
    LoadOptions {
        faults: vec![FaultKind::HeldBack],
        fault_seconds,
        grants_duty,
        settings: GatewaySettings::default(),
    }
}

/// Options with which a change of the primary is never considered.
fn unmoved_options() -> LoadOptions {
    LoadOptions {
        settings: GatewaySettings {
            shortage_limit: Duration::from_secs(3_600),
            ..GatewaySettings::default()
        },
        ..options(HELD_BACK_SECONDS, true)
    }
}

/// Returns the number of operations from the fault on that are not served in time.
fn late_count(simulation: &LoadSimulation) -> u32 {
    let seconds = simulation.seconds();
    let late = seconds[FAULT_SECOND..].iter();
    late.map(|count| count.offered - count.in_time).sum()
}

/// Returns the mean number of operations that arrive in a second.
fn mean_offered(simulation: &LoadSimulation) -> u32 {
    let seconds = simulation.seconds();
    let offered = seconds.iter().map(|count| count.offered).sum::<u32>();
    offered / seconds.len() as u32
}

/// Asserts that the group serves fully once the lead has moved, and that it loses no more before
/// than arrives in the time of the change and until the shortage is noticed, about a second.
fn assert_serves_fully(seed: u64) {
    let simulation = LoadSimulation::simulate(seed, options(HELD_BACK_SECONDS, true));
    let [changed_in] = simulation.promotions[..] else {
        panic!("seed {seed}: promotions in {:?}", simulation.promotions);
    };
    let seconds = simulation.seconds();
    for (i, count) in seconds
        .iter()
        .enumerate()
        .skip(changed_in + DRAIN_SECONDS + 1)
    {
        let ratio = f64::from(count.in_time) / f64::from(count.offered);
        assert!(
            ratio >= MIN_GOODPUT_RATIO,
            "seed {seed} second {i}: {count:?}"
        );
    }
    let late = late_count(&simulation);
    assert!(
        late <= mean_offered(&simulation),
        "seed {seed}: {late} late"
    );
}

/// Guards against refusals for as long as the replicas stand still.
#[test]
fn group_serves_fully_while_its_replicas_are_held_back() {
    for seed in 1..=10 {
        assert_serves_fully(seed);
    }
}

/// Guards against a queue at two fresh targets that are half loaded. In this run, seven operations
/// of the tenth second after the change take 0.7 to 1.1 s.
#[test]
fn two_fresh_targets_serve_a_burst_in_time() {
    assert_serves_fully(374);
}

/// Checks that a run detects a primary that keeps the lead throughout.
#[test]
fn checks_detect_a_lead_that_does_not_move() {
    let simulation = LoadSimulation::simulate(1, unmoved_options());
    assert_eq!(simulation.promotions, Vec::<usize>::new());
    assert!(late_count(&simulation) > mean_offered(&simulation));
}

/// Guards against a primary that steps down although the platform accepts no promotion.
#[test]
fn primary_stays_while_the_duty_is_not_granted() {
    for seed in 1..=3 {
        let simulation = LoadSimulation::simulate(seed, options(HELD_BACK_SECONDS, false));
        assert_eq!(simulation.step_downs(), 0, "seed {seed}");
        assert!(simulation.promotions.is_empty(), "seed {seed}");
    }
}

/// Guards against a change of the primary for replicas that are fresh again soon.
#[test]
fn short_lag_does_not_move_the_lead() {
    for seed in 1..=3 {
        let simulation = LoadSimulation::simulate(seed, options(2, true));
        assert!(simulation.promotions.is_empty(), "seed {seed}");
    }
}

/// Guards against a lead that moves again and again while all targets fall behind as replicas.
#[test]
fn lead_does_not_move_back_and_forth() {
    for seed in 1..=3 {
        let simulation = LoadSimulation::simulate(
            seed,
            LoadOptions {
                faults: vec![FaultKind::AllHeldBack],
                ..options(HELD_BACK_SECONDS, true)
            },
        );
        assert_eq!(simulation.promotions.len(), 1, "seed {seed}");
    }
}
