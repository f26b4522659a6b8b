//! Ports: narrow traits to targets, the key-value service, the instance list, peers and the clock.
//!
//! Adapters implement these traits over the network; the `standin` crate implements them in memory.
//! Implementations only carry calls and answers: decisions are made by their callers.

mod clock;
mod era;
mod instance_list;
mod peers;
mod store;
mod target;

pub use clock::ClockPort;
pub use clock::TokioClock;
pub use era::EraObserver;
pub use era::StoreEra;
pub use instance_list::InstanceEntry;
pub use instance_list::InstanceListError;
pub use instance_list::InstanceListPort;
pub use instance_list::InstanceState;
pub use peers::PeerCall;
pub use peers::PeerError;
pub use peers::PeerHandler;
pub use peers::PeerPort;
pub use store::LeaseId;
pub use store::StoreChange;
pub use store::StoreEntry;
pub use store::StoreError;
pub use store::StorePort;
pub use store::StoreRevision;
pub use store::SwapReply;
pub use target::AnswerEnd;
pub use target::AnswerPart;
pub use target::AnswerStream;
pub use target::CallStep;
pub use target::ConnectionPermit;
pub use target::FenceReply;
pub use target::TargetCall;
pub use target::TargetConnection;
pub use target::TargetError;
pub use target::TargetPort;
pub use target::TargetRole;
pub use target::TargetStatus;
