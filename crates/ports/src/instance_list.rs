//! The platform's list of instances.

use std::net::SocketAddr;

use async_trait::async_trait;
use displaydoc::Display;

use heatherhollow_types::DataCentre;
use heatherhollow_types::InstanceName;

/// State of an instance in the list.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum InstanceState {
    /// It runs.
    Live,
    /// It is about to stop.
    Leaving,
}

/// One instance of the list.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct InstanceEntry {
    /// Its name.
    pub instance: InstanceName,
    /// Its data centre.
    pub data_centre: DataCentre,
    /// Address of its peer listener.
    pub address: SocketAddr,
    /// Its state.
    pub state: InstanceState,
}

/// Why the list could not be read.
#[derive(Debug, Clone, PartialEq, Eq, Display)]
pub enum InstanceListError {
    /// the instance list is unavailable: {0}
    Unavailable(String),
}

impl std::error::Error for InstanceListError {}

/// The instance list. It lags: it may name the dead and miss the living.
#[async_trait]
pub trait InstanceListPort: Send + Sync {
    /// The instances that the platform knows.
    async fn list(&self) -> Result<Vec<InstanceEntry>, InstanceListError>;
}
