//! Rendezvous ranking: every instance computes the same order of members for a key from its view.
//!
//! A member's score for a key does not depend on the other members, so a member that comes or goes
//! moves only what it gains or loses.

use heatherhollow_types::DataCentre;
use heatherhollow_types::GroupName;
use heatherhollow_types::Incarnation;
use heatherhollow_types::InstanceName;
use heatherhollow_types::RegionName;
use heatherhollow_types::TeamName;
use heatherhollow_types::mix_bits;
use heatherhollow_types::stable_hash;

use crate::settings::TopologySettings;

/// Relays of a data centre.
pub const RELAYS_PER_CENTRE: usize = 2;

/// Instances of a data centre that watch the key-value service.
pub const WATCHERS_PER_CENTRE: usize = 2;

/// A member that may take on roles.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LiveMember {
    /// Its name.
    pub name: InstanceName,
    /// Its run.
    pub incarnation: Incarnation,
    name_hash: u64,
}

impl LiveMember {
    /// A member with the hash of its name.
    pub fn new(name: InstanceName, incarnation: Incarnation) -> Self {
        let name_hash = stable_hash(&[name.as_str()]);
        Self {
            name,
            incarnation,
            name_hash,
        }
    }

    /// Score of the member for the hash of a key.
    pub fn score(&self, key: u64) -> u64 {
        mix_bits(key ^ self.name_hash)
    }
}

/// The members that one instance takes for live, by data centre.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct LiveView {
    centres: Vec<(DataCentre, Vec<LiveMember>)>,
}

impl LiveView {
    /// A view of these members.
    pub fn new(members: impl IntoIterator<Item = (DataCentre, LiveMember)>) -> Self {
        let mut view = Self::default();
        for (centre, member) in members {
            let at = match view.centres.binary_search_by(|(c, _)| c.cmp(&centre)) {
                Ok(at) => at,
                Err(at) => {
                    view.centres.insert(at, (centre, Vec::new()));
                    at
                }
            };
            view.centres[at].1.push(member);
        }
        for (_, members) in &mut view.centres {
            members.sort_by(|a, b| a.name.cmp(&b.name));
            members.dedup_by(|a, b| a.name == b.name);
        }
        view
    }

    /// Members of a data centre, sorted by name.
    pub fn members(&self, centre: &DataCentre) -> &[LiveMember] {
        let found = self.centres.binary_search_by(|(c, _)| c.cmp(centre));
        found.map_or(&[], |at| &self.centres[at].1)
    }

    /// Data centres with their members.
    pub fn centres(&self) -> impl Iterator<Item = (&DataCentre, &[LiveMember])> {
        self.centres
            .iter()
            .map(|(c, members)| (c, members.as_slice()))
    }

    /// Whether the data centre has a member.
    pub fn is_populated(&self, centre: &DataCentre) -> bool {
        !self.members(centre).is_empty()
    }

    /// Whether the member is in the view.
    pub fn contains(&self, centre: &DataCentre, name: &InstanceName) -> bool {
        let members = self.members(centre);
        members.binary_search_by(|m| m.name.cmp(name)).is_ok()
    }

    /// Number of members.
    pub fn len(&self) -> usize {
        self.centres.iter().map(|(_, members)| members.len()).sum()
    }

    /// Whether there is no member.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// The view without one member.
    pub fn without(&self, centre: &DataCentre, name: &InstanceName) -> Self {
        let mut view = self.clone();
        if let Ok(at) = view.centres.binary_search_by(|(c, _)| c.cmp(centre)) {
            view.centres[at].1.retain(|member| &member.name != name);
        }
        view
    }
}

/// The member with the highest score for a key.
pub fn best_member(members: &[LiveMember], key: u64) -> Option<&LiveMember> {
    members.iter().max_by_key(|m| (m.score(key), &m.name))
}

/// The `count` members with the highest scores for a key, best first.
pub fn ranked_members(members: &[LiveMember], key: u64, count: usize) -> Vec<&LiveMember> {
    let mut ranked: Vec<_> = members.iter().map(|m| (m.score(key), m)).collect();
    let by_rank =
        |a: &(u64, &LiveMember), b: &(u64, &LiveMember)| (b.0, &b.1.name).cmp(&(a.0, &a.1.name));
    if ranked.len() > count && count > 0 {
        ranked.select_nth_unstable_by(count - 1, by_rank);
    }
    ranked.truncate(count);
    ranked.sort_by(by_rank);
    ranked.into_iter().map(|(_, member)| member).collect()
}

/// Relays of a data centre, by rendezvous rank.
pub fn centre_relays<'v>(view: &'v LiveView, centre: &DataCentre) -> Vec<&'v LiveMember> {
    let key = stable_hash(&["relay", centre.as_str()]);
    ranked_members(view.members(centre), key, RELAYS_PER_CENTRE)
}

/// Relays of a data centre by longest uptime, as an alternative that the slopes program measures.
///
/// The lowest incarnation started first. After the monotone utility of J. Sacha et al.,
/// "Decentralising a service-oriented architecture" (2009).
pub fn relays_by_uptime<'v>(view: &'v LiveView, centre: &DataCentre) -> Vec<&'v LiveMember> {
    let mut members: Vec<_> = view.members(centre).iter().collect();
    members.sort_by_key(|m| (m.incarnation, &m.name));
    members.truncate(RELAYS_PER_CENTRE);
    members
}

/// Instances of a data centre that watch the key-value service.
pub fn store_watchers<'v>(view: &'v LiveView, centre: &DataCentre) -> Vec<&'v LiveMember> {
    let key = stable_hash(&["watch", centre.as_str()]);
    ranked_members(view.members(centre), key, WATCHERS_PER_CENTRE)
}

/// The relay of `region` that stands at its end of the link to `other`, and the one in reserve.
///
/// The reserve is in another data centre if the region has one.
pub fn link_ends<'v>(
    view: &'v LiveView,
    topology: &'v TopologySettings,
    region: &RegionName,
    other: &RegionName,
) -> Vec<(&'v DataCentre, &'v LiveMember)> {
    let key = stable_hash(&["link", region.as_str(), other.as_str()]);
    let found = topology.regions.iter().find(|r| &r.name == region);
    let centres = found.map_or(&[][..], |r| &r.data_centres);
    let mut ends: Vec<_> = centres
        .iter()
        .flat_map(|c| centre_relays(view, c).into_iter().map(move |m| (c, m)))
        .collect();
    ends.sort_by_key(|(_, m)| std::cmp::Reverse((m.score(key), &m.name)));
    // The best relay of each data centre comes before the second ones.
    let mut firsts: Vec<(&DataCentre, &LiveMember)> = Vec::new();
    let mut seconds = Vec::new();
    for end in ends {
        if firsts.iter().any(|first| first.0 == end.0) {
            seconds.push(end);
        } else {
            firsts.push(end);
        }
    }
    firsts.extend(seconds);
    firsts
}

/// Key of the observer of a group in a data centre.
pub(crate) fn observer_key(team: &TeamName, group: &GroupName, centre: &DataCentre) -> u64 {
    stable_hash(&["observer", team.as_str(), group.as_str(), centre.as_str()])
}

/// The observer of a group in a data centre that has a target of it.
pub fn group_observer<'v>(
    team: &TeamName,
    group: &GroupName,
    centre: &DataCentre,
    view: &'v LiveView,
) -> Option<&'v InstanceName> {
    let key = observer_key(team, group, centre);
    best_member(view.members(centre), key).map(|member| &member.name)
}
