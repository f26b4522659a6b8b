//! Experiments: the proxy's engines on the stand-ins, under load and faults, with a checker.
//!
//! Everything runs in one process. Under a paused tokio clock a run takes the time of its computations
//! only, and its timings are those of the network model.

mod change;
mod cluster;
mod deployment;
mod fault;
mod history;
mod scenario;
mod workload;

pub use cluster::Cluster;
pub use cluster::ClusterSettings;
pub use cluster::Node;
pub use deployment::Deployment;
pub use fault::DRAIN_LIMIT;
pub use fault::Fault;
pub use history::FinalRows;
pub use history::History;
pub use history::WriteFate;
pub use scenario::Scenario;
pub use scenario::ScenarioResult;
pub use scenario::run_scenario;
pub use workload::WorkloadSettings;
