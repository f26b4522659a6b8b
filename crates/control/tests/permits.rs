//! Shares of connections: one holder for each permit, and a total within the limit in any views.

use std::time::Duration;

use quickcheck::quickcheck;

use heatherhollow_control::GroupSettings;
use heatherhollow_control::LiveMember;
use heatherhollow_control::LiveView;
use heatherhollow_control::PERMIT_HOLD_OFF;
use heatherhollow_control::PermitAction;
use heatherhollow_control::PermitKey;
use heatherhollow_control::PermitTable;
use heatherhollow_control::RegionSettings;
use heatherhollow_control::ServicePermits;
use heatherhollow_control::ServiceSettings;
use heatherhollow_control::TargetSettings;
use heatherhollow_control::TeamSettings;
use heatherhollow_control::TopologySettings;
use heatherhollow_control::group_observer;
use heatherhollow_control::permit_holder;
use heatherhollow_types::DataCentre;
use heatherhollow_types::Incarnation;
use heatherhollow_types::InstanceName;
use heatherhollow_types::MonoTime;
use heatherhollow_types::PermitNumber;
use heatherhollow_types::TargetIndex;
use heatherhollow_types::mix_bits;
use heatherhollow_types::stable_hash;

const CENTRES: [&str; 3] = ["aqaba-a", "aqaba-b", "amman-a"];
const NODES: usize = 9;

fn topology() -> TopologySettings {
    let region = |name: &str, centres: &[&str]| RegionSettings {
        name: name.parse().unwrap(),
        data_centres: centres.iter().map(|c| c.parse().unwrap()).collect(),
    };
    TopologySettings {
        regions: vec![
            region("north", &CENTRES[2..]),
            region("south", &CENTRES[..2]),
        ],
        ..TopologySettings::default()
    }
}

fn services(connections: u16) -> Vec<ServicePermits> {
    let target = |(i, centre): (usize, &&str)| TargetSettings {
        name: format!("db-{i}").parse().unwrap(),
        data_centre: centre.parse().unwrap(),
        address: None,
        leaving: false,
    };
    let mut team = TeamSettings::empty("lidos".parse().unwrap());
    team.groups.push(GroupSettings {
        name: "bookings-db".parse().unwrap(),
        targets: CENTRES.iter().enumerate().map(target).collect(),
    });
    for name in ["lanes", "lessons"] {
        let group = team.groups[0].name.clone();
        team.services.push(ServiceSettings::new(
            name.parse().unwrap(),
            group,
            3,
            connections,
        ));
    }
    let permits = team.services.iter().map(|s| ServicePermits::new(&team, s));
    permits.map(Option::unwrap).collect()
}

fn node(i: usize) -> InstanceName {
    format!("instance-{i}").parse().unwrap()
}

fn centre_of(i: usize) -> DataCentre {
    CENTRES[i % CENTRES.len()].parse().unwrap()
}

/// The view in which the nodes of a bit mask are live.
fn view_of(mask: usize) -> LiveView {
    let live = (0..NODES).filter(|i| mask >> i & 1 == 1);
    LiveView::new(live.map(|i| (centre_of(i), LiveMember::new(node(i), Incarnation(1)))))
}

const EVERYONE: usize = (1 << NODES) - 1;

fn key(service: &ServicePermits, target: u16, permit: u16) -> PermitKey {
    service.key(TargetIndex(target), PermitNumber(permit))
}

/// Holders of every permit as each instance sees them, with the instances' own views.
fn count_holders(
    connections: u16,
    holder: impl Fn(usize, &ServicePermits, TargetIndex, PermitNumber) -> Option<InstanceName>,
) -> Vec<usize> {
    let services = services(connections);
    let all = services
        .iter()
        .flat_map(|s| s.all().map(move |(t, p)| (s, t, p)));
    all.map(|(service, target, permit)| {
        let holds = |i: &usize| holder(*i, service, target, permit) == Some(node(*i));
        (0..NODES).filter(holds).count()
    })
    .collect()
}

/// Guards against a permit that two instances or none take for theirs while all views agree.
#[test]
fn every_permit_has_one_holder() {
    let (view, topology) = (view_of(EVERYONE), topology());
    for connections in [12, 20, 40, 300] {
        let counts = count_holders(connections, |_, service, target, permit| {
            permit_holder(service, target, permit, &view, &topology).cloned()
        });
        assert!(
            counts.iter().all(|&count| count == 1),
            "{connections}: {counts:?}"
        );
    }
}

/// The check catches ranks that differ between instances, as those of a seeded hash would.
#[test]
fn seeded_ranks_are_caught() {
    let counts = count_holders(20, |i, service, _, permit| {
        let score =
            |n: &usize| mix_bits(stable_hash(&[service.service.as_str()]) ^ (n * 77 + i) as u64);
        let best = (0..NODES).max_by_key(score);
        best.filter(|_| permit.0 > 0).map(node)
    });
    assert!(counts.iter().any(|&count| count != 1));
}

/// Guards against a hash that changes between builds, which would move every permit in an upgrade.
/// The values come from a second implementation in another language.
#[test]
fn hashes_are_pinned() {
    assert_eq!(stable_hash(&[]), 0xf52a_15e9_a9b5_e89b);
    assert_eq!(stable_hash(&["lidos", "lanes"]), 0x9a0f_e016_d3d1_ed1a);
    let service = &services(20)[0];
    let view = view_of(EVERYONE);
    let topology = topology();
    let holders: Vec<_> = [3, 4, 5]
        .map(|p| permit_holder(service, TargetIndex(0), PermitNumber(p), &view, &topology))
        .map(|holder| holder.unwrap().to_string())
        .to_vec();
    assert_eq!(holders, ["instance-3"; 3]);
}

/// Guards against permits that stay unused when a data centre has no instance, and against another
/// region taking them.
#[test]
fn permits_fall_to_the_region() {
    let (service, topology) = (&services(20)[0], topology());
    let is_in = |name: &InstanceName, centre: &str| {
        (0..NODES).any(|i| &node(i) == name && centre_of(i).as_str() == centre)
    };
    let work = PermitNumber(3);
    let without_a = view_of(EVERYONE & !0b001_001_001);
    let heir = permit_holder(service, TargetIndex(0), work, &without_a, &topology).unwrap();
    assert!(is_in(heir, "aqaba-b"));
    let without_amman = view_of(EVERYONE & !0b100_100_100);
    let none = permit_holder(service, TargetIndex(2), work, &without_amman, &topology);
    assert_eq!(none, None);
}

/// Guards against an observer that does not hold the permits whose answers replace its probes.
#[test]
fn observer_holds_the_first_block() {
    let (service, view, topology) = (&services(20)[0], view_of(EVERYONE), topology());
    for (t, centre) in CENTRES.iter().enumerate() {
        let centre = centre.parse().unwrap();
        let observer = group_observer(&service.team, &service.group, &centre, &view);
        let target = TargetIndex(t as u16);
        assert_eq!(
            permit_holder(service, target, PermitNumber(3), &view, &topology),
            observer
        );
    }
}

/// Open connections of the targets; a newer one with the same permit closes the older one.
struct FakeTargets {
    open: Vec<(PermitKey, usize)>,
    closes_older: bool,
}

impl FakeTargets {
    /// Opens a connection and returns the instance whose connection was closed for it.
    fn open(&mut self, key: &PermitKey, owner: usize) -> Option<usize> {
        let found = self
            .open
            .iter()
            .position(|(k, other)| k == key && *other != owner);
        let older = found
            .filter(|_| self.closes_older)
            .map(|at| self.open.swap_remove(at).1);
        if !self.open.contains(&(key.clone(), owner)) {
            self.open.push((key.clone(), owner));
        }
        older
    }
}

struct Fleet {
    services: Vec<ServicePermits>,
    tables: Vec<PermitTable>,
    views: Vec<Option<LiveView>>,
    targets: FakeTargets,
    mail: Vec<(usize, PermitAction)>,
    now: MonoTime,
}

impl Fleet {
    fn act(&mut self, i: usize, actions: Vec<PermitAction>) {
        for action in actions {
            match action {
                PermitAction::Use(key) => {
                    if let Some(older) = self.targets.open(&key, i) {
                        let next = self.tables[older].taken_over(&key, self.now);
                        self.act(older, next);
                    }
                }
                PermitAction::Close(key) => {
                    self.targets.open.retain(|open| *open != (key.clone(), i))
                }
                other => self.mail.push((i, other)),
            }
        }
    }

    fn deliver(&mut self, at: usize) {
        let (from, action) = self.mail.swap_remove(at);
        let (to, key) = match &action {
            PermitAction::Ask(to, key) | PermitAction::GiveBack(to, key) => (to, key),
            PermitAction::Use(_) | PermitAction::Close(_) => return,
        };
        let Some(to) = (0..NODES).find(|i| node(*i) == *to) else {
            return;
        };
        let actions = match action {
            PermitAction::Ask(..) => self.tables[to].asked(&node(from), key),
            _ => self.tables[to].given_back(key, self.now),
        };
        self.act(to, actions);
    }

    fn assign(&mut self, i: usize, mask: usize) {
        // An instance always knows itself.
        let view = view_of(mask | 1 << i);
        let old = self.views[i].replace(view.clone());
        let table = &mut self.tables[i];
        let actions = table.assign(&self.services, &view, old.as_ref(), &topology(), self.now);
        self.act(i, actions);
    }

    /// Whether every service keeps within its connections.
    fn is_within(&self, connections: u16) -> bool {
        self.services.iter().all(|service| {
            let is_own = |key: &PermitKey| key.service == service.service;
            let open = self
                .targets
                .open
                .iter()
                .filter(|(key, _)| is_own(key))
                .count();
            open <= usize::from(connections)
        })
    }
}

/// Runs instances with arbitrary views; returns the first step at which a limit was passed.
fn run_views(seed: u64, connections: u16, closes_older: bool) -> Result<(), usize> {
    let mut state = seed;
    let mut next = |bound: usize| {
        state = state.wrapping_add(0x9e37_79b9_7f4a_7c15);
        (mix_bits(state) % bound as u64) as usize
    };
    let mut fleet = Fleet {
        services: services(connections),
        tables: (0..NODES).map(|i| PermitTable::new(node(i))).collect(),
        views: vec![None; NODES],
        targets: FakeTargets {
            open: Vec::new(),
            closes_older,
        },
        mail: Vec::new(),
        now: MonoTime::ZERO,
    };
    for step in 0..150 {
        let i = next(NODES);
        match next(6) {
            0 => fleet.assign(i, next(EVERYONE + 1)),
            1 => fleet.now = fleet.now + Duration::from_millis(next(4_000) as u64),
            2 if !fleet.mail.is_empty() => {
                let at = next(fleet.mail.len());
                fleet.deliver(at);
            }
            3 => {
                let held: Vec<_> = fleet.tables[i].held().cloned().collect();
                if !held.is_empty() {
                    fleet.tables[i].lend(&held[next(held.len())]);
                }
            }
            4 => {
                let open: Vec<_> = fleet
                    .targets
                    .open
                    .iter()
                    .filter(|o| o.1 == i)
                    .cloned()
                    .collect();
                if !open.is_empty() {
                    let actions = fleet.tables[i].give_back(&open[next(open.len())].0);
                    fleet.act(i, actions);
                }
            }
            _ => {
                let actions = fleet.tables[i].tick(fleet.now);
                fleet.act(i, actions);
            }
        }
        if !fleet.is_within(connections) {
            return Err(step);
        }
    }
    // With equal views and the hold-offs over, each permit is open once.
    for i in 0..NODES {
        fleet.assign(i, EVERYONE);
    }
    for _ in 0..70 {
        fleet.now = fleet.now + Duration::from_secs(1);
        while !fleet.mail.is_empty() {
            fleet.deliver(0);
        }
        for i in 0..NODES {
            let held: Vec<_> = fleet
                .targets
                .open
                .iter()
                .filter(|o| o.1 == i)
                .cloned()
                .collect();
            for (key, _) in held {
                let actions = fleet.tables[i].give_back(&key);
                fleet.act(i, actions);
            }
            let actions = fleet.tables[i].tick(fleet.now);
            fleet.act(i, actions);
        }
    }
    let all: usize = fleet.services.iter().map(|s| s.all().count()).sum();
    let is_complete = fleet.targets.open.len() == all;
    if is_complete && fleet.is_within(connections) {
        Ok(())
    } else {
        Err(usize::MAX)
    }
}

quickcheck! {
    /// Guards against more connections than a service has, in any combination of views, and against
    /// permits that nobody uses once the views agree.
    fn total_is_within_the_limit(seed: u64, connections: u16) -> Result<bool, String> {
        let connections = 12 + connections % 60;
        let result = run_views(seed, connections, true);
        result.map(|()| true).map_err(|step| {
            format!("seed {seed}, limit {connections}, step {step}")
        })
    }
}

/// The property catches targets without requirement 5, which keep both connections of a permit.
#[test]
fn missing_take_over_is_caught() {
    assert!((0..50).any(|seed| run_views(seed, 20, false).is_err_and(|step| step < usize::MAX)));
}

/// Guards against a take-over before the hold-off, and a holder that cuts its own work early.
#[test]
fn new_holder_waits_for_the_old_one() {
    let services = services(20);
    let (topology, start) = (topology(), MonoTime::ZERO);
    let everyone = view_of(EVERYONE);
    let holder = permit_holder(
        &services[0],
        TargetIndex(0),
        PermitNumber(3),
        &everyone,
        &topology,
    );
    let holder = holder.unwrap().clone();
    let key = key(&services[0], 0, 3);
    let before = everyone.without(&"aqaba-a".parse().unwrap(), &holder);
    let old = permit_holder(
        &services[0],
        TargetIndex(0),
        PermitNumber(3),
        &before,
        &topology,
    );
    let old = old.unwrap().clone();

    let mut loser = PermitTable::new(old.clone());
    loser.assign(&services, &before, None, &topology, start);
    loser.tick(start + PERMIT_HOLD_OFF);
    assert!(loser.lend(&key));
    let lost = loser.assign(&services, &everyone, Some(&before), &topology, start);
    assert!(
        !lost
            .iter()
            .any(|a| matches!(a, PermitAction::Close(k) if *k == key))
    );

    let mut winner = PermitTable::new(holder.clone());
    let actions = winner.assign(&services, &everyone, None, &topology, start);
    assert!(actions.contains(&PermitAction::Ask(old, key.clone())));
    winner.tick(start + (PERMIT_HOLD_OFF - Duration::from_millis(1)));
    assert!(!winner.is_held(&key));
    let given = loser.give_back(&key);
    assert_eq!(given[0], PermitAction::Close(key.clone()));
    assert_eq!(given[1], PermitAction::GiveBack(holder, key.clone()));
    let later = start + Duration::from_secs(1);
    assert!(
        winner
            .given_back(&key, later)
            .contains(&PermitAction::Use(key.clone()))
    );
    assert!(
        winner
            .taken_over(&key, later)
            .contains(&PermitAction::Close(key.clone()))
    );
    winner.tick(later + PERMIT_HOLD_OFF);
    assert!(
        !winner.is_held(&key),
        "the hold-off doubles after a take-over"
    );
}
