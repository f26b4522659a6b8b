//! The members of a group: which targets may hold commits, and how many of them have to answer.
//!
//! The list of targets does not tell how large a group is: an entry vanishes when its target, or the
//! store, is cut off, while the target goes on confirming commits.

use std::time::Duration;

use heatherhollow_types::MonoTime;

use crate::group::GroupState;

/// Time for which a target that was removed without leaving still counts as a member of its group.
/// It is longer than a cut between a target and the store usually lasts.
const REMOVED_TARGET_RETENTION: Duration = Duration::from_secs(120);

/// Time without a primary after which removed targets no longer count. They are unlikely to come
/// back, and while they count the group may never reach the quorum for a promotion.
const LONG_LEADERLESS_TIME: Duration = Duration::from_secs(15);

/// A target whose entry disappeared although it had not announced that it leaves.
#[derive(Debug)]
pub(crate) struct RemovedTarget {
    pub target: String,
    /// Incarnation of the target when it was removed.
    pub incarnation: u64,
    pub removed_at: MonoTime,
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

    /// Returns the number of staying targets that may hold commits. A target whose entry
    /// disappeared without its leaving may be alive behind a network cut and go on confirming
    /// commits, so it is counted too.
    pub fn member_count(&self, now: MonoTime) -> usize {
        let staying = self.staying_count();
        let is_long_leaderless = self
            .leaderless_since
            .is_some_and(|since| now.since(since) >= LONG_LEADERLESS_TIME);
        if is_long_leaderless {
            return staying.max(1);
        }
        let removed = self
            .removed_targets
            .iter()
            .filter(|entry| now.since(entry.removed_at) <= REMOVED_TARGET_RETENTION)
            .count();
        (staying + removed)
            .min(self.nominal_size)
            .max(staying)
            .max(1)
    }

    /// Updates the nominal size after targets were listed. Once set, it does not grow while a
    /// target is leaving, since the replacement of that target may be listed already.
    pub fn update_nominal_size(&mut self) {
        let has_leaving = self.targets().any(|(_, pool)| pool.is_leaving());
        if self.nominal_size == 0 || !has_leaving {
            self.nominal_size = self.nominal_size.max(self.staying_count());
        }
    }

    /// Forgets that a target was removed, as it is listed again. Returns whether it had been
    /// removed and has not restarted since.
    pub fn forget_removed(&mut self, target: &str, incarnation: u64) -> bool {
        let found = self
            .removed_targets
            .iter()
            .position(|entry| entry.target == target);
        found.is_some_and(|i| self.removed_targets.remove(i).incarnation == incarnation)
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
        }
    }
}
