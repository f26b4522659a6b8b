//! Planned promotions that operators ask for.

use std::sync::Arc;
use std::time::Duration;

use displaydoc::Display;

use heatherhollow_types::GroupName;
use heatherhollow_types::TargetName;
use heatherhollow_types::TermNumber;

use crate::engine::ProxyEngine;
use crate::group::GroupRunner;

/// Longest time that an operator's request waits for the promotion.
const PROMOTION_WAIT: Duration = Duration::from_secs(15);

/// A finished run records the primary right after it has dropped the plan.
const FINISH_PAUSE: Duration = Duration::from_millis(50);

/// Why a planned promotion was not made.
#[derive(Debug, Clone, PartialEq, Eq, Display)]
pub enum PromotionRefusal {
    /// group {0} is not declared
    UnknownGroup(GroupName),
    /// group {0} has no target {1}
    UnknownTarget(GroupName, TargetName),
    /// this instance does not observe group {0}; ask one of {1}
    NotObserver(GroupName, String),
    /// group {0} has no usable primary; a promotion starts by itself
    NoPrimary(GroupName),
    /// target {0} is leaving
    IsLeaving(TargetName),
    /// another planned promotion of group {0} is going on
    IsBusy(GroupName),
    /// the promotion of {0} was abandoned; the log of the instance has the reason
    Abandoned(TargetName),
    /// the promotion of {0} has not ended in time; the status shows the primary
    NotEnded(TargetName),
}

impl std::error::Error for PromotionRefusal {}

impl PromotionRefusal {
    /// Whether the promotion was started.
    pub fn is_started(&self) -> bool {
        matches!(self, Self::Abandoned(_) | Self::NotEnded(_))
    }
}

impl ProxyEngine {
    /// The runner of a group, if this instance has one.
    pub(crate) fn known_runner(&self, group: &GroupName) -> Option<Arc<GroupRunner>> {
        let groups = self
            .groups
            .lock()
            .expect("no holder of the group list panics");
        let found = groups.binary_search_by(|runner| runner.name().cmp(group));
        found.ok().map(|i| groups[i].clone())
    }

    /// Whether this instance takes a target for its group's primary.
    pub(crate) fn is_known_primary(&self, group: &GroupName, target: &TargetName) -> bool {
        let Some(runner) = self.known_runner(group) else {
            return false;
        };
        let primary = runner.lock().primary;
        primary.is_some_and(|p| runner.settings().target_index(target) == Some(p.target))
    }

    /// Makes a target the primary of its group; returns its term.
    pub async fn promote_target(
        &self,
        group: &GroupName,
        target: &TargetName,
    ) -> Result<TermNumber, PromotionRefusal> {
        let unknown_group = || PromotionRefusal::UnknownGroup(group.clone());
        let table = self.table().ok_or_else(unknown_group)?;
        let declared = table.group(group).ok_or_else(unknown_group)?;
        let Some(index) = declared.settings.target_index(target) else {
            let (group, target) = (group.clone(), target.clone());
            return Err(PromotionRefusal::UnknownTarget(group, target));
        };
        let centres = declared.settings.data_centres();
        let observed = self.known_runner(group).filter(|runner| {
            let rank = runner.host().observer_rank(group, &centres);
            rank.is_some()
        });
        let Some(runner) = observed else {
            let name = &declared.settings.name;
            let observers = self.view().observers(&declared.team, name, &centres);
            let names = observers.iter().map(|observer| observer.as_str());
            let names = names.collect::<Vec<_>>().join(", ");
            return Err(PromotionRefusal::NotObserver(group.clone(), names));
        };
        let old_term = {
            let mut state = runner.lock();
            let primary = state.usable_primary();
            let primary = primary.ok_or_else(|| PromotionRefusal::NoPrimary(group.clone()))?;
            if primary.target == index {
                return Ok(primary.term);
            }
            let reports_leaving = state.reports[index.as_usize()]
                .as_ref()
                .is_some_and(|seen| seen.report.is_leaving);
            if reports_leaving || declared.settings.targets[index.as_usize()].leaving {
                return Err(PromotionRefusal::IsLeaving(target.clone()));
            }
            if state.planned.is_some() {
                return Err(PromotionRefusal::IsBusy(group.clone()));
            }
            state.planned = Some((index, self.clock().now()));
            primary.term
        };
        log::info!("promotion_planned group={group} target={target}");
        let deadline = self.clock().now() + PROMOTION_WAIT;
        let ended = runner.wait_for(deadline, |state, _| {
            let is_replaced = state.primary.is_some_and(|primary| primary.term > old_term);
            (is_replaced || state.planned.is_none()).then_some(())
        });
        if ended.await.is_none() {
            // A run that has started goes on; one that has not must not start later.
            runner.lock().planned = None;
            return Err(PromotionRefusal::NotEnded(target.clone()));
        }
        self.clock().sleep(FINISH_PAUSE).await;
        let primary = runner.lock().primary;
        match primary.filter(|primary| primary.target == index) {
            Some(primary) => Ok(primary.term),
            None => Err(PromotionRefusal::Abandoned(target.clone())),
        }
    }
}
