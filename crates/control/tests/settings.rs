//! Spreading of settings under faults, and changes by compare-and-swap.

use quickcheck::quickcheck;

use heatherhollow_control::ControlBody;
use heatherhollow_control::ControlSend;
use heatherhollow_control::LiveMember;
use heatherhollow_control::LiveView;
use heatherhollow_control::MAX_RECENT_CHANGES;
use heatherhollow_control::ServiceSettings;
use heatherhollow_control::SettingsDocument;
use heatherhollow_control::SettingsSpread;
use heatherhollow_control::SpreadAction;
use heatherhollow_control::StoredDocument;
use heatherhollow_control::SwapOutcome;
use heatherhollow_control::SwapResolver;
use heatherhollow_control::SwapStep;
use heatherhollow_control::TeamSettings;
use heatherhollow_types::DataCentre;
use heatherhollow_types::Incarnation;
use heatherhollow_types::InstanceName;
use heatherhollow_types::MonoTime;
use heatherhollow_types::mix_bits;

const PATH: &str = "/teams/lidos";
const NODES: usize = 7;

/// Numbers from a seed that quickcheck prints.
struct Random(u64);

impl Random {
    fn next(&mut self, bound: usize) -> usize {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        (mix_bits(self.0) % bound as u64) as usize
    }
}

fn document(number: u64, size: usize) -> Vec<u8> {
    let settings = TeamSettings::empty("lidos".parse().unwrap());
    let id = format!("c-{number}").parse().unwrap();
    let mut bytes = SettingsDocument::first(settings, id, "rana").encode();
    // JSON allows white space at the end; it makes documents of several parts.
    bytes.resize(bytes.len().max(size), b' ');
    bytes
}

fn node_name(i: usize) -> InstanceName {
    format!("instance-{i}").parse().unwrap()
}

fn centre() -> DataCentre {
    "aqaba-a".parse().unwrap()
}

fn view() -> LiveView {
    LiveView::new((0..NODES).map(|i| (centre(), LiveMember::new(node_name(i), Incarnation(1)))))
}

/// How a node treats a pushed revision.
#[derive(Clone, Copy, PartialEq)]
enum Variant {
    Sound,
    /// Takes every document that is pushed, as a table without revisions would.
    LastPushWins,
    /// Is ready as soon as it runs.
    ReadyAtOnce,
}

struct Fleet {
    variant: Variant,
    spreads: Vec<SettingsSpread>,
    /// Revision in force of each node in its present run.
    in_force: Vec<u64>,
    network: Vec<(usize, ControlSend)>,
    store: (u64, Vec<u8>),
    fault: Option<String>,
}

impl Fleet {
    fn new(variant: Variant) -> Self {
        let spread = |i| SettingsSpread::new(node_name(i), centre());
        let mut fleet = Self {
            variant,
            spreads: (0..NODES).map(spread).collect(),
            in_force: vec![0; NODES],
            network: Vec::new(),
            store: (10, document(10, 0)),
            fault: None,
        };
        for i in 0..NODES {
            fleet.read_store(i);
        }
        fleet
    }

    fn read_store(&mut self, i: usize) {
        let (revision, bytes) = self.store.clone();
        let actions = self.spreads[i].on_store_list([(PATH, revision, &bytes[..])], &view());
        self.act(i, actions);
        if self.variant == Variant::Sound && self.in_force[i] < revision {
            self.fault = Some(format!(
                "node {i} is ready below revision {revision} it has read"
            ));
        }
    }

    fn act(&mut self, i: usize, actions: Vec<SpreadAction>) {
        for action in actions {
            match action {
                SpreadAction::Send(send) => self.network.push((i, send)),
                SpreadAction::Changed { revision, .. } => self.set_in_force(i, revision),
                SpreadAction::Rejected { error, .. } => self.fault = Some(error.to_string()),
            }
        }
        let is_ready = match self.variant {
            Variant::ReadyAtOnce => true,
            _ => self.spreads[i].table().is_ready(),
        };
        if is_ready && self.in_force[i] == 0 {
            self.fault = Some(format!("node {i} is ready without settings"));
        }
    }

    fn set_in_force(&mut self, i: usize, revision: u64) {
        if revision < self.in_force[i] {
            let old = self.in_force[i];
            self.fault = Some(format!("node {i} went from {old} back to {revision}"));
        }
        self.in_force[i] = revision;
    }

    fn deliver(&mut self, at: usize, is_kept: bool) {
        let (from, send) = match is_kept {
            true => self.network[at].clone(),
            false => self.network.swap_remove(at),
        };
        let to = (0..NODES).find(|&i| node_name(i) == send.to).unwrap();
        if let (Variant::LastPushWins, ControlBody::SettingsPush(push)) = (self.variant, &send.body)
        {
            self.set_in_force(to, push.revision);
        }
        let actions = self.spreads[to].handle(&node_name(from), &send.body, &view());
        self.act(to, actions);
    }

    fn restart(&mut self, i: usize, is_store_up: bool, peer: usize) {
        self.spreads[i] = SettingsSpread::new(node_name(i), centre());
        self.in_force[i] = 0;
        self.act(i, Vec::new());
        if is_store_up {
            self.read_store(i);
        } else if peer != i {
            let ask = self.spreads[i].ask_peer(&node_name(peer));
            self.network.push((i, ask));
        }
    }

    fn change(&mut self, watcher: usize, size: usize) {
        self.store = (self.store.0 + 1, document(self.store.0 + 1, size));
        let (revision, bytes) = self.store.clone();
        let actions = self.spreads[watcher].on_store_change(PATH, revision, Some(&bytes), &view());
        self.act(watcher, actions);
    }

    /// Exchanges digests without faults; returns the rounds until all nodes have the store's revision.
    fn settle(&mut self, random: &mut Random, start: u64) -> Option<usize> {
        self.read_store(0);
        for round in 0..40 {
            if self
                .in_force
                .iter()
                .all(|&revision| revision == self.store.0)
            {
                return Some(round);
            }
            let now = MonoTime::from_millis((start + round as u64 + 1) * 1_000);
            for i in 0..NODES {
                let peer = random.next(NODES);
                let digest = self.spreads[peer].table().digest();
                let actions = self.spreads[i].on_peer_digest(&node_name(peer), digest, now);
                self.act(i, actions);
            }
            while !self.network.is_empty() {
                self.deliver(0, false);
            }
        }
        None
    }
}

/// Runs one history; tells what went wrong.
fn run_history(seed: u64, variant: Variant) -> Result<(), String> {
    let mut random = Random(seed);
    let mut fleet = Fleet::new(variant);
    let mut is_cut = [false; NODES];
    for step in 0..200 {
        match random.next(10) {
            0 => {
                let size = [0, 0, 60_000, 150_000][random.next(4)];
                fleet.change(random.next(NODES), size);
            }
            1 => {
                let (i, peer) = (random.next(NODES), random.next(NODES));
                fleet.restart(i, random.next(2) == 0, peer);
            }
            2 => is_cut[random.next(NODES)] ^= true,
            3 => {
                let (i, peer) = (random.next(NODES), random.next(NODES));
                let digest = fleet.spreads[peer].table().digest();
                let now = MonoTime::from_millis(step * 700);
                let actions = fleet.spreads[i].on_peer_digest(&node_name(peer), digest, now);
                fleet.act(i, actions);
            }
            _ if fleet.network.is_empty() => {}
            kind => {
                let at = random.next(fleet.network.len());
                let (from, to) = (fleet.network[at].0, fleet.network[at].1.to.clone());
                let to = (0..NODES).find(|&i| node_name(i) == to).unwrap();
                if kind == 4 || is_cut[from] != is_cut[to] {
                    fleet.network.swap_remove(at);
                } else {
                    fleet.deliver(at, kind == 5);
                }
            }
        }
        if let Some(fault) = fleet.fault.take() {
            return Err(format!("step {step}: {fault}"));
        }
    }
    // An exchange that changes nothing waits up to a minute for the next one, so let that pass.
    match fleet.settle(&mut random, 300) {
        Some(_) => fleet.fault.map_or(Ok(()), Err),
        None => Err(format!(
            "no agreement after 40 rounds: {:?}",
            fleet.in_force
        )),
    }
}

quickcheck! {
    /// Guards against a revision that goes back in a run, against readiness without settings, and
    /// against nodes that stay behind once the faults are over.
    fn settings_never_revert(seed: u64) -> Result<bool, String> {
        let result = run_history(seed, Variant::Sound);
        result.map(|()| true).map_err(|fault| format!("seed {seed}: {fault}"))
    }

    /// Guards against changes that take effect twice, or whose owner is told the wrong outcome.
    fn swap_takes_effect_at_most_once(seed: u64) -> Result<bool, String> {
        let result = run_swaps(seed, false);
        result.map(|()| true).map_err(|fault| format!("seed {seed}: {fault}"))
    }
}

/// The property catches a table that ignores revisions.
#[test]
fn last_push_wins_is_caught() {
    assert!((0..100).any(|seed| run_history(seed, Variant::LastPushWins).is_err()));
}

/// The property catches an instance that serves before it has settings.
#[test]
fn ready_at_once_is_caught() {
    assert!((0..100).any(|seed| run_history(seed, Variant::ReadyAtOnce).is_err()));
}

/// Guards against a removed document that stays in force where its removal was not seen, and against
/// an old list that removes a newer document.
#[test]
fn removed_documents_are_noticed() {
    let mut spread = SettingsSpread::new(node_name(0), centre());
    let bytes = document(1, 0);
    spread.on_store_list([(PATH, 10, &bytes[..])], &view());
    spread.remove_unlisted(&[], 9, &view());
    assert_eq!(spread.table().teams().count(), 1);
    spread.remove_unlisted(&[PATH], 15, &view());
    assert_eq!(spread.table().teams().count(), 1);
    spread.remove_unlisted(&[], 15, &view());
    assert_eq!(spread.table().teams().count(), 0);
    spread.on_store_change(PATH, 10, Some(&bytes), &view());
    assert_eq!(
        spread.table().teams().count(),
        0,
        "a removal is not undone by an older revision"
    );
    spread.on_store_change(PATH, 16, Some(&bytes), &view());
    assert_eq!(spread.table().teams().count(), 1);
}

/// A store that may lose requests and replies, and deliver a request late.
struct FakeStore {
    current: Option<StoredDocument>,
    late: Vec<(Option<u64>, SettingsDocument)>,
    /// Ids of changes in the order in which they took effect.
    effects: Vec<String>,
}

impl FakeStore {
    fn swap(&mut self, expected: Option<u64>, document: SettingsDocument) -> Option<u64> {
        if self.current.as_ref().map(|c| c.revision) != expected {
            return None;
        }
        let revision = expected.unwrap_or(0) + 1;
        self.effects.push(document.change_id.to_string());
        self.current = Some(StoredDocument { document, revision });
        Some(revision)
    }
}

fn new_settings(weight: u32) -> TeamSettings {
    let mut settings = TeamSettings::empty("lidos".parse().unwrap());
    let group = "bookings".parse().unwrap();
    let mut service = ServiceSettings::new("lanes".parse().unwrap(), group, 3, 20);
    service.weight = weight;
    settings.services.push(service);
    settings
}

/// Two operators change one document at the same time, while others do so in between.
fn run_swaps(seed: u64, forgets_ids: bool) -> Result<(), String> {
    let mut random = Random(seed);
    let mut store = FakeStore {
        current: None,
        late: Vec::new(),
        effects: Vec::new(),
    };
    if random.next(4) > 0 {
        let first = SettingsDocument::first(new_settings(1), "base".parse().unwrap(), "base");
        store.swap(None, first);
    }
    let base = store.current.clone();
    let ids = ["left", "right"];
    let mut resolvers =
        ids.map(|id| SwapResolver::new(base.clone(), new_settings(9), id.parse().unwrap(), id));
    let mut steps: Vec<SwapStep> = resolvers.iter_mut().map(SwapResolver::start).collect();
    let mut others = 0;
    for _ in 0..200 {
        if steps.iter().all(|step| matches!(step, SwapStep::Done(_))) {
            break;
        }
        let who = random.next(2);
        if random.next(6) == 0 && !store.late.is_empty() {
            let (expected, document) = store.late.swap_remove(0);
            store.swap(expected, document);
        }
        if random.next(12) == 0
            && let Some(current) = store.current.clone()
        {
            // Sometimes so many changes that the list of recent ones is full of others.
            for _ in 0..[1, 1, 1, 40][random.next(4)] {
                others += 1;
                let id = format!("other-{others}").parse().unwrap();
                let present = store.current.clone().unwrap_or(current.clone());
                let next = present.document.next(new_settings(3), id, "other");
                store.swap(Some(present.revision), next);
            }
        }
        let resolver = &mut resolvers[who];
        steps[who] = match steps[who].clone() {
            SwapStep::Done(outcome) => SwapStep::Done(outcome),
            SwapStep::Read { .. } if random.next(4) == 0 => resolver.on_read_failed(),
            SwapStep::Read { .. } if forgets_ids => {
                // The broken variant repeats its change on whatever it reads.
                let id = ids[who].parse().unwrap();
                let again = SwapResolver::new(store.current.clone(), new_settings(9), id, ids[who]);
                *resolver = again;
                resolver.start()
            }
            SwapStep::Read { .. } => resolver.on_read(store.current.clone()),
            SwapStep::Swap {
                expected, value, ..
            } => {
                let document = SettingsDocument::decode(&value).map_err(|e| e.to_string())?;
                match random.next(5) {
                    0 => {
                        store.late.push((expected, document));
                        resolver.on_reply_lost()
                    }
                    1 => {
                        store.swap(expected, document);
                        resolver.on_reply_lost()
                    }
                    2 => resolver.on_not_made("the store is unavailable"),
                    _ => match store.swap(expected, document) {
                        Some(revision) => resolver.on_swapped(revision),
                        None => resolver.on_conflict(store.current.clone()),
                    },
                }
            }
        };
    }
    for (expected, document) in std::mem::take(&mut store.late) {
        store.swap(expected, document);
    }
    let winners = store
        .effects
        .iter()
        .filter(|effect| ids.contains(&effect.as_str()));
    if winners.count() > 1 {
        return Err("both changes of one revision took effect".to_string());
    }
    for (id, step) in ids.iter().zip(&steps) {
        let count = store.effects.iter().filter(|effect| effect == id).count();
        let is_true = match step {
            SwapStep::Done(SwapOutcome::Effective { .. }) => count == 1,
            SwapStep::Done(SwapOutcome::Lost(conflict)) => {
                count == 0 && conflict.message.contains("/teams/lidos")
            }
            SwapStep::Done(SwapOutcome::NotMade { .. }) => count == 0,
            SwapStep::Done(SwapOutcome::Unresolved { .. }) => count <= 1,
            _ => return Err(format!("{id} did not end")),
        };
        if !is_true {
            return Err(format!(
                "{id} took effect {count} times but was told {step:?}"
            ));
        }
    }
    Ok(())
}

/// The property catches a repeat that does not look for its change id.
#[test]
fn forgotten_ids_are_caught() {
    assert!((0..300).any(|seed| run_swaps(seed, true).is_err()));
}

/// Guards against a race that both operators win or lose, and a loser who is not told who won.
#[test]
fn loser_of_a_race_is_told() {
    let first = SettingsDocument::first(new_settings(1), "base".parse().unwrap(), "base");
    let base = StoredDocument {
        document: first,
        revision: 41,
    };
    let next = base
        .document
        .next(new_settings(5), "left".parse().unwrap(), "rana");
    let winner = StoredDocument {
        document: next,
        revision: 42,
    };
    let id = "right".parse().unwrap();
    let mut loser = SwapResolver::new(Some(base), new_settings(6), id, "omar");
    loser.start();
    let SwapStep::Done(SwapOutcome::Lost(conflict)) = loser.on_conflict(Some(winner)) else {
        panic!("the second change is refused");
    };
    assert_eq!(
        conflict.changed_paths,
        ["/teams/lidos/services/lanes/weight"]
    );
    for part in ["revision 42", "rana", "services/lanes/weight", "not made"] {
        assert!(
            conflict.message.contains(part),
            "{part:?} is not in {:?}",
            conflict.message
        );
    }
}

/// Guards against calling a change lost when the list of recent changes no longer reaches back to it.
#[test]
fn rolled_over_list_leaves_a_change_unresolved() {
    let first = SettingsDocument::first(new_settings(1), "base".parse().unwrap(), "base");
    let base = StoredDocument {
        document: first.clone(),
        revision: 1,
    };
    let mut resolver =
        SwapResolver::new(Some(base), new_settings(2), "mine".parse().unwrap(), "rana");
    resolver.start();
    resolver.on_reply_lost();
    let mut document = first.next(new_settings(2), "mine".parse().unwrap(), "rana");
    for i in 0..MAX_RECENT_CHANGES {
        document = document.next(new_settings(3), format!("o-{i}").parse().unwrap(), "other");
    }
    let step = resolver.on_read(Some(StoredDocument {
        document,
        revision: 99,
    }));
    assert!(
        matches!(step, SwapStep::Done(SwapOutcome::Unresolved { .. })),
        "{step:?}"
    );
}
