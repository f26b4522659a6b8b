//! Order in which the observers of a group start promotions.
//!
//! The order comes from rendezvous hashing: the weight of an observer is the hash of group and
//! instance, and the observer with the highest weight has rank 0.

use heatherhollow_types::GroupName;
use heatherhollow_types::InstanceName;
use heatherhollow_types::stable_hash;

/// Returns the rank of an instance among the observers of a group, starting at 0, or `None` if the
/// instance is not in `observers`.
///
/// The result depends neither on the order of `observers` nor on duplicate entries.
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
