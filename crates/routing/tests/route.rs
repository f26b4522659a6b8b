//! Choice of targets: waits for replicas, the primary's share of reads, and unusable targets.

mod support;

use std::time::Duration;

use heatherhollow_routing::FreshnessTracker;
use heatherhollow_routing::RouteChoice;
use heatherhollow_routing::RouteMode;
use heatherhollow_routing::RoutePolicy;
use heatherhollow_routing::RouteQuery;
use heatherhollow_routing::TargetView;
use heatherhollow_routing::choose_after_wait;
use heatherhollow_routing::choose_route;
use heatherhollow_session::ReadRequirement;
use heatherhollow_types::GroupPosition;
use heatherhollow_types::RefusalReason;
use heatherhollow_types::TargetIndex;
use heatherhollow_types::TermNumber;

use support::assert_caught;
use support::assert_holds;
use support::at;
use support::ms;
use support::view;

const NOW: u64 = 12_345;
const PRIMARY: TargetIndex = TargetIndex(0);

/// Returns a tracker with observations up to `NOW` of a group that writes one record per
/// millisecond and has two replicas with a lag of `lag` milliseconds. The position of a record is
/// the time of its write.
fn tracker_with_lag(lag: u64) -> FreshnessTracker {
    let mut tracker = FreshnessTracker::default();
    for time in (0..=NOW).step_by(100) {
        tracker.observe_primary(at(time), TermNumber(1), GroupPosition::new(1, time));
        for (i, polled_at) in [time + 20, time + 40].into_iter().enumerate() {
            let position = GroupPosition::new(1, polled_at.saturating_sub(lag));
            tracker.observe_replica(TargetIndex(i as u16 + 1), at(polled_at), position);
        }
        tracker.observe_term_check(at(time), TermNumber(1));
    }
    tracker
}

/// Returns a read right after a write of the same session.
fn query_after_write(max_age: Duration) -> RouteQuery {
    RouteQuery {
        requirement: ReadRequirement::AtLeast(GroupPosition::new(1, NOW)),
        max_age,
        max_wait: ms(250),
        deadline: at(NOW + 2_000),
    }
}

fn route(query: &RouteQuery, lag: u64, mode: RouteMode) -> RouteChoice {
    // The surcharge is below the `max_wait` of the queries, so that both waiting and the primary
    // can have the lowest cost.
    let policy = RoutePolicy {
        mode,
        stale_tolerant_surcharge: ms(150),
        ..RoutePolicy::default()
    };
    let views = [view(0), view(1), view(2)];
    choose_route(query, &views, &tracker_with_lag(lag), &policy, at(NOW))
}

fn waits_for_replica(lag: u8, mode: RouteMode) -> bool {
    let query = query_after_write(ms(1_000));
    match route(&query, u64::from(lag) % 120, mode) {
        RouteChoice::SendTo(target) => target != PRIMARY,
        RouteChoice::WaitFor {
            target,
            until,
            fallback,
        } => target != PRIMARY && until <= at(NOW + 250) && fallback == Some(PRIMARY),
        RouteChoice::Refuse { .. } => false,
    }
}

/// Guards against reads after a write that use the primary although a replica will soon have the
/// write.
#[test]
fn read_after_write_waits_for_a_replica() {
    assert_holds((|lag| waits_for_replica(lag, RouteMode::LowestCost)) as fn(_) -> _);
    assert_caught((|lag| waits_for_replica(lag, RouteMode::NearestFresh)) as fn(_) -> _);
    assert_caught((|lag| waits_for_replica(lag, RouteMode::PrimaryAfterWrite)) as fn(_) -> _);
}

/// Guards against a wait for a replica that costs more than a read at the primary.
#[test]
fn reads_with_long_waits_use_the_primary() {
    let aged = query_after_write(ms(1_000));
    let fresh = query_after_write(ms(900));
    let mode = RouteMode::LowestCost;
    assert_eq!(route(&aged, 240, mode), RouteChoice::SendTo(PRIMARY));
    assert_eq!(route(&fresh, 120, mode), RouteChoice::SendTo(PRIMARY));
    assert_ne!(route(&fresh, 20, mode), RouteChoice::SendTo(PRIMARY));
    let present = RouteQuery {
        max_age: Duration::ZERO,
        requirement: ReadRequirement::None,
        ..aged
    };
    assert_eq!(route(&present, 0, mode), RouteChoice::SendTo(PRIMARY));
}

/// Starts and ends reads in random order while all replicas lag by 2 s and the primary has `slots`
/// slots.
fn primary_share_is_respected(steps: Vec<(u8, u8)>, slots: u8, counts_reads: bool) -> bool {
    let policy = RoutePolicy::default();
    let tracker = tracker_with_lag(2_000);
    let slots = u32::from(slots) % 40 + 1;
    let mut running = 0;
    steps.into_iter().all(|(kind, wait)| {
        if kind % 3 == 0 {
            running = u32::saturating_sub(running, 1);
            return true;
        }
        let primary = TargetView {
            slots,
            in_flight: running,
            // The faulty variant does not count reads.
            reads_in_flight: if counts_reads { running } else { 0 },
            ..view(0)
        };
        let query = RouteQuery {
            max_wait: ms(u64::from(wait)),
            max_age: ms(u64::from(wait) * 20 + 1),
            ..query_after_write(ms(1_000))
        };
        let views = [primary, view(1), view(2)];
        match choose_route(&query, &views, &tracker, &policy, at(NOW)) {
            RouteChoice::SendTo(PRIMARY) => running += 1,
            RouteChoice::Refuse { reason, .. } => {
                return reason == RefusalReason::ReplicasLagging && running > 0;
            }
            _ => return false,
        }
        running <= (slots / 4).max(1)
    })
}

/// Guards against reads that occupy the primary's slots for writes when all replicas lag.
#[test]
fn lagging_replicas_leave_primary_slots_for_writes() {
    assert_holds((|steps, slots| primary_share_is_respected(steps, slots, true)) as fn(_, _) -> _);
    assert_caught(
        (|steps, slots| primary_share_is_respected(steps, slots, false)) as fn(_, _) -> _,
    );
}

/// Routes reads over targets in random states; the faulty variant hides that targets are unusable.
fn avoids_unusable(states: Vec<(u8, u8)>, lag: u8, hides_state: bool) -> bool {
    let views_of = |hides_state: bool| {
        let states = states.iter().take(5).enumerate();
        let views = states.map(|(i, &(flags, busy))| TargetView {
            is_leaving: flags & 3 == 0 && !hides_state,
            is_suspected: flags & 12 == 0 && !hides_state,
            is_remote: flags & 16 == 0,
            slots: u32::from(flags >> 5),
            in_flight: u32::from(busy),
            ..view(i as u16)
        });
        views.collect::<Vec<_>>()
    };
    let (views, seen) = (views_of(false), views_of(hides_state));
    let is_usable = |target: TargetIndex| {
        let view = &views[target.as_usize()];
        !view.is_leaving && !view.is_suspected && view.slots > 0
    };
    let policy = RoutePolicy::default();
    let tracker = tracker_with_lag(u64::from(lag));
    let limits = policy.min_retry_after..=policy.max_retry_after;
    [ms(0), ms(100), ms(1_000)].into_iter().all(|max_age| {
        let query = query_after_write(max_age);
        let choices = [choose_route, choose_after_wait]
            .map(|choose| choose(&query, &seen, &tracker, &policy, at(NOW)));
        let is_wait = matches!(choices[1], RouteChoice::WaitFor { .. });
        !is_wait
            && choices.into_iter().all(|choice| match choice {
                RouteChoice::SendTo(target) => is_usable(target),
                RouteChoice::WaitFor {
                    target, fallback, ..
                } => is_usable(target) && fallback.is_none_or(is_usable),
                RouteChoice::Refuse { retry_after, .. } => limits.contains(&retry_after),
            })
    })
}

/// Guards against reads that are sent to targets that are leaving, suspected or without slots.
#[test]
fn unusable_targets_get_no_reads() {
    assert_holds((|states, lag| avoids_unusable(states, lag, false)) as fn(_, _) -> _);
    assert_caught((|states, lag| avoids_unusable(states, lag, true)) as fn(_, _) -> _);
}

/// Guards against a refusal whose reason states the wrong fault.
#[test]
fn refusals_state_their_reason() {
    let choose = |views: &[TargetView], query: &RouteQuery, lag: u64| {
        let policy = RoutePolicy::default();
        let tracker = tracker_with_lag(lag);
        match choose_route(query, views, &tracker, &policy, at(NOW)) {
            RouteChoice::Refuse { reason, .. } => Some(reason),
            _ => None,
        }
    };
    let query = query_after_write(ms(1_000));
    let any = RouteQuery {
        requirement: ReadRequirement::None,
        ..query
    };
    let present = query_after_write(Duration::ZERO);
    let past = RouteQuery {
        deadline: at(NOW),
        ..query
    };
    let busy = TargetView {
        in_flight: 10_000,
        ..view(0)
    };
    let reason = choose(&[], &query, 0);
    assert_eq!(reason, Some(RefusalReason::Unreachable));
    let reason = choose(&[view(1)], &present, 0);
    assert_eq!(reason, Some(RefusalReason::NoPrimary));
    let reason = choose(&[view(1)], &any, 3_000);
    assert_eq!(reason, Some(RefusalReason::TooOld));
    let reason = choose(&[view(1)], &query, 900);
    assert_eq!(reason, Some(RefusalReason::ReplicasLagging));
    let reason = choose(&[busy], &query, 0);
    assert_eq!(reason, Some(RefusalReason::Overloaded));
    let reason = choose(&[view(0)], &past, 0);
    assert_eq!(reason, Some(RefusalReason::DeadlinePassed));
}
