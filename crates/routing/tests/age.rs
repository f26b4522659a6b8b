//! Bounds of ages, against the true state of a simulated group.

mod support;

use heatherhollow_routing::FreshnessTracker;
use heatherhollow_routing::MAX_SAMPLES;
use heatherhollow_types::GroupPosition;
use heatherhollow_types::MonoTime;
use heatherhollow_types::TermNumber;

use support::assert_caught;
use support::assert_holds;
use support::at;
use support::group::ObserverRule;
use support::group::RealObserver;
use support::group::SimGroup;
use support::ms;

/// Broken: takes a sample for as new as its arrival.
struct SampleAtArrival;

impl ObserverRule for SampleAtArrival {
    fn sample_time(_: MonoTime, answered_at: MonoTime) -> MonoTime {
        answered_at
    }
}

/// Broken: takes a term check for as new as its arrival.
struct CheckAtArrival;

impl ObserverRule for CheckAtArrival {
    fn check_time(_: MonoTime, answered_at: MonoTime) -> MonoTime {
        answered_at
    }
}

/// Broken: takes one answer, such as that of a replaced primary itself, for a term check.
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

/// Guards against old data that counts as young: after a promotion, with late answers, or from a
/// primary that was replaced without knowing it.
#[test]
fn age_bound_is_never_below_the_true_age() {
    assert_holds(age_is_never_too_low::<RealObserver> as fn(_) -> _);
    assert_caught(age_is_never_too_low::<SampleAtArrival> as fn(_) -> _);
    assert_caught(age_is_never_too_low::<CheckAtArrival> as fn(_) -> _);
    assert_caught(age_is_never_too_low::<OneAnswerSuffices> as fn(_) -> _);
}

/// Ages of the positions that were written some milliseconds before, with a sample every 100 ms.
fn tracked_age(ages: &[u64], is_bounded_by_newest: bool) -> Vec<Option<u64>> {
    let mut tracker = FreshnessTracker::default();
    let first = if is_bounded_by_newest {
        // Broken: keeps the newest samples alone.
        900 - MAX_SAMPLES as u64
    } else {
        0
    };
    let now = 900 * 100;
    for i in first..=900 {
        tracker.observe_primary(at(i * 100), TermNumber(1), GroupPosition::new(1, i * 100));
    }
    tracker.observe_term_check(at(now), TermNumber(1));
    ages.iter()
        .map(|age| {
            let position = GroupPosition::new(1, now - age);
            tracker
                .age_bound(position, at(now))
                .map(|bound| bound.as_millis() as u64)
        })
        .collect()
}

fn long_span_is_covered(ages: Vec<u16>, is_bounded_by_newest: bool) -> bool {
    let ages = ages
        .iter()
        .map(|&age| u64::from(age) % 30_000)
        .collect::<Vec<_>>();
    let bounds = tracked_age(&ages, is_bounded_by_newest);
    ages.iter().zip(bounds).all(|(&age, bound)| {
        bound.is_some_and(|bound| bound >= age && bound <= age + age / 10 + 100)
    })
}

/// Guards against ages of up to 30 s that become unknown or much too high as samples are removed.
#[test]
fn samples_span_thirty_seconds() {
    assert_holds((|ages| long_span_is_covered(ages, false)) as fn(_) -> _);
    assert_caught((|ages| long_span_is_covered(ages, true)) as fn(_) -> _);
}

/// Guards against a lag estimate that is far from a constant true lag.
#[test]
fn lag_estimate_follows_a_constant_lag() {
    for lag in [5, 30, 80, 150, 200, 900] {
        let mut tracker = FreshnessTracker::default();
        let replica = heatherhollow_types::TargetIndex(1);
        for i in 20..120 {
            // One record a millisecond; the replica is polled between two samples.
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
