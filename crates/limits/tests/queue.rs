//! Properties of the admission queue and the retry budget.

use std::time::Duration;

use quickcheck::quickcheck;

use heatherhollow_limits::AdmissionQueue;
use heatherhollow_limits::QueueEntry;
use heatherhollow_limits::QueueSettings;
use heatherhollow_limits::RetryBudget;
use heatherhollow_limits::RetrySettings;
use heatherhollow_limits::TeamWeight;
use heatherhollow_limits::TicketNumber;
use heatherhollow_limits::retry_delay;
use heatherhollow_types::CallKind;
use heatherhollow_types::MonoTime;
use heatherhollow_types::RefusalReason;

fn entry(ticket: u64, team: &str, kind: CallKind, arrived: MonoTime, wait: u64) -> QueueEntry {
    QueueEntry {
        ticket: TicketNumber(ticket),
        team: team.parse().expect("valid team"),
        kind,
        arrived,
        deadline: arrived + Duration::from_millis(wait),
    }
}

/// Queues `flood` writes of one team and `starts` reads of another, and starts `starts` requests;
/// returns how many of these belong to the second team.
fn starts_of_quiet_team(flood: usize, weight: f64, starts: usize) -> usize {
    let quiet = TeamWeight {
        team: "quiet".parse().expect("valid team"),
        weight,
    };
    let settings = QueueSettings {
        weights: vec![quiet],
        max_length: 10_000,
        ..QueueSettings::default()
    };
    let mut queue = AdmissionQueue::new(settings);
    let now = MonoTime::from_millis(1);
    let mut ticket = 0;
    for _ in 0..flood {
        ticket += 1;
        let _ = queue.offer(
            entry(ticket, "flood", CallKind::Write, now, 600_000),
            0,
            now,
        );
    }
    for _ in 0..starts {
        ticket += 1;
        let _ = queue.offer(entry(ticket, "quiet", CallKind::Read, now, 600_000), 0, now);
    }
    let served = (0..starts).filter_map(|_| queue.pop_next(now));
    served
        .filter(|entry| entry.team.as_str() == "quiet")
        .count()
}

quickcheck! {
    // Guards against a team whose flood of requests, even of a preferred class, takes another
    // team's share.
    fn flood_of_one_team_does_not_starve_others(flood: u16, weight: u8, starts: u8) -> bool {
        let weight = f64::from(weight % 4 + 1);
        let starts = usize::from(starts) + 1;
        let fair = starts as f64 * weight / (weight + 1.0);
        starts_of_quiet_team(usize::from(flood % 4_000), weight, starts) as f64 >= fair.floor() - 1.0
    }

    // Guards against a request that is started after its deadline, one that is lost, and one that
    // is both refused and started.
    fn entry_is_neither_lost_nor_ended_twice(steps: Vec<(u8, u8, u16)>) -> bool {
        let mut queue = AdmissionQueue::new(QueueSettings::default());
        let mut now = MonoTime::from_millis(1);
        let mut accepted = 0;
        let mut ended = Vec::new();
        for (i, &(action, class, millis)) in steps.iter().enumerate() {
            now = now + Duration::from_millis(u64::from(millis % 120));
            match action % 3 {
                0 => {
                    let kinds = [CallKind::Transaction, CallKind::Write, CallKind::Read];
                    let kind = kinds[usize::from(class % 3)];
                    let team = if class % 2 == 0 { "a" } else { "b" };
                    let offered = entry(i as u64, team, kind, now, u64::from(millis % 500));
                    accepted += usize::from(queue.offer(offered, 0, now).is_ok());
                }
                1 => ended.extend(queue.expire(now).into_iter().map(|(ticket, _)| ticket)),
                _ => {
                    ended.extend(queue.expire(now).into_iter().map(|(ticket, _)| ticket));
                    if let Some(next) = queue.pop_next(now) {
                        if next.deadline <= now {
                            return false;
                        }
                        ended.push(next.ticket);
                    }
                }
            }
        }
        let count = ended.len();
        ended.sort_unstable();
        ended.dedup();
        ended.len() == count && count + queue.len() == accepted
    }

    // Guards against retries that multiply the load: their number is bounded by ratio and burst.
    fn retries_stay_within_budget(requests: u16) -> bool {
        let settings = RetrySettings::default();
        let mut budget = RetryBudget::new(settings.clone());
        let mut retries = 0;
        for _ in 0..requests {
            budget.record_request();
            retries += u32::from(budget.try_retry());
        }
        f64::from(retries) <= f64::from(requests) * settings.ratio + settings.burst
    }

    // Guards against a delay above the maximum after many attempts.
    fn retry_delay_is_bounded(attempt: u32, random: f64) -> bool {
        let settings = RetrySettings::default();
        let random = if random.is_nan() { 0.5 } else { random };
        retry_delay(&settings, attempt, random) <= settings.max_delay
    }
}

// Guards against a share property that would also hold in order of arrival, where a flood takes all
// starts.
#[test]
fn share_property_fails_for_arrival_order() {
    let by_arrival = (0..1_000).map(|_| "flood").chain((0..100).map(|_| "quiet"));
    let served = by_arrival.take(100).filter(|team| *team == "quiet").count();
    assert!((served as f64) < 100.0 / 2.0 - 1.0);
    assert!(starts_of_quiet_team(1_000, 1.0, 100) >= 49);
}

// Guards against a request that is queued although it cannot be started before its deadline.
#[test]
fn request_that_would_miss_its_deadline_is_refused() {
    let settings = QueueSettings {
        parallelism: 1,
        ..QueueSettings::default()
    };
    let mut queue = AdmissionQueue::new(settings);
    for _ in 0..200 {
        queue.record_service_time(Duration::from_millis(100));
    }
    let now = MonoTime::from_millis(1);
    for ticket in 0..5 {
        let offered = entry(ticket, "a", CallKind::Write, now, 10_000);
        assert!(queue.offer(offered, 1, now).is_ok());
    }
    let refusal = queue.offer(entry(9, "a", CallKind::Write, now, 300), 1, now);
    let refusal = refusal.expect_err("500 ms of work are ahead of a deadline of 300 ms");
    assert_eq!(refusal.reason, RefusalReason::Overloaded);
    assert!(refusal.retry_after >= Duration::from_millis(400));
}

// Guards against a standing queue that serves only requests whose callers are about to give up.
#[test]
fn standing_queue_refuses_requests_that_waited_too_long() {
    let mut queue = AdmissionQueue::new(QueueSettings::default());
    let start = MonoTime::from_millis(1);
    let offered = entry(1, "a", CallKind::Write, start, 5_000);
    queue.offer(offered, 0, start).expect("accepted");
    assert!(queue.expire(start + Duration::from_millis(150)).is_empty());
    let expired = queue.expire(start + Duration::from_millis(250));
    assert_eq!(expired[0].1.reason, RefusalReason::QueueTimeout);
}
