//! Ranks of instances as holders of a tenant, kept for the tenants in use.
//!
//! Ranking all instances takes about 100 µs with 2,000 of them, and the list changes often while
//! instances are restarted one after another. The first ranks of each tenant are therefore kept and
//! adjusted for single changes.

use std::sync::Arc;
use std::time::Duration;

use heatherhollow_types::MonoTime;
use heatherhollow_types::stable_hash;

use crate::holders::HolderChoice;
use crate::name::TenantName;

/// Number of ranks that are kept; more than are usually excluded at the same time.
const KEPT_RANKS: usize = 4;

/// Time after which a tenant that is not used is forgotten.
const RANKING_RETENTION: Duration = Duration::from_secs(60);

/// Returns the rank of an instance for a tenant; the instance with the lowest rank is the holder.
/// The probability of being the holder is proportional to the capacity (weighted rendezvous
/// hashing).
pub(crate) fn rank(tenant: &TenantName, instance: &str, capacity: u32) -> f64 {
    let hash = stable_hash(&[tenant.as_str(), instance]);
    let uniform = ((hash >> 11) as f64 + 0.5) / (1_u64 << 53) as f64;
    -uniform.ln() / f64::from(capacity.max(1))
}

/// The first ranks of a tenant.
#[derive(Debug)]
pub(crate) struct TenantRanking {
    /// The instances with the lowest ranks, in order; no other instance has a lower rank than the
    /// last of them.
    pub first: Vec<(f64, Arc<str>)>,
    /// Holder, and the version of the table for which it was chosen.
    pub choice: Option<(u64, HolderChoice)>,
    used: MonoTime,
}

/// Rankings by tenant.
#[derive(Debug, Default)]
pub(crate) struct RankingCache {
    /// Sorted by tenant; boxed so that an insertion moves little.
    rankings: Vec<(TenantName, Box<TenantRanking>)>,
}

impl RankingCache {
    /// Returns the ranking of a tenant. `instances` gives all instances with their capacity.
    pub fn ranking<'a, I>(
        &mut self,
        tenant: &TenantName,
        now: MonoTime,
        instances: impl FnOnce() -> I,
    ) -> &mut TenantRanking
    where
        I: Iterator<Item = (&'a Arc<str>, u32)>,
    {
        let found = self.rankings.binary_search_by(|(name, _)| name.cmp(tenant));
        let i = found.unwrap_or_else(|i| {
            let ranking = TenantRanking {
                first: Vec::new(),
                choice: None,
                used: now,
            };
            self.rankings.insert(i, (tenant.clone(), Box::new(ranking)));
            i
        });
        let ranking = &mut self.rankings[i].1;
        ranking.used = ranking.used.max(now);
        if ranking.first.is_empty() {
            for (instance, capacity) in instances() {
                insert(&mut ranking.first, tenant, instance, capacity, true);
            }
        }
        ranking
    }

    /// Adds an instance to the rankings.
    pub fn add(&mut self, instance: &Arc<str>, capacity: u32) {
        for (tenant, ranking) in &mut self.rankings {
            insert(&mut ranking.first, tenant, instance, capacity, false);
        }
    }

    /// Removes an instance from the rankings.
    pub fn remove(&mut self, instance: &str) {
        for (_, ranking) in &mut self.rankings {
            ranking.first.retain(|(_, known)| **known != *instance);
        }
    }

    /// Forgets all rankings.
    pub fn clear(&mut self) {
        self.rankings.clear();
    }

    /// Forgets tenants that were not used for a while.
    pub fn expire(&mut self, now: MonoTime) {
        self.rankings
            .retain(|(_, ranking)| now.since(ranking.used) < RANKING_RETENTION);
    }
}

/// Inserts an instance where its rank is among the first. After the last one it is inserted only if
/// the ranking is being built, as other instances may come before it otherwise.
fn insert(
    first: &mut Vec<(f64, Arc<str>)>,
    tenant: &TenantName,
    instance: &Arc<str>,
    capacity: u32,
    is_built: bool,
) {
    let rank = rank(tenant, instance, capacity);
    let i = first.partition_point(|(other, _)| *other <= rank);
    if i < first.len() || (is_built && i < KEPT_RANKS) {
        first.insert(i, (rank, instance.clone()));
        first.truncate(KEPT_RANKS);
    }
}
