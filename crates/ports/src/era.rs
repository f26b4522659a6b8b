//! Eras of the store, and what one caller has seen of them.

use std::fmt;

use tokio::sync::watch;

/// Era of the store: it rises when the store comes back from a copy and has lost what was written
/// since.
///
/// Zero stands for an era that the store has not told.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct StoreEra(pub u64);

impl fmt::Display for StoreEra {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// Latest era that the store's answers to one caller have shown.
#[derive(Debug, Default)]
pub struct EraObserver {
    latest: watch::Sender<StoreEra>,
}

impl EraObserver {
    /// Records the era of an answer and returns the era that was the latest before.
    pub fn record(&self, era: StoreEra) -> StoreEra {
        let previous = self.latest();
        self.latest.send_if_modified(|latest| {
            let is_later = era > *latest;
            *latest = era.max(*latest);
            is_later
        });
        previous
    }

    /// Returns the latest era.
    pub fn latest(&self) -> StoreEra {
        *self.latest.borrow()
    }

    /// Waits until an answer shows a later era than `era`.
    pub async fn wait_for_era_after(&self, era: StoreEra) {
        let mut latest = self.latest.subscribe();
        // The sender lives as long as this observer.
        let _is_open = latest.wait_for(|latest| *latest > era).await.is_ok();
    }
}
