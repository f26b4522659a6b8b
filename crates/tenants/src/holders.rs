//! Holders of tenants: the instances that keep the token buckets.
//!
//! The holder of a tenant is chosen by weighted rendezvous hashing over the listed instances, so
//! that all instances agree without communication. While the first in rank is gone, leaving or
//! silent, the next one takes its place.
//!
//! Two holders at the same time together grant twice the rate. Changes are therefore made at about
//! the same time by all instances: an instance that is new or answers again becomes a holder after
//! a delay, also in its own view. An instance to which most others do not answer uses no holder at
//! first; after 4 s it uses the best one that it reaches, and all parts of the partition grant only
//! their share of the rates.
//!
//! To notice silence and to know whether it is cut off, an instance has to ask others. Where
//! requests for tokens do not do that, [`HolderTable::due_retries`] names instances to ask.

use std::time::Duration;

use heatherhollow_types::MonoTime;
use heatherhollow_types::stable_hash;

use crate::name::TenantName;
use crate::peer::JOIN_DELAY;
use crate::peer::PeerContact;
use crate::peer::QuotaPeer;
use crate::peer::SILENCE_LIMIT;
use crate::ranking::RankingCache;
use crate::ranking::rank;
use crate::reach::PART_DELAY;
use crate::reach::PartReport;
use crate::reach::PeerReach;
use crate::reach::RateShare;

/// Where the tokens of a tenant are requested.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum HolderChoice {
    /// This instance keeps the bucket.
    Own,
    /// The named instance keeps the bucket.
    Peer(String),
    /// No holder can be reached; only the emergency share may be used.
    Unavailable,
}

/// Interval of the checks for silent instances and for being cut off. A check visits all instances,
/// so it is not made for each operation.
const REFRESH_INTERVAL: Duration = Duration::from_millis(50);

/// Time for which instances stay known if more than half of them are removed from the list at once.
/// Entries lapse while the store is unavailable, and instances that each assumed to be the only one
/// would together grant a multiple of the rate.
const UNLISTED_RETENTION: Duration = Duration::from_secs(15);

/// Number of changed instances beyond which all kept rankings are forgotten instead of adjusted.
const MAX_ADJUSTED_PEERS: usize = 64;

/// Number of instances that have to be asked to conclude whether this instance is cut off.
const MIN_WITNESSES: usize = 7;

/// Number of instances from which those are taken in turn. A link stays open to each of them, so it
/// is bounded; that none of 64 is in a part of an eighth has a probability of 0.02%.
const MAX_WITNESSES: usize = 64;

/// Time between questions to those instances.
const WITNESS_INTERVAL: Duration = Duration::from_secs(1);

/// Time after the first list in which a question without an answer for 1 s shows silence, whatever
/// was answered before. Others may still take the process for ended and use another holder, so two
/// holders are possible until this instance concludes that it is cut off.
const START_TIME: Duration = Duration::from_secs(5);

/// Number of instances that are asked again at once.
const MAX_DUE_RETRIES: usize = 16;

/// Interval at which rankings of unused tenants are forgotten.
const EXPIRY_INTERVAL: Duration = Duration::from_secs(10);

/// Listed instances, and which of them are excluded as holders for now.
#[derive(Debug)]
pub struct HolderTable {
    own: String,
    /// Sorted by instance. Empty until the first list.
    peers: Vec<QuotaPeer>,
    rankings: RankingCache,
    /// Version of the choices; changes with the eligible instances.
    version: u64,
    /// Time of the first list.
    started: Option<MonoTime>,
    /// Whether this instance was cut off at the last check.
    is_cut_off: bool,
    /// Whether this instance was cut off for long enough to go on with the part that it reaches.
    is_apart: bool,
    /// Whether that part is large enough for a share of the rates.
    has_share: bool,
    share: RateShare,
    report: Option<PartReport>,
    /// Number of silent instances when it was last determined whom to ask.
    last_silent: usize,
    /// Number of instances that owed an answer then.
    last_suspects: usize,
    /// Whether another instance missed some of the others, so that all are to be asked.
    is_survey_due: bool,
    /// Time of the last check; `None` if one is due.
    checked: Option<MonoTime>,
    /// Last time at which this instance was chosen as a holder.
    own_used: Option<MonoTime>,
    last_retries: Option<MonoTime>,
    last_expiry: MonoTime,
}

impl HolderTable {
    /// Creates a table that knows only this instance.
    pub fn new(own: String) -> Self {
        Self {
            own,
            peers: Vec::new(),
            rankings: RankingCache::default(),
            version: 0,
            started: None,
            is_cut_off: false,
            is_apart: false,
            has_share: false,
            share: RateShare::new(1.0),
            report: None,
            last_silent: 0,
            last_suspects: 0,
            is_survey_due: false,
            checked: None,
            own_used: None,
            last_retries: None,
            last_expiry: MonoTime::ZERO,
        }
    }

    /// Replaces the listed instances, each with its capacity.
    ///
    /// Those of the first list may be holders at once, except for this instance if there are
    /// others: it may have restarted, and the others use the next in rank until it has joined.
    pub fn replace_instances(&mut self, mut listed: Vec<(String, u32)>, now: MonoTime) {
        listed.sort();
        listed.dedup_by(|later, earlier| later.0 == earlier.0);
        let is_first = self.peers.is_empty();
        self.started.get_or_insert(now);
        let is_alone = listed.iter().all(|(instance, _)| *instance == self.own);
        let count = self.peers.len();
        let is_listed = |instance: &str| find_listed(&listed, instance).is_ok();
        let removed = self.peers.iter().filter(|peer| !is_listed(&peer.instance));
        let removed = removed.filter(|peer| peer.unlisted_since.is_none()).count();
        let is_mass_removal = 2 * removed > count;
        let mut changed = 0;
        let rankings = &mut self.rankings;
        self.peers.retain_mut(|peer| {
            if is_listed(&peer.instance) {
                peer.unlisted_since = None;
                return true;
            }
            let is_known = is_mass_removal || peer.unlisted_since.is_some();
            peer.unlisted_since.get_or_insert(now);
            let is_retained = is_known && !peer.is_excluded();
            if !is_retained {
                changed += 1;
                if changed <= MAX_ADJUSTED_PEERS {
                    rankings.remove(&peer.instance);
                }
            }
            is_retained
        });
        for (instance, capacity) in listed {
            let joins_at = match is_alone || (is_first && instance != self.own) {
                true => now,
                false => now + JOIN_DELAY,
            };
            match self.find(&instance) {
                Ok(i) if self.peers[i].capacity == capacity => continue,
                Ok(i) => {
                    self.peers[i].capacity = capacity;
                    self.rankings.remove(&instance);
                    let peer = &self.peers[i];
                    self.rankings.add(&peer.instance, capacity);
                    changed += 1;
                }
                Err(i) => {
                    let peer = QuotaPeer::new(instance, capacity, joins_at);
                    changed += 1;
                    if changed <= MAX_ADJUSTED_PEERS {
                        self.rankings.add(&peer.instance, capacity);
                    }
                    self.peers.insert(i, peer);
                }
            }
        }
        if changed > MAX_ADJUSTED_PEERS {
            self.rankings.clear();
        }
        self.version += u64::from(changed > 0);
        self.checked = None;
    }

    /// Returns the holder of a tenant.
    pub fn holder(&mut self, tenant: &TenantName, now: MonoTime) -> HolderChoice {
        self.refresh(now);
        if self.is_cut_off && !self.has_share {
            return HolderChoice::Unavailable;
        }
        let version = self.version;
        let peers = &self.peers;
        let instances = || peers.iter().map(|peer| (&peer.instance, peer.capacity));
        let ranking = self.rankings.ranking(tenant, now, instances);
        let choice = match &ranking.choice {
            Some((known, choice)) if *known == version => choice.clone(),
            _ => {
                let mut first = ranking.first.iter().map(|(_, instance)| &**instance);
                let is_eligible =
                    |instance: &&str| find(peers, instance).is_ok_and(|i| peers[i].is_eligible);
                let chosen = first.find(is_eligible);
                let chosen = chosen.or_else(|| best_peer(peers, tenant, now));
                let choice = match chosen {
                    Some(instance) if instance != self.own => {
                        HolderChoice::Peer(instance.to_string())
                    }
                    _ => HolderChoice::Own,
                };
                ranking.choice = Some((version, choice.clone()));
                choice
            }
        };
        if choice == HolderChoice::Own {
            self.own_used = Some(now);
        }
        choice
    }

    /// Records that a request was sent to an instance.
    pub fn record_request(&mut self, instance: &str, now: MonoTime) {
        if let Ok(i) = self.find(instance) {
            self.peers[i].record_request(now);
        }
    }

    /// Records that an instance answered a request for tokens. If it was excluded or silent, it
    /// joins after a delay.
    pub fn record_answer(&mut self, instance: &str, now: MonoTime) {
        self.record(instance, None, now);
    }

    /// Records that an instance answered a question of [`Self::due_retries`] with the time until it
    /// joins in its own view, [`Self::join_delay`]. All instances thus change to it together,
    /// whenever they noticed that it had been away.
    pub fn record_join_delay(&mut self, instance: &str, delay: Duration, now: MonoTime) {
        self.record(instance, Some(delay), now);
    }

    fn record(&mut self, instance: &str, joins_in: Option<Duration>, now: MonoTime) {
        let Ok(i) = self.find(instance) else {
            return;
        };
        // If this instance was cut off, its peers were not away, and others kept using them.
        let is_available = self.is_cut_off && !self.peers[i].is_excluded();
        let joins_in = joins_in.or(is_available.then_some(Duration::ZERO));
        if self.peers[i].record_answer(joins_in, now) || (self.is_cut_off && !self.is_apart) {
            self.checked = None;
        }
    }

    /// Returns the time until this instance may be a holder in its own view; the answer to another
    /// instance that asks whether this one answers.
    pub fn join_delay(&self, now: MonoTime) -> Duration {
        match self.find(&self.own) {
            // The delay after an outage is set by the next check.
            Ok(_) if self.is_cut_off || self.is_leaving() => JOIN_DELAY,
            Ok(i) => self.peers[i].joins_at.since(now),
            Err(_) => Duration::ZERO,
        }
    }

    /// Records that another instance requested tokens from this one.
    ///
    /// This instance is a holder in the view of others, so it need not wait until it joins in its
    /// own. Otherwise, after a start of all instances, it would ask another holder than they do.
    pub fn record_requested(&mut self, now: MonoTime) {
        self.refresh(now);
        if let Ok(i) = self.find(&self.own)
            && now < self.peers[i].joins_at
        {
            self.peers[i].joins_at = now;
            self.checked = None;
        }
    }

    /// Returns whether this instance may grant tokens: it is not cut off, or grants the share of the
    /// part of a partition that it reaches.
    pub fn may_grant(&mut self, now: MonoTime) -> bool {
        if self.is_cut_off(now) != self.is_cut_off {
            self.checked = None;
        }
        self.refresh(now);
        !self.is_cut_off || self.has_share
    }

    /// Returns the share of the rates that this instance grants as a holder, from 0 to 1. Its
    /// buckets refill at rate x share, and hold burst x share.
    pub fn rate_share(&mut self, now: MonoTime) -> f64 {
        self.refresh(now);
        self.share.present
    }

    /// Returns the number for the questions of [`Self::due_retries`]: 0, or, while so many others
    /// are silent that all are asked, 1 + the milliseconds for which at least half have been silent.
    pub fn question_number(&self, now: MonoTime) -> u64 {
        let reach = self.reach(now);
        let silence = reach.silence.unwrap_or_default();
        match reach.is_divided() {
            true => 1 + u64::try_from(silence.as_millis()).unwrap_or(u64::MAX - 1),
            false => 0,
        }
    }

    /// Records a question of another instance with its number.
    ///
    /// An instance that asked nobody may become the holder of a part. It asks the others from then
    /// on, and the time for which another of its part has been cut off counts for it as well.
    pub fn record_question(&mut self, number: u64, now: MonoTime) {
        if number == 0 {
            return;
        }
        self.is_survey_due = true;
        if number > 1 {
            // A longer time makes no difference, and might exceed the range of the clock.
            let silence = Duration::from_millis(number - 1).min(PART_DELAY);
            self.report = Some(PartReport::merge(self.report, silence, now));
        }
    }

    /// Records that an instance refuses connections, so its process is gone.
    pub fn record_refused(&mut self, instance: &str, now: MonoTime) {
        if let Ok(i) = self.find(instance) {
            self.peers[i].record_refused(now);
            self.checked = None;
        }
    }

    /// Records that an instance is leaving. To be called for this instance too, as the others use
    /// the next in rank from then on.
    pub fn record_leaving(&mut self, instance: &str, now: MonoTime) {
        if let Ok(i) = self.find(instance) {
            self.peers[i].record_leaving(now);
            self.checked = None;
        }
    }

    /// Returns whether this instance is leaving. It then answers a request for tokens by saying so
    /// and grants nothing: an instance that missed the notice would use a second holder.
    pub fn is_leaving(&self) -> bool {
        let own = self.find(&self.own);
        own.is_ok_and(|i| self.peers[i].is_excluded())
    }

    /// Returns the instances to ask now whether they answer, and records that they are asked. To be
    /// called at least once a second.
    ///
    /// These are the ones that are excluded or left a request unanswered, each 500 ms, and those
    /// that have yet to join, each 100 ms with up to 100 instances. While there are such instances,
    /// or this instance is a holder, they also include a few others in turn: without them, an
    /// instance that asks one holder or none could not tell whether it is cut off. All others are
    /// asked once when one more is silent or owes an answer, and each second while an eighth of
    /// those that were asked is silent.
    pub fn due_retries(&mut self, now: MonoTime) -> Vec<String> {
        self.note_pause(now);
        let own = &*self.own;
        let count = self.peers.len();
        let is_new = self.is_new(now);
        let mut due = self
            .peers
            .iter_mut()
            .filter(|peer| *peer.instance != *own && peer.is_retry_due(count, is_new, now))
            .take(MAX_DUE_RETRIES)
            .collect::<Vec<_>>();
        for peer in &mut due {
            peer.record_request(now);
        }
        let mut due = due
            .iter()
            .map(|peer| peer.instance.to_string())
            .collect::<Vec<_>>();
        let is_holder = self
            .own_used
            .is_some_and(|used| now.since(used) < SILENCE_LIMIT);
        let reach = self.reach(now);
        let suspects = self.peers.iter().filter(|peer| peer.is_suspect(now));
        let suspects = suspects.count();
        // One late answer is no reason to ask all others, one silent instance is.
        let is_more_silent = reach.silent > self.last_silent;
        let is_more_suspect = suspects > self.last_suspects.max(1);
        self.last_silent = reach.silent;
        self.last_suspects = suspects;
        let asks_all = self.is_cut_off
            || reach.is_divided()
            || is_more_silent
            || is_more_suspect
            || std::mem::take(&mut self.is_survey_due);
        if asks_all || is_holder || suspects > 0 {
            self.add_witnesses(&mut due, asks_all, now);
        }
        due
    }

    /// Adds instances to ask until [`MIN_WITNESSES`] have been asked recently, or all others. Those
    /// that have not been asked for the longest time come first, so that a part of a few instances
    /// is noticed, and otherwise the order is that of a hash, so that they are spread over the data
    /// centres.
    fn add_witnesses(&mut self, due: &mut Vec<String>, asks_all: bool, now: MonoTime) {
        let own = &*self.own;
        let asked = self
            .peers
            .iter()
            .filter(|peer| peer.was_asked_within(WITNESS_INTERVAL, now))
            .count();
        let missing = match asks_all {
            true => usize::MAX,
            false => MIN_WITNESSES.saturating_sub(asked),
        };
        if missing == 0 {
            return;
        }
        let mut candidates = self
            .peers
            .iter_mut()
            .filter(|peer| *peer.instance != *own && !peer.is_excluded())
            .filter(|peer| !asks_all || !peer.was_asked_within(WITNESS_INTERVAL, now))
            .map(|peer| (stable_hash(&[own, &peer.instance]), peer))
            .collect::<Vec<_>>();
        candidates.sort_unstable_by_key(|(hash, _)| *hash);
        if !asks_all {
            candidates.truncate(MAX_WITNESSES);
            candidates.retain(|(_, peer)| !peer.was_asked_within(WITNESS_INTERVAL, now));
        }
        candidates.sort_by_key(|(_, peer)| peer.last_request());
        for (_, peer) in candidates.into_iter().take(missing) {
            peer.record_request(now);
            due.push(peer.instance.to_string());
        }
    }

    /// Lets this instance join again if it was paused: others use the next in rank by now.
    fn note_pause(&mut self, now: MonoTime) {
        let was_paused = self
            .last_retries
            .is_some_and(|last| now.since(last) >= SILENCE_LIMIT);
        self.last_retries = Some(now);
        if was_paused {
            self.delay_own(now);
        }
    }

    /// Returns whether this instance is cut off: of the instances that were asked in the last 3 s
    /// and itself, at most half answered.
    pub fn is_cut_off(&self, now: MonoTime) -> bool {
        self.is_cut_off_by(&self.reach(now))
    }

    fn is_cut_off_by(&self, reach: &PeerReach) -> bool {
        let is_alone = self.peers.iter().all(|peer| *peer.instance == *self.own);
        match (is_alone, reach.asked()) {
            (true, _) => false,
            // Nothing was asked, so nothing is known that would change the state.
            (_, 1) => self.is_cut_off,
            _ => reach.is_cut_off(),
        }
    }

    /// Returns whether this instance has just started.
    fn is_new(&self, now: MonoTime) -> bool {
        self.started.is_some_and(|at| now.since(at) < START_TIME)
    }

    /// Counts the instances that answered or were silent in the last 3 s.
    fn reach(&self, now: MonoTime) -> PeerReach {
        self.reach_with(self.is_new(now), now)
    }

    fn reach_with(&self, is_strict: bool, now: MonoTime) -> PeerReach {
        let mut answering = 1;
        let mut silences = Vec::new();
        for peer in &self.peers {
            if *peer.instance == *self.own {
                continue;
            }
            match peer.contact(is_strict, now) {
                PeerContact::Unknown => {}
                PeerContact::Answers => answering += 1,
                PeerContact::Silent => silences.push(peer.silence(now)),
            }
        }
        PeerReach::new(self.len(), answering, silences)
    }

    /// Returns the number of instances, at least 1.
    #[expect(clippy::len_without_is_empty, reason = "this instance is always known")]
    pub fn len(&self) -> usize {
        self.peers.len().max(1)
    }

    /// Checks which instances may be holders, if the last check was some time ago.
    fn refresh(&mut self, now: MonoTime) {
        let checked = self.checked;
        if checked.is_some_and(|checked| now.since(checked) < REFRESH_INTERVAL) {
            return;
        }
        self.checked = Some(now);
        self.remove_unlisted(now);
        let was_cut_off = self.is_cut_off;
        let reach = self.reach(now);
        self.is_cut_off = self.is_cut_off_by(&reach);
        if was_cut_off && !self.is_cut_off {
            self.delay_own(now);
            for peer in &mut self.peers {
                peer.restart_silence(now);
            }
        }
        self.update_share(&reach, now);
        let is_new = self.is_new(now);
        let mut is_changed = false;
        for peer in &mut self.peers {
            let is_ready = match self.is_apart {
                // All instances of a part say that they have yet to join while they are cut off.
                true if *peer.instance == *self.own => true,
                true => peer.contact(is_new, now) == PeerContact::Answers,
                false => now >= peer.joins_at,
            };
            let is_eligible = peer.is_available(now) && is_ready;
            is_changed |= is_eligible != peer.is_eligible;
            peer.is_eligible = is_eligible;
        }
        self.version += u64::from(is_changed);
        if now.since(self.last_expiry) >= EXPIRY_INTERVAL {
            self.last_expiry = now;
            self.rankings.expire(now);
        }
    }

    /// Determines the share of the rates, and whether this instance goes on with its part.
    fn update_share(&mut self, reach: &PeerReach, now: MonoTime) {
        if !self.is_cut_off {
            self.is_apart = false;
            self.has_share = false;
            // Earlier answers do not count here: where one partition follows another, they would
            // let the holders of two parts use the whole rate.
            self.share.update(self.reach_with(true, now).share(), now);
            return;
        }
        if self.is_apart {
            self.share.update(reach.share(), now);
        } else if let Some(silence) = reach.silence {
            let reported = self.report.map_or(Duration::ZERO, |r| r.silence(now));
            if silence.max(reported) >= PART_DELAY {
                self.is_apart = true;
                self.share = RateShare::new(reach.share());
            }
        }
        // The others do not count an instance that is not listed, so no part of the rate is its own.
        let is_listed = self.find(&self.own).is_ok();
        self.has_share = self.is_apart && is_listed && !reach.is_small();
    }

    /// Removes instances that have not been listed for [`UNLISTED_RETENTION`], or are excluded.
    fn remove_unlisted(&mut self, now: MonoTime) {
        let count = self.peers.len();
        self.peers.retain(|peer| {
            peer.unlisted_since
                .is_none_or(|since| now.since(since) < UNLISTED_RETENTION && peer.is_available(now))
        });
        if self.peers.len() < count {
            self.rankings.clear();
            self.version += 1;
        }
    }

    /// Excludes this instance as a holder until the others use it again.
    fn delay_own(&mut self, now: MonoTime) {
        if let Ok(i) = self.find(&self.own) {
            self.peers[i].joins_at = now + JOIN_DELAY;
            self.checked = None;
        }
    }

    fn find(&self, instance: &str) -> Result<usize, usize> {
        find(&self.peers, instance)
    }
}

fn find(peers: &[QuotaPeer], instance: &str) -> Result<usize, usize> {
    peers.binary_search_by(|peer| (*peer.instance).cmp(instance))
}

fn find_listed(listed: &[(String, u32)], instance: &str) -> Result<usize, usize> {
    listed.binary_search_by(|(known, _)| known.as_str().cmp(instance))
}

/// Returns the best eligible instance. If there is none, returns the best one that has yet to join.
fn best_peer<'a>(peers: &'a [QuotaPeer], tenant: &TenantName, now: MonoTime) -> Option<&'a str> {
    peers
        .iter()
        .filter(|peer| peer.is_available(now))
        .map(|peer| {
            let rank = rank(tenant, &peer.instance, peer.capacity);
            (!peer.is_eligible, rank, &*peer.instance)
        })
        .min_by(|a, b| a.0.cmp(&b.0).then(a.1.total_cmp(&b.1)))
        .map(|(_, _, instance)| instance)
}
