//! Settings of the choice of a target.

use std::time::Duration;

/// How a target is chosen.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum RouteMode {
    /// The lowest cost, with waiting for a replica.
    #[default]
    LowestCost,
    /// Baseline: the primary for a session that has written, else the nearest replica.
    PrimaryAfterWrite,
    /// Baseline: the nearest replica that is fresh enough, else the primary, without waiting.
    NearestFresh,
}

/// Settings of [`choose_route`]; durations that are not times of refusal are costs.
///
/// [`choose_route`]: crate::choose_route
#[derive(Debug, Clone, PartialEq)]
pub struct RoutePolicy {
    /// How a target is chosen.
    pub mode: RouteMode,
    /// Cost of a call to another region, besides its round trip.
    pub cross_region_cost: Duration,
    /// Least `max_age` of the kinds of read that `stale_tolerant_surcharge` applies to.
    pub stale_tolerant_from: Duration,
    /// Cost of the primary for kinds that accept an age of at least `stale_tolerant_from`. With 150 ms a session
    /// that reads right after its write went to the primary at a constant lag of 200 ms; `max_wait` of
    /// the kind bounds the wait in any case.
    pub stale_tolerant_surcharge: Duration,
    /// Cost of the primary for other kinds.
    pub fresh_surcharge: Duration,
    /// Part of the primary's slots for reads while all replicas lag; at least one slot.
    pub primary_read_share: f64,
    /// Least time after which a refused caller may come back.
    pub min_retry_after: Duration,
    /// Greatest time after which a refused caller may come back.
    pub max_retry_after: Duration,
}

impl Default for RoutePolicy {
    fn default() -> Self {
        Self {
            mode: RouteMode::LowestCost,
            // Above the round trip of 16 ms between regions, so that a queue of a few statements at a
            // near target does not move reads over a link that is paid for by volume.
            cross_region_cost: Duration::from_millis(30),
            stale_tolerant_from: Duration::from_secs(1),
            // The primary's slots are needed for writes. A caller that accepts old data rarely minds a
            // wait of the usual lag, so reads right after an own write wait for a replica for that long.
            stale_tolerant_surcharge: Duration::from_millis(250),
            // Callers of these kinds need present data and mind a wait more.
            fresh_surcharge: Duration::from_millis(50),
            primary_read_share: 0.25,
            min_retry_after: Duration::from_millis(50),
            // About the greatest failover gap, after which most reasons of a refusal are gone.
            max_retry_after: Duration::from_millis(2_500),
        }
    }
}

impl RoutePolicy {
    /// Cost of the primary for a kind of read.
    pub fn surcharge(&self, max_age: Duration) -> Duration {
        if max_age >= self.stale_tolerant_from {
            self.stale_tolerant_surcharge
        } else {
            self.fresh_surcharge
        }
    }

    /// Number of reads that the primary takes while all replicas lag.
    pub fn max_primary_reads(&self, slots: u32) -> u32 {
        ((f64::from(slots) * self.primary_read_share) as u32).max(1)
    }
}
