//! Homes of database groups: the instance of a data centre through which its sessions reach a group.
//!
//! With many instances, each of them cannot hold connections to every target, nor ask every group for
//! its state. Each data centre therefore has one home for each group, chosen by weighted rendezvous
//! hashing over its live instances, so that all of them agree without talking to each other. An
//! instance forwards statements to the home; one that receives a forwarded statement always serves it
//! itself, so differing views cannot make a loop.
//!
//! Load that this answers: more instances than connections of a target, and observation that grows
//! with data centres instead of instances.

use std::net::SocketAddr;
use std::time::Duration;

use heatherhollow_types::DataCentre;
use heatherhollow_types::MonoTime;
use heatherhollow_types::stable_hash;

/// Another instance, as it describes itself.
#[derive(Debug, Clone, PartialEq)]
pub struct PeerEntry {
    /// Its name.
    pub instance: String,
    /// Address for forwarded statements.
    pub address: SocketAddr,
    /// Its data centre.
    pub data_centre: DataCentre,
    /// Processor share, in thousandths of a core.
    pub capacity: u32,
}

/// Instances of the own data centre, and which of them are not used for now.
#[derive(Debug, Default)]
pub(crate) struct HomeTable {
    /// Sorted by instance; includes this one.
    peers: Vec<PeerEntry>,
    /// Instances that were lost or are leaving, each with the time until which they are left out.
    avoided: Vec<(String, MonoTime)>,
}

impl HomeTable {
    /// Replaces the instances; those of other data centres are left out.
    pub fn replace(&mut self, mut peers: Vec<PeerEntry>, data_centre: &DataCentre) {
        peers.retain(|peer| peer.data_centre == *data_centre);
        peers.sort_by(|a, b| a.instance.cmp(&b.instance));
        self.peers = peers;
    }

    /// Leaves an instance out for a while.
    pub fn avoid(&mut self, instance: &str, span: Duration, now: MonoTime) {
        self.avoided.retain(|(known, _)| known != instance);
        self.avoided.push((instance.to_string(), now + span));
    }

    /// The address of an instance.
    pub fn address(&self, instance: &str) -> Option<SocketAddr> {
        let found = self
            .peers
            .binary_search_by(|peer| peer.instance.as_str().cmp(instance));
        found.ok().map(|i| self.peers[i].address)
    }

    /// The home of a group among the known instances, without those in `isolated` as long as others are
    /// left.
    pub fn home(
        &self,
        group: &str,
        isolated: &[(String, MonoTime)],
        now: MonoTime,
    ) -> Option<&PeerEntry> {
        let is_isolated = |peer: &PeerEntry| {
            isolated
                .iter()
                .any(|(known, until)| *known == peer.instance && now < *until)
        };
        self.peers
            .iter()
            .filter(|peer| {
                let is_avoided =
                    |(known, until): &(String, MonoTime)| *known == peer.instance && now < *until;
                !self.avoided.iter().any(is_avoided)
            })
            .min_by(|a, b| {
                let key = |peer| (is_isolated(peer), rank(peer, group));
                let ((a_last, a_rank), (b_last, b_rank)) = (key(a), key(b));
                a_last.cmp(&b_last).then(a_rank.total_cmp(&b_rank))
            })
    }
}

/// Time for which an instance that is cut off from a group is left out as its home.
pub(crate) const ISOLATED_AVOID_TIME: Duration = Duration::from_millis(1_500);

/// Time for which an instance to which no link could be opened is left out; it may be starting.
pub(crate) const UNOPENED_AVOID_TIME: Duration = Duration::from_millis(500);

/// Time for which an instance that was lost or is leaving is left out; about that of its stop and
/// restart, or until its lease ends.
pub(crate) const AVOID_TIME: Duration = Duration::from_secs(4);

/// Rank of an instance for a group; the lowest is the home. The chance to have it is proportional to
/// the capacity (weighted rendezvous hashing).
fn rank(peer: &PeerEntry, group: &str) -> f64 {
    let hash = stable_hash(&[group, &peer.instance]);
    let uniform = ((hash >> 11) as f64 + 0.5) / (1_u64 << 53) as f64;
    -uniform.ln() / f64::from(peer.capacity.max(1))
}
