//! Histories with broken promises, which the checker has to catch.

use std::time::Duration;

use tokio::time::Instant;
use tokio::time::advance;

use heatherhollow_experiment::FinalRows;
use heatherhollow_experiment::History;
use heatherhollow_experiment::WriteFate;
use heatherhollow_types::FailureReason;
use heatherhollow_types::RefusalReason;
use heatherhollow_types::RequestOutcome;
use heatherhollow_types::TargetName;
use heatherhollow_types::UnknownReason;

const AGE: Duration = Duration::from_secs(2);

const REFUSED: RequestOutcome =
    RequestOutcome::not_run(RefusalReason::QueueTimeout, Duration::ZERO);

fn target() -> TargetName {
    "bookings-1".parse().expect("a valid name")
}

fn assert_kept(history: &History) {
    assert_eq!(history.broken_count(), 0, "{:?}", history.examples());
}

fn assert_broken(history: &History, promise: &str) {
    let examples = history.examples();
    assert_eq!(history.broken_count(), 1, "{examples:?}");
    assert!(examples[0].starts_with(promise), "{examples:?}");
}

/// A history of one write with the outcomes of its attempts, compared with rows at the end.
fn written(keys: &[&str], outcomes: &[Option<RequestOutcome>], rows: &[(&str, &str)]) -> History {
    let history = History::default();
    let mut fate = WriteFate::default();
    for outcome in outcomes {
        fate.add(*outcome);
    }
    history.record_write(keys.iter().map(ToString::to_string).collect(), fate);
    let rows = rows.iter();
    let rows = rows.map(|(key, value)| (key.to_string(), value.to_string()));
    history.check_writes(&rows.collect::<FinalRows>());
    history
}

/// Guards against a checker that overlooks a write which was acknowledged and is not there.
#[test]
fn lost_write_is_caught() {
    let done = Some(RequestOutcome::Done);
    assert_kept(&written(&["w"], &[done], &[("w", "1")]));
    assert_broken(&written(&["w"], &[done], &[]), "lost write");
    assert_broken(&written(&["w"], &[None, done], &[]), "lost write");
}

/// Guards against a checker that overlooks a repeat which took effect twice.
#[test]
fn doubled_write_is_caught() {
    let unknown = Some(RequestOutcome::Unknown(UnknownReason::Unconfirmed));
    for outcome in [Some(RequestOutcome::Done), unknown, None] {
        assert_kept(&written(&["w"], &[outcome], &[("w", "1")]));
        assert_broken(&written(&["w"], &[outcome], &[("w", "2")]), "doubled write");
    }
    let history = History::default();
    history.check_write_rows(&[r#"{"key":"w","value":"1"}"#.to_string()], "w");
    assert_kept(&history);
    history.check_write_rows(&[r#"{"key":"w","value":"2"}"#.to_string()], "w");
    assert_broken(&history, "doubled write");
}

/// Guards against a checker that overlooks effects of a request which was refused or failed.
#[test]
fn refused_write_that_ran_is_caught() {
    let failed = RequestOutcome::Failed(FailureReason::PositionLost);
    for outcome in [REFUSED, failed] {
        assert_kept(&written(&["w"], &[Some(outcome)], &[]));
        let ran = written(&["w"], &[Some(outcome)], &[("w", "1")]);
        assert_broken(&ran, "not run, but ran");
    }
    // An uncertain attempt before the refusal may have run.
    assert_kept(&written(&["w"], &[None, Some(REFUSED)], &[("w", "1")]));
}

/// Guards against a checker that overlooks a transaction of which one half is there.
#[test]
fn partial_transaction_is_caught() {
    let keys = ["a", "b"];
    assert_kept(&written(&keys, &[None], &[("a", "1"), ("b", "1")]));
    assert_kept(&written(&keys, &[None], &[]));
    let partial = written(&keys, &[None], &[("b", "1")]);
    assert_broken(&partial, "partial transaction");
}

/// Guards against a checker that overlooks a read without the session's own write.
#[test]
fn read_that_misses_an_own_write_is_caught() {
    let rows = [r#"{"key":"w:1:1","value":"1"}"#.to_string()];
    let history = History::default();
    let own = |keys: &'static [&'static str]| keys.iter().copied();
    history.check_own_rows("w:1:", own(&["w:1:1", "t:1:2:a"]), &rows, None);
    assert_kept(&history);
    history.check_own_rows("w:1:", own(&["w:1:1", "w:1:2"]), &rows, Some(&target()));
    assert_broken(&history, "read-your-writes");
}

/// Guards against a checker that overlooks rows of another caller's answer.
#[test]
fn mixed_answer_is_caught() {
    let rows = [r#"{"key":"w:2:1","value":"1"}"#.to_string()];
    let history = History::default();
    history.check_own_rows("w:1:", std::iter::empty(), &rows, None);
    assert_broken(&history, "mixed answer");
    let history = History::default();
    history.check_write_rows(&rows, "w:1:1");
    assert_broken(&history, "mixed answer");
    let history = History::default();
    history.check_write_rows(&[], "w:1:1");
    assert_broken(&history, "mixed answer");
}

/// Guards against a checker that accepts a read older than the age of its kind.
#[tokio::test(start_paused = true)]
async fn stale_read_is_caught() {
    let history = History::default();
    history.record_tick(Instant::now(), 1);
    history.record_tick(Instant::now(), 2);
    advance(AGE - Duration::from_millis(1)).await;
    history.check_tick(Instant::now(), AGE, 0, "overview");
    assert_kept(&history);
    advance(Duration::from_millis(1)).await;
    history.check_tick(Instant::now(), AGE, 2, "overview");
    assert_kept(&history);
    history.check_tick(Instant::now(), AGE, 1, "overview");
    assert_broken(&history, "stale read");

    let current = History::default();
    current.record_tick(Instant::now(), 1);
    current.check_tick(Instant::now(), Duration::ZERO, 0, "current");
    assert_broken(&current, "stale read");

    let stated = History::default();
    stated.check_age("overview", AGE, AGE);
    assert_kept(&stated);
    stated.check_age("overview", AGE, AGE + Duration::from_millis(1));
    assert_broken(&stated, "stale read");
}

/// Guards against a checker that overlooks new work at a target three seconds after its sign.
#[tokio::test(start_paused = true)]
async fn work_at_a_leaving_target_is_caught() {
    let history = History::default();
    history.target_leaves(&target(), Instant::now());
    advance(Duration::from_secs(3)).await;
    history.check_target(Instant::now(), &target(), "read");
    assert_kept(&history);
    advance(Duration::from_millis(1)).await;
    let other = "bookings-2".parse().expect("a valid name");
    history.check_target(Instant::now(), &other, "read");
    assert_kept(&history);
    history.check_target(Instant::now(), &target(), "read");
    assert_broken(&history, "work at a leaving target");
    history.target_stays(&target());
    history.check_target(Instant::now(), &target(), "read");
    assert_eq!(history.broken_count(), 1);
}

/// Guards against a checker that overlooks a request which a planned stop cut.
#[test]
fn cut_request_is_caught() {
    let history = History::default();
    history.record_cut("lanes \"scan w:1:\"");
    assert_broken(&history, "cut by a planned stop");
}

/// Guards against a checker that overlooks two winners, none, or a wrong report.
#[test]
fn wrong_race_is_caught() {
    for winner in [[true, false], [false, true]] {
        let history = History::default();
        history.check_race(winner, winner);
        assert_kept(&history);
    }
    let wrong = [
        ([true, true], [true, true]),
        ([false, false], [false, false]),
        ([false, false], [true, false]),
        ([true, true], [true, false]),
        ([false, true], [true, false]),
    ];
    for (reported, stored) in wrong {
        let history = History::default();
        history.check_race(reported, stored);
        assert_broken(&history, "racing settings");
    }
}

/// Guards against a checker that overlooks a late or a reverted change of settings.
#[test]
fn late_and_reverted_settings_are_caught() {
    let limit = Duration::from_secs(7);
    let late = History::default();
    late.record_force(limit);
    assert_kept(&late);
    late.record_force(limit + Duration::from_millis(1));
    assert_broken(&late, "settings in force");

    let reverted = History::default();
    reverted.check_revisions("instance-1", 3, 3);
    reverted.check_revisions("instance-1", 3, 4);
    assert_kept(&reverted);
    reverted.check_revisions("instance-1", 4, 3);
    assert_broken(&reverted, "settings reverted");
}

/// Guards against a checker that overlooks too many connections.
#[test]
fn exceeded_connection_limit_is_caught() {
    let history = History::default();
    history.check_connections(&target(), 20, 20);
    assert_kept(&history);
    history.check_connections(&target(), 21, 20);
    assert_broken(&history, "connection limit");
}

/// Guards against a gap that ends with the last write although no write followed it.
#[tokio::test(start_paused = true)]
async fn gap_without_a_later_write_is_measured() {
    let history = History::default();
    history.record_write_answer(Instant::now(), Some(RequestOutcome::Done));
    advance(Duration::from_secs(1)).await;
    let kill = Instant::now();
    let span = Duration::from_secs(6);
    assert_eq!(history.longest_gap(kill, span), Duration::from_secs(7));
    advance(Duration::from_secs(1)).await;
    history.record_write_answer(Instant::now(), Some(RequestOutcome::Done));
    assert_eq!(history.longest_gap(kill, span), Duration::from_secs(5));
}
