//! The clock of a process.

use std::time::Duration;

use async_trait::async_trait;
use tokio::time::Instant;

use heatherhollow_types::MonoTime;

/// A monotonic clock that can be waited on.
#[async_trait]
pub trait ClockPort: Send + Sync {
    /// The time now.
    fn now(&self) -> MonoTime;

    /// Returns at `deadline` or soon after it.
    async fn sleep_until(&self, deadline: MonoTime);

    /// Returns after `span` or soon after it.
    async fn sleep(&self, span: Duration) {
        self.sleep_until(self.now() + span).await;
    }
}

/// The clock of the tokio runtime; under `tokio::time::pause` it is virtual.
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
