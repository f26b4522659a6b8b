//! Rules of a promotion run: choice of the target, grace period, lost targets, planned promotions.

mod common;

use common::candidate;
use heatherhollow_failover::AbandonReason;
use heatherhollow_failover::FenceAnswer;
use heatherhollow_failover::PromoteAnswer;
use heatherhollow_failover::PromotionAction;
use heatherhollow_failover::PromotionAction::Abandoned;
use heatherhollow_failover::PromotionAction::Fence;
use heatherhollow_failover::PromotionAction::Finished;
use heatherhollow_failover::PromotionAction::Follow;
use heatherhollow_failover::PromotionAction::Inspect;
use heatherhollow_failover::PromotionAction::Promote;
use heatherhollow_failover::PromotionRun;
use heatherhollow_failover::RunSettings;
use heatherhollow_failover::RunTarget;
use heatherhollow_failover::TargetReport;
use heatherhollow_types::GroupPosition;
use heatherhollow_types::MonoTime;
use heatherhollow_types::TargetIndex;
use heatherhollow_types::TermNumber;

const TERM: TermNumber = TermNumber(5);
const T0: TargetIndex = TargetIndex(0);
const T1: TargetIndex = TargetIndex(1);
const T2: TargetIndex = TargetIndex(2);

fn at(millis: u64) -> MonoTime {
    MonoTime::from_millis(millis)
}

/// Returns three targets in the order of preference 1, 0, 2.
fn targets() -> [RunTarget; 3] {
    [T1, T0, T2].map(|index| RunTarget {
        index,
        is_leaving: false,
    })
}

fn start() -> PromotionRun {
    let settings = RunSettings::default();
    PromotionRun::start(settings, at(0), TERM, candidate(0), &targets()).0
}

fn promise(position: u64) -> FenceAnswer {
    FenceAnswer {
        is_accepted: true,
        promised: TERM,
        end: GroupPosition::new(4, position),
        is_leaving: false,
    }
}

fn refusal(promised: u64) -> FenceAnswer {
    FenceAnswer {
        is_accepted: false,
        promised: TermNumber(promised),
        ..promise(0)
    }
}

fn chosen(actions: &[PromotionAction]) -> Option<TargetIndex> {
    actions.iter().find_map(|action| match action {
        Promote { target, .. } => Some(*target),
        _ => None,
    })
}

fn reason(actions: &[PromotionAction]) -> Option<AbandonReason> {
    actions.iter().find_map(|action| match action {
        Abandoned { reason, .. } => Some(*reason),
        _ => None,
    })
}

// Guards against a choice made as soon as a majority has promised, which misses a longer log.
#[test]
fn grace_period_waits_for_the_third_target() {
    let mut run = start();
    run.handle_fence_reply(at(1), T0, promise(10));
    assert_eq!(
        chosen(&run.handle_fence_reply(at(2), T1, promise(11))),
        None
    );
    assert_eq!(chosen(&run.tick(at(31))), None);
    assert_eq!(
        chosen(&run.handle_fence_reply(at(31), T2, promise(12))),
        Some(T2)
    );
}

// Guards against a wait for a target whose call has already failed.
#[test]
fn unreachable_target_is_not_waited_for() {
    let mut run = start();
    run.handle_call_failure(at(1), T2);
    run.handle_fence_reply(at(2), T0, promise(10));
    assert_eq!(
        chosen(&run.handle_fence_reply(at(3), T1, promise(10))),
        Some(T1)
    );
}

// Guards against the promotion of a target that is about to stop, and against skipping a leaving
// target that has the longest log.
#[test]
fn ties_go_to_a_preferred_target_that_stays() {
    for (leaving, ends, wanted) in [
        (T2, [10, 10, 10], T1),
        (T1, [10, 10, 10], T0),
        (T1, [10, 11, 10], T1),
    ] {
        let mut run = start();
        let mut last = Vec::new();
        for (target, end) in [T0, T1, T2].into_iter().zip(ends) {
            let is_leaving = target == leaving;
            let answer = FenceAnswer {
                is_leaving,
                ..promise(end)
            };
            last = run.handle_fence_reply(at(1), target, answer);
        }
        assert_eq!(chosen(&last), Some(wanted));
    }
}

// Guards against the choice of a second target in the same term after the first one was lost.
#[test]
fn lost_target_ends_the_run() {
    let mut run = start();
    for (target, end) in [(T0, 10), (T1, 12), (T2, 11)] {
        run.handle_fence_reply(at(1), target, promise(end));
    }
    let mut promoted = Vec::new();
    for millis in (2..2_000).step_by(10) {
        let actions = run.tick(at(millis));
        promoted.extend(chosen(&actions));
        if let Some(reason) = reason(&actions) {
            assert_eq!(reason, AbandonReason::TargetLost);
        }
        run.handle_fence_reply(at(millis), T0, promise(99));
    }
    assert!(promoted.len() > 3 && promoted.iter().all(|&target| target == T1));
    assert!(run.is_settled());
}

// Guards against a run that continues after a target has promised a higher term, and against a next
// run that reuses a promised term.
#[test]
fn higher_promise_ends_the_run() {
    let mut run = start();
    run.handle_fence_reply(at(1), T0, promise(10));
    let wanted = Abandoned {
        reason: AbandonReason::HigherTerm,
        highest_promised: TermNumber(9),
    };
    assert_eq!(run.handle_fence_reply(at(2), T1, refusal(9)), [wanted]);
    assert_eq!(run.handle_fence_reply(at(3), T2, promise(10)), []);
}

// Guards against two candidates that get one promise each and then wait for a target that is down.
#[test]
fn split_promises_end_the_run_early() {
    let mut run = start();
    run.handle_fence_reply(at(1), T0, promise(10));
    run.handle_fence_reply(at(2), T1, refusal(TERM.0));
    assert_eq!(reason(&run.tick(at(201))), None);
    assert_eq!(reason(&run.tick(at(202))), Some(AbandonReason::LostRace));
}

// Guards against a target that is unreachable during the promotion and never follows the new
// primary.
#[test]
fn reachable_target_gets_its_missed_follow_call() {
    let mut run = start();
    run.handle_fence_reply(at(1), T1, promise(10));
    run.handle_fence_reply(at(1), T2, promise(12));
    run.tick(at(31));
    let answer = PromoteAnswer {
        is_accepted: true,
        promised: Some(TERM),
    };
    let actions = run.handle_promote_reply(at(40), T2, answer);
    let follow = |target| Follow {
        target,
        term: TERM,
        primary: T2,
    };
    let finished = Finished {
        primary: T2,
        term: TERM,
    };
    assert_eq!(actions, [finished, follow(T1), follow(T0)]);
    run.handle_follow_reply(T1);
    assert_eq!(run.tick(at(500)), []);
    assert_eq!(run.handle_target_reachable(at(600), T0), [follow(T0)]);
    run.handle_follow_reply(T0);
    assert!(run.is_settled());
}

fn report(position: u64, is_primary: bool) -> TargetReport {
    TargetReport {
        promised: TermNumber(4),
        end: GroupPosition::new(4, position),
        is_primary,
        ..TargetReport::default()
    }
}

fn start_planned() -> PromotionRun {
    let settings = RunSettings::default();
    let (run, actions) =
        PromotionRun::start_planned(settings, at(0), TERM, candidate(0), &targets(), T0, T2);
    assert_eq!(actions, [Inspect { target: T2 }, Inspect { target: T0 }]);
    run
}

// Guards against a planned promotion that stops writes for a target that does not catch up.
#[test]
fn lagging_planned_target_fences_no_target() {
    let mut run = start_planned();
    for millis in (20..6_000).step_by(20) {
        // The primary writes one record per millisecond; the named target stays 1 s behind.
        let (primary, named) = (report(1_000 + millis, true), report(millis, false));
        let mut actions = run.handle_report(at(millis), T0, at(millis - 5), &primary);
        actions.extend(run.handle_report(at(millis), T2, at(millis - 5), &named));
        assert!(!actions.iter().any(|action| matches!(action, Fence { .. })));
        if let Some(reason) = reason(&actions) {
            assert_eq!((reason, millis), (AbandonReason::NotCaughtUp, 5_000));
        }
    }
    assert!(run.is_settled());
}

// Guards against fencing the named target before it has the end of the old primary's log.
#[test]
fn planned_target_is_fenced_last() {
    let mut run = start_planned();
    run.handle_report(at(20), T0, at(15), &report(100, true));
    let actions = run.handle_report(at(20), T2, at(15), &report(100, false));
    let fence = |target| Fence { target, term: TERM };
    assert!(actions.contains(&fence(T0)) && !actions.contains(&fence(T2)));
    let actions = run.handle_fence_reply(at(25), T0, promise(103));
    assert!(!actions.contains(&fence(T2)));
    let actions = run.handle_report(at(40), T2, at(35), &report(103, false));
    assert!(actions.contains(&fence(T2)) && actions.contains(&fence(T1)));
    run.handle_fence_reply(at(45), T1, promise(103));
    assert_eq!(chosen(&run.tick(at(100))), None);
    assert_eq!(
        chosen(&run.handle_fence_reply(at(101), T2, promise(103))),
        Some(T2)
    );
}

// Guards against a group that stays without a primary because the named target does not receive the
// rest of the log.
#[test]
fn planned_run_returns_to_the_old_primary() {
    let mut run = start_planned();
    run.handle_report(at(20), T0, at(15), &report(100, true));
    run.handle_report(at(20), T2, at(15), &report(100, false));
    run.handle_fence_reply(at(25), T0, promise(103));
    run.tick(at(520));
    run.handle_fence_reply(at(530), T1, promise(99));
    assert_eq!(
        chosen(&run.handle_fence_reply(at(530), T2, promise(101))),
        Some(T0)
    );
}
