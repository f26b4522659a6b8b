//! Failover decisions: failure detection of a primary, promotion of a target, confirmation of
//! writes.
//!
//! The crate does no I/O and reads no clock. The caller passes events with a
//! [`MonoTime`](heatherhollow_types::MonoTime) of the observer's own clock and a random number
//! where one is needed, converts the statuses of targets into [`TargetReport`]s, and executes the
//! actions that are returned as values.
//!
//! * [`PrimaryMonitor`] derives a [`Suspicion`] from the answers and failures of one primary.
//! * [`PromotionPolicy`] decides when an observer may start a promotion.
//! * [`PromotionRun`] is the state machine of one promotion.
//! * [`WriteConfirmer`] decides when a write may be acknowledged.
//! * [`HighestTerm`] tracks the terms of a group and allocates new ones.

mod action;
mod confirm;
mod monitor;
mod policy;
mod rank;
mod report;
mod run;
mod term;

pub use action::AbandonReason;
pub use action::FenceAnswer;
pub use action::PromoteAnswer;
pub use action::PromotionAction;
pub use action::RunSettings;
pub use action::RunTarget;
pub use confirm::ConfirmSettings;
pub use confirm::Confirmation;
pub use confirm::PendingWrite;
pub use confirm::WriteConfirmer;
pub use monitor::FailureKind;
pub use monitor::MonitorSettings;
pub use monitor::PrimaryMonitor;
pub use monitor::Suspicion;
pub use monitor::ThresholdRule;
pub use policy::HoldReason;
pub use policy::PeerSuspicion;
pub use policy::PolicyDecision;
pub use policy::PolicyInput;
pub use policy::PolicySettings;
pub use policy::PromotionPolicy;
pub use policy::PromotionTrigger;
pub use policy::SilenceReport;
pub use rank::rank_of;
pub use report::TargetReport;
pub use report::majority_of;
pub use run::PromotionRun;
pub use term::HighestTerm;
