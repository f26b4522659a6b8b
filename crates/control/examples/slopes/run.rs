//! One run of the slopes program: all instances over a virtual clock and a queue of messages.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::Duration;
use std::time::Instant;

use prost::Message;

use heatherhollow_control::ControlBody;
use heatherhollow_control::ControlMessage;
use heatherhollow_control::ControlSend;
use heatherhollow_control::MemberProber;
use heatherhollow_control::MemberRecord;
use heatherhollow_control::MemberState;
use heatherhollow_control::ObservationList;
use heatherhollow_control::ProbeMessage;
use heatherhollow_control::ProbeTiming;
use heatherhollow_control::SettingsDocument;
use heatherhollow_control::SettingsSpread;
use heatherhollow_control::SpreadAction;
use heatherhollow_control::TeamSettings;
use heatherhollow_control::centre_relays;
use heatherhollow_control::team_path;
use heatherhollow_types::Incarnation;
use heatherhollow_types::MonoTime;
use heatherhollow_types::mix_bits;

use crate::slopes_plan::CHANGES_A_DAY;
use crate::slopes_plan::Deployment;
use crate::slopes_plan::index_of;
use crate::slopes_result::RunResult;
use crate::slopes_result::Spread;
use crate::slopes_status::ObserverRole;
use crate::slopes_status::StatusAnswer;
use crate::slopes_status::StatusCall;
use crate::slopes_status::observer_roles;

/// Headers of TCP (32 with timestamps), IPv4 (20) and Ethernet (14) for each frame.
pub const FRAME_BYTES: usize = 66;

/// Length of a frame, in front of its message.
const LENGTH_BYTES: usize = 4;

/// One message of this many is lost.
const LOSS_ONE_IN: u64 = 100;

/// Virtual time before the measurement, in which the start settles.
const WARM_UP_SECONDS: u64 = 30;

/// Time between two ticks of an instance.
const TICK_MICROS: u64 = 200_000;

/// Time between two probes of the primary of an idle group (case 25).
const STATUS_MICROS: u64 = 500_000;

/// A replica of an idle group is probed at every second of these times: its position does not move,
/// and suspicion needs only the primary's answers.
const REPLICA_EVERY: u64 = 2;

/// Longest wait of a watch at the store before it is asked again.
const WATCH_SECONDS: f64 = 30.0;

/// Starts of all instances are spread over this time (case 23).
const START_MICROS: u64 = 5_000_000;

/// One instance of the simulation.
pub struct Node {
    prober: MemberProber,
    spread: SettingsSpread,
    role: ObserverRole,
    position: u64,
    is_up: bool,
    busy: Duration,
    /// Bytes for members, settings, status of far and of near targets.
    sent: [u64; 4],
    received: u64,
    messages: u64,
}

enum Event {
    Tick(usize),
    Status(usize),
    Deliver {
        to: usize,
        from: usize,
        bytes: Vec<u8>,
    },
    Change(usize),
    Kill(usize),
    Restart(usize),
}

/// Encoded probe without updates, as a heartbeat of a full mesh would be.
pub fn bare_probe(prober: &MemberProber, sequence: u32) -> Vec<u8> {
    let probe = ProbeMessage {
        sequence,
        members_digest: prober.table().digest(),
        ..ProbeMessage::default()
    };
    ControlMessage::from(ControlBody::Probe(probe)).encode_bytes()
}

/// Resident memory of this process.
pub fn resident_bytes() -> usize {
    let text = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = text
        .split(' ')
        .nth(1)
        .and_then(|field| field.parse::<usize>().ok());
    pages.unwrap_or(0) * 4_096
}

struct Simulation<'d> {
    deployment: &'d Deployment,
    nodes: Vec<Node>,
    queue: BinaryHeap<Reverse<(u64, u64)>>,
    events: Vec<Option<Event>>,
    free: Vec<usize>,
    serial: u64,
    now: u64,
    /// Changes made, with path, revision and time, and when each node had it in force.
    changes: Vec<(String, u64, u64)>,
    change_seen: Vec<f64>,
    killed_at: u64,
    killed: usize,
    /// Bytes between regions, all pairs and directions.
    far_bytes: u64,
}

/// Runs a deployment for some virtual time after the warm-up; the nodes are returned with the figures.
pub fn run_deployment(deployment: &Deployment, seconds: u64) -> (RunResult, Vec<Node>) {
    // Small deployments are built several times, as the process grows in large steps.
    let copies = (1_000 / deployment.nodes.len()).max(1);
    let before = resident_bytes();
    let mut simulations: Vec<_> = (0..copies).map(|_| Simulation::new(deployment)).collect();
    let grown = resident_bytes().saturating_sub(before) as f64;
    let memory_mb = grown / (copies * deployment.nodes.len()) as f64 / 1e6;
    let mut simulation = simulations.swap_remove(0);
    simulation.advance(WARM_UP_SECONDS * 1_000_000);
    for node in &mut simulation.nodes {
        node.busy = Duration::ZERO;
        (node.sent, node.received, node.messages) = ([0; 4], 0, 0);
    }
    simulation.far_bytes = 0;
    let end = (WARM_UP_SECONDS + seconds) * 1_000_000;
    let start = WARM_UP_SECONDS * 1_000_000;
    // The plan's rate of changes of settings, besides one failure and one restart.
    let changes = (seconds * CHANGES_A_DAY as u64).div_ceil(86_400);
    for change in 0..changes {
        let at = start + change * seconds * 800_000 / changes;
        simulation.push(at, Event::Change(change as usize));
    }
    let victim = simulation.killed;
    simulation.push(start + seconds * 100_000, Event::Kill(victim));
    simulation.push(start + seconds * 700_000, Event::Restart(victim));
    let mut gone_seconds = f64::NAN;
    while simulation.now < end {
        let step = (simulation.now + 100_000).min(end);
        simulation.advance(step);
        if gone_seconds.is_nan() && simulation.killed_at > 0 && simulation.is_gone_everywhere() {
            gone_seconds = (simulation.now - simulation.killed_at) as f64 / 1e6;
        }
    }
    let result = simulation.result(seconds, memory_mb, gone_seconds);
    let others = simulations.into_iter().flat_map(|other| other.nodes);
    (result, simulation.nodes.into_iter().chain(others).collect())
}

/// Figures of a start of all instances within a few seconds, each with the instance list.
pub struct StartResult {
    /// Virtual time until every instance knows all others, or none if it did not come to that.
    pub seconds: Option<f64>,
    /// Bytes that an instance sent until then.
    pub sent: Spread,
    /// Bytes between regions until then, all pairs and directions.
    pub far_bytes: u64,
}

/// Starts all instances of a deployment within five seconds.
pub fn run_mass_start(deployment: &Deployment) -> StartResult {
    const LIMIT_SECONDS: u64 = 180;
    let mut simulation = Simulation::new(deployment);
    let count = deployment.nodes.len();
    for i in 0..count {
        simulation.nodes[i].is_up = false;
        let at = mix_bits(i as u64 ^ 0xface) % START_MICROS;
        simulation.push(at, Event::Restart(i));
    }
    let mut seconds = None;
    while seconds.is_none() && simulation.now < LIMIT_SECONDS * 1_000_000 {
        simulation.advance(simulation.now + 250_000);
        let is_complete = |n: &Node| n.is_up && n.prober.view().len() == count;
        if simulation.nodes.iter().all(is_complete) {
            seconds = Some(simulation.now as f64 / 1e6);
        }
    }
    let sent = simulation.nodes.iter().map(|n| n.sent[0] as f64);
    StartResult {
        seconds,
        sent: Spread::of(sent),
        far_bytes: simulation.far_bytes,
    }
}

impl<'d> Simulation<'d> {
    fn new(deployment: &'d Deployment) -> Self {
        let now = MonoTime::ZERO;
        let records: Vec<MemberRecord> = deployment
            .nodes
            .iter()
            .map(|(name, centre)| {
                MemberRecord::new(name.clone(), centre.clone(), Incarnation(1_790_000_000_000))
            })
            .collect();
        // Every node holds all documents, but small ones, so that 2,000 copies fit in memory. The
        // changes that are measured have full size, and `documents` measures the memory.
        let small = |team: &TeamSettings| {
            let empty = TeamSettings::empty(team.team.clone());
            let change = "change-0".parse().expect("a valid id");
            let bytes = SettingsDocument::first(empty, change, "operator").encode();
            (team_path(&team.team), bytes)
        };
        let documents: Vec<_> = deployment.teams.iter().map(small).collect();
        let view = deployment.view();
        let nodes = records.iter().map(|own| {
            let mut prober = MemberProber::new(own.clone(), ProbeTiming::default(), now);
            prober.learn(records.iter().cloned(), now);
            let mut spread = SettingsSpread::new(own.name.clone(), own.centre.clone());
            let list = documents
                .iter()
                .map(|(path, bytes)| (path.as_str(), 1, &bytes[..]));
            spread.on_store_list(list, &view);
            prober.set_settings_digest(spread.table().digest());
            Node {
                prober,
                spread,
                role: ObserverRole::default(),
                position: 0,
                is_up: true,
                busy: Duration::ZERO,
                sent: [0; 4],
                received: 0,
                messages: 0,
            }
        });
        let mut simulation = Self {
            deployment,
            nodes: nodes.collect(),
            queue: BinaryHeap::new(),
            events: Vec::new(),
            free: Vec::new(),
            serial: 0,
            now: 0,
            changes: Vec::new(),
            change_seen: Vec::new(),
            killed_at: 0,
            killed: deployment.nodes.len() / 2,
            far_bytes: 0,
        };
        for (node, role) in simulation.nodes.iter_mut().zip(observer_roles(deployment)) {
            node.role = role;
        }
        for i in 0..simulation.nodes.len() {
            let phase = mix_bits(i as u64 + 1);
            simulation.push(phase % START_MICROS, Event::Tick(i));
            simulation.push(phase % STATUS_MICROS, Event::Status(i));
        }
        simulation
    }

    fn push(&mut self, at: u64, event: Event) {
        let slot = self.free.pop().unwrap_or_else(|| {
            self.events.push(None);
            self.events.len() - 1
        });
        self.events[slot] = Some(event);
        self.serial += 1;
        // The slot rides in the low bits; the serial number keeps equal times in order.
        self.queue
            .push(Reverse((at, self.serial << 24 | slot as u64)));
    }

    fn advance(&mut self, until: u64) {
        while let Some(&Reverse((at, tag))) = self.queue.peek() {
            if at > until {
                break;
            }
            self.queue.pop();
            let slot = (tag & 0xff_ffff) as usize;
            self.free.push(slot);
            let event = self.events[slot].take();
            self.now = at;
            if let Some(event) = event {
                self.run(event);
            }
        }
        self.now = until;
    }

    fn run(&mut self, event: Event) {
        match event {
            Event::Tick(i) => {
                self.push(self.now + TICK_MICROS, Event::Tick(i));
                self.tick(i);
            }
            Event::Status(i) => {
                self.push(self.now + STATUS_MICROS, Event::Status(i));
                self.status(i);
            }
            Event::Deliver { to, from, bytes } => self.deliver(to, from, &bytes),
            Event::Change(number) => self.change(number),
            Event::Kill(i) => {
                self.nodes[i].is_up = false;
                self.killed_at = self.now;
            }
            Event::Restart(i) => self.restart(i),
        }
    }

    fn tick(&mut self, i: usize) {
        let (now, random) = (MonoTime::from_micros(self.now), mix_bits(self.serial));
        let node = &mut self.nodes[i];
        if !node.is_up {
            return;
        }
        let started = Instant::now();
        node.prober
            .set_settings_digest(node.spread.table().digest());
        let sends = node.prober.tick(&self.deployment.topology, now, random);
        node.busy += started.elapsed();
        self.send_all(i, sends);
    }

    /// Probes of targets; the answer is made and counted at once, as targets are not instances.
    fn status(&mut self, i: usize) {
        let node = &mut self.nodes[i];
        if !node.is_up {
            return;
        }
        let now = self.now;
        let turn = now / STATUS_MICROS;
        for probed in &node.role.probed {
            if !probed.is_primary && !turn.is_multiple_of(REPLICA_EVERY) {
                continue;
            }
            let call = StatusCall {
                sequence: turn as u32,
                term: 12,
            };
            let answer = StatusAnswer {
                sequence: call.sequence,
                term: 12,
                promised: 12,
                position: 40_000_000 + now,
                is_primary: probed.is_primary,
                heard_ms: 3,
            }
            .encode_to_vec();
            let started = Instant::now();
            let bytes = call.encode_to_vec();
            let decoded = StatusAnswer::decode(&answer[..]).unwrap_or_default();
            node.position = node.position.max(decoded.position);
            node.busy += started.elapsed();
            let kind = if probed.is_near { 3 } else { 2 };
            node.sent[kind] += (bytes.len() + LENGTH_BYTES + FRAME_BYTES) as u64;
            node.received += (answer.len() + LENGTH_BYTES + FRAME_BYTES) as u64;
            node.messages += 1;
        }
        let sends = node.role.informed.iter().map(|(holder, entries)| {
            let entries = entries.clone();
            ControlSend::new(
                holder,
                ControlBody::Observations(ObservationList { entries }),
            )
        });
        let sends = sends.collect();
        self.send_all(i, sends);
    }

    fn deliver(&mut self, to: usize, from: usize, bytes: &[u8]) {
        let now = MonoTime::from_micros(self.now);
        let sender = &self.deployment.nodes[from].0;
        let node = &mut self.nodes[to];
        if !node.is_up {
            return;
        }
        node.received += (bytes.len() + LENGTH_BYTES + FRAME_BYTES) as u64;
        let started = Instant::now();
        let Ok(body) = ControlMessage::decode_bytes(bytes) else {
            return;
        };
        let mut sends = node
            .prober
            .handle(sender, &body, &self.deployment.topology, now);
        let mut actions = node.spread.handle(sender, &body, node.prober.view());
        if let ControlBody::Probe(probe) | ControlBody::ProbeAck(probe) = &body {
            actions.extend(
                node.spread
                    .on_peer_digest(sender, probe.settings_digest, now),
            );
        }
        node.busy += started.elapsed();
        sends.extend(self.spread_sends(to, actions));
        self.send_all(to, sends);
    }

    fn spread_sends(&mut self, node: usize, actions: Vec<SpreadAction>) -> Vec<ControlSend> {
        let mut sends = Vec::new();
        for action in actions {
            match action {
                SpreadAction::Send(send) => sends.push(send),
                SpreadAction::Changed { path, revision } => {
                    let is_same = |c: &&(String, u64, u64)| c.0 == path && c.1 == revision;
                    if let Some(change) = self.changes.iter().find(is_same)
                        && node != self.killed
                    {
                        self.change_seen.push((self.now - change.2) as f64 / 1e6);
                    }
                }
                SpreadAction::Rejected { path, error } => panic!("{path} was rejected: {error}"),
            }
        }
        sends
    }

    fn send_all(&mut self, from: usize, sends: Vec<ControlSend>) {
        for send in sends {
            let kind = match send.body {
                ControlBody::SettingsNotice(_)
                | ControlBody::SettingsWant(_)
                | ControlBody::SettingsPush(_)
                | ControlBody::SettingsRevisions(_) => 1,
                ControlBody::Observations(_) => 2,
                _ => 0,
            };
            let to = index_of(send.to.as_str());
            let node = &mut self.nodes[from];
            let started = Instant::now();
            let bytes = ControlMessage::from(send.body).encode_bytes();
            node.busy += started.elapsed();
            let length = (bytes.len() + LENGTH_BYTES + FRAME_BYTES) as u64;
            node.sent[kind] += length;
            node.messages += 1;
            if mix_bits(self.serial ^ 0x10_55).is_multiple_of(LOSS_ONE_IN) {
                self.serial += 1;
                continue;
            }
            let places = [&self.deployment.nodes[from].1, &self.deployment.nodes[to].1];
            let topology = &self.deployment.topology;
            if !topology.same_region(places[0], places[1]) {
                self.far_bytes += length;
            }
            let delay = topology.delay(places[0], places[1]);
            let at = self.now + delay.as_micros() as u64;
            self.push(at, Event::Deliver { to, from, bytes });
        }
    }

    /// An operator's change reaches the watchers of every data centre from the store.
    fn change(&mut self, number: usize) {
        let team = &self.deployment.teams[number % self.deployment.teams.len()];
        let change = "change-1".parse().expect("a valid id");
        let bytes = SettingsDocument::first(team.clone(), change, "operator").encode();
        let (path, revision) = (team_path(&team.team), 1_000 + number as u64);
        self.changes.push((path.clone(), revision, self.now));
        for i in 0..self.nodes.len() {
            let node = &mut self.nodes[i];
            if !node.is_up || !node.spread.is_watcher(node.prober.view()) {
                continue;
            }
            let started = Instant::now();
            let view = node.prober.view();
            let actions = node
                .spread
                .on_store_change(&path, revision, Some(&bytes), view);
            node.busy += started.elapsed();
            let sends = self.spread_sends(i, actions);
            self.send_all(i, sends);
        }
    }

    /// A new run of an instance, which has read the instance list.
    fn restart(&mut self, i: usize) {
        let now = MonoTime::from_micros(self.now);
        let (name, centre) = &self.deployment.nodes[i];
        let own = MemberRecord::new(name.clone(), centre.clone(), Incarnation(1_790_000_100_000));
        let node = &mut self.nodes[i];
        node.prober = MemberProber::new(own, ProbeTiming::default(), now);
        node.prober.set_hints(self.deployment.nodes.iter().cloned());
        node.is_up = true;
    }

    fn is_gone_everywhere(&self) -> bool {
        let (name, centre) = &self.deployment.nodes[self.killed];
        let others = self
            .nodes
            .iter()
            .enumerate()
            .filter(|(i, _)| *i != self.killed);
        others
            .map(|(_, node)| node.prober.table().find(centre, name))
            .all(|entry| entry.is_none_or(|entry| entry.record.state == MemberState::Gone))
    }

    fn result(&self, seconds: u64, memory_mb: f64, gone_seconds: f64) -> RunResult {
        let span = seconds as f64;
        let nodes = &self.nodes;
        let rate = |f: fn(&Node) -> u64| Spread::of(nodes.iter().map(move |n| f(n) as f64 / span));
        let watchers = nodes
            .iter()
            .filter(|n| n.spread.is_watcher(n.prober.view()))
            .count() as f64;
        let changes = CHANGES_A_DAY as f64 / 86_400.0;
        // The node that fails is left out; a change that any other never got counts as the whole run.
        let expected = self.changes.len() * (nodes.len() - 1);
        let seen = self.change_seen.iter().copied().fold(0.0, f64::max);
        let settings_seconds = if self.change_seen.len() >= expected {
            seen
        } else {
            span
        };
        let relays = nodes.iter().filter(|n| {
            let own = n.prober.table().own();
            let relays = centre_relays(n.prober.view(), &own.centre);
            relays.iter().any(|relay| relay.name == own.name)
        });
        RunResult {
            nodes: nodes.len(),
            groups: self.deployment.groups().count(),
            seconds,
            messages: rate(|n| n.messages).mean,
            sent: rate(|n| n.sent.iter().sum()),
            received: rate(|n| n.received),
            member_bytes: rate(|n| n.sent[0]).mean,
            settings_bytes: rate(|n| n.sent[1]).mean,
            status_bytes: rate(|n| n.sent[2] + n.sent[3]).mean,
            sent_busy: rate(|n| n.sent[..3].iter().sum()),
            relay_sent: relays.map(|n| n.sent[0] as f64 / span).fold(0.0, f64::max),
            cpu: Spread::of(nodes.iter().map(|n| n.busy.as_secs_f64() / span)),
            memory_mb,
            store_reads: watchers * (changes + 1.0 / WATCH_SECONDS),
            start_reads: nodes.len() as f64 / (START_MICROS as f64 / 1e6),
            store_writes: changes,
            settings_seconds,
            gone_seconds,
            far_bytes: self.far_bytes as f64 / span,
            most_observed: nodes.iter().map(|n| n.role.groups).max().unwrap_or(0),
            false_suspicions: nodes
                .iter()
                .flat_map(|n| n.prober.table().entries())
                .filter(|e| e.record.state == MemberState::Gone)
                .count() as u64,
        }
    }
}
