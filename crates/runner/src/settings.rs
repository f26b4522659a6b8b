//! Settings of an instance that serves sessions.

use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::time::Duration;

use heatherhollow_gateway::InstanceIdentity;
use heatherhollow_types::RegionName;

use crate::client_budget::ClientLimits;
use crate::known_readers::PlaceScope;
use crate::known_readers::ReaderValue;
use crate::proof::max_watch_wait;

/// Settings of an instance.
#[derive(Debug, Clone)]
pub struct InstanceSettings {
    /// Name and location of the instance.
    pub identity: InstanceIdentity,
    /// Address to listen on for clients.
    pub client_listen: SocketAddr,
    /// Address to listen on for links of other instances.
    pub link_listen: SocketAddr,
    /// CPU share, in thousandths of a core.
    pub capacity: u32,
    /// Address to listen on for the readiness probe and the metrics.
    pub status_listen: SocketAddr,
    /// HTTP path of the readiness probe.
    pub ready_path: String,
    /// HTTP path of the metrics.
    pub metrics_path: String,
    /// Maximum time between the signal to stop and the end of the process.
    pub stop_grace: Duration,
    /// Time after which a draining target must not get new statements.
    pub drain_limit: Duration,
    /// Time from the signal to stop until idle sessions are closed. In this time two readiness
    /// probes fail, as the platform probes once a second, and no new sessions arrive any more.
    pub stop_notice: Duration,
    /// Maximum time that a watch call on the store waits for changes. A lost call is detected 1 s
    /// later. The sum must stay below the 4 s after an outage of the store after which the operators
    /// expect configurations in force.
    pub max_watch_wait: Duration,
    /// Time after which the removal of a key must be in force, also while the store cannot be
    /// reached; `None` if revocation is not strict. Watch calls wait for a fraction of it at most.
    pub revocation_limit: Option<Duration>,
    /// Lease of the promotion duty. It is long enough for the steps of a promotion, and short
    /// enough that another instance can soon take over the duty of a crashed one.
    pub duty_lease: Duration,
    /// Lease of the instance's own entry in the store. It equals the time for which an instance
    /// stays in the list after its entry expires; links detect a crashed instance sooner.
    pub member_lease: Duration,
    /// Lease of a place among the readers of the store. The place of a crashed reader is free after
    /// it.
    pub reader_lease: Duration,
    /// Memory and descriptors that clients may take together.
    pub client_limits: ClientLimits,
    /// Time limits of each client.
    pub client_timeouts: ClientTimeouts,
}

/// Time limits after which the connection of a client is closed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ClientTimeouts {
    /// Time from the connection to the start of the session.
    pub start: Duration,
    /// Time from the first byte of a line to its end.
    pub line: Duration,
    /// Time in which a client reads none of a waiting answer.
    pub read: Duration,
}

impl Default for ClientTimeouts {
    fn default() -> Self {
        Self {
            start: Duration::from_secs(10),
            line: Duration::from_secs(30),
            read: Duration::from_secs(30),
        }
    }
}

impl Default for InstanceSettings {
    fn default() -> Self {
        let any_port = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        Self {
            identity: InstanceIdentity {
                name: "instance-1".to_string(),
                data_centre: "local".parse().expect("a constant name is valid"),
                regions: Vec::new(),
            },
            client_listen: any_port,
            link_listen: any_port,
            capacity: 1_000,
            status_listen: any_port,
            ready_path: "/ready".to_string(),
            metrics_path: "/metrics".to_string(),
            stop_grace: Duration::from_secs(6),
            drain_limit: Duration::from_secs(7),
            stop_notice: Duration::from_millis(2_200),
            max_watch_wait: Duration::from_secs(2),
            revocation_limit: None,
            duty_lease: Duration::from_millis(2_500),
            member_lease: Duration::from_secs(15),
            reader_lease: Duration::from_secs(8),
            client_limits: ClientLimits::default(),
            client_timeouts: ClientTimeouts::default(),
        }
    }
}

impl InstanceSettings {
    /// Returns the longest time that a watch call waits for changes.
    pub(crate) fn watch_wait(&self) -> Duration {
        let wait = self.max_watch_wait;
        self.revocation_limit
            .map_or(wait, |limit| wait.min(max_watch_wait(limit)))
    }

    /// Returns the region whose instances share reader places; `None` without strict revocation, or
    /// if the instance's region is not known.
    ///
    /// With strict revocation watches are shorter, so each reader costs more calls.
    fn reader_region(&self) -> Option<&RegionName> {
        self.revocation_limit?;
        let InstanceIdentity {
            data_centre,
            regions,
            ..
        } = &self.identity;
        let found = regions.binary_search_by(|(known, _)| known.cmp(data_centre));
        found.ok().map(|i| &regions[i].1)
    }

    /// Returns the reader places that the instance may take.
    pub(crate) fn place_scope(&self) -> PlaceScope {
        match self.reader_region() {
            Some(region) => PlaceScope::of_region(region),
            None => PlaceScope::of_data_centre(&self.identity.data_centre),
        }
    }

    /// Returns the value that the instance writes to its reader place.
    pub(crate) fn reader_value(&self, address: SocketAddr) -> ReaderValue {
        let region = self.reader_region();
        ReaderValue {
            instance: self.identity.name.clone(),
            address,
            data_centre: region.map(|_| self.identity.data_centre.clone()),
        }
    }
}
