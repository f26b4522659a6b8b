//! Settings of lanes, and timing of the observation of groups.

use std::time::Duration;

use heatherhollow_failover::ConfirmSettings;
use heatherhollow_failover::MonitorSettings;
use heatherhollow_failover::PolicySettings;
use heatherhollow_failover::RunSettings;
use heatherhollow_limits::PoolSettings;
use heatherhollow_limits::QueueSettings;

/// Timing of the runner of a group.
#[derive(Debug, Clone, PartialEq)]
pub struct GroupTiming {
    /// Interval of status calls to a target while the group is in use.
    pub active_interval: Duration,
    /// The same while it is not.
    pub idle_interval: Duration,
    /// Pause between status calls while something waits for the target's position.
    pub waiting_interval: Duration,
    /// Time without calls after which a group counts as idle.
    pub idle_after: Duration,
    /// Longest status call.
    pub status_timeout: Duration,
    /// Longest attempt to reach a silent primary over a new connection.
    pub fresh_timeout: Duration,
    /// Interval at which silence is looked at.
    pub tick_interval: Duration,
    /// Time that a wait leaves to the near targets before far ones are asked more often, too.
    pub near_only_span: Duration,
    /// Suspicion.
    pub monitor: MonitorSettings,
    /// Start of promotions.
    pub promotion_policy: PolicySettings,
    /// One promotion.
    pub run: RunSettings,
    /// Confirmation of writes.
    pub confirm: ConfirmSettings,
}

impl Default for GroupTiming {
    fn default() -> Self {
        Self {
            active_interval: Duration::from_millis(100),
            idle_interval: Duration::from_millis(500),
            waiting_interval: Duration::from_millis(5),
            idle_after: Duration::from_secs(10),
            status_timeout: Duration::from_millis(300),
            fresh_timeout: Duration::from_millis(250),
            tick_interval: Duration::from_millis(25),
            near_only_span: Duration::from_millis(40),
            monitor: MonitorSettings::default(),
            promotion_policy: PolicySettings::default(),
            run: RunSettings::default(),
            confirm: ConfirmSettings::default(),
        }
    }
}

/// Settings of the connections to one target.
#[derive(Debug, Clone, PartialEq)]
pub struct LaneSettings {
    /// Connections.
    pub pool: PoolSettings,
    /// Waiting requests.
    pub queue: QueueSettings,
    /// Longest time to open a connection.
    pub connect_timeout: Duration,
    /// Longest round trip of a connection check.
    pub check_timeout: Duration,
}

impl Default for LaneSettings {
    fn default() -> Self {
        Self {
            pool: PoolSettings::default(),
            queue: QueueSettings::default(),
            connect_timeout: Duration::from_millis(1_000),
            check_timeout: Duration::from_millis(250),
        }
    }
}
