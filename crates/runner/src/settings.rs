//! Settings of an instance that serves sessions.

use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::time::Duration;

use heatherhollow_gateway::InstanceIdentity;

/// Settings of an instance.
#[derive(Debug, Clone)]
pub struct InstanceSettings {
    /// Who and where it is.
    pub identity: InstanceIdentity,
    /// Address for clients.
    pub client_listen: SocketAddr,
    /// Address for other instances.
    pub link_listen: SocketAddr,
    /// Processor share, in thousandths of a core.
    pub capacity: u32,
    /// Address of the readiness probe and the metrics.
    pub status_listen: SocketAddr,
    /// Path of the readiness probe.
    pub ready_path: String,
    /// Path of the metrics.
    pub metrics_path: String,
    /// Time between the request to stop and the end of the process.
    pub stop_grace: Duration,
    /// Time after which a target that is leaving must not get new work.
    pub drain_bound: Duration,
    /// Time until two readiness probes have failed and no new sessions arrive; the platform probes once
    /// a second.
    pub leave_notice: Duration,
    /// Longest wait of a watch. An answer that is lost is noticed after it and 1.5 s more; instances that
    /// cannot be reached count as out of touch for as long.
    pub watch_wait: Duration,
    /// Lease of the promotion duty. Long enough for the steps of a promotion, short enough that the
    /// duty of a dead instance is free soon.
    pub duty_lease: Duration,
    /// Lease of the instance's own entry. As long as instances stay known after their entries lapse;
    /// links show sooner that one is gone.
    pub member_lease: Duration,
    /// Lease of a place among the readers of the store; a dead reader's place is free after it.
    pub reader_lease: Duration,
}

impl Default for InstanceSettings {
    fn default() -> Self {
        let any = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        Self {
            identity: InstanceIdentity {
                name: "instance-1".to_string(),
                data_centre: "local".parse().expect("a constant name is valid"),
                regions: Vec::new(),
            },
            client_listen: any,
            link_listen: any,
            capacity: 1_000,
            status_listen: any,
            ready_path: "/ready".to_string(),
            metrics_path: "/metrics".to_string(),
            stop_grace: Duration::from_secs(6),
            drain_bound: Duration::from_secs(7),
            leave_notice: Duration::from_millis(2_200),
            watch_wait: Duration::from_secs(4),
            duty_lease: Duration::from_millis(2_500),
            member_lease: Duration::from_secs(15),
            reader_lease: Duration::from_secs(8),
        }
    }
}
