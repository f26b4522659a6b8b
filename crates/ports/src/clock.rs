//! Monotonic clock of a process, as a port.

use std::time::Duration;

use async_trait::async_trait;
use tokio::time::Instant;

use heatherhollow_types::MonoTime;

/// A monotonic clock that can be waited on.
#[async_trait]
pub trait ClockPort: Send + Sync {
    /// Returns the current time.
    fn now(&self) -> MonoTime;

    /// Sleeps until `deadline` or shortly after it.
    async fn sleep_until(&self, deadline: MonoTime);

    /// Sleeps for `span` or slightly longer.
    async fn sleep(&self, span: Duration) {
        self.sleep_until(self.now() + span).await;
    }
}

/// Clock of the tokio runtime, starting at zero; virtual while `tokio::time::pause` is in force.
#[derive(Debug)]
pub struct TokioClock {
    start: Instant,
}

impl Default for TokioClock {
    fn default() -> Self {
        Self {
            start: Instant::now(),
        }
    }
}

#[async_trait]
impl ClockPort for TokioClock {
    fn now(&self) -> MonoTime {
        MonoTime::ZERO + self.start.elapsed()
    }

    async fn sleep_until(&self, deadline: MonoTime) {
        let span = deadline - MonoTime::ZERO;
        tokio::time::sleep_until(self.start + span).await;
    }
}
