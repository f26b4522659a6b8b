//! Decisions that were taken under one term of a group and are used under another.
//!
//! In each case target 1 leads term 2 while target 0, which led term 1, has not heard of it and goes on
//! answering.

mod desk;
mod harness;

use std::time::Duration;

use heatherhollow_gateway::ClientAnswer;
use heatherhollow_gateway::ClientCode;
use heatherhollow_gateway::ClientId;
use heatherhollow_gateway::ClientQuery;
use heatherhollow_gateway::DutyToken;
use heatherhollow_gateway::ForwardedQuery;
use heatherhollow_gateway::GatewayEvent;
use heatherhollow_gateway::GroupRule;
use heatherhollow_gateway::SessionState;
use heatherhollow_gateway::Statement;
use heatherhollow_gateway::TargetAnswer;
use heatherhollow_gateway::TargetCall;
use heatherhollow_gateway::TargetEntry;
use heatherhollow_gateway::TargetRole;
use heatherhollow_gateway::TargetState;
use heatherhollow_gateway::TransactionPart;
use heatherhollow_types::GroupPosition;
use heatherhollow_types::MonoTime;
use heatherhollow_types::TermNumber;

use desk::entry;
use desk::success;
use harness::BEGIN;
use harness::GatewayHarness;
use harness::catalog;
use harness::error_code;

/// An answer of target 0 with a commit that only it has.
fn committed_in_term_1() -> TargetAnswer {
    TargetAnswer {
        position: Some(GroupPosition::new(1, 11)),
        ..success("", "sig", SessionState::Idle)
    }
}

/// Lets ticks pass until an answer comes, for up to three seconds.
fn await_answer(harness: &mut GatewayHarness) -> Option<ClientAnswer> {
    for _ in 0..150 {
        if let Some(answer) = harness.answers.pop() {
            return Some(answer);
        }
        harness.advance(20);
    }
    None
}

/// The entries of both replicas lapse and their targets are removed; one of them is promoted.
fn unlist_replicas(harness: &mut GatewayHarness) {
    for target in 1..3 {
        harness.deliver(GatewayEvent::TargetUnlisted(format!("t{target}")));
    }
    for _ in 0..40 {
        harness.advance(100);
    }
    harness.targets.successor = Some(1);
}

/// What a client is told of a read that a target answers.
fn read_answer(harness: &mut GatewayHarness) -> Option<ClientAnswer> {
    let answer = harness.send(Statement::Read);
    if harness.pending.is_empty() {
        return answer;
    }
    let answer = harness.answer_pending(success("row", "sig", SessionState::Idle));
    answer.or_else(|| await_answer(harness))
}

/// What a client is told of a read after target 1 has restarted without hearing that target 2 leads.
fn read_answer_after_restart(harness: &mut GatewayHarness) -> Option<ClientAnswer> {
    harness.targets.successor = Some(2);
    harness.targets.unaware = vec![1];
    harness.deliver(GatewayEvent::TargetListed(TargetEntry {
        born: 2,
        ..entry(1)
    }));
    harness.advance(20);
    read_answer(harness)
}

/// A read that another instance forwards.
fn forwarded_read(position: GroupPosition) -> ForwardedQuery {
    ForwardedQuery {
        serial: 1,
        query: ClientQuery {
            id: "q1".to_string(),
            text: "READ item".to_string(),
            statement: Statement::Read,
        },
        route: catalog().routes[0].clone(),
        part: TransactionPart::Single,
        values: Vec::new(),
        shape: None,
        position: Some(position),
        has_doubt: false,
    }
}

/// A session that committed in term 2 through another home reads here, where term 2 is not known yet: the
/// read would miss the session's own commit.
#[test]
fn forwarded_read_does_not_miss_a_commit_of_a_later_term() {
    let mut harness = GatewayHarness::new("own");
    harness.targets.successor = Some(1);
    let position = GroupPosition::new(2, 20);
    harness.deliver(GatewayEvent::Forwarded {
        client: ClientId(9),
        query: Box::new(forwarded_read(position)),
    });
    for _ in 0..20 {
        if harness.pending.is_empty() {
            harness.advance(20);
        }
    }
    let (_, target, call) = harness.pending.first().expect("term 2 has a primary");
    let is_checked = matches!(call, TargetCall::Forward { after, .. } if *after >= Some(position));
    assert!(
        *target == 1 || is_checked,
        "{call:?} went to target {target}"
    );
}

/// A commit of the old primary is not taken for copied because replicas have later records of term 2.
#[test]
fn write_of_an_old_primary_is_not_acknowledged() {
    let mut harness = GatewayHarness::new("present");
    assert_eq!(harness.send(Statement::Write), None);
    assert_eq!(harness.pending_target(), 0);
    harness.targets.successor = Some(1);
    for _ in 0..10 {
        harness.advance(80);
    }
    let answer = harness.answer_pending(committed_in_term_1());
    let answer = answer.or_else(|| await_answer(&mut harness));
    assert_eq!(error_code(answer), Some(ClientCode::InDoubt));
}

/// A transaction with writes does not commit at an old primary, also if one of its reads was proved
/// fresh.
#[test]
fn transaction_does_not_commit_at_an_old_primary() {
    let mut harness = GatewayHarness::new("present");
    harness.send(BEGIN);
    harness.send(Statement::Read);
    let read = harness.answer_pending(success("row", "sig", SessionState::Transaction));
    assert!(read.is_some_and(|answer| answer.end.is_ok()));
    harness.send(Statement::Write);
    harness.answer_pending(success("", "sig", SessionState::Transaction));
    harness.targets.successor = Some(1);
    for _ in 0..20 {
        harness.advance(100);
    }
    let answer = harness.send(Statement::Commit);
    assert!(
        harness.pending.is_empty(),
        "the commit went to the old primary"
    );
    assert_eq!(error_code(answer), Some(ClientCode::Aborted));
}

/// A primary whose replicas are not listed here may have been replaced by one of them: its own word does
/// not show that it leads.
#[test]
fn primary_does_not_prove_its_own_leadership_while_replicas_are_unlisted() {
    let mut harness = GatewayHarness::new("present");
    unlist_replicas(&mut harness);
    assert!(read_answer(&mut harness).is_some_and(|answer| answer.end.is_err()));
}

/// A target that has just been listed may be unknown to the instance that ordered a promotion, and so
/// not have been paused: it does not show that the old primary leads.
#[test]
fn new_target_does_not_prove_leadership() {
    let mut harness = GatewayHarness::new("present");
    unlist_replicas(&mut harness);
    harness.targets.unaware = vec![3];
    harness.deliver(GatewayEvent::TargetListed(entry(3)));
    harness.advance(20);
    assert!(read_answer(&mut harness).is_some_and(|answer| answer.end.is_err()));
}

/// A target that has restarted forgot that a promotion had paused it: it does not show that the old
/// primary leads.
#[test]
fn restarted_target_does_not_prove_leadership() {
    let mut harness = GatewayHarness::new("present");
    harness.deliver(GatewayEvent::TargetUnlisted("t2".to_string()));
    for _ in 0..40 {
        harness.advance(100);
    }
    let answer = read_answer_after_restart(&mut harness);
    assert!(answer.is_some_and(|answer| answer.end.is_err()));
}

/// A run of a promotion that waits for the duty while another target comes to lead pauses nothing: the
/// new primary would stop taking part.
#[test]
fn outdated_promotion_pauses_no_target() {
    let mut harness = GatewayHarness::new("present");
    let leaving = TargetEntry {
        state: TargetState::Draining,
        ..entry(0)
    };
    harness.deliver(GatewayEvent::TargetListed(leaving));
    for _ in 0..30 {
        harness.advance(20);
    }
    harness.targets.successor = Some(1);
    // The question for evidence of leadership shows term 2.
    harness.send(Statement::Read);
    harness.answer_pending(success("row", "sig", SessionState::Idle));
    harness.setup_calls.clear();
    let valid_until = harness.now + Duration::from_secs(3);
    let token = DutyToken {
        number: 1,
        valid_until,
    };
    harness.deliver(GatewayEvent::DutyAnswered(Ok(token)));
    for _ in 0..60 {
        harness.advance(20);
    }
    let is_pause = |call: &TargetCall| matches!(call, TargetCall::Pause(_));
    assert!(
        !harness.setup_calls.iter().any(is_pause),
        "{:?}",
        harness.setup_calls
    );
}

/// A transaction whose begin is on its way while another target comes to lead reads nothing at the old
/// primary, which lacks commits of the new one; it begins anew.
#[test]
fn transaction_restarts_if_the_term_changes_during_its_begin() {
    let mut harness = GatewayHarness::new("own");
    harness.defers_begin = true;
    harness.deliver(GatewayEvent::TargetListed(TargetEntry {
        state: TargetState::Draining,
        ..entry(1)
    }));
    harness.deliver(GatewayEvent::TargetListed(TargetEntry {
        state: TargetState::Draining,
        ..entry(2)
    }));
    harness.send(Statement::Begin { is_read_only: true });
    harness.send(Statement::Read);
    assert_eq!(harness.pending_target(), 0);
    harness.targets.successor = Some(1);
    harness.deliver(GatewayEvent::TargetListed(TargetEntry {
        role: Some(TargetRole::Primary),
        ..entry(1)
    }));
    harness.answer_pending(success("", "-", SessionState::Transaction));
    let (_, target, call) = harness.pending.last().expect("the transaction begins anew");
    assert_ne!(*target, 0);
    assert!(matches!(call, TargetCall::Begin { .. }), "{call:?}");
}

/// A session that committed in term 2 of one group reads in another group, in term 1, once its route leads
/// there: the terms have nothing to do with each other, and the other group's primary is healthy.
#[test]
fn position_of_another_group_does_not_demote_a_primary() {
    let mut harness = GatewayHarness::new("own");
    let other = TargetEntry {
        group: "other".to_string(),
        ..entry(10)
    };
    harness.deliver(GatewayEvent::TargetListed(other));
    harness.targets.successor = Some(1);
    for _ in 0..80 {
        harness.advance(100);
    }
    assert_eq!(harness.send(Statement::Write), None);
    assert_eq!(harness.pending_target(), 1);
    let committed = TargetAnswer {
        position: Some(GroupPosition::new(2, 20)),
        ..success("", "sig", SessionState::Idle)
    };
    let answer = harness.answer_pending(committed);
    assert!(answer.is_some_and(|answer| answer.end.is_ok()));
    let mut changed = catalog();
    changed.version = 2;
    changed.groups.push(GroupRule {
        group: "other".to_string(),
        ..changed.groups[0].clone()
    });
    for route in &mut changed.routes {
        route.group = "other".to_string();
    }
    harness.deliver(GatewayEvent::CatalogRead(changed));
    for _ in 0..5 {
        harness.advance(100);
    }
    harness.targets.calls.clear();
    harness.send(Statement::Read);
    for _ in 0..20 {
        if harness.pending.is_empty() {
            harness.advance(20);
        }
    }
    let is_step_down = |(target, call): &(usize, TargetCall)| {
        *target == 10 && matches!(call, TargetCall::StepDown(_))
    };
    assert!(
        !harness.targets.calls.iter().any(is_step_down),
        "the healthy primary of the other group was told to step down"
    );
    assert_eq!(harness.pending_target(), 10);
}

/// A primary that has stepped down still has its own commit; it is no other copy of it.
#[test]
fn demoted_primary_does_not_count_as_replica_of_its_commit() {
    let mut harness = GatewayHarness::new("present");
    assert_eq!(harness.send(Statement::Write), None);
    assert_eq!(harness.pending_target(), 0);
    let mut answer = harness.answer_pending(committed_in_term_1());
    assert!(answer.is_none(), "no replica has position 11");
    harness.targets.has_stepped_down = true;
    for _ in 0..100 {
        harness.advance(20);
        answer = answer.or_else(|| harness.answers.pop());
    }
    assert_eq!(
        error_code(answer.clone()),
        Some(ClientCode::InDoubt),
        "{answer:?}"
    );
}

/// A target that restarted while it was not listed has forgotten its pause as well.
#[test]
fn target_restarted_while_unlisted_does_not_prove_leadership() {
    let mut harness = GatewayHarness::new("present");
    unlist_replicas(&mut harness);
    let answer = read_answer_after_restart(&mut harness);
    assert!(answer.is_some_and(|answer| answer.end.is_err()));
}

/// The primary of term 1 was cut off; the survey finds that another one leads term 2. That one is not cut
/// off because its replicas have not followed it yet.
#[test]
fn isolation_of_the_old_primary_does_not_demote_the_new_one() {
    let mut harness = GatewayHarness::new("present");
    harness.send(Statement::Read);
    harness.answer_pending(success("row", "sig", SessionState::Idle));
    harness.targets.is_primary_ahead = true;
    harness.advance(660);
    for _ in 0..8 {
        harness.advance(100);
    }
    harness.targets.calls.clear();
    harness.targets.successor = Some(1);
    harness.targets.unaware = vec![2];
    harness.advance(400);
    let token = DutyToken {
        number: 7,
        valid_until: MonoTime::from_millis(60_000),
    };
    harness.deliver(GatewayEvent::DutyAnswered(Ok(token)));
    for _ in 0..5 {
        harness.advance(20);
    }
    let is_demotion = |(target, call): &(usize, TargetCall)| {
        *target == 1
            && matches!(call, TargetCall::StepDown(term) | TargetCall::Pause(term)
                if *term > TermNumber(2))
    };
    let demotion = harness.targets.calls.iter().find(|call| is_demotion(call));
    assert!(demotion.is_none(), "the primary of term 2 got {demotion:?}");
}

/// What a target answered while it was a replica is no sample of the log of the primary that it became.
#[test]
fn late_replica_answer_does_not_set_the_position_of_the_new_primary() {
    let mut harness = GatewayHarness::new("own");
    let read = |harness: &mut GatewayHarness, i: u64| {
        let client = ClientId(i);
        harness.deliver(GatewayEvent::ClientOpened(client));
        let database = "own".to_string();
        harness.deliver(GatewayEvent::ClientStart { client, database });
        harness.deliver(GatewayEvent::ClientQuery {
            client,
            query: ClientQuery {
                id: format!("q{i}"),
                text: "READ item".to_string(),
                statement: Statement::Read,
            },
        });
    };
    for i in 2..12 {
        read(&mut harness, i);
    }
    harness.advance(20);
    let i = harness
        .pending
        .iter()
        .position(|(_, target, _)| *target == 1);
    let (connection, _, _) = harness.pending.remove(i.expect("a read is at target 1"));
    harness.targets.successor = Some(1);
    let leading = TargetEntry {
        role: Some(TargetRole::Primary),
        ..entry(1)
    };
    harness.deliver(GatewayEvent::TargetListed(leading));
    harness.advance(20);
    harness.advance(20);
    // Sent before target 1 was promoted, delayed on its way.
    harness.deliver(GatewayEvent::TargetAnswered {
        connection,
        answer: success("row", "sig", SessionState::Idle),
    });
    while let Some((connection, _, _)) = harness.pending.pop() {
        let answer = TargetAnswer {
            position: None,
            ..success("row", "sig", SessionState::Idle)
        };
        harness.deliver(GatewayEvent::TargetAnswered { connection, answer });
    }
    for _ in 0..10 {
        harness.advance(100);
    }
    harness.pending.clear();
    for i in 20..40 {
        read(&mut harness, i);
    }
    for _ in 0..8 {
        harness.advance(20);
    }
    for (_, target, call) in &harness.pending {
        if let TargetCall::Forward {
            after: Some(after), ..
        } = call
        {
            assert!(
                *after >= GroupPosition::new(2, 20),
                "a read at target {target} asks for {after} only"
            );
        }
    }
    let is_checked = |call: &TargetCall| matches!(call, TargetCall::Forward { after: Some(_), .. });
    assert!(harness.pending.iter().any(|(_, _, call)| is_checked(call)));
}
