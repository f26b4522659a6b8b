//! Each kind of statement and each promise, with one gateway and targets that answer by hand.

mod desk;
mod hand;

use heatherhollow_gateway::ClientCode;
use heatherhollow_gateway::ClientId;
use heatherhollow_gateway::ClientQuery;
use heatherhollow_gateway::GatewayEvent;
use heatherhollow_gateway::PreparedShape;
use heatherhollow_gateway::SessionState;
use heatherhollow_gateway::Statement;
use heatherhollow_gateway::TargetCall;
use heatherhollow_gateway::TargetCode;

use desk::success;
use hand::BEGIN;
use hand::CLIENT;
use hand::HandDesk;
use hand::catalog;
use hand::code;
use hand::failure;

/// A success needs the target's rows and signature, and reaches the client unchanged.
#[test]
fn read_is_passed_on() {
    let mut desk = HandDesk::new("own");
    assert_eq!(desk.send(Statement::Read), None);
    assert_ne!(
        desk.waiting_target(),
        0,
        "reads that may be old go to replicas"
    );
    let answer = desk
        .answer(success("row", "sig", SessionState::Idle))
        .unwrap();
    assert_eq!(answer.rows, ["row"]);
    assert_eq!(answer.end, Ok(Some("sig".to_string())));
}

/// A read of the present state is delivered only with evidence that the primary still leads.
#[test]
fn present_read_runs_at_the_primary() {
    let mut desk = HandDesk::new("present");
    assert_eq!(desk.send(Statement::Read), None);
    assert_eq!(desk.waiting_target(), 0);
    assert!(
        desk.answer(success("row", "sig", SessionState::Idle))
            .is_some()
    );
}

/// Values, names and the begin of a transaction need no target.
#[test]
fn local_statements_are_answered_at_once() {
    let mut desk = HandDesk::new("own");
    let set = Statement::Set {
        name: "v".to_string(),
        value: "x".to_string(),
    };
    assert_eq!(desk.send(set).unwrap().end, Ok(None));
    assert_eq!(desk.send(BEGIN).unwrap().state, SessionState::Transaction);
    assert_eq!(
        desk.send(Statement::Rollback).unwrap().state,
        SessionState::Idle
    );
    assert_eq!(
        code(desk.send(Statement::Commit)),
        Some(ClientCode::Malformed)
    );
    assert!(desk.waiting.is_empty());
    assert!(desk.setup.is_empty());
}

/// The values of a session are set before its statement, and foreign ones are cleared.
#[test]
fn values_follow_the_session() {
    let mut desk = HandDesk::new("present");
    let value = |value: &str| Statement::Set {
        name: "v".to_string(),
        value: value.to_string(),
    };
    desk.send(value("x"));
    desk.send(Statement::Write);
    let set = TargetCall::Set {
        name: "v".to_string(),
        value: "x".to_string(),
    };
    assert_eq!(desk.setup, [set]);
}

/// A prepared name runs under the connection's own name, and again after the target forgot it.
#[test]
fn forgotten_statement_is_prepared_again() {
    let mut desk = HandDesk::new("present");
    let shape = PreparedShape {
        is_write: true,
        text: "q1".to_string(),
    };
    let name = "s1".to_string();
    desk.send(Statement::Prepare { name, shape });
    let execute = Statement::Execute {
        name: "s1".to_string(),
        arguments: "1 data".to_string(),
    };
    assert_eq!(desk.send(execute), None);
    assert_eq!(desk.setup.len(), 1);
    let early = desk.answer(failure(TargetCode::NoStatement, SessionState::Idle));
    assert_eq!(early, None);
    assert_eq!(desk.setup.len(), 2, "the statement is prepared again");
    let answer = desk.answer(success("", "sig", SessionState::Idle)).unwrap();
    assert!(answer.end.is_ok());
}

/// The answer to a single write is lost: nothing is promised.
#[test]
fn lost_write_is_in_doubt() {
    let mut desk = HandDesk::new("present");
    desk.send(Statement::Write);
    assert_eq!(code(desk.lose()), Some(ClientCode::InDoubt));
}

/// A write that the target did not take is not refused, but placed again.
#[test]
fn busy_write_is_placed_again() {
    let mut desk = HandDesk::new("present");
    desk.send(Statement::Write);
    assert_eq!(
        desk.answer(failure(TargetCode::Busy, SessionState::Idle)),
        None
    );
    assert_eq!(desk.waiting.len(), 1);
}

/// A lost statement inside a transaction rolls it back, which can be promised; a lost commit cannot.
#[test]
fn lost_transaction_is_told_truly() {
    let mut desk = HandDesk::new("present");
    desk.send(BEGIN);
    desk.send(Statement::Write);
    desk.answer(success("", "sig", SessionState::Transaction));
    desk.send(Statement::Write);
    let answer = desk.lose().unwrap();
    assert_eq!(answer.state, SessionState::Failed);
    assert_eq!(code(Some(answer)), Some(ClientCode::Aborted));
    assert_eq!(
        code(desk.send(Statement::Read)),
        Some(ClientCode::Malformed)
    );
    assert_eq!(
        desk.send(Statement::Rollback).unwrap().state,
        SessionState::Idle
    );

    // The primary's role is confirmed over a new connection first.
    desk.pass(100);
    desk.send(BEGIN);
    desk.send(Statement::Write);
    desk.answer(success("", "sig", SessionState::Transaction));
    let early = desk.send(Statement::Commit);
    assert_eq!(early, None);
    let answer = desk.lose().unwrap();
    assert_eq!(answer.state, SessionState::Idle);
    assert_eq!(code(Some(answer)), Some(ClientCode::InDoubt));
}

/// A transaction that rests too long is ended, and its client hears of it with its next statement.
#[test]
fn resting_transaction_is_ended() {
    let mut desk = HandDesk::new("present");
    desk.send(BEGIN);
    desk.send(Statement::Write);
    desk.answer(success("", "sig", SessionState::Transaction));
    desk.answers.clear();
    desk.pass(3_500);
    assert!(desk.answers.is_empty(), "nothing is sent unasked");
    assert_eq!(code(desk.send(Statement::Write)), Some(ClientCode::Aborted));
}

/// A replica that lacks the position is left out, and another target serves the read.
#[test]
fn lagging_read_goes_elsewhere() {
    let mut desk = HandDesk::new("own");
    desk.send(Statement::Read);
    let first = desk.waiting_target();
    assert_eq!(
        desk.answer(failure(TargetCode::Lagging, SessionState::Idle)),
        None
    );
    assert_ne!(desk.waiting_target(), first);
}

/// A lost read runs again, since it keeps nothing.
#[test]
fn lost_read_runs_again() {
    let mut desk = HandDesk::new("own");
    desk.send(Statement::Read);
    assert_eq!(desk.lose(), None);
    assert_eq!(desk.waiting.len(), 1);
}

/// A route that was removed is refused from the next transaction on.
#[test]
fn removed_route_is_refused() {
    let mut desk = HandDesk::new("own");
    desk.send(BEGIN);
    let mut newer = catalog();
    newer.version = 2;
    newer.routes.remove(0);
    desk.tell(GatewayEvent::CatalogRead(newer));
    assert_eq!(
        desk.send(Statement::Read),
        None,
        "the open transaction goes on"
    );
    desk.answer(success("row", "sig", SessionState::Transaction));
    desk.send(Statement::Rollback);
    assert_eq!(
        code(desk.send(Statement::Read)),
        Some(ClientCode::UnknownDatabase)
    );
    desk.tell(GatewayEvent::CatalogRead(catalog()));
    let still = code(desk.send(Statement::Read));
    assert_eq!(
        still,
        Some(ClientCode::UnknownDatabase),
        "an older version changes nothing"
    );
}

/// A client that leaves inside a transaction frees its connection with a rollback.
#[test]
fn leaving_client_is_rolled_back() {
    let mut desk = HandDesk::new("present");
    desk.send(BEGIN);
    desk.send(Statement::Write);
    desk.answer(success("", "sig", SessionState::Transaction));
    desk.tell(GatewayEvent::ClientClosed(CLIENT));
    assert_eq!(desk.setup.last(), Some(&TargetCall::Rollback));
    assert!(desk.gateway.is_quiescent());
}

/// A target that fails what it is asked does not attract reads by its speed: a failed read is tried at
/// another one, and later reads avoid it.
#[test]
fn failing_target_is_avoided() {
    let mut desk = HandDesk::new("own");
    desk.send(Statement::Read);
    let faulty = desk.waiting_target();
    for _ in 0..10 {
        if desk.waiting.is_empty() {
            desk.send(Statement::Read);
        }
        let answer = if desk.waiting_target() == faulty {
            failure(TargetCode::Failed, SessionState::Idle)
        } else {
            success("row", "sig", SessionState::Idle)
        };
        let told = desk.answer(answer);
        assert!(
            code(told).is_none(),
            "a read that another target can serve failed"
        );
    }
    desk.send(Statement::Read);
    assert_ne!(desk.waiting_target(), faulty);
}

/// A target that hangs on some statements is not preferred for the short times of those that it
/// answers: reads that it was given run elsewhere, and later ones avoid it.
#[test]
fn hanging_target_is_avoided() {
    let mut desk = HandDesk::new("own");
    let other = ClientId(2);
    desk.tell(GatewayEvent::ClientOpened(other));
    desk.tell(GatewayEvent::ClientStart {
        client: other,
        database: "own".to_string(),
    });
    desk.send(Statement::Read);
    let hanging = desk.waiting_target();
    desk.answer(success("row", "sig", SessionState::Idle));
    let mut hung = 0;
    for _ in 0..12 {
        // The other client's read keeps the target from looking silent.
        for (client, id) in [(CLIENT, "hangs"), (other, "runs")] {
            desk.tell(GatewayEvent::ClientQuery {
                client,
                query: ClientQuery {
                    id: id.to_string(),
                    text: "READ item".to_string(),
                    statement: Statement::Read,
                },
            });
        }
        for _ in 0..20 {
            desk.pass(20);
            let calls = std::mem::take(&mut desk.waiting);
            for (connection, target, call) in calls {
                let is_hung = matches!(&call, TargetCall::Forward { id, .. } if id == "hangs");
                if is_hung && target == hanging {
                    hung += 1;
                    continue;
                }
                let answer = success("row", "sig", SessionState::Idle);
                desk.tell(GatewayEvent::TargetAnswered { connection, answer });
            }
        }
    }
    assert!(
        (1..=4).contains(&hung),
        "the hanging target got {hung} of 12 reads"
    );
}

/// Targets that answer within the resolution of the clock have an unbounded rate; adding up such rates for
/// the advice of a refusal must not overflow.
#[test]
fn instant_answers_do_not_overflow_the_rate() {
    let mut desk = HandDesk::new("own");
    desk.send(Statement::Read);
    assert_ne!(desk.waiting_target(), 0);
    desk.answer(success("row", "sig", SessionState::Idle));
    desk.send(Statement::Write);
    assert_eq!(desk.waiting_target(), 0);
    desk.answer(success("", "sig", SessionState::Idle));
    desk.send(Statement::Read);
    for _ in 0..60 {
        desk.pass(20);
    }
    let answer = desk.answers.pop().expect("the time limit has passed");
    assert!(answer.end.is_err());
}
