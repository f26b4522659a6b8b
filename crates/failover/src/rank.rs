//! Order in which the observers of a group act.
//!
//! Rendezvous hashing: every observer gets a weight from the hash of group and instance, and the
//! highest weight acts first. The hash is FNV-1a (64 bit) with the finaliser of SplitMix64; both are
//! fixed algorithms, because instances of different builds must agree on the order, which the standard
//! library's hasher does not promise.

use heatherhollow_types::GroupName;
use heatherhollow_types::InstanceName;

const FNV_OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
const FNV_PRIME: u64 = 0x0000_0100_0000_01b3;

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
    let mut earlier = observers
        .iter()
        .map(|observer| (weight_of(group, observer), observer))
        .filter(|&other| other > own)
        .collect::<Vec<_>>();
    earlier.sort_unstable();
    earlier.dedup();
    Some(earlier.len())
}

fn weight_of(group: &GroupName, instance: &InstanceName) -> u64 {
    let mut hash = FNV_OFFSET;
    // The separator is not a name character, so that ("a", "bc") and ("ab", "c") differ.
    let bytes = group
        .as_str()
        .bytes()
        .chain([0])
        .chain(instance.as_str().bytes());
    for byte in bytes {
        hash = (hash ^ u64::from(byte)).wrapping_mul(FNV_PRIME);
    }
    // FNV-1a alone leaves the high bits of names that differ only at the end nearly equal.
    hash = (hash ^ (hash >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    hash = (hash ^ (hash >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    hash ^ (hash >> 31)
}
