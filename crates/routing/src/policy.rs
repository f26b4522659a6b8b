//! Settings for the choice of the target of a read.

use std::time::Duration;

/// Strategy for the choice of a target.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum RouteMode {
    /// The target with the lowest cost, where waiting for a replica adds to its cost.
    #[default]
    LowestCost,
    /// Baseline: the primary for a session that has written, otherwise the nearest replica.
    PrimaryAfterWrite,
    /// Baseline: the nearest replica that is fresh enough, otherwise the primary, without waiting.
    NearestFresh,
}

/// Settings of [`choose_route`]. Costs are durations, in the same unit as the expected answer time.
///
/// [`choose_route`]: crate::choose_route
#[derive(Debug, Clone, PartialEq)]
pub struct RoutePolicy {
    /// Strategy for the choice of a target.
    pub mode: RouteMode,
    /// Cost of a call to another region, in addition to its round trip.
    pub cross_region_cost: Duration,
    /// Smallest `max_age` of a kind of read to which `stale_tolerant_surcharge` applies.
    pub stale_tolerant_from: Duration,
    /// Additional cost of the primary for kinds that accept an age of at least
    /// `stale_tolerant_from`. At 150 ms, reads right after a write of the same session went to the
    /// primary at a constant lag of 200 ms. `max_wait` of the kind limits the wait independently.
    pub stale_tolerant_surcharge: Duration,
    /// Additional cost of the primary for other kinds.
    pub fresh_surcharge: Duration,
    /// Fraction of the primary's slots that reads may use while all replicas lag; at least one
    /// slot.
    pub primary_read_share: f64,
    /// Minimum time after which a refused caller may retry.
    pub min_retry_after: Duration,
    /// Maximum time after which a refused caller may retry.
    pub max_retry_after: Duration,
}

impl Default for RoutePolicy {
    fn default() -> Self {
        Self {
            mode: RouteMode::LowestCost,
            // Above the round trip of 16 ms between regions, so that a queue of a few statements at
            // a nearby target does not move reads to a link that is billed by volume.
            cross_region_cost: Duration::from_millis(30),
            stale_tolerant_from: Duration::from_secs(1),
            // The primary's slots are needed for writes. Callers that accept old data usually
            // tolerate a wait of the usual lag, so reads right after a write of the session wait
            // for a replica.
            stale_tolerant_surcharge: Duration::from_millis(250),
            // Callers of these kinds need recent data and tolerate only short waits.
            fresh_surcharge: Duration::from_millis(50),
            primary_read_share: 0.25,
            min_retry_after: Duration::from_millis(50),
            // About the longest failover, after which most reasons for a refusal no longer apply.
            max_retry_after: Duration::from_millis(2_500),
        }
    }
}

impl RoutePolicy {
    /// Returns the additional cost of the primary for a kind of read with this `max_age`.
    pub fn surcharge(&self, max_age: Duration) -> Duration {
        if max_age >= self.stale_tolerant_from {
            self.stale_tolerant_surcharge
        } else {
            self.fresh_surcharge
        }
    }

    /// Returns the number of concurrent reads that the primary accepts while all replicas lag.
    pub fn max_primary_reads(&self, slots: u32) -> u32 {
        ((f64::from(slots) * self.primary_read_share) as u32).max(1)
    }
}
