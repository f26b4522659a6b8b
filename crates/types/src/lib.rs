//! Shared types of heatherhollow: identifiers, terms, log positions and term histories, outcomes
//! with their reasons, and time.
//!
//! All types are plain data. The public interfaces of the other crates use them, so that decision
//! logic depends on no crate that does I/O.

mod hash;
mod ids;
mod outcome;
mod position;
mod statement;
mod time;

pub use hash::mix_bits;
pub use hash::stable_hash;
pub use ids::CandidateId;
pub use ids::DataCentre;
pub use ids::GroupName;
pub use ids::IdError;
pub use ids::Incarnation;
pub use ids::InstanceName;
pub use ids::KindName;
pub use ids::PermitNumber;
pub use ids::RegionName;
pub use ids::RequestId;
pub use ids::ServiceName;
pub use ids::TargetIndex;
pub use ids::TargetName;
pub use ids::TeamName;
pub use ids::TransactionId;
pub use outcome::FailureReason;
pub use outcome::RefusalReason;
pub use outcome::RequestOutcome;
pub use outcome::RetryReason;
pub use outcome::UnknownReason;
pub use position::GroupPosition;
pub use position::LogPosition;
pub use position::TermHistory;
pub use position::TermNumber;
pub use position::TermStart;
pub use statement::AckMode;
pub use statement::CallKind;
pub use statement::ReadKind;
pub use time::MonoTime;
