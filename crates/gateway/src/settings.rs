//! Settings of the gateway.

use std::time::Duration;

use heatherhollow_failover::MonitorSettings;
use heatherhollow_routing::RoutePolicy;
use heatherhollow_types::DataCentre;
use heatherhollow_types::RegionName;

/// Who and where an instance is.
#[derive(Debug, Clone)]
pub struct InstanceIdentity {
    /// Its name.
    pub name: String,
    /// Its data centre.
    pub data_centre: DataCentre,
    /// Region of each data centre, sorted by data centre.
    pub regions: Vec<(DataCentre, RegionName)>,
}

impl InstanceIdentity {
    /// Whether a data centre lies in another region, as far as it is known.
    pub fn is_remote(&self, data_centre: &DataCentre) -> bool {
        self.region(data_centre) != self.region(&self.data_centre)
    }

    fn region(&self, data_centre: &DataCentre) -> Option<&RegionName> {
        let found = self.regions.binary_search_by(|(dc, _)| dc.cmp(data_centre));
        found.ok().map(|i| &self.regions[i].1)
    }
}

/// Settings of a [`SessionGateway`](crate::SessionGateway).
#[derive(Debug, Clone)]
pub struct GatewaySettings {
    /// Choice of targets for reads.
    pub policy: RoutePolicy,
    /// Suspicion of primaries.
    pub monitor: MonitorSettings,
    /// Time between two observations of a group that is in use. Less than half of the staleness bounds
    /// in use, 1.5 s and more, so that replicas that lag by as much as the rest stay usable.
    pub observe_interval: Duration,
    /// Longest time between two observations of a group that is not in use. With it, a primary that fails
    /// unused is replaced within 9 s.
    pub idle_observe_interval: Duration,
    /// Share of failed statements from which a target counts as faulty, above what statements that are
    /// wrong themselves make up. Reads go elsewhere as long as another target can serve them.
    pub faulty_rate: f64,
    /// Targets at which a read that failed is tried.
    pub max_failed_targets: u32,
    /// Time before a read that failed at a target may go to it again; longer than any time limit.
    pub failed_backoff: Duration,
    /// Time after which a read that no target seems fresh enough for is tried at an idle replica: the
    /// estimate of its lag may be too high, and the replica checks the position.
    pub try_lagging_after: Duration,
    /// Time without an answer after which a replica is asked for its position while reads wait.
    pub probe_interval: Duration,
    /// Time after which a status call counts as unanswered; several times the round trip between
    /// regions and a full queue of one slot.
    pub status_timeout: Duration,
    /// Time after which opening a connection counts as failed.
    pub connect_timeout: Duration,
    /// Connections to one target that are opened at the same time; the opening occupies slots there.
    pub max_opening: usize,
    /// Time after which an idle connection beyond the instance's share is closed.
    pub surplus_idle_limit: Duration,
    /// Time without new connections to a target after it reported its limit.
    pub limit_backoff: Duration,
    /// Time without connections beyond the share after a target reported its limit.
    pub limit_surplus_pause: Duration,
    /// Time without connections beyond the share after the start of the instance: connections of dead
    /// instances linger for 3 s.
    pub surplus_pause: Duration,
    /// How long a client's session waits for the first configuration; clients give up after 2 s.
    pub max_start_wait: Duration,
    /// Least time after which an answer to a statement that may run again counts as lost.
    pub min_answer_wait: Duration,
    /// Such an answer counts as lost after so many times the usual time of a statement at its target.
    pub answer_wait_factor: u32,
    /// Part of a statement's time limit that it may wait for a connection; clients whose deadline is
    /// near the limit need the rest for another attempt.
    pub queue_fraction: f64,
    /// Part of its time limit up to which a statement goes on waiting while it can meet its objective; the
    /// rest is for the statement itself.
    pub objective_fraction: f64,
    /// Time before a statement is offered again after a target was busy or did not lead.
    pub busy_backoff: Duration,
    /// Time before a statement is offered again to a target that lacked its position.
    pub lag_backoff: Duration,
    /// Attempts at one statement that may fail for other reasons, as long as none of them may have run
    /// a write.
    pub max_attempts: u32,
    /// Queries of one client that wait for the answer to an earlier one.
    pub max_pipelined: usize,
    /// Prepared statements on one connection; beyond it the connection is cleared.
    pub max_prepared: usize,
    /// How long targets that are not listed any more are still used; a store that was away lists them
    /// again within two seconds of its return.
    pub missing_grace: Duration,
    /// How long a primary that is leaving still takes statements while its successor is made ready.
    pub leaving_limit: Duration,
    /// Time without evidence of leadership, or without answers of enough targets, after which statements
    /// are refused at once: clients try again at another instance, which may see more.
    pub isolation_limit: Duration,
    /// Time for which the primary's log has to be ahead of all replicas before it counts as cut off
    /// from them; several times the usual delay of replication.
    pub ahead_limit: Duration,
    /// Time without a primary after which a promotion is considered.
    pub leaderless_limit: Duration,
    /// Time limit of one step of a promotion.
    pub promotion_step_timeout: Duration,
    /// Time until an ordered promotion has to show at the target.
    pub promotion_effect_timeout: Duration,
    /// Time before another promotion of the same group is tried.
    pub promotion_backoff: Duration,
    /// Time after which a replica that is still paused counts as forgotten by its promotion.
    pub forgotten_pause: Duration,
    /// Log lines a second for statements that were not served.
    pub max_log_lines: u32,
}

/// Part of an instance's connections to a primary that reads may use while all replicas lag. Writes wait
/// in the same queue and go by urgency, so only some room for transactions is kept free.
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
            lag_backoff: Duration::from_millis(120),
            max_attempts: 4,
            max_pipelined: 64,
            max_prepared: 64,
            missing_grace: Duration::from_millis(2_500),
            leaving_limit: Duration::from_secs(4),
            isolation_limit: Duration::from_millis(1_000),
            ahead_limit: Duration::from_millis(900),
            leaderless_limit: Duration::from_millis(1_000),
            promotion_step_timeout: Duration::from_millis(500),
            promotion_effect_timeout: Duration::from_millis(2_500),
            promotion_backoff: Duration::from_millis(700),
            forgotten_pause: Duration::from_secs(4),
            max_log_lines: 40,
        }
    }
}
