//! What an instance knows of the others, and which of them to ask for what.
//!
//! Instances announce themselves over the peer links; a link that is up or down is the best evidence
//! of all. The order of candidates is by rendezvous hash, so that instances with the same view choose
//! the same ones without talking about it.

use heatherhollow_control::LiveMember;
use heatherhollow_control::LiveView;
use heatherhollow_control::group_observer;
use heatherhollow_types::DataCentre;
use heatherhollow_types::GroupName;
use heatherhollow_types::Incarnation;
use heatherhollow_types::InstanceName;
use heatherhollow_types::RegionName;
use heatherhollow_types::TeamName;

/// One instance in the view.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct MemberView {
    /// Its name.
    pub instance: InstanceName,
    /// Its run.
    pub incarnation: Incarnation,
    /// Its data centre.
    pub data_centre: DataCentre,
    /// Region of the data centre.
    pub region: RegionName,
    /// Whether it may hold connections to targets.
    pub can_hold: bool,
    /// Whether it is about to stop.
    pub is_leaving: bool,
    /// Whether a link to it is up; always so for the instance itself.
    pub is_connected: bool,
}

/// The instances that this one knows, itself included.
#[derive(Debug, Clone)]
pub struct ClusterView {
    own: InstanceName,
    /// Sorted by instance.
    members: Vec<MemberView>,
}

impl ClusterView {
    /// A view that has only the instance itself.
    pub fn new(own: MemberView) -> Self {
        Self {
            own: own.instance.clone(),
            members: vec![own],
        }
    }

    /// The instance itself.
    pub fn own(&self) -> &MemberView {
        let i = self
            .find(&self.own)
            .expect("an instance stays in its own view");
        &self.members[i]
    }

    /// All members, sorted by name.
    pub fn members(&self) -> &[MemberView] {
        &self.members
    }

    /// A member by its name.
    pub fn member(&self, instance: &InstanceName) -> Option<&MemberView> {
        self.find(instance).ok().map(|i| &self.members[i])
    }

    /// Takes what a member says of itself; returns whether that changes the view.
    pub fn announce(&mut self, member: MemberView) -> bool {
        match self.find(&member.instance) {
            Ok(i) if self.members[i].incarnation > member.incarnation => false,
            Ok(i) => {
                let is_changed = self.members[i] != member;
                self.members[i] = member;
                is_changed
            }
            Err(i) => {
                self.members.insert(i, member);
                true
            }
        }
    }

    /// Records that a link came up or went down; returns whether that changes the view.
    pub fn set_connected(&mut self, instance: &InstanceName, is_connected: bool) -> bool {
        if *instance == self.own {
            return false;
        }
        let Ok(i) = self.find(instance) else {
            return false;
        };
        let is_changed = self.members[i].is_connected != is_connected;
        self.members[i].is_connected = is_connected;
        is_changed
    }

    /// Records that this instance is about to stop.
    pub fn set_leaving(&mut self) {
        let i = self
            .find(&self.own)
            .expect("an instance stays in its own view");
        self.members[i].is_leaving = true;
    }

    /// The members that can take on roles, by data centre.
    pub fn live(&self) -> LiveView {
        LiveView::new(self.usable().map(|member| {
            let live = LiveMember::new(member.instance.clone(), member.incarnation);
            (member.data_centre.clone(), live)
        }))
    }

    /// Observers of a group: one in each data centre with a target that has a usable member.
    pub fn observers(
        &self,
        team: &TeamName,
        group: &GroupName,
        centres: &[DataCentre],
    ) -> Vec<InstanceName> {
        let live = self.live();
        let observers = centres
            .iter()
            .filter_map(|c| group_observer(team, group, c, &live));
        observers.cloned().collect()
    }

    /// Members to ask to coordinate a call, best first: observers in the own data centre, then in the
    /// own region, then elsewhere.
    pub fn coordinators(
        &self,
        team: &TeamName,
        group: &GroupName,
        centres: &[DataCentre],
    ) -> Vec<InstanceName> {
        let own = self.own();
        let mut observers = self.observers(team, group, centres);
        observers.sort_by_key(|instance| {
            let member = self.member(instance);
            let is_far = member.is_none_or(|member| member.data_centre != own.data_centre);
            let is_foreign = member.is_none_or(|member| member.region != own.region);
            (is_foreign, is_far)
        });
        observers
    }

    /// Members that can be reached and that may hold connections.
    pub fn usable(&self) -> impl Iterator<Item = &MemberView> {
        self.members
            .iter()
            .filter(|member| member.can_hold && !member.is_leaving && member.is_connected)
    }

    fn find(&self, instance: &InstanceName) -> Result<usize, usize> {
        self.members
            .binary_search_by(|member| member.instance.cmp(instance))
    }
}
