//! Experiments: the proxy's engines on the stand-ins, under load and faults, with a checker.
//!
//! Everything runs in one process. Under a paused tokio clock a run takes the time of its computations
//! only, and its timings are those of the network model.

mod cluster;
mod deployment;

pub use cluster::Cluster;
pub use cluster::ClusterSettings;
pub use cluster::Node;
pub use deployment::Deployment;
