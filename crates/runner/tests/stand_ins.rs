//! Test of the observation of groups whose home instances are leaving.

use std::sync::Arc;
use std::time::Duration;

use heatherhollow_gateway::Catalog;
use heatherhollow_gateway::GatewayAction;
use heatherhollow_gateway::GatewayEvent;
use heatherhollow_gateway::GatewaySettings;
use heatherhollow_gateway::GroupRule;
use heatherhollow_gateway::InstanceIdentity;
use heatherhollow_gateway::PeerEntry;
use heatherhollow_gateway::SessionGateway;
use heatherhollow_gateway::TargetEntry;
use heatherhollow_gateway::TargetState;
use heatherhollow_platform::StatusRowDecoder;
use heatherhollow_types::MonoTime;

/// Number of instances in the data centre.
const INSTANCES: usize = 33;

/// Number of groups, each with three targets; about what three such data centres serve.
const GROUPS: usize = 160;

fn peer(i: usize) -> PeerEntry {
    PeerEntry {
        instance: format!("instance-{i}"),
        address: format!("10.0.0.{}:7000", i + 1).parse().unwrap(),
        data_centre: "near".parse().unwrap(),
        capacity: 250,
    }
}

fn target(i: usize) -> TargetEntry {
    TargetEntry {
        target: format!("target-{i}"),
        group: format!("group-{:04}", i / 3),
        address: format!("10.1.{}.{}:8000", i / 250, i % 250 + 1)
            .parse()
            .unwrap(),
        data_centre: "near".parse().unwrap(),
        slots: 3,
        state: TargetState::Ready,
        role: None,
        incarnation: 1,
    }
}

fn catalog() -> Catalog {
    let rule = |i| GroupRule {
        group: format!("group-{i:04}"),
        max_connections: 22,
        sync_replicas: 1,
    };
    Catalog {
        version: 1,
        groups: (0..GROUPS).map(rule).collect(),
        ..Catalog::default()
    }
}

/// Runs ticks for three seconds and returns the number of connections that the gateway opens.
fn count_opened(gateway: &mut SessionGateway, now: &mut MonoTime) -> usize {
    let mut count = 0;
    for _ in 0..30 {
        *now = *now + Duration::from_millis(100);
        let actions = gateway.handle(GatewayEvent::Tick, *now);
        let opens = |action: &&GatewayAction| matches!(action, GatewayAction::OpenTarget { .. });
        count += actions.iter().filter(opens).count();
    }
    count
}

/// During a rolling stop of a data centre, each instance sees most others as leaving. If each then
/// observes all groups, their connections to all targets exceed the targets' limits and the
/// capacity of the links between regions.
#[test]
fn instance_does_not_observe_all_groups_while_others_leave() {
    let identity = InstanceIdentity {
        name: peer(0).instance,
        data_centre: peer(0).data_centre,
        regions: Vec::new(),
    };
    let settings = GatewaySettings::default();
    let mut gateway =
        SessionGateway::new(settings, identity, Arc::new(StatusRowDecoder), Box::new(()));
    let mut now = MonoTime::from_millis(60_000);
    let peers = (0..INSTANCES).map(peer).collect();
    gateway.handle(GatewayEvent::InstancesCounted(INSTANCES), now);
    gateway.handle(GatewayEvent::PeersRead(peers), now);
    gateway.handle(GatewayEvent::CatalogRead(catalog()), now);
    let targets = (0..3 * GROUPS).map(target).collect();
    gateway.handle(GatewayEvent::TargetsRead(targets), now);
    let opened_before = count_opened(&mut gateway, &mut now);
    assert!(opened_before > 0, "the instance is the home of no group");
    for i in 1..INSTANCES {
        gateway.handle(GatewayEvent::HomeLeaving(peer(i).instance), now);
    }
    let opened_after = count_opened(&mut gateway, &mut now);
    // Two other instances substitute for each leaving home, so an instance observes two further
    // groups for each group of its own.
    assert!(
        opened_after <= 6 * opened_before,
        "{opened_after} connections opened while others leave, {opened_before} before"
    );
}
