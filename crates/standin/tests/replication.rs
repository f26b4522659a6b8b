//! Replication, promotion and what a replica says of its primary.

mod support;

use std::time::Duration;

use tokio::time::Instant;
use tokio::time::sleep;

use heatherhollow_ports::AnswerPart;
use heatherhollow_ports::CallStep;
use heatherhollow_ports::TargetCall;
use heatherhollow_ports::TargetError;
use heatherhollow_ports::TargetRole;
use heatherhollow_types::GroupPosition;
use heatherhollow_types::RequestOutcome;
use heatherhollow_types::TermNumber;

use support::MS;
use support::call;
use support::candidate;
use support::single;
use support::step;
use support::target;
use support::test_group;
use support::with_request;

/// Guards against replicas that are ahead of their delay and lag, and against a lag that mixes up
/// what is in the log with what reads see.
#[tokio::test(start_paused = true)]
async fn records_arrive_after_delay_and_lag() {
    let group = test_group(|s| {
        s.targets[1].lag = 40 * MS;
        s.targets[1].apply_delay = 30 * MS;
        s.targets[2].lag = Duration::ZERO;
    });
    let mut connection = group.connect(0, 0).await.unwrap();
    connection.begin_call(single("put k v")).await.unwrap();
    // One message and the statement's time.
    sleep(3 * MS).await;
    let start = Instant::now();
    let positions = |index: usize| {
        let (_, status) = group.faults.statuses().swap_remove(index);
        (status.end.position.0, status.applied.position.0)
    };
    let mut reached = [[None; 2]; 3];
    while start.elapsed() < 200 * MS {
        for (index, reached) in reached.iter_mut().enumerate() {
            let (end, applied) = positions(index);
            for (place, position) in reached.iter_mut().zip([end, applied]) {
                if position == 2 {
                    place.get_or_insert(start.elapsed());
                }
            }
        }
        sleep(MS).await;
    }
    let expected = [[0, 0], [42, 72], [8, 8]].map(|times| times.map(|t| Some(t * MS)));
    // The message to the far region takes up to 1 ms of the link in addition.
    for (reached, expected) in reached.iter().flatten().zip(expected.iter().flatten()) {
        let late = reached.unwrap() - expected.unwrap();
        assert!(late <= 2 * MS, "{late:?} late");
    }
}

/// Guards against a lower lag that does not reach records which are waiting already.
#[tokio::test(start_paused = true)]
async fn a_lower_lag_frees_waiting_records() {
    let group = test_group(|s| s.targets[1].lag = Duration::from_secs(60));
    group.call(0, single("put k v")).await.unwrap();
    sleep(100 * MS).await;
    assert!(group.faults.rows(&target(1)).is_empty());
    group.faults.set_lag(&target(1), MS);
    sleep(5 * MS).await;
    assert_eq!(group.faults.rows(&target(1)).len(), 1);
}

/// Guards against a fenced primary that goes on writing, and against an answer for work that was
/// overtaken by the fence (requirement 1).
#[tokio::test(start_paused = true)]
async fn a_fenced_primary_takes_no_writes() {
    let group = test_group(|_| {});
    let mut connection = group.connect(0, 0).await.unwrap();
    connection
        .begin_call(single("slow 20 put k v"))
        .await
        .unwrap();
    let mut open = group.connect(0, 1).await.unwrap();
    call(&mut open, step(CallStep::Begin, "")).await.unwrap();
    call(&mut open, step(CallStep::Within, "put k w"))
        .await
        .unwrap();
    let reply = group
        .port(0)
        .fence(TermNumber(3), &candidate("i0"))
        .await
        .unwrap();
    assert!(reply.is_accepted);
    assert_eq!(reply.status.role, TargetRole::Replica);
    assert_eq!(connection.next_part().await, Err(TargetError::NotPrimary));
    assert!(call(&mut open, step(CallStep::Commit, "")).await.is_err());
    let of_old_term = TargetCall {
        term: Some(TermNumber(1)),
        ..single("put k v")
    };
    let wrong = Err(TargetError::WrongTerm(TermNumber(3)));
    assert_eq!(group.call(0, of_old_term).await, wrong);
    assert!(group.faults.rows(&target(0)).is_empty());
}

/// Guards against a fenced replica that still takes records of the old primary, and against a fence
/// that does not stop records which are waiting (requirement 1).
#[tokio::test(start_paused = true)]
async fn a_fenced_replica_takes_no_records_of_lower_terms() {
    let group = test_group(|s| s.targets[1].lag = 50 * MS);
    group.call(0, single("put k v")).await.unwrap();
    let port = group.port(1);
    assert!(
        port.fence(TermNumber(2), &candidate("i0"))
            .await
            .unwrap()
            .is_accepted
    );
    group.call(0, single("put l v")).await.unwrap();
    sleep(500 * MS).await;
    let rows = [0, 1, 2].map(|index| group.faults.rows(&target(index)).len());
    assert_eq!(rows, [2, 0, 2]);
}

/// Guards against two candidates that hold one promise, and against a promotion without a promise
/// (requirements 1 and 2).
#[tokio::test(start_paused = true)]
async fn a_term_is_promised_to_one_candidate() {
    let group = test_group(|_| {});
    let (one, two) = (candidate("i1"), candidate("i2"));
    let port = group.port(1);
    let (term, later) = (TermNumber(2), TermNumber(3));
    assert!(port.fence(term, &one).await.unwrap().is_accepted);
    assert!(port.fence(term, &one).await.unwrap().is_accepted);
    assert!(!port.fence(term, &two).await.unwrap().is_accepted);
    assert!(!port.fence(TermNumber(1), &two).await.unwrap().is_accepted);
    assert!(matches!(
        port.promote(term, &two).await,
        Err(TargetError::Rejected(_))
    ));
    assert_eq!(
        port.promote(later, &one).await,
        Err(TargetError::WrongTerm(term))
    );
    assert!(port.fence(later, &two).await.unwrap().is_accepted);
    assert_eq!(
        port.promote(term, &one).await,
        Err(TargetError::WrongTerm(later))
    );
    // A promise survives a kill.
    group.faults.kill(&target(1));
    group.faults.restart(&target(1));
    assert!(!port.fence(later, &one).await.unwrap().is_accepted);
    assert_eq!(
        port.promote(later, &two).await.unwrap().role,
        TargetRole::Primary
    );
    let late = port.follow(term, &target(0)).await;
    assert_eq!(late, Err(TargetError::WrongTerm(later)));
}

/// Guards against an old primary that keeps rows, records or positions which the group has lost.
#[tokio::test(start_paused = true)]
async fn an_old_primary_is_cut_back_to_the_new_log() {
    let group = test_group(|_| {});
    group
        .call(0, with_request("put kept 1", "r1"))
        .await
        .unwrap();
    sleep(100 * MS).await;
    group.cut_off(0, true);
    // The old primary goes on for callers that still reach it.
    let place = (&group.places[0]).into();
    let end = group.faults.link_end(&target(0));
    group
        .network
        .heal(&place, &end, heatherhollow_standin::CutDirection::Both);
    let lost = group
        .call(0, with_request("put lost 1", "r2"))
        .await
        .unwrap();
    assert_eq!(lost.end.position, Some(GroupPosition::new(1, 3)));
    let mut reader = group.connect(0, 7).await.unwrap();
    let begin = TargetCall {
        is_read_only: true,
        ..step(CallStep::Begin, "")
    };
    call(&mut reader, begin).await.unwrap();
    group
        .network
        .cut(&place, &end, heatherhollow_standin::CutDirection::Both);
    let chosen = group.promote(2, &candidate("i0")).await.unwrap();
    assert_ne!(chosen, 0);
    let again = group
        .call(chosen, with_request("put lost 2", "r2"))
        .await
        .unwrap();
    assert_eq!(again.end.position, Some(GroupPosition::new(2, 4)));
    group.cut_off(0, false);
    group
        .port(0)
        .follow(TermNumber(2), &target(chosen))
        .await
        .unwrap();
    sleep(200 * MS).await;
    let (_, status) = group.faults.statuses().swap_remove(0);
    assert_eq!(status.role, TargetRole::Replica);
    assert_eq!(status.end, GroupPosition::new(2, 4));
    assert!(!status.history.contains(lost.end.position.unwrap()));
    assert_eq!(
        group.faults.records(&target(0)),
        group.faults.records(&target(chosen))
    );
    assert_eq!(
        group.faults.rows(&target(0)),
        group.faults.rows(&target(chosen))
    );
    let answer = call(&mut reader, step(CallStep::Within, "get lost")).await;
    assert!(answer.is_err() || !matches!(answer.unwrap().end.outcome, RequestOutcome::Done));
}

/// Guards against replicas that hear from a primary that is gone, cut off or stalled, and against
/// lag that looks like silence (requirement 7).
#[tokio::test(start_paused = true)]
async fn a_replica_says_how_long_its_primary_has_been_silent() {
    let group = test_group(|s| s.targets[1].lag = Duration::from_secs(5));
    let silence = |index: usize| {
        group
            .faults
            .statuses()
            .swap_remove(index)
            .1
            .primary_silent_for
    };
    sleep(Duration::from_secs(2)).await;
    assert_eq!(silence(0), None);
    assert!(silence(1).unwrap() <= 105 * MS);
    group.faults.stall(&target(0), 500 * MS);
    sleep(490 * MS).await;
    assert!(silence(1).unwrap() >= 380 * MS);
    sleep(120 * MS).await;
    assert!(silence(1).unwrap() <= 110 * MS);
    group.cut_off(0, true);
    sleep(Duration::from_secs(3)).await;
    assert!(silence(1).unwrap() >= Duration::from_millis(2_880));
    group.cut_off(0, false);
    sleep(210 * MS).await;
    assert!(silence(1).unwrap() <= 110 * MS);
    group.faults.kill(&target(0));
    sleep(Duration::from_secs(1)).await;
    assert!(silence(2).unwrap() >= Duration::from_millis(880));
}

/// Guards against a restarted primary that does not replicate, and against a replica that misses
/// what was written while it was away.
#[tokio::test(start_paused = true)]
async fn restarted_targets_catch_up() {
    let group = test_group(|_| {});
    group.faults.kill(&target(1));
    for i in 0..600 {
        let mut connection = group.connect(0, i % 8).await.unwrap();
        connection
            .begin_call(single(&format!("put k{i} v")))
            .await
            .unwrap();
        while !connection.next_part().await.unwrap().is_end() {}
    }
    group.faults.restart(&target(1));
    sleep(500 * MS).await;
    assert_eq!(group.faults.rows(&target(1)).len(), 600);
    group.faults.kill(&target(0));
    group.faults.restart(&target(0));
    group.call(0, single("put k600 v")).await.unwrap();
    sleep(500 * MS).await;
    for index in 0..3 {
        assert_eq!(group.faults.rows(&target(index)).len(), 601);
    }
    group.faults.set_leaving(&target(2), true);
    assert!(group.port(2).status().await.unwrap().is_leaving);
}

/// Guards against reads of a replica that show more than the position in their head.
#[tokio::test(start_paused = true)]
async fn a_read_shows_the_state_at_its_head() {
    let group = test_group(|s| s.targets[1].apply_delay = 50 * MS);
    let mut reader = group.connect(1, 0).await.unwrap();
    let mut writer = group.connect(0, 0).await.unwrap();
    let write = async {
        for _ in 0..100 {
            call(&mut writer, single("add n 1")).await.unwrap();
        }
    };
    let read = async {
        for _ in 0..100 {
            reader.begin_call(single("get n")).await.unwrap();
            let Ok(AnswerPart::Head(head)) = reader.next_part().await else {
                panic!("no head");
            };
            // Position 1 is the mark of the term; each further one adds 1.
            let shown = match reader.next_part().await.unwrap() {
                AnswerPart::Row(row) => {
                    reader.next_part().await.unwrap();
                    let row: serde_json::Value = serde_json::from_slice(&row).unwrap();
                    row["value"].as_str().unwrap().parse().unwrap()
                }
                _ => 0,
            };
            assert_eq!(head.position.0, 1 + shown);
        }
    };
    futures::join!(write, read);
}
