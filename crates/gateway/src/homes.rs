//! Homes of database groups: the instance of a data centre through which its sessions reach a
//! group.
//!
//! With many instances, not every instance can hold connections to every target or ask every group
//! for its state. Each data centre therefore has one home for each group, chosen by weighted
//! rendezvous hashing over its live instances, so that all instances agree without communication.
//! An instance forwards statements to the home. An instance that receives a forwarded statement
//! always serves it itself, so differing views cannot make a loop.
//!
//! While a home is excluded, the next instance in rank takes its place. If most others are excluded
//! from an instance's view, the instance is the home of most groups. It then observes only the
//! groups that its clients use, and those for which it is among the first in rank.
//!
//! Observation thus grows with the number of data centres instead of instances.

use std::net::SocketAddr;
use std::time::Duration;

use heatherhollow_types::DataCentre;
use heatherhollow_types::MonoTime;
use heatherhollow_types::stable_hash;

/// An instance, as it describes itself.
#[derive(Debug, Clone, PartialEq)]
pub struct PeerEntry {
    /// Name of the instance.
    pub instance: String,
    /// Address for forwarded statements.
    pub address: SocketAddr,
    /// Data centre of the instance.
    pub data_centre: DataCentre,
    /// Processor share, in thousandths of a core.
    pub capacity: u32,
}

/// An instance that is listed, or was listed recently.
#[derive(Debug)]
struct KnownPeer {
    entry: PeerEntry,
    /// Time since which the instance has not been listed; `None` while it is listed.
    unlisted_since: Option<MonoTime>,
}

/// An instance that was lost or is leaving. It is excluded until it answers again, so that no
/// statement is sent to it only to fail.
#[derive(Debug)]
struct ExcludedPeer {
    instance: String,
    /// Time at which the instance is asked next whether it answers.
    retry_at: MonoTime,
}

/// Known instances, and which of them are excluded as homes for now.
#[derive(Debug, Default)]
pub(crate) struct HomeTable {
    /// Sorted by instance; includes this instance.
    peers: Vec<KnownPeer>,
    excluded: Vec<ExcludedPeer>,
    /// Cache of [`HomeTable::is_home_candidate`] by group, sorted by name; cleared when the known
    /// instances change.
    candidate_cache: Vec<(String, bool)>,
}

impl HomeTable {
    /// Replaces the list of instances. Instances that are no longer listed stay known for
    /// [`UNLISTED_PEER_RETENTION`]: entries lapse while the store is unavailable, and instances
    /// that each assumed to be the only one would together exceed the connections of every target.
    ///
    /// Returns whether the known instances of `data_centre` changed, or an instance was removed.
    pub fn replace_peers(
        &mut self,
        peers: Vec<PeerEntry>,
        data_centre: &DataCentre,
        now: MonoTime,
    ) -> bool {
        self.candidate_cache.clear();
        let mut is_changed = false;
        for known in &mut self.peers {
            known.unlisted_since.get_or_insert(now);
        }
        for entry in peers {
            let listed = KnownPeer {
                entry,
                unlisted_since: None,
            };
            let is_local = listed.entry.data_centre == *data_centre;
            match self.find(&listed.entry.instance) {
                Ok(i) => {
                    is_changed |= is_local && self.peers[i].entry != listed.entry;
                    self.peers[i] = listed;
                }
                Err(i) => {
                    is_changed |= is_local;
                    self.peers.insert(i, listed);
                }
            }
        }
        // An instance that is excluded and no longer listed has ended.
        let excluded = &self.excluded;
        let count = self.peers.len();
        self.peers.retain(|known| {
            let instance = &known.entry.instance;
            known.unlisted_since.is_none() || !is_excluded(excluded, instance)
        });
        is_changed || self.peers.len() < count
    }

    /// Removes instances that have not been listed for [`UNLISTED_PEER_RETENTION`]. Returns whether
    /// there were any.
    pub fn expire_unlisted(&mut self, now: MonoTime) -> bool {
        let count = self.peers.len();
        self.peers.retain(|known| {
            let unlisted = known.unlisted_since;
            unlisted.is_none_or(|since| now.since(since) < UNLISTED_PEER_RETENTION)
        });
        let is_changed = self.peers.len() < count;
        if is_changed {
            self.candidate_cache.clear();
        }
        is_changed
    }

    /// Returns the names and addresses of the excluded instances that are to be asked now whether
    /// they answer again.
    pub fn due_retries(&mut self, now: MonoTime) -> Vec<(String, SocketAddr)> {
        if self.excluded.is_empty() {
            return Vec::new();
        }
        let peers = &self.peers;
        let is_known = |instance: &str| find(peers, instance).is_ok();
        self.excluded.retain(|peer| is_known(&peer.instance));
        let due = self.excluded.iter_mut();
        let due = due.filter(|peer| now >= peer.retry_at);
        due.filter_map(|peer| {
            // The link to a silent instance ends by itself before that time.
            peer.retry_at = now + LOST_RETRY_TIME;
            let i = find(peers, &peer.instance).ok()?;
            Some((peer.instance.clone(), peers[i].entry.address))
        })
        .collect()
    }

    /// Ends the exclusion of an instance that answered. Returns whether it was excluded.
    pub fn readmit(&mut self, instance: &str) -> bool {
        let count = self.excluded.len();
        self.excluded.retain(|peer| peer.instance != instance);
        self.excluded.len() < count
    }

    /// Returns the number of data centres with known instances.
    pub fn data_centre_count(&self) -> usize {
        let mut names = self
            .peers
            .iter()
            .map(|known| &known.entry.data_centre)
            .collect::<Vec<_>>();
        names.sort();
        names.dedup();
        names.len()
    }

    fn find(&self, instance: &str) -> Result<usize, usize> {
        find(&self.peers, instance)
    }

    /// Excludes an instance that was lost or is leaving. A listed instance is excluded until it
    /// answers, and is first asked after `retry_after`; an instance that is no longer listed is
    /// removed. Returns whether the instance was in use.
    pub fn exclude(&mut self, instance: &str, retry_after: Duration, now: MonoTime) -> bool {
        let was_excluded = self.readmit(instance);
        match self.find(instance) {
            Ok(i) if self.peers[i].unlisted_since.is_some() => {
                self.peers.remove(i);
                self.candidate_cache.clear();
            }
            _ => self.excluded.push(ExcludedPeer {
                instance: instance.to_string(),
                retry_at: now + retry_after,
            }),
        }
        !was_excluded
    }

    /// Returns the address of an instance, or `None` if the instance is not known.
    pub fn address(&self, instance: &str) -> Option<SocketAddr> {
        let found = self.find(instance);
        found.ok().map(|i| self.peers[i].entry.address)
    }

    /// Returns whether an instance is among the first [`MAX_HOME_CANDIDATES`] in rank for a group
    /// in its data centre, with excluded instances counted too. This is also true if no instance is
    /// known there.
    pub fn is_home_candidate(
        &mut self,
        instance: &str,
        group: &str,
        data_centre: &DataCentre,
    ) -> bool {
        let found = self
            .candidate_cache
            .binary_search_by(|(known, _)| known.as_str().cmp(group));
        match found {
            Ok(i) => self.candidate_cache[i].1,
            Err(i) => {
                let is_candidate = self.compute_home_candidate(instance, group, data_centre);
                self.candidate_cache
                    .insert(i, (group.to_string(), is_candidate));
                is_candidate
            }
        }
    }

    /// Computes the result of [`Self::is_home_candidate`] from the known instances.
    fn compute_home_candidate(
        &self,
        instance: &str,
        group: &str,
        data_centre: &DataCentre,
    ) -> bool {
        let peers = self.peers.iter().map(|known| &known.entry);
        let local = peers.filter(|peer| peer.data_centre == *data_centre);
        let Ok(own) = self.find(instance) else {
            return local.count() == 0;
        };
        let own_rank = rank(&self.peers[own].entry, group);
        let better_ranked = local.filter(|peer| rank(peer, group) < own_rank);
        better_ranked.count() < MAX_HOME_CANDIDATES
    }

    /// Returns the home of a group among the known instances of a data centre. Instances in
    /// `isolated` are chosen only if no others are left. Returns `None` if all instances are
    /// excluded.
    pub fn home(
        &self,
        group: &str,
        data_centre: &DataCentre,
        isolated: &[(String, MonoTime)],
        now: MonoTime,
    ) -> Option<&PeerEntry> {
        let is_isolated = |peer: &PeerEntry| is_excluded_until(isolated, &peer.instance, now);
        self.peers
            .iter()
            .map(|known| &known.entry)
            .filter(|peer| peer.data_centre == *data_centre)
            .filter(|peer| !is_excluded(&self.excluded, &peer.instance))
            .min_by(|a, b| {
                let key = |peer| (is_isolated(peer), rank(peer, group));
                let ((a_last, a_rank), (b_last, b_rank)) = (key(a), key(b));
                a_last.cmp(&b_last).then(a_rank.total_cmp(&b_rank))
            })
    }
}

/// Time for which an instance that is no longer listed stays known; longer than the entries take to
/// come back after an outage of the store.
const UNLISTED_PEER_RETENTION: Duration = Duration::from_secs(15);

/// Number of instances by rank that observe a group without use by their clients: its home, and as
/// many more as may be excluded as its home in favour of others.
const MAX_HOME_CANDIDATES: usize = 3;

/// Time for which an instance that is cut off from a group is excluded as its home.
pub(crate) const ISOLATED_EXCLUSION_TIME: Duration = Duration::from_millis(1_500);

/// Time after which an instance to which no link could be opened is asked again, as it may be
/// starting.
pub(crate) const UNOPENED_RETRY_TIME: Duration = Duration::from_millis(500);

/// Time after which an instance that was lost or is leaving is asked whether it answers; about the
/// time that it takes to stop and restart, or until its lease ends.
pub(crate) const LOST_RETRY_TIME: Duration = Duration::from_secs(4);

fn find(peers: &[KnownPeer], instance: &str) -> Result<usize, usize> {
    peers.binary_search_by(|known| known.entry.instance.as_str().cmp(instance))
}

/// Returns whether an instance is excluded until it answers.
fn is_excluded(excluded: &[ExcludedPeer], instance: &str) -> bool {
    excluded.iter().any(|peer| peer.instance == instance)
}

/// Returns whether an instance is excluded at the time `now`.
fn is_excluded_until(excluded: &[(String, MonoTime)], instance: &str, now: MonoTime) -> bool {
    excluded
        .iter()
        .any(|(known, until)| known == instance && now < *until)
}

/// Returns the rank of an instance for a group; the instance with the lowest rank is the home. The
/// probability of being the home is proportional to the capacity (weighted rendezvous hashing).
fn rank(peer: &PeerEntry, group: &str) -> f64 {
    let hash = stable_hash(&[group, &peer.instance]);
    let uniform = ((hash >> 11) as f64 + 0.5) / (1_u64 << 53) as f64;
    -uniform.ln() / f64::from(peer.capacity.max(1))
}
