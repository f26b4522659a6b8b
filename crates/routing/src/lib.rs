//! Routing of reads: freshness bounds, the choice of a target, and the validation of its answer.
//!
//! A [`FreshnessTracker`] collects the observations of a group's targets. It bounds the age of a
//! position and estimates how long a replica needs to reach one. [`choose_route`] selects the
//! target of a read by estimates; [`check_answer`] decides by bounds whether the answer may be
//! returned. A wrong estimate costs time, but never lets a caller receive an answer that is too
//! old.

mod answer;
mod policy;
mod route;
mod samples;
mod tracker;

pub use answer::AnswerCheck;
pub use answer::AnswerHead;
pub use answer::check_answer;
pub use policy::RouteMode;
pub use policy::RoutePolicy;
pub use route::RouteChoice;
pub use route::RouteQuery;
pub use route::TargetView;
pub use route::choose_after_wait;
pub use route::choose_route;
pub use samples::MAX_SAMPLE_SPAN;
pub use samples::MAX_SAMPLES;
pub use tracker::FreshnessTracker;
pub use tracker::LagEstimate;
