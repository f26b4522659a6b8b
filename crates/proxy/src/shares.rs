//! Connection permits of this instance, and the lanes that use them.

use std::sync::Arc;
use std::sync::MutexGuard;

use heatherhollow_control::LiveView;
use heatherhollow_control::PermitAction;
use heatherhollow_control::PermitKey;
use heatherhollow_control::PermitTable;
use heatherhollow_limits::QueueSettings;
use heatherhollow_types::GroupName;
use heatherhollow_types::PermitNumber;
use heatherhollow_types::ServiceName;
use heatherhollow_types::TargetIndex;
use heatherhollow_types::TeamName;

use crate::engine::ProxyEngine;
use crate::group::GroupRunner;
use crate::lane::LaneWatcher;
use crate::lane::TargetLane;
use crate::news::NodeNews;
use crate::table::DeclaredService;
use crate::table::ServiceTable;
use crate::timing::LaneSettings;

/// A lane with the service and target that it is for.
pub(crate) struct LaneEntry {
    pub(crate) team: TeamName,
    pub(crate) service: ServiceName,
    pub(crate) group: GroupName,
    pub(crate) target: TargetIndex,
    pub(crate) lane: Arc<TargetLane>,
}

/// The permits of this instance.
pub(crate) struct PermitState {
    pub(crate) table: PermitTable,
    pub(crate) previous: Option<LiveView>,
    /// Permits with a connection of this instance, also those that are lost while it is in use.
    pub(crate) in_use: Vec<PermitKey>,
}

impl ProxyEngine {
    pub(crate) fn lock_permits(&self) -> MutexGuard<'_, PermitState> {
        self.permits
            .lock()
            .expect("no holder of the permit lock panics")
    }

    pub(crate) fn lock_lanes(&self) -> MutexGuard<'_, Vec<LaneEntry>> {
        self.lanes
            .lock()
            .expect("no holder of the lane list panics")
    }

    /// Works out anew which permits this instance holds.
    pub(crate) fn assign_permits(self: &Arc<Self>) {
        let Some(table) = self.table() else { return };
        let live = self.view().live();
        let permits = table
            .services()
            .iter()
            .map(|s| s.permits.clone())
            .collect::<Vec<_>>();
        let now = self.clock.now();
        let actions = {
            let mut state = self.lock_permits();
            let previous = state.previous.take();
            let topology = &table.topology;
            let actions = state
                .table
                .assign(&permits, &live, previous.as_ref(), topology, now);
            state.previous = Some(live);
            actions
        };
        self.apply_permit_actions(actions);
        self.update_lanes();
    }

    pub(crate) fn apply_permit_actions(self: &Arc<Self>, actions: Vec<PermitAction>) {
        let is_change = actions
            .iter()
            .any(|action| matches!(action, PermitAction::Use(_) | PermitAction::Close(_)));
        for action in actions {
            match action {
                PermitAction::Ask(peer, key) => self.send(&peer, &NodeNews::AskPermit(key)),
                PermitAction::GiveBack(peer, key) => self.send(&peer, &NodeNews::GivePermit(key)),
                // The table takes a held permit for lent until its connection is really closed.
                PermitAction::Use(key) => {
                    let mut state = self.lock_permits();
                    state.table.lend(&key);
                    if !state.in_use.contains(&key) {
                        state.in_use.push(key);
                    }
                }
                PermitAction::Close(_) => {}
            }
        }
        if is_change {
            self.update_lanes();
        }
    }

    /// Gives each lane the permits that are held for it.
    fn update_lanes(self: &Arc<Self>) {
        let Some(table) = self.table() else { return };
        let held = self
            .lock_permits()
            .table
            .held()
            .cloned()
            .collect::<Vec<_>>();
        for service in table.services() {
            for (i, target) in service.group.settings.targets.iter().enumerate() {
                let work = service.permits.count.work_range();
                let permits = held
                    .iter()
                    .filter(|key| {
                        key.team == service.team
                            && key.service == service.settings.name
                            && key.target == target.name
                            && work.contains(&key.permit.0)
                    })
                    .map(|key| key.permit)
                    .collect::<Vec<_>>();
                self.set_lane_permits(service, TargetIndex(i as u16), &permits);
            }
        }
    }

    fn set_lane_permits(
        self: &Arc<Self>,
        service: &Arc<DeclaredService>,
        target: TargetIndex,
        permits: &[PermitNumber],
    ) {
        let found = self.find_lane(service, target);
        let lane = match found {
            Some(lane) => lane,
            None if permits.is_empty() => return,
            None => match self.make_lane(service, target) {
                Some(lane) => lane,
                None => return,
            },
        };
        lane.set_permits(permits);
    }

    pub(crate) fn find_lane(
        &self,
        service: &DeclaredService,
        target: TargetIndex,
    ) -> Option<Arc<TargetLane>> {
        let lanes = self.lock_lanes();
        let found = lanes.iter().find(|entry| {
            entry.target == target
                && entry.team == service.team
                && entry.service == service.settings.name
        });
        found.map(|entry| entry.lane.clone())
    }

    fn make_lane(
        self: &Arc<Self>,
        service: &Arc<DeclaredService>,
        target: TargetIndex,
    ) -> Option<Arc<TargetLane>> {
        let runner = self.runner(&service.group)?;
        let port = runner.target_port(target).clone();
        let watcher = Arc::new(TargetWatcher {
            runner: runner.clone(),
            target,
        });
        let parallelism = usize::from(service.settings.slots_per_target.max(1));
        let queue = QueueSettings {
            parallelism,
            ..self.settings.lane.queue.clone()
        };
        let settings = LaneSettings {
            queue,
            ..self.settings.lane.clone()
        };
        let lane = TargetLane::new(
            service.settings.name.clone(),
            self.own.instance.clone(),
            port,
            self.clock.clone(),
            watcher,
            settings,
        );
        let entry = LaneEntry {
            team: service.team.clone(),
            service: service.settings.name.clone(),
            group: service.group.full_name.clone(),
            target,
            lane: lane.clone(),
        };
        self.lock_lanes().push(entry);
        Some(lane)
    }

    /// Leaves permits to another instance that uses them, too, until its hold-off has passed.
    pub(crate) fn leave_contested(self: &Arc<Self>) {
        let Some(table) = self.table() else { return };
        let mut contested = Vec::new();
        for entry in self.lock_lanes().iter() {
            let service = table.service(&entry.team, &entry.service);
            let target = service.and_then(|s| s.group.settings.target(entry.target));
            let Some(target) = target else { continue };
            contested.extend(
                entry
                    .lane
                    .take_lost_permits()
                    .into_iter()
                    .map(|permit| PermitKey {
                        team: entry.team.clone(),
                        service: entry.service.clone(),
                        target: target.name.clone(),
                        permit,
                    }),
            );
        }
        for key in contested {
            log::warn!(
                "permit_taken_over team={} service={} target={} permit={}",
                key.team,
                key.service,
                key.target,
                key.permit
            );
            let now = self.clock().now();
            let actions = self.lock_permits().table.taken_over(&key, now);
            self.apply_permit_actions(actions);
        }
    }

    /// Gives back lost permits whose connection has been closed.
    pub(crate) fn finish_releases(self: &Arc<Self>) {
        let lost = {
            let state = self.lock_permits();
            let lost = state.in_use.iter().filter(|key| !state.table.is_held(key));
            lost.cloned().collect::<Vec<_>>()
        };
        let Some(table) = self.table() else { return };
        for key in lost {
            if self.is_permit_used(&table, &key) {
                continue;
            }
            let actions = {
                let mut state = self.lock_permits();
                state.in_use.retain(|other| *other != key);
                state.table.give_back(&key)
            };
            self.apply_permit_actions(actions);
        }
    }

    fn is_permit_used(&self, table: &ServiceTable, key: &PermitKey) -> bool {
        let Some(service) = table.service(&key.team, &key.service) else {
            return false;
        };
        let Some(target) = service.group.settings.target_index(&key.target) else {
            return false;
        };
        self.find_lane(service, target)
            .is_some_and(|lane| lane.uses_permit(key.permit))
    }
}

/// One target as the lane of its connections sees it.
struct TargetWatcher {
    runner: Arc<GroupRunner>,
    target: TargetIndex,
}

impl LaneWatcher for TargetWatcher {
    fn is_answering(&self) -> bool {
        self.runner.is_answering(self.target)
    }
}
