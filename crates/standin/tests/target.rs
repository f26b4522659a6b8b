//! One target and its connections: statements, slots, permits and faults.

mod support;

use std::time::Duration;

use tokio::time::Instant;
use tokio::time::sleep;
use tokio::time::timeout;

use heatherhollow_ports::AnswerPart;
use heatherhollow_ports::CallStep;
use heatherhollow_ports::TargetCall;
use heatherhollow_ports::TargetError;
use heatherhollow_standin::CutDirection;
use heatherhollow_standin::LinkEnd;
use heatherhollow_standin::LostCall;
use heatherhollow_standin::ReplyLoss;
use heatherhollow_types::FailureReason;
use heatherhollow_types::RequestOutcome;
use heatherhollow_types::TermNumber;

use support::MS;
use support::call;
use support::permit;
use support::single;
use support::step;
use support::target;
use support::test_group;
use support::with_request;

const FAILED: RequestOutcome = RequestOutcome::Failed(FailureReason::Statement);

/// Guards the statement language that experiments and the engine's tests are written in.
#[tokio::test(start_paused = true)]
async fn statements_give_rows_and_outcomes() {
    let group = test_group(|_| {});
    let mut connection = group.connect(0, 0).await.unwrap();
    let cases = [
        (
            "put lane:4 club a",
            Some(vec![r#"{"key":"lane:4","value":"club a"}"#]),
        ),
        (
            "get lane:4",
            Some(vec![r#"{"key":"lane:4","value":"club a"}"#]),
        ),
        ("insert lane:4 x", None),
        (
            "insert lane:5 x",
            Some(vec![r#"{"key":"lane:5","value":"x"}"#]),
        ),
        ("count lane:", Some(vec![r#"{"key":"lane:","value":"2"}"#])),
        (
            "scan lane: 5",
            Some(vec![
                r#"{"key":"lane:4","value":"club a"}"#,
                r#"{"key":"lane:5","value":"x"}"#,
            ]),
        ),
        (
            "delete lane:4",
            Some(vec![r#"{"key":"lane:4","value":null}"#]),
        ),
        ("get lane:4", Some(vec![])),
        ("slow 3 add n 4", Some(vec![r#"{"key":"n","value":"4"}"#])),
        ("add n -6", Some(vec![r#"{"key":"n","value":"-2"}"#])),
        ("add lane:5 1", None),
        (
            "add n 9223372036854775807",
            Some(vec![r#"{"key":"n","value":"9223372036854775805"}"#]),
        ),
        ("add n 9223372036854775807", None),
        ("", None),
        ("put lane:4", None),
        ("slow x get n", None),
        ("drop everything", None),
    ];
    for (statement, rows) in cases {
        let answer = call(&mut connection, single(statement)).await.unwrap();
        let is_done = rows.is_some();
        assert_eq!(answer.is_done(), is_done, "{statement}");
        assert!(is_done || answer.end.outcome == FAILED, "{statement}");
        assert_eq!(answer.rows, rows.unwrap_or_default(), "{statement}");
    }
}

/// Guards against calls that take no time, and against more statements at once than slots.
#[tokio::test(start_paused = true)]
async fn statements_queue_for_slots() {
    let group = test_group(|s| {
        s.targets[0].slots = 2;
        s.statement_time = 10 * MS;
    });
    let mut connections = Vec::new();
    let start = Instant::now();
    for number in 0..4 {
        connections.push(group.connect(0, number).await.unwrap());
    }
    // Two messages and 10 ms for each connection.
    assert_eq!(start.elapsed(), 4 * 12 * MS);
    let start = Instant::now();
    let calls = connections
        .iter_mut()
        .enumerate()
        .map(|(i, connection)| async move {
            call(connection, single(&format!("put k{i} v")))
                .await
                .unwrap();
            start.elapsed()
        });
    let times = futures::future::join_all(calls).await;
    assert_eq!(times, [12 * MS, 12 * MS, 22 * MS, 22 * MS]);
}

/// Guards against a target that runs writes of another term or in another role (requirement 3).
#[tokio::test(start_paused = true)]
async fn calls_of_another_term_or_role_do_not_run() {
    let group = test_group(|_| {});
    let of_term = |term| TargetCall {
        term: Some(TermNumber(term)),
        ..single("put k v")
    };
    let wrong = Err(TargetError::WrongTerm(TermNumber(1)));
    assert_eq!(group.call(0, of_term(2)).await, wrong);
    assert_eq!(group.call(1, of_term(2)).await, wrong);
    let not_primary = Err(TargetError::NotPrimary);
    assert_eq!(group.call(1, of_term(1)).await, not_primary);
    assert_eq!(group.call(1, step(CallStep::Begin, "")).await, not_primary);
    let read_only = TargetCall {
        is_read_only: true,
        ..single("put k v")
    };
    let answer = group.call(0, read_only).await.unwrap();
    assert_eq!(answer.end.outcome, FAILED);
    assert!(group.faults.rows(&target(0)).is_empty());
    assert!(group.call(0, of_term(1)).await.unwrap().is_done());
}

/// Guards against a repeat that runs while the first call is running, and against a look-up that
/// writes (requirement 4).
#[tokio::test(start_paused = true)]
async fn repeats_wait_for_the_first_call_and_get_its_answer() {
    let group = test_group(|_| {});
    let slow = with_request("slow 100 add n 1", "r1");
    let look_up = |request| TargetCall {
        is_read_only: true,
        ..with_request("", request)
    };
    let missing = group.call(0, look_up("r1")).await.unwrap();
    assert_eq!(
        (missing.end.outcome, missing.end.is_recorded),
        (FAILED, false)
    );
    let mut connections = Vec::new();
    for number in 0..3 {
        connections.push(group.connect(0, number).await.unwrap());
    }
    let [first, repeat, reader] = &mut connections[..] else {
        unreachable!()
    };
    let answers = futures::join!(
        call(first, slow.clone()),
        async {
            sleep(20 * MS).await;
            call(repeat, slow.clone()).await
        },
        async {
            sleep(30 * MS).await;
            call(reader, look_up("r1")).await
        },
    );
    let answers = [answers.0.unwrap(), answers.1.unwrap(), answers.2.unwrap()];
    assert_eq!(
        answers.each_ref().map(|a| a.end.is_recorded),
        [false, true, true]
    );
    for answer in &answers {
        assert!(answer.is_done());
        assert_eq!(answer.end.position, answers[0].end.position);
        assert_eq!(answer.rows, answers[0].rows);
    }
    assert_eq!(group.rows(0, "get n").await, [r#"{"key":"n","value":"1"}"#]);
    // A write that failed has no effect, so its id is free again.
    let insert = with_request("insert n 5", "r2");
    assert_eq!(group.call(0, insert).await.unwrap().end.outcome, FAILED);
    assert!(
        !group
            .call(0, with_request("put n 5", "r2"))
            .await
            .unwrap()
            .end
            .is_recorded
    );
}

/// Guards against an older connection that stays open beside a newer one of the same permit, also
/// when it is silent (requirement 5), and against room beyond the limit.
#[tokio::test(start_paused = true)]
async fn a_newer_connection_of_a_permit_closes_the_older_one() {
    let group = test_group(|s| s.targets[0].connection_limit = 2);
    let older = group.connect(0, 0).await.unwrap();
    let mut other = group.connect(0, 1).await.unwrap();
    let refused = group.connect(0, 2).await.map(|_| ());
    assert_eq!(refused, Err(TargetError::PermitRefused));
    group.faults.silence(&target(0), None);
    assert!(
        timeout(Duration::from_secs(60), other.check())
            .await
            .is_err()
    );
    let newer = group.connect(0, 0).await.unwrap();
    let newest = group.connect(0, 0).await.unwrap();
    sleep(5 * MS).await;
    // A silent connection does not learn that it was closed.
    assert_eq!((older.is_closed(), newer.is_closed()), (false, true));
    assert_eq!(group.faults.connections(&target(0)), 2);
    let start = Instant::now();
    drop((newest, other));
    assert_eq!(group.faults.connections(&target(0)), 2);
    sleep(MS).await;
    while group.faults.connections(&target(0)) > 1 {
        sleep(MS).await;
    }
    assert!(start.elapsed() <= 2 * MS, "closing takes the network delay");
}

/// Guards against transactions that survive their connection (requirement 6), and against a write
/// that is given up while it still waits for a slot but runs later.
#[tokio::test(start_paused = true)]
async fn a_closed_connection_leaves_only_running_statements() {
    let group = test_group(|s| s.targets[0].slots = 1);
    let mut running = group.connect(0, 0).await.unwrap();
    let mut queued = group.connect(0, 1).await.unwrap();
    let mut open = group.connect(0, 2).await.unwrap();
    call(&mut open, step(CallStep::Begin, "")).await.unwrap();
    let within = step(CallStep::Within, "put open v");
    call(&mut open, within).await.unwrap();
    running
        .begin_call(single("slow 50 put running v"))
        .await
        .unwrap();
    sleep(2 * MS).await;
    queued.begin_call(single("put queued v")).await.unwrap();
    sleep(2 * MS).await;
    drop((running, queued, open));
    sleep(100 * MS).await;
    let rows = group.faults.rows(&target(0));
    assert_eq!(rows, [("running".to_string(), "v".to_string())]);
}

/// Guards against a close that is lost because the running call ends while it is on its way; the
/// connection would keep its permit.
#[tokio::test(start_paused = true)]
async fn a_close_arrives_beside_the_end_of_a_call() {
    let group = test_group(|_| {});
    for wait in 0..8 {
        let mut connection = group.connect(0, wait).await.unwrap();
        connection.begin_call(single("put k v")).await.unwrap();
        sleep(u32::from(wait) * MS).await;
        drop(connection);
        sleep(20 * MS).await;
        assert_eq!(group.faults.connections(&target(0)), 0, "{wait} ms");
    }
}

/// Guards against calls that vanish when their caller gives up: in a network they arrive late.
#[tokio::test(start_paused = true)]
async fn an_abandoned_fence_takes_effect_after_a_stall() {
    let group = test_group(|_| {});
    group.faults.stall(&target(0), 500 * MS);
    let (port, candidate) = (group.port(0), support::candidate("i0"));
    let fence = port.fence(TermNumber(2), &candidate);
    assert!(timeout(100 * MS, fence).await.is_err());
    sleep(500 * MS).await;
    let not_primary = Err(TargetError::NotPrimary);
    assert_eq!(group.call(0, single("put k v")).await, not_primary);
}

/// Guards against two transactions that overwrite each other, and against reads that see half of
/// one.
#[tokio::test(start_paused = true)]
async fn the_first_of_two_conflicting_commits_wins() {
    let group = test_group(|_| {});
    let mut one = group.connect(0, 0).await.unwrap();
    let mut two = group.connect(0, 1).await.unwrap();
    for connection in [&mut one, &mut two] {
        call(connection, step(CallStep::Begin, "")).await.unwrap();
        let answer = call(connection, step(CallStep::Within, "add n 1")).await;
        assert_eq!(answer.unwrap().rows, [r#"{"key":"n","value":"1"}"#]);
    }
    assert_eq!(group.rows(0, "get n").await, [""; 0]);
    let commit = TargetCall {
        request: Some("r1".parse().unwrap()),
        ..step(CallStep::Commit, "")
    };
    let first = call(&mut one, commit.clone()).await.unwrap();
    assert!(first.is_done());
    let second = call(&mut two, step(CallStep::Commit, "")).await.unwrap();
    let rolled_back = RequestOutcome::Failed(FailureReason::RolledBack);
    assert_eq!(second.end.outcome, rolled_back);
    // A repeated commit is answered from its record.
    let repeated = call(&mut two, commit).await.unwrap();
    assert!(repeated.end.is_recorded);
    assert_eq!(repeated.end.position, first.end.position);
    let lost = call(&mut two, step(CallStep::Commit, "")).await;
    assert!(matches!(lost, Err(TargetError::Rejected(_))));
}

/// Guards against an answer that mixes two states, and against a slow reader that is not held up.
#[tokio::test(start_paused = true)]
async fn a_scan_shows_one_snapshot_and_waits_for_its_reader() {
    let group = test_group(|s| {
        s.targets[0].slots = 1;
        s.rows = (0..40)
            .map(|i| (format!("k{i:02}"), "old".to_string()))
            .collect();
    });
    let mut reader = group.connect(0, 0).await.unwrap();
    reader.begin_call(single("scan k")).await.unwrap();
    sleep(50 * MS).await;
    let write = group.call(0, single("put k39 new"));
    // The window is full, and the scan keeps the only slot.
    assert!(timeout(500 * MS, write).await.is_err());
    let mut rows = Vec::new();
    loop {
        match reader.next_part().await.unwrap() {
            AnswerPart::Row(row) => rows.push(row),
            AnswerPart::Head(head) => assert_eq!(head.position.0, 2),
            AnswerPart::End(end) => break assert_eq!(end.rows, 40),
        }
    }
    assert_eq!(rows[39], r#"{"key":"k39","value":"old"}"#);
}

/// Guards against parts that are lost when a caller stops waiting for them for a moment.
#[tokio::test(start_paused = true)]
async fn an_abandoned_wait_loses_no_part() {
    let group = test_group(|s| s.rows = vec![("k".to_string(), "v".to_string())]);
    // From the far region parts are on their way for several waits.
    let port = group.group.target(&target(0), &group.places[2]);
    let mut reader = port.connect(permit(0)).await.unwrap();
    reader.begin_call(single("slow 20 scan k")).await.unwrap();
    let mut parts = Vec::new();
    for _ in 0..200 {
        if parts.last().is_some_and(AnswerPart::is_end) {
            break;
        }
        if let Ok(part) = timeout(MS / 2, reader.next_part()).await {
            parts.push(part.unwrap());
        }
    }
    assert_eq!(parts.len(), 3);
}

/// Guards against stalls that let work go on or that lose it.
#[tokio::test(start_paused = true)]
async fn a_stalled_target_goes_on_afterwards() {
    let group = test_group(|s| s.statement_time = 10 * MS);
    let mut connection = group.connect(0, 0).await.unwrap();
    let start = Instant::now();
    connection.begin_call(single("put k v")).await.unwrap();
    sleep(5 * MS).await;
    group.faults.stall(&target(0), 500 * MS);
    let port = group.port(0);
    let (status, head) = futures::join!(port.status(), connection.next_part());
    assert!(status.is_ok() && head.is_ok());
    // Two messages, 10 ms of work and the stall.
    assert_eq!(start.elapsed(), 512 * MS);
    while !connection.next_part().await.unwrap().is_end() {}
    group.call(0, single("put k2 v")).await.unwrap();
    // The second row is due 20 ms after the first one, within the stall.
    connection.begin_call(single("scan k 20")).await.unwrap();
    sleep(15 * MS).await;
    let start = Instant::now();
    group.faults.stall(&target(0), 300 * MS);
    while !connection.next_part().await.unwrap().is_end() {}
    assert_eq!(start.elapsed(), 301 * MS);
}

/// Guards against killed targets that still answer, run something or forget what is on disk.
#[tokio::test(start_paused = true)]
async fn a_killed_target_keeps_only_what_is_on_disk() {
    let group = test_group(|_| {});
    group.call(0, with_request("put k v", "r1")).await.unwrap();
    let mut connection = group.connect(0, 0).await.unwrap();
    connection
        .begin_call(single("slow 50 put k w"))
        .await
        .unwrap();
    sleep(20 * MS).await;
    group.faults.kill(&target(0));
    assert_eq!(
        connection.next_part().await,
        Err(TargetError::ConnectionLost)
    );
    assert!(connection.is_closed());
    assert_eq!(
        connection.begin_call(single("get k")).await,
        Err(TargetError::NotSent)
    );
    let port = group.port(0);
    assert_eq!(port.status().await, Err(TargetError::ConnectionRefused));
    let refused = port.connect(permit(0)).await.map(|_| ());
    assert_eq!(refused, Err(TargetError::ConnectionRefused));
    sleep(100 * MS).await;
    group.faults.restart(&target(0));
    let repeat = group.call(0, with_request("put k v", "r1")).await.unwrap();
    assert!(repeat.end.is_recorded);
    assert_eq!(group.rows(0, "get k").await, [r#"{"key":"k","value":"v"}"#]);
}

/// Guards against silence that also hits new connections or those of other data centres.
#[tokio::test(start_paused = true)]
async fn silence_hits_only_the_named_connections() {
    let group = test_group(|_| {});
    let mut near = group.connect(0, 0).await.unwrap();
    let from_far = group.group.target(&target(0), &group.places[2]);
    let mut far = from_far.connect(permit(1)).await.unwrap();
    group.faults.silence(&target(0), Some(&group.places[2]));
    let long = Duration::from_secs(60);
    assert!(timeout(long, far.check()).await.is_err());
    assert!(
        timeout(long, call(&mut far, single("put k v")))
            .await
            .is_err()
    );
    assert!(
        call(&mut near, single("get k"))
            .await
            .unwrap()
            .rows
            .is_empty()
    );
    let mut new = from_far.connect(permit(2)).await.unwrap();
    assert!(timeout(long, new.check()).await.unwrap().is_ok());
}

/// Guards against cuts that answer with an error, or that lose the request when only the way back
/// is cut.
#[tokio::test(start_paused = true)]
async fn a_caller_that_is_cut_off_hangs() {
    let group = test_group(|_| {});
    let mut connection = group.connect(0, 0).await.unwrap();
    let (end, place) = (
        group.faults.link_end(&target(0)),
        LinkEnd::from(&group.places[0]),
    );
    group.network.cut(&end, &place, CutDirection::OneWay);
    let long = Duration::from_secs(60);
    let write = call(&mut connection, with_request("put k v", "r1"));
    assert!(timeout(long, write).await.is_err());
    assert!(timeout(long, group.port(0).status()).await.is_err());
    group.network.heal(&end, &place, CutDirection::OneWay);
    assert!(timeout(long, connection.check()).await.is_err());
    let repeat = group.call(0, with_request("put k v", "r1")).await.unwrap();
    assert!(repeat.end.is_recorded, "the write had arrived and run");
    let mut connection = group.connect(0, 1).await.unwrap();
    group.network.cut(&place, &end, CutDirection::OneWay);
    assert!(timeout(long, connection.check()).await.is_err());
    group.network.heal(&place, &end, CutDirection::OneWay);
    assert!(timeout(long, connection.check()).await.is_err());
}

/// Guards against lost replies of calls that did not take effect.
#[tokio::test(start_paused = true)]
async fn calls_with_lost_replies_take_effect() {
    let group = test_group(|_| {});
    let long = Duration::from_secs(60);
    for (loss, request) in [(ReplyLoss::Hang, "r1"), (ReplyLoss::Reset, "r2")] {
        group
            .faults
            .lose_replies(&target(0), LostCall::Write, loss, 1);
        let write = group.call(0, with_request("add n 1", request));
        match (loss, timeout(long, write).await) {
            (ReplyLoss::Hang, Err(_)) => {}
            (ReplyLoss::Reset, Ok(Err(TargetError::ConnectionLost))) => {}
            (_, reply) => panic!("{loss:?}: {reply:?}"),
        }
    }
    assert_eq!(group.rows(0, "get n").await, [r#"{"key":"n","value":"2"}"#]);
    let candidate = support::candidate("i0");
    let port = group.port(1);
    for (call, loss) in [
        (LostCall::Fence, ReplyLoss::Reset),
        (LostCall::Promote, ReplyLoss::Reset),
    ] {
        group.faults.lose_replies(&target(1), call, loss, 1);
    }
    let term = TermNumber(2);
    assert_eq!(
        port.fence(term, &candidate).await,
        Err(TargetError::ConnectionLost)
    );
    assert!(port.fence(term, &candidate).await.unwrap().is_accepted);
    assert_eq!(
        port.promote(term, &candidate).await,
        Err(TargetError::ConnectionLost)
    );
    let status = port.promote(term, &candidate).await.unwrap();
    assert_eq!(status.end.term, term);
    assert_eq!(
        status.history.starts().len(),
        2,
        "a repeated promotion adds nothing"
    );
}
