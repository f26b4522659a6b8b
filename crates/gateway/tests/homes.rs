//! Which instance a statement is forwarded to while instances come, go and lapse in the store.

use std::sync::Arc;
use std::time::Duration;

use heatherhollow_gateway::Catalog;
use heatherhollow_gateway::ClientAnswer;
use heatherhollow_gateway::ClientCode;
use heatherhollow_gateway::ClientError;
use heatherhollow_gateway::ClientId;
use heatherhollow_gateway::ClientQuery;
use heatherhollow_gateway::GatewayAction;
use heatherhollow_gateway::GatewayEvent;
use heatherhollow_gateway::GatewaySettings;
use heatherhollow_gateway::GroupRule;
use heatherhollow_gateway::HomeMessage;
use heatherhollow_gateway::InstanceIdentity;
use heatherhollow_gateway::PeerEntry;
use heatherhollow_gateway::RouteFreshness;
use heatherhollow_gateway::SessionGateway;
use heatherhollow_gateway::SessionRoute;
use heatherhollow_gateway::SessionState;
use heatherhollow_gateway::Statement;
use heatherhollow_gateway::StatusFormat;
use heatherhollow_gateway::StatusReport;
use heatherhollow_gateway::TargetEntry;
use heatherhollow_gateway::TargetState;
use heatherhollow_types::MonoTime;

/// Instances of each of the two data centres.
const INSTANCES: u16 = 12;

/// Groups, so that most have their home at another instance.
const GROUPS: usize = 8;

/// No target answers here.
struct NoStatus;

impl StatusFormat for NoStatus {
    fn decode(&self, _row: &str) -> Option<StatusReport> {
        None
    }
}

/// One gateway among many instances.
struct Desk {
    gateway: SessionGateway,
    now: MonoTime,
}

impl Desk {
    fn new() -> Self {
        let identity = InstanceIdentity {
            name: "a-0".to_string(),
            data_centre: "a".parse().unwrap(),
            regions: Vec::new(),
        };
        let settings = GatewaySettings::default();
        let gateway = SessionGateway::new(settings, identity, Arc::new(NoStatus), Box::new(()));
        let mut desk = Self {
            gateway,
            now: MonoTime::from_millis(60_000),
        };
        desk.tell(GatewayEvent::CatalogRead(catalog()));
        desk.tell(GatewayEvent::TargetsRead((0..GROUPS).map(target).collect()));
        desk.list(peers());
        for group in 0..GROUPS {
            let client = client(group);
            desk.tell(GatewayEvent::ClientOpened(client));
            let database = name(group);
            desk.tell(GatewayEvent::ClientStart { client, database });
        }
        desk
    }

    fn tell(&mut self, event: GatewayEvent) -> Vec<GatewayAction> {
        self.gateway.handle(event, self.now)
    }

    fn pass(&mut self, millis: u64) -> Vec<GatewayAction> {
        self.now = self.now + Duration::from_millis(millis);
        self.tell(GatewayEvent::Tick)
    }

    fn list(&mut self, peers: Vec<PeerEntry>) -> Vec<GatewayAction> {
        self.tell(GatewayEvent::InstancesCounted(usize::from(2 * INSTANCES)));
        self.tell(GatewayEvent::PeersRead(peers))
    }

    /// The home that a read of a group goes to; none if it is served here.
    fn home(&mut self, group: usize) -> Option<String> {
        let actions = self.tell(GatewayEvent::ClientQuery {
            client: client(group),
            query: ClientQuery {
                id: "q".to_string(),
                text: "READ x".to_string(),
                statement: Statement::Read,
            },
        });
        let home = actions.into_iter().find_map(|action| match action {
            GatewayAction::SendHome {
                home,
                message: HomeMessage::Query(_),
                ..
            } => Some(home),
            _ => None,
        });
        // The client leaves, so that its next read can be asked for.
        self.tell(GatewayEvent::ClientClosed(client(group)));
        self.tell(GatewayEvent::ClientOpened(client(group)));
        self.tell(GatewayEvent::ClientStart {
            client: client(group),
            database: name(group),
        });
        home
    }

    fn homes(&mut self) -> Vec<Option<String>> {
        (0..GROUPS).map(|group| self.home(group)).collect()
    }
}

fn client(group: usize) -> ClientId {
    ClientId(group as u64 + 1)
}

fn name(group: usize) -> String {
    format!("group-{group}")
}

fn target(group: usize) -> TargetEntry {
    TargetEntry {
        target: format!("t{group}"),
        group: name(group),
        address: format!("127.0.0.1:{}", group + 1).parse().unwrap(),
        data_centre: "a".parse().unwrap(),
        slots: 3,
        state: TargetState::Ready,
        role: None,
        incarnation: 1,
    }
}

fn peers() -> Vec<PeerEntry> {
    let peer = |data_centre: &str, i: u16| PeerEntry {
        instance: format!("{data_centre}-{i}"),
        address: format!("127.0.0.1:{}", 100 + i).parse().unwrap(),
        data_centre: data_centre.parse().unwrap(),
        capacity: 250,
    };
    let first = (0..INSTANCES).map(|i| peer("a", i));
    first.chain((0..INSTANCES).map(|i| peer("b", i))).collect()
}

fn catalog() -> Catalog {
    let max_age = Duration::from_secs(2);
    Catalog {
        version: 1,
        routes: (0..GROUPS)
            .map(|group| SessionRoute {
                database: name(group),
                group: name(group),
                freshness: RouteFreshness::Bounded { max_age },
                timeout: Duration::from_secs(1),
                objective: Duration::from_millis(500),
                priority: 1,
            })
            .collect(),
        groups: (0..GROUPS)
            .map(|group| GroupRule {
                group: name(group),
                max_connections: 40,
                sync_replicas: 1,
            })
            .collect(),
        idle_transaction: None,
    }
}

/// The entries of all instances lapse while the store is away. If each instance then took itself for
/// the only one, all of them together would exceed the connections of every target.
#[test]
fn homes_stay_while_entries_lapse() {
    let mut desk = Desk::new();
    let homes = desk.homes();
    assert!(homes.iter().flatten().count() >= GROUPS / 2);
    desk.list(Vec::new());
    for _ in 0..40 {
        let actions = desk.pass(100);
        let opens = |action: &GatewayAction| matches!(action, GatewayAction::OpenTarget { .. });
        let own = homes.iter().filter(|home| home.is_none()).count();
        assert!(
            actions.iter().filter(|action| opens(action)).count() <= own,
            "connections are opened to groups that have their home elsewhere"
        );
    }
    assert_eq!(desk.homes(), homes);
}

/// An instance whose entry lapsed and to which the link ends is gone: it must not be tried again and
/// again until its memory ends.
#[test]
fn lapsed_home_that_is_lost_is_not_used_again() {
    let mut desk = Desk::new();
    let homes = desk.homes();
    let lost = homes.iter().flatten().next().unwrap().clone();
    let group = homes.iter().position(|home| home.as_ref() == Some(&lost));
    desk.list(Vec::new());
    desk.tell(GatewayEvent::HomeLost {
        home: lost.clone(),
        was_open: false,
    });
    for _ in 0..8 {
        desk.pass(1_000);
        assert_ne!(desk.home(group.unwrap()), Some(lost.clone()));
    }
}

/// A home that was cut off must not be tried with one statement after the other: each of them waited until
/// the link failed, for as long as the cut lasted.
#[test]
fn lost_home_is_used_again_once_it_answers() {
    let mut desk = Desk::new();
    let homes = desk.homes();
    let group = homes.iter().position(Option::is_some).unwrap();
    let lost = homes[group].clone().unwrap();
    desk.tell(GatewayEvent::HomeLost {
        home: lost.clone(),
        was_open: true,
    });
    let mut asked = 0;
    for _ in 0..100 {
        let actions = desk.pass(100);
        if actions.iter().any(|action| is_question(action, &lost)) {
            asked += 1;
            desk.tell(GatewayEvent::HomeLost {
                home: lost.clone(),
                was_open: false,
            });
        }
        assert_ne!(desk.home(group), Some(lost.clone()));
    }
    assert!((5..=20).contains(&asked), "it was asked {asked} times");
    desk.tell(GatewayEvent::HomeReached(lost.clone()));
    assert_eq!(desk.home(group), Some(lost));
}

fn is_question(action: &GatewayAction, to: &str) -> bool {
    matches!(action, GatewayAction::ProbeHome { home, .. } if home == to)
}

/// An instance that is gone for good is forgotten even if nothing was ever forwarded to it.
#[test]
fn lapsed_instances_are_forgotten() {
    let mut desk = Desk::new();
    let kept = peers().into_iter().filter(|peer| peer.instance == "a-0");
    desk.list(kept.collect());
    for _ in 0..30 {
        desk.pass(1_000);
    }
    assert_eq!(desk.homes(), vec![None; GROUPS]);
}

/// An instance that is listed again is used like any other.
#[test]
fn relisted_instance_is_used() {
    let mut desk = Desk::new();
    let homes = desk.homes();
    desk.list(Vec::new());
    desk.pass(1_000);
    desk.list(peers());
    for _ in 0..30 {
        desk.pass(1_000);
    }
    assert_eq!(desk.homes(), homes);
}

/// If no instance reaches a group, its statements must not go from one instance to the next until all of
/// them have opened connections to its targets: that is load for links that are already full.
#[test]
fn few_homes_are_tried_for_a_group_that_none_reaches() {
    let mut desk = Desk::new();
    let homes = desk.homes();
    let group = homes.iter().position(Option::is_some).unwrap();
    let client = client(group);
    let mut tried = Vec::new();
    for round in 0..20 {
        let mut actions = desk.tell(GatewayEvent::ClientQuery {
            client,
            query: ClientQuery {
                id: format!("q{round}"),
                text: "READ x".to_string(),
                statement: Statement::Read,
            },
        });
        // Each home answers that it does not reach the group.
        while let Some((home, serial)) = forwarding(&actions) {
            tried.push(home);
            actions = desk.tell(GatewayEvent::HomeAnswered {
                client,
                serial,
                answer: isolated(),
            });
        }
        let is_answered = actions
            .iter()
            .any(|action| matches!(action, GatewayAction::AnswerClient { .. }));
        assert!(is_answered, "a statement that no home can run is refused");
        desk.pass(50);
    }
    tried.sort();
    tried.dedup();
    assert!(
        (2..=3).contains(&tried.len()),
        "{} homes were tried",
        tried.len()
    );
}

fn forwarding(actions: &[GatewayAction]) -> Option<(String, u64)> {
    actions.iter().find_map(|action| match action {
        GatewayAction::SendHome {
            home,
            message: HomeMessage::Query(query),
            ..
        } => Some((home.clone(), query.serial)),
        _ => None,
    })
}

fn isolated() -> ClientAnswer {
    ClientAnswer {
        rows: Vec::new(),
        end: Err(ClientError::new(ClientCode::Busy, "not reached")),
        state: SessionState::Idle,
        position: None,
        is_isolated: true,
    }
}
