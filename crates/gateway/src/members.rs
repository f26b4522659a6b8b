//! The members of a group: which targets may hold commits, and how many of them have to answer.
//!
//! The list of targets does not tell how large a group is: an entry vanishes when its target, or the
//! store, is cut off, while the target goes on confirming commits. Instances count the targets that
//! they have seen by name, and keep the size in the store for instances that start.
//!
//! A target that is not listed any more, or a former run of one that has restarted, stays a member
//! for [`REMOVED_TARGET_RETENTION`] at the most, until both of these are known:
//!
//! * Its process has ended: it has left and answers nobody here, it has restarted, or another target
//!   accepts connections at its address.
//! * The commits that only it and the primary may have had are elsewhere: so many listed targets are
//!   shown to have all commits up to its end that each quorum has one of them, or the next target at
//!   its address started with what it was seen to have, as the platform transfers the log.
//!
//! Neither the time without a primary nor a new target at another address shows any of this.

use std::fmt;
use std::fmt::Display;
use std::fmt::Formatter;
use std::net::SocketAddr;
use std::time::Duration;

use log::info;

use heatherhollow_types::GroupPosition;
use heatherhollow_types::MonoTime;
use heatherhollow_types::stable_hash;

use crate::action::GatewayAction;
use crate::core::SessionGateway;
use crate::group::GroupIndex;
use crate::group::GroupState;
use crate::pool::TargetPool;

/// Time for which a target that is not listed any more counts as a member at the most. It is longer
/// than a cut between a target and the store usually lasts.
const REMOVED_TARGET_RETENTION: Duration = Duration::from_secs(120);

/// Time for which a size must have been the same before it is stored. A new target is listed for as
/// long before its copies of commits count.
const SIZE_SETTLE_TIME: Duration = Duration::from_millis(1_000);

/// Greatest further delay before a size is stored. The delay differs between instances, so that
/// usually one of them has stored it before the others try.
const MAX_STORE_DELAY: Duration = Duration::from_secs(3);

/// Pause after an attempt to store a size, as calls to a store that is down cost as much as others.
const STORE_RETRY_PAUSE: Duration = Duration::from_secs(5);

/// A target that is not listed any more, or a former run of a listed one, that may have commits
/// which the listed targets lack.
#[derive(Debug)]
pub(crate) struct RemovedTarget {
    pub target: String,
    /// Incarnation of the target when it was removed.
    pub incarnation: u64,
    pub address: SocketAddr,
    /// Highest position that the target was seen to have.
    pub position: Option<GroupPosition>,
    pub removed_at: MonoTime,
    /// Time by which the process is known to have ended; `None` if it may still confirm commits.
    pub ended_by: Option<MonoTime>,
}

impl RemovedTarget {
    /// Creates the record of a target that is removed from the list.
    pub fn new(pool: &TargetPool, ended_by: Option<MonoTime>, now: MonoTime) -> Self {
        Self {
            target: pool.entry.target.clone(),
            incarnation: pool.entry.incarnation,
            address: pool.entry.address,
            position: pool.seen_position(),
            removed_at: now,
            ended_by,
        }
    }
}

impl Display for RemovedTarget {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        let end = if self.ended_by.is_some() {
            "ended"
        } else {
            "missing"
        };
        write!(f, "{}:{}:{end}", self.target, self.incarnation)
    }
}

/// Size of a group as it was read from the store.
#[derive(Debug, Clone, Copy)]
pub(crate) struct StoredSize {
    size: usize,
    read_at: MonoTime,
}

impl StoredSize {
    pub fn new(size: u8, read_at: MonoTime) -> Self {
        Self {
            size: usize::from(size),
            read_at,
        }
    }
}

impl SessionGateway {
    /// Updates the removed targets of a group: those whose address is another target's have ended,
    /// and those whose logs are not needed any more are dropped.
    pub(crate) fn update_removed(&mut self, group: GroupIndex, now: MonoTime) {
        if self.groups[group.0].removed_targets.is_empty() {
            return;
        }
        let mut removed = std::mem::take(&mut self.groups[group.0].removed_targets);
        for entry in removed.iter_mut().filter(|entry| entry.ended_by.is_none()) {
            // A connection that was accepted names its target, so the target is at the address.
            let mut targets = self.groups.iter().flat_map(GroupState::targets);
            let is_taken = targets.any(|(_, pool)| {
                pool.entry.address == entry.address
                    && pool.entry.target != entry.target
                    && pool.has_ready_connection()
            });
            entry.ended_by = is_taken.then_some(now);
        }
        let state = &mut self.groups[group.0];
        removed.retain(|entry| state.needs_removed(entry, now));
        state.removed_targets = removed;
    }

    /// Replaces the stored sizes after all of them were read. A size that is gone from the store is
    /// stored again.
    pub(crate) fn replace_sizes(&mut self, sizes: Vec<(String, u8)>, now: MonoTime) {
        for group in &mut self.groups {
            let is_known = |stored: &StoredSize| group.nominal_size >= stored.size;
            group.stored_size = group.stored_size.filter(|stored| !is_known(stored));
        }
        for (group, size) in sizes {
            let group = self.group_index(&group, now);
            self.groups[group.0].stored_size = Some(StoredSize::new(size, now));
        }
    }

    /// Stores the size of a group once it has differed from the stored one for a while.
    pub(crate) fn update_stored_size(&mut self, group: GroupIndex, now: MonoTime) {
        let is_list_settled = self.is_list_settled(now);
        let name = self.identity.name.as_str();
        let state = &mut self.groups[group.0];
        let Some(size) = state.size_to_store(now).filter(|_| is_list_settled) else {
            state.unstored_size = None;
            return;
        };
        let rank = stable_hash(&[name, &state.name]) % 1_000;
        let delay = SIZE_SETTLE_TIME + MAX_STORE_DELAY.mul_f64(rank as f64 / 1_000.0);
        match state.unstored_size {
            Some((known, since)) if known == size => {
                if now.since(since) < delay {
                    return;
                }
            }
            _ => {
                state.unstored_size = Some((size, now));
                return;
            }
        }
        // The next attempt follows after another delay if the size is not read back until then.
        state.unstored_size = Some((size, now + STORE_RETRY_PAUSE));
        let previous = state.stored_size.map(|stored| stored.size);
        self.actions.push(GatewayAction::StoreGroupSize {
            group: state.name.clone(),
            previous: previous.and_then(|size| u8::try_from(size).ok()),
            size: u8::try_from(size).unwrap_or(u8::MAX),
        });
    }
}

impl GroupState {
    /// Returns how many targets may fail to answer in a promotion: the number of replicas that hold
    /// a copy of each acknowledged commit, and at least one.
    pub fn tolerated_missing(&self) -> usize {
        let sync_replicas = self.rule.as_ref().map_or(1, |rule| rule.sync_replicas);
        (sync_replicas as usize).max(1)
    }

    /// Returns how many targets have to report so that one of them holds every acknowledged commit.
    /// Targets that are leaving hold copies as well and therefore raise the number.
    pub fn report_quorum(&self, now: MonoTime) -> usize {
        let leaving = self.targets().filter(|(_, pool)| pool.is_leaving());
        self.promotion_quorum(now) + leaving.count()
    }

    /// Returns how many staying targets have to answer so that one of them holds every acknowledged
    /// commit, except commits that are only on leaving targets.
    pub fn promotion_quorum(&self, now: MonoTime) -> usize {
        let sync_replicas = self
            .rule
            .as_ref()
            .map_or(0, |rule| rule.sync_replicas as usize);
        self.member_count(now).saturating_sub(sync_replicas).max(1)
    }

    /// Returns the number of staying targets that may hold commits, listed or not.
    pub fn member_count(&self, now: MonoTime) -> usize {
        let size = self.seen_size().max(self.unseen_size(now));
        size.max(1)
    }

    /// Returns the number of staying targets that may hold commits, as far as this instance has
    /// seen them listed.
    fn seen_size(&self) -> usize {
        // Without synchronous replicas no replica has to have a commit, so none is waited for.
        let removed = if self.is_synchronous() {
            self.removed_targets.len()
        } else {
            0
        };
        self.staying_count() + removed
    }

    /// Returns the least size of the group that is known otherwise: the stored size as long as this
    /// instance has not seen as many targets, or without one the listed targets and the primary of
    /// the known term, if that is none of them.
    fn unseen_size(&self, now: MonoTime) -> usize {
        match &self.stored_size {
            Some(stored) if self.has_seen(stored, now) => 0,
            Some(stored) => stored.size,
            None if self.has_known_leader => 0,
            None => self.staying_count() + 1,
        }
    }

    /// Returns whether what this instance has seen of the group replaces a stored size.
    fn has_seen(&self, stored: &StoredSize, now: MonoTime) -> bool {
        let is_outdated = now.since(stored.read_at) > REMOVED_TARGET_RETENTION;
        self.nominal_size >= stored.size || is_outdated
    }

    /// Returns the size to be stored for instances that start; `None` if the stored size holds, or
    /// this instance does not know better. While the members change, only a larger size is stored.
    fn size_to_store(&self, now: MonoTime) -> Option<usize> {
        let size = self.seen_size();
        let is_changing = self.has_changing_members();
        let is_needed = match &self.stored_size {
            Some(stored) if is_changing => size > stored.size,
            Some(stored) => stored.size != size && self.has_seen(stored, now),
            None => !is_changing,
        };
        (is_needed && self.primary.is_some()).then_some(size)
    }

    /// Records the number of staying targets that are listed at once.
    pub fn update_nominal_size(&mut self) {
        self.nominal_size = self.nominal_size.max(self.staying_count());
    }

    /// Updates the removed targets for an entry of a target that is not known as listed. Returns
    /// whether the target had been removed and has not restarted since.
    pub fn readmit(&mut self, target: &str, incarnation: u64, now: MonoTime) -> bool {
        let mut is_same_run = false;
        self.removed_targets.retain_mut(|entry| {
            if entry.target != target {
                return true;
            }
            let is_listed_run = entry.incarnation == incarnation;
            is_same_run |= is_listed_run;
            if entry.incarnation < incarnation {
                entry.ended_by.get_or_insert(now);
            }
            !is_listed_run
        });
        is_same_run
    }

    /// Returns whether a target leaves, or has ended and its commits are not shown to be elsewhere
    /// yet.
    pub fn has_changing_members(&self) -> bool {
        let mut removed = self.removed_targets.iter();
        self.targets().any(|(_, pool)| pool.is_leaving())
            || removed.any(|entry| entry.ended_by.is_some())
    }

    /// Returns whether the group has one target, so that nobody else can have been promoted.
    pub fn is_alone(&self, now: MonoTime) -> bool {
        self.targets().count() == 1 && self.member_count(now) == 1
    }

    /// Returns whether a removed target may have commits that no quorum of the listed ones has.
    fn needs_removed(&self, entry: &RemovedTarget, now: MonoTime) -> bool {
        let is_old = now.since(entry.removed_at) > REMOVED_TARGET_RETENTION;
        let is_replaced = entry
            .ended_by
            .is_some_and(|end| self.is_complete_until(end) || self.has_successor_of(entry));
        !is_old && !is_replaced
    }

    /// Returns whether so many staying targets are shown to have all commits up to `time` that each
    /// quorum of them has one.
    fn is_complete_until(&self, time: MonoTime) -> bool {
        let complete = self.targets().filter(|(_, pool)| {
            let report = pool.report.filter(|(_, report)| report.term == self.term);
            let complete_until =
                report.and_then(|(_, report)| self.tracker.complete_until(report.received));
            !pool.is_leaving() && complete_until >= Some(time)
        });
        complete.count() > self.tolerated_missing()
    }

    /// Returns whether the next target at the address of a removed one, or its own next run, started
    /// with everything that the removed one was seen to have.
    ///
    /// The position at the start tells a log that was kept or transferred from one that is copied
    /// from the primary, which may pass the position seen and still lack the last commits.
    fn has_successor_of(&self, entry: &RemovedTarget) -> bool {
        self.targets().any(|(_, pool)| {
            let is_next = pool.entry.address == entry.address || pool.entry.target == entry.target;
            is_next && entry.position.is_some() && pool.first_position >= entry.position
        })
    }

    /// Returns the number of targets that are not leaving.
    fn staying_count(&self) -> usize {
        let staying = self.targets().filter(|(_, pool)| !pool.is_leaving());
        staying.count()
    }

    /// Records a position that no acknowledged commit exceeds, with the time for which that holds,
    /// once enough targets have reported: each acknowledged commit is in the log of one of them.
    pub fn observe_quorum(&mut self, now: MonoTime) {
        let needed = self.report_quorum(now);
        if !self.is_synchronous() {
            return;
        }
        let mut reports = self
            .targets()
            .filter_map(|(_, pool)| pool.report)
            .filter(|(_, report)| report.term == self.term)
            .collect::<Vec<_>>();
        if reports.len() < needed {
            return;
        }
        reports.sort_by_key(|(at, _)| std::cmp::Reverse(*at));
        let asked_at = reports[needed - 1].0;
        let log_end = reports[..needed]
            .iter()
            .map(|(_, report)| report.received)
            .max();
        if let Some(position) = log_end {
            self.tracker.observe_quorum(asked_at, position);
            self.log_quorum(needed, position, now);
        }
    }

    /// Logs the number of members and what it is made of, if the number has changed.
    pub fn log_member_count(&mut self, now: MonoTime) {
        let members = self.member_count(now);
        if members == self.logged_member_count {
            return;
        }
        self.logged_member_count = members;
        let names = self.targets().map(|(_, pool)| pool.entry.target.as_str());
        let removed = self.removed_targets.iter();
        info!(
            "members_counted group={} members={members} needed={} listed={} removed={} most_seen={} \
             stored={}",
            self.name,
            self.report_quorum(now),
            names.collect::<Vec<_>>().join(","),
            removed
                .map(|entry| entry.target.as_str())
                .collect::<Vec<_>>()
                .join(","),
            self.nominal_size,
            self.stored_size.map_or(0, |stored| stored.size)
        );
    }

    /// Logs the first position of a time without a primary that a quorum dates.
    fn log_quorum(&mut self, needed: usize, position: GroupPosition, now: MonoTime) {
        let leaderless_since = self.leaderless_since;
        if leaderless_since.is_some() && self.quorum_logged_for != leaderless_since {
            info!(
                "quorum_position group={} position={position} reports={needed} members={} \
                 listed={} knows_leader={}",
                self.name,
                self.member_count(now),
                self.targets().count(),
                self.has_known_leader
            );
        }
        self.quorum_logged_for = leaderless_since;
    }
}
