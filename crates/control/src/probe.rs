//! Failure detection and spreading of member changes.
//!
//! Inside a data centre every instance probes one other a second, in the manner of SWIM: a member
//! that answers neither directly nor through three others is suspected, and gone if it does not refute
//! in time. Between data centres only relays probe each other; they judge nobody and only carry
//! changes. Differing digests that last lead to an exchange of full records, which also heals
//! partitions.

use std::time::Duration;

use heatherhollow_types::DataCentre;
use heatherhollow_types::InstanceName;
use heatherhollow_types::MonoTime;
use heatherhollow_types::mix_bits;

use crate::member::MemberRecord;
use crate::member::MemberState;
use crate::member::MemberTable;
use crate::member::MergeEffect;
use crate::message::ControlBody;
use crate::message::ControlSend;
use crate::message::MAX_RECORDS;
use crate::message::ProbeMessage;
use crate::message::ProbeRequest;
use crate::rank::LiveView;
use crate::rank::centre_relays;
use crate::relay::RelayExchange;
use crate::settings::TopologySettings;

/// Indirect probes after a probe without an answer.
pub const INDIRECT_PROBES: usize = 3;

/// Every so many periods a gone member of the own data centre is probed, in case it was cut off.
const GONE_PROBE_PERIODS: u64 = 10;

/// Without a change of members for this long, unknown names of the instance list are tried less often.
const HINT_SETTLED: Duration = Duration::from_secs(30);

/// Differing digests that lead to an exchange of records while the own one stays the same.
const DIFFERING_DIGESTS: u32 = 3;

/// Longest time between two exchanges while they change nothing.
const EXCHANGE_WAIT_LIMIT: Duration = Duration::from_secs(60);

/// Times of failure detection.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ProbeTiming {
    /// Time between two probes.
    pub period: Duration,
    /// Wait for a direct answer before others are asked.
    pub direct_wait: Duration,
    /// Time in which a suspected member may refute.
    pub suspicion: Duration,
    /// Differing digests are acted on when the own one has not changed for this time; until then
    /// updates are still spreading.
    pub digest_wait: Duration,
    /// A gap between two own ticks that is longer than this restarts all waits.
    pub own_pause: Duration,
}

impl Default for ProbeTiming {
    fn default() -> Self {
        Self {
            period: Duration::from_secs(1),
            direct_wait: Duration::from_millis(300),
            suspicion: Duration::from_secs(4),
            digest_wait: Duration::from_secs(5),
            own_pause: Duration::from_secs(1),
        }
    }
}

/// The probe of the present period.
#[derive(Debug, Clone)]
struct OpenProbe {
    member: InstanceName,
    sequence: u32,
    sent_at: MonoTime,
    asked_others: bool,
}

/// A probe made for another member.
#[derive(Debug, Clone)]
struct RelayedProbe {
    asked_by: InstanceName,
    asked_sequence: u32,
    member: InstanceName,
    sequence: u32,
    sent_at: MonoTime,
}

/// Comparison of the own digest with those of others.
///
/// Updates on probes settle most differences, and then the own digest changes. Differences that come
/// up several times while it stays the same need an exchange of records. A match with one member says
/// nothing about the others, so it does not end the count: two groups of members with different views
/// would otherwise keep each other from it.
#[derive(Debug, Clone)]
struct DigestComparison {
    own: u64,
    since: MonoTime,
    differing: u32,
    next_exchange: MonoTime,
    exchange_wait: Duration,
}

impl DigestComparison {
    fn new(now: MonoTime) -> Self {
        Self {
            own: 0,
            since: now,
            differing: 0,
            next_exchange: now,
            exchange_wait: Duration::ZERO,
        }
    }

    /// Whether an exchange of records is due.
    fn compare(&mut self, own: u64, other: u64, timing: &ProbeTiming, now: MonoTime) -> bool {
        if own != self.own {
            *self = Self {
                own,
                exchange_wait: timing.digest_wait,
                ..Self::new(now)
            };
        }
        if own == other {
            return false;
        }
        self.differing += 1;
        let is_quiet = now.since(self.since) >= timing.digest_wait;
        if !is_quiet || self.differing < DIFFERING_DIGESTS || now < self.next_exchange {
            return false;
        }
        self.differing = 0;
        self.next_exchange = now + self.exchange_wait;
        self.exchange_wait = (self.exchange_wait * 2).min(EXCHANGE_WAIT_LIMIT);
        true
    }
}

/// Failure detection of one instance, with its table of members.
#[derive(Debug, Clone)]
pub struct MemberProber {
    pub(crate) table: MemberTable,
    timing: ProbeTiming,
    order: Vec<InstanceName>,
    open: Option<OpenProbe>,
    relayed: Vec<RelayedProbe>,
    pub(crate) exchanges: Vec<RelayExchange>,
    comparison: DigestComparison,
    sequence: u32,
    pub(crate) periods: u64,
    next_period: MonoTime,
    last_tick: MonoTime,
    pub(crate) view: LiveView,
    view_stamp: (u64, Vec<DataCentre>),
    settings_digest: u64,
    pub(crate) is_replaced: bool,
    hints: Vec<(InstanceName, DataCentre)>,
    unknown_hints: Vec<(InstanceName, DataCentre)>,
    /// Version of the table for which `unknown_hints` holds, and when it was reached.
    hint_stamp: (u64, MonoTime),
}

impl MemberProber {
    /// Failure detection for the instance of `own`.
    pub fn new(own: MemberRecord, timing: ProbeTiming, now: MonoTime) -> Self {
        let table = MemberTable::new(own, now);
        Self {
            view: table.live_view(now),
            view_stamp: (table.version(), Vec::new()),
            table,
            timing,
            order: Vec::new(),
            open: None,
            relayed: Vec::new(),
            exchanges: Vec::new(),
            comparison: DigestComparison::new(now),
            sequence: 0,
            periods: 0,
            next_period: now,
            last_tick: now,
            settings_digest: 0,
            is_replaced: false,
            hints: Vec::new(),
            unknown_hints: Vec::new(),
            hint_stamp: (u64::MAX, now),
        }
    }

    /// The members.
    pub fn table(&self) -> &MemberTable {
        &self.table
    }

    /// Members that may take on roles, as of the last tick.
    pub fn view(&self) -> &LiveView {
        &self.view
    }

    /// Whether a later run with this instance's name exists, so that this one has to stop.
    pub fn is_replaced(&self) -> bool {
        self.is_replaced
    }

    /// Takes the digest of the settings, which rides on probes.
    pub fn set_settings_digest(&mut self, digest: u64) {
        self.settings_digest = digest;
    }

    /// Merges records from elsewhere, for example the instance list.
    pub fn learn(&mut self, records: impl IntoIterator<Item = MemberRecord>, now: MonoTime) {
        self.table.merge_bulk(records, now);
    }

    /// Announces that this instance stops.
    pub fn leave(&mut self, now: MonoTime) {
        self.table.leave(now);
    }

    /// Takes the names and data centres of the instance list.
    ///
    /// Those that are not known as members are asked for their records, one a period, first those of
    /// the own data centre; only relays ask in other ones. Without this, instances that start together
    /// and know one other each may end in groups that never meet.
    pub fn set_hints(&mut self, hints: impl IntoIterator<Item = (InstanceName, DataCentre)>) {
        self.hints = hints.into_iter().collect();
        self.hint_stamp.0 = u64::MAX;
    }

    /// Asks a member for all records; used at the start, with members of the instance list.
    pub fn join(&self, seed: &InstanceName) -> ControlSend {
        ControlSend::new(seed, self.digests_body())
    }

    /// Advances to `now`; `random` is any number, different each time.
    pub fn tick(
        &mut self,
        topology: &TopologySettings,
        now: MonoTime,
        random: u64,
    ) -> Vec<ControlSend> {
        let mut sends = Vec::new();
        if now.since(self.last_tick) > self.timing.own_pause {
            self.restart_waits(now);
        }
        self.last_tick = now;
        self.refresh_view(now);
        self.ask_others(now, random, &mut sends);
        if now >= self.next_period {
            // A late tick does not lead to several periods in a row.
            self.next_period = now + self.timing.period;
            self.periods += 1;
            self.end_period(now);
            self.refresh_view(now);
            self.start_probe(now, random, &mut sends);
            self.start_exchanges(topology, now, random, &mut sends);
            sends.extend(self.try_hint(now, random));
        }
        sends
    }

    /// Silence counts only while this instance itself runs.
    fn restart_waits(&mut self, now: MonoTime) {
        self.open = None;
        self.relayed.clear();
        self.table.restart_suspicions(now);
    }

    fn refresh_view(&mut self, now: MonoTime) {
        let stamp = (self.table.version(), self.table.lost_centres(now));
        if stamp != self.view_stamp {
            self.view = self.table.live_view(now);
            self.view_stamp = stamp;
        }
    }

    /// Joins a member of the instance list that is not known; rarely once the members have settled,
    /// as the list lags and names instances that have stopped.
    fn try_hint(&mut self, now: MonoTime, random: u64) -> Option<ControlSend> {
        if self.hint_stamp.0 != self.table.version() {
            let entries = self.table.entries().iter().map(|e| &e.record);
            let known = entries.filter(|r| r.state != MemberState::Gone);
            let mut names: Vec<_> = known.map(|r| &r.name).collect();
            names.sort();
            let is_unknown =
                |hint: &&(InstanceName, DataCentre)| names.binary_search(&&hint.0).is_err();
            self.unknown_hints = self.hints.iter().filter(is_unknown).cloned().collect();
            self.hint_stamp = (self.table.version(), now);
        }
        let is_settled = now.since(self.hint_stamp.1) >= HINT_SETTLED;
        if is_settled && !self.periods.is_multiple_of(GONE_PROBE_PERIODS) {
            return None;
        }
        let own = self.table.own();
        let is_near = |hint: &&(InstanceName, DataCentre)| hint.1 == own.centre;
        let mut candidates: Vec<_> = self.unknown_hints.iter().filter(is_near).collect();
        let relays = centre_relays(&self.view, &own.centre);
        if candidates.is_empty() && relays.iter().any(|relay| relay.name == own.name) {
            candidates = self.unknown_hints.iter().collect();
        }
        let count = u64::try_from(candidates.len())
            .ok()
            .filter(|count| *count > 0)?;
        let at = usize::try_from(mix_bits(random ^ 0x1157) % count).ok()?;
        Some(self.join(&candidates[at].0))
    }

    pub(crate) fn next_sequence(&mut self) -> u32 {
        self.sequence = self.sequence.wrapping_add(1);
        self.sequence
    }

    pub(crate) fn own_centre(&self) -> DataCentre {
        self.table.own().centre.clone()
    }

    fn probe_message(&mut self, to: &InstanceName, sequence: u32, is_near: bool) -> ProbeMessage {
        ProbeMessage {
            sequence,
            members_digest: self.table.digest(),
            settings_digest: self.settings_digest,
            beats: self.table.beats(),
            updates: self.table.take_updates(to, is_near),
        }
    }

    pub(crate) fn send_probe(
        &mut self,
        to: &InstanceName,
        sequence: u32,
        is_near: bool,
    ) -> ControlSend {
        let message = self.probe_message(to, sequence, is_near);
        ControlSend::new(to, ControlBody::Probe(message))
    }

    /// Judges the probe of the period that ends, and suspicions whose time is over.
    fn end_period(&mut self, now: MonoTime) {
        let centre = self.own_centre();
        if let Some(open) = self.open.take() {
            let found = self.table.find(&centre, &open.member);
            let is_leaving = found.is_some_and(|e| e.record.state == MemberState::Leaving);
            let state = match is_leaving {
                // A leaving member has no roles left that a false suspicion could disturb.
                true => MemberState::Gone,
                false => MemberState::Suspected,
            };
            self.table.set_state(&centre, &open.member, state, now);
        }
        let suspicion = self.timing.suspicion;
        let is_over = |at: MonoTime| now.since(at) >= suspicion;
        let entries = self.table.centre_entries(&centre).iter();
        let suspected = entries.filter(|e| e.record.state == MemberState::Suspected);
        let over: Vec<_> = suspected
            .filter(|e| is_over(e.changed_at))
            .map(|e| e.record.name.clone())
            .collect();
        for name in over {
            self.table.set_state(&centre, &name, MemberState::Gone, now);
        }
        self.table.forget_gone(now);
        let wait = self.timing.period;
        self.relayed.retain(|probe| now.since(probe.sent_at) < wait);
    }

    fn start_probe(&mut self, now: MonoTime, random: u64, sends: &mut Vec<ControlSend>) {
        let centre = self.own_centre();
        if self.periods.is_multiple_of(GONE_PROBE_PERIODS)
            && let Some(gone) = self.pick(&centre, random, |state| state == MemberState::Gone)
        {
            let sequence = self.next_sequence();
            sends.push(self.send_probe(&gone, sequence, true));
        }
        let Some(member) = self.next_in_order(&centre, random) else {
            return;
        };
        let sequence = self.next_sequence();
        sends.push(self.send_probe(&member, sequence, true));
        self.open = Some(OpenProbe {
            member,
            sequence,
            sent_at: now,
            asked_others: false,
        });
    }

    /// The next member of a shuffled round, so that each is probed once a round.
    fn next_in_order(&mut self, centre: &DataCentre, random: u64) -> Option<InstanceName> {
        for _ in 0..2 {
            while let Some(name) = self.order.pop() {
                let found = self.table.find(centre, &name);
                if found.is_some_and(|e| e.record.state != MemberState::Gone) {
                    return Some(name);
                }
            }
            let own = &self.table.own().name;
            let entries = self.table.centre_entries(centre).iter();
            let others = entries.filter(|e| e.record.state != MemberState::Gone);
            let names = others.map(|e| &e.record.name).filter(|name| *name != own);
            self.order = names.cloned().collect();
            shuffle(&mut self.order, random);
        }
        None
    }

    pub(crate) fn pick(
        &self,
        centre: &DataCentre,
        random: u64,
        is_wanted: impl Fn(MemberState) -> bool,
    ) -> Option<InstanceName> {
        let own = &self.table.own().name;
        let entries = self.table.centre_entries(centre).iter().map(|e| &e.record);
        let names: Vec<_> = entries
            .filter(|r| is_wanted(r.state) && &r.name != own)
            .map(|r| &r.name)
            .collect();
        let count = u64::try_from(names.len()).ok().filter(|count| *count > 0)?;
        let at = usize::try_from(mix_bits(random) % count).ok()?;
        names.get(at).map(|name| (*name).clone())
    }

    fn ask_others(&mut self, now: MonoTime, random: u64, sends: &mut Vec<ControlSend>) {
        let direct_wait = self.timing.direct_wait;
        let Some(open) = &mut self.open else { return };
        if open.asked_others || now.since(open.sent_at) < direct_wait {
            return;
        }
        open.asked_others = true;
        let request = ProbeRequest {
            sequence: open.sequence,
            member: open.member.to_string(),
        };
        let own = &self.table.own().name;
        let members = self.view.members(&self.table.own().centre).iter();
        let others = members.map(|m| &m.name);
        let mut helpers: Vec<_> = others.filter(|n| *n != own && **n != open.member).collect();
        shuffle(&mut helpers, random);
        for helper in helpers.into_iter().take(INDIRECT_PROBES) {
            sends.push(ControlSend::new(
                helper,
                ControlBody::ProbeRequest(request.clone()),
            ));
        }
    }

    /// Takes a message about members; others are ignored.
    pub fn handle(
        &mut self,
        from: &InstanceName,
        body: &ControlBody,
        topology: &TopologySettings,
        now: MonoTime,
    ) -> Vec<ControlSend> {
        match body {
            ControlBody::Probe(probe) => self.on_probe(from, probe, topology, now),
            ControlBody::ProbeAck(probe) => self.on_ack(from, probe, topology, now),
            ControlBody::ProbeRequest(request) => self.on_request(from, request, now),
            ControlBody::ProbeReport(report) => {
                self.confirm(&report.member, report.sequence);
                Vec::new()
            }
            ControlBody::MemberDigests(list) => self.on_digests(from, list),
            ControlBody::MemberRecords(list) => self.on_records(from, list, now),
            _ => Vec::new(),
        }
    }

    fn on_probe(
        &mut self,
        from: &InstanceName,
        probe: &ProbeMessage,
        topology: &TopologySettings,
        now: MonoTime,
    ) -> Vec<ControlSend> {
        let mut sends = self.take_probe(from, probe, topology, now);
        let is_near = self.is_near(from);
        let answer = self.probe_message(from, probe.sequence, is_near);
        sends.insert(0, ControlSend::new(from, ControlBody::ProbeAck(answer)));
        sends
    }

    fn on_ack(
        &mut self,
        from: &InstanceName,
        probe: &ProbeMessage,
        topology: &TopologySettings,
        now: MonoTime,
    ) -> Vec<ControlSend> {
        let mut sends = self.take_probe(from, probe, topology, now);
        self.confirm(from.as_str(), probe.sequence);
        for exchange in &mut self.exchanges {
            if exchange.sequence == probe.sequence {
                exchange.missed = 0;
            }
        }
        self.relayed.retain(|relayed| {
            let is_answered = relayed.sequence == probe.sequence && &relayed.member == from;
            if is_answered {
                let report = ProbeRequest {
                    sequence: relayed.asked_sequence,
                    member: from.to_string(),
                };
                let body = ControlBody::ProbeReport(report);
                sends.push(ControlSend::new(&relayed.asked_by, body));
            }
            !is_answered
        });
        sends
    }

    fn on_request(
        &mut self,
        from: &InstanceName,
        request: &ProbeRequest,
        now: MonoTime,
    ) -> Vec<ControlSend> {
        let Ok(member) = request.member.parse::<InstanceName>() else {
            return Vec::new();
        };
        let is_known = self.table.find(&self.table.own().centre, &member).is_some();
        if !is_known || self.relayed.len() >= MAX_RECORDS {
            return Vec::new();
        }
        let sequence = self.next_sequence();
        self.relayed.push(RelayedProbe {
            asked_by: from.clone(),
            asked_sequence: request.sequence,
            member: member.clone(),
            sequence,
            sent_at: now,
        });
        vec![self.send_probe(&member, sequence, true)]
    }

    fn confirm(&mut self, member: &str, sequence: u32) {
        let is_answer =
            |open: &OpenProbe| open.member.as_str() == member && open.sequence == sequence;
        if self.open.as_ref().is_some_and(is_answer) {
            self.open = None;
        }
    }

    fn is_near(&self, member: &InstanceName) -> bool {
        self.table.find(&self.table.own().centre, member).is_some()
    }

    pub(crate) fn merge(&mut self, record: MemberRecord, now: MonoTime) {
        if self.table.merge(record, now) == MergeEffect::Replaced {
            self.is_replaced = true;
        }
    }

    /// Merges what rides on a probe and compares digests.
    fn take_probe(
        &mut self,
        from: &InstanceName,
        probe: &ProbeMessage,
        topology: &TopologySettings,
        now: MonoTime,
    ) -> Vec<ControlSend> {
        for form in &probe.updates {
            if let Ok(record) = MemberRecord::try_from(form.clone()) {
                self.merge(record, now);
            }
        }
        self.table.merge_beats(&probe.beats, topology, now);
        if self.table.find_near(from).is_none() {
            // The sender is not known here, so the views differ in any case.
            return vec![ControlSend::new(from, self.digests_body())];
        }
        let own = self.table.digest();
        let is_due = self
            .comparison
            .compare(own, probe.members_digest, &self.timing, now);
        match is_due {
            true => vec![ControlSend::new(from, self.digests_body())],
            false => Vec::new(),
        }
    }
}

/// Fisher-Yates shuffle with numbers derived from `random`.
pub(crate) fn shuffle<T>(items: &mut [T], random: u64) {
    let mut state = random;
    for end in (1..items.len()).rev() {
        state = mix_bits(state.wrapping_add(0x9e37_79b9_7f4a_7c15));
        let bound = u64::try_from(end + 1).unwrap_or(1);
        let at = usize::try_from(state % bound).unwrap_or(0);
        items.swap(at, end);
    }
}
