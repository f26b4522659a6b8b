//! What the operators declare and what targets say of themselves, as the gateway uses it.

use std::net::SocketAddr;
use std::time::Duration;

use heatherhollow_types::DataCentre;

/// How fresh the reads of a route have to be.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RouteFreshness {
    /// Every commit that was acknowledged before the read began.
    Primary,
    /// Every commit that was acknowledged so long before the read began.
    Bounded {
        /// Greatest age.
        max_age: Duration,
    },
    /// As [`Self::Bounded`], and every commit of the same session.
    ReadYourWrites {
        /// Greatest age of what other sessions wrote.
        max_age: Duration,
    },
}

impl RouteFreshness {
    /// Greatest age of an answer; zero for reads of the present state.
    pub fn max_age(self) -> Duration {
        match self {
            Self::Primary => Duration::ZERO,
            Self::Bounded { max_age } | Self::ReadYourWrites { max_age } => max_age,
        }
    }
}

/// Route of a database name to a group.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SessionRoute {
    /// Database name that clients ask for.
    pub database: String,
    /// Name of the database group.
    pub group: String,
    /// Freshness of reads.
    pub freshness: RouteFreshness,
    /// Time limit of one statement.
    pub timeout: Duration,
    /// Latency that callers expect of an operation.
    pub objective: Duration,
    /// Rank among routes that compete; 0 goes first.
    pub priority: u32,
}

/// Declared limits of a database group.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct GroupRule {
    /// Name of the group.
    pub group: String,
    /// Connections that each target accepts from all instances together.
    pub max_connections: u32,
    /// Replicas that hold a commit before it is acknowledged.
    pub sync_replicas: u32,
}

/// One version of the operators' declarations.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Catalog {
    /// Version; a higher one replaces a lower one.
    pub version: u64,
    /// Routes, sorted by database.
    pub routes: Vec<SessionRoute>,
    /// Groups, sorted by name.
    pub groups: Vec<GroupRule>,
    /// Time after which a transaction without statements may be ended.
    pub idle_transaction: Option<Duration>,
}

impl Catalog {
    /// The route of a database.
    pub fn route(&self, database: &str) -> Option<&SessionRoute> {
        let found = self
            .routes
            .binary_search_by(|route| route.database.as_str().cmp(database));
        found.ok().map(|i| &self.routes[i])
    }

    /// The limits of a group.
    pub fn group(&self, name: &str) -> Option<&GroupRule> {
        let found = self
            .groups
            .binary_search_by(|rule| rule.group.as_str().cmp(name));
        found.ok().map(|i| &self.groups[i])
    }
}

/// Role of a target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TargetRole {
    /// It takes writes.
    Primary,
    /// It follows a primary.
    Replica,
}

/// Whether a target takes new work.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TargetState {
    /// It does.
    Ready,
    /// It will stop soon.
    Draining,
}

/// A target as it is listed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TargetEntry {
    /// Its id.
    pub target: String,
    /// Database group.
    pub group: String,
    /// Address.
    pub address: SocketAddr,
    /// Data centre.
    pub data_centre: DataCentre,
    /// Statements that it runs at the same time.
    pub slots: u32,
    /// Whether it takes new work.
    pub state: TargetState,
    /// Role as it sees itself; none if it does not say.
    pub role: Option<TargetRole>,
    /// Start of its process, milliseconds since 1970; tells its runs apart.
    pub incarnation: u64,
}
