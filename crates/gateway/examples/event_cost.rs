//! Processor time of the events of a gateway, by the number of groups and instances that it knows.
//!
//! Runs one gateway with targets that answer at once; its data centre has a nineteenth of the
//! instances. Prints the mean time of a tick, of a read of a local client, of a statement that
//! another instance forwarded, and of a change in the list of instances. docs/CAPACITY.md has the
//! figures.

#[path = "../tests/fake_targets/mod.rs"]
mod fake_targets;

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use heatherhollow_gateway::Catalog;
use heatherhollow_gateway::ClientId;
use heatherhollow_gateway::ClientQuery;
use heatherhollow_gateway::ForwardedQuery;
use heatherhollow_gateway::GatewayEvent;
use heatherhollow_gateway::GatewaySettings;
use heatherhollow_gateway::GroupRule;
use heatherhollow_gateway::InstanceIdentity;
use heatherhollow_gateway::PeerEntry;
use heatherhollow_gateway::RouteFreshness;
use heatherhollow_gateway::SessionGateway;
use heatherhollow_gateway::SessionRoute;
use heatherhollow_gateway::Statement;
use heatherhollow_gateway::TargetEntry;
use heatherhollow_gateway::TransactionPart;
use heatherhollow_types::MonoTime;

use fake_targets::FakeTargets;
use fake_targets::RoleFormat;
use fake_targets::entry;

/// Number of groups and of instances for each printed line.
const GROUP_AND_INSTANCE_COUNTS: [(usize, usize); 4] =
    [(10, 10), (160, 100), (490, 300), (3_300, 2_000)];

/// Number of data centres at the planned size of the deployment.
const DATA_CENTRES: usize = 19;

/// Number of repetitions that are timed.
const ROUND_COUNT: u32 = 200;

struct GatewayBench {
    gateway: SessionGateway,
    now: MonoTime,
    targets: FakeTargets,
}

impl GatewayBench {
    fn new(groups: usize, instances: usize) -> Self {
        let identity = InstanceIdentity {
            name: "i0".to_string(),
            data_centre: "d0".parse().expect("a constant name is valid"),
            regions: Vec::new(),
        };
        let settings = GatewaySettings::default();
        let gateway = SessionGateway::new(settings, identity, Arc::new(RoleFormat), Box::new(()));
        let mut bench = Self {
            gateway,
            now: MonoTime::from_millis(60_000),
            targets: FakeTargets::default(),
        };
        bench.apply(GatewayEvent::CatalogRead(catalog(groups)));
        bench.apply(GatewayEvent::InstancesCounted(instances));
        bench.apply(GatewayEvent::PeersRead(peers(instances)));
        let targets = (0..groups).flat_map(|group| (0..3).map(move |i| target(group, i)));
        bench.apply(GatewayEvent::TargetsRead(targets.collect()));
        for _ in 0..100 {
            bench.tick();
        }
        bench
    }

    fn tick(&mut self) {
        self.now = self.now + Duration::from_millis(20);
        self.apply(GatewayEvent::Tick);
    }

    fn apply(&mut self, event: GatewayEvent) {
        let mut events = vec![event];
        while let Some(event) = events.pop() {
            for action in self.gateway.handle(event, self.now) {
                events.extend(self.targets.respond(&action));
            }
        }
    }

    /// Returns the mean time of an action in microseconds.
    fn mean_time_us(&mut self, mut action: impl FnMut(&mut Self, u32)) -> f64 {
        let began_at = Instant::now();
        for round in 0..ROUND_COUNT {
            action(self, round);
        }
        began_at.elapsed().as_secs_f64() * 1e6 / f64::from(ROUND_COUNT)
    }
}

fn group_name(group: usize) -> String {
    format!("g{group}")
}

fn target(group: usize, i: usize) -> TargetEntry {
    TargetEntry {
        target: format!("t{group}-{i}"),
        group: group_name(group),
        ..entry(i)
    }
}

fn peers(instances: usize) -> Vec<PeerEntry> {
    let peers = (0..instances).map(|i| PeerEntry {
        instance: format!("i{i}"),
        address: "127.0.0.1:1".parse().expect("a constant address is valid"),
        data_centre: format!("d{}", i % DATA_CENTRES)
            .parse()
            .expect("a constant name is valid"),
        capacity: 250,
    });
    peers.collect()
}

fn route(group: usize) -> SessionRoute {
    SessionRoute {
        database: group_name(group),
        group: group_name(group),
        freshness: RouteFreshness::Bounded {
            max_age: Duration::from_secs(2),
        },
        timeout: Duration::from_secs(1),
        objective: Duration::from_millis(500),
        priority: 1,
        is_public: false,
    }
}

fn catalog(groups: usize) -> Catalog {
    let mut routes = (0..groups).map(route).collect::<Vec<_>>();
    routes.sort_by(|a, b| a.database.cmp(&b.database));
    let mut rules = (0..groups)
        .map(|group| GroupRule {
            group: group_name(group),
            max_connections: 22,
            sync_replicas: 1,
        })
        .collect::<Vec<_>>();
    rules.sort_by(|a, b| a.group.cmp(&b.group));
    Catalog {
        version: 1,
        routes,
        groups: rules,
        idle_transaction: None,
        tenants: None,
    }
}

fn query(round: u32) -> ClientQuery {
    ClientQuery {
        id: format!("q{round}"),
        text: "READ x".to_string(),
        statement: Statement::Read,
    }
}

fn main() {
    println!("groups instances | tick_us read_us forwarded_us member_us");
    for (groups, instances) in GROUP_AND_INSTANCE_COUNTS {
        let mut bench = GatewayBench::new(groups, instances);
        let tick = bench.mean_time_us(|bench, _| bench.tick());
        let client = ClientId(1);
        bench.apply(GatewayEvent::ClientOpened(client));
        let database = group_name(0);
        bench.apply(GatewayEvent::ClientStart {
            client,
            database,
            key: None,
        });
        let read = bench.mean_time_us(|bench, round| {
            bench.now = bench.now + Duration::from_micros(100);
            let query = query(round);
            bench.apply(GatewayEvent::ClientQuery { client, query });
        });
        let forwarded = bench.mean_time_us(|bench, round| {
            bench.now = bench.now + Duration::from_micros(100);
            let forwarded = ForwardedQuery {
                serial: u64::from(round),
                query: query(round),
                route: route(1),
                part: TransactionPart::Single,
                values: Vec::new(),
                shape: None,
                position: None,
                has_doubt: false,
                tenant: None,
            };
            bench.apply(GatewayEvent::Forwarded {
                client: ClientId(2),
                query: Box::new(forwarded),
            });
        });
        let all = peers(instances);
        let member = bench.mean_time_us(|bench, round| {
            let mut all = all.clone();
            if round % 2 == 0 {
                all.pop();
            }
            bench.apply(GatewayEvent::PeersRead(all));
        });
        println!("{groups} {instances} | {tick:.1} {read:.1} {forwarded:.1} {member:.1}");
    }
}
