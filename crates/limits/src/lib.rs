//! Limits of the proxy: connection pools, admission queues and retry budgets.
//!
//! All of it is decision logic: time comes in, choices come out. One [`ConnectionPool`] and one
//! [`AdmissionQueue`] stand in front of each target that an instance holds connections to.

mod adaptive;
mod failure_rate;
mod pool;
mod queue;
mod retry;
mod smooth;
mod window;

pub use adaptive::AdaptiveLimit;
pub use adaptive::AdaptiveSettings;
pub use failure_rate::FailureRate;
pub use pool::ConnectionPool;
pub use pool::PoolChoice;
pub use pool::PoolCounts;
pub use pool::PoolSettings;
pub use queue::AdmissionQueue;
pub use queue::QueueEntry;
pub use queue::QueueRefusal;
pub use queue::QueueSettings;
pub use queue::TeamWeight;
pub use queue::TicketNumber;
pub use retry::RetryBudget;
pub use retry::RetrySettings;
pub use retry::retry_delay;
pub use smooth::SmoothedTime;
pub use window::WindowMaximum;
