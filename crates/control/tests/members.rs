//! Membership: merging of views, detection of failures, and agreement after partitions.

use quickcheck::quickcheck;

use heatherhollow_control::ControlBody;
use heatherhollow_control::ControlSend;
use heatherhollow_control::MemberProber;
use heatherhollow_control::MemberRecord;
use heatherhollow_control::MemberState;
use heatherhollow_control::MemberTable;
use heatherhollow_control::MergeEffect;
use heatherhollow_control::ProbeTiming;
use heatherhollow_control::RegionSettings;
use heatherhollow_control::TopologySettings;
use heatherhollow_types::DataCentre;
use heatherhollow_types::Incarnation;
use heatherhollow_types::InstanceName;
use heatherhollow_types::MonoTime;
use heatherhollow_types::mix_bits;

const CENTRES: [&str; 4] = ["a-1", "a-2", "b-1", "b-2"];
const NODES: usize = 12;
const TICK_MILLIS: u64 = 250;

/// Rounds of one second within which all views agree after a partition has healed. A gone member is
/// probed every 10 s, its refutation spreads by gossip in about log2(n) rounds, the reserve link of a
/// region pair is used every 30 s, and records are exchanged when digests differ while the own one is quiet for 5 s.
const HEAL_ROUNDS: u64 = 90;

fn topology() -> TopologySettings {
    let region = |name: &str, centres: &[&str]| RegionSettings {
        name: name.parse().unwrap(),
        data_centres: centres.iter().map(|c| c.parse().unwrap()).collect(),
    };
    TopologySettings {
        regions: vec![region("a", &CENTRES[..2]), region("b", &CENTRES[2..])],
        ..TopologySettings::default()
    }
}

fn node(i: usize) -> InstanceName {
    format!("instance-{i:02}").parse().unwrap()
}

fn centre(i: usize) -> DataCentre {
    CENTRES[i % CENTRES.len()].parse().unwrap()
}

fn record(i: usize, run: u64) -> MemberRecord {
    MemberRecord::new(node(i), centre(i), Incarnation(run))
}

/// A rule of the network.
#[derive(Clone, Copy, PartialEq)]
enum Variant {
    Sound,
    /// Digests and full records are never exchanged, and refutations are dropped.
    NoRepair,
    /// Waits run on while the instance itself does not.
    NoPauseCheck,
}

struct Network {
    variant: Variant,
    topology: TopologySettings,
    probers: Vec<MemberProber>,
    is_up: Vec<bool>,
    /// Side of the partition on which each node is.
    side: Vec<usize>,
    loss_percent: u64,
    mail: Vec<(usize, ControlSend)>,
    millis: u64,
    random: u64,
}

impl Network {
    fn new(seed: u64, variant: Variant) -> Self {
        let mut timing = ProbeTiming::default();
        if variant == Variant::NoPauseCheck {
            timing.own_pause = std::time::Duration::MAX;
        }
        let prober = |i| {
            let mut prober = MemberProber::new(record(i, 1), timing.clone(), MonoTime::ZERO);
            prober.learn((0..NODES).map(|i| record(i, 1)), MonoTime::ZERO);
            prober
        };
        Self {
            variant,
            topology: topology(),
            probers: (0..NODES).map(prober).collect(),
            is_up: vec![true; NODES],
            side: vec![0; NODES],
            loss_percent: 0,
            mail: Vec::new(),
            millis: 0,
            random: seed,
        }
    }

    fn next(&mut self, bound: u64) -> u64 {
        self.random = self.random.wrapping_add(0x9e37_79b9_7f4a_7c15);
        mix_bits(self.random) % bound
    }

    fn now(&self) -> MonoTime {
        MonoTime::from_millis(self.millis)
    }

    fn is_dropped(&self, body: &ControlBody) -> bool {
        self.variant == Variant::NoRepair
            && matches!(
                body,
                ControlBody::MemberDigests(_) | ControlBody::MemberRecords(_)
            )
    }

    fn rounds(&mut self, count: u64) {
        for _ in 0..count * 1_000 / TICK_MILLIS {
            self.millis += TICK_MILLIS;
            for i in 0..NODES {
                if self.is_up[i] {
                    let (now, random) = (self.now(), self.next(u64::MAX));
                    let sends = self.probers[i].tick(&self.topology, now, random);
                    self.mail.extend(sends.into_iter().map(|send| (i, send)));
                }
            }
            self.deliver_all();
        }
    }

    fn deliver_all(&mut self) {
        // Answers are delivered in the same step, so delays are below the length of a tick.
        for _ in 0..10_000 {
            let Some((from, mut send)) = self.mail.pop() else {
                return;
            };
            let to = (0..NODES).find(|&i| node(i) == send.to).unwrap();
            let is_lost = self.next(100) < self.loss_percent || self.is_dropped(&send.body);
            if is_lost || !self.is_up[to] || self.side[from] != self.side[to] {
                continue;
            }
            if self.variant == Variant::NoRepair
                && let ControlBody::Probe(probe) | ControlBody::ProbeAck(probe) = &mut send.body
            {
                let own = node(to);
                probe.updates.retain(|update| update.name != own.as_str());
            }
            let now = self.now();
            let sends = self.probers[to].handle(&node(from), &send.body, &self.topology, now);
            self.mail.extend(sends.into_iter().map(|send| (to, send)));
        }
        panic!("messages answer each other without end");
    }

    /// Whether every running node takes exactly the running nodes for live.
    fn is_agreed(&self) -> bool {
        let up = (0..NODES).filter(|&i| self.is_up[i]);
        up.clone().all(|i| {
            let view = self.probers[i].view();
            let count = up.clone().count();
            view.len() == count && up.clone().all(|j| view.contains(&centre(j), &node(j)))
        })
    }

    fn states(&self) -> String {
        let line = |i: usize| {
            let entries = self.probers[i].table().entries().iter();
            let odd = entries.filter(|e| e.record.state != MemberState::Live);
            let odd: Vec<_> = odd
                .map(|e| format!("{}={}", e.record.name, e.record.state))
                .collect();
            format!("{i}: {}", odd.join(" "))
        };
        (0..NODES).map(line).collect::<Vec<_>>().join("; ")
    }
}

/// Cuts the network in two, fails and restarts nodes, heals it, and returns the rounds to agreement.
fn run_partition(seed: u64, variant: Variant) -> Result<u64, String> {
    let mut network = Network::new(seed, variant);
    network.rounds(5);
    let by_node = network.next(2) == 0;
    for i in 0..NODES {
        let is_far = if by_node {
            network.next(2) == 0
        } else {
            i % 4 >= 2
        };
        network.side[i] = usize::from(is_far);
    }
    network.loss_percent = network.next(10);
    let victim = network.next(NODES as u64) as usize;
    network.is_up[victim] = false;
    network.rounds(20 + network.random % 60);
    for i in 0..NODES {
        let forgotten = (0..NODES).any(|j| {
            network.is_up[i]
                && network.probers[i]
                    .table()
                    .find(&centre(j), &node(j))
                    .is_none()
        });
        if forgotten {
            return Err(format!(
                "node {i} has forgotten a member: {}",
                network.states()
            ));
        }
    }
    network.side = vec![0; NODES];
    network.loss_percent = 0;
    let now = network.now();
    network.probers[victim] = MemberProber::new(record(victim, 2), ProbeTiming::default(), now);
    network.is_up[victim] = true;
    let seed_node = node((victim + 1) % NODES);
    let join = network.probers[victim].join(&seed_node);
    network.mail.push((victim, join));
    for round in 0..HEAL_ROUNDS {
        if network.is_agreed() {
            return Ok(round);
        }
        network.rounds(1);
    }
    let states = network.states();
    Err(format!("no agreement after {HEAL_ROUNDS} rounds: {states}"))
}

quickcheck! {
    /// Guards against views that stay apart after a partition has healed, and against members that
    /// are forgotten while they may still serve.
    fn views_agree_after_a_heal(seed: u64) -> Result<bool, String> {
        let result = run_partition(seed, Variant::Sound);
        result.map(|_| true).map_err(|fault| format!("seed {seed}: {fault}"))
    }

    /// Guards against views that depend on the order or number of messages.
    fn merging_ignores_order(forms: Vec<(u8, u8, u8, u8)>, seed: u64) -> bool {
        let records: Vec<_> = forms.iter().map(|form| arbitrary_record(*form)).collect();
        let merge = |records: &[MemberRecord]| merge_all(records, MemberTable::merge);
        is_order_free(&records, seed, merge)
    }
}

fn arbitrary_record((name, run, refutation, state): (u8, u8, u8, u8)) -> MemberRecord {
    // Not gone: a gone member that is unknown is ignored on purpose.
    MemberRecord {
        refutation: u32::from(refutation % 3),
        state: MemberState::from_number(u32::from(state % 3)).unwrap(),
        ..record(1 + usize::from(name) % (NODES - 1), u64::from(run % 3))
    }
}

fn merge_all(
    records: &[MemberRecord],
    merge: impl Fn(&mut MemberTable, MemberRecord, MonoTime) -> MergeEffect,
) -> Vec<MemberRecord> {
    let mut table = MemberTable::new(record(0, 1), MonoTime::ZERO);
    for record in records {
        merge(&mut table, record.clone(), MonoTime::ZERO);
    }
    table.entries().iter().map(|e| e.record.clone()).collect()
}

/// Whether a merge gives the same result for shuffled and repeated records.
fn is_order_free<T: PartialEq>(
    records: &[MemberRecord],
    seed: u64,
    merge: impl Fn(&[MemberRecord]) -> T,
) -> bool {
    let mut shuffled = records.to_vec();
    shuffled.extend_from_slice(records);
    shuffled.sort_by_key(|r| mix_bits(seed ^ r.incarnation.0 ^ u64::from(r.refutation) << 8));
    shuffled.reverse();
    merge(records) == merge(&shuffled)
}

/// The property catches views in which the last message wins.
#[test]
fn last_message_wins_is_caught() {
    let merge = |records: &[MemberRecord]| {
        let mut last: Vec<MemberRecord> = Vec::new();
        for record in records {
            last.retain(|known| known.name != record.name);
            last.push(record.clone());
        }
        last.sort_by(|a, b| a.name.cmp(&b.name));
        last
    };
    let records = [(1, 0, 0, 0), (1, 1, 0, 0), (1, 2, 1, 1)].map(arbitrary_record);
    assert!((0..20).any(|seed| !is_order_free(&records, seed, merge)));
}

/// The property catches a network without refutation and exchange of records.
#[test]
fn missing_repair_is_caught() {
    assert!((0..10).any(|seed| run_partition(seed, Variant::NoRepair).is_err()));
}

/// Guards against a failed instance that keeps its roles, and against others that lose theirs.
#[test]
fn failed_instance_is_gone() {
    let mut network = Network::new(3, Variant::Sound);
    network.rounds(5);
    network.is_up[4] = false;
    // Probe, wait, suspicion of 4 s, gossip, and relays to the other region.
    network.rounds(30);
    assert!(network.is_agreed(), "{}", network.states());
    let entry = network.probers[1]
        .table()
        .find(&centre(4), &node(4))
        .unwrap();
    assert_eq!(entry.record.state, MemberState::Gone);
}

/// Guards against a lost message or a slow answer that costs a live instance its roles.
#[test]
fn losses_do_not_remove_members() {
    let mut network = Network::new(5, Variant::Sound);
    network.loss_percent = 5;
    for _ in 0..300 {
        network.rounds(1);
        assert!(network.is_agreed(), "{}", network.states());
    }
}

/// A node that stood still for 20 s suspects nobody when it runs on. Tells whether that holds.
fn survives_own_pause(variant: Variant) -> bool {
    (0..20).all(|seed| {
        let mut network = Network::new(seed, variant);
        network.rounds(5);
        // It has just sent a probe whose answer does not arrive, as the machine stops.
        let (now, random) = (network.now(), network.next(u64::MAX));
        for step in 0..5 {
            let at = now + std::time::Duration::from_millis(step * TICK_MILLIS);
            network.probers[0].tick(&network.topology, at, random);
        }
        let later = now + std::time::Duration::from_secs(20);
        network.probers[0].tick(&network.topology, later, random);
        let entries = network.probers[0].table().entries().iter();
        entries
            .filter(|e| e.record.state != MemberState::Live)
            .count()
            == 0
    })
}

/// Guards against silence that is counted while the observer itself stands still.
#[test]
fn own_pause_is_not_silence() {
    assert!(survives_own_pause(Variant::Sound));
}

/// The check catches waits that run on in a pause.
#[test]
fn missing_pause_check_is_caught() {
    assert!(!survives_own_pause(Variant::NoPauseCheck));
}

/// Guards against a leaving instance that keeps its roles, or that is forgotten while it finishes.
#[test]
fn leaving_instance_loses_its_roles() {
    let mut network = Network::new(9, Variant::Sound);
    network.rounds(5);
    let now = network.now();
    network.probers[6].leave(now);
    network.rounds(20);
    for i in (0..NODES).filter(|i| *i != 6) {
        let entry = network.probers[i]
            .table()
            .find(&centre(6), &node(6))
            .unwrap();
        assert_eq!(
            entry.record.state,
            MemberState::Leaving,
            "as node {i} sees it"
        );
        assert!(!network.probers[i].view().contains(&centre(6), &node(6)));
    }
}

/// Guards against permits that stay with a data centre whose instances have all failed at once.
#[test]
fn lost_data_centre_is_noticed_in_its_region() {
    let mut network = Network::new(11, Variant::Sound);
    network.rounds(20);
    for i in (0..NODES).filter(|i| i % 4 == 1) {
        network.is_up[i] = false;
    }
    network.rounds(20);
    let lost: DataCentre = CENTRES[1].parse().unwrap();
    assert!(!network.probers[0].view().is_populated(&lost));
    assert!(
        network.probers[2].view().is_populated(&lost),
        "other regions take no permits of it"
    );
    assert!(network.probers[0].table().find(&lost, &node(1)).is_some());
    for i in (0..NODES).filter(|i| i % 4 == 1) {
        network.is_up[i] = true;
    }
    network.rounds(60);
    assert!(network.is_agreed(), "{}", network.states());
}

/// Tells whether nodes agree of which every second one knows many members that the others do not.
fn mixed_views_agree(variant: Variant) -> bool {
    let mut network = Network::new(21, variant);
    let ghost = |i: usize| {
        let name = format!("ghost-{i:02}").parse().unwrap();
        MemberRecord::new(name, "c-1".parse().unwrap(), Incarnation(1))
    };
    for i in (0..NODES).filter(|i| i % 8 < 4) {
        network.probers[i].learn((0..40).map(ghost), MonoTime::ZERO);
    }
    network.rounds(HEAL_ROUNDS);
    let known = |i: usize| network.probers[i].view().len();
    (0..NODES).all(|i| known(i) == NODES + 40)
}

/// Guards against two groups in a data centre whose matching digests keep them from comparing records.
#[test]
fn mixed_views_end_in_one() {
    assert!(mixed_views_agree(Variant::Sound));
}

/// The check catches a network without exchange of records.
#[test]
fn mixed_views_without_repair_are_caught() {
    assert!(!mixed_views_agree(Variant::NoRepair));
}

/// Starts all instances, each of which has met one other; tells whether the views agree in the end.
fn agrees_after_mass_start(seed: u64, has_list: bool) -> bool {
    let mut network = Network::new(seed, Variant::Sound);
    for i in 0..NODES {
        let mut prober = MemberProber::new(record(i, 2), ProbeTiming::default(), MonoTime::ZERO);
        if has_list {
            prober.set_hints((0..NODES).map(|i| (node(i), centre(i))));
        }
        network.probers[i] = prober;
    }
    for i in 0..NODES {
        let other = network.next(NODES as u64) as usize;
        let join = network.probers[i].join(&node(other));
        network.mail.push((i, join));
    }
    network.rounds(HEAL_ROUNDS);
    network.is_agreed()
}

/// Guards against instances that start together and stay in separate groups.
#[test]
fn mass_start_ends_in_one_view() {
    assert!((0..50).all(|seed| agrees_after_mass_start(seed, true)));
}

/// The check catches a start without the instance list.
#[test]
fn missing_instance_list_is_caught() {
    assert!((0..50).any(|seed| !agrees_after_mass_start(seed, false)));
}

/// Guards against two runs of one name that both go on.
#[test]
fn older_run_learns_that_it_was_replaced() {
    let mut prober = MemberProber::new(record(0, 1), ProbeTiming::default(), MonoTime::ZERO);
    let mut newer = MemberProber::new(record(0, 2), ProbeTiming::default(), MonoTime::ZERO);
    newer.learn([record(4, 1)], MonoTime::ZERO);
    let list = newer.handle(
        &node(4),
        &ControlBody::MemberDigests(Default::default()),
        &topology(),
        MonoTime::ZERO,
    );
    prober.handle(&node(4), &list[0].body, &topology(), MonoTime::ZERO);
    assert!(prober.is_replaced());
    assert!(!newer.is_replaced());
}
