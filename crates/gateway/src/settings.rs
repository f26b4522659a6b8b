//! Settings of the gateway.

use std::time::Duration;

use heatherhollow_failover::MonitorSettings;
use heatherhollow_routing::RoutePolicy;
use heatherhollow_tenants::QuotaSettings;
use heatherhollow_types::DataCentre;
use heatherhollow_types::RegionName;

/// Name and location of an instance.
#[derive(Debug, Clone)]
pub struct InstanceIdentity {
    /// Name of the instance.
    pub name: String,
    /// Data centre of the instance.
    pub data_centre: DataCentre,
    /// Region of each data centre, sorted by data centre.
    pub regions: Vec<(DataCentre, RegionName)>,
}

impl InstanceIdentity {
    /// Returns whether a data centre is in another region than the instance, as far as is known.
    pub fn is_remote(&self, data_centre: &DataCentre) -> bool {
        self.region(data_centre) != self.region(&self.data_centre)
    }

    /// Returns the data centres of the instance's region, sorted; only its own if the region is not
    /// known.
    pub(crate) fn region_data_centres(&self) -> Vec<DataCentre> {
        let own = self.region(&self.data_centre);
        let of_region = self.regions.iter();
        let of_region = of_region.filter(|(_, region)| Some(region) == own);
        let mut data_centres = of_region.map(|(dc, _)| dc.clone()).collect::<Vec<_>>();
        if let Err(i) = data_centres.binary_search(&self.data_centre) {
            data_centres.insert(i, self.data_centre.clone());
        }
        data_centres
    }

    /// Returns the first data centre of the region of a data centre, which stands for the region;
    /// the data centre itself if its region is not known.
    pub(crate) fn first_of_region<'a>(&'a self, data_centre: &'a DataCentre) -> &'a DataCentre {
        let region = self.region(data_centre);
        let mut of_region = self.regions.iter().filter(|(_, r)| Some(r) == region);
        of_region.next().map_or(data_centre, |(first, _)| first)
    }

    fn region(&self, data_centre: &DataCentre) -> Option<&RegionName> {
        let found = self.regions.binary_search_by(|(dc, _)| dc.cmp(data_centre));
        found.ok().map(|i| &self.regions[i].1)
    }
}

/// Settings of a [`SessionGateway`](crate::SessionGateway).
#[derive(Debug, Clone)]
pub struct GatewaySettings {
    /// Policy by which targets are chosen for reads.
    pub policy: RoutePolicy,
    /// Settings of the monitors that detect failed primaries.
    pub monitor: MonitorSettings,
    /// Interval of status calls for a group that is in use. It is less than half of the smallest
    /// staleness bound in use, 1.5 s, so that replicas whose lag is within the rest stay usable.
    pub observe_interval: Duration,
    /// Longest interval of status calls for a group that is not in use. With this interval, a
    /// primary that fails while it is not in use is replaced within 9 s.
    pub idle_observe_interval: Duration,
    /// Fraction of failed statements from which a target counts as faulty. It is above the fraction
    /// of statements that fail by their own fault. Reads avoid a faulty target as long as another
    /// one can serve them.
    pub faulty_rate: f64,
    /// Number of targets at which a failing read is tried.
    pub max_failed_targets: u32,
    /// Time before a read that failed at a target may be sent there again; longer than any time
    /// limit of a statement.
    pub failed_backoff: Duration,
    /// Time after which a read is tried at an idle replica although no target seems fresh enough:
    /// the estimate of the lag may be too high, and the replica checks the required position.
    pub try_lagging_after: Duration,
    /// Time without an answer after which a replica is sent a status call while reads wait for its
    /// position.
    pub probe_interval: Duration,
    /// Time after which a status call counts as unanswered; several times the sum of a round trip
    /// between regions and the wait in a full queue of one slot.
    pub status_timeout: Duration,
    /// Time after which opening a connection counts as failed.
    pub connect_timeout: Duration,
    /// Number of connections to one target that are opened at the same time; opening a connection
    /// occupies a slot at the target.
    pub max_opening: usize,
    /// Time after which an idle connection beyond the instance's share is closed.
    pub surplus_idle_limit: Duration,
    /// Time without new connections to a target after it reported its limit.
    pub limit_backoff: Duration,
    /// Time without connections beyond the share after a target reported its limit.
    pub limit_surplus_pause: Duration,
    /// Time without connections beyond the share after a target is first listed, as at the start of
    /// the instance: connections of failed instances stay open at the target for 3 s.
    pub surplus_pause: Duration,
    /// Time that the start of a session waits for the first catalog; clients abandon the start
    /// after 2 s.
    pub max_start_wait: Duration,
    /// Shortest time after which the answer to a repeatable statement counts as lost.
    pub min_answer_wait: Duration,
    /// Multiple of the mean time of a statement at the target after which the answer to a
    /// repeatable statement counts as lost.
    pub answer_wait_factor: u32,
    /// Fraction of its time limit that a statement may always wait for a connection. Clients whose
    /// deadline is near the time limit need the rest for a retry.
    pub queue_fraction: f64,
    /// Fraction of its time limit that a statement may wait for a connection within its latency
    /// objective. The rest is for running the statement.
    pub objective_fraction: f64,
    /// Time before a statement is sent again after a target was busy or was not the primary.
    pub busy_backoff: Duration,
    /// Time before a statement is sent again to a target whose log lacked the required position.
    pub lag_backoff: Duration,
    /// Number of attempts at one statement that may fail for other reasons, provided that none of
    /// them may have run a write.
    pub max_attempts: u32,
    /// Number of queries of one client that may wait for the answer to an earlier one.
    pub max_pipelined: usize,
    /// Number of prepared statements on one connection; at this number, the connection is cleared
    /// before another statement is prepared.
    pub max_prepared: usize,
    /// Time for which a target stays in use after its entry was removed. After an outage of the
    /// store, targets are listed again within 2 s.
    pub missing_grace: Duration,
    /// Time for which a draining primary still takes statements while its successor is prepared.
    pub leaving_limit: Duration,
    /// Time without evidence that the primary leads, or without answers of enough targets, after
    /// which statements are refused at once. Clients then retry at another instance, which may
    /// reach more targets.
    pub isolation_limit: Duration,
    /// Time for which the log of the primary must be ahead of all replicas before the primary
    /// counts as cut off from them; several times the usual replication delay.
    pub ahead_limit: Duration,
    /// Time for which all replicas of a group must have been held back while statements wait before
    /// another target is made the primary.
    pub shortage_limit: Duration,
    /// Time without a primary after which a promotion is considered.
    pub leaderless_limit: Duration,
    /// Time limit of one step of a promotion.
    pub promotion_step_timeout: Duration,
    /// Time limit for an ordered promotion to take effect at the target.
    pub promotion_effect_timeout: Duration,
    /// Time before another promotion of the same group is attempted.
    pub promotion_backoff: Duration,
    /// Time after which a pause of a replica counts as left over from an abandoned promotion.
    pub forgotten_pause: Duration,
    /// Maximum number of log lines about statements in a second.
    pub max_log_lines: u32,
    /// Time after which the removal of a key must be in force; `None` if revocation is not strict.
    pub revocation_limit: Option<Duration>,
    /// Bounds and times of the quotas of tenants.
    pub quota: QuotaSettings,
}

/// Fraction of an instance's connections to a primary that reads may use while all replicas lag.
/// Writes wait in the same queue and are ordered by urgency, so only some connections are reserved
/// for transactions.
const PRIMARY_READ_SHARE: f64 = 0.67;

impl Default for GatewaySettings {
    fn default() -> Self {
        Self {
            policy: RoutePolicy {
                primary_read_share: PRIMARY_READ_SHARE,
                ..RoutePolicy::default()
            },
            monitor: MonitorSettings::default(),
            observe_interval: Duration::from_millis(650),
            idle_observe_interval: Duration::from_secs(5),
            faulty_rate: 0.2,
            max_failed_targets: 3,
            failed_backoff: Duration::from_secs(60),
            try_lagging_after: Duration::from_millis(60),
            probe_interval: Duration::from_millis(300),
            status_timeout: Duration::from_millis(400),
            connect_timeout: Duration::from_millis(600),
            max_opening: 2,
            surplus_idle_limit: Duration::from_millis(1_000),
            limit_backoff: Duration::from_millis(300),
            limit_surplus_pause: Duration::from_millis(800),
            surplus_pause: Duration::from_millis(3_500),
            max_start_wait: Duration::from_millis(1_500),
            min_answer_wait: Duration::from_millis(250),
            answer_wait_factor: 8,
            queue_fraction: 0.6,
            objective_fraction: 0.8,
            busy_backoff: Duration::from_millis(20),
            lag_backoff: Duration::from_millis(60),
            max_attempts: 4,
            max_pipelined: 64,
            max_prepared: 64,
            missing_grace: Duration::from_millis(2_500),
            leaving_limit: Duration::from_secs(4),
            isolation_limit: Duration::from_millis(1_000),
            ahead_limit: Duration::from_millis(900),
            shortage_limit: Duration::from_millis(300),
            leaderless_limit: Duration::from_millis(1_000),
            promotion_step_timeout: Duration::from_millis(500),
            promotion_effect_timeout: Duration::from_millis(2_500),
            promotion_backoff: Duration::from_millis(700),
            forgotten_pause: Duration::from_secs(4),
            max_log_lines: 40,
            revocation_limit: None,
            quota: QuotaSettings::default(),
        }
    }
}
