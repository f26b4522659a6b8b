//! Age bounds and lag estimates, compared with the true state of a simulated group.

mod support;

use std::sync::LazyLock;

use heatherhollow_routing::FreshnessTracker;
use heatherhollow_routing::MAX_SAMPLES;
use heatherhollow_types::GroupPosition;
use heatherhollow_types::MonoTime;
use heatherhollow_types::TargetIndex;
use heatherhollow_types::TermNumber;

use support::assert_caught;
use support::assert_holds;
use support::at;
use support::group::CorrectObserver;
use support::group::ObserverRule;
use support::group::SimGroup;
use support::ms;

/// Faulty: dates a sample at the arrival of the answer instead of the start of the call.
struct SampleAtArrival;

impl ObserverRule for SampleAtArrival {
    fn sample_time(_: MonoTime, answered_at: MonoTime) -> MonoTime {
        answered_at
    }
}

/// Faulty: dates a term check at the arrival of the answers instead of the start of the calls.
struct CheckAtArrival;

impl ObserverRule for CheckAtArrival {
    fn check_time(_: MonoTime, answered_at: MonoTime) -> MonoTime {
        answered_at
    }
}

/// Faulty: accepts one answer, such as that of the replaced primary itself, as a term check.
struct OneAnswerSuffices;

impl ObserverRule for OneAnswerSuffices {
    fn is_majority(answers: usize) -> bool {
        answers >= 1
    }
}

fn age_is_never_too_low<O: ObserverRule>(steps: Vec<(u8, u8)>) -> bool {
    let mut group = SimGroup::new();
    steps.into_iter().all(|(kind, pick)| {
        group.step::<O>(kind, pick);
        group.targets.iter().all(|target| {
            let Some(bound) = group.tracker.age_bound(target.position(), group.now) else {
                return true;
            };
            let first_missing = group.first_missing(&target.log);
            first_missing.is_none_or(|time| group.now - time <= bound)
        })
    })
}

/// Guards against an age bound below the true age after a promotion, with delayed answers, or for
/// data of a primary that has not noticed its replacement.
#[test]
fn age_bound_is_never_below_the_true_age() {
    assert_holds(age_is_never_too_low::<CorrectObserver> as fn(_) -> _);
    assert_caught(age_is_never_too_low::<SampleAtArrival> as fn(_) -> _);
    assert_caught(age_is_never_too_low::<CheckAtArrival> as fn(_) -> _);
    assert_caught(age_is_never_too_low::<OneAnswerSuffices> as fn(_) -> _);
}

const SPAN_END: u64 = 90_000;

/// Returns a tracker with a sample every 100 ms. The position of a record is the time of its write.
fn tracker_from(first: u64) -> FreshnessTracker {
    let mut tracker = FreshnessTracker::default();
    for time in (first..=SPAN_END).step_by(100) {
        tracker.observe_primary(at(time), TermNumber(1), GroupPosition::new(1, time));
    }
    tracker.observe_term_check(at(SPAN_END), TermNumber(1));
    tracker
}

static TRACKER: LazyLock<FreshnessTracker> = LazyLock::new(|| tracker_from(0));

/// Faulty: retains only the newest samples, up to the maximum number.
static NEWEST_ONLY: LazyLock<FreshnessTracker> =
    LazyLock::new(|| tracker_from(SPAN_END - MAX_SAMPLES as u64 * 100));

fn long_span_is_covered(tracker: &FreshnessTracker, age: u16) -> bool {
    let age = u64::from(age) % 30_000;
    let bound = tracker.age_bound(GroupPosition::new(1, SPAN_END - age), at(SPAN_END));
    bound.is_some_and(|bound| bound >= ms(age) && bound <= ms(age + age / 10 + 100))
}

/// Guards against bounds of ages up to 30 s that become unknown or far too high as samples are
/// removed.
#[test]
fn removed_samples_keep_ages_of_thirty_seconds_bounded() {
    assert_holds((|age| long_span_is_covered(&TRACKER, age)) as fn(_) -> _);
    assert_caught((|age| long_span_is_covered(&NEWEST_ONLY, age)) as fn(_) -> _);
}

/// Guards against a lag estimate that is far from a constant true lag.
#[test]
fn lag_estimate_follows_a_constant_lag() {
    for lag in [5, 30, 80, 150, 200, 900] {
        let mut tracker = FreshnessTracker::default();
        let replica = TargetIndex(1);
        for i in 20..120 {
            // The primary writes one record per millisecond; the replica is polled between two
            // samples.
            let (sampled_at, polled_at) = (i * 100, i * 100 + 60);
            tracker.observe_primary(
                at(sampled_at),
                TermNumber(1),
                GroupPosition::new(1, sampled_at),
            );
            tracker.observe_replica(
                replica,
                at(polled_at),
                GroupPosition::new(1, polled_at - lag),
            );
        }
        let estimate = tracker.lag(replica, at(12_000)).unwrap();
        assert!(estimate.bound() + ms(40) >= ms(lag), "{lag}: {estimate:?}");
        assert!(estimate.mean <= ms(lag + 40), "{lag}: {estimate:?}");
    }
}

/// Guards against an estimate that falls to zero in an idle group, whose replicas have every
/// record.
#[test]
fn lag_estimate_survives_idle_time() {
    let mut tracker = FreshnessTracker::default();
    let replica = TargetIndex(1);
    for time in (0..20_000).step_by(100) {
        let written = |time: u64| GroupPosition::new(1, time.min(5_000));
        tracker.observe_primary(at(time), TermNumber(1), written(time));
        tracker.observe_replica(replica, at(time + 2), written(time.saturating_sub(150)));
    }
    let mean = tracker.lag(replica, at(20_000)).unwrap().mean;
    assert!(mean >= ms(120) && mean <= ms(180), "{mean:?}");
}
