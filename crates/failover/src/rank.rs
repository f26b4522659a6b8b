//! Order in which the observers of a group act.
//!
//! Rendezvous hashing: every observer gets a weight from the hash of group and instance, and the
//! highest weight acts first.

use heatherhollow_types::GroupName;
use heatherhollow_types::InstanceName;
use heatherhollow_types::stable_hash;

/// Rank of an instance among the observers of a group, 0 for the first; `None` if it is not one.
///
/// The order of `observers` and repeated entries make no difference.
pub fn rank_of(
    group: &GroupName,
    instance: &InstanceName,
    observers: &[InstanceName],
) -> Option<usize> {
    if !observers.contains(instance) {
        return None;
    }
    let own = (weight_of(group, instance), instance);
    let mut higher_ranked = observers
        .iter()
        .map(|observer| (weight_of(group, observer), observer))
        .filter(|&other| other > own)
        .collect::<Vec<_>>();
    higher_ranked.sort_unstable();
    higher_ranked.dedup();
    Some(higher_ranked.len())
}

fn weight_of(group: &GroupName, instance: &InstanceName) -> u64 {
    stable_hash(&["observer-rank", group.as_str(), instance.as_str()])
}
