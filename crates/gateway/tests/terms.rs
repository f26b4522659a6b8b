//! Decisions that were taken under one term of a group and are used under another.
//!
//! In each case target 1 leads term 2 while target 0, which led term 1, has not heard of it and goes on
//! answering.

mod desk;
mod hand;

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
use hand::BEGIN;
use hand::HandDesk;
use hand::catalog;
use hand::code;

/// An answer of target 0 with a commit that only it has.
fn committed_in_term_1() -> TargetAnswer {
    TargetAnswer {
        position: Some(GroupPosition::new(1, 11)),
        ..success("", "sig", SessionState::Idle)
    }
}

/// Lets ticks pass until an answer comes, for up to three seconds.
fn await_answer(desk: &mut HandDesk) -> Option<ClientAnswer> {
    for _ in 0..150 {
        if let Some(answer) = desk.answers.pop() {
            return Some(answer);
        }
        desk.pass(20);
    }
    None
}

/// The entries of both replicas lapse and their targets are removed; one of them is promoted.
fn unlist_replicas(desk: &mut HandDesk) {
    for target in 1..3 {
        desk.tell(GatewayEvent::TargetUnlisted(format!("t{target}")));
    }
    for _ in 0..40 {
        desk.pass(100);
    }
    desk.targets.successor = Some(1);
}

/// What a client is told of a read that a target answers.
fn told_of_read(desk: &mut HandDesk) -> Option<ClientAnswer> {
    let told = desk.send(Statement::Read);
    if desk.waiting.is_empty() {
        return told;
    }
    let told = desk.answer(success("row", "sig", SessionState::Idle));
    told.or_else(|| await_answer(desk))
}

/// What a client is told of a read after target 1 has restarted without hearing that target 2 leads.
fn told_after_restart(desk: &mut HandDesk) -> Option<ClientAnswer> {
    desk.targets.successor = Some(2);
    desk.targets.unaware = vec![1];
    desk.tell(GatewayEvent::TargetListed(TargetEntry {
        incarnation: 2,
        ..entry(1)
    }));
    desk.pass(20);
    told_of_read(desk)
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
fn forwarded_read_does_not_run_at_a_primary_older_than_its_session() {
    let mut desk = HandDesk::new("own");
    desk.targets.successor = Some(1);
    let position = GroupPosition::new(2, 20);
    desk.tell(GatewayEvent::Forwarded {
        client: ClientId(9),
        query: Box::new(forwarded_read(position)),
    });
    for _ in 0..20 {
        if desk.waiting.is_empty() {
            desk.pass(20);
        }
    }
    let (_, target, call) = desk.waiting.first().expect("term 2 has a primary");
    let is_checked = matches!(call, TargetCall::Forward { after, .. } if *after >= Some(position));
    assert!(
        *target == 1 || is_checked,
        "{call:?} went to target {target}"
    );
}

/// A commit of the old primary is not taken for copied because replicas have later records of term 2.
#[test]
fn write_of_an_old_primary_is_not_acknowledged() {
    let mut desk = HandDesk::new("present");
    assert_eq!(desk.send(Statement::Write), None);
    assert_eq!(desk.waiting_target(), 0);
    desk.targets.successor = Some(1);
    for _ in 0..10 {
        desk.pass(80);
    }
    let told = desk.answer(committed_in_term_1());
    let told = told.or_else(|| await_answer(&mut desk));
    assert_eq!(code(told), Some(ClientCode::InDoubt));
}

/// A transaction with writes does not commit at an old primary, also if one of its reads was proved
/// fresh.
#[test]
fn transaction_does_not_commit_at_an_old_primary() {
    let mut desk = HandDesk::new("present");
    desk.send(BEGIN);
    desk.send(Statement::Read);
    let read = desk.answer(success("row", "sig", SessionState::Transaction));
    assert!(read.is_some_and(|answer| answer.end.is_ok()));
    desk.send(Statement::Write);
    desk.answer(success("", "sig", SessionState::Transaction));
    desk.targets.successor = Some(1);
    for _ in 0..20 {
        desk.pass(100);
    }
    let told = desk.send(Statement::Commit);
    assert!(
        desk.waiting.is_empty(),
        "the commit went to the old primary"
    );
    assert_eq!(code(told), Some(ClientCode::Aborted));
}

/// A primary whose replicas are not listed here may have been replaced by one of them: its own word does
/// not show that it leads.
#[test]
fn primary_does_not_vouch_for_itself_while_replicas_are_unlisted() {
    let mut desk = HandDesk::new("present");
    unlist_replicas(&mut desk);
    assert!(told_of_read(&mut desk).is_some_and(|answer| answer.end.is_err()));
}

/// A target that has just been listed may be unknown to the instance that ordered a promotion, and so
/// not have been paused: it does not show that the old primary leads.
#[test]
fn new_target_is_no_evidence_of_leadership() {
    let mut desk = HandDesk::new("present");
    unlist_replicas(&mut desk);
    desk.targets.unaware = vec![3];
    desk.tell(GatewayEvent::TargetListed(entry(3)));
    desk.pass(20);
    assert!(told_of_read(&mut desk).is_some_and(|answer| answer.end.is_err()));
}

/// A target that has restarted forgot that a promotion had paused it: it does not show that the old
/// primary leads.
#[test]
fn restarted_target_is_no_evidence_of_leadership() {
    let mut desk = HandDesk::new("present");
    desk.tell(GatewayEvent::TargetUnlisted("t2".to_string()));
    for _ in 0..40 {
        desk.pass(100);
    }
    let told = told_after_restart(&mut desk);
    assert!(told.is_some_and(|answer| answer.end.is_err()));
}

/// A run of a promotion that waits for the duty while another target comes to lead pauses nothing: the
/// new primary would stop taking part.
#[test]
fn promotion_of_an_earlier_term_pauses_nothing() {
    let mut desk = HandDesk::new("present");
    let leaving = TargetEntry {
        state: TargetState::Draining,
        ..entry(0)
    };
    desk.tell(GatewayEvent::TargetListed(leaving));
    for _ in 0..30 {
        desk.pass(20);
    }
    desk.targets.successor = Some(1);
    // The question for evidence of leadership shows term 2.
    desk.send(Statement::Read);
    desk.answer(success("row", "sig", SessionState::Idle));
    desk.setup.clear();
    let valid_until = desk.now + Duration::from_secs(3);
    let token = DutyToken {
        number: 1,
        valid_until,
    };
    desk.tell(GatewayEvent::DutyAnswered(Ok(token)));
    for _ in 0..60 {
        desk.pass(20);
    }
    let is_pause = |call: &TargetCall| matches!(call, TargetCall::Pause(_));
    assert!(!desk.setup.iter().any(is_pause), "{:?}", desk.setup);
}

/// A transaction whose begin is on its way while another target comes to lead reads nothing at the old
/// primary, which lacks commits of the new one; it begins anew.
#[test]
fn transaction_begins_anew_if_the_term_changes_during_its_begin() {
    let mut desk = HandDesk::new("own");
    desk.holds_begin = true;
    desk.tell(GatewayEvent::TargetListed(TargetEntry {
        state: TargetState::Draining,
        ..entry(1)
    }));
    desk.tell(GatewayEvent::TargetListed(TargetEntry {
        state: TargetState::Draining,
        ..entry(2)
    }));
    desk.send(Statement::Begin { is_read_only: true });
    desk.send(Statement::Read);
    assert_eq!(desk.waiting_target(), 0);
    desk.targets.successor = Some(1);
    desk.tell(GatewayEvent::TargetListed(TargetEntry {
        role: Some(TargetRole::Primary),
        ..entry(1)
    }));
    desk.answer(success("", "-", SessionState::Transaction));
    let (_, target, call) = desk.waiting.last().expect("the transaction begins anew");
    assert_ne!(*target, 0);
    assert!(matches!(call, TargetCall::Begin { .. }), "{call:?}");
}

/// A session that committed in term 2 of one group reads in another group, in term 1, once its route leads
/// there: the terms have nothing to do with each other, and the other group's primary is healthy.
#[test]
fn position_in_another_group_is_no_term_of_this_one() {
    let mut desk = HandDesk::new("own");
    let other = TargetEntry {
        group: "other".to_string(),
        ..entry(10)
    };
    desk.tell(GatewayEvent::TargetListed(other));
    desk.targets.successor = Some(1);
    for _ in 0..80 {
        desk.pass(100);
    }
    assert_eq!(desk.send(Statement::Write), None);
    assert_eq!(desk.waiting_target(), 1);
    let committed = TargetAnswer {
        position: Some(GroupPosition::new(2, 20)),
        ..success("", "sig", SessionState::Idle)
    };
    let told = desk.answer(committed);
    assert!(told.is_some_and(|answer| answer.end.is_ok()));
    let mut changed = catalog();
    changed.version = 2;
    changed.groups.push(GroupRule {
        group: "other".to_string(),
        ..changed.groups[0].clone()
    });
    for route in &mut changed.routes {
        route.group = "other".to_string();
    }
    desk.tell(GatewayEvent::CatalogRead(changed));
    for _ in 0..5 {
        desk.pass(100);
    }
    desk.targets.told.clear();
    desk.send(Statement::Read);
    for _ in 0..20 {
        if desk.waiting.is_empty() {
            desk.pass(20);
        }
    }
    let is_deposed = |(target, call): &(usize, TargetCall)| {
        *target == 10 && matches!(call, TargetCall::StepDown(_))
    };
    assert!(
        !desk.targets.told.iter().any(is_deposed),
        "the healthy primary of the other group was told to step down"
    );
    assert_eq!(desk.waiting_target(), 10);
}

/// A primary that has stepped down still has its own commit; it is no other copy of it.
#[test]
fn primary_that_stepped_down_is_no_copy_of_its_commit() {
    let mut desk = HandDesk::new("present");
    assert_eq!(desk.send(Statement::Write), None);
    assert_eq!(desk.waiting_target(), 0);
    let mut told = desk.answer(committed_in_term_1());
    assert!(told.is_none(), "no replica has position 11");
    desk.targets.stepped = true;
    for _ in 0..100 {
        desk.pass(20);
        told = told.or_else(|| desk.answers.pop());
    }
    assert_eq!(code(told.clone()), Some(ClientCode::InDoubt), "{told:?}");
}

/// A target that restarted while it was not listed has forgotten its pause as well.
#[test]
fn target_that_restarted_while_unlisted_is_no_evidence() {
    let mut desk = HandDesk::new("present");
    unlist_replicas(&mut desk);
    let told = told_after_restart(&mut desk);
    assert!(told.is_some_and(|answer| answer.end.is_err()));
}

/// The primary of term 1 was cut off; the survey finds that another one leads term 2. That one is not cut
/// off because its replicas have not followed it yet.
#[test]
fn cut_off_primary_of_an_old_term_does_not_cost_the_new_one_its_lead() {
    let mut desk = HandDesk::new("present");
    desk.send(Statement::Read);
    desk.answer(success("row", "sig", SessionState::Idle));
    desk.targets.ahead = true;
    desk.pass(660);
    for _ in 0..8 {
        desk.pass(100);
    }
    desk.targets.told.clear();
    desk.targets.successor = Some(1);
    desk.targets.unaware = vec![2];
    desk.pass(400);
    let token = DutyToken {
        number: 7,
        valid_until: MonoTime::from_millis(60_000),
    };
    desk.tell(GatewayEvent::DutyAnswered(Ok(token)));
    for _ in 0..5 {
        desk.pass(20);
    }
    let is_deposed = |(target, call): &(usize, TargetCall)| {
        *target == 1
            && matches!(call, TargetCall::StepDown(term) | TargetCall::Pause(term)
                if *term > TermNumber(2))
    };
    let deposed = desk.targets.told.iter().find(|told| is_deposed(told));
    assert!(deposed.is_none(), "the primary of term 2 got {deposed:?}");
}

/// What a target answered while it was a replica is no sample of the log of the primary that it became.
#[test]
fn answer_of_a_replica_is_no_sample_of_the_primary_it_became() {
    let mut desk = HandDesk::new("own");
    let read = |desk: &mut HandDesk, i: u64| {
        let client = ClientId(i);
        desk.tell(GatewayEvent::ClientOpened(client));
        let database = "own".to_string();
        desk.tell(GatewayEvent::ClientStart { client, database });
        desk.tell(GatewayEvent::ClientQuery {
            client,
            query: ClientQuery {
                id: format!("q{i}"),
                text: "READ item".to_string(),
                statement: Statement::Read,
            },
        });
    };
    for i in 2..12 {
        read(&mut desk, i);
    }
    desk.pass(20);
    let place = desk.waiting.iter().position(|(_, target, _)| *target == 1);
    let (connection, _, _) = desk.waiting.remove(place.expect("a read is at target 1"));
    desk.targets.successor = Some(1);
    let leading = TargetEntry {
        role: Some(TargetRole::Primary),
        ..entry(1)
    };
    desk.tell(GatewayEvent::TargetListed(leading));
    desk.pass(20);
    desk.pass(20);
    // Sent before target 1 was promoted, delayed on its way.
    desk.tell(GatewayEvent::TargetAnswered {
        connection,
        answer: success("row", "sig", SessionState::Idle),
    });
    while let Some((connection, _, _)) = desk.waiting.pop() {
        let answer = TargetAnswer {
            position: None,
            ..success("row", "sig", SessionState::Idle)
        };
        desk.tell(GatewayEvent::TargetAnswered { connection, answer });
    }
    for _ in 0..10 {
        desk.pass(100);
    }
    desk.waiting.clear();
    for i in 20..40 {
        read(&mut desk, i);
    }
    for _ in 0..8 {
        desk.pass(20);
    }
    for (_, target, call) in &desk.waiting {
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
    assert!(desk.waiting.iter().any(|(_, _, call)| is_checked(call)));
}
