//! Failover decisions: suspicion of a primary, promotion of a target, confirmation of writes.
//!
//! Everything here is pure. Events come in with a [`MonoTime`](heatherhollow_types::MonoTime) of the
//! observer's own clock, randomness is a number from the caller, and actions go out as values. The
//! engine converts the statuses of targets into [`TargetReport`]s and executes the actions.
//!
//! * [`PrimaryMonitor`] turns answers and failures of one primary into a [`Suspicion`].
//! * [`PromotionJudge`] decides when an observer may start a promotion.
//! * [`PromotionRun`] is the state machine of one promotion.
//! * [`WriteConfirmer`] decides when a write may be acknowledged.
//! * [`HighestTerm`] remembers the terms of a group and hands out new ones.

mod action;
mod confirm;
mod judge;
mod monitor;
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
pub use judge::HoldReason;
pub use judge::JudgeDecision;
pub use judge::JudgeInput;
pub use judge::JudgeSettings;
pub use judge::PeerSuspicion;
pub use judge::PromotionJudge;
pub use judge::PromotionTrigger;
pub use judge::SilenceReport;
pub use monitor::FailureKind;
pub use monitor::MonitorSettings;
pub use monitor::PrimaryMonitor;
pub use monitor::Suspicion;
pub use monitor::ThresholdRule;
pub use rank::rank_of;
pub use report::TargetReport;
pub use report::majority_of;
pub use run::PromotionRun;
pub use term::HighestTerm;
