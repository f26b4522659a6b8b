//! Holders of permits, and the permits of one instance.
//!
//! Which instance holds a permit follows from the settings and the view of members alone. Views
//! differ for a while; what bounds the total then is the target, which closes the older connection of
//! a permit when a newer one names the same number. The hold-off only keeps a change from cutting
//! work that is about to end.

use std::time::Duration;

use heatherhollow_types::DataCentre;
use heatherhollow_types::InstanceName;
use heatherhollow_types::MonoTime;
use heatherhollow_types::PermitNumber;
use heatherhollow_types::ServiceName;
use heatherhollow_types::TargetIndex;
use heatherhollow_types::TargetName;
use heatherhollow_types::TeamName;
use heatherhollow_types::stable_hash;

use crate::permits::PermitUse;
use crate::permits::ServicePermits;
use crate::rank::LiveView;
use crate::rank::best_member;
use crate::rank::group_observer;
use crate::rank::observer_key;
use crate::settings::TopologySettings;

/// Time between becoming the holder of a permit and taking it over without an answer.
pub const PERMIT_HOLD_OFF: Duration = Duration::from_secs(5);

/// The same if the former holder is not in the view any more, as after the death of its process. The
/// target closes a connection that it still has; a longer time would only stop its writes for longer.
pub const PERMIT_DEAD_HOLD_OFF: Duration = Duration::from_millis(500);

/// Longest hold-off after repeated take-overs by others, which happen only while views differ.
pub const PERMIT_HOLD_OFF_LIMIT: Duration = Duration::from_secs(60);

/// The instance that holds a permit, and its data centre.
///
/// None if the target has no such permit or no instance can hold it.
pub fn permit_holder<'v>(
    permits: &ServicePermits,
    target: TargetIndex,
    permit: PermitNumber,
    view: &'v LiveView,
    topology: &'v TopologySettings,
) -> Option<&'v InstanceName> {
    let (target_name, centre) = permits.targets.get(target.as_usize())?;
    match permits.count.use_of(permit)? {
        PermitUse::Status { observer } => {
            let centre = permits.observer_centres.get(usize::from(observer))?;
            group_observer(&permits.team, &permits.group, centre, view)
        }
        PermitUse::Work { block } => {
            let serving = topology_centre(centre, view, topology)?;
            let key = block_key(permits, target_name, centre, block);
            best_member(view.members(serving), key).map(|member| &member.name)
        }
    }
}

fn topology_centre<'v>(
    centre: &DataCentre,
    view: &LiveView,
    topology: &'v TopologySettings,
) -> Option<&'v DataCentre> {
    let region = topology.region_of(centre)?;
    let at = region.data_centres.binary_search(centre).ok()?;
    topology.serving_centre(&region.data_centres[at], |c| view.is_populated(c))
}

fn block_key(
    permits: &ServicePermits,
    target: &TargetName,
    centre: &DataCentre,
    block: u16,
) -> u64 {
    let first = permits.targets.iter().find(|(_, c)| c == centre);
    let is_first = first.is_some_and(|(name, _)| name == target);
    if permits.leads_group && is_first && block == 0 {
        return observer_key(&permits.team, &permits.group, centre);
    }
    let number = block.to_string();
    let (team, service) = (permits.team.as_str(), permits.service.as_str());
    stable_hash(&["permit", team, service, target.as_str(), &number])
}

/// A permit of a service at a target. The target is named, as indexes move when targets are added.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct PermitKey {
    /// The team.
    pub team: TeamName,
    /// The service.
    pub service: ServiceName,
    /// The target.
    pub target: TargetName,
    /// The number.
    pub permit: PermitNumber,
}

impl ServicePermits {
    /// Key of a permit at a target of the list.
    pub fn key(&self, target: TargetIndex, permit: PermitNumber) -> PermitKey {
        PermitKey {
            team: self.team.clone(),
            service: self.service.clone(),
            target: self.targets[target.as_usize()].0.clone(),
            permit,
        }
    }
}

/// What the instance has to do about a permit.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PermitAction {
    /// Connections may be opened with the permit from now on.
    Use(PermitKey),
    /// The connection of the permit has to be closed; no new one may be opened.
    Close(PermitKey),
    /// Ask this instance for the permit.
    Ask(InstanceName, PermitKey),
    /// Tell this instance that the permit is free.
    GiveBack(InstanceName, PermitKey),
}

#[derive(Debug, Clone, PartialEq, Eq)]
enum PermitState {
    /// Held by this instance in its view, but perhaps still in use elsewhere.
    Waiting { until: MonoTime },
    /// In use by this instance.
    Held { is_lent: bool },
    /// Lost in the view, but lent; given back when it is idle.
    Releasing { heir: Option<InstanceName> },
}

#[derive(Debug, Clone)]
struct PermitEntry {
    key: PermitKey,
    state: PermitState,
    hold_off: Duration,
    /// An instance that asked for the permit while it was in use here.
    asked_by: Option<InstanceName>,
}

/// The permits of one instance.
#[derive(Debug, Clone)]
pub struct PermitTable {
    own: InstanceName,
    entries: Vec<PermitEntry>,
}

impl PermitTable {
    /// A table without permits.
    pub fn new(own: InstanceName) -> Self {
        Self {
            own,
            entries: Vec::new(),
        }
    }

    /// Permits that may be used now.
    pub fn held(&self) -> impl Iterator<Item = &PermitKey> {
        self.entries
            .iter()
            .filter(|entry| matches!(entry.state, PermitState::Held { .. }))
            .map(|entry| &entry.key)
    }

    /// Whether a permit may be used now.
    pub fn is_held(&self, key: &PermitKey) -> bool {
        let held = |entry: &PermitEntry| matches!(entry.state, PermitState::Held { .. });
        self.find(key).is_some_and(|at| held(&self.entries[at]))
    }

    /// Applies new settings or a new view of members.
    ///
    /// `previous` is the view before, or none at the start; the permits of an instance that has just
    /// started come from the instances that would hold them without it.
    pub fn assign(
        &mut self,
        services: &[ServicePermits],
        view: &LiveView,
        previous: Option<&LiveView>,
        topology: &TopologySettings,
        now: MonoTime,
    ) -> Vec<PermitAction> {
        let mut actions = Vec::new();
        let own_centre = view
            .centres()
            .find(|(centre, _)| view.contains(centre, &self.own))
            .map(|(centre, _)| centre);
        let without = own_centre.map(|centre| view.without(centre, &self.own));
        let before = previous.or(without.as_ref());
        let mut wanted = Vec::new();
        for permits in services {
            for (target, permit) in own_permits(permits, &self.own, view, topology) {
                let source = before
                    .and_then(|v| permit_holder(permits, target, permit, v, topology))
                    .filter(|source| **source != self.own);
                wanted.push((permits.key(target, permit), source.cloned()));
            }
        }
        wanted.sort();
        self.drop_unwanted(&wanted, services, view, topology, &mut actions);
        let is_start = previous.is_none();
        for (key, source) in wanted {
            let is_live = |name: &InstanceName| view.centres().any(|(c, _)| view.contains(c, name));
            match self.find(&key) {
                Some(at) => self.keep(at),
                None => {
                    // At the start, a permit that no other instance can hold is free. Later, a permit
                    // without a source may still be in use by an instance that has left the view.
                    let is_free = is_start && source.is_none();
                    let is_dead = !is_start && !source.as_ref().is_some_and(&is_live);
                    let hold_off = match (is_free, is_dead) {
                        (true, _) => Duration::ZERO,
                        (false, true) => PERMIT_DEAD_HOLD_OFF,
                        (false, false) => PERMIT_HOLD_OFF,
                    };
                    let until = now + hold_off;
                    actions.extend(
                        source
                            .filter(is_live)
                            .map(|source| PermitAction::Ask(source, key.clone())),
                    );
                    self.insert(key, until);
                }
            }
        }
        actions.extend(self.tick(now));
        actions
    }

    fn drop_unwanted(
        &mut self,
        wanted: &[(PermitKey, Option<InstanceName>)],
        services: &[ServicePermits],
        view: &LiveView,
        topology: &TopologySettings,
        actions: &mut Vec<PermitAction>,
    ) {
        self.entries.retain_mut(|entry| {
            if wanted.binary_search_by(|w| w.0.cmp(&entry.key)).is_ok() {
                return true;
            }
            let heir = find_heir(&entry.key, services, view, topology).cloned();
            match &entry.state {
                PermitState::Waiting { .. } => false,
                PermitState::Held { is_lent: false } => {
                    give_up(&entry.key, heir, entry.asked_by.take(), actions);
                    false
                }
                PermitState::Held { is_lent: true } | PermitState::Releasing { .. } => {
                    entry.state = PermitState::Releasing { heir };
                    true
                }
            }
        });
    }

    /// A permit that was about to be given back is wanted again before that happened.
    fn keep(&mut self, at: usize) {
        if let PermitState::Releasing { .. } = self.entries[at].state {
            self.entries[at].state = PermitState::Held { is_lent: true };
        }
    }

    /// Notes that the connection of a permit was lent; false if the permit may not be used.
    pub fn lend(&mut self, key: &PermitKey) -> bool {
        let Some(at) = self.find(key) else {
            return false;
        };
        match &mut self.entries[at].state {
            PermitState::Held { is_lent } if !*is_lent => {
                *is_lent = true;
                true
            }
            _ => false,
        }
    }

    /// Notes that the connection of a permit is idle again.
    pub fn give_back(&mut self, key: &PermitKey) -> Vec<PermitAction> {
        let mut actions = Vec::new();
        let Some(at) = self.find(key) else {
            return actions;
        };
        match &mut self.entries[at].state {
            PermitState::Held { is_lent } => *is_lent = false,
            PermitState::Releasing { .. } => {
                let entry = self.entries.remove(at);
                if let PermitState::Releasing { heir } = entry.state {
                    give_up(&entry.key, heir, entry.asked_by, &mut actions);
                }
            }
            PermitState::Waiting { .. } => {}
        }
        actions
    }

    /// Another instance asks for a permit. One that is held here by this instance's view is kept: the
    /// other takes it over after its hold-off if the views still differ.
    pub fn asked(&mut self, from: &InstanceName, key: &PermitKey) -> Vec<PermitAction> {
        match self.find(key) {
            Some(at) if !matches!(self.entries[at].state, PermitState::Waiting { .. }) => {
                self.entries[at].asked_by = Some(from.clone());
                Vec::new()
            }
            // Not in use here: the asker may have it at once.
            _ => vec![PermitAction::GiveBack(from.clone(), key.clone())],
        }
    }

    /// Another instance says that it does not use a permit.
    pub fn given_back(&mut self, key: &PermitKey, now: MonoTime) -> Vec<PermitAction> {
        if let Some(at) = self.find(key)
            && let PermitState::Waiting { until } = &mut self.entries[at].state
        {
            *until = now;
        }
        self.tick(now)
    }

    /// The target closed the connection because a newer one named the same permit.
    ///
    /// The permit is not taken again before a hold-off, which doubles each time, so that two
    /// instances with different views do not cut each other's work in turn.
    pub fn taken_over(&mut self, key: &PermitKey, now: MonoTime) -> Vec<PermitAction> {
        let Some(at) = self.find(key) else {
            return Vec::new();
        };
        let entry = &mut self.entries[at];
        if matches!(entry.state, PermitState::Releasing { .. }) {
            self.entries.remove(at);
        } else {
            entry.hold_off = (entry.hold_off * 2).min(PERMIT_HOLD_OFF_LIMIT);
            let until = now + entry.hold_off;
            entry.state = PermitState::Waiting { until };
        }
        vec![PermitAction::Close(key.clone())]
    }

    /// Takes over the permits whose hold-off has ended.
    pub fn tick(&mut self, now: MonoTime) -> Vec<PermitAction> {
        let mut actions = Vec::new();
        for entry in &mut self.entries {
            if let PermitState::Waiting { until } = entry.state
                && until <= now
            {
                entry.state = PermitState::Held { is_lent: false };
                actions.push(PermitAction::Use(entry.key.clone()));
            }
        }
        actions
    }

    fn find(&self, key: &PermitKey) -> Option<usize> {
        self.entries.binary_search_by(|e| e.key.cmp(key)).ok()
    }

    fn insert(&mut self, key: PermitKey, until: MonoTime) {
        let at = self.entries.partition_point(|entry| entry.key < key);
        let entry = PermitEntry {
            key,
            state: PermitState::Waiting { until },
            hold_off: PERMIT_HOLD_OFF,
            asked_by: None,
        };
        self.entries.insert(at, entry);
    }
}

/// Permits of a service that `own` holds. All permits of a block have the same holder.
fn own_permits(
    permits: &ServicePermits,
    own: &InstanceName,
    view: &LiveView,
    topology: &TopologySettings,
) -> Vec<(TargetIndex, PermitNumber)> {
    let mut last: Option<(TargetIndex, Option<PermitUse>, bool)> = None;
    let mut chosen = Vec::new();
    for (target, permit) in permits.all() {
        let purpose = permits.count.use_of(permit);
        let is_own = match last {
            Some((t, p, is_own)) if t == target && p == purpose => is_own,
            _ => permit_holder(permits, target, permit, view, topology) == Some(own),
        };
        last = Some((target, purpose, is_own));
        if is_own {
            chosen.push((target, permit));
        }
    }
    chosen
}

fn find_heir<'v>(
    key: &PermitKey,
    services: &[ServicePermits],
    view: &'v LiveView,
    topology: &'v TopologySettings,
) -> Option<&'v InstanceName> {
    let is_service = |p: &&ServicePermits| p.team == key.team && p.service == key.service;
    let permits = services.iter().find(is_service)?;
    let target = permits
        .targets
        .iter()
        .position(|(name, _)| *name == key.target)?;
    let target = TargetIndex(u16::try_from(target).ok()?);
    permit_holder(permits, target, key.permit, view, topology)
}

/// Closes a permit and tells the next holder, and whoever else asked for it.
fn give_up(
    key: &PermitKey,
    heir: Option<InstanceName>,
    asked_by: Option<InstanceName>,
    actions: &mut Vec<PermitAction>,
) {
    actions.push(PermitAction::Close(key.clone()));
    let other = asked_by.filter(|name| heir.as_ref() != Some(name));
    for name in heir.into_iter().chain(other) {
        actions.push(PermitAction::GiveBack(name, key.clone()));
    }
}
