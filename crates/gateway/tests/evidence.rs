//! Evidence that answers wait for: a copy of each commit, and that the primary of a transaction still leads.

mod desk;
mod hand;

use heatherhollow_gateway::ClientCode;
use heatherhollow_gateway::GatewayEvent;
use heatherhollow_gateway::SessionState;
use heatherhollow_gateway::Statement;
use heatherhollow_gateway::TargetAnswer;
use heatherhollow_gateway::TargetEntry;
use heatherhollow_types::GroupPosition;

use desk::entry;
use desk::success;
use hand::BEGIN;
use hand::HandDesk;
use hand::code;

fn committed_at(position: u64) -> TargetAnswer {
    TargetAnswer {
        position: Some(GroupPosition::new(1, position)),
        ..success("", "sig", SessionState::Idle)
    }
}

/// A transaction that was begun at a primary does not read there once another target leads: the read
/// would miss commits of the new primary.
#[test]
fn transaction_does_not_outlast_its_primary() {
    let mut desk = HandDesk::new("own");
    desk.send(BEGIN);
    desk.send(Statement::Write);
    assert_eq!(desk.waiting_target(), 0);
    desk.answer(success("", "sig", SessionState::Transaction));
    desk.targets.successor = Some(1);
    for _ in 0..20 {
        desk.pass(100);
    }
    let answer = desk.send(Statement::Read);
    assert!(desk.waiting.is_empty(), "the read went to the old primary");
    assert_eq!(code(answer), Some(ClientCode::Aborted));
}

/// A commit may have its only other copy at a target that is not listed yet. A promotion would not ask
/// that one, so the commit is acknowledged only once a listed target has it.
#[test]
fn write_needs_a_listed_copy() {
    for (position, expected) in [(10, None), (11, Some(ClientCode::InDoubt))] {
        let mut desk = HandDesk::new("present");
        assert_eq!(desk.send(Statement::Write), None);
        // The replicas report position 10.
        let mut told = desk.answer(committed_at(position));
        for _ in 0..60 {
            desk.pass(20);
            told = told.or_else(|| desk.answers.pop());
        }
        assert!(told.is_some(), "the write at {position} got no answer");
        assert_eq!(code(told), expected);
    }
}

/// A commit whose copy no replica shows yet must not ask all of them again and again: each question takes a
/// slot at its target. All are asked in turn, as one may be cut off.
#[test]
fn one_replica_at_a_time_is_asked_for_a_copy() {
    let mut desk = HandDesk::new("present");
    desk.send(Statement::Write);
    desk.asked.clear();
    assert_eq!(desk.answer(committed_at(11)), None);
    for _ in 0..8 {
        desk.pass(10);
    }
    // One question each 20 ms of 110 ms, and one of the periodic observation.
    let replicas = desk.asked.iter().filter(|target| **target != 0).count();
    assert!(replicas <= 7, "{replicas} questions to replicas");
    for replica in [1, 2] {
        assert!(desk.asked.contains(&replica), "{replica} was not asked");
    }
}

/// A target that has just been listed may be unknown to the instance that orders a promotion.
#[test]
fn new_target_is_no_listed_copy() {
    let mut desk = HandDesk::new("present");
    for target in 1..3 {
        desk.tell(GatewayEvent::TargetUnlisted(format!("t{target}")));
    }
    for _ in 0..40 {
        desk.pass(100);
    }
    desk.tell(GatewayEvent::TargetListed(entry(3)));
    desk.pass(100);
    assert_eq!(desk.send(Statement::Write), None);
    let mut told = desk.answer(committed_at(10));
    for _ in 0..60 {
        desk.pass(20);
        told = told.or_else(|| desk.answers.pop());
    }
    assert_eq!(code(told), Some(ClientCode::InDoubt));
}

/// An outage of the store in which all entries lapse and come back is no replacement: writes go on.
#[test]
fn write_goes_on_while_entries_lapse() {
    let mut desk = HandDesk::new("present");
    for target in 0..3 {
        desk.tell(GatewayEvent::TargetUnlisted(format!("t{target}")));
    }
    assert_eq!(desk.send(Statement::Write), None);
    let answer = desk.answer(committed_at(10)).unwrap();
    assert_eq!(answer.end, Ok(Some("sig".to_string())));
    for _ in 0..40 {
        desk.pass(100);
    }
    for target in 0..3 {
        desk.tell(GatewayEvent::TargetListed(entry(target)));
    }
    for _ in 0..5 {
        desk.pass(100);
    }
    assert_eq!(desk.send(Statement::Write), None);
    let mut told = desk.answer(committed_at(10));
    for _ in 0..20 {
        desk.pass(20);
        told = told.or_else(|| desk.answers.pop());
    }
    assert_eq!(told.unwrap().end, Ok(Some("sig".to_string())));
}

/// Both replicas restart while the primary is healthy: writes to it go on.
#[test]
fn restarted_replicas_do_not_stop_writes() {
    let mut desk = HandDesk::new("present");
    for target in 1..3 {
        desk.tell(GatewayEvent::TargetListed(TargetEntry {
            incarnation: 2,
            ..entry(target)
        }));
    }
    desk.send(Statement::Read);
    desk.answer(success("row", "sig", SessionState::Idle));
    for _ in 0..55 {
        desk.pass(20);
    }
    desk.waiting.clear();
    let told = desk.send(Statement::Write);
    assert!(!desk.waiting.is_empty(), "the write was refused: {told:?}");
}

/// A commit in a transaction whose copy does not show ends in doubt; its connection serves again, and what
/// happens to it later is no matter of the client any more.
#[test]
fn connection_of_a_commit_in_doubt_serves_again() {
    let mut desk = HandDesk::new("present");
    desk.send(BEGIN);
    desk.send(Statement::Write);
    desk.answer(success("", "sig", SessionState::Transaction));
    desk.send(Statement::Commit);
    let (connection, target, _) = desk.waiting.last().expect("the commit was sent").clone();
    assert_eq!(target, 0);
    // The replicas report position 10.
    let mut told = desk.answer(committed_at(11));
    for _ in 0..60 {
        desk.pass(20);
        told = told.or_else(|| desk.answers.pop());
    }
    assert_eq!(code(told), Some(ClientCode::InDoubt));
    desk.send(Statement::Write);
    let (next, _, _) = desk.waiting.last().expect("a write was sent");
    assert_eq!(*next, connection);
}
