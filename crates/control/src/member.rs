//! The members that an instance knows, and how views merge.
//!
//! Records of a member are ordered by run, refutation and state, and the higher one wins. Merging is
//! therefore commutative, associative and idempotent, and views that exchange all records are equal.

use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;

use heatherhollow_types::DataCentre;
use heatherhollow_types::Incarnation;
use heatherhollow_types::InstanceName;
use heatherhollow_types::MonoTime;
use heatherhollow_types::mix_bits;
use heatherhollow_types::stable_hash;

use crate::message::CentreBeat;
use crate::message::MAX_UPDATES;
use crate::message::RecordForm;
use crate::rank::LiveMember;
use crate::rank::LiveView;
use crate::settings::TopologySettings;

/// Most members, so that a faulty peer cannot fill the memory; twice the plan's 2,000 instances.
pub const MAX_MEMBERS: usize = 4_096;

/// Time for which a gone member is remembered and probed now and then: it may be cut off and serve
/// on. The plan has regions apart for an hour.
pub const GONE_RETENTION: Duration = Duration::from_secs(24 * 3_600);

/// A data centre of the own region that shows no sign of life for this long has no live instance.
pub const CENTRE_LOSS_LIMIT: Duration = Duration::from_secs(10);

/// Sends of an update are this many times the binary logarithm of the number of members.
const SENDS_FACTOR: u32 = 3;

/// Most changes of one exchange that are passed on as updates.
pub const BULK_CHANGES: usize = 4 * MAX_UPDATES;

/// State of a member.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum MemberState {
    /// It takes part.
    Live,
    /// It did not answer; it may refute this.
    Suspected,
    /// It has announced that it stops; it gets no new roles.
    Leaving,
    /// It has stopped, or did not refute the suspicion in time.
    Gone,
}

impl MemberState {
    /// Number of the state in messages.
    pub const fn number(self) -> u32 {
        match self {
            Self::Live => 0,
            Self::Suspected => 1,
            Self::Leaving => 2,
            Self::Gone => 3,
        }
    }

    /// State of a number.
    pub const fn from_number(number: u32) -> Option<Self> {
        match number {
            0 => Some(Self::Live),
            1 => Some(Self::Suspected),
            2 => Some(Self::Leaving),
            3 => Some(Self::Gone),
            _ => None,
        }
    }
}

impl fmt::Display for MemberState {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Live => "live",
            Self::Suspected => "suspected",
            Self::Leaving => "leaving",
            Self::Gone => "gone",
        })
    }
}

/// What is known of a member.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct MemberRecord {
    /// Its name.
    pub name: InstanceName,
    /// Its data centre.
    pub centre: DataCentre,
    /// Its run. A refutation does not change it, as transaction ids name it.
    pub incarnation: Incarnation,
    /// Number of refutations within the run.
    pub refutation: u32,
    /// Its state.
    pub state: MemberState,
    /// Address of its peer listener.
    pub address: Option<SocketAddr>,
}

impl MemberRecord {
    /// A live member.
    pub fn new(name: InstanceName, centre: DataCentre, incarnation: Incarnation) -> Self {
        Self {
            name,
            centre,
            incarnation,
            refutation: 0,
            state: MemberState::Live,
            address: None,
        }
    }

    /// Rank of the record among those of the same member; the highest one holds.
    pub fn rank(&self) -> (Incarnation, u32, MemberState) {
        (self.incarnation, self.refutation, self.state)
    }

    fn key(&self) -> (&DataCentre, &InstanceName) {
        (&self.centre, &self.name)
    }

    /// Hash for digests. Gone members have none, as they are forgotten at different times, and a
    /// suspected member counts as live, as suspicion stays inside its data centre.
    fn digest(&self) -> u64 {
        let state = match self.state {
            MemberState::Live | MemberState::Suspected => 0,
            MemberState::Leaving => 1,
            MemberState::Gone => return 0,
        };
        let name = stable_hash(&[self.centre.as_str(), self.name.as_str()]);
        let run = mix_bits(
            self.incarnation
                .0
                .wrapping_add(u64::from(self.refutation) << 40),
        );
        mix_bits(name ^ run ^ state)
    }
}

/// A record with what this instance keeps about it.
#[derive(Debug, Clone)]
pub struct MemberEntry {
    /// The record.
    pub record: MemberRecord,
    /// When it last changed here.
    pub changed_at: MonoTime,
    sends_left: u32,
}

/// Sign of life of a data centre.
#[derive(Debug, Clone)]
struct CentreLife {
    centre: DataCentre,
    beat: u32,
    seen_at: MonoTime,
}

/// Effect of a merged record.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MergeEffect {
    /// Nothing new.
    Unchanged,
    /// The member is new or has changed.
    Changed,
    /// The record said that this instance is not live; a refutation is on its way.
    Refuted,
    /// A later run with this instance's name exists, so this one has to stop.
    Replaced,
}

/// The members that an instance knows.
#[derive(Debug, Clone)]
pub struct MemberTable {
    own: MemberRecord,
    entries: Vec<MemberEntry>,
    lives: Vec<CentreLife>,
    digest: u64,
    version: u64,
}

impl MemberTable {
    /// A table that knows only its own instance.
    pub fn new(own: MemberRecord, now: MonoTime) -> Self {
        let mut table = Self {
            own: own.clone(),
            entries: Vec::new(),
            lives: Vec::new(),
            digest: 0,
            version: 0,
        };
        table.store(own, now);
        table
    }

    /// The own record.
    pub fn own(&self) -> &MemberRecord {
        &self.own
    }

    /// All records, sorted by data centre and name.
    pub fn entries(&self) -> &[MemberEntry] {
        &self.entries
    }

    /// Number that rises with every change of the table.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Digest of all members that are not gone.
    pub fn digest(&self) -> u64 {
        self.digest
    }

    /// Digest of the members of each data centre.
    pub fn centre_digests(&self) -> Vec<(DataCentre, u64)> {
        let mut digests: Vec<(DataCentre, u64)> = Vec::new();
        for entry in &self.entries {
            let record = &entry.record;
            match digests.last_mut() {
                Some((centre, digest)) if *centre == record.centre => *digest ^= record.digest(),
                _ => digests.push((record.centre.clone(), record.digest())),
            }
        }
        digests
    }

    /// Records of a data centre.
    pub fn centre_entries(&self, centre: &DataCentre) -> &[MemberEntry] {
        let start = self.entries.partition_point(|e| &e.record.centre < centre);
        let count = self.entries[start..].partition_point(|e| &e.record.centre == centre);
        &self.entries[start..start + count]
    }

    /// The record of a member of a data centre.
    pub fn find(&self, centre: &DataCentre, name: &InstanceName) -> Option<&MemberEntry> {
        self.position(centre, name).ok().map(|at| &self.entries[at])
    }

    /// The record of a member by name alone; names are unique in the deployment.
    pub fn find_name(&self, name: &InstanceName) -> Option<&MemberEntry> {
        self.entries.iter().find(|e| &e.record.name == name)
    }

    /// The record of a member, looked up in the own data centre first.
    pub fn find_near(&self, name: &InstanceName) -> Option<&MemberEntry> {
        self.find(&self.own.centre, name)
            .or_else(|| self.find_name(name))
    }

    /// Starts the time of all suspicions anew.
    pub(crate) fn restart_suspicions(&mut self, now: MonoTime) {
        for entry in &mut self.entries {
            if entry.record.state == MemberState::Suspected {
                entry.changed_at = now;
            }
        }
    }

    fn position(&self, centre: &DataCentre, name: &InstanceName) -> Result<usize, usize> {
        self.entries
            .binary_search_by(|e| e.record.key().cmp(&(centre, name)))
    }

    /// Merges a record that another instance sent.
    pub fn merge(&mut self, record: MemberRecord, now: MonoTime) -> MergeEffect {
        if record.key() == self.own.key() {
            return self.merge_own(&record, now);
        }
        match self.position(&record.centre, &record.name) {
            Ok(at) if record.rank() <= self.entries[at].record.rank() => MergeEffect::Unchanged,
            Ok(_) => {
                self.store(record, now);
                MergeEffect::Changed
            }
            // A gone member that is not known here needs no record; others would never forget it.
            Err(_) if record.state == MemberState::Gone => MergeEffect::Unchanged,
            Err(_) if self.entries.len() >= MAX_MEMBERS && !self.forget_oldest() => {
                MergeEffect::Unchanged
            }
            Err(_) => {
                self.store(record, now);
                MergeEffect::Changed
            }
        }
    }

    /// Merges many records at once and returns how many were news.
    ///
    /// More than `BULK_CHANGES` are not queued as updates, which would take minutes to send eight at
    /// a time; the caller passes them on by offering its digests instead.
    pub fn merge_bulk(
        &mut self,
        records: impl IntoIterator<Item = MemberRecord>,
        now: MonoTime,
    ) -> (usize, MergeEffect) {
        let mut effect = MergeEffect::Unchanged;
        let mut changed = Vec::new();
        for record in records {
            let key = (record.centre.clone(), record.name.clone());
            match self.merge(record, now) {
                MergeEffect::Changed => changed.push(key),
                MergeEffect::Unchanged => {}
                other => effect = other,
            }
        }
        if changed.len() > BULK_CHANGES {
            for (centre, name) in &changed {
                if let Ok(at) = self.position(centre, name) {
                    self.entries[at].sends_left = 0;
                }
            }
        }
        (changed.len(), effect)
    }

    fn merge_own(&mut self, record: &MemberRecord, now: MonoTime) -> MergeEffect {
        if record.incarnation > self.own.incarnation {
            return MergeEffect::Replaced;
        }
        if record.rank() <= self.own.rank() {
            return MergeEffect::Unchanged;
        }
        let mut own = self.own.clone();
        own.refutation = record.refutation.saturating_add(1);
        self.store(own, now);
        MergeEffect::Refuted
    }

    /// Announces that this instance stops.
    pub fn leave(&mut self, now: MonoTime) {
        let state = MemberState::Leaving;
        self.store(
            MemberRecord {
                state,
                ..self.own.clone()
            },
            now,
        );
    }

    /// Changes the state of a member of which this instance has its own evidence.
    pub fn set_state(
        &mut self,
        centre: &DataCentre,
        name: &InstanceName,
        state: MemberState,
        now: MonoTime,
    ) -> bool {
        let Ok(at) = self.position(centre, name) else {
            return false;
        };
        let record = &self.entries[at].record;
        if record.key() == self.own.key() || record.state >= state {
            return false;
        }
        let record = MemberRecord {
            state,
            ..record.clone()
        };
        self.store(record, now);
        true
    }

    fn store(&mut self, record: MemberRecord, now: MonoTime) {
        if record.key() == self.own.key() {
            self.own = record.clone();
        }
        self.version += 1;
        self.digest ^= record.digest();
        let sends_left = SENDS_FACTOR * (usize::BITS - self.entries.len().leading_zeros()).max(1);
        let entry = MemberEntry {
            record,
            changed_at: now,
            sends_left,
        };
        match self.position(&entry.record.centre, &entry.record.name) {
            Ok(at) => {
                self.digest ^= self.entries[at].record.digest();
                self.entries[at] = entry;
            }
            Err(at) => self.entries.insert(at, entry),
        }
    }

    /// Makes room by forgetting the member that has been gone longest.
    fn forget_oldest(&mut self) -> bool {
        let gone = self.entries.iter().enumerate();
        let gone = gone.filter(|(_, e)| e.record.state == MemberState::Gone);
        let Some((at, _)) = gone.min_by_key(|(_, e)| e.changed_at) else {
            return false;
        };
        self.entries.remove(at);
        self.version += 1;
        true
    }

    /// Forgets members that have been gone for the whole retention time.
    pub fn forget_gone(&mut self, now: MonoTime) {
        let before = self.entries.len();
        self.entries.retain(|entry| {
            entry.record.state != MemberState::Gone || now.since(entry.changed_at) < GONE_RETENTION
        });
        self.version += u64::from(before != self.entries.len());
    }

    /// Updates to ride on a message to a member, those that were sent least often first.
    ///
    /// A record that says the receiver is not live always goes with it, so that it can refute.
    pub fn take_updates(&mut self, to: &InstanceName, is_near: bool) -> Vec<RecordForm> {
        let mut chosen: Vec<usize> = (0..self.entries.len())
            .filter(|&at| {
                let entry = &self.entries[at];
                let is_local = entry.record.state == MemberState::Suspected;
                entry.sends_left > 0 && (is_near || !is_local)
            })
            .collect();
        chosen.sort_by_key(|&at| std::cmp::Reverse(self.entries[at].sends_left));
        chosen.truncate(MAX_UPDATES);
        for &at in &chosen {
            self.entries[at].sends_left -= 1;
        }
        let is_doubted = |at: &usize| {
            let record = &self.entries[*at].record;
            &record.name == to && matches!(record.state, MemberState::Suspected | MemberState::Gone)
        };
        if let Some(at) = (0..self.entries.len()).find(is_doubted)
            && !chosen.contains(&at)
        {
            chosen.truncate(MAX_UPDATES - 1);
            chosen.push(at);
        }
        chosen
            .iter()
            .map(|&at| RecordForm::from(&self.entries[at].record))
            .collect()
    }

    /// Whether there are updates left to send.
    pub fn has_updates(&self) -> bool {
        self.entries.iter().any(|entry| entry.sends_left > 0)
    }

    /// Raises the sign of life of the own data centre; relays do this once a second.
    pub fn raise_beat(&mut self, now: MonoTime) {
        let centre = self.own.centre.clone();
        let life = self.life(&centre, now);
        life.beat = life.beat.wrapping_add(1);
        life.seen_at = now;
    }

    /// Merges signs of life of data centres of the own region.
    pub fn merge_beats(
        &mut self,
        beats: &[CentreBeat],
        topology: &TopologySettings,
        now: MonoTime,
    ) {
        for beat in beats {
            let Ok(centre) = beat.centre.parse::<DataCentre>() else {
                continue;
            };
            if !topology.same_region(&self.own.centre, &centre) {
                continue;
            }
            let life = self.life(&centre, now);
            // Serial number order, so that the counter may wrap.
            if beat.beat.wrapping_sub(life.beat) as i32 > 0 {
                life.beat = beat.beat;
                life.seen_at = now;
            }
        }
    }

    /// Signs of life for a message inside the region.
    pub fn beats(&self) -> Vec<CentreBeat> {
        let form = |life: &CentreLife| CentreBeat {
            centre: life.centre.to_string(),
            beat: life.beat,
        };
        self.lives.iter().map(form).collect()
    }

    fn life(&mut self, centre: &DataCentre, now: MonoTime) -> &mut CentreLife {
        let at = match self.lives.binary_search_by(|l| l.centre.cmp(centre)) {
            Ok(at) => at,
            Err(at) => {
                let life = CentreLife {
                    centre: centre.clone(),
                    beat: 0,
                    seen_at: now,
                };
                self.lives.insert(at, life);
                at
            }
        };
        &mut self.lives[at]
    }

    /// Data centres of the own region that have been silent for too long.
    pub fn lost_centres(&self, now: MonoTime) -> Vec<DataCentre> {
        let is_lost = |life: &&CentreLife| {
            life.centre != self.own.centre && now.since(life.seen_at) > CENTRE_LOSS_LIMIT
        };
        let lost = self.lives.iter().filter(is_lost);
        lost.map(|life| life.centre.clone()).collect()
    }

    /// Members that may take on roles: live or only suspected, in data centres that are not lost.
    pub fn live_view(&self, now: MonoTime) -> LiveView {
        let lost = self.lost_centres(now);
        let is_eligible = |record: &MemberRecord| {
            matches!(record.state, MemberState::Live | MemberState::Suspected)
                && !lost.contains(&record.centre)
        };
        let eligible = self.entries.iter().map(|e| &e.record);
        LiveView::new(eligible.filter(|r| is_eligible(r)).map(|r| {
            let member = LiveMember::new(r.name.clone(), r.incarnation);
            (r.centre.clone(), member)
        }))
    }
}
