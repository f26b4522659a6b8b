//! Decay of smoothed call durations.

use std::time::Duration;

use quickcheck::quickcheck;

use heatherhollow_limits::SmoothedTime;
use heatherhollow_types::MonoTime;

/// Longest call that the property generates; deadlines bound the calls of a real caller.
const LONGEST_CALL: Duration = Duration::from_secs(10);

/// Time without calls after which a target counts as quick again.
const FADE_SPAN: Duration = Duration::from_secs(15);

/// Returns whether a target counts as quick after calls of these durations, in ms, and a pause.
/// `fades` is false for the variant without decay.
fn is_quick_after_pause(calls: &[u16], fades: bool) -> bool {
    let mut time = SmoothedTime::default();
    let mut now = MonoTime::from_millis(1);
    for &millis in calls {
        let took = Duration::from_millis(u64::from(millis)).min(LONGEST_CALL);
        now = now + took;
        time.record(took, now);
    }
    let seen_at = if fades { now + FADE_SPAN } else { now };
    time.value(seen_at) < Duration::from_millis(1)
}

quickcheck! {
    // Guards against a target that is avoided for ever because its last calls were slow.
    fn slow_target_counts_as_quick_after_a_pause(calls: Vec<u16>) -> bool {
        is_quick_after_pause(&calls, true)
    }

    // Guards against a smoothed time above all of its samples.
    fn smoothed_time_is_not_above_the_longest_call(calls: Vec<u16>) -> bool {
        let mut time = SmoothedTime::default();
        let now = MonoTime::from_millis(1);
        for &millis in &calls {
            time.record(Duration::from_millis(u64::from(millis)), now);
        }
        let longest = calls.iter().max().copied().unwrap_or(0);
        time.value(now) <= Duration::from_millis(u64::from(longest))
    }
}

// Guards against a property on quickness that misses a smoothed time without decay.
#[test]
fn quickness_property_fails_without_decay() {
    assert!(!is_quick_after_pause(&[5_000, 5_000], false));
}
