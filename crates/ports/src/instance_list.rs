//! The platform's list of proxy instances.

use std::net::SocketAddr;

use async_trait::async_trait;
use displaydoc::Display;

use heatherhollow_types::DataCentre;
use heatherhollow_types::InstanceName;

/// State of an instance in the list.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum InstanceState {
    /// The instance runs.
    Live,
    /// The instance is about to stop.
    Leaving,
}

/// Entry of the list: one instance.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct InstanceEntry {
    /// Name of the instance.
    pub instance: InstanceName,
    /// Data centre in which the instance runs.
    pub data_centre: DataCentre,
    /// Address on which the instance accepts links from peers.
    pub address: SocketAddr,
    /// State of the instance.
    pub state: InstanceState,
}

/// Why the list could not be read.
#[derive(Debug, Clone, PartialEq, Eq, Display)]
pub enum InstanceListError {
    /// the instance list is unavailable: {0}
    Unavailable(String),
}

impl std::error::Error for InstanceListError {}

/// Reads the instance list.
///
/// The list is eventually consistent: it may contain instances that have stopped and lack instances
/// that have just started.
#[async_trait]
pub trait InstanceListPort: Send + Sync {
    /// Returns the instances that the platform currently lists.
    async fn list(&self) -> Result<Vec<InstanceEntry>, InstanceListError>;
}
