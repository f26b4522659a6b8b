//! Rules of confirmation that depend on a specific order of events, and the bound on lag.

mod common;

use common::ModelTarget;
use common::candidate;
use common::new_group;
use common::replicate;
use heatherhollow_failover::ConfirmSettings;
use heatherhollow_failover::Confirmation;
use heatherhollow_failover::PendingWrite;
use heatherhollow_failover::TargetReport;
use heatherhollow_failover::WriteConfirmer;
use heatherhollow_types::AckMode;
use heatherhollow_types::GroupPosition;
use heatherhollow_types::MonoTime;
use heatherhollow_types::TargetIndex;
use heatherhollow_types::TermNumber;

const T0: TargetIndex = TargetIndex(0);
const T1: TargetIndex = TargetIndex(1);
const T2: TargetIndex = TargetIndex(2);

fn at(millis: u64) -> MonoTime {
    MonoTime::from_millis(millis)
}

fn confirmer() -> WriteConfirmer {
    WriteConfirmer::new(ConfirmSettings::default(), 3)
}

fn report(promised: u64, term: u64, position: u64) -> TargetReport {
    TargetReport {
        promised: TermNumber(promised),
        end: GroupPosition::new(term, position),
        ..TargetReport::default()
    }
}

// Guards against a status that was started before the answer, which may be older than the promise
// that replaced the primary.
#[test]
fn primary_mode_needs_a_status_started_after_the_answer() {
    let mut confirmer = confirmer();
    let write = PendingWrite::new(GroupPosition::new(1, 7), T0, at(10), AckMode::Primary);
    confirmer.observe(T1, at(10), &report(1, 1, 3));
    assert_eq!(confirmer.check(&write), Confirmation::Waiting);
    confirmer.observe(T1, at(11), &report(1, 1, 3));
    assert_eq!(confirmer.check(&write), Confirmation::Confirmed);
}

// Guards against counting the primary twice.
#[test]
fn report_of_the_primary_adds_nothing() {
    let mut confirmer = confirmer();
    for mode in [AckMode::Primary, AckMode::Replicated] {
        let write = PendingWrite::new(GroupPosition::new(1, 7), T0, at(10), mode);
        confirmer.observe(T0, at(11), &report(1, 1, 7));
        assert_eq!(confirmer.check(&write), Confirmation::Waiting);
    }
}

// Guards against refuting a write that another report may confirm, and against waiting for a write
// that no report can confirm.
#[test]
fn write_is_refuted_by_a_majority_of_higher_promises() {
    let mut confirmer = confirmer();
    let write = PendingWrite::new(GroupPosition::new(1, 7), T0, at(10), AckMode::Replicated);
    confirmer.observe(T1, at(11), &report(2, 1, 6));
    assert_eq!(confirmer.check(&write), Confirmation::Waiting);
    let mut late = confirmer.clone();
    late.observe(T2, at(12), &report(2, 1, 6));
    assert_eq!(late.check(&write), Confirmation::Refuted);
    // A delayed report from before the promise shows that the promotion saw the write.
    late.observe(T1, at(9), &report(1, 1, 7));
    assert_eq!(late.check(&write), Confirmation::Confirmed);
}

fn promote(targets: &mut [ModelTarget], term: u64, voters: [usize; 2], primary: usize) {
    let (term, candidate) = (TermNumber(term), candidate(term as usize));
    for voter in voters {
        assert!(targets[voter].fence(term, &candidate).is_accepted);
    }
    let furthest = voters.map(|voter| targets[voter].end()).into_iter().max();
    assert_eq!(furthest, Some(targets[primary].end()));
    assert!(targets[primary].promote(term, &candidate).is_accepted);
}

/// Faulty rule: the replica holds the position and has promised no term above that of the write.
fn confirms_by_position(write: &PendingWrite, replica: &TargetReport) -> bool {
    replica.holds(write.position) && replica.promised <= write.term
}

// Guards against confirming a write of an earlier term by its position alone. Target 2 has a record
// of the term in between and wins the next promotion without containing the write.
#[test]
fn recorded_write_needs_a_record_of_the_new_term() {
    let mut targets = new_group(3);
    promote(&mut targets, 2, [0, 1], 0);
    let position = targets[0].write(1).unwrap();
    promote(&mut targets, 3, [1, 2], 2);
    targets[2].write(2).unwrap();
    promote(&mut targets, 4, [0, 1], 0);
    replicate(&mut targets, 0, 1, 1);

    let write = PendingWrite {
        term: TermNumber(4),
        ..PendingWrite::new(position, T0, at(10), AckMode::Replicated)
    };
    let mut confirmer = confirmer();
    confirmer.observe(T1, at(11), &targets[1].report());
    assert!(confirms_by_position(&write, &targets[1].report()));
    assert_eq!(confirmer.check(&write), Confirmation::Waiting);
    let mut lost = targets.clone();
    promote(&mut lost, 5, [1, 2], 2);
    assert!(!lost[2].has(position, 1));

    targets[0].write(3).unwrap();
    replicate(&mut targets, 0, 1, 1);
    confirmer.observe(T1, at(12), &targets[1].report());
    assert_eq!(confirmer.check(&write), Confirmation::Confirmed);
    promote(&mut targets, 5, [1, 2], 1);
    assert!(targets[1].has(position, 1));
}

/// Observes, every `step` milliseconds, a primary that writes one record per millisecond and
/// replicas with constant `lags`; returns the times at which the confirmer reports the group as
/// lagging.
fn lagging_times(lags: [u64; 2], step: u64, end: u64) -> Vec<u64> {
    let mut confirmer = confirmer();
    let mut found = Vec::new();
    for millis in (0..end).step_by(step as usize) {
        let primary = TargetReport {
            is_primary: true,
            ..report(1, 1, 10_000 + millis)
        };
        confirmer.observe(T0, at(millis), &primary);
        for (target, lag) in [T1, T2].into_iter().zip(lags) {
            confirmer.observe(target, at(millis), &report(1, 1, 10_000 + millis - lag));
        }
        if confirmer.is_lagging(at(millis)) {
            found.push(millis);
        }
    }
    found
}

// Guards against refused writes while a replica is within the limit, and against accepted writes
// while none is.
#[test]
fn lag_is_bounded_by_the_samples_of_the_primary() {
    for step in [1, 10, 100, 500] {
        assert_eq!(lagging_times([1_300, 9_000], step, 8_000), []);
        let found = lagging_times([2_600, 9_000], step, 8_000);
        assert!(
            found.first().is_some_and(|&first| first <= 3_000),
            "{found:?}"
        );
    }
}

// Guards against refused writes after the observer was paused or has stopped observing.
#[test]
fn lag_is_unknown_without_samples() {
    let mut confirmer = confirmer();
    for millis in [0, 3_000] {
        let primary = TargetReport {
            is_primary: true,
            ..report(1, 1, 100 + millis)
        };
        confirmer.observe(T0, at(millis), &primary);
    }
    assert!(confirmer.is_lagging(at(3_100)));
    assert!(!confirmer.is_lagging(at(6_000)));
}
