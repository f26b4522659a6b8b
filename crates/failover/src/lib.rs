//! Failover decisions: suspicion of a primary, promotion of a target, confirmation of writes.
//!
//! Everything here is pure. Events come in with a [`MonoTime`](heatherhollow_types::MonoTime) of the
//! observer's own clock, randomness is a number from the caller, and actions go out as values. The
//! engine converts the statuses of targets into [`TargetReport`]s and executes the actions.
//!
//! * [`PrimaryMonitor`] turns answers and failures of one primary into a [`Suspicion`].
//! * [`PromotionPolicy`] decides when an observer may start a promotion.
//! * [`PromotionRun`] is the state machine of one promotion.
//! * [`WriteConfirmer`] decides when a write may be acknowledged.
//! * [`HighestTerm`] remembers the terms of a group and hands out new ones.

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
