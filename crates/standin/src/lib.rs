//! In-memory stand-ins with fault injection, behind the traits of the `ports` crate: a database
//! group, the key-value service, the instance list and the links between instances.
//!
//! Everything sends through one [`NetworkModel`] and takes its time from `tokio::time`, so that it
//! runs under a paused clock as well as in real time. Randomness comes only from small generators
//! that are seeded by the settings. Tokio's timers have a resolution of one millisecond; a delay with
//! a fraction of a millisecond is rounded up.
//!
//! Lock order: no two locks of this crate are held at the same time, except that the network's lock
//! may be taken under any other one.

mod connection;
mod execute;
mod fault;
mod group;
mod network;
mod peers;
mod random;
mod replication;
mod roster;
mod state;
mod statement;
mod storage;
mod store;
mod store_contents;
mod sync;
mod target;

pub use fault::GroupFaults;
pub use fault::LostCall;
pub use fault::ReplyLoss;
pub use group::DatabaseGroup;
pub use group::GroupSettings;
pub use group::TargetSettings;
pub use network::CutDirection;
pub use network::LinkCut;
pub use network::LinkEnd;
pub use network::LinkRate;
pub use network::NetworkModel;
pub use network::NetworkPoint;
pub use network::NetworkSettings;
pub use network::RegionTraffic;
pub use peers::InMemoryPeers;
pub use roster::InstanceList;
pub use roster::ListSettings;
pub use storage::RecordedRequest;
pub use storage::RowChange;
pub use store::KeyValueStore;
pub use store::ServiceOutage;
pub use store::StoreCounters;
pub use store::StoreSettings;
pub use store_contents::StoreContents;
