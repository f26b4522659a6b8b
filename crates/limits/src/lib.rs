//! Load control of the proxy: connection pools, admission queues, adaptive limits and retry
//! budgets.
//!
//! The crate does no I/O and reads no clock: callers pass in the current time and carry out the
//! returned decisions. An instance has one [`ConnectionPool`] and one [`AdmissionQueue`] for each
//! target that it holds connections to, and one [`ListenerSlots`] for each HTTP listener.

mod adaptive;
mod failure_rate;
mod listener_slots;
mod pool;
mod queue;
mod retry;
mod smooth;
mod window;

pub use adaptive::AdaptiveLimit;
pub use adaptive::AdaptiveSettings;
pub use failure_rate::FailureRate;
pub use listener_slots::ConnectionNumber;
pub use listener_slots::ListenerSlots;
pub use listener_slots::SlotAdmission;
pub use listener_slots::SlotExpiry;
pub use listener_slots::SlotLimits;
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
