//! What observers do: status messages to targets, and positions for holders of permits.

use prost::Message;

use heatherhollow_control::GroupObservation;
use heatherhollow_control::GroupSettings;
use heatherhollow_control::LiveView;
use heatherhollow_control::ServicePermits;
use heatherhollow_control::TeamSettings;
use heatherhollow_control::group_observer;
use heatherhollow_control::permit_holder;
use heatherhollow_types::InstanceName;
use heatherhollow_types::PermitNumber;
use heatherhollow_types::TargetIndex;

use crate::slopes_plan::Deployment;
use crate::slopes_plan::index_of;

/// Question of an observer to a target.
#[derive(Clone, PartialEq, Message)]
pub struct StatusCall {
    #[prost(uint32, tag = "1")]
    pub sequence: u32,
    #[prost(uint64, tag = "2")]
    pub term: u64,
}

/// Answer of a target.
#[derive(Clone, PartialEq, Message)]
pub struct StatusAnswer {
    #[prost(uint32, tag = "1")]
    pub sequence: u32,
    #[prost(uint64, tag = "2")]
    pub term: u64,
    #[prost(uint64, tag = "3")]
    pub promised: u64,
    #[prost(uint64, tag = "4")]
    pub position: u64,
    #[prost(bool, tag = "5")]
    pub is_primary: bool,
    #[prost(uint32, tag = "6")]
    pub heard_ms: u32,
}

/// A target that an observer probes.
#[derive(Debug, Clone, Copy)]
pub struct Probed {
    pub is_primary: bool,
    /// In the observer's data centre, where its own statements replace probes under load.
    pub is_near: bool,
}

/// The groups that a node observes.
#[derive(Debug, Clone, Default)]
pub struct ObserverRole {
    pub groups: usize,
    /// Targets that it probes: those of its data centre and the primary of each group.
    pub probed: Vec<Probed>,
    /// Holders of further blocks of permits, each with the positions that it is sent.
    pub informed: Vec<(InstanceName, Vec<GroupObservation>)>,
}

/// The role of each node.
pub fn observer_roles(deployment: &Deployment) -> Vec<ObserverRole> {
    let view = deployment.view();
    let mut roles = vec![ObserverRole::default(); deployment.nodes.len()];
    for (team, group) in deployment.groups() {
        for centre in group.data_centres() {
            let Some(name) = group_observer(&team.team, &group.name, &centre, &view) else {
                continue;
            };
            let role = &mut roles[index_of(name.as_str())];
            role.groups += 1;
            for (i, target) in group.targets.iter().enumerate() {
                let (is_primary, is_near) = (i == 0, target.data_centre == centre);
                if is_primary || is_near {
                    role.probed.push(Probed {
                        is_primary,
                        is_near,
                    });
                }
                if is_near {
                    inform_holders(role, name, deployment, team, group, i, &view);
                }
            }
        }
    }
    roles
}

/// Holders of the second and later blocks of a target get its positions from the observer.
fn inform_holders(
    role: &mut ObserverRole,
    observer: &InstanceName,
    deployment: &Deployment,
    team: &TeamSettings,
    group: &GroupSettings,
    target: usize,
    view: &LiveView,
) {
    let service = team.services.iter().find(|s| s.group == group.name);
    let Some(permits) = service.and_then(|s| ServicePermits::new(team, s)) else {
        return;
    };
    let index = TargetIndex(target as u16);
    for block in 1..permits.count.blocks() {
        let first = PermitNumber(permits.count.block_range(block).start);
        let holder = permit_holder(&permits, index, first, view, &deployment.topology);
        let Some(holder) = holder.filter(|name| *name != observer) else {
            continue;
        };
        let found = role.informed.iter().position(|(name, _)| name == holder);
        let at = found.unwrap_or_else(|| {
            role.informed.push((holder.clone(), Vec::new()));
            role.informed.len() - 1
        });
        role.informed[at].1.push(GroupObservation {
            team: team.team.to_string(),
            group: group.name.to_string(),
            target: target as u32,
            term: 12,
            position: 40_000_000,
            age_ms: 250,
            is_primary: target == 0,
        });
    }
}
