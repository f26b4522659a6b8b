//! Streams of a link over loopback: order, flow control, cancellation and limits.

mod support;

use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use tokio::task::JoinSet;

use heatherhollow_peer::MAX_CALL_BYTES;
use heatherhollow_peer::PeerSettings;
use heatherhollow_ports::AnswerPart;
use heatherhollow_ports::PeerCall;
use heatherhollow_ports::PeerError;
use heatherhollow_ports::PeerPort;
use heatherhollow_types::RefusalReason;
use heatherhollow_types::RequestOutcome;
use heatherhollow_types::UnknownReason;

use support::PATIENCE;
use support::TestNode;
use support::call;
use support::check_answer;
use support::check_rest;
use support::end_of;
use support::name;
use support::next;
use support::settings;
use support::start_pair;
use support::wait_until;

const LOST: RequestOutcome = RequestOutcome::Unknown(UnknownReason::ConnectionLost);

async fn pair() -> (TestNode, TestNode) {
    start_pair(settings("a-1"), settings("b-1")).await
}

/// Guards against a reader that stops stopping the whole link, and against the serving side pulling
/// an answer that nobody reads.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn small_calls_finish_while_a_large_answer_is_stopped() {
    let (a, b) = pair().await;
    let (count, size) = (5_000, 4_000);
    let mut large = a.open(&b, &format!("rows 1 {count} {size}")).await;
    assert!(matches!(
        next(large.as_mut()).await,
        Some(AnswerPart::Head(_))
    ));
    for seed in 2..40 {
        a.check_rows(&b, seed, 3, 100).await;
    }
    let small = 38 * 3;
    let pulled = b.handler.pulled.load(Ordering::Relaxed) - small;
    // The window, and the parts that are packed or ready, each of at most 16 KB.
    assert!(pulled * size <= 128 * 1024, "{pulled} rows were pulled");
    check_rest(large.as_mut(), 1, 0, count, size).await;
}

/// Guards against a call that waits behind another one's large answer, or behind a row that is
/// split over many frames. The large answers are read all the time and do not end.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn small_calls_finish_while_large_answers_flow() {
    let (a, b) = pair().await;
    let mut readers = JoinSet::new();
    for (seed, size) in [(1, 3_000_000), (2, 10), (3, 20_000)] {
        let text = format!("rows {seed} {} {size}", u64::MAX);
        let mut large = a.open(&b, &text).await;
        readers.spawn(async move { while next(large.as_mut()).await.is_some() {} });
    }
    for seed in 10..60 {
        a.check_rows(&b, seed, 3, 100).await;
        b.check_rows(&a, seed, 3, 100).await;
    }
    let is_flowing = readers.try_join_next().is_none();
    assert!(is_flowing, "a large answer ended");
    readers.shutdown().await;
    wait_until("the large answers are dropped", || {
        *b.handler.dropped.borrow() == 3
    })
    .await;
}

/// Guards against parts of one answer in another, and against parts that are lost or reordered,
/// with calls in both directions at once.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn concurrent_streams_get_their_whole_own_answers() {
    let (a, b) = pair().await;
    let mut calls = JoinSet::new();
    for seed in 0..200 {
        // Every tenth answer has rows of several frames.
        let size = if seed % 10 == 0 { 50_000 } else { 300 };
        let (caller, peer) = if seed % 2 == 0 { (&a, &b) } else { (&b, &a) };
        let text = format!("rows {seed} 100 {size}");
        let mut answer = caller.open(peer, &text).await;
        calls.spawn(async move { check_answer(answer.as_mut(), seed, 100, size).await });
    }
    calls.join_all().await;
    for node in [&a, &b] {
        assert_eq!(node.network.counters().streams_opened(), 100);
        assert_eq!(node.network.counters().calls_served(), 100);
        assert_eq!(node.network.counters().streams_cancelled(), 0);
        assert_eq!(node.network.counters().streams_lost(), 0);
    }
}

/// Guards against rows at the limit being refused, and against unbounded rows taking memory.
#[tokio::test]
async fn rows_are_bounded() {
    let limited = PeerSettings {
        max_row_bytes: 100_000,
        ..settings("a-1")
    };
    let (a, b) = start_pair(limited, settings("b-1")).await;
    a.check_rows(&b, 1, 2, 100_000).await;

    // The serving side allows the row, the reader does not.
    let mut answer = a.open(&b, "rows 1 2 100001").await;
    assert!(matches!(
        next(answer.as_mut()).await,
        Some(AnswerPart::Head(_))
    ));
    assert_eq!(end_of(answer.as_mut()).await, LOST);
    assert_eq!(next(answer.as_mut()).await, None);
    wait_until("the answer is cancelled", || {
        *b.handler.dropped.borrow() == 1
    })
    .await;

    // The serving side does not allow the row.
    let mut answer = b.open(&a, "rows 1 2 100001").await;
    assert!(matches!(
        next(answer.as_mut()).await,
        Some(AnswerPart::Head(_))
    ));
    assert_eq!(end_of(answer.as_mut()).await, LOST);
    a.check_rows(&b, 2, 3, 100).await;
}

/// Guards against work going on for an answer that nobody wants.
#[tokio::test]
async fn dropping_an_answer_cancels_the_call() {
    let (a, b) = pair().await;
    let waiting = a.open(&b, "hang").await;
    let mut begun = a.open(&b, "rows 1 1000000 4000").await;
    assert!(matches!(
        next(begun.as_mut()).await,
        Some(AnswerPart::Head(_))
    ));
    wait_until("both calls have started", || {
        b.handler.calls.lock().unwrap().len() == 2
    })
    .await;
    drop(waiting);
    drop(begun);
    wait_until("both answers are dropped", || {
        *b.handler.dropped.borrow() == 2
    })
    .await;
    assert_eq!(a.network.counters().streams_cancelled(), 2);
    assert_eq!(b.network.counters().calls_cancelled(), 2);
    assert_eq!(b.network.counters().calls_served(), 2);
    a.check_rows(&b, 2, 3, 100).await;
}

/// Guards against an answer that is held back until more of it is there.
#[tokio::test]
async fn rows_are_passed_on_as_they_come() {
    let (a, b) = pair().await;
    let mut answer = a.open(&b, "early").await;
    let row = Some(AnswerPart::Row("1".into()));
    assert_eq!(next(answer.as_mut()).await, row);
    b.handler.gate.send_replace(true);
    assert_eq!(end_of(answer.as_mut()).await, RequestOutcome::Done);
}

/// Guards against unbounded streams, and against a refused call being run.
#[tokio::test]
async fn streams_are_bounded() {
    let limited = PeerSettings {
        max_streams: 2,
        ..settings("b-1")
    };
    let (a, b) = start_pair(settings("a-1"), limited).await;
    let first = a.open(&b, "hang").await;
    let _second = a.open(&b, "hang").await;
    let mut third = a.open(&b, "hang third").await;
    let RequestOutcome::NotRun {
        reason,
        retry_after,
    } = end_of(third.as_mut()).await
    else {
        panic!("the call is refused");
    };
    assert_eq!(reason, RefusalReason::TooMany);
    assert!(retry_after > Duration::ZERO);
    drop(first);
    a.check_rows(&b, 1, 3, 100).await;
    let calls = b.handler.calls.lock().unwrap().clone();
    assert!(!calls.contains(&"hang third".to_string()));
    assert_eq!(a.network.counters().streams_refused(), 1);
}

/// Guards against calls that cannot be sent being reported as if they could have run.
#[tokio::test]
async fn calls_that_are_not_sent_say_so() {
    let (a, b) = pair().await;
    let result = a.network.call(&name("c-1"), call("hang")).await;
    assert_eq!(result.err(), Some(PeerError::NotSent));

    let expired = PeerCall {
        time_left: Duration::ZERO,
        ..call("hang")
    };
    let result = a.network.call(&b.name, expired).await;
    assert_eq!(result.err(), Some(PeerError::NotSent));

    let body = "rows 1 1 1 ".repeat(MAX_CALL_BYTES);
    let fits = call(&body[..MAX_CALL_BYTES]);
    let mut answer = a.network.call(&b.name, fits).await.expect("it is sent");
    check_answer(answer.as_mut(), 1, 1, 1).await;
    let too_large = call(&body[..MAX_CALL_BYTES + 1]);
    let result = a.network.call(&b.name, too_large).await;
    let outcome = end_of(result.expect("it is refused").as_mut()).await;
    assert!(matches!(
        outcome,
        RequestOutcome::NotRun {
            reason: RefusalReason::BadRequest,
            ..
        }
    ));
    assert_eq!(b.handler.calls.lock().unwrap().len(), 1);
}

/// Guards against a caller that waits for ever because the handler broke off.
#[tokio::test]
async fn a_handler_that_breaks_off_ends_the_call_as_unknown() {
    let (a, b) = pair().await;
    for command in ["panic", "stop"] {
        let mut answer = a.open(&b, command).await;
        assert_eq!(end_of(answer.as_mut()).await, LOST, "{command}");
    }
    a.check_rows(&b, 1, 3, 100).await;
}

/// Guards against control messages that are cut, joined or reordered, and against streams that
/// stand still meanwhile.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn control_messages_arrive_whole_and_in_order() {
    let (a, b) = pair().await;
    let sizes = [10, 1_000_000, 0, 16 * 1024, 16 * 1024 + 1, 500_000, 1];
    let messages: Vec<_> = (0_u8..)
        .zip(sizes)
        .map(|(i, size)| Bytes::from(vec![i; size]))
        .collect();
    for message in &messages {
        a.network.send_control(&b.name, message.clone());
    }
    a.check_rows(&b, 1, 3, 100).await;
    wait_until("all messages have arrived", || {
        b.handler.control.lock().unwrap().len() == messages.len()
    })
    .await;
    let is_same = *b.handler.control.lock().unwrap() == messages;
    assert!(is_same, "the messages differ");

    // Beyond the limit of a message, and without a link.
    a.network.send_control(&b.name, vec![0; 3_000_000].into());
    a.network.send_control(&name("c-1"), Bytes::new());
    assert_eq!(a.network.counters().control_dropped(), 2);
}

/// Guards against a planned stop that cuts streams under way, or that takes on new ones.
#[tokio::test]
async fn a_shutdown_lets_streams_finish_and_refuses_new_ones() {
    let patient = PeerSettings {
        drain_limit: PATIENCE,
        ..settings("a-1")
    };
    let (a, b) = start_pair(patient, settings("b-1")).await;
    let mut waiting = a.open(&b, "wait").await;
    let mut incoming = b.open(&a, "wait").await;
    let network = a.network.clone();
    let shutdown = tokio::spawn(async move { network.shutdown().await });
    while a.network.call(&b.name, call("hang")).await.is_ok() {
        tokio::task::yield_now().await;
    }
    let mut refused = b.open(&a, "hang").await;
    assert!(matches!(
        end_of(refused.as_mut()).await,
        RequestOutcome::NotRun {
            reason: RefusalReason::Draining,
            ..
        }
    ));
    assert!(!shutdown.is_finished());
    b.handler.gate.send_replace(true);
    a.handler.gate.send_replace(true);
    assert_eq!(end_of(waiting.as_mut()).await, RequestOutcome::Done);
    assert_eq!(end_of(incoming.as_mut()).await, RequestOutcome::Done);
    shutdown.await.expect("the shutdown ends");
    assert!(a.network.connected().is_empty());
    let changes = a.handler.changes.lock().unwrap().clone();
    assert_eq!(
        changes,
        [("b-1".to_string(), true), ("b-1".to_string(), false)]
    );
    wait_until("the peer sees it", || b.network.connected().is_empty()).await;
}
