//! Behaviour of the adaptive limit against a target of fixed capacity.

use std::time::Duration;

use heatherhollow_limits::AdaptiveLimit;
use heatherhollow_limits::AdaptiveSettings;
use heatherhollow_types::MonoTime;

/// Duration of a call.
const CALL_TIME: Duration = Duration::from_millis(20);

/// Rounds of calls after which the limit has converged.
const SETTLING_ROUNDS: u32 = 200;

/// Rounds of calls over which accepted and refused calls are counted.
const COUNTED_ROUNDS: u32 = 2_000;

/// At most one call in this many accepted ones may be refused: the share of statements that reach
/// targets and do not run has to be small (issue 15), and replication lag accounts for a part of
/// it.
const CALLS_PER_REFUSAL: usize = 20;

/// Target that receives as many calls as the limit allows in each round.
struct BusyTarget {
    limit: AdaptiveLimit,
    now: MonoTime,
}

impl BusyTarget {
    fn new() -> Self {
        Self {
            limit: AdaptiveLimit::new(AdaptiveSettings::default()),
            now: MonoTime::from_millis(1_000),
        }
    }

    /// Plays rounds against a capacity of `room` calls; returns the numbers of accepted and refused
    /// calls.
    fn play(&mut self, room: usize, rounds: u32) -> (usize, usize) {
        let (mut taken, mut refused) = (0, 0);
        for _ in 0..rounds {
            let started = self.limit.value();
            let running = started.min(room);
            for _ in running..started {
                self.limit.record_refused(self.now);
                refused += 1;
            }
            self.now = self.now + CALL_TIME;
            for _ in 0..running {
                self.limit.record_accepted(running);
                taken += 1;
            }
        }
        (taken, refused)
    }
}

/// Guards against a limit that is refused again and again, and against one that leaves capacity
/// unused.
#[test]
fn few_calls_are_refused_at_any_capacity() {
    for room in [1, 2, 3, 4, 6, 9, 19, 40] {
        let mut target = BusyTarget::new();
        target.play(room, SETTLING_ROUNDS);
        let (taken, refused) = target.play(room, COUNTED_ROUNDS);
        assert!(
            refused * CALLS_PER_REFUSAL <= taken,
            "room for {room}: {refused} refused, {taken} taken"
        );
        let most = room * COUNTED_ROUNDS as usize;
        assert!(
            taken * 10 >= most * 7,
            "room for {room}: {taken} taken of {most}"
        );
    }
}

/// Guards against a limit that stays low after the capacity has grown.
///
/// The limit needs the calls of one probe and then, as a rule, two rounds for each further call,
/// since a round leaves it just below the next integer; the test allows three.
#[test]
fn limit_rises_when_capacity_grows() {
    let calls_per_probe = AdaptiveSettings::default().calls_per_probe;
    for room in [2, 6, 19] {
        let mut target = BusyTarget::new();
        target.play(1, SETTLING_ROUNDS);
        let rounds = calls_per_probe + 3 * room as u32;
        target.play(room, rounds);
        let value = target.limit.value();
        assert!(
            value >= room,
            "room for {room}: {value} after {rounds} rounds"
        );
    }
}
