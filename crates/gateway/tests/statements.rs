//! Each kind of statement and each promise, with one gateway and targets that answer by hand.

mod desk;

use std::sync::Arc;
use std::time::Duration;

use heatherhollow_gateway::AnswerEnd;
use heatherhollow_gateway::Catalog;
use heatherhollow_gateway::ClientAnswer;
use heatherhollow_gateway::ClientCode;
use heatherhollow_gateway::ClientId;
use heatherhollow_gateway::ClientQuery;
use heatherhollow_gateway::ConnectError;
use heatherhollow_gateway::ConnectionId;
use heatherhollow_gateway::GatewayAction;
use heatherhollow_gateway::GatewayEvent;
use heatherhollow_gateway::GatewaySettings;
use heatherhollow_gateway::GroupRule;
use heatherhollow_gateway::InstanceIdentity;
use heatherhollow_gateway::PreparedShape;
use heatherhollow_gateway::RouteFreshness;
use heatherhollow_gateway::SessionGateway;
use heatherhollow_gateway::SessionRoute;
use heatherhollow_gateway::SessionState;
use heatherhollow_gateway::Statement;
use heatherhollow_gateway::TargetAnswer;
use heatherhollow_gateway::TargetCall;
use heatherhollow_gateway::TargetCode;
use heatherhollow_types::GroupPosition;
use heatherhollow_types::MonoTime;

use desk::RoleFormat;
use desk::TargetTable;
use desk::entry;
use desk::success;

/// A call of a client's statement that waits for its answer.
type WaitingCall = (ConnectionId, usize, TargetCall);

/// One gateway before a group of a primary, target 0, and two replicas.
struct Desk {
    gateway: SessionGateway,
    now: MonoTime,
    targets: TargetTable,
    waiting: Vec<WaitingCall>,
    answers: Vec<ClientAnswer>,
    setup: Vec<TargetCall>,
    /// Targets that were asked for their status.
    asked: Vec<usize>,
}

const CLIENT: ClientId = ClientId(1);

impl Desk {
    fn new(database: &str) -> Self {
        let identity = InstanceIdentity {
            name: "instance-1".to_string(),
            data_centre: "dc".parse().unwrap(),
            regions: Vec::new(),
        };
        let settings = GatewaySettings::default();
        let gateway = SessionGateway::new(settings, identity, Arc::new(RoleFormat), Box::new(()));
        let mut desk = Self {
            gateway,
            now: MonoTime::from_millis(10_000),
            targets: TargetTable::default(),
            waiting: Vec::new(),
            answers: Vec::new(),
            setup: Vec::new(),
            asked: Vec::new(),
        };
        desk.tell(GatewayEvent::CatalogRead(catalog()));
        desk.tell(GatewayEvent::TargetsRead((0..3).map(entry).collect()));
        for _ in 0..20 {
            desk.pass(100);
        }
        desk.tell(GatewayEvent::ClientOpened(CLIENT));
        let database = database.to_string();
        desk.tell(GatewayEvent::ClientStart {
            client: CLIENT,
            database,
        });
        desk
    }

    /// Lets time pass, with a tick at its end.
    fn pass(&mut self, millis: u64) {
        self.now = self.now + Duration::from_millis(millis);
        self.tell(GatewayEvent::Tick);
    }

    fn tell(&mut self, event: GatewayEvent) {
        let mut actions = self.gateway.handle(event, self.now);
        while !actions.is_empty() {
            let mut next = Vec::new();
            for action in actions {
                if let Some(event) = self.perform(action) {
                    next.extend(self.gateway.handle(event, self.now));
                }
            }
            actions = next;
        }
    }

    /// Everything but statements of clients is answered at once.
    fn perform(&mut self, action: GatewayAction) -> Option<GatewayEvent> {
        match action {
            GatewayAction::CallTarget {
                connection,
                call: call @ (TargetCall::Forward { .. } | TargetCall::Execute { .. }),
            } => {
                let target = self.targets.target(connection);
                self.waiting.push((connection, target, call));
                None
            }
            GatewayAction::AnswerClient { answer, .. } => {
                self.answers.push(answer);
                None
            }
            action => {
                let event = self.targets.respond(&action);
                match action {
                    GatewayAction::CallTarget {
                        connection,
                        call: TargetCall::Status,
                    } => self.asked.push(self.targets.target(connection)),
                    GatewayAction::CallTarget { call, .. }
                        if !matches!(call, TargetCall::Start { .. }) =>
                    {
                        self.setup.push(call);
                    }
                    _ => {}
                }
                event
            }
        }
    }

    /// Sends a statement and returns its answer, if that comes at once.
    fn send(&mut self, statement: Statement) -> Option<ClientAnswer> {
        self.answers.clear();
        let text = format!("{statement:?}");
        self.tell(GatewayEvent::ClientQuery {
            client: CLIENT,
            query: ClientQuery {
                id: "q1".to_string(),
                text,
                statement,
            },
        });
        self.answers.pop()
    }

    /// Answers the waiting call and returns what the client gets.
    fn answer(&mut self, answer: TargetAnswer) -> Option<ClientAnswer> {
        self.answers.clear();
        let (connection, _, _) = self.waiting.pop().expect("a statement waits");
        self.tell(GatewayEvent::TargetAnswered { connection, answer });
        self.pass(30);
        self.answers.pop()
    }

    fn lose(&mut self) -> Option<ClientAnswer> {
        self.answers.clear();
        let (connection, _, _) = self.waiting.pop().expect("a statement waits");
        let error = ConnectError::Closed;
        self.tell(GatewayEvent::TargetClosed { connection, error });
        self.answers.pop()
    }

    fn waiting_target(&self) -> usize {
        self.waiting.last().expect("a statement waits").1
    }
}

fn catalog() -> Catalog {
    let route = |database: &str, freshness| SessionRoute {
        database: database.to_string(),
        group: "ledger".to_string(),
        freshness,
        timeout: Duration::from_secs(1),
        objective: Duration::from_millis(500),
        priority: 1,
    };
    let max_age = Duration::from_secs(2);
    Catalog {
        version: 1,
        routes: vec![
            route("own", RouteFreshness::ReadYourWrites { max_age }),
            route("present", RouteFreshness::Primary),
        ],
        groups: vec![GroupRule {
            group: "ledger".to_string(),
            max_connections: 20,
            sync_replicas: 1,
        }],
        idle_transaction: Some(Duration::from_secs(3)),
    }
}

fn failure(code: TargetCode, state: SessionState) -> TargetAnswer {
    TargetAnswer {
        rows: Vec::new(),
        end: AnswerEnd::Error {
            code,
            text: "t0".to_string(),
        },
        state,
        position: Some(GroupPosition::new(1, 10)),
    }
}

fn code(answer: Option<ClientAnswer>) -> Option<ClientCode> {
    answer.and_then(|answer| answer.end.err().map(|error| error.code))
}

const BEGIN: Statement = Statement::Begin {
    is_read_only: false,
};

/// A success needs the target's rows and signature, and reaches the client unchanged.
#[test]
fn read_is_passed_on() {
    let mut desk = Desk::new("own");
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
    let mut desk = Desk::new("present");
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
    let mut desk = Desk::new("own");
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
    let mut desk = Desk::new("present");
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
    let mut desk = Desk::new("present");
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
    let mut desk = Desk::new("present");
    desk.send(Statement::Write);
    assert_eq!(code(desk.lose()), Some(ClientCode::InDoubt));
}

/// A write that the target did not take is not refused, but placed again.
#[test]
fn busy_write_is_placed_again() {
    let mut desk = Desk::new("present");
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
    let mut desk = Desk::new("present");
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

/// A transaction that was begun at a primary does not read there once another target leads: the read
/// would miss commits of the new primary.
#[test]
fn transaction_does_not_outlast_its_primary() {
    let mut desk = Desk::new("own");
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

/// A transaction that rests too long is ended, and its client hears of it with its next statement.
#[test]
fn resting_transaction_is_ended() {
    let mut desk = Desk::new("present");
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
    let mut desk = Desk::new("own");
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
    let mut desk = Desk::new("own");
    desk.send(Statement::Read);
    assert_eq!(desk.lose(), None);
    assert_eq!(desk.waiting.len(), 1);
}

/// A route that was removed is refused from the next transaction on.
#[test]
fn removed_route_is_refused() {
    let mut desk = Desk::new("own");
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
    let mut desk = Desk::new("present");
    desk.send(BEGIN);
    desk.send(Statement::Write);
    desk.answer(success("", "sig", SessionState::Transaction));
    desk.tell(GatewayEvent::ClientClosed(CLIENT));
    assert_eq!(desk.setup.last(), Some(&TargetCall::Rollback));
    assert!(desk.gateway.is_quiet());
}

/// A target that fails what it is asked does not attract reads by its speed: a failed read is tried at
/// another one, and later reads avoid it.
#[test]
fn failing_target_is_avoided() {
    let mut desk = Desk::new("own");
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
    let mut desk = Desk::new("own");
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

fn committed_at(position: u64) -> TargetAnswer {
    TargetAnswer {
        position: Some(GroupPosition::new(1, position)),
        ..success("", "sig", SessionState::Idle)
    }
}

/// A commit may have its only other copy at a target that is not listed yet. A promotion would not ask
/// that one, so the commit is acknowledged only once a listed target has it.
#[test]
fn write_needs_a_listed_copy() {
    for (position, expected) in [(10, None), (11, Some(ClientCode::InDoubt))] {
        let mut desk = Desk::new("present");
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
    let mut desk = Desk::new("present");
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
    let mut desk = Desk::new("present");
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
    let mut desk = Desk::new("present");
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
