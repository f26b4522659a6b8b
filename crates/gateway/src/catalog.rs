//! Declarations of the operators and entries of targets, in the form that the gateway uses.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use heatherhollow_tenants::TenantDirectory;
use heatherhollow_types::DataCentre;

/// Freshness that the reads of a route require.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RouteFreshness {
    /// Reads see every commit that was acknowledged before the read began.
    Primary,
    /// Reads see every commit that was acknowledged at least `max_age` before the read began.
    Bounded {
        /// Staleness bound.
        max_age: Duration,
    },
    /// Reads see the commits that [`Self::Bounded`] guarantees and every commit of the same
    /// session.
    ReadYourWrites {
        /// Staleness bound for the commits of other sessions.
        max_age: Duration,
    },
}

impl RouteFreshness {
    /// Returns the staleness bound; zero for reads of the present state.
    pub fn max_age(self) -> Duration {
        match self {
            Self::Primary => Duration::ZERO,
            Self::Bounded { max_age } | Self::ReadYourWrites { max_age } => max_age,
        }
    }
}

/// Route from a database name to a database group.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SessionRoute {
    /// Database name that clients request.
    pub database: String,
    /// Name of the database group.
    pub group: String,
    /// Freshness that reads require.
    pub freshness: RouteFreshness,
    /// Time limit of one statement.
    pub timeout: Duration,
    /// Latency objective of a statement.
    pub objective: Duration,
    /// Priority among waiting statements; 0 is served first.
    pub priority: u32,
    /// Whether sessions need no key.
    pub is_public: bool,
}

/// Declared limits of a database group.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct GroupRule {
    /// Name of the group.
    pub group: String,
    /// Connections that each target accepts from all instances together.
    pub max_connections: u32,
    /// Number of replicas that must hold a commit before it is acknowledged.
    pub sync_replicas: u32,
}

/// A version of the declarations of the operators.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Catalog {
    /// Version number; a catalog is replaced only by one with a higher number.
    pub version: u64,
    /// Routes, sorted by database.
    pub routes: Vec<SessionRoute>,
    /// Groups, sorted by name.
    pub groups: Vec<GroupRule>,
    /// Time limit of an idle transaction; `None` if there is no limit.
    pub idle_transaction: Option<Duration>,
    /// Tenants and their keys; `None` if no tenants are declared.
    pub tenants: Option<Arc<TenantDirectory>>,
}

impl Catalog {
    /// Returns the route of a database name.
    pub fn route(&self, database: &str) -> Option<&SessionRoute> {
        let found = self
            .routes
            .binary_search_by(|route| route.database.as_str().cmp(database));
        found.ok().map(|i| &self.routes[i])
    }

    /// Returns the declared limits of a group.
    pub fn group(&self, name: &str) -> Option<&GroupRule> {
        let found = self
            .groups
            .binary_search_by(|rule| rule.group.as_str().cmp(name));
        found.ok().map(|i| &self.groups[i])
    }
}

/// Role of a target in its group.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TargetRole {
    /// The target takes writes.
    Primary,
    /// The target follows a primary.
    Replica,
}

/// Whether a target takes new work.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TargetState {
    /// The target takes new work.
    Ready,
    /// The target is about to stop and takes no new work.
    Draining,
}

/// Entry of a target in the list of targets.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TargetEntry {
    /// Id of the target.
    pub target: String,
    /// Name of the database group.
    pub group: String,
    /// Address at which the target accepts connections.
    pub address: SocketAddr,
    /// Data centre of the target.
    pub data_centre: DataCentre,
    /// Number of statements that the target runs at the same time.
    pub slots: u32,
    /// Whether the target takes new work.
    pub state: TargetState,
    /// Role that the target reports; `None` if it reports none.
    pub role: Option<TargetRole>,
    /// Start time of the target's process in milliseconds since the Unix epoch, which distinguishes
    /// the runs of a restarted target.
    pub incarnation: u64,
}
