//! Decisions that were taken under one term of a group and are used under another.
//!
//! In each case target 1 leads term 2 while target 0, which led term 1, has not heard of it and goes on
//! answering.

mod desk;
mod hand;

use heatherhollow_gateway::ClientId;
use heatherhollow_gateway::ClientQuery;
use heatherhollow_gateway::ForwardedQuery;
use heatherhollow_gateway::GatewayEvent;
use heatherhollow_gateway::Statement;
use heatherhollow_gateway::TargetCall;
use heatherhollow_gateway::TransactionPart;
use heatherhollow_types::GroupPosition;

use hand::HandDesk;
use hand::catalog;

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
